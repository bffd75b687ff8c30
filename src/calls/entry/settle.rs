//! The end of a call at the entry daemon: the reply and what is given back.

use super::{Entry, EntryCall, return_after_ms};
use crate::calls;
use crate::calls::guard::{self, Guard};
use crate::decision::{Decision, DecisionInputs, Step};
use crate::ids::CallKey;
use crate::kernel::{CallReply, Context, Effect};
use crate::metrics::{Counter, Latency};
use crate::request::{CallRequest, RunKey};
use crate::retry::{self, RetryLedger};
use crate::routing::{self, Router, TryOutcome};
use crate::run_once::{self, Ticket};
use crate::verdict::{Refusal, Verdict};

impl Entry {
    /// Refuses a call that was never taken up.
    pub(super) fn refuse_at_once(
        &mut self,
        context: &mut Context<'_>,
        key: CallKey,
        request: &CallRequest,
        refusal: Refusal,
    ) {
        let verdict = run_once::unheld_refusal(&request.run_key, refusal);
        count(context, &verdict);
        if let Some(routed) = &request.routed {
            let facts = DecisionInputs {
                left_ms: request.deadline_left_ms.unwrap_or(0),
                config_version: calls::config_version(context),
                ..DecisionInputs::default()
            };
            context.log_decision(Decision {
                trace_id: routed.trace_id.clone(),
                service: request.service.clone(),
                step: Step::Rejected,
                outcome: outcome_code(&verdict),
                is_ordinary: false,
                inputs: facts,
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
        self.give_up_tries(context, &call);
        let verdict = call.with_earlier_doubt(verdict);
        let verdict = if call.was_sent || call.is_own_ticket {
            verdict
        } else {
            without_holder(&call.run_key, verdict)
        };
        let verdict = spread_return(context, &call, verdict);
        count(context, &verdict);
        tell_reply(context, &call, &verdict);
        let elapsed_us = context.now_us().saturating_sub(call.taken_us);
        context.observe(Latency::Call, &call.request.service, elapsed_us);
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

    fn give_up_tries(&mut self, context: &mut Context<'_>, call: &EntryCall) {
        for one in &call.tries {
            self.asks.remove(&one.ask);
            context.cancel_request(one.ask);
            let now_us = context.now_us();
            let Some(router) = context.find::<Router>(routing::NAME) else {
                continue;
            };
            let latency_us = now_us.saturating_sub(one.sent_us);
            router.ended(now_us, one.member, TryOutcome::Cancelled, latency_us, None);
        }
    }
}

impl EntryCall {
    /// What an earlier try left open holds against a later refusal of a request without a key.
    ///
    /// The daemon that holds a key knows of all its runs, so its own word stands.
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

/// What was not sent now may have run in an earlier try of the same key.
fn without_holder(run_key: &RunKey, verdict: Verdict) -> Verdict {
    match verdict {
        Verdict::NotRun(refusal) => run_once::unheld_refusal(run_key, refusal),
        verdict => verdict,
    }
}

fn count(context: &mut Context<'_>, verdict: &Verdict) {
    let counter = match verdict {
        Verdict::Ran(_) => Counter::unlabelled("answers"),
        Verdict::NotRun(refusal) => Counter::refusal(refusal.reason),
        Verdict::MayHaveRun(doubt) => Counter::doubt(doubt.reason),
    };
    context.count(counter);
}

/// Returns the reason of a verdict as it stands in log lines.
fn outcome_code(verdict: &Verdict) -> &'static str {
    match verdict {
        Verdict::Ran(_) => "answered",
        Verdict::NotRun(refusal) => refusal.reason.code(),
        Verdict::MayHaveRun(doubt) => doubt.reason.code(),
    }
}

/// Gives the caller of a routed request a time to come back that suits it.
fn spread_return(context: &mut Context<'_>, call: &EntryCall, verdict: Verdict) -> Verdict {
    let (Verdict::NotRun(refusal), Some(routed)) = (&verdict, &call.request.routed) else {
        return verdict;
    };
    let left_ms = call.facts(context).left_ms;
    let target_ms = routed.terms.target_latency_ms;
    let retry_after_ms = return_after_ms(target_ms, left_ms, &mut context.fork_rng());
    Verdict::NotRun(Refusal {
        retry_after_ms: retry_after_ms.max(refusal.retry_after_ms.min(left_ms / 3)),
        ..*refusal
    })
}

fn tell_reply(context: &mut Context<'_>, call: &EntryCall, verdict: &Verdict) {
    let status = match verdict {
        Verdict::Ran(answer) => answer.status,
        _ => 0,
    };
    let facts = DecisionInputs {
        member: call.tried.last().copied(),
        status,
        ..call.facts(context)
    };
    let is_ordinary = (1..500).contains(&status);
    call.tell(
        context,
        Step::Replied,
        outcome_code(verdict),
        is_ordinary,
        facts,
    );
}

/// Sending a request again with the ticket that was handed out is its first try.
fn forget_unsent(context: &mut Context<'_>, call: &EntryCall) {
    let now_us = context.now_us();
    if let Some(ledger) = context.find::<RetryLedger>(retry::NAME) {
        ledger.forget_root(now_us, &call.request.caller, call.plan.named);
    }
}

fn close_allowance(context: &mut Context<'_>, call: &EntryCall, succeeded: bool) {
    let left = call.allowance.left();
    if let Some(parent) = &call.plan.parent {
        if let Some(guard) = context.find::<Guard>(guard::NAME) {
            guard.end_child(parent.request, left, !succeeded);
        }
        return;
    }
    let now_us = context.now_us();
    let Some(ledger) = context.find::<RetryLedger>(retry::NAME) else {
        return;
    };
    ledger.close_root(
        now_us,
        &call.request.caller,
        call.plan.named,
        left,
        succeeded,
    );
}
