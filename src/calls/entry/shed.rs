//! Sheds new requests at the entry daemon, before any part of them runs.

use rand::RngExt;

use super::stopping::stopping_refusal;
use super::{Entry, Plan};
use crate::kernel::Context;
use crate::pressure::{self, ArrivingRequest, Pressures};
use crate::request::CallRequest;
use crate::routes::{self, Routes};
use crate::verdict::{Refusal, RefusalReason};

/// The upper bound of the retry-after time is at most the caller's remaining time divided by this.
const RETRY_AFTER_LEFT_DIVISOR: u32 = 3;

/// The lower bound of the retry-after time, in percent of the route's target latency.
const RETRY_AFTER_MIN_PERCENT: u32 = 20;

/// The upper bound of the retry-after time is at most this percentage of the route's target
/// latency.
const RETRY_AFTER_MAX_PERCENT: u32 = 50;

/// The minimum retry-after time in any case; it takes precedence over the upper bounds.
pub(super) const RETRY_AFTER_MIN_MS: u32 = 50;

impl Entry {
    /// Returns what decides whether a routed request is shed; `None` for a child call of a target,
    /// which is never shed, because requests that already run wait for it. Child calls are recorded
    /// for the estimate of which routes the target calls.
    pub(super) fn classify_arrival(
        &self,
        context: &mut Context<'_>,
        plan: &Plan,
        request: &CallRequest,
    ) -> Option<ArrivingRequest> {
        let routed = request.routed.as_ref()?;
        let now_us = context.now_us();
        let left_ms = request.deadline_left_ms.unwrap_or(plan.policy.deadline_ms);
        let routes = context.find::<Routes>(routes::NAME);
        let lowest_in_use = routes.and_then(|routes| routes.lowest_keyed_priority());
        let pressures = context.find::<Pressures>(pressure::NAME)?;
        if request.is_from_target {
            pressures.call_rates().record_call(now_us, &routed.route);
            return None;
        }
        Some(ArrivingRequest {
            priority: pressure::shed_priority(plan.priority, lowest_in_use),
            is_client_retry: pressures.detect_client_retry(&routed.route, left_ms),
        })
    }

    /// Returns the refusal of a new routed request that arrives late in a planned stop, or that is
    /// shed because of the pressure on the services below it.
    pub(super) fn find_early_refusal(
        &self,
        context: &mut Context<'_>,
        plan: &Plan,
        request: &CallRequest,
        arriving: Option<ArrivingRequest>,
    ) -> Option<Refusal> {
        let routed = request.routed.as_ref()?;
        let arriving = arriving?;
        let now_us = context.now_us();
        let left_ms = request.deadline_left_ms.unwrap_or(plan.policy.deadline_ms);
        let mut rng = context.fork_rng();
        let pressures = context.find::<Pressures>(pressure::NAME)?;
        let principal = routed.principal.as_ref();
        let organisation = principal.map(|principal| &principal.organisation);
        if self.is_stop_grace_over(now_us) {
            return Some(stopping_refusal());
        }
        if !pressures.should_shed(now_us, &routed.route, arriving, organisation, &mut rng) {
            return None;
        }
        Some(Refusal {
            reason: RefusalReason::Threshold,
            retry_after_ms: jittered_retry_after_ms(
                routed.terms.target_latency_ms,
                left_ms,
                &mut rng,
            ),
            is_other_target_worthwhile: false,
        })
    }
}

/// Returns a random retry-after time that leaves room for an answer within the target latency, the
/// time in which an answer is of full use. If little time is left or the target latency is short,
/// the minimum of `RETRY_AFTER_MIN_MS` applies, which may leave no such room.
///
/// The jitter keeps callers that were shed together from retrying together.
pub fn jittered_retry_after_ms(target_latency_ms: u32, left_ms: u32, rng: &mut impl RngExt) -> u32 {
    let share_ms = |percent: u32| target_latency_ms.saturating_mul(percent) / 100;
    let latest_ms = share_ms(RETRY_AFTER_MAX_PERCENT)
        .min(left_ms / RETRY_AFTER_LEFT_DIVISOR)
        .max(RETRY_AFTER_MIN_MS + 1);
    let earliest_ms = share_ms(RETRY_AFTER_MIN_PERCENT).clamp(RETRY_AFTER_MIN_MS, latest_ms - 1);
    rng.random_range(earliest_ms..latest_ms)
}
