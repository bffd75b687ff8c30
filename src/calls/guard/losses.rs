//! Measures the share of requests whose answers the target loses.
//!
//! A target that loses answers at once has few requests in flight and looks idle. Its guard sees the
//! requests of all daemons and notices that soon; each entry daemon alone sees few of them.

/// The weight of a new outcome in the exponentially weighted moving average.
const OUTCOME_WEIGHT: f64 = 0.05;

/// The moving average of the share of requests that were lost at the target.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LostShare {
    mean: f64,
}

impl LostShare {
    /// Records a request that ended at the target, with a complete answer or without.
    pub(super) fn record(&mut self, is_lost: bool) {
        let value = f64::from(u8::from(is_lost));
        self.mean += OUTCOME_WEIGHT * (value - self.mean);
    }

    /// Returns the share in thousandths.
    pub(super) fn permille(self) -> u16 {
        (self.mean * 1_000.0) as u16
    }
}
