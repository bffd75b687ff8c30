//! Begins requests that carry an idempotency key, and sends the decision on each claim to the calls
//! that wait for it.

use super::{RunOnce, doubt_from_refusal, send_decision};
use crate::ids::{CallKey, RequestId};
use crate::kernel::Context;
use crate::request::ClaimKey;
use crate::run_once::claim::{ClaimDigest, ClaimHolder, ClaimProgress, RowState};
use crate::run_once::run::{Run, RunId, RunSlot, RunState};
use crate::run_once::{BeginOutcome, ClaimDecision};
use crate::verdict::{DoubtReason, Refusal, RefusalReason, Verdict};

impl RunOnce {
    /// Decides whether the request of a claim may run now.
    ///
    /// After `Pending` the caller sends [`CLAIMS_DUE`](crate::run_once::CLAIMS_DUE) to this
    /// service, which then sends the claim to the platform's table; the decision follows as
    /// `Event::ClaimDecided`.
    ///
    /// `is_first_try` is the caller's statement that no copy of this key is in flight or may have
    /// run: it sent none before, or each earlier one ended as not run.
    pub fn begin_with_claim(
        &mut self,
        now_us: u64,
        call: CallKey,
        key: &ClaimKey,
        request: RequestId,
    ) -> BeginOutcome {
        self.sweep(now_us);
        let digest = ClaimDigest::new(&key.key);
        let Some(slot) = self.runs.find(RunId::Claim(digest)) else {
            return self.begin_new_claim(call, key, request);
        };
        if self.can_reopen(slot, request) {
            return self.reopen_claim(slot, call, key);
        }
        let outcome = self.join_existing(slot, call, request);
        if outcome == BeginOutcome::Joined && !key.is_first_try {
            self.mark_repeated(slot);
        }
        outcome
    }

    fn begin_new_claim(
        &mut self,
        call: CallKey,
        key: &ClaimKey,
        request: RequestId,
    ) -> BeginOutcome {
        let is_down = self.now_us < self.claim_queue.table_down_until_us;
        let is_full = self.claim_queue.insert_count() >= self.settings.pending_claims_max;
        if is_down || is_full {
            return BeginOutcome::Decided(self.table_unavailable_verdict(key.is_first_try));
        }
        let digest = ClaimDigest::new(&key.key);
        let nonce = self.new_nonce();
        let mut run = Run::for_claim(digest, nonce, request, call);
        run.is_first_attempt = key.is_first_try;
        let slot = self.runs.insert(run);
        self.claim_queue.push_insert(slot);
        BeginOutcome::Pending
    }

    /// Returns whether a run was refused, so that a retry of the same request may still run.
    fn can_reopen(&self, slot: RunSlot, request: RequestId) -> bool {
        let Some(run) = self.runs.get(slot) else {
            return false;
        };
        matches!(run.state, RunState::Refused(_)) && run.request == request
    }

    fn reopen_claim(&mut self, slot: RunSlot, call: CallKey, key: &ClaimKey) -> BeginOutcome {
        self.runs.replace_call(slot, call);
        if let Some(run) = self.runs.get_mut(slot) {
            run.is_first_attempt = key.is_first_try;
        }
        let Some(claim) = self.claim_mut(slot) else {
            return BeginOutcome::Decided(Verdict::may_have_run(DoubtReason::AnswerDropped, 0));
        };
        claim.attempts = 0;
        let claim = *claim;
        if let RowState::Held(_) = claim.row {
            self.runs.reopen(slot, RunState::Queued);
            return BeginOutcome::Run;
        }
        self.runs.reopen(slot, RunState::Pending);
        if claim.row == RowState::Unknown && !claim.is_request_in_flight {
            self.claim_queue.push_insert(slot);
        }
        BeginOutcome::Pending
    }

    fn mark_repeated(&mut self, slot: RunSlot) {
        if let Some(run) = self.runs.get_mut(slot) {
            run.is_first_attempt = false;
        }
    }

    pub(super) fn new_nonce(&mut self) -> u64 {
        self.last_nonce += 1;
        self.last_nonce
    }

    pub(super) fn claim_mut(&mut self, slot: RunSlot) -> Option<&mut ClaimProgress> {
        self.runs.get_mut(slot)?.claim.as_mut()
    }

    /// Records that this daemon holds the row: a pending request may run, otherwise the row is
    /// released.
    pub(super) fn confirm_claim(&mut self, context: &mut Context<'_>, slot: RunSlot, version: u64) {
        if let Some(claim) = self.claim_mut(slot) {
            claim.row = RowState::Held(version);
        }
        let Some(run) = self.runs.get_mut(slot) else {
            return;
        };
        if run.state == RunState::Pending {
            run.state = RunState::Queued;
            send_decision(context, ClaimDecision::may_run(run.call));
            return;
        }
        self.claim_queue.push_release(slot);
    }

    /// Ends a claim whose row belongs to another run, so that the request never runs here.
    ///
    /// A row of this daemon means that the run was evicted, and a row of another daemon at this
    /// address that an earlier incarnation inserted it. Other holders may still have the verdict.
    pub(super) fn reject_held_claim(
        &mut self,
        context: &mut Context<'_>,
        slot: RunSlot,
        holder: Option<ClaimHolder>,
    ) {
        let reason = match holder {
            Some(holder) if holder.member == self.own_holder.member => DoubtReason::AnswerDropped,
            Some(holder)
                if holder.address.is_some() && holder.address == self.own_holder.address =>
            {
                DoubtReason::IssuerGone
            }
            _ => DoubtReason::ClaimHeld,
        };
        let holder = holder.filter(|_| reason == DoubtReason::ClaimHeld);
        let verdict = Verdict::may_have_run(reason, 0);
        self.send_verdict_to_pending(context, slot, &verdict, holder);
        self.runs.remove(slot);
    }

    /// Considers the table down, so that claims are refused without a request to it for
    /// `table_retry_after_ms`.
    pub(super) fn mark_table_down(&mut self, now_us: u64) {
        let retry_after_us = u64::from(self.settings.table_retry_after_ms) * 1_000;
        self.claim_queue.table_down_until_us = now_us + retry_after_us;
    }

    /// Gives up a claim because the table is unavailable: refuses its calls at once, and queues an
    /// insert in doubt, whose row may have to be released.
    pub(super) fn give_up_claim(&mut self, context: &mut Context<'_>, slot: RunSlot) {
        let Some(run) = self.runs.get(slot) else {
            return;
        };
        if run.claim.is_some_and(|claim| claim.is_in_doubt) {
            self.claim_queue.push_in_doubt(slot);
        }
        if run.state != RunState::Pending {
            return;
        }
        let verdict = self.table_unavailable_verdict(run.is_first_attempt);
        self.send_verdict_to_pending(context, slot, &verdict, None);
        let refusal = self.table_unavailable_refusal();
        self.finish_unsent(slot, refusal);
    }

    /// Sends a verdict to the calls that wait for the table's decision on a claim.
    fn send_verdict_to_pending(
        &mut self,
        context: &mut Context<'_>,
        slot: RunSlot,
        verdict: &Verdict,
        holder: Option<ClaimHolder>,
    ) {
        let Some(run) = self.runs.get(slot) else {
            return;
        };
        if run.state != RunState::Pending {
            return;
        }
        let mut calls = vec![run.call];
        calls.extend(self.runs.take_joined(slot));
        for call in calls {
            let decision = ClaimDecision {
                holder,
                ..ClaimDecision::with_verdict(call, verdict.clone())
            };
            send_decision(context, decision);
        }
    }

    fn table_unavailable_refusal(&self) -> Refusal {
        Refusal {
            reason: RefusalReason::TableUnavailable,
            retry_after_ms: self.settings.table_retry_after_ms,
            is_elsewhere_worthwhile: false,
        }
    }

    /// Returns the verdict of a claim that can't be made because the table is down, does not
    /// respond, or has too many claims waiting for it.
    fn table_unavailable_verdict(&self, is_first_attempt: bool) -> Verdict {
        let refusal = self.table_unavailable_refusal();
        if is_first_attempt {
            return Verdict::NotRun(refusal);
        }
        doubt_from_refusal(refusal)
    }
}
