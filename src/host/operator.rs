//! The HTTP server for operators: status, metrics, configuration records and graceful shutdown.

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

/// The number of threads that serve operators; each serves one request at a time.
const THREADS: usize = 2;

/// How long to wait for the node to reply to an operator request.
const REPLY_TIMEOUT: Duration = Duration::from_secs(10);

/// The maximum number of bytes that are read of an operator's request body; the rest of a longer
/// one is ignored.
const BODY_BYTES_MAX: u64 = 4 * 1024 * 1024;

/// The status of a daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The member record of the daemon itself.
    pub own: Option<Member>,
    /// The members in the roster of the daemon, including itself.
    pub members: Vec<Member>,
    /// The active configuration version.
    pub config_version: u64,
    /// The records that the daemon cannot read; the last readable state of each stays active.
    pub unreadable: Vec<UnreadableRecord>,
    /// The latest announcement of the target beside the daemon.
    pub target: Option<Announcement>,
    /// The load of the guard.
    pub load: LoadReport,
    /// The number of calls that the entry has accepted and not yet replied to.
    pub calls: usize,
}

/// The HTTP server for the operators of a daemon.
pub struct OperatorServer {
    node: Arc<Node>,
    metrics: Arc<Metrics>,
    token: String,
}

impl OperatorServer {
    /// Binds the address and starts the server threads, which run until the process ends.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub fn start(
        address: SocketAddr,
        token: String,
        node: Arc<Node>,
        metrics: Arc<Metrics>,
    ) -> Result<SocketAddr, Box<dyn std::error::Error + Send + Sync>> {
        let server = Arc::new(Server::http(address)?);
        let bound = server.server_addr().to_ip().unwrap_or(address);
        let operator_server = Arc::new(Self {
            node,
            metrics,
            token,
        });
        for _ in 0..THREADS {
            let (server, operator_server) = (Arc::clone(&server), Arc::clone(&operator_server));
            std::thread::spawn(move || {
                while let Ok(request) = server.recv() {
                    operator_server.serve(request);
                }
            });
        }
        Ok(bound)
    }

    fn serve(&self, mut request: Request) {
        let response = if self.is_authorized(&request) {
            self.handle(&mut request)
        } else {
            OperatorResponse::error(401, "the operator token is missing or wrong")
        };
        let _ = request.respond(response.into_http());
    }

    fn is_authorized(&self, request: &Request) -> bool {
        let expected = format!("Bearer {}", self.token);
        header(request, "Authorization").is_some_and(|value| value == expected)
    }

    fn handle(&self, request: &mut Request) -> OperatorResponse {
        match (request.method(), request.url()) {
            (Method::Get, "/status") => OperatorResponse::json(200, &self.status()),
            (Method::Get, "/metrics") => OperatorResponse {
                status: 200,
                body: self.metrics.text(),
            },
            (Method::Get, "/records") => self.records(),
            (Method::Post, "/records") => self.submit(request),
            (Method::Post, "/stop") => {
                self.node
                    .submit_from_thread(Input::Notice(Notice::StopRequested));
                OperatorResponse::json(202, &"stopping")
            }
            _ => OperatorResponse::error(
                404,
                "unknown method or path; available: GET /status, GET /metrics, GET /records, \
                 POST /records, POST /stop",
            ),
        }
    }

    /// Collects the status from the services of the node.
    pub fn status(&self) -> Status {
        let now_us = self.node.now_us();
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
                    .map_or_else(LoadReport::default, |admission| admission.load(now_us)),
                calls,
            }
        })
    }

    fn records(&self) -> OperatorResponse {
        match self.request_reply(OperatorRequest::Records) {
            Some(OperatorReply::Records(view)) => OperatorResponse::json(200, &view),
            _ => OperatorResponse::error(503, "the node did not reply in time"),
        }
    }

    fn submit(&self, request: &mut Request) -> OperatorResponse {
        let mut body = String::new();
        let mut reader = std::io::Read::take(request.as_reader(), BODY_BYTES_MAX);
        if std::io::Read::read_to_string(&mut reader, &mut body).is_err() {
            return OperatorResponse::error(400, "the body cannot be read as UTF-8 text");
        }
        let mut submission = match Submission::read(&body) {
            Ok(submission) => submission,
            Err(error) => {
                return OperatorResponse::error(
                    400,
                    &format!("{}: {}", error.field, error.problem),
                );
            }
        };
        if let Some(expected) = header(request, "If-Match") {
            let Ok(version) = expected.trim_matches('"').parse() else {
                return OperatorResponse::error(
                    400,
                    "If-Match must be the configuration version that the change is based on",
                );
            };
            submission.expected_version = version;
        }
        match self.request_reply(OperatorRequest::Submit(submission)) {
            Some(OperatorReply::Submitted(outcome)) => {
                OperatorResponse::json(submit_status(&outcome), &outcome)
            }
            _ => OperatorResponse::error(
                504,
                "the outcome is not known yet; submit the same change again",
            ),
        }
    }

    fn request_reply(&self, request: OperatorRequest) -> Option<OperatorReply> {
        let (call, receiver) = self.node.open_operator_request();
        let event = Event::OperatorRequest { call, request };
        self.node
            .submit_from_thread(Input::Event(config::NAME, event));
        receiver.recv_timeout(REPLY_TIMEOUT).ok()
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

/// A response to an operator.
struct OperatorResponse {
    status: u16,
    body: String,
}

impl OperatorResponse {
    fn json(status: u16, value: &impl Serialize) -> Self {
        Self {
            status,
            body: serde_json::to_string_pretty(value).unwrap_or_default(),
        }
    }

    fn error(status: u16, message: &str) -> Self {
        Self::json(status, &serde_json::json!({ "message": message }))
    }

    fn into_http(self) -> Response<std::io::Cursor<Vec<u8>>> {
        let is_json = self.body.starts_with(['{', '[', '"']);
        let content_type = if is_json {
            "application/json"
        } else {
            "text/plain; version=0.0.4"
        };
        let response = Response::from_string(self.body).with_status_code(self.status);
        match Header::from_bytes("Content-Type", content_type) {
            Ok(header) => response.with_header(header),
            Err(()) => response,
        }
    }
}
