//! The promises on real processes: stops, kills, pauses, silent links and an absent platform.

#[path = "support/processes.rs"]
mod processes;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;

use dragonflylug_standins::platform::{Fault, FaultMode};
use dragonflylug_standins::target::{Behaviour, Mode, TargetConfig};
use nix::sys::signal::Signal;
use processes::{Call, HttpReply, ProcessCluster, behind_relay, send, wait_for};

/// A lookup, which may run more than once.
const LOOKUP: Call<'static> = Call {
    method: "GET",
    path: "/lookups/free",
    headers: &[],
    body: b"",
};

/// The time after which a leaving target gets no new work.
const LEAVING_US: u64 = 2_000_000;

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

/// An entry daemon and two guards of one service in two zones.
fn bench(service: &str, service_ms: f64) -> ProcessCluster {
    let mut bench = ProcessCluster::new();
    bench.add_entry("a");
    for zone in ["a", "b"] {
        let settings = bench.settings(zone);
        bench.add_guard(&settings, target(service, service_ms));
    }
    bench.wait_for_targets(0, service, 2);
    bench
}

/// Callers that call one after the other until they are told to stop.
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
fn a_zone_restarted_in_turn_under_load_loses_no_call() {
    let mut bench = bench("lookups", 5.0);
    let callers = Callers::start(bench.daemons[0].addresses.caller, 4);
    for place in 1..3 {
        bench.daemons[place].signal(Signal::SIGTERM);
        assert!(bench.daemons[place].wait().success());
        let zone = if place == 1 { "a" } else { "b" };
        let settings = bench.settings(zone);
        bench.add_guard(&settings, target("lookups", 5.0));
        bench.wait_for_targets(0, "lookups", 2);
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
fn a_target_that_drains_gets_no_new_work_after_two_seconds() {
    let bench = bench("lookups", 1.0);
    let callers = Callers::start(bench.daemons[0].addresses.caller, 4);
    wait_for("the target works", || {
        !bench.targets[0].log().runs.is_empty()
    });
    bench.targets[0].drain();
    let before = bench.targets[1].log().runs.len();
    wait_for("the other takes over", || {
        bench.targets[1].log().runs.len() > before + 4_000
    });
    for reply in callers.end() {
        assert_eq!(reply.status, 200, "{reply:?}");
    }
    for run in bench.targets[0].log().runs {
        assert!(
            run.after_drain_us
                .is_none_or(|after_us| after_us < LEAVING_US),
            "{run:?}"
        );
    }
}

fn take_ticket(bench: &ProcessCluster, daemon: usize) -> String {
    let reply = bench.call(
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

fn pay(bench: &ProcessCluster, daemon: usize, ticket: &str, deadline_ms: &str) -> HttpReply {
    let headers = [
        ("x-dragonflylug-ticket", ticket),
        ("x-dragonflylug-request", "a1"),
        ("x-dragonflylug-deadline-ms", deadline_ms),
    ];
    bench.call(
        daemon,
        &Call {
            method: "POST",
            path: "/payouts/pay",
            headers: &headers,
            body: b"",
        },
    )
}

/// The request's identifier as targets see it.
const REQUEST: &str = "00000000000000a1";

/// Finds the daemon that issued a ticket among the guards.
fn issuer(bench: &ProcessCluster, ticket: &str) -> usize {
    for place in 1..bench.daemons.len() {
        let own = bench.daemons[place].status().own.unwrap();
        if ticket.starts_with(&format!("{:016x}-", own.id.0)) {
            return place;
        }
    }
    panic!("no daemon issued {ticket}");
}

#[test]
fn a_runner_killed_during_the_run_runs_the_payout_once() {
    let mut bench = bench("payouts", 300.0);
    let ticket = take_ticket(&bench, 0);
    let place = issuer(&bench, &ticket);
    let reply = std::thread::scope(|scope| {
        let paying = scope.spawn(|| pay(&bench, 0, &ticket, "5000"));
        wait_for("the payout runs", || bench.runs_of(REQUEST) == 1);
        bench.daemons[place].signal(Signal::SIGKILL);
        paying.join().unwrap()
    });
    assert_eq!(reply.verdict, "may-have-run", "{reply:?}");
    bench.add_entry("b");
    for daemon in [0, 3, 0] {
        let reply = pay(&bench, daemon, &ticket, "2000");
        assert_eq!(reply.verdict, "may-have-run", "{reply:?}");
    }
    assert_eq!(bench.runs_of(REQUEST), 1);
}

#[test]
fn a_runner_that_was_paused_gives_the_kept_answer() {
    let bench = bench("payouts", 50.0);
    let ticket = take_ticket(&bench, 0);
    let place = issuer(&bench, &ticket);
    let reply = std::thread::scope(|scope| {
        let paying = scope.spawn(|| pay(&bench, 0, &ticket, "1500"));
        wait_for("the payout runs", || bench.runs_of(REQUEST) == 1);
        bench.daemons[place].signal(Signal::SIGSTOP);
        paying.join().unwrap()
    });
    assert_eq!(reply.verdict, "may-have-run", "{reply:?}");
    bench.daemons[place].signal(Signal::SIGCONT);
    wait_for("the kept answer", || {
        pay(&bench, 0, &ticket, "2000").verdict == "ran"
    });
    assert_eq!(bench.runs_of(REQUEST), 1);
}

#[test]
fn a_silent_link_is_replaced_within_the_deadline_of_a_lookup() {
    let (bench, relay) = behind_relay(target("lookups", 1.0));
    let headers = [("x-dragonflylug-deadline-ms", "5000")];
    let lookup = Call {
        headers: &headers,
        ..LOOKUP
    };
    for _ in 0..3 {
        assert_eq!(bench.call(0, &lookup).status, 200);
        relay.silence();
    }
    assert_eq!(bench.call(0, &lookup).status, 200);
}

#[test]
fn a_payout_on_a_link_that_falls_silent_is_asked_again_and_runs_once() {
    let (bench, relay) = behind_relay(target("payouts", 200.0));
    let ticket = take_ticket(&bench, 0);
    let reply = std::thread::scope(|scope| {
        let paying = scope.spawn(|| pay(&bench, 0, &ticket, "10000"));
        wait_for("the payout runs", || bench.runs_of(REQUEST) == 1);
        relay.silence();
        paying.join().unwrap()
    });
    assert_eq!(reply.verdict, "ran", "{reply:?}");
    assert_eq!(bench.runs_of(REQUEST), 1);
}

#[test]
fn with_the_platform_down_lookups_go_on_and_a_claim_is_refused_at_once() {
    let bench = bench("payouts", 1.0);
    bench.platform.set_fault(Fault {
        mode: FaultMode::Down,
        ..Fault::default()
    });
    let lookup = Call {
        method: "GET",
        path: "/payouts/dues",
        ..LOOKUP
    };
    assert_eq!(bench.call(0, &lookup).status, 200);
    let ticket = take_ticket(&bench, 0);
    assert_eq!(pay(&bench, 0, &ticket, "2000").verdict, "ran");
    let first = [
        ("idempotency-key", "k1"),
        ("x-dragonflylug-first-try", "true"),
    ];
    let claim = Call {
        method: "POST",
        path: "/payouts/pay",
        headers: &first,
        body: b"",
    };
    let reply = bench.call(0, &claim);
    assert_eq!(
        (reply.verdict.as_str(), reply.reason.as_str()),
        ("not-run", "table_unavailable")
    );
    let again = [("idempotency-key", "k1")];
    let reply = bench.call(
        0,
        &Call {
            headers: &again,
            ..claim
        },
    );
    assert_eq!(reply.verdict, "may-have-run", "{reply:?}");
}

#[test]
fn one_claim_through_two_daemons_runs_once_and_both_get_its_answer() {
    let mut bench = bench("payouts", 100.0);
    bench.add_entry("b");
    bench.wait_for_targets(3, "payouts", 2);
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
                let (bench, claim) = (&bench, &claim);
                scope.spawn(move || bench.call(daemon, claim))
            })
            .into_iter()
            .collect();
        calls.into_iter().map(|call| call.join().unwrap()).collect()
    });
    assert_eq!(bench.runs_of(REQUEST), 1);
    for reply in replies {
        assert_eq!(reply.verdict, "ran", "{reply:?}");
    }
}

#[test]
fn a_cut_answer_is_never_passed_on() {
    let bench = bench("lookups", 1.0);
    let behaviour = Behaviour {
        mode: Mode::CutAnswer,
        ..Behaviour::default()
    };
    bench.targets[0].set_behaviour(behaviour);
    for _ in 0..20 {
        let reply = bench.call(0, &LOOKUP);
        assert_eq!(
            (reply.status, reply.verdict.as_str()),
            (200, "ran"),
            "{reply:?}"
        );
    }
}

#[test]
fn a_large_receipt_bundle_arrives_whole() {
    let bench = bench("receipts", 1.0);
    let headers = [("x-standin-answer-bytes", "6000000")];
    let bundle = Call {
        method: "GET",
        path: "/receipts/all",
        headers: &headers,
        body: b"",
    };
    assert_eq!(bench.call(0, &bundle).body.len(), 6_000_000);
    let upload = vec![7; 5_000_000];
    let put = Call {
        method: "PUT",
        path: "/receipts/permit",
        headers: &[],
        body: &upload,
    };
    let reply = bench.call(0, &put);
    assert_eq!((reply.status, reply.body == upload), (200, true));
}
