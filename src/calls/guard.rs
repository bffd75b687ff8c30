//! The guard role: runs requests on the target beside the daemon.

mod drain;
mod parent;
mod settle;

pub use parent::Parent;

use macro_rules_attribute::apply;

use crate::admission::{self, Admission, Admitted, Arrival, CancelOutcome, Ended, Released};
use crate::config::{self, Config};
use crate::derives::settings;
use crate::headers;
use crate::ids::{CallKey, InboundKey, RequestId};
use crate::kernel::{Context, Effect, Event, Notice, Service, StateChange, TargetOutcome};
use crate::membership::{self, Membership};
use crate::peer::PeerQuestion;
use crate::request::{Header, HttpRequest, PeerCall, Rank, RunKey};
use crate::retry::Allowance;
use crate::run_once::{self, Begin, CLAIMS_DUE, ClaimDecided, ClaimHolder, RunOnce};
use crate::sorted::SortedMap;
use crate::target::Announcement;
use crate::verdict::{DoubtReason, Refusal, RefusalReason, Verdict};
use drain::{Drain, HAND_ON_AFTER_US};

/// The name of the service that runs calls on the target beside the daemon.
pub const NAME: &str = "guard";

const EXPIRY_TIMER: u64 = 0;
const DRAIN_TIMER: u64 = 1;
const HAND_ON_TIMER: u64 = 2;

/// Settings of the guard.
#[apply(settings!)]
pub struct GuardSettings {
    /// The time after which a caller may try again where no better estimate is at hand.
    pub retry_after_ms: u32,
    /// The time beyond its deadline for which the answer of a run-once request is waited for.
    pub late_answer_ms: u32,
    /// The least time between the start of a planned stop and its end.
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
    calls: SortedMap<CallKey, GuardCall>,
    inbound: SortedMap<InboundKey, CallKey>,
    running: SortedMap<RequestId, CallKey>,
    drain: Drain,
    expiry_timer_us: Option<u64>,
}

/// A request at the guard.
struct GuardCall {
    inbound: InboundKey,
    call: PeerCall,
    deadline_us: u64,
    allowance: Allowance,
    stage: Stage,
    is_failed_below: bool,
    is_orphaned: bool,
    holder: Option<ClaimHolder>,
}

/// How far a request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Nothing was decided yet.
    New,
    /// It waits for the table's word on its claim.
    Pending,
    /// It waits for the verdict of another call with the same key.
    Joined,
    /// It waits in the admission queue.
    Queued,
    /// It was handed to the target.
    Sent,
}

impl Guard {
    /// Makes a guard without a target; one announces itself later.
    pub fn new(settings: GuardSettings) -> Self {
        Self {
            settings,
            target: None,
            calls: SortedMap::default(),
            inbound: SortedMap::default(),
            running: SortedMap::default(),
            drain: Drain::default(),
            expiry_timer_us: None,
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

    /// Says whether no request is at the guard.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Says whether the target takes no new work.
    pub fn is_leaving(&self) -> bool {
        let is_draining = self
            .target
            .as_ref()
            .is_some_and(|target| target.is_draining);
        is_draining || self.drain.is_stopping()
    }

    fn arrive(&mut self, context: &mut Context<'_>, inbound: InboundKey, call: PeerCall) {
        note_config_version(context, &call);
        let key = CallKey(context.new_key());
        let deadline_us = context.now_us() + u64::from(call.deadline_left_ms) * 1_000;
        let allowance = Allowance::new(call.retries);
        let guard_call = GuardCall {
            inbound,
            call,
            deadline_us,
            allowance,
            stage: Stage::New,
            is_failed_below: false,
            is_orphaned: false,
            holder: None,
        };
        self.inbound.insert(inbound, key);
        self.calls.insert(key, guard_call);
        self.begin(context, key);
    }

    /// Asks the run-once service whether the request may run at all.
    fn begin(&mut self, context: &mut Context<'_>, key: CallKey) {
        let Some(guard_call) = self.calls.get(&key) else {
            return;
        };
        let request = guard_call.call.request;
        let run_key = guard_call.call.run_key.clone();
        if matches!(run_key, RunKey::Claim(_))
            && let Some(refusal) = self.find_refusal(key)
        {
            self.reply(context, key, run_once::unheld_refusal(&run_key, refusal));
            return;
        }
        let now_us = context.now_us();
        let run_once = context.find::<RunOnce>(run_once::NAME);
        let begin = match (&run_key, run_once) {
            (RunKey::None, _) => Begin::Run,
            (RunKey::Ticket(ticket), Some(run_once)) => {
                run_once.begin_ticket(now_us, key, *ticket, request)
            }
            (RunKey::Claim(claim), Some(run_once)) => {
                run_once.begin_claim(now_us, key, claim, request)
            }
            (_, None) => Begin::Decided(Verdict::not_run(RefusalReason::BadRequest, 0)),
        };
        self.go_on(context, key, begin);
    }

    fn go_on(&mut self, context: &mut Context<'_>, key: CallKey, begin: Begin) {
        match begin {
            Begin::Run => self.admit(context, key),
            Begin::Joined => self.set_stage(key, Stage::Joined),
            Begin::Pending => {
                self.set_stage(key, Stage::Pending);
                context.send(run_once::NAME, CLAIMS_DUE);
            }
            Begin::Decided(verdict) => self.reply(context, key, verdict),
        }
    }

    fn set_stage(&mut self, key: CallKey, stage: Stage) {
        if let Some(guard_call) = self.calls.get_mut(&key) {
            guard_call.stage = stage;
        }
    }

    /// Takes the word of the run-once service on a call that waits; the call may be queued.
    fn hear_decision(&mut self, context: &mut Context<'_>, decided: ClaimDecided) {
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
        self.go_on(context, key, decided.begin);
    }

    /// Returns why no request can be taken at present, whatever its rank.
    fn find_refusal(&self, key: CallKey) -> Option<Refusal> {
        let service = &self.calls.get(&key)?.call.service;
        let reason = match &self.target {
            _ if self.is_leaving() => RefusalReason::Leaving,
            None => RefusalReason::TargetNotReady,
            Some(target) if target.service != *service => RefusalReason::NoTarget,
            Some(_) => return None,
        };
        Some(self.refusal(reason, true))
    }

    fn refusal(&self, reason: RefusalReason, is_elsewhere_worthwhile: bool) -> Refusal {
        let retry_after_ms = self.settings.retry_after_ms;
        Refusal {
            reason,
            retry_after_ms,
            is_elsewhere_worthwhile,
        }
    }

    fn admit(&mut self, context: &mut Context<'_>, key: CallKey) {
        if let Some(refusal) = self.find_refusal(key) {
            self.refuse(context, key, refusal);
            return;
        }
        let Some(guard_call) = self.calls.get_mut(&key) else {
            return;
        };
        if guard_call.is_orphaned {
            let refusal = self.refusal(RefusalReason::Cancelled, false);
            self.refuse(context, key, refusal);
            return;
        }
        let rank = Rank::new(guard_call.call.priority, guard_call.call.root);
        let arrival = Arrival {
            call: key,
            rank,
            deadline_us: guard_call.deadline_us,
        };
        guard_call.stage = Stage::Queued;
        let now_us = context.now_us();
        let Some(admission) = context.find::<Admission>(admission::NAME) else {
            return;
        };
        let offer = admission.offer(now_us, arrival);
        match offer.outcome {
            Admitted::Start => self.send(context, key),
            Admitted::Queued => {}
            Admitted::Refused(refusal) => self.refuse(context, key, refusal),
        }
        for evicted in offer.evicted {
            self.refuse(context, evicted.call, evicted.refusal);
        }
        self.set_expiry_timer(context);
    }

    /// The one place that moves a request from queued to sent; after it nothing says "not run".
    fn send(&mut self, context: &mut Context<'_>, key: CallKey) {
        let now_us = context.now_us();
        let Some(guard_call) = self.calls.get_mut(&key) else {
            return;
        };
        if guard_call.deadline_us <= now_us {
            let refusal = self.refusal(RefusalReason::Deadline, false);
            self.release(context, key, Ended::Cancelled);
            self.refuse(context, key, refusal);
            return;
        }
        let timeout_us = guard_call.deadline_us - now_us;
        let request = guard_call.call.request;
        let is_run_once = guard_call.call.run_key != RunKey::None;
        let http = with_context_headers(&guard_call.call, timeout_us);
        let late_us = u64::from(self.settings.late_answer_ms) * 1_000;
        let timeout_us = if is_run_once {
            timeout_us + late_us
        } else {
            timeout_us
        };
        if is_run_once && !mark_sent(context, key) {
            self.release(context, key, Ended::Cancelled);
            return;
        }
        self.set_stage(key, Stage::Sent);
        self.running.insert(request, key);
        context.emit(Effect::SendTarget {
            call: key,
            http,
            timeout_us,
        });
    }

    fn end(&mut self, context: &mut Context<'_>, key: CallKey, outcome: TargetOutcome) {
        let Some(guard_call) = self.calls.get(&key) else {
            return;
        };
        let is_late = guard_call.deadline_us <= context.now_us();
        let is_failed_below = guard_call.is_failed_below;
        let retry_after_ms = self.settings.retry_after_ms;
        let verdict = match outcome {
            TargetOutcome::Answered(answer) => Verdict::Ran(answer),
            TargetOutcome::NotSent => {
                Verdict::NotRun(self.refusal(RefusalReason::TargetNotReady, true))
            }
            TargetOutcome::Lost if is_late => {
                Verdict::may_have_run(DoubtReason::Deadline, retry_after_ms)
            }
            TargetOutcome::Lost => {
                Verdict::may_have_run(DoubtReason::ConnectionLost, retry_after_ms)
            }
        };
        let ended = match &verdict {
            Verdict::Ran(answer) if answer.status < 500 || is_failed_below => Ended::Answered,
            _ => Ended::Failed,
        };
        self.release(context, key, ended);
        self.settle(context, key, verdict);
    }

    /// Frees the place of a request at the target and starts what waited for it.
    fn release(&mut self, context: &mut Context<'_>, key: CallKey, ended: Ended) {
        let now_us = context.now_us();
        let Some(admission) = context.find::<Admission>(admission::NAME) else {
            return;
        };
        let released = admission.finish(now_us, key, ended);
        self.follow(context, released);
    }

    fn follow(&mut self, context: &mut Context<'_>, released: Released) {
        for evicted in released.evicted {
            self.refuse(context, evicted.call, evicted.refusal);
        }
        for started in released.started {
            self.send(context, started);
        }
        self.set_expiry_timer(context);
    }

    fn expire(&mut self, context: &mut Context<'_>) {
        self.expiry_timer_us = None;
        let now_us = context.now_us();
        let Some(admission) = context.find::<Admission>(admission::NAME) else {
            return;
        };
        let released = admission.expire(now_us);
        self.follow(context, released);
    }

    /// Sets the timer of the queue's next expiry, unless one is set that comes sooner.
    fn set_expiry_timer(&mut self, context: &mut Context<'_>) {
        let now_us = context.now_us();
        let Some(admission) = context.find::<Admission>(admission::NAME) else {
            return;
        };
        let Some(expiry_us) = admission.next_expiry_us() else {
            return;
        };
        let expiry_us = expiry_us.max(now_us);
        if self
            .expiry_timer_us
            .is_some_and(|set_us| set_us <= expiry_us)
        {
            return;
        }
        self.expiry_timer_us = Some(expiry_us);
        context.timer(expiry_us - now_us, EXPIRY_TIMER);
    }

    /// The entry daemon gave up: queued work is dropped, work that may run again is cancelled.
    fn drop_inbound(&mut self, context: &mut Context<'_>, inbound: InboundKey) {
        let Some(key) = self.inbound.remove(&inbound) else {
            return;
        };
        let Some(guard_call) = self.calls.get_mut(&key) else {
            return;
        };
        guard_call.is_orphaned = true;
        let is_free = guard_call.call.run_key == RunKey::None;
        match guard_call.stage {
            Stage::New | Stage::Pending => {}
            Stage::Joined => self.leave_joined(context, key),
            Stage::Queued => self.cancel_queued(context, key),
            Stage::Sent if is_free => self.cancel_sent(context, key),
            Stage::Sent => {}
        }
    }

    fn leave_joined(&mut self, context: &mut Context<'_>, key: CallKey) {
        if let Some(run_once) = context.find::<RunOnce>(run_once::NAME) {
            run_once.abandon(key);
        }
        self.calls.remove(&key);
    }

    fn cancel_queued(&mut self, context: &mut Context<'_>, key: CallKey) {
        let now_us = context.now_us();
        let Some(admission) = context.find::<Admission>(admission::NAME) else {
            return;
        };
        if admission.cancel(now_us, key) != CancelOutcome::RemovedFromQueue {
            return;
        }
        let run_once = context.find::<RunOnce>(run_once::NAME);
        if let Some(next) = run_once.and_then(|run_once| run_once.hand_over(key)) {
            self.calls.remove(&key);
            self.admit(context, next);
            return;
        }
        let refusal = self.refusal(RefusalReason::Cancelled, false);
        self.refuse(context, key, refusal);
    }

    fn cancel_sent(&mut self, context: &mut Context<'_>, key: CallKey) {
        context.emit(Effect::CancelTarget { call: key });
        self.release(context, key, Ended::Cancelled);
        let retry_after_ms = self.settings.retry_after_ms;
        self.settle(
            context,
            key,
            Verdict::may_have_run(DoubtReason::Cancelled, retry_after_ms),
        );
    }

    fn hear(&mut self, context: &mut Context<'_>, notice: Notice) {
        match notice {
            Notice::TargetAnnounced(announcement) => {
                let was_leaving = self.is_leaving();
                self.target = Some(announcement);
                if !was_leaving && self.is_leaving() {
                    context.timer(HAND_ON_AFTER_US, HAND_ON_TIMER);
                }
            }
            Notice::TargetSilent => {
                self.target = None;
                context.log(StateChange::new("guard", "the target is silent", ""));
            }
            Notice::StopRequested => {
                let linger_us = u64::from(self.settings.stop_linger_ms) * 1_000;
                self.drain.start(context.now_us() + linger_us);
                context.timer(linger_us, DRAIN_TIMER);
                context.timer(HAND_ON_AFTER_US, HAND_ON_TIMER);
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
            Event::Asked {
                inbound,
                question: PeerQuestion::Call(call),
            } => {
                self.arrive(context, inbound, *call);
            }
            Event::AskDropped(inbound) => self.drop_inbound(context, inbound),
            Event::TargetAnswered { call, outcome } => self.end(context, call, outcome),
            Event::ClaimDecided(decided) => self.hear_decision(context, decided),
            Event::Notice(notice) => self.hear(context, notice),
            Event::Timer(EXPIRY_TIMER) => self.expire(context),
            Event::Timer(DRAIN_TIMER) => self.look_for_end(context),
            Event::Timer(HAND_ON_TIMER) => self.hand_on_queued(context),
            _ => {}
        }
    }
}

/// Says whether a request that runs at most once may be sent now.
fn mark_sent(context: &mut Context<'_>, key: CallKey) -> bool {
    let run_once = context.find::<RunOnce>(run_once::NAME);
    run_once.is_some_and(|run_once| run_once.mark_sent(key))
}

/// A call with a greater configuration version makes this daemon fetch it.
fn note_config_version(context: &mut Context<'_>, call: &PeerCall) {
    let membership = context.find::<Membership>(membership::NAME);
    let from = membership.and_then(|membership| membership.get(call.from));
    let Some(address) = from.map(|member| member.address) else {
        return;
    };
    context.with(config::NAME, |config: &mut Config, context| {
        config.note_version(context, call.config_version, address);
    });
}

fn with_context_headers(call: &PeerCall, timeout_us: u64) -> HttpRequest {
    let mut http = call.http.clone();
    let mut add = |name: &str, value: String| {
        http.headers.push(Header {
            name: name.to_string(),
            value,
        });
    };
    add(headers::REQUEST, headers::format_request(call.request));
    add(headers::DEADLINE_MS, (timeout_us / 1_000).to_string());
    http
}
