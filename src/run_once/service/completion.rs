//! The transitions of a run after it began: sent, refused, completed, or continued by a call that
//! joined it.

use super::{RunOnce, doubt_from_refusal};
use crate::ids::CallKey;
use crate::request::Answer;
use crate::run_once::Completion;
use crate::run_once::claim::RowState;
use crate::run_once::run::{RunHandle, RunId, RunState};
use crate::verdict::{DoubtReason, Refusal, Verdict};

impl RunOnce {
    /// Records that the request of a call is sent to the target now.
    ///
    /// Returns false if it must not be sent, because its ticket became void while it was queued or
    /// the call is not the one that runs.
    #[must_use]
    pub fn mark_sent(&mut self, call: CallKey) -> bool {
        let Some(handle) = self.runs.find_by_call(call) else {
            return false;
        };
        let Some(run) = self.runs.get_mut(handle) else {
            return false;
        };
        if run.call != call || run.state != RunState::Ready {
            return false;
        }
        run.state = RunState::Sent;
        true
    }

    /// Refuses a call whose request was not sent to the target; its ticket is void from then on.
    ///
    /// The row of a claim is deleted so that a repeat may run on any daemon: as soon as the table
    /// is not considered down, but not if the refused run is evicted before.
    ///
    /// A call that joined a run leaves it with a doubt. A call that was sent or is unknown gets a
    /// doubt too, and a call whose run completed gets the kept verdict.
    pub fn refuse(&mut self, call: CallKey, refusal: Refusal) -> Completion {
        let Some(handle) = self.runs.find_by_call(call) else {
            return Completion::without_joined(doubt_from_refusal(refusal));
        };
        let Some(run) = self.runs.get(handle) else {
            return Completion::without_joined(doubt_from_refusal(refusal));
        };
        if run.call != call {
            self.runs.remove_joined(handle, call);
            return Completion::without_joined(doubt_from_refusal(refusal));
        }
        match &run.state {
            RunState::Completed(verdict) => Completion::without_joined(verdict.clone()),
            RunState::Sent => Completion::without_joined(doubt_from_refusal(refusal)),
            RunState::Pending | RunState::Ready | RunState::Refused(_) => {
                let joined = self.runs.take_joined(handle);
                let verdict = self.finish_unsent(handle, refusal);
                Completion { verdict, joined }
            }
        }
    }

    /// Keeps the verdict of a call that was sent to the target, and returns it with the joined
    /// calls.
    ///
    /// If a verdict is kept already, that one is returned; only a complete, unaltered answer
    /// replaces a kept doubt. `NotRun` may be passed only if no byte of the request was sent.
    pub fn complete(&mut self, now_us: u64, call: CallKey, verdict: Verdict) -> Completion {
        self.sweep(now_us);
        let verdict = doubt_unless_whole(verdict);
        let Some(handle) = self.runs.find_by_call(call) else {
            return Completion::without_joined(verdict);
        };
        let Some(run) = self.runs.get(handle).filter(|run| run.call == call) else {
            return Completion::without_joined(verdict);
        };
        let verdict = match (&run.state, verdict) {
            (RunState::Completed(Verdict::MayHaveRun(_)), Verdict::Ran(answer)) => {
                Verdict::Ran(answer)
            }
            (RunState::Completed(kept), _) => return Completion::without_joined(kept.clone()),
            (_, verdict) => verdict,
        };
        let joined = self.runs.take_joined(handle);
        let verdict = match verdict {
            Verdict::NotRun(refusal) => self.finish_unsent(handle, refusal),
            verdict => {
                self.keep_verdict(handle, &verdict);
                verdict
            }
        };
        Completion { verdict, joined }
    }

    /// Removes a call that joined a run. Does nothing for the call that is itself sent to the
    /// target: its run continues even if its caller is gone.
    pub fn remove_joined(&mut self, call: CallKey) {
        let Some(handle) = self.runs.find_by_call(call) else {
            return;
        };
        let is_runner = self.runs.get(handle).is_some_and(|run| run.call == call);
        if !is_runner {
            self.runs.remove_joined(handle, call);
        }
    }

    /// Makes the first call that joined a run the one that runs, in place of `call`; returns `None`
    /// if the run was sent, waits for the table or has no joined call.
    ///
    /// Used if the caller of `call` gave up or its deadline passed. The returned call must be
    /// admitted next.
    pub fn promote_joined(&mut self, call: CallKey) -> Option<CallKey> {
        let handle = self.runs.find_by_call(call)?;
        let run = self.runs.get_mut(handle)?;
        if run.call != call || run.state != RunState::Ready || run.joined.is_empty() {
            return None;
        }
        let next = run.joined.remove(0);
        self.runs.replace_call(handle, next);
        Some(next)
    }

    /// Finishes a run that was never sent, and returns the verdict for its calls.
    pub(super) fn finish_unsent(&mut self, handle: RunHandle, refusal: Refusal) -> Verdict {
        let Some(run) = self.runs.get(handle) else {
            return doubt_from_refusal(refusal);
        };
        let has_only_first_attempts = run.has_only_first_attempts;
        if let RunId::Ticket(sequence) = run.id {
            self.runs.remove(handle);
            self.tickets.mark_void(sequence, &self.settings);
            return Verdict::NotRun(refusal);
        }
        let is_held = run
            .claim
            .is_some_and(|claim| matches!(claim.row, RowState::Held(_)));
        if is_held {
            self.claim_queue.push_release(handle);
        }
        let refusal = Refusal {
            is_other_target_worthwhile: false,
            ..refusal
        };
        self.runs
            .finish(handle, RunState::Refused(refusal), self.latest_now_us);
        self.evict_over_limit();
        if has_only_first_attempts {
            return Verdict::NotRun(refusal);
        }
        doubt_from_refusal(refusal)
    }

    /// Keeps a verdict, or a doubt in place of an answer above `kept_answer_bytes_max`.
    fn keep_verdict(&mut self, handle: RunHandle, verdict: &Verdict) {
        let bytes_max = self.settings.kept_answer_bytes_max;
        let kept = match verdict {
            Verdict::Ran(answer) if answer_bytes(answer) > bytes_max => {
                Verdict::may_have_run(DoubtReason::AnswerDropped, 0)
            }
            verdict => verdict.clone(),
        };
        self.runs
            .finish(handle, RunState::Completed(kept), self.latest_now_us);
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

/// Returns a doubt in place of an answer that was truncated or altered, and other verdicts as they
/// are.
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
