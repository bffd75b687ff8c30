//! The clients of a machine.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::http::{Message, MessageReader};

/// How long a client waits for a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// How a request ended for its client.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// An answer with a status, and whether it has a seal and the whole body.
    Answered { status: u16, is_whole: bool },
    /// The connection ended without a complete answer.
    Closed,
    /// The time budget was over first.
    TimedOut,
}

impl Outcome {
    /// Returns whether the request was served.
    pub fn is_served(&self) -> bool {
        matches!(
            self,
            Outcome::Answered {
                status: 200,
                is_whole: true
            }
        )
    }
}

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: String,
    pub method: &'static str,
    pub path: String,
    pub deadline_ms: u64,
    pub body: Body,
}

/// The body of a request.
#[derive(Clone, Debug)]
pub enum Body {
    None,
    /// A body of a size, sent with its length.
    Length(usize),
}

/// Returns a new request id.
pub fn new_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let number = NEXT.fetch_add(1, Ordering::SeqCst);
    let mixed = (u64::from(std::process::id()) << 32 | number).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    format!("{mixed:016x}")
}

/// A connection of a client.
pub struct Connection {
    stream: TcpStream,
    reader: MessageReader,
    /// How many requests were answered on it.
    pub answered: u64,
}

impl Connection {
    pub fn open(to: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&to, CONNECT_TIMEOUT)?;
        stream.set_nodelay(true)?;
        let reader = MessageReader::new(stream.try_clone()?);
        Ok(Self {
            stream,
            reader,
            answered: 0,
        })
    }

    /// Sends a request and waits for its answer, at most for its time budget.
    pub fn call(&mut self, request: &Request) -> Outcome {
        let until = Instant::now() + Duration::from_millis(request.deadline_ms);
        if self.send(request).is_err() {
            return Outcome::Closed;
        }
        let left = until.saturating_duration_since(Instant::now());
        let _ = self
            .stream
            .set_read_timeout(Some(left.max(Duration::from_millis(1))));
        match self.reader.next() {
            Ok(Some(answer)) => {
                self.answered += 1;
                outcome_of(&answer)
            }
            Ok(None) => Outcome::Closed,
            Err(error) if is_timeout(&error) => Outcome::TimedOut,
            Err(_) => Outcome::Closed,
        }
    }

    /// Sends a request.
    pub fn send(&mut self, request: &Request) -> io::Result<()> {
        let length = match request.body {
            Body::None => String::new(),
            Body::Length(bytes) => format!("Content-Length: {bytes}\r\n"),
        };
        let head = format!(
            "{} {} HTTP/1.1\r\nHost: app.example\r\nRequest-Id: {}\r\nDeadline-Ms: {}\r\n{length}\r\n",
            request.method, request.path, request.id, request.deadline_ms
        );
        self.stream.write_all(head.as_bytes())?;
        match request.body {
            Body::None => Ok(()),
            Body::Length(bytes) => self.stream.write_all(&vec![b'y'; bytes]),
        }
    }
}

fn outcome_of(answer: &Message) -> Outcome {
    let status = answer.status();
    let is_whole = answer.header("response-seal").is_some();
    Outcome::Answered { status, is_whole }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}

/// Sends bytes on a new connection and returns the status of the answer.
pub fn exchange(to: SocketAddr, bytes: &[u8], timeout: Duration) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&to, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.write_all(bytes).ok()?;
    let answer = MessageReader::new(stream).next().ok()??;
    Some(answer.status())
}
