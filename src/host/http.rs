//! The native HTTP representation of calls and verdicts.

use bytes::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::{Response, StatusCode};
use serde::Serialize;

use super::Node;
use super::caller::CallCodec;
use super::header_forwarding;
use crate::headers;
use crate::ids::{Caller, RequestId, ServiceName};
use crate::kernel::CallReply;
use crate::request::{Answer, CallRequest, ClaimKey, Header, HttpRequest, RunKey};
use crate::run_once::Ticket;
use crate::verdict::{DoubtReason, RefusalReason, Verdict};

/// The maximum length of a caller's name or of an idempotency key.
const NAME_BYTES_MAX: usize = 256;

/// The name of callers that do not give one.
const ANONYMOUS: &str = "anonymous";

/// The rejection of a request that gets no verdict from the entry.
///
/// The native representation encodes it with the verdict "not run", also if the daemon stopped
/// before it replied to a call that the entry had accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// The HTTP status, such as 400, 413 or 503.
    pub status: u16,
    /// The reason code.
    pub reason: RefusalReason,
    /// The cause and the permitted values.
    pub message: String,
}

impl Rejection {
    /// Creates a rejection with status 400.
    pub fn new(message: impl Into<String>) -> Self {
        Self {
            status: 400,
            reason: RefusalReason::BadRequest,
            message: message.into(),
        }
    }
}

/// The response body of refusals and doubts.
#[derive(Clone, Debug, PartialEq, Serialize)]
struct ErrorBody<'a> {
    verdict: &'a str,
    reason: &'a str,
    retry_after_ms: u32,
    message: &'a str,
}

/// The native HTTP representation, which uses the `x-dragonflylug-` headers.
pub struct NativeCallCodec;

impl CallCodec for NativeCallCodec {
    fn decode_call(
        &self,
        _node: &Node,
        head: &Parts,
        body: Bytes,
        is_from_target: bool,
    ) -> Result<CallRequest, Rejection> {
        decode_call(&head.method, &head.uri, &head.headers, body, is_from_target)
    }

    fn encode_reply(&self, reply: CallReply) -> Response<Bytes> {
        encode_reply(reply)
    }

    fn encode_rejection(&self, rejection: &Rejection) -> Response<Bytes> {
        encode_rejection(rejection)
    }
}

/// Decodes a call from the parts of an HTTP request.
///
/// # Errors
///
/// Fails if the path names no service or a header of the daemon has an invalid value.
pub fn decode_call(
    method: &hyper::Method,
    uri: &hyper::Uri,
    header_map: &HeaderMap,
    body: Bytes,
    is_from_target: bool,
) -> Result<CallRequest, Rejection> {
    let (service, path) = split_service(uri)?;
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

fn split_service(uri: &hyper::Uri) -> Result<(ServiceName, String), Rejection> {
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    let rest = path.strip_prefix('/').unwrap_or(path);
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (service, target_path) = rest.split_at(end);
    let is_name_byte =
        |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    if service.is_empty() || !service.bytes().all(is_name_byte) {
        let message = "the path must be /{service}/{path}; a service name consists of letters, \
                       digits, '-', '_' and '.'";
        return Err(Rejection::new(message));
    }
    let target_path = if target_path.starts_with('/') {
        target_path.to_string()
    } else {
        format!("/{target_path}")
    };
    Ok((ServiceName::from(service), target_path))
}

/// Copies the headers that are forwarded between callers and targets.
pub fn forwarded_headers(header_map: &HeaderMap) -> Vec<Header> {
    let is_own = |name: &str| name == "host" || name.starts_with(headers::PREFIX);
    header_forwarding::forwarded_headers(header_map, is_own)
}

fn header_text<'a>(header_map: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Rejection> {
    let Some(value) = header_map.get(name) else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(header_text) => Ok(Some(header_text)),
        Err(_) => Err(Rejection::new(format!(
            "header {name}: must be visible ASCII"
        ))),
    }
}

fn read_caller(header_map: &HeaderMap) -> Result<Caller, Rejection> {
    let name = header_text(header_map, headers::CALLER)?.unwrap_or(ANONYMOUS);
    if name.is_empty() || name.len() > NAME_BYTES_MAX {
        let name = headers::CALLER;
        return Err(Rejection::new(format!(
            "header {name}: must have 1 to 256 bytes"
        )));
    }
    Ok(Caller::from(name))
}

fn read_request_id(header_map: &HeaderMap, name: &str) -> Result<Option<RequestId>, Rejection> {
    let Some(value) = header_text(header_map, name)? else {
        return Ok(None);
    };
    match headers::parse_request_id(value) {
        Some(request) => Ok(Some(request)),
        None => Err(Rejection::new(format!(
            "header {name}: must be 1 to 16 hexadecimal digits"
        ))),
    }
}

fn read_number(header_map: &HeaderMap, name: &str, min: u32) -> Result<Option<u32>, Rejection> {
    let Some(value) = header_text(header_map, name)? else {
        return Ok(None);
    };
    match value.parse::<u32>() {
        Ok(number) if number >= min => Ok(Some(number)),
        _ => {
            let message = format!(
                "header {name}: must be a whole number from {min} to {}",
                u32::MAX
            );
            Err(Rejection::new(message))
        }
    }
}

fn read_flag(header_map: &HeaderMap, name: &str) -> Result<bool, Rejection> {
    match header_text(header_map, name)? {
        None | Some("false") => Ok(false),
        Some("true") => Ok(true),
        Some(_) => Err(Rejection::new(format!(
            "header {name}: must be true or false"
        ))),
    }
}

fn read_run_key(header_map: &HeaderMap) -> Result<RunKey, Rejection> {
    if let Some(value) = header_text(header_map, headers::TICKET)? {
        let Some(ticket) = headers::parse_ticket(value) else {
            let name = headers::TICKET;
            return Err(Rejection::new(format!(
                "header {name}: must be a ticket as issued by a daemon"
            )));
        };
        return Ok(RunKey::Ticket(ticket));
    }
    let Some(key) = header_text(header_map, headers::IDEMPOTENCY_KEY)? else {
        return Ok(RunKey::None);
    };
    if key.is_empty() || key.len() > NAME_BYTES_MAX {
        let name = headers::IDEMPOTENCY_KEY;
        return Err(Rejection::new(format!(
            "header {name}: must have 1 to 256 bytes"
        )));
    }
    let is_first_try = read_flag(header_map, headers::FIRST_ATTEMPT)?;
    Ok(RunKey::Claim(ClaimKey {
        key: key.to_string(),
        is_first_attempt: is_first_try,
    }))
}

/// Encodes the reply to a call.
pub fn encode_reply(reply: CallReply) -> Response<Bytes> {
    let mut response = match &reply.verdict {
        Verdict::Ran(answer) => encode_answer(answer),
        Verdict::NotRun(refusal) => {
            let status = refusal_status(refusal.reason);
            encode_error_body(status, &reply.verdict, "the request did not run")
        }
        Verdict::MayHaveRun(doubt) => {
            let status = doubt_status(doubt.reason);
            encode_error_body(status, &reply.verdict, "the request may have run")
        }
    };
    let header_map = response.headers_mut();
    append_header(header_map, headers::VERDICT, reply.verdict.name());
    append_header(
        header_map,
        headers::RETRIES,
        &reply.retries_left.to_string(),
    );
    if !reply.tickets.is_empty() {
        append_header(header_map, headers::TICKETS, &list_tickets(&reply.tickets));
    }
    response
}

/// Encodes the response to a rejected request, with the verdict "not run".
pub fn encode_rejection(rejection: &Rejection) -> Response<Bytes> {
    let verdict = Verdict::not_run(rejection.reason, 0);
    let status = StatusCode::from_u16(rejection.status).unwrap_or(StatusCode::BAD_REQUEST);
    let mut response = encode_error_body(status, &verdict, &rejection.message);
    append_header(response.headers_mut(), headers::VERDICT, verdict.name());
    response
}

fn list_tickets(tickets: &[Ticket]) -> String {
    let mut list = Vec::new();
    for ticket in tickets {
        list.push(headers::format_ticket(*ticket));
    }
    list.join(",")
}

fn encode_answer(answer: &Answer) -> Response<Bytes> {
    let mut response = Response::new(answer.body.clone());
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    for header in &answer.headers {
        append_header(response.headers_mut(), &header.name, &header.value);
    }
    response
}

fn encode_error_body(status: StatusCode, verdict: &Verdict, message: &str) -> Response<Bytes> {
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
    let mut response = Response::new(Bytes::from(body));
    *response.status_mut() = status;
    let header_map = response.headers_mut();
    header_map.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    append_header(header_map, headers::REASON, reason);
    append_header(
        header_map,
        headers::RETRY_AFTER_MS,
        &retry_after_ms.to_string(),
    );
    append_header(
        header_map,
        RETRY_AFTER.as_str(),
        &retry_after_ms.div_ceil(1_000).to_string(),
    );
    response
}

fn append_header(header_map: &mut HeaderMap, name: &str, value: &str) {
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
        RefusalReason::Unauthorized => StatusCode::UNAUTHORIZED,
        RefusalReason::QuotaExceeded => StatusCode::TOO_MANY_REQUESTS,
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
