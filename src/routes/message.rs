//! The messages by which daemons compare and exchange route tables.

use macro_rules_attribute::apply;

use super::RouteTable;
use crate::derives::message;
use crate::ids::MemberId;

/// A message about route tables.
#[apply(message!)]
pub enum Message {
    /// Sends the sender's version and requests the peer's version.
    Compare {
        /// The daemon that sends the request.
        from: MemberId,
        /// Its version; 0 if it has no table.
        version: u64,
    },
    /// The response to [`Message::Compare`].
    Version(u64),
    /// Requests the table.
    Fetch,
    /// The response to [`Message::Fetch`]; `None` if the peer has no table.
    Table(Option<Box<RouteTable>>),
}
