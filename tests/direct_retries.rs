//! Retries for direct requests at a service that targets call far more often than callers do.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;

#[path = "support/deep_service.rs"]
mod deep_service;
#[path = "support/network.rs"]
mod network;
#[path = "support/nodes.rs"]
mod nodes;
#[path = "support/routed.rs"]
mod routed;

use std::rc::Rc;

use deep_service::DeepLoad;
use dragonflylug::ids::{MemberId, ServiceName};
use dragonflylug::kernel::TargetOutcome;
use dragonflylug::retry::{ServiceBudgetSettings, ServiceBudgets};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SECOND_US: u64 = 1_000_000;
const BIN_US: u64 = 100_000;
const BINS_PER_WINDOW: usize = 100;
const BINS_PER_S: u64 = SECOND_US / BIN_US;
const DAEMONS: usize = 60;
const TARGETS: usize = 4;
const SECONDS: u64 = 60;
/// The second at which demand changes, after all windows are full.
const CHANGE_S: u64 = 30;
const SETTINGS: ServiceBudgetSettings = ServiceBudgetSettings {
    window_ms: 10_000,
    repeats_percent: 15,
    repeats_floor: 1,
    direct_reserve_percent: 33,
};
/// The attempts of a request: enough for 0.97 of the answers if 55 percent of them are refused.
const DIRECT_ATTEMPTS_MAX: u32 = 8;
const CALL_ATTEMPTS_MAX: u32 = 3;
/// The factor of the slices that a window touches, eleven, over those that are counted, ten.
const WITHIN_SLICE_FACTOR: f64 = 1.1;
/// Just less than the age at which a report is ignored.
const REPORT_PERIOD_MAX_BINS: u64 = 29;

/// The demand for the service before and after the change.
#[derive(Clone, Copy)]
struct Demand {
    direct_per_s: u64,
    calls_per_s: u64,
    /// The number of daemons that accept the direct requests.
    direct_daemons: usize,
    /// The first of them.
    first_direct_daemon: usize,
}

/// The demand of deployment H at its service `seat-board`.
const H: Demand = Demand {
    direct_per_s: 183,
    calls_per_s: 8_400,
    direct_daemons: DAEMONS,
    first_direct_daemon: 0,
};

impl Demand {
    const fn times(self, percent: u64) -> Self {
        Self {
            direct_per_s: self.direct_per_s * percent / 100,
            calls_per_s: self.calls_per_s * percent / 100,
            ..self
        }
    }

    const fn direct_times(self, percent: u64) -> Self {
        Self {
            direct_per_s: self.direct_per_s * percent / 100,
            ..self
        }
    }
}

/// The counts of a tenth of a second.
#[derive(Clone, Copy, Default)]
struct Bin {
    requests: u32,
    retries: u32,
    direct: u32,
    direct_answered: u32,
}

/// Daemons and guards that share nothing but the reports in replies.
struct Model {
    daemons: Vec<ServiceBudgets>,
    guards: Vec<ServiceBudgets>,
    /// The bin in which each daemon got its latest report of each guard.
    reported: Vec<[Option<u64>; TARGETS]>,
    load: Load,
    rng: ChaCha8Rng,
    bins: Vec<Bin>,
}

/// A load of two phases, of whose attempts the targets refuse a share.
#[derive(Clone, Copy)]
struct Load {
    phases: [Demand; 2],
    refused_share: f64,
    /// The number of bins after which a daemon gets the next report of a guard.
    report_period_bins: u64,
}

impl Load {
    fn refusing_55_percent(demand: Demand) -> Self {
        Self {
            phases: [demand; 2],
            refused_share: 0.55,
            report_period_bins: 0,
        }
    }
}

impl Model {
    fn run(settings: &ServiceBudgetSettings, load: Load) -> Self {
        let create = |count| {
            (0..count)
                .map(|_| ServiceBudgets::new(settings.clone()))
                .collect()
        };
        let mut model = Self {
            daemons: create(DAEMONS),
            guards: create(TARGETS),
            reported: vec![[None; TARGETS]; DAEMONS],
            load,
            rng: ChaCha8Rng::seed_from_u64(7),
            bins: Vec::new(),
        };
        for bin in 0..SECONDS * BINS_PER_S {
            let demand = load.phases[usize::from(bin >= CHANGE_S * BINS_PER_S)];
            model.bins.push(Bin::default());
            model.run_bin(bin * BIN_US, demand);
        }
        model
    }

    fn run_bin(&mut self, now_us: u64, demand: Demand) {
        let direct_share =
            demand.direct_per_s as f64 / (demand.direct_per_s + demand.calls_per_s) as f64;
        for _ in 0..(demand.direct_per_s + demand.calls_per_s) / BINS_PER_S {
            if !self.rng.random_bool(direct_share) {
                let daemon = self.rng.random_range(0..DAEMONS);
                self.request(now_us, daemon, false);
                continue;
            }
            let offset = self.rng.random_range(0..demand.direct_daemons);
            let daemon = (demand.first_direct_daemon + offset) % DAEMONS;
            let is_answered = self.request(now_us, daemon, true);
            let bin = self.bins.last_mut().unwrap();
            bin.direct += 1;
            bin.direct_answered += u32::from(is_answered);
        }
    }

    /// Runs a request with its retries; returns whether it is answered.
    fn request(&mut self, now_us: u64, daemon: usize, is_direct: bool) -> bool {
        let service = ServiceName::from("seat-board");
        let attempts_max = if is_direct {
            DIRECT_ATTEMPTS_MAX
        } else {
            CALL_ATTEMPTS_MAX
        };
        let bin = self.bins.last_mut().unwrap();
        bin.requests += 1;
        let budgets = &mut self.daemons[daemon];
        budgets.record_request(now_us, &service);
        if is_direct {
            budgets.record_direct_sent(now_us, &service);
        }
        for attempt in 0..attempts_max {
            let may_spend = match (attempt, is_direct) {
                (0, _) => true,
                (_, true) => budgets.spend_direct(now_us, &service),
                (_, false) => budgets.spend(now_us, &service),
            };
            if !may_spend {
                return false;
            }
            bin.retries += u32::from(attempt > 0);
            let target = self.rng.random_range(0..TARGETS);
            let guard = &mut self.guards[target];
            if attempt == 0 {
                guard.record_arrival(now_us, is_direct);
            }
            let now_bin = now_us / BIN_US;
            let reported = &mut self.reported[daemon][target];
            if reported.is_none_or(|at| at + self.load.report_period_bins <= now_bin) {
                *reported = Some(now_bin);
                let arrivals = guard.arrivals(now_us);
                budgets.record_report(now_us, &service, MemberId(target as u64), arrivals);
            }
            if !self.rng.random_bool(self.load.refused_share) {
                return true;
            }
        }
        false
    }

    /// Returns the share of direct requests that are answered in a span of seconds.
    fn direct_answered(&self, seconds: std::ops::Range<u64>) -> f64 {
        let span = (seconds.start * BINS_PER_S) as usize..(seconds.end * BINS_PER_S) as usize;
        let (mut direct, mut answered) = (0, 0);
        for bin in &self.bins[span] {
            direct += bin.direct;
            answered += bin.direct_answered;
        }
        f64::from(answered) / f64::from(direct.max(1))
    }

    /// Asserts that in each window of 10 s the retries of all daemons are at most the percentage of
    /// the requests, and those that each daemon has in addition. Windows may begin within a slice.
    fn assert_retries_bounded(&self) {
        for (start, window) in self.bins.windows(BINS_PER_WINDOW).enumerate() {
            let (mut requests, mut retries) = (0, 0);
            for bin in window {
                requests += bin.requests;
                retries += bin.retries;
            }
            let share = f64::from(SETTINGS.repeats_percent) / 100.0 * WITHIN_SLICE_FACTOR;
            let bound = share * f64::from(requests) + DAEMONS as f64;
            assert!(
                f64::from(retries) <= bound,
                "window {start}: {retries} of {requests}"
            );
        }
    }
}

/// A change of the demand at which the retries of all daemons together must stay bounded.
fn check_bound(phases: [Demand; 2]) {
    for report_period_bins in [0, REPORT_PERIOD_MAX_BINS] {
        let load = Load {
            phases,
            refused_share: 0.9,
            report_period_bins,
        };
        Model::run(&SETTINGS, load).assert_retries_bounded();
    }
}

cases! { check_bound:
    the_bound_holds_at_a_steady_rate => [H, H],
    the_bound_holds_when_demand_surges => [H, H.times(240)],
    the_bound_holds_when_demand_halves => [H, H.times(50)],
    the_bound_holds_when_direct_requests_surge => [H, H.direct_times(1_000)],
    the_bound_holds_when_direct_requests_begin => [H.direct_times(0), H.direct_times(300)],
    the_bound_holds_when_direct_requests_end => [H.direct_times(300), H.direct_times(0)],
    the_bound_holds_when_calls_become_few => [H, Demand { calls_per_s: 4_000, ..H }],
    the_bound_holds_when_direct_requests_move => [
        Demand { direct_daemons: 2, ..H },
        Demand { direct_daemons: 2, first_direct_daemon: 30, ..H },
    ],
}

/// A demand at a service that refuses 55 percent of arrivals, and the share of the direct requests
/// that must be answered.
struct AnsweredCase {
    demand: Demand,
    answered_min: f64,
}

fn check_answered(case: AnsweredCase) {
    let model = Model::run(&SETTINGS, Load::refusing_55_percent(case.demand));
    let answered = model.direct_answered(CHANGE_S..SECONDS);
    assert!(answered >= case.answered_min, "{answered}");
}

cases! { check_answered:
    direct_requests_are_answered_at_the_usual_demand => AnsweredCase {
        demand: H, answered_min: 0.97,
    },
    direct_requests_are_answered_at_1_5_times_the_demand => AnsweredCase {
        demand: H.times(150), answered_min: 0.95,
    },
    direct_requests_are_answered_at_2_4_times_the_demand => AnsweredCase {
        demand: H.times(240), answered_min: 0.90,
    },
    direct_requests_at_two_daemons_are_answered => AnsweredCase {
        demand: Demand { direct_daemons: 2, ..H }, answered_min: 0.97,
    },
}

/// Without calls of targets, or without direct requests, nothing is reserved: this guards against a
/// change for services with one origin only.
fn check_one_origin_is_served_as_without_a_reserve(demand: Demand) {
    let unreserved = ServiceBudgetSettings {
        direct_reserve_percent: 0,
        ..SETTINGS
    };
    let load = Load::refusing_55_percent(demand);
    let with = Model::run(&SETTINGS, load);
    let without = Model::run(&unreserved, load);
    for (one, other) in with.bins.iter().zip(&without.bins) {
        assert_eq!(
            (one.retries, one.direct_answered),
            (other.retries, other.direct_answered)
        );
    }
}

cases! { check_one_origin_is_served_as_without_a_reserve:
    calls_alone_keep_all_retries => H.direct_times(0),
    direct_requests_alone_keep_all_retries => Demand { calls_per_s: 0, direct_per_s: 1_000, ..H },
}

/// Runs whole nodes: fronts that call the deep service about 630 times a second, and daemons without
/// a target that accept 14 direct requests for it each second, the proportion of deployment H. Its
/// targets refuse 55 percent of all.
fn direct_answered_share(direct_reserve_percent: u32) -> f64 {
    let load = DeepLoad {
        budget: ServiceBudgetSettings {
            direct_reserve_percent,
            ..SETTINGS
        },
        phases: vec![(45, 0.8)],
        deep: Rc::new(|_, rng| match rng.random_bool(0.55) {
            true => TargetOutcome::Refused,
            false => routed::ok_outcome(),
        }),
        direct_per_s: 14,
        ..DeepLoad::default()
    };
    deep_service::run(&load).direct_outcome(18).answered_share()
}

#[test]
fn whole_nodes_answer_direct_requests_although_targets_refuse() {
    let answered = direct_answered_share(33);
    assert!(answered >= 0.97, "{answered}");
}
