//! Measures the pressure of one target by the waits in its admission queue.

use macro_rules_attribute::apply;

use super::PRESSURE_MAX;
use crate::derives::settings;
use crate::ids::WorkKind;
use crate::sorted::SortedMap;

/// The weight of a new wait in the exponentially weighted moving average.
const WAIT_WEIGHT: f64 = 0.15;

/// A mean wait below this counts as 0 and is dropped.
const MEAN_WAIT_MIN_US: f64 = 100.0;

/// The time in which a mean wait halves while no new wait is observed.
const WAIT_HALF_LIFE_US: f64 = 300_000.0;

/// The share of the set point below which mean waits count as none.
const IDLE_WAIT_SHARE: f64 = 0.1;

/// The mean occupancy of the target below which it has room for more.
const IDLE_OCCUPANCY: f64 = 0.75;

/// The weight of a new occupancy in the exponentially weighted moving average.
const OCCUPANCY_WEIGHT: f64 = 0.05;

/// The longest time step of the controller.
const STEP_MAX_US: u64 = 50_000;

/// The longest time that an update catches up with step by step; older time is skipped.
const CATCH_UP_MAX_US: u64 = 30_000_000;

/// The maximum error that the controller acts on, as a multiple of the set point.
const ERROR_MAX: f64 = 3.0;

/// Settings of a target's pressure.
#[apply(settings!)]
pub struct PressureSettings {
    /// The set point of the mean wait in the queue.
    pub wait_aim_ms: u32,
    /// The rise of the integral term per second, in percent, at twice that wait.
    pub gain_percent: u32,
    /// The proportional term at twice that wait, in percent; it is added to the integral term.
    pub urgency_percent: u32,
    /// The fall of the integral term per second, in percent, while all mean waits are about 0 and the
    /// target has room for more.
    pub idle_fall_percent: u32,
}

impl Default for PressureSettings {
    fn default() -> Self {
        Self {
            wait_aim_ms: 30,
            gain_percent: 10,
            urgency_percent: 30,
            idle_fall_percent: 50,
        }
    }
}

/// A proportional-integral controller of the mean queue wait.
///
/// The integral term rises while the longest mean wait is above the set point and falls otherwise.
/// While all mean waits are about 0 (see `IDLE_WAIT_SHARE`) and the target has room (see
/// `IDLE_OCCUPANCY`), as after the end of a surge, it falls at a rate of its own; by default faster.
pub struct PressureController {
    settings: PressureSettings,
    /// The mean wait of each kind of work; the longest counts, so that no kind is starved.
    mean_waits_us: SortedMap<WorkKind, f64>,
    mean_occupancy: f64,
    integral: f64,
    updated_us: u64,
}

impl PressureController {
    /// Creates a controller whose pressure is 0.
    pub fn new(settings: PressureSettings) -> Self {
        Self {
            settings,
            mean_waits_us: SortedMap::default(),
            mean_occupancy: 0.0,
            integral: 0.0,
            updated_us: 0,
        }
    }

    /// Records how long a request waited in the queue, or would have had to wait.
    pub fn observe_wait(&mut self, now_us: u64, kind: WorkKind, wait_us: u64) {
        self.advance(now_us);
        let mean_us = self.mean_waits_us.get_or_insert_with(kind, || 0.0);
        *mean_us += WAIT_WEIGHT * (wait_us as f64 - *mean_us);
    }

    /// Records the share of the concurrency limit that is in use when a request arrives.
    pub fn observe_occupancy(&mut self, occupancy: f64) {
        self.mean_occupancy += OCCUPANCY_WEIGHT * (occupancy - self.mean_occupancy);
    }

    /// Returns the pressure from 0 to 1: the integral term, plus a proportional term while the
    /// longest mean wait exceeds the set point.
    pub fn current(&mut self, now_us: u64) -> f64 {
        self.advance(now_us);
        let urgency = f64::from(self.settings.urgency_percent) / 100.0;
        (self.integral + urgency * self.relative_error().max(0.0)).min(PRESSURE_MAX)
    }

    /// Returns how far the longest mean wait is from the set point, as a multiple of it.
    fn relative_error(&self) -> f64 {
        let set_point_us = self.set_point_us();
        let longest_us = self.longest_mean_wait_us();
        ((longest_us - set_point_us) / set_point_us).clamp(-1.0, ERROR_MAX)
    }

    fn set_point_us(&self) -> f64 {
        f64::from(self.settings.wait_aim_ms) * 1_000.0
    }

    fn longest_mean_wait_us(&self) -> f64 {
        let mut longest_us = 0.0_f64;
        for wait_us in self.mean_waits_us.values() {
            longest_us = longest_us.max(*wait_us);
        }
        longest_us
    }

    /// Returns the change of the integral term per second.
    fn change_per_s(&self) -> f64 {
        let is_waiting = self.longest_mean_wait_us() >= IDLE_WAIT_SHARE * self.set_point_us();
        if !is_waiting && self.mean_occupancy < IDLE_OCCUPANCY {
            return -f64::from(self.settings.idle_fall_percent) / 100.0;
        }
        self.relative_error() * f64::from(self.settings.gain_percent) / 100.0
    }

    /// Advances to the current time in short steps, because the mean waits decay meanwhile.
    fn advance(&mut self, now_us: u64) {
        let oldest_us = now_us.saturating_sub(CATCH_UP_MAX_US);
        self.updated_us = self.updated_us.max(oldest_us);
        while self.updated_us < now_us {
            let step_us = (now_us - self.updated_us).min(STEP_MAX_US);
            self.updated_us += step_us;
            self.step(step_us as f64);
        }
    }

    fn step(&mut self, step_us: f64) {
        let change = self.change_per_s() * step_us / 1_000_000.0;
        self.integral = (self.integral + change).clamp(0.0, PRESSURE_MAX);
        let decay = 0.5_f64.powf(step_us / WAIT_HALF_LIFE_US);
        self.mean_waits_us.retain(|_, wait_us| {
            *wait_us *= decay;
            *wait_us >= MEAN_WAIT_MIN_US
        });
    }
}
