//! Encodes one attempt of a request as HTTP and decodes the reply.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
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

/// The maximum size of the body of a response; a larger one counts as broken.
const RESPONSE_BYTES_MAX: usize = 64 * 1024 * 1024;

/// Encodes one attempt; returns `None` if the method, the path or a header is malformed.
pub(super) fn encode_request(
    daemon: SocketAddr,
    settings: &ClientSettings,
    request: &ClientRequest,
    attempt: &Attempt,
    remaining: Duration,
) -> Option<Request<Full<Bytes>>> {
    let uri = format!("http://{daemon}/{}{}", request.service, request.path);
    let deadline_ms = remaining.as_millis().max(1).to_string();
    let mut builder = Request::builder()
        .method(request.method.as_str())
        .uri(uri)
        .header(headers::CALLER, settings.caller.as_str())
        .header(headers::DEADLINE_MS, deadline_ms);
    if let Some(id) = attempt.request_id {
        builder = builder.header(headers::REQUEST, headers::format_request_id(id));
    }
    if let Some(retries_left) = attempt.retries_left {
        builder = builder.header(headers::RETRIES, retries_left.to_string());
    }
    if attempt.is_retry {
        builder = builder.header(headers::REPEAT, "true");
    }
    match &attempt.run_key {
        RunKey::None => {}
        RunKey::Ticket(ticket) => {
            builder = builder.header(headers::TICKET, headers::format_ticket(*ticket));
        }
        RunKey::Claim(claim) => {
            let is_first_attempt = if claim.is_first_attempt {
                "true"
            } else {
                "false"
            };
            builder = builder
                .header(headers::IDEMPOTENCY_KEY, &claim.key)
                .header(headers::FIRST_ATTEMPT, is_first_attempt);
        }
    }
    for header in &request.headers {
        builder = builder.header(&header.name, &header.value);
    }
    builder.body(Full::new(request.body.clone())).ok()
}

/// Decodes the reply to one attempt.
///
/// A response without a verdict header is taken for the answer of a target that was called
/// directly, as in the demo without daemons. It counts as a complete answer unless its status is a
/// server error or none that an answer may have.
pub(super) async fn decode_response(response: Response<Incoming>, remaining: Duration) -> Reply {
    let (head, body) = response.into_parts();
    if !Answer::STATUSES.contains(&head.status.as_u16()) {
        return build_reply(&head.headers, broken_answer());
    }
    let body = Limited::new(body, RESPONSE_BYTES_MAX).collect();
    let body = match tokio::time::timeout(remaining, body).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(_)) => return build_reply(&head.headers, broken_answer()),
        Err(_) => {
            let verdict = Verdict::may_have_run(DoubtReason::Deadline, 0);
            return build_reply(&head.headers, verdict);
        }
    };
    let verdict = match header_text(&head.headers, headers::VERDICT) {
        Some("ran") => {
            let response_headers = forwarded_headers(&head.headers);
            Verdict::Ran(Answer::new(head.status.as_u16(), response_headers, body))
        }
        Some("not-run") => decode_refusal(&head.headers),
        Some("may-have-run") => decode_doubt(&head.headers),
        None if !head.status.is_server_error() => {
            let response_headers = forwarded_headers(&head.headers);
            Verdict::Ran(Answer::new(head.status.as_u16(), response_headers, body))
        }
        _ => broken_answer(),
    };
    build_reply(&head.headers, verdict)
}

fn build_reply(header_map: &HeaderMap, verdict: Verdict) -> Reply {
    Reply {
        verdict,
        retries_left: header_number(header_map, headers::RETRIES),
        tickets: decode_tickets(header_map),
    }
}

/// The verdict on a response that was cut off, is too large, has an unknown verdict or a status that no
/// answer may have, or is a server error without a verdict.
fn broken_answer() -> Verdict {
    Verdict::may_have_run(DoubtReason::BrokenAnswer, 0)
}

/// Decodes a refusal. An unknown reason, as a later version may send, counts as overload, because
/// the request did not run in either case.
fn decode_refusal(header_map: &HeaderMap) -> Verdict {
    let code = header_text(header_map, headers::REASON).unwrap_or("");
    let retry_after_ms = header_number(header_map, headers::RETRY_AFTER_MS).unwrap_or(0);
    for reason in RefusalReason::ALL {
        if reason.code() == code {
            return Verdict::not_run(*reason, retry_after_ms);
        }
    }
    Verdict::not_run(RefusalReason::Overload, retry_after_ms)
}

/// Decodes a doubt. An unknown reason, as a later version may send, counts as a lost connection.
fn decode_doubt(header_map: &HeaderMap) -> Verdict {
    let code = header_text(header_map, headers::REASON).unwrap_or("");
    let retry_after_ms = header_number(header_map, headers::RETRY_AFTER_MS).unwrap_or(0);
    for reason in DoubtReason::ALL {
        if reason.code() == code {
            return Verdict::may_have_run(*reason, retry_after_ms);
        }
    }
    Verdict::may_have_run(DoubtReason::ConnectionLost, retry_after_ms)
}

fn decode_tickets(header_map: &HeaderMap) -> Vec<Ticket> {
    let mut tickets = Vec::new();
    let list = header_text(header_map, headers::TICKETS).unwrap_or("");
    for ticket in list.split(',') {
        tickets.extend(headers::parse_ticket(ticket.trim()));
    }
    tickets
}

fn header_text<'a>(header_map: &'a HeaderMap, name: &str) -> Option<&'a str> {
    header_map.get(name)?.to_str().ok()
}

fn header_number(header_map: &HeaderMap, name: &str) -> Option<u32> {
    header_text(header_map, name)?.parse().ok()
}
