//! The time limit of a graceful shutdown, and which requests can still finish within it.
//!
//! A request that is under way when the process ends gets no answer, although it may have run. One
//! that is refused in time has not run, so it can be sent to another daemon.
//!
//! How long earlier requests took is an estimate only: any request may take until its deadline.
//! Estimates decide while callers switch to other daemons, when over half of the time is left. After
//! that only the deadline does.

use hdrhistogram::Histogram;

use crate::ids::WorkKind;
use crate::sorted::SortedMap;

/// The maximum number of kinds of work with durations of their own.
const KINDS_MAX: usize = 64;

/// The time after which durations begin to be forgotten; after twice this time they are.
const MEMORY_US: u64 = 30_000_000;

/// The longest duration that is told from longer ones, in milliseconds.
const DURATION_MS_MAX: u64 = 600_000;

/// The number of significant digits of a recorded duration.
const DURATION_DIGITS: u8 = 1;

/// How much longer than its kind's recent durations a request may take, in percent of them.
const MARGIN_PERCENT: u64 = 25;

/// The time before the limit by which an answer must be there, so that it can be delivered.
const DELIVERY_US: u64 = 200_000;

/// How long after the announcement of a stop estimates decide, but at most for half of its time limit.
const ESTIMATES_US: u64 = 2_500_000;

/// When this process ends at the latest, and how long requests took lately.
#[derive(Default)]
pub(super) struct StopLimit {
    stop: Option<AnnouncedStop>,
    durations: SortedMap<WorkKind, RecentDurations>,
}

/// A stop that was announced.
#[derive(Clone, Copy)]
struct AnnouncedStop {
    ends_us: u64,
    estimates_until_us: u64,
}

/// Which of the recent durations counts as the estimate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Estimate {
    /// The one that nine of ten requests did not exceed.
    NineOfTen,
    /// The longest one.
    Longest,
}

impl Estimate {
    fn quantile(self) -> f64 {
        match self {
            Self::NineOfTen => 0.9,
            Self::Longest => 1.0,
        }
    }
}

impl StopLimit {
    /// Records that the process ends within a time from now.
    pub(super) fn announce(&mut self, now_us: u64, time_limit_us: u64) {
        self.stop.get_or_insert(AnnouncedStop {
            ends_us: now_us + time_limit_us,
            estimates_until_us: now_us + ESTIMATES_US.min(time_limit_us / 2),
        });
    }

    /// Records how long a request took that was answered.
    pub(super) fn record_duration(&mut self, now_us: u64, kind: WorkKind, duration_us: u64) {
        if !self.durations.contains_key(&kind) && self.durations.len() >= KINDS_MAX {
            return;
        }
        let recent = self
            .durations
            .get_or_insert_with(kind, || RecentDurations::starting_at(now_us));
        recent.record(now_us, duration_us);
    }

    /// Returns whether a request may be under way when the process ends, by the time until its
    /// deadline. As long as estimates decide, it counts as finished earlier if recent requests of its
    /// kind were.
    pub(super) fn ends_before(
        &self,
        now_us: u64,
        kind: WorkKind,
        left_us: u64,
        estimate: Estimate,
    ) -> bool {
        let Some(stop) = self.stop else {
            return false;
        };
        let mut needed_us = left_us;
        if now_us < stop.estimates_until_us
            && let Some(estimated_us) = self.estimate_us(now_us, kind, estimate)
        {
            needed_us = needed_us.min(estimated_us);
        }
        now_us + needed_us > stop.ends_us.saturating_sub(DELIVERY_US)
    }

    /// Returns how long a request may take by the recent ones of its kind; `None` if there are none.
    fn estimate_us(&self, now_us: u64, kind: WorkKind, estimate: Estimate) -> Option<u64> {
        let recent = self.durations.get(&kind)?;
        let recent_us = recent.quantile_us(now_us, estimate.quantile())?;
        Some(recent_us + recent_us * MARGIN_PERCENT / 100)
    }
}

/// The durations of one kind in the current and the previous period of `MEMORY_US`.
struct RecentDurations {
    current: Histogram<u32>,
    previous: Histogram<u32>,
    current_since_us: u64,
}

impl RecentDurations {
    fn starting_at(now_us: u64) -> Self {
        Self {
            current: new_histogram(),
            previous: new_histogram(),
            current_since_us: now_us,
        }
    }

    fn record(&mut self, now_us: u64, duration_us: u64) {
        let age_us = now_us.saturating_sub(self.current_since_us);
        if age_us >= MEMORY_US {
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.reset();
            self.current_since_us = now_us;
        }
        if age_us >= 2 * MEMORY_US {
            self.previous.reset();
        }
        self.current
            .saturating_record(duration_us.div_ceil(1_000).max(1));
    }

    /// Returns a quantile of the durations that are remembered; `None` if there are none.
    fn quantile_us(&self, now_us: u64, quantile: f64) -> Option<u64> {
        let age_us = now_us.saturating_sub(self.current_since_us);
        let is_empty = self.current.is_empty() && self.previous.is_empty();
        if is_empty || age_us >= 2 * MEMORY_US {
            return None;
        }
        let current_ms = self.current.value_at_quantile(quantile);
        let previous_ms = match age_us >= MEMORY_US {
            true => 0,
            false => self.previous.value_at_quantile(quantile),
        };
        Some(current_ms.max(previous_ms) * 1_000)
    }
}

fn new_histogram() -> Histogram<u32> {
    Histogram::new_with_max(DURATION_MS_MAX, DURATION_DIGITS)
        .expect("the histogram accepts 1 to 5 significant digits")
}
