//! Detects that a target takes another time than before for the same work at the same concurrency.

use super::efficiency::Sample;

/// The numbers of calls after which the times are compared; after the last one the count starts
/// anew.
const COMPARED_CALLS: [u32; 4] = [64, 128, 256, 512];
/// The minimum change of the time per good answer, as a ratio.
const CHANGE_MIN: f64 = 1.15;
/// The minimum change as a multiple of its standard error.
const STANDARD_ERRORS_MIN: f64 = 4.0;
/// The number of calls on which the earlier mean times are assumed to be based, for the standard
/// error.
const CALLS_BEFORE: f64 = 512.0;

/// The variance of the ratios that is assumed until it was measured.
const VARIANCE_INITIAL: f64 = 0.25;

/// The calls since the last comparison, each by the ratio of its time to the time before.
pub(super) struct SpeedChange {
    /// The variance of the ratios in the last complete comparison without a change.
    variance: f64,
    calls: u32,
    good: f64,
    ratio_sum: f64,
    ratio_square_sum: f64,
}

impl Default for SpeedChange {
    fn default() -> Self {
        Self {
            variance: VARIANCE_INITIAL,
            calls: 0,
            good: 0.0,
            ratio_sum: 0.0,
            ratio_square_sum: 0.0,
        }
    }
}

impl SpeedChange {
    /// Returns the variance of the times of equal work at equal concurrency, over their squared
    /// mean.
    pub(super) fn variance(&self) -> f64 {
        self.variance
    }

    /// Records a call with the earlier mean time per good answer of such calls; returns whether the
    /// speed changed. The count then starts anew.
    pub(super) fn record(&mut self, sample: Sample, time_before_us: Option<f64>) -> bool {
        let Some(time_before_us) = time_before_us else {
            return false;
        };
        let ratio = sample.elapsed_us as f64 / time_before_us.max(1.0);
        self.calls += 1;
        self.good += f64::from(u8::from(sample.is_good));
        self.ratio_sum += ratio;
        self.ratio_square_sum += ratio * ratio;
        if !COMPARED_CALLS.contains(&self.calls) {
            return false;
        }
        let is_changed = self.is_changed();
        let is_complete = COMPARED_CALLS.last() == Some(&self.calls);
        if is_complete && !is_changed {
            self.variance = self.ratio_variance();
        }
        if is_complete || is_changed {
            *self = Self {
                variance: self.variance,
                ..Self::default()
            };
        }
        is_changed
    }

    fn ratio_variance(&self) -> f64 {
        let mean = self.ratio_sum / f64::from(self.calls);
        (self.ratio_square_sum / f64::from(self.calls) - mean * mean).max(0.0)
    }

    fn is_changed(&self) -> bool {
        let calls = f64::from(self.calls);
        let variance = self.ratio_variance();
        let standard_error = (variance / calls + variance / CALLS_BEFORE).sqrt();
        let time_per_good = self.ratio_sum / self.good.max(1.0);
        let is_large = !(1.0 / CHANGE_MIN..=CHANGE_MIN).contains(&time_per_good);
        is_large && (time_per_good - 1.0).abs() > STANDARD_ERRORS_MIN * standard_error
    }
}
