//! Decides whether a call is retried after an attempt that brought no answer.

use super::{Entry, FREE_FORWARDS_MAX};
use crate::decision::{DecisionInputs, Step};
use crate::ids::CallKey;
use crate::kernel::Context;
use crate::metrics::{Counter, RetryReason};
use crate::request::RunKey;
use crate::retry::{self, ServiceBudgets};
use crate::verdict::{DoubtReason, Refusal, RefusalReason, Verdict};

impl Entry {
    /// Replies with the verdict of an attempt, or retries if that is safe and may succeed.
    ///
    /// While another attempt of the call is pending (after a hedge), only an answer becomes the
    /// reply: a refusal is dropped, and a doubt is recorded.
    pub(super) fn handle_verdict(
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
        if !call.pending_requests.is_empty() {
            return;
        }
        let reason = match &verdict {
            _ if has_failed_child || call.plan.deadline_us <= now_us => None,
            Verdict::NotRun(refusal) => call.retry_reason_for_refusal(refusal),
            Verdict::MayHaveRun(doubt) => call.retry_reason_for_doubt(doubt.reason),
            Verdict::Ran(_) => None,
        };
        let Some(reason) =
            reason.filter(|reason| call.spend_for_retry(context, *reason, placements_max))
        else {
            self.finish(context, key, verdict);
            return;
        };
        context.count(Counter::retry(reason));
        // Logged before the next target is chosen, so also if none is found; the member is the
        // previous one.
        let inputs = DecisionInputs {
            member: call.excluded_members.last().copied(),
            ..call.decision_inputs(context)
        };
        call.log_decision(context, Step::PlacedAgain, reason.code(), false, inputs);
        if call.is_own_ticket && matches!(verdict, Verdict::NotRun(_)) {
            call.run_key = RunKey::None;
            self.get_ticket(context, key);
            return;
        }
        self.send_retry(context, key, reason, verdict);
    }

    /// Sends the request to a target that was not attempted yet, or to the issuer of its ticket. If
    /// the router refuses and only the link failed, or the call may try the same target again, any
    /// target is allowed. If there is still none, the call finishes with the verdict of the latest
    /// attempt.
    fn send_retry(
        &mut self,
        context: &mut Context<'_>,
        key: CallKey,
        reason: RetryReason,
        verdict: Verdict,
    ) {
        let mut choice = self.choose(context, key);
        if choice.is_err()
            && let Some(call) = self.calls.get_mut(&key)
            && (reason.is_answer_lost() || call.may_try_same_target(context, reason))
        {
            call.excluded_members.clear();
            choice = self.choose(context, key);
        }
        match choice {
            Ok(choice) => self.send(context, key, choice),
            Err(_) => self.finish(context, key, verdict),
        }
    }
}

impl super::EntryCall {
    fn retry_reason_for_refusal(&self, refusal: &Refusal) -> Option<RetryReason> {
        let is_bound_to_issuer = matches!(self.run_key, RunKey::Ticket(_)) && !self.is_own_ticket;
        if is_bound_to_issuer || !refusal.is_other_target_worthwhile {
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

    /// Spends a retry; returns false if the allowance or the budget of the service has none left.
    /// The allowance is charged first, also if the service's budget then has none left.
    ///
    /// An attempt after the refusal by a leaving target, or after one that reached no target,
    /// spends no retry up to a number for each of these cases: nothing ran there or below.
    fn spend_for_retry(
        &mut self,
        context: &mut Context<'_>,
        reason: RetryReason,
        placements_max: u32,
    ) -> bool {
        if reason == RetryReason::Forwarded && self.free_forwards < FREE_FORWARDS_MAX {
            self.free_forwards += 1;
            return true;
        }
        if reason.reached_no_target() && self.free_placements < placements_max {
            self.free_placements += 1;
            return true;
        }
        let may_repeat = self.allowance.spend() && self.spend_service_budget(context);
        self.counts_as_repeat |= may_repeat;
        may_repeat
    }

    /// Spends one repeat of the service's budget on this daemon; returns false if none is left.
    fn spend_service_budget(&self, context: &mut Context<'_>) -> bool {
        let now_us = context.now_us();
        let Some(budgets) = context.find::<ServiceBudgets>(retry::SERVICE_BUDGETS_NAME) else {
            return true;
        };
        match self.arriving {
            Some(_) => budgets.spend_direct(now_us, &self.request.service),
            None => budgets.spend(now_us, &self.request.service),
        }
    }

    /// Returns whether a target that refused the request may be tried again: a direct request at a
    /// service with reserved retries may need more attempts than the service has targets.
    fn may_try_same_target(&self, context: &mut Context<'_>, reason: RetryReason) -> bool {
        if reason != RetryReason::TargetRefused || self.arriving.is_none() {
            return false;
        }
        let now_us = context.now_us();
        let budgets = context.find::<ServiceBudgets>(retry::SERVICE_BUDGETS_NAME);
        budgets.is_some_and(|budgets| budgets.has_reserve(now_us, &self.request.service))
    }

    /// Returns the reason to retry a request that may have run.
    ///
    /// Only an idempotent request without a run key is run again; one with a ticket is sent to the
    /// ticket's issuer again, which returns the kept answer.
    fn retry_reason_for_doubt(&self, doubt: DoubtReason) -> Option<RetryReason> {
        let reason = match doubt {
            DoubtReason::ConnectionLost => RetryReason::ConnectionLost,
            DoubtReason::TargetEnded => RetryReason::TargetEnded,
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
