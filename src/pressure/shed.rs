//! The share of new requests that a pressure turns away, by importance.

use macro_rules_attribute::apply;

use super::LEVEL_MAX;
use crate::derives::value;
use crate::ids::Priority;

/// The greatest share of a route that is turned away, so that none is starved.
const SHARE_MAX: f64 = 0.95;

/// The pressure at which ordinary requests are turned away as far as they may be.
const ORDINARY_UNTIL: f64 = 0.85;

/// The pressures between which important requests are turned away more and more.
const HIGH_FROM: f64 = 0.5;
const HIGH_UNTIL: f64 = 0.9;

/// The pressure above which the most important requests are turned away too.
const CRITICAL_FROM: f64 = 0.75;

/// A request that has less of its time than this comes back after a wait.
const RETURNED_BELOW_PERCENT: u64 = 80;

/// A new request, as far as it decides on its admission.
#[apply(value!)]
pub struct ArrivingRequest {
    /// Its importance.
    pub priority: Priority,
    /// Whether it comes back after a refusal, not before the time that it was told.
    pub is_client_retry: bool,
}

/// Returns the share of such requests that is turned away at a level from 0 to 1.
///
/// A request that comes back as it was told goes first, as far as there is room: of those the
/// square of the share is turned away.
pub fn shed_share(level: f64, newcomer: ArrivingRequest) -> f64 {
    let (from, until) = match newcomer.priority {
        Priority::Critical => (CRITICAL_FROM, LEVEL_MAX),
        Priority::High => (HIGH_FROM, HIGH_UNTIL),
        Priority::Normal | Priority::Low | Priority::Background => (0.0, ORDINARY_UNTIL),
    };
    let share = ((level - from) / (until - from)).clamp(0.0, SHARE_MAX);
    match newcomer.is_client_retry {
        true => share * share,
        false => share,
    }
}

/// Says whether a request has less time left than a first try would have.
pub(super) fn is_client_retry(time_left_ms: u32, limit_ms: u32) -> bool {
    u64::from(time_left_ms) * 100 < u64::from(limit_ms) * RETURNED_BELOW_PERCENT
}
