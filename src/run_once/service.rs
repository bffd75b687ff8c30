//! The run-once service: tickets issued and void, and what is kept of runs.

mod children;
mod claims;
mod settle;
mod table;

use std::net::SocketAddr;

pub(super) use settle::answer_bytes;

use super::claim::ClaimHolder;
use super::queue::ClaimQueue;
use super::run::{Run, RunName, RunSlot, RunState, Runs};
use super::settings::RunOnceSettings;
use super::ticket::{Standing, TicketBook};
use super::{Begin, ClaimDecided, NAME, Ticket, TicketBlock, VoidOutcome, VoidRequest, Voided};
use crate::calls;
use crate::ids::{CallKey, InboundKey, MemberId, RequestId};
use crate::kernel::{Context, Event, Service};
use crate::metrics::Counter;
use crate::peer::{PeerRequest, PeerResponse};
use crate::verdict::{Doubt, DoubtReason, Refusal, RefusalReason, Verdict};

/// The time between two looks for verdicts and tickets that are too old.
const SWEEP_INTERVAL_US: u64 = 1_000_000;

/// The tag of the timer that drops old verdicts and tickets.
const SWEEP_TAG: u64 = 0;

/// The tag of the event that asks the table for the claims that wait.
const CLAIMS_TAG: u64 = 1;

/// What the caller of `begin_claim` sends to this service after `Pending`.
pub const CLAIMS_DUE: Event = Event::Timer(CLAIMS_TAG);

/// Runs requests at most once.
pub struct RunOnce {
    settings: RunOnceSettings,
    own: ClaimHolder,
    book: TicketBook,
    runs: Runs,
    queue: ClaimQueue,
    next_nonce: u64,
    now_us: u64,
}

impl RunOnce {
    /// Makes the service of a daemon that has issued no ticket and holds no claim.
    pub fn new(settings: RunOnceSettings, own_id: MemberId) -> Self {
        Self {
            settings,
            own: ClaimHolder {
                member: own_id,
                address: None,
            },
            book: TicketBook::default(),
            runs: Runs::default(),
            queue: ClaimQueue::default(),
            next_nonce: 0,
            now_us: 0,
        }
    }

    /// Sets the peer address that other daemons ask for the verdicts of this one's claims.
    #[must_use]
    pub fn with_address(mut self, address: SocketAddr) -> Self {
        self.own.address = Some(address);
        self
    }

    /// Issues tickets.
    pub fn issue(&mut self, now_us: u64, count: u16) -> TicketBlock {
        self.sweep(now_us);
        let count = count.min(self.settings.ticket_block_max);
        let first = self.book.issue(now_us, count, &self.settings);
        let mut tickets = Vec::new();
        for sequence in first..first + u64::from(count) {
            tickets.push(Ticket {
                issuer: self.own.member,
                sequence,
            });
        }
        TicketBlock { tickets }
    }

    /// Says whether the request of a ticket may run now.
    pub fn begin_ticket(
        &mut self,
        now_us: u64,
        call: CallKey,
        ticket: Ticket,
        request: RequestId,
    ) -> Begin {
        if ticket.issuer != self.own.member {
            return Begin::Decided(Verdict::may_have_run(DoubtReason::IssuerGone, 0));
        }
        self.sweep(now_us);
        if let Some(slot) = self.runs.find(RunName::Ticket(ticket.sequence)) {
            return self.rejoin(slot, call, request);
        }
        match self.book.standing(ticket.sequence) {
            Standing::Open => {
                let run = Run::of_ticket(ticket.sequence, request, call);
                self.runs.insert(run);
                Begin::Run
            }
            Standing::Void => Begin::Decided(Verdict::NotRun(ticket_void())),
            Standing::Spent => Begin::Decided(Verdict::may_have_run(DoubtReason::AnswerDropped, 0)),
            Standing::NotIssued => Begin::Decided(Verdict::not_run(RefusalReason::BadRequest, 0)),
        }
    }

    /// Makes a ticket void where its request was not sent to the target.
    pub fn void(&mut self, ticket: Ticket) -> Voided {
        if ticket.issuer != self.own.member {
            return Voided::alone(VoidOutcome::NotIssuer);
        }
        let Some(slot) = self.runs.find(RunName::Ticket(ticket.sequence)) else {
            return Voided::alone(self.void_unused(ticket.sequence));
        };
        let Some(run) = self
            .runs
            .get(slot)
            .filter(|run| run.state == RunState::Queued)
        else {
            return Voided::alone(VoidOutcome::AlreadySent);
        };
        let mut cancelled = vec![run.call];
        cancelled.extend(self.runs.take_waiting(slot));
        self.end_unsent(slot, ticket_void());
        Voided {
            outcome: VoidOutcome::Voided,
            cancelled,
        }
    }

    /// Returns the memory of the kept verdicts, in bytes.
    pub fn kept_bytes(&self) -> usize {
        self.runs.kept_bytes()
    }

    /// Returns the number of runs and of separate ranges of tickets in memory.
    pub fn records(&self) -> usize {
        self.runs.len() + self.book.ranges()
    }

    /// Says whether the table has no claim of this daemon left to insert or to release.
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty()
    }

    /// Answers a call whose run is in memory.
    fn rejoin(&mut self, slot: RunSlot, call: CallKey, request: RequestId) -> Begin {
        let joined_max = self.settings.joined_calls_max;
        let Some(run) = self.runs.get(slot) else {
            return Begin::Decided(Verdict::may_have_run(DoubtReason::AnswerDropped, 0));
        };
        if run.request != request {
            return Begin::Decided(Verdict::may_have_run(DoubtReason::ClaimHeld, 0));
        }
        match &run.state {
            RunState::Ended(verdict) => Begin::Decided(verdict.clone()),
            RunState::Refused(refusal) => Begin::Decided(Verdict::NotRun(*refusal)),
            _ if run.waiting.len() >= joined_max => {
                Begin::Decided(Verdict::may_have_run(DoubtReason::ClaimHeld, 0))
            }
            _ => {
                self.runs.join(slot, call);
                Begin::Joined
            }
        }
    }

    fn void_unused(&mut self, sequence: u64) -> VoidOutcome {
        match self.book.standing(sequence) {
            Standing::Open => {
                self.book.set_void(sequence, &self.settings);
                VoidOutcome::Voided
            }
            Standing::Void => VoidOutcome::Voided,
            Standing::Spent => VoidOutcome::AlreadySent,
            Standing::NotIssued => VoidOutcome::NotIssuer,
        }
    }

    /// Drops what is older than the settings allow.
    fn sweep(&mut self, now_us: u64) {
        self.now_us = self.now_us.max(now_us);
        self.book.expire(self.now_us, &self.settings);
        let ttl_us = self.settings.kept_answer_ttl_ms * 1_000;
        while let Some((slot, ended_us)) = self.runs.oldest_end() {
            if self.now_us.saturating_sub(ended_us) <= ttl_us {
                break;
            }
            self.drop_run(slot);
        }
        self.drop_over_bound();
    }

    fn drop_over_bound(&mut self) {
        while self.runs.kept_bytes() > self.settings.kept_answers_bytes_max {
            let Some((slot, _)) = self.runs.oldest_end() else {
                break;
            };
            self.drop_run(slot);
        }
    }

    /// Forgets an ended run; of a ticket it stays known that it was used.
    fn drop_run(&mut self, slot: RunSlot) {
        let Some(run) = self.runs.remove(slot) else {
            return;
        };
        if let RunName::Ticket(sequence) = run.name {
            self.book.set_spent(sequence, &self.settings);
        }
    }

    fn asked(&mut self, context: &mut Context<'_>, inbound: InboundKey, question: &PeerRequest) {
        match question {
            PeerRequest::Tickets(request) => {
                let block = self.issue(context.now_us(), request.count);
                let count = block.tickets.len() as u64;
                context.count_by(Counter::unlabelled("tickets_issued"), count);
                context.respond(inbound, PeerResponse::Tickets(block));
            }
            PeerRequest::Void(VoidRequest { ticket }) => {
                let voided = self.void(*ticket);
                for call in voided.cancelled {
                    let verdict = Verdict::NotRun(ticket_void());
                    tell(context, ClaimDecided::verdict(call, verdict));
                }
                context.respond(inbound, PeerResponse::Void(voided.outcome));
            }
            _ => {}
        }
    }
}

impl Service for RunOnce {
    fn name(&self) -> &'static str {
        NAME
    }

    fn handle(&mut self, context: &mut Context<'_>, event: Event) {
        self.now_us = self.now_us.max(context.now_us());
        match event {
            Event::Started => context.set_timer(SWEEP_INTERVAL_US, SWEEP_TAG),
            Event::Timer(CLAIMS_TAG) => self.ask_table(context),
            Event::Timer(_) => {
                self.sweep(context.now_us());
                self.ask_table(context);
                context.set_timer(SWEEP_INTERVAL_US, SWEEP_TAG);
            }
            Event::PeerRequest { inbound, request } => self.asked(context, inbound, &request),
            Event::TableResponse { key, result } => self.table_answered(context, key, result),
            _ => {}
        }
    }
}

impl Voided {
    fn alone(outcome: VoidOutcome) -> Self {
        Self {
            outcome,
            cancelled: Vec::new(),
        }
    }
}

impl ClaimDecided {
    fn run(call: CallKey) -> Self {
        Self {
            call,
            begin: Begin::Run,
            holder: None,
        }
    }

    fn verdict(call: CallKey, verdict: Verdict) -> Self {
        Self {
            call,
            begin: Begin::Decided(verdict),
            holder: None,
        }
    }
}

fn tell(context: &mut Context<'_>, decided: ClaimDecided) {
    context.send(calls::NAME, Event::ClaimDecided(decided));
}

fn ticket_void() -> Refusal {
    Refusal {
        reason: RefusalReason::TicketVoid,
        retry_after_ms: 0,
        is_other_target_worthwhile: false,
    }
}

/// The verdict of a refusal where another copy of the request may run.
fn doubt(refusal: Refusal) -> Verdict {
    let reason = match refusal.reason {
        RefusalReason::Deadline => DoubtReason::Deadline,
        RefusalReason::Cancelled => DoubtReason::Cancelled,
        RefusalReason::TableUnavailable => DoubtReason::TableUnavailable,
        _ => DoubtReason::ClaimHeld,
    };
    Verdict::MayHaveRun(Doubt {
        reason,
        retry_after_ms: refusal.retry_after_ms,
    })
}
