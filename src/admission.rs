//! Admission: which requests are sent to the target, wait or are refused.

mod limit;
mod queue;
mod service_time;
mod threshold;

use macro_rules_attribute::apply;

use crate::derives::{settings, value};
use crate::ids::{CallKey, Priority, WorkKind};
use crate::kernel::{Context, Event, Notice, Service};
use crate::pressure::{Level, LevelSettings};
use crate::request::{LoadReport, Rank};
use crate::sorted::SortedMap;
use crate::verdict::{Refusal, RefusalReason};
use limit::Limit;
use queue::{Queue, Waiting};
use service_time::ServiceTimes;

/// The name of the admission service.
pub const NAME: &str = "admission";

/// A request that asks to be admitted.
#[apply(value!)]
pub struct Arrival {
    /// The call.
    pub call: CallKey,
    /// The order in which it is shed.
    pub rank: Rank,
    /// The time by which its answer must be there, on the node's clock.
    pub deadline_us: u64,
    /// The kind of work.
    pub kind: WorkKind,
}

/// A queued call that is refused after all.
#[apply(value!)]
pub struct Evicted {
    /// The call.
    pub call: CallKey,
    /// The refusal to give.
    pub refusal: Refusal,
}

/// What becomes of an arrival, and of a queued call whose place it takes.
#[derive(Clone, Debug, PartialEq)]
pub struct Offer {
    /// What becomes of the arrival.
    pub outcome: Admitted,
    /// Queued calls that are refused now.
    pub evicted: Vec<Evicted>,
}

/// What becomes of an arrival.
#[apply(value!)]
pub enum Admitted {
    /// It is sent to the target now.
    Start,
    /// It waits.
    Queued,
    /// It is refused.
    Refused(Refusal),
}

/// What becomes of calls after a change.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Released {
    /// Calls that are sent to the target now.
    pub started: Vec<CallKey>,
    /// Calls that are refused now.
    pub evicted: Vec<Evicted>,
}

/// How a request at the target ended.
#[apply(value!)]
pub enum Ended {
    /// With an answer that is no server error.
    Answered,
    /// With a server error or without a whole answer.
    Failed,
    /// It was cancelled.
    Cancelled,
}

/// What a cancellation found.
#[apply(value!)]
pub enum CancelOutcome {
    /// The call was queued and will not be sent.
    RemovedFromQueue,
    /// The call is at the target; it counts until it is finished.
    InFlight,
    /// The call is neither queued nor at the target.
    Unknown,
}

/// Settings of admission.
#[apply(settings!)]
pub struct AdmissionSettings {
    /// The greatest number of queued calls.
    pub queue_len_max: u32,
    /// The greatest time that a queued call is expected to wait.
    pub queue_wait_max_ms: u32,
    /// The least concurrency limit, where the target has that many slots.
    pub limit_min: u32,
    /// The greatest share of the limit that background calls may hold.
    pub background_share_max_percent: u32,
    /// Fewer than this share of the slots are used, for targets that slow down when nearly full.
    pub slots_below_percent: u32,
    /// Whether a lower limit is tried where the target seems crowded.
    pub tries_lower_limit: bool,
    /// The pressure that its queue shows.
    pub pressure: LevelSettings,
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
            pressure: LevelSettings::default(),
        }
    }
}

/// The shortest time after which a refused caller is asked to come back.
const RETRY_AFTER_MIN_MS: u32 = 10;
/// The longest time after which a refused caller is asked to come back.
const RETRY_AFTER_MAX_MS: u32 = 10_000;

/// A call at the target.
struct Running {
    started_us: u64,
    priority: Priority,
    kind: WorkKind,
}

/// Decides which calls are sent to the target beside the daemon, wait or are refused.
pub struct Admission {
    settings: AdmissionSettings,
    limit: Limit,
    queue: Queue,
    running: SortedMap<CallKey, Running>,
    background_running: u32,
    service_times: ServiceTimes,
    next_sequence: u64,
    pressure: Level,
}

impl Admission {
    /// Makes an admission for a target that has no slots yet.
    pub fn new(settings: AdmissionSettings) -> Self {
        let limit = Limit::new(settings.limit_min, settings.tries_lower_limit);
        let pressure = Level::new(settings.pressure.clone());
        Self {
            settings,
            limit,
            queue: Queue::default(),
            running: SortedMap::default(),
            background_running: 0,
            service_times: ServiceTimes::default(),
            next_sequence: 0,
            pressure,
        }
    }

    /// Sets the slots that the target announced.
    pub fn set_slots(&mut self, now_us: u64, slots: u32) {
        let share = u64::from(slots) * u64::from(self.settings.slots_below_percent);
        let below = u32::try_from(share.div_ceil(100).saturating_sub(1)).unwrap_or(u32::MAX);
        let used = slots.min(below.max(1));
        self.limit.set_slots(now_us, used);
    }

    /// Decides on an arrival.
    pub fn offer(&mut self, now_us: u64, arrival: Arrival) -> Offer {
        if self.limit.current() == 0 {
            let refusal = self.refusal(now_us, RefusalReason::TargetNotReady);
            return Offer::refused(refusal);
        }
        if !self.can_finish(now_us, 0, arrival) {
            let refusal = self.refusal(now_us, RefusalReason::Deadline);
            return Offer::refused(Refusal {
                is_other_target_worthwhile: false,
                ..refusal
            });
        }
        if self.has_room_for(arrival.rank.priority) && !self.queue.outranks(arrival.rank) {
            self.pressure.observe(now_us, arrival.kind, 0);
            self.start(now_us, arrival.call, arrival.rank.priority, arrival.kind);
            return Offer {
                outcome: Admitted::Start,
                evicted: Vec::new(),
            };
        }
        let offer = self.enqueue(now_us, arrival);
        if let Admitted::Refused(_) = offer.outcome {
            self.observe_refusal(now_us, arrival.kind);
        }
        offer
    }

    /// Takes in the end of a call at the target.
    pub fn finish(&mut self, now_us: u64, call: CallKey, ended: Ended) -> Released {
        let is_saturated = self.in_flight() >= self.limit.current();
        let Some(running) = self.running.remove(&call) else {
            return Released::default();
        };
        if running.priority == Priority::Background {
            self.background_running -= 1;
        }
        let elapsed_us = now_us.saturating_sub(running.started_us);
        self.service_times
            .record(now_us, running.kind, elapsed_us, ended);
        self.limit.record(now_us, elapsed_us, ended, is_saturated);
        self.release(now_us)
    }

    /// Cancels a call whose caller gave up.
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
    pub fn expire(&mut self, now_us: u64) -> Released {
        self.release(now_us)
    }

    /// Returns the time at which [`Admission::expire`] has something to do.
    pub fn next_expiry_us(&self) -> Option<u64> {
        let first = self.queue.first()?;
        if self.has_room_for(first.rank.priority) {
            return Some(0);
        }
        let times = &self.service_times;
        self.queue
            .earliest_us(|call| times.latest_start_us(call.deadline_us, call.kind))
    }

    /// Returns the pressure on the target, from 0 to 1.
    pub fn pressure(&mut self, now_us: u64) -> f64 {
        self.pressure.current(now_us)
    }

    /// A call that was refused would have had to wait for the whole queue.
    fn observe_refusal(&mut self, now_us: u64, kind: WorkKind) {
        let wait_us = self.wait_us(now_us, self.queue.len());
        let least_us = u64::from(self.settings.queue_wait_max_ms) * 1_000;
        self.pressure.observe(now_us, kind, wait_us.max(least_us));
    }

    /// Returns what entry daemons are told of this guard's load.
    pub fn load(&self) -> LoadReport {
        LoadReport {
            threshold: threshold::threshold(&self.queue, self.queue_len_bound()),
            in_flight: self.in_flight(),
            limit: self.limit.current(),
            queued: self.queue.len(),
            is_leaving: false,
            pressure_permille: 0,
            service_us: u32::try_from(self.service_times.mean_us()).unwrap_or(u32::MAX),
        }
    }

    fn in_flight(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    /// Says whether a call of a priority may be sent to the target now.
    fn has_room_for(&self, priority: Priority) -> bool {
        let limit = self.limit.current();
        if self.in_flight() >= limit {
            return false;
        }
        if priority > Priority::Background {
            return true;
        }
        self.background_running < self.background_max(limit)
    }

    /// Background calls leave at least one slot to others.
    fn background_max(&self, limit: u32) -> u32 {
        let share = limit * self.settings.background_share_max_percent / 100;
        share.max(1).min(limit.saturating_sub(1))
    }

    fn start(&mut self, now_us: u64, call: CallKey, priority: Priority, kind: WorkKind) {
        if priority == Priority::Background {
            self.background_running += 1;
        }
        let running = Running {
            started_us: now_us,
            priority,
            kind,
        };
        self.running.insert(call, running);
    }

    /// Says whether a call that starts after a wait is expected to end before its deadline.
    fn can_finish(&self, now_us: u64, wait_us: u64, arrival: Arrival) -> bool {
        let ends_us = now_us
            .saturating_add(wait_us)
            .saturating_add(self.service_times.expected_need_us(now_us, arrival.kind));
        ends_us < arrival.deadline_us
    }

    fn enqueue(&mut self, now_us: u64, arrival: Arrival) -> Offer {
        let ahead = self.queue.ahead_of(arrival.rank);
        let wait_us = self.wait_us(now_us, ahead);
        if !self.can_finish(now_us, wait_us, arrival) {
            let refusal = self.refusal(now_us, RefusalReason::Deadline);
            return Offer::refused(refusal);
        }
        if ahead >= self.queue_len_bound() {
            let refusal = self.refusal(now_us, RefusalReason::Overload);
            return Offer::refused(refusal);
        }
        let mut evicted = Vec::new();
        for least in self.queue.shrink_to(self.queue_len_bound() - 1) {
            evicted.push(Evicted {
                call: least.call,
                refusal: self.refusal(now_us, RefusalReason::Overload),
            });
        }
        self.next_sequence += 1;
        self.queue.push(Waiting {
            queued_us: now_us,
            rank: arrival.rank,
            sequence: self.next_sequence,
            call: arrival.call,
            deadline_us: arrival.deadline_us,
            kind: arrival.kind,
        });
        Offer {
            outcome: Admitted::Queued,
            evicted,
        }
    }

    /// Starts queued calls, most important first, and refuses those that can't finish.
    fn release(&mut self, now_us: u64) -> Released {
        let mut released = Released::default();
        let times = &self.service_times;
        let latest_start_us = |call: &Waiting| times.latest_start_us(call.deadline_us, call.kind);
        for late in self.queue.take_late(now_us, latest_start_us) {
            self.observe_refusal(now_us, late.kind);
            released.evicted.push(Evicted {
                call: late.call,
                refusal: Refusal {
                    is_other_target_worthwhile: false,
                    ..self.refusal(now_us, RefusalReason::Deadline)
                },
            });
        }
        while let Some(first) = self.queue.first() {
            if !self.has_room_for(first.rank.priority) {
                break;
            }
            let Some(first) = self.queue.pop_first() else {
                break;
            };
            let wait_us = now_us.saturating_sub(first.queued_us);
            self.pressure.observe(now_us, first.kind, wait_us);
            self.start(now_us, first.call, first.rank.priority, first.kind);
            released.started.push(first.call);
        }
        released
    }

    /// Returns the time that a call waits behind others in the queue.
    fn wait_us(&self, now_us: u64, ahead: u32) -> u64 {
        let limit = u64::from(self.limit.current().max(1));
        (u64::from(ahead) + 1) * self.service_times.expected_us(now_us) / limit
    }

    /// Returns the number of calls that may wait, bounded by count and by time.
    fn queue_len_bound(&self) -> u32 {
        let limit = self.limit.current();
        let service_us = self.service_times.mean_us().max(1);
        let wait_max_us = u64::from(self.settings.queue_wait_max_ms) * 1_000;
        let by_time = u64::from(limit) * wait_max_us / service_us;
        let by_time = u32::try_from(by_time).unwrap_or(u32::MAX);
        by_time.max(1).min(self.settings.queue_len_max)
    }

    fn refusal(&self, now_us: u64, reason: RefusalReason) -> Refusal {
        let drain_us = self.wait_us(now_us, self.queue.len());
        let drain_ms = u32::try_from(drain_us / 1_000).unwrap_or(u32::MAX);
        Refusal {
            reason,
            retry_after_ms: drain_ms.clamp(RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS),
            is_other_target_worthwhile: true,
        }
    }
}

impl Offer {
    fn refused(refusal: Refusal) -> Self {
        Self {
            outcome: Admitted::Refused(refusal),
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
