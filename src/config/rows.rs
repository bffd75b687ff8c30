//! The rows in which the configuration is stored in the platform's table.

use macro_rules_attribute::apply;

use super::state::{Change, StoredRecord};
use crate::derives::message;
use crate::ids::ServiceName;
use crate::table::{Epoch, Row};

/// The key of the row with the global version.
pub(super) const VERSION_KEY: &str = "config/version";

/// The prefix of the keys of records.
pub(super) const RECORD_PREFIX: &str = "config/record/";

/// The prefix of the keys of recent changes.
pub(super) const CHANGE_PREFIX: &str = "config/change/";

/// The prefix of the keys under which the operators' identifiers of recent changes are stored.
const CHANGE_ID_PREFIX: &str = "config/change-id/";

/// The number of versions of one epoch of the table.
const VERSIONS_PER_EPOCH: u64 = 1 << 40;

/// The global version, and the digest of all records at it.
#[apply(message!)]
pub(super) struct VersionRow {
    pub(super) version: u64,
    pub(super) digest: u64,
}

/// A change and the operator's identifier of it.
#[apply(message!)]
pub(super) struct ChangeRow {
    pub(super) change_id: String,
    pub(super) change: Change,
}

/// The version of an accepted change and the hash of what was submitted, by which a repeated
/// submission is recognised.
#[apply(message!)]
pub(super) struct ChangeIdRow {
    pub(super) version: u64,
    pub(super) content: u64,
}

pub(super) fn record_key(service: &ServiceName) -> String {
    format!("{RECORD_PREFIX}{service}")
}

/// Returns the key of a change. The version is zero-padded, so that keys sort by version.
pub(super) fn change_key(version: u64) -> String {
    format!("{CHANGE_PREFIX}{version:020}")
}

pub(super) fn change_id_key(change_id: &str) -> String {
    format!("{CHANGE_ID_PREFIX}{change_id}")
}

/// Returns the first version of an epoch of the table. The versions of all earlier epochs are below
/// it, so that a version which a restored table lost is never assigned to another change.
pub(super) fn first_version(epoch: Epoch) -> u64 {
    epoch.0.saturating_mul(VERSIONS_PER_EPOCH)
}

/// Returns the epoch in which the row with a key was read; the default one if it is missing.
pub(super) fn epoch_of(rows: &[Row], key: &str) -> Epoch {
    let row = rows.iter().find(|row| row.key == key);
    row.map_or(Epoch::default(), |row| row.version.epoch)
}

/// Parses the row with a key; returns `None` if it is missing or cannot be parsed.
pub(super) fn parse_row<T: serde::de::DeserializeOwned>(rows: &[Row], key: &str) -> Option<T> {
    for row in rows {
        if row.key == key {
            return serde_json::from_str(&row.value).ok();
        }
    }
    None
}

/// Parses the records in rows. A record that cannot be parsed is omitted; the digest of the result
/// then does not match.
pub(super) fn parse_records(rows: &[Row]) -> Vec<StoredRecord> {
    let mut records = Vec::new();
    for row in rows {
        if row.key.starts_with(RECORD_PREFIX) {
            records.extend(serde_json::from_str::<StoredRecord>(&row.value));
        }
    }
    records
}

/// Parses the changes in rows, up to the first that cannot be parsed.
pub(super) fn parse_changes(rows: &[Row]) -> Vec<Change> {
    let mut changes = Vec::new();
    for row in rows {
        let Ok(row) = serde_json::from_str::<ChangeRow>(&row.value) else {
            break;
        };
        changes.push(row.change);
    }
    changes
}

pub(super) fn to_json<T: serde::Serialize>(row: &T) -> String {
    serde_json::to_string(row).unwrap_or_default()
}
