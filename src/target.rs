//! The target beside a daemon, as it announces itself.

mod watch;

pub use watch::{ReportOutcome, TargetReport, TargetWatch};

use macro_rules_attribute::apply;

use crate::derives::message;
use crate::ids::{InstanceId, ServiceName};

/// What a target says of itself to the daemon beside it.
#[apply(message!)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// The service that the target serves.
    pub service: ServiceName,
    /// The loopback address that the target listens on.
    pub address: std::net::SocketAddr,
    /// The requests that the target works on at once.
    pub slots: u32,
    /// The connections that the target accepts.
    pub connections: u32,
    /// Whether the target takes no new work.
    pub is_draining: bool,
    /// The identifier of this start of the target, where it has one.
    #[serde(default)]
    pub instance: Option<InstanceId>,
}
