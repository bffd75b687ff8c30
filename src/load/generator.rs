//! Sends the requests of a scenario at their times.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use tokio::task::JoinSet;

use super::pacer::Pacer;
use super::report::Report;
use super::sample::{Sample, SampleOutcome};
use super::scenario::{Arrival, RequestKind, RetryPolicy, Scenario};
use crate::client::{Attempt, Client, ClientRequest, ClientSettings, RequestOutcome};
use crate::verdict::Verdict;

/// The least body that carries a key.
const KEYED_BODY_BYTES_MIN: usize = 64;

/// A load under way.
struct Load {
    scenario: Scenario,
    client: Client,
    start: Instant,
}

/// Runs a scenario against the caller addresses of one or more daemons.
pub async fn run(scenario: Scenario, daemons: &[SocketAddr]) -> Report {
    let arrivals = scenario.draw_arrivals();
    let mut due_us = Vec::with_capacity(arrivals.len());
    for arrival in &arrivals {
        due_us.push(arrival.due_us);
    }
    let settings = ClientSettings {
        caller: scenario.caller.clone(),
        connections_max: scenario.connections_max,
        seed: Some(scenario.seed),
        ..ClientSettings::default()
    };
    let mut pacer = Pacer::start(due_us);
    let load = Arc::new(Load {
        client: Client::new(settings, daemons),
        scenario,
        start: pacer.start_time(),
    });
    let mut samples = Vec::with_capacity(arrivals.len());
    let mut running = JoinSet::new();
    while let Some(at) = pacer.next().await {
        running.spawn(Arc::clone(&load).send(at, arrivals[at]));
        while let Some(ended) = running.try_join_next() {
            samples.extend(ended);
        }
    }
    while let Some(ended) = running.join_next().await {
        samples.extend(ended);
    }
    samples.sort_unstable_by_key(|sample| sample.due_us);
    Report::new(&load.scenario, &samples)
}

impl Load {
    async fn send(self: Arc<Self>, at: usize, arrival: Arrival) -> Sample {
        let kind = &self.scenario.kinds[arrival.kind];
        let request = make_request(self.scenario.seed, kind, at);
        let start_delay_us = self.micros_since(arrival.due_us);
        let outcome = match kind.retry_policy {
            RetryPolicy::WithinAllowance => self.client.call(&request).await,
            RetryPolicy::Never => self.send_often(&request, 0).await,
            RetryPolicy::Immediate => self.send_often(&request, kind.immediate_retries_max).await,
        };
        let latency_us = self.micros_since(arrival.due_us);
        let is_late = latency_us > u64::from(kind.deadline_ms) * 1_000;
        Sample {
            due_us: arrival.due_us,
            start_delay_us,
            latency_us,
            kind: arrival.kind,
            attempts: outcome.attempts,
            outcome: classify_outcome(kind, &request, &outcome.verdict, is_late),
        }
    }

    /// Sends a request as a caller without the library does: each try as if it were the first.
    async fn send_often(&self, request: &ClientRequest, repeats: u32) -> RequestOutcome {
        let attempt = Attempt::default();
        let mut attempts = 0;
        loop {
            let reply = self
                .client
                .send_once(request, &attempt, request.deadline)
                .await;
            attempts += 1;
            let is_answered = matches!(&reply.verdict, Verdict::Ran(answer) if answer.status < 500);
            if is_answered || attempts > repeats {
                return RequestOutcome {
                    verdict: reply.verdict,
                    attempts,
                };
            }
        }
    }

    fn micros_since(&self, due_us: u64) -> u64 {
        let due = self.start + Duration::from_micros(due_us);
        let passed = Instant::now().saturating_duration_since(due);
        u64::try_from(passed.as_micros()).unwrap_or(u64::MAX)
    }
}

fn make_request(seed: u64, kind: &RequestKind, at: usize) -> ClientRequest {
    ClientRequest {
        service: kind.service.clone(),
        method: kind.method.clone(),
        path: kind.path.clone(),
        headers: kind.headers.clone(),
        body: make_body(seed, kind, at),
        deadline: Duration::from_millis(kind.deadline_ms.into()),
        is_idempotent: kind.is_idempotent,
        idempotency_key: None,
    }
}

/// Makes a body of the wanted size; one that is large enough carries a key of its own.
fn make_body(seed: u64, kind: &RequestKind, at: usize) -> Bytes {
    if kind.body_bytes < KEYED_BODY_BYTES_MIN {
        return vec![b'x'; kind.body_bytes].into();
    }
    let mut body = format!(r#"{{"key":"{seed}-{at}","padding":""#);
    while body.len() < kind.body_bytes - 2 {
        body.push('x');
    }
    body.push_str(r#""}"#);
    body.into()
}

fn classify_outcome(
    kind: &RequestKind,
    request: &ClientRequest,
    verdict: &Verdict,
    is_late: bool,
) -> SampleOutcome {
    match verdict {
        Verdict::NotRun(refusal) => SampleOutcome::NotRun(refusal.reason),
        Verdict::MayHaveRun(doubt) => SampleOutcome::MayHaveRun(doubt.reason),
        Verdict::Ran(answer) if answer.status >= 500 => SampleOutcome::TargetError,
        Verdict::Ran(answer) if kind.is_echo && answer.body != request.body => {
            SampleOutcome::WrongAnswer
        }
        Verdict::Ran(_) if is_late => SampleOutcome::Late,
        Verdict::Ran(_) => SampleOutcome::Good,
    }
}
