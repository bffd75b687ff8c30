//! The HTTP form of calls and verdicts.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::{Response, StatusCode};
use serde::Serialize;

use super::Node;
use super::caller::CallCodec;
use super::end_to_end;
use crate::headers;
use crate::ids::{Caller, RequestId, ServiceName};
use crate::kernel::CallReply;
use crate::request::{Answer, CallRequest, ClaimKey, Header, HttpRequest, RunKey};
use crate::run_once::Ticket;
use crate::verdict::{DoubtReason, RefusalReason, Verdict};

/// The greatest length of a caller's name or idempotency key.
const NAME_BYTES_MAX: usize = 256;

/// The name of callers that give none.
const ANONYMOUS: &str = "anonymous";

/// What is wrong with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BadRequest {
    /// The HTTP status: 400 or 413.
    pub status: u16,
    /// The reason code.
    pub reason: RefusalReason,
    /// What is wrong and what is allowed.
    pub message: String,
}

impl BadRequest {
    /// Makes an error with status 400.
    pub fn new(message: impl Into<String>) -> Self {
        Self {
            status: 400,
            reason: RefusalReason::BadRequest,
            message: message.into(),
        }
    }
}

/// The body of each refusal and doubt.
#[derive(Clone, Debug, PartialEq, Serialize)]
struct ErrorBody<'a> {
    verdict: &'a str,
    reason: &'a str,
    retry_after_ms: u32,
    message: &'a str,
}

/// The product's own HTTP form.
pub struct NativeCallCodec;

impl CallCodec for NativeCallCodec {
    fn decode_call(
        &self,
        _node: &Node,
        head: &Parts,
        body: Bytes,
        is_from_target: bool,
    ) -> Result<CallRequest, BadRequest> {
        read_call(&head.method, &head.uri, &head.headers, body, is_from_target)
    }

    fn encode_reply(&self, reply: CallReply) -> Response<Full<Bytes>> {
        write_reply(reply)
    }

    fn encode_error(&self, bad: &BadRequest) -> Response<Full<Bytes>> {
        write_bad_request(bad)
    }
}

/// Reads a call from the parts of an HTTP request.
pub fn read_call(
    method: &hyper::Method,
    uri: &hyper::Uri,
    header_map: &HeaderMap,
    body: Bytes,
    is_from_target: bool,
) -> Result<CallRequest, BadRequest> {
    let (service, path) = split_path(uri)?;
    Ok(CallRequest {
        service,
        http: HttpRequest {
            method: method.as_str().to_string(),
            path,
            headers: forwarded_headers(header_map),
            body,
        },
        caller: read_caller(header_map)?,
        request: read_request_id(header_map, headers::REQUEST)?,
        parent: read_request_id(header_map, headers::PARENT)?,
        is_from_target,
        deadline_left_ms: read_number(header_map, headers::DEADLINE_MS, 1)?,
        retries_left: read_number(header_map, headers::RETRIES, 0)?,
        is_repeat: read_flag(header_map, headers::REPEAT)?,
        run_key: read_run_key(header_map)?,
        routed: None,
    })
}

fn split_path(uri: &hyper::Uri) -> Result<(ServiceName, String), BadRequest> {
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    let rest = path.strip_prefix('/').unwrap_or(path);
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (service, below) = rest.split_at(end);
    let is_name = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    if service.is_empty() || !service.bytes().all(is_name) {
        let message = "the path must be /{service}/{path}; a service is letters, digits, - _ .";
        return Err(BadRequest::new(message));
    }
    let below = if below.starts_with('/') {
        below.to_string()
    } else {
        format!("/{below}")
    };
    Ok((ServiceName::from(service), below))
}

/// Copies the headers that are passed on between callers and targets.
pub fn forwarded_headers(header_map: &HeaderMap) -> Vec<Header> {
    let is_own = |name: &str| name == "host" || name.starts_with(headers::PREFIX);
    end_to_end::forwarded_headers(header_map, is_own)
}

fn text<'a>(header_map: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, BadRequest> {
    let Some(value) = header_map.get(name) else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(text) => Ok(Some(text)),
        Err(_) => Err(BadRequest::new(format!(
            "header {name}: must be visible ASCII"
        ))),
    }
}

fn read_caller(header_map: &HeaderMap) -> Result<Caller, BadRequest> {
    let name = text(header_map, headers::CALLER)?.unwrap_or(ANONYMOUS);
    if name.is_empty() || name.len() > NAME_BYTES_MAX {
        let name = headers::CALLER;
        return Err(BadRequest::new(format!(
            "header {name}: must have 1 to 256 bytes"
        )));
    }
    Ok(Caller::from(name))
}

fn read_request_id(header_map: &HeaderMap, name: &str) -> Result<Option<RequestId>, BadRequest> {
    let Some(value) = text(header_map, name)? else {
        return Ok(None);
    };
    match headers::parse_request_id(value) {
        Some(request) => Ok(Some(request)),
        None => Err(BadRequest::new(format!(
            "header {name}: must be 1 to 16 hexadecimal digits"
        ))),
    }
}

fn read_number(header_map: &HeaderMap, name: &str, least: u32) -> Result<Option<u32>, BadRequest> {
    let Some(value) = text(header_map, name)? else {
        return Ok(None);
    };
    match value.parse::<u32>() {
        Ok(number) if number >= least => Ok(Some(number)),
        _ => {
            let message = format!("header {name}: must be a whole number from {least}");
            Err(BadRequest::new(message))
        }
    }
}

fn read_flag(header_map: &HeaderMap, name: &str) -> Result<bool, BadRequest> {
    match text(header_map, name)? {
        None | Some("false") => Ok(false),
        Some("true") => Ok(true),
        Some(_) => Err(BadRequest::new(format!(
            "header {name}: must be true or false"
        ))),
    }
}

fn read_run_key(header_map: &HeaderMap) -> Result<RunKey, BadRequest> {
    if let Some(value) = text(header_map, headers::TICKET)? {
        let Some(ticket) = headers::parse_ticket(value) else {
            let name = headers::TICKET;
            return Err(BadRequest::new(format!(
                "header {name}: must be a ticket as handed out"
            )));
        };
        return Ok(RunKey::Ticket(ticket));
    }
    let Some(key) = text(header_map, headers::IDEMPOTENCY_KEY)? else {
        return Ok(RunKey::None);
    };
    if key.is_empty() || key.len() > NAME_BYTES_MAX {
        let name = headers::IDEMPOTENCY_KEY;
        return Err(BadRequest::new(format!(
            "header {name}: must have 1 to 256 bytes"
        )));
    }
    let is_first_try = read_flag(header_map, headers::FIRST_ATTEMPT)?;
    Ok(RunKey::Claim(ClaimKey {
        key: key.to_string(),
        is_first_attempt: is_first_try,
    }))
}

/// Writes a reply to a caller.
pub fn write_reply(reply: CallReply) -> Response<Full<Bytes>> {
    let mut response = match &reply.verdict {
        Verdict::Ran(answer) => write_answer(answer),
        Verdict::NotRun(refusal) => {
            let status = refusal_status(refusal.reason);
            write_error(status, &reply.verdict, "the request did not run")
        }
        Verdict::MayHaveRun(doubt) => {
            let status = doubt_status(doubt.reason);
            write_error(status, &reply.verdict, "the request may have run")
        }
    };
    let header_map = response.headers_mut();
    put(header_map, headers::VERDICT, reply.verdict.name());
    put(
        header_map,
        headers::RETRIES,
        &reply.retries_left.to_string(),
    );
    if !reply.tickets.is_empty() {
        put(header_map, headers::TICKETS, &list_tickets(&reply.tickets));
    }
    response
}

/// Writes the answer to a request that was not understood.
pub fn write_bad_request(bad: &BadRequest) -> Response<Full<Bytes>> {
    let verdict = Verdict::not_run(bad.reason, 0);
    let status = StatusCode::from_u16(bad.status).unwrap_or(StatusCode::BAD_REQUEST);
    let mut response = write_error(status, &verdict, &bad.message);
    put(response.headers_mut(), headers::VERDICT, verdict.name());
    response
}

fn list_tickets(tickets: &[Ticket]) -> String {
    let mut list = Vec::new();
    for ticket in tickets {
        list.push(headers::format_ticket(*ticket));
    }
    list.join(",")
}

fn write_answer(answer: &Answer) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(answer.body.clone()));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    for header in &answer.headers {
        put(response.headers_mut(), &header.name, &header.value);
    }
    response
}

fn write_error(status: StatusCode, verdict: &Verdict, message: &str) -> Response<Full<Bytes>> {
    let (reason, retry_after_ms) = match verdict {
        Verdict::Ran(_) => ("", 0),
        Verdict::NotRun(refusal) => (refusal.reason.code(), refusal.retry_after_ms),
        Verdict::MayHaveRun(doubt) => (doubt.reason.code(), doubt.retry_after_ms),
    };
    let body = ErrorBody {
        verdict: verdict.name(),
        reason,
        retry_after_ms,
        message,
    };
    let body = serde_json::to_vec(&body).unwrap_or_default();
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    let header_map = response.headers_mut();
    header_map.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    put(header_map, headers::REASON, reason);
    put(
        header_map,
        headers::RETRY_AFTER_MS,
        &retry_after_ms.to_string(),
    );
    put(
        header_map,
        RETRY_AFTER.as_str(),
        &retry_after_ms.div_ceil(1_000).to_string(),
    );
    response
}

fn put(header_map: &mut HeaderMap, name: &str, value: &str) {
    let Ok(name) = HeaderName::from_bytes(name.as_bytes()) else {
        return;
    };
    let Ok(value) = HeaderValue::from_str(value) else {
        return;
    };
    header_map.append(name, value);
}

fn refusal_status(reason: RefusalReason) -> StatusCode {
    match reason {
        RefusalReason::TicketNeeded => StatusCode::PRECONDITION_REQUIRED,
        RefusalReason::TicketVoid => StatusCode::CONFLICT,
        RefusalReason::UnknownService => StatusCode::NOT_FOUND,
        RefusalReason::BadRequest => StatusCode::BAD_REQUEST,
        RefusalReason::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        RefusalReason::RetryBudget => StatusCode::TOO_MANY_REQUESTS,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn doubt_status(reason: DoubtReason) -> StatusCode {
    match reason {
        DoubtReason::Deadline => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    }
}
