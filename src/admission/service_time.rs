//! A running estimate of how long the target takes for a request.

use super::Ended;

/// The weight of a new sample is one part of this many.
const SAMPLE_WEIGHT_PARTS: u64 = 16;
/// Without samples the estimate halves after this time, so that it can't refuse for ever.
const HALVING_US: u64 = 1_000_000;

/// A moving average of the time between send and answer.
#[derive(Default)]
pub(super) struct ServiceTime {
    mean_us: u64,
    sampled_us: u64,
}

impl ServiceTime {
    /// Takes in a request that ended.
    ///
    /// A request that did not end with an answer says only that an answer takes longer.
    pub(super) fn record(&mut self, now_us: u64, elapsed_us: u64, ended: Ended) {
        if ended != Ended::Answered && elapsed_us < self.mean_us {
            return;
        }
        self.sampled_us = now_us;
        if self.mean_us == 0 {
            self.mean_us = elapsed_us;
            return;
        }
        let kept_us = self.mean_us * (SAMPLE_WEIGHT_PARTS - 1);
        self.mean_us = (kept_us + elapsed_us) / SAMPLE_WEIGHT_PARTS;
    }

    /// Returns the time that a request is expected to take.
    pub(super) fn expected_us(&self, now_us: u64) -> u64 {
        let age_us = now_us.saturating_sub(self.sampled_us);
        let halvings = u32::try_from(age_us / HALVING_US).unwrap_or(u32::MAX);
        self.mean_us.checked_shr(halvings).unwrap_or(0)
    }

    /// Returns the estimate as of the last sample.
    pub(super) fn latest_us(&self) -> u64 {
        self.mean_us
    }
}
