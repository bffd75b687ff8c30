//! Arrivals at the targets of a service by origin, as their guards report them.

use macro_rules_attribute::apply;

use super::slices::{REPORT_AGE_SLICES_MAX, SLICES_PER_WINDOW};
use crate::derives::value;
use crate::ids::MemberId;
use crate::sorted::SortedMap;

/// The maximum number of guards whose reports are kept for each service.
const GUARDS_MAX: usize = 64;

/// The maximum ratio of all arrivals to direct ones that is used. It bounds the repeats that a
/// daemon may spend for each direct request.
const RATIO_MAX: f64 = 100.0;

/// For how many slices after the latest report of direct arrivals a service counts as mixed. Longer
/// than a pause of direct requests after which a daemon still has a reserved part.
const MIXED_SLICES: u64 = 2 * SLICES_PER_WINDOW as u64;

/// The first attempts that arrived at a target in a window.
#[apply(value!)]
#[derive(Default)]
pub struct ArrivalCounts {
    /// All attempts.
    pub all: u32,
    /// Those of direct requests of callers; the others are of calls of targets.
    pub direct: u32,
}

/// The latest reports of the guards of a service.
#[derive(Default)]
pub(super) struct OriginReports {
    /// The slice of the window in which each report arrived, and the report.
    guards: SortedMap<MemberId, (u64, ArrivalCounts)>,
    /// The slice in which the latest report with both origins arrived.
    mixed_at: Option<u64>,
}

impl OriginReports {
    pub(super) fn record(&mut self, slice: u64, guard: MemberId, arrivals: ArrivalCounts) {
        if 0 < arrivals.direct && arrivals.direct < arrivals.all {
            self.mixed_at = Some(slice);
        }
        if self.guards.len() >= GUARDS_MAX && !self.guards.contains_key(&guard) {
            self.guards.retain(|_, (at, _)| is_fresh(slice, *at));
        }
        if self.guards.len() < GUARDS_MAX || self.guards.contains_key(&guard) {
            self.guards.insert(guard, (slice, arrivals));
        }
    }

    /// Returns whether the service recently had both direct arrivals and calls of targets.
    pub(super) fn is_mixed(&self, slice: u64) -> bool {
        self.mixed_at
            .is_some_and(|at| slice.saturating_sub(at) <= MIXED_SLICES)
    }

    /// Returns the ratio of all arrivals to direct ones, summed over the guards with a recent report;
    /// `None` without direct arrivals or without calls of targets.
    pub(super) fn all_per_direct(&self, slice: u64) -> Option<f64> {
        if !self.is_mixed(slice) {
            return None;
        }
        let (mut all, mut direct) = (0_u64, 0_u64);
        for (at, arrivals) in self.guards.values() {
            if !is_fresh(slice, *at) {
                continue;
            }
            all += u64::from(arrivals.all);
            direct += u64::from(arrivals.direct);
        }
        if direct == 0 {
            return None;
        }
        Some((all as f64 / direct as f64).min(RATIO_MAX))
    }
}

fn is_fresh(slice: u64, reported_at: u64) -> bool {
    slice.saturating_sub(reported_at) < REPORT_AGE_SLICES_MAX
}
