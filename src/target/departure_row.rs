//! The table's row that keeps the starts of a target for daemons that restart beside it.
//!
//! A hold ends at a time of the table's clock, which all daemons share; without that clock it begins
//! anew for each daemon that reads it.

use std::net::SocketAddr;

use macro_rules_attribute::apply;

use super::InstanceStarts;
use crate::derives::message;
use crate::ids::InstanceId;
use crate::table::{Expected, Row, RowVersion, TableRequest, TableWrite};

/// The key prefix of the rows; the address of the target follows it.
const ROW_PREFIX: &str = "departures/";

/// The maximum number of instances in a row.
pub const ROW_INSTANCES_MAX: usize = 16;

/// What a row says of an instance. If it names no start, an unknown one departed.
#[apply(message!)]
struct StoredStarts {
    instance: InstanceId,
    #[serde(default)]
    started_at_ms: Option<u64>,
    #[serde(default)]
    latest_start_ms: Option<u64>,
    /// When the hold ends on the table's clock, if there is one and the clock is known.
    #[serde(default)]
    hold_until_ms: Option<u64>,
}

impl StoredStarts {
    fn names_start(&self) -> bool {
        self.started_at_ms.is_some() || self.latest_start_ms.is_some()
    }

    fn decode(self, table_now_ms: Option<u64>) -> InstanceStarts {
        let unknown = InstanceStarts::departed(self.instance.clone(), None);
        let left_us = match (self.hold_until_ms, table_now_ms) {
            (Some(until_ms), Some(now_ms)) => Some(until_ms.saturating_sub(now_ms) * 1_000),
            _ if self.names_start() => None,
            _ => unknown.hold_left_us,
        };
        InstanceStarts {
            departed_start_ms: self.started_at_ms,
            latest_start_ms: self.latest_start_ms.max(self.started_at_ms),
            hold_left_us: left_us.filter(|left_us| *left_us > 0),
            ..unknown
        }
    }

    fn encode(starts: &InstanceStarts, table_now_ms: Option<u64>) -> Option<Self> {
        let hold_until_ms = starts
            .hold_left_us
            .and_then(|left_us| Some(table_now_ms? + left_us / 1_000));
        let stored = Self {
            instance: starts.instance.clone(),
            started_at_ms: starts.departed_start_ms,
            latest_start_ms: starts.latest_start_ms,
            hold_until_ms,
        };
        (stored.names_start() || starts.hold_left_us.is_some()).then_some(stored)
    }
}

fn row_key(target: SocketAddr) -> String {
    format!("{ROW_PREFIX}{target}")
}

/// Returns the request that reads the row of the target at an address.
pub fn read_request(target: SocketAddr) -> TableRequest {
    TableRequest::Get {
        keys: vec![row_key(target)],
    }
}

/// Returns the request that writes the row, if it still has the version that was read; `None` if
/// there was no row. `table_now_ms` is the time on the table's clock, if it is known.
pub fn write_request(
    target: SocketAddr,
    version: Option<RowVersion>,
    starts: &[InstanceStarts],
    table_now_ms: Option<u64>,
) -> TableRequest {
    let mut stored = Vec::new();
    for starts in starts {
        stored.extend(StoredStarts::encode(starts, table_now_ms));
    }
    let value = serde_json::to_string(&stored).unwrap_or_default();
    change_request(target, version, Some(value))
}

/// Returns the request that deletes the row, if it still has the version that was read.
pub fn delete_request(target: SocketAddr, version: RowVersion) -> TableRequest {
    change_request(target, Some(version), None)
}

fn change_request(
    target: SocketAddr,
    version: Option<RowVersion>,
    value: Option<String>,
) -> TableRequest {
    let write = TableWrite {
        key: row_key(target),
        expected: version.map_or(Expected::Absent, Expected::Version),
        value,
    };
    TableRequest::Write {
        writes: vec![write],
    }
}

/// Returns the starts in a row, in the order of their instances. `table_now_ms` is the time on the
/// table's clock, if it is known.
///
/// # Errors
///
/// Fails if the value of the row is not a list of starts.
pub fn decode(row: &Row, table_now_ms: Option<u64>) -> serde_json::Result<Vec<InstanceStarts>> {
    let stored: Vec<StoredStarts> = serde_json::from_str(&row.value)?;
    let mut starts = Vec::new();
    for stored in stored {
        starts.push(stored.decode(table_now_ms));
    }
    Ok(starts)
}
