//! The state machine of one request: decides after each reply whether and how it is retried.

use std::time::Duration;

use super::{ClientRequest, ClientSettings};
use crate::ids::RequestId;
use crate::request::{ClaimKey, RunKey};
use crate::run_once::Ticket;
use crate::verdict::{DoubtReason, Refusal, RefusalReason, Verdict};

/// The minimum delay before a further attempt under the same ticket or key, which fetches the
/// answer after a doubt.
const ANSWER_FETCH_DELAY_MIN: Duration = Duration::from_millis(50);

/// The maximum number of `ticket_needed` refusals after which a request is sent again.
const TICKET_REFUSALS_MAX: u32 = 16;

/// The metadata that is sent with one attempt of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    /// The identifier of the request, the same for all its attempts.
    pub request_id: Option<RequestId>,
    /// The ticket or idempotency key, if any.
    pub run_key: RunKey,
    /// The remaining retry allowance, as reported by a daemon on an earlier attempt.
    pub retries_left: Option<u32>,
    /// Whether this attempt is a retry; a further attempt after `ticket_needed` alone is not.
    pub is_retry: bool,
}

impl Default for Attempt {
    fn default() -> Self {
        Self {
            request_id: None,
            run_key: RunKey::None,
            retries_left: None,
            is_retry: false,
        }
    }
}

/// The reply to one attempt, from a daemon or directly from a target, or the result of an attempt
/// that was not sent or got no reply.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// The verdict on this attempt.
    pub verdict: Verdict,
    /// The remaining retry allowance, if the daemon reports it.
    pub retries_left: Option<u32>,
    /// The tickets that the daemon issued.
    pub tickets: Vec<Ticket>,
}

/// The next step after a reply.
#[derive(Clone, Debug, PartialEq)]
pub enum NextStep {
    /// The request ends with this verdict.
    Complete(Verdict),
    /// The request is sent again after a delay.
    Retry {
        /// The delay before the next attempt.
        delay: Duration,
    },
}

/// The state of one request between its attempts.
pub(super) struct RequestState {
    attempt: Attempt,
    attempts: u32,
    /// What is left of [`ClientSettings::retries_without_allowance`].
    retries_without_allowance_left: u32,
    /// What is left of [`ClientSettings::answer_fetches_max`].
    answer_fetches_left: u32,
    /// The number of `ticket_needed` refusals.
    ticket_refusals: u32,
    /// Whether the request needs a ticket, because it is not idempotent and has no idempotency key
    /// or because a daemon refused it with `ticket_needed`.
    needs_ticket: bool,
    is_idempotent: bool,
    /// The latest verdict that leaves unknown whether the request ran; a refusal of the ticket that
    /// is followed by a retry clears it.
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
                request_id: Some(id),
                run_key,
                retries_left: None,
                is_retry: false,
            },
            attempts: 0,
            retries_without_allowance_left: settings.retries_without_allowance,
            answer_fetches_left: settings.answer_fetches_max,
            ticket_refusals: 0,
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

    /// Returns whether the request has neither a ticket nor an idempotency key.
    pub(super) fn has_no_run_key(&self) -> bool {
        self.attempt.run_key == RunKey::None
    }

    pub(super) fn is_missing_ticket(&self) -> bool {
        self.needs_ticket && self.has_no_run_key()
    }

    pub(super) fn set_run_key(&mut self, key: RunKey) {
        self.attempt.run_key = key;
    }

    /// Handles the verdict on one attempt and returns the next step.
    pub(super) fn handle_verdict(
        &mut self,
        verdict: Verdict,
        retries_left: Option<u32>,
        remaining: Duration,
    ) -> NextStep {
        self.attempts += 1;
        if retries_left.is_some() {
            self.attempt.retries_left = retries_left;
        }
        let retry_delay = match &verdict {
            Verdict::Ran(_) => None,
            Verdict::NotRun(refusal) => self.retry_delay_after_refusal(*refusal),
            Verdict::MayHaveRun(doubt) => {
                let delay = Duration::from_millis(doubt.retry_after_ms.into());
                let retry_delay = self.retry_delay_after_doubt(doubt.reason, delay);
                self.doubt = Some(verdict.clone());
                retry_delay
            }
        };
        match retry_delay {
            Some(delay) if delay < remaining => NextStep::Retry { delay },
            _ => NextStep::Complete(self.final_verdict(verdict)),
        }
    }

    /// Returns the verdict on the request as a whole. If an earlier attempt may have run, a refusal
    /// of the last one does not show that the request did not run.
    fn final_verdict(&mut self, verdict: Verdict) -> Verdict {
        match (&verdict, self.doubt.take()) {
            (Verdict::NotRun(_), Some(doubt)) => doubt,
            _ => verdict,
        }
    }

    fn retry_delay_after_refusal(&mut self, refusal: Refusal) -> Option<Duration> {
        match refusal.reason {
            RefusalReason::TicketNeeded => return self.retry_delay_after_ticket_refusal(),
            RefusalReason::BadRequest
            | RefusalReason::TooLarge
            | RefusalReason::UnknownService
            | RefusalReason::Unauthorized
            | RefusalReason::Deadline => return None,
            _ => {}
        }
        if !self.deduct_retry() {
            return None;
        }
        self.update_run_key_after_refusal();
        self.attempt.is_retry = true;
        Some(Duration::from_millis(refusal.retry_after_ms.into()))
    }

    /// Allows another attempt at once after a `ticket_needed` refusal, whether or not the daemon
    /// issued a ticket with it. The refused attempt usually only fetched a ticket, so the next one
    /// is not a retry and does not use the allowance.
    fn retry_delay_after_ticket_refusal(&mut self) -> Option<Duration> {
        self.needs_ticket = true;
        self.ticket_refusals += 1;
        (self.ticket_refusals <= TICKET_REFUSALS_MAX).then_some(Duration::ZERO)
    }

    /// Updates the run key before a retry after a refusal. A refusal shows that the request never
    /// ran under this ticket and that the ticket cannot be used again, so the next attempt needs
    /// another one and an earlier doubt is cleared.
    fn update_run_key_after_refusal(&mut self) {
        match &mut self.attempt.run_key {
            RunKey::None => {}
            RunKey::Ticket(_) => {
                self.attempt.run_key = RunKey::None;
                self.doubt = None;
            }
            RunKey::Claim(claim) => claim.is_first_attempt = false,
        }
    }

    fn retry_delay_after_doubt(
        &mut self,
        reason: DoubtReason,
        delay: Duration,
    ) -> Option<Duration> {
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
            return self.answer_fetch_delay(delay);
        }
        if !self.is_idempotent || !self.deduct_retry() {
            return None;
        }
        self.attempt.is_retry = true;
        Some(delay)
    }

    /// Returns the delay before a further attempt that fetches the answer. An attempt under the
    /// same ticket or key cannot run the request twice, so it does not use the retry allowance.
    fn answer_fetch_delay(&mut self, delay: Duration) -> Option<Duration> {
        self.answer_fetches_left = self.answer_fetches_left.checked_sub(1)?;
        self.attempt.is_retry = true;
        Some(delay.max(ANSWER_FETCH_DELAY_MIN))
    }

    /// Deducts one retry and returns whether one was left. If no daemon has reported an allowance,
    /// the limit of [`ClientSettings::retries_without_allowance`] applies.
    fn deduct_retry(&mut self) -> bool {
        let available = self
            .attempt
            .retries_left
            .unwrap_or(self.retries_without_allowance_left);
        let Some(remaining) = available.checked_sub(1) else {
            return false;
        };
        if self.attempt.retries_left.is_none() {
            self.retries_without_allowance_left = remaining;
            return true;
        }
        self.attempt.retries_left = Some(remaining);
        true
    }
}
