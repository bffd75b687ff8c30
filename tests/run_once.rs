//! At-most-once requests: repeats of tickets and claims, and claims while the platform fails.
//!
//! A copy is another arrival of the same key. A repeat is a copy that is not marked as the first
//! attempt of its caller.

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
use dragonflylug::ids::{CallKey, MemberId, RequestId};
use dragonflylug::kernel::Event;
use dragonflylug::request::RunKey;
use dragonflylug::run_once::{
    BeginOutcome, RunOnce, RunOnceSettings, Ticket, VoidOutcome, child_key,
    request_id_with_content, scoped_key,
};
use dragonflylug::verdict::{DoubtReason, RefusalReason, Verdict};
use network::{PlatformFault, ok_answer};
use run_once_driver::{claim, count_runs, issue_ticket, refusal, send_call, start_nodes, verdict};

const ID: RequestId = RequestId(1);

fn new_run_once() -> RunOnce {
    RunOnce::new(RunOnceSettings::default(), MemberId(1))
}

/// How a ticket was used before another copy of its request arrives.
enum TicketUse {
    Never,
    Queued,
    Sent,
    Ran,
    Doubted,
    DoubtedThenRan,
    Refused,
    Voided,
}

fn check_second_copy((used, expected): (TicketUse, BeginOutcome)) {
    let mut run_once = new_run_once();
    let ticket = run_once.issue_tickets(0, 1).tickets[0];
    let first = CallKey(1);
    if !matches!(used, TicketUse::Never | TicketUse::Voided) {
        assert_eq!(
            run_once.begin_with_ticket(0, first, ticket, ID),
            BeginOutcome::Run
        );
    }
    if matches!(
        used,
        TicketUse::Sent | TicketUse::Ran | TicketUse::Doubted | TicketUse::DoubtedThenRan
    ) {
        assert!(run_once.mark_sent(first));
    }
    match used {
        TicketUse::Never | TicketUse::Queued | TicketUse::Sent => {}
        TicketUse::Ran => drop(run_once.complete(1, first, Verdict::Ran(ok_answer()))),
        TicketUse::Doubted => {
            let verdict = Verdict::may_have_run(DoubtReason::Deadline, 0);
            run_once.complete(1, first, verdict);
        }
        TicketUse::DoubtedThenRan => {
            let verdict = Verdict::may_have_run(DoubtReason::Deadline, 0);
            run_once.complete(1, first, verdict);
            run_once.complete(2, first, Verdict::Ran(ok_answer()));
        }
        TicketUse::Refused => drop(run_once.refuse(first, refusal(RefusalReason::Overload))),
        TicketUse::Voided => assert_eq!(run_once.void_ticket(ticket).outcome, VoidOutcome::Voided),
    }
    assert_eq!(
        run_once.begin_with_ticket(3, CallKey(2), ticket, ID),
        expected
    );
}

fn void_refusal() -> BeginOutcome {
    BeginOutcome::Decided(Verdict::not_run(RefusalReason::TicketVoid, 0))
}

cases! { check_second_copy:
    an_unused_ticket_runs => (TicketUse::Never, BeginOutcome::Run),
    a_copy_joins_a_queued_run => (TicketUse::Queued, BeginOutcome::Joined),
    a_copy_joins_a_run_that_was_sent => (TicketUse::Sent, BeginOutcome::Joined),
    a_copy_gets_the_kept_answer => (
        TicketUse::Ran,
        BeginOutcome::Decided(Verdict::Ran(ok_answer()))
    ),
    a_copy_gets_the_kept_doubt => (
        TicketUse::Doubted,
        BeginOutcome::Decided(Verdict::may_have_run(DoubtReason::Deadline, 0))
    ),
    a_late_answer_replaces_a_doubt => (
        TicketUse::DoubtedThenRan,
        BeginOutcome::Decided(Verdict::Ran(ok_answer()))
    ),
    a_refused_ticket_is_void => (TicketUse::Refused, void_refusal()),
    a_voided_ticket_never_runs => (TicketUse::Voided, void_refusal()),
}

#[test]
fn a_ticket_of_another_issuer_may_have_run() {
    let ticket = Ticket {
        issuer: MemberId(7),
        sequence: 0,
    };
    let begin = new_run_once().begin_with_ticket(0, CallKey(1), ticket, ID);
    let expected = Verdict::may_have_run(DoubtReason::IssuerGone, 0);
    assert_eq!(begin, BeginOutcome::Decided(expected));
}

#[test]
fn a_ticket_with_another_request_gets_no_answer() {
    let mut run_once = new_run_once();
    let ticket = run_once.issue_tickets(0, 1).tickets[0];
    run_once.begin_with_ticket(0, CallKey(1), ticket, ID);
    assert!(run_once.mark_sent(CallKey(1)));
    run_once.complete(0, CallKey(1), Verdict::Ran(ok_answer()));
    let begin = run_once.begin_with_ticket(0, CallKey(2), ticket, RequestId(2));
    let expected = Verdict::may_have_run(DoubtReason::ClaimHeld, 0);
    assert_eq!(begin, BeginOutcome::Decided(expected));
}

#[test]
fn a_voided_ticket_in_the_queue_is_not_sent() {
    let mut run_once = new_run_once();
    let ticket = run_once.issue_tickets(0, 1).tickets[0];
    run_once.begin_with_ticket(0, CallKey(1), ticket, ID);
    run_once.begin_with_ticket(0, CallKey(2), ticket, ID);
    let voided = run_once.void_ticket(ticket);
    assert_eq!(voided.outcome, VoidOutcome::Voided);
    assert_eq!(voided.cancelled, [CallKey(1), CallKey(2)]);
    assert!(!run_once.mark_sent(CallKey(1)));
}

#[test]
fn a_request_whose_kept_answer_was_evicted_never_runs_again() {
    let settings = RunOnceSettings {
        kept_answers_bytes_max: 1_000,
        ticket_ranges_max: 8,
        ..RunOnceSettings::default()
    };
    let mut run_once = RunOnce::new(settings, MemberId(1));
    let mut tickets = Vec::new();
    for number in 0..1_000 {
        let ticket = run_once.issue_tickets(0, 1).tickets[0];
        tickets.push(ticket);
        run_once.begin_with_ticket(0, CallKey(number), ticket, ID);
        if number % 3 == 0 {
            run_once.refuse(CallKey(number), refusal(RefusalReason::Overload));
            continue;
        }
        assert!(run_once.mark_sent(CallKey(number)));
        run_once.complete(0, CallKey(number), Verdict::Ran(ok_answer()));
    }
    assert!(run_once.kept_bytes() <= 1_000, "{}", run_once.kept_bytes());
    assert!(run_once.record_count() <= 32, "{}", run_once.record_count());
    for (number, ticket) in tickets.into_iter().enumerate() {
        let begin = run_once.begin_with_ticket(0, CallKey(5_000), ticket, ID);
        let BeginOutcome::Decided(verdict) = begin else {
            panic!("ticket {number}: {begin:?}");
        };
        assert!(
            number % 3 == 0 || verdict.name() != "not-run",
            "ticket {number}"
        );
    }
}

#[test]
fn a_claim_runs_and_its_repeat_gets_the_kept_answer() {
    let mut net = start_nodes(1);
    send_call(&mut net, 0, 1, claim("k", true));
    net.run_until(100_000);
    send_call(&mut net, 0, 2, claim("k", false));
    net.run_until(200_000);
    assert_eq!(verdict(&net, 0, 1), Some(Verdict::Ran(ok_answer())));
    assert_eq!(verdict(&net, 0, 2), Some(Verdict::Ran(ok_answer())));
    assert_eq!(count_runs(&net), 1);
}

#[test]
fn two_daemons_that_race_for_a_claim_run_it_once() {
    let mut net = start_nodes(2);
    send_call(&mut net, 0, 1, claim("k", true));
    send_call(&mut net, 1, 1, claim("k", false));
    net.run_until(100_000);
    assert_eq!(verdict(&net, 0, 1), Some(Verdict::Ran(ok_answer())));
    assert_eq!(verdict(&net, 1, 1), Some(Verdict::Ran(ok_answer())));
    assert_eq!(count_runs(&net), 1);
}

fn check_table_fault((fault, is_first_attempt, expected): (PlatformFault, bool, &str)) {
    let mut net = start_nodes(1);
    net.platform_fault = fault;
    send_call(&mut net, 0, 1, claim("k", is_first_attempt));
    net.run_until(200_000);
    net.platform_fault = PlatformFault::None;
    net.run_until(2_000_000);
    assert_eq!(verdict(&net, 0, 1).unwrap().name(), expected);
    let ran = usize::from(expected == "ran");
    assert_eq!(count_runs(&net), ran);
    send_call(&mut net, 0, 2, claim("k", false));
    net.run_until(3_000_000);
    assert_eq!(verdict(&net, 0, 2).unwrap().name(), "ran");
    assert_eq!(count_runs(&net), 1);
}

cases! { check_table_fault:
    a_first_attempt_is_not_run_while_the_platform_is_down => (PlatformFault::Down, true, "not-run"),
    a_repeat_may_have_run_while_the_platform_is_down => (
        PlatformFault::Down, false, "may-have-run"
    ),
    an_insert_whose_response_was_lost_is_recognized => (PlatformFault::ResponseLost, true, "ran"),
    a_slow_table_delays_a_claim => (PlatformFault::Slow(300_000), true, "ran"),
}

#[test]
fn waiting_claims_are_refused_once_the_tables_responses_are_lost() {
    let mut net = start_nodes(1);
    net.platform_fault = PlatformFault::ResponseLost;
    for number in 1..=3 {
        send_call(&mut net, 0, number, claim(&number.to_string(), true));
    }
    // Two inserts of a claim (`claim_attempts_max`) time out after 300 ms each.
    net.run_until(610_000);
    let refused = Verdict::not_run(RefusalReason::TableUnavailable, 250);
    for number in 1..=3 {
        assert_eq!(
            verdict(&net, 0, number),
            Some(refused.clone()),
            "claim {number}"
        );
    }
}

/// Two requests with the same idempotency key: their callers, services and paths, and whether they
/// get the same identifier.
struct RequestPair {
    callers: [&'static str; 2],
    services: [&'static str; 2],
    paths: [&'static str; 2],
    is_same_request: bool,
}

fn check_request_pair(pair: RequestPair) {
    let request_id = |index: usize| {
        let (caller, service) = (pair.callers[index].into(), pair.services[index].into());
        let key = scoped_key(&claim("k", index == 0), &caller, &service);
        let sent = run_once_driver::request(pair.paths[index], RunKey::None);
        request_id_with_content(&key, &sent.http).expect("a key")
    };
    assert_eq!(request_id(0) == request_id(1), pair.is_same_request);
}

const SAME_REQUEST: RequestPair = RequestPair {
    callers: ["clerk", "clerk"],
    services: ["payouts", "payouts"],
    paths: ["/pay", "/pay"],
    is_same_request: true,
};

cases! { check_request_pair:
    a_repeat_is_the_same_request => SAME_REQUEST,
    another_caller_means_another_request => RequestPair {
        callers: ["clerk", "mosque"], is_same_request: false, ..SAME_REQUEST
    },
    another_service_means_another_request => RequestPair {
        services: ["payouts", "receipts"], is_same_request: false, ..SAME_REQUEST
    },
    another_content_means_another_request => RequestPair {
        paths: ["/pay", "/pay?twice"], is_same_request: false, ..SAME_REQUEST
    },
    names_that_concatenate_alike_mean_another_request => RequestPair {
        callers: ["a/b", "a"], services: ["c", "b/c"], is_same_request: false, ..SAME_REQUEST
    },
}

/// Returns a `RunOnce` with a queued parent request, and tickets for the child calls of the parent.
fn queued_parent() -> (RunOnce, CallKey, [Ticket; 3]) {
    let settings = RunOnceSettings {
        children_max: 1,
        ..RunOnceSettings::default()
    };
    let mut run_once = RunOnce::new(settings, MemberId(1));
    let own = run_once.issue_tickets(0, 1).tickets[0];
    let parent = CallKey(1);
    run_once.begin_with_ticket(0, parent, own, ID);
    let ticket = |sequence| Ticket {
        issuer: MemberId(2),
        sequence,
    };
    (run_once, parent, [0, 1, 2].map(ticket))
}

#[test]
fn a_child_keeps_its_ticket_while_its_parent_runs() {
    let (mut run_once, parent, [first, second, third]) = queued_parent();
    assert_eq!(run_once.keep_child_ticket(parent, ID, first), None);
    assert!(run_once.mark_sent(parent));
    assert_eq!(run_once.keep_child_ticket(parent, ID, first), Some(first));
    assert_eq!(run_once.keep_child_ticket(parent, ID, second), Some(first));
    assert_eq!(run_once.child_ticket(parent, ID), Some(first));
    assert_eq!(
        run_once.keep_child_ticket(parent, RequestId(2), third),
        None
    );
    run_once.drop_child_ticket(parent, ID, second);
    assert_eq!(run_once.child_ticket(parent, ID), Some(first));
    run_once.drop_child_ticket(parent, ID, first);
    assert_eq!(run_once.keep_child_ticket(parent, ID, second), Some(second));
    run_once.complete(1, parent, Verdict::Ran(ok_answer()));
    assert_eq!(run_once.child_ticket(parent, ID), None);
}

#[test]
fn a_child_has_one_key_for_each_index() {
    let parent = RunKey::Ticket(Ticket {
        issuer: MemberId(1),
        sequence: 9,
    });
    assert_eq!(child_key(&parent, 0), child_key(&parent, 0));
    assert_ne!(child_key(&parent, 0), child_key(&parent, 1));
    assert_ne!(child_key(&child_key(&parent, 0), 1), child_key(&parent, 1));
    assert_eq!(child_key(&RunKey::None, 0), RunKey::None);
}

#[test]
fn cancelling_a_queued_call_voids_its_ticket() {
    let mut net = start_nodes(1);
    // This event makes the `RunOnceDriver` hold calls.
    net.deliver_event(0, calls::guard::NAME, Event::Timer(1));
    let ticket = issue_ticket(&mut net, 0);
    send_call(&mut net, 0, 1, RunKey::Ticket(ticket));
    net.deliver_event(0, calls::guard::NAME, Event::CallerGone(CallKey(1)));
    send_call(&mut net, 0, 2, RunKey::Ticket(ticket));
    net.run_until(100_000);
    let expected = Verdict::not_run(RefusalReason::TicketVoid, 0);
    assert_eq!(verdict(&net, 0, 2), Some(expected));
    assert_eq!(count_runs(&net), 0);
}
