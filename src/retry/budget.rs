//! The retry budget of one caller: a share of its recent successes.

use std::collections::VecDeque;

use super::Allowance;
use crate::ids::RequestId;

/// What a caller did in one window.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    successes: u32,
    charged: u32,
}

/// A request that was seen lately, and the tokens of it that no try holds.
#[derive(Debug)]
struct Recent {
    request: RequestId,
    allowance: Allowance,
    seen_us: u64,
}

/// What is known of one caller: two windows of its tries, and its latest requests.
#[derive(Debug, Default)]
pub(super) struct Budget {
    window_start_us: u64,
    current: Tally,
    previous: Tally,
    recent: VecDeque<Recent>,
    pub(super) last_seen_us: u64,
}

/// The bounds of a budget.
#[derive(Clone, Copy, Debug)]
pub(super) struct BudgetBounds {
    pub(super) window_us: u64,
    pub(super) percent: u32,
    pub(super) floor: u32,
    pub(super) requests_max: usize,
}

impl Budget {
    /// Moves the windows on to the present.
    pub(super) fn advance(&mut self, now_us: u64, bounds: BudgetBounds) {
        self.last_seen_us = self.last_seen_us.max(now_us);
        let elapsed_us = now_us.saturating_sub(self.window_start_us);
        if elapsed_us < bounds.window_us {
            return;
        }
        let is_next = elapsed_us < 2 * bounds.window_us;
        self.previous = if is_next {
            self.current
        } else {
            Tally::default()
        };
        self.current = Tally::default();
        self.window_start_us = now_us - elapsed_us % bounds.window_us;
        self.forget(now_us, bounds);
    }

    /// Returns the retries that the caller may still make now.
    pub(super) fn left(&self, now_us: u64, bounds: BudgetBounds) -> u32 {
        let elapsed_us = now_us.saturating_sub(self.window_start_us);
        let rest_us = bounds.window_us.saturating_sub(elapsed_us);
        let carried = |count: u32| u64::from(count) * rest_us / bounds.window_us;
        let successes = u64::from(self.current.successes) + carried(self.previous.successes);
        let charged = u64::from(self.current.charged) + carried(self.previous.charged);
        let allowed = u64::from(bounds.floor) + successes * u64::from(bounds.percent) / 100;
        u32::try_from(allowed.saturating_sub(charged)).unwrap_or(u32::MAX)
    }

    /// Returns the time until the present window ends.
    pub(super) fn window_rest_us(&self, now_us: u64, bounds: BudgetBounds) -> u64 {
        let elapsed_us = now_us.saturating_sub(self.window_start_us);
        bounds.window_us.saturating_sub(elapsed_us)
    }

    /// Counts retries of the caller.
    pub(super) fn charge(&mut self, retries: u32) {
        self.current.charged = self.current.charged.saturating_add(retries);
    }

    /// Takes back retries that were counted and not made.
    pub(super) fn refund(&mut self, retries: u32) {
        self.current.charged = self.current.charged.saturating_sub(retries);
    }

    /// Counts a request that succeeded.
    pub(super) fn succeed(&mut self) {
        self.current.successes = self.current.successes.saturating_add(1);
    }

    /// Returns the tokens of a request that was seen lately.
    pub(super) fn recognize(&mut self, request: RequestId) -> Option<&mut Allowance> {
        for recent in self.recent.iter_mut().rev() {
            if recent.request == request {
                return Some(&mut recent.allowance);
            }
        }
        None
    }

    /// Remembers a request, all of whose tokens go to its try.
    pub(super) fn remember(
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
        self.recent.push_back(Recent {
            request,
            allowance,
            seen_us: now_us,
        });
        Allowance::new(granted)
    }

    /// Forgets a request that made no try.
    pub(super) fn forget_request(&mut self, request: RequestId) {
        self.recent.retain(|recent| recent.request != request);
    }

    fn forget(&mut self, now_us: u64, bounds: BudgetBounds) {
        let window_us = bounds.window_us;
        self.recent
            .retain(|recent| now_us.saturating_sub(recent.seen_us) < 2 * window_us);
    }
}
