//! Obtains tickets: for callers, and for the child calls of the target beside the daemon.

use super::attempt::choose_target;
use super::{Entry, PendingRequest, Purpose};
use crate::ids::{CallKey, RequestId, ServiceName};
use crate::kernel::{Context, LinkError};
use crate::peer::{PeerRequest, PeerResponse};
use crate::request::RunKey;
use crate::routing::{self, AttemptOutcome, Router};
use crate::run_once::{self, RunOnce, Ticket, TicketRequest};
use crate::sorted::SortedMap;
use crate::verdict::{RefusalReason, Verdict};

/// The maximum number of tickets kept for one service.
const STOCK_PER_SERVICE_MAX: usize = 64;

/// Tickets that this daemon obtained for child calls of the target beside it.
#[derive(Default)]
pub(super) struct TicketStock {
    tickets: SortedMap<ServiceName, Vec<Ticket>>,
}

impl TicketStock {
    fn pop(&mut self, service: &ServiceName) -> Option<Ticket> {
        self.tickets.get_mut(service)?.pop()
    }

    fn add(&mut self, service: &ServiceName, tickets: Vec<Ticket>) {
        let stock = self.tickets.get_or_insert_with(service.clone(), Vec::new);
        stock.extend(tickets);
        stock.truncate(STOCK_PER_SERVICE_MAX);
    }
}

/// The identifiers by which the repeats of a child call are recognized. Only a child call that has
/// a request identifier and that is made by a request which runs at most once has them.
#[derive(Clone, Copy, Debug)]
struct ChildCallId {
    parent: CallKey,
    request_id: RequestId,
}

impl super::EntryCall {
    /// Returns the identifiers of this call as a child call, if it has them.
    fn child_call_id(&self) -> Option<ChildCallId> {
        let parent = self
            .plan
            .parent
            .as_ref()
            .filter(|parent| parent.is_run_once)?;
        Some(ChildCallId {
            parent: parent.call_key,
            request_id: self.request.request?,
        })
    }
}

impl Entry {
    /// Obtains a ticket: for the caller to send the request with, or for a child call to use at
    /// once.
    pub(super) fn get_ticket(&mut self, context: &mut Context<'_>, key: CallKey) {
        let Some(call) = self.calls.get_mut(&key) else {
            return;
        };
        let is_child = call.plan.parent.is_some();
        if is_child
            && (self.use_child_ticket(context, key) || self.use_stocked_ticket(context, key))
        {
            return;
        }
        self.request_tickets(context, key);
    }

    /// Sends a repeat of a child call with the ticket of the earlier attempt, if there is one.
    fn use_child_ticket(&mut self, context: &mut Context<'_>, key: CallKey) -> bool {
        let Some(call) = self.calls.get_mut(&key) else {
            return false;
        };
        let run_once = context.find::<RunOnce>(run_once::NAME);
        let (Some(child), Some(run_once)) = (call.child_call_id(), run_once) else {
            return false;
        };
        let Some(ticket) = run_once.child_ticket(child.parent, child.request_id) else {
            return false;
        };
        call.run_key = RunKey::Ticket(ticket);
        call.is_own_ticket = false;
        self.choose_and_send(context, key);
        true
    }

    /// Drops the ticket of a child call that did not run, so that its next repeat gets a new one.
    pub(super) fn forget_child_ticket(&mut self, context: &mut Context<'_>, key: CallKey) {
        let Some(call) = self.calls.get(&key) else {
            return;
        };
        let run_once = context.find::<RunOnce>(run_once::NAME);
        let (Some(child), Some(run_once)) = (call.child_call_id(), run_once) else {
            return;
        };
        if let RunKey::Ticket(ticket) = call.run_key {
            run_once.drop_child_ticket(child.parent, child.request_id, ticket);
        }
    }

    /// Sends a child call with a ticket from the stock; returns false if the stock has no usable
    /// one.
    ///
    /// Tickets whose issuer the router no longer has are discarded on the way. If an earlier
    /// attempt of the same child call has a ticket, that is used instead. If the parent no longer
    /// runs or has too many child calls, the call is refused.
    fn use_stocked_ticket(&mut self, context: &mut Context<'_>, key: CallKey) -> bool {
        let Some(call) = self.calls.get_mut(&key) else {
            return false;
        };
        while let Some(ticket) = self.tickets.pop(&call.request.service) {
            let router = context.find::<Router>(routing::NAME);
            if router
                .and_then(|router| router.peer_address(ticket.issuer))
                .is_none()
            {
                continue;
            }
            let run_once = context.find::<RunOnce>(run_once::NAME);
            let kept = match (call.child_call_id(), run_once) {
                (Some(child), Some(run_once)) => {
                    run_once.keep_child_ticket(child.parent, child.request_id, ticket)
                }
                _ => Some(ticket),
            };
            let Some(kept) = kept else {
                let verdict = Verdict::not_run(RefusalReason::BadRequest, 0);
                self.finish(context, key, verdict);
                return true;
            };
            call.run_key = RunKey::Ticket(kept);
            call.is_own_ticket = kept == ticket;
            self.choose_and_send(context, key);
            return true;
        }
        false
    }

    fn request_tickets(&mut self, context: &mut Context<'_>, key: CallKey) {
        let Some(call) = self.calls.get(&key) else {
            return;
        };
        let choice = match choose_target(context, &call.target_query()) {
            Ok(choice) => choice,
            Err(refusal) => {
                self.finish(context, key, Verdict::NotRun(refusal));
                return;
            }
        };
        let sent_us = context.now_us();
        let left_us = call.plan.deadline_us.saturating_sub(sent_us);
        let service = call.request.service.clone();
        let request = TicketRequest {
            service,
            count: self.settings.tickets_per_block,
        };
        let peer_request = PeerRequest::Tickets(request);
        let outbound_key = self.send_peer_request(context, choice, peer_request, left_us);
        let pending = PendingRequest {
            outbound_key,
            member: choice.member,
            address: choice.address,
            sent_us,
            retries_granted: 0,
            purpose: Purpose::Tickets,
        };
        self.record_pending_request(context, key, pending);
    }

    pub(super) fn handle_tickets(
        &mut self,
        context: &mut Context<'_>,
        key: CallKey,
        pending: PendingRequest,
        result: Result<PeerResponse, LinkError>,
    ) {
        let now_us = context.now_us();
        let tickets = match result {
            Ok(PeerResponse::Tickets(block)) => block.tickets,
            _ => Vec::new(),
        };
        // A request for tickets runs nothing, so each way to get none counts as not sent.
        let outcome = if tickets.is_empty() {
            AttemptOutcome::NotSent
        } else {
            AttemptOutcome::Answered
        };
        if let Some(router) = context.find::<Router>(routing::NAME) {
            let latency_us = now_us.saturating_sub(pending.sent_us);
            router.record_outcome(now_us, pending.member, outcome, latency_us, None);
        }
        if tickets.is_empty() {
            self.request_tickets_from_another(context, key, pending);
            return;
        }
        let Some(call) = self.calls.get(&key) else {
            return;
        };
        if call.plan.parent.is_some() {
            let service = call.request.service.clone();
            self.tickets.add(&service, tickets);
            if !self.use_stocked_ticket(context, key) {
                self.request_tickets_from_another(context, key, pending);
            }
            return;
        }
        let verdict = Verdict::not_run(RefusalReason::TicketNeeded, 0);
        self.finish_with_tickets(context, key, verdict, tickets);
    }

    /// Requests tickets from another target.
    ///
    /// This spends a retry, although a request for tickets runs nothing.
    fn request_tickets_from_another(
        &mut self,
        context: &mut Context<'_>,
        key: CallKey,
        pending: PendingRequest,
    ) {
        let retry_after_ms = self.settings.retry_after_ms;
        let Some(call) = self.calls.get_mut(&key) else {
            return;
        };
        call.excluded_members.push(pending.member);
        if !call.allowance.spend() {
            let verdict = Verdict::not_run(RefusalReason::Unreachable, retry_after_ms);
            self.finish(context, key, verdict);
            return;
        }
        self.request_tickets(context, key);
    }
}
