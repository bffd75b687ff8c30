//! Entry daemons, guards and fake targets with seeded arrivals, under virtual time.

#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use dragonflylug::admission::{Admission, AdmissionSettings, Admitted, Arrival, Ended, Released};
use dragonflylug::ids::{CallKey, MemberId, Priority, RootId, ServiceName};
use dragonflylug::kernel::{Input, Kernel, Notice};
use dragonflylug::membership::{Member, MemberState};
use dragonflylug::request::{LoadReport, Rank};
use dragonflylug::routing::{NAME, Router, RoutingSettings, TryOutcome, Want};
use dragonflylug::verdict::{Refusal, RefusalReason};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub const SECOND_US: u64 = 1_000_000;
/// One way between two daemons.
const DELAY_US: u64 = 500;
/// The pause of a caller that retries hard.
const CALLER_PAUSE_US: u64 = 1_000;
const ENTRIES: usize = 4;

/// A value that depends on the time.
pub type OverTime = fn(u64) -> f64;

pub fn always_one(_now_us: u64) -> f64 {
    1.0
}

pub fn never(_now_us: u64) -> f64 {
    0.0
}

/// A fake target.
#[derive(Clone, Copy)]
pub struct TargetSpec {
    pub service: usize,
    /// The slots that it announces.
    pub slots: u32,
    /// The requests that it really works on side by side; more slow each other down.
    pub parallel: u32,
    pub work_us: f64,
    /// Its work takes this many times longer.
    pub slowdown: OverTime,
    /// The share of requests that it answers with an error.
    pub error_share: OverTime,
    /// The time of such an answer.
    pub error_us: u64,
    pub appears_us: u64,
}

impl Default for TargetSpec {
    fn default() -> Self {
        Self {
            service: 0,
            slots: 35,
            parallel: 35,
            work_us: 20_000.0,
            slowdown: always_one,
            error_share: never,
            error_us: 500,
            appears_us: 0,
        }
    }
}

/// A kind of request of the callers.
#[derive(Clone, Copy)]
pub struct Kind {
    /// The service that the callers call.
    pub service: usize,
    pub priority: Priority,
    /// Its part of all arrivals.
    pub parts: u32,
    pub deadline_us: u64,
}

#[derive(Clone)]
pub struct Scenario {
    pub seed: u64,
    pub targets: Vec<TargetSpec>,
    /// The services that a request calls one after the other, by the service that calls.
    pub children: Vec<Vec<usize>>,
    pub kinds: Vec<Kind>,
    /// Arrivals a second.
    pub rate: f64,
    /// The arrivals are this many times as many.
    pub surge: OverTime,
    pub until_us: u64,
    /// `None` for a fixed limit and a queue in order of arrival.
    pub admission: Option<AdmissionSettings>,
    /// `None` for random choice.
    pub routing: Option<RoutingSettings>,
    /// Whether a failure below a target is told from one of the target itself.
    pub tells_deep_failures: bool,
    /// Whether roots keep their rank at all hops.
    pub shares_rank: bool,
    /// The further tries of an entry for a call.
    pub retries: u32,
    /// The further tries of a caller.
    pub caller_retries: u32,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            seed: 1,
            targets: Vec::new(),
            children: vec![Vec::new(); 4],
            kinds: Vec::new(),
            rate: 0.0,
            surge: always_one,
            until_us: 10 * SECOND_US,
            admission: Some(AdmissionSettings::default()),
            routing: Some(RoutingSettings::default()),
            tells_deep_failures: true,
            shares_rank: true,
            retries: 1,
            caller_retries: 0,
        }
    }
}

/// What came of the requests that arrived in one second.
#[derive(Clone, Debug, Default)]
pub struct Second {
    pub offered: [u64; 5],
    pub good: [u64; 5],
    /// Good answers that were given in this second, whenever their requests arrived.
    pub answered: u64,
    pub latencies_us: [Vec<u64>; 5],
}

#[derive(Debug, Default)]
pub struct Report {
    pub seconds: Vec<Second>,
    /// Calls that started while one of greater rank had just been refused for lack of room.
    pub inversions: u64,
    pub started: u64,
    /// Calls that were started and whose deadline passed before they ended.
    pub late: u64,
    pub background_max: u32,
    pub useful_us: f64,
    pub wasted_us: f64,
    pub by_target: Vec<u64>,
    /// Tries at guards.
    pub tries: u64,
}

impl Report {
    pub fn good(&self, priority: Priority, from: usize, until: usize) -> f64 {
        let at = priority as usize;
        let (mut good, mut offered) = (0, 0);
        for second in &self.seconds[from..until] {
            good += second.good[at];
            offered += second.offered[at];
        }
        good as f64 / offered.max(1) as f64
    }

    /// Returns the requests that arrived a second.
    pub fn offered(&self, from: usize, until: usize) -> f64 {
        let mut offered = 0;
        for second in &self.seconds[from..until] {
            offered += second.offered.iter().sum::<u64>();
        }
        offered as f64 / (until - from) as f64
    }

    /// Returns the good answers a second.
    pub fn goodput(&self, from: usize, until: usize) -> f64 {
        let mut answered = 0;
        for second in &self.seconds[from..until] {
            answered += second.answered;
        }
        answered as f64 / (until - from) as f64
    }

    /// Returns a percentile of the latency of good answers to requests of at least a priority.
    pub fn percentile_us(&self, percent: usize, least: Priority, from: usize, until: usize) -> u64 {
        let mut all = Vec::new();
        for second in &self.seconds[from..until] {
            for latencies_us in &second.latencies_us[least as usize..] {
                all.extend(latencies_us);
            }
        }
        all.sort_unstable();
        let at = (all.len() * percent / 100).min(all.len().saturating_sub(1));
        all.get(at).copied().unwrap_or(0)
    }
}

enum Guard {
    Adaptive(Box<Admission>),
    Fixed {
        slots: usize,
        running: usize,
        queue: VecDeque<CallKey>,
    },
}

struct Request {
    kind: usize,
    rank: Rank,
    arrived_us: u64,
    deadline_us: u64,
    tries_left: u32,
    attempt: u32,
    is_answered: bool,
    work_us: f64,
}

struct Call {
    request: usize,
    attempt: u32,
    parent: Option<usize>,
    service: usize,
    daemon: usize,
    target: usize,
    sent_us: u64,
    tries_left: u32,
    tried: Vec<MemberId>,
    next_child: usize,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Arrive,
    Appear(usize),
    AtGuard(usize),
    Worked(usize, bool),
    Replied(usize, TryOutcome, bool, Option<LoadReport>),
    Expire(usize),
    GiveUp(usize, u32),
    TryAgain(usize),
}

struct World {
    scenario: Scenario,
    rng: ChaCha8Rng,
    now_us: u64,
    sequence: u64,
    steps: BinaryHeap<Reverse<(u64, u64, Step)>>,
    routers: Vec<Kernel>,
    guards: Vec<Guard>,
    busy: Vec<u32>,
    background: Vec<u32>,
    refused: Vec<Option<Rank>>,
    requests: Vec<Request>,
    calls: Vec<Call>,
    report: Report,
}

/// Runs a scenario to its end.
pub fn run(scenario: Scenario) -> Report {
    let mut world = World::new(scenario);
    while let Some(Reverse((at_us, _, step))) = world.steps.pop() {
        if at_us >= world.scenario.until_us {
            break;
        }
        world.now_us = at_us;
        world.take(step);
    }
    for request in &world.requests {
        if request.is_answered {
            world.report.useful_us += request.work_us;
        } else {
            world.report.wasted_us += request.work_us;
        }
    }
    world.report
}

fn service_name(service: usize) -> ServiceName {
    ServiceName::from(format!("service{service}").as_str())
}

impl World {
    fn new(scenario: Scenario) -> Self {
        let count = scenario.targets.len();
        let mut routers = Vec::new();
        for daemon in 0..ENTRIES + count {
            let mut kernel = Kernel::new(daemon as u64);
            let settings = scenario.routing.clone().unwrap_or_default();
            let router = Router::new(settings, "a".into(), MemberId(1_000 + daemon as u64));
            kernel.register(Box::new(router));
            kernel.start(0);
            routers.push(kernel);
        }
        let mut guards = Vec::new();
        for target in &scenario.targets {
            guards.push(Guard::new(scenario.admission.as_ref(), target.slots));
        }
        let seconds = (scenario.until_us / SECOND_US) as usize;
        let report = Report {
            seconds: vec![Second::default(); seconds],
            by_target: vec![0; count],
            ..Report::default()
        };
        let mut world = Self {
            rng: ChaCha8Rng::seed_from_u64(scenario.seed),
            now_us: 0,
            sequence: 0,
            steps: BinaryHeap::new(),
            routers,
            guards,
            busy: vec![0; count],
            background: vec![0; count],
            refused: vec![None; count],
            requests: Vec::new(),
            calls: Vec::new(),
            report,
            scenario,
        };
        for target in 0..count {
            let appears_us = world.scenario.targets[target].appears_us;
            world.after(appears_us, Step::Appear(target));
        }
        world.after(0, Step::Arrive);
        world
    }

    fn after(&mut self, after_us: u64, step: Step) {
        self.sequence += 1;
        self.steps
            .push(Reverse((self.now_us + after_us, self.sequence, step)));
    }

    fn exponential_us(&mut self, mean_us: f64) -> u64 {
        let uniform: f64 = self.rng.random();
        (-(1.0 - uniform).ln() * mean_us) as u64
    }

    fn take(&mut self, step: Step) {
        match step {
            Step::Arrive => self.arrive(),
            Step::Appear(target) => self.appear(target),
            Step::AtGuard(call) => self.at_guard(call),
            Step::Worked(call, is_error) => self.worked(call, is_error),
            Step::Replied(call, outcome, is_other_target_worthwhile, load) => {
                self.replied(call, outcome, is_other_target_worthwhile, load);
            }
            Step::Expire(target) => self.expire(target),
            Step::GiveUp(request, attempt) => {
                let request_state = &self.requests[request];
                if request_state.attempt == attempt && !request_state.is_answered {
                    self.caller_failed(request);
                }
            }
            Step::TryAgain(request) => self.send_request(request),
        }
    }

    fn appear(&mut self, target: usize) {
        let spec = &self.scenario.targets[target];
        let member = Member {
            id: MemberId(target as u64),
            address: ([127, 0, 0, 1], 1_000 + target as u16).into(),
            availability_zone: "a".into(),
            service: Some(service_name(spec.service)),
            slots: spec.slots,
            state: MemberState::Alive,
            incarnation: 1,
            schema_version: 1,
        };
        for router in &mut self.routers {
            router.handle(
                self.now_us,
                Input::Notice(Notice::MemberChanged(member.clone())),
            );
        }
    }

    fn arrive(&mut self) {
        let rate = self.scenario.rate * (self.scenario.surge)(self.now_us);
        let next_us = self.exponential_us(SECOND_US as f64 / rate.max(0.001));
        self.after(next_us, Step::Arrive);
        let kind = self.pick_kind();
        let root = RootId(self.rng.random());
        let request = Request {
            kind,
            rank: Rank::new(self.scenario.kinds[kind].priority, root),
            arrived_us: self.now_us,
            deadline_us: 0,
            tries_left: self.scenario.caller_retries,
            attempt: 0,
            is_answered: false,
            work_us: 0.0,
        };
        self.requests.push(request);
        let priority = self.scenario.kinds[kind].priority as usize;
        self.second(self.now_us).offered[priority] += 1;
        self.send_request(self.requests.len() - 1);
    }

    fn pick_kind(&mut self) -> usize {
        let sum = self.scenario.kinds.iter().map(|kind| kind.parts).sum();
        let mut at = self.rng.random_range(0..sum);
        for (index, kind) in self.scenario.kinds.iter().enumerate() {
            if at < kind.parts {
                return index;
            }
            at -= kind.parts;
        }
        0
    }

    fn second(&mut self, at_us: u64) -> &mut Second {
        &mut self.report.seconds[(at_us / SECOND_US) as usize]
    }

    fn send_request(&mut self, request: usize) {
        let left_us = self.scenario.kinds[self.requests[request].kind].deadline_us;
        self.requests[request].deadline_us = self.now_us + left_us;
        self.requests[request].attempt += 1;
        let attempt = self.requests[request].attempt;
        self.after(left_us, Step::GiveUp(request, attempt));
        let daemon = self.rng.random_range(0..ENTRIES);
        let service = self.scenario.kinds[self.requests[request].kind].service;
        self.send_call(request, None, service, daemon);
    }

    fn send_call(&mut self, request: usize, parent: Option<usize>, service: usize, daemon: usize) {
        self.calls.push(Call {
            request,
            attempt: self.requests[request].attempt,
            parent,
            service,
            daemon,
            target: 0,
            sent_us: self.now_us,
            tries_left: self.scenario.retries,
            tried: Vec::new(),
            next_child: 0,
        });
        self.try_call(self.calls.len() - 1);
    }

    fn rank(&self, call: usize) -> Rank {
        let call = &self.calls[call];
        let mut rank = self.requests[call.request].rank;
        if !self.scenario.shares_rank {
            let other = RootId((call.request as u64) << 8 | call.service as u64);
            rank.root_rank = other.shed_rank();
        }
        rank
    }

    fn try_call(&mut self, call: usize) {
        let rank = self.rank(call);
        let service = service_name(self.calls[call].service);
        let tried = self.calls[call].tried.clone();
        let daemon = self.calls[call].daemon;
        let target = if self.scenario.routing.is_some() {
            let want = Want {
                service: &service,
                rank,
                excluded: &tried,
            };
            let router: &mut Router = self.routers[daemon].find(NAME).unwrap();
            let choice = router.choose(self.now_us, &mut self.rng, &want);
            choice.ok().map(|choice| choice.member)
        } else {
            self.choose_at_random(self.calls[call].service, &tried)
        };
        let Some(member) = target else {
            self.call_failed(call);
            return;
        };
        let router: &mut Router = self.routers[daemon].find(NAME).unwrap();
        router.sent(self.now_us, member);
        self.calls[call].tried.push(member);
        self.calls[call].target = member.0 as usize;
        self.calls[call].sent_us = self.now_us;
        self.calls[call].next_child = 0;
        self.report.tries += 1;
        self.after(DELAY_US, Step::AtGuard(call));
    }

    fn choose_at_random(&mut self, service: usize, tried: &[MemberId]) -> Option<MemberId> {
        let mut able = Vec::new();
        for (at, target) in self.scenario.targets.iter().enumerate() {
            let member = MemberId(at as u64);
            let is_there = target.appears_us <= self.now_us;
            if target.service == service && is_there && !tried.contains(&member) {
                able.push(member);
            }
        }
        if able.is_empty() {
            return None;
        }
        Some(able[self.rng.random_range(0..able.len())])
    }

    fn at_guard(&mut self, call: usize) {
        let target = self.calls[call].target;
        let arrival = Arrival {
            call: CallKey(call as u64),
            rank: self.rank(call),
            deadline_us: self.requests[self.calls[call].request].deadline_us,
            kind: Default::default(),
        };
        let offered = match &mut self.guards[target] {
            Guard::Adaptive(admission) => admission.offer(self.now_us, arrival),
            fixed => fixed.offer_fixed(arrival.call),
        };
        for evicted in offered.evicted {
            self.refuse(target, evicted.call.0 as usize, evicted.refusal);
        }
        match offered.outcome {
            Admitted::Start => self.start(call),
            Admitted::Queued => {}
            Admitted::Refused(refusal) => self.refuse(target, call, refusal),
        }
        self.schedule_expiry(target);
    }

    fn refuse(&mut self, target: usize, call: usize, refusal: Refusal) {
        if refusal.reason == RefusalReason::Overload {
            let rank = self.rank(call);
            let refused = &mut self.refused[target];
            *refused = Some(refused.map_or(rank, |other| other.max(rank)));
        }
        self.reply(
            call,
            TryOutcome::Refused,
            refusal.is_other_target_worthwhile,
        );
    }

    fn reply(&mut self, call: usize, outcome: TryOutcome, is_other_target_worthwhile: bool) {
        let target = self.calls[call].target;
        let load = match &self.guards[target] {
            Guard::Adaptive(admission) => Some(admission.load()),
            Guard::Fixed { .. } => None,
        };
        let step = Step::Replied(call, outcome, is_other_target_worthwhile, load);
        self.after(DELAY_US, step);
    }

    fn start(&mut self, call: usize) {
        let target = self.calls[call].target;
        let spec = self.scenario.targets[target];
        self.report.started += 1;
        self.report.by_target[target] += 1;
        // What was refused since the last start had to make room for those of its rank or above.
        if let Some(refused) = self.refused[target].take()
            && self.rank(call) < refused
        {
            self.report.inversions += 1;
        }
        self.busy[target] += 1;
        if self.rank(call).priority == Priority::Background {
            self.background[target] += 1;
            self.report.background_max = self.report.background_max.max(self.background[target]);
        }
        if self.rng.random_bool((spec.error_share)(self.now_us)) {
            self.after(spec.error_us, Step::Worked(call, true));
            return;
        }
        let crowding = f64::from(self.busy[target]) / f64::from(spec.parallel);
        let slowdown = (spec.slowdown)(self.now_us) * crowding.max(1.0).powf(1.5);
        let work_us = self.exponential_us(spec.work_us / 2.0) as f64 + spec.work_us / 2.0;
        let work_us = work_us * slowdown;
        let request = self.calls[call].request;
        self.requests[request].work_us += work_us;
        self.after(work_us as u64, Step::Worked(call, false));
    }

    fn worked(&mut self, call: usize, is_error: bool) {
        let service = self.calls[call].service;
        let next = self.calls[call].next_child;
        let child = self.scenario.children[service].get(next).copied();
        match child {
            Some(child) if !is_error => {
                self.calls[call].next_child += 1;
                let daemon = ENTRIES + self.calls[call].target;
                self.send_call(self.calls[call].request, Some(call), child, daemon);
            }
            _ => self.leave(
                call,
                if is_error {
                    Ended::Failed
                } else {
                    Ended::Answered
                },
            ),
        }
    }

    fn leave(&mut self, call: usize, ended: Ended) {
        let target = self.calls[call].target;
        self.busy[target] -= 1;
        if self.rank(call).priority == Priority::Background {
            self.background[target] -= 1;
        }
        if self.now_us > self.requests[self.calls[call].request].deadline_us {
            self.report.late += 1;
        }
        let key = CallKey(call as u64);
        let released = match &mut self.guards[target] {
            Guard::Adaptive(admission) => admission.finish(self.now_us, key, ended),
            fixed => fixed.finish_fixed(),
        };
        let has_failed_below = self.calls[call].next_child > 0;
        let outcome = match ended {
            Ended::Answered => TryOutcome::Answered,
            _ if has_failed_below && self.scenario.tells_deep_failures => TryOutcome::Refused,
            _ => TryOutcome::TargetError,
        };
        self.reply(call, outcome, false);
        self.release(target, released);
    }

    fn release(&mut self, target: usize, released: Released) {
        for evicted in released.evicted {
            self.refuse(target, evicted.call.0 as usize, evicted.refusal);
        }
        for call in released.started {
            self.start(call.0 as usize);
        }
        self.schedule_expiry(target);
    }

    fn schedule_expiry(&mut self, target: usize) {
        if let Guard::Adaptive(admission) = &self.guards[target]
            && let Some(at_us) = admission.next_expiry_us()
        {
            self.after(at_us.saturating_sub(self.now_us), Step::Expire(target));
        }
    }

    fn expire(&mut self, target: usize) {
        let now_us = self.now_us;
        if let Guard::Adaptive(admission) = &mut self.guards[target]
            && admission.next_expiry_us().is_some_and(|at| at <= now_us)
        {
            let released = admission.expire(now_us);
            self.release(target, released);
        }
    }

    fn replied(
        &mut self,
        call: usize,
        outcome: TryOutcome,
        is_other_target_worthwhile: bool,
        load: Option<LoadReport>,
    ) {
        let (daemon, target) = (self.calls[call].daemon, self.calls[call].target);
        let latency_us = self.now_us - self.calls[call].sent_us;
        let router: &mut Router = self.routers[daemon].find(NAME).unwrap();
        let member = MemberId(target as u64);
        router.ended(self.now_us, member, outcome, latency_us, load);
        let may_try = outcome == TryOutcome::TargetError || is_other_target_worthwhile;
        if outcome == TryOutcome::Answered {
            self.call_answered(call);
        } else if may_try && self.calls[call].tries_left > 0 {
            self.calls[call].tries_left -= 1;
            self.try_call(call);
        } else {
            self.call_failed(call);
        }
    }

    fn call_answered(&mut self, call: usize) {
        if let Some(parent) = self.calls[call].parent {
            self.worked(parent, false);
            return;
        }
        let request = self.calls[call].request;
        let is_in_time = self.now_us <= self.requests[request].deadline_us
            && self.requests[request].attempt == self.calls[call].attempt;
        if self.requests[request].is_answered || !is_in_time {
            return;
        }
        self.requests[request].is_answered = true;
        let arrived_us = self.requests[request].arrived_us;
        let priority = self.requests[request].rank.priority as usize;
        self.second(arrived_us).good[priority] += 1;
        let now_us = self.now_us;
        self.second(now_us).answered += 1;
        self.second(now_us).latencies_us[priority].push(now_us - arrived_us);
    }

    fn call_failed(&mut self, call: usize) {
        if let Some(parent) = self.calls[call].parent {
            self.leave(parent, Ended::Failed);
            return;
        }
        let request = self.calls[call].request;
        let is_present = self.requests[request].attempt == self.calls[call].attempt;
        if is_present && !self.requests[request].is_answered {
            self.caller_failed(request);
        }
    }

    fn caller_failed(&mut self, request: usize) {
        let state = &mut self.requests[request];
        state.attempt += 1;
        if state.tries_left > 0 {
            state.tries_left -= 1;
            self.after(CALLER_PAUSE_US, Step::TryAgain(request));
        }
    }
}

impl Guard {
    fn new(settings: Option<&AdmissionSettings>, slots: u32) -> Self {
        let Some(settings) = settings else {
            return Self::Fixed {
                slots: slots as usize,
                running: 0,
                queue: VecDeque::new(),
            };
        };
        let mut admission = Admission::new(settings.clone());
        admission.set_slots(0, slots);
        Self::Adaptive(Box::new(admission))
    }

    fn offer_fixed(&mut self, call: CallKey) -> dragonflylug::admission::Offer {
        let mut outcome = Admitted::Queued;
        if let Self::Fixed {
            slots,
            running,
            queue,
        } = self
        {
            if *running < *slots {
                *running += 1;
                outcome = Admitted::Start;
            } else {
                queue.push_back(call);
            }
        }
        dragonflylug::admission::Offer {
            outcome,
            evicted: Vec::new(),
        }
    }

    fn finish_fixed(&mut self) -> Released {
        let mut released = Released::default();
        if let Self::Fixed { running, queue, .. } = self {
            match queue.pop_front() {
                Some(call) => released.started.push(call),
                None => *running -= 1,
            }
        }
        released
    }
}
