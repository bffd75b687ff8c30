//! The configuration messages between daemons.

use macro_rules_attribute::apply;

use super::state::{Change, StoredRecord};
use crate::derives::message;
use crate::ids::ServiceName;

/// The bytes of a message beside the records in it: its own, the call's frame, link headers.
const MESSAGE_OVERHEAD_BYTES: usize = 120;

/// A configuration message between daemons.
#[apply(message!)]
pub enum Message {
    /// Asks for the other's version by telling one's own; also the answer.
    Version(u64),
    /// Asks for the changes after a version.
    ChangesAfter {
        /// The version.
        version: u64,
        /// The bytes that the answer should not exceed.
        bytes_max: u32,
    },
    /// Answers [`Message::ChangesAfter`].
    Changes {
        /// The version of the daemon that answers.
        latest: u64,
        /// The first changes after the version; none where they are no longer kept.
        changes: Vec<Change>,
    },
    /// Asks for records in order of their service.
    RecordsAfter {
        /// The last service that was received.
        service: Option<ServiceName>,
        /// The bytes that the answer should not exceed.
        bytes_max: u32,
    },
    /// Answers [`Message::RecordsAfter`].
    Records {
        /// The version that the records stand at.
        version: u64,
        /// The digest of all records at that version.
        digest: u64,
        /// Some records in order of their service.
        records: Vec<StoredRecord>,
        /// Whether these are the last.
        is_last: bool,
    },
    /// Hands over changes; handle_peer_response by [`Message::Version`].
    Push(Vec<Change>),
    /// Answers [`Message::Version`]: another daemon is about to hand over the changes.
    PushPending,
}

impl Message {
    /// Returns the bytes of the message on a link, about.
    pub fn wire_bytes_estimate(&self) -> usize {
        let content = match self {
            Self::Changes { changes, .. } | Self::Push(changes) => {
                changes.iter().map(Change::wire_bytes_estimate).sum()
            }
            Self::Records { records, .. } => {
                records.iter().map(StoredRecord::wire_bytes_estimate).sum()
            }
            Self::RecordsAfter { service, .. } => {
                service.as_ref().map_or(0, |service| service.as_str().len())
            }
            Self::Version(_) | Self::ChangesAfter { .. } | Self::PushPending => 0,
        };
        MESSAGE_OVERHEAD_BYTES + content
    }
}
