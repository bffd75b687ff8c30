//! What the guard asks of admission, and the answers.

use macro_rules_attribute::apply;

use crate::derives::value;
use crate::ids::{CallKey, WorkKind};
use crate::request::Rank;
use crate::verdict::Refusal;

/// A call that arrives at the guard and asks for admission.
#[apply(value!)]
pub struct Arrival {
    /// The call.
    pub call: CallKey,
    /// Its rank; calls of a lower rank are shed first.
    pub rank: Rank,
    /// The deadline for its answer, on the node's clock.
    pub deadline_us: u64,
    /// The kind of work.
    pub kind: WorkKind,
}

/// A queued call that is removed from the queue and refused.
#[apply(value!)]
pub struct EvictedCall {
    /// The call.
    pub call: CallKey,
    /// The refusal for its caller.
    pub refusal: Refusal,
}

/// The result for an arrival, and for the queued calls that it displaces.
#[derive(Clone, Debug, PartialEq)]
pub struct OfferResult {
    /// What happens to the arrival.
    pub outcome: AdmissionOutcome,
    /// Queued calls that are refused to make room.
    pub evicted: Vec<EvictedCall>,
}

/// What happens to an arrival.
#[apply(value!)]
pub enum AdmissionOutcome {
    /// It is sent to the target at once.
    Start,
    /// It waits in the queue.
    Queued,
    /// It is refused.
    Refused(Refusal),
}

/// The calls that leave the queue after a change: a call ended, slots were added or time passed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DequeuedCalls {
    /// Calls that are sent to the target now.
    pub started: Vec<CallKey>,
    /// Calls that are refused now.
    pub evicted: Vec<EvictedCall>,
}

/// How a call at the target ended.
#[apply(value!)]
pub enum CallOutcome {
    /// With an answer that is not a server error of the target itself.
    Answered,
    /// With a server error or without a complete answer.
    Failed,
    /// It was cancelled.
    Cancelled,
}

/// Where a cancelled call was found.
#[apply(value!)]
pub enum CancelOutcome {
    /// The call was queued and will not be sent.
    RemovedFromQueue,
    /// The call is at the target; it occupies its slot until it ends.
    InFlight,
    /// The call is neither queued nor at the target.
    Unknown,
}

impl OfferResult {
    pub(super) fn refused(refusal: Refusal) -> Self {
        Self {
            outcome: AdmissionOutcome::Refused(refusal),
            evicted: Vec::new(),
        }
    }
}
