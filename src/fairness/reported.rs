//! The factors of organisations that replies reported to an entry daemon.

use super::NEUTRAL_PERMILLE;
use crate::ids::{OrganisationName, RouteName};
use crate::sorted::SortedMap;

/// The half-life of the difference between a reported factor and its value without reports.
const FACTOR_HALF_LIFE_US: f64 = 1_000_000.0;

/// The minimum weight of a new report in the mean of an organisation's factor.
const REPORT_WEIGHT_MIN: f64 = 0.3;

/// The age of the latest report after which a factor may be evicted. After these five
/// half-lives it has little effect.
const EVICTED_AFTER_US: u64 = 5_000_000;

/// The maximum number of factors that are kept.
const FACTORS_MAX: usize = 4_096;

/// A factor, with the time of the latest report.
#[derive(Clone, Copy)]
struct Reported {
    factor: f64,
    reported_us: u64,
}

impl Reported {
    fn age_weight(&self, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.reported_us) as f64;
        0.5_f64.powf(age_us / FACTOR_HALF_LIFE_US)
    }

    /// Returns the factor, which decays towards `baseline` with the age of the latest report.
    fn factor_at(&self, now_us: u64, baseline: f64) -> f64 {
        baseline + (self.factor - baseline) * self.age_weight(now_us)
    }
}

/// The factors by which an entry daemon multiplies the admitted shares of organisations.
#[derive(Default)]
pub struct ReportedFactors {
    /// The factors by route and organisation.
    organisations: SortedMap<(RouteName, OrganisationName), Reported>,
    /// The highest factor of each route, which organisations within their share have. It applies to
    /// organisations without a recent report: the guard sheds what they send beyond their share.
    highest: SortedMap<RouteName, Reported>,
}

impl ReportedFactors {
    /// Records the factor of a route and an organisation that a reply reported, in thousandths.
    pub fn record(
        &mut self,
        now_us: u64,
        route: &RouteName,
        organisation: &OrganisationName,
        permille: u16,
    ) {
        let factor = f64::from(permille) / f64::from(NEUTRAL_PERMILLE);
        let highest = factor.max(self.highest_factor(now_us, route));
        if highest > 1.0 || self.highest.contains_key(route) {
            let reported = Reported {
                factor: highest,
                reported_us: now_us,
            };
            self.highest.insert(route.clone(), reported);
        }
        let key = (route.clone(), organisation.clone());
        let before = self.organisations.get(&key).copied();
        if before.is_none() && permille == NEUTRAL_PERMILLE {
            return;
        }
        if before.is_none() && self.organisations.len() >= FACTORS_MAX {
            self.organisations
                .retain(|_, reported| now_us < reported.reported_us + EVICTED_AFTER_US);
            if self.organisations.len() >= FACTORS_MAX {
                return;
            }
        }
        let weight = before.map_or(1.0, |before| {
            REPORT_WEIGHT_MIN.max(1.0 - before.age_weight(now_us))
        });
        let before = before.map_or(factor, |before| before.factor);
        let reported = Reported {
            factor: before + weight * (factor - before),
            reported_us: now_us,
        };
        self.organisations.insert(key, reported);
    }

    /// Returns the factor of an organisation, in thousandths.
    pub fn factor_permille(
        &self,
        now_us: u64,
        route: &RouteName,
        organisation: &OrganisationName,
    ) -> u16 {
        let factor = self.factor(now_us, route, organisation);
        (factor * f64::from(NEUTRAL_PERMILLE)).round() as u16
    }

    /// Returns the factor of an organisation; 1 if nothing was reported for the route lately.
    pub fn factor(&self, now_us: u64, route: &RouteName, organisation: &OrganisationName) -> f64 {
        let highest = self.highest_factor(now_us, route);
        let key = (route.clone(), organisation.clone());
        let reported = self.organisations.get(&key);
        reported.map_or(highest, |reported| reported.factor_at(now_us, highest))
    }

    fn highest_factor(&self, now_us: u64, route: &RouteName) -> f64 {
        let reported = self.highest.get(route);
        reported.map_or(1.0, |reported| reported.factor_at(now_us, 1.0))
    }
}
