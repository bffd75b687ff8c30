//! The platform's table service and object store: their requests, responses and interfaces, and the
//! error of a request to the platform.

use std::pin::Pin;

use macro_rules_attribute::apply;
use tokio::sync::watch;

use crate::derives::{message, value};

/// The time over which daemons spread the writes of rows that a restored store may have lost.
pub const REWRITE_SPREAD_US: u64 = 1_000_000;

/// One lifetime of a store's data. A store that was restored from an older copy has lost the writes
/// since that copy and assigns their versions again, under another epoch. 0 for a store that names
/// no epoch.
#[apply(value!)]
#[derive(Default)]
pub struct Epoch(pub u64);

/// A version of a row or of a whole store. Numbers of different epochs can't be compared, since
/// they may stand for different writes.
#[apply(value!)]
#[serde(from = "WireVersion", into = "WireVersion")]
pub struct RowVersion {
    /// The epoch of the store in which the version was read or written.
    pub epoch: Epoch,
    /// The number, which grows with each write within the epoch.
    pub number: u64,
}

impl RowVersion {
    /// Creates a version of a store that names no epoch.
    pub fn without_epoch(number: u64) -> Self {
        Self {
            epoch: Epoch::default(),
            number,
        }
    }
}

/// The form of a version in JSON: a number, or a number with its epoch.
#[apply(value!)]
#[serde(untagged)]
enum WireVersion {
    Number(u64),
    Numbered { epoch: Epoch, number: u64 },
}

impl From<WireVersion> for RowVersion {
    fn from(wire: WireVersion) -> Self {
        match wire {
            WireVersion::Number(number) => Self::without_epoch(number),
            WireVersion::Numbered { epoch, number } => Self { epoch, number },
        }
    }
}

impl From<RowVersion> for WireVersion {
    fn from(version: RowVersion) -> Self {
        let RowVersion { epoch, number } = version;
        match epoch {
            Epoch(0) => Self::Number(number),
            epoch => Self::Numbered { epoch, number },
        }
    }
}

/// A reading of the steady clock of the store, which all daemons share and which goes on while they
/// restart.
#[apply(value!)]
pub struct StoreTime {
    /// The time on the clock of the store.
    pub store_ms: u64,
    /// The time on the daemon's own clock at the reading.
    pub own_us: u64,
}

impl StoreTime {
    /// Returns the time on the clock of the store at a time on the own clock.
    pub fn at_ms(self, own_us: u64) -> u64 {
        self.store_ms + own_us.saturating_sub(self.own_us) / 1_000
    }
}

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
    /// The row has this version; never true in another epoch than that of the version.
    Version(RowVersion),
}

/// A row of the table.
#[apply(message!)]
pub struct Row {
    /// The key.
    pub key: String,
    /// The version, whose number is greater after each write of the row in the same epoch.
    pub version: RowVersion,
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
    Written(Vec<RowVersion>),
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

    /// Returns a receiver of the number of times that the store was seen to change its epoch; a
    /// store without epochs never changes it.
    fn watch_restorations(&self) -> watch::Receiver<u64> {
        watch::channel(0).1
    }

    /// Returns the current time in milliseconds on the steady clock of the store, which all daemons
    /// share; `None` if the store has none or gave no response yet.
    fn now_ms(&self) -> Option<u64> {
        None
    }
}

/// The platform's object store.
pub trait ObjectStore: Send + Sync {
    /// Executes one request.
    fn request(
        &self,
        request: ObjectRequest,
    ) -> BoxFuture<'_, Result<ObjectResponse, PlatformError>>;
}
