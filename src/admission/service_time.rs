//! Estimates of the target's service time: moving averages over all calls and for each kind of
//! work.
//!
//! Admission uses them to refuse calls that would miss their deadline and to predict waits.

use super::CallOutcome;
use crate::ids::WorkKind;
use crate::sorted::SortedMap;

/// The weight of a new sample in the moving average is one over this.
const SAMPLE_WEIGHT_DIVISOR: u64 = 16;
/// The estimate halves for each full period of this length without a sample, so that an estimate
/// that leads to refusing every call can't last.
const HALF_LIFE_US: u64 = 1_000_000;

/// The maximum number of kinds of work with an estimate of their own; further kinds count only in
/// the estimate of all calls.
const KINDS_MAX: usize = 64;

/// A call of a kind with an estimate of its own is started only if at least this share of the
/// kind's mean time is left before its deadline.
const REQUIRED_TIME_PERCENT: u64 = 50;

/// The service times of all calls and of each kind of work.
#[derive(Default)]
pub(super) struct ServiceTimes {
    all: ServiceTimeEstimate,
    by_kind: SortedMap<WorkKind, ServiceTimeEstimate>,
}

impl ServiceTimes {
    /// Records the service time of a call that ended.
    pub(super) fn record(
        &mut self,
        now_us: u64,
        kind: WorkKind,
        elapsed_us: u64,
        outcome: CallOutcome,
    ) {
        self.all.record(now_us, elapsed_us, outcome);
        if kind == WorkKind::default() {
            return;
        }
        if self.by_kind.len() >= KINDS_MAX && !self.by_kind.contains_key(&kind) {
            return;
        }
        let time = self
            .by_kind
            .get_or_insert_with(kind, ServiceTimeEstimate::default);
        time.record(now_us, elapsed_us, outcome);
    }

    /// Returns the expected service time over calls of all kinds.
    pub(super) fn expected_us(&self, now_us: u64) -> u64 {
        self.all.expected_us(now_us)
    }

    /// Returns the mean service time as of the last sample, without the halving by age.
    pub(super) fn mean_us(&self) -> u64 {
        self.all.mean_us()
    }

    /// Returns the mean service time of a kind as of the last sample, or that of all calls if no kind
    /// is given; 0 if none was measured.
    pub(super) fn kind_mean_us(&self, kind: WorkKind) -> u64 {
        if kind == WorkKind::default() {
            return self.mean_us();
        }
        self.by_kind.get(&kind).map_or(0, |time| time.mean_us())
    }

    /// Returns the time that must be left before the deadline to start a call of a kind: half the
    /// kind's mean; the whole mean of all calls if no kind is given; 0 if the kind has no estimate
    /// of its own.
    pub(super) fn required_us(&self, now_us: u64, kind: WorkKind) -> u64 {
        match self.by_kind.get(&kind) {
            Some(time) => time.expected_us(now_us) * REQUIRED_TIME_PERCENT / 100,
            None if kind == WorkKind::default() => self.all.expected_us(now_us),
            None => 0,
        }
    }

    /// Returns the latest time at which a call of a kind may start, by the same rule as
    /// [`ServiceTimes::required_us`] but without the halving by age.
    pub(super) fn latest_start_us(&self, deadline_us: u64, kind: WorkKind) -> u64 {
        let required_us = match self.by_kind.get(&kind) {
            Some(time) => time.mean_us() * REQUIRED_TIME_PERCENT / 100,
            None if kind == WorkKind::default() => self.all.mean_us(),
            None => 0,
        };
        deadline_us.saturating_sub(required_us)
    }
}

/// A moving average of the time from the start of a call at the target to its end.
#[derive(Default)]
pub(super) struct ServiceTimeEstimate {
    mean_us: u64,
    last_sample_us: u64,
}

impl ServiceTimeEstimate {
    /// Records the service time of a call that ended.
    ///
    /// A call without an answer only shows that an answer takes longer, and a server error may come
    /// sooner than another answer. The time of a failed or cancelled call therefore counts only if
    /// it is at least the mean.
    pub(super) fn record(&mut self, now_us: u64, elapsed_us: u64, outcome: CallOutcome) {
        if outcome != CallOutcome::Answered && elapsed_us < self.mean_us {
            return;
        }
        self.last_sample_us = now_us;
        if self.mean_us == 0 {
            self.mean_us = elapsed_us;
            return;
        }
        let kept_us = self.mean_us * (SAMPLE_WEIGHT_DIVISOR - 1);
        self.mean_us = (kept_us + elapsed_us) / SAMPLE_WEIGHT_DIVISOR;
    }

    /// Returns the expected service time, halved for each [`HALF_LIFE_US`] without a sample.
    pub(super) fn expected_us(&self, now_us: u64) -> u64 {
        let age_us = now_us.saturating_sub(self.last_sample_us);
        let halvings = u32::try_from(age_us / HALF_LIFE_US).unwrap_or(u32::MAX);
        self.mean_us.checked_shr(halvings).unwrap_or(0)
    }

    /// Returns the mean as of the last sample.
    pub(super) fn mean_us(&self) -> u64 {
        self.mean_us
    }
}
