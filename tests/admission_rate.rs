//! Admission under a rate limit that the target names: how many calls start in any window, and which.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;

use dragonflylug::admission::{
    Admission, AdmissionOutcome, AdmissionSettings, Arrival, CallOutcome, DequeuedCalls,
};
use dragonflylug::ids::{CallKey, Priority};
use dragonflylug::request::Rank;
use dragonflylug::target::{RateLimitState, RequestRate};
use dragonflylug::verdict::RefusalReason;

const MS: u64 = 1_000;
const SECOND: u64 = 1_000 * MS;
const STEP_US: u64 = 5 * MS;
const SERVICE_US: u64 = 50 * MS;
const WINDOW_US: u64 = 4 * SECOND;

/// The slots of the target, all of which the demand of one call each step would use.
const SLOTS: u32 = 40;

/// A change of what is known of the limit, at a time.
type Change = (u64, RateLimitState);

fn limited(per_s: &str) -> RateLimitState {
    RateLimitState::Limited(RequestRate::parse(per_s).unwrap())
}

/// An admission control under constant demand, and the times at which calls started.
struct Load {
    admission: Admission,
    running: Vec<(u64, CallKey)>,
    started: Vec<(u64, CallKey)>,
    refused: Vec<RefusalReason>,
}

impl Load {
    fn new() -> Self {
        let mut admission = Admission::new(AdmissionSettings {
            queue_wait_max_ms: 300,
            ..AdmissionSettings::default()
        });
        admission.set_slots(0, SLOTS);
        Self {
            admission,
            running: Vec::new(),
            started: Vec::new(),
            refused: Vec::new(),
        }
    }

    /// Offers a call of a priority at each step until a time, and applies changes when they are due.
    fn run(&mut self, until_us: u64, changes: &[Change], priority: impl Fn(u64) -> Priority) {
        let mut changes = changes.iter().peekable();
        for step in 0..until_us / STEP_US {
            let now_us = step * STEP_US;
            while let Some((_, state)) = changes.next_if(|change| change.0 <= now_us) {
                self.admission.set_rate_limit(now_us, *state);
            }
            self.end_calls(now_us);
            let dequeued = self.admission.update_queue(now_us);
            self.apply(now_us, dequeued);
            self.offer(now_us, CallKey(step), priority(step));
        }
    }

    fn end_calls(&mut self, now_us: u64) {
        let (ended, running) = self.running.drain(..).partition(|call| call.0 <= now_us);
        self.running = running;
        let ended: Vec<(u64, CallKey)> = ended;
        for (_, call) in ended {
            let dequeued = self.admission.finish(now_us, call, CallOutcome::Answered);
            self.apply(now_us, dequeued);
        }
    }

    fn offer(&mut self, now_us: u64, call: CallKey, priority: Priority) {
        let arrival = Arrival {
            call,
            rank: Rank::of_priority(priority),
            deadline_us: now_us + 10 * SECOND,
            kind: Default::default(),
        };
        let offer = self.admission.offer(now_us, arrival);
        for evicted in offer.evicted {
            self.refused.push(evicted.refusal.reason);
        }
        match offer.outcome {
            AdmissionOutcome::Start => self.start(now_us, call),
            AdmissionOutcome::Refused(refusal) => self.refused.push(refusal.reason),
            AdmissionOutcome::Queued => {}
        }
    }

    fn apply(&mut self, now_us: u64, dequeued: DequeuedCalls) {
        for call in dequeued.started {
            self.start(now_us, call);
        }
    }

    fn start(&mut self, now_us: u64, call: CallKey) {
        self.started.push((now_us, call));
        self.running.push((now_us + SERVICE_US, call));
    }

    /// Returns the greatest number of calls that started in a window which begins after a time.
    fn most_in_window(&self, after_us: u64) -> usize {
        let mut most = 0;
        for (index, (start_us, _)) in self.started.iter().enumerate() {
            if *start_us < after_us {
                continue;
            }
            let end = self
                .started
                .partition_point(|(at_us, _)| *at_us < start_us + WINDOW_US);
            most = most.max(end - index);
        }
        most
    }
}

fn of_normal_priority(_step: u64) -> Priority {
    Priority::Normal
}

/// Fails if more calls start in any window than the rule of the platform allows, or fewer than nine
/// in ten of what the limit allows.
fn check_paced((per_s, changes): (f64, Vec<Change>)) {
    let mut load = Load::new();
    load.run(20 * SECOND, &changes, of_normal_priority);
    let most = load.most_in_window(2 * SECOND) as f64;
    assert!(most <= 1.5 * per_s * 4.0 + 5.0, "{most} calls in 4 s");
    let from_us = 2 * SECOND;
    let count = load.started.iter().filter(|call| call.0 >= from_us).count();
    assert!(count as f64 >= 0.9 * per_s * 18.0 - 1.0, "{count} calls");
}

/// Names the limit and lifts it in turn, each for a time.
fn alternating(per_s: &str, period_us: u64) -> Vec<Change> {
    let mut changes = Vec::new();
    for turn in 0..20 * SECOND / period_us {
        let state = match turn.is_multiple_of(2) {
            true => limited(per_s),
            false => RateLimitState::Unlimited,
        };
        changes.push((SECOND + turn * period_us, state));
    }
    changes
}

cases! {
    check_paced:
    limit_is_exceeded => (8.4, vec![(SECOND, limited("8.4"))]),
    high_limit_is_exceeded => (60.0, vec![(SECOND, limited("60"))]),
    limit_below_one_is_exceeded => (0.5, vec![(SECOND, limited("0.5"))]),
    limit_that_is_named_anew_often_is_exceeded =>
        (8.4, (0..1_900).map(|turn| (SECOND + turn * 10 * MS, limited("8.4"))).collect()),
    limit_that_alternates_with_none_is_exceeded => (8.4, alternating("8.4", 20 * MS)),
    limit_that_alternates_slowly_with_none_is_exceeded => (8.4, alternating("8.4", 300 * MS)),
}

#[test]
fn limit_of_zero_lets_no_call_through_that_could_tell_its_end() {
    let mut load = Load::new();
    load.run(20 * SECOND, &[(0, limited("0"))], of_normal_priority);
    assert!(load.most_in_window(0) <= 5);
    assert!(load.started.len() >= 2);
}

#[test]
fn rate_stays_low_after_the_limit_is_lifted() {
    let mut load = Load::new();
    let changes = [(0, limited("0.5")), (4 * SECOND, RateLimitState::Unlimited)];
    load.run(16 * SECOND, &changes, of_normal_priority);
    let last_second = load
        .started
        .iter()
        .filter(|call| call.0 >= 15 * SECOND)
        .count();
    assert!(last_second as u64 >= SECOND / STEP_US - 1, "{last_second}");
}

#[test]
fn halved_limit_is_exceeded() {
    let mut load = Load::new();
    let changes = [(0, limited("20")), (8 * SECOND, limited("10"))];
    load.run(20 * SECOND, &changes, of_normal_priority);
    assert!(load.most_in_window(8 * SECOND) <= 45);
}

#[test]
fn urgent_calls_are_refused_while_others_start() {
    let mut load = Load::new();
    let every_tenth_is_critical = |step: u64| match step.is_multiple_of(10) {
        true => Priority::Critical,
        false => Priority::Low,
    };
    let changes = [(0, limited("30"))];
    load.run(10 * SECOND, &changes, every_tenth_is_critical);
    let critical = load
        .started
        .iter()
        .filter(|call| call.0 >= SECOND && call.1.0.is_multiple_of(10))
        .count();
    assert!(critical >= 176, "{critical} of 180 critical calls started");
    let by_rate = |reason: &&RefusalReason| **reason == RefusalReason::RateLimit;
    let count = load.refused.iter().filter(by_rate).count();
    assert!(count * 10 >= load.refused.len() * 9);
}

#[test]
fn refusal_names_a_time_before_the_rate_has_room() {
    let mut load = Load::new();
    load.run(2 * SECOND, &[(0, limited("1"))], of_normal_priority);
    let arrival = Arrival {
        call: CallKey(u64::MAX),
        rank: Rank::of_priority(Priority::Normal),
        deadline_us: 60 * SECOND,
        kind: Default::default(),
    };
    let offer = load.admission.offer(2 * SECOND, arrival);
    let AdmissionOutcome::Refused(refusal) = offer.outcome else {
        panic!("{:?}", offer.outcome);
    };
    assert_eq!(refusal.reason, RefusalReason::RateLimit);
    let wait_us = load.admission.load(2 * SECOND).rate_wait_us;
    assert!(u64::from(refusal.retry_after_ms) + 1 >= u64::from(wait_us) / MS);
    assert!(refusal.retry_after_ms >= 1_000);
}
