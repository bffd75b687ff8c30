//! Pressure: how much new work must be shed so that the work in flight can finish.
//!
//! A guard measures the pressure of its target by the wait in its admission queue. Each reply
//! reports the pressure of its route: the maximum of the target's own pressure and that of every
//! route that the target calls for it. The daemon at which a request enters thereby learns how
//! much the deepest service of the call graph can handle, and sheds new requests before any part
//! of them has run.
//!
//! This handles a load above the capacity of one deep service that each request calls several
//! times: a call that is refused there wastes all the work done so far for its root request.

mod call_rates;
mod controller;
mod shed;

pub use call_rates::CallRateEstimator;
pub use controller::{PressureController, PressureSettings};
pub use shed::{
    ArrivingRequest, ShedBasis, fair_shed_share, missed_share, shed_priority, shed_share,
};

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::fairness::{NEUTRAL_PERMILLE, ReportedFactors};
use crate::ids::{OrganisationName, RouteName};
use crate::kernel::{Context, Event, Service};
use crate::sorted::SortedMap;

/// The name of the kernel service that tracks the pressures.
pub const NAME: &str = "pressure";

/// The weight of a new report in a route's exponentially weighted moving average.
const REPORT_WEIGHT: f64 = 0.3;

/// The time in which a route's pressure halves while no new report arrives.
const REPORT_HALF_LIFE_US: f64 = 1_000_000.0;

/// The maximum pressure.
pub const PRESSURE_MAX: f64 = 1.0;

/// The mean pressure that replies reported for a route.
#[derive(Clone, Copy)]
struct ReportedPressure {
    pressure: f64,
    reported_us: u64,
}

impl ReportedPressure {
    /// Returns the mean pressure, decayed since the last report.
    fn pressure_at(&self, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.reported_us) as f64;
        self.pressure * 0.5_f64.powf(age_us / REPORT_HALF_LIFE_US)
    }
}

/// Tracks the pressures of the routes that this daemon calls, and which of them its target calls.
#[derive(Default)]
pub struct Pressures {
    reported: SortedMap<RouteName, ReportedPressure>,
    factors: ReportedFactors,
    call_rates: CallRateEstimator,
    /// The longest time left until the deadline of any request of a route so far. A request with
    /// less than 80 percent of it counts as a client's retry.
    longest_time_left_ms: SortedMap<RouteName, u32>,
}

impl Pressures {
    /// Records the pressure that a reply reported for its route.
    pub fn record_report(&mut self, now_us: u64, route: &RouteName, pressure: f64) {
        let before = self.reported_pressure(now_us, route);
        let reported = ReportedPressure {
            pressure: before + REPORT_WEIGHT * (pressure - before),
            reported_us: now_us,
        };
        self.reported.insert(route.clone(), reported);
    }

    /// Returns the smoothed pressure that recent replies reported for a route; 0 if none did.
    pub fn reported_pressure(&self, now_us: u64, route: &RouteName) -> f64 {
        let reported = self.reported.get(route);
        reported.map_or(0.0, |reported| reported.pressure_at(now_us))
    }

    /// Returns the pressure of a route at this target: the maximum of the target's own pressure and
    /// the reported pressures of the routes that it calls for this one.
    pub fn effective_pressure(&mut self, now_us: u64, route: &RouteName, own_pressure: f64) -> f64 {
        let mut pressure = own_pressure;
        for (child, reported) in self.reported.iter() {
            let child_pressure = reported.pressure_at(now_us);
            if child_pressure > pressure
                && self.call_rates.is_estimated_caller(now_us, route, child)
            {
                pressure = child_pressure;
            }
        }
        pressure
    }

    /// Returns the estimator of the target's calls by route.
    pub fn call_rates(&mut self) -> &mut CallRateEstimator {
        &mut self.call_rates
    }

    /// Returns the factors of the organisations' shares that replies reported.
    pub fn factors(&mut self) -> &mut ReportedFactors {
        &mut self.factors
    }

    /// Returns what the decision to shed a request is based on. A request without an organisation
    /// has the neutral factor.
    pub fn shed_basis(
        &self,
        now_us: u64,
        route: &RouteName,
        request: ArrivingRequest,
        organisation: Option<&OrganisationName>,
    ) -> ShedBasis {
        let fair_permille = match organisation {
            Some(name) => self.factors.factor_permille(now_us, route, name),
            None => NEUTRAL_PERMILLE,
        };
        ShedBasis {
            request,
            pressure_permille: (self.reported_pressure(now_us, route) * 1_000.0) as u16,
            fair_permille,
        }
    }

    /// Decides at random, by the pressure of its route, whether a new request is shed before any
    /// part of it runs.
    pub fn should_shed(
        &mut self,
        now_us: u64,
        route: &RouteName,
        request: ArrivingRequest,
        organisation: Option<&OrganisationName>,
        rng: &mut ChaCha8Rng,
    ) -> bool {
        let basis = self.shed_basis(now_us, route, request, organisation);
        let pressure = self.reported_pressure(now_us, route);
        let share = fair_shed_share(pressure, request, basis.fair_permille);
        share > 0.0 && rng.random_bool(share)
    }

    /// Records the time left of a request, and returns whether it looks like a client's retry: it
    /// has clearly less time left than the longest that was observed on its route, because a retry
    /// keeps the deadline of the first attempt.
    pub fn detect_client_retry(&mut self, route: &RouteName, time_left_ms: u32) -> bool {
        let longest_ms = self
            .longest_time_left_ms
            .get_or_insert_with(route.clone(), || 0);
        *longest_ms = (*longest_ms).max(time_left_ms);
        shed::is_client_retry(time_left_ms, *longest_ms)
    }
}

impl Service for Pressures {
    fn name(&self) -> &'static str {
        NAME
    }

    fn handle(&mut self, _context: &mut Context<'_>, _event: Event) {}
}
