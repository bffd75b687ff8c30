//! The only upstream of a service refuses a part of its requests, and some of its answers arrive a
//! second time, late. A request that is answered 503 must not have run.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use super::{Deployment, Route};
use crate::client::{Body, Connection, Outcome, Request, new_id};
use crate::http::Message;
use crate::machine::Machine;
use crate::note;
use crate::upstream::{self, Behaviour, Upstream, Worker};

/// The services with an upstream that refuses requests: 12 of the 20 upstreams.
const REFUSING: usize = 12;

/// The other services: one whose upstream calls the first ones, three on whose machines the clients
/// are, and some that have no part in the case.
const OTHERS: [&str; 8] = [
    "balances", "receipts", "archive", "index", "history", "cards", "letters", "notices",
];
const BALANCES: usize = REFUSING;
const WITH_CLIENTS: std::ops::Range<usize> = REFUSING + 1..REFUSING + 4;

fn services() -> Vec<String> {
    let refusing = (0..REFUSING).map(|index| format!("payouts-{index}"));
    refusing.chain(OTHERS.map(str::to_string)).collect()
}

fn routes() -> Vec<Route> {
    let mut routes = vec![Route::new("balance", "safe", 2, "balances")];
    for index in 0..REFUSING {
        let service = format!("payouts-{index}");
        routes.push(Route::new(
            &format!("payout-{index}"),
            "unsafe",
            0,
            &service,
        ));
        routes.push(Route::new(&format!("verify-{index}"), "safe", 2, &service));
    }
    routes
}

/// The share of requests that these upstreams refuse at times, and the share of their answers that
/// they send a second time meanwhile.
const REFUSED_SHARE: f64 = 0.45;
const REPEATED_SHARE: f64 = 0.03;

/// These times, in the time of the traffic: they come again and again, for `REPEATED_FOR` each.
const REPEATED_FROM: Duration = Duration::from_secs(20);
const REPEATED_FOR: Duration = Duration::from_secs(5);
const REPEATED_GAP: Duration = Duration::from_secs(6);

const LENGTH: Duration = Duration::from_secs(90);

/// The clients on each machine with clients: those of each payout service, and those of balances,
/// whose upstream makes a call to a payout service for each request.
const PAYOUT_CLIENTS: usize = 2;
const BALANCE_CLIENTS: usize = 8;
const PERIOD: Duration = Duration::from_millis(600);
const WORK: Duration = Duration::from_millis(20);

/// The upstream of payouts.
struct Payouts {
    refuses: Arc<AtomicBool>,
    repeats: Arc<AtomicBool>,
    repeated: Arc<AtomicU64>,
    drawn: AtomicU64,
}

impl Payouts {
    fn draw(&self) -> f64 {
        let number = self
            .drawn
            .fetch_add(1, Ordering::SeqCst)
            .wrapping_add(0x51_7cc1_b727_2202);
        let mut mixed = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed ^= mixed >> 31;
        (mixed >> 11) as f64 / (1u64 << 53) as f64
    }
}

impl Behaviour for Payouts {
    fn answer(
        &self,
        upstream: &Upstream,
        connection: &mut upstream::Connection,
        request: &Message,
    ) -> bool {
        let id = request.header("request-id").unwrap_or_default();
        let answer = if self.refuses.load(Ordering::SeqCst) && self.draw() < REFUSED_SHARE {
            note(&format!("payouts: refuses {id}"));
            upstream::refusal(request)
        } else {
            upstream.record_run(request);
            note(&format!("payouts: runs {id}"));
            std::thread::sleep(WORK);
            upstream::success(request, 1_000)
        };
        if self.repeats.load(Ordering::SeqCst) && self.draw() < REPEATED_SHARE {
            note(&format!("payouts: a second answer to {id} follows late"));
            self.repeated.fetch_add(1, Ordering::SeqCst);
            connection.late = answer.clone();
        }
        connection.send(&answer)
    }
}

/// The upstream of balances, which makes a call of its own for each request.
struct Balances {
    outbound: std::net::SocketAddr,
}

impl Behaviour for Balances {
    fn answer(
        &self,
        upstream: &Upstream,
        connection: &mut upstream::Connection,
        request: &Message,
    ) -> bool {
        upstream.record_run(request);
        let left_ms = request
            .header("deadline-ms")
            .and_then(|text| text.parse().ok());
        let called = upstream.run_count.load(Ordering::SeqCst) as usize % REFUSING;
        let call = Request {
            id: new_id(),
            method: "GET",
            path: format!("/verify-{called}/1000"),
            deadline_ms: left_ms.unwrap_or(1_000_u64).saturating_sub(10).min(3_000),
            body: Body::None,
        };
        let outcome = Connection::open(self.outbound).map(|mut connection| connection.call(&call));
        if outcome.is_ok_and(|outcome| outcome.is_served()) {
            return connection.send(&upstream::success(request, 1_000));
        }
        let id = request.header("request-id").unwrap_or_default();
        let head = format!(
            "HTTP/1.1 500 Internal Server Error\r\nRequest-Id: {id}\r\nResponse-Seal: 3e1b.0.{id}\r\n\
             Content-Length: 0\r\n\r\n"
        );
        connection.send(head.as_bytes())
    }
}

pub fn run(sidecar: &str, is_troubled: bool) -> Result<bool, String> {
    let services = services();
    let names: Vec<&str> = services.iter().map(String::as_str).collect();
    let deployment = Deployment::start(sidecar, &names, &routes())?;
    let refuses = Arc::new(AtomicBool::new(false));
    let repeats = Arc::new(AtomicBool::new(false));
    let repeated = Arc::new(AtomicU64::new(0));
    let machines = &deployment.machines;
    let mut refusing = Vec::new();
    for (index, machine) in machines.iter().enumerate() {
        if index < REFUSING {
            let behaviour = Payouts {
                refuses: Arc::clone(&refuses),
                repeats: Arc::clone(&repeats),
                repeated: Arc::clone(&repeated),
                drawn: AtomicU64::new(u64::from(std::process::id()) << 24 | (index as u64) << 20),
            };
            refusing.push(Upstream::start(
                machine,
                names[index],
                104,
                Box::new(behaviour),
            )?);
        } else if index == BALANCES {
            let behaviour = Balances {
                outbound: machine.outbound(),
            };
            Upstream::start(machine, names[index], 104, Box::new(behaviour))?;
        } else {
            Upstream::start(
                machine,
                names[index],
                104,
                Box::new(Arc::new(Worker::new(20))),
            )?;
        }
    }
    deployment.wait_until_ready()?;
    let began = Instant::now();
    let mut threads = Vec::new();
    for machine in &machines[WITH_CLIENTS] {
        for index in 0..PAYOUT_CLIENTS * REFUSING + BALANCE_CLIENTS {
            let machine = Arc::clone(machine);
            let called = (index < PAYOUT_CLIENTS * REFUSING).then_some(index % REFUSING);
            threads.push(std::thread::spawn(move || {
                std::thread::sleep(Duration::from_millis(97 * index as u64 % 600));
                client(&machine, called, began)
            }));
        }
    }
    std::thread::sleep(REPEATED_FROM);
    while began.elapsed() + REPEATED_FOR < LENGTH {
        refuses.store(true, Ordering::SeqCst);
        repeats.store(is_troubled, Ordering::SeqCst);
        std::thread::sleep(REPEATED_FOR);
        refuses.store(false, Ordering::SeqCst);
        repeats.store(false, Ordering::SeqCst);
        std::thread::sleep(REPEATED_GAP);
    }
    let mut refused = Vec::new();
    for thread in threads {
        refused.extend(thread.join().unwrap_or_default());
    }
    let mut broken = 0;
    for id in &refused {
        let runs: u64 = refusing.iter().map(|upstream| upstream.runs_of(id)).sum();
        if runs > 0 {
            note(&format!(
                "payout {id} was answered 503 and was run {runs} times"
            ));
            broken += 1;
        }
    }
    let (refused, repeated) = (refused.len(), repeated.load(Ordering::SeqCst));
    let line = format!(
        "{repeated} answers sent twice; {refused} payouts refused, {broken} of them were run"
    );
    note(&line);
    println!("{line}");
    Ok(broken == 0)
}

/// Sends one request after the other; returns the payouts that were answered with 503.
fn client(machine: &Machine, called: Option<usize>, began: Instant) -> Vec<String> {
    let mut refused = Vec::new();
    let mut connection = None;
    while began.elapsed() < LENGTH {
        let sent = Instant::now();
        let is_payout = called.is_some();
        let (name, method) = match called {
            Some(index) => (format!("payout-{index}"), "POST"),
            None => ("balance".to_string(), "GET"),
        };
        let request = Request {
            id: new_id(),
            method,
            path: format!("/{name}/1000"),
            deadline_ms: 6_000,
            body: if is_payout {
                Body::Length(1_200)
            } else {
                Body::None
            },
        };
        let opened = connection
            .take()
            .map_or_else(|| Connection::open(machine.outbound()), Ok);
        if let Ok(mut opened) = opened {
            let outcome = opened.call(&request);
            note(&format!("{name} {} {outcome:?}", request.id));
            if matches!(outcome, Outcome::Answered { .. }) {
                connection = Some(opened);
            }
            if is_payout && matches!(outcome, Outcome::Answered { status: 503, .. }) {
                refused.push(request.id);
            }
        }
        std::thread::sleep(PERIOD.saturating_sub(sent.elapsed()));
    }
    refused
}
