//! Claims: begun by a call, inserted in the table in batches, decided by its answer.

use super::{RunOnce, doubt, tell};
use crate::ids::{AskKey, CallKey, RequestId};
use crate::kernel::Context;
use crate::metrics::Counter;
use crate::request::ClaimKey;
use crate::run_once::claim::{ClaimHolder, ClaimName, ClaimRow, RowState};
use crate::run_once::run::{Run, RunName, RunSlot, RunState};
use crate::run_once::{Begin, ClaimDecided};
use crate::table::{PlatformError, Row, TableRequest, TableResponse};
use crate::verdict::{DoubtReason, Refusal, RefusalReason, Verdict};

impl RunOnce {
    /// Says whether the request of a claim may run now.
    ///
    /// After `Pending` the caller sends [`CLAIMS_DUE`](crate::run_once::CLAIMS_DUE) to this service,
    /// which then asks the platform's table; the word comes as `Event::ClaimDecided`.
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
        if self.may_reopen(slot, key, request) {
            return self.reopen(slot, call);
        }
        let begin = self.rejoin(slot, call, request);
        if begin == Begin::Joined && !key.is_first_try {
            self.note_repeat(slot);
        }
        begin
    }

    /// Takes the table's answer about some claims.
    pub(super) fn table_answered(
        &mut self,
        context: &mut Context<'_>,
        ask: AskKey,
        result: Result<TableResponse, PlatformError>,
    ) {
        let Some(slots) = self.queue.asked.remove(&ask) else {
            return;
        };
        for slot in slots {
            if let Some(claim) = self.claim_mut(slot) {
                claim.is_asked = false;
            }
            match &result {
                Ok(TableResponse::Written(_)) => self.hold(context, slot),
                Ok(TableResponse::Conflict(rows)) => self.compare(context, slot, rows),
                Ok(TableResponse::Rows(_)) | Err(PlatformError::Lost) => {
                    self.insert_again(context, slot);
                }
                Err(PlatformError::NotDone) => self.give_up(context, slot),
            }
        }
        self.ask_table(context);
    }

    fn begin_new_claim(&mut self, call: CallKey, key: &ClaimKey, request: RequestId) -> Begin {
        let is_down = self.now_us < self.queue.down_until_us;
        let is_full = self.queue.waiting.len() >= self.settings.pending_claims_max;
        if is_down || is_full {
            return Begin::Decided(self.unclaimed(key.is_first_try));
        }
        self.next_nonce += 1;
        let nonce = self.next_nonce;
        let name = ClaimName::new(&key.key);
        let mut run = Run::of_claim(name, nonce, request, call);
        run.is_first_try = key.is_first_try;
        let slot = self.runs.insert(run);
        self.queue.waiting.push_back(slot);
        Begin::Pending
    }

    /// A refused claim runs after all when its caller repeats it; a late first copy never does.
    fn may_reopen(&self, slot: RunSlot, key: &ClaimKey, request: RequestId) -> bool {
        let Some(run) = self.runs.get(slot) else {
            return false;
        };
        matches!(run.state, RunState::Refused(_)) && run.request == request && !key.is_first_try
    }

    fn reopen(&mut self, slot: RunSlot, call: CallKey) -> Begin {
        self.runs.replace_call(slot, call);
        self.note_repeat(slot);
        let Some(claim) = self.claim_mut(slot).copied() else {
            return Begin::Decided(Verdict::may_have_run(DoubtReason::AnswerDropped, 0));
        };
        if claim.row == RowState::Held {
            self.runs.reopen(slot, RunState::Queued);
            return Begin::Run;
        }
        self.runs.reopen(slot, RunState::Pending);
        if let Some(claim) = self.claim_mut(slot) {
            claim.attempts = 0;
        }
        if !claim.is_asked {
            self.queue.waiting.push_back(slot);
        }
        Begin::Pending
    }

    fn note_repeat(&mut self, slot: RunSlot) {
        if let Some(run) = self.runs.get_mut(slot) {
            run.is_first_try = false;
        }
    }

    /// Asks the table for the claims that wait, within the bound on requests at once.
    pub(super) fn ask_table(&mut self, context: &mut Context<'_>) {
        while self.queue.asked.len() < self.settings.claim_requests_max {
            let slots = self.queue.next_batch(self.settings.claim_batch_max);
            if slots.is_empty() {
                return;
            }
            let mut writes = Vec::new();
            let mut asked = Vec::new();
            for slot in slots {
                let Some(write) = self.insert_of(slot) else {
                    continue;
                };
                writes.push(write);
                asked.push(slot);
            }
            if writes.is_empty() {
                continue;
            }
            context.count(Counter::plain("claim_requests"));
            let timeout_us = self.settings.claim_timeout_ms * 1_000;
            let ask = context.table(TableRequest::Write { writes }, timeout_us);
            self.queue.asked.insert(ask, asked);
        }
    }

    /// Returns the insert of a claim that is still to be made.
    fn insert_of(&mut self, slot: RunSlot) -> Option<crate::table::TableWrite> {
        let holder = self.own;
        let run = self.runs.get_mut(slot)?;
        let RunName::Claim(name) = run.name else {
            return None;
        };
        let claim = run.claim.as_mut()?;
        if run.state != RunState::Pending || claim.is_asked {
            return None;
        }
        claim.is_asked = true;
        claim.attempts += 1;
        let row = ClaimRow {
            nonce: claim.nonce,
            holder,
        };
        Some(row.insert(name))
    }

    /// The row is this daemon's: the request may run.
    fn hold(&mut self, context: &mut Context<'_>, slot: RunSlot) {
        if let Some(claim) = self.claim_mut(slot) {
            claim.row = RowState::Held;
        }
        let Some(run) = self.runs.get_mut(slot) else {
            return;
        };
        if run.state != RunState::Pending {
            return;
        }
        run.state = RunState::Queued;
        tell(context, ClaimDecided::run(run.call));
    }

    /// Reads whose row stands in the way of an insert.
    fn compare(&mut self, context: &mut Context<'_>, slot: RunSlot, rows: &[Row]) {
        let Some(run) = self.runs.get(slot) else {
            return;
        };
        let (RunName::Claim(name), Some(claim)) = (run.name, run.claim) else {
            return;
        };
        match ClaimRow::find(rows, name) {
            None => self.insert_again(context, slot),
            Some(Ok(row)) if row.nonce == claim.nonce && row.holder == self.own => {
                self.hold(context, slot);
            }
            Some(Ok(row)) => self.held_by(context, slot, Some(row.holder)),
            Some(Err(_)) => self.held_by(context, slot, None),
        }
    }

    /// The row is another's: the request never runs here.
    fn held_by(&mut self, context: &mut Context<'_>, slot: RunSlot, holder: Option<ClaimHolder>) {
        let reason = match holder {
            Some(holder) if holder.member == self.own.member => DoubtReason::AnswerDropped,
            Some(holder) if holder.address.is_some() && holder.address == self.own.address => {
                DoubtReason::IssuerGone
            }
            _ => DoubtReason::ClaimHeld,
        };
        let verdict = Verdict::may_have_run(reason, 0);
        let holder = holder.filter(|_| reason == DoubtReason::ClaimHeld);
        self.finish_unheld(context, slot, &verdict, holder);
    }

    /// Sends an insert again under the same nonce, so that one that took effect is recognized.
    fn insert_again(&mut self, context: &mut Context<'_>, slot: RunSlot) {
        let attempts_max = self.settings.claim_attempts_max;
        let Some(run) = self.runs.get(slot) else {
            return;
        };
        let attempts = run.claim.map_or(0, |claim| claim.attempts);
        if run.state != RunState::Pending {
            return;
        }
        if attempts >= attempts_max {
            self.give_up(context, slot);
            return;
        }
        self.queue.waiting.push_front(slot);
    }

    /// The table does not answer: refuses at once, and keeps the claim in case the insert counts.
    fn give_up(&mut self, context: &mut Context<'_>, slot: RunSlot) {
        let retry_after_us = u64::from(self.settings.table_retry_after_ms) * 1_000;
        self.queue.down_until_us = context.now_us() + retry_after_us;
        let Some(run) = self.runs.get(slot) else {
            return;
        };
        if run.state != RunState::Pending {
            return;
        }
        let call = run.call;
        let verdict = self.unclaimed(run.is_first_try);
        let refusal = self.table_refusal();
        self.end_unsent(slot, refusal);
        self.tell_all(context, slot, call, &verdict, None);
    }

    fn finish_unheld(
        &mut self,
        context: &mut Context<'_>,
        slot: RunSlot,
        verdict: &Verdict,
        holder: Option<ClaimHolder>,
    ) {
        let Some(run) = self.runs.get(slot) else {
            return;
        };
        let call = run.call;
        if run.state == RunState::Pending {
            self.tell_all(context, slot, call, verdict, holder);
        }
        self.runs.remove(slot);
    }

    fn tell_all(
        &mut self,
        context: &mut Context<'_>,
        slot: RunSlot,
        call: CallKey,
        verdict: &Verdict,
        holder: Option<ClaimHolder>,
    ) {
        let mut calls = vec![call];
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
            is_elsewhere_worthwhile: false,
        }
    }

    /// The verdict of a claim that could not be made.
    fn unclaimed(&self, is_first_try: bool) -> Verdict {
        let refusal = self.table_refusal();
        if is_first_try {
            return Verdict::NotRun(refusal);
        }
        doubt(DoubtReason::TableUnavailable, refusal)
    }

    fn claim_mut(&mut self, slot: RunSlot) -> Option<&mut crate::run_once::claim::ClaimProgress> {
        self.runs.get_mut(slot)?.claim.as_mut()
    }
}
