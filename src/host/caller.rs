//! The HTTP servers for callers and for the target beside the daemon.
//!
//! A server limits connections, body sizes and read times, so that slow or excessive clients
//! cannot exhaust the daemon, and passes each call to the entry of its node.

pub mod body_decoder;
mod connection;
pub mod message_head;
pub mod pipeline;
pub mod request_reader;
pub mod response_encoder;

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use hyper::service::service_fn;
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use super::Node;
use super::http::Rejection;
use super::target::TargetClient;
use crate::calls::entry;
use crate::ids::CallKey;
use crate::kernel::{CallReply, Event, Input, Notice};
use crate::metrics::Counter;
use crate::request::CallRequest;
use crate::target::Announcement;
use crate::verdict::{RefusalReason, Verdict};
use connection::Connection;
use request_reader::{BodyLimits, to_kilobytes};

/// The path to which targets post their announcements.
const ANNOUNCE_PATH: &str = "/announce";

/// The pause before the listener accepts again after an error.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// How often the server checks that the target still announces itself.
const TARGET_CHECK_PERIOD: Duration = Duration::from_secs(1);

/// The difference between the server's idle timeout and the shorter one that it advertises to
/// callers, so that a request sent at the last moment still has time to arrive.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_secs(3);

/// The limits of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// The maximum number of open connections; a further one is answered with 503 and closed.
    pub connections_max: usize,
    /// The maximum size of a request body; a larger one is answered with 413.
    pub body_bytes_max: usize,
    /// How long to wait for a whole request head, unless `idle_timeout` is shorter, and then again
    /// for its body.
    pub read_timeout: Duration,
    /// How long a connection may be idle before it is closed; `read_timeout` applies if it is
    /// shorter. The time that is advertised to callers is shorter by 3 seconds.
    pub idle_timeout: Duration,
    /// The maximum total size of the request bodies in memory; a request whose body does not fit is
    /// answered with 503.
    pub bodies_bytes_max: usize,
    /// The maximum number of requests of one connection that run at the same time; further ones are
    /// not read until the oldest is answered.
    pub pipelined_per_connection_max: usize,
    /// The maximum number of requests, over all connections, that run while an earlier request of
    /// the same connection is not answered. A further one runs after those before it.
    pub pipelined_max: usize,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            connections_max: 1_000,
            body_bytes_max: 8 * 1024 * 1024,
            read_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(10),
            bodies_bytes_max: 256 * 1024 * 1024,
            pipelined_per_connection_max: 16,
            pipelined_max: 1_000,
        }
    }
}

impl CallerLimits {
    /// Returns how long the server waits for the whole head of the next request, idle time
    /// included.
    fn head_timeout(&self) -> Duration {
        self.read_timeout.min(self.idle_timeout)
    }

    /// Returns the `keep-alive` value: how long callers may keep an idle connection, `None` if
    /// that is less than a second.
    fn keep_alive(&self) -> Option<HeaderValue> {
        let timeout = self.head_timeout().checked_sub(KEEP_ALIVE_MARGIN)?;
        if timeout.as_secs() == 0 {
            return None;
        }
        HeaderValue::from_str(&format!("timeout={}", timeout.as_secs())).ok()
    }
}

/// The HTTP representation of calls: decodes requests and encodes replies.
pub trait CallCodec: Send + Sync {
    /// Decodes a call from an HTTP request.
    ///
    /// # Errors
    ///
    /// Fails if the request cannot be passed to the entry, such as if it is not a valid call.
    fn decode_call(
        &self,
        node: &Node,
        head: &Parts,
        body: Bytes,
        is_from_target: bool,
    ) -> Result<CallRequest, Rejection>;

    /// Encodes the reply to a call.
    fn encode_reply(&self, reply: CallReply) -> Response<Bytes>;

    /// Encodes the response to a rejected request: one that is not a valid call, whose body is too
    /// large, late or does not fit into memory, or that got no reply before the daemon stopped.
    fn encode_rejection(&self, rejection: &Rejection) -> Response<Bytes>;
}

/// An HTTP server that passes the calls of callers, or the calls and announcements of the target,
/// to a node.
pub struct CallerServer {
    node: Arc<Node>,
    limits: CallerLimits,
    connections: Arc<Semaphore>,
    bodies: Arc<Semaphore>,
    pipelined: Arc<Semaphore>,
    codec: Arc<dyn CallCodec>,
    target: Option<Arc<TargetClient>>,
    keeps_connections_alive: AtomicBool,
}

impl CallerServer {
    /// Creates a server for callers, or, with a target client, for the announcements and calls of
    /// the target beside the daemon.
    pub fn new(
        node: Arc<Node>,
        limits: CallerLimits,
        codec: Arc<dyn CallCodec>,
        target: Option<Arc<TargetClient>>,
    ) -> Arc<Self> {
        let bodies = Arc::new(Semaphore::new(to_kilobytes(limits.bodies_bytes_max)));
        let connections = Arc::new(Semaphore::new(limits.connections_max));
        let pipelined = Arc::new(Semaphore::new(limits.pipelined_max));
        Arc::new(Self {
            node,
            limits,
            connections,
            bodies,
            pipelined,
            codec,
            target,
            keeps_connections_alive: AtomicBool::new(true),
        })
    }

    /// From now on closes each connection as soon as the requests on it are answered.
    pub fn close_after_response(&self) {
        self.keeps_connections_alive.store(false, Ordering::Relaxed);
    }

    /// Accepts connections until the task is aborted.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let _ = stream.set_nodelay(true);
            let server = Arc::clone(&self);
            match Arc::clone(&self.connections).try_acquire_owned() {
                Ok(permit) => tokio::spawn(server.serve_connection(stream, permit)),
                Err(_) => tokio::spawn(server.refuse_connection(stream)),
            };
        }
    }

    /// Notifies the node when the target stops announcing itself, until the task is aborted;
    /// returns at once if the server has no target client.
    pub async fn watch_target(self: Arc<Self>) {
        let Some(target) = &self.target else {
            return;
        };
        loop {
            tokio::time::sleep(TARGET_CHECK_PERIOD).await;
            if target.expire_target() {
                self.node.submit(Input::Notice(Notice::TargetSilent));
            }
        }
    }

    async fn serve_connection(self: Arc<Self>, stream: TcpStream, permit: OwnedSemaphorePermit) {
        Connection::new(self, stream).serve().await;
        drop(permit);
    }

    /// Waits until no connection is open, at most for twice `read_timeout`: a head and a body.
    pub async fn drain(&self) {
        let all = u32::try_from(self.limits.connections_max).unwrap_or(u32::MAX);
        let idle = self.connections.acquire_many(all);
        let _ = tokio::time::timeout(2 * self.limits.read_timeout, idle).await;
    }

    /// Refuses the first request of a connection above the limit, then closes the connection.
    async fn refuse_connection(self: Arc<Self>, stream: TcpStream) {
        let refusal = RefusalReason::Connections;
        self.node.metrics().add(Counter::refusal(refusal), 1);
        let codec = Arc::clone(&self.codec);
        let service = service_fn(move |_: Request<Incoming>| {
            let verdict = Verdict::not_run(RefusalReason::Connections, 1_000);
            let reply = CallReply {
                verdict,
                retries_left: 0,
                tickets: Vec::new(),
            };
            let response = codec.encode_reply(reply).map(Full::new);
            async { Ok::<_, std::convert::Infallible>(response) }
        });
        let connection = hyper::server::conn::http1::Builder::new()
            .keep_alive(false)
            .serve_connection(TokioIo::new(stream), service);
        let _ = tokio::time::timeout(self.limits.read_timeout, connection).await;
    }

    /// Returns whether each connection closes as soon as the requests on it are answered.
    fn is_draining(&self) -> bool {
        self.node.is_stopping() || !self.keeps_connections_alive.load(Ordering::Relaxed)
    }

    fn body_limits(&self) -> BodyLimits {
        BodyLimits {
            body_bytes_max: self.limits.body_bytes_max,
            memory: Arc::clone(&self.bodies),
            timeout: self.limits.read_timeout,
        }
    }

    /// Decodes a call. The error is the response to a request that starts no call: an announcement
    /// of the target, or one that is rejected.
    fn decode(&self, head: &Parts, body: Bytes) -> Result<CallRequest, Box<Response<Bytes>>> {
        let is_from_target = self.target.is_some();
        if is_from_target && head.method == Method::POST && head.uri.path() == ANNOUNCE_PATH {
            return Err(Box::new(self.handle_announcement(&body)));
        }
        let decoded = self
            .codec
            .decode_call(&self.node, head, body, is_from_target);
        decoded.map_err(|rejection| Box::new(self.reject(&rejection)))
    }

    /// Returns whether a request may run more than once, and therefore beside others.
    fn is_idempotent(&self, request: &CallRequest) -> bool {
        self.node
            .inspect(|kernel| entry::is_idempotent(kernel, request))
    }

    /// Starts a call at once and returns the future of its response; dropping it cancels the call.
    fn start_call(self: Arc<Self>, request: CallRequest) -> impl Future<Output = Response<Bytes>> {
        let (key, receiver) = self.node.open_call();
        let cancel = CancelOnDrop {
            node: Arc::clone(&self.node),
            key,
        };
        let event = Event::CallArrived {
            call: key,
            request: Box::new(request),
        };
        self.node.submit(Input::Event(entry::NAME, event));
        async move {
            let _cancel = cancel;
            match receiver.await {
                Ok(reply) => self.codec.encode_reply(reply),
                Err(_) => self.reject(&Rejection::new("the daemon stopped before it replied")),
            }
        }
    }

    fn reject(&self, rejection: &Rejection) -> Response<Bytes> {
        self.node
            .metrics()
            .add(Counter::refusal(rejection.reason), 1);
        self.codec.encode_rejection(rejection)
    }

    fn handle_announcement(&self, body: &[u8]) -> Response<Bytes> {
        let announcement: Announcement = match serde_json::from_slice(body) {
            Ok(announcement) => announcement,
            Err(error) => {
                return self.reject(&Rejection::new(format!(
                    "the announcement is not valid: {error}"
                )));
            }
        };
        if !is_loopback(announcement.address) {
            let message = "the announcement is not valid: address must be a loopback address";
            return self.reject(&Rejection::new(message));
        }
        let is_changed = self
            .target
            .as_ref()
            .is_some_and(|target| target.record_announcement(announcement.clone()));
        if is_changed {
            self.node
                .submit(Input::Notice(Notice::TargetAnnounced(announcement)));
        }
        Response::default()
    }
}

fn is_loopback(address: SocketAddr) -> bool {
    address.ip().is_loopback()
}

/// Cancels a call on drop, unless it was replied to: the future of the response is dropped when the
/// caller disconnects.
struct CancelOnDrop {
    node: Arc<Node>,
    key: CallKey,
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        self.node.cancel_call(self.key);
    }
}
