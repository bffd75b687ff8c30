//! A simulated call graph of a front service and a deep service, which each request to the front
//! service calls several times.

#![allow(dead_code)]

use std::rc::Rc;

use dragonflylug::admission::AdmissionSettings;
use dragonflylug::calls::entry::EntrySettings;
use dragonflylug::kernel::TargetOutcome;
use dragonflylug::organisations::{KeyDigest, Principal};
use dragonflylug::pressure::PressureSettings;
use dragonflylug::retry::ServiceBudgetSettings;
use dragonflylug::routes::RouteTerms;
use dragonflylug::settings::Settings;
use dragonflylug::target::{RateLimitSignal, RequestRate};
use dragonflylug::verdict::Verdict;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::network::{ChildCall, Network};
use crate::nodes::{CONVERGENCE_US, NodeSpec, add_node_with_routes, call};
use crate::routed::{PAYMENT, READ, ok_outcome, route_table, routed_request};

pub const SECOND_US: u64 = 1_000_000;
pub const FRONTS: u16 = 10;
pub const CHILDREN: usize = 4;
pub const DEEP_TARGETS: u16 = 4;
const DEEP_SLOTS: u32 = 17;
const DEEP_WORK_US: u64 = 40_000;
const FRONT_WORK_US: u64 = 160_000;
/// The daemons without a target that accept the direct requests for the deep service.
const GATEWAYS: u16 = 6;
/// The lowest key of the direct requests.
const DIRECT_KEY_MIN: u64 = 1 << 32;

/// The capacity of the deep service, in requests to the front service per second.
///
/// Each deep target uses 16 of its 17 slots, because `slots_below_percent` is 95.
pub const CAPACITY_PER_S: f64 =
    (DEEP_TARGETS as f64) * 16.0 / (DEEP_WORK_US as f64 / SECOND_US as f64) / CHILDREN as f64;

/// The capacity of one deep target, in calls per second.
pub const DEEP_CALLS_PER_S: f64 = CAPACITY_PER_S * CHILDREN as f64 / DEEP_TARGETS as f64;

/// Every request whose index is a multiple of this is a payment, the others are lookups.
pub const PAYMENT_EVERY: usize = 4;

/// The terms of a call to the deep service.
const DEEP_TERMS: RouteTerms = RouteTerms {
    importance: 3,
    timeout_ms: 700,
    ..READ
};

/// Returns the outcome at the deep service of a request that arrives at a time.
pub type DeepTarget = Rc<dyn Fn(u64, &mut ChaCha8Rng) -> TargetOutcome>;

/// A load and the settings under which it runs.
#[derive(Clone)]
pub struct DeepLoad {
    pub pressure: PressureSettings,
    pub budget: ServiceBudgetSettings,
    /// For each phase its length in seconds, and its load as a multiple of the capacity.
    pub phases: Vec<(u64, f64)>,
    pub deep: DeepTarget,
    /// The rate limits that the first deep targets name, in calls per second.
    pub limits_per_s: Vec<&'static str>,
    /// The direct requests for the deep service, in addition to the load.
    pub direct_per_s: u64,
    /// Returns the organisation of a request of the load by its index, if requests carry keys.
    pub organisation: Option<fn(usize) -> &'static str>,
    /// The seed of the times at which requests are offered.
    pub seed: u64,
}

impl Default for DeepLoad {
    fn default() -> Self {
        Self {
            pressure: PressureSettings::default(),
            budget: ServiceBudgetSettings::default(),
            phases: vec![(10, 1.0)],
            deep: Rc::new(|_, _| ok_outcome()),
            limits_per_s: Vec::new(),
            direct_per_s: 0,
            organisation: None,
            seed: 11,
        }
    }
}

/// The counts of requests that got a reply. Those that were refused count only in `replied`.
#[derive(Clone, Copy, Default, Debug)]
pub struct OutcomeCounts {
    pub replied: u32,
    pub answered: u32,
    /// The requests that may have run but got no successful answer.
    pub failed: u32,
}

impl OutcomeCounts {
    /// Returns the share of the requests with a reply that got a successful answer.
    pub fn answered_share(&self) -> f64 {
        f64::from(self.answered) / f64::from(self.replied.max(1))
    }
}

/// The outcomes of the requests that arrived in a part of the run and got a reply.
#[derive(Clone, Copy, Default, Debug)]
pub struct Outcome {
    pub payments: OutcomeCounts,
    pub lookups: OutcomeCounts,
}

impl Outcome {
    /// Returns the share of all requests with a reply that failed after they may have run.
    pub fn failed_share(&self) -> f64 {
        let replied = self.payments.replied + self.lookups.replied;
        f64::from(self.payments.failed + self.lookups.failed) / f64::from(replied.max(1))
    }
}

/// The start times of the offered requests, and the network with their replies.
pub struct DeepRun {
    network: Network,
    starts_us: Vec<u64>,
}

impl DeepRun {
    /// Returns the outcomes of the requests that arrived between two seconds of the load.
    pub fn outcome(&self, from_s: u64, until_s: u64) -> Outcome {
        self.outcome_of(from_s, until_s, |_| true)
    }

    /// Returns the outcomes of some of these requests, by their indices.
    pub fn outcome_of(
        &self,
        from_s: u64,
        until_s: u64,
        is_included: impl Fn(usize) -> bool,
    ) -> Outcome {
        let span_us = CONVERGENCE_US + from_s * SECOND_US..CONVERGENCE_US + until_s * SECOND_US;
        let mut outcome = Outcome::default();
        for node in &self.network.nodes {
            for (_, key, reply) in &node.replies {
                if key.0 >= DIRECT_KEY_MIN {
                    continue;
                }
                let index = key.0 as usize - 1;
                if !span_us.contains(&self.starts_us[index]) || !is_included(index) {
                    continue;
                }
                let counts = if is_payment(index) {
                    &mut outcome.payments
                } else {
                    &mut outcome.lookups
                };
                counts.replied += 1;
                match &reply.verdict {
                    Verdict::Ran(answer) if answer.status < 500 => counts.answered += 1,
                    Verdict::NotRun(_) => {}
                    _ => counts.failed += 1,
                }
            }
        }
        outcome
    }

    /// Returns the outcomes of the direct requests that got a reply after a second of the load.
    pub fn direct_outcome(&self, from_s: u64) -> OutcomeCounts {
        let from_us = CONVERGENCE_US + from_s * SECOND_US;
        let mut counts = OutcomeCounts::default();
        for node in &self.network.nodes {
            for (at_us, key, reply) in &node.replies {
                if key.0 < DIRECT_KEY_MIN || *at_us < from_us {
                    continue;
                }
                counts.replied += 1;
                counts.answered += u32::from(matches!(reply.verdict, Verdict::Ran(_)));
            }
        }
        counts
    }
}

fn is_payment(index: usize) -> bool {
    index.is_multiple_of(PAYMENT_EVERY)
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
    for number in 0..FRONTS + DEEP_TARGETS {
        let is_front = number < FRONTS;
        let (service, slots) = if is_front {
            ("availability", 41)
        } else {
            ("bookings", DEEP_SLOTS)
        };
        let spec = NodeSpec {
            number: 1 + number,
            zone: "zone-1",
            service: Some(service),
            slots,
        };
        let node = add_node_with_routes(&mut network, &settings, &spec);
        if is_front {
            network.nodes[node].target = Box::new(|_, _| (ok_outcome(), FRONT_WORK_US));
            network.nodes[node].child_calls = vec![deep_call(); CHILDREN];
            continue;
        }
        if let Some(per_s) = load.limits_per_s.get(usize::from(number - FRONTS)) {
            let rate = RequestRate::parse(per_s).unwrap();
            network.nodes[node].signals.rate_limit = RateLimitSignal::Limited(rate);
        }
        let deep = Rc::clone(&load.deep);
        let mut rng = ChaCha8Rng::seed_from_u64(u64::from(number));
        network.nodes[node].target = Box::new(move |now_us, _| {
            let outcome = deep(now_us, &mut rng);
            let is_refused = outcome == TargetOutcome::Refused;
            (outcome, if is_refused { 0 } else { DEEP_WORK_US })
        });
    }
    let gateways = if load.direct_per_s > 0 { GATEWAYS } else { 0 };
    for number in 0..gateways {
        let spec = NodeSpec {
            number: 1 + FRONTS + DEEP_TARGETS + number,
            zone: "zone-1",
            service: None,
            slots: 0,
        };
        add_node_with_routes(&mut network, &settings, &spec);
    }
    network.run_until(CONVERGENCE_US);
    network
}

/// Offers the direct request with a number, and returns when the next one is due.
fn offer_direct(network: &mut Network, load: &DeepLoad, number: u64) -> u64 {
    let terms = RouteTerms {
        attempts_max: 8,
        ..DEEP_TERMS
    };
    let key = DIRECT_KEY_MIN + number;
    let mut request = routed_request("bookings", terms, key);
    request.deadline_left_ms = Some(600);
    let gateway = u64::from(FRONTS + DEEP_TARGETS) + number % u64::from(GATEWAYS);
    call(network, gateway as usize, key, request);
    network.now_us + SECOND_US / load.direct_per_s
}

fn deep_call() -> ChildCall {
    let mut request = routed_request("bookings", DEEP_TERMS, 0);
    request.request = None;
    request.deadline_left_ms = Some(700);
    ChildCall {
        request,
        sends_parent_id: false,
    }
}

/// Offers requests at random times and runs for three more seconds, in which they get their
/// replies.
pub fn run(load: &DeepLoad) -> DeepRun {
    let mut network = network(load);
    let mut rng = ChaCha8Rng::seed_from_u64(load.seed);
    let mut starts_us: Vec<u64> = Vec::new();
    let mut from_us = CONVERGENCE_US;
    for (seconds, load) in &load.phases {
        let until_us = from_us + seconds * SECOND_US;
        let count = (CAPACITY_PER_S * load * *seconds as f64) as u64;
        for _ in 0..count {
            starts_us.push(rng.random_range(from_us..until_us));
        }
        from_us = until_us;
    }
    starts_us.sort_unstable();
    let mut directs = 0;
    let mut direct_us = if load.direct_per_s > 0 {
        CONVERGENCE_US
    } else {
        u64::MAX
    };
    for (index, start_us) in starts_us.iter().enumerate() {
        while direct_us < *start_us {
            network.run_until(direct_us);
            direct_us = offer_direct(&mut network, load, directs);
            directs += 1;
        }
        network.run_until(*start_us);
        let (terms, name) = match is_payment(index) {
            true => (PAYMENT, "reserve"),
            false => (READ, "lookup"),
        };
        let id = 1 + index as u64;
        let mut request = routed_request("availability", terms, id);
        if let Some(routed) = &mut request.routed {
            routed.route = name.into();
            routed.principal = load.organisation.map(|organisation| Principal {
                organisation: organisation(index).into(),
                key: KeyDigest::of(organisation(index)),
            });
        }
        request.deadline_left_ms = Some(5_000);
        call(&mut network, index % usize::from(FRONTS), id, request);
    }
    let until_us = network.now_us + 3 * SECOND_US;
    network.run_until(until_us);
    DeepRun { network, starts_us }
}
