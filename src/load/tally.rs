//! Sums and percentiles over samples.

use hdrhistogram::Histogram;
use macro_rules_attribute::apply;

use super::sample::{Sample, SampleOutcome};
use crate::derives::message;

/// The greatest latency that is told apart.
const LATENCY_MAX_US: u64 = 600_000_000;

/// The significant digits of a histogram.
const DIGITS: u8 = 3;

/// Percentiles of a latency.
#[apply(message!)]
#[derive(Default)]
pub struct Percentiles {
    /// The median.
    pub p50_us: u64,
    /// Nine in ten are below.
    pub p90_us: u64,
    /// 99 in 100 are below.
    pub p99_us: u64,
    /// 999 in 1,000 are below.
    pub p999_us: u64,
    /// The greatest.
    pub max_us: u64,
}

/// Sums over samples.
#[apply(message!)]
#[derive(Default)]
pub struct Tally {
    /// The requests that were due.
    pub due: u64,
    /// Those with a whole answer in time.
    pub good: u64,
    /// Whole answers in time, for each second.
    pub goodput_per_s: f64,
    /// Those that ran without a good answer.
    #[serde(rename = "ran_in_vain")]
    pub wasted: u64,
    /// Those refused without having run.
    pub not_run: u64,
    /// Those of which it isn't known whether they ran.
    pub may_have_run: u64,
    /// The times that a request was sent again.
    #[serde(rename = "further_tries")]
    pub additional_attempts: u64,
    /// The latency of whole answers in time, from when they were due.
    pub latency: Percentiles,
    /// The latency of all other ends, from when they were due.
    pub other_latency: Percentiles,
}

impl Percentiles {
    fn of(histogram: &Histogram<u64>) -> Self {
        Self {
            p50_us: histogram.value_at_quantile(0.5),
            p90_us: histogram.value_at_quantile(0.9),
            p99_us: histogram.value_at_quantile(0.99),
            p999_us: histogram.value_at_quantile(0.999),
            max_us: histogram.max(),
        }
    }

    /// Returns the percentiles of some latencies.
    pub fn of_latencies(latencies_us: impl Iterator<Item = u64>) -> Self {
        let mut histogram = make_histogram();
        for latency_us in latencies_us {
            histogram.saturating_record(latency_us);
        }
        Self::of(&histogram)
    }
}

impl Tally {
    /// Sums up samples that were due within a time of this length.
    pub fn of<'a>(samples: impl Iterator<Item = &'a Sample>, duration_ms: u64) -> Self {
        let mut tally = Self::default();
        let mut latency = make_histogram();
        let mut other_latency = make_histogram();
        for sample in samples {
            tally.due += 1;
            tally.additional_attempts += u64::from(sample.attempts.saturating_sub(1));
            match sample.outcome {
                SampleOutcome::Good => tally.good += 1,
                SampleOutcome::Late | SampleOutcome::TargetError | SampleOutcome::WrongAnswer => {
                    tally.wasted += 1
                }
                SampleOutcome::NotRun(_) => tally.not_run += 1,
                SampleOutcome::MayHaveRun(_) => tally.may_have_run += 1,
            }
            if sample.outcome == SampleOutcome::Good {
                latency.saturating_record(sample.latency_us);
            } else {
                other_latency.saturating_record(sample.latency_us);
            }
        }
        tally.goodput_per_s = tally.good as f64 * 1_000.0 / duration_ms.max(1) as f64;
        tally.latency = Percentiles::of(&latency);
        tally.other_latency = Percentiles::of(&other_latency);
        tally
    }

    /// Returns the share of requests with a whole answer in time; 1 where none was due.
    pub fn good_share(&self) -> f64 {
        if self.due == 0 {
            return 1.0;
        }
        self.good as f64 / self.due as f64
    }
}

fn make_histogram() -> Histogram<u64> {
    Histogram::new_with_max(LATENCY_MAX_US, DIGITS)
        .expect("the digits are within the histogram's bounds")
}
