//! Pressure: how much new work must be turned away so that the work under way can end.
//!
//! A guard measures the pressure of its target by the wait in its queue. Each reply tells the
//! pressure that holds for its route: the greatest of the target itself and of all that it calls
//! for requests of the route. So the daemon where a request enters learns what the deepest service
//! of its call graph can carry, and turns new work away before any of it has run.
//!
//! It answers a load above what one deep service carries, where each request needs that service
//! several times: a call refused there throws away all that ran for its request above it.

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

/// The name of the service that keeps the pressures.
pub const NAME: &str = "pressure";

/// The weight of a new report in the mean of a route.
const REPORT_WEIGHT: f64 = 0.3;

/// The time over which a report without a newer one loses half of its weight.
const REPORT_HALVING_US: f64 = 1_000_000.0;

/// The greatest pressure.
pub const LEVEL_MAX: f64 = 1.0;

/// What replies said last of a route.
#[derive(Clone, Copy)]
struct Seen {
    level: f64,
    at_us: u64,
}

impl Seen {
    /// Returns the level, which fades without news.
    fn level_at(&self, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.at_us) as f64;
        self.level * 0.5_f64.powf(age_us / REPORT_HALVING_US)
    }
}

/// The pressures of routes that this daemon calls, and what its target calls.
#[derive(Default)]
pub struct Pressures {
    seen: SortedMap<RouteName, Seen>,
    call_rates: CallRateEstimator,
    /// The longest time that requests of a route were given, by which returned ones are known.
    time_limits_ms: SortedMap<RouteName, u32>,
}

impl Pressures {
    /// Takes in the pressure that a reply told of its route.
    pub fn record_report(&mut self, now_us: u64, route: &RouteName, level: f64) {
        let before = self.observed_level(now_us, route);
        let seen = Seen {
            level: before + REPORT_WEIGHT * (level - before),
            at_us: now_us,
        };
        self.seen.insert(route.clone(), seen);
    }

    /// Returns the pressure that the calls of a route met lately.
    pub fn observed_level(&self, now_us: u64, route: &RouteName) -> f64 {
        let seen = self.seen.get(route);
        seen.map_or(0.0, |seen| seen.level_at(now_us))
    }

    /// Returns the pressure of a route at this target: its own or that of what it calls.
    pub fn effective_level(&mut self, now_us: u64, route: &RouteName, own_level: f64) -> f64 {
        let mut level = own_level;
        for (child, seen) in self.seen.iter() {
            let below = seen.level_at(now_us);
            if below > level && self.call_rates.has_calls(now_us, route, child) {
                level = below;
            }
        }
        level
    }

    /// Returns what is known of the target's calls.
    pub fn call_rates(&mut self) -> &mut CallRateEstimator {
        &mut self.call_rates
    }

    /// Decides whether a new request is turned away before anything of it runs.
    pub fn should_shed(
        &mut self,
        now_us: u64,
        route: &RouteName,
        newcomer: ArrivingRequest,
        rng: &mut ChaCha8Rng,
    ) -> bool {
        let share = shed_share(self.observed_level(now_us, route), newcomer);
        share > 0.0 && rng.random_bool(share)
    }

    /// Says whether a request comes back after a refusal: it has less time than its route gives.
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
