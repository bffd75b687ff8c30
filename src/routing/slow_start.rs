//! The share of its limit that a new target is given.

/// The share of a target that has just appeared.
const FIRST_SHARE: f64 = 0.1;

/// Returns the share, from a tenth at first to the whole after the slow start.
pub(super) fn share(age_us: u64, slow_start_ms: u32) -> f64 {
    let slow_start_us = u64::from(slow_start_ms) * 1_000;
    if age_us >= slow_start_us {
        return 1.0;
    }
    let progress = age_us as f64 / slow_start_us as f64;
    FIRST_SHARE + (1.0 - FIRST_SHARE) * progress
}
