//! Configuration: records of the operators, their versions and their spread.

mod catch_up;
mod fetch;
mod message;
mod operators;
mod record;
mod roster;
mod rows;
mod schema;
mod service;
mod settings;
mod spread;
mod state;
mod submission;
mod submit;

pub use message::Message;
pub use roster::rendezvous_hash;
pub use schema::{RecordForm, SCHEMA_VERSION_MAX, SCHEMA_VERSION_MIN};
pub use service::Config;
pub use settings::ConfigSettings;
pub use state::{Change, StoredRecord, UnreadableRecord};

use macro_rules_attribute::apply;

use crate::derives::{message, value};
use crate::ids::{Priority, ServiceName};

/// The name of the configuration service.
pub const NAME: &str = "config";

/// What holds for one kind of request.
#[apply(value!)]
#[serde(deny_unknown_fields)]
pub struct Policy {
    /// The importance.
    pub priority: Priority,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// The further tries of a root request over its whole call graph.
    pub retries: u32,
    /// The time allowed where the caller names none.
    pub deadline_ms: u32,
    /// The time after which an idempotent request may be hedged; 0 for never. Since schema 2.
    #[serde(default)]
    pub hedge_after_ms: u32,
}

/// The configuration in force.
#[apply(message!)]
#[derive(Default)]
pub struct ConfigView {
    /// The global version.
    pub version: u64,
    /// The records, in order of their service.
    pub records: Vec<ServiceRecord>,
}

/// An operator's record of one service.
#[apply(message!)]
#[serde(deny_unknown_fields)]
pub struct ServiceRecord {
    /// The schema of this record.
    pub schema_version: u16,
    /// The service.
    pub service: ServiceName,
    /// The kinds of request; the first that matches holds.
    pub kinds: Vec<RequestKind>,
}

/// One kind of request of a service.
#[apply(message!)]
#[serde(deny_unknown_fields)]
pub struct RequestKind {
    /// The method that it matches, or `*`.
    pub method: String,
    /// The start of the path that it matches.
    pub path_prefix: String,
    /// What holds for it.
    pub policy: Policy,
}

/// Records that an operator submits.
#[apply(message!)]
#[serde(deny_unknown_fields)]
pub struct Submission {
    /// The operator's name for the change; the same change is accepted once.
    pub change_id: String,
    /// The global version that the operator saw.
    pub expected_version: u64,
    /// The records that are put in force; others stay.
    pub records: Vec<ServiceRecord>,
    /// The services whose records are removed.
    #[serde(default)]
    pub removed: Vec<ServiceName>,
}

/// What became of a submission.
#[apply(message!)]
pub enum SubmitOutcome {
    /// It is accepted under this version; the same change submitted again gets the same version.
    Accepted {
        /// The global version.
        version: u64,
    },
    /// Another change came first.
    Conflict {
        /// The global version now.
        version: u64,
    },
    /// A record is not valid.
    Invalid {
        /// The field, as a path.
        field: String,
        /// What is wrong and what is allowed.
        problem: String,
    },
    /// The platform's table cannot be reached; nothing was accepted.
    Unavailable,
    /// The table's answer was lost; submit the same change again.
    Unknown,
}

impl ConfigView {
    /// Returns the record of a service.
    pub fn record(&self, service: &ServiceName) -> Option<&ServiceRecord> {
        let at = self
            .records
            .binary_search_by(|record| record.service.cmp(service))
            .ok()?;
        Some(&self.records[at])
    }

    /// Returns what holds for a request, or `None` where no record names its service.
    pub fn policy(&self, service: &ServiceName, method: &str, path: &str) -> Option<Policy> {
        let record = self.record(service)?;
        for kind in &record.kinds {
            if kind.method != "*" && kind.method != method {
                continue;
            }
            if !path.starts_with(&kind.path_prefix) {
                continue;
            }
            return Some(kind.policy);
        }
        None
    }
}
