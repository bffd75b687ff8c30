//! The clock of a node.

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// A monotonic clock.
pub trait Clock: Send + Sync {
    /// Returns the microseconds since the clock was created.
    fn now_us(&self) -> u64;
}

/// The monotonic clock of the VM, which also counts the time during which the VM was suspended.
pub struct MonotonicClock {
    start: Duration,
}

impl Default for MonotonicClock {
    fn default() -> Self {
        Self { start: boot_time() }
    }
}

impl Clock for MonotonicClock {
    fn now_us(&self) -> u64 {
        let elapsed = boot_time().saturating_sub(self.start);
        u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
    }
}

/// Returns the time since the VM booted, including the time during which it was suspended.
pub(super) fn boot_time() -> Duration {
    match clock_gettime(ClockId::CLOCK_BOOTTIME) {
        Ok(time) => Duration::from(time),
        Err(_) => Duration::ZERO,
    }
}
