//! One run of a request: its slot, its service time, its child calls and its entry in the log.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::HeaderMap;

use super::children;
use super::config::{Behaviour, TargetMode};
use super::log::{Run, RunState};
use super::state::{State, micros};
use super::{ANSWER_BYTES_HEADER, SERVICE_US_HEADER};

/// The header that identifies a request.
const REQUEST_HEADER: &str = "x-dragonflylug-request";

/// A request as the target reads it.
pub(super) struct Work {
    pub(super) method: String,
    pub(super) path: String,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
}

/// What came of a request.
pub(super) enum Worked {
    /// The body and the work done for it, child calls included.
    Answer { body: Bytes, work_us: u64 },
    /// The answer is to be cut in its middle.
    Cut(Bytes),
    /// No slot was free; nothing ran.
    Refused,
    /// The request failed with a status.
    Failed { status: u16, work_us: u64 },
}

/// A run in the log; cancelled where it is dropped before its end.
struct OpenRun {
    state: Arc<State>,
    at: usize,
    work_start: Instant,
    work: Option<Duration>,
    end: RunState,
}

impl OpenRun {
    fn start(state: &Arc<State>, work: &Work) -> Self {
        let run = Run {
            request: work.header(REQUEST_HEADER).map(str::to_string),
            key: work.key(),
            method: work.method.clone(),
            path: work.path.clone(),
            state: RunState::Running,
            started_us: 0,
            work_us: 0,
            after_drain_us: None,
        };
        Self {
            state: Arc::clone(state),
            at: state.start_run(run),
            work_start: Instant::now(),
            work: None,
            end: RunState::Cancelled,
        }
    }
}

impl Drop for OpenRun {
    fn drop(&mut self) {
        let work = self.work.unwrap_or_else(|| self.work_start.elapsed());
        self.state.end_run(self.at, self.end, work);
    }
}

impl Work {
    /// Returns the value of a header.
    pub(super) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns the request's identifier.
    pub(super) fn request(&self) -> Option<&str> {
        self.header(REQUEST_HEADER)
    }

    /// Returns the field `key` of a JSON body.
    pub(super) fn key(&self) -> Option<String> {
        let body: serde_json::Value = serde_json::from_slice(&self.body).ok()?;
        Some(body.get("key")?.as_str()?.to_string())
    }

    fn number(&self, name: &str) -> Option<u64> {
        self.header(name)?.parse().ok()
    }

    fn answer(&self) -> Bytes {
        match self.number(ANSWER_BYTES_HEADER) {
            Some(bytes) => vec![b'a'; usize::try_from(bytes).unwrap_or(0)].into(),
            None => self.body.clone(),
        }
    }

    /// Runs the request.
    pub(super) async fn run(&self, state: &Arc<State>) -> Worked {
        let Some(_slot) = state.take_slot().await else {
            return Worked::Refused;
        };
        let behaviour = state.behaviour();
        let mut run = OpenRun::start(state, self);
        match behaviour.mode {
            TargetMode::Hang => std::future::pending::<()>().await,
            TargetMode::Error => {
                run.work = Some(Duration::ZERO);
                run.end = RunState::Failed;
                return Worked::Failed {
                    status: 500,
                    work_us: 0,
                };
            }
            TargetMode::Normal | TargetMode::CutAnswer => {}
        }
        let own = self.serve(state, &behaviour).await;
        run.work = Some(own);
        let children = children::call(state, &behaviour, self).await;
        let work_us = micros(own) + children.work_us;
        if children.is_failed {
            run.end = RunState::Failed;
            return Worked::Failed {
                status: 502,
                work_us,
            };
        }
        run.end = RunState::Done;
        if behaviour.mode == TargetMode::CutAnswer {
            return Worked::Cut(self.answer());
        }
        Worked::Answer {
            body: self.answer(),
            work_us,
        }
    }

    /// Works for the service time and returns it.
    async fn serve(&self, state: &State, behaviour: &Behaviour) -> Duration {
        let mean = match self.number(SERVICE_US_HEADER) {
            Some(service_us) => Duration::from_micros(service_us),
            None => Duration::from_secs_f64(behaviour.service_ms.max(0.0) / 1_000.0),
        };
        let service = state.draw_service(mean, behaviour.distribution);
        if !service.is_zero() {
            tokio::time::sleep(service).await;
        }
        service
    }
}
