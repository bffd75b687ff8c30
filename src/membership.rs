//! Membership: which daemons there are, without a list and without a coordinator.

use std::net::SocketAddr;

use macro_rules_attribute::apply;

use crate::derives::{message, value};
use crate::ids::{AvailabilityZone, MemberId, ServiceName};

/// The name of the membership service.
pub const NAME: &str = "membership";

/// A daemon as others know it.
#[apply(message!)]
pub struct Member {
    /// The daemon's run.
    pub id: MemberId,
    /// The address that peers reach it at.
    pub address: SocketAddr,
    /// Its availability zone.
    pub availability_zone: AvailabilityZone,
    /// The service of the target beside it, once that announced itself.
    pub service: Option<ServiceName>,
    /// The slots of that target.
    pub slots: u32,
    /// What is known of its state.
    pub state: MemberState,
    /// Grows each time the daemon says something new of itself.
    pub incarnation: u32,
    /// The greatest configuration schema that it reads.
    pub schema_version: u16,
}

/// The state of a member; of two reports of one incarnation the greater holds.
#[apply(value!)]
pub enum MemberState {
    /// It answers probes.
    Alive,
    /// It did not answer a probe.
    Suspect,
    /// It takes no new work.
    Leaving,
    /// It failed or left for good.
    Gone,
}

/// A membership message between daemons.
#[apply(message!)]
pub enum Message {
    /// Are you alive?
    Probe,
}
