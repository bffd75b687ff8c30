//! The retry budget of one caller: a share of its recent successes.

use std::collections::VecDeque;

use crate::ids::RequestId;

/// What a caller did in one window.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    successes: u32,
    charged: u32,
}

/// A request that was seen lately.
#[derive(Clone, Copy, Debug)]
struct Recent {
    request: RequestId,
    /// The tokens that its last try left over; `None` while that try is under way.
    left: Option<u32>,
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

    /// Counts a retry of the caller.
    pub(super) fn charge(&mut self, retries: u32) {
        self.current.charged = self.current.charged.saturating_add(retries);
    }

    /// Counts a request that succeeded.
    pub(super) fn succeed(&mut self) {
        self.current.successes = self.current.successes.saturating_add(1);
    }

    /// Says whether a request was seen lately, and the tokens that its last try left over.
    pub(super) fn recognize(&self, request: RequestId) -> Option<u32> {
        for recent in &self.recent {
            if recent.request == request {
                return Some(recent.left.unwrap_or(0));
            }
        }
        None
    }

    /// Notes that a try of a request is under way: its tokens are out.
    pub(super) fn open(&mut self, now_us: u64, request: RequestId, bounds: BudgetBounds) {
        for recent in &mut self.recent {
            if recent.request == request {
                recent.left = None;
                recent.seen_us = now_us;
                return;
            }
        }
        while self.recent.len() >= bounds.requests_max {
            self.recent.pop_front();
        }
        self.recent.push_back(Recent {
            request,
            left: None,
            seen_us: now_us,
        });
    }

    /// Notes the tokens that a try of a request left over.
    pub(super) fn close(&mut self, request: RequestId, left: u32) {
        for recent in &mut self.recent {
            if recent.request == request {
                recent.left = Some(left);
            }
        }
    }

    fn forget(&mut self, now_us: u64, bounds: BudgetBounds) {
        let window_us = bounds.window_us;
        self.recent
            .retain(|recent| now_us.saturating_sub(recent.seen_us) < 2 * window_us);
    }
}
