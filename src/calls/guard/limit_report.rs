//! Reports the learned concurrency limit of the target to operators, and which requests it must not
//! learn from.

use super::Guard;
use crate::admission::{self, Admission, LimitPolicy};
use crate::ids::CallKey;
use crate::kernel::{Context, StateChange};
use crate::metrics::Gauge;
use crate::pressure::{self, Pressures};

/// The minimum time between two log lines on the limit.
const LOG_PERIOD_US: u64 = 10_000_000;
/// The minimum change of the limit that is logged, in percent of the limit logged last.
const LOGGED_CHANGE_PERCENT: u32 = 20;

/// The limit that was reported last.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ReportedLimit {
    limit: u32,
    logged: u32,
    /// The earliest time of the next log line.
    next_log_us: u64,
}

impl ReportedLimit {
    /// Returns whether a limit is to be logged now, and notes it then.
    fn should_log(&mut self, now_us: u64, limit: u32) -> bool {
        let change = u64::from(limit.abs_diff(self.logged));
        let change_min = u64::from(self.logged) * u64::from(LOGGED_CHANGE_PERCENT);
        if now_us < self.next_log_us || change * 100 < change_min || change == 0 {
            return false;
        }
        self.logged = limit;
        self.next_log_us = now_us + LOG_PERIOD_US;
        true
    }
}

impl Guard {
    /// Tells admission if a request that ends at the target may have waited for calls that the
    /// target made: it named itself their parent, or its route is estimated to make calls.
    pub(super) fn record_child_calls(&self, context: &mut Context<'_>, key: CallKey) {
        let Some(guard_call) = self.calls.get(&key) else {
            return;
        };
        if !is_limit_learned(context) {
            return;
        }
        let now_us = context.now_us();
        let mut has_child_calls = guard_call.has_child_calls;
        if let Some(route) = &guard_call.peer_call.route
            && let Some(pressures) = context.find::<Pressures>(pressure::NAME)
        {
            has_child_calls |= pressures.call_rates().is_estimated_to_call(now_us, route);
        }
        if has_child_calls && let Some(admission) = context.find::<Admission>(admission::NAME) {
            admission.record_child_calls(key);
        }
    }

    /// Sets the gauge of the learned limit if it changed, and logs larger changes.
    pub(super) fn report_limit(&mut self, context: &mut Context<'_>) {
        let now_us = context.now_us();
        let Some(admission) = context.find::<Admission>(admission::NAME) else {
            return;
        };
        let limit = admission.limit();
        if admission.limit_policy() != LimitPolicy::Learned {
            return;
        }
        if limit != self.reported_limit.limit {
            self.reported_limit.limit = limit;
            context.set_gauge(Gauge::TargetConcurrencyLimit, f64::from(limit));
        }
        let before = self.reported_limit.logged;
        if self.reported_limit.should_log(now_us, limit) {
            let detail = format!("{before} to {limit} requests");
            context.log(StateChange::new(
                "target",
                "the concurrency limit changed",
                detail,
            ));
        }
    }
}

fn is_limit_learned(context: &mut Context<'_>) -> bool {
    let admission = context.find::<Admission>(admission::NAME);
    admission.is_some_and(|admission| admission.limit_policy() == LimitPolicy::Learned)
}
