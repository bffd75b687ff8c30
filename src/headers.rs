//! The headers between callers, targets and daemons.

use crate::ids::{MemberId, RequestId};
use crate::run_once::Ticket;

/// Identifies the request; the same on each try.
pub const REQUEST: &str = "x-dragonflylug-request";
/// Names the request that this one is a child of.
pub const PARENT: &str = "x-dragonflylug-parent";
/// Gives the time left until the caller gives up.
pub const DEADLINE_MS: &str = "x-dragonflylug-deadline-ms";
/// Names the caller for retry budgets.
pub const CALLER: &str = "x-dragonflylug-caller";
/// Carries the caller's idempotency key.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Says that the idempotency key was never sent before.
pub const FIRST_ATTEMPT: &str = "x-dragonflylug-first-try";
/// Carries a ticket.
pub const TICKET: &str = "x-dragonflylug-ticket";
/// Gives the retries left.
pub const RETRIES: &str = "x-dragonflylug-retries";
/// Marks a repeat of an earlier try.
pub const REPEAT: &str = "x-dragonflylug-repeat";
/// Gives the verdict of an answer.
pub const VERDICT: &str = "x-dragonflylug-verdict";
/// Gives the reason of a refusal or doubt.
pub const REASON: &str = "x-dragonflylug-reason";
/// Hands out tickets, separated by commas.
pub const TICKETS: &str = "x-dragonflylug-tickets";
/// Gives the time after which to try again, in milliseconds.
pub const RETRY_AFTER_MS: &str = "x-dragonflylug-retry-after-ms";
/// The start of the name of each header of this product.
pub const PREFIX: &str = "x-dragonflylug-";

/// Writes a request identifier as 16 hexadecimal digits.
pub fn format_request_id(request: RequestId) -> String {
    format!("{:016x}", request.0)
}

/// Reads a request identifier of 1 to 16 hexadecimal digits.
pub fn parse_request_id(text: &str) -> Option<RequestId> {
    parse_hex(text).map(RequestId)
}

/// Writes a ticket as `issuer-sequence`, the issuer in 16 hexadecimal digits.
pub fn format_ticket(ticket: Ticket) -> String {
    format!("{:016x}-{}", ticket.issuer.0, ticket.sequence)
}

/// Reads a ticket that [`format_ticket`] wrote.
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
