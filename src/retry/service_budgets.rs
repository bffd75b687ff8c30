//! The budget of repeats of each service: a share of the routed requests to it that this daemon
//! accepted as an entry daemon.
//!
//! Each daemon bounds its own repeats, so that the sum over all daemons is bounded without any
//! coordination.
//!
//! Where a service gets both direct requests of callers and calls of targets, a part of the share
//! is reserved for direct requests. The reserve is a share of all arrivals at the service, which
//! guards report. A daemon may spend the part of it that equals its part of all direct requests.

use macro_rules_attribute::apply;

use super::SERVICE_BUDGETS_NAME;
use super::origins::{ArrivalCounts, OriginReports};
use super::slices::{REPORT_LAG_SLICES, SLICES_PER_WINDOW, SliceRing};
use crate::derives::settings;
use crate::ids::{MemberId, ServiceName};
use crate::kernel::{Context, Event, Service};
use crate::sorted::SortedMap;

/// Settings of the budgets of repeats of services.
#[apply(settings!)]
pub struct ServiceBudgetSettings {
    /// The sliding window in which requests and repeats are counted.
    pub window_ms: u32,
    /// The repeats that are allowed for each hundred requests of this daemon.
    pub repeats_percent: u32,
    /// The repeats that are allowed in a window in addition to that share.
    pub repeats_floor: u32,
    /// The percentage of the allowed repeats that is reserved for direct requests of callers, at a
    /// service that targets call too; 0 reserves nothing.
    pub direct_reserve_percent: u32,
}

impl Default for ServiceBudgetSettings {
    fn default() -> Self {
        Self {
            window_ms: 10_000,
            repeats_percent: 7,
            repeats_floor: 1,
            direct_reserve_percent: 0,
        }
    }
}

/// Keeps the repeats of this daemon to each service within a budget, and counts the arrivals at the
/// target beside it, by which other daemons know their part of the reserve.
///
/// Hedges, and requests for a kept answer to the daemon that holds a claim, are not counted.
pub struct ServiceBudgets {
    settings: ServiceBudgetSettings,
    services: SortedMap<ServiceName, Budget>,
    /// The arrivals at the target beside this daemon.
    arrivals: SliceRing,
}

/// The counts of one service and what its guards reported.
#[derive(Default)]
struct Budget {
    counts: SliceRing,
    reports: OriginReports,
}

impl ServiceBudgets {
    /// Creates budgets of which nothing is spent.
    pub fn new(settings: ServiceBudgetSettings) -> Self {
        Self {
            settings,
            services: SortedMap::default(),
            arrivals: SliceRing::default(),
        }
    }

    /// Counts a routed request to a service, before a target is chosen for it.
    pub fn record_request(&mut self, now_us: u64, service: &ServiceName) {
        let slice = self.advanced_budget(now_us, service).counts.slice_mut();
        slice.requests = slice.requests.saturating_add(1);
    }

    /// Counts a direct request of a caller whose first attempt is sent to a guard of the service.
    pub fn record_direct_sent(&mut self, now_us: u64, service: &ServiceName) {
        let slice = self.advanced_budget(now_us, service).counts.slice_mut();
        slice.directs = slice.directs.saturating_add(1);
    }

    /// Counts a repeat without a check of the budget, for example a child call of a request that is
    /// a repeat.
    pub fn record_repeat(&mut self, now_us: u64, service: &ServiceName) {
        let slice = self.advanced_budget(now_us, service).counts.slice_mut();
        slice.repeats = slice.repeats.saturating_add(1);
    }

    /// Counts the first attempt of a request that arrives at the target beside this daemon.
    pub fn record_arrival(&mut self, now_us: u64, is_direct: bool) {
        self.arrivals.advance(self.slice_at(now_us));
        let slice = self.arrivals.slice_mut();
        slice.requests = slice.requests.saturating_add(1);
        slice.directs = slice.directs.saturating_add(u32::from(is_direct));
    }

    /// Returns the arrivals of the latest window at the target beside this daemon.
    pub fn arrivals(&mut self, now_us: u64) -> ArrivalCounts {
        self.arrivals.advance(self.slice_at(now_us));
        let sum = self.arrivals.sum(0);
        ArrivalCounts {
            all: sum.requests,
            direct: sum.directs,
        }
    }

    /// Records the arrivals that a guard of the service reported.
    pub fn record_report(
        &mut self,
        now_us: u64,
        service: &ServiceName,
        guard: MemberId,
        arrivals: ArrivalCounts,
    ) {
        let slice = self.slice_at(now_us);
        let budget = self.advanced_budget(now_us, service);
        budget.reports.record(slice, guard, arrivals);
    }

    /// Spends one repeat of the part that is not reserved for direct requests; returns false if
    /// none is left.
    #[must_use]
    pub fn spend(&mut self, now_us: u64, service: &ServiceName) -> bool {
        let settings = self.settings.clone();
        let slice = self.slice_at(now_us);
        let budget = self.advanced_budget(now_us, service);
        if budget.counts.sum(0).repeats >= budget.shared_repeats(slice, &settings) {
            return false;
        }
        budget.counts.slice_mut().repeats += 1;
        true
    }

    /// Spends one repeat of a direct request of a caller, of the reserved part first; returns false
    /// if none is left.
    #[must_use]
    pub fn spend_direct(&mut self, now_us: u64, service: &ServiceName) -> bool {
        let settings = self.settings.clone();
        let slice = self.slice_at(now_us);
        let budget = self.advanced_budget(now_us, service);
        if budget.counts.sum(0).direct_repeats >= budget.reserved_repeats(slice, &settings) {
            return self.spend(now_us, service);
        }
        budget.counts.slice_mut().direct_repeats += 1;
        true
    }

    /// Returns whether direct requests have a reserved part of the repeats to a service.
    pub fn has_reserve(&mut self, now_us: u64, service: &ServiceName) -> bool {
        let settings = self.settings.clone();
        let slice = self.slice_at(now_us);
        let budget = self.advanced_budget(now_us, service);
        budget.reserved_repeats(slice, &settings) > 0
    }

    fn slice_at(&self, now_us: u64) -> u64 {
        let slice_us = u64::from(self.settings.window_ms) * 1_000 / SLICES_PER_WINDOW as u64;
        now_us / slice_us.max(1)
    }

    /// Returns the budget of a service, advanced to the current time.
    fn advanced_budget(&mut self, now_us: u64, service: &ServiceName) -> &mut Budget {
        let slice = self.slice_at(now_us);
        let budget = self
            .services
            .get_or_insert_with(service.clone(), Budget::default);
        budget.counts.advance(slice);
        budget
    }
}

impl Budget {
    /// Returns the repeats that are allowed in the current window, without the reserved part.
    ///
    /// Without a reserve they are a share of the peak of recent windows, otherwise of the current
    /// window alone, so that the sum with the reserved repeats stays within the share of all
    /// requests.
    fn shared_repeats(&self, slice: u64, settings: &ServiceBudgetSettings) -> u32 {
        let percent = settings.repeats_percent;
        let requests = self.counts.peak_requests();
        if settings.direct_reserve_percent == 0 || !self.reports.is_mixed(slice) {
            return settings.repeats_floor + requests * percent / 100;
        }
        let shared_percent = 100 - settings.direct_reserve_percent.min(100);
        let requests = u64::from(self.counts.sum(0).requests);
        let share = requests * u64::from(percent) * u64::from(shared_percent) / 10_000;
        settings.repeats_floor + u32::try_from(share).unwrap_or(u32::MAX)
    }

    /// Returns the repeats of direct requests that are allowed in the current window out of the
    /// reserved part.
    ///
    /// The direct requests are counted over the window in which they were fewest, among those that
    /// the report may describe. Summed over all daemons they are therefore no more than the guards
    /// counted, whatever changed since the report.
    fn reserved_repeats(&self, slice: u64, settings: &ServiceBudgetSettings) -> u32 {
        let Some(ratio) = self.reports.all_per_direct(slice) else {
            return 0;
        };
        if !self.had_directs_before_window() {
            return 0;
        }
        let percent = settings.repeats_percent * settings.direct_reserve_percent.min(100);
        let share = f64::from(percent) / 10_000.0;
        (share * ratio * f64::from(self.counts.min_directs())) as u32
    }

    /// Returns whether this daemon sent direct requests before the current window. Other daemons
    /// have then kept off the reserved part for all of this window.
    fn had_directs_before_window(&self) -> bool {
        let slices_ago = SLICES_PER_WINDOW + REPORT_LAG_SLICES;
        self.counts.sum(slices_ago).directs > 0
    }
}

impl Service for ServiceBudgets {
    fn name(&self) -> &'static str {
        SERVICE_BUDGETS_NAME
    }

    fn handle(&mut self, _context: &mut Context<'_>, _event: Event) {}
}
