//! The target beside a daemon, as described by its announcements.

mod watch;

pub use watch::{ReportOutcome, TargetReport, TargetWatch};

use macro_rules_attribute::apply;

use crate::derives::message;
use crate::ids::{InstanceId, ServiceName};

/// The description that a target sends to the daemon beside it.
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
    /// Whether the target accepts no new work.
    pub is_draining: bool,
    /// The identifier of this start of the target, if it has one.
    #[serde(default)]
    pub instance: Option<InstanceId>,
}
