//! Some clients of one machine read their downloads slowly for a while. Afterwards the downloads
//! have to be served again.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use super::{Deployment, Route};
use crate::client::{Body, Connection, Request, new_id};
use crate::machine::Machine;
use crate::note;
use crate::upstream::{Upstream, Worker};

const SERVICES: [&str; 4] = ["statements", "balances", "nominations", "contributions"];

fn routes() -> Vec<Route> {
    vec![
        Route::new("download", "download", 2, "statements"),
        Route::new("index", "safe", 1, "statements"),
        Route::new("balance", "safe", 2, "balances"),
    ]
}

/// The size of a download.
const DOWNLOAD_BYTES: usize = 12_000_000;

/// The usual clients of each kind on each of the two machines with clients. Each sends a request
/// each `PERIOD`.
const CLIENTS: usize = 6;
const PERIOD: Duration = Duration::from_millis(4_500);
const DEADLINE_MS: u64 = 4_000;

/// The clients that read slowly: how many, how fast, and for how long the disruption lasts.
const SLOW_CLIENTS: usize = 4;
const SLOW_BYTES_PER_S: usize = 600_000;
const SLOW_DEADLINE_MS: u64 = 8_000;
const SLOW_FROM: Duration = Duration::from_secs(5);
const SLOW_UNTIL: Duration = Duration::from_secs(20);

/// The length of the traffic, and the part at its end that is counted on its own.
const LENGTH: Duration = Duration::from_secs(95);
const LAST_PART: Duration = Duration::from_secs(30);

const KINDS: [(&str, usize); 3] = [
    ("download", DOWNLOAD_BYTES),
    ("index", 2_000),
    ("balance", 2_000),
];

/// The requests of each kind: sent and served, over the whole run and in its last part.
#[derive(Default)]
struct Counts {
    sent: [AtomicU64; 3],
    served: [AtomicU64; 3],
    last_sent: [AtomicU64; 3],
    last_served: [AtomicU64; 3],
}

pub fn run(sidecar: &str, is_troubled: bool) -> Result<bool, String> {
    let deployment = Deployment::start(sidecar, &SERVICES, &routes())?;
    let mut upstreams = Vec::new();
    for (machine, service) in deployment.machines.iter().zip(SERVICES) {
        let worker = Arc::new(Worker::new(100));
        upstreams.push(Upstream::start(machine, service, 104, Box::new(worker))?);
    }
    deployment.wait_until_ready()?;
    let counts = Arc::new(Counts::default());
    let began = Instant::now();
    let mut threads = Vec::new();
    for machine in &deployment.machines[2..] {
        for kind in 0..KINDS.len() {
            for index in 0..CLIENTS {
                let (machine, counts) = (Arc::clone(machine), Arc::clone(&counts));
                threads.push(std::thread::spawn(move || {
                    std::thread::sleep(PERIOD * index as u32 / CLIENTS as u32);
                    usual_client(&machine, kind, began, &counts);
                }));
            }
        }
    }
    for index in 0..SLOW_CLIENTS {
        let machine = Arc::clone(&deployment.machines[2]);
        threads.push(std::thread::spawn(move || {
            std::thread::sleep(SLOW_FROM + Duration::from_millis(50 * index as u64));
            extra_client(&machine, began, is_troubled);
        }));
    }
    for thread in threads {
        let _ = thread.join();
    }
    Ok(judge(&counts))
}

fn usual_client(machine: &Machine, kind: usize, began: Instant, counts: &Counts) {
    let (name, bytes) = KINDS[kind];
    while began.elapsed() < LENGTH - Duration::from_millis(DEADLINE_MS) {
        let sent = Instant::now();
        let is_last_part = began.elapsed() >= LENGTH - LAST_PART;
        let request = Request {
            id: new_id(),
            method: "GET",
            path: format!("/{name}/{bytes}"),
            deadline_ms: DEADLINE_MS,
            body: Body::None,
        };
        let outcome =
            Connection::open(machine.outbound()).map(|mut connection| connection.call(&request));
        let is_served = outcome.as_ref().is_ok_and(|outcome| outcome.is_served());
        let took_ms = sent.elapsed().as_millis();
        note(&format!(
            "{} {name} {} {outcome:?} after {took_ms} ms",
            machine.name, request.id
        ));
        counts.sent[kind].fetch_add(1, Ordering::SeqCst);
        counts.served[kind].fetch_add(u64::from(is_served), Ordering::SeqCst);
        if is_last_part {
            counts.last_sent[kind].fetch_add(1, Ordering::SeqCst);
            counts.last_served[kind].fetch_add(u64::from(is_served), Ordering::SeqCst);
        }
        std::thread::sleep(PERIOD.saturating_sub(sent.elapsed()));
    }
}

/// A client that downloads one body after the other, slowly or at full speed.
fn extra_client(machine: &Machine, began: Instant, is_slow: bool) {
    while began.elapsed() < SLOW_UNTIL {
        let sent = Instant::now();
        let request = Request {
            id: new_id(),
            method: "GET",
            path: format!("/download/{DOWNLOAD_BYTES}"),
            deadline_ms: SLOW_DEADLINE_MS,
            body: Body::None,
        };
        let until = sent + Duration::from_millis(SLOW_DEADLINE_MS);
        if let Ok(mut connection) = Connection::open(machine.outbound()) {
            if is_slow {
                let _ = connection.send(&request);
                let read = connection.read_slowly(SLOW_BYTES_PER_S, until);
                note(&format!(
                    "{} slow download {}: {read} bytes read",
                    machine.name, request.id
                ));
            } else {
                let outcome = connection.call(&request);
                note(&format!(
                    "{} extra download {} {outcome:?}",
                    machine.name, request.id
                ));
            }
        }
        std::thread::sleep(until.saturating_duration_since(Instant::now()));
    }
}

fn judge(counts: &Counts) -> bool {
    let sum = |all: &[AtomicU64; 3]| {
        all.iter()
            .map(|one| one.load(Ordering::SeqCst))
            .sum::<u64>()
    };
    let share = |served: u64, sent: u64| served as f64 / sent.max(1) as f64;
    let all = share(sum(&counts.served), sum(&counts.sent));
    let mut holds = true;
    for (kind, (name, _)) in KINDS.iter().enumerate() {
        let get = |all: &[AtomicU64; 3]| all[kind].load(Ordering::SeqCst);
        let (sent, served) = (get(&counts.sent), get(&counts.served));
        let (last_sent, last_served) = (get(&counts.last_sent), get(&counts.last_served));
        let own = share(served, sent);
        let is_starved = own < all / 4.0;
        note(&format!(
            "{name}: {served} of {sent} served, in the last part {last_served} of {last_sent}; starved: {is_starved}"
        ));
        println!(
            "{name}: {served} of {sent} served, in the last part {last_served} of {last_sent}"
        );
        holds &= !is_starved;
    }
    holds
}
