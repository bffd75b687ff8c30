//! Running a request at most once: tickets and claims.
//!
//! A ticket may run only at the daemon incarnation that issued it, so it needs neither a clock nor
//! a table. A claim is a row that one daemon inserts in the platform's table before it runs the
//! request; it is never taken over.

mod claim;
mod queue;
mod ranges;
mod run;
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

/// The right to run one request once, at the daemon that issued it.
#[apply(value!)]
pub struct Ticket {
    /// The daemon that issued the ticket and that alone may run its request.
    pub issuer: MemberId,
    /// The number of the ticket among those of its issuer.
    pub sequence: u64,
}

/// Asks for tickets.
#[apply(message!)]
pub struct TicketRequest {
    /// The service whose requests the tickets are for.
    pub service: ServiceName,
    /// The number of tickets that are wanted.
    pub count: u16,
}

/// Tickets that were issued.
#[apply(message!)]
pub struct TicketBlock {
    /// The tickets; empty where the daemon issues none now.
    pub tickets: Vec<Ticket>,
}

/// Asks that a ticket be void if its request was not sent to the target.
#[apply(value!)]
pub struct VoidRequest {
    /// The ticket.
    pub ticket: Ticket,
}

/// What became of a ticket that was to be void.
#[apply(value!)]
pub enum VoidOutcome {
    /// It is void: its request did not run and never will.
    Voided,
    /// Its request was sent to the target.
    AlreadySent,
    /// This daemon did not issue it.
    NotIssuer,
}

/// A ticket that was to be void, and the calls that end by it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Voided {
    /// What became of the ticket.
    pub outcome: VoidOutcome,
    /// The queued call of the ticket and those that joined it; each gets a `TicketVoid` refusal.
    pub cancelled: Vec<CallKey>,
}

/// Whether a request that must run at most once may run now.
#[derive(Clone, Debug, PartialEq)]
pub enum Begin {
    /// It may run: admit it.
    Run,
    /// It is queued or running; the caller joins it and gets the same verdict.
    Joined,
    /// The platform's table is asked; [`ClaimDecided`] follows.
    Pending,
    /// It ended or may not run; this is the verdict.
    Decided(Verdict),
}

/// The word on a call that waits: for the table, or in the queue with a ticket that became void.
#[derive(Clone, Debug, PartialEq)]
pub struct ClaimDecided {
    /// The call.
    pub call: CallKey,
    /// Whether it may run now; never `Pending`.
    pub begin: Begin,
    /// The daemon that holds the claim, where it is another one that may still be asked.
    pub holder: Option<ClaimHolder>,
}

/// A call that ended, and the calls that joined it.
#[derive(Clone, Debug, PartialEq)]
pub struct Settled {
    /// The verdict of the call and of those that joined it.
    pub verdict: Verdict,
    /// The calls that joined it.
    pub waiting: Vec<CallKey>,
}

/// Returns the key of a child call of a request that runs at most once.
///
/// The same parent and order give the same key, so that a repeat of the child does not run twice.
pub fn child_key(parent: &RunKey, order: u32) -> RunKey {
    let key = match parent {
        RunKey::None => return RunKey::None,
        RunKey::Ticket(ticket) => {
            let Ticket { issuer, sequence } = ticket;
            format!("child/ticket/{:016x}/{sequence}/{order}", issuer.0)
        }
        RunKey::Claim(claim) => format!("child/claim/{order}/{}", claim.key),
    };
    RunKey::Claim(ClaimKey {
        key,
        is_first_attempt: false,
    })
}

/// Returns the key as daemons use it: a claim counts for its caller and its service only.
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

/// Returns the identifier of a request that names none: the same for each try with the same key.
pub fn request_of(key: &RunKey) -> Option<RequestId> {
    let text = match key {
        RunKey::None => return None,
        RunKey::Ticket(ticket) => format!("ticket/{:016x}/{}", ticket.issuer.0, ticket.sequence),
        RunKey::Claim(claim) => format!("claim/{}", claim.key),
    };
    Some(RequestId(xxhash_rust::xxh3::xxh3_64(text.as_bytes())))
}

/// Returns the identifier of a request that names none: the same for each try with the same key and
/// the same content.
///
/// A key that is used again for another request then gets a doubt and not the first one's answer.
pub fn request_with_content(key: &RunKey, http: &HttpRequest) -> Option<RequestId> {
    let RequestId(seed) = request_of(key)?;
    let line = format!("{} {}\n", http.method, http.path);
    let line_digest = xxhash_rust::xxh3::xxh3_64_with_seed(line.as_bytes(), seed);
    let digest = xxhash_rust::xxh3::xxh3_64_with_seed(&http.body, line_digest);
    Some(RequestId(digest))
}

/// Returns the verdict of a refusal by a daemon that does not hold the key of the request.
///
/// Another copy of the request may run elsewhere, so only a request without a key and the first
/// try of a claim are certain not to have run.
pub fn unheld_refusal(key: &RunKey, refusal: Refusal) -> Verdict {
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
