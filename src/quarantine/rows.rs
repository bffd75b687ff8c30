//! The rows of the platform's table that keep quarantines for daemons that start later.

use macro_rules_attribute::apply;

use super::{CrashId, QuarantineRecord, RequestFingerprint};
use crate::derives::message;
use crate::table::{Expected, Row, TableRequest, TableWrite};

/// The key prefix of the rows; the fingerprint of the request follows it.
const ROW_PREFIX: &str = "quarantine/";

/// The number of rows that a start reads, more than daemons keep.
const ROWS_MAX: u32 = 500;

/// A quarantine in a row.
#[apply(message!)]
struct StoredQuarantine {
    request: RequestFingerprint,
    last_crash: CrashId,
    /// How old the last end was when the row was written.
    age_ms: u64,
    /// When the row was written, on the clock of the table; `None` if that was not known.
    #[serde(default)]
    written_at_ms: Option<u64>,
}

fn row_key(request: &RequestFingerprint) -> String {
    format!("{ROW_PREFIX}{request}")
}

/// Returns the request that reads all rows.
pub(super) fn read_request() -> TableRequest {
    TableRequest::Scan {
        prefix: ROW_PREFIX.to_string(),
        after: None,
        limit: ROWS_MAX,
    }
}

/// Returns the request that writes the row of a quarantined request. `table_now_ms` is the time on the
/// table's clock, if it is known.
pub(super) fn write_request(record: &QuarantineRecord, table_now_ms: Option<u64>) -> TableRequest {
    let stored = StoredQuarantine {
        request: record.request,
        last_crash: record.last_crash,
        age_ms: record.age_ms,
        written_at_ms: table_now_ms,
    };
    let value = serde_json::to_string(&stored).unwrap_or_default();
    change_request(&record.request, Some(value))
}

/// Returns the request that deletes the row of a request.
pub(super) fn delete_request(request: &RequestFingerprint) -> TableRequest {
    change_request(request, None)
}

fn change_request(request: &RequestFingerprint, value: Option<String>) -> TableRequest {
    let write = TableWrite {
        key: row_key(request),
        expected: Expected::Any,
        value,
    };
    TableRequest::Write {
        writes: vec![write],
    }
}

/// Returns the quarantine in a row. `table_now_ms` is the time on the table's clock; without it, or
/// without the time of the write, the quarantine counts as old as it was when it was written.
///
/// # Errors
///
/// Fails if the value of the row is not a quarantine.
pub(super) fn decode(row: &Row, table_now_ms: Option<u64>) -> serde_json::Result<QuarantineRecord> {
    let stored: StoredQuarantine = serde_json::from_str(&row.value)?;
    let stored_for_ms = match (stored.written_at_ms, table_now_ms) {
        (Some(written_ms), Some(now_ms)) => now_ms.saturating_sub(written_ms),
        _ => 0,
    };
    Ok(QuarantineRecord {
        request: stored.request,
        last_crash: stored.last_crash,
        age_ms: stored.age_ms.saturating_add(stored_for_ms),
    })
}
