//! Requests whose entry daemon gave up.

use super::{Guard, Stage};
use crate::admission::{self, Admission, CancelOutcome, Ended};
use crate::ids::{CallKey, InboundKey};
use crate::kernel::{Context, Effect};
use crate::request::RunKey;
use crate::run_once::{self, RunOnce};
use crate::verdict::{DoubtReason, RefusalReason, Verdict};

impl Guard {
    /// The entry daemon gave up: queued work is dropped, work that may run again is cancelled.
    pub(super) fn drop_inbound(&mut self, context: &mut Context<'_>, inbound: InboundKey) {
        let Some(key) = self.inbound.remove(&inbound) else {
            return;
        };
        let Some(guard_call) = self.calls.get_mut(&key) else {
            return;
        };
        guard_call.is_orphaned = true;
        let is_free = guard_call.call.run_key == RunKey::None;
        match guard_call.stage {
            Stage::New | Stage::Pending => {}
            Stage::Joined => self.leave_joined(context, key),
            Stage::Queued => self.cancel_queued(context, key),
            Stage::Sent if is_free => self.cancel_sent(context, key),
            Stage::Sent => {}
        }
    }

    pub(super) fn leave_joined(&mut self, context: &mut Context<'_>, key: CallKey) {
        if let Some(run_once) = context.find::<RunOnce>(run_once::NAME) {
            run_once.abandon(key);
        }
        self.calls.remove(&key);
    }

    pub(super) fn cancel_queued(&mut self, context: &mut Context<'_>, key: CallKey) {
        let now_us = context.now_us();
        let Some(admission) = context.find::<Admission>(admission::NAME) else {
            return;
        };
        if admission.cancel(now_us, key) != CancelOutcome::RemovedFromQueue {
            return;
        }
        let run_once = context.find::<RunOnce>(run_once::NAME);
        if let Some(next) = run_once.and_then(|run_once| run_once.hand_over(key)) {
            self.calls.remove(&key);
            self.admit(context, next);
            return;
        }
        let refusal = self.refusal(RefusalReason::Cancelled, false);
        self.refuse(context, key, refusal);
    }

    pub(super) fn cancel_sent(&mut self, context: &mut Context<'_>, key: CallKey) {
        context.emit(Effect::CancelTargetRequest { call: key });
        self.release(context, key, Ended::Cancelled);
        let retry_after_ms = self.settings.retry_after_ms;
        self.settle(
            context,
            key,
            Verdict::may_have_run(DoubtReason::Cancelled, retry_after_ms),
        );
    }
}
