//! The decisions of a daemon on a request, with their inputs, for the decision log.

use macro_rules_attribute::apply;

use crate::derives::value;
use crate::ids::{MemberId, OrganisationName, ServiceName, TraceId};

/// A step in the processing of a request.
#[apply(value!)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// The entry daemon rejected the request before sending it to any guard.
    #[serde(rename = "turned_away")]
    Rejected,
    /// The entry daemon sent the request to a guard.
    Placed,
    /// The entry daemon sends the request again, to the same guard or another.
    PlacedAgain,
    /// The entry daemon replied to the caller.
    Replied,
    /// The guard sent the request to the target.
    Started,
    /// The guard refused the request.
    Refused,
    /// The guard received the target's answer or determined that none will arrive.
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

/// The request that a decision is about.
#[derive(Clone, Debug, PartialEq)]
pub struct DecisionSubject {
    /// The identifier that the caller gave.
    pub trace_id: TraceId,
    /// The service that is called.
    pub service: ServiceName,
    /// The organisation that sent the request, if its key named one.
    pub organisation: Option<OrganisationName>,
}

/// A decision on one request.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// The request.
    pub subject: DecisionSubject,
    /// The step.
    pub step: Step,
    /// The outcome, or the reason for the decision.
    pub outcome: &'static str,
    /// Whether the request continues without a retry or got an answer with a status below 500. The
    /// decision log limits lines of such decisions to a lower rate than those of retries, refusals
    /// and failures, so that they are dropped first.
    pub is_ordinary: bool,
    /// The inputs of the decision.
    pub inputs: DecisionInputs,
}

/// The inputs of a decision; those that do not apply are 0 or `None`.
#[apply(value!)]
#[derive(Default)]
pub struct DecisionInputs {
    /// The daemon that the request was sent to.
    pub member: Option<MemberId>,
    /// The time left until the deadline of the request.
    pub left_ms: u32,
    /// How long the request had waited or run.
    pub elapsed_ms: u32,
    /// The status of the target's answer.
    pub status: u16,
    /// The number of requests queued at the guard.
    pub queued: u32,
    /// The number of requests at the target.
    pub in_flight: u32,
    /// The maximum number of concurrent requests at the target.
    pub limit: u32,
    /// The pressure on the route, in thousandths.
    pub pressure_permille: u16,
    /// The version of the active configuration.
    pub config_version: u64,
}
