//! Exponential backoff between the attempts of a request.

use rand::{Rng, RngExt};

/// The maximum delay before the first retry; it doubles with each further retry.
const FIRST_RETRY_DELAY_MS: u64 = 200;

/// Exponential backoff with jitter.
#[derive(Default)]
pub(crate) struct Backoff {
    attempts: u32,
}

impl Backoff {
    /// Returns the next delay, whose maximum doubles with each call up to `max_ms`.
    pub(crate) fn next_us(&mut self, max_ms: u32, rng: &mut impl Rng) -> u64 {
        let max_us = u64::from(max_ms) * 1_000;
        let doubled_us = (FIRST_RETRY_DELAY_MS * 1_000) << self.attempts.min(16);
        self.attempts += 1;
        let delay_us = doubled_us.min(max_us).max(1);
        delay_us / 2 + rng.random_range(0..=delay_us / 2)
    }

    /// Resets the maximum delay to its first value, after a success.
    pub(crate) fn reset(&mut self) {
        self.attempts = 0;
    }
}
