//! Admission control of a guard: decides which calls are sent to the target at once, wait in a
//! queue or are refused.
//!
//! Under overload it keeps the target at its concurrency limit and at the rate that the target
//! names, sheds the lowest ranks first and refuses calls that would probably miss their deadline.

mod concurrency;
mod efficiency;
mod learned;
mod limit;
mod messages;
mod pacer;
mod queue;
mod report;
mod service_time;
mod slots;
mod speed_change;
mod threshold;
mod waiting;

pub use concurrency::LimitPolicy;
pub use messages::{
    AdmissionOutcome, Arrival, CallOutcome, CancelOutcome, DequeuedCalls, EvictedCall, OfferResult,
};

use macro_rules_attribute::apply;

use crate::derives::settings;
use crate::ids::{CallKey, Priority, WorkKind};
use crate::kernel::{Context, Event, Notice, Service};
use crate::pressure::{PressureController, PressureSettings};
use crate::sorted::SortedMap;
use crate::target::RateLimitState;
use crate::verdict::{Refusal, RefusalReason};
use concurrency::{ConcurrencyLimit, EndedCall};
use pacer::Pacer;
use queue::Queue;
use service_time::ServiceTimes;

/// The name of the admission service.
pub const NAME: &str = "admission";

/// Settings of admission control.
#[apply(settings!)]
pub struct AdmissionSettings {
    /// The maximum number of queued calls.
    pub queue_len_max: u32,
    /// The maximum expected wait of a queued call.
    pub queue_wait_max_ms: u32,
    /// The minimum concurrency limit, if the target has that many slots.
    pub limit_min: u32,
    /// The maximum share of the concurrency limit that background calls may occupy. It allows them
    /// at least one slot, but never all.
    pub background_share_max_percent: u32,
    /// Only fewer than this percentage of the slots are used, but at least one; 101 uses all. A
    /// value up to 100 is for targets that slow down when nearly all slots are occupied.
    pub slots_below_percent: u32,
    /// How the concurrency limit is found.
    pub limit_policy: LimitPolicy,
    /// Whether a lower limit is tried when the target appears congested; only with the limit policy
    /// `trial`.
    pub tries_lower_limit: bool,
    /// Settings of the pressure, which is derived from the waits in the queue.
    pub pressure: PressureSettings,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            queue_len_max: 1_000,
            queue_wait_max_ms: 60,
            limit_min: 2,
            background_share_max_percent: 25,
            slots_below_percent: 101,
            limit_policy: LimitPolicy::default(),
            tries_lower_limit: true,
            pressure: PressureSettings::default(),
        }
    }
}

/// A call at the target.
struct RunningCall {
    started_us: u64,
    priority: Priority,
    kind: WorkKind,
    deadline_us: u64,
    /// The number of calls at the target when it started, itself included.
    concurrency: u32,
    has_child_calls: bool,
}

/// The admission control for the target beside the daemon.
pub struct Admission {
    settings: AdmissionSettings,
    limit: Box<dyn ConcurrencyLimit>,
    pacer: Pacer,
    queue: Queue,
    running: SortedMap<CallKey, RunningCall>,
    background_running: u32,
    service_times: ServiceTimes,
    last_sequence: u64,
    pressure: PressureController,
}

impl Admission {
    /// Creates an admission control for a target that has not announced any slots yet.
    pub fn new(settings: AdmissionSettings) -> Self {
        let limit = concurrency::new_limit(&settings);
        let pressure = PressureController::new(settings.pressure.clone());
        Self {
            settings,
            limit,
            pacer: Pacer::default(),
            queue: Queue::default(),
            running: SortedMap::default(),
            background_running: 0,
            service_times: ServiceTimes::default(),
            last_sequence: 0,
            pressure,
        }
    }

    /// Sets the number of calls that the target can process at once; 0 if it is not ready.
    ///
    /// `slots_below_percent` applies to this number.
    pub fn set_slots(&mut self, now_us: u64, slots: u32) {
        let share = u64::from(slots) * u64::from(self.settings.slots_below_percent);
        let below = u32::try_from(share.div_ceil(100).saturating_sub(1)).unwrap_or(u32::MAX);
        let used = slots.min(below.max(1));
        self.limit.set_slots(now_us, used);
    }

    /// Sets what is known of the rate that the target accepts.
    pub fn set_rate_limit(&mut self, now_us: u64, rate_limit: RateLimitState) {
        match rate_limit {
            RateLimitState::Unknown => self.pacer.reset(),
            RateLimitState::Unlimited => self.pacer.release(now_us),
            RateLimitState::Limited(rate) => self.pacer.limit(now_us, rate.per_s()),
        }
    }

    /// Decides whether an arrival starts, waits or is refused.
    pub fn offer(&mut self, now_us: u64, arrival: Arrival) -> OfferResult {
        if self.limit.current() == 0 {
            let refusal = self.refusal(now_us, RefusalReason::TargetNotReady);
            return OfferResult::refused(refusal);
        }
        if !self.has_required_time(now_us, 0, arrival) {
            let refusal = self.refusal(now_us, RefusalReason::Deadline);
            return OfferResult::refused(Refusal {
                is_other_target_worthwhile: false,
                ..refusal
            });
        }
        let limit = f64::from(self.effective_limit(now_us).max(1));
        let occupancy = f64::from(self.in_flight()) / limit;
        self.pressure.observe_occupancy(occupancy);
        if self.has_room_for(now_us, arrival.rank.priority)
            && !self.queue.has_call_ahead_of(arrival.rank)
        {
            self.pressure.observe_wait(now_us, arrival.kind, 0);
            self.start(now_us, arrival);
            return OfferResult {
                outcome: AdmissionOutcome::Start,
                evicted: Vec::new(),
            };
        }
        let offer = self.enqueue_or_refuse(now_us, arrival);
        if let AdmissionOutcome::Refused(_) = offer.outcome {
            self.observe_refusal(now_us, arrival.kind);
        }
        offer
    }

    /// Records the end of a call at the target and updates the queue as [`Admission::update_queue`]
    /// does.
    pub fn finish(&mut self, now_us: u64, call: CallKey, outcome: CallOutcome) -> DequeuedCalls {
        let is_saturated = self.in_flight() >= self.limit.current();
        let Some(running) = self.running.remove(&call) else {
            return DequeuedCalls::default();
        };
        if running.priority == Priority::Background {
            self.background_running -= 1;
        }
        let elapsed_us = now_us.saturating_sub(running.started_us);
        self.service_times
            .record(now_us, running.kind, elapsed_us, outcome);
        let ended = EndedCall {
            kind: running.kind,
            started_us: running.started_us,
            deadline_us: running.deadline_us,
            concurrency: running.concurrency,
            outcome,
            is_saturated,
            has_child_calls: running.has_child_calls,
        };
        self.limit.record_end(now_us, ended);
        self.dequeue(now_us)
    }

    /// Records that a call at the target may have waited for calls that the target made, so that its
    /// time does not count as the target's own.
    pub fn record_child_calls(&mut self, call: CallKey) {
        if let Some(running) = self.running.get_mut(&call) {
            running.has_child_calls = true;
        }
    }

    /// Returns the concurrency limit, without a trial of another limit for a few calls.
    pub fn limit(&self) -> u32 {
        self.limit.settled()
    }

    /// Returns how the concurrency limit is found.
    pub fn limit_policy(&self) -> LimitPolicy {
        self.settings.limit_policy
    }

    /// Removes a call from the queue; a call at the target keeps its slot until it ends.
    pub fn cancel(&mut self, _now_us: u64, call: CallKey) -> CancelOutcome {
        if self.queue.remove(call) {
            return CancelOutcome::RemovedFromQueue;
        }
        if self.running.contains_key(&call) {
            return CancelOutcome::InFlight;
        }
        CancelOutcome::Unknown
    }

    /// Refuses queued calls that can no longer finish in time and starts those that have room.
    pub fn update_queue(&mut self, now_us: u64) -> DequeuedCalls {
        self.dequeue(now_us)
    }

    /// Returns the time at which [`Admission::update_queue`] next has work to do: 0 if a queued
    /// call can start now, `None` if the queue is empty.
    pub fn next_queue_update_us(&self, now_us: u64) -> Option<u64> {
        let first = self.queue.first()?;
        if self.has_room_for(now_us, first.rank.priority) {
            return Some(0);
        }
        let times = &self.service_times;
        let late_us = self
            .queue
            .min_latest_start_us(|call| times.latest_start_us(call.deadline_us, call.kind));
        if !self.has_slot_for(first.rank.priority) {
            return late_us;
        }
        let token_us = now_us.saturating_add(self.pacer.wait_us(now_us, 0));
        late_us.map(|late_us| late_us.min(token_us))
    }
}

impl Service for Admission {
    fn name(&self) -> &'static str {
        NAME
    }

    fn handle(&mut self, context: &mut Context<'_>, event: Event) {
        let now_us = context.now_us();
        match event {
            Event::Notice(Notice::TargetAnnounced(announcement)) => {
                self.set_slots(now_us, announcement.slots.min(announcement.connections));
            }
            Event::Notice(Notice::TargetSilent) => self.set_slots(now_us, 0),
            _ => {}
        }
    }
}
