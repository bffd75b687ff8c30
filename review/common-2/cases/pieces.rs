//! An upstream streams its answers without a length, in small pieces, and turns slow. Its sidecar
//! must stay within its memory, so that the other requests of its machine are answered.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::{Deployment, Route};
use crate::client::{Body, Connection, Outcome, Request, new_id};
use crate::http::Message;
use crate::machine::Machine;
use crate::note;
use crate::upstream::{self, Behaviour, Upstream, Worker};

const SERVICES: [&str; 4] = ["history", "balances", "payouts", "receipts"];

fn routes() -> Vec<Route> {
    vec![
        Route::new("history", "safe", 2, "history"),
        Route::new("balance", "safe", 2, "balances"),
    ]
}

/// The machines whose clients read the history.
const READING: std::ops::Range<usize> = 2..4;

/// The size of an answer and of its pieces.
const ANSWER_BYTES: usize = 36_000;
const PIECE_BYTES: usize = 30;

/// How long the upstream takes for an answer, usually and while it is slow.
const WORK_MS: u64 = 600;
const SLOW_WORK_MS: u64 = 7_200;

/// The clients of each machine that read the history; each sends a request each `PERIOD`, in its
/// first part.
const CLIENTS: usize = 60;
const PERIOD: Duration = Duration::from_millis(4_800);
const PERIOD_PART: Duration = Duration::from_millis(3_600);
const DEADLINE_MS: u64 = 8_000;

const SLOW_FROM: Duration = Duration::from_secs(9);
const SLOW_UNTIL: Duration = Duration::from_secs(18);
const LENGTH: Duration = Duration::from_secs(30);

const KEPT_CLIENTS: usize = 12;
const CUT_MAX: u64 = 3;

/// An upstream that sends its answers in pieces while it works.
struct Streamer {
    work: Mutex<Duration>,
}

impl Behaviour for Arc<Streamer> {
    fn answer(
        &self,
        upstream: &Upstream,
        connection: &mut upstream::Connection,
        request: &Message,
    ) -> bool {
        upstream.record_run(request);
        let work = *self.work.lock().unwrap();
        let id = request.header("request-id").unwrap_or_default();
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: 3e1b.{ANSWER_BYTES:x}.{id}\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        if !connection.send(head.as_bytes()) {
            return false;
        }
        let count = ANSWER_BYTES / PIECE_BYTES;
        let mut piece = format!("{PIECE_BYTES:x}\r\n").into_bytes();
        piece.resize(piece.len() + PIECE_BYTES, b'h');
        piece.extend(b"\r\n");
        let began = Instant::now();
        for index in 0..count {
            let due = work * index as u32 / count as u32;
            std::thread::sleep(due.saturating_sub(began.elapsed()));
            if !connection.send(&piece) {
                return false;
            }
        }
        connection.send(b"0\r\n\r\n")
    }
}

pub fn run(sidecar: &str, is_troubled: bool) -> Result<bool, String> {
    let deployment = Deployment::start(sidecar, &SERVICES, &routes())?;
    let machines = &deployment.machines;
    let streamer = Arc::new(Streamer {
        work: Mutex::new(Duration::from_millis(WORK_MS)),
    });
    let _history = Upstream::start(
        &machines[0],
        SERVICES[0],
        104,
        Box::new(Arc::clone(&streamer)),
    )?;
    let mut others = Vec::new();
    for (machine, service) in machines.iter().zip(SERVICES).skip(1) {
        let worker = Arc::new(Worker::new(500));
        others.push(Upstream::start(machine, service, 104, Box::new(worker))?);
    }
    deployment.wait_until_ready()?;
    let began = Instant::now();
    let cut = Arc::new(AtomicU64::new(0));
    let is_over = Arc::new(AtomicBool::new(false));
    let mut threads = Vec::new();
    for _ in 0..KEPT_CLIENTS {
        let (machine, cut) = (Arc::clone(&machines[0]), Arc::clone(&cut));
        let (balances, is_over) = (Arc::clone(&others[0]), Arc::clone(&is_over));
        threads.push(std::thread::spawn(move || {
            kept_client(&machine, &balances, &is_over, &cut)
        }));
    }
    for machine in &machines[READING] {
        for index in 0..CLIENTS {
            let (machine, is_over) = (Arc::clone(machine), Arc::clone(&is_over));
            threads.push(std::thread::spawn(move || {
                std::thread::sleep(PERIOD_PART * index as u32 / CLIENTS as u32);
                reading_client(&machine, &is_over);
            }));
        }
    }
    std::thread::sleep(SLOW_FROM);
    if is_troubled {
        note("the upstream of the history turns slow");
        *streamer.work.lock().unwrap() = Duration::from_millis(SLOW_WORK_MS);
    }
    std::thread::sleep(SLOW_UNTIL - SLOW_FROM);
    *streamer.work.lock().unwrap() = Duration::from_millis(WORK_MS);
    std::thread::sleep(LENGTH.saturating_sub(began.elapsed()));
    is_over.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    let cut = cut.load(Ordering::SeqCst);
    let kills = machines[0].memory_kills.load(Ordering::SeqCst);
    let line = format!("{cut} requests passed on and cut; {kills} ends by the memory limit");
    note(&line);
    println!("{line}");
    Ok(cut <= CUT_MAX)
}

fn reading_client(machine: &Machine, is_over: &AtomicBool) {
    while !is_over.load(Ordering::SeqCst) {
        let sent = Instant::now();
        let request = Request {
            id: new_id(),
            method: "GET",
            path: "/history/all".into(),
            deadline_ms: DEADLINE_MS,
            body: Body::None,
        };
        let outcome =
            Connection::open(machine.outbound()).map(|mut connection| connection.call(&request));
        note(&format!(
            "{} history {} {outcome:?}",
            machine.name, request.id
        ));
        std::thread::sleep(PERIOD.saturating_sub(sent.elapsed()));
    }
}

/// Sends one request after the other on a kept connection, and counts those that ran and whose
/// connection closed without an answer.
fn kept_client(machine: &Machine, upstream: &Upstream, is_over: &AtomicBool, cut: &AtomicU64) {
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
