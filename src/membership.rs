//! Membership: which daemons there are, without a list and without a coordinator.
//!
//! A daemon finds a few others through the platform's table, or a snapshot in the object store,
//! and learns the rest from them. From then on daemons probe each other, and what they learn
//! rides on the probes within a byte budget.

mod contacts;
mod gossip;
mod message;
mod probe;
mod range;
mod roster;
mod service;
mod settings;

use std::net::SocketAddr;

use macro_rules_attribute::apply;

use crate::derives::{message, value};
use crate::ids::{AvailabilityZone, MemberId, ServiceName};

pub use gossip::{ByteBudget, Selection, UpdateQueue};
pub use message::{Gossip, Message, Update, encoded_bytes};
pub use range::{IdRange, PartDigest};
pub use roster::{ReportOutcome, Roster};
pub use service::Membership;
pub use settings::MembershipSettings;

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

impl Member {
    /// Returns what decides between two reports of the same member: the greater is newer.
    pub fn freshness(&self) -> (u32, MemberState) {
        (self.incarnation, self.state)
    }

    /// Returns a hash of all there is to know of the member.
    fn hash(&self) -> u32 {
        let mut hasher = xxhash_rust::xxh3::Xxh3::new();
        hasher.update(&self.id.0.to_le_bytes());
        hasher.update(&self.incarnation.to_le_bytes());
        hasher.update(&[self.state as u8]);
        hasher.update(&self.slots.to_le_bytes());
        let service = self.service.as_ref().map_or("", ServiceName::as_str);
        hasher.update(service.as_bytes());
        hasher.digest() as u32
    }
}
