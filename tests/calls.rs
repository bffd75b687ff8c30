//! Whole calls over whole nodes, under virtual time.

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
use dragonflylug::settings::Settings;
use dragonflylug::verdict::{RefusalReason, Verdict};
use network::{ChildCall, Network};
use nodes::{NodePlan, SETTLE_US, add_node, announcement, exchange, request};

/// One entry node without a target and two guards of one service, in two zones.
fn two_guards() -> Network {
    let mut network = Network::new(500);
    let settings = Settings::default();
    add_node(
        &mut network,
        &settings,
        &NodePlan {
            number: 1,
            zone: "a",
            service: None,
            slots: 0,
        },
    );
    for (number, zone) in [(2, "a"), (3, "b")] {
        let plan = NodePlan {
            number,
            zone,
            service: Some("lookups"),
            slots: 4,
        };
        add_node(&mut network, &settings, &plan);
    }
    network.run_until(SETTLE_US);
    network
}

fn runs(network: &Network) -> usize {
    network.nodes.iter().map(|node| node.runs.len()).sum()
}

fn refusal(reply: &CallReply) -> Option<RefusalReason> {
    match &reply.verdict {
        Verdict::NotRun(refusal) => Some(refusal.reason),
        _ => None,
    }
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
    assert_eq!(runs(&network), 1);
}

#[test]
fn a_service_that_nobody_serves_is_unknown() {
    let mut network = two_guards();
    let reply = exchange(&mut network, 0, 1, request("nothing", "GET", "/"));
    assert_eq!(refusal(&reply), Some(RefusalReason::UnknownService));
}

#[test]
fn a_post_without_a_key_is_handed_tickets_and_runs_once_with_one() {
    let mut network = two_guards();
    let reply = exchange(&mut network, 0, 1, request("lookups", "POST", "/pay"));
    assert_eq!(refusal(&reply), Some(RefusalReason::TicketNeeded));
    assert_eq!(runs(&network), 0);
    let ticket = reply.tickets[0];
    let mut paid = request("lookups", "POST", "/pay");
    paid.run_key = RunKey::Ticket(ticket);
    for key in 2..5 {
        let reply = exchange(&mut network, 0, key, paid.clone());
        assert!(matches!(reply.verdict, Verdict::Ran(_)), "{reply:?}");
    }
    assert_eq!(runs(&network), 1);
}

#[test]
fn a_guard_that_was_killed_is_replaced_by_another_within_the_allowance() {
    let mut network = two_guards();
    network.kill(1);
    for key in 1..20 {
        let reply = exchange(&mut network, 0, key, request("lookups", "GET", "/free"));
        assert!(matches!(reply.verdict, Verdict::Ran(_)), "{reply:?}");
    }
}

/// A chain of services below an entry node.
fn chain(depth: u16, guards: u16, retries: u32, names_parent: bool) -> Network {
    let mut network = Network::new(500);
    let mut settings = Settings::default();
    settings.entry.retries = retries;
    let entry = NodePlan {
        number: 1,
        zone: "a",
        service: None,
        slots: 0,
    };
    add_node(&mut network, &settings, &entry);
    for number in 0..depth * guards {
        let level = number / guards;
        let service = format!("level-{level}");
        let service = Some(service.as_str());
        let plan = NodePlan {
            number: 2 + number,
            zone: "a",
            service,
            slots: 16,
        };
        let node = add_node(&mut network, &settings, &plan);
        if level + 1 < depth {
            let next = format!("level-{}", level + 1);
            let request = request(&next, "GET", "/");
            network.nodes[node].children = vec![ChildCall {
                request,
                names_parent,
            }];
        }
    }
    network.run_until(SETTLE_US + 5_000_000);
    network
}

#[test]
fn a_call_passes_through_19_services() {
    let mut network = chain(19, 1, 3, true);
    let reply = exchange(&mut network, 0, 1, request("level-0", "GET", "/"));
    assert!(matches!(reply.verdict, Verdict::Ran(_)), "{reply:?}");
    assert_eq!(runs(&network), 19);
}

/// How a chain of services fails, and what its callers do.
struct RetryCase {
    depth: u16,
    guards: u16,
    retries: u32,
    names_parent: bool,
    /// The runs of a root request at the failing service, at most.
    runs_max: usize,
    runs_min: usize,
}

/// The last service of the chain loses each answer; counts the runs there for one root request.
fn check_retries(case: RetryCase) {
    let mut network = chain(case.depth, case.guards, case.retries, case.names_parent);
    let first = network.nodes.len() - usize::from(case.guards);
    for node in first..network.nodes.len() {
        network.nodes[node].target = Box::new(|_, _| (TargetOutcome::Lost, 1_000));
    }
    let reply = exchange(&mut network, 0, 1, request("level-0", "GET", "/"));
    assert!(
        !matches!(&reply.verdict, Verdict::Ran(answer) if answer.status < 500),
        "{reply:?}"
    );
    let further = network.counted(Counter::retry(RetryReason::ConnectionLost));
    assert!(
        further <= u64::from(case.retries),
        "{further} further tries"
    );
    let mut runs = 0;
    for node in &network.nodes[first..] {
        runs += node.runs.len();
    }
    assert!(runs <= case.runs_max, "{runs} runs");
    assert!(runs >= case.runs_min, "{runs} runs");
}

cases! { check_retries:
    one_service_that_loses_answers => RetryCase {
        depth: 1, guards: 4, retries: 3, names_parent: true, runs_max: 4, runs_min: 4,
    },
    five_services => RetryCase {
        depth: 5, guards: 4, retries: 3, names_parent: true, runs_max: 4, runs_min: 2,
    },
    nineteen_services => RetryCase {
        depth: 19, guards: 4, retries: 3, names_parent: true, runs_max: 4, runs_min: 1,
    },
    nineteen_services_with_seven_retries => RetryCase {
        depth: 19, guards: 4, retries: 7, names_parent: true, runs_max: 8, runs_min: 1,
    },
    children_that_name_no_parent_get_no_retries => RetryCase {
        depth: 5, guards: 4, retries: 3, names_parent: false, runs_max: 1, runs_min: 1,
    },
    no_retries_at_all => RetryCase {
        depth: 5, guards: 4, retries: 0, names_parent: true, runs_max: 1, runs_min: 1,
    },
}

/// Each service of a deep chain loses every third answer; each root keeps to its allowance.
#[test]
fn losses_at_every_depth_share_one_allowance() {
    let retries = 3;
    let mut network = chain(9, 4, retries, true);
    let seen = Rc::new(Cell::new(0_u64));
    for node in 1..network.nodes.len() {
        let seen = seen.clone();
        network.nodes[node].target = Box::new(move |_, _| {
            seen.set(seen.get() + 1);
            match seen.get() % 3 {
                0 => (TargetOutcome::Lost, 1_000),
                _ => (TargetOutcome::Answered(network::ok_answer()), 1_000),
            }
        });
    }
    let mut before = 0;
    for key in 1..40 {
        exchange(&mut network, 0, key, request("level-0", "GET", "/"));
        let further = network.counted(Counter::retry(RetryReason::ConnectionLost));
        assert!(
            further - before <= u64::from(retries),
            "{} further tries",
            further - before
        );
        before = further;
    }
    assert!(before > 0);
}

/// A target that stopped announcing itself is known to have gone, and comes back.
#[test]
fn a_silent_target_gets_no_more_calls_until_it_announces_itself() {
    let mut network = two_guards();
    network.notice(1, Notice::TargetSilent);
    network.run_until(network.now_us + SETTLE_US);
    for key in 1..20 {
        let reply = exchange(&mut network, 0, key, request("lookups", "GET", "/free"));
        assert!(matches!(reply.verdict, Verdict::Ran(_)), "{reply:?}");
    }
    assert_eq!(network.nodes[1].runs.len(), 0);
    network.notice(1, Notice::TargetAnnounced(announcement("lookups", 4)));
    network.run_until(network.now_us + SETTLE_US);
    for key in 20..60 {
        exchange(&mut network, 0, key, request("lookups", "GET", "/free"));
    }
    assert!(!network.nodes[1].runs.is_empty());
}

/// A target that refuses connections gets few tries, and no call is lost by it.
#[test]
fn a_target_that_refuses_connections_attracts_no_load() {
    let mut network = two_guards();
    network.nodes[1].target = Box::new(|_, _| (TargetOutcome::NotSent, 100));
    for key in 1..100 {
        let reply = exchange(&mut network, 0, key, request("lookups", "GET", "/free"));
        assert!(matches!(reply.verdict, Verdict::Ran(_)), "{reply:?}");
    }
    let further = network.counted(Counter::retry(RetryReason::Refused));
    assert!(further < 30, "{further} further tries");
}

/// A refusal after a try that may have run must not say that nothing ran.
#[test]
fn a_refusal_after_a_lost_answer_does_not_say_not_run() {
    let mut network = two_guards();
    network.nodes[1].target = Box::new(|_, _| (TargetOutcome::Lost, 1_000));
    network.nodes[2].target = Box::new(|_, _| (TargetOutcome::NotSent, 100));
    for key in 1..30 {
        let before = runs(&network);
        let reply = exchange(&mut network, 0, key, request("lookups", "GET", "/free"));
        let ran = runs(&network) - before;
        let said_not_run = matches!(reply.verdict, Verdict::NotRun(_));
        assert!(!said_not_run || ran == 0, "{ran} runs, {reply:?}");
    }
}

/// A record under which `/free` runs once or may run again.
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
    network.event(node, dragonflylug::config::NAME, event);
    network.run_until(network.now_us + SETTLE_US);
}

/// A daemon that was paused over a change does not decide by the older configuration.
#[test]
fn a_daemon_that_wakes_after_a_change_decides_by_the_new_one() {
    let mut network = two_guards();
    submit(&mut network, 1, submission(0, true));
    let reply = exchange(&mut network, 0, 1, request("lookups", "GET", "/free"));
    assert!(matches!(reply.verdict, Verdict::Ran(_)), "{reply:?}");
    let wakes_us = network.now_us + 3 * SETTLE_US;
    network.pause(0, wakes_us);
    submit(&mut network, 1, submission(1, false));
    network.run_until(wakes_us);
    let reply = exchange(&mut network, 0, 2, request("lookups", "GET", "/free"));
    assert_eq!(
        refusal(&reply),
        Some(RefusalReason::TicketNeeded),
        "{reply:?}"
    );
}

/// Without any configuration to be had calls do not wait for one over and over.
#[test]
fn calls_go_on_by_what_is_in_force_where_nothing_newer_can_be_had() {
    let mut network = two_guards();
    submit(&mut network, 1, submission(0, true));
    network.platform_fault = network::PlatformFault::Down;
    network.kill(1);
    network.kill(2);
    let wakes_us = network.now_us + 2 * SETTLE_US;
    network.pause(0, wakes_us);
    network.run_until(wakes_us);
    let before_us = network.now_us;
    for key in 1..20 {
        exchange(&mut network, 0, key, request("nothing", "GET", "/"));
    }
    let waited_us = network.now_us - before_us;
    assert!(waited_us < 300_000, "{waited_us} us");
}

/// Sending a request again with the ticket that it was handed is its first try.
#[test]
fn a_request_that_was_handed_a_ticket_keeps_its_retries() {
    let mut network = two_guards();
    let mut paid = request("lookups", "POST", "/pay");
    for number in 1..40 {
        paid.request = Some(RequestId(number));
        paid.run_key = RunKey::None;
        let handed = exchange(&mut network, 0, 2 * number, paid.clone());
        paid.run_key = RunKey::Ticket(handed.tickets[0]);
        let reply = exchange(&mut network, 0, 2 * number + 1, paid.clone());
        assert!(matches!(reply.verdict, Verdict::Ran(_)), "{reply:?}");
        assert_eq!(reply.retries_left, 3, "request {number}");
    }
}

/// A target whose calls fail further down is not ejected for it.
#[test]
fn a_failure_below_does_not_eject_the_target_above() {
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
    let least = runs.iter().min().copied().unwrap();
    let most = runs.iter().max().copied().unwrap();
    assert!(most <= 3 * least, "{runs:?}");
}
