//! The course of one request: what is sent next and when it is given up.

use std::time::Duration;

use super::{ClientRequest, ClientSettings};
use crate::ids::RequestId;
use crate::request::{ClaimKey, RunKey};
use crate::run_once::Ticket;
use crate::verdict::{DoubtReason, Refusal, RefusalReason, Verdict};

/// The wait before the answer to a ticket or key is asked for again where no time is given.
const ANSWER_ASK_WAIT: Duration = Duration::from_millis(50);

/// The tickets that one request is handed before it is given up.
const TICKET_GRANTS_MAX: u32 = 16;

/// What is sent along with one try of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    /// The request's identifier, the same on each try.
    pub request: Option<RequestId>,
    /// The ticket or key.
    pub run_key: RunKey,
    /// The retries left over from earlier attempts.
    pub retries_left: Option<u32>,
    /// Whether this repeats an earlier try.
    pub is_repeat: bool,
}

impl Default for Attempt {
    fn default() -> Self {
        Self {
            request: None,
            run_key: RunKey::None,
            retries_left: None,
            is_repeat: false,
        }
    }
}

/// A daemon's reply to one try.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// The verdict on this try.
    pub verdict: Verdict,
    /// The retries that the caller may still spend, where the daemon says so.
    pub retries_left: Option<u32>,
    /// Tickets that were handed out.
    pub tickets: Vec<Ticket>,
}

/// What follows a reply.
#[derive(Clone, Debug, PartialEq)]
pub enum NextStep {
    /// The verdict on the request as a whole.
    Complete(Verdict),
    /// The request is sent again.
    Retry {
        /// The wait before that.
        delay: Duration,
    },
}

/// The course of one request.
pub(super) struct RequestState {
    attempt: Attempt,
    attempts: u32,
    retries_without_allowance: u32,
    answer_asks_left: u32,
    ticket_grants: u32,
    needs_ticket: bool,
    is_idempotent: bool,
    doubt: Option<Verdict>,
}

impl RequestState {
    pub(super) fn new(settings: &ClientSettings, request: &ClientRequest, id: RequestId) -> Self {
        let run_key = match &request.idempotency_key {
            None => RunKey::None,
            Some(key) => RunKey::Claim(ClaimKey {
                key: key.clone(),
                is_first_attempt: true,
            }),
        };
        Self {
            needs_ticket: !request.is_idempotent && run_key == RunKey::None,
            attempt: Attempt {
                request: Some(id),
                run_key,
                retries_left: None,
                is_repeat: false,
            },
            attempts: 0,
            retries_without_allowance: settings.retries_without_allowance,
            answer_asks_left: settings.answer_requests_max,
            ticket_grants: 0,
            is_idempotent: request.is_idempotent,
            doubt: None,
        }
    }

    pub(super) fn attempt(&self) -> &Attempt {
        &self.attempt
    }

    pub(super) fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Says whether the request has neither ticket nor key.
    pub(super) fn is_keyless(&self) -> bool {
        self.attempt.run_key == RunKey::None
    }

    pub(super) fn wants_ticket(&self) -> bool {
        self.needs_ticket && self.is_keyless()
    }

    pub(super) fn use_key(&mut self, key: RunKey) {
        self.attempt.run_key = key;
    }

    /// Takes a verdict on one try and says what follows.
    pub(super) fn hear(
        &mut self,
        verdict: Verdict,
        retries_left: Option<u32>,
        left: Duration,
    ) -> NextStep {
        self.attempts += 1;
        if retries_left.is_some() {
            self.attempt.retries_left = retries_left;
        }
        let next = match &verdict {
            Verdict::Ran(_) => None,
            Verdict::NotRun(refusal) => self.after_refusal(*refusal),
            Verdict::MayHaveRun(doubt) => {
                let after = Duration::from_millis(doubt.retry_after_ms.into());
                let next = self.after_doubt(doubt.reason, after);
                self.doubt = Some(verdict.clone());
                next
            }
        };
        match next {
            Some(after) if after < left => NextStep::Retry { delay: after },
            _ => NextStep::Complete(self.conclude(verdict)),
        }
    }

    /// An idempotent request that may have run in an earlier try is not said to have not run.
    fn conclude(&mut self, verdict: Verdict) -> Verdict {
        match (&verdict, self.doubt.take()) {
            (Verdict::NotRun(_), Some(doubt)) => doubt,
            _ => verdict,
        }
    }

    fn after_refusal(&mut self, refusal: Refusal) -> Option<Duration> {
        match refusal.reason {
            RefusalReason::TicketNeeded => return self.after_ticket_grant(),
            RefusalReason::BadRequest
            | RefusalReason::TooLarge
            | RefusalReason::UnknownService
            | RefusalReason::Deadline => return None,
            _ => {}
        }
        if !self.spend() {
            return None;
        }
        self.end_key();
        self.attempt.is_repeat = true;
        Some(Duration::from_millis(refusal.retry_after_ms.into()))
    }

    /// A try that only fetched a ticket is no repeat and costs nothing.
    fn after_ticket_grant(&mut self) -> Option<Duration> {
        self.needs_ticket = true;
        self.ticket_grants += 1;
        (self.ticket_grants <= TICKET_GRANTS_MAX).then_some(Duration::ZERO)
    }

    /// A refused ticket is void: the next try needs another, and no doubt is left about this one.
    fn end_key(&mut self) {
        match &mut self.attempt.run_key {
            RunKey::None => {}
            RunKey::Ticket(_) => {
                self.attempt.run_key = RunKey::None;
                self.doubt = None;
            }
            RunKey::Claim(claim) => claim.is_first_attempt = false,
        }
    }

    fn after_doubt(&mut self, reason: DoubtReason, after: Duration) -> Option<Duration> {
        if let RunKey::Claim(claim) = &mut self.attempt.run_key {
            claim.is_first_attempt = false;
        }
        let is_final = matches!(
            reason,
            DoubtReason::IssuerGone | DoubtReason::AnswerDropped | DoubtReason::Deadline
        );
        if is_final {
            return None;
        }
        if self.attempt.run_key != RunKey::None {
            return self.ask_for_answer(after);
        }
        if !self.is_idempotent || !self.spend() {
            return None;
        }
        self.attempt.is_repeat = true;
        Some(after)
    }

    /// Asking again under the same ticket or key runs nothing twice and spends no retry.
    fn ask_for_answer(&mut self, after: Duration) -> Option<Duration> {
        self.answer_asks_left = self.answer_asks_left.checked_sub(1)?;
        self.attempt.is_repeat = true;
        Some(after.max(ANSWER_ASK_WAIT))
    }

    /// Spends one retry; without any word of the allowance the client's own bound holds.
    fn spend(&mut self) -> bool {
        let left = self
            .attempt
            .retries_left
            .unwrap_or(self.retries_without_allowance);
        let Some(rest) = left.checked_sub(1) else {
            return false;
        };
        if self.attempt.retries_left.is_none() {
            self.retries_without_allowance = rest;
            return true;
        }
        self.attempt.retries_left = Some(rest);
        true
    }
}
