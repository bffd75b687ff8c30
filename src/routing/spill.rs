//! The share of a service's requests that a daemon sends to other availability zones.

/// The time over which the share follows a difference between the zones, as a multiple of the time
/// after which a change shows in the reports. A shorter one lets the share oscillate.
const FOLLOW_FACTOR: f64 = 3.0;
/// The maximum time since the previous choice that counts in an update.
const STEP_MAX_US: u64 = 200_000;

/// The share of requests for other zones, which follows the difference in occupancy between the own
/// zone and the others.
#[derive(Clone, Copy, Default)]
pub(super) struct SpillShare {
    share: f64,
    updated_us: u64,
}

impl SpillShare {
    /// Returns the share, from 0 to 1.
    pub(super) fn share(&self) -> f64 {
        self.share
    }

    /// Records a choice for which the zones were not compared, so that the time until now does not
    /// count in the next update.
    pub(super) fn skip_update(&mut self, now_us: u64) {
        self.updated_us = now_us;
    }

    /// Raises or lowers the share by the occupancy of the own zone less that of the others.
    ///
    /// `feedback_delay_us` is the time after which a change of the share shows in the reports.
    pub(super) fn update(
        &mut self,
        now_us: u64,
        occupancy_difference: f64,
        feedback_delay_us: f64,
    ) {
        let step_us = now_us.saturating_sub(self.updated_us).min(STEP_MAX_US);
        self.updated_us = now_us;
        let change = occupancy_difference * step_us as f64 / (FOLLOW_FACTOR * feedback_delay_us);
        self.share = (self.share + change).clamp(0.0, 1.0);
    }
}
