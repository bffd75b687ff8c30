//! What a target truly ran.

use serde::{Deserialize, Serialize};

/// How far a run came.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// It is under way.
    Running,
    /// It ended with its whole work done.
    Done,
    /// It ended with an error.
    Failed,
    /// Its connection was closed before its end.
    Cancelled,
}

/// One run of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// The request's identifier, as the daemon sent it.
    pub request: Option<String>,
    /// The field `key` of the body, where it is JSON.
    pub key: Option<String>,
    /// The method.
    pub method: String,
    /// The path and query.
    pub path: String,
    /// How far it came.
    pub state: RunState,
    /// The time from the target's start to the run's.
    pub started_us: u64,
    /// The time that a slot worked on it, without its child calls.
    pub work_us: u64,
    /// The time from the beginning of a drain to the run's start.
    pub after_drain_us: Option<u64>,
}

/// What a target ran so far.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RunLog {
    /// The runs, in the order of their start.
    pub runs: Vec<Run>,
    /// The requests that were refused for lack of a slot, and did not run.
    pub refused: u64,
    /// The connections that were closed for lack of room.
    pub connections_refused: u64,
}

impl RunLog {
    /// Returns the number of runs with a body key.
    pub fn runs_of_key(&self, key: &str) -> usize {
        let mut count = 0;
        for run in &self.runs {
            count += usize::from(run.key.as_deref() == Some(key));
        }
        count
    }

    /// Returns the number of runs of a request.
    pub fn runs_of_request(&self, request: &str) -> usize {
        let mut count = 0;
        for run in &self.runs {
            count += usize::from(run.request.as_deref() == Some(request));
        }
        count
    }

    /// Returns the work of all runs.
    pub fn work_us(&self) -> u64 {
        let mut sum_us = 0;
        for run in &self.runs {
            sum_us += run.work_us;
        }
        sum_us
    }
}
