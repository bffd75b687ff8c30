//! The service times of the kinds of work at one target.
//!
//! Targets of a service run different mixes of long and short work. A mean over all of it would make
//! a target look slow because of the mix that it runs, and every short request would avoid it.

use crate::ids::WorkKind;
use crate::sorted::SortedMap;

/// The maximum number of kinds of work with a time of their own.
const KINDS_MAX: usize = 64;

/// The time in which the difference between a long service time and the typical one halves without
/// a new report, so that a target that was slow is used again.
const HALF_LIFE_US: f64 = 2_000_000.0;

/// The weight of a new report in the typical time of a kind.
const TYPICAL_WEIGHT: f64 = 0.05;

/// The latest reported service time of each kind of work at one target.
#[derive(Default)]
pub(super) struct KindTimes {
    times: SortedMap<WorkKind, KindTime>,
}

struct KindTime {
    service_us: f64,
    reported_us: u64,
}

impl KindTimes {
    /// Records a reported service time; 0 means that none was measured.
    pub(super) fn record(&mut self, now_us: u64, kind: WorkKind, service_us: u32) {
        let is_new = !self.times.contains_key(&kind);
        if service_us == 0 || (is_new && self.times.len() >= KINDS_MAX) {
            return;
        }
        let time = KindTime {
            service_us: f64::from(service_us),
            reported_us: now_us,
        };
        self.times.insert(kind, time);
    }

    /// Returns the service time of a kind: the reported one, or the typical one if there is none. A
    /// longer one approaches the typical one with its age.
    pub(super) fn time_us(&self, now_us: u64, kind: WorkKind, typical_us: f64) -> f64 {
        let Some(time) = self.times.get(&kind) else {
            return typical_us;
        };
        let excess_us = time.service_us - typical_us;
        if excess_us <= 0.0 {
            return time.service_us;
        }
        let age_us = now_us.saturating_sub(time.reported_us) as f64;
        typical_us + excess_us * 0.5_f64.powf(age_us / HALF_LIFE_US)
    }
}

/// The mean service time of each kind of work at all targets.
#[derive(Default)]
pub(super) struct TypicalTimes {
    means_us: SortedMap<WorkKind, f64>,
}

impl TypicalTimes {
    /// Records the service time of a kind that a target reported; 0 means that none was measured.
    pub(super) fn record(&mut self, kind: WorkKind, service_us: u32) {
        let is_new = !self.means_us.contains_key(&kind);
        if service_us == 0 || (is_new && self.means_us.len() >= KINDS_MAX) {
            return;
        }
        let service_us = f64::from(service_us);
        let mean_us = self.means_us.get_or_insert_with(kind, || service_us);
        *mean_us += TYPICAL_WEIGHT * (service_us - *mean_us);
    }

    /// Returns the mean service time of a kind; `None` if no target has reported one.
    pub(super) fn mean_us(&self, kind: WorkKind) -> Option<f64> {
        self.means_us.get(&kind).copied()
    }
}
