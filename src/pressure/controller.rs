//! The pressure of one target, from the waits in the queue before it.

use macro_rules_attribute::apply;

use super::LEVEL_MAX;
use crate::derives::settings;
use crate::ids::WorkKind;
use crate::sorted::SortedMap;

/// The weight of a new wait in the mean.
const WAIT_WEIGHT: f64 = 0.15;

/// A mean wait below this is forgotten.
const WAIT_LEAST_US: f64 = 100.0;

/// The time over which the mean halves without a new wait.
const WAIT_HALVING_US: f64 = 300_000.0;

/// The longest step in which the level is moved on.
const STEP_MAX_US: u64 = 50_000;

/// What came before this time no longer counts.
const MEMORY_US: u64 = 30_000_000;

/// The greatest error that the level follows, as a multiple of the wait that is aimed at.
const ERROR_MAX: f64 = 3.0;

/// Settings of the pressure of a target.
#[apply(settings!)]
pub struct PressureSettings {
    /// The mean wait in the queue that is aimed at.
    pub wait_aim_ms: u32,
    /// The rise of the level in a second, in percent, at twice that wait.
    pub gain_percent: u32,
    /// What is added to the level at twice that wait, in percent.
    pub urgency_percent: u32,
    /// The fall of the level in a second, in percent, while no work waits at all.
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

/// An integral controller: the level rises while waits are too long, and falls otherwise; it falls
/// faster while no work waits, as after the end of a surge.
pub struct PressureController {
    settings: PressureSettings,
    /// The mean wait of each kind of work; the longest counts, so that none is starved.
    waits_us: SortedMap<WorkKind, f64>,
    level: f64,
    updated_us: u64,
}

impl PressureController {
    /// Makes a level of 0.
    pub fn new(settings: PressureSettings) -> Self {
        Self {
            settings,
            waits_us: SortedMap::default(),
            level: 0.0,
            updated_us: 0,
        }
    }

    /// Takes in how long a request waited, or would have had to.
    pub fn observe_wait(&mut self, now_us: u64, kind: WorkKind, wait_us: u64) {
        self.advance(now_us);
        let mean_us = self.waits_us.get_or_insert_with(kind, || 0.0);
        *mean_us += WAIT_WEIGHT * (wait_us as f64 - *mean_us);
    }

    /// Returns the level, from 0 to 1: what held lately, and more while waits grow.
    pub fn current(&mut self, now_us: u64) -> f64 {
        self.advance(now_us);
        let urgency = f64::from(self.settings.urgency_percent) / 100.0;
        (self.level + urgency * self.error().max(0.0)).min(LEVEL_MAX)
    }

    /// Returns how far waits are from the aim, as a multiple of it.
    fn error(&self) -> f64 {
        let aim_us = f64::from(self.settings.wait_aim_ms) * 1_000.0;
        let mut longest_us = 0.0_f64;
        for wait_us in self.waits_us.values() {
            longest_us = longest_us.max(*wait_us);
        }
        ((longest_us - aim_us) / aim_us).clamp(-1.0, ERROR_MAX)
    }

    fn change_per_s(&self) -> f64 {
        if self.waits_us.is_empty() {
            return -f64::from(self.settings.idle_fall_percent) / 100.0;
        }
        self.error() * f64::from(self.settings.gain_percent) / 100.0
    }

    /// Moves on to the present in short steps, as the mean waits fade meanwhile.
    fn advance(&mut self, now_us: u64) {
        let oldest_us = now_us.saturating_sub(MEMORY_US);
        self.updated_us = self.updated_us.max(oldest_us);
        while self.updated_us < now_us {
            let step_us = (now_us - self.updated_us).min(STEP_MAX_US);
            self.updated_us += step_us;
            self.step(step_us as f64);
        }
    }

    fn step(&mut self, step_us: f64) {
        let change = self.change_per_s() * step_us / 1_000_000.0;
        self.level = (self.level + change).clamp(0.0, LEVEL_MAX);
        let kept = 0.5_f64.powf(step_us / WAIT_HALVING_US);
        self.waits_us.retain(|_, wait_us| {
            *wait_us *= kept;
            *wait_us >= WAIT_LEAST_US
        });
    }
}
