//! Targets that lose the answers of half of their requests at once, replayed through the choice of
//! targets alone.
//!
//! Such a target has few requests in flight, so by its load it is the best. Each of many daemons
//! sends it a request now and then only, and sees few of the losses.

#[path = "support/routers.rs"]
mod routers;

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use dragonflylug::ids::{Priority, WorkKind};
use dragonflylug::kernel::Kernel;
use dragonflylug::request::{LoadReport, Rank};
use dragonflylug::routing::{AttemptOutcome, NAME, Router, TargetQuery};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use routers::{SERVICE, new_sender, target_id, target_of};

const SECOND_US: u64 = 1_000_000;
const END_US: u64 = 12 * SECOND_US;
const LOSING_FROM_US: u64 = 5 * SECOND_US;
const LOSING_UNTIL_US: u64 = 9 * SECOND_US;
const RECOVERED_US: u64 = 11 * SECOND_US;

const SENDERS: usize = 40;
const TARGETS: usize = 12;
/// The first targets lose answers.
const LOSING_TARGETS: usize = 6;
const SLOTS: u32 = 12;
const SERVICE_US: u64 = 40_000;
/// Two fifths of what all targets can process.
const REQUESTS_PER_S: u64 = 1_440;

/// The weight of a new outcome in the share of lost answers that a guard reports.
const OUTCOME_WEIGHT: f64 = 0.05;

#[derive(Clone, Copy, Default)]
struct SimulatedTarget {
    running: u32,
    lost_share: f64,
}

impl SimulatedTarget {
    fn report(&self, reports_losses: bool) -> LoadReport {
        let lost_permille = (self.lost_share * 1_000.0) as u16;
        LoadReport {
            threshold: Rank::MIN,
            in_flight: self.running,
            limit: SLOTS,
            queued: 0,
            is_leaving: false,
            pressure_permille: 0,
            rate_wait_us: 0,
            lost_permille: if reports_losses { lost_permille } else { 0 },
            service_us: SERVICE_US as u32,
            ..LoadReport::default()
        }
    }
}

/// The end of a request: its sender and target, when it was sent, and whether its answer is lost.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct End {
    sender: usize,
    target: usize,
    sent_us: u64,
    is_lost: bool,
}

/// The shares of requests that went to the losing targets while they lost answers, and after they
/// had recovered.
struct Shares {
    losing: f64,
    recovered: f64,
}

fn simulate(reports_losses: bool) -> Shares {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let mut senders: Vec<Kernel> = (0..SENDERS as u64)
        .map(|id| new_sender(1 + id, TARGETS, SLOTS))
        .collect();
    let mut targets = [SimulatedTarget::default(); TARGETS];
    let mut ends: BinaryHeap<Reverse<(u64, End)>> = BinaryHeap::new();
    let mut starts_us: Vec<u64> = Vec::new();
    for _ in 0..REQUESTS_PER_S * END_US / SECOND_US {
        starts_us.push(rng.random_range(0..END_US));
    }
    starts_us.sort_unstable();
    let mut counts = [[0_u32; 2]; 2];
    for now_us in starts_us {
        while let Some(Reverse((ended_us, end))) = ends.peek().copied()
            && ended_us <= now_us
        {
            ends.pop();
            let target = &mut targets[end.target];
            target.running -= 1;
            let value = f64::from(u8::from(end.is_lost));
            target.lost_share += OUTCOME_WEIGHT * (value - target.lost_share);
            let outcome = match end.is_lost {
                true => AttemptOutcome::Lost,
                false => AttemptOutcome::Answered,
            };
            let load = target.report(reports_losses);
            let member = target_id(end.target);
            let latency_us = ended_us - end.sent_us;
            let router: &mut Router = senders[end.sender].find(NAME).unwrap();
            router.record_outcome(ended_us, member, outcome, latency_us, Some(load));
        }
        let sender = rng.random_range(0..SENDERS);
        let query = TargetQuery {
            service: &SERVICE.into(),
            rank: Rank::of_priority(Priority::Normal),
            kind: WorkKind::default(),
            excluded: &[],
        };
        let router: &mut Router = senders[sender].find(NAME).unwrap();
        let member = router.choose(now_us, &mut rng, &query).unwrap().member;
        router.record_sent(now_us, member);
        let target = target_of(member);
        targets[target].running += 1;
        let is_losing = target < LOSING_TARGETS;
        let loses_now = (LOSING_FROM_US..LOSING_UNTIL_US).contains(&now_us);
        if loses_now {
            counts[0][usize::from(is_losing)] += 1;
        } else if now_us >= RECOVERED_US {
            counts[1][usize::from(is_losing)] += 1;
        }
        let is_lost = loses_now && is_losing && rng.random_bool(0.5);
        let service_us = if is_lost { 500 } else { SERVICE_US };
        let end = End {
            sender,
            target,
            sent_us: now_us,
            is_lost,
        };
        ends.push(Reverse((now_us + service_us, end)));
    }
    let share = |counts: [u32; 2]| f64::from(counts[1]) / f64::from(counts[0] + counts[1]);
    let shares = Shares {
        losing: share(counts[0]),
        recovered: share(counts[1]),
    };
    println!(
        "{:.3} while losing, {:.3} after",
        shares.losing, shares.recovered
    );
    shares
}

/// The share of requests that the losing targets would get if all were equal.
const EQUAL_SHARE: f64 = LOSING_TARGETS as f64 / TARGETS as f64;

#[test]
fn targets_that_lose_answers_get_few_requests_and_their_share_back_afterwards() {
    let shares = simulate(true);
    assert!(shares.losing < EQUAL_SHARE / 2.0);
    assert!(shares.recovered > EQUAL_SHARE * 0.8);
}

#[test]
fn without_reports_targets_that_lose_answers_keep_more_than_half_of_their_share() {
    assert!(simulate(false).losing > EQUAL_SHARE / 2.0);
}
