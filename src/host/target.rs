//! The HTTP client towards the target beside the daemon.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Uri};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

use super::{TargetLink, TargetRequest, http, lock};
use crate::kernel::TargetOutcome;
use crate::request::{Answer, HttpRequest};
use crate::table::BoxFuture;
use crate::target::Announcement;

/// The time after which an idle connection to the target is closed.
const IDLE: Duration = Duration::from_secs(30);

/// The time without an announcement after which a target counts as lost.
const SILENCE: Duration = Duration::from_secs(5);

/// A target and when it handle_announcement itself last.
struct HeardTarget {
    announcement: Announcement,
    heard: Instant,
}

/// A client with kept connections to one target.
pub struct TargetClient {
    client: Client<HttpConnector, Full<Bytes>>,
    target: Mutex<Option<HeardTarget>>,
}

impl Default for TargetClient {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE)
            .pool_timer(TokioTimer::new())
            .build(connector);
        Self {
            client,
            target: Mutex::new(None),
        }
    }
}

impl TargetClient {
    /// Notes an announcement; returns whether it says something new.
    pub fn record_announcement(&self, announcement: Announcement) -> bool {
        let mut target = lock(&self.target);
        let is_unchanged = target
            .as_ref()
            .is_some_and(|known| known.announcement == announcement);
        let heard = Instant::now();
        *target = Some(HeardTarget {
            announcement,
            heard,
        });
        !is_unchanged
    }

    /// Forgets a target that stopped announcing itself; returns whether it did.
    pub fn expire_target(&self) -> bool {
        let mut target = lock(&self.target);
        let is_silent = target
            .as_ref()
            .is_some_and(|known| known.heard.elapsed() > SILENCE);
        if is_silent {
            *target = None;
        }
        is_silent
    }

    fn request(&self, http: HttpRequest) -> Option<Request<Full<Bytes>>> {
        let address = lock(&self.target).as_ref()?.announcement.address;
        let uri: Uri = format!("http://{address}{}", http.path).parse().ok()?;
        let mut builder = Request::builder().method(http.method.as_str()).uri(uri);
        for header in &http.headers {
            builder = builder.header(&header.name, &header.value);
        }
        builder.body(Full::new(http.body)).ok()
    }

    async fn exchange(&self, http: HttpRequest) -> TargetOutcome {
        let Some(request) = self.request(http) else {
            return TargetOutcome::NotSent;
        };
        let response = match self.client.request(request).await {
            Ok(response) => response,
            Err(error) if error.is_connect() => return TargetOutcome::NotSent,
            Err(_) => return TargetOutcome::Lost,
        };
        let status = response.status().as_u16();
        let headers = http::forwarded_headers(response.headers());
        match response.into_body().collect().await {
            Ok(body) => TargetOutcome::Answered(Answer::new(status, headers, body.to_bytes())),
            Err(_) => TargetOutcome::Lost,
        }
    }
}

impl TargetLink for TargetClient {
    fn send(&self, request: TargetRequest) -> BoxFuture<'_, TargetOutcome> {
        Box::pin(async move {
            let exchange = self.exchange(request.http);
            let exchange = tokio::time::timeout(request.timeout, exchange).await;
            exchange.unwrap_or(TargetOutcome::Lost)
        })
    }
}
