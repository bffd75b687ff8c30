//! Slow start: only a share of a new target's limit counts when its load is computed. The share
//! rises with time.

/// The share of the limit that counts when slow start begins.
const INITIAL_SHARE: f64 = 0.1;

/// Returns the share of the limit, which rises linearly from a tenth to the whole over the slow
/// start.
pub(super) fn share(age_us: u64, slow_start_ms: u32) -> f64 {
    let slow_start_us = u64::from(slow_start_ms) * 1_000;
    if age_us >= slow_start_us {
        return 1.0;
    }
    let progress = age_us as f64 / slow_start_us as f64;
    INITIAL_SHARE + (1.0 - INITIAL_SHARE) * progress
}
