//! The kernel service that connects the decisions on quotas to the node.

use std::net::SocketAddr;

use macro_rules_attribute::apply;

use super::settings::to_us;
use super::{
    Applicants, BorrowRequest, Grant, Lender, Loan, Message, NAME, OrganisationKey, Outcome, Owner,
    QuotaSettings, Take, View, WaitingRequest,
};
use crate::calls::entry;
use crate::derives::value;
use crate::ids::{CallKey, InboundKey, MemberId, OrganisationName, OutboundKey, Priority};
use crate::kernel::{Context, Event, LinkError, Notice, Service, StateChange};
use crate::membership::{self, MemberState, Membership};
use crate::metrics::Counter;
use crate::organisations::{Organisations, Quota};
use crate::peer::{PeerRequest, PeerResponse};
use crate::sorted::SortedMap;

/// The period of checks while requests wait, tokens are unused or shares are missing.
const CHECK_PERIOD_US: u64 = 20_000;

/// The part of its remaining time for which a request waits at most is one by this.
const WAIT_DIVISOR: u64 = 3;

/// The minimum time between two log lines on the organisations that this daemon owns.
const LOG_PERIOD_US: u64 = 10_000_000;

/// Tokens that this daemon granted as an owner.
const TOKENS_GRANTED: Counter = Counter::unlabelled("quota_tokens_granted");

/// Tokens that this daemon was granted and did not use before they expired.
const TOKENS_LAPSED: Counter = Counter::unlabelled("quota_tokens_lapsed");

/// Buckets that this daemon dropped since another became the owner.
const OWNERS_CHANGED: Counter = Counter::unlabelled("quota_owner_changes");

/// What became of a request that waited for a token.
#[apply(value!)]
pub struct QuotaDecision {
    /// The call.
    pub call: CallKey,
    /// What became of it.
    pub outcome: Outcome,
}

/// The timers of the service.
#[derive(Clone, Copy)]
enum Timer {
    Check = 1,
    Renew = 2,
}

/// The purpose of a request whose response is awaited.
#[derive(Clone, Debug)]
enum Pending {
    Ask {
        organisation: OrganisationKey,
        sent_us: u64,
    },
    Borrow {
        request: BorrowRequest,
        sent_us: u64,
    },
}

/// The quotas of organisations, at a daemon that uses, owns and lends parts of them.
pub struct Quotas {
    settings: QuotaSettings,
    own_id: MemberId,
    view: View,
    /// The view's version at which the buckets of other owners were last dropped.
    checked_version: u64,
    quotas: SortedMap<OrganisationKey, Quota>,
    applicants: Applicants,
    owner: Owner,
    lender: Lender,
    pending: SortedMap<OutboundKey, Pending>,
    is_check_set: bool,
    is_renew_set: bool,
    logged_owned: usize,
    logged_us: u64,
}

impl Quotas {
    /// Creates the service of a daemon that knows no other.
    pub fn new(settings: QuotaSettings, own_id: MemberId, own_address: SocketAddr) -> Self {
        Self {
            view: View::new(settings.clone(), 0, own_id, own_address),
            checked_version: 0,
            quotas: SortedMap::default(),
            applicants: Applicants::new(settings.clone()),
            owner: Owner::new(settings.clone()),
            lender: Lender::new(settings.clone()),
            settings,
            own_id,
            pending: SortedMap::default(),
            is_check_set: false,
            is_renew_set: false,
            logged_owned: 0,
            logged_us: 0,
        }
    }

    /// Returns whether an organisation has a quota.
    pub fn is_limited(&self, organisation: &OrganisationName) -> bool {
        self.quotas.contains_key(&OrganisationKey::of(organisation))
    }

    /// Takes a token for a request with some time left, or lets the request wait for one; the
    /// decision then arrives at the entry as [`Event::QuotaDecided`].
    pub fn take(
        &mut self,
        context: &mut Context<'_>,
        organisation: &OrganisationName,
        call: CallKey,
        priority: Priority,
        left_us: u64,
    ) -> Take {
        let now_us = context.now_us();
        let wait_us = to_us(self.settings.wait_max_ms).min(left_us / WAIT_DIVISOR);
        let request = WaitingRequest {
            call,
            priority,
            until_us: now_us + wait_us,
        };
        let key = OrganisationKey::of(organisation);
        let take = self.applicants.take(now_us, key, request);
        if take == Take::Waiting {
            self.ask(context, key);
        }
        if let Take::Exceeded { .. } = take {
            count_refusal(context, "exceeded");
        }
        take
    }

    /// Takes back the token of a request that did not run.
    pub fn give_back(
        &mut self,
        context: &mut Context<'_>,
        organisation: &OrganisationName,
        expires_us: u64,
    ) {
        let now_us = context.now_us();
        let key = OrganisationKey::of(organisation);
        let decided = self.applicants.give_back(now_us, key, expires_us);
        report(context, decided);
        self.set_check(context);
    }

    /// Removes a request that waits for a token.
    pub fn cancel(&mut self, organisation: &OrganisationName, call: CallKey) {
        self.applicants
            .cancel(OrganisationKey::of(organisation), call);
    }

    /// Asks the owner for tokens, unless nothing waits or a request is in flight.
    fn ask(&mut self, context: &mut Context<'_>, organisation: OrganisationKey) {
        self.set_check(context);
        let now_us = context.now_us();
        let Some((waiting, ahead)) = self.applicants.next_ask(now_us, organisation) else {
            return;
        };
        let Some(owner) = self.view.owner(organisation) else {
            self.applicants.record_failure(now_us, organisation);
            return;
        };
        let message = Message::Ask {
            organisation,
            waiting,
            ahead,
        };
        let outbound = self.send(context, owner, message);
        let sent_us = now_us;
        let pending = Pending::Ask {
            organisation,
            sent_us,
        };
        self.pending.insert(outbound, pending);
    }

    fn send(&self, context: &mut Context<'_>, to: SocketAddr, message: Message) -> OutboundKey {
        let request = PeerRequest::Quota(message);
        if to == self.view.own() {
            return context.send_request_to_self(request);
        }
        let timeout_us = to_us(self.settings.ask_timeout_ms);
        context.send_request(to, request, timeout_us)
    }

    /// Grants tokens if this daemon is the owner by its view.
    fn grant(
        &mut self,
        context: &mut Context<'_>,
        organisation: OrganisationKey,
        waiting: u16,
        ahead: u16,
    ) -> Grant {
        let now_us = context.now_us();
        let Some(quota) = self.quotas.get(&organisation).copied() else {
            return Grant::UNKNOWN;
        };
        if self.view.owner(organisation) != Some(self.view.own()) {
            return Grant::UNKNOWN;
        }
        self.owner.open(now_us, organisation, quota);
        self.borrow(context);
        let grant = self.owner.grant(now_us, organisation, waiting, ahead);
        context.count_by(TOKENS_GRANTED, u64::from(grant.tokens));
        grant
    }

    /// Sends the requests for shares that are due; this daemon's own shares need no message.
    fn borrow(&mut self, context: &mut Context<'_>) {
        let now_us = context.now_us();
        for request in self.owner.due_requests(now_us, &self.view) {
            if request.to == self.view.own() {
                let free_ms =
                    self.lend(now_us, request.to, request.sequence, &request.organisations);
                let lenders = self.view.lenders_len() as u16;
                self.record_loans(now_us, now_us, &request, lenders, &free_ms);
                continue;
            }
            let message = Message::Borrow {
                from: self.view.own(),
                sequence: request.sequence,
                organisations: request.organisations.clone(),
            };
            let outbound = self.send(context, request.to, message);
            let pending = Pending::Borrow {
                request,
                sent_us: now_us,
            };
            self.pending.insert(outbound, pending);
        }
        if !self.owner.is_empty() {
            self.set_check(context);
        }
    }

    fn record_loans(
        &mut self,
        now_us: u64,
        sent_us: u64,
        request: &BorrowRequest,
        lenders: u16,
        free_ms: &[Option<u32>],
    ) {
        for (organisation, free_ms) in request.organisations.iter().zip(free_ms) {
            let loan = Loan {
                organisation: *organisation,
                lender: request.to,
                lenders,
                sequence: request.sequence,
                sent_us,
                free_ms: *free_ms,
            };
            self.owner.record_loan(now_us, loan);
        }
    }

    /// Lends this daemon's shares to the owner that it sees itself.
    fn lend(
        &mut self,
        now_us: u64,
        to: SocketAddr,
        sequence: u64,
        organisations: &[OrganisationKey],
    ) -> Vec<Option<u32>> {
        let ready_us = self.view.ready_us(now_us);
        let mut free_ms = Vec::new();
        for organisation in organisations {
            let is_due =
                self.view.owner(*organisation) == Some(to) && self.view.is_lender(*organisation);
            let lent = ready_us.filter(|_| is_due).and_then(|ready_us| {
                self.lender
                    .lend(now_us, ready_us, *organisation, to, sequence)
            });
            free_ms.push(lent);
        }
        free_ms
    }

    fn release(
        &mut self,
        now_us: u64,
        from: SocketAddr,
        sequence: u64,
        organisations: &[OrganisationKey],
    ) {
        for organisation in organisations {
            self.lender.release(now_us, *organisation, from, sequence);
        }
    }

    fn handle_request(&mut self, context: &mut Context<'_>, inbound: InboundKey, message: Message) {
        let now_us = context.now_us();
        let response = match message {
            Message::Ask {
                organisation,
                waiting,
                ahead,
            } => Message::Grant(self.grant(context, organisation, waiting, ahead)),
            Message::Borrow {
                from,
                sequence,
                organisations,
            } => Message::Loans {
                free_ms: self.lend(now_us, from, sequence, &organisations),
                lenders: self.view.lenders_len() as u16,
            },
            Message::Release {
                from,
                sequence,
                organisations,
            } => {
                self.release(now_us, from, sequence, &organisations);
                Message::Released
            }
            Message::Grant(_) | Message::Loans { .. } | Message::Released => Message::Released,
        };
        context.respond(inbound, PeerResponse::Quota(response));
    }

    fn handle_response(
        &mut self,
        context: &mut Context<'_>,
        outbound: OutboundKey,
        result: Result<PeerResponse, LinkError>,
    ) {
        let now_us = context.now_us();
        match (self.pending.remove(&outbound), result) {
            (
                Some(Pending::Ask {
                    organisation,
                    sent_us,
                }),
                Ok(PeerResponse::Quota(Message::Grant(grant))),
            ) => {
                let decided = self
                    .applicants
                    .record_grant(now_us, sent_us, organisation, grant);
                report(context, decided);
                self.ask(context, organisation);
            }
            (Some(Pending::Ask { organisation, .. }), _) => {
                self.applicants.record_failure(now_us, organisation);
            }
            (
                Some(Pending::Borrow { request, sent_us }),
                Ok(PeerResponse::Quota(Message::Loans { lenders, free_ms })),
            ) => self.record_loans(now_us, sent_us, &request, lenders, &free_ms),
            _ => {}
        }
    }

    /// Follows a changed view: drops the buckets of organisations that another daemon owns, and
    /// gives their shares back.
    fn follow_view(&mut self, context: &mut Context<'_>) {
        if self.checked_version == self.view.version() {
            return;
        }
        self.checked_version = self.view.version();
        let now_us = context.now_us();
        let before = self.owner.len();
        for request in self.owner.drop_lost(&self.view) {
            let (own, to) = (self.view.own(), request.to);
            if to == own {
                self.release(now_us, own, request.sequence, &request.organisations);
                continue;
            }
            let message = Message::Release {
                from: own,
                sequence: request.sequence,
                organisations: request.organisations,
            };
            self.send(context, to, message);
        }
        let lost = before - self.owner.len();
        if lost > 0 {
            context.count_by(OWNERS_CHANGED, lost as u64);
        }
    }

    /// Applies the quotas of a new route table.
    fn set_quotas(&mut self, context: &mut Context<'_>, organisations: Option<&Organisations>) {
        let mut quotas = SortedMap::default();
        for organisation in organisations.iter().flat_map(|all| all.iter()) {
            let Some(quota) = organisation.quota.filter(|quota| quota.rate_per_s > 0.0) else {
                continue;
            };
            quotas.insert(OrganisationKey::of(&organisation.name), quota);
        }
        self.quotas = quotas;
        self.owner.set_quotas(context.now_us(), &self.quotas);
        if !self.quotas.is_empty() && !self.is_renew_set {
            self.is_renew_set = true;
            self.renew(context);
        }
    }

    /// Reads what the membership has found, renews loans and forgets what is over, periodically
    /// while there are quotas.
    fn renew(&mut self, context: &mut Context<'_>) {
        if self.quotas.is_empty() {
            self.is_renew_set = false;
            return;
        }
        let period_us = to_us(self.settings.renew_ms);
        context.set_timer(period_us, Timer::Renew as u64);
        let now_us = context.now_us();
        if let Some(membership) = context.find::<Membership>(membership::NAME) {
            for address in membership.row_addresses() {
                self.view.record_row(now_us, *address);
            }
            if membership.has_read_members() {
                self.view.record_members_read();
            }
        }
        self.view.forget(now_us);
        self.lender.forget(now_us);
        self.owner.drop_idle(now_us);
        self.follow_view(context);
        self.borrow(context);
        self.log_owned(context);
    }

    fn log_owned(&mut self, context: &mut Context<'_>) {
        let now_us = context.now_us();
        let owned = self.owner.len();
        if owned == self.logged_owned || now_us < self.logged_us + LOG_PERIOD_US {
            return;
        }
        let detail = format!("{owned} instead of {}", self.logged_owned);
        let change = "number of organisations in use that this daemon owns";
        context.log(StateChange::new("quota", change, detail));
        self.logged_owned = owned;
        self.logged_us = now_us;
    }

    fn set_check(&mut self, context: &mut Context<'_>) {
        if !self.is_check_set {
            self.is_check_set = true;
            context.set_timer(CHECK_PERIOD_US, Timer::Check as u64);
        }
    }

    /// Ends waits that have lasted too long, and asks owners and lenders again.
    fn check(&mut self, context: &mut Context<'_>) {
        self.is_check_set = false;
        let now_us = context.now_us();
        let (decided, lapsed) = self.applicants.expire(now_us);
        report(context, decided);
        if lapsed > 0 {
            context.count_by(TOKENS_LAPSED, lapsed);
        }
        for organisation in self.applicants.waiting_organisations() {
            self.ask(context, organisation);
        }
        self.borrow(context);
        if self.applicants.is_active() || self.owner.is_short_of_shares(now_us) {
            self.set_check(context);
        }
    }

    fn handle_notice(&mut self, context: &mut Context<'_>, notice: Notice) {
        let now_us = context.now_us();
        match notice {
            Notice::MemberChanged(member) if member.id != self.own_id => {
                let is_leaving = member.state == MemberState::Leaving;
                self.view
                    .record_member(now_us, member.address, member.id, is_leaving);
            }
            Notice::MemberGone(id) => self.view.record_gone(now_us, id),
            Notice::StopRequested => self.view.record_stop(),
            Notice::RoutesChanged(table) => {
                self.set_quotas(context, table.organisations.as_ref());
            }
            Notice::Resumed { .. } => {
                let dropped = self.applicants.drop_tokens();
                context.count_by(TOKENS_LAPSED, dropped);
            }
            _ => {}
        }
        self.follow_view(context);
    }
}

impl Service for Quotas {
    fn name(&self) -> &'static str {
        NAME
    }

    fn handle(&mut self, context: &mut Context<'_>, event: Event) {
        match event {
            Event::Started => {
                let (settings, own) = (self.settings.clone(), self.view.own());
                self.view = View::new(settings, context.now_us(), self.own_id, own);
            }
            Event::Notice(notice) => self.handle_notice(context, notice),
            Event::Timer(tag) if tag == Timer::Check as u64 => self.check(context),
            Event::Timer(tag) if tag == Timer::Renew as u64 => self.renew(context),
            Event::PeerRequest {
                inbound,
                request: PeerRequest::Quota(message),
            } => self.handle_request(context, inbound, message),
            Event::PeerResponse { key, result } => self.handle_response(context, key, result),
            _ => {}
        }
    }
}

/// Tells the entry what became of requests that waited.
fn report(context: &mut Context<'_>, decided: Vec<(CallKey, Outcome)>) {
    for (call, outcome) in decided {
        match outcome {
            Outcome::Granted(_) => {}
            Outcome::Exceeded { .. } => count_refusal(context, "exceeded"),
            Outcome::Unavailable => count_refusal(context, "unavailable"),
        }
        let decision = QuotaDecision { call, outcome };
        context.queue_event(entry::NAME, Event::QuotaDecided(decision));
    }
}

fn count_refusal(context: &mut Context<'_>, reason: &'static str) {
    context.count(Counter::labelled("quota_refusals", "reason", reason));
}
