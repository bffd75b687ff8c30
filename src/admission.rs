//! Admission: which requests are sent to the target, wait or are refused.

use macro_rules_attribute::apply;

use crate::derives::value;
use crate::ids::CallKey;
use crate::request::Rank;
use crate::verdict::Refusal;

/// The name of the admission service.
pub const NAME: &str = "admission";

/// A request that asks to be admitted.
#[apply(value!)]
pub struct Arrival {
    /// The call.
    pub call: CallKey,
    /// The order in which it is shed.
    pub rank: Rank,
    /// The time by which its answer must be there, on the node's clock.
    pub deadline_us: u64,
}

/// A queued call that is refused after all.
#[apply(value!)]
pub struct Evicted {
    /// The call.
    pub call: CallKey,
    /// The refusal to give.
    pub refusal: Refusal,
}

/// What becomes of an arrival.
#[apply(value!)]
pub enum Admitted {
    /// It is sent to the target now.
    Start,
    /// It waits.
    Queued,
    /// It is refused.
    Refused(Refusal),
}

/// What becomes of calls after a change.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Released {
    /// Calls that are sent to the target now.
    pub started: Vec<CallKey>,
    /// Calls that are refused now.
    pub evicted: Vec<Evicted>,
}

/// How a request at the target ended.
#[apply(value!)]
pub enum Ended {
    /// With an answer that is no server error.
    Answered,
    /// With a server error or without a whole answer.
    Failed,
    /// It was cancelled.
    Cancelled,
}
