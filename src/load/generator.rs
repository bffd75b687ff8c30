//! Sends the requests of a scenario at their due times and records their outcomes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use tokio::task::JoinSet;

use super::pacer::Pacer;
use super::report::Report;
use super::sample::{Sample, SampleOutcome};
use super::scenario::{RequestKind, RetryPolicy, Scenario, ScheduledRequest};
use crate::client::{Attempt, Client, ClientRequest, ClientSettings, RequestOutcome};
use crate::verdict::Verdict;

/// The minimum size of a body that contains a value that is unique in the load.
const DISTINCT_BODY_BYTES_MIN: usize = 64;

/// The shared state of a load that is running.
struct LoadRun {
    scenario: Scenario,
    client: Client,
    start: Instant,
}

/// Runs a scenario against the caller addresses of one or more daemons and reports on it.
pub async fn run(scenario: Scenario, daemons: &[SocketAddr]) -> Report {
    let schedule = scenario.draw_schedule();
    let mut due_us = Vec::with_capacity(schedule.len());
    for scheduled in &schedule {
        due_us.push(scheduled.due_us);
    }
    let settings = ClientSettings {
        caller: scenario.caller.clone(),
        connections_max: scenario.connections_max,
        seed: Some(scenario.seed),
        ..ClientSettings::default()
    };
    let mut pacer = Pacer::start(due_us);
    let load = Arc::new(LoadRun {
        client: Client::new(settings, daemons),
        scenario,
        start: pacer.start_time(),
    });
    let mut samples = Vec::with_capacity(schedule.len());
    let mut running = JoinSet::new();
    while let Some(index) = pacer.next().await {
        running.spawn(Arc::clone(&load).send(index, schedule[index]));
        while let Some(result) = running.try_join_next() {
            samples.extend(result);
        }
    }
    while let Some(result) = running.join_next().await {
        samples.extend(result);
    }
    samples.sort_unstable_by_key(|sample| sample.due_us);
    Report::new(&load.scenario, &samples)
}

impl LoadRun {
    async fn send(self: Arc<Self>, index: usize, scheduled: ScheduledRequest) -> Sample {
        let kind = &self.scenario.kinds[scheduled.kind_index];
        let request = build_request(self.scenario.seed, kind, index);
        let start_delay_us = self.elapsed_since_due_us(scheduled.due_us);
        let outcome = match kind.retry_policy {
            RetryPolicy::WithinAllowance => self.client.call(&request).await,
            RetryPolicy::Never => self.send_ignoring_allowance(&request, 0).await,
            RetryPolicy::Immediate => {
                self.send_ignoring_allowance(&request, kind.immediate_retries_max)
                    .await
            }
        };
        let latency_us = self.elapsed_since_due_us(scheduled.due_us);
        let is_late = latency_us > u64::from(kind.deadline_ms) * 1_000;
        Sample {
            due_us: scheduled.due_us,
            start_delay_us,
            latency_us,
            kind_index: scheduled.kind_index,
            attempts: outcome.attempts,
            outcome: classify_outcome(kind, &request, &outcome.verdict, is_late),
        }
    }

    /// Sends a request like a caller without the client library: each attempt is sent as if it were
    /// the first, and retries follow immediately, whatever allowance the daemons report.
    async fn send_ignoring_allowance(
        &self,
        request: &ClientRequest,
        retries_max: u32,
    ) -> RequestOutcome {
        let attempt = Attempt::default();
        let mut attempts = 0;
        loop {
            let reply = self
                .client
                .send_once(request, &attempt, request.deadline)
                .await;
            attempts += 1;
            let is_answered = matches!(&reply.verdict, Verdict::Ran(answer) if answer.status < 500);
            if is_answered || attempts > retries_max {
                return RequestOutcome {
                    verdict: reply.verdict,
                    attempts,
                };
            }
        }
    }

    fn elapsed_since_due_us(&self, due_us: u64) -> u64 {
        let due = self.start + Duration::from_micros(due_us);
        let elapsed = Instant::now().saturating_duration_since(due);
        u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
    }
}

fn build_request(seed: u64, kind: &RequestKind, index: usize) -> ClientRequest {
    ClientRequest {
        service: kind.service.clone(),
        method: kind.method.clone(),
        path: kind.path.clone(),
        headers: kind.headers.clone(),
        body: build_body(seed, kind, index),
        deadline: Duration::from_millis(kind.deadline_ms.into()),
        is_idempotent: kind.is_idempotent,
        idempotency_key: None,
    }
}

/// Builds a body of the configured size. If it is large enough, it contains a value that is unique
/// in the load, so that each body differs from the others.
fn build_body(seed: u64, kind: &RequestKind, index: usize) -> Bytes {
    if kind.body_bytes < DISTINCT_BODY_BYTES_MIN {
        return vec![b'x'; kind.body_bytes].into();
    }
    let mut body = format!(r#"{{"key":"{seed}-{index}","padding":""#);
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
