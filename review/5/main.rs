//! The store comes back from an older copy and gives versions out again. Daemons go on reading changes
//! after a version of before, and miss a config for good.

#[path = "../common/standins.rs"]
#[allow(dead_code)]
mod standins;

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use standins::*;

/// How old the copy is, and how long the store is away.
const COPY_AGE: Duration = Duration::from_secs(4);
const AWAY: Duration = Duration::from_millis(1_500);

/// `config_apply`, `outer` and `stable` in the settings. Requests count that are sent later than all of
/// them together after the ack.
const CONFIG_APPLY_S: f64 = 2.0;
const OUTER_S: f64 = 5.0;
const STABLE_S: f64 = 3.0;

/// How long requests are judged after that.
const JUDGED_S: f64 = 40.0;

struct Sent {
    id: String,
    sent_s: f64,
    outcome: Outcome,
}

/// Writes a config whose route goes to a service.
fn write_version(store: &Store, version: u32, service: &str) {
    let routes = [
        Route { prefix: "/dates/", kind: "safe", timeout_ms: 2_000, target_latency_ms: 1_000, priority: 1, service },
    ];
    write_config(store, version, &routes, &["old-calendar", "calendar", "new-calendar", "portal"]);
}

/// The upstreams write their rows.
fn write_upstreams(store: &Store, machines: &[Arc<Machine>]) {
    for machine in machines {
        let instance = &machine.upstream.instance;
        store.put("servers", instance, &format!("{{\"service\":{}}}", quote(&machine.upstream.service)));
    }
}

fn main() {
    let folder = std::env::args().nth(1).expect("the folder of the case");
    let scratch = std::env::args().nth(2).expect("a temporary folder");
    let (folder, scratch) = (Path::new(&folder), Path::new(&scratch));
    let record = Record::create(folder);
    let store = Store::start(machine_ip(200));
    write_version(&store, 3, "old-calendar");
    let mut machines = Vec::new();
    for (number, service) in [(1, "old-calendar"), (2, "calendar"), (3, "new-calendar"), (4, "portal"), (5, "portal")] {
        let upstream = Upstream::start(machine_ip(number), service, 100, 20, &record);
        let machine = Machine::new(number, scratch, &store, upstream, &record);
        machine.run();
        machine.upstream.report(machine.control, "zone-a");
        machines.push(machine);
    }
    for machine in &machines {
        machine.wait_until_ready();
    }
    thread::sleep(Duration::from_secs(8));

    // Clients on both machines of `portal`: ten requests a second each.
    let ends = Arc::new(AtomicBool::new(false));
    let traffic: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let mut clients = Vec::new();
    for machine in &machines[3..] {
        let (ends, traffic, record, outbound) = (Arc::clone(&ends), Arc::clone(&traffic), Arc::clone(&record), machine.outbound);
        let name = machine.name.clone();
        clients.push(thread::spawn(move || {
            for number in 0.. {
                if ends.load(Ordering::SeqCst) {
                    return;
                }
                let id = format!("{name}-{number}");
                let sent_s = record.seconds();
                let request = ClientRequest { method: "GET", path: "/dates/100/x".into(), id: id.clone(), deadline_ms: 2_000, body: Body::None };
                let outcome = call_once(outbound, &request);
                record.line(&format!("client: {id}: {outcome:?}"));
                traffic.lock().unwrap().push(Sent { id, sent_s, outcome });
                thread::sleep(Duration::from_millis(100));
            }
        }));
    }

    // The upstreams write their rows, and the operator a version. A little later the store is away,
    // and what was written since the copy is lost, written again, and followed by a further version.
    write_upstreams(&store, &machines);
    write_version(&store, 4, "calendar");
    record.say(&format!("the operator wrote r4 (to `calendar`), at version {} of the store", store.version()));
    thread::sleep(Duration::from_secs(3));
    if has_trouble() {
        record.say(&format!("drill: the store is away for {AWAY:?} and comes back from a copy {COPY_AGE:?} old"));
        store.drill(COPY_AGE, AWAY, |store| {
            record.say(&format!("the copy has version {} of the store", store.version()));
            write_version(store, 4, "calendar");
            write_version(store, 5, "new-calendar");
            record.say(&format!("the operator wrote r4 again, and r5 (to `new-calendar`) at version {} of the store", store.version()));
            write_upstreams(store, &machines);
            record.say(&format!("the upstreams wrote their rows again, up to version {} of the store", store.version()));
        });
    } else {
        thread::sleep(AWAY);
        write_version(&store, 5, "new-calendar");
        record.say(&format!("the operator wrote r5 (to `new-calendar`), at version {} of the store", store.version()));
    }
    let acked_s = record.seconds();
    let from_s = acked_s + CONFIG_APPLY_S + OUTER_S + STABLE_S;
    thread::sleep(Duration::from_secs_f64(from_s - acked_s + JUDGED_S));
    ends.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }

    // The judgement: which service ran the requests that were sent later than the bound.
    let (mut by_older, mut by_newest, mut count) = (0, 0, 0);
    for sent in traffic.lock().unwrap().iter() {
        if sent.sent_s < from_s {
            continue;
        }
        count += 1;
        by_older += usize::from(machines[..2].iter().any(|machine| machine.upstream.has_run(&sent.id)));
        by_newest += usize::from(machines[2].upstream.has_run(&sent.id) && sent.outcome.is_served());
    }
    record.say(&format!(
        "of {count} requests sent over {:.0} s after the ack of r5, {by_older} were run by the service of r4 and {by_newest} by that of r5",
        from_s - acked_s
    ));
    for machine in &machines {
        machine.kill();
    }
    if by_older > 0 {
        record.say("CONFIG is broken");
        std::process::exit(1);
    }
    record.say("CONFIG holds");
}
