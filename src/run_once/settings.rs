//! The settings of the run-once service.

use macro_rules_attribute::apply;

use crate::derives::settings;

/// The limits of the run-once service.
#[apply(settings!)]
pub struct RunOnceSettings {
    /// The maximum memory for kept verdicts, in bytes.
    pub kept_answers_bytes_max: usize,
    /// The maximum size of an answer that is kept, in bytes; a larger one is kept as a doubt.
    pub kept_answer_bytes_max: usize,
    /// How long a verdict is kept for repeats.
    pub kept_answer_ttl_ms: u64,
    /// How many of the latest issued tickets may still be used.
    pub open_tickets_max: u64,
    /// How long an unused ticket stays valid before it becomes void.
    pub open_ticket_ttl_ms: u64,
    /// The maximum number of tickets issued at once.
    pub ticket_block_max: u16,
    /// The maximum number of separate ranges of spent tickets, and of void tickets, in memory.
    pub ticket_ranges_max: usize,
    /// The maximum number of calls that wait for the verdict of one run.
    pub joined_calls_max: usize,
    /// The maximum number of child calls of one running request whose tickets are kept.
    pub children_max: usize,
    /// The timeout of one request to the platform's table.
    pub claim_timeout_ms: u64,
    /// A claim is given up when the response to an insert is lost and this many inserts of it were
    /// sent, including those with another response.
    pub claim_attempts_max: u32,
    /// The maximum number of claims in one request to the table.
    pub claim_batch_max: usize,
    /// The maximum number of requests in flight to the table.
    pub claim_requests_max: usize,
    /// The number of queued inserts at which new claims are refused. Inserts to retry do not count,
    /// and a reopened claim is queued in any case.
    pub pending_claims_max: usize,
    /// How long after a failure of the table claims are refused without a request to it, except
    /// those whose insert is being retried.
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
