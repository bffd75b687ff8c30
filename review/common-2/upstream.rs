//! A stand-in of an upstream: it reports itself, answers status checks, and runs requests.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::client;
use crate::http::{Message, MessageReader};
use crate::machine::Machine;

/// The time between two reports.
const REPORT_PERIOD: Duration = Duration::from_millis(1_500);

/// How an upstream answers a request.
pub trait Behaviour: Send + Sync {
    /// Answers a request on its connection; returns false if the connection ends.
    fn answer(&self, upstream: &Upstream, connection: &mut Connection, request: &Message) -> bool;
}

/// A connection of an upstream.
pub struct Connection {
    pub writer: TcpStream,
    /// Bytes that are sent when the next request arrives: an extra answer that is late.
    pub late: Vec<u8>,
}

impl Connection {
    /// Sends bytes; returns false if that fails.
    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.writer.write_all(bytes).is_ok()
    }
}

/// A running upstream.
pub struct Upstream {
    pub id: String,
    service: String,
    zone: String,
    slots: u32,
    address: SocketAddr,
    control: SocketAddr,
    born: u128,
    behaviour: Box<dyn Behaviour>,
    /// How often each request was begun, by its id.
    pub runs: Mutex<BTreeMap<String, u64>>,
    pub run_count: AtomicU64,
}

impl Upstream {
    /// Starts the upstream of a machine.
    pub fn start(
        machine: &Machine,
        service: &str,
        slots: u32,
        behaviour: Box<dyn Behaviour>,
    ) -> Result<Arc<Self>, String> {
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |age| age.as_millis());
        let upstream = Arc::new(Self {
            id: format!("i-{}-{born}", machine.ip.to_string().replace('.', "-")),
            service: service.to_string(),
            zone: "z1".into(),
            slots,
            address: machine.app(),
            control: machine.control(),
            born,
            behaviour,
            runs: Mutex::default(),
            run_count: AtomicU64::new(0),
        });
        let listener = TcpListener::bind(upstream.address).map_err(|error| error.to_string())?;
        let serving = Arc::clone(&upstream);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let upstream = Arc::clone(&serving);
                std::thread::spawn(move || upstream.serve(stream));
            }
        });
        let reporting = Arc::clone(&upstream);
        std::thread::spawn(move || reporting.report());
        Ok(upstream)
    }

    fn report(&self) {
        for sequence in 1.. {
            let body = format!(
                "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\
                 \"state\":\"ready\",\"cold_remaining\":\"0ms\",\"sequence\":{sequence},\"born\":{}}}",
                self.service, self.address, self.zone, self.slots, self.born
            );
            let request = format!(
                "PUT /instances/{} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/json\r\n\
                 Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
                self.id,
                self.control,
                body.len()
            );
            let _ = client::exchange(self.control, request.as_bytes(), Duration::from_secs(1));
            std::thread::sleep(REPORT_PERIOD);
        }
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(writer) = stream.try_clone() else {
            return;
        };
        let _ = stream.set_nodelay(true);
        let mut connection = Connection {
            writer,
            late: Vec::new(),
        };
        let mut reader = MessageReader::new(stream);
        while let Ok(Some(request)) = reader.next() {
            let late = std::mem::take(&mut connection.late);
            if !connection.send(&late) || !self.handle(&mut connection, &request) {
                return;
            }
        }
    }

    fn handle(&self, connection: &mut Connection, request: &Message) -> bool {
        if request.word(1) == "/health" {
            let head = format!(
                "HTTP/1.1 200 OK\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                self.id
            );
            return connection.send(head.as_bytes());
        }
        let expected = request.header("expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            let head = format!(
                "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                self.id
            );
            return connection.send(head.as_bytes());
        }
        self.behaviour.answer(self, connection, request)
    }

    /// Records that a request was begun.
    pub fn record_run(&self, request: &Message) {
        let id = request.header("request-id").unwrap_or_default().to_string();
        self.run_count.fetch_add(1, Ordering::SeqCst);
        *self.runs.lock().unwrap().entry(id).or_default() += 1;
    }

    /// Returns how often a request was begun.
    pub fn runs_of(&self, id: &str) -> u64 {
        self.runs.lock().unwrap().get(id).copied().unwrap_or(0)
    }
}

/// Encodes a success with a seal and a body of a given size.
pub fn success(request: &Message, body_bytes: usize) -> Vec<u8> {
    let id = request.header("request-id").unwrap_or_default();
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: 3e1b.{body_bytes:x}.{id}\r\n\
         Content-Length: {body_bytes}\r\n\r\n"
    );
    let mut bytes = head.into_bytes();
    bytes.resize(bytes.len() + body_bytes, b'x');
    bytes
}

/// Encodes a refusal, which says that the request was not run.
pub fn refusal(request: &Message) -> Vec<u8> {
    let id = request.header("request-id").unwrap_or_default();
    let head = format!(
        "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\n\
         Content-Length: 0\r\n\r\n"
    );
    head.into_bytes()
}

/// An upstream that works for a fixed time and answers with a body whose size its path gives, such
/// as `/route/4096`.
pub struct Worker {
    pub work: Mutex<Duration>,
}

impl Worker {
    pub fn new(work_ms: u64) -> Self {
        Self {
            work: Mutex::new(Duration::from_millis(work_ms)),
        }
    }
}

impl Behaviour for Arc<Worker> {
    fn answer(&self, upstream: &Upstream, connection: &mut Connection, request: &Message) -> bool {
        upstream.record_run(request);
        let work = *self.work.lock().unwrap();
        std::thread::sleep(work);
        let size = request
            .word(1)
            .rsplit('/')
            .next()
            .and_then(|text| text.parse().ok());
        connection.send(&success(request, size.unwrap_or(1_000)))
    }
}
