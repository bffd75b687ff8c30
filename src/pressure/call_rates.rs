//! Estimates which routes a target calls for the requests of each route that it serves.
//!
//! A call does not name the request that it is made for. Time is therefore divided into short
//! bins, and the calls to a route in a bin are modelled as a sum over the routes whose requests
//! ran, each with a rate of its own. Non-negative least squares over many bins finds the rates.
//! Without evidence all routes are assumed to make calls at the same rate.
//!
//! In this module a parent is a route whose requests run at the target, and a child is a route
//! that the target calls.

use crate::ids::RouteName;
use crate::sorted::SortedMap;

/// The length of a bin.
const BIN_US: u64 = 50_000;

/// The maximum number of parents; requests of further routes are ignored.
const PARENTS_MAX: usize = 8;

/// The maximum number of children; calls to further routes are ignored.
const CHILDREN_MAX: usize = 16;

/// The factor by which each new bin reduces the weight of earlier bins.
const BIN_DECAY: f64 = 0.9995;

/// The weight of the assumption that all routes make calls at the same rate, as a number of bins
/// in which one request runs.
const PRIOR_WEIGHT: f64 = 20.0;

/// The share of the mean rate above which a parent counts as a caller of a child.
const CALLER_RATE_SHARE_MIN: f64 = 0.25;

/// The minimum calls per bin that one running request makes to count as calling at all. A route
/// that made a call long ago, or makes them for few of its requests, does not count.
const CALLING_RATE_MIN: f64 = 0.01;

/// The number of coordinate descent rounds in each fit.
const FIT_ROUNDS: usize = 12;

/// The minimum time between two fits.
const FIT_PERIOD_US: u64 = 500_000;

/// One value for each parent.
type PerParent = [f64; PARENTS_MAX];

/// The calls to one route.
#[derive(Default)]
struct Child {
    /// The calls in the current bin.
    calls: f64,
    /// The decaying sums over the bins of the calls times the exposure of each parent.
    call_products: PerParent,
    calls_sum: f64,
    rates: PerParent,
}

/// Estimates the rates of a target's calls by the routes of the requests that it runs.
#[derive(Default)]
pub struct CallRateEstimator {
    parents: Vec<RouteName>,
    running: PerParent,
    /// The requests that ran in the current bin so far, each weighted by its share of the bin.
    exposure: PerParent,
    /// The decaying sums over the bins of one parent's exposure times another's.
    exposure_products: [PerParent; PARENTS_MAX],
    exposure_sum: f64,
    children: SortedMap<RouteName, Child>,
    current_bin: u64,
    updated_us: u64,
    fitted_us: u64,
}

impl CallRateEstimator {
    /// Records that a request of a route starts at the target.
    pub fn record_start(&mut self, now_us: u64, route: &RouteName) {
        self.advance(now_us);
        if let Some(index) = self.parent_index_or_insert(route) {
            self.running[index] += 1.0;
        }
    }

    /// Records that a request of a route ended at the target.
    pub fn record_end(&mut self, now_us: u64, route: &RouteName) {
        self.advance(now_us);
        if let Some(index) = self.parent_index_or_insert(route) {
            self.running[index] = (self.running[index] - 1.0).max(0.0);
        }
    }

    /// Records that the target calls a route.
    pub fn record_call(&mut self, now_us: u64, child: &RouteName) {
        self.advance(now_us);
        if self.children.len() >= CHILDREN_MAX && !self.children.contains_key(child) {
            return;
        }
        let child = self
            .children
            .get_or_insert_with(child.clone(), Child::default);
        child.calls += 1.0;
    }

    /// Returns whether the requests of a route are estimated to call another route: by the latest
    /// fit their rate of calls is above a share of the mean rate.
    pub fn is_estimated_caller(
        &mut self,
        now_us: u64,
        parent: &RouteName,
        child: &RouteName,
    ) -> bool {
        self.refresh(now_us);
        let index = self.parents.iter().position(|name| name == parent);
        let (Some(index), Some(child)) = (index, self.children.get(child)) else {
            return false;
        };
        child.rates[index] > CALLER_RATE_SHARE_MIN * self.mean_rate(child)
    }

    /// Returns whether the requests of a route are estimated to call any other route. A route beyond
    /// the maximum number of parents is taken to call at the mean rate.
    pub fn is_estimated_to_call(&mut self, now_us: u64, parent: &RouteName) -> bool {
        self.refresh(now_us);
        let index = self.parents.iter().position(|name| name == parent);
        for (_, child) in self.children.iter() {
            let rate_min = CALLER_RATE_SHARE_MIN * self.mean_rate(child);
            let rate_min = rate_min.max(CALLING_RATE_MIN);
            let rate = index.map_or(self.mean_rate(child), |index| child.rates[index]);
            if rate > rate_min {
                return true;
            }
        }
        false
    }

    /// Advances to the current time and fits the rates if the last fit is too old.
    fn refresh(&mut self, now_us: u64) {
        self.advance(now_us);
        if now_us >= self.fitted_us + FIT_PERIOD_US {
            self.fitted_us = now_us;
            self.fit();
        }
    }

    /// Returns the index of a parent, which is added if it is new; `None` if it is new and the
    /// maximum is reached.
    fn parent_index_or_insert(&mut self, route: &RouteName) -> Option<usize> {
        if let Some(index) = self.parents.iter().position(|name| name == route) {
            return Some(index);
        }
        if self.parents.len() >= PARENTS_MAX {
            return None;
        }
        self.parents.push(route.clone());
        Some(self.parents.len() - 1)
    }

    /// Advances to the current time and closes the bins that have ended; idle bins are skipped.
    fn advance(&mut self, now_us: u64) {
        let bin = now_us / BIN_US;
        while self.current_bin < bin {
            let end_us = (self.current_bin + 1) * BIN_US;
            self.add_exposure(end_us);
            self.close_bin();
            let is_idle = self.running.iter().all(|running| *running == 0.0);
            self.current_bin = if is_idle { bin } else { self.current_bin + 1 };
        }
        self.add_exposure(now_us);
    }

    fn add_exposure(&mut self, until_us: u64) {
        let elapsed_us = until_us.saturating_sub(self.updated_us).min(BIN_US);
        self.updated_us = self.updated_us.max(until_us);
        let bin_share = elapsed_us as f64 / BIN_US as f64;
        for (exposure, running) in self.exposure.iter_mut().zip(self.running) {
            *exposure += running * bin_share;
        }
    }

    fn close_bin(&mut self) {
        let exposure = std::mem::take(&mut self.exposure);
        for (index, row) in self.exposure_products.iter_mut().enumerate() {
            for (other, product) in row.iter_mut().enumerate() {
                *product = *product * BIN_DECAY + exposure[index] * exposure[other];
            }
        }
        self.exposure_sum = self.exposure_sum * BIN_DECAY + exposure.iter().sum::<f64>();
        for (_, child) in self.children.iter_mut() {
            let calls = std::mem::take(&mut child.calls);
            child.calls_sum = child.calls_sum * BIN_DECAY + calls;
            for (product, exposure) in child.call_products.iter_mut().zip(exposure) {
                *product = *product * BIN_DECAY + exposure * calls;
            }
        }
    }

    /// Returns the mean number of calls per bin that one running request of any route makes.
    fn mean_rate(&self, child: &Child) -> f64 {
        child.calls_sum / self.exposure_sum.max(1.0)
    }

    /// Fits the rates of all children by coordinate descent, starting from the mean rate.
    fn fit(&mut self) {
        let exposure_sum = self.exposure_sum.max(1.0);
        let parent_count = self.parents.len();
        for (_, child) in self.children.iter_mut() {
            let prior_rate = child.calls_sum / exposure_sum;
            child.rates = [prior_rate; PARENTS_MAX];
            for _ in 0..FIT_ROUNDS {
                for index in 0..parent_count {
                    child.rates[index] = fit_rate(
                        index,
                        parent_count,
                        &self.exposure_products,
                        child,
                        prior_rate,
                    );
                }
            }
        }
    }
}

/// Returns the best rate of one parent while the rates of the others stay fixed.
fn fit_rate(
    index: usize,
    parent_count: usize,
    exposure_products: &[PerParent; PARENTS_MAX],
    child: &Child,
    prior_rate: f64,
) -> f64 {
    let mut residual = child.call_products[index] + PRIOR_WEIGHT * prior_rate;
    for (other, product) in exposure_products[index]
        .iter()
        .enumerate()
        .take(parent_count)
    {
        if other != index {
            residual -= product * child.rates[other];
        }
    }
    (residual / (exposure_products[index][index] + PRIOR_WEIGHT)).max(0.0)
}
