//! Tickets: handed to callers, and taken for the calls of a request that runs once.

use super::attempt::choose_target;
use super::{Entry, Purpose, Try};
use crate::ids::{CallKey, RequestId, ServiceName};
use crate::kernel::{Context, LinkError};
use crate::peer::{PeerRequest, PeerResponse};
use crate::request::{Rank, RunKey};
use crate::routing::{self, Router, TryOutcome};
use crate::run_once::{self, RunOnce, Ticket, TicketRequest};
use crate::sorted::SortedMap;
use crate::verdict::{RefusalReason, Verdict};

/// The greatest number of tickets kept for one service.
const STOCK_MAX: usize = 64;

/// Tickets that this daemon took for the calls of the target beside it.
#[derive(Default)]
pub(super) struct TicketStock {
    tickets: SortedMap<ServiceName, Vec<Ticket>>,
}

impl TicketStock {
    fn take(&mut self, service: &ServiceName) -> Option<Ticket> {
        self.tickets.get_mut(service)?.pop()
    }

    fn put(&mut self, service: &ServiceName, tickets: Vec<Ticket>) {
        let stock = self.tickets.get_or_insert_with(service.clone(), Vec::new);
        stock.extend(tickets);
        stock.truncate(STOCK_MAX);
    }
}

/// A named call of a request that runs at most once.
#[derive(Clone, Copy, Debug)]
struct Child {
    parent: CallKey,
    request: RequestId,
}

impl super::EntryCall {
    /// Returns the names by which a repeat of this child call is recognized.
    fn child(&self) -> Option<Child> {
        let parent = self
            .plan
            .parent
            .as_ref()
            .filter(|parent| parent.is_run_once)?;
        Some(Child {
            parent: parent.call,
            request: self.request.request?,
        })
    }
}

impl Entry {
    /// Gets a ticket: for the caller to send again with, or for a child call to use at once.
    pub(super) fn get_ticket(&mut self, context: &mut Context<'_>, key: CallKey) {
        let Some(call) = self.calls.get_mut(&key) else {
            return;
        };
        let is_child = call.plan.parent.is_some();
        if is_child && (self.use_kept(context, key) || self.use_stock(context, key)) {
            return;
        }
        self.ask_for_tickets(context, key);
    }

    /// Uses the ticket of an earlier copy of the same child call.
    fn use_kept(&mut self, context: &mut Context<'_>, key: CallKey) -> bool {
        let Some(call) = self.calls.get_mut(&key) else {
            return false;
        };
        let run_once = context.find::<RunOnce>(run_once::NAME);
        let (Some(child), Some(run_once)) = (call.child(), run_once) else {
            return false;
        };
        let Some(ticket) = run_once.child_ticket(child.parent, child.request) else {
            return false;
        };
        call.run_key = RunKey::Ticket(ticket);
        call.is_own_ticket = false;
        self.attempt(context, key);
        true
    }

    /// Forgets the ticket of a child call that did not run: its next copy gets a new one.
    pub(super) fn drop_kept(&mut self, context: &mut Context<'_>, key: CallKey) {
        let Some(call) = self.calls.get(&key) else {
            return;
        };
        let run_once = context.find::<RunOnce>(run_once::NAME);
        let (Some(child), Some(run_once)) = (call.child(), run_once) else {
            return;
        };
        if let RunKey::Ticket(ticket) = call.run_key {
            run_once.drop_child_ticket(child.parent, child.request, ticket);
        }
    }

    /// Uses a kept ticket whose issuer is still there.
    fn use_stock(&mut self, context: &mut Context<'_>, key: CallKey) -> bool {
        let Some(call) = self.calls.get_mut(&key) else {
            return false;
        };
        while let Some(ticket) = self.tickets.take(&call.request.service) {
            let router = context.find::<Router>(routing::NAME);
            if router
                .and_then(|router| router.address(ticket.issuer))
                .is_none()
            {
                continue;
            }
            let run_once = context.find::<RunOnce>(run_once::NAME);
            let kept = match (call.child(), run_once) {
                (Some(child), Some(run_once)) => {
                    run_once.keep_child_ticket(child.parent, child.request, ticket)
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
            self.attempt(context, key);
            return true;
        }
        false
    }

    fn ask_for_tickets(&mut self, context: &mut Context<'_>, key: CallKey) {
        let Some(call) = self.calls.get(&key) else {
            return;
        };
        let rank = Rank::new(call.plan.priority, call.plan.root);
        let choice = choose_target(context, &call.request.service, rank, &call.tried);
        let choice = match choice {
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
        let question = PeerRequest::Tickets(request);
        let ask = self.ask(context, choice, question, left_us);
        let member = choice.member;
        let one = Try {
            ask,
            member,
            sent_us,
            retries_lent: 0,
            purpose: Purpose::Tickets,
        };
        self.note_try(context, key, one);
    }

    pub(super) fn hear_tickets(
        &mut self,
        context: &mut Context<'_>,
        key: CallKey,
        one: Try,
        result: Result<PeerResponse, LinkError>,
    ) {
        let now_us = context.now_us();
        let tickets = match result {
            Ok(PeerResponse::Tickets(block)) => block.tickets,
            _ => Vec::new(),
        };
        let outcome = if tickets.is_empty() {
            TryOutcome::NotSent
        } else {
            TryOutcome::Answered
        };
        if let Some(router) = context.find::<Router>(routing::NAME) {
            let latency_us = now_us.saturating_sub(one.sent_us);
            router.ended(now_us, one.member, outcome, latency_us, None);
        }
        if tickets.is_empty() {
            self.ask_elsewhere(context, key, one);
            return;
        }
        let Some(call) = self.calls.get(&key) else {
            return;
        };
        if call.plan.parent.is_some() {
            let service = call.request.service.clone();
            self.tickets.put(&service, tickets);
            if !self.use_stock(context, key) {
                self.ask_elsewhere(context, key, one);
            }
            return;
        }
        let verdict = Verdict::not_run(RefusalReason::TicketNeeded, 0);
        self.finish_with_tickets(context, key, verdict, tickets);
    }

    /// Asking for tickets runs nothing, but further questions are further tries all the same.
    fn ask_elsewhere(&mut self, context: &mut Context<'_>, key: CallKey, one: Try) {
        let retry_after_ms = self.settings.retry_after_ms;
        let Some(call) = self.calls.get_mut(&key) else {
            return;
        };
        call.tried.push(one.member);
        if !call.allowance.spend() {
            let verdict = Verdict::not_run(RefusalReason::Unreachable, retry_after_ms);
            self.finish(context, key, verdict);
            return;
        }
        self.ask_for_tickets(context, key);
    }
}
