//! The HTTP listeners for callers and for the target beside the daemon.

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
use super::http::BadRequest;
use super::target::TargetClient;
use crate::calls::entry;
use crate::ids::CallKey;
use crate::kernel::{CallReply, Event, Input, Notice};
use crate::metrics::Counter;
use crate::request::CallRequest;
use crate::target::Announcement;
use crate::verdict::{RefusalReason, Verdict};

/// Tells a caller for how long it may keep an idle connection.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// The path at which targets announce themselves.
const ANNOUNCE_PATH: &str = "/announce";

/// The wait before the listener accepts again after an error.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// The time between two looks whether the target still announces itself.
const TARGET_LOOK_PERIOD: Duration = Duration::from_secs(1);

/// The room that is kept for a body of unknown length.
const UNKNOWN_BODY_BYTES: u64 = 1024 * 1024;

/// The time that is left for a request head where a caller uses a connection as late as it may.
const IDLE_RESERVE: Duration = Duration::from_secs(3);

/// What a listener bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// The connections open at once; one more is answered 503 and closed.
    pub connections_max: usize,
    /// The greatest body; a larger one is answered 413.
    pub body_bytes_max: usize,
    /// The time for a whole request head, and again for its body.
    pub read_timeout: Duration,
    /// The time after which a connection without a request is closed, where that is shorter;
    /// callers are told a time that ends before.
    pub idle_timeout: Duration,
    /// The bytes of bodies that are held at once; more is answered 503.
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
    /// Returns the time from the end of one request to the whole head of the next.
    fn head_timeout(&self) -> Duration {
        self.read_timeout.min(self.idle_timeout)
    }

    /// Returns what callers are told of the time for which they may keep a connection.
    fn keep_alive(&self) -> Option<HeaderValue> {
        let kept = self.head_timeout().checked_sub(IDLE_RESERVE)?;
        if kept.as_secs() == 0 {
            return None;
        }
        HeaderValue::from_str(&format!("timeout={}", kept.as_secs())).ok()
    }
}

/// The HTTP form in which callers speak: how a request is read and a reply written.
pub trait CallCodec: Send + Sync {
    /// Reads a call.
    fn decode_call(
        &self,
        node: &Node,
        head: &Parts,
        body: Bytes,
        is_from_target: bool,
    ) -> Result<CallRequest, BadRequest>;

    /// Writes a reply.
    fn encode_reply(&self, reply: CallReply) -> Response<Full<Bytes>>;

    /// Writes the answer to a request that is no call.
    fn encode_error(&self, bad: &BadRequest) -> Response<Full<Bytes>>;
}

/// A listener and what it serves.
pub struct CallerServer {
    node: Arc<Node>,
    limits: CallerLimits,
    connections: Arc<Semaphore>,
    bodies: Arc<Semaphore>,
    codec: Arc<dyn CallCodec>,
    target: Option<Arc<TargetClient>>,
    keeps_connections: AtomicBool,
}

impl CallerServer {
    /// Makes the host of a listener; with a target client it takes the target's own calls.
    pub fn new(
        node: Arc<Node>,
        limits: CallerLimits,
        codec: Arc<dyn CallCodec>,
        target: Option<Arc<TargetClient>>,
    ) -> Arc<Self> {
        let bodies = Arc::new(Semaphore::new(kilobytes(limits.bodies_bytes_max)));
        let connections = Arc::new(Semaphore::new(limits.connections_max));
        Arc::new(Self {
            node,
            limits,
            connections,
            bodies,
            codec,
            target,
            keeps_connections: AtomicBool::new(true),
        })
    }

    /// Lets each connection end with its next answer.
    pub fn close_after_response(&self) {
        self.keeps_connections.store(false, Ordering::Relaxed);
    }

    /// Accepts connections until the task is ended.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(ACCEPT_RETRY).await;
                continue;
            };
            let _ = stream.set_nodelay(true);
            let host = Arc::clone(&self);
            match Arc::clone(&self.connections).try_acquire_owned() {
                Ok(permit) => tokio::spawn(host.serve_connection(stream, permit)),
                Err(_) => tokio::spawn(host.refuse_connection(stream)),
            };
        }
    }

    /// Tells the node when the target stops announcing itself, until the task is ended.
    pub async fn watch_target(self: Arc<Self>) {
        let Some(target) = &self.target else {
            return;
        };
        loop {
            tokio::time::sleep(TARGET_LOOK_PERIOD).await;
            if target.expire_target() {
                self.node.submit(Input::Notice(Notice::TargetSilent));
            }
        }
    }

    async fn serve_connection(self: Arc<Self>, stream: TcpStream, permit: OwnedSemaphorePermit) {
        let host = Arc::clone(&self);
        let service = service_fn(move |request| {
            let host = Arc::clone(&host);
            async move { Ok::<_, std::convert::Infallible>(host.answer(request).await) }
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

    /// Waits until no connection is served, for at most the time of a request's head and body.
    pub async fn drain(&self) {
        let all = u32::try_from(self.limits.connections_max).unwrap_or(u32::MAX);
        let idle = self.connections.acquire_many(all);
        let _ = tokio::time::timeout(2 * self.limits.read_timeout, idle).await;
    }

    /// Answers one request on a connection too many, then closes it.
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

    async fn answer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let mut response = self.answer_one(request).await;
        if self.node.is_stopping() || !self.keeps_connections.load(Ordering::Relaxed) {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        } else if let Some(kept) = self.limits.keep_alive() {
            response.headers_mut().insert(KEEP_ALIVE, kept);
        }
        response
    }

    async fn answer_one(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let is_announcement = self.target.is_some()
            && request.method() == Method::POST
            && request.uri().path() == ANNOUNCE_PATH;
        let (parts, body) = request.into_parts();
        let (body, _room) = match self.read_body(body).await {
            Ok(body) => body,
            Err(bad) => return self.refuse_bad(&bad),
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
            Err(bad) => self.refuse_bad(&bad),
        }
    }

    async fn call(&self, request: CallRequest) -> Response<Full<Bytes>> {
        let (key, receiver) = self.node.open_call();
        let _open = OpenCall {
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
            Err(_) => self.refuse_bad(&BadRequest::new("the daemon ended")),
        }
    }

    /// Reads a body with the room that it takes until its answer is written.
    async fn read_body(&self, body: Incoming) -> Result<(Bytes, OwnedSemaphorePermit), BadRequest> {
        let expected_bytes = body.size_hint().exact().unwrap_or(UNKNOWN_BODY_BYTES);
        let expected_bytes = usize::try_from(expected_bytes).unwrap_or(usize::MAX);
        let wanted = expected_bytes.min(self.limits.body_bytes_max);
        let places = u32::try_from(kilobytes(wanted)).unwrap_or(u32::MAX);
        let Ok(room) = Arc::clone(&self.bodies).try_acquire_many_owned(places) else {
            return Err(BadRequest {
                status: 503,
                reason: RefusalReason::TooLarge,
                message: "there is no room for the body now".into(),
            });
        };
        Ok((self.collect_body(body).await?, room))
    }

    async fn collect_body(&self, body: Incoming) -> Result<Bytes, BadRequest> {
        let limited = Limited::new(body, self.limits.body_bytes_max);
        let collected = tokio::time::timeout(self.limits.read_timeout, limited.collect()).await;
        let Ok(collected) = collected else {
            return Err(BadRequest::new("the body did not arrive in time"));
        };
        match collected {
            Ok(body) => Ok(body.to_bytes()),
            Err(error) if error.is::<LengthLimitError>() => Err(BadRequest {
                status: 413,
                reason: RefusalReason::TooLarge,
                message: format!("the body may have {} bytes", self.limits.body_bytes_max),
            }),
            Err(_) => Err(BadRequest::new("the body was cut")),
        }
    }

    fn refuse_bad(&self, bad: &BadRequest) -> Response<Full<Bytes>> {
        self.node.metrics().add(Counter::refusal(bad.reason), 1);
        self.codec.encode_error(bad)
    }

    fn handle_announcement(&self, body: &[u8]) -> Response<Full<Bytes>> {
        let announcement: Announcement = match serde_json::from_slice(body) {
            Ok(announcement) => announcement,
            Err(error) => {
                return self.refuse_bad(&BadRequest::new(format!("announcement: {error}")));
            }
        };
        if !is_local(announcement.address) {
            let message = "announcement: address must be a loopback address";
            return self.refuse_bad(&BadRequest::new(message));
        }
        let is_news = self
            .target
            .as_ref()
            .is_some_and(|target| target.record_announcement(announcement.clone()));
        if is_news {
            self.node
                .submit(Input::Notice(Notice::TargetAnnounced(announcement)));
        }
        Response::new(Full::default())
    }
}

fn is_local(address: SocketAddr) -> bool {
    address.ip().is_loopback()
}

fn kilobytes(bytes: usize) -> usize {
    bytes.div_ceil(1_024)
}

/// A call whose caller waits; dropped when the caller goes away.
struct OpenCall {
    node: Arc<Node>,
    key: CallKey,
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        self.node.drop_call(self.key);
    }
}
