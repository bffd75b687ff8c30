//! Handles the peer response to a pending request, or the failure of its link. A response of an
//! unexpected kind counts as a lost connection.

use std::net::SocketAddr;

use super::{Entry, PendingRequest, Purpose};
use crate::calls;
use crate::ids::{CallKey, MemberId, OutboundKey, RouteName};
use crate::kernel::{Context, LinkError};
use crate::metrics::{Counter, RetryReason};
use crate::peer::PeerResponse;
use crate::pressure::{self, Pressures};
use crate::request::{LoadReport, PeerReply};
use crate::routing::{self, AttemptOutcome, ChosenTarget, Router};
use crate::run_once::{self, ClaimHolder};
use crate::verdict::{DoubtReason, Refusal, RefusalReason, Verdict};

impl Entry {
    pub(super) fn handle_response(
        &mut self,
        context: &mut Context<'_>,
        outbound_key: OutboundKey,
        result: Result<PeerResponse, LinkError>,
    ) {
        let Some(key) = self.outbound.remove(&outbound_key) else {
            return;
        };
        let Some(call) = self.calls.get_mut(&key) else {
            return;
        };
        let Some(pending) = call.remove_pending_request(outbound_key) else {
            return;
        };
        if pending.purpose == Purpose::Tickets {
            self.handle_tickets(context, key, pending, result);
            return;
        }
        match result {
            Ok(PeerResponse::Call(reply)) => self.handle_reply(context, key, pending, *reply),
            Ok(_) => self.handle_link_failure(context, key, pending, LinkError::Lost),
            Err(error) => self.handle_link_failure(context, key, pending, error),
        }
    }

    fn handle_reply(
        &mut self,
        context: &mut Context<'_>,
        key: CallKey,
        pending: PendingRequest,
        reply: PeerReply,
    ) {
        fetch_config_if_newer(context, reply.config_version, pending.member);
        if let Some(condition) = &reply.condition {
            self.known_conditions
                .record(pending.address, pending.member, condition);
        }
        let mut verdict = reply.verdict;
        let mut outcome = AttemptOutcome::from_verdict(&verdict, reply.has_failed_child);
        if let Verdict::Ran(answer) = &verdict
            && !answer.is_intact()
        {
            outcome = AttemptOutcome::Lost;
            let retry_after_ms = self.settings.retry_after_ms;
            verdict = Verdict::may_have_run(DoubtReason::BrokenAnswer, retry_after_ms);
        }
        let now_us = context.now_us();
        if let Some(router) = context.find::<Router>(routing::NAME) {
            let latency_us = now_us.saturating_sub(pending.sent_us);
            router.record_outcome(
                now_us,
                pending.member,
                outcome,
                latency_us,
                Some(reply.load),
            );
            router.record_distance(pending.member, latency_us, reply.guard_us);
        }
        self.record_kind_time(context, key, pending.member, reply.load);
        if let Some(call) = self.calls.get_mut(&key) {
            call.allowance
                .refund(reply.retries_unspent.min(pending.retries_granted));
            record_pressure(context, call.route().as_ref(), reply.load);
        }
        if matches!(verdict, Verdict::NotRun(_)) {
            self.forget_child_ticket(context, key);
        }
        if let Some(holder) = reply.holder
            && self.send_to_holder(context, key, holder)
        {
            return;
        }
        self.handle_verdict(context, key, verdict, reply.has_failed_child);
    }

    /// Records the service time of the call's route that a reply reports.
    fn record_kind_time(
        &self,
        context: &mut Context<'_>,
        key: CallKey,
        member: MemberId,
        load: LoadReport,
    ) {
        let now_us = context.now_us();
        let Some(call) = self.calls.get(&key) else {
            return;
        };
        let kind = call.kind();
        if let Some(router) = context.find::<Router>(routing::NAME) {
            router.record_kind_time(now_us, member, kind, load.service_us);
        }
    }

    /// Sends the request to the daemon that holds its claim, which replies with the verdict.
    ///
    /// This spends no retry and is not counted in the budget of the service. Returns false if the
    /// holder's address is missing or the request was sent there before.
    fn send_to_holder(
        &mut self,
        context: &mut Context<'_>,
        key: CallKey,
        holder: ClaimHolder,
    ) -> bool {
        let Some(address) = holder.address else {
            return false;
        };
        let Some(call) = self.calls.get_mut(&key) else {
            return false;
        };
        if call.excluded_members.contains(&holder.member) {
            return false;
        }
        context.count(Counter::retry(RetryReason::KeptAnswer));
        self.send(
            context,
            key,
            ChosenTarget {
                member: holder.member,
                address,
            },
        );
        true
    }

    fn handle_link_failure(
        &mut self,
        context: &mut Context<'_>,
        key: CallKey,
        pending: PendingRequest,
        error: LinkError,
    ) {
        let now_us = context.now_us();
        let outcome = match error {
            LinkError::NotSent | LinkError::Lost => AttemptOutcome::Unreachable,
            LinkError::TimedOut => AttemptOutcome::Lost,
        };
        if let Some(router) = context.find::<Router>(routing::NAME) {
            let latency_us = now_us.saturating_sub(pending.sent_us);
            router.record_outcome(now_us, pending.member, outcome, latency_us, None);
        }
        if outcome == AttemptOutcome::Unreachable {
            context.queue_event(routing::NAME, routing::START_PROBES);
        }
        let retry_after_ms = self.settings.retry_after_ms;
        let Some(call) = self.calls.get_mut(&key) else {
            return;
        };
        let verdict = match error {
            LinkError::NotSent => {
                call.allowance.refund(pending.retries_granted);
                call.unreachable_verdict(retry_after_ms)
            }
            LinkError::Lost | LinkError::TimedOut => {
                Verdict::may_have_run(DoubtReason::ConnectionLost, retry_after_ms)
            }
        };
        self.handle_verdict(context, key, verdict, false);
    }
}

impl super::EntryCall {
    /// Returns the verdict of an attempt of which nothing was sent.
    fn unreachable_verdict(&self, retry_after_ms: u32) -> Verdict {
        let reason = RefusalReason::Unreachable;
        let refusal = Refusal {
            reason,
            retry_after_ms,
            is_other_target_worthwhile: true,
        };
        if self.is_own_ticket {
            return Verdict::NotRun(refusal);
        }
        run_once::non_holder_verdict(&self.run_key, refusal)
    }
}

fn record_pressure(context: &mut Context<'_>, route: Option<&RouteName>, load: LoadReport) {
    let now_us = context.now_us();
    let (Some(route), Some(pressures)) = (route, context.find::<Pressures>(pressure::NAME)) else {
        return;
    };
    let reported = f64::from(load.pressure_permille) / 1_000.0;
    pressures.record_report(now_us, route, reported);
}

fn fetch_config_if_newer(context: &mut Context<'_>, version: u64, member: MemberId) {
    let router = context.find::<Router>(routing::NAME);
    let address: Option<SocketAddr> = router.and_then(|router| router.peer_address(member));
    let Some(address) = address else { return };
    calls::fetch_config_if_newer(context, version, address);
}
