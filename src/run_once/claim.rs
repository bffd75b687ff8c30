//! Claims: their rows in the platform's table, and how far each is.

use std::net::SocketAddr;

use macro_rules_attribute::apply;

use crate::derives::{message, value};
use crate::ids::MemberId;
use crate::table::{Expected, Row, TableWrite};

/// The start of the keys of claim rows.
const ROW_PREFIX: &str = "claim/";

/// The daemon that holds a claim.
#[apply(value!)]
pub struct ClaimHolder {
    /// The daemon.
    pub member: MemberId,
    /// Its peer address, where it is known.
    pub address: Option<SocketAddr>,
}

/// The digest of a caller's key, which names the claim's row.
#[apply(value!)]
pub(super) struct ClaimDigest(u128);

/// The value of a claim's row.
#[apply(message!)]
pub(super) struct ClaimRow {
    /// The number that tells this insert from every other of its holder.
    pub(super) nonce: u64,
    /// The daemon that inserted the row and that alone may run the request.
    pub(super) holder: ClaimHolder,
}

/// A claim's row that this version can't read: its holder is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct UnreadableRow;

/// What is known of the row of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RowState {
    /// No insert is known to have taken effect.
    Unknown,
    /// The row is this daemon's, in this version.
    Held(u64),
    /// The row is being deleted in this version; this daemon never runs the request by it.
    Releasing(u64),
}

/// How far the insert of a claim's row is.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClaimProgress {
    pub(super) nonce: u64,
    pub(super) row: RowState,
    pub(super) attempts: u32,
    /// Whether an insert whose answer was lost may have taken effect.
    pub(super) is_in_doubt: bool,
    /// Whether the table is being asked.
    pub(super) is_request_in_flight: bool,
}

impl ClaimDigest {
    /// Makes the name of a caller's key.
    pub(super) fn new(key: &str) -> Self {
        Self(xxhash_rust::xxh3::xxh3_128(key.as_bytes()))
    }

    /// Returns the key of the claim's row.
    fn row_key(self) -> String {
        format!("{ROW_PREFIX}{:032x}", self.0)
    }

    /// Returns the write that deletes the row of a version.
    pub(super) fn delete_write(self, version: u64) -> TableWrite {
        TableWrite {
            key: self.row_key(),
            expected: Expected::Version(version),
            value: None,
        }
    }

    /// Finds the claim's row among those that stood in the way of a write.
    pub(super) fn find_row(self, rows: &[Row]) -> Option<&Row> {
        let key = self.row_key();
        rows.iter().find(|row| row.key == key)
    }
}

impl ClaimProgress {
    /// Makes the progress of a claim that the table was not asked for.
    pub(super) fn new(nonce: u64) -> Self {
        Self {
            nonce,
            row: RowState::Unknown,
            attempts: 0,
            is_in_doubt: false,
            is_request_in_flight: false,
        }
    }
}

impl ClaimRow {
    /// Returns the write that inserts the row where there is none.
    pub(super) fn insert_write(&self, digest: ClaimDigest) -> TableWrite {
        let value = serde_json::to_string(self).unwrap_or_default();
        TableWrite {
            key: digest.row_key(),
            expected: Expected::Absent,
            value: Some(value),
        }
    }

    /// Reads a row.
    pub(super) fn parse(row: &Row) -> Result<Self, UnreadableRow> {
        serde_json::from_str(&row.value).map_err(|_| UnreadableRow)
    }
}
