//! Callers of a soak: lookups and payments that go on until they are told to stop, and what they saw.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

/// The time for one answer.
const PATIENCE: Duration = Duration::from_secs(4);

/// The tries of a payment whose outcome stays open.
const TRIES_MAX: u32 = 3;

/// The pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(5);

/// One request in this many is a payment.
const PAYMENT_EACH: u64 = 4;

/// The answer to a request.
#[derive(Clone, Debug)]
pub struct Reply {
    pub status: u16,
    pub verdict: String,
    pub ticket: Option<String>,
    pub body: Vec<u8>,
}

/// What became of a payment, as its last try was told.
#[derive(Clone, Debug)]
pub struct Payment {
    pub key: String,
    pub last_verdict: String,
}

/// What the callers saw.
#[derive(Debug, Default)]
pub struct Seen {
    pub lookups: u64,
    pub answered: u64,
    /// Answers that were told to be whole and are not the request's own.
    pub mixed: Vec<String>,
    pub payments: Vec<Payment>,
}

/// Callers on threads of their own.
pub struct Callers {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Seen>>,
}

impl Callers {
    /// Starts callers, which take the entries in turn.
    pub fn start(entries: &[SocketAddr], count: usize) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let next = Arc::new(AtomicU64::new(1));
        let mut threads = Vec::new();
        for at in 0..count {
            let (stop, next, entries) = (stop.clone(), next.clone(), entries.to_vec());
            threads.push(std::thread::spawn(move || {
                call_until(&stop, &next, &entries, at)
            }));
        }
        Self { stop, threads }
    }

    /// Stops the callers and returns what all of them saw.
    pub fn end(self) -> Seen {
        self.stop.store(true, Ordering::Relaxed);
        let mut all = Seen::default();
        for thread in self.threads {
            let seen = thread.join().unwrap();
            all.lookups += seen.lookups;
            all.answered += seen.answered;
            all.mixed.extend(seen.mixed);
            all.payments.extend(seen.payments);
        }
        all
    }
}

fn call_until(stop: &AtomicBool, next: &AtomicU64, entries: &[SocketAddr], at: usize) -> Seen {
    let mut seen = Seen::default();
    let mut turn = at;
    while !stop.load(Ordering::Relaxed) {
        let number = next.fetch_add(1, Ordering::Relaxed);
        turn += 1;
        if number.is_multiple_of(PAYMENT_EACH) {
            seen.payments.push(pay(entries, turn, number));
        } else {
            look_up(entries[turn % entries.len()], number, &mut seen);
        }
        std::thread::sleep(PAUSE);
    }
    seen
}

/// Sends a lookup with a body of its own, which its answer must give back.
fn look_up(entry: SocketAddr, number: u64, seen: &mut Seen) {
    seen.lookups += 1;
    let body = format!("lookup {number}");
    let Ok(reply) = send(entry, "PUT", "/lookups/free", "", &body) else {
        return;
    };
    if reply.verdict != "ran" || reply.status != 200 {
        return;
    }
    seen.answered += 1;
    if reply.body != body.as_bytes() {
        let got = String::from_utf8_lossy(&reply.body).into_owned();
        seen.mixed.push(format!("{body:?} was answered {got:?}"));
    }
}

/// Pays with one ticket through the entries in turn, until the outcome is told or tries run out.
fn pay(entries: &[SocketAddr], turn: usize, number: u64) -> Payment {
    let key = format!("payment-{number}");
    let body = format!("{{\"key\":\"{key}\"}}");
    let mut last_verdict = "none".to_string();
    let mut ticket: Option<String> = None;
    for attempt in 0..TRIES_MAX as usize {
        let entry = entries[(turn + attempt) % entries.len()];
        if ticket.is_none() {
            let asked = send(entry, "POST", "/payouts/pay", "", "");
            ticket = asked.ok().and_then(|reply| reply.ticket);
        }
        let Some(held) = &ticket else {
            continue;
        };
        let header = format!("x-dragonflylug-ticket: {held}\r\n");
        last_verdict = match send(entry, "POST", "/payouts/pay", &header, &body) {
            Ok(reply) => reply.verdict,
            Err(_) => "broken".to_string(),
        };
        if last_verdict == "ran" || last_verdict == "not-run" {
            break;
        }
    }
    Payment { key, last_verdict }
}

/// Sends one request on a connection of its own.
///
/// # Errors
///
/// Fails where the daemon is not there, or ends the connection without a whole answer.
pub fn send(
    entry: SocketAddr,
    method: &str,
    path: &str,
    header: &str,
    body: &str,
) -> std::io::Result<Reply> {
    let mut stream = TcpStream::connect_timeout(&entry, PATIENCE)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    let length = body.len();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nhost: soak\r\nconnection: close\r\n\
         x-dragonflylug-deadline-ms: 2000\r\n{header}content-length: {length}\r\n\r\n{body}"
    );
    stream.write_all(request.as_bytes())?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer)?;
    read(&answer).ok_or_else(|| std::io::Error::other("no whole answer"))
}

fn read(answer: &[u8]) -> Option<Reply> {
    let end = answer.windows(4).position(|bytes| bytes == b"\r\n\r\n")?;
    let head = std::str::from_utf8(&answer[..end]).ok()?;
    let body = answer[end + 4..].to_vec();
    let mut reply = Reply {
        status: head.split_whitespace().nth(1)?.parse().ok()?,
        verdict: String::new(),
        ticket: None,
        body,
    };
    let mut length = None;
    for line in head.lines().skip(1) {
        let (name, value) = line.split_once(": ")?;
        match name {
            "x-dragonflylug-verdict" => reply.verdict = value.to_string(),
            "x-dragonflylug-tickets" => reply.ticket = value.split(',').next().map(str::to_string),
            "content-length" => length = value.parse::<usize>().ok(),
            _ => {}
        }
    }
    (length? == reply.body.len()).then_some(reply)
}
