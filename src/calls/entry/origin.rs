//! Whether a request comes from the target beside the daemon, and whether it counts as a repeat then.

use rand::RngExt;

use crate::calls::guard::{self, Guard};
use crate::kernel::Context;
use crate::request::CallRequest;
use crate::retry::{self, ServiceBudgets};

/// Returns whether a routed request may be a child call of the target beside this daemon.
///
/// A child call has no more time left than the request that the target works on. A request with
/// more time left than each running request is therefore taken for a new request of a caller; any
/// other may be a child call, except one that carries a key: only callers have keys.
pub(super) fn may_come_from_target(context: &mut Context<'_>, request: &CallRequest) -> bool {
    let now_us = context.now_us();
    let principal = request
        .routed
        .as_ref()
        .and_then(|routed| routed.principal.as_ref());
    if principal.is_some() {
        return false;
    }
    let Some(left_ms) = request.deadline_left_ms else {
        return false;
    };
    let guard = context.find::<Guard>(guard::NAME);
    guard.is_some_and(|guard| guard.may_have_called(now_us, left_ms))
}

/// Decides at random whether a child call counts as made by a repeat; if so, records it as a repeat
/// in the budget of the called service. Returns whether it counts so.
///
/// Routed child calls name no parent, so the probability is the share of repeats among the requests
/// that run.
pub(super) fn attribute_to_repeat(context: &mut Context<'_>, request: &CallRequest) -> bool {
    if !request.is_from_target {
        return false;
    }
    let guard = context.find::<Guard>(guard::NAME);
    let share = guard.map_or(0.0, |guard| guard.repeat_share());
    if share == 0.0 || !context.fork_rng().random_bool(share) {
        return false;
    }
    let now_us = context.now_us();
    if let Some(budgets) = context.find::<ServiceBudgets>(retry::SERVICE_BUDGETS_NAME) {
        budgets.record_repeat(now_us, &request.service);
    }
    true
}
