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

/// Every request whose number is a multiple of this is a payment, the others are lookups.
const PAYMENT_EVERY: u64 = 4;

/// An entry's response to a request.
#[derive(Clone, Debug)]
pub struct Reply {
    pub status: u16,
    pub verdict: String,
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
    pub payments: Vec<Payment>,
}

/// Running callers, each on its own thread.
pub struct Callers {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Observations>>,
}

impl Callers {
    /// Starts callers that send to the entries in round-robin order.
    pub fn start(entries: &[SocketAddr], count: usize) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let next_number = Arc::new(AtomicU64::new(1));
        let mut threads = Vec::new();
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
            all.payments.extend(observed.payments);
        }
        all
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
    let Ok(reply) = send(entries[index], "PUT", &path, "", &body) else {
        return;
    };
    if reply.verdict != "ran" || reply.status != 200 {
        return;
    }
    observed.answered += 1;
    if reply.body != body.as_bytes() {
        let got = String::from_utf8_lossy(&reply.body).into_owned();
        observed
            .mismatched_answers
            .push(format!("{body:?} was answered {got:?}"));
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
    let mut stream = TcpStream::connect_timeout(&entry, IO_TIMEOUT)?;
    stream.set_read_timeout(Some(IO_TIMEOUT))?;
    let length = body.len();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nhost: soak\r\nconnection: close\r\n\
         x-dragonflylug-deadline-ms: 2000\r\n{header}content-length: {length}\r\n\r\n{body}"
    );
    stream.write_all(request.as_bytes())?;
    let mut response = Vec::new();
    stream.read_to_end(&mut response)?;
    parse_reply(&response)
        .ok_or_else(|| std::io::Error::other("response is incomplete or malformed"))
}

/// Parses a response; returns `None` if it is malformed or its body does not have the length given
/// in `content-length`.
fn parse_reply(response: &[u8]) -> Option<Reply> {
    let head_end = response.windows(4).position(|bytes| bytes == b"\r\n\r\n")?;
    let head = std::str::from_utf8(&response[..head_end]).ok()?;
    let body = response[head_end + 4..].to_vec();
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
