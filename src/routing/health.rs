//! The health of a target, judged by the outcomes of requests to it.

use super::AttemptOutcome;

/// The failures in a row that eject a target.
const FAILURES_IN_ROW_MAX: u32 = 5;
/// The share of successes under which a target is ejected.
const SUCCESS_SHARE_MIN: f64 = 0.5;
/// The weight of a new outcome in the share of successes.
const OUTCOME_WEIGHT: f64 = 0.1;
/// The outcomes that are seen before the share of successes counts.
const OUTCOMES_MIN: u32 = 10;
/// The greatest exponent of the doubling of ejections.
const DOUBLINGS_MAX: u32 = 10;

/// Outcomes and ejections of one target.
pub(super) struct Health {
    success_share: f64,
    outcomes: u32,
    failures_in_row: u32,
    ejections: u32,
    ejected_until_us: u64,
    is_on_trial: bool,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            success_share: 1.0,
            outcomes: 0,
            failures_in_row: 0,
            ejections: 0,
            ejected_until_us: 0,
            is_on_trial: false,
        }
    }
}

/// Says whether an outcome speaks for the target, against it, or neither.
fn judgement(outcome: AttemptOutcome) -> Option<bool> {
    match outcome {
        AttemptOutcome::Answered => Some(true),
        AttemptOutcome::TargetError
        | AttemptOutcome::Lost
        | AttemptOutcome::NotSent
        | AttemptOutcome::Unreachable => Some(false),
        AttemptOutcome::Refused | AttemptOutcome::Cancelled => None,
    }
}

impl Health {
    pub(super) fn record(&mut self, outcome: AttemptOutcome) {
        let Some(is_success) = judgement(outcome) else {
            return;
        };
        self.outcomes = self.outcomes.saturating_add(1);
        let value = if is_success { 1.0 } else { 0.0 };
        self.success_share += OUTCOME_WEIGHT * (value - self.success_share);
        if !is_success {
            self.failures_in_row += 1;
            return;
        }
        self.failures_in_row = 0;
        if self.is_on_trial {
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

    /// Says whether an ejection is over and no success came since.
    pub(super) fn is_on_trial(&self, now_us: u64) -> bool {
        self.is_on_trial && !self.is_ejected(now_us)
    }

    /// Says whether the target is to be ejected after an outcome.
    pub(super) fn is_failing(&self, outcome: AttemptOutcome) -> bool {
        if judgement(outcome) != Some(false) {
            return false;
        }
        if self.is_on_trial || self.failures_in_row >= FAILURES_IN_ROW_MAX {
            return true;
        }
        self.outcomes >= OUTCOMES_MIN && self.success_share < SUCCESS_SHARE_MIN
    }

    /// Ejects the target; each ejection without a success between lasts twice as long.
    pub(super) fn eject(&mut self, now_us: u64, first_us: u64, max_us: u64) {
        let factor = 1 << self.ejections.min(DOUBLINGS_MAX);
        let time_us = first_us.saturating_mul(factor).min(max_us);
        self.ejections = self.ejections.saturating_add(1);
        self.ejected_until_us = now_us.saturating_add(time_us);
        self.is_on_trial = true;
    }
}
