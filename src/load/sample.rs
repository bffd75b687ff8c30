//! What came of each request of a load.

use macro_rules_attribute::apply;

use crate::derives::value;
use crate::verdict::{DoubtReason, RefusalReason};

/// How a request ended.
#[apply(value!)]
pub enum SampleOutcome {
    /// With a whole answer in time.
    Good,
    /// With a whole answer after the deadline.
    Late,
    /// With a server error of the target.
    TargetError,
    /// With an answer that is not the one to this request.
    WrongAnswer,
    /// Refused without having run.
    NotRun(RefusalReason),
    /// Without it being known whether it ran.
    MayHaveRun(DoubtReason),
}

impl SampleOutcome {
    /// Returns the verdict's name.
    pub fn verdict(self) -> &'static str {
        match self {
            Self::Good | Self::Late | Self::TargetError | Self::WrongAnswer => "ran",
            Self::NotRun(_) => "not-run",
            Self::MayHaveRun(_) => "may-have-run",
        }
    }

    /// Returns the reason's code.
    pub fn reason(self) -> &'static str {
        match self {
            Self::Good => "good",
            Self::Late => "late",
            Self::TargetError => "target_error",
            Self::WrongAnswer => "wrong_answer",
            Self::NotRun(reason) => reason.code(),
            Self::MayHaveRun(reason) => reason.code(),
        }
    }
}

/// One request of a load.
#[apply(value!)]
pub struct Sample {
    /// The time at which it was due, from the start of the load.
    pub due_us: u64,
    /// The time from then until it was sent first.
    pub start_delay_us: u64,
    /// The time from when it was due until its end.
    pub latency_us: u64,
    /// The position of its kind in the scenario.
    pub kind: usize,
    /// The times that it was sent.
    pub attempts: u32,
    /// How it ended.
    pub outcome: SampleOutcome,
}
