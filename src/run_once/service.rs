//! The run-once service: issues and voids tickets, claims idempotency keys in the platform's table,
//! and keeps verdicts for repeats.

mod child_tickets;
mod claim_decisions;
mod completion;
mod table_requests;

use std::net::SocketAddr;

pub(super) use completion::answer_bytes;

use super::claim::ClaimHolder;
use super::claim_queue::ClaimQueue;
use super::run::{Run, RunHandle, RunId, RunState, Runs};
use super::settings::RunOnceSettings;
use super::ticket::{IssuedTickets, TicketStatus};
use super::{
    BeginOutcome, ClaimDecision, NAME, Ticket, TicketBlock, VoidOutcome, VoidRequest, VoidResult,
};
use crate::calls;
use crate::ids::{CallKey, InboundKey, MemberId, RequestId};
use crate::kernel::{Context, Event, Service};
use crate::metrics::Counter;
use crate::peer::{PeerRequest, PeerResponse};
use crate::verdict::{Doubt, DoubtReason, Refusal, RefusalReason, Verdict};

/// The interval at which expired verdicts and tickets are dropped and waiting claims are sent.
const SWEEP_INTERVAL_US: u64 = 1_000_000;

/// The tag of the timer that drops expired verdicts and tickets and sends waiting claims.
const SWEEP_TAG: u64 = 0;

/// The tag of the event that sends the queued claims to the table.
const CLAIMS_TAG: u64 = 1;

/// The event that the caller of [`RunOnce::begin_with_claim`] sends to this service after
/// [`BeginOutcome::Pending`].
pub const CLAIMS_DUE: Event = Event::Timer(CLAIMS_TAG);

/// Makes sure that requests run at most once.
pub struct RunOnce {
    settings: RunOnceSettings,
    own_holder: ClaimHolder,
    tickets: IssuedTickets,
    runs: Runs,
    claim_queue: ClaimQueue,
    last_nonce: u64,
    latest_now_us: u64,
}

impl RunOnce {
    /// Creates the service of a daemon that has issued no ticket and holds no claim.
    pub fn new(settings: RunOnceSettings, own_id: MemberId) -> Self {
        Self {
            settings,
            own_holder: ClaimHolder {
                member: own_id,
                address: None,
            },
            tickets: IssuedTickets::default(),
            runs: Runs::default(),
            claim_queue: ClaimQueue::default(),
            last_nonce: 0,
            latest_now_us: 0,
        }
    }

    /// Sets the peer address at which other daemons get the verdicts of this daemon's claims.
    #[must_use]
    pub fn with_address(mut self, address: SocketAddr) -> Self {
        self.own_holder.address = Some(address);
        self
    }

    /// Issues `count` tickets, at most `ticket_block_max`.
    pub fn issue_tickets(&mut self, now_us: u64, count: u16) -> TicketBlock {
        self.sweep(now_us);
        let count = count.min(self.settings.ticket_block_max);
        let first = self.tickets.issue(now_us, count, &self.settings);
        let mut tickets = Vec::new();
        for sequence in first..first + u64::from(count) {
            tickets.push(Ticket {
                issuer: self.own_holder.member,
                sequence,
            });
        }
        TicketBlock { tickets }
    }

    /// Decides whether the request of a ticket may run now, and creates its run if so.
    pub fn begin_with_ticket(
        &mut self,
        now_us: u64,
        call: CallKey,
        ticket: Ticket,
        request_id: RequestId,
    ) -> BeginOutcome {
        if ticket.issuer != self.own_holder.member {
            return BeginOutcome::Decided(Verdict::may_have_run(DoubtReason::IssuerGone, 0));
        }
        self.sweep(now_us);
        if let Some(handle) = self.runs.find(RunId::Ticket(ticket.sequence)) {
            return self.join_existing(handle, call, request_id);
        }
        match self.tickets.status(ticket.sequence) {
            TicketStatus::Open => {
                let run = Run::for_ticket(ticket.sequence, request_id, call);
                self.runs.insert(run);
                BeginOutcome::Run
            }
            TicketStatus::Void => BeginOutcome::Decided(Verdict::NotRun(ticket_void_refusal())),
            TicketStatus::Spent => {
                BeginOutcome::Decided(Verdict::may_have_run(DoubtReason::AnswerDropped, 0))
            }
            TicketStatus::NotIssued => {
                BeginOutcome::Decided(Verdict::not_run(RefusalReason::BadRequest, 0))
            }
        }
    }

    /// Makes a ticket void, unless its request was sent to the target.
    pub fn void_ticket(&mut self, ticket: Ticket) -> VoidResult {
        if ticket.issuer != self.own_holder.member {
            return VoidResult::without_calls(VoidOutcome::NotIssuer);
        }
        let Some(handle) = self.runs.find(RunId::Ticket(ticket.sequence)) else {
            return VoidResult::without_calls(self.void_ticket_without_run(ticket.sequence));
        };
        let Some(run) = self
            .runs
            .get(handle)
            .filter(|run| run.state == RunState::Ready)
        else {
            return VoidResult::without_calls(VoidOutcome::AlreadySent);
        };
        let mut cancelled = vec![run.call];
        cancelled.extend(self.runs.take_joined(handle));
        self.finish_unsent(handle, ticket_void_refusal());
        VoidResult {
            outcome: VoidOutcome::Voided,
            cancelled,
        }
    }

    /// Returns the memory of the kept verdicts, in bytes.
    pub fn kept_bytes(&self) -> usize {
        self.runs.kept_bytes()
    }

    /// Returns the number of runs and of ticket ranges in memory.
    pub fn record_count(&self) -> usize {
        self.runs.len() + self.tickets.range_count()
    }

    /// Returns whether no claim is left to insert into the table or to release from it, and no
    /// request to it is in flight.
    pub fn is_idle(&self) -> bool {
        self.claim_queue.is_empty()
    }

    /// Joins a call to the run of the same ticket or claim, or returns the verdict of that run.
    ///
    /// Returns a `ClaimHeld` doubt if the call has another request identifier or too many calls
    /// joined the run.
    fn join_existing(
        &mut self,
        handle: RunHandle,
        call: CallKey,
        request_id: RequestId,
    ) -> BeginOutcome {
        let joined_max = self.settings.joined_calls_max;
        let Some(run) = self.runs.get(handle) else {
            return BeginOutcome::Decided(Verdict::may_have_run(DoubtReason::AnswerDropped, 0));
        };
        if run.request_id != request_id {
            return BeginOutcome::Decided(Verdict::may_have_run(DoubtReason::ClaimHeld, 0));
        }
        match &run.state {
            RunState::Completed(verdict) => BeginOutcome::Decided(verdict.clone()),
            RunState::Refused(refusal) => BeginOutcome::Decided(Verdict::NotRun(*refusal)),
            _ if run.joined.len() >= joined_max => {
                BeginOutcome::Decided(Verdict::may_have_run(DoubtReason::ClaimHeld, 0))
            }
            _ => {
                self.runs.join(handle, call);
                BeginOutcome::Joined
            }
        }
    }

    /// Makes a ticket without a run in memory void, unless it was used.
    fn void_ticket_without_run(&mut self, sequence: u64) -> VoidOutcome {
        match self.tickets.status(sequence) {
            TicketStatus::Open => {
                self.tickets.mark_void(sequence, &self.settings);
                VoidOutcome::Voided
            }
            TicketStatus::Void => VoidOutcome::Voided,
            TicketStatus::Spent => VoidOutcome::AlreadySent,
            TicketStatus::NotIssued => VoidOutcome::NotIssuer,
        }
    }

    /// Voids expired tickets, and evicts finished runs that are too old or exceed the memory limit.
    fn sweep(&mut self, now_us: u64) {
        self.latest_now_us = self.latest_now_us.max(now_us);
        self.tickets.expire(self.latest_now_us, &self.settings);
        let ttl_us = self.settings.kept_answer_ttl_ms * 1_000;
        while let Some((handle, finished_us)) = self.runs.oldest_finished() {
            if self.latest_now_us.saturating_sub(finished_us) <= ttl_us {
                break;
            }
            self.evict_run(handle);
        }
        self.evict_over_limit();
    }

    fn evict_over_limit(&mut self) {
        while self.runs.kept_bytes() > self.settings.kept_answers_bytes_max {
            let Some((handle, _)) = self.runs.oldest_finished() else {
                break;
            };
            self.evict_run(handle);
        }
    }

    /// Evicts a finished run; its ticket is recorded as spent, so that the request can't run again.
    fn evict_run(&mut self, handle: RunHandle) {
        let Some(run) = self.runs.remove(handle) else {
            return;
        };
        if let RunId::Ticket(sequence) = run.id {
            self.tickets.mark_spent(sequence, &self.settings);
        }
    }

    fn handle_peer_request(
        &mut self,
        context: &mut Context<'_>,
        inbound: InboundKey,
        peer_request: &PeerRequest,
    ) {
        match peer_request {
            PeerRequest::Tickets(request) => {
                let block = self.issue_tickets(context.now_us(), request.count);
                let count = block.tickets.len() as u64;
                context.count_by(Counter::unlabelled("tickets_issued"), count);
                context.respond(inbound, PeerResponse::Tickets(block));
            }
            PeerRequest::Void(VoidRequest { ticket }) => {
                let voided = self.void_ticket(*ticket);
                for call in voided.cancelled {
                    let verdict = Verdict::NotRun(ticket_void_refusal());
                    send_decision(context, ClaimDecision::with_verdict(call, verdict));
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
        self.latest_now_us = self.latest_now_us.max(context.now_us());
        match event {
            Event::Started => context.set_timer(SWEEP_INTERVAL_US, SWEEP_TAG),
            Event::Timer(CLAIMS_TAG) => self.send_table_requests(context),
            Event::Timer(_) => {
                self.sweep(context.now_us());
                self.send_table_requests(context);
                context.set_timer(SWEEP_INTERVAL_US, SWEEP_TAG);
            }
            Event::PeerRequest { inbound, request } => {
                self.handle_peer_request(context, inbound, &request)
            }
            Event::TableResponse { key, result } => {
                self.handle_table_response(context, key, result)
            }
            _ => {}
        }
    }
}

impl VoidResult {
    fn without_calls(outcome: VoidOutcome) -> Self {
        Self {
            outcome,
            cancelled: Vec::new(),
        }
    }
}

impl ClaimDecision {
    fn may_run(call: CallKey) -> Self {
        Self {
            call,
            outcome: BeginOutcome::Run,
            holder: None,
        }
    }

    fn with_verdict(call: CallKey, verdict: Verdict) -> Self {
        Self {
            call,
            outcome: BeginOutcome::Decided(verdict),
            holder: None,
        }
    }
}

fn send_decision(context: &mut Context<'_>, decision: ClaimDecision) {
    context.send(calls::NAME, Event::ClaimDecided(decision));
}

fn ticket_void_refusal() -> Refusal {
    Refusal {
        reason: RefusalReason::TicketVoid,
        retry_after_ms: 0,
        is_other_target_worthwhile: false,
    }
}

/// Returns the verdict for a refused copy of a request if another copy may run.
fn doubt_from_refusal(refusal: Refusal) -> Verdict {
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
