//! The client library of callers: tickets, deadlines, the retry allowance and typed verdicts.
//!
//! All attempts of a request have the same request identifier, and each retry is deducted from the
//! allowance that a daemon last reported, or from a limit of the client if none has reported one.
//! Attempts that fetch an answer under the same ticket or key, and those after a `ticket_needed`
//! refusal, are not deducted. A request that must run at most once and may have run is sent again
//! only under the same ticket or idempotency key.

mod http_codec;
mod request_state;
mod tickets;

pub use request_state::{Attempt, NextStep, Reply};

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper_util::client::legacy::Client as HttpClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use macro_rules_attribute::apply;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::sync::Semaphore;

use crate::derives::settings;
use crate::ids::{Caller, RequestId, ServiceName};
use crate::request::{Header, RunKey};
use crate::verdict::{DoubtReason, Refusal, RefusalReason, Verdict};
use request_state::RequestState;
use tickets::TicketCache;

/// The time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// The maximum jitter that is added to a delay, as a share of the delay.
const JITTER_SHARE_MAX: f64 = 0.25;

/// Settings of a [`Client`].
#[apply(settings!)]
pub struct ClientSettings {
    /// The caller name by which the daemons account for retries.
    pub caller: Caller,
    /// The maximum number of requests in flight, and so of connections in use, over all daemons.
    pub connections_max: usize,
    /// The maximum number of retries of a request while no daemon has reported an allowance, for
    /// example because the first attempt of an idempotent request got no reply at all.
    #[serde(rename = "unknown_repeats")]
    pub retries_without_allowance: u32,
    /// The maximum number of further attempts of a request under the same ticket or key, which
    /// fetch the answer after a doubt.
    #[serde(rename = "answer_asks_max")]
    pub answer_fetches_max: u32,
    /// The seed of request identifiers and jitter; `None` for a random seed.
    pub seed: Option<u64>,
}

impl Default for ClientSettings {
    fn default() -> Self {
        Self {
            caller: Caller::from("client"),
            connections_max: 256,
            retries_without_allowance: 1,
            answer_fetches_max: 5,
            seed: None,
        }
    }
}

/// A request of a caller to a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientRequest {
    /// The service that is called.
    pub service: ServiceName,
    /// The HTTP method.
    pub method: String,
    /// The path below the service, starting with `/`.
    pub path: String,
    /// Additional headers.
    pub headers: Vec<Header>,
    /// The body.
    pub body: Bytes,
    /// How long the caller waits, including retries. The last attempt may end later; see
    /// [`Client::send_once`].
    pub deadline: Duration,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// The caller's idempotency key, under which the request runs at most once. The key must not
    /// have been used before.
    pub idempotency_key: Option<String>,
}

impl Default for ClientRequest {
    fn default() -> Self {
        Self {
            service: ServiceName::from(""),
            method: "GET".into(),
            path: "/".into(),
            headers: Vec::new(),
            body: Bytes::new(),
            deadline: Duration::from_secs(10),
            is_idempotent: true,
            idempotency_key: None,
        }
    }
}

/// The outcome of a request after all its attempts.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestOutcome {
    /// The verdict on the request as a whole.
    pub verdict: Verdict,
    /// The number of attempts, including those that ended before the request was sent.
    pub attempts: u32,
}

/// A client of one or more daemons. Its methods must run on a tokio runtime.
pub struct Client {
    settings: ClientSettings,
    daemons: Vec<SocketAddr>,
    next_daemon: AtomicUsize,
    http: HttpClient<HttpConnector, Full<Bytes>>,
    connections: Semaphore,
    tickets: Mutex<TicketCache>,
    rng: Mutex<ChaCha8Rng>,
}

impl Client {
    /// Creates a client of the daemons at these caller addresses, which are used in rotation.
    pub fn new(settings: ClientSettings, daemons: &[SocketAddr]) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let http = HttpClient::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_timer(TokioTimer::new())
            .build(connector);
        let seed = settings.seed.unwrap_or_else(|| rand::rng().next_u64());
        Self {
            daemons: daemons.to_vec(),
            next_daemon: AtomicUsize::new(0),
            http,
            connections: Semaphore::new(settings.connections_max),
            tickets: Mutex::default(),
            rng: Mutex::new(ChaCha8Rng::seed_from_u64(seed)),
            settings,
        }
    }

    /// Sends a request and retries it as the daemons allow, within its deadline.
    pub async fn call(&self, request: &ClientRequest) -> RequestOutcome {
        let start = Instant::now();
        let mut state = RequestState::new(&self.settings, request, self.new_request_id());
        loop {
            let remaining = request.deadline.saturating_sub(start.elapsed());
            self.assign_cached_ticket(request, &mut state);
            let reply = self.send_once(request, state.attempt(), remaining).await;
            self.store_issued_tickets(request, &mut state, &reply);
            let remaining = request.deadline.saturating_sub(start.elapsed());
            match state.handle_verdict(reply.verdict, reply.retries_left, remaining) {
                NextStep::Complete(verdict) => {
                    return RequestOutcome {
                        verdict,
                        attempts: state.attempts(),
                    };
                }
                NextStep::Retry { delay } => self.sleep_with_jitter(delay, remaining).await,
            }
        }
    }

    /// Sends a request once and waits for the reply.
    ///
    /// If the connection to a daemon fails before anything is sent, the next daemon is used.
    ///
    /// `remaining` limits separately the wait for a connection permit, each daemon's response head
    /// and the response body, so the attempt can take several times as long. It is also sent to
    /// the daemon as the deadline, not reduced by the wait for the permit.
    pub async fn send_once(
        &self,
        request: &ClientRequest,
        attempt: &Attempt,
        remaining: Duration,
    ) -> Reply {
        let permit = tokio::time::timeout(remaining, self.connections.acquire()).await;
        let Ok(Ok(_permit)) = permit else {
            return Reply::unsent(RefusalReason::Deadline);
        };
        for _ in &self.daemons {
            let daemon = self.choose_daemon();
            let Some(message) =
                http_codec::encode_request(daemon, &self.settings, request, attempt, remaining)
            else {
                return Reply::unsent(RefusalReason::BadRequest);
            };
            let sent = tokio::time::timeout(remaining, self.http.request(message)).await;
            match sent {
                Err(_) => return Reply::lost(DoubtReason::Deadline),
                Ok(Ok(response)) => return http_codec::decode_response(response, remaining).await,
                Ok(Err(error)) if error.is_connect() => {}
                Ok(Err(_)) => return Reply::lost(DoubtReason::ConnectionLost),
            }
        }
        Reply::unsent(RefusalReason::Unreachable)
    }

    fn choose_daemon(&self) -> SocketAddr {
        let index = self.next_daemon.fetch_add(1, Ordering::Relaxed);
        self.daemons[index % self.daemons.len()]
    }

    fn new_request_id(&self) -> RequestId {
        let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
        RequestId(rng.next_u64())
    }

    /// Assigns a cached ticket to a request that needs one and has none yet.
    fn assign_cached_ticket(&self, request: &ClientRequest, state: &mut RequestState) {
        if !state.is_missing_ticket() {
            return;
        }
        let mut cache = self.tickets.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(ticket) = cache.pop(&request.service, Instant::now()) {
            state.set_run_key(RunKey::Ticket(ticket));
        }
    }

    /// Assigns one of the issued tickets to the request if it needs one, and caches the others.
    fn store_issued_tickets(
        &self,
        request: &ClientRequest,
        state: &mut RequestState,
        reply: &Reply,
    ) {
        let Some((assigned, others)) = reply.tickets.split_last() else {
            return;
        };
        let is_ticket_refusal = matches!(
            reply.verdict,
            Verdict::NotRun(Refusal {
                reason: RefusalReason::TicketNeeded,
                ..
            })
        );
        let cached = if is_ticket_refusal && state.has_no_run_key() {
            state.set_run_key(RunKey::Ticket(*assigned));
            others
        } else {
            &reply.tickets
        };
        let mut cache = self.tickets.lock().unwrap_or_else(PoisonError::into_inner);
        cache.insert(&request.service, cached, Instant::now());
    }

    async fn sleep_with_jitter(&self, delay: Duration, remaining: Duration) {
        if delay.is_zero() {
            return;
        }
        let share: f64 = {
            let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
            rng.random()
        };
        let jittered = delay.mul_f64(1.0 + JITTER_SHARE_MAX * share);
        tokio::time::sleep(jittered.min(remaining)).await;
    }
}

impl Reply {
    fn unsent(reason: RefusalReason) -> Self {
        let refusal = Refusal {
            reason,
            retry_after_ms: 0,
            is_other_target_worthwhile: false,
        };
        Self::from_verdict(Verdict::NotRun(refusal))
    }

    fn lost(reason: DoubtReason) -> Self {
        Self::from_verdict(Verdict::may_have_run(reason, 0))
    }

    fn from_verdict(verdict: Verdict) -> Self {
        Self {
            verdict,
            retries_left: None,
            tickets: Vec::new(),
        }
    }
}
