//! The end of a run: sent, refused, completed, or handed over to a call that joined it.

use super::{RunOnce, doubt};
use crate::ids::CallKey;
use crate::request::Answer;
use crate::run_once::Settled;
use crate::run_once::claim::RowState;
use crate::run_once::run::{RunName, RunSlot, RunState};
use crate::verdict::{DoubtReason, Refusal, Verdict};

impl RunOnce {
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
    /// The row of a claim is deleted soon after, so that a repeat may run at any daemon.
    pub fn refuse(&mut self, call: CallKey, refusal: Refusal) -> Settled {
        let Some(slot) = self.runs.of_call(call) else {
            return Settled::alone(doubt(refusal));
        };
        let Some(run) = self.runs.get(slot) else {
            return Settled::alone(doubt(refusal));
        };
        if run.call != call {
            self.runs.leave(slot, call);
            return Settled::alone(doubt(refusal));
        }
        match &run.state {
            RunState::Ended(verdict) => Settled::alone(verdict.clone()),
            RunState::Sent => Settled::alone(doubt(refusal)),
            RunState::Pending | RunState::Queued | RunState::Refused(_) => {
                let waiting = self.runs.take_waiting(slot);
                let verdict = self.end_unsent(slot, refusal);
                Settled { verdict, waiting }
            }
        }
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
        let verdict = match (&run.state, verdict) {
            (RunState::Ended(Verdict::MayHaveRun(_)), Verdict::Ran(answer)) => Verdict::Ran(answer),
            (RunState::Ended(kept), _) => return Settled::alone(kept.clone()),
            (_, verdict) => verdict,
        };
        let waiting = self.runs.take_waiting(slot);
        let verdict = match verdict {
            Verdict::NotRun(refusal) => self.end_unsent(slot, refusal),
            verdict => {
                self.keep(slot, &verdict);
                verdict
            }
        };
        Settled { verdict, waiting }
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

    /// Ends a run that was never sent, and returns the verdict for its calls.
    pub(super) fn end_unsent(&mut self, slot: RunSlot, refusal: Refusal) -> Verdict {
        let Some(run) = self.runs.get(slot) else {
            return doubt(refusal);
        };
        let is_first_try = run.is_first_try;
        if let RunName::Ticket(sequence) = run.name {
            self.runs.remove(slot);
            self.book.set_void(sequence, &self.settings);
            return Verdict::NotRun(refusal);
        }
        let is_held = run
            .claim
            .is_some_and(|claim| matches!(claim.row, RowState::Held(_)));
        if is_held {
            self.queue.push_release(slot);
        }
        let refusal = Refusal {
            is_other_target_worthwhile: false,
            ..refusal
        };
        self.runs.end(slot, RunState::Refused(refusal), self.now_us);
        self.drop_over_bound();
        if is_first_try {
            return Verdict::NotRun(refusal);
        }
        doubt(refusal)
    }

    /// Keeps a verdict; of an answer that is too large only that it was there.
    fn keep(&mut self, slot: RunSlot, verdict: &Verdict) {
        let bytes_max = self.settings.kept_answer_bytes_max;
        let kept = match verdict {
            Verdict::Ran(answer) if answer_bytes(answer) > bytes_max => {
                Verdict::may_have_run(DoubtReason::AnswerDropped, 0)
            }
            verdict => verdict.clone(),
        };
        self.runs.end(slot, RunState::Ended(kept), self.now_us);
        self.drop_over_bound();
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

/// An answer that was cut or altered counts as lost.
fn whole_or_doubt(verdict: Verdict) -> Verdict {
    match verdict {
        Verdict::Ran(answer) if !answer.is_intact() => {
            Verdict::may_have_run(DoubtReason::BrokenAnswer, 0)
        }
        verdict => verdict,
    }
}

/// Returns the memory of an answer, in bytes.
pub(in crate::run_once) fn answer_bytes(answer: &Answer) -> usize {
    let mut bytes = answer.body.len();
    for header in &answer.headers {
        bytes += header.name.len() + header.value.len();
    }
    bytes
}
