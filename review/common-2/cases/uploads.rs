//! The upstream of uploads turns slow. Its sidecar must stay within its memory, so that the other
//! requests of its machine are answered.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use super::chunked::kept_client;
use super::{Deployment, Route};
use crate::client::{Body, Connection, Request, new_id};
use crate::machine::Machine;
use crate::note;
use crate::upstream::{Upstream, Worker};

const SERVICES: [&str; 9] = [
    "receipts", "balances", "payouts", "payouts", "payouts", "payouts", "payouts", "payouts",
    "payouts",
];

fn routes() -> Vec<Route> {
    vec![
        Route::new("upload", "upload", 1, "receipts"),
        Route::new("balance", "safe", 2, "balances"),
    ]
}

/// The machines whose clients upload: all after these.
const FIRST_UPLOADING: usize = 2;

/// The size of an upload.
const UPLOAD_BYTES: usize = 16 * 1024 * 1024;

/// The time between two uploads of a machine, and the time budget of one.
const UPLOAD_PERIOD: Duration = Duration::from_millis(1_500);
const UPLOAD_DEADLINE_MS: u64 = 6_000;

/// The work of the upstream, usually and while it is slow.
const WORK_MS: u64 = 800;
const SLOW_WORK_MS: u64 = 4_000;

const SLOW_FROM: Duration = Duration::from_secs(8);
const SLOW_UNTIL: Duration = Duration::from_millis(14_500);
const LENGTH: Duration = Duration::from_secs(25);

const KEPT_CLIENTS: usize = 12;
const CUT_MAX: u64 = 3;

pub fn run(sidecar: &str, is_troubled: bool) -> Result<bool, String> {
    let deployment = Deployment::start(sidecar, &SERVICES, &routes())?;
    let mut upstreams = Vec::new();
    let receipts = Arc::new(Worker::new(WORK_MS));
    for (machine, service) in deployment.machines.iter().zip(SERVICES) {
        let worker = match service {
            "receipts" => Arc::clone(&receipts),
            _ => Arc::new(Worker::new(500)),
        };
        upstreams.push(Upstream::start(machine, service, 104, Box::new(worker))?);
    }
    deployment.wait_until_ready()?;
    let began = Instant::now();
    let cut = Arc::new(AtomicU64::new(0));
    let is_over = Arc::new(AtomicBool::new(false));
    let mut threads = Vec::new();
    for _ in 0..KEPT_CLIENTS {
        let (machine, cut) = (Arc::clone(&deployment.machines[0]), Arc::clone(&cut));
        let (balances, is_over) = (Arc::clone(&upstreams[1]), Arc::clone(&is_over));
        threads.push(std::thread::spawn(move || {
            kept_client(&machine, &balances, &is_over, &cut)
        }));
    }
    for (index, machine) in deployment.machines[FIRST_UPLOADING..].iter().enumerate() {
        let (machine, is_over) = (Arc::clone(machine), Arc::clone(&is_over));
        threads.push(std::thread::spawn(move || {
            std::thread::sleep(Duration::from_millis(200 * index as u64));
            upload_regularly(&machine, &is_over);
        }));
    }
    std::thread::sleep(SLOW_FROM);
    if is_troubled {
        note("the upstream of uploads turns slow");
        *receipts.work.lock().unwrap() = Duration::from_millis(SLOW_WORK_MS);
    }
    std::thread::sleep(SLOW_UNTIL - SLOW_FROM);
    *receipts.work.lock().unwrap() = Duration::from_millis(WORK_MS);
    std::thread::sleep(LENGTH.saturating_sub(began.elapsed()));
    is_over.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    let cut = cut.load(Ordering::SeqCst);
    let kills = deployment.machines[0].memory_kills.load(Ordering::SeqCst);
    note(&format!(
        "{cut} requests passed on and cut; {kills} ends by the memory limit"
    ));
    println!("{cut} requests passed on and cut; {kills} ends by the memory limit");
    Ok(cut <= CUT_MAX)
}

fn upload_regularly(machine: &Arc<Machine>, is_over: &AtomicBool) {
    while !is_over.load(Ordering::SeqCst) {
        let uploading = Arc::clone(machine);
        std::thread::spawn(move || {
            let request = Request {
                id: new_id(),
                method: "POST",
                path: "/upload/1000".into(),
                deadline_ms: UPLOAD_DEADLINE_MS,
                body: Body::Length(UPLOAD_BYTES),
            };
            let outcome = Connection::open(uploading.outbound())
                .map(|mut connection| connection.call(&request));
            note(&format!(
                "{} upload {} {outcome:?}",
                uploading.name, request.id
            ));
        });
        std::thread::sleep(UPLOAD_PERIOD);
    }
}
