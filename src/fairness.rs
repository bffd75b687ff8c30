//! Fair shares of organisations while requests are shed: weighted max-min fairness, decided beside
//! the target and applied where requests enter.
//!
//! The guard estimates how many requests each organisation offers, including those that entry
//! daemons shed. For the share of the requests of a priority that the pressure admits, it finds the
//! water level: each organisation is admitted up to the level times its weight. Its weight is its
//! quota, or the rate that is usual for it. Replies carry the ratio of an organisation's admitted
//! share to that of all, by which entry daemons multiply the admitted share of the pressure.

mod flow;
mod reported;

pub use reported::ReportedFactors;

use crate::ids::{OrganisationName, Priority};
use crate::sorted::SortedMap;
use flow::Flow;

/// The factor of an organisation that is treated as all others are, in thousandths.
pub const NEUTRAL_PERMILLE: u16 = 1_000;

/// The maximum factor, in thousandths.
const FACTOR_MAX_PERMILLE: f64 = 20_000.0;

/// The minimum of an organisation's admitted share, as a share of that of all.
const FACTOR_MIN: f64 = 0.3;

/// The maximum number of organisations of a priority whose rates are estimated; the others have the
/// neutral factor.
const FLOWS_MAX: usize = 20_480;

/// The time without requests after which an organisation makes room for another.
const FLOW_IDLE_US: u64 = 60_000_000;

/// The time after which the water level is computed again.
const LEVEL_PERIOD_US: u64 = 200_000;

/// The change of the admitted share upon which the water level is computed at once.
const LEVEL_SHARE_STEP: f64 = 0.02;

/// The number of bisection steps of the search for the water level.
const LEVEL_STEPS: usize = 24;

/// The water level of the organisations of one priority.
#[derive(Clone, Copy)]
struct WaterLevel {
    computed_us: u64,
    /// The admitted share of all requests, for which the level was computed.
    admitted: f64,
    /// The admitted rate of an organisation for each unit of its weight.
    level: f64,
    /// The weight of an organisation without a quota, for each request per second of its usual
    /// rate.
    weight_per_usual_rate: f64,
}

/// Estimates the offered rates of organisations at a guard, and decides on their shares.
#[derive(Default)]
pub struct FairShares {
    classes: SortedMap<Priority, PriorityClass>,
}

/// The organisations that send requests of one priority.
#[derive(Default)]
struct PriorityClass {
    flows: SortedMap<OrganisationName, Flow>,
    level: Option<WaterLevel>,
}

impl FairShares {
    /// Records the first attempt of a request. It stands for `offered` requests, if its entry daemon
    /// sheds the others. The quota is in requests per second; `None` if there is none.
    pub fn record_arrival(
        &mut self,
        now_us: u64,
        organisation: &OrganisationName,
        priority: Priority,
        offered: f64,
        quota_per_s: Option<f64>,
    ) {
        let class = self
            .classes
            .get_or_insert_with(priority, PriorityClass::default);
        let is_short = class.level.is_some_and(|level| level.admitted < 1.0);
        if let Some(flow) = class.flow_or_insert(now_us, organisation) {
            flow.record(now_us, offered, is_short);
            flow.quota_per_s = quota_per_s.filter(|rate| *rate > 0.0);
        }
    }

    /// Returns the ratio of an organisation's admitted share to `admitted`, the admitted share of
    /// all requests of its priority, from 0 to 1. The ratio is higher than needed to admit all of
    /// its requests if it sends less than its share.
    pub fn factor(
        &mut self,
        now_us: u64,
        organisation: &OrganisationName,
        priority: Priority,
        admitted: f64,
    ) -> f64 {
        let class = self
            .classes
            .get_or_insert_with(priority, PriorityClass::default);
        let level = class.current_level(now_us, admitted);
        let flow = class.flows.get(organisation);
        let Some(flow) = flow.filter(|_| 0.0 < admitted && admitted < 1.0) else {
            return 1.0;
        };
        level.headroom(now_us, flow) / level.admitted
    }

    /// Returns the factor as it is reported, in thousandths.
    pub fn factor_permille(
        &mut self,
        now_us: u64,
        organisation: &OrganisationName,
        priority: Priority,
        admitted: f64,
    ) -> u16 {
        let factor = self.factor(now_us, organisation, priority, admitted);
        (factor * f64::from(NEUTRAL_PERMILLE)).min(FACTOR_MAX_PERMILLE) as u16
    }
}

impl PriorityClass {
    /// Returns the flow of an organisation; `None` if there are too many others.
    fn flow_or_insert(
        &mut self,
        now_us: u64,
        organisation: &OrganisationName,
    ) -> Option<&mut Flow> {
        if !self.flows.contains_key(organisation) && self.flows.len() >= FLOWS_MAX {
            self.flows
                .retain(|_, flow| !flow.is_idle(now_us, FLOW_IDLE_US));
            if self.flows.len() >= FLOWS_MAX {
                return None;
            }
        }
        let create = || Flow::new(now_us);
        Some(self.flows.get_or_insert_with(organisation.clone(), create))
    }

    /// Returns the water level, computed again if it is outdated.
    fn current_level(&mut self, now_us: u64, admitted: f64) -> WaterLevel {
        let current = self.level.filter(|level| {
            now_us < level.computed_us + LEVEL_PERIOD_US
                && (level.admitted - admitted).abs() < LEVEL_SHARE_STEP
                && (level.admitted < 1.0) == (admitted < 1.0)
        });
        let level = current.unwrap_or_else(|| self.compute_level(now_us, admitted));
        self.level = Some(level);
        level
    }

    fn compute_level(&self, now_us: u64, admitted: f64) -> WaterLevel {
        let mut water = WaterLevel {
            computed_us: now_us,
            admitted,
            level: f64::MAX,
            weight_per_usual_rate: 1.0,
        };
        if admitted >= 1.0 {
            return water;
        }
        water.weight_per_usual_rate = self.weight_per_usual_rate(now_us);
        let mut demands = Vec::new();
        let (mut offered_sum, mut level_max) = (0.0, 0.0_f64);
        for flow in self.flows.values() {
            let offered = flow.offered_per_s(now_us);
            let weight = water.weight(now_us, flow);
            demands.push((offered, weight));
            offered_sum += offered;
            level_max = level_max.max(offered / weight);
        }
        water.search(&demands, admitted * offered_sum, level_max);
        water
    }

    /// Returns the ratio of quotas to usual rates, over the organisations that have a quota; 1 if
    /// none has. It scales usual rates to weights that are comparable with quotas.
    fn weight_per_usual_rate(&self, now_us: u64) -> f64 {
        let (mut quotas, mut usual) = (0.0, 0.0);
        for flow in self.flows.values() {
            let Some(quota_per_s) = flow.quota_per_s else {
                continue;
            };
            quotas += quota_per_s;
            usual += flow.usual_per_s(now_us);
        }
        if usual > 0.0 { quotas / usual } else { 1.0 }
    }
}

impl WaterLevel {
    /// Sets the level, of at most `level_max`, at which the admitted rates add up to a sum.
    /// `demands` has the offered rate and the weight of each organisation.
    fn search(&mut self, demands: &[(f64, f64)], admitted_sum_per_s: f64, level_max: f64) {
        let (mut low, mut high) = (0.0, level_max);
        for _ in 0..LEVEL_STEPS {
            self.level = (low + high) / 2.0;
            let mut sum_per_s = 0.0;
            for (offered_per_s, weight) in demands {
                sum_per_s += offered_per_s * self.share_of(*offered_per_s, *weight);
            }
            match sum_per_s < admitted_sum_per_s {
                true => low = self.level,
                false => high = self.level,
            }
        }
    }

    fn weight(&self, now_us: u64, flow: &Flow) -> f64 {
        flow.quota_per_s
            .unwrap_or_else(|| flow.usual_per_s(now_us) * self.weight_per_usual_rate)
    }

    /// Returns the share of an organisation's requests that the level admits, above 1 if it admits
    /// more of them than there are. The excess covers entry daemons whose pressure differs.
    fn headroom(&self, now_us: u64, flow: &Flow) -> f64 {
        let offered_per_s = flow.offered_before_latest_per_s(now_us);
        let headroom = self.level * self.weight(now_us, flow) / offered_per_s;
        headroom.max(FACTOR_MIN * self.admitted)
    }

    /// Returns the admitted share of an organisation with an offered rate and a weight.
    fn share_of(&self, offered_per_s: f64, weight: f64) -> f64 {
        let min = FACTOR_MIN * self.admitted;
        (self.level * weight / offered_per_s).clamp(min, 1.0)
    }
}
