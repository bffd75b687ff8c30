//! The transitions of a run after it began: sent, refused, completed, or continued by a call that
//! joined it.

use super::{RunOnce, doubt_from_refusal};
use crate::ids::CallKey;
use crate::request::Answer;
use crate::run_once::Completion;
use crate::run_once::claim::RowState;
use crate::run_once::run::{RunId, RunSlot, RunState};
use crate::verdict::{DoubtReason, Refusal, Verdict};

impl RunOnce {
    /// Records that the request of a call is sent to the target now.
    ///
    /// Returns false if it must not be sent, because its ticket became void while it was queued.
    #[must_use]
    pub fn mark_sent(&mut self, call: CallKey) -> bool {
        let Some(slot) = self.runs.find_by_call(call) else {
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
    /// The row of a claim is deleted soon after, so that a repeat may run on any daemon.
    pub fn refuse(&mut self, call: CallKey, refusal: Refusal) -> Completion {
        let Some(slot) = self.runs.find_by_call(call) else {
            return Completion::without_joined(doubt_from_refusal(refusal));
        };
        let Some(run) = self.runs.get(slot) else {
            return Completion::without_joined(doubt_from_refusal(refusal));
        };
        if run.call != call {
            self.runs.remove_joined(slot, call);
            return Completion::without_joined(doubt_from_refusal(refusal));
        }
        match &run.state {
            RunState::Finished(verdict) => Completion::without_joined(verdict.clone()),
            RunState::Sent => Completion::without_joined(doubt_from_refusal(refusal)),
            RunState::Pending | RunState::Queued | RunState::Refused(_) => {
                let joined = self.runs.take_joined(slot);
                let verdict = self.finish_unsent(slot, refusal);
                Completion { verdict, joined }
            }
        }
    }

    /// Keeps the verdict of a call that was sent to the target, and returns it with the joined
    /// calls.
    ///
    /// If a verdict is kept already, that one is returned; only a whole answer replaces a kept
    /// doubt. `NotRun` may be passed only if no byte of the request was sent.
    pub fn complete(&mut self, now_us: u64, call: CallKey, verdict: Verdict) -> Completion {
        self.sweep(now_us);
        let verdict = doubt_unless_whole(verdict);
        let Some(slot) = self.runs.find_by_call(call) else {
            return Completion::without_joined(verdict);
        };
        let Some(run) = self.runs.get(slot).filter(|run| run.call == call) else {
            return Completion::without_joined(verdict);
        };
        let verdict = match (&run.state, verdict) {
            (RunState::Finished(Verdict::MayHaveRun(_)), Verdict::Ran(answer)) => {
                Verdict::Ran(answer)
            }
            (RunState::Finished(kept), _) => return Completion::without_joined(kept.clone()),
            (_, verdict) => verdict,
        };
        let joined = self.runs.take_joined(slot);
        let verdict = match verdict {
            Verdict::NotRun(refusal) => self.finish_unsent(slot, refusal),
            verdict => {
                self.keep_verdict(slot, &verdict);
                verdict
            }
        };
        Completion { verdict, joined }
    }

    /// Removes a call that joined a run; the run itself continues even if its own caller is gone.
    pub fn remove_joined(&mut self, call: CallKey) {
        let Some(slot) = self.runs.find_by_call(call) else {
            return;
        };
        let is_runner = self.runs.get(slot).is_some_and(|run| run.call == call);
        if !is_runner {
            self.runs.remove_joined(slot, call);
        }
    }

    /// Makes the first call that joined a queued run the one that runs, in place of `call`.
    ///
    /// Used if the caller of `call` gave up or its deadline passed. The returned call must be
    /// admitted next.
    pub fn promote_joined(&mut self, call: CallKey) -> Option<CallKey> {
        let slot = self.runs.find_by_call(call)?;
        let run = self.runs.get_mut(slot)?;
        if run.call != call || run.state != RunState::Queued || run.joined.is_empty() {
            return None;
        }
        let next = run.joined.remove(0);
        self.runs.replace_call(slot, next);
        Some(next)
    }

    /// Finishes a run that was never sent, and returns the verdict for its calls.
    pub(super) fn finish_unsent(&mut self, slot: RunSlot, refusal: Refusal) -> Verdict {
        let Some(run) = self.runs.get(slot) else {
            return doubt_from_refusal(refusal);
        };
        let is_first_attempt = run.is_first_attempt;
        if let RunId::Ticket(sequence) = run.id {
            self.runs.remove(slot);
            self.tickets.mark_void(sequence, &self.settings);
            return Verdict::NotRun(refusal);
        }
        let is_held = run
            .claim
            .is_some_and(|claim| matches!(claim.row, RowState::Held(_)));
        if is_held {
            self.claim_queue.push_release(slot);
        }
        let refusal = Refusal {
            is_other_target_worthwhile: false,
            ..refusal
        };
        self.runs
            .finish(slot, RunState::Refused(refusal), self.now_us);
        self.evict_over_limit();
        if is_first_attempt {
            return Verdict::NotRun(refusal);
        }
        doubt_from_refusal(refusal)
    }

    /// Keeps a verdict, or a doubt in place of an answer above `kept_answer_bytes_max`.
    fn keep_verdict(&mut self, slot: RunSlot, verdict: &Verdict) {
        let bytes_max = self.settings.kept_answer_bytes_max;
        let kept = match verdict {
            Verdict::Ran(answer) if answer_bytes(answer) > bytes_max => {
                Verdict::may_have_run(DoubtReason::AnswerDropped, 0)
            }
            verdict => verdict.clone(),
        };
        self.runs
            .finish(slot, RunState::Finished(kept), self.now_us);
        self.evict_over_limit();
    }
}

impl Completion {
    /// Creates the completion of a call without joined calls.
    fn without_joined(verdict: Verdict) -> Self {
        Self {
            verdict,
            joined: Vec::new(),
        }
    }
}

/// Replaces an answer that was truncated or altered by a doubt.
fn doubt_unless_whole(verdict: Verdict) -> Verdict {
    match verdict {
        Verdict::Ran(answer) if !answer.is_intact() => {
            Verdict::may_have_run(DoubtReason::BrokenAnswer, 0)
        }
        verdict => verdict,
    }
}

/// Returns the memory of an answer's body and headers, in bytes.
pub(in crate::run_once) fn answer_bytes(answer: &Answer) -> usize {
    let mut bytes = answer.body.len();
    for header in &answer.headers {
        bytes += header.name.len() + header.value.len();
    }
    bytes
}
