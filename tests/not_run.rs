//! Whole nodes under faults: what was refused as "not run" is in no target's log, then or later.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;
#[path = "support/network.rs"]
mod network;
#[path = "support/nodes.rs"]
mod nodes;

use dragonflylug::calls::entry;
use dragonflylug::config::{self, Policy, RequestKind, ServiceRecord, Submission};
use dragonflylug::headers;
use dragonflylug::ids::{CallKey, Priority, RequestId};
use dragonflylug::kernel::{CallReply, Event, Notice, TargetOutcome};
use dragonflylug::metrics::{Counter, RetryReason};
use dragonflylug::operator::OperatorRequest;
use dragonflylug::request::{CallRequest, ClaimKey, RunKey};
use dragonflylug::run_once::Ticket;
use dragonflylug::settings::Settings;
use dragonflylug::verdict::{RefusalReason, Verdict};
use network::{Network, PlatformFault, ok_answer};
use nodes::{NodePlan, SETTLE_US, add_node, announcement, call, request};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SERVICE: &str = "permits";
const SLOTS: u32 = 2;
const ENTRIES: usize = 2;
const GUARDS: std::ops::Range<usize> = 2..5;
const TICK_US: u64 = 2_000;
const TICKS: u64 = 300;
const HEDGE_AFTER_MS: u32 = 15;
/// The time after the last call in which a late run would show.
const AFTERMATH_US: u64 = 60_000_000;

/// Something that goes wrong.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Kill(usize),
    Pause(usize),
    Cut(usize, usize),
    Heal,
    Stop(usize),
    Drain(usize),
    Silent(usize),
    TargetLoses(usize),
    TargetRefuses(usize),
    TargetSlow(usize),
    TargetGood(usize),
    Platform(PlatformFault),
}

/// What callers do beside plain calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Habit {
    Plain,
    GoAway,
    Repeat,
    WrongService,
    SpoiltTicket,
    UseTicketAgain,
}

/// A run: the calls of each tick, what callers do, and the faults by tick.
#[derive(Clone, Debug)]
struct Run {
    calls_per_tick: u32,
    deadlines_ms: std::ops::Range<u32>,
    habit: Habit,
    faults: Vec<(u64, Fault)>,
}

/// A call and how its callers go on with it.
struct Sent {
    key: CallKey,
    node: usize,
    request: CallRequest,
}

struct World {
    network: Network,
    rng: ChaCha8Rng,
    sent: Vec<Sent>,
    seen: Vec<usize>,
    tickets: Vec<Ticket>,
    not_run: Vec<(RequestId, RefusalReason)>,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut network = Network::new(500);
        let settings = Settings::default();
        for (number, zone) in [(1, "a"), (2, "b")] {
            let plan = NodePlan {
                number,
                zone,
                service: None,
                slots: 0,
            };
            add_node(&mut network, &settings, &plan);
        }
        for (number, zone) in [(3, "a"), (4, "b"), (5, "c")] {
            let plan = NodePlan {
                number,
                zone,
                service: Some(SERVICE),
                slots: SLOTS,
            };
            let node = add_node(&mut network, &settings, &plan);
            set_target(&mut network, node, 10_000, |_| true);
        }
        network.run_until(SETTLE_US);
        let request = OperatorRequest::Submit(hedged_lookups());
        let call = CallKey(0);
        network.event(0, config::NAME, Event::OperatorRequest { call, request });
        network.run_until(2 * SETTLE_US);
        Self {
            network,
            rng: ChaCha8Rng::seed_from_u64(seed),
            sent: Vec::new(),
            seen: vec![0; ENTRIES],
            tickets: Vec::new(),
            not_run: Vec::new(),
        }
    }

    fn run(&mut self, run: &Run) {
        for tick in 0..TICKS {
            for (at, fault) in &run.faults {
                if *at == tick {
                    self.fault(*fault);
                }
            }
            for _ in 0..run.calls_per_tick {
                self.send_one(run);
            }
            self.network.run_until(self.network.now_us + TICK_US);
            self.hear(run.habit);
        }
        self.network.run_until(self.network.now_us + AFTERMATH_US);
        self.hear(run.habit);
    }

    fn send_one(&mut self, run: &Run) {
        let kind = self.rng.random_range(0..10);
        let method = if kind < 6 { "GET" } else { "POST" };
        let mut request = request(SERVICE, method, "/");
        request.deadline_left_ms = Some(self.rng.random_range(run.deadlines_ms.clone()));
        request.request = Some(RequestId(self.sent.len() as u64 + 1));
        request.is_repeat = run.habit == Habit::Repeat;
        if run.habit == Habit::WrongService && kind == 0 {
            request.service = "nothing".into();
        }
        if kind == 9 {
            request.run_key = RunKey::Claim(ClaimKey {
                key: format!("key-{}", self.sent.len()),
                is_first_attempt: true,
            });
        } else if kind >= 6
            && let Some(mut ticket) = self.tickets.pop()
        {
            if run.habit == Habit::SpoiltTicket {
                ticket.sequence += 1 << 40;
            }
            request.run_key = RunKey::Ticket(ticket);
        }
        let node = self.rng.random_range(0..ENTRIES);
        self.send(node, request);
        if run.habit == Habit::GoAway && self.rng.random_bool(0.3) {
            let gone = Event::CallerGone(CallKey(self.sent.len() as u64));
            self.network.event(node, entry::NAME, gone);
        }
    }

    fn send(&mut self, node: usize, request: CallRequest) {
        let key = self.sent.len() as u64 + 1;
        self.sent.push(Sent {
            key: CallKey(key),
            node,
            request: request.clone(),
        });
        call(&mut self.network, node, key, request);
    }

    fn hear(&mut self, habit: Habit) {
        for node in 0..ENTRIES {
            while let Some((_, key, reply)) = self.network.nodes[node].replies.get(self.seen[node])
            {
                let (key, reply) = (*key, reply.clone());
                self.seen[node] += 1;
                self.end(key, reply, habit);
            }
        }
    }

    fn end(&mut self, key: CallKey, reply: CallReply, habit: Habit) {
        self.tickets.extend(&reply.tickets);
        self.tickets.truncate(50);
        let Verdict::NotRun(refusal) = reply.verdict else {
            return;
        };
        let sent = &self.sent[key.0 as usize - 1];
        assert_eq!(sent.key, key);
        let (node, request) = (sent.node, sent.request.clone());
        let id = request.request.expect("each call is named");
        self.not_run.push((id, refusal.reason));
        let is_ticket = matches!(request.run_key, RunKey::Ticket(_));
        let is_first = refusal.reason != RefusalReason::TicketVoid;
        if habit == Habit::UseTicketAgain && is_ticket && is_first {
            self.send(node, request);
        }
    }

    fn fault(&mut self, fault: Fault) {
        let network = &mut self.network;
        match fault {
            Fault::Kill(node) => network.kill(node),
            Fault::Pause(node) => network.pause(node, network.now_us + 100_000),
            Fault::Cut(one, other) => {
                network.passes = Box::new(move |from, to| (from, to) != (one, other));
            }
            Fault::Heal => network.passes = Box::new(|_, _| true),
            Fault::Stop(node) => network.notice(node, Notice::StopRequested),
            Fault::Drain(node) => {
                let mut announcement = announcement(SERVICE, SLOTS);
                announcement.is_draining = true;
                network.notice(node, Notice::TargetAnnounced(announcement));
            }
            Fault::Silent(node) => network.notice(node, Notice::TargetSilent),
            Fault::TargetLoses(node) => set_target(network, node, 10_000, |at| at % 2 == 0),
            Fault::TargetRefuses(node) => {
                network.nodes[node].target = Box::new(|_, _| (TargetOutcome::NotSent, 100));
            }
            Fault::TargetSlow(node) => set_target(network, node, 60_000, |_| true),
            Fault::TargetGood(node) => set_target(network, node, 10_000, |_| true),
            Fault::Platform(fault) => network.platform_fault = fault,
        }
    }

    /// Checks that no request which was refused as "not run" is in a target's log.
    fn check(&self) {
        let mut ran = Vec::new();
        for node in &self.network.nodes {
            for (_, http) in &node.runs {
                let is_it =
                    |header: &&dragonflylug::request::Header| header.name == headers::REQUEST;
                let header = http.headers.iter().find(is_it).expect("a run is named");
                ran.extend(headers::parse_request_id(&header.value));
            }
        }
        ran.sort_unstable();
        for (id, reason) in &self.not_run {
            let is_run = ran.binary_search(id).is_ok();
            assert!(!is_run, "{id:?} was refused as {reason:?} and ran");
        }
    }
}

fn set_target(
    network: &mut Network,
    node: usize,
    service_us: u64,
    answers: impl Fn(u64) -> bool + 'static,
) {
    let mut count = 0;
    network.nodes[node].target = Box::new(move |_, _| {
        count += 1;
        match answers(count) {
            true => (TargetOutcome::Answered(ok_answer()), service_us),
            false => (TargetOutcome::Lost, service_us),
        }
    });
}

fn hedged_lookups() -> Submission {
    let policy = Policy {
        priority: Priority::Normal,
        is_idempotent: true,
        retries: 3,
        deadline_ms: 1_000,
        hedge_after_ms: HEDGE_AFTER_MS,
    };
    let kind = RequestKind {
        method: "GET".into(),
        path_prefix: "/".into(),
        policy,
    };
    let record = ServiceRecord {
        schema_version: 2,
        service: SERVICE.into(),
        kinds: vec![kind],
    };
    Submission {
        change_id: "hedge".into(),
        expected_version: 0,
        records: vec![record],
        removed: Vec::new(),
    }
}

const QUIET: Run = Run {
    calls_per_tick: 1,
    deadlines_ms: 200..400,
    habit: Habit::Plain,
    faults: Vec::new(),
};

/// The same fault at each guard.
fn at_each_guard(tick: u64, fault: impl Fn(usize) -> Fault) -> Vec<(u64, Fault)> {
    GUARDS.map(|guard| (tick, fault(guard))).collect()
}

/// Checks a run, and that it brought about the refusals it is meant for.
fn check_refusals((run, reasons): (Run, &[RefusalReason])) {
    let mut world = World::new(4);
    world.run(&run);
    world.check();
    for reason in reasons {
        let mut count = 0;
        for (_, seen) in &world.not_run {
            count += usize::from(seen == reason);
        }
        println!(
            "{count} refused as {reason:?} of {} calls",
            world.sent.len()
        );
        assert!(count > 0, "{reason:?} does not come about");
    }
    let hedges = world.network.counted(Counter::retry(RetryReason::Hedge));
    let has_retries = run.habit != Habit::Repeat;
    assert!(hedges > 0 || !has_retries, "nothing was hedged");
}

cases! { check_refusals:
    overload => (
        Run { calls_per_tick: 4, ..QUIET },
        &[RefusalReason::Overload, RefusalReason::Threshold, RefusalReason::TicketNeeded],
    ),
    short_deadlines => (
        Run { calls_per_tick: 2, deadlines_ms: 1..40, ..QUIET },
        &[RefusalReason::Deadline],
    ),
    callers_that_go_away => (
        Run { habit: Habit::GoAway, ..QUIET }, &[RefusalReason::Cancelled],
    ),
    callers_that_repeat_hard => (
        Run { habit: Habit::Repeat, ..QUIET }, &[RefusalReason::RetryBudget],
    ),
    a_service_that_nobody_serves => (
        Run { habit: Habit::WrongService, ..QUIET }, &[RefusalReason::UnknownService],
    ),
    tickets_that_nobody_issued => (
        Run { habit: Habit::SpoiltTicket, ..QUIET }, &[RefusalReason::BadRequest],
    ),
    tickets_that_were_refused => (
        Run { habit: Habit::UseTicketAgain, calls_per_tick: 4, ..QUIET },
        &[RefusalReason::TicketVoid],
    ),
    every_target_stops => (
        Run { faults: at_each_guard(100, Fault::Stop), ..QUIET },
        &[RefusalReason::Leaving, RefusalReason::NoTarget],
    ),
    every_target_drains => (
        Run { faults: at_each_guard(100, Fault::Drain), ..QUIET },
        &[RefusalReason::Leaving, RefusalReason::NoTarget],
    ),
    every_target_falls_silent => (
        Run { faults: at_each_guard(100, Fault::Silent), ..QUIET },
        &[RefusalReason::TargetNotReady],
    ),
    every_target_refuses_connections => (
        Run { faults: at_each_guard(100, Fault::TargetRefuses), ..QUIET },
        &[RefusalReason::TargetNotReady],
    ),
    every_guard_is_killed => (
        Run { faults: at_each_guard(100, Fault::Kill), ..QUIET },
        &[RefusalReason::Unreachable],
    ),
    the_table_is_down => (
        Run { faults: vec![(0, Fault::Platform(PlatformFault::Down))], ..QUIET },
        &[RefusalReason::TableUnavailable],
    ),
}

fn faults() -> impl Strategy<Value = Fault> {
    let any = 0..5_usize;
    let guard = GUARDS;
    prop_oneof![
        guard.clone().prop_map(Fault::Kill),
        any.clone().prop_map(Fault::Pause),
        (any.clone(), any).prop_map(|(one, other)| Fault::Cut(one, other)),
        Just(Fault::Heal),
        guard.clone().prop_map(Fault::Stop),
        guard.clone().prop_map(Fault::Drain),
        guard.clone().prop_map(Fault::Silent),
        guard.clone().prop_map(Fault::TargetLoses),
        guard.clone().prop_map(Fault::TargetRefuses),
        guard.clone().prop_map(Fault::TargetSlow),
        guard.prop_map(Fault::TargetGood),
        prop_oneof![
            Just(PlatformFault::None),
            Just(PlatformFault::Down),
            Just(PlatformFault::AnswerLost),
            Just(PlatformFault::Slow(50_000)),
        ]
        .prop_map(Fault::Platform),
    ]
}

fn runs() -> impl Strategy<Value = Run> {
    let habit = prop_oneof![
        Just(Habit::Plain),
        Just(Habit::GoAway),
        Just(Habit::Repeat),
        Just(Habit::UseTicketAgain),
    ];
    let faults = prop::collection::vec((0..TICKS, faults()), 0..12);
    (1..4_u32, 5..300_u32, habit, faults).prop_map(|(calls_per_tick, least_ms, habit, faults)| {
        Run {
            calls_per_tick,
            deadlines_ms: least_ms..least_ms * 2,
            habit,
            faults,
        }
    })
}

proptest! {
    #![proptest_config(Config {
        cases: 60,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(4),
        ..Config::default()
    })]

    #[test]
    fn what_was_refused_as_not_run_never_ran(run in runs(), seed in any::<u64>()) {
        let mut world = World::new(seed);
        world.run(&run);
        world.check();
    }
}
