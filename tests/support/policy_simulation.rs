//! A discrete-event simulation of the admission and routing policies under load: callers, entry
//! daemons and guards are modelled, with seeded arrivals and virtual time. It is faster than
//! `network.rs`, which simulates complete nodes.

#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use dragonflylug::admission::{
    Admission, AdmissionOutcome, AdmissionSettings, Arrival, CallOutcome, DequeuedCalls,
    OfferResult,
};
use dragonflylug::ids::{CallKey, MemberId, Priority, RootId, ServiceName, WorkKind};
use dragonflylug::kernel::{Input, Kernel, Notice};
use dragonflylug::membership::{Member, MemberState};
use dragonflylug::request::{LoadReport, Rank};
use dragonflylug::routing::{AttemptOutcome, NAME, Router, RoutingSettings, TargetQuery};
use dragonflylug::verdict::{Refusal, RefusalReason};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub const SECOND_US: u64 = 1_000_000;
/// The one-way network delay between two daemons.
const DELAY_US: u64 = 500;
/// The pause before a caller's retry: short, for callers that retry aggressively.
const CALLER_PAUSE_US: u64 = 1_000;
/// The number of entry daemons that callers use.
const ENTRIES: usize = 4;

/// A value as a function of virtual time, in microseconds.
pub type TimeFunction = fn(u64) -> f64;

pub fn constant_one(_now_us: u64) -> f64 {
    1.0
}

pub fn constant_zero(_now_us: u64) -> f64 {
    0.0
}

/// A fake target.
#[derive(Clone, Copy)]
pub struct TargetSpec {
    pub service: usize,
    /// The number of slots that it announces.
    pub slots: u32,
    /// The number of requests that it can really process in parallel; more slow each other down.
    pub concurrency: u32,
    /// The mean time that it works on a request.
    pub work_us: f64,
    /// The factor by which its work takes longer.
    pub slowdown: TimeFunction,
    /// The share of requests that it answers with an error.
    pub error_share: TimeFunction,
    /// The latency of such an error.
    pub error_latency_us: u64,
    /// The time at which it joins.
    pub joins_us: u64,
}

impl Default for TargetSpec {
    fn default() -> Self {
        Self {
            service: 0,
            slots: 35,
            concurrency: 35,
            work_us: 20_000.0,
            slowdown: constant_one,
            error_share: constant_zero,
            error_latency_us: 500,
            joins_us: 0,
        }
    }
}

/// A kind of request that callers send.
#[derive(Clone, Copy)]
pub struct RequestKind {
    /// The service that the callers call.
    pub service: usize,
    pub priority: Priority,
    /// Its weight among the kinds in the choice of each arrival's kind.
    pub weight: u32,
    pub deadline_us: u64,
}

#[derive(Clone)]
pub struct Scenario {
    pub seed: u64,
    pub targets: Vec<TargetSpec>,
    /// The services that a request calls one after the other, indexed by the calling service.
    pub children: Vec<Vec<usize>>,
    pub kinds: Vec<RequestKind>,
    /// The mean rate of arrivals; arrivals form a Poisson process.
    pub arrivals_per_s: f64,
    /// The factor by which the rate of arrivals is multiplied.
    pub rate_factor: TimeFunction,
    pub end_us: u64,
    /// `None` for a fixed concurrency limit and a FIFO queue.
    pub admission: Option<AdmissionSettings>,
    /// `None` for a random choice of target.
    pub routing: Option<RoutingSettings>,
    /// Whether the calls of a root request have the same rank at all hops.
    pub keeps_root_rank: bool,
    /// The maximum number of retries of an entry daemon for a call.
    pub entry_retries: u32,
    /// The maximum number of retries of a caller for a request.
    pub caller_retries: u32,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            seed: 1,
            targets: Vec::new(),
            children: vec![Vec::new(); 4],
            kinds: Vec::new(),
            arrivals_per_s: 0.0,
            rate_factor: constant_one,
            end_us: 10 * SECOND_US,
            admission: Some(AdmissionSettings::default()),
            routing: Some(RoutingSettings::default()),
            keeps_root_rank: true,
            entry_retries: 1,
            caller_retries: 0,
        }
    }
}

/// The counts of one second.
///
/// `offered` and `good` count, by priority, the requests that arrived in this second.
#[derive(Clone, Debug, Default)]
pub struct SecondCounts {
    pub offered: [u64; 5],
    pub good: [u64; 5],
    /// The good answers that were returned in this second, whenever their requests arrived.
    pub answered: u64,
    /// The latencies, by priority, of the good answers that were returned in this second.
    pub latencies_us: [Vec<u64>; 5],
}

#[derive(Debug, Default)]
pub struct Report {
    pub seconds: Vec<SecondCounts>,
    /// The number of calls that started although one of higher rank had been refused because of
    /// overload since the previous start (priority inversions).
    pub inversions: u64,
    pub started: u64,
    /// The number of calls that started and ended after the deadline of their request. A caller's
    /// retry renews that deadline, so late calls of earlier attempts may be missing.
    pub late: u64,
    pub background_running_max: u32,
    /// The work on requests that were answered in time.
    pub useful_us: f64,
    /// The work on all other requests.
    pub wasted_us: f64,
    pub started_by_target: Vec<u64>,
    /// The number of attempts that were sent to guards.
    pub attempts: u64,
}

impl Report {
    /// Returns the share of the requests of a priority that got a good answer.
    pub fn good_share(&self, priority: Priority, from: usize, until: usize) -> f64 {
        let index = priority as usize;
        let (mut good, mut offered) = (0, 0);
        for second in &self.seconds[from..until] {
            good += second.good[index];
            offered += second.offered[index];
        }
        good as f64 / offered.max(1) as f64
    }

    /// Returns the mean number of requests that arrived per second.
    pub fn offered_per_s(&self, from: usize, until: usize) -> f64 {
        let mut offered = 0;
        for second in &self.seconds[from..until] {
            offered += second.offered.iter().sum::<u64>();
        }
        offered as f64 / (until - from) as f64
    }

    /// Returns the mean number of good answers per second.
    pub fn goodput_per_s(&self, from: usize, until: usize) -> f64 {
        let mut answered = 0;
        for second in &self.seconds[from..until] {
            answered += second.answered;
        }
        answered as f64 / (until - from) as f64
    }

    /// Returns a percentile of the latency of good answers to requests of at least a priority.
    pub fn percentile_us(
        &self,
        percent: usize,
        priority_min: Priority,
        from: usize,
        until: usize,
    ) -> u64 {
        let mut all = Vec::new();
        for second in &self.seconds[from..until] {
            for latencies_us in &second.latencies_us[priority_min as usize..] {
                all.extend(latencies_us);
            }
        }
        all.sort_unstable();
        let index = (all.len() * percent / 100).min(all.len().saturating_sub(1));
        all.get(index).copied().unwrap_or(0)
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
    retries_left: u32,
    /// Increases with each attempt and each failure of one, so that replies and timeouts of earlier
    /// attempts are ignored.
    generation: u32,
    is_answered: bool,
    work_us: f64,
}

struct Call {
    request: usize,
    /// The generation of the request when this call was made.
    generation: u32,
    parent: Option<usize>,
    service: usize,
    /// The daemon that sends the call.
    calling_daemon: usize,
    target: usize,
    sent_us: u64,
    retries_left: u32,
    attempted: Vec<MemberId>,
    next_child: usize,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    RequestArrives,
    TargetJoins(usize),
    CallReachesGuard(usize),
    WorkEnds {
        call: usize,
        is_error: bool,
    },
    ReplyArrives {
        call: usize,
        outcome: AttemptOutcome,
        is_other_target_worthwhile: bool,
        load: Option<LoadReport>,
    },
    QueueUpdateDue(usize),
    CallerTimesOut(usize, u32),
    CallerRetries(usize),
}

struct Simulation {
    scenario: Scenario,
    rng: ChaCha8Rng,
    now_us: u64,
    sequence: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    routers: Vec<Kernel>,
    guards: Vec<Guard>,
    in_flight: Vec<u32>,
    background_running: Vec<u32>,
    highest_refused: Vec<Option<Rank>>,
    requests: Vec<Request>,
    calls: Vec<Call>,
    report: Report,
}

/// Runs a scenario to its end.
pub fn run(scenario: Scenario) -> Report {
    let mut simulation = Simulation::new(scenario);
    while let Some(Reverse((at_us, _, event))) = simulation.events.pop() {
        if at_us >= simulation.scenario.end_us {
            break;
        }
        simulation.now_us = at_us;
        simulation.handle(event);
    }
    for request in &simulation.requests {
        if request.is_answered {
            simulation.report.useful_us += request.work_us;
        } else {
            simulation.report.wasted_us += request.work_us;
        }
    }
    simulation.report
}

fn service_name(service: usize) -> ServiceName {
    ServiceName::from(format!("service{service}").as_str())
}

impl Simulation {
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
        let seconds = (scenario.end_us / SECOND_US) as usize;
        let report = Report {
            seconds: vec![SecondCounts::default(); seconds],
            started_by_target: vec![0; count],
            ..Report::default()
        };
        let mut simulation = Self {
            rng: ChaCha8Rng::seed_from_u64(scenario.seed),
            now_us: 0,
            sequence: 0,
            events: BinaryHeap::new(),
            routers,
            guards,
            in_flight: vec![0; count],
            background_running: vec![0; count],
            highest_refused: vec![None; count],
            requests: Vec::new(),
            calls: Vec::new(),
            report,
            scenario,
        };
        for target in 0..count {
            let joins_us = simulation.scenario.targets[target].joins_us;
            simulation.schedule(joins_us, Event::TargetJoins(target));
        }
        simulation.schedule(0, Event::RequestArrives);
        simulation
    }

    fn schedule(&mut self, delay_us: u64, event: Event) {
        self.sequence += 1;
        self.events
            .push(Reverse((self.now_us + delay_us, self.sequence, event)));
    }

    fn exponential_us(&mut self, mean_us: f64) -> u64 {
        let uniform: f64 = self.rng.random();
        (-(1.0 - uniform).ln() * mean_us) as u64
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::RequestArrives => self.add_request(),
            Event::TargetJoins(target) => self.add_target(target),
            Event::CallReachesGuard(call) => self.offer_call(call),
            Event::WorkEnds { call, is_error } => self.end_work(call, is_error),
            Event::ReplyArrives {
                call,
                outcome,
                is_other_target_worthwhile,
                load,
            } => {
                self.handle_reply(call, outcome, is_other_target_worthwhile, load);
            }
            Event::QueueUpdateDue(target) => self.update_queue(target),
            Event::CallerTimesOut(request, generation) => {
                let request_state = &self.requests[request];
                if request_state.generation == generation && !request_state.is_answered {
                    self.fail_attempt(request);
                }
            }
            Event::CallerRetries(request) => self.send_request(request),
        }
    }

    fn add_target(&mut self, target: usize) {
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

    fn add_request(&mut self) {
        let rate = self.scenario.arrivals_per_s * (self.scenario.rate_factor)(self.now_us);
        let next_us = self.exponential_us(SECOND_US as f64 / rate.max(0.001));
        self.schedule(next_us, Event::RequestArrives);
        let kind = self.pick_kind();
        let root = RootId(self.rng.random());
        let request = Request {
            kind,
            rank: Rank::new(self.scenario.kinds[kind].priority, root),
            arrived_us: self.now_us,
            deadline_us: 0,
            retries_left: self.scenario.caller_retries,
            generation: 0,
            is_answered: false,
            work_us: 0.0,
        };
        self.requests.push(request);
        let priority = self.scenario.kinds[kind].priority as usize;
        self.second_at(self.now_us).offered[priority] += 1;
        self.send_request(self.requests.len() - 1);
    }

    fn pick_kind(&mut self) -> usize {
        let sum = self.scenario.kinds.iter().map(|kind| kind.weight).sum();
        let mut position = self.rng.random_range(0..sum);
        for (index, kind) in self.scenario.kinds.iter().enumerate() {
            if position < kind.weight {
                return index;
            }
            position -= kind.weight;
        }
        0
    }

    fn second_at(&mut self, at_us: u64) -> &mut SecondCounts {
        &mut self.report.seconds[(at_us / SECOND_US) as usize]
    }

    fn send_request(&mut self, request: usize) {
        let left_us = self.scenario.kinds[self.requests[request].kind].deadline_us;
        self.requests[request].deadline_us = self.now_us + left_us;
        self.requests[request].generation += 1;
        let generation = self.requests[request].generation;
        self.schedule(left_us, Event::CallerTimesOut(request, generation));
        let daemon = self.rng.random_range(0..ENTRIES);
        let service = self.scenario.kinds[self.requests[request].kind].service;
        self.send_call(request, None, service, daemon);
    }

    fn send_call(&mut self, request: usize, parent: Option<usize>, service: usize, daemon: usize) {
        self.calls.push(Call {
            request,
            generation: self.requests[request].generation,
            parent,
            service,
            calling_daemon: daemon,
            target: 0,
            sent_us: self.now_us,
            retries_left: self.scenario.entry_retries,
            attempted: Vec::new(),
            next_child: 0,
        });
        self.attempt_call(self.calls.len() - 1);
    }

    fn rank(&self, call: usize) -> Rank {
        let call = &self.calls[call];
        let mut rank = self.requests[call.request].rank;
        if !self.scenario.keeps_root_rank {
            let other = RootId((call.request as u64) << 8 | call.service as u64);
            rank.root_rank = other.root_rank();
        }
        rank
    }

    fn attempt_call(&mut self, call: usize) {
        let rank = self.rank(call);
        let service = service_name(self.calls[call].service);
        let attempted = self.calls[call].attempted.clone();
        let daemon = self.calls[call].calling_daemon;
        let target = if self.scenario.routing.is_some() {
            let query = TargetQuery {
                service: &service,
                rank,
                kind: WorkKind::default(),
                excluded: &attempted,
            };
            let router: &mut Router = self.routers[daemon].find(NAME).unwrap();
            let choice = router.choose(self.now_us, &mut self.rng, &query);
            choice.ok().map(|choice| choice.member)
        } else {
            self.choose_randomly(self.calls[call].service, &attempted)
        };
        let Some(member) = target else {
            self.fail_call(call);
            return;
        };
        let router: &mut Router = self.routers[daemon].find(NAME).unwrap();
        router.record_sent(self.now_us, member);
        self.calls[call].attempted.push(member);
        self.calls[call].target = member.0 as usize;
        self.calls[call].sent_us = self.now_us;
        self.calls[call].next_child = 0;
        self.report.attempts += 1;
        self.schedule(DELAY_US, Event::CallReachesGuard(call));
    }

    fn choose_randomly(&mut self, service: usize, attempted: &[MemberId]) -> Option<MemberId> {
        let mut eligible = Vec::new();
        for (index, target) in self.scenario.targets.iter().enumerate() {
            let member = MemberId(index as u64);
            let has_joined = target.joins_us <= self.now_us;
            if target.service == service && has_joined && !attempted.contains(&member) {
                eligible.push(member);
            }
        }
        if eligible.is_empty() {
            return None;
        }
        Some(eligible[self.rng.random_range(0..eligible.len())])
    }

    fn offer_call(&mut self, call: usize) {
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
            AdmissionOutcome::Start => self.start(call),
            AdmissionOutcome::Queued => {}
            AdmissionOutcome::Refused(refusal) => self.refuse(target, call, refusal),
        }
        self.schedule_queue_update(target);
    }

    fn refuse(&mut self, target: usize, call: usize, refusal: Refusal) {
        if refusal.reason == RefusalReason::Overload {
            let rank = self.rank(call);
            let refused = &mut self.highest_refused[target];
            *refused = Some(refused.map_or(rank, |other| other.max(rank)));
        }
        self.reply(
            call,
            AttemptOutcome::Refused,
            refusal.is_other_target_worthwhile,
        );
    }

    fn reply(&mut self, call: usize, outcome: AttemptOutcome, is_other_target_worthwhile: bool) {
        let target = self.calls[call].target;
        let load = match &self.guards[target] {
            Guard::Adaptive(admission) => Some(admission.load(self.now_us)),
            Guard::Fixed { .. } => None,
        };
        let event = Event::ReplyArrives {
            call,
            outcome,
            is_other_target_worthwhile,
            load,
        };
        self.schedule(DELAY_US, event);
    }

    fn start(&mut self, call: usize) {
        let target = self.calls[call].target;
        let spec = self.scenario.targets[target];
        self.report.started += 1;
        self.report.started_by_target[target] += 1;
        // If a call was refused because of overload since the last start, the call that starts now
        // must have at least its rank.
        if let Some(refused) = self.highest_refused[target].take()
            && self.rank(call) < refused
        {
            self.report.inversions += 1;
        }
        self.in_flight[target] += 1;
        if self.rank(call).priority == Priority::Background {
            self.background_running[target] += 1;
            self.report.background_running_max = self
                .report
                .background_running_max
                .max(self.background_running[target]);
        }
        if self.rng.random_bool((spec.error_share)(self.now_us)) {
            self.schedule(
                spec.error_latency_us,
                Event::WorkEnds {
                    call,
                    is_error: true,
                },
            );
            return;
        }
        let congestion = f64::from(self.in_flight[target]) / f64::from(spec.concurrency);
        let slowdown = (spec.slowdown)(self.now_us) * congestion.max(1.0).powf(1.5);
        let work_us = self.exponential_us(spec.work_us / 2.0) as f64 + spec.work_us / 2.0;
        let work_us = work_us * slowdown;
        let request = self.calls[call].request;
        self.requests[request].work_us += work_us;
        self.schedule(
            work_us as u64,
            Event::WorkEnds {
                call,
                is_error: false,
            },
        );
    }

    fn end_work(&mut self, call: usize, is_error: bool) {
        let service = self.calls[call].service;
        let next = self.calls[call].next_child;
        let child = self.scenario.children[service].get(next).copied();
        match child {
            Some(child) if !is_error => {
                self.calls[call].next_child += 1;
                let daemon = ENTRIES + self.calls[call].target;
                self.send_call(self.calls[call].request, Some(call), child, daemon);
            }
            _ => self.finish_call(
                call,
                if is_error {
                    CallOutcome::Failed
                } else {
                    CallOutcome::Answered
                },
            ),
        }
    }

    fn finish_call(&mut self, call: usize, call_outcome: CallOutcome) {
        let target = self.calls[call].target;
        self.in_flight[target] -= 1;
        if self.rank(call).priority == Priority::Background {
            self.background_running[target] -= 1;
        }
        if self.now_us > self.requests[self.calls[call].request].deadline_us {
            self.report.late += 1;
        }
        let key = CallKey(call as u64);
        let dequeued = match &mut self.guards[target] {
            Guard::Adaptive(admission) => admission.finish(self.now_us, key, call_outcome),
            fixed => fixed.finish_fixed(),
        };
        let has_failed_below = self.calls[call].next_child > 0;
        let outcome = match call_outcome {
            CallOutcome::Answered => AttemptOutcome::Answered,
            _ if has_failed_below => AttemptOutcome::Refused,
            _ => AttemptOutcome::TargetError,
        };
        self.reply(call, outcome, false);
        self.apply_dequeued(target, dequeued);
    }

    fn apply_dequeued(&mut self, target: usize, dequeued: DequeuedCalls) {
        for evicted in dequeued.evicted {
            self.refuse(target, evicted.call.0 as usize, evicted.refusal);
        }
        for call in dequeued.started {
            self.start(call.0 as usize);
        }
        self.schedule_queue_update(target);
    }

    fn schedule_queue_update(&mut self, target: usize) {
        if let Guard::Adaptive(admission) = &self.guards[target]
            && let Some(at_us) = admission.next_queue_update_us(self.now_us)
        {
            self.schedule(
                at_us.saturating_sub(self.now_us),
                Event::QueueUpdateDue(target),
            );
        }
    }

    fn update_queue(&mut self, target: usize) {
        let now_us = self.now_us;
        if let Guard::Adaptive(admission) = &mut self.guards[target]
            && admission
                .next_queue_update_us(now_us)
                .is_some_and(|at| at <= now_us)
        {
            let dequeued = admission.update_queue(now_us);
            self.apply_dequeued(target, dequeued);
        }
    }

    fn handle_reply(
        &mut self,
        call: usize,
        outcome: AttemptOutcome,
        is_other_target_worthwhile: bool,
        load: Option<LoadReport>,
    ) {
        let (daemon, target) = (self.calls[call].calling_daemon, self.calls[call].target);
        let latency_us = self.now_us - self.calls[call].sent_us;
        let router: &mut Router = self.routers[daemon].find(NAME).unwrap();
        let member = MemberId(target as u64);
        router.record_outcome(self.now_us, member, outcome, latency_us, load);
        let may_retry = outcome == AttemptOutcome::TargetError || is_other_target_worthwhile;
        if outcome == AttemptOutcome::Answered {
            self.complete_call(call);
        } else if may_retry && self.calls[call].retries_left > 0 {
            self.calls[call].retries_left -= 1;
            self.attempt_call(call);
        } else {
            self.fail_call(call);
        }
    }

    fn complete_call(&mut self, call: usize) {
        if let Some(parent) = self.calls[call].parent {
            self.end_work(parent, false);
            return;
        }
        let request = self.calls[call].request;
        let is_in_time = self.now_us <= self.requests[request].deadline_us
            && self.requests[request].generation == self.calls[call].generation;
        if self.requests[request].is_answered || !is_in_time {
            return;
        }
        self.requests[request].is_answered = true;
        let arrived_us = self.requests[request].arrived_us;
        let priority = self.requests[request].rank.priority as usize;
        self.second_at(arrived_us).good[priority] += 1;
        let now_us = self.now_us;
        self.second_at(now_us).answered += 1;
        self.second_at(now_us).latencies_us[priority].push(now_us - arrived_us);
    }

    fn fail_call(&mut self, call: usize) {
        if let Some(parent) = self.calls[call].parent {
            self.finish_call(parent, CallOutcome::Failed);
            return;
        }
        let request = self.calls[call].request;
        let is_current = self.requests[request].generation == self.calls[call].generation;
        if is_current && !self.requests[request].is_answered {
            self.fail_attempt(request);
        }
    }

    fn fail_attempt(&mut self, request: usize) {
        let state = &mut self.requests[request];
        state.generation += 1;
        if state.retries_left > 0 {
            state.retries_left -= 1;
            self.schedule(CALLER_PAUSE_US, Event::CallerRetries(request));
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

    fn offer_fixed(&mut self, call: CallKey) -> OfferResult {
        let mut outcome = AdmissionOutcome::Queued;
        if let Self::Fixed {
            slots,
            running,
            queue,
        } = self
        {
            if *running < *slots {
                *running += 1;
                outcome = AdmissionOutcome::Start;
            } else {
                queue.push_back(call);
            }
        }
        OfferResult {
            outcome,
            evicted: Vec::new(),
        }
    }

    fn finish_fixed(&mut self) -> DequeuedCalls {
        let mut dequeued = DequeuedCalls::default();
        if let Self::Fixed { running, queue, .. } = self {
            match queue.pop_front() {
                Some(call) => dequeued.started.push(call),
                None => *running -= 1,
            }
        }
        dequeued
    }
}
