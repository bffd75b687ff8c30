//! The measured outcome of each request of a load.

use macro_rules_attribute::apply;

use crate::derives::value;
use crate::verdict::{DoubtReason, RefusalReason};

/// How a request ended, as the report counts it.
#[apply(value!)]
pub enum SampleOutcome {
    /// It got a complete answer with a status below 500 within its deadline. The answer of an echo
    /// request also equals the body that was sent.
    Good,
    /// It got such an answer after its deadline.
    Late,
    /// The target answered with a server error.
    TargetError,
    /// The answer of an echo request differs from the body that was sent.
    WrongAnswer,
    /// It did not run: it was refused, or the client did not send it.
    NotRun(RefusalReason),
    /// It is unknown whether it ran.
    MayHaveRun(DoubtReason),
}

impl SampleOutcome {
    /// Returns the name of the verdict.
    pub fn verdict(self) -> &'static str {
        match self {
            Self::Good | Self::Late | Self::TargetError | Self::WrongAnswer => "ran",
            Self::NotRun(_) => "not-run",
            Self::MayHaveRun(_) => "may-have-run",
        }
    }

    /// Returns the code of the reason.
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

/// The measurements of one request of a load.
#[apply(value!)]
pub struct Sample {
    /// The time at which it was due, relative to the start of the load.
    pub due_us: u64,
    /// The delay from the due time to the start of its task in the load generator; the wait for a
    /// connection permit comes later and is not included.
    pub start_delay_us: u64,
    /// The latency from the due time to the end of the request.
    pub latency_us: u64,
    /// The index of its kind in the scenario.
    #[serde(rename = "kind")]
    pub kind_index: usize,
    /// The number of attempts, including those that ended before the request was sent.
    pub attempts: u32,
    /// How it ended.
    pub outcome: SampleOutcome,
}
