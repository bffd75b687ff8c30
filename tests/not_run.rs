//! Complete nodes under faults: a request that was refused as "not run" never runs at any target,
//! neither before nor after the refusal.

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
use nodes::{CONVERGENCE_US, NodeSpec, add_node, announcement, call, request};
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
/// How long after the last call the check waits for late runs.
const LATE_RUN_WAIT_US: u64 = 60_000_000;

/// A fault to inject.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Kill(usize),
    Pause(usize),
    /// Cuts one direction of one link. A later cut replaces it.
    CutOneDirection {
        from: usize,
        to: usize,
    },
    Heal,
    Stop(usize),
    Drain(usize),
    TargetStopsAnnouncing(usize),
    TargetLosesAnswers(usize),
    TargetRefusesConnections(usize),
    TargetSlow(usize),
    TargetRecovers(usize),
    Platform(PlatformFault),
}

/// How callers deviate from normal calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Behaviour {
    Normal,
    /// They give up some calls right after sending them.
    Disconnect,
    /// They mark every call as a repeat.
    Repeat,
    /// They send some calls to a service that has no targets.
    UnknownService,
    /// They change each ticket to one that was never issued.
    UnissuedTicket,
    /// They use a ticket again after a refusal.
    ReuseTicket,
}

/// The load, the callers' behaviour and the faults by tick.
#[derive(Clone, Debug)]
struct Scenario {
    calls_per_tick: u32,
    deadlines_ms: std::ops::Range<u32>,
    behaviour: Behaviour,
    faults: Vec<(u64, Fault)>,
}

/// A call that was sent, kept so that the caller can send it again.
struct SentCall {
    key: CallKey,
    node: usize,
    request: CallRequest,
}

struct Simulation {
    network: Network,
    rng: ChaCha8Rng,
    sent: Vec<SentCall>,
    replies_read: Vec<usize>,
    tickets: Vec<Ticket>,
    not_run: Vec<(RequestId, RefusalReason)>,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut network = Network::new(500);
        let settings = Settings::default();
        for (number, zone) in [(1, "a"), (2, "b")] {
            let spec = NodeSpec {
                number,
                zone,
                service: None,
                slots: 0,
            };
            add_node(&mut network, &settings, &spec);
        }
        for (number, zone) in [(3, "a"), (4, "b"), (5, "c")] {
            let spec = NodeSpec {
                number,
                zone,
                service: Some(SERVICE),
                slots: SLOTS,
            };
            let node = add_node(&mut network, &settings, &spec);
            set_target(&mut network, node, 10_000, |_| true);
        }
        network.run_until(CONVERGENCE_US);
        let request = OperatorRequest::Submit(hedged_lookups());
        let call = CallKey(0);
        network.deliver_event(0, config::NAME, Event::OperatorRequest { call, request });
        network.run_until(2 * CONVERGENCE_US);
        Self {
            network,
            rng: ChaCha8Rng::seed_from_u64(seed),
            sent: Vec::new(),
            replies_read: vec![0; ENTRIES],
            tickets: Vec::new(),
            not_run: Vec::new(),
        }
    }

    fn run(&mut self, scenario: &Scenario) {
        for tick in 0..TICKS {
            for (fault_tick, fault) in &scenario.faults {
                if *fault_tick == tick {
                    self.inject(*fault);
                }
            }
            for _ in 0..scenario.calls_per_tick {
                self.send_one(scenario);
            }
            self.network.run_until(self.network.now_us + TICK_US);
            self.read_replies(scenario.behaviour);
        }
        self.network
            .run_until(self.network.now_us + LATE_RUN_WAIT_US);
        self.read_replies(scenario.behaviour);
    }

    fn send_one(&mut self, scenario: &Scenario) {
        let kind = self.rng.random_range(0..10);
        let method = if kind < 6 { "GET" } else { "POST" };
        let mut request = request(SERVICE, method, "/");
        request.deadline_left_ms = Some(self.rng.random_range(scenario.deadlines_ms.clone()));
        request.request = Some(RequestId(self.sent.len() as u64 + 1));
        request.is_repeat = scenario.behaviour == Behaviour::Repeat;
        if scenario.behaviour == Behaviour::UnknownService && kind == 0 {
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
            if scenario.behaviour == Behaviour::UnissuedTicket {
                ticket.sequence += 1 << 40;
            }
            request.run_key = RunKey::Ticket(ticket);
        }
        let node = self.rng.random_range(0..ENTRIES);
        self.send(node, request);
        if scenario.behaviour == Behaviour::Disconnect && self.rng.random_bool(0.3) {
            let gone = Event::CallerGone(CallKey(self.sent.len() as u64));
            self.network.deliver_event(node, entry::NAME, gone);
        }
    }

    fn send(&mut self, node: usize, request: CallRequest) {
        let key = self.sent.len() as u64 + 1;
        self.sent.push(SentCall {
            key: CallKey(key),
            node,
            request: request.clone(),
        });
        call(&mut self.network, node, key, request);
    }

    fn read_replies(&mut self, behaviour: Behaviour) {
        for node in 0..ENTRIES {
            while let Some((_, key, reply)) = self.network.nodes[node]
                .replies
                .get(self.replies_read[node])
            {
                let (key, reply) = (*key, reply.clone());
                self.replies_read[node] += 1;
                self.handle_reply(key, reply, behaviour);
            }
        }
    }

    fn handle_reply(&mut self, key: CallKey, reply: CallReply, behaviour: Behaviour) {
        self.tickets.extend(&reply.tickets);
        self.tickets.truncate(50);
        let Verdict::NotRun(refusal) = reply.verdict else {
            return;
        };
        let sent = &self.sent[key.0 as usize - 1];
        assert_eq!(sent.key, key);
        let (node, request) = (sent.node, sent.request.clone());
        let id = request.request.expect("each call has a request identifier");
        self.not_run.push((id, refusal.reason));
        let is_ticket = matches!(request.run_key, RunKey::Ticket(_));
        let is_first_use = refusal.reason != RefusalReason::TicketVoid;
        if behaviour == Behaviour::ReuseTicket && is_ticket && is_first_use {
            self.send(node, request);
        }
    }

    fn inject(&mut self, fault: Fault) {
        let network = &mut self.network;
        match fault {
            Fault::Kill(node) => network.kill(node),
            Fault::Pause(node) => network.pause(node, network.now_us + 100_000),
            Fault::CutOneDirection {
                from: cut_from,
                to: cut_to,
            } => {
                network.link_filter = Box::new(move |from, to| (from, to) != (cut_from, cut_to));
            }
            Fault::Heal => network.link_filter = Box::new(|_, _| true),
            Fault::Stop(node) => network.deliver_notice(node, Notice::StopRequested),
            Fault::Drain(node) => {
                let mut announcement = announcement(SERVICE, SLOTS);
                announcement.is_draining = true;
                network.deliver_notice(node, Notice::TargetAnnounced(announcement));
            }
            Fault::TargetStopsAnnouncing(node) => {
                network.deliver_notice(node, Notice::TargetSilent)
            }
            Fault::TargetLosesAnswers(node) => {
                set_target(network, node, 10_000, |count| count % 2 == 0)
            }
            Fault::TargetRefusesConnections(node) => {
                network.nodes[node].target = Box::new(|_, _| (TargetOutcome::NotSent, 100));
            }
            Fault::TargetSlow(node) => set_target(network, node, 60_000, |_| true),
            Fault::TargetRecovers(node) => set_target(network, node, 10_000, |_| true),
            Fault::Platform(fault) => network.platform_fault = fault,
        }
    }

    /// Checks that no request that was refused as "not run" ran at a target.
    fn check(&self) {
        let mut ran = Vec::new();
        for node in &self.network.nodes {
            for (_, http) in &node.runs {
                let is_request_id =
                    |header: &&dragonflylug::request::Header| header.name == headers::REQUEST;
                let header = http
                    .headers
                    .iter()
                    .find(is_request_id)
                    .expect("each run has a request identifier");
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

const BASELINE: Scenario = Scenario {
    calls_per_tick: 1,
    deadlines_ms: 200..400,
    behaviour: Behaviour::Normal,
    faults: Vec::new(),
};

/// Returns the same fault for each guard.
fn at_each_guard(tick: u64, fault: impl Fn(usize) -> Fault) -> Vec<(u64, Fault)> {
    GUARDS.map(|guard| (tick, fault(guard))).collect()
}

/// Checks a scenario, and that the refusals that it is meant to provoke occurred.
fn check_refusals((scenario, reasons): (Scenario, &[RefusalReason])) {
    let mut simulation = Simulation::new(4);
    simulation.run(&scenario);
    simulation.check();
    for reason in reasons {
        let mut count = 0;
        for (_, actual) in &simulation.not_run {
            count += usize::from(actual == reason);
        }
        println!(
            "{count} refused as {reason:?} of {} calls",
            simulation.sent.len()
        );
        assert!(count > 0, "{reason:?} does not occur");
    }
    let hedges = simulation
        .network
        .counter_total(Counter::retry(RetryReason::Hedge));
    let must_hedge = scenario.behaviour != Behaviour::Repeat;
    assert!(hedges > 0 || !must_hedge, "nothing was hedged");
}

cases! { check_refusals:
    overload => (
        Scenario { calls_per_tick: 4, ..BASELINE },
        &[RefusalReason::Overload, RefusalReason::Threshold, RefusalReason::TicketNeeded],
    ),
    short_deadlines => (
        Scenario { calls_per_tick: 2, deadlines_ms: 1..40, ..BASELINE },
        &[RefusalReason::Deadline],
    ),
    callers_that_disconnect => (
        Scenario { behaviour: Behaviour::Disconnect, ..BASELINE }, &[RefusalReason::Cancelled],
    ),
    callers_that_repeat_aggressively => (
        Scenario { behaviour: Behaviour::Repeat, ..BASELINE }, &[RefusalReason::RetryBudget],
    ),
    a_service_without_targets => (
        Scenario { behaviour: Behaviour::UnknownService, ..BASELINE },
        &[RefusalReason::UnknownService],
    ),
    tickets_that_were_never_issued => (
        Scenario { behaviour: Behaviour::UnissuedTicket, ..BASELINE }, &[RefusalReason::BadRequest],
    ),
    tickets_reused_after_a_refusal => (
        Scenario { behaviour: Behaviour::ReuseTicket, calls_per_tick: 4, ..BASELINE },
        &[RefusalReason::TicketVoid],
    ),
    every_target_stops => (
        Scenario { faults: at_each_guard(100, Fault::Stop), ..BASELINE },
        &[RefusalReason::Leaving, RefusalReason::NoTarget],
    ),
    every_target_drains => (
        Scenario { faults: at_each_guard(100, Fault::Drain), ..BASELINE },
        &[RefusalReason::Leaving, RefusalReason::NoTarget],
    ),
    every_target_stops_announcing_itself => (
        Scenario { faults: at_each_guard(100, Fault::TargetStopsAnnouncing), ..BASELINE },
        &[RefusalReason::TargetNotReady],
    ),
    every_target_refuses_connections => (
        Scenario { faults: at_each_guard(100, Fault::TargetRefusesConnections), ..BASELINE },
        &[RefusalReason::TargetNotReady],
    ),
    every_guard_is_killed => (
        Scenario { faults: at_each_guard(100, Fault::Kill), ..BASELINE },
        &[RefusalReason::Unreachable],
    ),
    the_platform_is_down => (
        Scenario { faults: vec![(0, Fault::Platform(PlatformFault::Down))], ..BASELINE },
        &[RefusalReason::TableUnavailable],
    ),
}

fn faults() -> impl Strategy<Value = Fault> {
    let any = 0..5_usize;
    let guard = GUARDS;
    prop_oneof![
        guard.clone().prop_map(Fault::Kill),
        any.clone().prop_map(Fault::Pause),
        (any.clone(), any).prop_map(|(from, to)| Fault::CutOneDirection { from, to }),
        Just(Fault::Heal),
        guard.clone().prop_map(Fault::Stop),
        guard.clone().prop_map(Fault::Drain),
        guard.clone().prop_map(Fault::TargetStopsAnnouncing),
        guard.clone().prop_map(Fault::TargetLosesAnswers),
        guard.clone().prop_map(Fault::TargetRefusesConnections),
        guard.clone().prop_map(Fault::TargetSlow),
        guard.prop_map(Fault::TargetRecovers),
        prop_oneof![
            Just(PlatformFault::None),
            Just(PlatformFault::Down),
            Just(PlatformFault::ResponseLost),
            Just(PlatformFault::Slow(50_000)),
        ]
        .prop_map(Fault::Platform),
    ]
}

fn scenarios() -> impl Strategy<Value = Scenario> {
    let behaviour = prop_oneof![
        Just(Behaviour::Normal),
        Just(Behaviour::Disconnect),
        Just(Behaviour::Repeat),
        Just(Behaviour::ReuseTicket),
    ];
    let faults = prop::collection::vec((0..TICKS, faults()), 0..12);
    (1..4_u32, 5..300_u32, behaviour, faults).prop_map(
        |(calls_per_tick, min_ms, behaviour, faults)| Scenario {
            calls_per_tick,
            deadlines_ms: min_ms..min_ms * 2,
            behaviour,
            faults,
        },
    )
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
    fn requests_refused_as_not_run_never_run(scenario in scenarios(), seed in any::<u64>()) {
        let mut simulation = Simulation::new(seed);
        simulation.run(&scenario);
        simulation.check();
    }
}
