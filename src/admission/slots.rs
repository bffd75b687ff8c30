//! Which calls may be sent to the target now, by its slots and its rate limit.

use super::{Admission, Arrival, RunningCall};
use crate::ids::Priority;

impl Admission {
    /// Returns the concurrency limit, or the mean number of calls at the target at its rate limit if
    /// that is lower.
    pub(super) fn effective_limit(&self, now_us: u64) -> u32 {
        let limit = self.limit.settled();
        let Some(per_s) = self.pacer.rate_per_s(now_us) else {
            return limit;
        };
        let service_s = self.service_times.mean_us() as f64 / 1_000_000.0;
        let mean_in_flight = (per_s * service_s).ceil() as u32;
        limit.min(mean_in_flight.max(1))
    }

    pub(super) fn in_flight(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    /// Returns whether a call of a priority may be sent to the target now.
    pub(super) fn has_room_for(&self, now_us: u64, priority: Priority) -> bool {
        self.has_slot_for(priority) && self.pacer.has_token(now_us)
    }

    /// Returns whether there is a slot for a call of a priority.
    pub(super) fn has_slot_for(&self, priority: Priority) -> bool {
        let limit = self.limit.current();
        if self.in_flight() >= limit {
            return false;
        }
        if priority > Priority::Background {
            return true;
        }
        self.background_running < self.background_max(limit)
    }

    /// Returns the maximum number of running background calls: the configured share of the limit,
    /// but at least one, and fewer than the limit, so that at least one slot is left to other
    /// calls.
    pub(super) fn background_max(&self, limit: u32) -> u32 {
        let share = limit * self.settings.background_share_max_percent / 100;
        share.max(1).min(limit.saturating_sub(1))
    }

    pub(super) fn start(&mut self, now_us: u64, arrival: Arrival) {
        let priority = arrival.rank.priority;
        if priority == Priority::Background {
            self.background_running += 1;
        }
        let concurrency = self.in_flight().saturating_add(1);
        let running = RunningCall {
            started_us: now_us,
            priority,
            kind: arrival.kind,
            deadline_us: arrival.deadline_us,
            concurrency,
            has_child_calls: false,
        };
        self.running.insert(arrival.call, running);
        self.limit.record_start(now_us, concurrency);
        self.pacer.take(now_us);
    }
}
