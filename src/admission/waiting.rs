//! Which calls wait in the queue, for how long, and which are refused instead.

use super::Admission;
use super::messages::{AdmissionOutcome, Arrival, DequeuedCalls, EvictedCall, OfferResult};
use super::queue::QueuedCall;
use crate::verdict::{Refusal, RefusalReason};

/// The minimum retry-after time of a refusal.
const RETRY_AFTER_MIN_MS: u32 = 10;
/// The maximum retry-after time of a refusal.
const RETRY_AFTER_MAX_MS: u32 = 10_000;

impl Admission {
    /// Returns whether a call that starts after a wait has more time left before its deadline than
    /// [`ServiceTimes::required_us`].
    pub(super) fn has_required_time(&self, now_us: u64, wait_us: u64, arrival: Arrival) -> bool {
        let ends_us = now_us
            .saturating_add(wait_us)
            .saturating_add(self.service_times.required_us(now_us, arrival.kind));
        ends_us < arrival.deadline_us
    }

    /// Queues an arrival that can't start now, or refuses it if it would miss its deadline or the
    /// queue is full of calls of the same or a higher rank.
    pub(super) fn enqueue_or_refuse(&mut self, now_us: u64, arrival: Arrival) -> OfferResult {
        let ahead = self.queue.count_ahead_of(arrival.rank);
        let wait_us = self.expected_wait_us(now_us, ahead);
        if !self.has_required_time(now_us, wait_us, arrival) {
            let refusal = self.refusal(now_us, RefusalReason::Deadline);
            return OfferResult::refused(refusal);
        }
        let queue_len_bound = self.queue_len_bound(now_us);
        let reason = self.overload_reason(now_us);
        if ahead >= queue_len_bound {
            return OfferResult::refused(self.refusal(now_us, reason));
        }
        let mut evicted = Vec::new();
        for lowest in self.queue.shrink_to(queue_len_bound - 1) {
            evicted.push(EvictedCall {
                call: lowest.call,
                refusal: self.refusal(now_us, reason),
            });
        }
        self.last_sequence += 1;
        self.queue.push(QueuedCall {
            queued_us: now_us,
            rank: arrival.rank,
            sequence: self.last_sequence,
            call: arrival.call,
            deadline_us: arrival.deadline_us,
            kind: arrival.kind,
        });
        OfferResult {
            outcome: AdmissionOutcome::Queued,
            evicted,
        }
    }

    /// Refuses queued calls that can't finish in time and starts the others, highest rank first,
    /// while there is room.
    pub(super) fn dequeue(&mut self, now_us: u64) -> DequeuedCalls {
        let mut dequeued = DequeuedCalls::default();
        let times = &self.service_times;
        let latest_start_us =
            |call: &QueuedCall| times.latest_start_us(call.deadline_us, call.kind);
        for late in self.queue.remove_late(now_us, latest_start_us) {
            self.observe_refusal(now_us, late.kind);
            dequeued.evicted.push(EvictedCall {
                call: late.call,
                refusal: Refusal {
                    is_other_target_worthwhile: false,
                    ..self.refusal(now_us, RefusalReason::Deadline)
                },
            });
        }
        while let Some(first) = self.queue.first() {
            if !self.has_room_for(now_us, first.rank.priority) {
                break;
            }
            let Some(first) = self.queue.pop_first() else {
                break;
            };
            let wait_us = now_us.saturating_sub(first.queued_us);
            let wait_us = self.pressure_wait_us(now_us, wait_us);
            self.pressure.observe_wait(now_us, first.kind, wait_us);
            let arrival = Arrival {
                call: first.call,
                rank: first.rank,
                deadline_us: first.deadline_us,
                kind: first.kind,
            };
            self.start(now_us, arrival);
            dequeued.started.push(first.call);
        }
        dequeued
    }

    /// Returns the expected wait of a call with a number of others ahead of it in the queue.
    pub(super) fn expected_wait_us(&self, now_us: u64, ahead: u32) -> u64 {
        let slot_wait_us = self.slot_wait_us(now_us, ahead);
        slot_wait_us.max(self.pacer.wait_us(now_us, ahead))
    }

    /// Returns the expected wait for a slot of a call with a number of others ahead of it.
    pub(super) fn slot_wait_us(&self, now_us: u64, ahead: u32) -> u64 {
        let limit = u64::from(self.limit.current().max(1));
        (u64::from(ahead) + 1) * self.service_times.expected_us(now_us) / limit
    }

    /// Returns why a call is refused that the queue has no room for.
    pub(super) fn overload_reason(&self, now_us: u64) -> RefusalReason {
        let ahead = self.queue.len();
        match self.pacer.wait_us(now_us, ahead) > self.slot_wait_us(now_us, ahead) {
            true => RefusalReason::RateLimit,
            false => RefusalReason::Overload,
        }
    }

    /// Returns the maximum queue length: `queue_len_max`, or fewer if the expected wait would
    /// exceed `queue_wait_max_ms`. The bound by wait is at least one.
    pub(super) fn queue_len_bound(&self, now_us: u64) -> u32 {
        let limit = self.limit.current();
        let service_us = self.service_times.mean_us().max(1);
        let wait_max_us = u64::from(self.settings.queue_wait_max_ms) * 1_000;
        let by_time = u64::from(limit) * wait_max_us / service_us;
        let by_time = u32::try_from(by_time).unwrap_or(u32::MAX);
        let by_time = match self.pacer.rate_per_s(now_us) {
            Some(per_s) => by_time.min((per_s * wait_max_us as f64 / 1_000_000.0) as u32),
            None => by_time,
        };
        by_time.max(1).min(self.settings.queue_len_max)
    }

    /// Creates a refusal whose retry-after time is the time that the queue takes to drain.
    pub(super) fn refusal(&self, now_us: u64, reason: RefusalReason) -> Refusal {
        let drain_us = self.expected_wait_us(now_us, self.queue.len());
        let drain_ms = u32::try_from(drain_us / 1_000).unwrap_or(u32::MAX);
        Refusal {
            reason,
            retry_after_ms: drain_ms.clamp(RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS),
            is_other_target_worthwhile: true,
        }
    }
}
