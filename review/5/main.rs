//! A daemon reads 16 KiB ahead of the requests that it runs for a connection. Behind that it does
//! not see that the client closed the connection: upstreams work on, and get further requests.

#[path = "../common/standins.rs"]
#[allow(dead_code)]
mod standins;

use std::io::{BufReader, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use standins::*;

/// The time that a request takes at an upstream.
const WORK_MS: u64 = 1_500;

/// The clients, and the requests that each sends ahead on its connection.
const CLIENTS: usize = 20;
const REQUESTS_EACH: usize = 24;

/// The size of a cookie that the clients send; the config allows heads of 16,384 bytes.
const COOKIE_BYTES: usize = 3_000;

/// When the clients that give up leave, and the share of them.
const LEAVE_AFTER_MS: u64 = 300;
const LEAVING_PERCENT: usize = 30;

/// A client that left.
struct Left {
    client: usize,
    closed_s: f64,
}

fn main() {
    let folder = std::env::args().nth(1).expect("the folder of the case");
    let scratch = std::env::args().nth(2).expect("a temporary folder");
    let (folder, scratch) = (Path::new(&folder), Path::new(&scratch));
    let record = Record::create(folder);
    let store = Store::start(machine_ip(200));
    let routes = [Route { prefix: "/pens/", kind: "safe", timeout_ms: 8_000, target_latency_ms: 2_000, priority: 1, service: "pens" }];
    write_config(&store, 3, &routes, &["pens", "portal"]);
    let mut machines = Vec::new();
    for (number, service) in [(1, "portal"), (2, "pens"), (3, "pens"), (4, "pens"), (5, "pens")] {
        let upstream = Upstream::start(machine_ip(number), service, 300, WORK_MS, &record);
        let machine = Machine::new(number, scratch, &store, upstream, &record);
        machine.run();
        machine.upstream.report(machine.control, "zone-a");
        machines.push(machine);
    }
    for machine in &machines {
        machine.wait_until_ready();
    }
    thread::sleep(Duration::from_secs(4));

    // Each client sends its requests at once; with the disruption, some leave a little later.
    let leaving = if has_trouble() { CLIENTS * LEAVING_PERCENT / 100 } else { 0 };
    record.say(&format!(
        "{CLIENTS} clients send {REQUESTS_EACH} requests each; {leaving} of them leave after {LEAVE_AFTER_MS} ms"
    ));
    let left: Arc<Mutex<Vec<Left>>> = Arc::default();
    let served = Arc::new(Mutex::new(0));
    let mut clients = Vec::new();
    for client in 0..CLIENTS {
        let outbound = machines[0].outbound;
        let (left, served, record) = (Arc::clone(&left), Arc::clone(&served), Arc::clone(&record));
        clients.push(thread::spawn(move || {
            let Some(stream) = connect(outbound) else { return };
            let cookie = "c".repeat(COOKIE_BYTES);
            let mut text = String::new();
            for number in 0..REQUESTS_EACH {
                text.push_str(&format!(
                    "GET /pens/200/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: pens-{client}-{number}\r\nDeadline-Ms: 8000\r\nCookie: {cookie}\r\n\r\n"
                ));
            }
            if (&stream).write_all(text.as_bytes()).is_err() {
                return;
            }
            record.line(&format!("client {client} sent its requests"));
            if client < leaving {
                thread::sleep(Duration::from_millis(LEAVE_AFTER_MS));
                drop(stream);
                let closed_s = record.seconds();
                record.line(&format!("client {client} closed its connection"));
                left.lock().unwrap().push(Left { client, closed_s });
                return;
            }
            let _ = stream.set_read_timeout(Some(Duration::from_secs(9)));
            let mut reader = BufReader::new(&stream);
            for number in 0..REQUESTS_EACH {
                let Ok(Some(head)) = read_head(&mut reader) else { return };
                if read_body(&mut reader, &head).is_err() {
                    return;
                }
                let is_own = head.get("request-id") == Some(format!("pens-{client}-{number}").as_str());
                record.line(&format!("client {client}: answer {number}: {}, own: {is_own}", head.status()));
                *served.lock().unwrap() += usize::from(head.status() == 200 && is_own);
            }
        }));
    }
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(Duration::from_secs(4));

    // The judgement: requests of clients that had left, at upstreams half a second later.
    let (mut arrived, mut still_at_work, mut would_have_lasted) = (0, 0, 0);
    for left in left.lock().unwrap().iter() {
        let prefix = format!("pens-{}-", left.client);
        for machine in &machines {
            for run in machine.upstream.runs.lock().unwrap().iter() {
                if !run.id.starts_with(&prefix) {
                    continue;
                }
                let limit_s = left.closed_s + 0.5;
                if run.began_s > limit_s {
                    arrived += 1;
                    continue;
                }
                // Only what would have lasted so long counts.
                if run.began_s < left.closed_s && run.began_s + WORK_MS as f64 / 1_000.0 > limit_s {
                    would_have_lasted += 1;
                    let ended_s = run.ended_s.unwrap_or(f64::INFINITY);
                    still_at_work += usize::from(ended_s > limit_s);
                }
            }
        }
    }
    record.say(&format!("{} answers to the clients that stayed", served.lock().unwrap()));
    record.say(&format!("{arrived} requests reached an upstream over 0.5 s after their client had closed its connection"));
    record.say(&format!("upstreams were still at work on {still_at_work} of {would_have_lasted} requests 0.5 s after that"));
    for machine in &machines {
        machine.kill();
    }
    if arrived > 5 || still_at_work * 4 > would_have_lasted {
        record.say("GONE is broken");
        std::process::exit(1);
    }
    record.say("GONE holds");
}
