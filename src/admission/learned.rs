//! A concurrency limit that learns at which concurrency the goodput within deadlines is highest.
//!
//! Every call counts in an [`EfficiencyTable`]. The limit is the level with the highest product of
//! concurrency and efficiency. While the limit is reached, levels of which nothing is known and
//! whose goodput could be clearly higher are tried: lower ones for a few service times, higher ones
//! with a few calls only. When the same work at the same level takes another time than before,
//! all that was known is dropped.

use super::CallOutcome;
use super::concurrency::{ConcurrencyLimit, EndedCall, SLOTS_MAX};
use super::efficiency::{EfficiencyTable, LevelEfficiency, Sample};
use super::speed_change::SpeedChange;

/// The number of calls after which the limit is decided anew.
const DECISION_CALLS: u32 = 32;
/// The share of those calls that must have ended at the limit, for a trial to begin.
const SATURATED_PERCENT: u32 = 50;
/// The standard error of the mean time in a trial, relative to that mean, that determines the
/// number of its calls.
const TRIAL_STANDARD_ERROR: f64 = 0.08;
/// The minimum number of calls that a trial waits for.
const TRIAL_CALLS_MIN: f64 = 16.0;
/// The maximum number of calls that a trial waits for.
const TRIAL_CALLS_MAX: f64 = 256.0;
/// The minimum number of calls that a trial of a lower limit waits for.
const LOWER_TRIAL_CALLS_MIN: u32 = 32;
/// The maximum number of calls that a trial of a lower limit waits for. It is less than for a
/// higher limit, because slots are unused for as long as the trial lasts.
const LOWER_TRIAL_CALLS_MAX: u32 = 96;
/// The maximum of the number of calls that a level needs to be taken into account.
const LEVEL_CALLS_NEEDED_MAX: u32 = 32;
/// The minimum duration of a trial of a lower limit, as a multiple of its mean service time. In a
/// shorter one mostly short calls would end.
const LOWER_TRIAL_SERVICE_TIMES: f64 = 1.3;
/// The multiple of the mean service time by which that duration is longer for each unit of the
/// variance of the times.
const LOWER_TRIAL_VARIANCE_SERVICE_TIMES: f64 = 2.5;
/// The maximum duration of a trial, unless that in service times is longer.
const TRIAL_MAX_US: u64 = 1_000_000;
/// The maximum duration of a trial, as a multiple of the longest mean service time.
const TRIAL_MAX_SERVICE_TIMES: f64 = 6.0;
/// The ratio of goodputs from which another level is tried.
const TRIED_GAIN: f64 = 1.03;
/// The ratio of goodputs from which the limit moves to another level.
const MOVED_GAIN: f64 = 1.01;
/// The factor by which a target is assumed to slow down at most at high concurrency.
const SLOWDOWN_MAX: f64 = 4.5;
/// The next lower level to try, in percent of the lowest known one.
const LOWER_STEP_PERCENT: u32 = 70;
/// The first step to a higher level, in percent of the limit; it doubles with each success.
const HIGHER_STEP_PERCENT: u32 = 4;
/// The efficiency in a trial of a higher limit, over that at the limit, below which it fails.
const HIGHER_EFFICIENCY_MIN: f64 = 0.87;
/// The minimum time after a failed trial of a higher limit until the next one.
const HIGHER_PAUSE_US: u64 = 2_000_000;
/// The same as a multiple of the longest mean service time.
const HIGHER_PAUSE_SERVICE_TIMES: f64 = 60.0;
/// The same as a multiple of the duration of the trial that failed.
const HIGHER_PAUSE_TRIALS: u64 = 20;
/// The time since its last call for which a level is known, unless that in service times is longer.
const KNOWN_US: u64 = 30_000_000;
/// The same as a multiple of the longest mean service time.
const KNOWN_SERVICE_TIMES: f64 = 400.0;
/// The time without an answer after which the target counts as stalled, in addition to that in
/// service times.
const STALL_GAP_US: u64 = 20_000;
/// The same as a multiple of the longest mean service time.
const STALL_GAP_SERVICE_TIMES: f64 = 1.5;
/// The minimum concurrency at which a gap between answers shows a stall.
const STALL_CONCURRENCY_MIN: u32 = 8;
/// The maximum time since the last answer for which failed calls are attributed to a stall.
const STALL_MAX_US: u64 = 1_000_000;

/// The time after a change of the speed in which no ends are counted, and after a trial in which no
/// times are compared, as a multiple of the mean time.
const UNCOUNTED_SERVICE_TIMES: f64 = 2.5;
/// The number of calls over which the moving average of the time of a call is taken.
const MEAN_CALLS: f64 = 32.0;

/// A trial of another limit.
struct Trial {
    limit: u32,
    is_higher: bool,
    started_us: u64,
    /// The calls that may still start above the limit in use, in a trial of a higher one.
    starts_left: u32,
    calls_needed: u32,
    calls: u32,
    elapsed_sum_us: u64,
}

/// The calls since the last decision.
#[derive(Default)]
struct Window {
    calls: u32,
    at_limit_calls: u32,
}

/// A limit that follows the concurrency with the highest goodput.
pub(super) struct LearnedLimit {
    limit_min: u32,
    slots: u32,
    limit: u32,
    table: EfficiencyTable,
    speed_change: SpeedChange,
    window: Window,
    trial: Option<Trial>,
    /// The longest mean service time over the kinds of work.
    longest_kind_us: f64,
    last_answer_us: u64,
    /// Calls that started earlier are not counted.
    counted_from_us: u64,
    /// Calls that end earlier are not counted, because most started before a change of the speed.
    counted_ends_from_us: u64,
    /// Calls that end earlier are not compared with those before, because many started in a trial.
    compared_from_us: u64,
    /// The moving average of the time of a call.
    mean_us: f64,
    next_higher_trial_us: u64,
    next_trial_us: u64,
    /// The step of the next trial of a higher limit, in calls; 0 if a series of trials has not
    /// begun.
    higher_step: u32,
}

impl LearnedLimit {
    pub(super) fn new(limit_min: u32) -> Self {
        Self {
            limit_min,
            slots: 0,
            limit: 0,
            table: EfficiencyTable::new(0),
            speed_change: SpeedChange::default(),
            window: Window::default(),
            trial: None,
            longest_kind_us: 0.0,
            last_answer_us: 0,
            counted_from_us: 0,
            counted_ends_from_us: 0,
            compared_from_us: 0,
            mean_us: 0.0,
            next_higher_trial_us: 0,
            next_trial_us: 0,
            higher_step: 0,
        }
    }

    /// Returns a time, or a multiple of the longest mean service time if that is longer.
    fn at_least_us(&self, time_us: u64, service_times: f64) -> u64 {
        time_us.max((self.longest_kind_us * service_times) as u64)
    }

    /// Returns the number of calls that a trial needs, by the variance of the times.
    fn trial_calls(&self) -> u32 {
        let calls = self.speed_change.variance() / (TRIAL_STANDARD_ERROR * TRIAL_STANDARD_ERROR);
        calls.clamp(TRIAL_CALLS_MIN, TRIAL_CALLS_MAX) as u32
    }

    /// Returns whether a call was held up by a stall of the target, and notes the end of a stall.
    ///
    /// Answers are further apart in a stall than they are at any steady speed, because the calls
    /// in flight end at different times.
    fn is_held_up(&mut self, now_us: u64, call: &EndedCall) -> bool {
        let gap_us = now_us.saturating_sub(self.last_answer_us);
        let gap_max_us = STALL_GAP_US + (self.longest_kind_us * STALL_GAP_SERVICE_TIMES) as u64;
        let is_stall = self.longest_kind_us > 0.0
            && call.concurrency >= STALL_CONCURRENCY_MIN
            && gap_us > gap_max_us;
        if call.outcome == CallOutcome::Answered {
            self.last_answer_us = now_us;
            if is_stall {
                self.counted_from_us = now_us;
            }
        }
        call.started_us < self.counted_from_us || (is_stall && gap_us <= STALL_MAX_US)
    }

    /// Counts a call in the table; drops all that is known if the speed changed.
    fn count(&mut self, now_us: u64, call: &EndedCall) {
        let sample = Sample {
            kind: call.kind,
            concurrency: call.concurrency,
            elapsed_us: now_us.saturating_sub(call.started_us),
            is_good: call.outcome == CallOutcome::Answered && now_us <= call.deadline_us,
        };
        let before_us = self.table.record(now_us, sample);
        let is_compared = self.trial.is_none() && now_us >= self.compared_from_us;
        if !is_compared || !self.speed_change.record(sample, before_us) {
            return;
        }
        self.table.clear();
        self.trial = None;
        self.window = Window::default();
        self.counted_ends_from_us = now_us + (self.mean_us * UNCOUNTED_SERVICE_TIMES) as u64;
        self.next_higher_trial_us = now_us;
        self.higher_step = 0;
    }

    fn count_in_trial(&mut self, now_us: u64, call: &EndedCall) {
        let limit = self.limit;
        let Some(trial) = &mut self.trial else {
            return;
        };
        let is_tried = match trial.is_higher {
            true => call.concurrency > limit,
            false => call.concurrency <= trial.limit,
        };
        if !is_tried || call.started_us < trial.started_us {
            return;
        }
        trial.calls += 1;
        trial.elapsed_sum_us += now_us.saturating_sub(call.started_us);
    }

    /// Returns whether the limit is to be decided: a trial is over, or enough calls ended.
    fn is_decision_due(&mut self, now_us: u64) -> bool {
        let Some(trial) = &self.trial else {
            return self.window.calls >= DECISION_CALLS;
        };
        let running_us = now_us.saturating_sub(trial.started_us);
        if running_us > self.at_least_us(TRIAL_MAX_US, TRIAL_MAX_SERVICE_TIMES) {
            self.next_trial_us = now_us + HIGHER_PAUSE_US;
            return true;
        }
        if trial.is_higher {
            return trial.calls >= trial.calls_needed;
        }
        let calls_needed = trial
            .calls_needed
            .clamp(LOWER_TRIAL_CALLS_MIN, LOWER_TRIAL_CALLS_MAX);
        let variance = self.speed_change.variance().min(1.0);
        let service_times =
            LOWER_TRIAL_SERVICE_TIMES + LOWER_TRIAL_VARIANCE_SERVICE_TIMES * variance;
        let mean_us = trial.elapsed_sum_us as f64 / f64::from(trial.calls.max(1));
        trial.calls >= calls_needed && running_us as f64 >= mean_us * service_times
    }

    /// Ends a trial, moves the limit and starts the next trial if the limit is reached.
    fn decide(&mut self, now_us: u64) {
        let window = std::mem::take(&mut self.window);
        let trial = self.trial.take();
        let known_us = self.at_least_us(KNOWN_US, KNOWN_SERVICE_TIMES);
        self.table
            .forget_unseen_since(now_us.saturating_sub(known_us));
        self.longest_kind_us = self.table.longest_kind_us();
        let calls_min = (self.trial_calls() / 2).min(LEVEL_CALLS_NEEDED_MAX);
        let levels = self.table.fit(f64::from(calls_min));
        if levels.is_empty() {
            return;
        }
        self.move_limit(&levels);
        if trial.is_some() {
            self.compared_from_us = now_us + (self.mean_us * UNCOUNTED_SERVICE_TIMES) as u64;
        }
        if let Some(trial) = trial.filter(|trial| trial.is_higher) {
            self.end_higher_trial(now_us, &trial, &levels);
        }
        let is_saturated = window.at_limit_calls * 100 >= window.calls * SATURATED_PERCENT;
        if is_saturated && now_us >= self.next_trial_us {
            self.start_trial(now_us, &levels);
        }
    }

    /// Starts a trial if another limit could be better.
    fn start_trial(&mut self, now_us: u64, levels: &[LevelEfficiency]) {
        let Some(limit) = self.choose_trial(now_us, levels) else {
            return;
        };
        self.trial = Some(Trial {
            limit,
            is_higher: limit > self.limit,
            started_us: now_us,
            starts_left: self.trial_calls(),
            calls_needed: self.trial_calls(),
            calls: 0,
            elapsed_sum_us: 0,
        });
    }

    /// Moves the limit to the level with the highest goodput if that is clearly higher: by more
    /// than the standard error, unless the levels were pooled.
    fn move_limit(&mut self, levels: &[LevelEfficiency]) {
        let present = level_at(self.limit, levels);
        let goodput = self.limit_goodput(levels);
        let floor = self.limit_min.min(self.slots);
        let mut best_goodput = goodput;
        for level in levels {
            let is_pooled = level.efficiency == present.efficiency;
            let variance = self.speed_change.variance();
            let error = (variance / level.calls + variance / present.calls).sqrt();
            let gain_min = if is_pooled {
                MOVED_GAIN
            } else {
                MOVED_GAIN + error
            };
            let is_clear = level.goodput() > goodput * gain_min;
            if is_clear && level.goodput() > best_goodput && level.concurrency >= floor {
                best_goodput = level.goodput();
                self.limit = level.concurrency;
            }
        }
    }

    fn limit_goodput(&self, levels: &[LevelEfficiency]) -> f64 {
        f64::from(self.limit) * level_at(self.limit, levels).efficiency
    }

    /// Lets the next trial of a higher limit follow at once with a doubled step if this one showed
    /// no clear loss of efficiency, else after a pause. A gain of one step alone may be less than
    /// the trial can show.
    fn end_higher_trial(&mut self, now_us: u64, trial: &Trial, levels: &[LevelEfficiency]) {
        let efficiency_min = level_at(self.limit, levels).efficiency * HIGHER_EFFICIENCY_MIN;
        let can_continue = trial.calls >= trial.calls_needed && trial.limit < self.slots;
        if can_continue && level_at(trial.limit, levels).efficiency >= efficiency_min {
            self.higher_step = self.higher_step.saturating_mul(2);
            self.next_higher_trial_us = now_us;
            return;
        }
        let pause_us = self.at_least_us(HIGHER_PAUSE_US, HIGHER_PAUSE_SERVICE_TIMES);
        let trial_us = now_us.saturating_sub(trial.started_us);
        self.higher_step = 0;
        self.next_higher_trial_us = now_us + pause_us.max(trial_us * HIGHER_PAUSE_TRIALS);
    }

    fn choose_trial(&mut self, now_us: u64, levels: &[LevelEfficiency]) -> Option<u32> {
        let tried_goodput = self.limit_goodput(levels) * TRIED_GAIN;
        self.choose_lower(levels, tried_goodput)
            .or_else(|| choose_between(levels, tried_goodput))
            .or_else(|| self.choose_higher(now_us))
    }

    /// Returns a level below all known ones, unless its goodput could not exceed `tried_goodput`
    /// even if the highest known one is slowed down by [`SLOWDOWN_MAX`].
    fn choose_lower(&self, levels: &[LevelEfficiency], tried_goodput: f64) -> Option<u32> {
        let lowest = levels.first()?;
        let highest = levels.last()?;
        let floor = self.limit_min.min(self.slots).max(1);
        let lower = (lowest.concurrency * LOWER_STEP_PERCENT / 100).max(floor);
        let goodput_max = f64::from(lowest.concurrency - 1) * highest.efficiency * SLOWDOWN_MAX;
        (lower < lowest.concurrency && goodput_max > tried_goodput).then_some(lower)
    }

    /// Returns a level above the limit if one is due, and forgets what was known above it.
    fn choose_higher(&mut self, now_us: u64) -> Option<u32> {
        if self.limit >= self.slots || now_us < self.next_higher_trial_us {
            return None;
        }
        let first_step = u64::from(self.limit) * u64::from(HIGHER_STEP_PERCENT) / 100;
        let first_step = u32::try_from(first_step).unwrap_or(u32::MAX).max(1);
        if self.higher_step == 0 {
            self.higher_step = first_step;
            self.table.forget_above(self.limit);
        }
        Some(self.limit.saturating_add(self.higher_step).min(self.slots))
    }
}

/// Returns the level of a concurrency, or the next lower known one, so that a limit that is not
/// reached stays; the lowest known one if there is none.
///
/// # Panics
///
/// Panics if there is no level.
fn level_at(concurrency: u32, levels: &[LevelEfficiency]) -> LevelEfficiency {
    let is_reached = |level: &&LevelEfficiency| level.concurrency <= concurrency;
    *levels.iter().rfind(is_reached).unwrap_or(&levels[0])
}

/// Returns the middle of the two adjacent known levels between which the goodput could be highest;
/// `None` if it could not exceed `tried_goodput` between any.
fn choose_between(levels: &[LevelEfficiency], tried_goodput: f64) -> Option<u32> {
    let mut chosen = None;
    let mut chosen_goodput = tried_goodput;
    for pair in levels.windows(2) {
        let (lower, upper) = (pair[0], pair[1]);
        let middle = lower.concurrency.midpoint(upper.concurrency);
        if !EfficiencyTable::are_distinct(&[lower.concurrency, middle, upper.concurrency]) {
            continue;
        }
        let goodput_max = f64::from(upper.concurrency - 1) * lower.efficiency;
        if goodput_max > chosen_goodput {
            chosen_goodput = goodput_max;
            chosen = Some(middle);
        }
    }
    chosen
}

impl ConcurrencyLimit for LearnedLimit {
    fn set_slots(&mut self, now_us: u64, slots: u32) {
        let slots = slots.min(SLOTS_MAX);
        if slots == self.slots {
            return;
        }
        *self = Self {
            slots,
            limit: slots,
            table: EfficiencyTable::new(slots),
            counted_from_us: now_us,
            last_answer_us: now_us,
            ..Self::new(self.limit_min)
        };
    }

    fn current(&self) -> u32 {
        match &self.trial {
            Some(trial) if !trial.is_higher || trial.starts_left > 0 => trial.limit,
            _ => self.limit,
        }
    }

    fn settled(&self) -> u32 {
        self.limit
    }

    fn record_start(&mut self, now_us: u64, concurrency: u32) {
        if concurrency == 1 {
            self.last_answer_us = now_us;
        }
        if let Some(trial) = &mut self.trial
            && concurrency > self.limit
        {
            trial.starts_left = trial.starts_left.saturating_sub(1);
        }
    }

    fn record_end(&mut self, now_us: u64, call: EndedCall) {
        if call.outcome == CallOutcome::Cancelled || self.is_held_up(now_us, &call) {
            return;
        }
        if call.has_child_calls {
            return;
        }
        let elapsed_us = now_us.saturating_sub(call.started_us) as f64;
        self.mean_us += (elapsed_us - self.mean_us) / MEAN_CALLS;
        if now_us < self.counted_ends_from_us {
            return;
        }
        self.window.calls += 1;
        self.window.at_limit_calls += u32::from(call.is_saturated);
        self.count(now_us, &call);
        self.count_in_trial(now_us, &call);
        if self.is_decision_due(now_us) {
            self.decide(now_us);
        }
    }
}
