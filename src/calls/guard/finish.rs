//! Finishes requests at the guard: determines the verdict and replies to everyone who waits for it.

use super::fair::OrganisationRequest;
use super::{Guard, GuardCall, Stage};
use crate::admission::{self, Admission, CallOutcome};
use crate::calls;
use crate::decision::{DecisionInputs, Step};
use crate::fairness::NEUTRAL_PERMILLE;
use crate::ids::{CallKey, RouteName, WorkKind};
use crate::kernel::{Context, TargetOutcome};
use crate::metrics::{Counter, Latency};
use crate::peer::PeerResponse;
use crate::pressure::{self, Pressures};
use crate::request::{LoadReport, PeerReply, RunKey};
use crate::retry::{self, ArrivalCounts, ServiceBudgets};
use crate::run_once::{self, Completion, RunOnce};
use crate::verdict::{DoubtReason, Refusal, RefusalReason, Verdict};

impl Guard {
    /// Determines the verdict of a request from its outcome at the target.
    pub(super) fn handle_target_outcome(
        &mut self,
        context: &mut Context<'_>,
        key: CallKey,
        outcome: TargetOutcome,
    ) {
        let Some(guard_call) = self.calls.get(&key) else {
            return;
        };
        let is_late = guard_call.deadline_us <= context.now_us();
        let has_failed_child = guard_call.has_failed_child;
        let retry_after_ms = self.settings.retry_after_ms;
        let is_lost = matches!(outcome, TargetOutcome::Lost | TargetOutcome::Ended);
        if !(is_late && is_lost) {
            self.lost_share.record(is_lost);
        }
        match &outcome {
            TargetOutcome::Ended => self.record_end(context),
            TargetOutcome::Answered(_) => self.record_completion(context, key),
            _ => {}
        }
        let Some(guard_call) = self.calls.get(&key) else {
            return;
        };
        let verdict = match outcome {
            TargetOutcome::Answered(answer) => Verdict::Ran(answer),
            TargetOutcome::NotSent => {
                Verdict::NotRun(self.refusal(RefusalReason::TargetNotReady, true))
            }
            TargetOutcome::Refused => {
                Verdict::NotRun(self.refusal(RefusalReason::TargetRefused, true))
            }
            TargetOutcome::Lost | TargetOutcome::Ended if is_late => {
                Verdict::may_have_run(DoubtReason::Deadline, retry_after_ms)
            }
            TargetOutcome::Lost => {
                Verdict::may_have_run(DoubtReason::ConnectionLost, retry_after_ms)
            }
            TargetOutcome::Ended => Verdict::may_have_run(DoubtReason::TargetEnded, retry_after_ms),
        };
        let elapsed_us = context.now_us().saturating_sub(guard_call.started_us);
        context.observe(Latency::Target, &guard_call.peer_call.service, elapsed_us);
        if matches!(verdict, Verdict::Ran(_)) {
            let kind = WorkKind::of_route(guard_call.peer_call.route.as_ref());
            self.stop_limit
                .record_duration(context.now_us(), kind, elapsed_us);
        }
        let ended = match &verdict {
            Verdict::Ran(answer) if answer.status < 500 || has_failed_child => {
                CallOutcome::Answered
            }
            _ => CallOutcome::Failed,
        };
        self.release(context, key, ended);
        self.complete(context, key, verdict);
    }

    /// Refuses a request that was never sent; its ticket is voided first.
    pub(super) fn refuse(&mut self, context: &mut Context<'_>, key: CallKey, refusal: Refusal) {
        let Some(guard_call) = self.calls.get(&key) else {
            return;
        };
        if guard_call.peer_call.run_key == RunKey::None {
            self.reply(context, key, Verdict::NotRun(refusal));
            return;
        }
        let Some(run_once) = context.find::<RunOnce>(run_once::NAME) else {
            return;
        };
        let completion = run_once.refuse(key, refusal);
        self.reply_all(context, key, completion);
    }

    /// Completes a request that was sent.
    pub(super) fn complete(&mut self, context: &mut Context<'_>, key: CallKey, verdict: Verdict) {
        let Some(guard_call) = self.calls.get(&key) else {
            return;
        };
        if guard_call.peer_call.run_key == RunKey::None {
            self.reply(context, key, verdict);
            return;
        }
        let now_us = context.now_us();
        let Some(run_once) = context.find::<RunOnce>(run_once::NAME) else {
            return;
        };
        let completion = run_once.complete(now_us, key, verdict);
        self.reply_all(context, key, completion);
    }

    fn reply_all(&mut self, context: &mut Context<'_>, key: CallKey, completion: Completion) {
        for waiting in completion.joined {
            self.reply(context, waiting, completion.verdict.clone());
        }
        self.reply(context, key, completion.verdict);
    }

    pub(super) fn reply(&mut self, context: &mut Context<'_>, key: CallKey, verdict: Verdict) {
        let Some(guard_call) = self.calls.remove(&key) else {
            return;
        };
        self.forget(context, key, &guard_call);
        self.log_end(context, &guard_call, &verdict);
        match &verdict {
            Verdict::Ran(_) => context.count(Counter::unlabelled("guard_answers")),
            Verdict::NotRun(refusal) => context.count(Counter::guard_refusal(refusal.reason)),
            Verdict::MayHaveRun(doubt) => context.count(Counter::guard_doubt(doubt.reason)),
        }
        if guard_call.is_abandoned {
            return;
        }
        let sender = OrganisationRequest::of_call(&guard_call.peer_call);
        let route = guard_call.peer_call.route.as_ref();
        let load = self.load_for_call(context, route, sender.as_ref());
        let guard_us = context.now_us().saturating_sub(guard_call.arrived_us);
        let reply = PeerReply {
            verdict,
            retries_unspent: guard_call.allowance.left(),
            has_failed_child: guard_call.has_failed_child,
            holder: guard_call.holder,
            load,
            guard_us: u32::try_from(guard_us).unwrap_or(u32::MAX),
            config_version: calls::config_version(context),
            condition: self.reported_condition(&guard_call),
        };
        context.respond(guard_call.inbound, PeerResponse::Call(Box::new(reply)));
    }

    fn log_end(&self, context: &mut Context<'_>, guard_call: &GuardCall, verdict: &Verdict) {
        let (step, outcome, status) = match verdict {
            Verdict::Ran(answer) => (Step::Ended, "answered", answer.status),
            Verdict::NotRun(refusal) => (Step::Refused, refusal.reason.code(), 0),
            Verdict::MayHaveRun(doubt) => (Step::Ended, doubt.reason.code(), 0),
        };
        let inputs = DecisionInputs {
            status,
            ..self.decision_inputs(context, guard_call)
        };
        let is_ordinary = (1..500).contains(&status);
        guard_call.log_decision(context, step, outcome, is_ordinary, inputs);
    }

    /// Returns the inputs that all logged decisions on a request have in common.
    pub(super) fn decision_inputs(
        &self,
        context: &mut Context<'_>,
        guard_call: &GuardCall,
    ) -> DecisionInputs {
        let now_us = context.now_us();
        let left_us = guard_call.deadline_us.saturating_sub(now_us);
        let elapsed_us = now_us.saturating_sub(guard_call.arrived_us);
        let load = self.load(context, guard_call.peer_call.route.as_ref());
        DecisionInputs {
            left_ms: u32::try_from(left_us / 1_000).unwrap_or(u32::MAX),
            elapsed_ms: u32::try_from(elapsed_us / 1_000).unwrap_or(u32::MAX),
            queued: load.queued,
            in_flight: load.in_flight,
            limit: load.limit,
            pressure_permille: load.pressure_permille,
            config_version: calls::config_version(context),
            ..DecisionInputs::default()
        }
    }

    fn forget(&mut self, context: &mut Context<'_>, key: CallKey, guard_call: &GuardCall) {
        self.inbound.remove(&guard_call.inbound);
        if self.running.get(&guard_call.peer_call.request) == Some(&key) {
            self.running.remove(&guard_call.peer_call.request);
        }
        if guard_call.stage != Stage::Sent {
            return;
        }
        self.schedule_recheck(context);
        let now_us = context.now_us();
        if let Some(route) = &guard_call.peer_call.route
            && let Some(pressures) = context.find::<Pressures>(pressure::NAME)
        {
            pressures.call_rates().record_end(now_us, route);
        }
    }

    /// Returns the load to report; for a route its service time is that of the route, and its
    /// pressure includes that of the routes which it calls.
    pub(super) fn load(&self, context: &mut Context<'_>, route: Option<&RouteName>) -> LoadReport {
        let now_us = context.now_us();
        let mut load = LoadReport::default();
        let mut pressure = 0.0;
        if let Some(admission) = context.find::<Admission>(admission::NAME) {
            load = admission.load_for(now_us, WorkKind::of_route(route));
            pressure = admission.pressure(now_us);
        }
        if let Some(route) = route
            && let Some(pressures) = context.find::<Pressures>(pressure::NAME)
        {
            pressure = pressures.effective_pressure(now_us, route, pressure);
        }
        LoadReport {
            fair_permille: NEUTRAL_PERMILLE,
            is_leaving: self.is_leaving(),
            pressure_permille: (pressure * 1_000.0) as u16,
            lost_permille: self.lost_share.permille(),
            arrivals: arrivals(context),
            ..load
        }
    }
}

/// Returns the latest arrivals at the target, by origin.
fn arrivals(context: &mut Context<'_>) -> ArrivalCounts {
    let now_us = context.now_us();
    let budgets = context.find::<ServiceBudgets>(retry::SERVICE_BUDGETS_NAME);
    budgets.map_or(ArrivalCounts::default(), |budgets| budgets.arrivals(now_us))
}
