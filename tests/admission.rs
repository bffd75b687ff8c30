//! Admission: what is sent, waits or is refused, by rank, slots and deadline.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;

use dragonflylug::admission::{
    Admission, AdmissionSettings, Admitted, Arrival, CancelOutcome, Ended, Offer,
};
use dragonflylug::ids::{CallKey, Priority};
use dragonflylug::request::Rank;
use dragonflylug::verdict::RefusalReason;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const SERVICE_US: u64 = 10_000;
const FAR_US: u64 = 60_000_000;

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

fn reason(offer: &Offer) -> Option<RefusalReason> {
    match offer.outcome {
        Admitted::Refused(refusal) => Some(refusal.reason),
        Admitted::Start | Admitted::Queued => None,
    }
}

/// An admission whose target has taken `SERVICE_US` for a request, at time 0.
fn admission(slots: u32, queue_len_max: u32) -> Admission {
    let mut admission = Admission::new(AdmissionSettings {
        queue_len_max,
        ..AdmissionSettings::default()
    });
    admission.set_slots(0, slots);
    let first = arrival(u64::MAX, rank(Priority::Normal, 0), FAR_US);
    assert_eq!(admission.offer(0, first).outcome, Admitted::Start);
    admission.finish(SERVICE_US, CallKey(u64::MAX), Ended::Answered);
    admission
}

/// Offers normal calls, numbered from 100, until the slots are taken.
fn fill(admission: &mut Admission, count: u64) {
    for call in 100..100 + count {
        let offered = admission.offer(SERVICE_US, arrival(call, rank(Priority::Normal, 9), FAR_US));
        assert_eq!(offered.outcome, Admitted::Start);
    }
}

#[test]
fn queued_calls_start_most_important_first_then_oldest() {
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
        let offered = admission.offer(SERVICE_US, arrival(call, rank, FAR_US));
        assert_eq!(offered.outcome, Admitted::Queued);
    }
    let mut order = vec![CallKey(100)];
    while let Some(&last) = order.last() {
        let released = admission.finish(SERVICE_US, last, Ended::Answered);
        if released.started.is_empty() {
            break;
        }
        order.extend(released.started);
    }
    assert_eq!(order, [100, 2, 5, 3, 4, 1].map(CallKey));
}

#[test]
fn a_full_queue_gives_up_its_least_important_call() {
    let mut admission = admission(1, 2);
    fill(&mut admission, 1);
    for (call, root_rank) in [(1, 5), (2, 6)] {
        admission.offer(
            SERVICE_US,
            arrival(call, rank(Priority::Normal, root_rank), FAR_US),
        );
    }
    assert_eq!(admission.load().threshold, rank(Priority::Normal, 6));
    let lesser = admission.offer(SERVICE_US, arrival(3, rank(Priority::Normal, 5), FAR_US));
    assert_eq!(reason(&lesser), Some(RefusalReason::Overload));
    let greater = admission.offer(SERVICE_US, arrival(4, rank(Priority::High, 0), FAR_US));
    assert_eq!(greater.outcome, Admitted::Queued);
    assert_eq!(greater.evicted[0].call, CallKey(1));
    assert_eq!(greater.evicted[0].refusal.reason, RefusalReason::Overload);
    assert!(greater.evicted[0].refusal.is_other_target_worthwhile);
}

#[test]
fn background_calls_leave_slots_to_others() {
    let mut admission = admission(8, 10);
    let mut started = 0;
    for call in 0..8 {
        let offered = admission.offer(
            SERVICE_US,
            arrival(call, rank(Priority::Background, 0), FAR_US),
        );
        started += u32::from(offered.outcome == Admitted::Start);
    }
    assert_eq!(started, 2, "a quarter of the slots");
    let payout = admission.offer(SERVICE_US, arrival(50, rank(Priority::Critical, 0), FAR_US));
    assert_eq!(payout.outcome, Admitted::Start);
}

struct DeadlineCase {
    left_us: u64,
    queued: u64,
    /// Whether another target may do better than the refusal; `None` for no refusal.
    is_other_target_worthwhile: Option<bool>,
}

fn check_deadline(case: DeadlineCase) {
    let mut admission = admission(1, 100);
    fill(&mut admission, 1);
    for call in 0..case.queued {
        admission.offer(SERVICE_US, arrival(call, rank(Priority::High, 0), FAR_US));
    }
    let deadline_us = SERVICE_US + case.left_us;
    let offered = admission.offer(
        SERVICE_US,
        arrival(50, rank(Priority::Normal, 0), deadline_us),
    );
    match offered.outcome {
        Admitted::Refused(refusal) => {
            assert_eq!(refusal.reason, RefusalReason::Deadline);
            let is_worthwhile = Some(refusal.is_other_target_worthwhile);
            assert_eq!(is_worthwhile, case.is_other_target_worthwhile);
        }
        other => assert_eq!(
            (other, case.is_other_target_worthwhile),
            (Admitted::Queued, None)
        ),
    }
}

cases! { check_deadline:
    a_deadline_shorter_than_the_service_time_is_refused => DeadlineCase {
        left_us: SERVICE_US, queued: 0, is_other_target_worthwhile: Some(false),
    },
    a_deadline_after_wait_and_service_is_queued => DeadlineCase {
        left_us: 2 * SERVICE_US + 1, queued: 0, is_other_target_worthwhile: None,
    },
    a_deadline_that_the_queue_uses_up_may_be_met_elsewhere => DeadlineCase {
        left_us: 4 * SERVICE_US, queued: 3, is_other_target_worthwhile: Some(true),
    },
}

#[test]
fn a_queued_call_is_refused_when_it_can_no_longer_finish() {
    let mut admission = admission(1, 10);
    fill(&mut admission, 1);
    let deadline_us = 4 * SERVICE_US;
    admission.offer(SERVICE_US, arrival(1, rank(Priority::High, 0), deadline_us));
    let expiry_us = admission.next_expiry_us().unwrap();
    assert_eq!(expiry_us, 3 * SERVICE_US);
    assert_eq!(admission.expire(expiry_us - 1).evicted, []);
    let evicted = admission.expire(expiry_us).evicted;
    assert_eq!(evicted[0].call, CallKey(1));
    assert_eq!(evicted[0].refusal.reason, RefusalReason::Deadline);
    assert!(!evicted[0].refusal.is_other_target_worthwhile);
    assert_eq!(admission.next_expiry_us(), None);
}

#[test]
fn a_cancelled_call_holds_its_slot_until_it_ends() {
    let mut admission = admission(1, 10);
    fill(&mut admission, 1);
    admission.offer(SERVICE_US, arrival(1, rank(Priority::Normal, 0), FAR_US));
    admission.offer(SERVICE_US, arrival(2, rank(Priority::Normal, 0), FAR_US));
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
    assert_eq!(admission.load().in_flight, 1);
    let released = admission.finish(SERVICE_US, CallKey(100), Ended::Cancelled);
    assert_eq!(released.started, [CallKey(2)]);
}

#[test]
fn slots_that_are_added_are_used_by_queued_calls() {
    let mut admission = admission(1, 10);
    fill(&mut admission, 1);
    admission.offer(SERVICE_US, arrival(1, rank(Priority::Normal, 0), FAR_US));
    admission.set_slots(SERVICE_US, 2);
    assert!(admission.next_expiry_us().unwrap() <= SERVICE_US);
    assert_eq!(admission.expire(SERVICE_US).started, [CallKey(1)]);
}

#[test]
fn any_announced_number_of_slots_is_borne() {
    let mut admission = admission(u32::MAX, 10);
    fill(&mut admission, 1_000);
    let check = arrival(1, rank(Priority::Background, 0), FAR_US);
    assert_eq!(admission.offer(SERVICE_US, check).outcome, Admitted::Start);
    admission.finish(2 * SERVICE_US, CallKey(1), Ended::Answered);
    for call in 100..1_100 {
        admission.finish(2 * SERVICE_US, CallKey(call), Ended::Answered);
    }
    assert_eq!(admission.load().in_flight, 0);
}

#[test]
fn a_target_without_slots_gets_nothing() {
    let mut admission = Admission::new(AdmissionSettings::default());
    let offered = admission.offer(0, arrival(1, rank(Priority::Critical, 0), FAR_US));
    assert_eq!(reason(&offered), Some(RefusalReason::TargetNotReady));
}

/// One thing that happens to an admission.
#[derive(Clone, Debug)]
enum Act {
    Offer(Rank, u64),
    Finish(usize),
    Cancel(u64),
    Expire,
}

fn act() -> impl Strategy<Value = Act> {
    let rank = (0..5_usize, 0..4_u16).prop_map(|(at, root)| rank(Priority::ALL[at], root));
    prop_oneof![
        5 => (rank, 1..20 * SERVICE_US).prop_map(|(rank, left_us)| Act::Offer(rank, left_us)),
        3 => (0..4_usize).prop_map(Act::Finish),
        1 => (0..100_u64).prop_map(Act::Cancel),
        1 => Just(Act::Expire),
    ]
}

/// What a test expects of an admission: each call is in one place.
#[derive(Default)]
struct Expected {
    ranks: Vec<Rank>,
    queued: Vec<CallKey>,
    running: Vec<CallKey>,
}

impl Expected {
    fn rank(&self, call: CallKey) -> Rank {
        self.ranks[call.0 as usize]
    }

    fn leave_queue(&mut self, call: CallKey) {
        let at = self.queued.iter().position(|other| *other == call);
        self.queued.remove(at.expect("the call was queued"));
    }

    fn evict(&mut self, evicted: &[dragonflylug::admission::Evicted]) {
        for evicted in evicted {
            self.leave_queue(evicted.call);
            if evicted.refusal.reason == RefusalReason::Overload {
                self.refused_for_room(self.rank(evicted.call));
            }
        }
    }

    fn refused_for_room(&self, rank: Rank) {
        for other in &self.queued {
            assert!(self.rank(*other) >= rank, "a lesser call kept its place");
        }
    }

    fn release(&mut self, released: &dragonflylug::admission::Released) {
        self.evict(&released.evicted);
        for call in &released.started {
            self.leave_queue(*call);
            self.running.push(*call);
            for other in &self.queued {
                assert!(self.rank(*other) <= self.rank(*call), "served out of order");
            }
        }
    }

    fn offered(&mut self, call: CallKey, offer: &Offer) {
        self.evict(&offer.evicted);
        match offer.outcome {
            Admitted::Start => self.running.push(call),
            Admitted::Queued => self.queued.push(call),
            Admitted::Refused(refusal) if refusal.reason == RefusalReason::Overload => {
                self.refused_for_room(self.rank(call));
            }
            Admitted::Refused(_) => {}
        }
    }

    fn check(&self, admission: &Admission) {
        let load = admission.load();
        assert_eq!(load.in_flight as usize, self.running.len());
        assert_eq!(load.queued as usize, self.queued.len());
        assert!(load.in_flight <= load.limit);
        let mut background = 0;
        for call in &self.running {
            background += u32::from(self.rank(*call).priority == Priority::Background);
        }
        assert!(background < load.limit, "background calls hold all slots");
    }
}

fn check_acts(acts: Vec<Act>) {
    let mut admission = admission(4, 6);
    let mut expected = Expected::default();
    let mut now_us = SERVICE_US;
    for act in acts {
        now_us += SERVICE_US / 4;
        match act {
            Act::Offer(rank, left_us) => {
                let call = CallKey(expected.ranks.len() as u64);
                expected.ranks.push(rank);
                let offer = admission.offer(now_us, arrival(call.0, rank, now_us + left_us));
                expected.offered(call, &offer);
            }
            Act::Finish(at) => {
                if at >= expected.running.len() {
                    continue;
                }
                let call = expected.running.remove(at);
                expected.release(&admission.finish(now_us, call, Ended::Answered));
            }
            Act::Cancel(call) => match admission.cancel(now_us, CallKey(call)) {
                CancelOutcome::RemovedFromQueue => expected.leave_queue(CallKey(call)),
                CancelOutcome::InFlight => assert!(expected.running.contains(&CallKey(call))),
                CancelOutcome::Unknown => {
                    assert!(!expected.running.contains(&CallKey(call)));
                    assert!(!expected.queued.contains(&CallKey(call)));
                }
            },
            Act::Expire => expected.release(&admission.expire(now_us)),
        }
        expected.check(&admission);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn calls_are_served_in_order_and_none_is_lost(acts in prop::collection::vec(act(), 1..150)) {
        check_acts(acts);
    }
}
