//! The messages between daemons and their encoded size.

use std::net::SocketAddr;

use macro_rules_attribute::apply;

use super::{IdRange, Member, MemberState};
use crate::derives::message;
use crate::ids::MemberId;

/// The estimated overhead of each message in bytes: packet headers and the RPC frame.
pub const ENVELOPE_BYTES: usize = 100;

/// The maximum encoded size of an id range.
const RANGE_BYTES: usize = 10;

/// A membership message between daemons.
#[apply(message!)]
pub enum Message {
    /// Checks that the recipient is alive and is this member.
    Probe {
        /// The member that the sender expects at the recipient's address.
        to: MemberId,
        /// Updates from the sender.
        gossip: Gossip,
    },
    /// Responds to a probe.
    Ack {
        /// Updates from the member that responds.
        gossip: Gossip,
    },
    /// Requests that the recipient probe another member for the sender.
    IndirectProbe {
        /// The member to probe.
        to: MemberId,
        /// The address of that member.
        address: SocketAddr,
        /// Updates from the sender.
        gossip: Gossip,
    },
    /// Responds to an indirect probe that got no ack or that the byte budget did not allow, or to a
    /// message that is not a request.
    Unreachable,
    /// Requests the next part of the member list.
    ListMembers {
        /// The member that sends the request.
        from: Member,
        /// Requests only members with ids greater than this one.
        after: Option<MemberId>,
    },
    /// Responds with some members, in order of their ids.
    Members {
        /// The members; empty if the byte budget of the member that responds has no surplus for the
        /// next one.
        members: Vec<Member>,
        /// Whether there are more after the last one.
        has_more: bool,
    },
    /// Sends the hashes of an id range, as a request or as a response; the recipient returns a part
    /// in which the rosters of sender and recipient differ.
    Compare {
        /// The range.
        range: IdRange,
        /// The hashes of its parts in the sender's roster.
        hashes: Vec<u32>,
    },
    /// Sends all members of an id range in the sender's roster, as a request or as a response.
    RangeContents {
        /// The range.
        range: IdRange,
        /// An update for each member of the range.
        updates: Vec<Update>,
    },
    /// Sends updates that the recipient's [`Message::RangeContents`] lacked or had outdated, as a
    /// request or as a response.
    MissingUpdates {
        /// The updates.
        updates: Vec<Update>,
    },
    /// Ends a comparison: no difference was found, the sender does not continue, or the sender has
    /// applied a [`Message::MissingUpdates`] request.
    InSync,
}

/// The updates piggybacked on a message.
#[apply(message!)]
pub struct Gossip {
    /// The sender.
    pub from: MemberId,
    /// The sender's incarnation.
    pub incarnation: u32,
    /// Updates about members.
    pub updates: Vec<Update>,
}

/// A report about a member.
#[apply(message!)]
pub enum Update {
    /// The whole member.
    Full(Member),
    /// Only the state of the member.
    State {
        /// The member.
        id: MemberId,
        /// Its state.
        state: MemberState,
        /// The incarnation that was in this state.
        incarnation: u32,
    },
}

impl Update {
    /// Returns the member that the update is about.
    pub fn id(&self) -> MemberId {
        match self {
            Self::Full(member) => member.id,
            Self::State { id, .. } => *id,
        }
    }

    /// Returns a key that orders reports about the same member; the report with the greater key is
    /// newer.
    pub fn freshness(&self) -> (u32, MemberState) {
        match self {
            Self::Full(member) => member.freshness(),
            Self::State {
                state, incarnation, ..
            } => (*incarnation, *state),
        }
    }

    /// Returns the encoded size in bytes.
    pub fn bytes(&self) -> usize {
        let content_bytes = match self {
            Self::Full(member) => member_bytes(member),
            Self::State {
                id, incarnation, ..
            } => integer_bytes(id.0) + 1 + integer_bytes(u64::from(*incarnation)),
        };
        1 + content_bytes
    }
}

impl Gossip {
    fn bytes(&self) -> usize {
        integer_bytes(self.from.0)
            + integer_bytes(u64::from(self.incarnation))
            + updates_bytes(&self.updates)
    }
}

fn updates_bytes(updates: &[Update]) -> usize {
    let mut bytes = integer_bytes(updates.len() as u64);
    for update in updates {
        bytes += update.bytes();
    }
    bytes
}

/// Returns the size of a message on the link in bytes, including its envelope.
pub fn encoded_bytes(message: &Message) -> usize {
    let content_bytes = match message {
        Message::Probe { to, gossip } => integer_bytes(to.0) + gossip.bytes(),
        Message::Ack { gossip } => gossip.bytes(),
        Message::IndirectProbe {
            to,
            address,
            gossip,
        } => integer_bytes(to.0) + address_bytes(address) + gossip.bytes(),
        Message::Unreachable | Message::InSync => 0,
        Message::Compare { hashes, .. } => {
            let mut bytes = RANGE_BYTES + integer_bytes(hashes.len() as u64);
            for hash in hashes {
                bytes += integer_bytes(u64::from(*hash));
            }
            bytes
        }
        Message::MissingUpdates { updates } => updates_bytes(updates),
        Message::RangeContents { updates, .. } => RANGE_BYTES + updates_bytes(updates),
        Message::ListMembers { from, after } => {
            member_bytes(from) + 1 + after.map_or(0, |after| integer_bytes(after.0))
        }
        Message::Members { members, .. } => {
            let mut bytes = 1 + integer_bytes(members.len() as u64);
            for member in members {
                bytes += member_bytes(member);
            }
            bytes
        }
    };
    ENVELOPE_BYTES + 1 + content_bytes
}

/// Returns the encoded size of a member in bytes.
pub fn member_bytes(member: &Member) -> usize {
    let service_bytes = match &member.service {
        Some(service) => text_bytes(service.as_str()),
        None => 0,
    };
    integer_bytes(member.id.0)
        + address_bytes(&member.address)
        + text_bytes(member.availability_zone.as_str())
        + 1
        + service_bytes
        + integer_bytes(u64::from(member.slots))
        + 1
        + integer_bytes(u64::from(member.incarnation))
        + integer_bytes(u64::from(member.schema_version))
}

fn address_bytes(address: &SocketAddr) -> usize {
    let ip_bytes = if address.is_ipv4() { 4 } else { 16 };
    1 + ip_bytes + integer_bytes(u64::from(address.port()))
}

fn text_bytes(text: &str) -> usize {
    integer_bytes(text.len() as u64) + text.len()
}

/// Returns the size of an integer in bincode: one byte for a small one, otherwise a byte for the
/// width and the integer itself.
fn integer_bytes(value: u64) -> usize {
    match value {
        0..=250 => 1,
        251..=0xffff => 3,
        0x1_0000..=0xffff_ffff => 5,
        _ => 9,
    }
}
