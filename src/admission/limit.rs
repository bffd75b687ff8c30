//! The concurrency limit: how many calls are sent to the target at once.

use super::CallOutcome;

/// The calls of an epoch, as a multiple of the limit.
const EPOCH_LIMITS: u32 = 8;
/// The least calls of an epoch.
const EPOCH_CALLS_MIN: u32 = 200;
/// The greatest time of an epoch.
const EPOCH_MAX_US: u64 = 5_000_000;
/// The share of calls of an epoch that ended while the limit was reached.
const SATURATED_PERCENT: u32 = 80;
/// The latency, in percent of the floor, above which crowding is suspected.
const CROWDED_LATENCY_PERCENT: u64 = 150;
/// The share of failures above which crowding is suspected.
const CROWDED_FAILURES_PERCENT: u32 = 10;
/// The limit of a trial, in percent of the limit.
const TRIAL_PERCENT: u32 = 80;
/// The goodput of a trial, in percent of that before, that keeps the lower limit.
const KEPT_GOODPUT_PERCENT: u64 = 95;
/// The goodput of a trial, in percent of that before, that ends it early as a failure.
const CLEAR_LOSS_PERCENT: u64 = 86;
/// The goodput of a trial, in percent of that before, that ends it early as a success.
const CLEAR_GAIN_PERCENT: u64 = 98;
/// The calls after which a trial may end early.
const EARLY_CALLS_MIN: u32 = 50;
/// The rise of the latency floor, in percent of itself, after each epoch.
const FLOOR_RISE_PERCENT: u64 = 2;
/// The wait after a trial before the next step; it doubles while trials fail.
const WAIT_FIRST_US: u64 = 5_000_000;
/// The greatest wait between trials.
const WAIT_MAX_US: u64 = 80_000_000;

/// The most slots that are believed of a target.
const SLOTS_MAX: u32 = 1_000_000;

/// A limit under the slots that the target announced.
///
/// The target is sent as many calls as it has slots until its latency or its failures give reason
/// to suspect that it is crowded, or no latency below the limit is known. A trial with a lower limit then shows whether it gets as much
/// done with fewer calls; a target that is slow for another reason keeps its slots.
pub(super) struct Limit {
    min: u32,
    tries_lower: bool,
    slots: u32,
    limit: u32,
    floor_us: Option<u64>,
    epoch: Epoch,
    trial: Option<Trial>,
    wait_us: u64,
    next_trial_us: u64,
    next_rise_us: u64,
}

/// The calls that ended since the limit last changed.
#[derive(Default)]
struct Epoch {
    /// The calls that are still to be left out.
    skips: u32,
    started_us: u64,
    answered: u32,
    failed: u32,
    saturated: u32,
    latency_sum_us: u64,
}

/// A lower limit that is tried.
struct Trial {
    limit_before: u32,
    goodput_before: u64,
}

impl Epoch {
    fn calls(&self) -> u32 {
        self.answered + self.failed
    }

    fn is_saturated(&self) -> bool {
        self.saturated * 100 >= self.calls() * SATURATED_PERCENT
    }

    /// Returns the answers in a thousand seconds while a limit is reached.
    ///
    /// It rests on the time that calls take, so that gaps between arrivals do not count.
    fn goodput(&self, limit: u32) -> u64 {
        let busy_us = self.latency_sum_us.max(1);
        u64::from(self.answered) * u64::from(limit) * 1_000_000_000 / busy_us
    }

    fn mean_us(&self) -> u64 {
        self.latency_sum_us / u64::from(self.calls().max(1))
    }
}

impl Limit {
    pub(super) fn new(min: u32, tries_lower: bool) -> Self {
        Self {
            min,
            tries_lower,
            slots: 0,
            limit: 0,
            floor_us: None,
            epoch: Epoch::default(),
            trial: None,
            wait_us: WAIT_FIRST_US,
            next_trial_us: 0,
            next_rise_us: 0,
        }
    }

    pub(super) fn set_slots(&mut self, now_us: u64, slots: u32) {
        let slots = slots.min(SLOTS_MAX);
        if slots == self.slots {
            return;
        }
        self.slots = slots;
        self.trial = None;
        self.change(now_us, slots);
    }

    pub(super) fn current(&self) -> u32 {
        self.limit
    }

    /// Takes in a call that ended; `is_saturated` says whether the limit was reached.
    pub(super) fn record(
        &mut self,
        now_us: u64,
        latency_us: u64,
        ended: CallOutcome,
        is_saturated: bool,
    ) {
        let epoch = &mut self.epoch;
        if epoch.skips > 0 {
            epoch.skips -= 1;
            epoch.started_us = now_us;
            return;
        }
        match ended {
            CallOutcome::Answered => epoch.answered += 1,
            CallOutcome::Failed => epoch.failed += 1,
            CallOutcome::Cancelled => return,
        }
        epoch.latency_sum_us += latency_us;
        epoch.saturated += u32::from(is_saturated);
        let is_long = now_us.saturating_sub(epoch.started_us) > EPOCH_MAX_US;
        let is_full = epoch.calls() >= EPOCH_CALLS_MIN.max(EPOCH_LIMITS * self.limit);
        if is_long || is_full || self.is_trial_clear() {
            self.end_epoch(now_us);
        }
    }

    /// Says whether a trial shows a clear loss or gain before its epoch is over.
    fn is_trial_clear(&self) -> bool {
        let Some(trial) = &self.trial else {
            return false;
        };
        if self.epoch.calls() < EARLY_CALLS_MIN.max(self.limit) {
            return false;
        }
        let goodput = self.epoch.goodput(self.limit) * 100;
        goodput <= trial.goodput_before * CLEAR_LOSS_PERCENT
            || goodput >= trial.goodput_before * CLEAR_GAIN_PERCENT
    }

    fn end_epoch(&mut self, now_us: u64) {
        let epoch = std::mem::take(&mut self.epoch);
        let limit = self.next_limit(now_us, &epoch);
        self.take_floor(&epoch);
        if limit == self.limit {
            self.epoch.started_us = now_us;
            return;
        }
        self.change(now_us, limit);
    }

    fn next_limit(&mut self, now_us: u64, epoch: &Epoch) -> u32 {
        if let Some(trial) = self.trial.take() {
            return self.end_trial(now_us, epoch, &trial);
        }
        if self.is_crowded(epoch) {
            return self.begin_trial(now_us, epoch);
        }
        if now_us < self.next_rise_us {
            return self.limit;
        }
        (self.limit + self.limit / 10 + 1).min(self.slots)
    }

    fn is_crowded(&self, epoch: &Epoch) -> bool {
        let is_slow = match self.floor_us {
            Some(floor_us) => epoch.mean_us() > floor_us * CROWDED_LATENCY_PERCENT / 100,
            None => true,
        };
        let is_failing = epoch.failed * 100 > epoch.calls() * CROWDED_FAILURES_PERCENT;
        self.tries_lower && epoch.is_saturated() && (is_slow || is_failing)
    }

    fn begin_trial(&mut self, now_us: u64, epoch: &Epoch) -> u32 {
        let limit = (self.limit * TRIAL_PERCENT / 100).max(self.min.min(self.slots));
        if now_us < self.next_trial_us || limit >= self.limit {
            return self.limit;
        }
        self.trial = Some(Trial {
            limit_before: self.limit,
            goodput_before: epoch.goodput(self.limit),
        });
        limit
    }

    /// Keeps the lower limit where the target got as much done.
    fn end_trial(&mut self, now_us: u64, epoch: &Epoch, trial: &Trial) -> u32 {
        let kept_from = trial.goodput_before * KEPT_GOODPUT_PERCENT / 100;
        if epoch.is_saturated() && epoch.goodput(self.limit) >= kept_from {
            self.wait_us = WAIT_FIRST_US;
            self.next_rise_us = now_us + self.wait_us;
            return self.limit;
        }
        self.next_trial_us = now_us + self.wait_us;
        self.wait_us = (self.wait_us * 2).min(WAIT_MAX_US);
        trial.limit_before
    }

    /// The floor follows a lower latency at once and a higher one slowly; the first comes from an
    /// epoch below the limit.
    fn take_floor(&mut self, epoch: &Epoch) {
        if epoch.answered == 0 {
            return;
        }
        let Some(floor_us) = self.floor_us else {
            if !epoch.is_saturated() {
                self.floor_us = Some(epoch.mean_us());
            }
            return;
        };
        let risen_us = floor_us + floor_us / 100 * FLOOR_RISE_PERCENT;
        self.floor_us = Some(epoch.mean_us().min(risen_us));
    }

    /// Calls that were sent under the former limit, or beside such calls, do not count.
    fn change(&mut self, now_us: u64, limit: u32) {
        self.epoch = Epoch {
            skips: self.limit + limit,
            started_us: now_us,
            ..Epoch::default()
        };
        self.limit = limit;
    }
}
