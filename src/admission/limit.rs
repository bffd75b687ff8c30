//! An adaptive concurrency limit: how many calls are sent to the target at once.
//!
//! It starts at the number of slots that may be used. When the target appears congested, a lower
//! limit is tried for one measurement window and kept for a while if goodput hardly falls. After
//! that it rises again, by a tenth plus one after each window that does not suggest congestion.

use super::CallOutcome;
use super::concurrency::{ConcurrencyLimit, EndedCall, SLOTS_MAX};

/// The number of calls after which a measurement window ends, as a multiple of the limit.
const WINDOW_LIMIT_MULTIPLE: u32 = 8;
/// The minimum number of calls after which a measurement window ends, unless its time is over.
const WINDOW_CALLS_MIN: u32 = 200;
/// The maximum duration of a measurement window.
const WINDOW_MAX_US: u64 = 5_000_000;
/// A window is saturated if at least this share of its calls ended while the limit was reached.
const SATURATED_PERCENT: u32 = 80;
/// The mean latency of a saturated window, in percent of the latency floor, above which congestion
/// is suspected.
const CONGESTED_LATENCY_PERCENT: u64 = 150;
/// The share of failed calls in a saturated window, above which congestion is suspected.
const CONGESTED_FAILURES_PERCENT: u32 = 10;
/// The limit during a trial, in percent of the limit before.
const TRIAL_LIMIT_PERCENT: u32 = 80;
/// The goodput of a saturated trial, in percent of that before, from which the lower limit is kept.
const KEEP_GOODPUT_PERCENT: u64 = 95;
/// The goodput of a trial, in percent of that before, up to which it ends early as a failure.
const EARLY_FAILURE_PERCENT: u64 = 86;
/// The goodput of a trial, in percent of that before, from which it ends early: as a success if its
/// window is saturated, otherwise as a failure.
const EARLY_SUCCESS_PERCENT: u64 = 98;
/// The minimum number of calls after which a trial may end early.
const EARLY_END_CALLS_MIN: u32 = 50;
/// The maximum rise of the latency floor after each window, in percent of itself. One percent is
/// rounded down to whole microseconds, so a floor below 100 us never rises.
const FLOOR_RISE_PERCENT: u64 = 2;
/// The pause after a trial: after a success the limit does not rise for this time; after a failure
/// no trial starts. It doubles with each failure and is reset by a success.
const TRIAL_PAUSE_FIRST_US: u64 = 5_000_000;
/// The maximum pause between trials.
const TRIAL_PAUSE_MAX_US: u64 = 80_000_000;

/// A concurrency limit of at most the number of slots that may be used.
///
/// The limit equals the number of slots until congestion is suspected: a window is saturated, and
/// its latency or share of failures is too high, or no latency floor is known because no window was
/// unsaturated yet. A trial with a lower limit then shows whether the target reaches the same
/// goodput with fewer calls; a target that is slow for another reason keeps its slots.
pub(super) struct TrialLimit {
    limit_min: u32,
    /// Whether a trial begins when congestion is suspected; otherwise the limit stays at `slots`.
    tries_lower: bool,
    slots: u32,
    limit: u32,
    latency_floor_us: Option<u64>,
    window: Window,
    trial: Option<Trial>,
    trial_pause_us: u64,
    earliest_trial_us: u64,
    earliest_rise_us: u64,
}

/// A measurement window: the calls that ended since the previous window or the last change of the
/// limit.
#[derive(Default)]
struct Window {
    /// The number of calls that are still to be ignored, because they started under a former limit
    /// or ran beside such calls.
    calls_to_skip: u32,
    started_us: u64,
    answered_count: u32,
    failed_count: u32,
    at_limit_count: u32,
    latency_sum_us: u64,
}

/// A trial of a lower limit.
struct Trial {
    limit_before: u32,
    goodput_before: u64,
}

impl Window {
    fn call_count(&self) -> u32 {
        self.answered_count + self.failed_count
    }

    fn is_saturated(&self) -> bool {
        self.at_limit_count * 100 >= self.call_count() * SATURATED_PERCENT
    }

    /// Returns the goodput at full use of a limit, in answers per 1000 seconds.
    ///
    /// It is computed from the duration of the calls, so that gaps between arrivals do not lower
    /// it.
    fn goodput(&self, limit: u32) -> u64 {
        let busy_us = self.latency_sum_us.max(1);
        u64::from(self.answered_count) * u64::from(limit) * 1_000_000_000 / busy_us
    }

    fn mean_latency_us(&self) -> u64 {
        self.latency_sum_us / u64::from(self.call_count().max(1))
    }
}

impl TrialLimit {
    pub(super) fn new(limit_min: u32, tries_lower: bool) -> Self {
        Self {
            limit_min,
            tries_lower,
            slots: 0,
            limit: 0,
            latency_floor_us: None,
            window: Window::default(),
            trial: None,
            trial_pause_us: TRIAL_PAUSE_FIRST_US,
            earliest_trial_us: 0,
            earliest_rise_us: 0,
        }
    }

    /// Returns whether the goodput of a trial decides it before its window is over.
    fn is_trial_conclusive(&self) -> bool {
        let Some(trial) = &self.trial else {
            return false;
        };
        if self.window.call_count() < EARLY_END_CALLS_MIN.max(self.limit) {
            return false;
        }
        let goodput = self.window.goodput(self.limit) * 100;
        goodput <= trial.goodput_before * EARLY_FAILURE_PERCENT
            || goodput >= trial.goodput_before * EARLY_SUCCESS_PERCENT
    }

    fn end_window(&mut self, now_us: u64) {
        let window = std::mem::take(&mut self.window);
        let limit = self.decide_limit(now_us, &window);
        self.update_latency_floor(&window);
        if limit == self.limit {
            self.window.started_us = now_us;
            return;
        }
        self.set_limit(now_us, limit);
    }

    /// Returns the limit for the next window; ends a trial or begins one if due.
    fn decide_limit(&mut self, now_us: u64, window: &Window) -> u32 {
        if let Some(trial) = self.trial.take() {
            return self.end_trial(now_us, window, &trial);
        }
        if self.should_try_lower_limit(window) {
            return self.begin_trial_if_due(now_us, window);
        }
        if now_us < self.earliest_rise_us {
            return self.limit;
        }
        (self.limit + self.limit / 10 + 1).min(self.slots)
    }

    /// Returns whether a window suggests congestion, if lower limits are tried at all.
    fn should_try_lower_limit(&self, window: &Window) -> bool {
        let is_slow = match self.latency_floor_us {
            Some(floor_us) => window.mean_latency_us() > floor_us * CONGESTED_LATENCY_PERCENT / 100,
            None => true,
        };
        let is_failing =
            window.failed_count * 100 > window.call_count() * CONGESTED_FAILURES_PERCENT;
        self.tries_lower && window.is_saturated() && (is_slow || is_failing)
    }

    /// Begins a trial unless one failed recently or the limit is at its minimum; returns the limit
    /// to use.
    fn begin_trial_if_due(&mut self, now_us: u64, window: &Window) -> u32 {
        let limit = (self.limit * TRIAL_LIMIT_PERCENT / 100).max(self.limit_min.min(self.slots));
        if now_us < self.earliest_trial_us || limit >= self.limit {
            return self.limit;
        }
        self.trial = Some(Trial {
            limit_before: self.limit,
            goodput_before: window.goodput(self.limit),
        });
        limit
    }

    /// Keeps the lower limit if the trial's window was saturated and the target reached about the
    /// same goodput; otherwise restores the limit from before the trial.
    fn end_trial(&mut self, now_us: u64, window: &Window, trial: &Trial) -> u32 {
        let goodput_min = trial.goodput_before * KEEP_GOODPUT_PERCENT / 100;
        if window.is_saturated() && window.goodput(self.limit) >= goodput_min {
            self.trial_pause_us = TRIAL_PAUSE_FIRST_US;
            self.earliest_rise_us = now_us + self.trial_pause_us;
            return self.limit;
        }
        self.earliest_trial_us = now_us + self.trial_pause_us;
        self.trial_pause_us = (self.trial_pause_us * 2).min(TRIAL_PAUSE_MAX_US);
        trial.limit_before
    }

    /// Updates the latency floor.
    ///
    /// The floor follows a lower latency at once and a higher one slowly. Its first value comes
    /// from a window that was not saturated.
    fn update_latency_floor(&mut self, window: &Window) {
        if window.answered_count == 0 {
            return;
        }
        let Some(floor_us) = self.latency_floor_us else {
            if !window.is_saturated() {
                self.latency_floor_us = Some(window.mean_latency_us());
            }
            return;
        };
        let risen_us = floor_us + floor_us / 100 * FLOOR_RISE_PERCENT;
        self.latency_floor_us = Some(window.mean_latency_us().min(risen_us));
    }

    /// Changes the limit and starts a new window, which ignores the calls that were sent under the
    /// former limit or ran beside such calls.
    fn set_limit(&mut self, now_us: u64, limit: u32) {
        self.window = Window {
            calls_to_skip: self.limit + limit,
            started_us: now_us,
            ..Window::default()
        };
        self.limit = limit;
    }
}

impl ConcurrencyLimit for TrialLimit {
    fn set_slots(&mut self, now_us: u64, slots: u32) {
        let slots = slots.min(SLOTS_MAX);
        if slots == self.slots {
            return;
        }
        self.slots = slots;
        self.trial = None;
        self.set_limit(now_us, slots);
    }

    fn current(&self) -> u32 {
        self.limit
    }

    fn record_start(&mut self, _now_us: u64, _concurrency: u32) {}

    fn record_end(&mut self, now_us: u64, call: EndedCall) {
        let window = &mut self.window;
        if window.calls_to_skip > 0 {
            window.calls_to_skip -= 1;
            window.started_us = now_us;
            return;
        }
        match call.outcome {
            CallOutcome::Answered => window.answered_count += 1,
            CallOutcome::Failed => window.failed_count += 1,
            CallOutcome::Cancelled => return,
        }
        window.latency_sum_us += now_us.saturating_sub(call.started_us);
        window.at_limit_count += u32::from(call.is_saturated);
        let is_long = now_us.saturating_sub(window.started_us) > WINDOW_MAX_US;
        let is_full =
            window.call_count() >= WINDOW_CALLS_MIN.max(WINDOW_LIMIT_MULTIPLE * self.limit);
        if is_long || is_full || self.is_trial_conclusive() {
            self.end_window(now_us);
        }
    }
}
