//! At-most-once execution of requests that are not idempotent, by tickets and by claims.
//!
//! The request of a ticket may run only at the daemon process that issued it (a restart gets a new
//! [`MemberId`]), so a ticket needs neither a clock nor the platform's table. A claim is a row that
//! one daemon inserts into the platform's table before it runs a request with an idempotency key;
//! no other daemon ever takes it over. Repeats of a request get the verdict that its daemon keeps.

mod claim;
mod claim_queue;
mod run;
mod sequence_set;
mod service;
mod settings;
mod ticket;

use macro_rules_attribute::apply;

use crate::derives::{message, value};
use crate::ids::{CallKey, Caller, MemberId, RequestId, ServiceName};
use crate::request::{ClaimKey, HttpRequest, RunKey};
use crate::verdict::{Doubt, DoubtReason, Refusal, Verdict};

pub use claim::ClaimHolder;
pub use service::{CLAIMS_DUE, RunOnce};
pub use settings::RunOnceSettings;

/// The name of the run-once service.
pub const NAME: &str = "run_once";

/// The right to run one request once, at the daemon process that issued it.
#[apply(value!)]
pub struct Ticket {
    /// The daemon that issued the ticket and that alone may run its request.
    pub issuer: MemberId,
    /// The number of the ticket among those of its issuer.
    pub sequence: u64,
}

/// A request for tickets.
#[apply(message!)]
pub struct TicketRequest {
    /// The service whose requests the tickets are for; the issuer does not check it.
    pub service: ServiceName,
    /// The number of tickets requested.
    pub count: u16,
}

/// Tickets that were issued.
#[apply(message!)]
pub struct TicketBlock {
    /// The tickets; empty if the daemon issues none now.
    pub tickets: Vec<Ticket>,
}

/// A request to the issuer of a ticket to make it void, unless the ticket's request was sent to the
/// target.
#[apply(value!)]
pub struct VoidRequest {
    /// The ticket.
    pub ticket: Ticket,
}

/// The outcome of a [`VoidRequest`].
#[apply(value!)]
pub enum VoidOutcome {
    /// The ticket is void: its request did not run and never will.
    Voided,
    /// The request of the ticket was sent to the target, or the ticket counts as used because its
    /// exact status is no longer stored.
    AlreadySent,
    /// This daemon did not issue the ticket.
    NotIssuer,
}

/// The result of voiding a ticket, with the calls that it cancels.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoidResult {
    /// The outcome for the ticket.
    pub outcome: VoidOutcome,
    /// The call of the ticket, which was not sent yet, and the calls that joined it; they get a
    /// `TicketVoid` refusal.
    pub cancelled: Vec<CallKey>,
}

/// The outcome of an attempt to begin a request that must run at most once.
#[derive(Clone, Debug, PartialEq)]
pub enum BeginOutcome {
    /// The request may run and must be admitted next.
    Run,
    /// Another copy of the request is pending, queued or running; the call joined it and gets the
    /// same verdict.
    Joined,
    /// The claim must be inserted into the platform's table first; a [`ClaimDecision`] follows.
    Pending,
    /// The request completed or must not run; this is the verdict.
    Decided(Verdict),
}

/// The decision on a call that waits for the table, or on a queued call whose ticket became void.
#[derive(Clone, Debug, PartialEq)]
pub struct ClaimDecision {
    /// The call.
    pub call: CallKey,
    /// Whether the call may run now; never `Pending`.
    pub outcome: BeginOutcome,
    /// The daemon that holds the claim, if it is another one that may still have the verdict.
    pub holder: Option<ClaimHolder>,
}

/// The completion of a call and of the calls that joined it.
#[derive(Clone, Debug, PartialEq)]
pub struct Completion {
    /// The verdict of the call and of the calls that joined it.
    pub verdict: Verdict,
    /// The calls that joined it.
    pub joined: Vec<CallKey>,
}

/// Returns the key of a child call of a request that runs at most once: a claim, also if the parent
/// has a ticket.
///
/// Daemons do not use it; they give each child call a ticket (see [`RunOnce::keep_child_ticket`]).
///
/// The same parent and child index give the same key, so that a repeat of the child does not run
/// twice.
pub fn child_key(parent: &RunKey, child_index: u32) -> RunKey {
    let key = match parent {
        RunKey::None => return RunKey::None,
        RunKey::Ticket(ticket) => {
            let Ticket { issuer, sequence } = ticket;
            format!("child/ticket/{:016x}/{sequence}/{child_index}", issuer.0)
        }
        RunKey::Claim(claim) => format!("child/claim/{child_index}/{}", claim.key),
    };
    RunKey::Claim(ClaimKey {
        key,
        is_first_attempt: false,
    })
}

/// Returns the key as daemons use it, in which a claim is scoped to its caller and its service.
///
/// Two callers that happen to choose the same idempotency key never get each other's answer.
pub fn scoped_key(key: &RunKey, caller: &Caller, service: &ServiceName) -> RunKey {
    let RunKey::Claim(claim) = key else {
        return key.clone();
    };
    let (caller, service) = (caller.as_str(), service.as_str());
    RunKey::Claim(ClaimKey {
        key: format!("{}/{caller}/{service}/{}", caller.len(), claim.key),
        is_first_attempt: claim.is_first_attempt,
    })
}

/// Returns an identifier for a request that carries none: the same for all attempts with the same
/// key.
pub fn request_id_of_key(key: &RunKey) -> Option<RequestId> {
    let text = match key {
        RunKey::None => return None,
        RunKey::Ticket(ticket) => format!("ticket/{:016x}/{}", ticket.issuer.0, ticket.sequence),
        RunKey::Claim(claim) => format!("claim/{}", claim.key),
    };
    Some(RequestId(xxhash_rust::xxh3::xxh3_64(text.as_bytes())))
}

/// Returns an identifier for a request that carries none: the same for all attempts with the same
/// key, method, path and body.
///
/// A request that reuses the key of a different request then gets a doubt instead of that request's
/// answer.
pub fn request_id_with_content(key: &RunKey, http: &HttpRequest) -> Option<RequestId> {
    let RequestId(seed) = request_id_of_key(key)?;
    let request_line = format!("{} {}\n", http.method, http.path);
    let line_digest = xxhash_rust::xxh3::xxh3_64_with_seed(request_line.as_bytes(), seed);
    let digest = xxhash_rust::xxh3::xxh3_64_with_seed(&http.body, line_digest);
    Some(RequestId(digest))
}

/// Returns the verdict of a refusal by a daemon that neither issued the ticket of the request nor
/// holds its claim.
///
/// Another copy of the request may run on another daemon, so only a request without a key and the
/// first attempt of a claim are certain not to have run.
pub fn non_holder_verdict(key: &RunKey, refusal: Refusal) -> Verdict {
    let reason = match key {
        RunKey::None => return Verdict::NotRun(refusal),
        RunKey::Claim(claim) if claim.is_first_attempt => return Verdict::NotRun(refusal),
        RunKey::Claim(_) => DoubtReason::ClaimHeld,
        RunKey::Ticket(_) => DoubtReason::IssuerUnreachable,
    };
    Verdict::MayHaveRun(Doubt {
        reason,
        retry_after_ms: refusal.retry_after_ms,
    })
}
