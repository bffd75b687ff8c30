//! The entry role: takes calls, chooses targets, tries again within bounds and replies.

mod again;
mod answer;
mod attempt;
mod hold;
mod plan;
mod settle;
mod shed;
mod tickets;

pub use shed::return_after_ms;

use macro_rules_attribute::apply;
use rand::RngExt;

use super::guard::{self, Guard};
use crate::calls;
use crate::decision::{Decision, DecisionInputs, Step};
use crate::derives::settings;
use crate::ids::{CallKey, MemberId, OutboundKey};
use crate::kernel::{Context, Event, Notice, Service};
use crate::request::{CallRequest, RunKey};
use crate::retry::{self, Allowance, ServiceBudgets};
use crate::run_once;
use crate::sorted::SortedMap;
use crate::verdict::{Doubt, DoubtReason, RefusalReason, Verdict};
use hold::{HOLD_TAG, Hold};
use plan::Plan;
use tickets::TicketStock;

/// The name of the service that takes calls.
pub const NAME: &str = "entry";

/// The leaving targets that hand a call on without spending one of its retries.
const HAND_ONS_MAX: u32 = 3;

/// Settings of the entry role.
#[apply(settings!)]
pub struct EntrySettings {
    /// The time after which a caller may try again where no better estimate is at hand.
    pub retry_after_ms: u32,
    /// The time allowed for a request where neither caller nor record names one.
    pub deadline_ms: u32,
    /// The retries of a root request where no record names a number.
    pub retries: u32,
    /// The number of tickets handed out at once.
    pub tickets_per_block: u16,
    /// The time for which a call may wait for a configuration that is known to be newer.
    pub config_wait_ms: u32,
    /// The greatest depth of a call graph; deeper calls are refused.
    pub depth_max: u8,
    /// The time after the start of a planned stop after which new requests of callers are refused.
    pub stop_refuse_ms: u32,
    /// The further targets that a call is offered to without a retry, while nothing of it ran.
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

/// The calls that this daemon took.
pub struct Entry {
    settings: EntrySettings,
    own_id: MemberId,
    calls: SortedMap<CallKey, EntryCall>,
    asks: SortedMap<OutboundKey, CallKey>,
    tickets: TicketStock,
    hold: Hold,
    stopping_since_us: Option<u64>,
}

/// A call that this daemon took.
struct EntryCall {
    request: CallRequest,
    plan: Plan,
    taken_us: u64,
    run_key: RunKey,
    is_own_ticket: bool,
    allowance: Allowance,
    tries: Vec<Try>,
    tried: Vec<MemberId>,
    hand_ons: u32,
    placements: u32,
    is_repeat: bool,
    was_sent: bool,
    /// What an earlier try left open; a later refusal does not undo it.
    doubt: Option<Doubt>,
}

/// A question that waits for its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Try {
    ask: OutboundKey,
    member: MemberId,
    sent_us: u64,
    retries_lent: u32,
    purpose: Purpose,
}

/// What a question is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    /// Running the request.
    Call,
    /// Getting tickets.
    Tickets,
}

/// The timers of a call; the tag is the call's key times two plus the kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TimerKind {
    Deadline,
    Hedge,
}

impl TimerKind {
    fn tag(self, key: CallKey) -> u64 {
        key.0 * 2 + u64::from(self == Self::Hedge)
    }

    fn of(tag: u64) -> (CallKey, Self) {
        let kind = if tag.is_multiple_of(2) {
            Self::Deadline
        } else {
            Self::Hedge
        };
        (CallKey(tag / 2), kind)
    }
}

impl Entry {
    /// Makes the entry role of a daemon.
    pub fn new(settings: EntrySettings, own_id: MemberId) -> Self {
        Self {
            settings,
            own_id,
            calls: SortedMap::default(),
            asks: SortedMap::default(),
            tickets: TicketStock::default(),
            hold: Hold::default(),
            stopping_since_us: None,
        }
    }

    /// Returns the number of calls that wait for their reply.
    pub fn len(&self) -> usize {
        self.calls.len() + self.hold.len()
    }

    /// Says whether no call waits for its reply.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn arrive(&mut self, context: &mut Context<'_>, key: CallKey, mut request: CallRequest) {
        request.run_key = run_once::scoped_key(&request.run_key, &request.caller, &request.service);
        if request.routed.is_some() {
            request.is_from_target = may_be_of_target(context, &request);
        }
        let plan = Plan::new(context, &self.settings, &request);
        if let Some(refusal) = self.find_shed(context, &plan, &request) {
            self.refuse_at_once(context, key, &request, refusal);
            return;
        }
        let allowance = match plan.open_allowance(context, &request) {
            Ok(allowance) => allowance,
            Err(refusal) => {
                self.refuse_at_once(context, key, &request, refusal);
                return;
            }
        };
        let is_repeat = request.routed.is_some() && is_called_by_repeat(context, &request);
        let deadline_us = plan.deadline_us;
        let is_too_deep = plan.depth > self.settings.depth_max;
        let run_key = request.run_key.clone();
        let call = EntryCall {
            request,
            plan,
            taken_us: context.now_us(),
            run_key,
            is_own_ticket: false,
            allowance,
            tries: Vec::new(),
            tried: Vec::new(),
            hand_ons: 0,
            placements: 0,
            is_repeat,
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
        context.set_timer(left_us, TimerKind::Deadline.tag(key));
        self.begin(context, key);
    }

    fn begin(&mut self, context: &mut Context<'_>, key: CallKey) {
        let Some(call) = self.calls.get(&key) else {
            return;
        };
        if call.needs_ticket() {
            self.get_ticket(context, key);
            return;
        }
        self.attempt(context, key);
        self.set_hedge_timer(context, key);
    }

    fn end_at_deadline(&mut self, context: &mut Context<'_>, key: CallKey) {
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

    /// The caller went away: what may run again is given up, what runs once goes on to its end.
    fn end_without_caller(&mut self, context: &mut Context<'_>, key: CallKey) {
        if self.hold.remove(key) {
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

/// A target's call has no more time than the request that it works on; callers have more.
fn may_be_of_target(context: &mut Context<'_>, request: &CallRequest) -> bool {
    let now_us = context.now_us();
    let Some(left_ms) = request.deadline_left_ms else {
        return false;
    };
    let guard = context.find::<Guard>(guard::NAME);
    guard.is_some_and(|guard| guard.may_have_called(now_us, left_ms))
}

/// Says whether a call is taken to come from a repeat, by the share of repeats that run.
///
/// Such a call counts as a repeat of the service that is called.
fn is_called_by_repeat(context: &mut Context<'_>, request: &CallRequest) -> bool {
    if !request.is_from_target {
        return false;
    }
    let guard = context.find::<Guard>(guard::NAME);
    let share = guard.map_or(0.0, |guard| guard.repeat_share());
    if share == 0.0 || !context.fork_rng().random_bool(share) {
        return false;
    }
    let now_us = context.now_us();
    if let Some(budgets) = context.find::<ServiceBudgets>(retry::SERVICE_BUDGETS) {
        budgets.note_repeat(now_us, &request.service);
    }
    true
}

impl EntryCall {
    /// Says whether the request must run at most once and has no key yet.
    fn needs_ticket(&self) -> bool {
        let is_once = !self.plan.policy.is_idempotent && self.request.routed.is_none();
        is_once && self.run_key == RunKey::None
    }

    fn may_run_again(&self) -> bool {
        self.run_key == RunKey::None
    }

    /// Returns the inputs that all decisions on the call share.
    fn facts(&self, context: &mut Context<'_>) -> DecisionInputs {
        let now_us = context.now_us();
        let left_us = self.plan.deadline_us.saturating_sub(now_us);
        DecisionInputs {
            left_ms: u32::try_from(left_us / 1_000).unwrap_or(u32::MAX),
            elapsed_ms: u32::try_from((now_us - self.taken_us) / 1_000).unwrap_or(u32::MAX),
            config_version: calls::config_version(context),
            ..DecisionInputs::default()
        }
    }

    /// Logs a decision on the call, where its caller gave it an identifier.
    fn tell(
        &self,
        context: &mut Context<'_>,
        step: Step,
        outcome: &'static str,
        is_ordinary: bool,
        facts: DecisionInputs,
    ) {
        let Some(trace_id) = self.trace_id() else {
            return;
        };
        context.log_decision(Decision {
            trace_id,
            service: self.request.service.clone(),
            step,
            outcome,
            is_ordinary,
            inputs: facts,
        });
    }

    fn take_try(&mut self, ask: OutboundKey) -> Option<Try> {
        let at = self.tries.iter().position(|one| one.ask == ask)?;
        Some(self.tries.swap_remove(at))
    }
}

impl Service for Entry {
    fn name(&self) -> &'static str {
        NAME
    }

    fn handle(&mut self, context: &mut Context<'_>, event: Event) {
        match event {
            Event::CallArrived { call, request } => self.take(context, call, *request),
            Event::Notice(Notice::ConfigChanged(_)) => self.end_hold(context),
            Event::Notice(Notice::StopRequested) => {
                self.stopping_since_us.get_or_insert(context.now_us());
            }
            Event::Timer(HOLD_TAG) => self.give_up_hold(context),
            Event::CallerGone(call) => self.end_without_caller(context, call),
            Event::PeerResponse { key, result } => self.hear_answer(context, key, result),
            Event::Timer(tag) => match TimerKind::of(tag) {
                (key, TimerKind::Deadline) => self.end_at_deadline(context, key),
                (key, TimerKind::Hedge) => self.hedge(context, key),
            },
            _ => {}
        }
    }
}
