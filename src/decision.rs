//! What a daemon decided on a request, with the inputs that it decided by.

use macro_rules_attribute::apply;

use crate::derives::value;
use crate::ids::{MemberId, ServiceName, TraceId};

/// A step in the course of a request.
#[apply(value!)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// The entry daemon turned it away before it was sent anywhere.
    #[serde(rename = "turned_away")]
    Rejected,
    /// The entry daemon sent it to a guard.
    Placed,
    /// The entry daemon sends it once more, or elsewhere.
    PlacedAgain,
    /// The entry daemon replied.
    Replied,
    /// The guard handed it to the target.
    Started,
    /// The guard refused it.
    Refused,
    /// The target's answer, or the lack of one, reached the guard.
    Ended,
}

impl Step {
    /// Returns the name used in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Rejected => "turned_away",
            Self::Placed => "placed",
            Self::PlacedAgain => "placed_again",
            Self::Replied => "replied",
            Self::Started => "started",
            Self::Refused => "refused",
            Self::Ended => "ended",
        }
    }
}

/// A decision on one request.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// The identifier that the caller gave.
    pub trace_id: TraceId,
    /// The service that is called.
    pub service: ServiceName,
    /// The step.
    pub step: Step,
    /// What came of it, or why it was decided so.
    pub outcome: &'static str,
    /// Whether the request goes on or ended well; such lines are the first to be left out.
    pub is_ordinary: bool,
    /// The inputs.
    pub facts: DecisionInputs,
}

/// The inputs of a decision; those that played no part are 0 or none.
#[apply(value!)]
#[derive(Default)]
pub struct DecisionInputs {
    /// The daemon that the request was sent to.
    pub member: Option<MemberId>,
    /// The time that the request had left.
    pub left_ms: u32,
    /// The time that it had waited or taken.
    pub elapsed_ms: u32,
    /// The status of the target's answer.
    pub status: u16,
    /// The requests that waited at the guard.
    pub queued: u32,
    /// The requests at the target.
    pub in_flight: u32,
    /// The greatest number of requests at the target.
    pub limit: u32,
    /// The pressure on the route, in thousandths.
    pub pressure_permille: u16,
    /// The version of the configuration that held.
    pub config_version: u64,
}
