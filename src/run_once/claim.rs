//! Claims: their rows in the platform's table, and the requests that insert them.

use std::collections::VecDeque;
use std::net::SocketAddr;

use macro_rules_attribute::apply;

use super::run::RunSlot;
use crate::derives::{message, value};
use crate::ids::{AskKey, MemberId};
use crate::sorted::SortedMap;
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
pub(super) struct ClaimName(u128);

/// The value of a claim's row.
#[apply(message!)]
pub(super) struct ClaimRow {
    /// The number that tells this insert from every other.
    pub(super) nonce: u64,
    /// The daemon that inserted the row and that alone may run the request.
    pub(super) holder: ClaimHolder,
}

/// What is known of the row of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RowState {
    /// No insert took effect yet, or none is known to.
    Unknown,
    /// The row is this daemon's.
    Held,
}

/// How far the insert of a claim's row is.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClaimProgress {
    pub(super) nonce: u64,
    pub(super) row: RowState,
    pub(super) attempts: u32,
    /// Whether the table is being asked.
    pub(super) is_asked: bool,
}

/// The claims that wait for the table, and those that it is asked for.
#[derive(Debug, Default)]
pub(super) struct ClaimQueue {
    pub(super) waiting: VecDeque<RunSlot>,
    pub(super) asked: SortedMap<AskKey, Vec<RunSlot>>,
    /// The time until which the table counts as down.
    pub(super) down_until_us: u64,
}

impl ClaimName {
    /// Makes the name of a caller's key.
    pub(super) fn new(key: &str) -> Self {
        Self(xxhash_rust::xxh3::xxh3_128(key.as_bytes()))
    }

    /// Returns the key of the claim's row.
    pub(super) fn row_key(self) -> String {
        format!("{ROW_PREFIX}{:032x}", self.0)
    }
}

impl ClaimProgress {
    /// Makes the progress of a claim that nobody asked the table for.
    pub(super) fn new(nonce: u64) -> Self {
        Self {
            nonce,
            row: RowState::Unknown,
            attempts: 0,
            is_asked: false,
        }
    }
}

impl ClaimRow {
    /// Returns the write that inserts the row where there is none.
    pub(super) fn insert(&self, name: ClaimName) -> TableWrite {
        let value = serde_json::to_string(self).unwrap_or_default();
        TableWrite {
            key: name.row_key(),
            expected: Expected::Absent,
            value: Some(value),
        }
    }

    /// Finds the row of a claim among those that stood in the way; `None` where it is not there.
    pub(super) fn find(rows: &[Row], name: ClaimName) -> Option<Result<Self, UnreadableRow>> {
        let key = name.row_key();
        for row in rows {
            if row.key != key {
                continue;
            }
            return Some(serde_json::from_str(&row.value).map_err(|_| UnreadableRow));
        }
        None
    }
}

/// A claim's row that this version can't read: it is held by a daemon that is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct UnreadableRow;

impl ClaimQueue {
    /// Takes the next claims for one request to the table.
    pub(super) fn next_batch(&mut self, batch_max: usize) -> Vec<RunSlot> {
        let count = batch_max.min(self.waiting.len());
        self.waiting.drain(..count).collect()
    }
}
