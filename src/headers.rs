//! The HTTP headers that callers, targets and daemons exchange, and the encoding of their values.

use crate::ids::{MemberId, RequestId};
use crate::run_once::Ticket;

/// The identifier of the request, the same on each attempt.
pub const REQUEST: &str = "x-dragonflylug-request";
/// The identifier of the parent request.
pub const PARENT: &str = "x-dragonflylug-parent";
/// The time left until the deadline of the caller, in milliseconds.
pub const DEADLINE_MS: &str = "x-dragonflylug-deadline-ms";
/// The name of the caller for retry budgets.
pub const CALLER: &str = "x-dragonflylug-caller";
/// The caller's idempotency key.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// States whether this is the first attempt with the idempotency key.
pub const FIRST_ATTEMPT: &str = "x-dragonflylug-first-try";
/// A ticket for a request that must run at most once.
pub const TICKET: &str = "x-dragonflylug-ticket";
/// The number of retries left.
pub const RETRIES: &str = "x-dragonflylug-retries";
/// Marks a repeat of an earlier attempt.
pub const REPEAT: &str = "x-dragonflylug-repeat";
/// The verdict of a reply.
pub const VERDICT: &str = "x-dragonflylug-verdict";
/// The reason for a refusal or doubt.
pub const REASON: &str = "x-dragonflylug-reason";
/// The issued tickets, separated by commas.
pub const TICKETS: &str = "x-dragonflylug-tickets";
/// The retry-after time, in milliseconds.
pub const RETRY_AFTER_MS: &str = "x-dragonflylug-retry-after-ms";
/// The answer header with which a target names the rate, in requests per second, that it accepts.
pub const RATE_LIMIT: &str = "x-dragonflylug-rate-limit";
/// The answer header with the value 1 with which a target says that it is leaving.
pub const LEAVING: &str = "x-dragonflylug-leaving";
/// The prefix of all headers specific to this product.
pub const PREFIX: &str = "x-dragonflylug-";

/// Formats a request identifier as 16 hexadecimal digits.
pub fn format_request_id(request: RequestId) -> String {
    format!("{:016x}", request.0)
}

/// Parses a request identifier of 1 to 16 hexadecimal digits.
pub fn parse_request_id(text: &str) -> Option<RequestId> {
    parse_hex(text).map(RequestId)
}

/// Formats a ticket as `issuer-sequence`, with the issuer as 16 hexadecimal digits.
pub fn format_ticket(ticket: Ticket) -> String {
    format!("{:016x}-{}", ticket.issuer.0, ticket.sequence)
}

/// Parses a ticket in the format of [`format_ticket`].
pub fn parse_ticket(text: &str) -> Option<Ticket> {
    let (issuer, sequence) = text.split_once('-')?;
    let issuer = MemberId(parse_hex(issuer)?);
    Some(Ticket {
        issuer,
        sequence: sequence.parse().ok()?,
    })
}

fn parse_hex(text: &str) -> Option<u64> {
    let is_hex = text.bytes().all(|byte| byte.is_ascii_hexdigit());
    if !is_hex || text.is_empty() || text.len() > 16 {
        return None;
    }
    u64::from_str_radix(text, 16).ok()
}
