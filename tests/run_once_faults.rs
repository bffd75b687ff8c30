//! At-most-once requests under each fault: which verdict the last copy of a request gets, and how
//! often the request runs.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;
#[path = "support/network.rs"]
mod network;
#[path = "support/peer_calls.rs"]
mod peer_calls;
#[path = "support/run_once_driver.rs"]
mod run_once_driver;

use dragonflylug::calls;
use dragonflylug::ids::{CallKey, InboundKey};
use dragonflylug::kernel::{Event, TargetOutcome};
use dragonflylug::peer::PeerRequest;
use dragonflylug::request::RunKey;
use dragonflylug::run_once::{NAME, RunOnceSettings, VoidRequest};
use dragonflylug::verdict::{DoubtReason, RefusalReason, Verdict};
use network::{Network, PlatformFault, ok_answer};
use run_once_driver::{add_node, claim, count_runs, issue_ticket, send_call, start_nodes, verdict};

/// The call that each case ends with, whose verdict is checked.
const LAST_CALL: u64 = 99;

/// The verdict that the last call must get.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LastVerdict {
    Answer,
    Refused(RefusalReason),
    Doubt(DoubtReason),
}

/// A fault, the verdict that it leads to and the number of runs.
struct FaultCase {
    /// Causes the fault, sends the call `LAST_CALL` and returns the node that gets it.
    script: fn(&mut Network) -> usize,
    expected: LastVerdict,
    runs: usize,
}

fn check_verdict_after_fault(case: FaultCase) {
    let mut net = start_nodes(3);
    let node = (case.script)(&mut net);
    let until_us = net.now_us + 5_000_000;
    net.run_until(until_us);
    let outcome = match verdict(&net, node, LAST_CALL).expect("a verdict") {
        Verdict::Ran(answer) => {
            assert_eq!(answer, ok_answer());
            LastVerdict::Answer
        }
        Verdict::NotRun(refusal) => LastVerdict::Refused(refusal.reason),
        Verdict::MayHaveRun(doubt) => LastVerdict::Doubt(doubt.reason),
    };
    assert_eq!((outcome, count_runs(&net)), (case.expected, case.runs));
}

fn send_first_claim(net: &mut Network, node: usize) {
    send_call(net, node, 1, claim("k", true));
}

fn send_last_claim(net: &mut Network, node: usize) -> usize {
    send_call(net, node, LAST_CALL, claim("k", false));
    node
}

fn wait(net: &mut Network, duration_us: u64) {
    net.run_until(net.now_us + duration_us);
}

/// Makes the `RunOnceDriver` of a node hold calls, or send the held calls to the target.
fn set_holding(net: &mut Network, node: usize, is_holding: bool) {
    net.deliver_event(
        node,
        calls::guard::NAME,
        Event::Timer(u64::from(is_holding)),
    );
}

fn cancel_call(net: &mut Network, node: usize, call: u64) {
    net.deliver_event(node, calls::guard::NAME, Event::CallerGone(CallKey(call)));
}

fn set_target_latency(net: &mut Network, node: usize, latency_us: u64) {
    net.nodes[node].target =
        Box::new(move |_, _| (TargetOutcome::Answered(ok_answer()), latency_us));
}

/// Kills a node and starts another process, with a new member identifier, at its address.
fn restart_node(net: &mut Network, node: usize) -> usize {
    net.kill(node);
    add_node(net, node, 100, RunOnceSettings::default())
}

fn void_ticket(net: &mut Network, node: usize, key: &RunKey) {
    let RunKey::Ticket(ticket) = key else {
        panic!("{key:?}");
    };
    let request = PeerRequest::Void(VoidRequest { ticket: *ticket });
    let inbound = InboundKey(u64::MAX);
    net.deliver_event(node, NAME, Event::PeerRequest { inbound, request });
}

fn ticket_key(net: &mut Network) -> RunKey {
    RunKey::Ticket(issue_ticket(net, 0))
}

/// Sends the first copy of a request with a ticket to its issuer.
fn send_first_with_key(net: &mut Network, key: &RunKey) {
    send_call(net, 0, 1, key.clone());
}

fn send_last_with_key(net: &mut Network, node: usize, key: &RunKey) -> usize {
    send_call(net, node, LAST_CALL, key.clone());
    node
}

cases! { check_verdict_after_fault:
    claim_repeated_through_another_daemon => FaultCase {
        script: |net| { send_first_claim(net, 0); wait(net, 100_000); send_last_claim(net, 1) },
        expected: LastVerdict::Answer,
        runs: 1,
    },
    claim_repeated_through_another_daemon_while_it_runs => FaultCase {
        script: |net| {
            set_target_latency(net, 0, 100_000);
            send_first_claim(net, 0);
            wait(net, 10_000);
            send_last_claim(net, 1)
        },
        expected: LastVerdict::Answer,
        runs: 1,
    },
    claim_raced_by_two_daemons => FaultCase {
        script: |net| { send_first_claim(net, 0); send_last_claim(net, 1) },
        expected: LastVerdict::Answer,
        runs: 1,
    },
    claim_whose_holder_died_before_the_run => FaultCase {
        script: |net| {
            set_holding(net, 0, true);
            send_first_claim(net, 0);
            wait(net, 100_000);
            net.kill(0);
            send_last_claim(net, 1)
        },
        expected: LastVerdict::Doubt(DoubtReason::ClaimHeld),
        runs: 0,
    },
    claim_whose_holder_died_during_the_run => FaultCase {
        script: |net| {
            set_target_latency(net, 0, 100_000);
            send_first_claim(net, 0);
            wait(net, 10_000);
            net.kill(0);
            send_last_claim(net, 1)
        },
        expected: LastVerdict::Doubt(DoubtReason::ClaimHeld),
        runs: 1,
    },
    claim_whose_holder_died_after_the_run => FaultCase {
        script: |net| {
            send_first_claim(net, 0);
            wait(net, 100_000);
            net.kill(0);
            send_last_claim(net, 1)
        },
        expected: LastVerdict::Doubt(DoubtReason::ClaimHeld),
        runs: 1,
    },
    claim_whose_holder_was_paused_during_the_run => FaultCase {
        script: |net| {
            set_target_latency(net, 0, 100_000);
            send_first_claim(net, 0);
            wait(net, 10_000);
            net.pause(0, 400_000);
            send_last_claim(net, 1)
        },
        expected: LastVerdict::Answer,
        runs: 1,
    },
    claim_whose_holder_was_paused_for_longer_than_the_caller_waits => FaultCase {
        script: |net| {
            set_target_latency(net, 0, 100_000);
            send_first_claim(net, 0);
            wait(net, 10_000);
            net.pause(0, 2_000_000);
            send_call(net, 1, 2, claim("k", false));
            wait(net, 3_000_000);
            send_last_claim(net, 1)
        },
        expected: LastVerdict::Answer,
        runs: 1,
    },
    claim_of_an_earlier_process_at_the_same_address => FaultCase {
        script: |net| {
            send_first_claim(net, 0);
            wait(net, 100_000);
            let restarted = restart_node(net, 0);
            send_last_claim(net, restarted)
        },
        expected: LastVerdict::Doubt(DoubtReason::IssuerGone),
        runs: 1,
    },
    claim_with_the_platform_down => FaultCase {
        script: |net| { net.platform_fault = PlatformFault::Down; send_last_claim(net, 0) },
        expected: LastVerdict::Doubt(DoubtReason::TableUnavailable),
        runs: 0,
    },
    claim_first_attempted_with_the_platform_down => FaultCase {
        script: |net| {
            net.platform_fault = PlatformFault::Down;
            send_call(net, 0, LAST_CALL, claim("k", true));
            0
        },
        expected: LastVerdict::Refused(RefusalReason::TableUnavailable),
        runs: 0,
    },
    claim_repeated_on_another_daemon_after_a_platform_outage => FaultCase {
        script: |net| {
            net.platform_fault = PlatformFault::Down;
            send_first_claim(net, 0);
            wait(net, 100_000);
            net.platform_fault = PlatformFault::None;
            wait(net, 1_000_000);
            send_last_claim(net, 1)
        },
        expected: LastVerdict::Answer,
        runs: 1,
    },
    claim_repeated_on_another_daemon_after_both_inserts_lost_their_responses => FaultCase {
        script: |net| {
            net.platform_fault = PlatformFault::ResponseLost;
            send_first_claim(net, 0);
            wait(net, 1_500_000);
            net.platform_fault = PlatformFault::None;
            wait(net, 1_000_000);
            send_last_claim(net, 1)
        },
        expected: LastVerdict::Answer,
        runs: 1,
    },
    claim_in_doubt_is_released_before_its_daemon_dies => FaultCase {
        script: |net| {
            net.platform_fault = PlatformFault::ResponseLost;
            send_first_claim(net, 0);
            wait(net, 1_500_000);
            net.platform_fault = PlatformFault::None;
            wait(net, 3_000_000);
            net.kill(0);
            send_last_claim(net, 1)
        },
        expected: LastVerdict::Answer,
        runs: 1,
    },
    claim_with_a_table_slower_than_its_timeout => FaultCase {
        script: |net| {
            net.platform_fault = PlatformFault::Slow(800_000);
            send_last_claim(net, 0)
        },
        expected: LastVerdict::Doubt(DoubtReason::TableUnavailable),
        runs: 0,
    },
    claim_refused_in_the_queue_runs_on_another_daemon => FaultCase {
        script: |net| {
            set_holding(net, 0, true);
            send_first_claim(net, 0);
            wait(net, 100_000);
            cancel_call(net, 0, 1);
            wait(net, 2_000_000);
            net.kill(0);
            send_last_claim(net, 1)
        },
        expected: LastVerdict::Answer,
        runs: 1,
    },
    claim_repeated_while_its_row_is_released => FaultCase {
        script: |net| {
            set_holding(net, 0, true);
            send_first_claim(net, 0);
            wait(net, 100_000);
            cancel_call(net, 0, 1);
            net.platform_fault = PlatformFault::Slow(300_000);
            wait(net, 1_050_000);
            set_holding(net, 0, false);
            send_call(net, 0, 2, claim("k", false));
            wait(net, 1_000_000);
            send_last_claim(net, 1)
        },
        expected: LastVerdict::Answer,
        runs: 1,
    },
    claim_whose_release_lost_its_response => FaultCase {
        script: |net| {
            set_holding(net, 0, true);
            send_first_claim(net, 0);
            wait(net, 100_000);
            cancel_call(net, 0, 1);
            net.platform_fault = PlatformFault::ResponseLost;
            wait(net, 2_000_000);
            set_holding(net, 0, false);
            send_call(net, 1, 2, claim("k", false));
            net.platform_fault = PlatformFault::None;
            wait(net, 3_000_000);
            send_last_claim(net, 0)
        },
        expected: LastVerdict::Answer,
        runs: 1,
    },
    claim_whose_kept_answer_was_dropped => FaultCase {
        script: |net| {
            send_first_claim(net, 0);
            wait(net, 601_000_000);
            send_last_claim(net, 0)
        },
        expected: LastVerdict::Doubt(DoubtReason::AnswerDropped),
        runs: 1,
    },
    ticket_repeated_at_its_issuer => FaultCase {
        script: |net| {
            let key = ticket_key(net);
            send_first_with_key(net, &key);
            wait(net, 100_000);
            send_last_with_key(net, 0, &key)
        },
        expected: LastVerdict::Answer,
        runs: 1,
    },
    ticket_at_a_daemon_that_did_not_issue_it => FaultCase {
        script: |net| { let key = ticket_key(net); send_last_with_key(net, 1, &key) },
        expected: LastVerdict::Doubt(DoubtReason::IssuerGone),
        runs: 0,
    },
    ticket_whose_issuer_was_replaced_after_the_run => FaultCase {
        script: |net| {
            let key = ticket_key(net);
            send_first_with_key(net, &key);
            wait(net, 100_000);
            let restarted = restart_node(net, 0);
            send_last_with_key(net, restarted, &key)
        },
        expected: LastVerdict::Doubt(DoubtReason::IssuerGone),
        runs: 1,
    },
    ticket_whose_issuer_was_paused_during_the_run => FaultCase {
        script: |net| {
            let key = ticket_key(net);
            set_target_latency(net, 0, 100_000);
            send_first_with_key(net, &key);
            wait(net, 10_000);
            net.pause(0, 2_000_000);
            wait(net, 3_000_000);
            send_last_with_key(net, 0, &key)
        },
        expected: LastVerdict::Answer,
        runs: 1,
    },
    ticket_with_the_platform_down => FaultCase {
        script: |net| {
            net.platform_fault = PlatformFault::Down;
            let key = ticket_key(net);
            send_last_with_key(net, 0, &key)
        },
        expected: LastVerdict::Answer,
        runs: 1,
    },
    ticket_voided_before_its_first_copy_arrives => FaultCase {
        script: |net| {
            let key = ticket_key(net);
            void_ticket(net, 0, &key);
            send_last_with_key(net, 0, &key)
        },
        expected: LastVerdict::Refused(RefusalReason::TicketVoid),
        runs: 0,
    },
    ticket_voided_while_it_is_queued => FaultCase {
        script: |net| {
            let key = ticket_key(net);
            set_holding(net, 0, true);
            send_last_with_key(net, 0, &key);
            void_ticket(net, 0, &key);
            set_holding(net, 0, false);
            0
        },
        expected: LastVerdict::Refused(RefusalReason::TicketVoid),
        runs: 0,
    },
    ticket_voided_after_it_was_sent => FaultCase {
        script: |net| {
            let key = ticket_key(net);
            set_target_latency(net, 0, 100_000);
            send_last_with_key(net, 0, &key);
            void_ticket(net, 0, &key);
            0
        },
        expected: LastVerdict::Answer,
        runs: 1,
    },
    ticket_unused_for_longer_than_its_ttl => FaultCase {
        script: |net| {
            let key = ticket_key(net);
            wait(net, 602_000_000);
            send_last_with_key(net, 0, &key)
        },
        expected: LastVerdict::Refused(RefusalReason::TicketVoid),
        runs: 0,
    },
    ticket_whose_kept_answer_was_dropped => FaultCase {
        script: |net| {
            let key = ticket_key(net);
            send_first_with_key(net, &key);
            wait(net, 602_000_000);
            send_last_with_key(net, 0, &key)
        },
        expected: LastVerdict::Doubt(DoubtReason::AnswerDropped),
        runs: 1,
    },
}
