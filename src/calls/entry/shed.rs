//! New requests that are turned away where they enter, before anything of them runs.

use rand::RngExt;

use super::{Entry, Plan};
use crate::kernel::Context;
use crate::pressure::{self, Newcomer, Pressures};
use crate::request::CallRequest;
use crate::verdict::{Refusal, RefusalReason};

/// The part of its time after which a caller that was turned away still comes back.
const RETURN_PART: u32 = 3;

/// The earliest return, in percent of the time in which an answer is of full use.
const RETURN_FROM_PERCENT: u32 = 20;

/// The latest return, in percent of the time in which an answer is of full use.
const RETURN_UNTIL_PERCENT: u32 = 50;

/// The least time after which a caller is asked to come back.
const RETURN_MIN_MS: u32 = 50;

impl Entry {
    /// Says whether callers have had time to learn that this daemon stops.
    fn is_past_stop(&self, now_us: u64) -> bool {
        let refuse_us = u64::from(self.settings.stop_refuse_ms) * 1_000;
        self.stopping_since_us
            .is_some_and(|since_us| now_us >= since_us + refuse_us)
    }

    /// Another daemon takes the request at once.
    fn stopping_refusal(&self) -> Refusal {
        Refusal {
            reason: RefusalReason::Leaving,
            retry_after_ms: RETURN_MIN_MS,
            is_other_target_worthwhile: true,
        }
    }

    /// Returns the refusal of a new request that the services below it cannot carry.
    ///
    /// The calls of targets are never turned away here: what runs already waits for them.
    pub(super) fn find_shed(
        &self,
        context: &mut Context<'_>,
        plan: &Plan,
        request: &CallRequest,
    ) -> Option<Refusal> {
        let routed = request.routed.as_ref()?;
        let now_us = context.now_us();
        let left_ms = request.deadline_left_ms.unwrap_or(plan.policy.deadline_ms);
        let mut rng = context.fork_rng();
        let pressures = context.find::<Pressures>(pressure::NAME)?;
        if request.is_from_target {
            pressures.shares().called(now_us, &routed.route);
            return None;
        }
        if self.is_past_stop(now_us) {
            return Some(self.stopping_refusal());
        }
        let newcomer = Newcomer {
            priority: plan.priority,
            is_returned: pressures.is_returned(&routed.route, left_ms),
        };
        if !pressures.turns_away(now_us, &routed.route, newcomer, &mut rng) {
            return None;
        }
        Some(Refusal {
            reason: RefusalReason::Threshold,
            retry_after_ms: return_after_ms(routed.terms.target_latency_ms, left_ms, &mut rng),
            is_other_target_worthwhile: false,
        })
    }
}

/// Returns when a caller should come back: soon enough for an answer of full use, and spread, so
/// that those who were turned away together do not return together.
pub fn return_after_ms(target_latency_ms: u32, left_ms: u32, rng: &mut impl RngExt) -> u32 {
    let share_ms = |percent: u32| target_latency_ms.saturating_mul(percent) / 100;
    let latest_ms = share_ms(RETURN_UNTIL_PERCENT)
        .min(left_ms / RETURN_PART)
        .max(RETURN_MIN_MS + 1);
    let earliest_ms = share_ms(RETURN_FROM_PERCENT).clamp(RETURN_MIN_MS, latest_ms - 1);
    rng.random_range(earliest_ms..latest_ms)
}
