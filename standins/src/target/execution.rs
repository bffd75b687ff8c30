//! The execution of one request: its slot, service time, child calls and entry in the log.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::HeaderMap;

use super::children;
use super::config::{Behaviour, TargetMode};
use super::log::{Run, RunState};
use super::state::{State, whole_micros};
use super::{ANSWER_BYTES_HEADER, CRASH_AFTER_US_HEADER, SERVICE_US_HEADER};

/// The header that identifies a request.
pub(super) const REQUEST_HEADER: &str = "x-dragonflylug-request";

/// A request as the target received it.
pub(super) struct IncomingRequest {
    pub(super) method: String,
    pub(super) path: String,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
}

/// The outcome of a request.
pub(super) enum RunOutcome {
    /// It ran; the body of the answer and the work done, including child calls.
    Answer { body: Bytes, total_work_us: u64 },
    /// It ran, but its answer is to be truncated; the whole body.
    Truncated(Bytes),
    /// Slots and backlog were full; nothing ran.
    Refused,
    /// It failed; the status of the answer and the work done, including child calls.
    Failed { status: u16, total_work_us: u64 },
}

/// Records the end of a run in the log when dropped; a run that is dropped early was cancelled.
struct RunRecorder {
    state: Arc<State>,
    index: usize,
    work_start: Instant,
    work: Option<Duration>,
    end: RunState,
}

impl RunRecorder {
    fn start(state: &Arc<State>, request: &IncomingRequest) -> Self {
        let run = Run {
            request: request.header(REQUEST_HEADER).map(str::to_string),
            key: request.key(),
            method: request.method.clone(),
            path: request.path.clone(),
            state: RunState::Running,
            started_us: 0,
            work_us: 0,
            after_drain_us: None,
        };
        Self {
            state: Arc::clone(state),
            index: state.start_run(run),
            work_start: Instant::now(),
            work: None,
            end: RunState::Cancelled,
        }
    }
}

impl Drop for RunRecorder {
    fn drop(&mut self) {
        let work = self.work.unwrap_or_else(|| self.work_start.elapsed());
        self.state.end_run(self.index, self.end, work);
    }
}

impl IncomingRequest {
    /// Returns the value of a header.
    pub(super) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns the request's identifier.
    pub(super) fn request_id(&self) -> Option<&str> {
        self.header(REQUEST_HEADER)
    }

    /// Returns the field `key` of the body, if the body is JSON and the field is a string.
    pub(super) fn key(&self) -> Option<String> {
        let body: serde_json::Value = serde_json::from_slice(&self.body).ok()?;
        Some(body.get("key")?.as_str()?.to_string())
    }

    fn header_number(&self, name: &str) -> Option<u64> {
        self.header(name)?.parse().ok()
    }

    fn answer_body(&self) -> Bytes {
        match self.header_number(ANSWER_BYTES_HEADER) {
            Some(bytes) => vec![b'a'; usize::try_from(bytes).unwrap_or(0)].into(),
            None => self.body.clone(),
        }
    }

    /// Runs the request.
    pub(super) async fn run(&self, state: &Arc<State>) -> RunOutcome {
        let Some(_slot) = state.acquire_slot().await else {
            return RunOutcome::Refused;
        };
        let behaviour = state.behaviour();
        let mut run = RunRecorder::start(state, self);
        if let Some(after_us) = self.header_number(CRASH_AFTER_US_HEADER) {
            tokio::time::sleep(Duration::from_micros(after_us)).await;
            state.crashed.notify_one();
            std::future::pending::<()>().await;
        }
        match behaviour.mode {
            TargetMode::Hang => std::future::pending::<()>().await,
            TargetMode::Error => {
                run.work = Some(Duration::ZERO);
                run.end = RunState::Failed;
                return RunOutcome::Failed {
                    status: 500,
                    total_work_us: 0,
                };
            }
            TargetMode::Normal | TargetMode::CutAnswer => {}
        }
        let own_work = self.spend_service_time(state, &behaviour).await;
        run.work = Some(own_work);
        let children = children::call_all(state, &behaviour, self).await;
        let total_work_us = whole_micros(own_work) + children.work_us;
        if children.is_failed {
            run.end = RunState::Failed;
            return RunOutcome::Failed {
                status: 502,
                total_work_us,
            };
        }
        run.end = RunState::Done;
        if behaviour.mode == TargetMode::CutAnswer {
            return RunOutcome::Truncated(self.answer_body());
        }
        RunOutcome::Answer {
            body: self.answer_body(),
            total_work_us,
        }
    }

    /// Draws the service time of the request, sleeps for that time and returns it.
    async fn spend_service_time(&self, state: &State, behaviour: &Behaviour) -> Duration {
        let mean = match self.header_number(SERVICE_US_HEADER) {
            Some(service_us) => Duration::from_micros(service_us),
            None => Duration::from_secs_f64(behaviour.service_ms.max(0.0) / 1_000.0),
        };
        let service_time = state.draw_service_time(mean, behaviour.distribution);
        if !service_time.is_zero() {
            tokio::time::sleep(service_time).await;
        }
        service_time
    }
}
