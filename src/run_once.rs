//! Running a request at most once: tickets and claims.

use macro_rules_attribute::apply;

use crate::derives::{message, value};
use crate::ids::{MemberId, ServiceName};
use crate::verdict::Verdict;

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

/// The table's word on a claim.
#[derive(Clone, Debug, PartialEq)]
pub struct ClaimDecided {
    /// The call.
    pub call: crate::ids::CallKey,
    /// Whether it may run now; never `Pending`.
    pub begin: Begin,
}
