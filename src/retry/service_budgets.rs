//! The budget of repeats of each service: a share of the routed requests to it that this daemon
//! accepted as an entry daemon.
//!
//! Each daemon bounds its own repeats, so that the sum over all daemons is bounded without any
//! coordination.

use macro_rules_attribute::apply;

use super::SERVICE_BUDGETS_NAME;
use crate::derives::settings;
use crate::ids::ServiceName;
use crate::kernel::{Context, Event, Service};
use crate::sorted::SortedMap;

/// The number of slices into which a window is divided for counting.
const SLICES_PER_WINDOW: usize = 10;

/// The number of slices that are kept: those of the current window and of the window before.
const SLICES_KEPT: usize = 2 * SLICES_PER_WINDOW;

/// Settings of the budgets of repeats of services.
#[apply(settings!)]
pub struct ServiceBudgetSettings {
    /// The sliding window in which requests and repeats are counted.
    pub window_ms: u32,
    /// The repeats that are allowed for each hundred requests of this daemon.
    pub repeats_percent: u32,
    /// The repeats that are allowed in a window in addition to that share.
    pub repeats_floor: u32,
}

impl Default for ServiceBudgetSettings {
    fn default() -> Self {
        Self {
            window_ms: 10_000,
            repeats_percent: 7,
            repeats_floor: 1,
        }
    }
}

/// Keeps the repeats of this daemon to each service within a budget.
///
/// Hedges, and requests for a kept answer to the daemon that holds a claim, are not counted.
pub struct ServiceBudgets {
    settings: ServiceBudgetSettings,
    services: SortedMap<ServiceName, SliceRing>,
}

/// The counts of one service in the two latest windows, as a ring buffer of slices.
#[derive(Default)]
struct SliceRing {
    slices: [SliceCounts; SLICES_KEPT],
    /// The number of the current slice, counted from time 0.
    current_slice: u64,
}

/// The counts of one service in one slice of the window.
#[derive(Clone, Copy, Default)]
struct SliceCounts {
    requests: u32,
    repeats: u32,
}

impl ServiceBudgets {
    /// Creates budgets of which nothing is spent.
    pub fn new(settings: ServiceBudgetSettings) -> Self {
        Self {
            settings,
            services: SortedMap::default(),
        }
    }

    /// Counts a routed request to a service, before a target is chosen for it.
    pub fn record_request(&mut self, now_us: u64, service: &ServiceName) {
        let slice = self.advanced_ring(now_us, service).slice_mut();
        slice.requests = slice.requests.saturating_add(1);
    }

    /// Counts a repeat without a check of the budget, for example a child call of a request that is
    /// a repeat.
    pub fn record_repeat(&mut self, now_us: u64, service: &ServiceName) {
        let slice = self.advanced_ring(now_us, service).slice_mut();
        slice.repeats = slice.repeats.saturating_add(1);
    }

    /// Spends one repeat of the budget; returns false if none is left.
    #[must_use]
    pub fn spend(&mut self, now_us: u64, service: &ServiceName) -> bool {
        let (percent, floor) = (self.settings.repeats_percent, self.settings.repeats_floor);
        let ring = self.advanced_ring(now_us, service);
        if ring.sum(0).repeats >= ring.repeats_allowed(percent, floor) {
            return false;
        }
        ring.slice_mut().repeats += 1;
        true
    }

    /// Returns the counts of a service, advanced to the current time.
    fn advanced_ring(&mut self, now_us: u64, service: &ServiceName) -> &mut SliceRing {
        let slice_us = u64::from(self.settings.window_ms) * 1_000 / SLICES_PER_WINDOW as u64;
        let current_slice = now_us / slice_us.max(1);
        let create = || SliceRing {
            current_slice,
            ..SliceRing::default()
        };
        let ring = self.services.get_or_insert_with(service.clone(), create);
        ring.advance(current_slice);
        ring
    }
}

impl SliceRing {
    /// Advances to a slice and clears the slices that are reused on the way.
    fn advance(&mut self, slice: u64) {
        let advanced = slice
            .saturating_sub(self.current_slice)
            .min(SLICES_KEPT as u64);
        for step in 1..=advanced {
            let index = (self.current_slice + step) % SLICES_KEPT as u64;
            self.slices[index as usize] = SliceCounts::default();
        }
        if slice > self.current_slice + SLICES_KEPT as u64 {
            self.slices = [SliceCounts::default(); SLICES_KEPT];
        }
        self.current_slice = self.current_slice.max(slice);
    }

    /// Returns the counts of the current slice.
    fn slice_mut(&mut self) -> &mut SliceCounts {
        &mut self.slices[(self.current_slice % SLICES_KEPT as u64) as usize]
    }

    /// Returns the counts of one whole window that ended some slices ago.
    fn sum(&self, slices_ago: usize) -> SliceCounts {
        let mut sum = SliceCounts::default();
        for ago in slices_ago..slices_ago + SLICES_PER_WINDOW {
            let index = (self.current_slice + (SLICES_KEPT - ago) as u64) % SLICES_KEPT as u64;
            let slice = self.slices[index as usize];
            sum.requests += slice.requests;
            sum.repeats += slice.repeats;
        }
        sum
    }

    /// Returns the maximum number of requests in three windows: those that ended now, half a window
    /// ago and one window ago. Thus the budget does not shrink at once when requests pause.
    fn peak_requests(&self) -> u32 {
        let current = self.sum(0).requests;
        let half_before = self.sum(SLICES_PER_WINDOW / 2).requests;
        current
            .max(half_before)
            .max(self.sum(SLICES_PER_WINDOW).requests)
    }

    /// Returns the number of repeats that are allowed in the current window.
    fn repeats_allowed(&self, percent: u32, floor: u32) -> u32 {
        floor + self.peak_requests() * percent / 100
    }
}

impl Service for ServiceBudgets {
    fn name(&self) -> &'static str {
        SERVICE_BUDGETS_NAME
    }

    fn handle(&mut self, _context: &mut Context<'_>, _event: Event) {}
}
