//! The guarantees of the system with real processes: graceful shutdowns, kills, pauses, silent
//! links and an unavailable platform.

#[path = "support/loopback.rs"]
mod loopback;
#[path = "support/processes.rs"]
mod processes;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;

use dragonflylug_standins::platform::{Fault, FaultMode};
use dragonflylug_standins::target::{Behaviour, TargetConfig, TargetMode};
use nix::sys::signal::Signal;
use processes::{Call, HttpReply, ProcessCluster, send, start_behind_relay, wait_for};

/// An idempotent lookup.
const LOOKUP: Call<'static> = Call {
    method: "GET",
    path: "/lookups/free",
    headers: &[],
    body: b"",
};

/// How long a draining target may still get new work.
const NEW_WORK_AFTER_DRAIN_MAX_US: u64 = 2_000_000;

fn target(service: &str, service_ms: f64) -> TargetConfig {
    TargetConfig {
        service: service.to_string(),
        behaviour: Behaviour {
            service_ms,
            ..Behaviour::default()
        },
        ..TargetConfig::default()
    }
}

/// Starts an entry daemon and two guards of one service in two availability zones.
fn start_cluster(service: &str, service_ms: f64) -> ProcessCluster {
    let mut cluster = ProcessCluster::new();
    cluster.add_entry("a");
    for zone in ["a", "b"] {
        let settings = cluster.settings(zone);
        cluster.add_guard(&settings, target(service, service_ms));
    }
    cluster.wait_for_targets(0, service, 2);
    cluster
}

/// Threads that send lookups one after another until they are stopped.
struct Callers {
    stop: std::sync::Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<HttpReply>>>,
}

impl Callers {
    fn start(address: SocketAddr, count: usize) -> Self {
        let stop = std::sync::Arc::new(AtomicBool::new(false));
        let mut threads = Vec::new();
        for _ in 0..count {
            let stop = stop.clone();
            threads.push(std::thread::spawn(move || {
                let mut replies = Vec::new();
                while !stop.load(Ordering::Relaxed) {
                    replies.push(send(address, &LOOKUP));
                }
                replies
            }));
        }
        Self { stop, threads }
    }

    fn end(self) -> Vec<HttpReply> {
        self.stop.store(true, Ordering::Relaxed);
        self.threads
            .into_iter()
            .flat_map(|thread| thread.join().unwrap())
            .collect()
    }
}

#[test]
fn a_rolling_restart_under_load_loses_no_call() {
    let mut cluster = start_cluster("lookups", 5.0);
    let callers = Callers::start(cluster.daemons[0].addresses.caller, 4);
    for index in 1..3 {
        cluster.daemons[index].signal(Signal::SIGTERM);
        assert!(cluster.daemons[index].wait().success());
        let zone = if index == 1 { "a" } else { "b" };
        let settings = cluster.settings(zone);
        cluster.add_guard(&settings, target("lookups", 5.0));
        cluster.wait_for_targets(0, "lookups", 2);
    }
    let replies = callers.end();
    for reply in &replies {
        assert_eq!(
            (reply.status, reply.verdict.as_str()),
            (200, "ran"),
            "{reply:?}"
        );
    }
    assert!(!replies.is_empty());
}

#[test]
fn a_draining_target_gets_no_new_work_after_two_seconds() {
    let cluster = start_cluster("lookups", 1.0);
    let callers = Callers::start(cluster.daemons[0].addresses.caller, 4);
    wait_for("the target runs a request", || {
        !cluster.targets[0].log().runs.is_empty()
    });
    cluster.targets[0].drain();
    let before = cluster.targets[1].log().runs.len();
    wait_for("the other target gets the load", || {
        cluster.targets[1].log().runs.len() > before + 4_000
    });
    for reply in callers.end() {
        assert_eq!(reply.status, 200, "{reply:?}");
    }
    for run in cluster.targets[0].log().runs {
        assert!(
            run.after_drain_us
                .is_none_or(|after_us| after_us < NEW_WORK_AFTER_DRAIN_MAX_US),
            "{run:?}"
        );
    }
}

fn request_ticket(cluster: &ProcessCluster, daemon: usize) -> String {
    let reply = cluster.call(
        daemon,
        &Call {
            method: "POST",
            path: "/payouts/pay",
            ..LOOKUP
        },
    );
    assert_eq!(
        (reply.status, reply.reason.as_str()),
        (428, "ticket_needed"),
        "{reply:?}"
    );
    reply.tickets[0].clone()
}

fn pay(cluster: &ProcessCluster, daemon: usize, ticket: &str, deadline_ms: &str) -> HttpReply {
    let headers = [
        ("x-dragonflylug-ticket", ticket),
        ("x-dragonflylug-request", "a1"),
        ("x-dragonflylug-deadline-ms", deadline_ms),
    ];
    cluster.call(
        daemon,
        &Call {
            method: "POST",
            path: "/payouts/pay",
            headers: &headers,
            body: b"",
        },
    )
}

/// The identifier of the request as the target receives it.
const REQUEST_ID: &str = "00000000000000a1";

/// Returns the index of the guard daemon that issued a ticket.
fn issuer_index(cluster: &ProcessCluster, ticket: &str) -> usize {
    for index in 1..cluster.daemons.len() {
        let own = cluster.daemons[index].status().own.unwrap();
        if ticket.starts_with(&format!("{:016x}-", own.id.0)) {
            return index;
        }
    }
    panic!("no daemon issued {ticket}");
}

/// A guard that is killed while its target runs a payout can't say whether the run completed; a
/// retry through any entry must not run the payout again.
#[test]
fn a_payout_whose_guard_is_killed_during_the_run_runs_once() {
    let mut cluster = start_cluster("payouts", 300.0);
    let ticket = request_ticket(&cluster, 0);
    let issuer = issuer_index(&cluster, &ticket);
    let reply = std::thread::scope(|scope| {
        let paying = scope.spawn(|| pay(&cluster, 0, &ticket, "5000"));
        wait_for("the payout runs", || cluster.runs_of(REQUEST_ID) == 1);
        cluster.daemons[issuer].signal(Signal::SIGKILL);
        paying.join().unwrap()
    });
    assert_eq!(reply.verdict, "may-have-run", "{reply:?}");
    cluster.add_entry("b");
    for daemon in [0, 3, 0] {
        let reply = pay(&cluster, daemon, &ticket, "2000");
        assert_eq!(reply.verdict, "may-have-run", "{reply:?}");
    }
    assert_eq!(cluster.runs_of(REQUEST_ID), 1);
}

/// A guard that was suspended beyond the deadline still has the answer of the finished run, and
/// must return it to a retry instead of running the payout again.
#[test]
fn a_guard_that_was_suspended_returns_the_kept_answer() {
    let cluster = start_cluster("payouts", 50.0);
    let ticket = request_ticket(&cluster, 0);
    let issuer = issuer_index(&cluster, &ticket);
    let reply = std::thread::scope(|scope| {
        let paying = scope.spawn(|| pay(&cluster, 0, &ticket, "1500"));
        wait_for("the payout runs", || cluster.runs_of(REQUEST_ID) == 1);
        cluster.daemons[issuer].signal(Signal::SIGSTOP);
        paying.join().unwrap()
    });
    assert_eq!(reply.verdict, "may-have-run", "{reply:?}");
    cluster.daemons[issuer].signal(Signal::SIGCONT);
    wait_for("a retry gets the kept answer", || {
        pay(&cluster, 0, &ticket, "2000").verdict == "ran"
    });
    assert_eq!(cluster.runs_of(REQUEST_ID), 1);
}

/// A connection on which nothing arrives any more, but which is not closed, must not use up the
/// deadline of a call.
#[test]
fn a_silent_link_is_replaced_within_the_deadline_of_a_lookup() {
    let (cluster, relay) = start_behind_relay(target("lookups", 1.0));
    let headers = [("x-dragonflylug-deadline-ms", "5000")];
    let lookup = Call {
        headers: &headers,
        ..LOOKUP
    };
    for _ in 0..3 {
        assert_eq!(cluster.call(0, &lookup).status, 200);
        relay.stall_connections();
    }
    assert_eq!(cluster.call(0, &lookup).status, 200);
}

/// A connection on which nothing arrives any more while the payout runs must be replaced, and the
/// request repeated on the new one must return the answer of the first run.
#[test]
fn a_payout_on_a_link_that_falls_silent_is_retried_and_runs_once() {
    let (cluster, relay) = start_behind_relay(target("payouts", 200.0));
    let ticket = request_ticket(&cluster, 0);
    let reply = std::thread::scope(|scope| {
        let paying = scope.spawn(|| pay(&cluster, 0, &ticket, "10000"));
        wait_for("the payout runs", || cluster.runs_of(REQUEST_ID) == 1);
        relay.stall_connections();
        paying.join().unwrap()
    });
    assert_eq!(reply.verdict, "ran", "{reply:?}");
    assert_eq!(cluster.runs_of(REQUEST_ID), 1);
}

#[test]
fn with_the_platform_down_lookups_continue_and_a_claim_is_refused_immediately() {
    let cluster = start_cluster("payouts", 1.0);
    cluster.platform.set_fault(Fault {
        mode: FaultMode::Down,
        ..Fault::default()
    });
    let lookup = Call {
        method: "GET",
        path: "/payouts/dues",
        ..LOOKUP
    };
    assert_eq!(cluster.call(0, &lookup).status, 200);
    let ticket = request_ticket(&cluster, 0);
    assert_eq!(pay(&cluster, 0, &ticket, "2000").verdict, "ran");
    let first_attempt_headers = [
        ("idempotency-key", "k1"),
        ("x-dragonflylug-first-try", "true"),
    ];
    let claim = Call {
        method: "POST",
        path: "/payouts/pay",
        headers: &first_attempt_headers,
        body: b"",
    };
    let reply = cluster.call(0, &claim);
    assert_eq!(
        (reply.verdict.as_str(), reply.reason.as_str()),
        ("not-run", "table_unavailable")
    );
    let retry_headers = [("idempotency-key", "k1")];
    let reply = cluster.call(
        0,
        &Call {
            headers: &retry_headers,
            ..claim
        },
    );
    assert_eq!(reply.verdict, "may-have-run", "{reply:?}");
}

#[test]
fn one_claim_through_two_entries_runs_once_and_both_return_its_answer() {
    let mut cluster = start_cluster("payouts", 100.0);
    cluster.add_entry("b");
    cluster.wait_for_targets(3, "payouts", 2);
    let headers = [("idempotency-key", "k2"), ("x-dragonflylug-request", "a1")];
    let claim = Call {
        method: "POST",
        path: "/payouts/pay",
        headers: &headers,
        body: b"",
    };
    let replies: Vec<HttpReply> = std::thread::scope(|scope| {
        let calls: Vec<_> = [0, 3, 0, 3]
            .map(|daemon| {
                let (cluster, claim) = (&cluster, &claim);
                scope.spawn(move || cluster.call(daemon, claim))
            })
            .into_iter()
            .collect();
        calls.into_iter().map(|call| call.join().unwrap()).collect()
    });
    assert_eq!(cluster.runs_of(REQUEST_ID), 1);
    for reply in replies {
        assert_eq!(reply.verdict, "ran", "{reply:?}");
    }
}

/// A target that closes the connection inside an answer must not cause a truncated reply.
#[test]
fn a_truncated_answer_is_never_returned_to_a_caller() {
    let cluster = start_cluster("lookups", 1.0);
    let behaviour = Behaviour {
        mode: TargetMode::CutAnswer,
        ..Behaviour::default()
    };
    cluster.targets[0].set_behaviour(behaviour);
    for _ in 0..20 {
        let reply = cluster.call(0, &LOOKUP);
        assert_eq!(
            (reply.status, reply.verdict.as_str()),
            (200, "ran"),
            "{reply:?}"
        );
    }
}

#[test]
fn a_large_receipt_bundle_arrives_whole() {
    let cluster = start_cluster("receipts", 1.0);
    let headers = [("x-standin-answer-bytes", "6000000")];
    let bundle = Call {
        method: "GET",
        path: "/receipts/all",
        headers: &headers,
        body: b"",
    };
    assert_eq!(cluster.call(0, &bundle).body.len(), 6_000_000);
    let upload = vec![7; 5_000_000];
    let put = Call {
        method: "PUT",
        path: "/receipts/permit",
        headers: &[],
        body: &upload,
    };
    let reply = cluster.call(0, &put);
    assert_eq!((reply.status, reply.body == upload), (200, true));
}
