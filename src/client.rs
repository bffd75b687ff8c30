//! The caller library: tickets, deadlines, the retry allowance and typed verdicts.
//!
//! A request keeps its identifier over its repeats, and a repeat spends from the allowance that the
//! daemon handed back. What may have run is asked for again only under the same ticket or key.

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
use tickets::TicketStock;

/// The time after which an idle connection is closed.
const IDLE: Duration = Duration::from_secs(30);

/// The share of a wait that is added at most as jitter.
const JITTER_SHARE: f64 = 0.25;

/// Settings of a [`Client`].
#[apply(settings!)]
pub struct ClientSettings {
    /// The name under which daemons count the caller's retries.
    pub caller: Caller,
    /// The connections open at once, over all daemons.
    pub connections_max: usize,
    /// The repeats of an idempotent request whose first try brought no reply at all.
    #[serde(rename = "unknown_repeats")]
    pub retries_without_allowance: u32,
    /// The times that the answer to a ticket or key is asked for again.
    #[serde(rename = "answer_asks_max")]
    pub answer_requests_max: u32,
    /// Feeds the choice of identifiers and waits; at random where there is none.
    pub seed: Option<u64>,
}

impl Default for ClientSettings {
    fn default() -> Self {
        Self {
            caller: Caller::from("client"),
            connections_max: 256,
            retries_without_allowance: 1,
            answer_requests_max: 5,
            seed: None,
        }
    }
}

/// A request of a caller.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientRequest {
    /// The service.
    pub service: ServiceName,
    /// The method.
    pub method: String,
    /// The path below the service, starting with `/`.
    pub path: String,
    /// Further headers.
    pub headers: Vec<Header>,
    /// The body.
    pub body: Bytes,
    /// The time that the caller waits, repeats included.
    pub deadline: Duration,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// The caller's own key for running it at most once, never used before.
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

/// What came of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestOutcome {
    /// The verdict.
    pub verdict: Verdict,
    /// The times that the request was sent.
    pub attempts: u32,
}

/// A caller of one or more daemons; for use on a tokio runtime.
pub struct Client {
    settings: ClientSettings,
    daemons: Vec<SocketAddr>,
    next_daemon: AtomicUsize,
    http: HttpClient<HttpConnector, Full<Bytes>>,
    connections: Semaphore,
    tickets: Mutex<TicketStock>,
    rng: Mutex<ChaCha8Rng>,
}

impl Client {
    /// Makes a client of the daemons at these caller addresses; they are taken in turn.
    pub fn new(settings: ClientSettings, daemons: &[SocketAddr]) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let http = HttpClient::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE)
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

    /// Sends a request and repeats it as the daemons allow, within its deadline.
    pub async fn call(&self, request: &ClientRequest) -> RequestOutcome {
        let start = Instant::now();
        let mut state = RequestState::new(&self.settings, request, self.new_request_id());
        loop {
            let left = request.deadline.saturating_sub(start.elapsed());
            self.take_ticket(request, &mut state);
            let reply = self.send_once(request, state.attempt(), left).await;
            self.keep_tickets(request, &mut state, &reply);
            let left = request.deadline.saturating_sub(start.elapsed());
            match state.hear(reply.verdict, reply.retries_left, left) {
                NextStep::Complete(verdict) => {
                    return RequestOutcome {
                        verdict,
                        attempts: state.attempts(),
                    };
                }
                NextStep::Retry { delay } => self.wait(delay, left).await,
            }
        }
    }

    /// Sends a request once and waits for the reply until the time is over.
    ///
    /// Where nothing can be sent to one daemon, the others are tried in turn.
    pub async fn send_once(
        &self,
        request: &ClientRequest,
        attempt: &Attempt,
        left: Duration,
    ) -> Reply {
        let waiting = tokio::time::timeout(left, self.connections.acquire()).await;
        let Ok(Ok(_connection)) = waiting else {
            return Reply::unsent(RefusalReason::Deadline);
        };
        for _ in &self.daemons {
            let daemon = self.choose_daemon();
            let Some(message) = http_codec::write(daemon, &self.settings, request, attempt, left)
            else {
                return Reply::unsent(RefusalReason::BadRequest);
            };
            let sent = tokio::time::timeout(left, self.http.request(message)).await;
            match sent {
                Err(_) => return Reply::lost(DoubtReason::Deadline),
                Ok(Ok(response)) => return http_codec::read(response, left).await,
                Ok(Err(error)) if error.is_connect() => {}
                Ok(Err(_)) => return Reply::lost(DoubtReason::ConnectionLost),
            }
        }
        Reply::unsent(RefusalReason::Unreachable)
    }

    fn choose_daemon(&self) -> SocketAddr {
        let at = self.next_daemon.fetch_add(1, Ordering::Relaxed);
        self.daemons[at % self.daemons.len()]
    }

    fn new_request_id(&self) -> RequestId {
        let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
        RequestId(rng.next_u64())
    }

    /// Gives a request that must run at most once a ticket from the stock.
    fn take_ticket(&self, request: &ClientRequest, state: &mut RequestState) {
        if !state.wants_ticket() {
            return;
        }
        let mut stock = self.tickets.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(ticket) = stock.take(&request.service, Instant::now()) {
            state.use_key(RunKey::Ticket(ticket));
        }
    }

    /// Gives a request that needs a ticket one of those handed out and keeps the others.
    fn keep_tickets(&self, request: &ClientRequest, state: &mut RequestState, reply: &Reply) {
        let Some((own, others)) = reply.tickets.split_last() else {
            return;
        };
        let needs_ticket = matches!(
            reply.verdict,
            Verdict::NotRun(Refusal {
                reason: RefusalReason::TicketNeeded,
                ..
            })
        );
        let kept = if needs_ticket && state.is_keyless() {
            state.use_key(RunKey::Ticket(*own));
            others
        } else {
            &reply.tickets
        };
        let mut stock = self.tickets.lock().unwrap_or_else(PoisonError::into_inner);
        stock.put(&request.service, kept, Instant::now());
    }

    async fn wait(&self, after: Duration, left: Duration) {
        if after.is_zero() {
            return;
        }
        let share: f64 = {
            let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
            rng.random()
        };
        let wait = after.mul_f64(1.0 + JITTER_SHARE * share);
        tokio::time::sleep(wait.min(left)).await;
    }
}

impl Reply {
    fn unsent(reason: RefusalReason) -> Self {
        let refusal = Refusal {
            reason,
            retry_after_ms: 0,
            is_other_target_worthwhile: false,
        };
        Self::of(Verdict::NotRun(refusal))
    }

    fn lost(reason: DoubtReason) -> Self {
        Self::of(Verdict::may_have_run(reason, 0))
    }

    fn of(verdict: Verdict) -> Self {
        Self {
            verdict,
            retries_left: None,
            tickets: Vec::new(),
        }
    }
}
