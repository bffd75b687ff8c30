//! The messages between daemons and their encoded size.

use std::net::SocketAddr;

use macro_rules_attribute::apply;

use super::{IdRange, Member, MemberState};
use crate::derives::message;
use crate::ids::MemberId;

/// The bytes of an envelope around each message: link headers and the call's frame.
pub const ENVELOPE_BYTES: usize = 100;

/// The greatest encoded size of a range of ids.
const RANGE_BYTES: usize = 10;

/// A membership message between daemons.
#[apply(message!)]
pub enum Message {
    /// Are you this member, and alive?
    Probe {
        /// The member that is meant.
        to: MemberId,
        /// What the sender has to tell.
        gossip: Gossip,
    },
    /// Answers a probe.
    Ack {
        /// What the answering member has to tell.
        gossip: Gossip,
    },
    /// Probe another member for me.
    IndirectProbe {
        /// The member that is meant.
        to: MemberId,
        /// Its address.
        address: SocketAddr,
        /// What the sender has to tell.
        gossip: Gossip,
    },
    /// Answers a relayed probe that got no answer.
    Unreachable,
    /// Which members do you know?
    ListMembers {
        /// The member that asks.
        from: Member,
        /// Only members after this one.
        after: Option<MemberId>,
    },
    /// Some members, in order of their ids.
    Members {
        /// The members; none where the answering one has no bytes to spend.
        members: Vec<Member>,
        /// Whether there are more after the last one.
        has_more: bool,
    },
    /// Which part of a range of ids do you know otherwise?
    Compare {
        /// The range.
        range: IdRange,
        /// The hashes of its parts.
        hashes: Vec<u32>,
    },
    /// All that the sender knows of a range of ids.
    RangeContents {
        /// The range.
        range: IdRange,
        /// News of its members.
        updates: Vec<Update>,
    },
    /// What the other side did not know of a range of ids.
    MissingUpdates {
        /// News of its members.
        updates: Vec<Update>,
    },
    /// Both know the same of a range.
    InSync,
}

/// What rides on a message.
#[apply(message!)]
pub struct Gossip {
    /// The sender.
    pub from: MemberId,
    /// The sender's incarnation.
    pub incarnation: u32,
    /// News of members.
    pub updates: Vec<Update>,
}

/// News of a member.
#[apply(message!)]
pub enum Update {
    /// All there is to know of it.
    Full(Member),
    /// Its state alone.
    State {
        /// The member.
        id: MemberId,
        /// Its state.
        state: MemberState,
        /// The incarnation that the state is about.
        incarnation: u32,
    },
}

impl Update {
    /// Returns the member that the news is of.
    pub fn id(&self) -> MemberId {
        match self {
            Self::Full(member) => member.id,
            Self::State { id, .. } => *id,
        }
    }

    /// Returns what decides between two reports of the same member: the greater is newer.
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

/// Returns the size of a message on the link in bytes, its envelope included.
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

/// The codec writes small integers in one byte and others behind a byte that tells their width.
fn integer_bytes(value: u64) -> usize {
    match value {
        0..=250 => 1,
        251..=0xffff => 3,
        0x1_0000..=0xffff_ffff => 5,
        _ => 9,
    }
}
