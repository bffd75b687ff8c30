//! Cancels requests whose entry daemon no longer waits for them.

use super::{Guard, Stage};
use crate::admission::{self, Admission, CallOutcome, CancelOutcome};
use crate::ids::{CallKey, InboundKey};
use crate::kernel::{Context, Effect};
use crate::request::RunKey;
use crate::run_once::{self, RunOnce};
use crate::verdict::{DoubtReason, RefusalReason, Verdict};

impl Guard {
    /// Cancels a request whose entry daemon no longer waits for it.
    ///
    /// A queued request is removed from the queue and refused; if another request with its key has
    /// joined it, that one is admitted in its place instead. A request at the target is cancelled
    /// only if it has no run key. A request that is not admitted yet is only marked.
    pub(super) fn cancel_inbound(&mut self, context: &mut Context<'_>, inbound: InboundKey) {
        let Some(key) = self.inbound.remove(&inbound) else {
            return;
        };
        let Some(guard_call) = self.calls.get_mut(&key) else {
            return;
        };
        guard_call.is_abandoned = true;
        let is_unkeyed = guard_call.peer_call.run_key == RunKey::None;
        match guard_call.stage {
            Stage::New | Stage::AwaitingClaim => {}
            Stage::Joined => self.abandon_joined(context, key),
            Stage::Queued => self.cancel_queued(context, key),
            Stage::Held => self.refuse_cancelled(context, key),
            Stage::Sent if is_unkeyed => self.cancel_sent(context, key),
            Stage::Sent => {}
        }
    }

    pub(super) fn abandon_joined(&mut self, context: &mut Context<'_>, key: CallKey) {
        if let Some(run_once) = context.find::<RunOnce>(run_once::NAME) {
            run_once.remove_joined(key);
        }
        self.calls.remove(&key);
    }

    pub(super) fn cancel_queued(&mut self, context: &mut Context<'_>, key: CallKey) {
        let now_us = context.now_us();
        let Some(admission) = context.find::<Admission>(admission::NAME) else {
            return;
        };
        if admission.cancel(now_us, key) == CancelOutcome::RemovedFromQueue {
            self.refuse_cancelled(context, key);
        }
    }

    fn refuse_cancelled(&mut self, context: &mut Context<'_>, key: CallKey) {
        let run_once = context.find::<RunOnce>(run_once::NAME);
        if let Some(next) = run_once.and_then(|run_once| run_once.promote_joined(key)) {
            self.calls.remove(&key);
            self.admit(context, next);
            return;
        }
        let refusal = self.refusal(RefusalReason::Cancelled, false);
        self.refuse(context, key, refusal);
    }

    pub(super) fn cancel_sent(&mut self, context: &mut Context<'_>, key: CallKey) {
        context.emit(Effect::CancelTargetRequest { call: key });
        self.remember_cancelled(context, key);
        self.release(context, key, CallOutcome::Cancelled);
        let retry_after_ms = self.settings.retry_after_ms;
        self.complete(
            context,
            key,
            Verdict::may_have_run(DoubtReason::Cancelled, retry_after_ms),
        );
    }
}
