//! What a target calls for each route, learned from what runs while it calls.
//!
//! A call does not name the request that it is made for. In each short bin of time the calls to a
//! route are taken as a sum over the routes whose requests ran, each with a rate of its own; the
//! rates that fit best, none below 0, are found by least squares over many bins. Before there is
//! evidence all routes are taken to call alike.

use crate::ids::RouteName;
use crate::sorted::SortedMap;

/// The length of a bin.
const BIN_US: u64 = 50_000;

/// The routes of requests that are told apart; further ones are not followed.
const PARENTS_MAX: usize = 8;

/// The routes that are called and followed.
const CHILDREN_MAX: usize = 16;

/// The part of the evidence that is kept from one bin to the next.
const KEPT: f64 = 0.9995;

/// The weight of the assumption that all routes call alike, in bins with one running request.
const ASSUMED_WEIGHT: f64 = 20.0;

/// The part of the mean rate above which a route is taken to call another.
const RATE_PART_MIN: f64 = 0.25;

/// The rounds in which the rates are fitted.
const FIT_ROUNDS: usize = 12;

/// The time for which fitted rates are used.
const FIT_PERIOD_US: u64 = 500_000;

/// One value for each route that runs.
type PerParent = [f64; PARENTS_MAX];

/// The calls to one route.
#[derive(Default)]
struct Child {
    /// The calls in the present bin.
    calls: f64,
    /// The sums of calls times running requests.
    products: PerParent,
    calls_sum: f64,
    rates: PerParent,
}

/// The calls of a target by the routes of the requests that it runs.
#[derive(Default)]
pub struct CallRateEstimator {
    parents: Vec<RouteName>,
    running: PerParent,
    /// The running requests of the present bin, times its length so far.
    exposure: PerParent,
    /// The sums of running requests of one route times those of another.
    squares: [PerParent; PARENTS_MAX],
    exposure_sum: f64,
    children: SortedMap<RouteName, Child>,
    bin: u64,
    updated_us: u64,
    fitted_us: u64,
}

impl CallRateEstimator {
    /// Notes that a request of a route starts at the target.
    pub fn record_start(&mut self, now_us: u64, route: &RouteName) {
        self.advance(now_us);
        if let Some(at) = self.place(route) {
            self.running[at] += 1.0;
        }
    }

    /// Notes that a request of a route ended.
    pub fn record_end(&mut self, now_us: u64, route: &RouteName) {
        self.advance(now_us);
        if let Some(at) = self.place(route) {
            self.running[at] = (self.running[at] - 1.0).max(0.0);
        }
    }

    /// Notes that the target calls a route.
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

    /// Says whether requests of a route are taken to call another route.
    pub fn has_calls(&mut self, now_us: u64, parent: &RouteName, child: &RouteName) -> bool {
        self.advance(now_us);
        if now_us >= self.fitted_us + FIT_PERIOD_US {
            self.fitted_us = now_us;
            self.fit();
        }
        let place = self.parents.iter().position(|known| known == parent);
        let (Some(at), Some(child)) = (place, self.children.get(child)) else {
            return false;
        };
        child.rates[at] > RATE_PART_MIN * self.mean_rate(child)
    }

    fn place(&mut self, route: &RouteName) -> Option<usize> {
        if let Some(at) = self.parents.iter().position(|known| known == route) {
            return Some(at);
        }
        if self.parents.len() >= PARENTS_MAX {
            return None;
        }
        self.parents.push(route.clone());
        Some(self.parents.len() - 1)
    }

    /// Moves on to the present, closing the bins that are over.
    fn advance(&mut self, now_us: u64) {
        let bin = now_us / BIN_US;
        while self.bin < bin {
            let end_us = (self.bin + 1) * BIN_US;
            self.expose(end_us);
            self.close_bin();
            let is_idle = self.running.iter().all(|running| *running == 0.0);
            self.bin = if is_idle { bin } else { self.bin + 1 };
        }
        self.expose(now_us);
    }

    fn expose(&mut self, until_us: u64) {
        let passed_us = until_us.saturating_sub(self.updated_us).min(BIN_US);
        self.updated_us = self.updated_us.max(until_us);
        let share = passed_us as f64 / BIN_US as f64;
        for (exposure, running) in self.exposure.iter_mut().zip(self.running) {
            *exposure += running * share;
        }
    }

    fn close_bin(&mut self) {
        let exposure = std::mem::take(&mut self.exposure);
        for (at, row) in self.squares.iter_mut().enumerate() {
            for (other, square) in row.iter_mut().enumerate() {
                *square = *square * KEPT + exposure[at] * exposure[other];
            }
        }
        self.exposure_sum = self.exposure_sum * KEPT + exposure.iter().sum::<f64>();
        for (_, child) in self.children.iter_mut() {
            let calls = std::mem::take(&mut child.calls);
            child.calls_sum = child.calls_sum * KEPT + calls;
            for (product, exposure) in child.products.iter_mut().zip(exposure) {
                *product = *product * KEPT + exposure * calls;
            }
        }
    }

    /// Returns the calls of one running request in a bin, whatever its route.
    fn mean_rate(&self, child: &Child) -> f64 {
        child.calls_sum / self.exposure_sum.max(1.0)
    }

    fn fit(&mut self) {
        let exposure_sum = self.exposure_sum.max(1.0);
        let parents = self.parents.len();
        for (_, child) in self.children.iter_mut() {
            let assumed = child.calls_sum / exposure_sum;
            child.rates = [assumed; PARENTS_MAX];
            for _ in 0..FIT_ROUNDS {
                for at in 0..parents {
                    child.rates[at] = fit_one(at, parents, &self.squares, child, assumed);
                }
            }
        }
    }
}

/// Returns the best rate of one route while those of the others stay.
fn fit_one(
    at: usize,
    parents: usize,
    squares: &[PerParent; PARENTS_MAX],
    child: &Child,
    assumed: f64,
) -> f64 {
    let mut rest = child.products[at] + ASSUMED_WEIGHT * assumed;
    for (other, square) in squares[at].iter().enumerate().take(parents) {
        if other != at {
            rest -= square * child.rates[other];
        }
    }
    (rest / (squares[at][at] + ASSUMED_WEIGHT)).max(0.0)
}
