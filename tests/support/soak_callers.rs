//! Callers of a soak test: threads that send lookups and payments until they are stopped, and
//! record the outcomes for the checks at the end.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

/// The timeout for connecting to an entry, and for each read of its response.
const IO_TIMEOUT: Duration = Duration::from_secs(4);

/// The maximum number of attempts of a payment whose outcome remains unknown.
const ATTEMPTS_MAX: u32 = 3;

/// The pause of a caller after each lookup or payment.
const REQUEST_PAUSE: Duration = Duration::from_millis(5);

/// Every lookup whose number is a multiple of this sends further ones without waiting for its
/// response.
const AHEAD_EVERY: u64 = 3;

/// The number of lookups that are sent together then.
const AHEAD: u64 = 4;

/// Every request whose number is a multiple of this is a payment, the others are lookups.
const PAYMENT_EVERY: u64 = 4;

/// An entry's response to a request.
#[derive(Clone, Debug)]
pub struct Reply {
    pub status: u16,
    pub verdict: String,
    pub reason: String,
    pub ticket: Option<String>,
    pub body: Vec<u8>,
}

/// A payment and the verdict of its last attempt: `none` if no attempt got a ticket, `broken` if
/// the response did not arrive complete.
#[derive(Clone, Debug)]
pub struct Payment {
    pub key: String,
    pub last_verdict: String,
}

/// The outcomes that the callers observed.
#[derive(Debug, Default)]
pub struct Observations {
    pub lookups: u64,
    /// The number of lookups with verdict `ran` and status 200.
    pub answered: u64,
    /// Descriptions of successful answers whose body is not the one that the request sent.
    pub mismatched_answers: Vec<String>,
    /// The bodies of lookups that were refused as if they ended targets.
    pub quarantined: Vec<String>,
    pub payments: Vec<Payment>,
}

/// Running callers, each on its own thread.
pub struct Callers {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Observations>>,
}

impl Callers {
    /// Starts callers that send to the entries in round-robin order, and one more whose requests end
    /// targets.
    pub fn start(entries: &[SocketAddr], count: usize) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let next_number = Arc::new(AtomicU64::new(1));
        let mut threads = Vec::new();
        let (crashing_stop, crashing_entries) = (stop.clone(), entries.to_vec());
        threads.push(std::thread::spawn(move || {
            send_crashing_requests(&crashing_stop, &crashing_entries);
            Observations::default()
        }));
        for index in 0..count {
            let (stop, next_number) = (stop.clone(), next_number.clone());
            let entries = entries.to_vec();
            threads.push(std::thread::spawn(move || {
                run_caller(&stop, &next_number, &entries, index)
            }));
        }
        Self { stop, threads }
    }

    /// Stops the callers and returns the observations of all of them.
    pub fn stop(self) -> Observations {
        self.stop.store(true, Ordering::Relaxed);
        let mut all = Observations::default();
        for thread in self.threads {
            let observed = thread.join().unwrap();
            all.lookups += observed.lookups;
            all.answered += observed.answered;
            all.mismatched_answers.extend(observed.mismatched_answers);
            all.quarantined.extend(observed.quarantined);
            all.payments.extend(observed.payments);
        }
        all
    }
}

/// The field `key` in the body of the requests that end targets.
pub const CRASHING_KEY: &str = "crash";

/// The pause between two of them.
const CRASHING_PAUSE: Duration = Duration::from_millis(250);

/// Sends a request that ends the targets that run it, at one entry after the other, until stopped.
fn send_crashing_requests(stop: &AtomicBool, entries: &[SocketAddr]) {
    let body = format!("{{\"key\":\"{CRASHING_KEY}\"}}");
    let header = "x-standin-crash-after-us: 5000\r\n";
    let mut turn = 0;
    while !stop.load(Ordering::Relaxed) {
        turn += 1;
        // Its reply may be lost like any other.
        let _ = send(
            entries[turn % entries.len()],
            "PUT",
            "/lookups/free",
            header,
            &body,
        );
        std::thread::sleep(CRASHING_PAUSE);
    }
}

/// Sends lookups and payments until `stop` is set, starting with the entry after `index`.
fn run_caller(
    stop: &AtomicBool,
    next_number: &AtomicU64,
    entries: &[SocketAddr],
    index: usize,
) -> Observations {
    let mut observed = Observations::default();
    let mut turn = index;
    while !stop.load(Ordering::Relaxed) {
        let number = next_number.fetch_add(1, Ordering::Relaxed);
        turn += 1;
        if number.is_multiple_of(PAYMENT_EVERY) {
            observed.payments.push(pay(entries, turn, number));
        } else if number.is_multiple_of(AHEAD_EVERY) {
            look_up_ahead(entries, turn % entries.len(), number, &mut observed);
        } else {
            look_up(entries, turn % entries.len(), number, &mut observed);
        }
        std::thread::sleep(REQUEST_PAUSE);
    }
    observed
}

/// Sends a lookup with a unique body, which a correct answer echoes.
fn look_up(entries: &[SocketAddr], index: usize, number: u64, observed: &mut Observations) {
    observed.lookups += 1;
    let body = format!("lookup {number}");
    let path = format!("/lookups/free?entry={index}");
    if let Ok(reply) = send(entries[index], "PUT", &path, "", &body) {
        observed.record_lookup(&body, &reply);
    }
}

/// Sends several lookups on one connection before the first is answered. Their replies must echo the
/// bodies in the order in which they were sent.
fn look_up_ahead(entries: &[SocketAddr], index: usize, number: u64, observed: &mut Observations) {
    observed.lookups += AHEAD;
    let path = format!("/lookups/free?entry={index}");
    let mut bodies = Vec::new();
    let mut requests = String::new();
    for ahead in 1..=AHEAD {
        let connection = if ahead == AHEAD {
            "close"
        } else {
            "keep-alive"
        };
        let body = format!("lookup {number}.{ahead}");
        requests += &encode("PUT", &path, connection, "", &body);
        bodies.push(body);
    }
    let Ok(mut received) = exchange(entries[index], &requests) else {
        return;
    };
    for body in bodies {
        let Some(reply) = take_reply(&mut received) else {
            return;
        };
        observed.record_lookup(&body, &reply);
    }
}

impl Observations {
    fn record_lookup(&mut self, body: &str, reply: &Reply) {
        if reply.reason == "quarantined" {
            self.quarantined.push(body.to_string());
        }
        if reply.verdict != "ran" || reply.status != 200 {
            return;
        }
        self.answered += 1;
        if reply.body != body.as_bytes() {
            let got = String::from_utf8_lossy(&reply.body).into_owned();
            self.mismatched_answers
                .push(format!("{body:?} was answered {got:?}"));
        }
    }
}

/// Sends a payment with one ticket to the entries in turn until a verdict says if it ran, or all
/// attempts are used up.
fn pay(entries: &[SocketAddr], turn: usize, number: u64) -> Payment {
    let key = format!("payment-{number}");
    let body = format!("{{\"key\":\"{key}\"}}");
    let mut last_verdict = "none".to_string();
    let mut ticket: Option<String> = None;
    for attempt in 0..ATTEMPTS_MAX as usize {
        let index = (turn + attempt) % entries.len();
        let entry = entries[index];
        let path = format!("/payouts/pay?entry={index}");
        if ticket.is_none() {
            let response = send(entry, "POST", &path, "", "");
            ticket = response.ok().and_then(|reply| reply.ticket);
        }
        let Some(ticket) = &ticket else {
            continue;
        };
        let header = format!("x-dragonflylug-ticket: {ticket}\r\n");
        last_verdict = match send(entry, "POST", &path, &header, &body) {
            Ok(reply) => reply.verdict,
            Err(_) => "broken".to_string(),
        };
        if last_verdict == "ran" || last_verdict == "not-run" {
            break;
        }
    }
    Payment { key, last_verdict }
}

/// Sends one request on a new connection.
///
/// # Errors
///
/// Returns an error if the daemon cannot be reached, does not respond within the timeout, or closes
/// the connection before the response is complete.
pub fn send(
    entry: SocketAddr,
    method: &str,
    path: &str,
    header: &str,
    body: &str,
) -> std::io::Result<Reply> {
    let mut received = exchange(entry, &encode(method, path, "close", header, body))?;
    let reply = take_reply(&mut received).filter(|_| received.is_empty());
    reply.ok_or_else(|| std::io::Error::other("response is incomplete or malformed"))
}

fn encode(method: &str, path: &str, connection: &str, header: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "{method} {path} HTTP/1.1\r\nhost: soak\r\nconnection: {connection}\r\n\
         x-dragonflylug-deadline-ms: 2000\r\n{header}content-length: {length}\r\n\r\n{body}"
    )
}

/// Sends bytes on a new connection and returns what is received until it closes.
fn exchange(entry: SocketAddr, requests: &str) -> std::io::Result<Vec<u8>> {
    let mut stream = TcpStream::connect_timeout(&entry, IO_TIMEOUT)?;
    stream.set_read_timeout(Some(IO_TIMEOUT))?;
    stream.write_all(requests.as_bytes())?;
    let mut received = Vec::new();
    stream.read_to_end(&mut received)?;
    Ok(received)
}

/// Removes the first response from the received bytes; returns `None` if it is malformed or its body
/// does not have the length given in `content-length`.
fn take_reply(received: &mut Vec<u8>) -> Option<Reply> {
    let head_end = received.windows(4).position(|bytes| bytes == b"\r\n\r\n")?;
    let head = std::str::from_utf8(&received[..head_end]).ok()?;
    let mut reply = Reply {
        status: head.split_whitespace().nth(1)?.parse().ok()?,
        verdict: String::new(),
        reason: String::new(),
        ticket: None,
        body: Vec::new(),
    };
    let mut length = None;
    for line in head.lines().skip(1) {
        let (name, value) = line.split_once(": ")?;
        match name {
            "x-dragonflylug-verdict" => reply.verdict = value.to_string(),
            "x-dragonflylug-reason" => reply.reason = value.to_string(),
            "x-dragonflylug-tickets" => reply.ticket = value.split(',').next().map(str::to_string),
            "content-length" => length = value.parse::<usize>().ok(),
            _ => {}
        }
    }
    let body_start = head_end + 4;
    let body_end = body_start + length?;
    reply.body = received.get(body_start..body_end)?.to_vec();
    received.drain(..body_end);
    Some(reply)
}
