//! A deep service below a front one: each request to the front calls the deep one several times.

#![allow(dead_code)]

use std::rc::Rc;

use dragonflylug::admission::AdmissionSettings;
use dragonflylug::calls::entry::EntrySettings;
use dragonflylug::kernel::TargetOutcome;
use dragonflylug::pressure::PressureSettings;
use dragonflylug::retry::ServiceBudgetSettings;
use dragonflylug::routes::RouteTerms;
use dragonflylug::settings::Settings;
use dragonflylug::verdict::Verdict;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::network::{ChildCall, Network};
use crate::nodes::{NodePlan, SETTLE_US, add_sidecar, call};
use crate::routed::{PAYMENT, READ, ok_outcome, route_table, routed_request};

pub const SECOND_US: u64 = 1_000_000;
pub const FRONTS: u16 = 10;
pub const CHILDREN: usize = 4;
const NECKS: u16 = 4;
const NECK_SLOTS: u32 = 17;
const NECK_WORK_US: u64 = 40_000;
const FRONT_WORK_US: u64 = 160_000;

/// The lookups a second that the deep service can carry.
pub const CAPACITY_PER_S: f64 =
    (NECKS as f64) * 16.0 / (NECK_WORK_US as f64 / SECOND_US as f64) / CHILDREN as f64;

/// One request in this many is a payment.
pub const PAYMENT_EACH: usize = 4;

/// The terms of a call to the deep service.
const LEDGER: RouteTerms = RouteTerms {
    importance: 3,
    timeout_ms: 700,
    ..READ
};

/// What the deep service does with a request that comes at a time.
pub type DeepTarget = Rc<dyn Fn(u64, &mut ChaCha8Rng) -> TargetOutcome>;

/// A load over some seconds.
#[derive(Clone)]
pub struct DeepLoad {
    pub pressure: PressureSettings,
    pub budget: ServiceBudgetSettings,
    /// Seconds, each with requests as a multiple of what the deep service carries.
    pub phases: Vec<(u64, f64)>,
    pub deep: DeepTarget,
}

impl Default for DeepLoad {
    fn default() -> Self {
        Self {
            pressure: PressureSettings::default(),
            budget: ServiceBudgetSettings::default(),
            phases: vec![(10, 1.0)],
            deep: Rc::new(|_, _| ok_outcome()),
        }
    }
}

/// What came of requests.
#[derive(Clone, Copy, Default, Debug)]
pub struct Tally {
    pub asked: u32,
    pub answered: u32,
    pub failed: u32,
}

impl Tally {
    /// Returns the share that was answered.
    pub fn share(&self) -> f64 {
        f64::from(self.answered) / f64::from(self.asked.max(1))
    }
}

/// What came of the requests that arrived in a part of the time.
#[derive(Clone, Copy, Default, Debug)]
pub struct Outcome {
    pub payments: Tally,
    pub lookups: Tally,
}

impl Outcome {
    /// Returns the share of all requests that ran and failed.
    pub fn failed_share(&self) -> f64 {
        let asked = self.payments.asked + self.lookups.asked;
        f64::from(self.payments.failed + self.lookups.failed) / f64::from(asked.max(1))
    }
}

/// The requests that were offered, and the network in which they ended.
pub struct DeepRun {
    network: Network,
    starts_us: Vec<u64>,
}

impl DeepRun {
    /// Returns what came of the requests that arrived between two seconds of the load.
    pub fn outcome(&self, from_s: u64, until_s: u64) -> Outcome {
        let span_us = SETTLE_US + from_s * SECOND_US..SETTLE_US + until_s * SECOND_US;
        let mut outcome = Outcome::default();
        for node in &self.network.nodes {
            for (_, key, reply) in &node.replies {
                let at = key.0 as usize - 1;
                if !span_us.contains(&self.starts_us[at]) {
                    continue;
                }
                let tally = if is_payment(at) {
                    &mut outcome.payments
                } else {
                    &mut outcome.lookups
                };
                tally.asked += 1;
                match &reply.verdict {
                    Verdict::Ran(answer) if answer.status < 500 => tally.answered += 1,
                    Verdict::NotRun(_) => {}
                    _ => tally.failed += 1,
                }
            }
        }
        outcome
    }
}

fn is_payment(at: usize) -> bool {
    at.is_multiple_of(PAYMENT_EACH)
}

fn settings(load: &DeepLoad) -> Settings {
    Settings {
        entry: EntrySettings {
            placements_max: 4,
            ..EntrySettings::default()
        },
        admission: AdmissionSettings {
            queue_wait_max_ms: 300,
            slots_below_percent: 95,
            tries_lower_limit: false,
            pressure: load.pressure.clone(),
            ..AdmissionSettings::default()
        },
        retry_services: load.budget.clone(),
        ..Settings::default()
    }
}

fn network(load: &DeepLoad) -> Network {
    let settings = settings(load);
    let mut network = Network::new(500);
    network.route_table = Some(route_table(1, Vec::new()));
    for number in 0..FRONTS + NECKS {
        let is_front = number < FRONTS;
        let (service, slots) = if is_front {
            ("availability", 41)
        } else {
            ("bookings", NECK_SLOTS)
        };
        let plan = NodePlan {
            number: 1 + number,
            zone: "zone-1",
            service: Some(service),
            slots,
        };
        let node = add_sidecar(&mut network, &settings, &plan);
        if is_front {
            network.nodes[node].target = Box::new(|_, _| (ok_outcome(), FRONT_WORK_US));
            network.nodes[node].children = vec![deep_call(); CHILDREN];
            continue;
        }
        let deep = Rc::clone(&load.deep);
        let mut rng = ChaCha8Rng::seed_from_u64(u64::from(number));
        network.nodes[node].target = Box::new(move |now_us, _| {
            let outcome = deep(now_us, &mut rng);
            let is_refused = outcome == TargetOutcome::Refused;
            (outcome, if is_refused { 0 } else { NECK_WORK_US })
        });
    }
    network.run_until(SETTLE_US);
    network
}

fn deep_call() -> ChildCall {
    let mut request = routed_request("bookings", LEDGER, 0);
    request.request = None;
    request.deadline_left_ms = Some(700);
    ChildCall {
        request,
        names_parent: false,
    }
}

/// Offers requests at random times and waits for their ends.
pub fn run(load: &DeepLoad) -> DeepRun {
    let mut network = network(load);
    let mut rng = ChaCha8Rng::seed_from_u64(11);
    let mut starts_us: Vec<u64> = Vec::new();
    let mut from_us = SETTLE_US;
    for (seconds, load) in &load.phases {
        let until_us = from_us + seconds * SECOND_US;
        let count = (CAPACITY_PER_S * load * *seconds as f64) as u64;
        for _ in 0..count {
            starts_us.push(rng.random_range(from_us..until_us));
        }
        from_us = until_us;
    }
    starts_us.sort_unstable();
    for (at, start_us) in starts_us.iter().enumerate() {
        network.run_until(*start_us);
        let (terms, name) = match is_payment(at) {
            true => (PAYMENT, "reserve"),
            false => (READ, "lookup"),
        };
        let id = 1 + at as u64;
        let mut request = routed_request("availability", terms, id);
        if let Some(routed) = &mut request.routed {
            routed.route = name.into();
        }
        request.deadline_left_ms = Some(5_000);
        call(&mut network, at % usize::from(FRONTS), id, request);
    }
    let until_us = network.now_us + 3 * SECOND_US;
    network.run_until(until_us);
    DeepRun { network, starts_us }
}
