//! The HTTP listener for operators: status, counters, records and planned stops.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tiny_http::{Header, Method, Request, Response, Server};

use super::Node;
use super::metrics::Metrics;
use crate::admission::{self, Admission};
use crate::calls::guard::{self, Guard};
use crate::config::{self, Config, Submission, SubmitOutcome, UnreadableRecord};
use crate::kernel::{Event, Input, Notice};
use crate::membership::{self, Member, Membership};
use crate::operator::{OperatorReply, OperatorRequest};
use crate::request::LoadReport;
use crate::target::Announcement;

/// The threads that serve operators; each serves one request at a time.
const THREADS: usize = 2;

/// The time allowed for a submission.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(10);

/// The greatest body of an operator's request.
const BODY_BYTES_MAX: u64 = 4 * 1024 * 1024;

/// What a daemon says of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The daemon itself.
    pub own: Option<Member>,
    /// The members that it knows, itself included.
    pub members: Vec<Member>,
    /// The configuration version in force.
    pub config_version: u64,
    /// The records that it cannot read; what it had of them before stays in force.
    pub unreadable: Vec<UnreadableRecord>,
    /// The target beside it.
    pub target: Option<Announcement>,
    /// The guard's load.
    pub load: LoadReport,
    /// The calls that it took and did not reply to yet.
    pub calls: usize,
}

/// The operators' listener of a daemon.
pub struct OperatorServer {
    node: Arc<Node>,
    metrics: Arc<Metrics>,
    token: String,
}

impl OperatorServer {
    /// Starts the listener's threads; they end with the process.
    ///
    /// # Errors
    ///
    /// Fails where the address cannot be bound.
    pub fn start(
        address: SocketAddr,
        token: String,
        node: Arc<Node>,
        metrics: Arc<Metrics>,
    ) -> Result<SocketAddr, Box<dyn std::error::Error + Send + Sync>> {
        let server = Arc::new(Server::http(address)?);
        let bound = server.server_addr().to_ip().unwrap_or(address);
        let host = Arc::new(Self {
            node,
            metrics,
            token,
        });
        for _ in 0..THREADS {
            let (server, host) = (Arc::clone(&server), Arc::clone(&host));
            std::thread::spawn(move || {
                while let Ok(request) = server.recv() {
                    host.serve(request);
                }
            });
        }
        Ok(bound)
    }

    fn serve(&self, mut request: Request) {
        let response = if self.is_allowed(&request) {
            self.answer(&mut request)
        } else {
            Page::error(401, "the operator token is missing or wrong")
        };
        let _ = request.respond(response.into_response());
    }

    fn is_allowed(&self, request: &Request) -> bool {
        let expected = format!("Bearer {}", self.token);
        header(request, "Authorization").is_some_and(|value| value == expected)
    }

    fn answer(&self, request: &mut Request) -> Page {
        match (request.method(), request.url()) {
            (Method::Get, "/status") => Page::json(200, &self.status()),
            (Method::Get, "/metrics") => Page {
                status: 200,
                body: self.metrics.text(),
            },
            (Method::Get, "/records") => self.records(),
            (Method::Post, "/records") => self.submit(request),
            (Method::Post, "/stop") => {
                self.node
                    .submit_from_thread(Input::Notice(Notice::StopRequested));
                Page::json(202, &"stopping")
            }
            _ => Page::error(404, "GET /status /metrics /records, POST /records /stop"),
        }
    }

    /// Reads what the node's services say of themselves.
    pub fn status(&self) -> Status {
        self.node.inspect(|kernel| {
            let membership = kernel.find::<Membership>(membership::NAME);
            let own = membership
                .as_ref()
                .map(|membership| membership.own().clone());
            let members = membership.map(|membership| membership.members().cloned().collect());
            let guard = kernel.find::<Guard>(guard::NAME);
            let target = guard.and_then(|guard| guard.target().cloned());
            let calls = kernel
                .find::<crate::calls::entry::Entry>(crate::calls::entry::NAME)
                .map_or(0, |entry| entry.len());
            Status {
                own,
                members: members.unwrap_or_default(),
                config_version: kernel
                    .find::<Config>(config::NAME)
                    .map_or(0, |config| config.version()),
                unreadable: kernel
                    .find::<Config>(config::NAME)
                    .map_or_else(Vec::new, |config| config.unreadable_records()),
                target,
                load: kernel
                    .find::<Admission>(admission::NAME)
                    .map_or_else(LoadReport::default, |admission| admission.load()),
                calls,
            }
        })
    }

    fn records(&self) -> Page {
        match self.ask(OperatorRequest::Records) {
            Some(OperatorReply::Records(view)) => Page::json(200, &view),
            _ => Page::error(503, "the node did not reply"),
        }
    }

    fn submit(&self, request: &mut Request) -> Page {
        let mut body = String::new();
        let mut reader = std::io::Read::take(request.as_reader(), BODY_BYTES_MAX);
        if std::io::Read::read_to_string(&mut reader, &mut body).is_err() {
            return Page::error(400, "the body must be UTF-8");
        }
        let mut submission = match Submission::read(&body) {
            Ok(submission) => submission,
            Err(error) => {
                return Page::error(400, &format!("{}: {}", error.field, error.problem));
            }
        };
        if let Some(expected) = header(request, "If-Match") {
            let Ok(version) = expected.trim_matches('"').parse() else {
                return Page::error(400, "If-Match must be the version that you saw");
            };
            submission.expected_version = version;
        }
        match self.ask(OperatorRequest::Submit(submission)) {
            Some(OperatorReply::Submitted(outcome)) => {
                Page::json(submit_status(&outcome), &outcome)
            }
            _ => Page::error(504, "no outcome in time; submit the same change again"),
        }
    }

    fn ask(&self, request: OperatorRequest) -> Option<OperatorReply> {
        let (call, receiver) = self.node.open_operator_request();
        let event = Event::OperatorRequest { call, request };
        self.node
            .submit_from_thread(Input::Event(config::NAME, event));
        receiver.recv_timeout(SUBMIT_TIMEOUT).ok()
    }
}

fn submit_status(outcome: &SubmitOutcome) -> u16 {
    match outcome {
        SubmitOutcome::Accepted { .. } => 200,
        SubmitOutcome::Conflict { .. } => 412,
        SubmitOutcome::Invalid { .. } => 422,
        SubmitOutcome::Unavailable => 503,
        SubmitOutcome::Unknown => 504,
    }
}

fn header<'a>(request: &'a Request, name: &'static str) -> Option<&'a str> {
    for header in request.headers() {
        if header.field.equiv(name) {
            return Some(header.value.as_str());
        }
    }
    None
}

/// An answer to an operator.
struct Page {
    status: u16,
    body: String,
}

impl Page {
    fn json(status: u16, value: &impl Serialize) -> Self {
        Self {
            status,
            body: serde_json::to_string_pretty(value).unwrap_or_default(),
        }
    }

    fn error(status: u16, message: &str) -> Self {
        Self::json(status, &serde_json::json!({ "message": message }))
    }

    fn into_response(self) -> Response<std::io::Cursor<Vec<u8>>> {
        let is_json = self.body.starts_with(['{', '[', '"']);
        let kind = if is_json {
            "application/json"
        } else {
            "text/plain; version=0.0.4"
        };
        let response = Response::from_string(self.body).with_status_code(self.status);
        match Header::from_bytes("Content-Type", kind) {
            Ok(header) => response.with_header(header),
            Err(()) => response,
        }
    }
}
