//! Sends attempts of a call: the choice of the target, the peer request and hedging.

use super::stopping::stopping_refusal;
use super::{Entry, PendingRequest, Purpose, TimerKind};
use crate::calls;
use crate::decision::{DecisionInputs, Step};
use crate::ids::{CallKey, OrganisationName, OutboundKey, RouteName, TraceId, WorkKind};
use crate::kernel::Context;
use crate::metrics::{Counter, RetryReason};
use crate::organisations::Principal;
use crate::peer::PeerRequest;
use crate::quarantine::{self, Quarantine, RequestContent, Standing};
use crate::request::{PeerCall, Rank, RunKey};
use crate::retry::{self, ServiceBudgets};
use crate::routing::{self, ChosenTarget, Router, TargetQuery};
use crate::verdict::{DoubtReason, Refusal, RefusalReason, Verdict};

impl Entry {
    /// Sends the request to the issuer of its ticket, or to a target that the router chooses.
    pub(super) fn choose_and_send(&mut self, context: &mut Context<'_>, key: CallKey) {
        match self.choose(context, key) {
            Ok(choice) => self.send(context, key, choice),
            Err(verdict) => self.finish(context, key, verdict),
        }
    }

    pub(super) fn choose(
        &mut self,
        context: &mut Context<'_>,
        key: CallKey,
    ) -> Result<ChosenTarget, Verdict> {
        let retry_after_ms = self.settings.retry_after_ms;
        let missing = Verdict::not_run(RefusalReason::NoTarget, retry_after_ms);
        let Some(call) = self.calls.get(&key) else {
            return Err(missing);
        };
        if let RunKey::Ticket(ticket) = call.run_key {
            let router = context.find::<Router>(routing::NAME);
            let address = router.and_then(|router| router.peer_address(ticket.issuer));
            let Some(address) = address else {
                return Err(Verdict::may_have_run(
                    DoubtReason::IssuerGone,
                    retry_after_ms,
                ));
            };
            return Ok(ChosenTarget {
                member: ticket.issuer,
                address,
            });
        }
        if let Some(refusal) = call.find_quarantine_refusal(context) {
            return Err(Verdict::NotRun(refusal));
        }
        if self.ends_before_answer(context.now_us(), call) {
            return Err(Verdict::NotRun(stopping_refusal()));
        }
        choose_target(context, &call.target_query()).map_err(Verdict::NotRun)
    }

    pub(super) fn send(&mut self, context: &mut Context<'_>, key: CallKey, choice: ChosenTarget) {
        let config_version = calls::config_version(context);
        let now_us = context.now_us();
        let Some(call) = self.calls.get_mut(&key) else {
            return;
        };
        let left_us = call.plan.deadline_us.saturating_sub(now_us);
        let retries_granted = call.grant_retries();
        let known_condition = self.known_conditions.get(choice.address).cloned();
        let peer_call = PeerCall {
            from: self.own_id,
            service: call.request.service.clone(),
            caller: call.request.caller.clone(),
            request: call.plan.request_id,
            root: call.plan.root,
            depth: call.plan.depth,
            priority: call.plan.priority,
            deadline_left_ms: u32::try_from(left_us / 1_000).unwrap_or(u32::MAX),
            retries: retries_granted,
            is_idempotent: call.plan.policy.is_idempotent,
            run_key: call.run_key.clone(),
            config_version,
            trace_id: call.trace_id(),
            route: call.route(),
            is_repeat: call.counts_as_repeat,
            shed_basis: call.shed_basis(context),
            principal: call.principal().cloned(),
            known_condition,
            http: call.request.http.clone(),
        };
        call.record_first_attempt(context);
        call.was_sent = true;
        call.excluded_members.push(choice.member);
        let inputs = DecisionInputs {
            member: Some(choice.member),
            ..call.decision_inputs(context)
        };
        call.log_decision(context, Step::Placed, "sent", true, inputs);
        count_other_zone(context, choice);
        let peer_request = PeerRequest::Call(Box::new(peer_call));
        let outbound_key = self.send_peer_request(context, choice, peer_request, left_us);
        let pending = PendingRequest {
            outbound_key,
            member: choice.member,
            address: choice.address,
            sent_us: now_us,
            retries_granted,
            purpose: Purpose::Call,
        };
        self.record_pending_request(context, key, pending);
    }

    /// Sends a request to a peer, or delivers it to this daemon itself without a link.
    pub(super) fn send_peer_request(
        &self,
        context: &mut Context<'_>,
        choice: ChosenTarget,
        peer_request: PeerRequest,
        timeout_us: u64,
    ) -> OutboundKey {
        if choice.member == self.own_id {
            return context.send_request_to_self(peer_request);
        }
        context.send_request(choice.address, peer_request, timeout_us)
    }

    pub(super) fn record_pending_request(
        &mut self,
        context: &mut Context<'_>,
        key: CallKey,
        pending: PendingRequest,
    ) {
        let Some(call) = self.calls.get_mut(&key) else {
            return;
        };
        call.pending_requests.push(pending);
        self.outbound.insert(pending.outbound_key, key);
        if let Some(router) = context.find::<Router>(routing::NAME) {
            router.record_sent(pending.sent_us, pending.member);
        }
    }

    pub(super) fn set_hedge_timer(&mut self, context: &mut Context<'_>, key: CallKey) {
        let Some(call) = self.calls.get(&key) else {
            return;
        };
        let hedge_after_ms = call.plan.policy.hedge_after_ms;
        if hedge_after_ms == 0 || !call.is_unkeyed() || !call.plan.policy.is_idempotent {
            return;
        }
        context.set_timer(u64::from(hedge_after_ms) * 1_000, TimerKind::Hedge.tag(key));
    }

    /// Sends a further attempt if exactly one is pending, which is then slow; the first `Ran`
    /// verdict is the reply.
    ///
    /// A hedge spends a retry of the call, but is not counted in the budget of the service.
    pub(super) fn hedge(&mut self, context: &mut Context<'_>, key: CallKey) {
        let Some(call) = self.calls.get_mut(&key) else {
            return;
        };
        if call.pending_requests.len() != 1 || call.allowance.left() == 0 {
            return;
        }
        if call.standing(context) != Standing::Clear {
            return;
        }
        let Ok(choice) = self.choose(context, key) else {
            return;
        };
        let Some(call) = self.calls.get_mut(&key) else {
            return;
        };
        if !call.allowance.spend() {
            return;
        }
        context.count(Counter::retry(RetryReason::Hedge));
        self.send(context, key, choice);
    }
}

impl super::EntryCall {
    /// Grants half of the remaining retries, rounded up, to the calls below this one.
    ///
    /// Routed requests get none: their child calls name no parent, so could not spend them.
    fn grant_retries(&mut self) -> u32 {
        if self.request.routed.is_some() {
            return 0;
        }
        self.allowance.grant(self.allowance.left().div_ceil(2))
    }

    /// Counts a direct request in the budget of its service when its first attempt is sent.
    fn record_first_attempt(&self, context: &mut Context<'_>) {
        if self.was_sent || self.arriving.is_none() {
            return;
        }
        let now_us = context.now_us();
        if let Some(budgets) = context.find::<ServiceBudgets>(retry::SERVICE_BUDGETS_NAME) {
            budgets.record_direct_sent(now_us, &self.request.service);
        }
    }

    /// Returns how the request is judged by the reports of ended targets.
    fn standing(&self, context: &mut Context<'_>) -> Standing {
        let now_us = context.now_us();
        let content = RequestContent::of_call(&self.request);
        let quarantine = context.find::<Quarantine>(quarantine::NAME);
        quarantine.map_or(Standing::Clear, |quarantine| {
            quarantine.standing(now_us, &content)
        })
    }

    /// Returns the refusal of a request that ended its targets. One with a run key is refused by the
    /// daemon that holds the key only, which may still have its answer.
    fn find_quarantine_refusal(&self, context: &mut Context<'_>) -> Option<Refusal> {
        if !self.is_unkeyed() {
            return None;
        }
        quarantine::refusal(self.standing(context))
    }

    fn rank(&self) -> Rank {
        match self.request.routed {
            Some(_) => Rank::of_priority(self.plan.priority),
            None => Rank::new(self.plan.priority, self.plan.root),
        }
    }

    /// Returns the parameters of the choice of the next target.
    pub(super) fn target_query(&self) -> TargetQuery<'_> {
        TargetQuery {
            service: &self.request.service,
            rank: self.rank(),
            kind: self.kind(),
            excluded: &self.excluded_members,
        }
    }

    /// Returns the kind of work, by the route.
    pub(super) fn kind(&self) -> WorkKind {
        WorkKind::of_route(self.route().as_ref())
    }

    pub(super) fn route(&self) -> Option<RouteName> {
        let routed = self.request.routed.as_ref()?;
        Some(routed.route.clone())
    }

    /// Returns who sent the request, if it carries a key of an organisation.
    pub(super) fn principal(&self) -> Option<&Principal> {
        self.request.routed.as_ref()?.principal.as_ref()
    }

    /// Returns the organisation that sent the request, if it carries a key.
    pub(super) fn organisation(&self) -> Option<&OrganisationName> {
        self.principal().map(|principal| &principal.organisation)
    }

    pub(super) fn trace_id(&self) -> Option<TraceId> {
        let routed = self.request.routed.as_ref()?;
        Some(routed.trace_id.clone())
    }
}

/// Counts a request that is sent to another availability zone.
fn count_other_zone(context: &mut Context<'_>, choice: ChosenTarget) {
    let router = context.find::<Router>(routing::NAME);
    if router.is_some_and(|router| router.is_in_other_zone(choice.member)) {
        context.count(Counter::unlabelled("other_zone_requests"));
    }
}

pub(super) fn choose_target(
    context: &mut Context<'_>,
    query: &TargetQuery<'_>,
) -> Result<ChosenTarget, Refusal> {
    let now_us = context.now_us();
    let mut rng = context.fork_rng();
    let missing = Refusal {
        reason: RefusalReason::NoTarget,
        retry_after_ms: 0,
        is_other_target_worthwhile: false,
    };
    let Some(router) = context.find::<Router>(routing::NAME) else {
        return Err(missing);
    };
    router.choose(now_us, &mut rng, query)
}
