//! The messages with which daemons exchange configuration versions, changes and records.

use macro_rules_attribute::apply;

use super::state::{Change, StoredRecord};
use crate::derives::message;
use crate::ids::ServiceName;

/// The estimated overhead of a message beyond the records in it: its own fields, the RPC frame and
/// the headers of the network layers below.
const MESSAGE_OVERHEAD_BYTES: usize = 120;

/// A configuration message between daemons.
#[apply(message!)]
pub enum Message {
    /// Reports the sender's version and requests that of the receiver. Also the response to
    /// [`Message::Push`] and, unless that is [`Message::PushPending`], to this message.
    Version(u64),
    /// Requests the changes after a version.
    ChangesAfter {
        /// The version that the sender has.
        version: u64,
        /// The size that the response should not exceed, in bytes.
        bytes_max: u32,
    },
    /// Responds to [`Message::ChangesAfter`].
    Changes {
        /// The version of the daemon that responds.
        latest: u64,
        /// The first changes after the requested version; empty if there are none or they are no
        /// longer kept.
        changes: Vec<Change>,
    },
    /// Requests a page of records in the order of their services.
    RecordsAfter {
        /// The service of the last record received; `None` for the first page.
        service: Option<ServiceName>,
        /// The size that the response should not exceed, in bytes.
        bytes_max: u32,
    },
    /// Responds to [`Message::RecordsAfter`].
    Records {
        /// The version at which the records were read.
        version: u64,
        /// The digest of all records at that version.
        digest: u64,
        /// One page of records, sorted by service.
        records: Vec<StoredRecord>,
        /// Whether this is the last page.
        is_last: bool,
    },
    /// Sends changes to a daemon that lacks them; the response is [`Message::Version`].
    Push(Vec<Change>),
    /// Responds to [`Message::Version`]: the responding daemon already expects a push of newer
    /// changes from another daemon, so the sender of the version need not push them.
    PushPending,
}

impl Message {
    /// Returns an estimate of the bytes that the message takes on the wire, headers included.
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
