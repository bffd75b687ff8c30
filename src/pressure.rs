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
pub use shed::{ArrivingRequest, shed_share};

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::ids::RouteName;
use crate::kernel::{Context, Event, Service};
use crate::sorted::SortedMap;

/// The name of the service that tracks the pressures.
pub const NAME: &str = "pressure";

/// The weight of a new report in a route's exponentially weighted moving average.
const REPORT_WEIGHT: f64 = 0.3;

/// The time in which a route's pressure halves while no new report arrives.
const REPORT_HALF_LIFE_US: f64 = 1_000_000.0;

/// The maximum pressure.
pub const LEVEL_MAX: f64 = 1.0;

/// The mean pressure that replies reported for a route.
#[derive(Clone, Copy)]
struct ReportedLevel {
    level: f64,
    reported_us: u64,
}

impl ReportedLevel {
    /// Returns the level, which decays from the time of the last report.
    fn level_at(&self, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.reported_us) as f64;
        self.level * 0.5_f64.powf(age_us / REPORT_HALF_LIFE_US)
    }
}

/// Tracks the pressures of the routes that this daemon calls, and which of them its target calls.
#[derive(Default)]
pub struct Pressures {
    reported: SortedMap<RouteName, ReportedLevel>,
    call_rates: CallRateEstimator,
    /// The longest time to the deadline of any request of a route so far; retries have much less.
    time_limits_ms: SortedMap<RouteName, u32>,
}

impl Pressures {
    /// Records the pressure that a reply reported for its route.
    pub fn record_report(&mut self, now_us: u64, route: &RouteName, level: f64) {
        let before = self.observed_level(now_us, route);
        let reported = ReportedLevel {
            level: before + REPORT_WEIGHT * (level - before),
            reported_us: now_us,
        };
        self.reported.insert(route.clone(), reported);
    }

    /// Returns the pressure that recent replies reported for a route.
    pub fn observed_level(&self, now_us: u64, route: &RouteName) -> f64 {
        let reported = self.reported.get(route);
        reported.map_or(0.0, |reported| reported.level_at(now_us))
    }

    /// Returns the pressure of a route at this target: the maximum of the target's own level and
    /// the levels of the routes that it calls for this one.
    pub fn effective_level(&mut self, now_us: u64, route: &RouteName, own_level: f64) -> f64 {
        let mut level = own_level;
        for (child, reported) in self.reported.iter() {
            let child_level = reported.level_at(now_us);
            if child_level > level && self.call_rates.has_calls(now_us, route, child) {
                level = child_level;
            }
        }
        level
    }

    /// Returns the estimator of the target's calls by route.
    pub fn call_rates(&mut self) -> &mut CallRateEstimator {
        &mut self.call_rates
    }

    /// Decides at random, by the pressure of its route, whether a new request is shed before any
    /// part of it runs.
    pub fn should_shed(
        &mut self,
        now_us: u64,
        route: &RouteName,
        request: ArrivingRequest,
        rng: &mut ChaCha8Rng,
    ) -> bool {
        let share = shed_share(self.observed_level(now_us, route), request);
        share > 0.0 && rng.random_bool(share)
    }

    /// Returns whether a request looks like a client's retry after a refusal: it has clearly less
    /// time left than the longest time that was observed on its route.
    pub fn is_client_retry(&mut self, route: &RouteName, time_left_ms: u32) -> bool {
        let limit_ms = self.time_limits_ms.get_or_insert_with(route.clone(), || 0);
        *limit_ms = (*limit_ms).max(time_left_ms);
        shed::is_client_retry(time_left_ms, *limit_ms)
    }
}

impl Service for Pressures {
    fn name(&self) -> &'static str {
        NAME
    }

    fn handle(&mut self, _context: &mut Context<'_>, _event: Event) {}
}
