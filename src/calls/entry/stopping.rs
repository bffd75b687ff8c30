//! A planned stop at the entry daemon: which requests are still accepted and sent.

use super::shed::RETRY_AFTER_MIN_MS;
use super::{Entry, EntryCall};
use crate::calls::stop_limit::Estimate;
use crate::ids::CallKey;
use crate::kernel::Context;
use crate::verdict::{DoubtReason, Refusal, RefusalReason, Verdict};

/// The tag of the timer at which the calls that are left are replied to.
pub(super) const STOP_TIMER_TAG: u64 = u64::MAX - 1;

/// The time before the end of the process at which they are.
const LAST_REPLIES_US: u64 = 100_000;

impl Entry {
    /// Records when the process ends at the latest.
    pub(super) fn announce_stop(&mut self, context: &mut Context<'_>, time_limit_us: u64) {
        self.stop_limit.announce(context.now_us(), time_limit_us);
        let delay_us = time_limit_us.saturating_sub(LAST_REPLIES_US);
        context.set_timer(delay_us, STOP_TIMER_TAG);
    }

    /// Replies to the calls that are left, so that the requests which wait behind them on their
    /// connections are answered too: truly as not run.
    pub(super) fn end_calls(&mut self, context: &mut Context<'_>) {
        let keys: Vec<CallKey> = self.calls.keys().copied().collect();
        for key in keys {
            let Some(call) = self.calls.get(&key) else {
                continue;
            };
            let verdict = match call.was_sent {
                true => {
                    Verdict::may_have_run(DoubtReason::DaemonStopped, self.settings.retry_after_ms)
                }
                false => Verdict::NotRun(stopping_refusal()),
            };
            self.finish(context, key, verdict);
        }
    }

    /// Returns whether the time during which a stopping daemon still accepts new requests is over;
    /// until then callers can learn of the stop.
    pub(super) fn is_stop_grace_over(&self, now_us: u64) -> bool {
        let refuse_us = u64::from(self.settings.stop_refuse_ms) * 1_000;
        self.stopping_since_us
            .is_some_and(|since_us| now_us >= since_us + refuse_us)
    }

    /// Returns whether the process may end before the answer to an attempt that is sent now. The
    /// estimate for clients is the less careful one: until they learn of the stop, a refusal brings
    /// them back to this daemon.
    pub(super) fn ends_before_answer(&self, now_us: u64, call: &EntryCall) -> bool {
        let estimate = match call.arriving {
            None => Estimate::Longest,
            Some(_) => Estimate::NineOfTen,
        };
        let left_us = call.plan.deadline_us.saturating_sub(now_us);
        self.stop_limit
            .ends_before(now_us, call.kind(), left_us, estimate)
    }
}

/// Returns the refusal while stopping. Its retry-after time is the minimum, because other daemons
/// still accept requests.
pub(super) fn stopping_refusal() -> Refusal {
    Refusal {
        reason: RefusalReason::Leaving,
        retry_after_ms: RETRY_AFTER_MIN_MS,
        is_other_target_worthwhile: true,
    }
}
