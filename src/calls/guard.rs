//! The guard role: admits requests and runs them on the target beside the daemon.

mod authorization;
mod call;
mod cancel;
mod condition;
mod dispatch;
mod drain;
mod fair;
mod finish;
mod isolation;
mod limit_report;
mod losses;
mod parent;
mod shed;
mod target_ends;

pub use parent::Parent;

use macro_rules_attribute::apply;

use crate::admission::{self, Admission};
use crate::calls;
use crate::calls::stop_limit::StopLimit;
use crate::derives::settings;
use crate::fairness::FairShares;
use crate::ids::{CallKey, InboundKey, RequestId};
use crate::kernel::{Context, Event, Notice, Service, StateChange};
use crate::membership::{self, Membership};
use crate::peer::{PeerRequest, PeerResponse};
use crate::request::{PeerCall, RunKey};
use crate::retry::{self, Allowance, ServiceBudgets};
use crate::run_once::{self, BeginOutcome, CLAIMS_DUE, ClaimDecision, RunOnce};
use crate::sorted::SortedMap;
use crate::target::{Announcement, ConditionTracker};
use crate::verdict::{Refusal, RefusalReason, Verdict};
use call::{GuardCall, Stage};
use drain::PlannedStop;
use limit_report::ReportedLimit;
use losses::LostShare;
use target_ends::TargetEnds;

/// The name of the kernel service that runs calls on the target beside the daemon.
pub const NAME: &str = "guard";

const RELEASE_TIMER: u64 = 0;
const STOP_CHECK_TIMER: u64 = 1;
const REFUSE_QUEUED_TIMER: u64 = 2;
const RECHECK_HELD_TIMER: u64 = 3;

/// The event upon which the guard judges the requests again that it holds back.
pub const STANDINGS_CHANGED: Event = Event::Timer(RECHECK_HELD_TIMER);

/// Settings of the guard.
#[apply(settings!)]
pub struct GuardSettings {
    /// The retry-after time of a refusal for which there is no better estimate.
    pub retry_after_ms: u32,
    /// How long beyond a request's deadline the guard waits for the answer to a run-once request.
    pub late_answer_ms: u32,
    /// The minimum duration of a planned stop.
    pub stop_linger_ms: u32,
}

impl Default for GuardSettings {
    fn default() -> Self {
        Self {
            retry_after_ms: 500,
            late_answer_ms: 30_000,
            stop_linger_ms: 2_000,
        }
    }
}

/// The guard beside one target.
pub struct Guard {
    settings: GuardSettings,
    target: Option<Announcement>,
    condition: ConditionTracker,
    calls: SortedMap<CallKey, GuardCall>,
    inbound: SortedMap<InboundKey, CallKey>,
    running: SortedMap<RequestId, CallKey>,
    planned_stop: PlannedStop,
    stop_limit: StopLimit,
    /// Since when the target accepts no new work, as in [`Guard::is_leaving`].
    leaving_since_us: Option<u64>,
    release_timer_us: Option<u64>,
    lost_share: LostShare,
    reported_limit: ReportedLimit,
    ends: TargetEnds,
    fair_shares: FairShares,
    /// The requests that are held back from the target, in the order in which they came.
    held: Vec<CallKey>,
}

impl Guard {
    /// Creates a guard without a target; a target announces itself later.
    pub fn new(settings: GuardSettings) -> Self {
        Self {
            settings,
            target: None,
            condition: ConditionTracker::default(),
            calls: SortedMap::default(),
            inbound: SortedMap::default(),
            running: SortedMap::default(),
            planned_stop: PlannedStop::default(),
            stop_limit: StopLimit::default(),
            leaving_since_us: None,
            release_timer_us: None,
            lost_share: LostShare::default(),
            reported_limit: ReportedLimit::default(),
            ends: TargetEnds::default(),
            fair_shares: FairShares::default(),
            held: Vec::new(),
        }
    }

    /// Returns the target beside the daemon.
    pub fn target(&self) -> Option<&Announcement> {
        self.target.as_ref()
    }

    /// Returns the number of requests at the guard.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Returns whether no request is at the guard.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Returns whether the target accepts no new work because it drains or the daemon stops.
    pub fn is_leaving(&self) -> bool {
        let said_leaving = self.condition.condition().is_leaving;
        let is_draining = self
            .target
            .as_ref()
            .is_some_and(|target| target.is_draining || said_leaving);
        is_draining || self.planned_stop.is_stopping()
    }

    /// Registers a call of an entry daemon and starts it, or replies to it at once.
    fn handle_call(&mut self, context: &mut Context<'_>, inbound: InboundKey, call: PeerCall) {
        fetch_config_if_newer(context, &call);
        self.inherit_condition(context, &call);
        record_arrival(context, &call);
        self.record_offered(context, &call);
        let key = CallKey(context.new_key());
        let deadline_us = context.now_us() + u64::from(call.deadline_left_ms) * 1_000;
        let allowance = Allowance::new(call.retries);
        let guard_call = GuardCall {
            inbound,
            peer_call: call,
            arrived_us: context.now_us(),
            started_us: 0,
            deadline_us,
            allowance,
            stage: Stage::New,
            has_failed_child: false,
            has_child_calls: false,
            is_abandoned: false,
            held_since_us: None,
            holder: None,
        };
        self.inbound.insert(inbound, key);
        self.calls.insert(key, guard_call);
        if let Some(refusal) = self.find_arrival_refusal(context, key) {
            self.refuse(context, key, refusal);
            return;
        }
        self.request_permission(context, key);
    }

    /// Returns the refusal of a request whose key was withdrawn, that is quarantined, or that its
    /// entry daemon would have shed.
    ///
    /// A request with a run key is never refused here: the run-once service may have its answer.
    fn find_arrival_refusal(&mut self, context: &mut Context<'_>, key: CallKey) -> Option<Refusal> {
        if let Some(refusal) = self.find_withdrawn_key_refusal(context, key) {
            return Some(refusal);
        }
        let is_unkeyed = self.calls.get(&key)?.peer_call.run_key == RunKey::None;
        let refusal = is_unkeyed.then(|| self.find_quarantine_refusal(context, key));
        refusal
            .flatten()
            .or_else(|| self.find_shed_refusal(context, key))
    }

    /// Asks the run-once service whether a request may run, and proceeds as it decides.
    ///
    /// If the target cannot accept a request with a claim now, the guard replies with a refusal or
    /// a doubt, without access to the platform's table.
    fn request_permission(&mut self, context: &mut Context<'_>, key: CallKey) {
        let Some(guard_call) = self.calls.get(&key) else {
            return;
        };
        let request = guard_call.peer_call.request;
        let run_key = guard_call.peer_call.run_key.clone();
        if matches!(run_key, RunKey::Claim(_))
            && let Some(refusal) = self.find_refusal(context.now_us(), key)
        {
            self.reply(
                context,
                key,
                run_once::non_holder_verdict(&run_key, refusal),
            );
            return;
        }
        let now_us = context.now_us();
        let run_once = context.find::<RunOnce>(run_once::NAME);
        let begin = match (&run_key, run_once) {
            (RunKey::None, _) => BeginOutcome::Run,
            (RunKey::Ticket(ticket), Some(run_once)) => {
                run_once.begin_with_ticket(now_us, key, *ticket, request)
            }
            (RunKey::Claim(claim), Some(run_once)) => {
                run_once.begin_with_claim(now_us, key, claim, request)
            }
            (_, None) => BeginOutcome::Decided(Verdict::not_run(RefusalReason::BadRequest, 0)),
        };
        self.proceed(context, key, begin);
    }

    /// Admits a request, leaves it waiting or replies to it, as the run-once service decided.
    fn proceed(&mut self, context: &mut Context<'_>, key: CallKey, begin: BeginOutcome) {
        match begin {
            BeginOutcome::Run => self.admit(context, key),
            BeginOutcome::Joined => self.set_stage(key, Stage::Joined),
            BeginOutcome::Pending => {
                self.set_stage(key, Stage::AwaitingClaim);
                context.queue_event(run_once::NAME, CLAIMS_DUE);
            }
            BeginOutcome::Decided(verdict) => self.reply(context, key, verdict),
        }
    }

    fn set_stage(&mut self, key: CallKey, stage: Stage) {
        if let Some(guard_call) = self.calls.get_mut(&key) {
            guard_call.stage = stage;
        }
    }

    /// Applies the decision of the run-once service on a waiting call.
    ///
    /// If the call is queued, its ticket has become void: it is removed from the admission queue.
    fn handle_run_once_decision(&mut self, context: &mut Context<'_>, decided: ClaimDecision) {
        let key = decided.call;
        let Some(guard_call) = self.calls.get_mut(&key) else {
            return;
        };
        guard_call.holder = decided.holder;
        if guard_call.stage == Stage::Queued {
            let now_us = context.now_us();
            if let Some(admission) = context.find::<Admission>(admission::NAME) {
                admission.cancel(now_us, key);
            }
        }
        self.proceed(context, key, decided.outcome);
    }

    /// Returns the refusal of a request that the target cannot accept now, whatever its rank, or that
    /// may not finish before the process ends.
    fn find_refusal(&self, now_us: u64, key: CallKey) -> Option<Refusal> {
        let service = &self.calls.get(&key)?.peer_call.service;
        let reason = match &self.target {
            _ if self.is_leaving() || self.ends_before_answer(now_us, key) => {
                RefusalReason::Leaving
            }
            None => RefusalReason::TargetNotReady,
            Some(target) if target.service != *service => RefusalReason::NoTarget,
            Some(_) => return None,
        };
        Some(self.refusal(reason, true))
    }

    fn refusal(&self, reason: RefusalReason, is_other_target_worthwhile: bool) -> Refusal {
        let retry_after_ms = self.settings.retry_after_ms;
        Refusal {
            reason,
            retry_after_ms,
            is_other_target_worthwhile,
        }
    }

    fn handle_notice(&mut self, context: &mut Context<'_>, notice: Notice) {
        match notice {
            Notice::TargetAnnounced(announcement) => {
                self.record_announcement(context, &announcement);
                self.target = Some(announcement);
                self.update_leaving(context);
            }
            Notice::TargetSilent => {
                self.target = None;
                self.record_silence(context);
                self.update_leaving(context);
                context.log(StateChange::new(
                    "guard",
                    "the target stopped announcing itself",
                    "",
                ));
            }
            Notice::StopAnnounced { time_limit_us } => {
                self.stop_limit.announce(context.now_us(), time_limit_us);
            }
            Notice::StopRequested => {
                let linger_us = u64::from(self.settings.stop_linger_ms) * 1_000;
                self.planned_stop.start(context.now_us() + linger_us);
                context.set_timer(linger_us, STOP_CHECK_TIMER);
                self.update_leaving(context);
            }
            _ => {}
        }
    }
}

impl Service for Guard {
    fn name(&self) -> &'static str {
        NAME
    }

    fn handle(&mut self, context: &mut Context<'_>, event: Event) {
        match event {
            Event::PeerRequest {
                inbound,
                request: PeerRequest::Call(call),
            } => {
                self.handle_call(context, inbound, *call);
            }
            Event::PeerRequest {
                inbound,
                request: PeerRequest::Load,
            } => {
                let load = self.load(context, None);
                context.respond(inbound, PeerResponse::Load(load));
            }
            Event::PeerRequestCancelled(inbound) => self.cancel_inbound(context, inbound),
            Event::TargetRequestEnded {
                call,
                outcome,
                signals,
            } => {
                self.record_signals(context, call, signals);
                self.handle_target_outcome(context, call, outcome)
            }
            Event::ClaimDecided(decided) => self.handle_run_once_decision(context, decided),
            Event::Notice(notice) => self.handle_notice(context, notice),
            Event::Timer(RELEASE_TIMER) => self.release_due_calls(context),
            Event::Timer(STOP_CHECK_TIMER) => self.check_stop_complete(context),
            Event::Timer(RECHECK_HELD_TIMER) => self.recheck_held(context),
            Event::Timer(REFUSE_QUEUED_TIMER) => self.refuse_queued(context),
            _ => {}
        }
    }
}

/// Counts the first attempt of a request by its origin. Only direct requests have a shed basis.
fn record_arrival(context: &mut Context<'_>, call: &PeerCall) {
    let now_us = context.now_us();
    let budgets = context.find::<ServiceBudgets>(retry::SERVICE_BUDGETS_NAME);
    if let Some(budgets) = budgets.filter(|_| !call.is_repeat) {
        budgets.record_arrival(now_us, call.shed_basis.is_some());
    }
}

/// Fetches the configuration of the entry daemon if the version in its call is newer than this
/// daemon's.
fn fetch_config_if_newer(context: &mut Context<'_>, call: &PeerCall) {
    let membership = context.find::<Membership>(membership::NAME);
    let from = membership.and_then(|membership| membership.get(call.from));
    let Some(address) = from.map(|member| member.address) else {
        return;
    };
    calls::fetch_config_if_newer(context, call.config_version, address);
}
