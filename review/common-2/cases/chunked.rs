//! More clients than usual upload bodies in chunks at the same time. The process must stay within
//! its memory, so that the other requests of its machine are answered.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use super::{Deployment, Route};
use crate::client::{Body, Connection, Outcome, Request, new_id};
use crate::machine::Machine;
use crate::note;
use crate::upstream::{Upstream, Worker};

const SERVICES: [&str; 5] = ["payouts", "balances", "receipts", "receipts", "receipts"];

fn routes() -> Vec<Route> {
    vec![
        Route::new("upload", "upload", 1, "receipts"),
        Route::new("balance", "safe", 2, "balances"),
    ]
}

/// The clients that upload at the same time, usually and in the burst.
const USUAL_UPLOADS: usize = 15;
const BURST_UPLOADS: usize = 27;

/// The size of an upload and the time that its client takes to send it.
const UPLOAD_BYTES: usize = 8 * 1024 * 1024;
const UPLOAD_TIME: Duration = Duration::from_millis(2_500);

/// The time between the first bytes of two clients.
const SPACING: Duration = Duration::from_millis(20);

/// The clients with kept connections, and the traffic's length.
const KEPT_CLIENTS: usize = 12;
const LENGTH: Duration = Duration::from_secs(25);
const UPLOADS_FROM: Duration = Duration::from_secs(5);
const UPLOADS_UNTIL: Duration = Duration::from_secs(20);

/// How many requests may be cut in this way.
const CUT_MAX: u64 = 3;

pub fn run(sidecar: &str, is_troubled: bool) -> Result<bool, String> {
    let deployment = Deployment::start(sidecar, &SERVICES, &routes())?;
    let mut upstreams = Vec::new();
    for (machine, service) in deployment.machines.iter().zip(SERVICES) {
        let worker = Arc::new(Worker::new(500));
        upstreams.push(Upstream::start(machine, service, 104, Box::new(worker))?);
    }
    deployment.wait_until_ready()?;
    let began = Instant::now();
    let machine = &deployment.machines[0];
    let cut = Arc::new(AtomicU64::new(0));
    let is_over = Arc::new(AtomicBool::new(false));
    let mut kept = Vec::new();
    for _ in 0..KEPT_CLIENTS {
        let (machine, cut) = (Arc::clone(machine), Arc::clone(&cut));
        let (balances, is_over) = (Arc::clone(&upstreams[1]), Arc::clone(&is_over));
        kept.push(std::thread::spawn(move || {
            kept_client(&machine, &balances, &is_over, &cut)
        }));
    }
    let uploads = match is_troubled {
        true => BURST_UPLOADS,
        false => USUAL_UPLOADS,
    };
    let mut uploading = Vec::new();
    for index in 0..uploads {
        let machine = Arc::clone(machine);
        let from = UPLOADS_FROM + SPACING * index as u32;
        uploading.push(std::thread::spawn(move || {
            uploading_client(&machine, began, from)
        }));
    }
    for thread in uploading {
        let _ = thread.join();
    }
    std::thread::sleep(LENGTH.saturating_sub(began.elapsed()));
    is_over.store(true, Ordering::SeqCst);
    for thread in kept {
        let _ = thread.join();
    }
    let cut = cut.load(Ordering::SeqCst);
    let kills = machine.memory_kills.load(Ordering::SeqCst);
    note(&format!(
        "{cut} requests passed on and cut; {kills} ends by the memory limit"
    ));
    println!("{cut} requests passed on and cut; {kills} ends by the memory limit");
    Ok(cut <= CUT_MAX)
}

/// Sends one request after the other on a kept connection, and counts those that ran and whose
/// connection closed without an answer.
pub fn kept_client(machine: &Machine, upstream: &Upstream, is_over: &AtomicBool, cut: &AtomicU64) {
    while !is_over.load(Ordering::SeqCst) {
        let Ok(mut connection) = Connection::open(machine.outbound()) else {
            std::thread::sleep(Duration::from_millis(100));
            continue;
        };
        while !is_over.load(Ordering::SeqCst) {
            let request = Request {
                id: new_id(),
                method: "GET",
                path: "/balance/2000".into(),
                deadline_ms: 6_000,
                body: Body::None,
            };
            let is_kept = connection.answered > 0;
            let outcome = connection.call(&request);
            let ran = upstream.runs_of(&request.id);
            note(&format!(
                "{} balance {} {outcome:?}, run {ran} times",
                machine.name, request.id
            ));
            if matches!(outcome, Outcome::Answered { .. }) {
                continue;
            }
            if outcome == Outcome::Closed && is_kept && ran > 0 {
                cut.fetch_add(1, Ordering::SeqCst);
            }
            break;
        }
    }
}

fn uploading_client(machine: &Machine, began: Instant, from: Duration) {
    std::thread::sleep(from.saturating_sub(began.elapsed()));
    while began.elapsed() < UPLOADS_UNTIL {
        let request = Request {
            id: new_id(),
            method: "POST",
            path: "/upload/1000".into(),
            deadline_ms: 6_000,
            body: Body::Chunked(UPLOAD_BYTES, UPLOAD_TIME),
        };
        let outcome =
            Connection::open(machine.outbound()).map(|mut connection| connection.call(&request));
        note(&format!(
            "{} upload {} {outcome:?}",
            machine.name, request.id
        ));
        std::thread::sleep(Duration::from_millis(500));
    }
}
