//! The kernel service that connects the decisions on quotas to the node.

use std::net::SocketAddr;

use macro_rules_attribute::apply;

use super::settings::to_us;
use super::{Actions, NAME, OrganisationHash, Outcome, Pending, QuotaSettings, QuotaState, Take};
use crate::calls::entry;
use crate::derives::value;
use crate::ids::{CallKey, InboundKey, MemberId, OrganisationName, OutboundKey, Priority};
use crate::kernel::{Context, Event, LinkError, Notice, Service, StateChange};
use crate::membership::{self, MemberState, Membership};
use crate::metrics::Counter;
use crate::organisations::Organisations;
use crate::peer::{PeerRequest, PeerResponse};
use crate::sorted::SortedMap;

/// The period of checks while requests wait, tokens are unused or shares are missing.
const CHECK_PERIOD_US: u64 = 20_000;

/// The minimum time between two log lines on the organisations that this daemon owns.
const LOG_PERIOD_US: u64 = 10_000_000;

/// Tokens that this daemon granted as an owner.
const TOKENS_GRANTED: Counter = Counter::unlabelled("quota_tokens_granted");

/// Tokens that this daemon was granted and that expired unused.
const TOKENS_LAPSED: Counter = Counter::unlabelled("quota_tokens_lapsed");

/// Organisations of which this daemon is no longer the owner.
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

/// The quotas of organisations, at a daemon that uses, owns and lends parts of them.
pub struct Quotas {
    settings: QuotaSettings,
    own_id: MemberId,
    state: QuotaState,
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
            state: QuotaState::new(settings.clone(), 0, own_id, own_address),
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
        !self.state.is_empty() && self.state.is_limited(OrganisationHash::of(organisation))
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
        let key = OrganisationHash::of(organisation);
        let (take, actions) = self
            .state
            .take(context.now_us(), key, call, priority, left_us);
        self.execute(context, actions);
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
        let key = OrganisationHash::of(organisation);
        let actions = self.state.give_back(context.now_us(), key, expires_us);
        self.execute(context, actions);
    }

    /// Removes a request that waits for a token.
    pub fn cancel(&mut self, organisation: &OrganisationName, call: CallKey) {
        self.state.cancel(OrganisationHash::of(organisation), call);
    }

    /// Sends the messages, passes the decisions to the entry and updates the counters.
    fn execute(&mut self, context: &mut Context<'_>, actions: Actions) {
        for outgoing in actions.outgoing {
            let request = PeerRequest::Quota(outgoing.message);
            let outbound = if outgoing.to == self.state.view().own() {
                context.send_request_to_self(request)
            } else {
                let timeout_us = to_us(self.settings.ask_timeout_ms);
                context.send_request(outgoing.to, request, timeout_us)
            };
            if let Some(pending) = outgoing.pending {
                self.pending.insert(outbound, pending);
            }
        }
        for (call, outcome) in actions.decided {
            notify_entry(context, call, outcome);
        }
        count_nonzero(context, TOKENS_GRANTED, actions.granted);
        count_nonzero(context, TOKENS_LAPSED, actions.lapsed);
        count_nonzero(context, OWNERS_CHANGED, actions.owners_changed);
        self.schedule_check(context);
    }

    fn schedule_check(&mut self, context: &mut Context<'_>) {
        if !self.is_check_set && self.state.needs_check(context.now_us()) {
            self.is_check_set = true;
            context.set_timer(CHECK_PERIOD_US, Timer::Check as u64);
        }
    }

    fn check(&mut self, context: &mut Context<'_>) {
        self.is_check_set = false;
        let actions = self.state.check(context.now_us());
        self.execute(context, actions);
    }

    /// Reads the member list of the membership service and renews loans; repeats every `renew_ms`
    /// while there are quotas.
    fn renew(&mut self, context: &mut Context<'_>) {
        self.is_renew_set = !self.state.is_empty();
        if !self.is_renew_set {
            return;
        }
        context.set_timer(to_us(self.settings.renew_ms), Timer::Renew as u64);
        let now_us = context.now_us();
        let view = self.state.view_mut();
        if let Some(membership) = context.find::<Membership>(membership::NAME) {
            for address in membership.row_addresses() {
                view.record_row(now_us, *address);
            }
            if membership.has_read_members() {
                view.record_members_read();
            }
        }
        let actions = self.state.renew(now_us);
        self.execute(context, actions);
        self.log_owned(context);
    }

    fn log_owned(&mut self, context: &mut Context<'_>) {
        let now_us = context.now_us();
        let owned = self.state.owned_len();
        if owned == self.logged_owned || now_us < self.logged_us + LOG_PERIOD_US {
            return;
        }
        let detail = format!("{owned} instead of {}", self.logged_owned);
        let change = "number of organisations in use that this daemon owns";
        context.log(StateChange::new("quota", change, detail));
        self.logged_owned = owned;
        self.logged_us = now_us;
    }

    /// Applies the quotas of a new route table.
    fn set_quotas(&mut self, context: &mut Context<'_>, organisations: Option<&Organisations>) {
        let mut quotas = SortedMap::default();
        for organisation in organisations.iter().flat_map(|all| all.iter()) {
            let Some(quota) = organisation.quota.filter(|quota| quota.rate_per_s > 0.0) else {
                continue;
            };
            quotas.insert(OrganisationHash::of(&organisation.name), quota);
        }
        self.state.set_quotas(context.now_us(), quotas);
        if !self.is_renew_set {
            self.renew(context);
        }
    }

    fn handle_notice(&mut self, context: &mut Context<'_>, notice: Notice) {
        let now_us = context.now_us();
        let view = self.state.view_mut();
        match notice {
            Notice::MemberChanged(member) if member.id != self.own_id => {
                let is_leaving = member.state == MemberState::Leaving;
                view.record_member(now_us, member.address, member.id, is_leaving);
            }
            Notice::MemberGone(id) => view.record_gone(now_us, id),
            Notice::StopRequested => view.record_stop(),
            Notice::RoutesChanged(table) => {
                self.set_quotas(context, table.organisations.as_ref());
            }
            Notice::Resumed { .. } => {
                let lapsed = self.state.drop_tokens();
                count_nonzero(context, TOKENS_LAPSED, lapsed);
            }
            _ => return,
        }
        let actions = self.state.follow_view(now_us);
        self.execute(context, actions);
    }

    fn handle_request(
        &mut self,
        context: &mut Context<'_>,
        inbound: InboundKey,
        message: super::Message,
    ) {
        let (response, actions) = self.state.respond(context.now_us(), message);
        context.respond(inbound, PeerResponse::Quota(response));
        self.execute(context, actions);
    }

    fn handle_response(
        &mut self,
        context: &mut Context<'_>,
        outbound: OutboundKey,
        result: Result<PeerResponse, LinkError>,
    ) {
        let Some(pending) = self.pending.remove(&outbound) else {
            return;
        };
        let response = match result {
            Ok(PeerResponse::Quota(message)) => Some(message),
            _ => None,
        };
        let now_us = context.now_us();
        let actions = self.state.handle_response(now_us, pending, response);
        self.execute(context, actions);
    }
}

impl Service for Quotas {
    fn name(&self) -> &'static str {
        NAME
    }

    fn handle(&mut self, context: &mut Context<'_>, event: Event) {
        match event {
            Event::Started => {
                let (settings, own) = (self.settings.clone(), self.state.view().own());
                self.state = QuotaState::new(settings, context.now_us(), self.own_id, own);
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

/// Sends the decision on a request that waited to the entry, and counts a refusal.
fn notify_entry(context: &mut Context<'_>, call: CallKey, outcome: Outcome) {
    match outcome {
        Outcome::Granted(_) => {}
        Outcome::Exceeded { .. } => count_refusal(context, "exceeded"),
        Outcome::Unavailable => count_refusal(context, "unavailable"),
    }
    let decision = QuotaDecision { call, outcome };
    context.queue_event(entry::NAME, Event::QuotaDecided(decision));
}

fn count_nonzero(context: &mut Context<'_>, counter: Counter, by: u64) {
    if by > 0 {
        context.count_by(counter, by);
    }
}

fn count_refusal(context: &mut Context<'_>, reason: &'static str) {
    context.count(Counter::labelled("quota_refusals", "reason", reason));
}
