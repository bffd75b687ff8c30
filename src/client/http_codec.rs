//! The HTTP form of one try.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::{Request, Response};

use super::request_state::{Attempt, Reply};
use super::{ClientRequest, ClientSettings};
use crate::headers;
use crate::host::http::forwarded_headers;
use crate::request::{Answer, RunKey};
use crate::run_once::Ticket;
use crate::verdict::{DoubtReason, RefusalReason, Verdict};

/// Writes one try; returns `None` where method, path or a header is malformed.
pub(super) fn write(
    daemon: SocketAddr,
    settings: &ClientSettings,
    request: &ClientRequest,
    attempt: &Attempt,
    left: Duration,
) -> Option<Request<Full<Bytes>>> {
    let uri = format!("http://{daemon}/{}{}", request.service, request.path);
    let deadline_ms = left.as_millis().max(1).to_string();
    let mut builder = Request::builder()
        .method(request.method.as_str())
        .uri(uri)
        .header(headers::CALLER, settings.caller.as_str())
        .header(headers::DEADLINE_MS, deadline_ms);
    if let Some(id) = attempt.request {
        builder = builder.header(headers::REQUEST, headers::format_request_id(id));
    }
    if let Some(retries_left) = attempt.retries_left {
        builder = builder.header(headers::RETRIES, retries_left.to_string());
    }
    if attempt.is_repeat {
        builder = builder.header(headers::REPEAT, "true");
    }
    match &attempt.run_key {
        RunKey::None => {}
        RunKey::Ticket(ticket) => {
            builder = builder.header(headers::TICKET, headers::format_ticket(*ticket));
        }
        RunKey::Claim(claim) => {
            let is_first_try = if claim.is_first_attempt {
                "true"
            } else {
                "false"
            };
            builder = builder
                .header(headers::IDEMPOTENCY_KEY, &claim.key)
                .header(headers::FIRST_ATTEMPT, is_first_try);
        }
    }
    for header in &request.headers {
        builder = builder.header(&header.name, &header.value);
    }
    builder.body(Full::new(request.body.clone())).ok()
}

/// Reads the reply to one try.
pub(super) async fn read(response: Response<Incoming>, left: Duration) -> Reply {
    let (head, body) = response.into_parts();
    let body = match tokio::time::timeout(left, body.collect()).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(_)) => return reply(&head.headers, broken()),
        Err(_) => {
            let verdict = Verdict::may_have_run(DoubtReason::Deadline, 0);
            return reply(&head.headers, verdict);
        }
    };
    let verdict = match text(&head.headers, headers::VERDICT) {
        Some("ran") => {
            let passed = forwarded_headers(&head.headers);
            Verdict::Ran(Answer::new(head.status.as_u16(), passed, body))
        }
        Some("not-run") => read_refusal(&head.headers),
        Some("may-have-run") => read_doubt(&head.headers),
        None if !head.status.is_server_error() => {
            let passed = forwarded_headers(&head.headers);
            Verdict::Ran(Answer::new(head.status.as_u16(), passed, body))
        }
        _ => broken(),
    };
    reply(&head.headers, verdict)
}

fn reply(header_map: &HeaderMap, verdict: Verdict) -> Reply {
    Reply {
        verdict,
        retries_left: number(header_map, headers::RETRIES),
        tickets: read_tickets(header_map),
    }
}

fn broken() -> Verdict {
    Verdict::may_have_run(DoubtReason::BrokenAnswer, 0)
}

/// A reason that this version does not know counts as overload: the request did not run.
fn read_refusal(header_map: &HeaderMap) -> Verdict {
    let code = text(header_map, headers::REASON).unwrap_or("");
    let retry_after_ms = number(header_map, headers::RETRY_AFTER_MS).unwrap_or(0);
    for reason in RefusalReason::ALL {
        if reason.code() == code {
            return Verdict::not_run(*reason, retry_after_ms);
        }
    }
    Verdict::not_run(RefusalReason::Overload, retry_after_ms)
}

/// A reason that this version does not know counts as a lost connection.
fn read_doubt(header_map: &HeaderMap) -> Verdict {
    let code = text(header_map, headers::REASON).unwrap_or("");
    let retry_after_ms = number(header_map, headers::RETRY_AFTER_MS).unwrap_or(0);
    for reason in DoubtReason::ALL {
        if reason.code() == code {
            return Verdict::may_have_run(*reason, retry_after_ms);
        }
    }
    Verdict::may_have_run(DoubtReason::ConnectionLost, retry_after_ms)
}

fn read_tickets(header_map: &HeaderMap) -> Vec<Ticket> {
    let mut tickets = Vec::new();
    let list = text(header_map, headers::TICKETS).unwrap_or("");
    for ticket in list.split(',') {
        tickets.extend(headers::parse_ticket(ticket.trim()));
    }
    tickets
}

fn text<'a>(header_map: &'a HeaderMap, name: &str) -> Option<&'a str> {
    header_map.get(name)?.to_str().ok()
}

fn number(header_map: &HeaderMap, name: &str) -> Option<u32> {
    text(header_map, name)?.parse().ok()
}
