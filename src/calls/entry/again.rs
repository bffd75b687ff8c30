//! Whether a call is tried again after a try that brought no answer.

use super::{Entry, HAND_ONS_MAX};
use crate::decision::{DecisionInputs, Step};
use crate::ids::CallKey;
use crate::kernel::Context;
use crate::metrics::{Counter, RetryReason};
use crate::request::RunKey;
use crate::retry::{self, ServiceBudgets};
use crate::verdict::{DoubtReason, Refusal, RefusalReason, Verdict};

impl Entry {
    /// Replies with the verdict of a try, or tries again where that is safe and may help.
    pub(super) fn decide(
        &mut self,
        context: &mut Context<'_>,
        key: CallKey,
        verdict: Verdict,
        has_failed_child: bool,
    ) {
        let now_us = context.now_us();
        let placements_max = self.settings.placements_max;
        let Some(call) = self.calls.get_mut(&key) else {
            return;
        };
        if matches!(verdict, Verdict::Ran(_)) {
            self.finish(context, key, verdict);
            return;
        }
        if let Verdict::MayHaveRun(doubt) = &verdict {
            call.doubt = Some(*doubt);
        }
        if !call.tries.is_empty() {
            return;
        }
        let reason = match &verdict {
            _ if has_failed_child || call.plan.deadline_us <= now_us => None,
            Verdict::NotRun(refusal) => call.retry_reason_after(refusal),
            Verdict::MayHaveRun(doubt) => call.retry_reason_in(doubt.reason),
            Verdict::Ran(_) => None,
        };
        let Some(reason) = reason.filter(|reason| call.may_go_on(context, *reason, placements_max))
        else {
            self.finish(context, key, verdict);
            return;
        };
        context.count(Counter::retry(reason));
        let facts = DecisionInputs {
            member: call.tried.last().copied(),
            ..call.facts(context)
        };
        call.tell(context, Step::PlacedAgain, reason.code(), false, facts);
        if call.is_own_ticket && matches!(verdict, Verdict::NotRun(_)) {
            call.run_key = RunKey::None;
            self.get_ticket(context, key);
            return;
        }
        self.attempt_again(context, key, reason, verdict);
    }

    /// A further try goes to another target, or to the same one where only the link failed.
    fn attempt_again(
        &mut self,
        context: &mut Context<'_>,
        key: CallKey,
        reason: RetryReason,
        verdict: Verdict,
    ) {
        let mut choice = self.choose(context, key);
        if choice.is_err()
            && reason.is_link_failure()
            && let Some(call) = self.calls.get_mut(&key)
        {
            call.tried.clear();
            choice = self.choose(context, key);
        }
        match choice {
            Ok(choice) => self.send(context, key, choice),
            Err(_) => self.finish(context, key, verdict),
        }
    }
}

impl super::EntryCall {
    fn retry_reason_after(&self, refusal: &Refusal) -> Option<RetryReason> {
        let is_bound = matches!(self.run_key, RunKey::Ticket(_)) && !self.is_own_ticket;
        if is_bound || !refusal.is_other_target_worthwhile {
            return None;
        }
        let is_claim = matches!(self.run_key, RunKey::Claim(_));
        match refusal.reason {
            RefusalReason::Unreachable => Some(RetryReason::Unreachable),
            RefusalReason::Leaving => Some(RetryReason::Forwarded),
            RefusalReason::TargetRefused => Some(RetryReason::TargetRefused),
            reason if reason.is_target_unavailable() => Some(RetryReason::Refused),
            _ if is_claim => None,
            _ => Some(RetryReason::Refused),
        }
    }

    /// Spends a retry, except where a target was only asked: nothing ran there or below.
    fn may_go_on(
        &mut self,
        context: &mut Context<'_>,
        reason: RetryReason,
        placements_max: u32,
    ) -> bool {
        if reason == RetryReason::Forwarded && self.hand_ons < HAND_ONS_MAX {
            self.hand_ons += 1;
            return true;
        }
        if reason.is_without_arrival() && self.placements < placements_max {
            self.placements += 1;
            return true;
        }
        let may_repeat = self.allowance.spend() && self.spend_of_service(context);
        self.is_repeat |= may_repeat;
        may_repeat
    }

    /// Spends one of the repeats that the service's budget leaves to this daemon.
    fn spend_of_service(&self, context: &mut Context<'_>) -> bool {
        let now_us = context.now_us();
        let Some(budgets) = context.find::<ServiceBudgets>(retry::SERVICE_BUDGETS) else {
            return true;
        };
        budgets.spend(now_us, &self.request.service)
    }

    /// Only requests that may run again, or that ask their issuer for the kept answer, go on.
    fn retry_reason_in(&self, doubt: DoubtReason) -> Option<RetryReason> {
        let reason = match doubt {
            DoubtReason::ConnectionLost => RetryReason::ConnectionLost,
            DoubtReason::BrokenAnswer => RetryReason::BrokenAnswer,
            _ => return None,
        };
        match self.run_key {
            RunKey::None => self.plan.policy.is_idempotent.then_some(reason),
            RunKey::Ticket(_) => Some(RetryReason::KeptAnswer),
            RunKey::Claim(_) => None,
        }
    }
}
