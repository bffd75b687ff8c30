//! Admission control: which calls start, wait or are refused, by rank, slots and deadline.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;

use dragonflylug::admission::{
    Admission, AdmissionOutcome, AdmissionSettings, Arrival, CallOutcome, CancelOutcome,
    DequeuedCalls, EvictedCall, OfferResult,
};
use dragonflylug::ids::{CallKey, Priority};
use dragonflylug::request::Rank;
use dragonflylug::verdict::RefusalReason;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const SERVICE_US: u64 = 10_000;
/// A deadline that no test reaches.
const FAR_DEADLINE_US: u64 = 60_000_000;

fn rank(priority: Priority, root_rank: u16) -> Rank {
    Rank {
        priority,
        root_rank,
    }
}

fn arrival(call: u64, rank: Rank, deadline_us: u64) -> Arrival {
    Arrival {
        call: CallKey(call),
        rank,
        deadline_us,
        kind: Default::default(),
    }
}

fn reason(offer: &OfferResult) -> Option<RefusalReason> {
    match offer.outcome {
        AdmissionOutcome::Refused(refusal) => Some(refusal.reason),
        AdmissionOutcome::Start | AdmissionOutcome::Queued => None,
    }
}

/// Creates an admission control whose target has taken `SERVICE_US` for a call that started at
/// time 0.
fn admission(slots: u32, queue_len_max: u32) -> Admission {
    let mut admission = Admission::new(AdmissionSettings {
        queue_len_max,
        ..AdmissionSettings::default()
    });
    admission.set_slots(0, slots);
    let first = arrival(u64::MAX, rank(Priority::Normal, 0), FAR_DEADLINE_US);
    assert_eq!(admission.offer(0, first).outcome, AdmissionOutcome::Start);
    admission.finish(SERVICE_US, CallKey(u64::MAX), CallOutcome::Answered);
    admission
}

/// Occupies a number of slots with calls of normal priority, numbered from 100.
fn fill(admission: &mut Admission, count: u64) {
    for call in 100..100 + count {
        let offered = admission.offer(
            SERVICE_US,
            arrival(call, rank(Priority::Normal, 9), FAR_DEADLINE_US),
        );
        assert_eq!(offered.outcome, AdmissionOutcome::Start);
    }
}

#[test]
fn queued_calls_start_by_descending_rank_then_oldest_first() {
    let mut admission = admission(1, 10);
    fill(&mut admission, 1);
    let ranks = [
        (1, rank(Priority::Low, 7)),
        (2, rank(Priority::Critical, 1)),
        (3, rank(Priority::Normal, 5)),
        (4, rank(Priority::Normal, 5)),
        (5, rank(Priority::Normal, 8)),
    ];
    for (call, rank) in ranks {
        let offered = admission.offer(SERVICE_US, arrival(call, rank, FAR_DEADLINE_US));
        assert_eq!(offered.outcome, AdmissionOutcome::Queued);
    }
    let mut order = vec![CallKey(100)];
    while let Some(&last) = order.last() {
        let dequeued = admission.finish(SERVICE_US, last, CallOutcome::Answered);
        if dequeued.started.is_empty() {
            break;
        }
        order.extend(dequeued.started);
    }
    assert_eq!(order, [100, 2, 5, 3, 4, 1].map(CallKey));
}

#[test]
fn a_full_queue_evicts_its_lowest_ranked_call() {
    let mut admission = admission(1, 2);
    fill(&mut admission, 1);
    for (call, root_rank) in [(1, 5), (2, 6)] {
        admission.offer(
            SERVICE_US,
            arrival(call, rank(Priority::Normal, root_rank), FAR_DEADLINE_US),
        );
    }
    assert_eq!(admission.load(0).threshold, rank(Priority::Normal, 6));
    let lower = admission.offer(
        SERVICE_US,
        arrival(3, rank(Priority::Normal, 5), FAR_DEADLINE_US),
    );
    assert_eq!(reason(&lower), Some(RefusalReason::Overload));
    let higher = admission.offer(
        SERVICE_US,
        arrival(4, rank(Priority::High, 0), FAR_DEADLINE_US),
    );
    assert_eq!(higher.outcome, AdmissionOutcome::Queued);
    assert_eq!(higher.evicted[0].call, CallKey(1));
    assert_eq!(higher.evicted[0].refusal.reason, RefusalReason::Overload);
    assert!(higher.evicted[0].refusal.is_other_target_worthwhile);
}

#[test]
fn background_calls_leave_slots_to_others() {
    let mut admission = admission(8, 10);
    let mut started = 0;
    for call in 0..8 {
        let offered = admission.offer(
            SERVICE_US,
            arrival(call, rank(Priority::Background, 0), FAR_DEADLINE_US),
        );
        started += u32::from(offered.outcome == AdmissionOutcome::Start);
    }
    assert_eq!(
        started, 2,
        "background calls may use a quarter of the slots"
    );
    let critical = admission.offer(
        SERVICE_US,
        arrival(50, rank(Priority::Critical, 0), FAR_DEADLINE_US),
    );
    assert_eq!(critical.outcome, AdmissionOutcome::Start);
}

struct DeadlineCase {
    /// The time until the deadline.
    left_us: u64,
    /// The number of calls that wait already.
    queued: u64,
    /// Whether the refusal says that another target may accept the call; `None` for no refusal.
    is_other_target_worthwhile: Option<bool>,
}

fn check_deadline(case: DeadlineCase) {
    let mut admission = admission(1, 100);
    fill(&mut admission, 1);
    for call in 0..case.queued {
        admission.offer(
            SERVICE_US,
            arrival(call, rank(Priority::High, 0), FAR_DEADLINE_US),
        );
    }
    let deadline_us = SERVICE_US + case.left_us;
    let offered = admission.offer(
        SERVICE_US,
        arrival(50, rank(Priority::Normal, 0), deadline_us),
    );
    match offered.outcome {
        AdmissionOutcome::Refused(refusal) => {
            assert_eq!(refusal.reason, RefusalReason::Deadline);
            let is_worthwhile = Some(refusal.is_other_target_worthwhile);
            assert_eq!(is_worthwhile, case.is_other_target_worthwhile);
        }
        other => assert_eq!(
            (other, case.is_other_target_worthwhile),
            (AdmissionOutcome::Queued, None)
        ),
    }
}

cases! { check_deadline:
    a_call_with_no_more_time_left_than_the_service_time_is_refused => DeadlineCase {
        left_us: SERVICE_US, queued: 0, is_other_target_worthwhile: Some(false),
    },
    a_call_with_time_left_for_wait_and_service_is_queued => DeadlineCase {
        left_us: 2 * SERVICE_US + 1, queued: 0, is_other_target_worthwhile: None,
    },
    a_call_that_the_queue_would_delay_too_long_may_go_to_another_target => DeadlineCase {
        left_us: 4 * SERVICE_US, queued: 3, is_other_target_worthwhile: Some(true),
    },
}

#[test]
fn a_queued_call_is_refused_when_it_can_no_longer_finish() {
    let mut admission = admission(1, 10);
    fill(&mut admission, 1);
    let deadline_us = 4 * SERVICE_US;
    admission.offer(SERVICE_US, arrival(1, rank(Priority::High, 0), deadline_us));
    let expiry_us = admission.next_queue_update_us(0).unwrap();
    assert_eq!(expiry_us, 3 * SERVICE_US);
    assert_eq!(admission.update_queue(expiry_us - 1).evicted, []);
    let evicted = admission.update_queue(expiry_us).evicted;
    assert_eq!(evicted[0].call, CallKey(1));
    assert_eq!(evicted[0].refusal.reason, RefusalReason::Deadline);
    assert!(!evicted[0].refusal.is_other_target_worthwhile);
    assert_eq!(admission.next_queue_update_us(0), None);
}

#[test]
fn a_cancelled_call_occupies_its_slot_until_it_ends() {
    let mut admission = admission(1, 10);
    fill(&mut admission, 1);
    admission.offer(
        SERVICE_US,
        arrival(1, rank(Priority::Normal, 0), FAR_DEADLINE_US),
    );
    admission.offer(
        SERVICE_US,
        arrival(2, rank(Priority::Normal, 0), FAR_DEADLINE_US),
    );
    assert_eq!(
        admission.cancel(SERVICE_US, CallKey(1)),
        CancelOutcome::RemovedFromQueue
    );
    assert_eq!(
        admission.cancel(SERVICE_US, CallKey(100)),
        CancelOutcome::InFlight
    );
    assert_eq!(
        admission.cancel(SERVICE_US, CallKey(77)),
        CancelOutcome::Unknown
    );
    assert_eq!(admission.load(0).in_flight, 1);
    let dequeued = admission.finish(SERVICE_US, CallKey(100), CallOutcome::Cancelled);
    assert_eq!(dequeued.started, [CallKey(2)]);
}

#[test]
fn slots_that_are_added_are_used_by_queued_calls() {
    let mut admission = admission(1, 10);
    fill(&mut admission, 1);
    admission.offer(
        SERVICE_US,
        arrival(1, rank(Priority::Normal, 0), FAR_DEADLINE_US),
    );
    admission.set_slots(SERVICE_US, 2);
    assert!(admission.next_queue_update_us(0).unwrap() <= SERVICE_US);
    assert_eq!(admission.update_queue(SERVICE_US).started, [CallKey(1)]);
}

/// The largest slot count must not cause an arithmetic overflow in the concurrency limit.
#[test]
fn the_largest_announced_slot_count_does_not_overflow() {
    let mut admission = admission(u32::MAX, 10);
    fill(&mut admission, 1_000);
    let background = arrival(1, rank(Priority::Background, 0), FAR_DEADLINE_US);
    assert_eq!(
        admission.offer(SERVICE_US, background).outcome,
        AdmissionOutcome::Start
    );
    admission.finish(2 * SERVICE_US, CallKey(1), CallOutcome::Answered);
    for call in 100..1_100 {
        admission.finish(2 * SERVICE_US, CallKey(call), CallOutcome::Answered);
    }
    assert_eq!(admission.load(0).in_flight, 0);
}

#[test]
fn a_target_without_slots_gets_no_call() {
    let mut admission = Admission::new(AdmissionSettings::default());
    let offered = admission.offer(0, arrival(1, rank(Priority::Critical, 0), FAR_DEADLINE_US));
    assert_eq!(reason(&offered), Some(RefusalReason::TargetNotReady));
}

/// An operation on an admission control.
#[derive(Clone, Debug)]
enum Operation {
    Offer(Rank, u64),
    Finish(usize),
    Cancel(u64),
    UpdateQueue,
}

fn operation() -> impl Strategy<Value = Operation> {
    let rank = (0..5_usize, 0..4_u16).prop_map(|(index, root)| rank(Priority::ALL[index], root));
    prop_oneof![
        5 => (rank, 1..20 * SERVICE_US)
            .prop_map(|(rank, left_us)| Operation::Offer(rank, left_us)),
        3 => (0..4_usize).prop_map(Operation::Finish),
        1 => (0..100_u64).prop_map(Operation::Cancel),
        1 => Just(Operation::UpdateQueue),
    ]
}

/// A model of an admission control: each call is queued, running or gone.
///
/// It checks that no call is lost and that queued calls are served and evicted by rank.
#[derive(Default)]
struct Model {
    ranks: Vec<Rank>,
    queued: Vec<CallKey>,
    running: Vec<CallKey>,
}

impl Model {
    fn rank(&self, call: CallKey) -> Rank {
        self.ranks[call.0 as usize]
    }

    fn remove_from_queue(&mut self, call: CallKey) {
        let index = self.queued.iter().position(|other| *other == call);
        self.queued
            .remove(index.expect("the call should be queued"));
    }

    fn apply_evictions(&mut self, evicted: &[EvictedCall]) {
        for evicted in evicted {
            self.remove_from_queue(evicted.call);
            if evicted.refusal.reason == RefusalReason::Overload {
                self.check_overload_refusal(self.rank(evicted.call));
            }
        }
    }

    fn check_overload_refusal(&self, rank: Rank) {
        for other in &self.queued {
            assert!(
                self.rank(*other) >= rank,
                "a call of a lower rank stayed in the queue"
            );
        }
    }

    fn apply_dequeued(&mut self, dequeued: &DequeuedCalls) {
        self.apply_evictions(&dequeued.evicted);
        for call in &dequeued.started {
            self.remove_from_queue(*call);
            self.running.push(*call);
            for other in &self.queued {
                assert!(
                    self.rank(*other) <= self.rank(*call),
                    "a call of a lower rank was served first"
                );
            }
        }
    }

    fn apply_offer(&mut self, call: CallKey, offer: &OfferResult) {
        self.apply_evictions(&offer.evicted);
        match offer.outcome {
            AdmissionOutcome::Start => self.running.push(call),
            AdmissionOutcome::Queued => self.queued.push(call),
            AdmissionOutcome::Refused(refusal) if refusal.reason == RefusalReason::Overload => {
                self.check_overload_refusal(self.rank(call));
            }
            AdmissionOutcome::Refused(_) => {}
        }
    }

    fn check(&self, admission: &Admission) {
        let load = admission.load(0);
        assert_eq!(load.in_flight as usize, self.running.len());
        assert_eq!(load.queued as usize, self.queued.len());
        assert!(load.in_flight <= load.limit);
        let mut background = 0;
        for call in &self.running {
            background += u32::from(self.rank(*call).priority == Priority::Background);
        }
        assert!(background < load.limit, "background calls occupy all slots");
    }
}

fn check_operations(operations: Vec<Operation>) {
    let mut admission = admission(4, 6);
    let mut model = Model::default();
    let mut now_us = SERVICE_US;
    for operation in operations {
        now_us += SERVICE_US / 4;
        match operation {
            Operation::Offer(rank, left_us) => {
                let call = CallKey(model.ranks.len() as u64);
                model.ranks.push(rank);
                let offer = admission.offer(now_us, arrival(call.0, rank, now_us + left_us));
                model.apply_offer(call, &offer);
            }
            Operation::Finish(index) => {
                if index >= model.running.len() {
                    continue;
                }
                let call = model.running.remove(index);
                model.apply_dequeued(&admission.finish(now_us, call, CallOutcome::Answered));
            }
            Operation::Cancel(call) => match admission.cancel(now_us, CallKey(call)) {
                CancelOutcome::RemovedFromQueue => model.remove_from_queue(CallKey(call)),
                CancelOutcome::InFlight => assert!(model.running.contains(&CallKey(call))),
                CancelOutcome::Unknown => {
                    assert!(!model.running.contains(&CallKey(call)));
                    assert!(!model.queued.contains(&CallKey(call)));
                }
            },
            Operation::UpdateQueue => model.apply_dequeued(&admission.update_queue(now_us)),
        }
        model.check(&admission);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn calls_are_served_in_order_and_none_is_lost(
        operations in prop::collection::vec(operation(), 1..150),
    ) {
        check_operations(operations);
    }
}
