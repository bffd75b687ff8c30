//! The table: rows with versions, and transactions by compare-and-set.

use std::collections::BTreeMap;
use std::ops::Bound;

use serde::{Deserialize, Serialize};

/// A request to the table service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TableRequest {
    /// Reads the rows of some keys; a missing row is left out.
    Get {
        /// The keys.
        keys: Vec<String>,
    },
    /// Reads the rows whose keys have a prefix, in key order.
    Scan {
        /// The prefix.
        prefix: String,
        /// Only keys greater than this one.
        after: Option<String>,
        /// The maximum number of rows.
        limit: u32,
    },
    /// Writes all rows, or none if one expectation is not met.
    Write {
        /// The writes.
        writes: Vec<TableWrite>,
    },
}

/// One write of a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TableWrite {
    /// The key.
    pub key: String,
    /// The condition on the row before the write.
    pub expected: Expected,
    /// The new value; `None` deletes the row.
    pub value: Option<String>,
}

/// The condition on a row before it is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Expected {
    /// No condition.
    Any,
    /// No row has the key.
    Absent,
    /// The row has this version.
    Version(u64),
}

/// A row of the table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// The key.
    pub key: String,
    /// The version, which each write of the row increases.
    pub version: u64,
    /// The value.
    pub value: String,
}

/// A response of the table service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TableResponse {
    /// The rows that were read.
    Rows(Vec<Row>),
    /// The write took effect; the new versions, in the order of the writes.
    Written(Vec<u64>),
    /// The write had no effect; the current rows of its keys.
    Conflict(Vec<Row>),
}

/// The rows in key order.
#[derive(Default)]
pub struct Table {
    rows: BTreeMap<String, Row>,
    last_version: u64,
}

impl TableRequest {
    /// Returns whether the request may change rows.
    pub fn is_write(&self) -> bool {
        matches!(self, Self::Write { .. })
    }
}

impl Table {
    /// Executes one request.
    pub fn apply(&mut self, request: TableRequest) -> TableResponse {
        match request {
            TableRequest::Get { keys } => TableResponse::Rows(self.existing_rows(&keys)),
            TableRequest::Scan {
                prefix,
                after,
                limit,
            } => TableResponse::Rows(self.scan(&prefix, after, limit as usize)),
            TableRequest::Write { writes } => self.write(writes),
        }
    }

    fn existing_rows(&self, keys: &[String]) -> Vec<Row> {
        let mut rows = Vec::new();
        for key in keys {
            rows.extend(self.rows.get(key).cloned());
        }
        rows
    }

    fn scan(&self, prefix: &str, after: Option<String>, limit: usize) -> Vec<Row> {
        let start = match after {
            Some(key) if key.as_str() >= prefix => Bound::Excluded(key),
            _ => Bound::Included(prefix.to_string()),
        };
        let mut rows = Vec::new();
        for (key, row) in self.rows.range((start, Bound::Unbounded)) {
            if rows.len() >= limit || !key.starts_with(prefix) {
                break;
            }
            rows.push(row.clone());
        }
        rows
    }

    fn write(&mut self, writes: Vec<TableWrite>) -> TableResponse {
        for write in &writes {
            if self.meets_expectation(write) {
                continue;
            }
            let keys: Vec<String> = writes.iter().map(|write| write.key.clone()).collect();
            return TableResponse::Conflict(self.existing_rows(&keys));
        }
        let mut versions = Vec::new();
        for write in writes {
            versions.push(self.apply_write(write));
        }
        TableResponse::Written(versions)
    }

    fn meets_expectation(&self, write: &TableWrite) -> bool {
        let version = self.rows.get(&write.key).map(|row| row.version);
        match write.expected {
            Expected::Any => true,
            Expected::Absent => version.is_none(),
            Expected::Version(expected) => version == Some(expected),
        }
    }

    fn apply_write(&mut self, write: TableWrite) -> u64 {
        self.last_version += 1;
        let version = self.last_version;
        let TableWrite { key, value, .. } = write;
        match value {
            Some(value) => {
                let row = Row {
                    key: key.clone(),
                    version,
                    value,
                };
                self.rows.insert(key, row);
            }
            None => {
                self.rows.remove(&key);
            }
        }
        version
    }
}
