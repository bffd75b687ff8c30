//! The budget of repeats of each service: a share of the requests that this daemon sent to it.
//!
//! Each daemon keeps to its own part, so that the sum over all daemons needs no agreement.

use macro_rules_attribute::apply;

use super::SERVICE_BUDGETS_NAME;
use crate::derives::settings;
use crate::ids::ServiceName;
use crate::kernel::{Context, Event, Service};
use crate::sorted::SortedMap;

/// The parts that a window is counted in.
const SLICES: usize = 10;

/// The parts that are kept: those of the present window and of the one before it.
const SLICES_KEPT: usize = 2 * SLICES;

/// Settings of the repeats of a service.
#[apply(settings!)]
pub struct ServiceBudgetSettings {
    /// The window in which requests and repeats are counted.
    pub window_ms: u32,
    /// The repeats for each hundred requests of this daemon.
    pub repeats_percent: u32,
    /// The repeats of a window beside that share.
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

/// The budgets of all services.
pub struct ServiceBudgets {
    settings: ServiceBudgetSettings,
    services: SortedMap<ServiceName, Window>,
}

/// What was sent to a service in the parts of a sliding window.
#[derive(Default)]
struct Window {
    slices: [Slice; SLICES_KEPT],
    newest: u64,
}

/// What was sent in one part of the window.
#[derive(Clone, Copy, Default)]
struct Slice {
    requests: u32,
    repeats: u32,
}

impl ServiceBudgets {
    /// Makes budgets of which nothing is spent.
    pub fn new(settings: ServiceBudgetSettings) -> Self {
        Self {
            settings,
            services: SortedMap::default(),
        }
    }

    /// Counts a request for a service.
    pub fn record_request(&mut self, now_us: u64, service: &ServiceName) {
        let slice = self.present(now_us, service).slice();
        slice.requests = slice.requests.saturating_add(1);
    }

    /// Counts a repeat that was not asked for here.
    pub fn record_repeat(&mut self, now_us: u64, service: &ServiceName) {
        let slice = self.present(now_us, service).slice();
        slice.repeats = slice.repeats.saturating_add(1);
    }

    /// Takes one repeat; false where none is left.
    #[must_use]
    pub fn spend(&mut self, now_us: u64, service: &ServiceName) -> bool {
        let (percent, floor) = (self.settings.repeats_percent, self.settings.repeats_floor);
        let window = self.present(now_us, service);
        if window.sum(0).repeats >= window.allowed(percent, floor) {
            return false;
        }
        window.slice().repeats += 1;
        true
    }

    fn present(&mut self, now_us: u64, service: &ServiceName) -> &mut Window {
        let slice_us = u64::from(self.settings.window_ms) * 1_000 / SLICES as u64;
        let newest = now_us / slice_us.max(1);
        let make = || Window {
            newest,
            ..Window::default()
        };
        let window = self.services.get_or_insert_with(service.clone(), make);
        window.advance(newest);
        window
    }
}

impl Window {
    fn advance(&mut self, newest: u64) {
        let passed = newest.saturating_sub(self.newest).min(SLICES_KEPT as u64);
        for step in 1..=passed {
            let at = (self.newest + step) % SLICES_KEPT as u64;
            self.slices[at as usize] = Slice::default();
        }
        if newest > self.newest + SLICES_KEPT as u64 {
            self.slices = [Slice::default(); SLICES_KEPT];
        }
        self.newest = self.newest.max(newest);
    }

    fn slice(&mut self) -> &mut Slice {
        &mut self.slices[(self.newest % SLICES_KEPT as u64) as usize]
    }

    /// Returns what was sent in one window that ended some slices ago.
    fn sum(&self, slices_ago: usize) -> Slice {
        let mut sum = Slice::default();
        for ago in slices_ago..slices_ago + SLICES {
            let at = (self.newest + (SLICES_KEPT - ago) as u64) % SLICES_KEPT as u64;
            let slice = self.slices[at as usize];
            sum.requests += slice.requests;
            sum.repeats += slice.repeats;
        }
        sum
    }

    /// Returns the requests of the busiest of the present window, the one before it and the one
    /// half a window before it.
    fn requests(&self) -> u32 {
        let present = self.sum(0).requests;
        let half_before = self.sum(SLICES / 2).requests;
        present.max(half_before).max(self.sum(SLICES).requests)
    }

    /// Returns the repeats that the present window may have.
    fn allowed(&self, percent: u32, floor: u32) -> u32 {
        floor + self.requests() * percent / 100
    }
}

impl Service for ServiceBudgets {
    fn name(&self) -> &'static str {
        SERVICE_BUDGETS_NAME
    }

    fn handle(&mut self, _context: &mut Context<'_>, _event: Event) {}
}
