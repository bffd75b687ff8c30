//! Gossip membership: discovers daemons and detects failed ones without a coordinator.
//!
//! A daemon finds a few others through rows in the platform's table, or through a snapshot in the
//! object store, and reads the full member list from them. From then on daemons probe each other
//! and piggyback membership updates on the probes, within a byte budget.

mod contacts;
mod dissemination;
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

pub use dissemination::{ByteBudget, Selection, UpdateQueue};
pub use message::{Gossip, Message, Update, encoded_bytes};
pub use range::{IdRange, PartDigest};
pub use roster::{MemberReportOutcome, Roster};
pub use service::Membership;
pub use settings::MembershipSettings;

/// The name of the membership service.
pub const NAME: &str = "membership";

/// A daemon, as it is reported to other daemons.
#[apply(message!)]
pub struct Member {
    /// Identifies one run of the daemon.
    pub id: MemberId,
    /// The address that it accepts peer requests at.
    pub address: SocketAddr,
    /// Its availability zone.
    pub availability_zone: AvailabilityZone,
    /// The service of the target beside it, once the target announced itself.
    pub service: Option<ServiceName>,
    /// The number of requests that the target processes concurrently; 0 without an announced
    /// target.
    pub slots: u32,
    /// The state that it was last reported in.
    pub state: MemberState,
    /// Increases each time the daemon propagates its record anew, such as after a change of it or
    /// to refute a report about itself.
    pub incarnation: u32,
    /// The maximum configuration schema version that it reads.
    pub schema_version: u16,
}

/// The state of a member; of two reports with the same incarnation, the greater state wins.
#[apply(value!)]
pub enum MemberState {
    /// It responds to probes.
    Alive,
    /// It responded neither to a direct probe nor to the indirect probes through relays, if there
    /// are any.
    Suspect,
    /// It accepts no new work.
    Leaving,
    /// It failed or left permanently.
    Gone,
}

impl Member {
    /// Returns a key that orders reports about the same member; the report with the greater key is
    /// newer.
    pub fn freshness(&self) -> (u32, MemberState) {
        (self.incarnation, self.state)
    }

    /// Returns a hash of the member's id, incarnation, state, slots and service.
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
