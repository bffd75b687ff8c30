//! Claims as calls begin them, and the word that their calls get.

use super::{RunOnce, doubt, tell};
use crate::ids::{CallKey, RequestId};
use crate::kernel::Context;
use crate::request::ClaimKey;
use crate::run_once::claim::{ClaimHolder, ClaimName, ClaimProgress, RowState};
use crate::run_once::run::{Run, RunName, RunSlot, RunState};
use crate::run_once::{Begin, ClaimDecided};
use crate::verdict::{DoubtReason, Refusal, RefusalReason, Verdict};

impl RunOnce {
    /// Says whether the request of a claim may run now.
    ///
    /// After `Pending` the caller sends [`CLAIMS_DUE`](crate::run_once::CLAIMS_DUE) to this service,
    /// which then asks the platform's table; the word comes as `Event::ClaimDecided`.
    ///
    /// `is_first_try` is the caller's word that no copy of this key is under way or may have run:
    /// it sent none before, or each one before ended as not run.
    pub fn begin_claim(
        &mut self,
        now_us: u64,
        call: CallKey,
        key: &ClaimKey,
        request: RequestId,
    ) -> Begin {
        self.sweep(now_us);
        let name = ClaimName::new(&key.key);
        let Some(slot) = self.runs.find(RunName::Claim(name)) else {
            return self.begin_new_claim(call, key, request);
        };
        if self.may_reopen(slot, request) {
            return self.reopen(slot, call, key);
        }
        let begin = self.rejoin(slot, call, request);
        if begin == Begin::Joined && !key.is_first_attempt {
            self.note_repeat(slot);
        }
        begin
    }

    fn begin_new_claim(&mut self, call: CallKey, key: &ClaimKey, request: RequestId) -> Begin {
        let is_down = self.now_us < self.queue.down_until_us;
        let is_full = self.queue.inserts() >= self.settings.pending_claims_max;
        if is_down || is_full {
            return Begin::Decided(self.unclaimed(key.is_first_attempt));
        }
        let name = ClaimName::new(&key.key);
        let nonce = self.new_nonce();
        let mut run = Run::of_claim(name, nonce, request, call);
        run.is_first_try = key.is_first_attempt;
        let slot = self.runs.insert(run);
        self.queue.push_insert(slot);
        Begin::Pending
    }

    /// A refused claim runs after all when its caller sends it again.
    fn may_reopen(&self, slot: RunSlot, request: RequestId) -> bool {
        let Some(run) = self.runs.get(slot) else {
            return false;
        };
        matches!(run.state, RunState::Refused(_)) && run.request == request
    }

    fn reopen(&mut self, slot: RunSlot, call: CallKey, key: &ClaimKey) -> Begin {
        self.runs.replace_call(slot, call);
        if let Some(run) = self.runs.get_mut(slot) {
            run.is_first_try = key.is_first_attempt;
        }
        let Some(claim) = self.claim_mut(slot) else {
            return Begin::Decided(Verdict::may_have_run(DoubtReason::AnswerDropped, 0));
        };
        claim.attempts = 0;
        let claim = *claim;
        if let RowState::Held(_) = claim.row {
            self.runs.reopen(slot, RunState::Queued);
            return Begin::Run;
        }
        self.runs.reopen(slot, RunState::Pending);
        if claim.row == RowState::Unknown && !claim.is_asked {
            self.queue.push_insert(slot);
        }
        Begin::Pending
    }

    fn note_repeat(&mut self, slot: RunSlot) {
        if let Some(run) = self.runs.get_mut(slot) {
            run.is_first_try = false;
        }
    }

    pub(super) fn new_nonce(&mut self) -> u64 {
        self.next_nonce += 1;
        self.next_nonce
    }

    pub(super) fn claim_mut(&mut self, slot: RunSlot) -> Option<&mut ClaimProgress> {
        self.runs.get_mut(slot)?.claim.as_mut()
    }

    /// The row is this daemon's: the request may run.
    pub(super) fn hold(&mut self, context: &mut Context<'_>, slot: RunSlot, version: u64) {
        if let Some(claim) = self.claim_mut(slot) {
            claim.row = RowState::Held(version);
        }
        let Some(run) = self.runs.get_mut(slot) else {
            return;
        };
        if run.state == RunState::Pending {
            run.state = RunState::Queued;
            tell(context, ClaimDecided::run(run.call));
            return;
        }
        self.queue.push_release(slot);
    }

    /// The row is another's: the request never runs here.
    pub(super) fn held_by(
        &mut self,
        context: &mut Context<'_>,
        slot: RunSlot,
        holder: Option<ClaimHolder>,
    ) {
        let reason = match holder {
            Some(holder) if holder.member == self.own.member => DoubtReason::AnswerDropped,
            Some(holder) if holder.address.is_some() && holder.address == self.own.address => {
                DoubtReason::IssuerGone
            }
            _ => DoubtReason::ClaimHeld,
        };
        let holder = holder.filter(|_| reason == DoubtReason::ClaimHeld);
        let verdict = Verdict::may_have_run(reason, 0);
        self.tell_pending(context, slot, &verdict, holder);
        self.runs.remove(slot);
    }

    /// For a while claims are refused without asking the table.
    pub(super) fn note_table_down(&mut self, now_us: u64) {
        let retry_after_us = u64::from(self.settings.table_retry_after_ms) * 1_000;
        self.queue.down_until_us = now_us + retry_after_us;
    }

    /// The table does not answer: refuses at once, and keeps the claim in case the insert counts.
    pub(super) fn give_up(&mut self, context: &mut Context<'_>, slot: RunSlot) {
        let Some(run) = self.runs.get(slot) else {
            return;
        };
        if run.claim.is_some_and(|claim| claim.is_in_doubt) {
            self.queue.push_doubted(slot);
        }
        if run.state != RunState::Pending {
            return;
        }
        let verdict = self.unclaimed(run.is_first_try);
        self.tell_pending(context, slot, &verdict, None);
        let refusal = self.table_refusal();
        self.end_unsent(slot, refusal);
    }

    /// Gives a verdict to the calls that wait for the table's word on a claim.
    fn tell_pending(
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
        calls.extend(self.runs.take_waiting(slot));
        for call in calls {
            let decided = ClaimDecided {
                holder,
                ..ClaimDecided::verdict(call, verdict.clone())
            };
            tell(context, decided);
        }
    }

    fn table_refusal(&self) -> Refusal {
        Refusal {
            reason: RefusalReason::TableUnavailable,
            retry_after_ms: self.settings.table_retry_after_ms,
            is_other_target_worthwhile: false,
        }
    }

    /// The verdict of a claim that could not be made.
    fn unclaimed(&self, is_first_try: bool) -> Verdict {
        let refusal = self.table_refusal();
        if is_first_try {
            return Verdict::NotRun(refusal);
        }
        doubt(refusal)
    }
}
