//! The HTTP servers for callers and for the target beside the daemon.
//!
//! A server limits connections, body sizes and read times, so that slow or excessive clients
//! cannot exhaust the daemon, and passes each call to the entry of its node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::service::service_fn;
use hyper::{Method, Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
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

/// The response header that advertises to a caller how long it may keep an idle connection.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// The path to which targets post their announcements.
const ANNOUNCE_PATH: &str = "/announce";

/// The pause before the listener accepts again after an error.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// How often the server checks that the target still announces itself.
const TARGET_CHECK_PERIOD: Duration = Duration::from_secs(1);

/// The size that is reserved for a body whose length is not declared.
const UNKNOWN_BODY_BYTES: u64 = 1024 * 1024;

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
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            connections_max: 1_000,
            body_bytes_max: 8 * 1024 * 1024,
            read_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(10),
            bodies_bytes_max: 256 * 1024 * 1024,
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
    fn encode_reply(&self, reply: CallReply) -> Response<Full<Bytes>>;

    /// Encodes the response to a rejected request: one that is not a valid call, whose body is too
    /// large, late or does not fit into memory, or that got no reply before the daemon stopped.
    fn encode_rejection(&self, rejection: &Rejection) -> Response<Full<Bytes>>;
}

/// An HTTP server that passes the calls of callers, or the calls and announcements of the target,
/// to a node.
pub struct CallerServer {
    node: Arc<Node>,
    limits: CallerLimits,
    connections: Arc<Semaphore>,
    bodies: Arc<Semaphore>,
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
        Arc::new(Self {
            node,
            limits,
            connections,
            bodies,
            codec,
            target,
            keeps_connections_alive: AtomicBool::new(true),
        })
    }

    /// From now on closes each connection after its next response.
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
        let server = Arc::clone(&self);
        let service = service_fn(move |request| {
            let server = Arc::clone(&server);
            async move { Ok::<_, std::convert::Infallible>(server.respond(request).await) }
        });
        let is_stopping = self.node.is_stopping();
        let connection = hyper::server::conn::http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(self.limits.head_timeout())
            .keep_alive(!is_stopping)
            .serve_connection(TokioIo::new(stream), service);
        let mut connection = std::pin::pin!(connection);
        tokio::select! {
            _ = connection.as_mut() => {}
            () = self.node.stop_requested(), if !is_stopping => {
                connection.as_mut().graceful_shutdown();
                let _ = connection.await;
            }
        }
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
            let response = codec.encode_reply(reply);
            async { Ok::<_, std::convert::Infallible>(response) }
        });
        let connection = hyper::server::conn::http1::Builder::new()
            .keep_alive(false)
            .serve_connection(TokioIo::new(stream), service);
        let _ = tokio::time::timeout(self.limits.read_timeout, connection).await;
    }

    async fn respond(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let mut response = self.route_request(request).await;
        if self.node.is_stopping() || !self.keeps_connections_alive.load(Ordering::Relaxed) {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        } else if let Some(keep_alive) = self.limits.keep_alive() {
            response.headers_mut().insert(KEEP_ALIVE, keep_alive);
        }
        response
    }

    async fn route_request(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let is_announcement = self.target.is_some()
            && request.method() == Method::POST
            && request.uri().path() == ANNOUNCE_PATH;
        let (parts, body) = request.into_parts();
        let (body, _size_permit) = match self.read_body(body).await {
            Ok(body) => body,
            Err(rejection) => return self.reject(&rejection),
        };
        if is_announcement {
            return self.handle_announcement(&body);
        }
        let is_from_target = self.target.is_some();
        match self
            .codec
            .decode_call(&self.node, &parts, body, is_from_target)
        {
            Ok(request) => self.call(request).await,
            Err(rejection) => self.reject(&rejection),
        }
    }

    async fn call(&self, request: CallRequest) -> Response<Full<Bytes>> {
        let (key, receiver) = self.node.open_call();
        let _cancel = CancelOnDrop {
            node: Arc::clone(&self.node),
            key,
        };
        let event = Event::CallArrived {
            call: key,
            request: Box::new(request),
        };
        self.node.submit(Input::Event(entry::NAME, event));
        match receiver.await {
            Ok(reply) => self.codec.encode_reply(reply),
            Err(_) => self.reject(&Rejection::new("the daemon stopped before it replied")),
        }
    }

    /// Reads a body and returns it with the permits for its size, one per kilobyte, which are held
    /// until the request has been answered.
    ///
    /// Fails with 503 and the reason `too_large` if the total size of bodies is at its limit.
    async fn read_body(&self, body: Incoming) -> Result<(Bytes, OwnedSemaphorePermit), Rejection> {
        let expected_bytes = body.size_hint().exact().unwrap_or(UNKNOWN_BODY_BYTES);
        let expected_bytes = usize::try_from(expected_bytes).unwrap_or(usize::MAX);
        let reserved_bytes = expected_bytes.min(self.limits.body_bytes_max);
        let permits = u32::try_from(to_kilobytes(reserved_bytes)).unwrap_or(u32::MAX);
        let Ok(size_permit) = Arc::clone(&self.bodies).try_acquire_many_owned(permits) else {
            return Err(Rejection {
                status: 503,
                reason: RefusalReason::TooLarge,
                message: "too many request bodies in memory".into(),
            });
        };
        Ok((self.collect_body(body).await?, size_permit))
    }

    async fn collect_body(&self, body: Incoming) -> Result<Bytes, Rejection> {
        let limited = Limited::new(body, self.limits.body_bytes_max);
        let collected = tokio::time::timeout(self.limits.read_timeout, limited.collect()).await;
        let Ok(collected) = collected else {
            return Err(Rejection::new("the body did not arrive in time"));
        };
        match collected {
            Ok(body) => Ok(body.to_bytes()),
            Err(error) if error.is::<LengthLimitError>() => Err(Rejection {
                status: 413,
                reason: RefusalReason::TooLarge,
                message: format!(
                    "the body may have at most {} bytes",
                    self.limits.body_bytes_max
                ),
            }),
            Err(_) => Err(Rejection::new("the body could not be read completely")),
        }
    }

    fn reject(&self, rejection: &Rejection) -> Response<Full<Bytes>> {
        self.node
            .metrics()
            .add(Counter::refusal(rejection.reason), 1);
        self.codec.encode_rejection(rejection)
    }

    fn handle_announcement(&self, body: &[u8]) -> Response<Full<Bytes>> {
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
        Response::new(Full::default())
    }
}

fn is_loopback(address: SocketAddr) -> bool {
    address.ip().is_loopback()
}

fn to_kilobytes(bytes: usize) -> usize {
    bytes.div_ceil(1_024)
}

/// Cancels a call on drop, unless it was replied to: hyper drops the response future when the
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
