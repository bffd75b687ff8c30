//! The settings of the run-once service.

use macro_rules_attribute::apply;

use crate::derives::settings;

/// The bounds of the run-once service.
#[apply(settings!)]
pub struct RunOnceSettings {
    /// The memory for kept verdicts, in bytes.
    pub kept_answers_bytes_max: usize,
    /// The largest answer that is kept, in bytes.
    pub kept_answer_bytes_max: usize,
    /// The time that a verdict is kept for repeats.
    pub kept_answer_ttl_ms: u64,
    /// The number of latest tickets that may still be used.
    pub open_tickets_max: u64,
    /// The time after which an unused ticket is void.
    pub open_ticket_ttl_ms: u64,
    /// The greatest number of tickets issued at once.
    pub ticket_block_max: u16,
    /// The greatest number of separate ranges of used tickets that are remembered.
    pub ticket_ranges_max: usize,
    /// The greatest number of calls that wait for one run.
    pub joined_calls_max: usize,
    /// The greatest number of calls of one running request whose tickets are remembered.
    pub children_max: usize,
    /// The time allowed for one request to the platform's table.
    pub claim_timeout_ms: u64,
    /// The number of times that a claim whose answer was lost is sent.
    pub claim_attempts_max: u32,
    /// The greatest number of claims in one request to the table.
    pub claim_batch_max: usize,
    /// The greatest number of requests to the table at once.
    pub claim_requests_max: usize,
    /// The greatest number of claims that wait for the table.
    pub pending_claims_max: usize,
    /// The time after a failure of the table in which claims are refused without asking it.
    pub table_retry_after_ms: u32,
}

impl Default for RunOnceSettings {
    fn default() -> Self {
        Self {
            kept_answers_bytes_max: 16 * 1024 * 1024,
            kept_answer_bytes_max: 1024 * 1024,
            kept_answer_ttl_ms: 600_000,
            open_tickets_max: 65_536,
            open_ticket_ttl_ms: 600_000,
            ticket_block_max: 64,
            ticket_ranges_max: 4_096,
            joined_calls_max: 64,
            children_max: 1_024,
            claim_timeout_ms: 300,
            claim_attempts_max: 2,
            claim_batch_max: 64,
            claim_requests_max: 2,
            pending_claims_max: 1_024,
            table_retry_after_ms: 250,
        }
    }
}
