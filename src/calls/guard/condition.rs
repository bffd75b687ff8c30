//! Applies what the target says of itself in its answers.

use super::Guard;
use crate::ids::CallKey;
use crate::kernel::{Context, StateChange};
use crate::metrics::{Counter, Gauge};
use crate::target::{AnswerSignals, ConditionChange, RateLimitSignal, RateLimitState};

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
            let limit_per_s = match condition.rate_limit {
                RateLimitState::Limited(rate) => rate.per_s(),
                _ => f64::INFINITY,
            };
            context.set_gauge(Gauge::TargetRateLimit, limit_per_s);
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
