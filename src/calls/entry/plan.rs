//! Determines the policy of a call, its position in the call graph and its retry allowance.

use rand::Rng;

use super::EntrySettings;
use crate::calls::guard::{self, Guard, Parent};
use crate::config::{self, Config, Policy};
use crate::ids::{Priority, RequestId, RootId, ServiceName};
use crate::kernel::{Context, Kernel};
use crate::request::{CallRequest, RunKey};
use crate::retry::{self, Allowance, CallerBudgets, ServiceBudgets};
use crate::run_once;
use crate::verdict::Refusal;

/// Methods that are idempotent if no service record matches; sorted for binary search.
const IDEMPOTENT_METHODS: [&str; 5] = ["DELETE", "GET", "HEAD", "OPTIONS", "PUT"];

/// The policy of a call and its position in the call graph.
#[derive(Clone, Debug)]
pub(super) struct Plan {
    pub(super) request_id: RequestId,
    /// An identifier that is the same in every repeat of the request; `None` if the request has
    /// none.
    pub(super) stable_id: Option<RequestId>,
    pub(super) root: RootId,
    pub(super) depth: u8,
    pub(super) priority: Priority,
    pub(super) deadline_us: u64,
    pub(super) policy: Policy,
    pub(super) parent: Option<Parent>,
}

impl Plan {
    /// Creates the plan of a request from its policy and its running parent.
    pub(super) fn new(
        context: &mut Context<'_>,
        settings: &EntrySettings,
        request: &CallRequest,
    ) -> Self {
        let policy = match &request.routed {
            Some(routed) => routed.terms.policy(),
            None => find_policy(context, settings, request),
        };
        let parent = find_parent(context, request);
        let stable_id = request
            .request
            .or_else(|| run_once::request_id_with_content(&request.run_key, &request.http));
        let id = stable_id.unwrap_or_else(|| RequestId(context.rng().next_u64()));
        let mut left_ms = request.deadline_left_ms.unwrap_or(policy.deadline_ms);
        if request.routed.is_some() {
            left_ms = left_ms.min(policy.deadline_ms);
        }
        let own_deadline_us = context.now_us() + u64::from(left_ms) * 1_000;
        match parent {
            None => Self {
                request_id: id,
                stable_id,
                root: RootId(id.0),
                depth: 0,
                priority: find_priority(&policy, request),
                deadline_us: own_deadline_us,
                policy,
                parent: None,
            },
            Some(parent) => Self {
                request_id: id,
                stable_id,
                root: parent.root,
                depth: parent.depth.saturating_add(1),
                priority: parent.priority,
                deadline_us: own_deadline_us.min(parent.deadline_us),
                policy,
                parent: Some(parent),
            },
        }
    }

    /// Returns the retries that the call may spend.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a repeat that the caller's retry budget does not cover. A repeat with
    /// a run key is never refused: it runs nothing twice and a kept answer is cheap.
    pub(super) fn open_allowance(
        &self,
        context: &mut Context<'_>,
        request: &CallRequest,
    ) -> Result<Allowance, Refusal> {
        if request.routed.is_some() {
            return Ok(open_routed_allowance(
                context,
                &self.policy,
                &request.service,
            ));
        }
        if let Some(parent) = &self.parent {
            let guard = context.find::<Guard>(guard::NAME);
            let granted = guard.map_or(0, |guard| guard.grant_retries(parent.request_id));
            return Ok(Allowance::new(granted));
        }
        if request.is_from_target || request.parent.is_some() {
            return Ok(Allowance::new(0));
        }
        let now_us = context.now_us();
        let Some(budgets) = context.find::<CallerBudgets>(retry::CALLER_BUDGETS_NAME) else {
            return Ok(Allowance::new(0));
        };
        let opened = budgets.open_root(
            now_us,
            &request.caller,
            self.stable_id,
            self.policy.retries,
            request.retries_left,
            request.is_repeat,
        );
        let is_keyed = request.run_key != RunKey::None;
        if opened.is_err() && is_keyed {
            return Ok(Allowance::new(0));
        }
        opened
    }
}

/// Returns the priority; a routed child call of running work gets the highest, which it shares only
/// with new requests of routes of the highest importance.
fn find_priority(policy: &Policy, request: &CallRequest) -> Priority {
    if request.routed.is_some() && request.is_from_target {
        return Priority::Critical;
    }
    policy.priority
}

/// Returns the allowance of a routed request and counts the request in the service's budget.
///
/// The route bounds the attempts of one request; the service's budget bounds the repeats of all
/// requests to the service.
fn open_routed_allowance(
    context: &mut Context<'_>,
    policy: &Policy,
    service: &ServiceName,
) -> Allowance {
    let now_us = context.now_us();
    if let Some(budgets) = context.find::<ServiceBudgets>(retry::SERVICE_BUDGETS_NAME) {
        budgets.record_request(now_us, service);
    }
    Allowance::new(policy.retries)
}

fn find_policy(
    context: &mut Context<'_>,
    settings: &EntrySettings,
    request: &CallRequest,
) -> Policy {
    let (method, path) = (request.http.method.as_str(), request.http.path.as_str());
    let config = context.find::<Config>(config::NAME);
    if let Some(policy) = config.and_then(|config| config.policy(&request.service, method, path)) {
        return policy;
    }
    Policy {
        priority: Priority::Normal,
        is_idempotent: is_idempotent_method(method),
        retries: settings.retries,
        deadline_ms: settings.deadline_ms,
        hedge_after_ms: 0,
    }
}

/// Returns whether a request may run more than once, by its route, its service record or its method.
pub fn is_idempotent(kernel: &mut Kernel, request: &CallRequest) -> bool {
    if let Some(routed) = &request.routed {
        return routed.terms.policy().is_idempotent;
    }
    let (method, path) = (request.http.method.as_str(), request.http.path.as_str());
    let config = kernel.find::<Config>(config::NAME);
    match config.and_then(|config| config.policy(&request.service, method, path)) {
        Some(policy) => policy.is_idempotent,
        None => is_idempotent_method(method),
    }
}

fn is_idempotent_method(method: &str) -> bool {
    IDEMPOTENT_METHODS.binary_search(&method).is_ok()
}

fn find_parent(context: &mut Context<'_>, request: &CallRequest) -> Option<Parent> {
    let parent = request.parent?;
    if !request.is_from_target {
        return None;
    }
    context.find::<Guard>(guard::NAME)?.parent(parent)
}
