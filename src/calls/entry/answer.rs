//! The answer to a try, or the failure of its link.

use std::net::SocketAddr;

use super::{Entry, Purpose, Try};
use crate::calls;
use crate::ids::{CallKey, MemberId, OutboundKey, RouteName};
use crate::kernel::{Context, LinkError};
use crate::metrics::{Counter, RetryReason};
use crate::peer::PeerResponse;
use crate::pressure::{self, Pressures};
use crate::request::{LoadReport, PeerReply};
use crate::routing::{self, Choice, Router, TryOutcome};
use crate::run_once::{self, ClaimHolder};
use crate::verdict::{DoubtReason, Refusal, RefusalReason, Verdict};

impl Entry {
    pub(super) fn hear_answer(
        &mut self,
        context: &mut Context<'_>,
        ask: OutboundKey,
        result: Result<PeerResponse, LinkError>,
    ) {
        let Some(key) = self.asks.remove(&ask) else {
            return;
        };
        let Some(call) = self.calls.get_mut(&key) else {
            return;
        };
        let Some(one) = call.take_try(ask) else {
            return;
        };
        if one.purpose == Purpose::Tickets {
            self.hear_tickets(context, key, one, result);
            return;
        }
        match result {
            Ok(PeerResponse::Call(reply)) => self.hear_reply(context, key, one, *reply),
            Ok(_) => self.hear_failure(context, key, one, LinkError::Lost),
            Err(error) => self.hear_failure(context, key, one, error),
        }
    }

    fn hear_reply(&mut self, context: &mut Context<'_>, key: CallKey, one: Try, reply: PeerReply) {
        note_config_version(context, reply.config_version, one.member);
        let mut verdict = reply.verdict;
        let mut outcome = TryOutcome::of(&verdict, reply.has_failed_child);
        if let Verdict::Ran(answer) = &verdict
            && !answer.is_intact()
        {
            outcome = TryOutcome::Lost;
            let retry_after_ms = self.settings.retry_after_ms;
            verdict = Verdict::may_have_run(DoubtReason::BrokenAnswer, retry_after_ms);
        }
        let now_us = context.now_us();
        if let Some(router) = context.find::<Router>(routing::NAME) {
            let latency_us = now_us.saturating_sub(one.sent_us);
            router.ended(now_us, one.member, outcome, latency_us, Some(reply.load));
        }
        if let Some(call) = self.calls.get_mut(&key) {
            call.allowance
                .give_back(reply.retries_unspent.min(one.retries_lent));
            hear_pressure(context, call.route().as_ref(), reply.load);
        }
        if matches!(verdict, Verdict::NotRun(_)) {
            self.drop_kept(context, key);
        }
        if let Some(holder) = reply.holder
            && self.ask_holder(context, key, holder)
        {
            return;
        }
        self.decide(context, key, verdict, reply.has_failed_child);
    }

    /// Asks the daemon that holds the claim for the verdict, once; it is no further try.
    fn ask_holder(&mut self, context: &mut Context<'_>, key: CallKey, holder: ClaimHolder) -> bool {
        let Some(address) = holder.address else {
            return false;
        };
        let Some(call) = self.calls.get_mut(&key) else {
            return false;
        };
        if call.tried.contains(&holder.member) {
            return false;
        }
        context.count(Counter::retry(RetryReason::KeptAnswer));
        self.send(
            context,
            key,
            Choice {
                member: holder.member,
                address,
            },
        );
        true
    }

    fn hear_failure(
        &mut self,
        context: &mut Context<'_>,
        key: CallKey,
        one: Try,
        error: LinkError,
    ) {
        let now_us = context.now_us();
        let outcome = match error {
            LinkError::NotSent | LinkError::Lost => TryOutcome::Unreachable,
            LinkError::TimedOut => TryOutcome::Lost,
        };
        if let Some(router) = context.find::<Router>(routing::NAME) {
            let latency_us = now_us.saturating_sub(one.sent_us);
            router.ended(now_us, one.member, outcome, latency_us, None);
        }
        if outcome == TryOutcome::Unreachable {
            context.send(routing::NAME, routing::PROBE_DUE);
        }
        let retry_after_ms = self.settings.retry_after_ms;
        let Some(call) = self.calls.get_mut(&key) else {
            return;
        };
        let verdict = match error {
            LinkError::NotSent => {
                call.allowance.give_back(one.retries_lent);
                call.unreached(retry_after_ms)
            }
            LinkError::Lost | LinkError::TimedOut => {
                Verdict::may_have_run(DoubtReason::ConnectionLost, retry_after_ms)
            }
        };
        self.decide(context, key, verdict, false);
    }
}

impl super::EntryCall {
    /// The verdict of a try of which nothing was sent.
    fn unreached(&self, retry_after_ms: u32) -> Verdict {
        let reason = RefusalReason::Unreachable;
        let refusal = Refusal {
            reason,
            retry_after_ms,
            is_other_target_worthwhile: true,
        };
        if self.is_own_ticket {
            return Verdict::NotRun(refusal);
        }
        run_once::unheld_refusal(&self.run_key, refusal)
    }
}

fn hear_pressure(context: &mut Context<'_>, route: Option<&RouteName>, load: LoadReport) {
    let now_us = context.now_us();
    let (Some(route), Some(pressures)) = (route, context.find::<Pressures>(pressure::NAME)) else {
        return;
    };
    let level = f64::from(load.pressure_permille) / 1_000.0;
    pressures.hear(now_us, route, level);
}

fn note_config_version(context: &mut Context<'_>, version: u64, member: MemberId) {
    let router = context.find::<Router>(routing::NAME);
    let address: Option<SocketAddr> = router.and_then(|router| router.address(member));
    let Some(address) = address else { return };
    calls::note_config_version(context, version, address);
}
