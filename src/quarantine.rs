//! Quarantine of requests that end the targets that run them.
//!
//! Guards report which requests were at a target when it ended. Daemons share these reports by
//! gossip, and each finds the same requests to refuse.

mod evidence;
mod fingerprint;
mod message;
mod rows;
mod service;

use macro_rules_attribute::apply;

use crate::derives::{settings, value};
use crate::verdict::{Refusal, RefusalReason};

pub use evidence::Evidence;
pub use fingerprint::{RequestContent, RequestFingerprint, RequestOutline};
pub use message::{Completion, CrashId, CrashReport, Message, QuarantineRecord, Records};
pub use service::Quarantine;

/// The name of the quarantine service.
pub const NAME: &str = "quarantine";

/// Settings of the quarantine.
#[apply(settings!)]
pub struct QuarantineSettings {
    /// The number of ended targets after which a request is quarantined, if no other request was at
    /// all of them.
    pub crashes_min: u32,
    /// How long reports of ended targets, and of requests that completed, are kept.
    pub evidence_ms: u32,
    /// How long a quarantined request is refused after the last target that it ended. For as long
    /// again, one more end is enough.
    pub refuse_ms: u32,
    /// The number of random peers that a new record is pushed to.
    pub fan_out: usize,
    /// The time between two comparisons of records with a random peer.
    pub compare_period_ms: u32,
    /// The timeout of a peer request.
    pub ask_timeout_ms: u32,
    /// The timeout of a request to the platform's table.
    pub table_timeout_ms: u32,
}

impl Default for QuarantineSettings {
    fn default() -> Self {
        Self {
            crashes_min: 3,
            evidence_ms: 600_000,
            refuse_ms: 900_000,
            fan_out: 4,
            compare_period_ms: 1_000,
            ask_timeout_ms: 500,
            table_timeout_ms: 1_000,
        }
    }
}

/// How a request is judged by the reports known so far.
#[apply(value!)]
pub enum Standing {
    /// It may run.
    Clear,
    /// It may run, but not beside another suspect at the same target.
    Suspect,
    /// It is refused.
    Quarantined {
        /// The time until it may run again.
        left_ms: u32,
    },
}

/// Returns the refusal of a request that is quarantined.
pub fn refusal(standing: Standing) -> Option<Refusal> {
    let Standing::Quarantined { left_ms } = standing else {
        return None;
    };
    Some(Refusal {
        reason: RefusalReason::Quarantined,
        retry_after_ms: left_ms,
        is_other_target_worthwhile: false,
    })
}
