//! The records that daemons share and the messages that carry them.
//!
//! Daemons have no common clock, so a record carries the age of what it tells of.

use macro_rules_attribute::apply;

use super::RequestFingerprint;
use crate::derives::{message, value};
use crate::ids::{MemberId, ServiceName};

/// Identifies one end of a target.
#[apply(value!)]
pub struct CrashId(pub u64);

/// The report of a guard that its target ended.
#[apply(message!)]
pub struct CrashReport {
    /// Identifies the report.
    pub id: CrashId,
    /// The daemon beside the target.
    pub origin: MemberId,
    /// The service of the target.
    pub service: ServiceName,
    /// How long ago the target ended.
    pub age_ms: u64,
    /// The requests that were at the target, except those that ran to an answer elsewhere since, in
    /// ascending order.
    pub requests: Vec<RequestFingerprint>,
}

/// The report that a target ran a request to its answer.
#[apply(message!)]
pub struct Completion {
    /// The request.
    pub request: RequestFingerprint,
    /// How long ago it was answered.
    pub age_ms: u64,
}

/// The record of a request that is quarantined.
#[apply(message!)]
pub struct QuarantineRecord {
    /// The request.
    pub request: RequestFingerprint,
    /// The last end of a target that is attributed to it.
    pub last_crash: CrashId,
    /// How long ago that target ended.
    pub age_ms: u64,
}

/// A set of records.
#[apply(message!)]
#[derive(Default)]
pub struct Records {
    /// Ended targets.
    pub crashes: Vec<CrashReport>,
    /// Requests that completed.
    pub completions: Vec<Completion>,
    /// Requests that are quarantined.
    pub quarantines: Vec<QuarantineRecord>,
}

impl Records {
    /// Returns whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.completions.is_empty() && self.quarantines.is_empty()
    }
}

/// A message about quarantined requests between daemons.
#[apply(message!)]
pub enum Message {
    /// Requests the records of the recipient if they differ from those of the sender.
    Compare {
        /// The digest of all records of the sender.
        digest: u64,
    },
    /// Responds that there is nothing to send.
    Same,
    /// Responds with all records.
    Contents {
        /// The digest of the records.
        digest: u64,
        /// The records.
        records: Records,
    },
    /// Sends records that may be new to the recipient.
    Push(Records),
}
