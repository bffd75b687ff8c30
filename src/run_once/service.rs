//! The run-once service: the course of each run from its begin to its kept verdict.

mod claims;

use std::net::SocketAddr;

use super::claim::{ClaimHolder, ClaimQueue};
use super::run::{Run, RunName, RunSlot, RunState, Runs};
use super::settings::RunOnceSettings;
use super::ticket::{Standing, TicketBook};
use super::{
    Begin, ClaimDecided, NAME, Settled, Ticket, TicketBlock, VoidOutcome, VoidRequest, Voided,
};
use crate::calls;
use crate::ids::{CallKey, InboundKey, MemberId, RequestId};
use crate::kernel::{Context, Event, Service};
use crate::metrics::Counter;
use crate::peer::{PeerAnswer, PeerQuestion};
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
            Standing::Void => Begin::Decided(Verdict::not_run(RefusalReason::TicketVoid, 0)),
            Standing::Spent => Begin::Decided(Verdict::may_have_run(DoubtReason::AnswerDropped, 0)),
            Standing::NotIssued => Begin::Decided(Verdict::not_run(RefusalReason::BadRequest, 0)),
        }
    }

    /// Notes that the request of a call is sent to the target now.
    ///
    /// Returns false where it may not be sent, because its ticket became void while it was queued.
    #[must_use]
    pub fn mark_sent(&mut self, call: CallKey) -> bool {
        let Some(slot) = self.runs.of_call(call) else {
            return false;
        };
        let Some(run) = self.runs.get_mut(slot) else {
            return false;
        };
        if run.call != call || run.state != RunState::Queued {
            return false;
        }
        run.state = RunState::Sent;
        true
    }

    /// Refuses a call whose request was not sent to the target; its ticket is void from then on.
    ///
    /// A claim stays with this daemon, which runs it after all when the caller repeats it.
    pub fn refuse(&mut self, call: CallKey, refusal: Refusal) -> Settled {
        let Some(slot) = self.runs.of_call(call) else {
            return Settled::alone(doubt(DoubtReason::AnswerDropped, refusal));
        };
        let Some(run) = self.runs.get(slot) else {
            return Settled::alone(doubt(DoubtReason::AnswerDropped, refusal));
        };
        if run.call != call {
            self.runs.leave(slot, call);
            return Settled::alone(doubt(reason_of(refusal), refusal));
        }
        let verdict = match &run.state {
            RunState::Ended(verdict) => verdict.clone(),
            RunState::Sent => return Settled::alone(doubt(reason_of(refusal), refusal)),
            RunState::Pending | RunState::Queued | RunState::Refused(_) => {
                self.end_unsent(slot, refusal)
            }
        };
        let waiting = self.runs.take_waiting(slot);
        self.drop_over_bound();
        Settled { verdict, waiting }
    }

    /// Keeps the verdict of a call that was sent to the target, and returns what is kept.
    ///
    /// A whole answer that comes after a doubt takes its place. `NotRun` is for a host that knows
    /// that no byte was sent.
    pub fn complete(&mut self, now_us: u64, call: CallKey, verdict: Verdict) -> Settled {
        self.sweep(now_us);
        let verdict = whole_or_doubt(verdict);
        let Some(slot) = self.runs.of_call(call) else {
            return Settled::alone(verdict);
        };
        let Some(run) = self.runs.get(slot).filter(|run| run.call == call) else {
            return Settled::alone(verdict);
        };
        let kept = match (&run.state, verdict) {
            (RunState::Ended(Verdict::MayHaveRun(_)), Verdict::Ran(answer)) => {
                self.end(slot, Verdict::Ran(answer))
            }
            (RunState::Ended(kept), _) => kept.clone(),
            (_, Verdict::NotRun(refusal)) => self.end_unsent(slot, refusal),
            (_, verdict) => self.end(slot, verdict),
        };
        let waiting = self.runs.take_waiting(slot);
        self.drop_over_bound();
        Settled {
            verdict: kept,
            waiting,
        }
    }

    /// Forgets a call that joined a run; a run itself goes on without its caller.
    pub fn abandon(&mut self, call: CallKey) {
        let Some(slot) = self.runs.of_call(call) else {
            return;
        };
        let is_runner = self.runs.get(slot).is_some_and(|run| run.call == call);
        if !is_runner {
            self.runs.leave(slot, call);
        }
    }

    /// Makes the first call that joined a queued run the one that runs, in place of `call`.
    ///
    /// For a call whose caller went away or whose time passed; the returned call is to be admitted.
    pub fn hand_over(&mut self, call: CallKey) -> Option<CallKey> {
        let slot = self.runs.of_call(call)?;
        let run = self.runs.get_mut(slot)?;
        if run.call != call || run.state != RunState::Queued || run.waiting.is_empty() {
            return None;
        }
        let next = run.waiting.remove(0);
        self.runs.replace_call(slot, next);
        Some(next)
    }

    /// Makes a ticket void where its request was not sent to the target.
    pub fn void(&mut self, ticket: Ticket) -> Voided {
        if ticket.issuer != self.own.member {
            return Voided::alone(VoidOutcome::NotIssuer);
        }
        let Some(slot) = self.runs.find(RunName::Ticket(ticket.sequence)) else {
            return Voided::alone(self.void_unused(ticket.sequence));
        };
        let Some(run) = self.runs.get(slot) else {
            return Voided::alone(VoidOutcome::AlreadySent);
        };
        match run.state {
            RunState::Sent | RunState::Ended(_) => Voided::alone(VoidOutcome::AlreadySent),
            RunState::Refused(_) => Voided::alone(VoidOutcome::Voided),
            RunState::Pending | RunState::Queued => {
                let mut cancelled = vec![run.call];
                let refusal = ticket_void();
                self.end_unsent(slot, refusal);
                cancelled.extend(self.runs.take_waiting(slot));
                self.drop_over_bound();
                Voided {
                    outcome: VoidOutcome::Voided,
                    cancelled,
                }
            }
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
            RunState::Refused(refusal) if run.claim.is_some() => {
                Begin::Decided(Verdict::NotRun(*refusal))
            }
            RunState::Refused(_) => Begin::Decided(Verdict::NotRun(ticket_void())),
            _ if run.waiting.len() >= joined_max => {
                Begin::Decided(Verdict::may_have_run(DoubtReason::ClaimHeld, 0))
            }
            _ => {
                self.runs.join(slot, call);
                Begin::Joined
            }
        }
    }

    fn end(&mut self, slot: RunSlot, verdict: Verdict) -> Verdict {
        let state = RunState::Ended(verdict.clone());
        self.runs.end(slot, state, self.now_us);
        verdict
    }

    /// Ends a run that was never sent, and returns the verdict for its calls.
    fn end_unsent(&mut self, slot: RunSlot, refusal: Refusal) -> Verdict {
        let state = RunState::Refused(refusal);
        self.runs.end(slot, state, self.now_us);
        let Some(run) = self.runs.get(slot) else {
            return doubt(DoubtReason::AnswerDropped, refusal);
        };
        if run.claim.is_some() && !run.is_first_try {
            return doubt(reason_of(refusal), refusal);
        }
        Verdict::NotRun(refusal)
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

    /// Forgets an ended run; of a ticket only its standing stays.
    fn drop_run(&mut self, slot: RunSlot) {
        let is_refused = matches!(
            self.runs.get(slot).map(|run| &run.state),
            Some(RunState::Refused(_))
        );
        let Some(run) = self.runs.remove(slot) else {
            return;
        };
        let RunName::Ticket(sequence) = run.name else {
            return;
        };
        if is_refused {
            self.book.set_void(sequence, &self.settings);
            return;
        }
        self.book.set_spent(sequence, &self.settings);
    }

    fn asked(&mut self, context: &mut Context<'_>, inbound: InboundKey, question: &PeerQuestion) {
        match question {
            PeerQuestion::Tickets(request) => {
                let block = self.issue(context.now_us(), request.count);
                context.count_by(Counter::plain("tickets_issued"), block.tickets.len() as u64);
                context.answer(inbound, PeerAnswer::Tickets(block));
            }
            PeerQuestion::Void(VoidRequest { ticket }) => {
                let voided = self.void(*ticket);
                for call in voided.cancelled {
                    let verdict = Verdict::NotRun(ticket_void());
                    tell(context, ClaimDecided::verdict(call, verdict));
                }
                context.answer(inbound, PeerAnswer::Void(voided.outcome));
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
            Event::Started => context.timer(SWEEP_INTERVAL_US, SWEEP_TAG),
            Event::Timer(CLAIMS_TAG) => self.ask_table(context),
            Event::Timer(_) => {
                self.sweep(context.now_us());
                context.timer(SWEEP_INTERVAL_US, SWEEP_TAG);
            }
            Event::Asked { inbound, question } => self.asked(context, inbound, &question),
            Event::TableAnswered { ask, result } => self.table_answered(context, ask, result),
            _ => {}
        }
    }
}

impl Settled {
    /// Makes the end of a call that no other joined.
    fn alone(verdict: Verdict) -> Self {
        Self {
            verdict,
            waiting: Vec::new(),
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
        is_elsewhere_worthwhile: false,
    }
}

/// Why it is not known whether a request runs that was refused to one of its calls.
fn reason_of(refusal: Refusal) -> DoubtReason {
    match refusal.reason {
        RefusalReason::Deadline => DoubtReason::Deadline,
        RefusalReason::Cancelled => DoubtReason::Cancelled,
        RefusalReason::TableUnavailable => DoubtReason::TableUnavailable,
        _ => DoubtReason::ClaimHeld,
    }
}

fn doubt(reason: DoubtReason, refusal: Refusal) -> Verdict {
    Verdict::MayHaveRun(Doubt {
        reason,
        retry_after_ms: refusal.retry_after_ms,
    })
}

/// An answer that was cut or altered counts as lost.
fn whole_or_doubt(verdict: Verdict) -> Verdict {
    match verdict {
        Verdict::Ran(answer) if !answer.is_whole() => {
            Verdict::may_have_run(DoubtReason::BrokenAnswer, 0)
        }
        verdict => verdict,
    }
}
