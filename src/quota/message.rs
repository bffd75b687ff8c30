//! The messages between the daemons that use, own and lend an organisation's rate.

use std::net::SocketAddr;

use macro_rules_attribute::apply;

use crate::derives::{message, value};
use crate::ids::OrganisationName;

/// Identifies an organisation in messages: the hash of its name. It is unrelated to the keys that
/// requests carry.
#[apply(value!)]
pub struct OrganisationHash(pub u64);

impl OrganisationHash {
    /// Returns the hash of an organisation's name.
    pub fn of(name: &OrganisationName) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64(name.as_str().as_bytes()))
    }
}

/// An owner's response to a request for tokens.
#[apply(value!)]
pub struct Grant {
    /// The number of tokens.
    pub tokens: u16,
    /// The time until the next token; `None` if it is not known, because the daemon that was asked
    /// is not the owner or has too small a part of the rate yet.
    pub next_ms: Option<u32>,
}

impl Grant {
    /// The response of a daemon that cannot tell when there are tokens.
    pub const UNKNOWN: Self = Self {
        tokens: 0,
        next_ms: None,
    };
}

/// A message about quotas between daemons.
#[apply(message!)]
pub enum Message {
    /// Requests tokens of an organisation from its owner.
    Ask {
        /// The organisation.
        organisation: OrganisationHash,
        /// The number of requests that wait.
        waiting: u16,
        /// The number of tokens beyond that, to be granted only while they are not short.
        ahead: u16,
    },
    /// Responds to [`Message::Ask`].
    Grant(Grant),
    /// Requests the receiver's share of the rate of some organisations, or renews its loan.
    Borrow {
        /// The address of the owner.
        from: SocketAddr,
        /// Increases with each message of the owner.
        sequence: u64,
        /// The organisations.
        organisations: Vec<OrganisationHash>,
    },
    /// Responds to [`Message::Borrow`].
    Loans {
        /// The number of daemons among which the sender counts the rate as shared out.
        lenders: u16,
        /// For each organisation, for how long the share was not lent before this loan (0 for a
        /// renewal); `None` if the sender does not lend it.
        free_ms: Vec<Option<u32>>,
    },
    /// Gives back the shares that were lent after a message of the sender.
    Release {
        /// The address of the former owner.
        from: SocketAddr,
        /// The sequence number of its last request for these shares.
        sequence: u64,
        /// The organisations.
        organisations: Vec<OrganisationHash>,
    },
    /// Responds to [`Message::Release`].
    Released,
    /// Requests the list of absent daemons that keep their shares; sent by a daemon that starts.
    ListAbsent,
    /// Responds to [`Message::ListAbsent`] with addresses, and for how long each keeps its share, in
    /// milliseconds.
    Absent(Vec<(SocketAddr, u32)>),
}
