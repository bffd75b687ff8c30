//! The HTTP listeners for callers and for the target beside the daemon.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Method, Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use super::Node;
use super::http::{self, BadRequest};
use super::target::TargetClient;
use crate::calls::entry;
use crate::ids::CallKey;
use crate::kernel::{CallReply, Event, Input, Notice};
use crate::metrics::{Counter, MetricSink};
use crate::target::Announcement;
use crate::verdict::{RefusalReason, Verdict};

/// The path at which targets announce themselves.
const ANNOUNCE_PATH: &str = "/announce";

/// The wait before the listener accepts again after an error.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// The time between two looks whether the target still announces itself.
const TARGET_LOOK_PERIOD: Duration = Duration::from_secs(1);

/// What a listener bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// The connections open at once; one more is answered 503 and closed.
    pub connections_max: usize,
    /// The greatest body; a larger one is answered 413.
    pub body_bytes_max: usize,
    /// The time for a whole request head, and again for its body.
    pub read_timeout: Duration,
}

/// A listener and what it serves.
pub struct CallerHost {
    node: Arc<Node>,
    limits: CallerLimits,
    connections: Arc<Semaphore>,
    metrics: Arc<dyn MetricSink>,
    target: Option<Arc<TargetClient>>,
}

impl CallerHost {
    /// Makes the host of a listener; with a target client it takes the target's own calls.
    pub fn new(
        node: Arc<Node>,
        limits: CallerLimits,
        metrics: Arc<dyn MetricSink>,
        target: Option<Arc<TargetClient>>,
    ) -> Arc<Self> {
        let connections = Arc::new(Semaphore::new(limits.connections_max));
        Arc::new(Self {
            node,
            limits,
            connections,
            metrics,
            target,
        })
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
            if target.forget_silent() {
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
        let connection = hyper::server::conn::http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(self.limits.read_timeout)
            .serve_connection(TokioIo::new(stream), service);
        let mut connection = std::pin::pin!(connection);
        tokio::select! {
            _ = connection.as_mut() => {}
            () = self.node.stop_requested() => {
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
        self.metrics
            .add(Counter::refused(RefusalReason::Connections), 1);
        let service = service_fn(|_: Request<Incoming>| async {
            let verdict = Verdict::not_run(RefusalReason::Connections, 1_000);
            let reply = CallReply {
                verdict,
                retries_left: 0,
                tickets: Vec::new(),
            };
            Ok::<_, std::convert::Infallible>(http::write_reply(reply))
        });
        let connection = hyper::server::conn::http1::Builder::new()
            .keep_alive(false)
            .serve_connection(TokioIo::new(stream), service);
        let _ = tokio::time::timeout(self.limits.read_timeout, connection).await;
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let is_announcement = self.target.is_some()
            && request.method() == Method::POST
            && request.uri().path() == ANNOUNCE_PATH;
        let (parts, body) = request.into_parts();
        let body = match self.read_body(body).await {
            Ok(body) => body,
            Err(bad) => return self.refuse_bad(&bad),
        };
        if is_announcement {
            return self.hear_announcement(&body);
        }
        let is_from_target = self.target.is_some();
        let call = http::read_call(
            &parts.method,
            &parts.uri,
            &parts.headers,
            body,
            is_from_target,
        );
        match call {
            Ok(request) => self.call(request).await,
            Err(bad) => self.refuse_bad(&bad),
        }
    }

    async fn call(&self, request: crate::request::CallRequest) -> Response<Full<Bytes>> {
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
            Ok(reply) => http::write_reply(reply),
            Err(_) => self.refuse_bad(&BadRequest::new("the daemon ended")),
        }
    }

    async fn read_body(&self, body: Incoming) -> Result<Bytes, BadRequest> {
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
        self.metrics.add(Counter::refused(bad.reason), 1);
        http::write_bad_request(bad)
    }

    fn hear_announcement(&self, body: &[u8]) -> Response<Full<Bytes>> {
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
            .is_some_and(|target| target.announce(announcement.clone()));
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
