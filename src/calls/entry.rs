//! The entry role: accepts calls, chooses targets, retries within an allowance and replies.

mod attempt;
mod call;
mod deferred;
mod finish;
mod known_conditions;
mod origin;
mod plan;
mod quota;
mod response;
mod retries;
mod shed;
mod stopping;
mod tickets;

pub use plan::is_idempotent;
pub use shed::jittered_retry_after_ms;

use std::net::SocketAddr;

use macro_rules_attribute::apply;

use crate::calls::stop_limit::StopLimit;
use crate::derives::settings;
use crate::ids::{CallKey, MemberId, OutboundKey};
use crate::kernel::{Context, Event, Notice, Service};
use crate::quota::QuotaDecision;
use crate::request::{CallRequest, RunKey};
use crate::retry::Allowance;
use crate::run_once;
use crate::sorted::SortedMap;
use crate::verdict::{DoubtReason, RefusalReason, Verdict};
use call::EntryCall;
use deferred::{DEFER_TIMER_TAG, DeferredCalls};
use known_conditions::KnownConditions;
use origin::{attribute_to_repeat, may_come_from_target};
use plan::Plan;
use quota::Token;
use stopping::STOP_TIMER_TAG;
use tickets::TicketStock;

/// The name of the kernel service that accepts calls.
pub const NAME: &str = "entry";

/// The number of times that a call may be sent to another target after a refusal by a leaving one,
/// without spending one of its retries.
const FREE_FORWARDS_MAX: u32 = 3;

/// Settings of the entry role.
#[apply(settings!)]
pub struct EntrySettings {
    /// The retry-after time of a refusal for which there is no better estimate.
    pub retry_after_ms: u32,
    /// The deadline of a request if neither its caller nor a service record sets one.
    pub deadline_ms: u32,
    /// The retries of a root request if no service record sets a number.
    pub retries: u32,
    /// The number of tickets requested from a guard at once.
    pub tickets_per_block: u16,
    /// How long calls may be deferred while this daemon fetches a newer configuration.
    pub config_wait_ms: u32,
    /// The maximum depth of a call graph; deeper calls are refused.
    pub depth_max: u8,
    /// How long new requests of callers are still accepted after a planned stop began. Applies to
    /// routed requests only; others are accepted until the daemon stops.
    pub stop_refuse_ms: u32,
    /// How many times a call may be sent to another target without spending a retry, after attempts
    /// that reached no target.
    pub placements_max: u32,
}

impl Default for EntrySettings {
    fn default() -> Self {
        Self {
            retry_after_ms: 500,
            deadline_ms: 10_000,
            retries: 3,
            tickets_per_block: 8,
            config_wait_ms: 200,
            depth_max: 32,
            placements_max: 0,
            stop_refuse_ms: 2_500,
        }
    }
}

/// The entry role of a daemon, with the calls that it has accepted and not yet replied to.
pub struct Entry {
    settings: EntrySettings,
    own_id: MemberId,
    calls: SortedMap<CallKey, EntryCall>,
    outbound: SortedMap<OutboundKey, CallKey>,
    tickets: TicketStock,
    deferred: DeferredCalls,
    known_conditions: KnownConditions,
    stopping_since_us: Option<u64>,
    stop_limit: StopLimit,
}

/// A peer request that waits for its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct PendingRequest {
    outbound_key: OutboundKey,
    member: MemberId,
    address: SocketAddr,
    sent_us: u64,
    retries_granted: u32,
    purpose: Purpose,
}

/// What a peer request is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    /// Running the request.
    Call,
    /// Obtaining tickets.
    Tickets,
}

/// The timers of a call. A timer's tag is twice the call's key, plus one for a hedge timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TimerKind {
    Deadline,
    Hedge,
}

impl TimerKind {
    fn tag(self, key: CallKey) -> u64 {
        key.0 * 2 + u64::from(self == Self::Hedge)
    }

    fn from_tag(tag: u64) -> (CallKey, Self) {
        let kind = if tag.is_multiple_of(2) {
            Self::Deadline
        } else {
            Self::Hedge
        };
        (CallKey(tag / 2), kind)
    }
}

impl Entry {
    /// Creates the entry role of a daemon.
    pub fn new(settings: EntrySettings, own_id: MemberId) -> Self {
        Self {
            settings,
            own_id,
            calls: SortedMap::default(),
            outbound: SortedMap::default(),
            tickets: TicketStock::default(),
            deferred: DeferredCalls::default(),
            known_conditions: KnownConditions::default(),
            stopping_since_us: None,
            stop_limit: StopLimit::default(),
        }
    }

    /// Returns the number of calls that wait for a reply, deferred calls included.
    pub fn len(&self) -> usize {
        self.calls.len() + self.deferred.len()
    }

    /// Returns whether no call waits for a reply.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Sheds or refuses a call, or registers it and starts its first attempt.
    fn start_call(&mut self, context: &mut Context<'_>, key: CallKey, mut request: CallRequest) {
        request.run_key = run_once::scoped_key(&request.run_key, &request.caller, &request.service);
        if request.routed.is_some() {
            request.is_from_target = may_come_from_target(context, &request);
        }
        let plan = Plan::new(context, &self.settings, &request);
        let arriving = self.classify_arrival(context, &plan, &request);
        if let Some(refusal) = self.find_early_refusal(context, &plan, &request, arriving) {
            self.refuse_before_start(context, key, &request, refusal);
            return;
        }
        let token = Token::of_request(context, &request);
        let allowance = match token {
            Token::Awaited => Ok(Allowance::new(0)),
            _ => plan.open_allowance(context, &request),
        };
        let allowance = match allowance {
            Ok(allowance) => allowance,
            Err(refusal) => {
                self.refuse_before_start(context, key, &request, refusal);
                return;
            }
        };
        let counts_as_repeat = request.routed.is_some() && attribute_to_repeat(context, &request);
        let deadline_us = plan.deadline_us;
        let is_too_deep = plan.depth > self.settings.depth_max;
        let run_key = request.run_key.clone();
        let call = EntryCall {
            request,
            plan,
            accepted_us: context.now_us(),
            run_key,
            is_own_ticket: false,
            allowance,
            pending_requests: Vec::new(),
            excluded_members: Vec::new(),
            free_forwards: 0,
            free_placements: 0,
            counts_as_repeat,
            arriving,
            token,
            was_sent: false,
            doubt: None,
        };
        self.calls.insert(key, call);
        if is_too_deep {
            let retry_after_ms = self.settings.retry_after_ms;
            let verdict = Verdict::not_run(RefusalReason::BadRequest, retry_after_ms);
            self.finish(context, key, verdict);
            return;
        }
        let left_us = deadline_us.saturating_sub(context.now_us());
        if left_us == 0 {
            self.finish_at_deadline(context, key);
            return;
        }
        context.set_timer(left_us, TimerKind::Deadline.tag(key));
        match token {
            Token::Awaited => self.take_token(context, key),
            _ => self.begin_attempts(context, key),
        }
    }

    /// Sends the first attempt, or obtains a ticket first if the request needs one.
    fn begin_attempts(&mut self, context: &mut Context<'_>, key: CallKey) {
        let Some(call) = self.calls.get(&key) else {
            return;
        };
        if call.needs_ticket() {
            self.get_ticket(context, key);
            return;
        }
        self.choose_and_send(context, key);
        self.set_hedge_timer(context, key);
    }

    fn finish_at_deadline(&mut self, context: &mut Context<'_>, key: CallKey) {
        let Some(call) = self.calls.get(&key) else {
            return;
        };
        let retry_after_ms = self.settings.retry_after_ms;
        let verdict = if call.was_sent {
            Verdict::may_have_run(DoubtReason::Deadline, retry_after_ms)
        } else {
            Verdict::not_run(RefusalReason::Deadline, retry_after_ms)
        };
        self.finish(context, key, verdict);
    }

    /// Cancels the call of a caller that went away.
    ///
    /// A request with a run key is not cancelled once it was sent.
    fn handle_caller_gone(&mut self, context: &mut Context<'_>, key: CallKey) {
        if self.deferred.remove(key) {
            return;
        }
        let Some(call) = self.calls.get(&key) else {
            return;
        };
        if call.was_sent && call.run_key != RunKey::None {
            return;
        }
        let retry_after_ms = self.settings.retry_after_ms;
        let verdict = if call.was_sent {
            Verdict::may_have_run(DoubtReason::Cancelled, retry_after_ms)
        } else {
            Verdict::not_run(RefusalReason::Cancelled, retry_after_ms)
        };
        self.finish(context, key, verdict);
    }
}

impl Service for Entry {
    fn name(&self) -> &'static str {
        NAME
    }

    fn handle(&mut self, context: &mut Context<'_>, event: Event) {
        match event {
            Event::CallArrived { call, request } => self.accept_or_defer(context, call, *request),
            Event::Notice(Notice::ConfigChanged(_)) => self.handle_config_change(context),
            Event::Notice(Notice::StopAnnounced { time_limit_us }) => {
                self.announce_stop(context, time_limit_us);
            }
            Event::Timer(STOP_TIMER_TAG) => self.end_calls(context),
            Event::Notice(Notice::StopRequested) => {
                self.stopping_since_us.get_or_insert(context.now_us());
            }
            Event::Timer(DEFER_TIMER_TAG) => self.stop_deferring(context),
            Event::QuotaDecided(QuotaDecision { call, outcome }) => {
                self.apply_quota_outcome(context, call, outcome);
            }
            Event::CallerGone(call) => self.handle_caller_gone(context, call),
            Event::PeerResponse { key, result } => self.handle_response(context, key, result),
            Event::Timer(tag) => match TimerKind::from_tag(tag) {
                (key, TimerKind::Deadline) => self.finish_at_deadline(context, key),
                (key, TimerKind::Hedge) => self.hedge(context, key),
            },
            _ => {}
        }
    }
}
