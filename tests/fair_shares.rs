//! Fair shares of organisations while capacity is short.

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

use deep_service::{CAPACITY_PER_S, DeepLoad};
use dragonflylug::fairness::FairShares;
use dragonflylug::ids::{OrganisationName, Priority, RouteName};
use dragonflylug::pressure::{ArrivingRequest, Pressures, missed_share, shed_share};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const MS_US: u64 = 1_000;
const STEP_MS: u64 = 10;
const STEPS_PER_S: u64 = 1_000 / STEP_MS;
const REQUEST: ArrivingRequest = ArrivingRequest {
    priority: Priority::Normal,
    is_client_retry: false,
};
/// The surge, as multiples of the usual rates of organisations that follow each other by size.
const SURGES: [f64; 4] = [7.5, 3.0, 3.0, 3.0];
/// The capacity as a share of the demand in the surge.
const CAPACITY_SHARE: f64 = 0.7;
/// The change of the pressure in a second while twice the capacity is admitted.
const PRESSURE_GAIN_PER_S: f64 = 1.0;
/// The requests from which on a share is judged. Smaller organisations are judged together with those
/// next to them by size.
const JUDGED_REQUESTS_MIN: f64 = 150.0;

/// Organisations of uneven size whose requests enter at some daemons and run at some targets.
#[derive(Clone, Copy)]
struct Model {
    organisations: usize,
    /// The exponent by which rates fall with the rank by size.
    exponent: f64,
    rate_per_s: f64,
    daemons: usize,
    targets: usize,
    /// The rank by size of the largest organisation that surges.
    first_surging: usize,
    /// The seconds without a surge, and those with it; the last three quarters are measured.
    calm_s: u64,
    surge_s: u64,
}

/// The largest of deployment H's 73 organisations sends about 400 of 1,600 requests per second, most
/// send under 10. Those that surge are of about the mean size.
const H: Model = Model {
    organisations: 73,
    exponent: 1.1,
    rate_per_s: 1_600.0,
    daemons: 60,
    targets: 24,
    first_surging: 11,
    calm_s: 60,
    surge_s: 40,
};

/// The offered and the served requests of each organisation.
struct Outcome {
    offered: Vec<f64>,
    served: Vec<f64>,
}

impl Model {
    fn is_surging(&self, index: usize) -> bool {
        (self.first_surging..self.first_surging + SURGES.len()).contains(&index)
    }

    fn rates(&self, surges: &[f64]) -> Vec<f64> {
        let mut rates: Vec<f64> = Vec::new();
        for rank in 1..=self.organisations {
            rates.push((rank as f64).powf(-self.exponent));
        }
        let sum: f64 = rates.iter().sum();
        for rate in &mut rates {
            *rate *= self.rate_per_s / sum;
        }
        for (index, factor) in surges.iter().enumerate() {
            rates[self.first_surging + index] *= factor;
        }
        rates
    }

    /// Runs the calm with ample capacity and the surge with too little, and measures the latter.
    fn run(&self, surges: &[f64], uses_shares: bool) -> Outcome {
        let calm = self.rates(&[]);
        let surge = self.rates(surges);
        let capacity_per_s = self.rates(&SURGES).iter().sum::<f64>() * CAPACITY_SHARE;
        let mut names: Vec<OrganisationName> = Vec::new();
        for index in 0..self.organisations {
            names.push(format!("organisation-{index}").as_str().into());
        }
        let route = RouteName::from("lookups");
        let mut rng = ChaCha8Rng::seed_from_u64(5);
        let mut entries: Vec<Pressures> = Vec::new();
        entries.resize_with(self.daemons, Pressures::default);
        let mut guards: Vec<FairShares> = Vec::new();
        guards.resize_with(self.targets, FairShares::default);
        let mut pressure = 0.0_f64;
        let mut outcome = Outcome {
            offered: vec![0.0; self.organisations],
            served: vec![0.0; self.organisations],
        };
        let measured_from_s = self.calm_s + self.surge_s / 4;
        for step in 0..(self.calm_s + self.surge_s) * STEPS_PER_S {
            let now_us = step * STEP_MS * MS_US;
            let is_calm = step < self.calm_s * STEPS_PER_S;
            let is_measured = step >= measured_from_s * STEPS_PER_S;
            let rates = if is_calm { &calm } else { &surge };
            let capacity = match is_calm {
                true => 2.0 * self.rate_per_s / STEPS_PER_S as f64,
                false => capacity_per_s / STEPS_PER_S as f64,
            };
            let mut admitted = 0.0;
            for index in arrivals(rates, &mut rng) {
                let entry = &mut entries[rng.random_range(0..self.daemons)];
                let guard = &mut guards[rng.random_range(0..self.targets)];
                let name = uses_shares.then_some(&names[index]);
                let basis = entry.shed_basis(now_us, &route, REQUEST, name);
                outcome.offered[index] += f64::from(is_measured);
                if entry.should_shed(now_us, &route, REQUEST, name, &mut rng) {
                    continue;
                }
                let offered = 1.0 / (1.0 - basis.shed_share());
                guard.record_arrival(now_us, &names[index], Priority::Normal, offered, None);
                let share = 1.0 - shed_share(pressure, REQUEST);
                let permille = match uses_shares {
                    true => guard.factor_permille(now_us, &names[index], Priority::Normal, share),
                    false => 1_000,
                };
                entry.record_report(now_us, &route, pressure);
                entry
                    .factors()
                    .record(now_us, &route, &names[index], permille);
                if rng.random_bool(missed_share(pressure, basis, permille)) {
                    continue;
                }
                admitted += 1.0;
                outcome.served[index] += f64::from(is_measured);
            }
            let excess = (admitted - capacity) / capacity;
            pressure += excess * PRESSURE_GAIN_PER_S / STEPS_PER_S as f64;
            pressure = pressure.clamp(0.0, 1.0);
        }
        outcome
    }
}

/// Returns the organisations of the requests that arrive in a step.
fn arrivals(rates: &[f64], rng: &mut ChaCha8Rng) -> Vec<usize> {
    let mut ends = Vec::new();
    let mut sum = 0.0;
    for rate in rates {
        sum += rate;
        ends.push(sum);
    }
    let mean = sum / STEPS_PER_S as f64;
    let count = mean.floor() as usize + usize::from(rng.random_bool(mean.fract()));
    let mut arriving = Vec::new();
    for _ in 0..count {
        let point = rng.random_range(0.0..sum);
        arriving.push(ends.partition_point(|end| *end <= point));
    }
    arriving
}

impl Outcome {
    /// Returns the share of the requests of some organisations that is served.
    fn share(&self, is_included: impl Fn(usize) -> bool) -> f64 {
        let (mut offered, mut served) = (0.0, 0.0);
        for index in (0..self.offered.len()).filter(|index| is_included(*index)) {
            offered += self.offered[index];
            served += self.served[index];
        }
        served / offered
    }

    /// Returns the served shares of the organisations, from the lowest to the highest.
    fn sorted_shares(&self, is_included: impl Fn(usize) -> bool) -> Vec<f64> {
        let mut shares = Vec::new();
        let (mut offered, mut served) = (0.0, 0.0);
        for index in (0..self.offered.len()).filter(|index| is_included(*index)) {
            offered += self.offered[index];
            served += self.served[index];
            if offered >= JUDGED_REQUESTS_MIN {
                shares.push(served / offered);
                (offered, served) = (0.0, 0.0);
            }
        }
        shares.sort_unstable_by(f64::total_cmp);
        shares
    }
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len() as f64
}

fn check_surge(model: Model) {
    let without = model.run(&[], true);
    let outcome = model.run(&SURGES, true);
    let others = outcome.share(|index| !model.is_surging(index));
    let others_before = without.share(|index| !model.is_surging(index));
    assert!(
        others >= 0.95 * others_before,
        "{others} of {others_before}"
    );
    let all = outcome.share(|_| true);
    let lowest = outcome.sorted_shares(|index| !model.is_surging(index))[0];
    assert!(lowest >= 0.5 * all, "{lowest} of {all}");
    let shares = outcome.sorted_shares(|index| !model.is_surging(index));
    let worst = mean(&shares[..shares.len().div_ceil(10)]);
    assert!(worst >= 0.9 * mean(&shares), "{worst} of {}", mean(&shares));
}

cases! { check_surge:
    a_surge_does_not_take_the_share_of_others => H,
    each_guard_sees_a_sixtieth_of_the_requests => Model { targets: 60, ..H },
    many_organisations_keep_their_shares => Model {
        organisations: 20_000,
        exponent: 0.8,
        targets: 4,
        first_surging: 0,
        calm_s: 30,
        surge_s: 20,
        ..H
    },
}

/// The load before the surge, as a share of the capacity, and its seconds.
const CALM_LOAD: f64 = 0.7;
const CALM_S: u64 = 30;

/// Returns the organisation of a request, by its index: all that exceeds the load before the surge
/// is of the first one.
fn organisation(index: usize) -> &'static str {
    let calm = (CAPACITY_PER_S * CALM_LOAD * CALM_S as f64) as usize;
    if index >= calm && index % 16 >= 8 {
        return "a";
    }
    ["a", "b", "c", "d"][index / 16 % 4]
}

#[test]
fn whole_nodes_shed_the_organisation_that_surges() {
    let load = DeepLoad {
        phases: vec![(CALM_S, CALM_LOAD), (20, 1.0 / CAPACITY_SHARE)],
        organisation: Some(organisation),
        ..DeepLoad::default()
    };
    let run = deep_service::run(&load);
    let answered = |is_included: fn(&str) -> bool| {
        let is_included = |index| is_included(organisation(index));
        let outcome = run.outcome_of(CALM_S + 5, CALM_S + 20, is_included);
        let answered = outcome.payments.answered + outcome.lookups.answered;
        let replied = outcome.payments.replied + outcome.lookups.replied;
        f64::from(answered) / f64::from(replied)
    };
    let others = answered(|name| name != "a");
    let surging = answered(|name| name == "a");
    assert!(others >= 0.95, "{others}, and {surging} of the surge");
}

/// The quotas of two organisations that each offer 50 requests a second, the admitted share, and the
/// shares of each that must be admitted.
struct QuotaCase {
    quotas_per_s: [f64; 2],
    admitted: f64,
    shares: [f64; 2],
}

fn check_quotas(case: QuotaCase) {
    let names: [OrganisationName; 2] = ["a".into(), "b".into()];
    let mut shares = FairShares::default();
    let priority = Priority::High;
    for now_us in (0..20_000 * MS_US).step_by(20 * MS_US as usize) {
        for (name, quota) in names.iter().zip(case.quotas_per_s) {
            shares.record_arrival(now_us, name, priority, 1.0, Some(quota));
        }
    }
    for (name, expected) in names.iter().zip(case.shares) {
        let factor = shares.factor(20_000 * MS_US, name, priority, case.admitted);
        let share = (factor * case.admitted).min(1.0);
        assert!(
            (share - expected).abs() < 0.02,
            "{share} and not {expected}"
        );
    }
}

cases! { check_quotas:
    equal_quotas_get_equal_shares => QuotaCase {
        quotas_per_s: [60.0, 60.0], admitted: 0.5, shares: [0.5, 0.5],
    },
    shares_are_in_proportion_to_quotas => QuotaCase {
        quotas_per_s: [180.0, 60.0], admitted: 0.5, shares: [0.75, 0.25],
    },
    what_one_does_not_need_goes_to_the_other => QuotaCase {
        quotas_per_s: [540.0, 60.0], admitted: 0.75, shares: [1.0, 0.5],
    },
    nothing_is_shed_while_there_is_capacity => QuotaCase {
        quotas_per_s: [540.0, 60.0], admitted: 1.0, shares: [1.0, 1.0],
    },
}
