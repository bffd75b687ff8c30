//! The HTTP client of the target beside the daemon.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::header::{HOST, HeaderMap};

use super::end_check::EndCheck;
use super::pool::{ConnectionUse, Exchange, ExchangeError, HttpPool, PoolSettings};
use super::response_budget::ResponseBudget;
use super::{
    Clock, DepartureSink, MonotonicClock, TargetReply, TargetRequest, TargetTransport, http, lock,
};
use crate::headers;
use crate::kernel::TargetOutcome;
use crate::request::{Answer, HttpRequest};
use crate::table::BoxFuture;
use crate::target::{Announcement, AnswerSignals, Departures, RateLimitSignal, TargetStart};

/// How long a target may send no announcement before it counts as lost.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_secs(5);

/// The maximum size of the bodies of all answers in memory.
const ANSWERS_BYTES_MAX: usize = 128 * 1024 * 1024;

/// The latest announcement of the target, and the instances that drained.
#[derive(Default)]
struct Announcements {
    latest: Option<AnnouncedTarget>,
    departures: Departures,
}

/// The latest announcement of a target and when it arrived.
struct AnnouncedTarget {
    announcement: Announcement,
    announced_at: Instant,
}

/// A client with pooled connections to the target that last announced itself.
pub struct TargetClient {
    /// The connections to the address of the latest announcement.
    pool: Mutex<Option<Arc<HttpPool>>>,
    budget: Arc<ResponseBudget>,
    announcements: Mutex<Announcements>,
    clock: MonotonicClock,
    end_check: EndCheck,
}

impl Default for TargetClient {
    fn default() -> Self {
        Self {
            pool: Mutex::default(),
            budget: ResponseBudget::new(ANSWERS_BYTES_MAX),
            announcements: Mutex::default(),
            clock: MonotonicClock::default(),
            end_check: EndCheck::default(),
        }
    }
}

impl TargetClient {
    /// Records an announcement; returns whether it differs from the one before. An announcement that
    /// an instance is ready is ignored after one that it drains.
    pub fn record_announcement(&self, announcement: Announcement) -> bool {
        let now_us = self.clock.now_us();
        let mut announcements = lock(&self.announcements);
        if !announcements.departures.accept(now_us, &announcement) {
            return false;
        }
        let is_unchanged = announcements
            .latest
            .as_ref()
            .is_some_and(|current| current.announcement == announcement);
        let announced_at = Instant::now();
        announcements.latest = Some(AnnouncedTarget {
            announcement,
            announced_at,
        });
        !is_unchanged
    }

    /// Removes a target that has stopped announcing itself; returns whether it was removed.
    pub fn expire_target(&self) -> bool {
        let mut announcements = lock(&self.announcements);
        let is_expired = announcements
            .latest
            .as_ref()
            .is_some_and(|current| current.announced_at.elapsed() > ANNOUNCEMENT_TIMEOUT);
        if is_expired {
            announcements.latest = None;
        }
        is_expired
    }

    async fn exchange(&self, request: TargetRequest) -> TargetReply {
        let address = lock(&self.announcements).latest_address();
        let request_id = request_id(&request.http);
        let http = address.and_then(|address| build_request(address, request.http));
        let (Some(address), Some(http)) = (address, http) else {
            return TargetOutcome::NotSent.into();
        };
        let matches_request =
            |answer: &HeaderMap, _: ConnectionUse| belongs_to(answer, request_id.as_deref());
        let exchange = Exchange {
            request: http,
            request_id: request_id.as_deref(),
            is_idempotent: request.is_idempotent,
            matches_request: &matches_request,
            permit: Some(request.permit),
        };
        let response = match self.pool_of(address).exchange(exchange).await {
            Ok(response) => response,
            Err(ExchangeError::NotSent) => return TargetOutcome::NotSent.into(),
            Err(ExchangeError::Lost) => {
                return self.end_check.outcome_of_lost(address).await.into();
            }
        };
        let status = response.status().as_u16();
        let headers = http::forwarded_headers(response.headers());
        let signals = read_signals(response.headers());
        TargetReply {
            outcome: TargetOutcome::Answered(Answer::new(status, headers, response.into_body())),
            signals,
        }
    }

    /// Returns the pool of connections to an address, a new one if the address has changed.
    fn pool_of(&self, address: SocketAddr) -> Arc<HttpPool> {
        let mut pool = lock(&self.pool);
        if let Some(pool) = pool.as_ref().filter(|pool| pool.address() == address) {
            return Arc::clone(pool);
        }
        let budget = Arc::clone(&self.budget);
        let new = HttpPool::with_budget(address, PoolSettings::default(), budget);
        Arc::clone(pool.insert(Arc::new(new)))
    }
}

impl Announcements {
    fn latest_address(&self) -> Option<SocketAddr> {
        let latest = self.latest.as_ref()?;
        Some(latest.announcement.address)
    }
}

fn build_request(address: SocketAddr, http: HttpRequest) -> Option<Request<Full<Bytes>>> {
    let mut builder = Request::builder()
        .method(http.method.as_str())
        .uri(http.path.as_str())
        .header(HOST, address.to_string());
    for header in &http.headers {
        builder = builder.header(&header.name, &header.value);
    }
    builder.body(Full::new(http.body)).ok()
}

/// Returns the identifier with which a request is sent to the target.
fn request_id(http: &HttpRequest) -> Option<String> {
    for header in &http.headers {
        if header.name == headers::REQUEST {
            return Some(header.value.clone());
        }
    }
    None
}

/// Returns whether an answer may belong to a request: it names no request or this one.
fn belongs_to(answer: &HeaderMap, request_id: Option<&str>) -> bool {
    let Some(named) = answer.get(headers::REQUEST) else {
        return true;
    };
    request_id.is_some_and(|request_id| named == request_id)
}

/// Reads what the head of an answer says of the target.
fn read_signals(header_map: &HeaderMap) -> AnswerSignals {
    let limits = header_map.get_all(headers::RATE_LIMIT).iter();
    let limits = limits.map(|value| value.to_str().ok());
    AnswerSignals {
        rate_limit: RateLimitSignal::read(limits, true),
        is_leaving: header_map
            .get(headers::LEAVING)
            .is_some_and(|value| value == "1"),
    }
}

impl DepartureSink for Arc<TargetClient> {
    fn record(&self, start: TargetStart) {
        let now_us = self.clock.now_us();
        if let Some(instance) = &start.instance {
            let mut announcements = lock(&self.announcements);
            announcements.departures.record(now_us, instance, None);
        }
    }
}

impl TargetTransport for TargetClient {
    fn send(&self, request: TargetRequest) -> BoxFuture<'_, TargetReply> {
        Box::pin(async move {
            let timeout = request.timeout;
            let exchange = tokio::time::timeout(timeout, self.exchange(request)).await;
            exchange.unwrap_or(TargetOutcome::Lost.into())
        })
    }
}
