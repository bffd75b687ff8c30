//! Finishes a call at the entry daemon: sends the reply and refunds unspent retries.

use super::{Entry, EntryCall, jittered_retry_after_ms};
use crate::calls;
use crate::calls::guard::{self, Guard};
use crate::decision::{Decision, DecisionInputs, Step};
use crate::ids::CallKey;
use crate::kernel::{CallReply, Context, Effect};
use crate::metrics::{Counter, Latency};
use crate::request::{CallRequest, RunKey};
use crate::retry::{self, CallerBudgets};
use crate::routing::{self, AttemptOutcome, Router};
use crate::run_once::{self, Ticket};
use crate::verdict::{Refusal, RefusalReason, Verdict};

impl Entry {
    /// Replies to a call that is refused before it is registered in `calls`: with the refusal, or
    /// with a doubt if an earlier attempt with its run key may have run.
    pub(super) fn refuse_before_start(
        &mut self,
        context: &mut Context<'_>,
        key: CallKey,
        request: &CallRequest,
        refusal: Refusal,
    ) {
        let verdict = run_once::non_holder_verdict(&request.run_key, refusal);
        count_verdict(context, &verdict);
        if let Some(subject) = request.decision_subject() {
            let inputs = DecisionInputs {
                left_ms: request.deadline_left_ms.unwrap_or(0),
                config_version: calls::config_version(context),
                ..DecisionInputs::default()
            };
            context.log_decision(Decision {
                subject,
                step: Step::Rejected,
                outcome: outcome_code(&verdict),
                is_ordinary: false,
                inputs,
            });
        }
        let retries_left = request.retries_left.unwrap_or(0);
        let reply = CallReply {
            verdict,
            retries_left,
            tickets: Vec::new(),
        };
        context.emit(Effect::ReplyToCaller {
            call: key,
            reply: Box::new(reply),
        });
    }

    pub(super) fn finish(&mut self, context: &mut Context<'_>, key: CallKey, verdict: Verdict) {
        self.finish_with_tickets(context, key, verdict, Vec::new());
    }

    pub(super) fn finish_with_tickets(
        &mut self,
        context: &mut Context<'_>,
        key: CallKey,
        verdict: Verdict,
        tickets: Vec<Ticket>,
    ) {
        let Some(call) = self.calls.remove(&key) else {
            return;
        };
        self.cancel_pending_requests(context, &call);
        let verdict = call.with_earlier_doubt(verdict);
        let verdict = if call.was_sent || call.is_own_ticket {
            verdict
        } else {
            as_non_holder_verdict(&call.run_key, verdict)
        };
        self.return_token(context, key, &call, &verdict);
        let verdict = with_jittered_retry_after(context, &call, verdict);
        count_verdict(context, &verdict);
        log_reply(context, &call, &verdict);
        let elapsed_us = context.now_us().saturating_sub(call.accepted_us);
        context.observe(Latency::Call, &call.request.service, elapsed_us);
        if matches!(verdict, Verdict::Ran(_)) {
            self.stop_limit
                .record_duration(context.now_us(), call.kind(), elapsed_us);
        }
        let succeeded = matches!(&verdict, Verdict::Ran(answer) if answer.status < 500);
        close_allowance(context, &call, succeeded);
        if !tickets.is_empty() {
            forget_unsent(context, &call);
        }
        let retries_left = call.allowance.left();
        let reply = CallReply {
            verdict,
            retries_left,
            tickets,
        };
        context.emit(Effect::ReplyToCaller {
            call: key,
            reply: Box::new(reply),
        });
    }

    fn cancel_pending_requests(&mut self, context: &mut Context<'_>, call: &EntryCall) {
        for pending in &call.pending_requests {
            self.outbound.remove(&pending.outbound_key);
            context.cancel_request(pending.outbound_key);
            let now_us = context.now_us();
            let Some(router) = context.find::<Router>(routing::NAME) else {
                continue;
            };
            let latency_us = now_us.saturating_sub(pending.sent_us);
            router.record_outcome(
                now_us,
                pending.member,
                AttemptOutcome::Cancelled,
                latency_us,
                None,
            );
        }
    }
}

impl EntryCall {
    /// Replaces the refusal of a request without a run key by the doubt of an earlier attempt.
    ///
    /// With a run key the refusal stands: the daemon that holds the key knows of all its runs.
    fn with_earlier_doubt(&self, verdict: Verdict) -> Verdict {
        let Some(doubt) = self.doubt.filter(|_| self.run_key == RunKey::None) else {
            return verdict;
        };
        match verdict {
            Verdict::NotRun(refusal) => {
                let retry_after_ms = refusal.retry_after_ms;
                Verdict::may_have_run(doubt.reason, retry_after_ms)
            }
            verdict => verdict,
        }
    }
}

/// Turns the refusal of a request that was not sent into a doubt if an earlier attempt with its run
/// key may have run: this daemon does not hold the key, so it cannot tell.
fn as_non_holder_verdict(run_key: &RunKey, verdict: Verdict) -> Verdict {
    match verdict {
        Verdict::NotRun(refusal) => run_once::non_holder_verdict(run_key, refusal),
        verdict => verdict,
    }
}

fn count_verdict(context: &mut Context<'_>, verdict: &Verdict) {
    let counter = match verdict {
        Verdict::Ran(_) => Counter::unlabelled("answers"),
        Verdict::NotRun(refusal) => Counter::refusal(refusal.reason),
        Verdict::MayHaveRun(doubt) => Counter::doubt(doubt.reason),
    };
    context.count(counter);
}

/// Returns the code of a verdict for log lines: "answered", or the reason of a refusal or doubt.
fn outcome_code(verdict: &Verdict) -> &'static str {
    match verdict {
        Verdict::Ran(_) => "answered",
        Verdict::NotRun(refusal) => refusal.reason.code(),
        Verdict::MayHaveRun(doubt) => doubt.reason.code(),
    }
}

/// Replaces the retry-after time of a refused routed request by a jittered one.
///
/// The refusal's own time, limited to a third of the time left, applies if it is longer. That of a
/// quarantined request, or of one over the quota, applies unchanged, since it is refused until then.
fn with_jittered_retry_after(
    context: &mut Context<'_>,
    call: &EntryCall,
    verdict: Verdict,
) -> Verdict {
    let (Verdict::NotRun(refusal), Some(routed)) = (&verdict, &call.request.routed) else {
        return verdict;
    };
    let is_exact = matches!(
        refusal.reason,
        RefusalReason::Quarantined | RefusalReason::QuotaExceeded
    );
    if is_exact {
        return verdict;
    }
    let left_ms = call.decision_inputs(context).left_ms;
    let target_ms = routed.terms.target_latency_ms;
    let retry_after_ms = jittered_retry_after_ms(target_ms, left_ms, &mut context.fork_rng());
    Verdict::NotRun(Refusal {
        retry_after_ms: retry_after_ms.max(refusal.retry_after_ms.min(left_ms / 3)),
        ..*refusal
    })
}

fn log_reply(context: &mut Context<'_>, call: &EntryCall, verdict: &Verdict) {
    let status = match verdict {
        Verdict::Ran(answer) => answer.status,
        _ => 0,
    };
    let inputs = DecisionInputs {
        member: call.excluded_members.last().copied(),
        status,
        ..call.decision_inputs(context)
    };
    let is_ordinary = (1..500).contains(&status);
    call.log_decision(
        context,
        Step::Replied,
        outcome_code(verdict),
        is_ordinary,
        inputs,
    );
}

/// Removes a request that was not sent from its caller's retry budget: the caller sends it again
/// with an issued ticket, and that is its first attempt.
fn forget_unsent(context: &mut Context<'_>, call: &EntryCall) {
    let now_us = context.now_us();
    if let Some(budgets) = context.find::<CallerBudgets>(retry::CALLER_BUDGETS_NAME) {
        budgets.forget_root(now_us, &call.request.caller, call.plan.stable_id);
    }
}

/// Returns the retries that the call did not spend to its parent, or else to its caller's budget,
/// and records whether it succeeded.
///
/// Routed requests have no parent, and a daemon that has a route table keeps no budgets of callers.
fn close_allowance(context: &mut Context<'_>, call: &EntryCall, succeeded: bool) {
    let left = call.allowance.left();
    if let Some(parent) = &call.plan.parent {
        if let Some(guard) = context.find::<Guard>(guard::NAME) {
            guard.finish_child(parent.request_id, left, !succeeded);
        }
        return;
    }
    let now_us = context.now_us();
    let Some(budgets) = context.find::<CallerBudgets>(retry::CALLER_BUDGETS_NAME) else {
        return;
    };
    budgets.close_root(
        now_us,
        &call.request.caller,
        call.plan.stable_id,
        left,
        succeeded,
    );
}
