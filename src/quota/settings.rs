//! The settings of quotas.

use macro_rules_attribute::apply;

use crate::derives::settings;

/// Settings of quotas.
#[apply(settings!)]
pub struct QuotaSettings {
    /// How long a granted token may be used, counted from when the request for it was sent.
    pub lease_ms: u32,
    /// How long a request waits for its token; at most a third of its remaining time.
    pub wait_max_ms: u32,
    /// The time for whose expected requests tokens are requested ahead; they are granted only while
    /// tokens are not short.
    pub ahead_ms: u32,
    /// The timeout of a request to an owner or a lender.
    pub ask_timeout_ms: u32,
    /// The delay before an owner that did not answer, or a lender that did not lend, is asked again.
    pub retry_ms: u32,
    /// How long a daemon lends its share of an organisation's rate to an owner.
    pub loan_ms: u32,
    /// The time between two requests of an owner to the same lender; at most half of `loan_ms`, so
    /// that one may be lost.
    pub renew_ms: u32,
    /// How long a daemon that starts lends nothing; at least `loan_ms`, since its former process
    /// may have lent its share.
    pub settle_ms: u32,
    /// As `settle_ms`, but for loans to the daemon with the highest rendezvous hash among all known
    /// ones, absent ones included; counts from when an address was last added. The former process
    /// has lent to that owner too, unless the owner was absent then.
    pub settle_first_ms: u32,
    /// As `settle_ms`, if the daemon knows of no other.
    pub alone_ms: u32,
    /// How long a daemon that failed keeps its share of the rate, so that both sides of a partition
    /// count it.
    pub failed_share_ms: u32,
    /// The maximum number of daemons among which an organisation's rate is shared out.
    pub lenders_max: u16,
    /// How long an owner keeps the bucket of an organisation that nobody asks for.
    pub idle_ms: u32,
}

impl Default for QuotaSettings {
    fn default() -> Self {
        Self {
            lease_ms: 300,
            wait_max_ms: 300,
            ahead_ms: 100,
            ask_timeout_ms: 150,
            retry_ms: 100,
            loan_ms: 4_000,
            renew_ms: 1_700,
            settle_ms: 5_500,
            settle_first_ms: 1_000,
            alone_ms: 10_000,
            failed_share_ms: 3_600_000,
            lenders_max: 64,
            idle_ms: 600_000,
        }
    }
}

/// Returns milliseconds as microseconds.
pub(super) fn to_us(ms: u32) -> u64 {
    u64::from(ms) * 1_000
}

/// Returns microseconds as milliseconds, rounded up.
pub(super) fn to_ms_rounded_up(us: u64) -> u32 {
    u32::try_from(us.div_ceil(1_000)).unwrap_or(u32::MAX)
}
