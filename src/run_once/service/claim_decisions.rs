//! Begins requests that carry an idempotency key, and sends the decision on each claim to the calls
//! that wait for it.

use super::{RunOnce, doubt_from_refusal, send_decision};
use crate::ids::{CallKey, RequestId};
use crate::kernel::Context;
use crate::request::ClaimKey;
use crate::run_once::claim::{ClaimDigest, ClaimHolder, ClaimProgress, RowState};
use crate::run_once::run::{Run, RunHandle, RunId, RunState};
use crate::run_once::{BeginOutcome, ClaimDecision};
use crate::table::RowVersion;
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
        request_id: RequestId,
    ) -> BeginOutcome {
        self.sweep(now_us);
        let digest = ClaimDigest::new(&key.key);
        let Some(handle) = self.runs.find(RunId::Claim(digest)) else {
            return self.begin_new_claim(call, key, request_id);
        };
        if self.can_reopen(handle, request_id) {
            return self.reopen_claim(handle, call, key);
        }
        let outcome = self.join_existing(handle, call, request_id);
        if outcome == BeginOutcome::Joined && !key.is_first_attempt {
            self.record_later_attempt(handle);
        }
        outcome
    }

    fn begin_new_claim(
        &mut self,
        call: CallKey,
        key: &ClaimKey,
        request_id: RequestId,
    ) -> BeginOutcome {
        let is_down = self.latest_now_us < self.claim_queue.table_down_until_us;
        let is_full = self.claim_queue.insert_count() >= self.settings.pending_claims_max;
        if is_down || is_full {
            return BeginOutcome::Decided(self.table_unavailable_verdict(key.is_first_attempt));
        }
        let digest = ClaimDigest::new(&key.key);
        let nonce = self.new_nonce();
        let mut run = Run::for_claim(digest, nonce, request_id, call);
        run.has_only_first_attempts = key.is_first_attempt;
        let handle = self.runs.insert(run);
        self.claim_queue.push_insert(handle);
        BeginOutcome::Pending
    }

    /// Returns whether a run was refused, so that a retry of the same request may still run.
    fn can_reopen(&self, handle: RunHandle, request_id: RequestId) -> bool {
        let Some(run) = self.runs.get(handle) else {
            return false;
        };
        matches!(run.state, RunState::Refused(_)) && run.request_id == request_id
    }

    /// Continues a refused run with a new call: at once if this daemon holds the row, otherwise
    /// after the row is inserted. A row that is being deleted is inserted anew after its deletion.
    fn reopen_claim(&mut self, handle: RunHandle, call: CallKey, key: &ClaimKey) -> BeginOutcome {
        self.runs.replace_call(handle, call);
        if let Some(run) = self.runs.get_mut(handle) {
            run.has_only_first_attempts = key.is_first_attempt;
        }
        let Some(claim) = self.claim_mut(handle) else {
            return BeginOutcome::Decided(Verdict::may_have_run(DoubtReason::AnswerDropped, 0));
        };
        claim.attempts = 0;
        let claim = *claim;
        if let RowState::Held(_) = claim.row {
            self.runs.reopen(handle, RunState::Ready);
            return BeginOutcome::Run;
        }
        self.runs.reopen(handle, RunState::Pending);
        if claim.row == RowState::Unknown && !claim.is_request_in_flight {
            self.claim_queue.push_insert(handle);
        }
        BeginOutcome::Pending
    }

    fn record_later_attempt(&mut self, handle: RunHandle) {
        if let Some(run) = self.runs.get_mut(handle) {
            run.has_only_first_attempts = false;
        }
    }

    pub(super) fn new_nonce(&mut self) -> u64 {
        self.last_nonce += 1;
        self.last_nonce
    }

    pub(super) fn claim_mut(&mut self, handle: RunHandle) -> Option<&mut ClaimProgress> {
        self.runs.get_mut(handle)?.claim.as_mut()
    }

    /// Records that this daemon holds the row: a pending request may run, otherwise the row is
    /// released.
    pub(super) fn confirm_claim(
        &mut self,
        context: &mut Context<'_>,
        handle: RunHandle,
        version: RowVersion,
    ) {
        if let Some(claim) = self.claim_mut(handle) {
            claim.row = RowState::Held(version);
        }
        let Some(run) = self.runs.get_mut(handle) else {
            return;
        };
        if run.state == RunState::Pending {
            run.state = RunState::Ready;
            send_decision(context, ClaimDecision::may_run(run.call));
            return;
        }
        self.claim_queue.push_release(handle);
    }

    /// Ends a claim whose row belongs to another run, so that the request never runs here.
    ///
    /// If this daemon inserted the row, the run was evicted since. If the holder has this daemon's
    /// address but another id, an earlier process of this daemon inserted the row. Other holders
    /// may still have the verdict.
    pub(super) fn reject_held_claim(
        &mut self,
        context: &mut Context<'_>,
        handle: RunHandle,
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
        self.send_verdict_to_pending(context, handle, &verdict, holder);
        self.runs.remove(handle);
    }

    /// Considers the table down for `table_retry_after_ms`, so that claims are refused without a
    /// request to it, except those whose insert is being retried.
    pub(super) fn mark_table_down(&mut self, now_us: u64) {
        let retry_after_us = u64::from(self.settings.table_retry_after_ms) * 1_000;
        self.claim_queue.table_down_until_us = now_us + retry_after_us;
    }

    /// Gives up a claim because the table is unavailable: refuses its calls at once. If an earlier
    /// insert may have taken effect, queues the claim so that its row is found and deleted later.
    pub(super) fn give_up_claim(&mut self, context: &mut Context<'_>, handle: RunHandle) {
        let Some(run) = self.runs.get(handle) else {
            return;
        };
        if run.claim.is_some_and(|claim| claim.has_lost_response) {
            self.claim_queue.push_possibly_inserted(handle);
        }
        if run.state != RunState::Pending {
            return;
        }
        let verdict = self.table_unavailable_verdict(run.has_only_first_attempts);
        self.send_verdict_to_pending(context, handle, &verdict, None);
        let refusal = self.table_unavailable_refusal();
        self.finish_unsent(handle, refusal);
    }

    /// Sends a verdict to the calls that wait for the table's decision on a claim.
    fn send_verdict_to_pending(
        &mut self,
        context: &mut Context<'_>,
        handle: RunHandle,
        verdict: &Verdict,
        holder: Option<ClaimHolder>,
    ) {
        let Some(run) = self.runs.get(handle) else {
            return;
        };
        if run.state != RunState::Pending {
            return;
        }
        let mut calls = vec![run.call];
        calls.extend(self.runs.take_joined(handle));
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
            is_other_target_worthwhile: false,
        }
    }

    /// Returns the verdict for a claim whose row can't be inserted because the table is down or
    /// does not respond, or too many inserts are queued for it.
    fn table_unavailable_verdict(&self, has_only_first_attempts: bool) -> Verdict {
        let refusal = self.table_unavailable_refusal();
        if has_only_first_attempts {
            return Verdict::NotRun(refusal);
        }
        doubt_from_refusal(refusal)
    }
}
