//! A sidecar is stopped while its upstream works on requests and makes calls of its own. One in
//! forty of these calls takes seven times as long as the others. A call that is passed on must be
//! answered by its upstream, or else be refused before it runs.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::{Deployment, Route};
use crate::client::{Body, Connection, Outcome, Request, new_id};
use crate::http::Message;
use crate::machine::Machine;
use crate::upstream::{self, Behaviour, Upstream, Worker};
use crate::{note, now_ms};

const SERVICES: [&str; 4] = ["nominations", "statements", "balances", "nominations"];

fn routes() -> Vec<Route> {
    vec![
        Route::new("lookup", "safe", 2, "nominations"),
        Route::new("index", "safe", 1, "statements"),
    ]
}

/// The machine that is stopped, and the one with the clients.
const STOPPED: usize = 0;
const WITH_CLIENTS: usize = 2;

/// A client sends a lookup each `PERIOD`; there are two upstreams for them.
const CLIENTS: usize = 64;
const PERIOD: Duration = Duration::from_millis(3_200);
const DEADLINE_MS: u64 = 5_000;

/// How long a lookup takes before it makes its call; one in `CALL_EVERY` makes one.
const LOOKUP_WORK: Duration = Duration::from_millis(2_800);
const CALL_EVERY: u64 = 12;

/// How long a call takes, usually and one time in `SLOW_EVERY`.
const CALL_WORK: Duration = Duration::from_millis(300);
const SLOW_CALL_WORK: Duration = Duration::from_millis(2_100);
const SLOW_EVERY: u64 = 40;

/// When the sidecar is stopped, and the part of the stop in which the slow call comes.
const STOP_AFTER: Duration = Duration::from_secs(50);
const SLOW_FROM_MS: u64 = 3_700;

/// The time after the signal from which on a request that was passed on may not be broken off, and
/// the time for which the rule holds.
const SENT_LATE_MS: u64 = 3_000;
const LENGTH: Duration = Duration::from_secs(62);

/// What the two upstreams share: when the signal was sent, and the calls that were made.
#[derive(Default)]
struct Calls {
    /// The time of the signal; 0 before.
    signal_ms: AtomicU64,
    slow: Mutex<Vec<String>>,
    cut: AtomicU64,
}

/// The upstream of lookups, which makes a call for each of them.
struct Lookups {
    calls: Arc<Calls>,
    outbound: SocketAddr,
    index: Arc<Upstream>,
    is_stopped: bool,
    /// The lookups, and the calls that they made, since the start or the last slow call.
    lookups: AtomicU64,
    calls_since_slow: AtomicU64,
}

impl Behaviour for Lookups {
    fn answer(
        &self,
        upstream: &Upstream,
        connection: &mut upstream::Connection,
        request: &Message,
    ) -> bool {
        upstream.record_run(request);
        let began = Instant::now();
        let left_ms = request
            .header("deadline-ms")
            .and_then(|text| text.parse().ok())
            .unwrap_or(DEADLINE_MS);
        std::thread::sleep(LOOKUP_WORK);
        let left_ms = left_ms.saturating_sub(began.elapsed().as_millis() as u64);
        let number = self.lookups.fetch_add(1, Ordering::SeqCst) + 1;
        let makes_call = number.is_multiple_of(CALL_EVERY) || self.is_slow_call_due();
        if !makes_call || self.call(left_ms) {
            return connection.send(&upstream::success(request, 1_000));
        }
        let id = request.header("request-id").unwrap_or_default();
        let head = format!(
            "HTTP/1.1 500 Internal Server Error\r\nRequest-Id: {id}\r\n\
             Response-Seal: 3e1b.0.{id}\r\nContent-Length: 0\r\n\r\n"
        );
        connection.send(head.as_bytes())
    }
}

impl Lookups {
    /// Returns whether the next call is the slow one of `SLOW_EVERY`.
    fn is_slow_call_due(&self) -> bool {
        let signal_ms = self.calls.signal_ms.load(Ordering::SeqCst);
        let after_ms = now_ms().saturating_sub(signal_ms);
        let count = self.calls_since_slow.load(Ordering::SeqCst);
        let is_stopping = signal_ms > 0 && after_ms >= SLOW_FROM_MS;
        self.is_stopped && is_stopping && count + 1 >= SLOW_EVERY
    }

    /// Makes a call through the sidecar of this machine; returns whether it was served.
    fn call(&self, left_ms: u64) -> bool {
        let call = Request {
            id: new_id(),
            method: "GET",
            path: "/index/1000".into(),
            deadline_ms: left_ms.saturating_sub(10),
            body: Body::None,
        };
        let signal_ms = self.calls.signal_ms.load(Ordering::SeqCst);
        let sent_ms = now_ms();
        let after_ms = sent_ms.saturating_sub(signal_ms);
        let is_slow = self.is_slow_call_due();
        let count = self.calls_since_slow.fetch_add(1, Ordering::SeqCst) + 1;
        if is_slow {
            self.calls_since_slow.store(0, Ordering::SeqCst);
            self.calls.slow.lock().unwrap().push(call.id.clone());
            note(&format!("call {} is the slow one of {count}", call.id));
        }
        let outcome = Connection::open(self.outbound).map(|mut connection| connection.call(&call));
        let runs = self.index.runs_of(&call.id);
        let took_ms = now_ms() - sent_ms;
        note(&format!(
            "{}: call {} {outcome:?} after {took_ms} ms, run {runs} times",
            self.outbound, call.id
        ));
        let is_answered = matches!(
            outcome,
            Ok(Outcome::Answered { status: 200, .. } | Outcome::Answered { status: 500, .. })
        );
        let is_late = self.is_stopped && signal_ms > 0 && after_ms > SENT_LATE_MS;
        if is_late && runs > 0 && !is_answered && took_ms < call.deadline_ms {
            note(&format!(
                "call {}, sent {after_ms} ms after the signal, was broken off while it ran",
                call.id
            ));
            self.calls.cut.fetch_add(1, Ordering::SeqCst);
        }
        outcome.is_ok_and(|outcome| outcome.is_served())
    }
}

/// The upstream of the calls.
struct Index(Arc<Calls>);

impl Behaviour for Index {
    fn answer(
        &self,
        upstream: &Upstream,
        connection: &mut upstream::Connection,
        request: &Message,
    ) -> bool {
        upstream.record_run(request);
        let id = request.header("request-id").unwrap_or_default().to_string();
        let is_slow = self.0.slow.lock().unwrap().contains(&id);
        std::thread::sleep(if is_slow { SLOW_CALL_WORK } else { CALL_WORK });
        note(&format!("index: finished {id}"));
        connection.send(&upstream::success(request, 1_000))
    }
}

pub fn run(sidecar: &str, is_troubled: bool) -> Result<bool, String> {
    let deployment = Deployment::start(sidecar, &SERVICES, &routes())?;
    let machines = &deployment.machines;
    let calls = Arc::new(Calls::default());
    let index = Box::new(Index(Arc::clone(&calls)));
    let index = Upstream::start(&machines[1], SERVICES[1], 47, index)?;
    for number in [0, 3] {
        let lookups = Lookups {
            calls: Arc::clone(&calls),
            outbound: machines[number].outbound(),
            index: Arc::clone(&index),
            is_stopped: number == STOPPED,
            lookups: AtomicU64::new(0),
            calls_since_slow: AtomicU64::new(0),
        };
        Upstream::start(&machines[number], SERVICES[number], 47, Box::new(lookups))?;
    }
    Upstream::start(
        &machines[2],
        SERVICES[2],
        47,
        Box::new(Arc::new(Worker::new(20))),
    )?;
    deployment.wait_until_ready()?;
    let began = Instant::now();
    let mut threads = Vec::new();
    for number in 0..CLIENTS {
        let machine = Arc::clone(&machines[WITH_CLIENTS]);
        threads.push(std::thread::spawn(move || {
            std::thread::sleep(PERIOD * number as u32 / CLIENTS as u32);
            client(&machine, began);
        }));
    }
    std::thread::sleep(STOP_AFTER);
    calls.signal_ms.store(now_ms(), Ordering::SeqCst);
    if is_troubled {
        machines[STOPPED].terminate();
    }
    for thread in threads {
        let _ = thread.join();
    }
    let (slow, cut) = (
        calls.slow.lock().unwrap().len(),
        calls.cut.load(Ordering::SeqCst),
    );
    let line = format!("{slow} slow calls in the stop; {cut} calls broken off while they ran");
    note(&line);
    println!("{line}");
    Ok(cut == 0)
}

fn client(machine: &Machine, began: Instant) {
    while began.elapsed() < LENGTH {
        let sent = Instant::now();
        let request = Request {
            id: new_id(),
            method: "GET",
            path: "/lookup/1000".into(),
            deadline_ms: DEADLINE_MS,
            body: Body::None,
        };
        let outcome = Connection::open(machine.outbound()).map(|mut one| one.call(&request));
        note(&format!("lookup {} {outcome:?}", request.id));
        std::thread::sleep(PERIOD.saturating_sub(sent.elapsed()));
    }
}
