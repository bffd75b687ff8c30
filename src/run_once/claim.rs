//! Claims: the rows in the platform's table that give one daemon the right to run a request, and
//! the progress of each insert.

use std::net::SocketAddr;

use macro_rules_attribute::apply;

use crate::derives::{message, value};
use crate::ids::MemberId;
use crate::table::{Expected, Row, RowVersion, TableWrite};

/// The prefix of the keys of claim rows.
const ROW_PREFIX: &str = "claim/";

/// The daemon that holds a claim.
#[apply(value!)]
pub struct ClaimHolder {
    /// The daemon.
    pub member: MemberId,
    /// Its peer address, if it has one.
    pub address: Option<SocketAddr>,
}

/// The digest of a claim's key, which is part of the key of its row.
#[apply(value!)]
pub(super) struct ClaimDigest(u128);

/// The value of a claim's row.
#[apply(message!)]
pub(super) struct ClaimRow {
    /// A number that is the same for all attempts of an insert and unique among the holder's
    /// inserts, to recognize an insert whose response was lost.
    pub(super) nonce: u64,
    /// The daemon that inserted the row and that alone may run the request.
    pub(super) holder: ClaimHolder,
}

/// The error for a claim row that this version can't parse, so that its holder is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct UnreadableRow;

/// The state of a claim's row, as far as the responses of the table show it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RowState {
    /// No response has confirmed an insert.
    Unknown,
    /// This daemon inserted the row, which has this version.
    Held(RowVersion),
    /// The row with this version is being deleted, and this daemon never runs the request
    /// under it.
    Releasing(RowVersion),
}

/// The progress of inserting or deleting a claim's row.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClaimProgress {
    pub(super) nonce: u64,
    pub(super) row: RowState,
    /// The number of inserts that were sent since the run was created or reopened.
    pub(super) attempts: u32,
    /// Whether the response to an insert was lost, so that the insert may have taken effect; stays
    /// true after the row is confirmed.
    pub(super) has_lost_response: bool,
    /// Whether a table request for the row is in flight.
    pub(super) is_request_in_flight: bool,
}

impl ClaimDigest {
    /// Computes the digest of a claim's key.
    pub(super) fn new(key: &str) -> Self {
        Self(xxhash_rust::xxh3::xxh3_128(key.as_bytes()))
    }

    /// Returns the key of the claim's row.
    fn row_key(self) -> String {
        format!("{ROW_PREFIX}{:032x}", self.0)
    }

    /// Returns the write that deletes the row if it still has the given version.
    pub(super) fn delete_write(self, version: RowVersion) -> TableWrite {
        TableWrite {
            key: self.row_key(),
            expected: Expected::Version(version),
            value: None,
        }
    }

    /// Finds the claim's row among the conflicting rows of a write.
    pub(super) fn find_row(self, rows: &[Row]) -> Option<&Row> {
        let key = self.row_key();
        rows.iter().find(|row| row.key == key)
    }
}

impl ClaimProgress {
    /// Creates the progress of a claim for which no table request was sent.
    pub(super) fn new(nonce: u64) -> Self {
        Self {
            nonce,
            row: RowState::Unknown,
            attempts: 0,
            has_lost_response: false,
            is_request_in_flight: false,
        }
    }
}

impl ClaimRow {
    /// Returns the write that inserts the row if there is none.
    pub(super) fn insert_write(&self, digest: ClaimDigest) -> TableWrite {
        let value = serde_json::to_string(self).unwrap_or_default();
        TableWrite {
            key: digest.row_key(),
            expected: Expected::Absent,
            value: Some(value),
        }
    }

    /// Parses the value of a row.
    pub(super) fn parse(row: &Row) -> Result<Self, UnreadableRow> {
        serde_json::from_str(&row.value).map_err(|_| UnreadableRow)
    }
}
