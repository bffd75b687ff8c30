//! The table's row that keeps the departures of a target for daemons that restart beside it.

use std::net::SocketAddr;

use super::Departure;
use crate::table::{Expected, Row, RowVersion, TableRequest, TableWrite};

/// The key prefix of the rows; the address of the target follows it.
const ROW_PREFIX: &str = "departures/";

/// The maximum number of instances in a row.
pub const ROW_INSTANCES_MAX: usize = 16;

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
/// there was no row.
pub fn write_request(
    target: SocketAddr,
    version: Option<RowVersion>,
    departures: &[Departure],
) -> TableRequest {
    let value = serde_json::to_string(departures).unwrap_or_default();
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

/// Returns the departures in a row.
///
/// # Errors
///
/// Fails if the value of the row is not a list of departures.
pub fn decode(row: &Row) -> serde_json::Result<Vec<Departure>> {
    serde_json::from_str(&row.value)
}
