//! One try of a call at one target.

use super::{Entry, Purpose, TimerKind, Try};
use crate::calls;
use crate::decision::{DecisionInputs, Step};
use crate::ids::{CallKey, MemberId, OutboundKey, RouteName, ServiceName, TraceId};
use crate::kernel::Context;
use crate::metrics::{Counter, RetryReason};
use crate::peer::PeerRequest;
use crate::request::{PeerCall, Rank, RunKey};
use crate::routing::{self, Choice, Router, Want};
use crate::verdict::{DoubtReason, Refusal, RefusalReason, Verdict};

impl Entry {
    /// Sends the request to a target: the issuer of its ticket, or one that the router chooses.
    pub(super) fn attempt(&mut self, context: &mut Context<'_>, key: CallKey) {
        match self.choose(context, key) {
            Ok(choice) => self.send(context, key, choice),
            Err(verdict) => self.finish(context, key, verdict),
        }
    }

    pub(super) fn choose(
        &mut self,
        context: &mut Context<'_>,
        key: CallKey,
    ) -> Result<Choice, Verdict> {
        let retry_after_ms = self.settings.retry_after_ms;
        let missing = Verdict::not_run(RefusalReason::NoTarget, retry_after_ms);
        let Some(call) = self.calls.get(&key) else {
            return Err(missing);
        };
        if let RunKey::Ticket(ticket) = call.run_key {
            let router = context.find::<Router>(routing::NAME);
            let address = router.and_then(|router| router.address(ticket.issuer));
            let Some(address) = address else {
                return Err(Verdict::may_have_run(
                    DoubtReason::IssuerGone,
                    retry_after_ms,
                ));
            };
            return Ok(Choice {
                member: ticket.issuer,
                address,
            });
        }
        let rank = call.rank();
        choose_target(context, &call.request.service, rank, &call.tried).map_err(Verdict::NotRun)
    }

    pub(super) fn send(&mut self, context: &mut Context<'_>, key: CallKey, choice: Choice) {
        let config_version = calls::config_version(context);
        let now_us = context.now_us();
        let Some(call) = self.calls.get_mut(&key) else {
            return;
        };
        let left_us = call.plan.deadline_us.saturating_sub(now_us);
        let retries_lent = call.lend_retries();
        let peer_call = PeerCall {
            from: self.own_id,
            service: call.request.service.clone(),
            request: call.plan.request,
            root: call.plan.root,
            depth: call.plan.depth,
            priority: call.plan.priority,
            deadline_left_ms: u32::try_from(left_us / 1_000).unwrap_or(u32::MAX),
            retries: retries_lent,
            is_idempotent: call.plan.policy.is_idempotent,
            run_key: call.run_key.clone(),
            config_version,
            trace_id: call.trace_id(),
            route: call.route(),
            is_repeat: call.is_repeat,
            http: call.request.http.clone(),
        };
        call.was_sent = true;
        call.tried.push(choice.member);
        let facts = DecisionInputs {
            member: Some(choice.member),
            ..call.facts(context)
        };
        call.tell(context, Step::Placed, "sent", true, facts);
        let question = PeerRequest::Call(Box::new(peer_call));
        let ask = self.ask(context, choice, question, left_us);
        let one = Try {
            ask,
            member: choice.member,
            sent_us: now_us,
            retries_lent,
            purpose: Purpose::Call,
        };
        self.note_try(context, key, one);
    }

    /// Asks a peer, or this node itself without a link.
    pub(super) fn ask(
        &self,
        context: &mut Context<'_>,
        choice: Choice,
        question: PeerRequest,
        timeout_us: u64,
    ) -> OutboundKey {
        if choice.member == self.own_id {
            return context.send_request_to_self(question);
        }
        context.send_request(choice.address, question, timeout_us)
    }

    pub(super) fn note_try(&mut self, context: &mut Context<'_>, key: CallKey, one: Try) {
        let Some(call) = self.calls.get_mut(&key) else {
            return;
        };
        call.tries.push(one);
        self.asks.insert(one.ask, key);
        if let Some(router) = context.find::<Router>(routing::NAME) {
            router.sent(one.sent_us, one.member);
        }
    }

    pub(super) fn set_hedge_timer(&mut self, context: &mut Context<'_>, key: CallKey) {
        let Some(call) = self.calls.get(&key) else {
            return;
        };
        let hedge_after_ms = call.plan.policy.hedge_after_ms;
        if hedge_after_ms == 0 || !call.may_run_again() || !call.plan.policy.is_idempotent {
            return;
        }
        context.set_timer(u64::from(hedge_after_ms) * 1_000, TimerKind::Hedge.tag(key));
    }

    /// Sends a second try while the first is slow; the first verdict that ran is the reply.
    pub(super) fn hedge(&mut self, context: &mut Context<'_>, key: CallKey) {
        let Some(call) = self.calls.get_mut(&key) else {
            return;
        };
        if call.tries.len() != 1 || call.allowance.left() == 0 {
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
    /// Lends half of the retries to what runs below; calls of routed requests name no parent, so
    /// none could be spent there.
    fn lend_retries(&mut self) -> u32 {
        if self.request.routed.is_some() {
            return 0;
        }
        self.allowance.hand_down(self.allowance.left().div_ceil(2))
    }

    fn rank(&self) -> Rank {
        match self.request.routed {
            Some(_) => Rank::of_priority(self.plan.priority),
            None => Rank::new(self.plan.priority, self.plan.root),
        }
    }

    pub(super) fn route(&self) -> Option<RouteName> {
        let routed = self.request.routed.as_ref()?;
        Some(routed.route.clone())
    }

    pub(super) fn trace_id(&self) -> Option<TraceId> {
        let routed = self.request.routed.as_ref()?;
        Some(routed.trace_id.clone())
    }
}

pub(super) fn choose_target(
    context: &mut Context<'_>,
    service: &ServiceName,
    rank: Rank,
    excluded: &[MemberId],
) -> Result<Choice, Refusal> {
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
    router.choose(
        now_us,
        &mut rng,
        &Want {
            service,
            rank,
            excluded,
        },
    )
}
