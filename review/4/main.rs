//! During a planned stop a daemon takes calls of the upstream beside it to the end, and cuts those that
//! are not answered when its time is over.

#[path = "../common/standins.rs"]
#[allow(dead_code)]
mod standins;

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use standins::*;

/// The time that an upstream of `desk` works before its call, and that an upstream of `ledger` works on
/// the call.
const DESK_MS: u64 = 2_800;
const LEDGER_MS: u64 = 3_400;

/// `grace` in the settings, after which the platform kills a process that it told to stop.
const GRACE_S: f64 = 6.0;

/// The rule does not count requests that were sent up to this long after the SIGTERM and at which an
/// upstream is still at work in the last sixth of `grace`.
const EXCUSED_S: f64 = 3.0;

fn main() {
    let folder = std::env::args().nth(1).expect("the folder of the case");
    let scratch = std::env::args().nth(2).expect("a temporary folder");
    let (folder, scratch) = (Path::new(&folder), Path::new(&scratch));
    let record = Record::create(folder);
    let store = Store::start(machine_ip(200));
    let routes = [
        Route { prefix: "/bookings/", kind: "safe", timeout_ms: 8_000, target_latency_ms: 6_000, priority: 1, service: "desk" },
        Route { prefix: "/ledger/", kind: "safe", timeout_ms: 8_000, target_latency_ms: 4_000, priority: 1, service: "ledger" },
    ];
    write_config(&store, 3, &routes, &["desk", "ledger", "portal"]);
    let mut machines = Vec::new();
    for (number, service) in [(1, "desk"), (2, "desk"), (3, "ledger"), (4, "ledger"), (5, "portal")] {
        let work_ms = if service == "desk" { DESK_MS } else { LEDGER_MS };
        let upstream = Upstream::start(machine_ip(number), service, 300, work_ms, &record);
        let machine = Machine::new(number, scratch, &store, upstream, &record);
        machine.run();
        machine.upstream.report(machine.control, "zone-a");
        if service == "desk" {
            let nested = Nested { outbound: machine.outbound, path: "/ledger/500/x".into() };
            *machine.upstream.nested.lock().unwrap() = Some(nested);
        }
        machines.push(machine);
    }
    for machine in &machines {
        machine.wait_until_ready();
        machine.probe();
    }
    thread::sleep(Duration::from_secs(4));

    // Clients on the machine of `portal`: twenty requests a second, each for 6.2 s.
    let ends = Arc::new(AtomicBool::new(false));
    let clients = {
        let (ends, record, outbound) = (Arc::clone(&ends), Arc::clone(&record), machines[4].outbound);
        thread::spawn(move || {
            let mut calls = Vec::new();
            for number in 0.. {
                if ends.load(Ordering::SeqCst) {
                    break;
                }
                let record = Arc::clone(&record);
                calls.push(thread::spawn(move || {
                    let id = format!("booking-{number}");
                    let request = ClientRequest { method: "GET", path: "/bookings/500/x".into(), id: id.clone(), deadline_ms: 8_000, body: Body::None };
                    let outcome = call_once(outbound, &request);
                    record.line(&format!("client: {id}: {outcome:?}"));
                }));
                thread::sleep(Duration::from_millis(50));
            }
            for call in calls {
                let _ = call.join();
            }
        })
    };
    thread::sleep(Duration::from_secs(8));

    // The planned stop of the daemon of one machine: that whose upstream works on more requests. The
    // upstream runs on.
    let at_work = |index: usize| machines[index].upstream.at_work.load(Ordering::SeqCst);
    let stopped = if at_work(0) >= at_work(1) { &machines[0] } else { &machines[1] };
    let (began, began_s) = (Instant::now(), record.seconds());
    if has_trouble() {
        record.say(&format!("roll_term: SIGTERM to {}", stopped.name));
        stopped.terminate();
        while began.elapsed().as_secs_f64() < GRACE_S && !stopped.has_ended() {
            thread::sleep(Duration::from_millis(10));
        }
        record.say(&format!("{} ended by itself: {}, after {:.3} s", stopped.name, stopped.has_ended(), began.elapsed().as_secs_f64()));
        stopped.kill();
        thread::sleep(Duration::from_millis(500));
        stopped.run();
    } else {
        thread::sleep(Duration::from_secs(7));
    }
    thread::sleep(Duration::from_secs(4));
    ends.store(true, Ordering::SeqCst);
    let _ = clients.join();

    // The judgement: calls that the stopped machine's daemon took from the upstream.
    let (mut cut, mut excused) = (0, 0);
    for call in stopped.upstream.nested_calls.lock().unwrap().iter() {
        let ran = machines[2..4].iter().any(|machine| machine.upstream.has_run(&call.id));
        let is_around = call.sent_s > began_s - 8.0 && call.sent_s < began_s + GRACE_S + 1.0;
        if call.outcome != Outcome::Closed || !ran || !is_around || call.ended_s >= call.deadline_s {
            continue;
        }
        let after_s = call.sent_s - began_s;
        if after_s <= EXCUSED_S {
            excused += 1;
            continue;
        }
        cut += 1;
        record.line(&format!(
            "{}: sent {after_s:.3} s after the SIGTERM, ran, cut after {:.3} s with {:.3} s of its time left",
            call.id, call.ended_s - call.sent_s, call.deadline_s - call.ended_s
        ));
    }
    record.say(&format!(
        "{cut} calls that were sent over {EXCUSED_S} s after the SIGTERM were passed on and ended without an answer ({excused} earlier ones don't count)"
    ));
    for machine in &machines {
        machine.kill();
    }
    if cut > 0 {
        record.say("LOST is broken");
        std::process::exit(1);
    }
    record.say("LOST holds");
}
