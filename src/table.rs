//! The platform's table service and object store: their requests, responses and interfaces, and the
//! error of a request to the platform.

use std::pin::Pin;

use macro_rules_attribute::apply;

use crate::derives::{message, value};

/// A request to the table service.
#[apply(message!)]
#[serde(rename_all = "snake_case")]
pub enum TableRequest {
    /// Reads the rows of the given keys; missing rows are omitted.
    Get {
        /// The keys.
        keys: Vec<String>,
    },
    /// Reads the rows whose keys have a prefix, in key order.
    Scan {
        /// The prefix.
        prefix: String,
        /// Returns only keys greater than this one.
        after: Option<String>,
        /// The maximum number of rows.
        limit: u32,
    },
    /// Writes all rows, or none if one precondition fails.
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
    /// The precondition of the write.
    pub expected: Expected,
    /// The new value; `None` deletes the row.
    pub value: Option<String>,
}

/// The precondition for the write of a row.
#[apply(value!)]
#[serde(rename_all = "snake_case")]
pub enum Expected {
    /// No precondition.
    Any,
    /// There is no row with the key.
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

/// A response of the table service.
#[apply(message!)]
#[serde(rename_all = "snake_case")]
pub enum TableResponse {
    /// The rows that were read.
    Rows(Vec<Row>),
    /// The write took effect; the new versions, in the order of the writes.
    Written(Vec<u64>),
    /// A precondition failed and nothing was written; the current rows of the keys.
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

/// A response of the object store.
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

/// Why a request to the platform got no response.
#[apply(value!)]
pub enum PlatformError {
    /// The request was not carried out.
    NotApplied,
    /// No response arrived; a write may have taken effect.
    Lost,
}

/// A boxed future, returned by the traits that are used as trait objects.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// The platform's table service.
pub trait TableStore: Send + Sync {
    /// Executes one request.
    fn request(&self, request: TableRequest)
    -> BoxFuture<'_, Result<TableResponse, PlatformError>>;
}

/// The platform's object store.
pub trait ObjectStore: Send + Sync {
    /// Executes one request.
    fn request(
        &self,
        request: ObjectRequest,
    ) -> BoxFuture<'_, Result<ObjectResponse, PlatformError>>;
}
