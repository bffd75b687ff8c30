//! The retry budget of one caller: a share of its recently successful requests.

use std::collections::VecDeque;

use super::Allowance;
use crate::ids::RequestId;

/// The counts of one caller in one window.
#[derive(Clone, Copy, Debug, Default)]
struct WindowCounts {
    successes: u32,
    charged: u32,
}

/// A recent request, and those of its retry tokens that are not granted to an attempt.
#[derive(Debug)]
struct RecentRequest {
    request: RequestId,
    allowance: Allowance,
    recorded_us: u64,
}

/// The retry budget of one caller: its counts in two windows, and its most recent requests.
#[derive(Debug, Default)]
pub(super) struct CallerBudget {
    window_start_us: u64,
    current: WindowCounts,
    previous: WindowCounts,
    recent: VecDeque<RecentRequest>,
    pub(super) last_active_us: u64,
}

/// The bounds of a budget.
#[derive(Clone, Copy, Debug)]
pub(super) struct BudgetBounds {
    pub(super) window_us: u64,
    pub(super) percent: u32,
    pub(super) floor: u32,
    pub(super) requests_max: usize,
}

impl CallerBudget {
    /// Advances the windows to the current time.
    pub(super) fn advance(&mut self, now_us: u64, bounds: BudgetBounds) {
        self.last_active_us = self.last_active_us.max(now_us);
        let elapsed_us = now_us.saturating_sub(self.window_start_us);
        if elapsed_us < bounds.window_us {
            return;
        }
        let is_next = elapsed_us < 2 * bounds.window_us;
        self.previous = if is_next {
            self.current
        } else {
            WindowCounts::default()
        };
        self.current = WindowCounts::default();
        self.window_start_us = now_us - elapsed_us % bounds.window_us;
        self.remove_expired(now_us, bounds);
    }

    /// Returns the number of retries that the caller may still make now.
    ///
    /// The sliding window is approximated: the counts of the previous window are weighted by the
    /// part of it that the sliding window still covers.
    pub(super) fn left(&self, now_us: u64, bounds: BudgetBounds) -> u32 {
        let elapsed_us = now_us.saturating_sub(self.window_start_us);
        let remaining_us = bounds.window_us.saturating_sub(elapsed_us);
        let weighted = |count: u32| u64::from(count) * remaining_us / bounds.window_us;
        let successes = u64::from(self.current.successes) + weighted(self.previous.successes);
        let charged = u64::from(self.current.charged) + weighted(self.previous.charged);
        let allowed = u64::from(bounds.floor) + successes * u64::from(bounds.percent) / 100;
        u32::try_from(allowed.saturating_sub(charged)).unwrap_or(u32::MAX)
    }

    /// Returns the time until the current window ends.
    pub(super) fn window_remaining_us(&self, now_us: u64, bounds: BudgetBounds) -> u64 {
        let elapsed_us = now_us.saturating_sub(self.window_start_us);
        bounds.window_us.saturating_sub(elapsed_us)
    }

    /// Charges retries to the budget.
    pub(super) fn charge(&mut self, retries: u32) {
        self.current.charged = self.current.charged.saturating_add(retries);
    }

    /// Refunds retries that were charged but not made, up to those charged in the current window.
    pub(super) fn refund(&mut self, retries: u32) {
        self.current.charged = self.current.charged.saturating_sub(retries);
    }

    /// Counts a request that succeeded.
    pub(super) fn record_success(&mut self) {
        self.current.successes = self.current.successes.saturating_add(1);
    }

    /// Returns the allowance of a recent request.
    pub(super) fn find_allowance(&mut self, request: RequestId) -> Option<&mut Allowance> {
        for recent in self.recent.iter_mut().rev() {
            if recent.request == request {
                return Some(&mut recent.allowance);
            }
        }
        None
    }

    /// Records a request and returns an allowance of all its tokens for the current attempt.
    pub(super) fn record_request(
        &mut self,
        now_us: u64,
        request: RequestId,
        tokens: u32,
        bounds: BudgetBounds,
    ) -> Allowance {
        while self.recent.len() >= bounds.requests_max {
            self.recent.pop_front();
        }
        let mut allowance = Allowance::new(tokens);
        let granted = allowance.grant(tokens);
        self.recent.push_back(RecentRequest {
            request,
            allowance,
            recorded_us: now_us,
        });
        Allowance::new(granted)
    }

    /// Removes a request that made no attempt.
    pub(super) fn remove_request(&mut self, request: RequestId) {
        self.recent.retain(|recent| recent.request != request);
    }

    /// Removes the requests that were recorded two windows ago or earlier.
    fn remove_expired(&mut self, now_us: u64, bounds: BudgetBounds) {
        let window_us = bounds.window_us;
        self.recent
            .retain(|recent| now_us.saturating_sub(recent.recorded_us) < 2 * window_us);
    }
}
