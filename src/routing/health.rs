//! The health of a target by the outcomes of requests to it, and its ejection while it is failing.

use super::AttemptOutcome;

/// The number of consecutive failures at which a target is ejected.
const CONSECUTIVE_FAILURES_MAX: u32 = 5;
/// The share of successes below which a target is ejected.
const SUCCESS_SHARE_MIN: f64 = 0.5;
/// The weight of a new outcome in the moving average of the share of successes.
const OUTCOME_WEIGHT: f64 = 0.1;
/// The number of outcomes before the share of successes counts.
const OUTCOMES_MIN: u32 = 10;
/// The maximum number of times that the duration of an ejection is doubled.
const DOUBLINGS_MAX: u32 = 10;

/// The outcomes and ejections of one target.
pub(super) struct Health {
    success_share: f64,
    outcome_count: u32,
    consecutive_failures: u32,
    ejection_count: u32,
    ejected_until_us: u64,
    /// Whether the target was ejected and no request to it has succeeded since the ejection began.
    awaits_success_after_ejection: bool,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            success_share: 1.0,
            outcome_count: 0,
            consecutive_failures: 0,
            ejection_count: 0,
            ejected_until_us: 0,
            awaits_success_after_ejection: false,
        }
    }
}

impl Health {
    /// Records an outcome.
    ///
    /// A success after an ejection began resets the health. This ends the ejection at once, even if
    /// the request was sent before it.
    pub(super) fn record(&mut self, outcome: AttemptOutcome) {
        let Some(is_success) = outcome.is_success() else {
            return;
        };
        self.outcome_count = self.outcome_count.saturating_add(1);
        let value = if is_success { 1.0 } else { 0.0 };
        self.success_share += OUTCOME_WEIGHT * (value - self.success_share);
        if !is_success {
            self.consecutive_failures += 1;
            return;
        }
        self.consecutive_failures = 0;
        if self.awaits_success_after_ejection {
            *self = Self::default();
        }
    }

    /// Returns the share of successes among recent outcomes.
    pub(super) fn success_share(&self) -> f64 {
        self.success_share
    }

    pub(super) fn is_ejected(&self, now_us: u64) -> bool {
        now_us < self.ejected_until_us
    }

    /// Returns whether an ejection is over and no request has succeeded since it began.
    pub(super) fn is_on_trial(&self, now_us: u64) -> bool {
        self.awaits_success_after_ejection && !self.is_ejected(now_us)
    }

    /// Returns whether the target should be ejected after an outcome.
    pub(super) fn should_eject_after(&self, outcome: AttemptOutcome) -> bool {
        if outcome.is_success() != Some(false) {
            return false;
        }
        if self.awaits_success_after_ejection
            || self.consecutive_failures >= CONSECUTIVE_FAILURES_MAX
        {
            return true;
        }
        self.outcome_count >= OUTCOMES_MIN && self.success_share < SUCCESS_SHARE_MIN
    }

    /// Ejects the target; each further ejection without a success in between lasts twice as long.
    pub(super) fn eject(&mut self, now_us: u64, first_duration_us: u64, duration_max_us: u64) {
        let factor = 1 << self.ejection_count.min(DOUBLINGS_MAX);
        let duration_us = first_duration_us
            .saturating_mul(factor)
            .min(duration_max_us);
        self.ejection_count = self.ejection_count.saturating_add(1);
        self.ejected_until_us = now_us.saturating_add(duration_us);
        self.awaits_success_after_ejection = true;
    }
}
