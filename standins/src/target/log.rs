//! The log of what the target stand-in ran, whatever was reported to its callers.

use serde::{Deserialize, Serialize};

/// The state of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// It is in progress.
    Running,
    /// It completed all of its work.
    Done,
    /// It ended with an error.
    Failed,
    /// Its connection was closed before it ended.
    Cancelled,
}

/// One run of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// The request's identifier as sent by the daemon.
    pub request: Option<String>,
    /// The field `key` of the body, if the body is JSON and the field is a string.
    pub key: Option<String>,
    /// The method.
    pub method: String,
    /// The path and query.
    pub path: String,
    /// The state of the run.
    pub state: RunState,
    /// The time from the start of the target to the start of the run.
    pub started_us: u64,
    /// The time spent on the run itself, without its child calls. For a run that was cancelled
    /// before its service time was over or while it hung, all the time since its start; 0 while it
    /// is in progress.
    pub work_us: u64,
    /// The time from the start of a drain to the start of the run; `None` without a drain.
    pub after_drain_us: Option<u64>,
}

/// The log of what a target ran and refused so far.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RunLog {
    /// The runs, in the order of their start.
    pub runs: Vec<Run>,
    /// The number of requests that were refused because slots and backlog were full, and did not
    /// run.
    pub refused: u64,
    /// The number of connections that were closed because too many were open.
    pub connections_refused: u64,
}

impl RunLog {
    /// Returns the number of runs whose body has `key` as the value of its field `key`.
    pub fn count_runs_with_key(&self, key: &str) -> usize {
        let mut count = 0;
        for run in &self.runs {
            count += usize::from(run.key.as_deref() == Some(key));
        }
        count
    }

    /// Returns the number of runs of the request with an identifier.
    pub fn count_runs_of_request(&self, request: &str) -> usize {
        let mut count = 0;
        for run in &self.runs {
            count += usize::from(run.request.as_deref() == Some(request));
        }
        count
    }

    /// Returns the total work of all runs, without child calls.
    pub fn work_us(&self) -> u64 {
        let mut sum_us = 0;
        for run in &self.runs {
            sum_us += run.work_us;
        }
        sum_us
    }
}
