//! The platform's table service and object store, as the services see them.

use std::pin::Pin;

use macro_rules_attribute::apply;

use crate::derives::{message, value};

/// A request to the table service.
#[apply(message!)]
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
        /// The greatest number of rows.
        limit: u32,
    },
    /// Writes all rows, or none where one expectation fails.
    Write {
        /// The writes.
        writes: Vec<TableWrite>,
    },
}

/// One write of a transaction.
#[apply(message!)]
pub struct TableWrite {
    /// The key.
    pub key: String,
    /// What must hold before the write.
    pub expected: Expected,
    /// The new value; `None` deletes the row.
    pub value: Option<String>,
}

/// What must hold of a row before it is written.
#[apply(value!)]
#[serde(rename_all = "snake_case")]
pub enum Expected {
    /// Anything.
    Any,
    /// No row has the key.
    Absent,
    /// The row has this version.
    Version(u64),
}

/// A row of the table.
#[apply(message!)]
pub struct Row {
    /// The key.
    pub key: String,
    /// The version, greater after each write of the row.
    pub version: u64,
    /// The value.
    pub value: String,
}

/// An answer of the table service.
#[apply(message!)]
#[serde(rename_all = "snake_case")]
pub enum TableResponse {
    /// The rows that were read.
    Rows(Vec<Row>),
    /// The write took effect; the new versions stand in the order of the writes.
    Written(Vec<u64>),
    /// The write had no effect; the present rows of its keys.
    Conflict(Vec<Row>),
}

/// A request to the object store.
#[apply(message!)]
#[serde(rename_all = "snake_case")]
pub enum ObjectRequest {
    /// Reads an object.
    Get {
        /// The name.
        name: String,
    },
    /// Writes an object.
    Put {
        /// The name.
        name: String,
        /// The content.
        content: String,
    },
}

/// An answer of the object store.
#[apply(message!)]
#[serde(rename_all = "snake_case")]
pub enum ObjectResponse {
    /// The content of the object.
    Content(String),
    /// There is no object of that name.
    Missing,
    /// The object was written.
    Written,
}

/// Why the platform gave no answer.
#[apply(value!)]
pub enum PlatformError {
    /// The request was not carried out.
    NotExecuted,
    /// No answer came; a write may have taken effect.
    Lost,
}

/// A boxed future, for the trait objects at the borders.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// The platform's table service.
pub trait TableStore: Send + Sync {
    /// Carries out one request.
    fn request(&self, request: TableRequest)
    -> BoxFuture<'_, Result<TableResponse, PlatformError>>;
}

/// The platform's object store.
pub trait ObjectStore: Send + Sync {
    /// Carries out one request.
    fn request(
        &self,
        request: ObjectRequest,
    ) -> BoxFuture<'_, Result<ObjectResponse, PlatformError>>;
}
