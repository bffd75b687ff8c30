//! Calls matched by a route, between complete nodes: retries, attempts at another target after one
//! that was not reached (placements), and requests that may not run twice.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;
#[path = "support/network.rs"]
mod network;
#[path = "support/nodes.rs"]
mod nodes;
#[path = "support/routed.rs"]
mod routed;

use dragonflylug::calls::entry::EntrySettings;
use dragonflylug::kernel::TargetOutcome;
use dragonflylug::retry::{ServiceBudgetSettings, ServiceBudgets};
use dragonflylug::routes::RouteTerms;
use dragonflylug::settings::Settings;
use dragonflylug::verdict::Verdict;
use network::Network;
use nodes::{CONVERGENCE_US, NodeSpec, add_node_with_routes, call};
use routed::{PAYMENT, READ, ok_outcome, route_table, routed_request};

const SERVICE: &str = "bookings";
const TARGETS: u16 = 3;

/// The outcomes at the first target and at the others, with the expected verdict.
struct OutcomeCase {
    terms: RouteTerms,
    first: TargetOutcome,
    others: TargetOutcome,
    expected: &'static str,
    runs_max: usize,
}

fn settings() -> Settings {
    Settings {
        entry: EntrySettings {
            placements_max: 4,
            ..EntrySettings::default()
        },
        ..Settings::default()
    }
}

/// Creates an entry node without a target, and nodes with one target each.
fn network() -> Network {
    let mut network = Network::new(500);
    network.route_table = Some(route_table(1, Vec::new()));
    for number in 0..=TARGETS {
        let spec = NodeSpec {
            number: 1 + number,
            zone: "zone-1",
            service: (number > 0).then_some(SERVICE),
            slots: 8,
        };
        add_node_with_routes(&mut network, &settings(), &spec);
    }
    network.run_until(CONVERGENCE_US);
    network
}

fn check_outcomes(case: OutcomeCase) {
    let mut network = network();
    for node in 1..=usize::from(TARGETS) {
        let outcome = match node {
            1 => case.first.clone(),
            _ => case.others.clone(),
        };
        network.nodes[node].target = Box::new(move |_, _| (outcome.clone(), 1_000));
    }
    for id in 1..=30 {
        call(&mut network, 0, id, routed_request(SERVICE, case.terms, id));
        let until_us = network.now_us + 100_000;
        network.run_until(until_us);
    }
    let until_us = network.now_us + 3_000_000;
    network.run_until(until_us);
    assert_eq!(network.nodes[0].replies.len(), 30);
    for (_, key, reply) in &network.nodes[0].replies {
        assert_eq!(reply.verdict.name(), case.expected, "call {key:?}");
    }
    assert!(
        count_runs(&network) <= case.runs_max,
        "{}",
        count_runs(&network)
    );
}

fn count_runs(network: &Network) -> usize {
    network.nodes.iter().map(|node| node.runs.len()).sum()
}

cases! { check_outcomes:
    a_target_that_cannot_be_reached_is_skipped => OutcomeCase {
        terms: PAYMENT,
        first: TargetOutcome::NotSent,
        others: ok_outcome(),
        expected: "ran",
        runs_max: 30,
    },
    a_payment_that_may_have_run_is_not_retried => OutcomeCase {
        terms: PAYMENT,
        first: TargetOutcome::Lost,
        others: TargetOutcome::Lost,
        expected: "may-have-run",
        runs_max: 30,
    },
    a_payment_that_reaches_no_target_is_reported_as_not_run => OutcomeCase {
        terms: PAYMENT,
        first: TargetOutcome::NotSent,
        others: TargetOutcome::NotSent,
        expected: "not-run",
        runs_max: 0,
    },
    reads_whose_answers_are_lost_are_retried_within_the_budget => OutcomeCase {
        terms: READ,
        first: TargetOutcome::Lost,
        others: TargetOutcome::Lost,
        expected: "may-have-run",
        // The first attempts, and the retry budget of the service: its floor (`repeats_floor`)
        // and its 7 % of the requests (`repeats_percent`).
        runs_max: 30 + 1 + 30 * 7 / 100,
    },
}

#[test]
fn the_timeout_of_a_route_bounds_a_call() {
    let mut network = network();
    for node in 1..=usize::from(TARGETS) {
        network.nodes[node].target = Box::new(|_, _| (ok_outcome(), 60_000_000));
    }
    let mut request = routed_request(SERVICE, READ, 1);
    request.deadline_left_ms = Some(5_000);
    let sent_us = network.now_us;
    call(&mut network, 0, 1, request);
    network.run_until(sent_us + 6_000_000);
    let (replied_us, _, reply) = &network.nodes[0].replies[0];
    assert_eq!((replied_us - sent_us) / 1_000, u64::from(READ.timeout_ms));
    assert!(matches!(reply.verdict, Verdict::MayHaveRun(_)));
}

/// The number of calls sent just before the crash; those at the crashed daemon lose their
/// connection.
const CALLS_AT_CRASH: u64 = 6;

/// How long a target works on each call.
const WORK_US: u64 = 400_000;

#[test]
fn reads_at_a_daemon_that_crashes_are_retried_at_another() {
    let mut network = network();
    for node in 1..=usize::from(TARGETS) {
        network.nodes[node].target = Box::new(|_, _| (ok_outcome(), WORK_US));
    }
    for id in 1..=100 {
        call(&mut network, 0, id, routed_request(SERVICE, READ, id));
        let until_us = network.now_us + WORK_US / 10;
        network.run_until(until_us);
    }
    for id in 101..=100 + CALLS_AT_CRASH {
        call(&mut network, 0, id, routed_request(SERVICE, READ, id));
    }
    let until_us = network.now_us + WORK_US / 2;
    network.run_until(until_us);
    let before = count_runs(&network);
    network.kill_and_close_connections(1);
    let until_us = network.now_us + 3_000_000;
    network.run_until(until_us);
    assert!(
        count_runs(&network) > before,
        "no call was at the daemon that crashed"
    );
    for (_, key, reply) in &network.nodes[0].replies {
        assert_eq!(reply.verdict.name(), "ran", "call {key:?}");
    }
    assert_eq!(network.nodes[0].replies.len() as u64, 100 + CALLS_AT_CRASH);
}

/// A period without requests, and the repeats (attempts that spend the budget of the service) that
/// are allowed after it.
struct IdleCase {
    idle_s: u64,
    expected: u32,
}

fn check_budget_after_idle_time(case: IdleCase) {
    let settings = ServiceBudgetSettings {
        window_ms: 10_000,
        repeats_percent: 10,
        repeats_floor: 1,
        ..ServiceBudgetSettings::default()
    };
    let mut budgets = ServiceBudgets::new(settings);
    let service = SERVICE.into();
    for second in 0..10 {
        for _ in 0..20 {
            budgets.record_request(second * 1_000_000, &service);
        }
    }
    let now_us = (9 + case.idle_s) * 1_000_000;
    let mut spent = 0;
    while budgets.spend(now_us, &service) {
        spent += 1;
    }
    assert_eq!(spent, case.expected);
}

cases! { check_budget_after_idle_time:
    requests_of_the_current_window_count => IdleCase { idle_s: 0, expected: 21 },
    requests_count_in_full_after_half_a_window_without_any => IdleCase { idle_s: 5, expected: 21 },
    requests_count_in_full_after_a_window_without_any => IdleCase { idle_s: 10, expected: 21 },
    requests_do_not_count_after_two_windows_without_any => IdleCase { idle_s: 20, expected: 1 },
}

#[test]
fn repeats_are_limited_to_a_share_of_the_requests_in_a_window() {
    let settings = ServiceBudgetSettings {
        window_ms: 10_000,
        repeats_percent: 10,
        repeats_floor: 1,
        ..ServiceBudgetSettings::default()
    };
    let mut budgets = ServiceBudgets::new(settings);
    let service = SERVICE.into();
    for _ in 0..50 {
        budgets.record_request(0, &service);
    }
    let mut spent = 0;
    while budgets.spend(9_000_000, &service) {
        spent += 1;
    }
    assert_eq!(spent, 6);
    assert!(
        !budgets.spend(10_500_000, &service),
        "the repeats in this window are spent"
    );
    assert!(budgets.spend(20_000_000, &service));
    assert!(!budgets.spend(20_000_000, &service));
}
