//! End-to-end calls between complete nodes, in a simulated network with virtual time.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;
#[path = "support/network.rs"]
mod network;
#[path = "support/nodes.rs"]
mod nodes;

use std::cell::Cell;
use std::rc::Rc;

use dragonflylug::config::{Policy, RequestKind, ServiceRecord, Submission};
use dragonflylug::ids::{CallKey, Priority, RequestId};
use dragonflylug::kernel::{CallReply, Event, Notice, TargetOutcome};
use dragonflylug::metrics::{Counter, RetryReason};
use dragonflylug::operator::OperatorRequest;
use dragonflylug::request::{Answer, RunKey};
use dragonflylug::routing::Placement;
use dragonflylug::settings::Settings;
use dragonflylug::verdict::{RefusalReason, Verdict};
use network::{ChildCall, Network};
use nodes::{CONVERGENCE_US, NodeSpec, add_node, announcement, exchange, request};

/// Creates an entry node without a target and two guards of one service in two availability zones.
fn two_guards() -> Network {
    let mut network = Network::new(500);
    let settings = Settings::default();
    add_node(
        &mut network,
        &settings,
        &NodeSpec {
            number: 1,
            zone: "a",
            service: None,
            slots: 0,
        },
    );
    for (number, zone) in [(2, "a"), (3, "b")] {
        let spec = NodeSpec {
            number,
            zone,
            service: Some("lookups"),
            slots: 4,
        };
        add_node(&mut network, &settings, &spec);
    }
    network.run_until(CONVERGENCE_US);
    network
}

fn count_runs(network: &Network) -> usize {
    network.nodes.iter().map(|node| node.runs.len()).sum()
}

fn refusal(reply: &CallReply) -> Option<RefusalReason> {
    match &reply.verdict {
        Verdict::NotRun(refusal) => Some(refusal.reason),
        _ => None,
    }
}

/// Guards against a counter of requests to other zones that also counts those to the own zone.
fn check_other_zone_requests((entry_zone, expected): (&str, u64)) {
    let mut network = Network::new(500);
    let mut settings = Settings::default();
    settings.routing.placement = Placement::ExpectedTime;
    for (number, zone, service) in [(1, entry_zone, None), (2, "b", Some("lookups"))] {
        let spec = NodeSpec {
            number,
            zone,
            service,
            slots: 4,
        };
        add_node(&mut network, &settings, &spec);
    }
    network.run_until(CONVERGENCE_US);
    for call in 1..=3 {
        exchange(&mut network, 0, call, request("lookups", "GET", "/free"));
    }
    let counted = network.counter_total(Counter::unlabelled("other_zone_requests"));
    assert_eq!(counted, expected);
}

cases! { check_other_zone_requests:
    requests_to_another_zone_are_counted => ("a", 3),
    requests_to_the_own_zone_are_not_counted_as_to_another => ("b", 0),
}

#[test]
fn an_idempotent_call_gets_the_targets_answer() {
    let mut network = two_guards();
    let body = "3 May is free";
    for node in 1..3 {
        network.nodes[node].target = Box::new(move |_, _| {
            (
                TargetOutcome::Answered(Answer::new(200, Vec::new(), body.into())),
                3_000,
            )
        });
    }
    let reply = exchange(&mut network, 0, 1, request("lookups", "GET", "/free"));
    let Verdict::Ran(answer) = reply.verdict else {
        panic!("{reply:?}")
    };
    assert_eq!(answer.body, body);
    assert_eq!(count_runs(&network), 1);
}

#[test]
fn a_service_without_targets_is_unknown() {
    let mut network = two_guards();
    let reply = exchange(&mut network, 0, 1, request("nothing", "GET", "/"));
    assert_eq!(refusal(&reply), Some(RefusalReason::UnknownService));
}

#[test]
fn a_post_without_a_key_is_issued_tickets_and_runs_once_with_a_ticket() {
    let mut network = two_guards();
    let reply = exchange(&mut network, 0, 1, request("lookups", "POST", "/pay"));
    assert_eq!(refusal(&reply), Some(RefusalReason::TicketNeeded));
    assert_eq!(count_runs(&network), 0);
    let ticket = reply.tickets[0];
    let mut paid = request("lookups", "POST", "/pay");
    paid.run_key = RunKey::Ticket(ticket);
    for key in 2..5 {
        let reply = exchange(&mut network, 0, key, paid.clone());
        assert!(matches!(reply.verdict, Verdict::Ran(_)), "{reply:?}");
    }
    assert_eq!(count_runs(&network), 1);
}

#[test]
fn calls_to_a_killed_guard_are_retried_at_another() {
    let mut network = two_guards();
    network.kill(1);
    for key in 1..20 {
        let reply = exchange(&mut network, 0, key, request("lookups", "GET", "/free"));
        assert!(matches!(reply.verdict, Verdict::Ran(_)), "{reply:?}");
    }
}

/// Creates a chain of services below an entry node.
fn chain(depth: u16, guards_per_service: u16, retries: u32, sends_parent_id: bool) -> Network {
    let mut network = Network::new(500);
    let mut settings = Settings::default();
    settings.entry.retries = retries;
    let entry = NodeSpec {
        number: 1,
        zone: "a",
        service: None,
        slots: 0,
    };
    add_node(&mut network, &settings, &entry);
    for number in 0..depth * guards_per_service {
        let level = number / guards_per_service;
        let service = format!("level-{level}");
        let service = Some(service.as_str());
        let spec = NodeSpec {
            number: 2 + number,
            zone: "a",
            service,
            slots: 16,
        };
        let node = add_node(&mut network, &settings, &spec);
        if level + 1 < depth {
            let next = format!("level-{}", level + 1);
            let request = request(&next, "GET", "/");
            network.nodes[node].child_calls = vec![ChildCall {
                request,
                sends_parent_id,
            }];
        }
    }
    network.run_until(CONVERGENCE_US + 5_000_000);
    network
}

#[test]
fn a_call_passes_through_19_services() {
    let mut network = chain(19, 1, 3, true);
    let reply = exchange(&mut network, 0, 1, request("level-0", "GET", "/"));
    assert!(matches!(reply.verdict, Verdict::Ran(_)), "{reply:?}");
    assert_eq!(count_runs(&network), 19);
}

/// A chain of services whose last service loses its answers.
struct ChainCase {
    depth: u16,
    guards_per_service: u16,
    retries: u32,
    sends_parent_id: bool,
    /// The maximum number of runs of a root request at the failing service.
    runs_max: usize,
    runs_min: usize,
}

/// Checks that lost answers at the last service of a chain don't multiply retries: the calls at all
/// depths share the allowance of their root request. Counts the runs at that service.
fn check_shared_retries(case: ChainCase) {
    let mut network = chain(
        case.depth,
        case.guards_per_service,
        case.retries,
        case.sends_parent_id,
    );
    let first = network.nodes.len() - usize::from(case.guards_per_service);
    for node in first..network.nodes.len() {
        network.nodes[node].target = Box::new(|_, _| (TargetOutcome::Lost, 1_000));
    }
    let reply = exchange(&mut network, 0, 1, request("level-0", "GET", "/"));
    assert!(
        !matches!(&reply.verdict, Verdict::Ran(answer) if answer.status < 500),
        "{reply:?}"
    );
    let retry_count = network.counter_total(Counter::retry(RetryReason::ConnectionLost));
    assert!(
        retry_count <= u64::from(case.retries),
        "{retry_count} retries"
    );
    let mut runs = 0;
    for node in &network.nodes[first..] {
        runs += node.runs.len();
    }
    assert!(runs <= case.runs_max, "{runs} runs");
    assert!(runs >= case.runs_min, "{runs} runs");
}

cases! { check_shared_retries:
    lost_answers_of_a_single_service => ChainCase {
        depth: 1, guards_per_service: 4, retries: 3, sends_parent_id: true,
        runs_max: 4, runs_min: 4,
    },
    lost_answers_at_the_end_of_five_services => ChainCase {
        depth: 5, guards_per_service: 4, retries: 3, sends_parent_id: true,
        runs_max: 4, runs_min: 2,
    },
    lost_answers_at_the_end_of_nineteen_services => ChainCase {
        depth: 19, guards_per_service: 4, retries: 3, sends_parent_id: true,
        runs_max: 4, runs_min: 1,
    },
    lost_answers_at_the_end_of_nineteen_services_with_seven_retries => ChainCase {
        depth: 19, guards_per_service: 4, retries: 7, sends_parent_id: true,
        runs_max: 8, runs_min: 1,
    },
    child_calls_that_name_no_parent_get_no_retries => ChainCase {
        depth: 5, guards_per_service: 4, retries: 3, sends_parent_id: false,
        runs_max: 1, runs_min: 1,
    },
    a_root_without_retries_is_never_retried => ChainCase {
        depth: 5, guards_per_service: 4, retries: 0, sends_parent_id: true,
        runs_max: 1, runs_min: 1,
    },
}

/// Retries must not multiply with depth: every third request in a deep chain loses its answer, and
/// no root request may get more retries than its allowance.
#[test]
fn losses_at_every_depth_share_one_allowance() {
    let retries = 3;
    let mut network = chain(9, 4, retries, true);
    let request_count = Rc::new(Cell::new(0_u64));
    for node in 1..network.nodes.len() {
        let request_count = request_count.clone();
        network.nodes[node].target = Box::new(move |_, _| {
            request_count.set(request_count.get() + 1);
            match request_count.get() % 3 {
                0 => (TargetOutcome::Lost, 1_000),
                _ => (TargetOutcome::Answered(network::ok_answer()), 1_000),
            }
        });
    }
    let mut before = 0;
    for key in 1..40 {
        exchange(&mut network, 0, key, request("level-0", "GET", "/"));
        let retry_count = network.counter_total(Counter::retry(RetryReason::ConnectionLost));
        assert!(
            retry_count - before <= u64::from(retries),
            "{} retries",
            retry_count - before
        );
        before = retry_count;
    }
    assert!(before > 0);
}

/// A target that stopped announcing itself must get no calls, and must get calls again once it
/// announces itself.
#[test]
fn a_target_that_stopped_announcing_itself_gets_no_calls_until_it_does_again() {
    let mut network = two_guards();
    network.deliver_notice(1, Notice::TargetSilent);
    network.run_until(network.now_us + CONVERGENCE_US);
    for key in 1..20 {
        let reply = exchange(&mut network, 0, key, request("lookups", "GET", "/free"));
        assert!(matches!(reply.verdict, Verdict::Ran(_)), "{reply:?}");
    }
    assert_eq!(network.nodes[1].runs.len(), 0);
    network.deliver_notice(1, Notice::TargetAnnounced(announcement("lookups", 4)));
    network.run_until(network.now_us + CONVERGENCE_US);
    for key in 20..60 {
        exchange(&mut network, 0, key, request("lookups", "GET", "/free"));
    }
    assert!(!network.nodes[1].runs.is_empty());
}

/// A target must not attract load because it refuses connections quickly; no call may fail because
/// of it.
#[test]
fn a_target_that_refuses_connections_gets_few_attempts() {
    let mut network = two_guards();
    network.nodes[1].target = Box::new(|_, _| (TargetOutcome::NotSent, 100));
    for key in 1..100 {
        let reply = exchange(&mut network, 0, key, request("lookups", "GET", "/free"));
        assert!(matches!(reply.verdict, Verdict::Ran(_)), "{reply:?}");
    }
    let retry_count = network.counter_total(Counter::retry(RetryReason::Refused));
    assert!(retry_count < 30, "{retry_count} retries");
}

/// If an attempt lost its answer, the verdict must not be "not run": a refusal of the retry would
/// hide that the request may have run.
#[test]
fn a_refusal_after_a_lost_answer_does_not_say_not_run() {
    let mut network = two_guards();
    network.nodes[1].target = Box::new(|_, _| (TargetOutcome::Lost, 1_000));
    network.nodes[2].target = Box::new(|_, _| (TargetOutcome::NotSent, 100));
    for key in 1..30 {
        let before = count_runs(&network);
        let reply = exchange(&mut network, 0, key, request("lookups", "GET", "/free"));
        let ran = count_runs(&network) - before;
        let is_not_run = matches!(reply.verdict, Verdict::NotRun(_));
        assert!(!is_not_run || ran == 0, "{ran} runs, {reply:?}");
    }
}

/// Returns a change after which requests to the service are idempotent or run at most once.
fn submission(expected_version: u64, is_idempotent: bool) -> Submission {
    let policy = Policy {
        priority: Priority::Normal,
        is_idempotent,
        retries: 3,
        deadline_ms: 2_000,
        hedge_after_ms: 0,
    };
    let kind = RequestKind {
        method: "*".into(),
        path_prefix: "/".into(),
        policy,
    };
    let service = "lookups".into();
    Submission {
        change_id: format!("change-{expected_version}"),
        expected_version,
        records: vec![ServiceRecord {
            schema_version: 2,
            service,
            kinds: vec![kind],
        }],
        removed: Vec::new(),
    }
}

fn submit(network: &mut Network, node: usize, submission: Submission) {
    let request = OperatorRequest::Submit(submission);
    let event = Event::OperatorRequest {
        call: CallKey(9_000),
        request,
    };
    network.deliver_event(node, dragonflylug::config::NAME, event);
    network.run_until(network.now_us + CONVERGENCE_US);
}

/// A daemon that was paused while the configuration changed must not decide under the old one.
#[test]
fn a_daemon_that_resumes_after_a_pause_applies_the_new_configuration() {
    let mut network = two_guards();
    submit(&mut network, 1, submission(0, true));
    let reply = exchange(&mut network, 0, 1, request("lookups", "GET", "/free"));
    assert!(matches!(reply.verdict, Verdict::Ran(_)), "{reply:?}");
    let resumes_us = network.now_us + 3 * CONVERGENCE_US;
    network.pause(0, resumes_us);
    submit(&mut network, 1, submission(1, false));
    network.run_until(resumes_us);
    let reply = exchange(&mut network, 0, 2, request("lookups", "GET", "/free"));
    assert_eq!(
        refusal(&reply),
        Some(RefusalReason::TicketNeeded),
        "{reply:?}"
    );
}

/// If neither peers nor the platform can supply a configuration, calls must not each be deferred
/// anew: 19 calls, here to a service without targets, take less than 300 ms.
#[test]
fn calls_are_not_each_deferred_if_no_newer_configuration_is_available() {
    let mut network = two_guards();
    submit(&mut network, 1, submission(0, true));
    network.platform_fault = network::PlatformFault::Down;
    network.kill(1);
    network.kill(2);
    let resumes_us = network.now_us + 2 * CONVERGENCE_US;
    network.pause(0, resumes_us);
    network.run_until(resumes_us);
    let before_us = network.now_us;
    for key in 1..20 {
        exchange(&mut network, 0, key, request("nothing", "GET", "/"));
    }
    let elapsed_us = network.now_us - before_us;
    assert!(elapsed_us < 300_000, "{elapsed_us} us");
}

/// The use of an issued ticket must not count as a retry: it is the first attempt.
#[test]
fn a_request_that_was_issued_a_ticket_keeps_its_retries() {
    let mut network = two_guards();
    let mut paid = request("lookups", "POST", "/pay");
    for number in 1..40 {
        paid.request = Some(RequestId(number));
        paid.run_key = RunKey::None;
        let issued = exchange(&mut network, 0, 2 * number, paid.clone());
        paid.run_key = RunKey::Ticket(issued.tickets[0]);
        let reply = exchange(&mut network, 0, 2 * number + 1, paid.clone());
        assert!(matches!(reply.verdict, Verdict::Ran(_)), "{reply:?}");
        assert_eq!(reply.retries_left, 3, "request {number}");
    }
}

/// A target must not be ejected because its child calls fail.
#[test]
fn a_failed_child_call_does_not_eject_the_parents_target() {
    let mut network = chain(2, 4, 0, true);
    for node in 5..9 {
        network.nodes[node].target = Box::new(|_, _| {
            let failed = Answer::new(503, Vec::new(), Default::default());
            (TargetOutcome::Answered(failed), 1_000)
        });
    }
    for key in 1..200 {
        exchange(&mut network, 0, key, request("level-0", "GET", "/"));
    }
    let runs: Vec<usize> = (1..5).map(|node| network.nodes[node].runs.len()).collect();
    let min_runs = runs.iter().min().copied().unwrap();
    let max_runs = runs.iter().max().copied().unwrap();
    assert!(max_runs <= 3 * min_runs, "{runs:?}");
}
