//! A simulation of daemons in three availability zones whose demand varies out of phase, each with a
//! router that sees a sixtieth of the requests.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::f64::consts::TAU;

use dragonflylug::ids::{AvailabilityZone, MemberId, Priority, RouteName, ServiceName, WorkKind};
use dragonflylug::kernel::{Input, Kernel, Notice};
use dragonflylug::membership::{Member, MemberState};
use dragonflylug::request::{LoadReport, Rank};
use dragonflylug::routing::{AttemptOutcome, NAME, Router, RoutingSettings, TargetQuery};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub const SECOND_US: u64 = 1_000_000;
pub const WORK_US: f64 = 55_000.0;

const SERVICE: &str = "contributions";
const ROUTE: &str = "submit";
const ZONES: [&str; 3] = ["a", "b", "c"];
const SENDERS: usize = 60;
/// The member id of the first target.
const FIRST_TARGET: u64 = 100;
/// The relative amplitude of a zone's demand, and its period.
const DEMAND_SWING: f64 = 0.55;
const DEMAND_PERIOD_US: f64 = 11_000_000.0;
const OWN_ZONE_LATENCY_US: u64 = 200;
/// The first seconds, in which routers have not heard of all targets yet.
const WARM_UP_US: u64 = 2 * SECOND_US;
/// The weight of a new sample in a target's mean service time.
const SAMPLE_WEIGHT: f64 = 1.0 / 16.0;
/// The interval over which the load of the zones is compared with the best split.
const INTERVAL_US: u64 = 500_000;
/// The utilisation up to which the best split fills a zone before it uses another one: with 76
/// slots and random arrivals, 1 in 100 requests waits for a tenth of its service time.
const BEST_FILL: f64 = 0.8;

/// A target of the simulation.
#[derive(Clone, Copy)]
pub struct TargetSpec {
    pub zone: usize,
    pub speed: f64,
    pub joins_us: u64,
    /// The factor by which its requests take longer, by the time of their start.
    pub slowdown: fn(u64) -> f64,
    /// When it stalls, and for how long.
    pub stall_us: (u64, u64),
}

/// The parameters of a run.
pub struct Scenario {
    pub settings: RoutingSettings,
    /// The demand over all zones, as a share of the capacity.
    pub load: f64,
    pub slots: usize,
    /// The one-way latency between zones.
    pub latency_us: u64,
    pub targets: Vec<TargetSpec>,
    pub end_us: u64,
}

impl Default for Scenario {
    fn default() -> Self {
        let mut targets = Vec::new();
        for zone in [0, 0, 1, 2] {
            for speed in [0.5, 1.0, 1.5] {
                targets.push(TargetSpec {
                    zone,
                    speed,
                    joins_us: 0,
                    slowdown: |_| 1.0,
                    stall_us: (0, 0),
                });
            }
        }
        Self {
            settings: RoutingSettings::default(),
            load: 0.8,
            slots: 76,
            latency_us: 3_900,
            targets,
            end_us: 13 * SECOND_US,
        }
    }
}

/// What was measured after the warm-up.
#[derive(Default)]
pub struct Report {
    /// When each request arrived at its guard, how long it waited there, and the time until its
    /// response.
    pub requests: Vec<(u64, u64, u64)>,
    /// The arrivals at each target, by interval.
    arrivals: Vec<Vec<f64>>,
    /// The requests that arrived from callers in each zone, by interval.
    demand: Vec<[f64; 3]>,
    pub sent_to_other_zone: f64,
    /// The requests that the best split sends to other zones.
    pub best_to_other_zone: f64,
    /// The share of requests that would have to go to another zone to have the best split.
    pub misplaced_share: f64,
    /// The targets that a daemon uses in a second and not in the one before, per daemon and second.
    pub moved: f64,
}

impl Report {
    /// Returns a percentile of the time in the queue, in microseconds.
    pub fn queue_percentile_us(&self, permille: usize, between_us: (u64, u64)) -> u64 {
        let mut waits_us = Vec::new();
        for &(at_us, wait_us, _) in &self.requests {
            if (between_us.0..between_us.1).contains(&at_us) {
                waits_us.push(wait_us);
            }
        }
        waits_us.sort_unstable();
        waits_us[waits_us.len() * permille / 1_000]
    }

    pub fn mean_response_us(&self) -> f64 {
        let sum_us: u64 = self.requests.iter().map(|request| request.2).sum();
        sum_us as f64 / self.requests.len() as f64
    }

    /// Returns the requests per second that a target got in an interval.
    pub fn rate(&self, target: usize, interval: usize) -> f64 {
        self.arrivals[interval][target] * SECOND_US as f64 / INTERVAL_US as f64
    }

    pub fn interval_of(at_us: u64) -> usize {
        (at_us / INTERVAL_US) as usize
    }
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Call {
    sender: usize,
    sent_us: u64,
    arrived_us: u64,
    started_us: u64,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Demand,
    Join(usize),
    Arrival(usize, Call),
    End(usize, Call),
    Reply(usize, Call, u64, LoadReport),
}

#[derive(Default)]
struct SimulatedTarget {
    running: usize,
    queue: VecDeque<Call>,
    mean_us: f64,
}

struct Simulation {
    scenario: Scenario,
    rng: ChaCha8Rng,
    senders: Vec<Kernel>,
    targets: Vec<SimulatedTarget>,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    report: Report,
    /// The targets that each daemon used, as bits, by second.
    used: Vec<[u32; SENDERS]>,
}

/// Runs a scenario.
pub fn run(scenario: Scenario) -> Report {
    let intervals = Report::interval_of(scenario.end_us) + 4;
    let mut simulation = Simulation {
        rng: ChaCha8Rng::seed_from_u64(3),
        senders: Vec::new(),
        targets: Vec::new(),
        events: BinaryHeap::new(),
        report: Report {
            arrivals: vec![vec![0.0; scenario.targets.len()]; intervals],
            demand: vec![[0.0; 3]; intervals],
            ..Report::default()
        },
        used: vec![[0; SENDERS]; intervals],
        scenario,
    };
    simulation.start();
    while let Some(Reverse((now_us, event))) = simulation.events.pop() {
        simulation.handle(now_us, event);
    }
    simulation.compare_with_best_split();
    simulation.count_moved();
    simulation.report
}

fn zone_of_sender(sender: usize) -> usize {
    sender % ZONES.len()
}

fn kind() -> WorkKind {
    WorkKind::of_route(Some(&RouteName::from(ROUTE)))
}

fn target_id(target: usize) -> MemberId {
    MemberId(FIRST_TARGET + target as u64)
}

fn member(target: usize, scenario: &Scenario) -> Member {
    Member {
        id: target_id(target),
        address: ([127, 0, 0, 1], 1_000 + target as u16).into(),
        availability_zone: ZONES[scenario.targets[target].zone].into(),
        service: Some(SERVICE.into()),
        slots: scenario.slots as u32,
        state: MemberState::Alive,
        incarnation: 1,
        schema_version: 1,
    }
}

fn new_sender(sender: usize, scenario: &Scenario) -> Kernel {
    let zone = AvailabilityZone::from(ZONES[zone_of_sender(sender)]);
    let id = 1 + sender as u64;
    let mut kernel = Kernel::new(id);
    let settings = scenario.settings.clone();
    kernel.register(Box::new(Router::new(settings, zone, MemberId(id))));
    kernel.start(0);
    kernel
}

fn choose(router: &mut Router, now_us: u64, rng: &mut ChaCha8Rng) -> usize {
    let service = ServiceName::from(SERVICE);
    let query = TargetQuery {
        service: &service,
        rank: Rank::of_priority(Priority::Normal),
        kind: kind(),
        excluded: &[],
    };
    let member = router.choose(now_us, rng, &query).unwrap().member;
    router.record_sent(now_us, member);
    (member.0 - FIRST_TARGET) as usize
}

/// Returns how many requests of a burst one daemon sends to each of the first targets, whose guards
/// reported their load before it.
pub fn burst_after(scenario: &Scenario, requests: usize, loads: &[LoadReport]) -> Vec<usize> {
    let mut kernel = new_sender(0, scenario);
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    for target in 0..loads.len() {
        let member = member(target, scenario);
        kernel.handle(0, Input::Notice(Notice::MemberChanged(member)));
    }
    let router: &mut Router = kernel.find(NAME).unwrap();
    for (target, load) in loads.iter().enumerate() {
        let outcome = AttemptOutcome::Answered;
        router.record_outcome(0, target_id(target), outcome, 0, Some(*load));
        router.record_kind_time(0, target_id(target), kind(), load.service_us);
    }
    let mut sent = vec![0; loads.len()];
    for _ in 0..requests {
        sent[choose(router, 0, &mut rng)] += 1;
    }
    sent
}

impl Simulation {
    fn start(&mut self) {
        for sender in 0..SENDERS {
            let kernel = new_sender(sender, &self.scenario);
            self.senders.push(kernel);
        }
        for target in 0..self.scenario.targets.len() {
            self.targets.push(SimulatedTarget::default());
            let joins_us = self.scenario.targets[target].joins_us;
            self.push(joins_us, Event::Join(target));
        }
        self.push(1, Event::Demand);
    }

    fn push(&mut self, at_us: u64, event: Event) {
        self.events.push(Reverse((at_us, event)));
    }

    fn handle(&mut self, now_us: u64, event: Event) {
        match event {
            Event::Demand => self.send(now_us),
            Event::Join(target) => self.join(now_us, target),
            Event::Arrival(target, call) => {
                let arrivals = &mut self.report.arrivals[Report::interval_of(now_us)];
                arrivals[target] += 1.0;
                self.targets[target].queue.push_back(Call {
                    arrived_us: now_us,
                    ..call
                });
                self.start_queued(now_us, target);
            }
            Event::End(target, call) => self.end(now_us, target, call),
            Event::Reply(target, call, guard_us, load) => {
                self.receive(now_us, target, call, guard_us, load);
            }
        }
    }

    fn join(&mut self, now_us: u64, target: usize) {
        let member = member(target, &self.scenario);
        for sender in &mut self.senders {
            sender.handle(now_us, Input::Notice(Notice::MemberChanged(member.clone())));
        }
    }

    /// The capacity of the targets of a zone that do not join later, in requests per second.
    fn zone_capacity(&self, zone: usize) -> f64 {
        let per_speed = self.scenario.slots as f64 * SECOND_US as f64 / WORK_US;
        let targets = self.scenario.targets.iter();
        let speeds = targets.filter(|target| target.zone == zone && target.joins_us == 0);
        speeds.map(|target| target.speed * per_speed).sum()
    }

    fn send(&mut self, now_us: u64) {
        let capacity: f64 = (0..3).map(|zone| self.zone_capacity(zone)).sum();
        let mean_us = SECOND_US as f64 / (capacity * self.scenario.load);
        let gap_us = -mean_us * self.rng.random_range(f64::EPSILON..1.0).ln();
        // Fractions of a microsecond are kept by rounding at random.
        let next_us = now_us + (gap_us + self.rng.random_range(0.0..1.0)) as u64;
        if next_us < self.scenario.end_us {
            self.push(next_us, Event::Demand);
        }
        let zone = self.random_zone(now_us);
        let sender = zone + ZONES.len() * self.rng.random_range(0..SENDERS / ZONES.len());
        let router: &mut Router = self.senders[sender].find(NAME).unwrap();
        let target = choose(router, now_us, &mut self.rng);
        let call = Call {
            sender,
            sent_us: now_us,
            arrived_us: 0,
            started_us: 0,
        };
        let arrival_us = now_us + self.latency_us(sender, target);
        self.push(arrival_us, Event::Arrival(target, call));
        self.report.demand[Report::interval_of(now_us)][zone] += 1.0;
        self.used[(now_us / SECOND_US) as usize][sender] |= 1 << target;
        let is_other_zone = zone != self.scenario.targets[target].zone;
        if now_us >= WARM_UP_US && is_other_zone {
            self.report.sent_to_other_zone += 1.0;
        }
    }

    fn random_zone(&mut self, now_us: u64) -> usize {
        let mut position = self.rng.random_range(0.0..1.0);
        for zone in 0..2 {
            let phase = now_us as f64 / DEMAND_PERIOD_US + zone as f64 / 3.0;
            let share = (1.0 + DEMAND_SWING * (TAU * phase).sin()) / 3.0;
            if position < share {
                return zone;
            }
            position -= share;
        }
        2
    }

    fn latency_us(&self, sender: usize, target: usize) -> u64 {
        match zone_of_sender(sender) == self.scenario.targets[target].zone {
            true => OWN_ZONE_LATENCY_US,
            false => self.scenario.latency_us,
        }
    }

    fn start_queued(&mut self, now_us: u64, target: usize) {
        let spec = self.scenario.targets[target];
        while self.targets[target].running < self.scenario.slots {
            let Some(mut call) = self.targets[target].queue.pop_front() else {
                return;
            };
            self.targets[target].running += 1;
            call.started_us = now_us;
            let spread = self.rng.random_range(0.5..1.5);
            let work_us = WORK_US * spread * (spec.slowdown)(now_us) / spec.speed;
            self.push(now_us + work_us as u64, Event::End(target, call));
        }
    }

    fn end(&mut self, now_us: u64, target: usize, call: Call) {
        let (stall_us, stalled_us) = self.scenario.targets[target].stall_us;
        if (stall_us..stall_us + stalled_us).contains(&now_us) {
            self.push(now_us + stalled_us, Event::End(target, call));
            return;
        }
        let service_us = (now_us - call.started_us) as f64;
        let state = &mut self.targets[target];
        state.running -= 1;
        match state.mean_us == 0.0 {
            true => state.mean_us = service_us,
            false => state.mean_us += SAMPLE_WEIGHT * (service_us - state.mean_us),
        }
        let load = LoadReport {
            in_flight: state.running as u32,
            limit: self.scenario.slots as u32,
            queued: state.queue.len() as u32,
            service_us: state.mean_us as u32,
            ..LoadReport::default()
        };
        let guard_us = now_us - call.arrived_us;
        let reply = Event::Reply(target, call, guard_us, load);
        self.push(now_us + self.latency_us(call.sender, target), reply);
        self.start_queued(now_us, target);
    }

    fn receive(&mut self, now_us: u64, target: usize, call: Call, guard_us: u64, load: LoadReport) {
        let member = target_id(target);
        let latency_us = now_us - call.sent_us;
        let router: &mut Router = self.senders[call.sender].find(NAME).unwrap();
        let outcome = AttemptOutcome::Answered;
        router.record_outcome(now_us, member, outcome, latency_us, Some(load));
        router.record_kind_time(now_us, member, kind(), load.service_us);
        router.record_distance(member, latency_us, guard_us as u32);
        if call.sent_us >= WARM_UP_US {
            let wait_us = call.started_us - call.arrived_us;
            self.report
                .requests
                .push((call.arrived_us, wait_us, latency_us));
        }
    }

    /// Compares the arrivals by zone with the split that fills the own zone up to [`BEST_FILL`], or
    /// all zones equally if the whole load is above that.
    fn compare_with_best_split(&mut self) {
        let capacities = [0, 1, 2].map(|zone| self.zone_capacity(zone));
        let (mut misplaced, mut all) = (0.0, 0.0);
        let first = Report::interval_of(WARM_UP_US);
        for interval in first..Report::interval_of(self.scenario.end_us) {
            let demand = self.report.demand[interval];
            let sum: f64 = demand.iter().sum();
            let per_interval = INTERVAL_US as f64 / SECOND_US as f64;
            let used = sum / (capacities.iter().sum::<f64>() * per_interval);
            let fill = used.max(BEST_FILL) * per_interval;
            let room = [0, 1, 2].map(|zone| fill * capacities[zone] - demand[zone]);
            let excess: f64 = room.iter().map(|room| (-room).max(0.0)).sum();
            let free: f64 = room.iter().map(|room| room.max(0.0)).sum();
            self.report.best_to_other_zone += excess;
            all += sum;
            for zone in 0..3 {
                let taken = room[zone].max(0.0) * excess / free.max(1.0);
                let best = demand[zone] + taken - (-room[zone]).max(0.0);
                let mut arrived = 0.0;
                for (target, spec) in self.scenario.targets.iter().enumerate() {
                    if spec.zone == zone {
                        arrived += self.report.arrivals[interval][target];
                    }
                }
                misplaced += (arrived - best).abs() / 2.0;
            }
        }
        self.report.misplaced_share = misplaced / all;
    }

    fn count_moved(&mut self) {
        let seconds =
            (WARM_UP_US / SECOND_US) as usize..(self.scenario.end_us / SECOND_US) as usize;
        let mut moved = 0;
        for second in seconds.clone() {
            for sender in 0..SENDERS {
                let before = self.used[second - 1][sender];
                moved += (self.used[second][sender] & !before).count_ones();
            }
        }
        self.report.moved = f64::from(moved) / (seconds.len() * SENDERS) as f64;
    }
}
