//! The target beside a daemon, as described by its announcements.

mod condition;
mod current_start;
pub mod departure_row;
mod departures;
mod instance_record;
mod signals;
mod watch;

pub use condition::{
    ConditionChange, ConditionTracker, RateLimitState, TargetCondition, TargetStart,
};
pub use departures::Departures;
pub use instance_record::InstanceStarts;
pub use signals::{AnswerSignals, RateLimitSignal, RequestRate};
pub use watch::{ReportOutcome, StoredOutcome, TargetReport, TargetWatch};

use macro_rules_attribute::apply;

use crate::derives::message;
use crate::ids::{InstanceId, ServiceName};

/// The description of the target beside a daemon. The target sends it, or the daemon creates it
/// from the [`TargetReport`]s of the target.
#[apply(message!)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// The service that the target serves.
    pub service: ServiceName,
    /// The loopback address that the target listens on.
    pub address: std::net::SocketAddr,
    /// The number of requests that the target processes concurrently.
    pub slots: u32,
    /// The number of connections that the target accepts.
    pub connections: u32,
    /// Whether the target accepts no new work, as in [`TargetReport::is_leaving`].
    pub is_draining: bool,
    /// The identifier of this start of the target's process, if it has one.
    #[serde(default)]
    pub instance: Option<InstanceId>,
    /// The time of this start on the target's clock, if the target gives it.
    #[serde(default)]
    pub started_at_ms: Option<u64>,
}
