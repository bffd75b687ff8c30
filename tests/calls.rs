//! Whole calls over whole nodes, under virtual time.

#[path = "support/network.rs"]
mod network;
#[path = "support/nodes.rs"]
mod nodes;

use dragonflylug::kernel::{CallReply, TargetOutcome};
use dragonflylug::request::{Answer, RunKey};
use dragonflylug::settings::Settings;
use dragonflylug::verdict::{RefusalReason, Verdict};
use network::Network;
use nodes::{NodePlan, SETTLE_US, add_node, exchange, request};

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
