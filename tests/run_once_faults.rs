//! Requests that must run at most once, under each fault: the verdict of a repeat and the runs.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;
#[path = "support/network.rs"]
mod network;
#[path = "support/runner.rs"]
mod runner;

use dragonflylug::calls;
use dragonflylug::ids::{CallKey, InboundKey};
use dragonflylug::kernel::{Event, TargetOutcome};
use dragonflylug::peer::PeerRequest;
use dragonflylug::request::RunKey;
use dragonflylug::run_once::{NAME, RunOnceSettings, VoidRequest};
use dragonflylug::verdict::{DoubtReason, RefusalReason, Verdict};
use network::{Network, PlatformFault, ok_answer};
use runner::{add_node, call, claim, nodes, runs, ticket, verdict};

/// The call that each case ends with; its verdict is the one that counts.
const LAST: u64 = 99;

/// What a repeat must hear.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Hears {
    Answer,
    Refused(RefusalReason),
    Doubt(DoubtReason),
}

/// A fault, and what comes of it.
struct Case {
    /// Brings the fault about and sends the call `LAST`; returns the node that it was sent to.
    script: fn(&mut Network) -> usize,
    hears: Hears,
    runs: usize,
}

fn check(case: Case) {
    let mut net = nodes(3);
    let node = (case.script)(&mut net);
    let until_us = net.now_us + 5_000_000;
    net.run_until(until_us);
    let heard = match verdict(&net, node, LAST).expect("a verdict") {
        Verdict::Ran(answer) => {
            assert_eq!(answer, ok_answer());
            Hears::Answer
        }
        Verdict::NotRun(refusal) => Hears::Refused(refusal.reason),
        Verdict::MayHaveRun(doubt) => Hears::Doubt(doubt.reason),
    };
    assert_eq!((heard, runs(&net)), (case.hears, case.runs));
}

fn first(net: &mut Network, node: usize) {
    call(net, node, 1, claim("k", true));
}

fn repeat(net: &mut Network, node: usize) -> usize {
    call(net, node, LAST, claim("k", false));
    node
}

fn wait(net: &mut Network, for_us: u64) {
    net.run_until(net.now_us + for_us);
}

/// Holds calls back in the queue of a node, or lets them go.
fn queue(net: &mut Network, node: usize, is_on: bool) {
    net.event(node, calls::NAME, Event::Timer(u64::from(is_on)));
}

fn cancel(net: &mut Network, node: usize, call: u64) {
    net.event(node, calls::NAME, Event::CallerGone(CallKey(call)));
}

fn slow_target(net: &mut Network, node: usize, by_us: u64) {
    net.nodes[node].target = Box::new(move |_, _| (TargetOutcome::Answered(ok_answer()), by_us));
}

/// Kills a node and starts another incarnation at its address.
fn restart(net: &mut Network, node: usize) -> usize {
    net.kill(node);
    add_node(net, node, 100, RunOnceSettings::default())
}

fn void(net: &mut Network, node: usize, key: &RunKey) {
    let RunKey::Ticket(ticket) = key else {
        panic!("{key:?}");
    };
    let question = PeerRequest::Void(VoidRequest { ticket: *ticket });
    let inbound = InboundKey(u64::MAX);
    net.event(
        node,
        NAME,
        Event::PeerRequest {
            inbound,
            request: question,
        },
    );
}

fn ticket_key(net: &mut Network) -> RunKey {
    RunKey::Ticket(ticket(net, 0))
}

/// Sends the first copy of a ticket to its issuer.
fn first_of(net: &mut Network, key: &RunKey) {
    call(net, 0, 1, key.clone());
}

fn repeat_of(net: &mut Network, node: usize, key: &RunKey) -> usize {
    call(net, node, LAST, key.clone());
    node
}

cases! { check:
    claim_repeated_through_another_daemon => Case {
        script: |net| { first(net, 0); wait(net, 100_000); repeat(net, 1) },
        hears: Hears::Answer,
        runs: 1,
    },
    claim_repeated_through_another_daemon_while_it_runs => Case {
        script: |net| {
            slow_target(net, 0, 100_000);
            first(net, 0);
            wait(net, 10_000);
            repeat(net, 1)
        },
        hears: Hears::Answer,
        runs: 1,
    },
    claim_raced_by_two_daemons => Case {
        script: |net| { first(net, 0); repeat(net, 1) },
        hears: Hears::Answer,
        runs: 1,
    },
    claim_whose_runner_died_before_the_run => Case {
        script: |net| {
            queue(net, 0, true);
            first(net, 0);
            wait(net, 100_000);
            net.kill(0);
            repeat(net, 1)
        },
        hears: Hears::Doubt(DoubtReason::ClaimHeld),
        runs: 0,
    },
    claim_whose_runner_died_during_the_run => Case {
        script: |net| {
            slow_target(net, 0, 100_000);
            first(net, 0);
            wait(net, 10_000);
            net.kill(0);
            repeat(net, 1)
        },
        hears: Hears::Doubt(DoubtReason::ClaimHeld),
        runs: 1,
    },
    claim_whose_runner_died_after_the_run => Case {
        script: |net| { first(net, 0); wait(net, 100_000); net.kill(0); repeat(net, 1) },
        hears: Hears::Doubt(DoubtReason::ClaimHeld),
        runs: 1,
    },
    claim_whose_runner_was_paused_during_the_run => Case {
        script: |net| {
            slow_target(net, 0, 100_000);
            first(net, 0);
            wait(net, 10_000);
            net.pause(0, 400_000);
            repeat(net, 1)
        },
        hears: Hears::Answer,
        runs: 1,
    },
    claim_whose_runner_was_paused_for_longer_than_the_caller_waits => Case {
        script: |net| {
            slow_target(net, 0, 100_000);
            first(net, 0);
            wait(net, 10_000);
            net.pause(0, 2_000_000);
            call(net, 1, 2, claim("k", false));
            wait(net, 3_000_000);
            repeat(net, 1)
        },
        hears: Hears::Answer,
        runs: 1,
    },
    claim_of_an_earlier_incarnation_at_this_address => Case {
        script: |net| { first(net, 0); wait(net, 100_000); let new = restart(net, 0); repeat(net, new) },
        hears: Hears::Doubt(DoubtReason::IssuerGone),
        runs: 1,
    },
    claim_with_the_table_down => Case {
        script: |net| { net.platform_fault = PlatformFault::Down; repeat(net, 0) },
        hears: Hears::Doubt(DoubtReason::TableUnavailable),
        runs: 0,
    },
    claim_first_tried_with_the_table_down => Case {
        script: |net| {
            net.platform_fault = PlatformFault::Down;
            call(net, 0, LAST, claim("k", true));
            0
        },
        hears: Hears::Refused(RefusalReason::TableUnavailable),
        runs: 0,
    },
    claim_repeated_elsewhere_after_a_table_outage => Case {
        script: |net| {
            net.platform_fault = PlatformFault::Down;
            first(net, 0);
            wait(net, 100_000);
            net.platform_fault = PlatformFault::None;
            wait(net, 1_000_000);
            repeat(net, 1)
        },
        hears: Hears::Answer,
        runs: 1,
    },
    claim_repeated_elsewhere_after_both_inserts_lost_their_answers => Case {
        script: |net| {
            net.platform_fault = PlatformFault::AnswerLost;
            first(net, 0);
            wait(net, 1_500_000);
            net.platform_fault = PlatformFault::None;
            wait(net, 1_000_000);
            repeat(net, 1)
        },
        hears: Hears::Answer,
        runs: 1,
    },
    claim_in_doubt_is_released_before_its_daemon_dies => Case {
        script: |net| {
            net.platform_fault = PlatformFault::AnswerLost;
            first(net, 0);
            wait(net, 1_500_000);
            net.platform_fault = PlatformFault::None;
            wait(net, 3_000_000);
            net.kill(0);
            repeat(net, 1)
        },
        hears: Hears::Answer,
        runs: 1,
    },
    claim_with_a_table_slower_than_its_timeout => Case {
        script: |net| { net.platform_fault = PlatformFault::Slow(800_000); repeat(net, 0) },
        hears: Hears::Doubt(DoubtReason::TableUnavailable),
        runs: 0,
    },
    claim_refused_in_the_queue_runs_elsewhere => Case {
        script: |net| {
            queue(net, 0, true);
            first(net, 0);
            wait(net, 100_000);
            cancel(net, 0, 1);
            wait(net, 2_000_000);
            net.kill(0);
            repeat(net, 1)
        },
        hears: Hears::Answer,
        runs: 1,
    },
    claim_repeated_while_its_row_is_released => Case {
        script: |net| {
            queue(net, 0, true);
            first(net, 0);
            wait(net, 100_000);
            cancel(net, 0, 1);
            net.platform_fault = PlatformFault::Slow(300_000);
            wait(net, 1_050_000);
            queue(net, 0, false);
            call(net, 0, 2, claim("k", false));
            wait(net, 1_000_000);
            repeat(net, 1)
        },
        hears: Hears::Answer,
        runs: 1,
    },
    claim_whose_release_lost_its_answer => Case {
        script: |net| {
            queue(net, 0, true);
            first(net, 0);
            wait(net, 100_000);
            cancel(net, 0, 1);
            net.platform_fault = PlatformFault::AnswerLost;
            wait(net, 2_000_000);
            queue(net, 0, false);
            call(net, 1, 2, claim("k", false));
            net.platform_fault = PlatformFault::None;
            wait(net, 3_000_000);
            repeat(net, 0)
        },
        hears: Hears::Answer,
        runs: 1,
    },
    claim_whose_kept_answer_was_dropped => Case {
        script: |net| {
            first(net, 0);
            wait(net, 601_000_000);
            repeat(net, 0)
        },
        hears: Hears::Doubt(DoubtReason::AnswerDropped),
        runs: 1,
    },
    ticket_repeated_at_its_issuer => Case {
        script: |net| {
            let key = ticket_key(net);
            first_of(net, &key);
            wait(net, 100_000);
            repeat_of(net, 0, &key)
        },
        hears: Hears::Answer,
        runs: 1,
    },
    ticket_at_a_daemon_that_did_not_issue_it => Case {
        script: |net| { let key = ticket_key(net); repeat_of(net, 1, &key) },
        hears: Hears::Doubt(DoubtReason::IssuerGone),
        runs: 0,
    },
    ticket_whose_issuer_was_replaced_after_the_run => Case {
        script: |net| {
            let key = ticket_key(net);
            first_of(net, &key);
            wait(net, 100_000);
            let new = restart(net, 0);
            repeat_of(net, new, &key)
        },
        hears: Hears::Doubt(DoubtReason::IssuerGone),
        runs: 1,
    },
    ticket_whose_issuer_was_paused_during_the_run => Case {
        script: |net| {
            let key = ticket_key(net);
            slow_target(net, 0, 100_000);
            first_of(net, &key);
            wait(net, 10_000);
            net.pause(0, 2_000_000);
            wait(net, 3_000_000);
            repeat_of(net, 0, &key)
        },
        hears: Hears::Answer,
        runs: 1,
    },
    ticket_with_the_table_down => Case {
        script: |net| {
            net.platform_fault = PlatformFault::Down;
            let key = ticket_key(net);
            repeat_of(net, 0, &key)
        },
        hears: Hears::Answer,
        runs: 1,
    },
    ticket_voided_before_its_first_copy_arrives => Case {
        script: |net| {
            let key = ticket_key(net);
            void(net, 0, &key);
            repeat_of(net, 0, &key)
        },
        hears: Hears::Refused(RefusalReason::TicketVoid),
        runs: 0,
    },
    ticket_voided_while_it_is_queued => Case {
        script: |net| {
            let key = ticket_key(net);
            queue(net, 0, true);
            repeat_of(net, 0, &key);
            void(net, 0, &key);
            queue(net, 0, false);
            0
        },
        hears: Hears::Refused(RefusalReason::TicketVoid),
        runs: 0,
    },
    ticket_voided_after_it_was_sent => Case {
        script: |net| {
            let key = ticket_key(net);
            slow_target(net, 0, 100_000);
            repeat_of(net, 0, &key);
            void(net, 0, &key);
            0
        },
        hears: Hears::Answer,
        runs: 1,
    },
    ticket_unused_for_longer_than_it_is_open => Case {
        script: |net| {
            let key = ticket_key(net);
            wait(net, 602_000_000);
            repeat_of(net, 0, &key)
        },
        hears: Hears::Refused(RefusalReason::TicketVoid),
        runs: 0,
    },
    ticket_whose_kept_answer_was_dropped => Case {
        script: |net| {
            let key = ticket_key(net);
            first_of(net, &key);
            wait(net, 602_000_000);
            repeat_of(net, 0, &key)
        },
        hears: Hears::Doubt(DoubtReason::AnswerDropped),
        runs: 1,
    },
}
