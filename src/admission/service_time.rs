//! A running estimate of how long the target takes for a request.

use super::CallOutcome;
use crate::ids::WorkKind;
use crate::sorted::SortedMap;

/// The weight of a new sample is one part of this many.
const SAMPLE_WEIGHT_PARTS: u64 = 16;
/// Without samples the estimate halves after this time, so that it can't refuse for ever.
const HALVING_US: u64 = 1_000_000;

/// The kinds of work whose times are kept apart; further ones share one estimate.
const KINDS_MAX: usize = 64;

/// The part of its mean time without which a request of a kind is not started.
const NEED_PERCENT: u64 = 50;

/// The times of all requests, and of each kind.
#[derive(Default)]
pub(super) struct ServiceTimes {
    all: ServiceTime,
    kinds: SortedMap<WorkKind, ServiceTime>,
}

impl ServiceTimes {
    /// Takes in a request that ended.
    pub(super) fn record(
        &mut self,
        now_us: u64,
        kind: WorkKind,
        elapsed_us: u64,
        ended: CallOutcome,
    ) {
        self.all.record(now_us, elapsed_us, ended);
        if kind == WorkKind::default() {
            return;
        }
        if self.kinds.len() >= KINDS_MAX && !self.kinds.contains_key(&kind) {
            return;
        }
        let time = self.kinds.get_or_insert_with(kind, ServiceTime::default);
        time.record(now_us, elapsed_us, ended);
    }

    /// Returns the time that a request is expected to take, whatever its kind.
    pub(super) fn expected_us(&self, now_us: u64) -> u64 {
        self.all.expected_us(now_us)
    }

    /// Returns the mean time of requests as of the last one.
    pub(super) fn mean_us(&self) -> u64 {
        self.all.latest_us()
    }

    /// Returns the least time that a request of a kind must have left, now.
    pub(super) fn expected_need_us(&self, now_us: u64, kind: WorkKind) -> u64 {
        match self.kinds.get(&kind) {
            Some(time) => time.expected_us(now_us) * NEED_PERCENT / 100,
            None if kind == WorkKind::default() => self.all.expected_us(now_us),
            None => 0,
        }
    }

    /// Returns the time by which a request of a kind must start to end before its deadline.
    pub(super) fn latest_start_us(&self, deadline_us: u64, kind: WorkKind) -> u64 {
        let need_us = match self.kinds.get(&kind) {
            Some(time) => time.latest_us() * NEED_PERCENT / 100,
            None if kind == WorkKind::default() => self.all.latest_us(),
            None => 0,
        };
        deadline_us.saturating_sub(need_us)
    }
}

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
    pub(super) fn record(&mut self, now_us: u64, elapsed_us: u64, ended: CallOutcome) {
        if ended != CallOutcome::Answered && elapsed_us < self.mean_us {
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
