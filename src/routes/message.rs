//! The messages by which daemons compare and exchange route tables.

use macro_rules_attribute::apply;

use super::RouteTable;
use crate::derives::{message, value};
use crate::ids::MemberId;
use crate::table::{Epoch, RowVersion};

/// A position in the history of the route source, as daemons tell it to each other.
#[apply(value!)]
pub struct SourcePosition {
    /// The epoch of the source.
    pub epoch: Epoch,
    /// The number of the version within the epoch.
    pub number: u64,
}

impl From<RowVersion> for SourcePosition {
    fn from(version: RowVersion) -> Self {
        let RowVersion { epoch, number } = version;
        Self { epoch, number }
    }
}

impl From<SourcePosition> for RowVersion {
    fn from(position: SourcePosition) -> Self {
        let SourcePosition { epoch, number } = position;
        Self { epoch, number }
    }
}

/// What a daemon knows of the route source.
#[apply(value!)]
pub struct SourceState {
    /// The version of the daemon's table; 0 if it has none.
    pub version: u64,
    /// A position up to which the table has all changes; `None` if the daemon must read the table.
    pub position: Option<SourcePosition>,
    /// How long ago the source responded to a daemon, as far as this one knows; `None` if it doesn't.
    pub response_age_ms: Option<u32>,
}

/// A message about route tables.
#[apply(message!)]
pub enum Message {
    /// Sends the state of the sender and requests that of the peer.
    Compare {
        /// The daemon that sends the request.
        from: MemberId,
        /// Its state.
        state: SourceState,
    },
    /// The response to [`Message::Compare`].
    State(SourceState),
    /// Requests the table.
    Fetch,
    /// The response to [`Message::Fetch`]; `None` if the peer has no table.
    Table(Option<Box<RouteTable>>),
}
