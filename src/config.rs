//! The configuration service: the policies that operators submit for each service, as records in
//! the platform's table.
//!
//! Every accepted change gets the next global version, which is propagated to all daemons. A daemon
//! never goes back to an older version, and reports whether it is behind a newer one.

mod catch_up;
mod fetch;
mod message;
mod operator_requests;
mod peer_set;
mod propagation;
mod rows;
mod schema;
mod service;
mod settings;
mod state;
mod submission;
mod submit_transaction;
mod validation;

pub use message::Message;
pub use peer_set::ring_position;
pub use schema::{RecordForm, SCHEMA_VERSION_MAX, SCHEMA_VERSION_MIN};
pub use service::Config;
pub use settings::ConfigSettings;
pub use state::{Change, StoredRecord, UnreadableRecord};

use macro_rules_attribute::apply;

use crate::derives::{message, value};
use crate::ids::{Priority, ServiceName};

/// The name of the configuration service.
pub const NAME: &str = "config";

/// The policy for one kind of request, see [`RequestKind`].
#[apply(value!)]
#[serde(deny_unknown_fields)]
pub struct Policy {
    /// The priority of the request.
    pub priority: Priority,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// The retries allowed to a root request across its whole call graph.
    pub retries: u32,
    /// The deadline of a request whose caller sets none.
    pub deadline_ms: u32,
    /// The delay before an idempotent request may be hedged; 0 disables hedging. Added in schema 2.
    #[serde(default)]
    pub hedge_after_ms: u32,
}

/// The active configuration of a daemon: its version, and the records as the daemon parsed them. A
/// record that the daemon cannot read is represented by the last one of the service that it could
/// read, if any.
#[apply(message!)]
#[derive(Default)]
pub struct ConfigView {
    /// The global configuration version.
    pub version: u64,
    /// The records, sorted by service.
    pub records: Vec<ServiceRecord>,
}

/// An operator's record of one service: the policies for its kinds of request.
#[apply(message!)]
#[serde(deny_unknown_fields)]
pub struct ServiceRecord {
    /// The schema of this record.
    pub schema_version: u16,
    /// The service.
    pub service: ServiceName,
    /// The kinds of request; the first that matches a request applies.
    pub kinds: Vec<RequestKind>,
}

/// A rule that selects the requests with a method and a path prefix, and the policy for them.
#[apply(message!)]
#[serde(deny_unknown_fields)]
pub struct RequestKind {
    /// The HTTP method that it matches, or `*` for any.
    pub method: String,
    /// The prefix of the paths that it matches.
    pub path_prefix: String,
    /// The policy that applies to it.
    pub policy: Policy,
}

/// A change that an operator submits.
#[apply(message!)]
#[serde(deny_unknown_fields)]
pub struct Submission {
    /// The operator's identifier of the change, which makes a submission idempotent: the same
    /// change is accepted once.
    pub change_id: String,
    /// The global version on which the change is based; the change is accepted only if that is
    /// still the current one.
    pub expected_version: u64,
    /// The records that are added or replaced; the others stay unchanged.
    pub records: Vec<ServiceRecord>,
    /// The services whose records are removed.
    #[serde(default)]
    pub removed: Vec<ServiceName>,
}

/// The outcome of a submission.
#[apply(message!)]
pub enum SubmitOutcome {
    /// The change is accepted under this version; submitting the same change again returns the same
    /// version.
    Accepted {
        /// The global version of the change.
        version: u64,
    },
    /// The current version is not `expected_version`, usually because another change was accepted
    /// first.
    Conflict {
        /// The current global version.
        version: u64,
    },
    /// The submission is invalid.
    Invalid {
        /// The path of the invalid field.
        field: String,
        /// What is wrong with the field, and which values are allowed.
        problem: String,
    },
    /// Every attempt failed, because the platform's table cannot be reached or the writes
    /// conflicted with others; nothing was accepted.
    Unavailable,
    /// The table's response was lost, so the change may have been accepted; submit the same change
    /// again.
    Unknown,
}

impl ConfigView {
    /// Returns the record of a service.
    pub fn record(&self, service: &ServiceName) -> Option<&ServiceRecord> {
        let index = self
            .records
            .binary_search_by(|record| record.service.cmp(service))
            .ok()?;
        Some(&self.records[index])
    }

    /// Returns the policy for a request, or `None` if no record of its service has a matching kind.
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
