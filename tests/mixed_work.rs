//! Short and long work at the targets of one service, replayed through the choice of targets alone.
//!
//! A few daemons send many short calls, and many daemons send a long one now and then, as on a
//! deployment of many VMs. A target that has run long work must not be avoided by short calls while
//! calls wait elsewhere.

#[path = "support/routers.rs"]
mod routers;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use dragonflylug::ids::{Priority, RouteName, WorkKind};
use dragonflylug::kernel::Kernel;
use dragonflylug::request::{LoadReport, Rank};
use dragonflylug::routing::{AttemptOutcome, NAME, Router, TargetQuery};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use routers::{SERVICE, new_sender, target_id, target_of};

const SECOND_US: u64 = 1_000_000;
const END_US: u64 = 20 * SECOND_US;
/// The first seconds, in which daemons have not heard of all targets yet.
const WARM_UP_US: u64 = 5 * SECOND_US;

const TARGETS: usize = 12;
const SLOTS: usize = 11;
/// The speeds of the targets, in turn.
const SPEEDS: [f64; 3] = [0.6, 1.0, 1.4];

/// The daemons that send short calls, and those that send long ones.
const SHORT_SENDERS: usize = 6;
const LONG_SENDERS: usize = 40;

const SHORT_WORK_US: f64 = 40_000.0;
const LONG_WORK_US: f64 = 640_000.0;

/// The share of the capacity that is offered, and the share of the work that is long.
const OFFERED_SHARE: f64 = 0.97;
const LONG_SHARE: f64 = 0.3;

/// The latency target of the short calls, and the share of them that must meet it.
const SHORT_TARGET_US: u64 = 300_000;
const IN_TIME_MIN: f64 = 0.99;

/// The weight of a new sample in a target's mean service time.
const SAMPLE_WEIGHT: f64 = 1.0 / 16.0;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Work {
    Short,
    Long,
}

impl Work {
    fn kind(self) -> WorkKind {
        let name = match self {
            Self::Short => "short",
            Self::Long => "long",
        };
        WorkKind::of_route(Some(&RouteName::from(name)))
    }
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Call {
    sender: usize,
    work: Work,
    sent_us: u64,
}

#[derive(Default)]
struct SimulatedTarget {
    running: usize,
    queue: VecDeque<Call>,
    /// The mean service times of short, of long and of all work.
    means_us: [f64; 3],
}

impl SimulatedTarget {
    fn record(&mut self, work: Work, service_us: f64) {
        for mean_us in [work as usize, 2] {
            let mean_us = &mut self.means_us[mean_us];
            match *mean_us == 0.0 {
                true => *mean_us = service_us,
                false => *mean_us += SAMPLE_WEIGHT * (service_us - *mean_us),
            }
        }
    }

    fn report(&self, work: Option<Work>) -> LoadReport {
        LoadReport {
            threshold: Rank::MIN,
            in_flight: self.running as u32,
            limit: SLOTS as u32,
            queued: self.queue.len() as u32,
            is_leaving: false,
            pressure_permille: 0,
            rate_wait_us: 0,
            lost_permille: 0,
            service_us: self.means_us[work.map_or(2, |work| work as usize)] as u32,
            ..LoadReport::default()
        }
    }
}

/// An event of the simulation.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(usize, Work),
    End(usize, Call, u64),
}

struct Simulation {
    rng: ChaCha8Rng,
    senders: Vec<Kernel>,
    targets: Vec<SimulatedTarget>,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    /// Whether service times are compared by kind of work.
    compares_kinds: bool,
    latencies_us: Vec<u64>,
}

impl Simulation {
    fn new(compares_kinds: bool) -> Self {
        let mut senders = Vec::new();
        for sender in 0..SHORT_SENDERS + LONG_SENDERS {
            senders.push(new_sender(1 + sender as u64, TARGETS, SLOTS as u32));
        }
        Self {
            rng: ChaCha8Rng::seed_from_u64(3),
            senders,
            targets: (0..TARGETS).map(|_| SimulatedTarget::default()).collect(),
            events: BinaryHeap::new(),
            compares_kinds,
            latencies_us: Vec::new(),
        }
    }

    fn offer(&mut self, work: Work, senders: std::ops::Range<usize>, per_s: f64) {
        let count = (per_s * END_US as f64 / SECOND_US as f64) as usize;
        for _ in 0..count {
            let at_us = self.rng.random_range(0..END_US);
            let sender = self.rng.random_range(senders.clone());
            let event = Event::Arrival(sender, work);
            self.events.push(Reverse((at_us, event)));
        }
    }

    fn run(&mut self) {
        while let Some(Reverse((now_us, event))) = self.events.pop() {
            match event {
                Event::Arrival(sender, work) => self.send(now_us, sender, work),
                Event::End(target, call, service_us) => {
                    self.end(now_us, target, call, service_us);
                }
            }
        }
    }

    fn send(&mut self, now_us: u64, sender: usize, work: Work) {
        let service = SERVICE.into();
        let query = TargetQuery {
            service: &service,
            rank: Rank::of_priority(Priority::Normal),
            kind: self.kind(work),
            excluded: &[],
        };
        let router: &mut Router = self.senders[sender].find(NAME).unwrap();
        let member = router.choose(now_us, &mut self.rng, &query).unwrap().member;
        router.record_sent(now_us, member);
        let target = target_of(member);
        self.targets[target].queue.push_back(Call {
            sender,
            work,
            sent_us: now_us,
        });
        self.start_queued(now_us, target);
    }

    fn kind(&self, work: Work) -> WorkKind {
        match self.compares_kinds {
            true => work.kind(),
            false => WorkKind::default(),
        }
    }

    fn start_queued(&mut self, now_us: u64, target: usize) {
        let state = &mut self.targets[target];
        while state.running < SLOTS {
            let Some(call) = state.queue.pop_front() else {
                return;
            };
            state.running += 1;
            let mean_us = match call.work {
                Work::Short => SHORT_WORK_US,
                Work::Long => LONG_WORK_US,
            };
            let spread = self.rng.random_range(0.5..1.5);
            let service_us = (mean_us * spread / SPEEDS[target % SPEEDS.len()]) as u64;
            let end = Event::End(target, call, service_us);
            self.events.push(Reverse((now_us + service_us, end)));
        }
    }

    fn end(&mut self, now_us: u64, target: usize, call: Call, service_us: u64) {
        let state = &mut self.targets[target];
        state.running -= 1;
        state.record(call.work, service_us as f64);
        let report = state.report(self.compares_kinds.then_some(call.work));
        let latency_us = now_us - call.sent_us;
        let kind = self.kind(call.work);
        let member = target_id(target);
        let router: &mut Router = self.senders[call.sender].find(NAME).unwrap();
        let outcome = AttemptOutcome::Answered;
        router.record_outcome(now_us, member, outcome, latency_us, Some(report));
        router.record_kind_time(now_us, member, kind, report.service_us);
        if call.work == Work::Short && call.sent_us > WARM_UP_US {
            self.latencies_us.push(latency_us);
        }
        self.start_queued(now_us, target);
    }
}

/// Returns the share of short calls that end within their latency target.
fn in_time_share(compares_kinds: bool) -> f64 {
    let mut simulation = Simulation::new(compares_kinds);
    let speed_sum: f64 = (0..TARGETS).map(|target| SPEEDS[target % 3]).sum();
    let slots_busy = OFFERED_SHARE * SLOTS as f64 * speed_sum;
    let per_s = |share: f64, work_us: f64| slots_busy * share * SECOND_US as f64 / work_us;
    let short_per_s = per_s(1.0 - LONG_SHARE, SHORT_WORK_US);
    let long_per_s = per_s(LONG_SHARE, LONG_WORK_US);
    simulation.offer(Work::Short, 0..SHORT_SENDERS, short_per_s);
    let long_senders = SHORT_SENDERS..SHORT_SENDERS + LONG_SENDERS;
    simulation.offer(Work::Long, long_senders, long_per_s);
    simulation.run();
    let latencies_us = &simulation.latencies_us;
    let in_time = latencies_us.iter().filter(|us| **us <= SHORT_TARGET_US);
    let share = in_time.count() as f64 / latencies_us.len() as f64;
    println!("short calls in time: {share:.4} of {}", latencies_us.len());
    share
}

#[test]
fn short_calls_use_targets_that_have_run_long_work() {
    assert!(in_time_share(true) >= IN_TIME_MIN);
}

#[test]
fn without_kinds_short_calls_wait_although_other_targets_have_room() {
    assert!(in_time_share(false) < IN_TIME_MIN);
}
