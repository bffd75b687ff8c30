//! Admission control of a guard: decides which calls are sent to the target at once, wait in a
//! queue or are refused.
//!
//! Under overload it keeps the target at its concurrency limit and at the rate that the target
//! names, sheds the lowest ranks first and
//! refuses calls that would probably miss their deadline.

mod limit;
mod pacer;
mod queue;
mod service_time;
mod threshold;

use macro_rules_attribute::apply;

use crate::derives::{settings, value};
use crate::ids::{CallKey, Priority, WorkKind};
use crate::kernel::{Context, Event, Notice, Service};
use crate::pressure::{PressureController, PressureSettings};
use crate::request::{LoadReport, Rank};
use crate::sorted::SortedMap;
use crate::target::RateLimitState;
use crate::verdict::{Refusal, RefusalReason};
use limit::Limit;
use pacer::Pacer;
use queue::{Queue, QueuedCall};
use service_time::ServiceTimes;

/// The name of the admission service.
pub const NAME: &str = "admission";

/// A call that arrives at the guard and asks for admission.
#[apply(value!)]
pub struct Arrival {
    /// The call.
    pub call: CallKey,
    /// Its rank; calls of a lower rank are shed first.
    pub rank: Rank,
    /// The deadline for its answer, on the node's clock.
    pub deadline_us: u64,
    /// The kind of work.
    pub kind: WorkKind,
}

/// A queued call that is removed from the queue and refused.
#[apply(value!)]
pub struct EvictedCall {
    /// The call.
    pub call: CallKey,
    /// The refusal for its caller.
    pub refusal: Refusal,
}

/// The result for an arrival, and for the queued calls that it displaces.
#[derive(Clone, Debug, PartialEq)]
pub struct OfferResult {
    /// What happens to the arrival.
    pub outcome: AdmissionOutcome,
    /// Queued calls that are refused to make room.
    pub evicted: Vec<EvictedCall>,
}

/// What happens to an arrival.
#[apply(value!)]
pub enum AdmissionOutcome {
    /// It is sent to the target at once.
    Start,
    /// It waits in the queue.
    Queued,
    /// It is refused.
    Refused(Refusal),
}

/// The calls that leave the queue after a change: a call ended, slots were added or time passed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DequeuedCalls {
    /// Calls that are sent to the target now.
    pub started: Vec<CallKey>,
    /// Calls that are refused now.
    pub evicted: Vec<EvictedCall>,
}

/// How a call at the target ended.
#[apply(value!)]
pub enum CallOutcome {
    /// With an answer that is not a server error of the target itself.
    Answered,
    /// With a server error or without a complete answer.
    Failed,
    /// It was cancelled.
    Cancelled,
}

/// Where a cancelled call was found.
#[apply(value!)]
pub enum CancelOutcome {
    /// The call was queued and will not be sent.
    RemovedFromQueue,
    /// The call is at the target; it occupies its slot until it ends.
    InFlight,
    /// The call is neither queued nor at the target.
    Unknown,
}

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
    /// Whether a lower limit is tried when the target appears congested.
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
            tries_lower_limit: true,
            pressure: PressureSettings::default(),
        }
    }
}

/// The minimum retry-after time of a refusal.
const RETRY_AFTER_MIN_MS: u32 = 10;
/// The maximum retry-after time of a refusal.
const RETRY_AFTER_MAX_MS: u32 = 10_000;

/// A call at the target.
struct RunningCall {
    started_us: u64,
    priority: Priority,
    kind: WorkKind,
}

/// The admission control for the target beside the daemon.
pub struct Admission {
    settings: AdmissionSettings,
    limit: Limit,
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
        let limit = Limit::new(settings.limit_min, settings.tries_lower_limit);
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
            self.start(now_us, arrival.call, arrival.rank.priority, arrival.kind);
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
        self.limit.record(now_us, elapsed_us, outcome, is_saturated);
        self.dequeue(now_us)
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

    /// Returns the pressure on the target, from 0 to 1.
    pub fn pressure(&mut self, now_us: u64) -> f64 {
        self.pressure.current(now_us)
    }

    /// Counts a refused call in the pressure as one that waited behind the whole queue, and for no
    /// less than the maximum wait.
    ///
    /// This covers calls that could not be queued and queued calls that can no longer finish in
    /// time, but neither calls that an arrival of a higher rank evicts nor calls that would miss
    /// their deadline even without a wait.
    fn observe_refusal(&mut self, now_us: u64, kind: WorkKind) {
        let wait_us = self.expected_wait_us(now_us, self.queue.len());
        let min_wait_us = u64::from(self.settings.queue_wait_max_ms) * 1_000;
        let wait_us = self.pressure_wait_us(now_us, wait_us.max(min_wait_us));
        self.pressure.observe_wait(now_us, kind, wait_us);
    }

    /// Returns a wait as it counts in the pressure.
    fn pressure_wait_us(&self, now_us: u64, wait_us: u64) -> u64 {
        let aim_us = u64::from(self.settings.pressure.wait_aim_ms) * 1_000;
        self.pacer.pressure_wait_us(now_us, wait_us, aim_us)
    }

    /// Returns the load with the mean service time of all work.
    pub fn load(&self, now_us: u64) -> LoadReport {
        self.load_for(now_us, WorkKind::default())
    }

    /// Returns the load that the guard reports for a call of a kind of work, without `is_leaving`,
    /// the pressure and the share of lost answers, which the guard fills in.
    pub fn load_for(&self, now_us: u64, kind: WorkKind) -> LoadReport {
        let rate_wait_us = self.pacer.wait_us(now_us, self.queue.len());
        LoadReport {
            threshold: threshold::threshold(&self.queue, self.queue_len_bound(now_us)),
            in_flight: self.in_flight(),
            limit: self.effective_limit(now_us),
            queued: self.queue.len(),
            is_leaving: false,
            pressure_permille: 0,
            lost_permille: 0,
            rate_wait_us: u32::try_from(rate_wait_us).unwrap_or(u32::MAX),
            service_us: u32::try_from(self.service_times.kind_mean_us(kind)).unwrap_or(u32::MAX),
        }
    }

    /// Returns the concurrency limit, or the mean number of calls at the target at its rate limit if
    /// that is lower.
    fn effective_limit(&self, now_us: u64) -> u32 {
        let limit = self.limit.current();
        let Some(per_s) = self.pacer.rate_per_s(now_us) else {
            return limit;
        };
        let service_s = self.service_times.mean_us() as f64 / 1_000_000.0;
        let mean_in_flight = (per_s * service_s).ceil() as u32;
        limit.min(mean_in_flight.max(1))
    }

    fn in_flight(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    /// Returns whether a call of a priority may be sent to the target now.
    fn has_room_for(&self, now_us: u64, priority: Priority) -> bool {
        self.has_slot_for(priority) && self.pacer.has_token(now_us)
    }

    /// Returns whether there is a slot for a call of a priority.
    fn has_slot_for(&self, priority: Priority) -> bool {
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
    fn background_max(&self, limit: u32) -> u32 {
        let share = limit * self.settings.background_share_max_percent / 100;
        share.max(1).min(limit.saturating_sub(1))
    }

    fn start(&mut self, now_us: u64, call: CallKey, priority: Priority, kind: WorkKind) {
        if priority == Priority::Background {
            self.background_running += 1;
        }
        let running = RunningCall {
            started_us: now_us,
            priority,
            kind,
        };
        self.running.insert(call, running);
        self.pacer.take(now_us);
    }

    /// Returns whether a call that starts after a wait has more time left before its deadline than
    /// [`ServiceTimes::required_us`].
    fn has_required_time(&self, now_us: u64, wait_us: u64, arrival: Arrival) -> bool {
        let ends_us = now_us
            .saturating_add(wait_us)
            .saturating_add(self.service_times.required_us(now_us, arrival.kind));
        ends_us < arrival.deadline_us
    }

    /// Queues an arrival that can't start now, or refuses it if it would miss its deadline or the
    /// queue is full of calls of the same or a higher rank.
    fn enqueue_or_refuse(&mut self, now_us: u64, arrival: Arrival) -> OfferResult {
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
    fn dequeue(&mut self, now_us: u64) -> DequeuedCalls {
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
            self.start(now_us, first.call, first.rank.priority, first.kind);
            dequeued.started.push(first.call);
        }
        dequeued
    }

    /// Returns the expected wait of a call with a number of others ahead of it in the queue.
    fn expected_wait_us(&self, now_us: u64, ahead: u32) -> u64 {
        let slot_wait_us = self.slot_wait_us(now_us, ahead);
        slot_wait_us.max(self.pacer.wait_us(now_us, ahead))
    }

    /// Returns the expected wait for a slot of a call with a number of others ahead of it.
    fn slot_wait_us(&self, now_us: u64, ahead: u32) -> u64 {
        let limit = u64::from(self.limit.current().max(1));
        (u64::from(ahead) + 1) * self.service_times.expected_us(now_us) / limit
    }

    /// Returns why a call is refused that the queue has no room for.
    fn overload_reason(&self, now_us: u64) -> RefusalReason {
        let ahead = self.queue.len();
        match self.pacer.wait_us(now_us, ahead) > self.slot_wait_us(now_us, ahead) {
            true => RefusalReason::RateLimit,
            false => RefusalReason::Overload,
        }
    }

    /// Returns the maximum queue length: `queue_len_max`, or fewer if the expected wait would
    /// exceed `queue_wait_max_ms`. The bound by wait is at least one.
    fn queue_len_bound(&self, now_us: u64) -> u32 {
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
    fn refusal(&self, now_us: u64, reason: RefusalReason) -> Refusal {
        let drain_us = self.expected_wait_us(now_us, self.queue.len());
        let drain_ms = u32::try_from(drain_us / 1_000).unwrap_or(u32::MAX);
        Refusal {
            reason,
            retry_after_ms: drain_ms.clamp(RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS),
            is_other_target_worthwhile: true,
        }
    }
}

impl OfferResult {
    fn refused(refusal: Refusal) -> Self {
        Self {
            outcome: AdmissionOutcome::Refused(refusal),
            evicted: Vec::new(),
        }
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
