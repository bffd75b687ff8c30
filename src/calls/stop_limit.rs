//! The time limit of a graceful shutdown, and which requests can still finish within it.
//!
//! A request that is under way when the process ends gets no answer, although it may have run. One
//! that is refused in time has not run, so it can be sent to another daemon.

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

/// When this process ends at the latest, and how long requests took lately.
#[derive(Default)]
pub(super) struct StopLimit {
    ends_us: Option<u64>,
    durations: SortedMap<WorkKind, RecentDurations>,
}

/// How careful an estimate of a duration must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Certainty {
    /// Nine of ten requests took no longer.
    Likely,
    /// No request took longer.
    Sure,
}

impl Certainty {
    fn quantile(self) -> f64 {
        match self {
            Self::Likely => 0.9,
            Self::Sure => 1.0,
        }
    }
}

impl StopLimit {
    /// Records that the process ends within a time from now.
    pub(super) fn announce(&mut self, now_us: u64, time_limit_us: u64) {
        self.ends_us.get_or_insert(now_us + time_limit_us);
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
    /// deadline and by how long requests of its kind took lately. Without such durations the time
    /// until the deadline counts.
    pub(super) fn ends_before(
        &self,
        now_us: u64,
        kind: WorkKind,
        left_us: u64,
        certainty: Certainty,
    ) -> bool {
        let Some(ends_us) = self.ends_us else {
            return false;
        };
        let recent_us = self
            .durations
            .get(&kind)
            .and_then(|recent| recent.quantile_us(now_us, certainty));
        let needed_us = recent_us.map_or(left_us, |recent_us| {
            left_us.min(recent_us + recent_us * MARGIN_PERCENT / 100)
        });
        now_us + needed_us > ends_us.saturating_sub(DELIVERY_US)
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
    fn quantile_us(&self, now_us: u64, certainty: Certainty) -> Option<u64> {
        let age_us = now_us.saturating_sub(self.current_since_us);
        let is_empty = self.current.is_empty() && self.previous.is_empty();
        if is_empty || age_us >= 2 * MEMORY_US {
            return None;
        }
        let quantile = certainty.quantile();
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
