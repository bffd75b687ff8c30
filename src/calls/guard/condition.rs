//! Applies what the target says of itself in its answers.

use super::{Guard, GuardCall};
use crate::admission::{self, Admission};
use crate::ids::CallKey;
use crate::kernel::{Context, Effect, StateChange};
use crate::metrics::{Counter, Gauge};
use crate::request::PeerCall;
use crate::target::{
    Announcement, AnswerSignals, ConditionChange, RateLimitSignal, RateLimitState, TargetCondition,
};

impl Guard {
    /// Records what the answer to a request says of the target.
    pub(super) fn record_signals(
        &mut self,
        context: &mut Context<'_>,
        key: CallKey,
        signals: AnswerSignals,
    ) {
        let Some(guard_call) = self.calls.get(&key) else {
            return;
        };
        let sent_us = guard_call.started_us;
        let trace_id = guard_call.peer_call.trace_id.as_ref();
        let source = trace_id.map_or(String::new(), |id| format!("answer to {}", id.as_str()));
        if signals.rate_limit == RateLimitSignal::Invalid {
            context.count(Counter::unlabelled("invalid_rate_limits"));
        }
        let now_us = context.now_us();
        let change = self.condition.record_signals(now_us, sent_us, signals);
        self.log_condition_change(context, change, &source);
        self.apply_condition_change(context, change);
    }

    /// Records what an entry daemon was told of the target, maybe by a former process of this one.
    pub(super) fn inherit_condition(&mut self, context: &mut Context<'_>, call: &PeerCall) {
        let Some(known) = call
            .known_condition
            .as_ref()
            .filter(|_| self.target.is_some())
        else {
            return;
        };
        let change = self.condition.inherit(context.now_us(), known);
        let source = format!("told by daemon {:016x}", call.from.0);
        self.log_condition_change(context, change, &source);
        self.apply_condition_change(context, change);
    }

    /// Returns the condition to report with the reply to a call: it is left out if neither this
    /// daemon nor the entry daemon knows of anything special.
    pub(super) fn reported_condition(&self, guard_call: &GuardCall) -> Option<TargetCondition> {
        let condition = self.condition.condition();
        let is_expected = guard_call.peer_call.known_condition.is_some();
        if condition.is_ordinary() && !is_expected {
            return None;
        }
        Some(condition.clone())
    }

    fn apply_condition_change(&mut self, context: &mut Context<'_>, change: ConditionChange) {
        if change.is_rate_limit_changed {
            self.apply_rate_limit(context);
        }
        if change.has_begun_to_leave {
            let start = self.condition.condition().start.clone();
            context.emit(Effect::RecordDeparture(start));
            self.update_leaving(context);
        }
    }

    /// Records that the target stopped announcing itself.
    pub(super) fn record_silence(&mut self, context: &mut Context<'_>) {
        let before = self.condition.condition().rate_limit;
        self.condition.record_silence(context.now_us());
        if self.condition.condition().rate_limit != before {
            self.apply_rate_limit(context);
        }
    }

    /// Records an announcement; what a former start said does not apply to another one.
    pub(super) fn record_announcement(
        &mut self,
        context: &mut Context<'_>,
        announcement: &Announcement,
    ) {
        let before = self.condition.condition().rate_limit;
        let now_us = context.now_us();
        self.condition.record_announcement(now_us, announcement);
        if self.condition.condition().rate_limit != before {
            self.apply_rate_limit(context);
        }
    }

    fn apply_rate_limit(&mut self, context: &mut Context<'_>) {
        let now_us = context.now_us();
        let rate_limit = self.condition.condition().rate_limit;
        let limit_per_s = match rate_limit {
            RateLimitState::Limited(rate) => rate.per_s(),
            RateLimitState::Unknown | RateLimitState::Unlimited => f64::INFINITY,
        };
        context.set_gauge(Gauge::TargetRateLimit, limit_per_s);
        if let Some(admission) = context.find::<Admission>(admission::NAME) {
            admission.set_rate_limit(now_us, rate_limit);
        }
        self.set_release_timer(context);
    }

    fn log_condition_change(
        &self,
        context: &mut Context<'_>,
        change: ConditionChange,
        source: &str,
    ) {
        let condition = self.condition.condition();
        let instance = condition.start.instance.as_ref();
        let instance = instance.map_or("the target", |instance| instance.as_str());
        if change.is_rate_limit_changed {
            let what = match condition.rate_limit {
                RateLimitState::Limited(_) => "the target names a rate limit",
                _ => "the target names no rate limit any more",
            };
            let detail = match condition.rate_limit {
                RateLimitState::Limited(rate) => format!("{instance}, {rate}/s, {source}"),
                _ => format!("{instance}, {source}"),
            };
            context.log(StateChange::new("target", what, detail));
        }
        if change.has_begun_to_leave {
            let detail = format!("{instance}, {source}");
            context.log(StateChange::new(
                "target",
                "the target says that it leaves",
                detail,
            ));
        }
    }
}
