//! Counts and latency percentiles over samples.

use hdrhistogram::Histogram;
use macro_rules_attribute::apply;

use super::sample::{Sample, SampleOutcome};
use crate::derives::message;

/// The maximum latency that a histogram records; longer latencies count as this value.
const LATENCY_MAX_US: u64 = 600_000_000;

/// The number of significant decimal digits that a histogram keeps.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Latency percentiles.
#[apply(message!)]
#[derive(Default)]
pub struct Percentiles {
    /// The 50th percentile.
    pub p50_us: u64,
    /// The 90th percentile.
    pub p90_us: u64,
    /// The 99th percentile.
    pub p99_us: u64,
    /// The 99.9th percentile.
    pub p999_us: u64,
    /// The maximum.
    pub max_us: u64,
}

/// Counts and latencies over samples.
#[apply(message!)]
#[derive(Default)]
pub struct Tally {
    /// The requests that were due.
    pub due: u64,
    /// The requests with a good answer: complete, with a status below 500, within the deadline and,
    /// for an echo request, equal to the body that was sent.
    pub good: u64,
    /// The requests with a good answer, per second.
    pub goodput_per_s: f64,
    /// The requests that ran without a good answer: late, wrong or a server error.
    #[serde(rename = "ran_in_vain")]
    pub wasted: u64,
    /// The requests that did not run: they were refused, or the client did not send them.
    pub not_run: u64,
    /// The requests for which it is unknown whether they ran.
    pub may_have_run: u64,
    /// The attempts after the first one of each request.
    #[serde(rename = "further_tries")]
    pub additional_attempts: u64,
    /// The latency of the requests with a good answer, from the due time; zero if there are none.
    pub latency: Percentiles,
    /// The latency of all other requests, from the due time.
    pub other_latency: Percentiles,
}

impl Percentiles {
    fn from_histogram(histogram: &Histogram<u64>) -> Self {
        Self {
            p50_us: histogram.value_at_quantile(0.5),
            p90_us: histogram.value_at_quantile(0.9),
            p99_us: histogram.value_at_quantile(0.99),
            p999_us: histogram.value_at_quantile(0.999),
            max_us: histogram.max(),
        }
    }

    /// Computes the percentiles of latencies.
    pub fn from_latencies(latencies_us: impl Iterator<Item = u64>) -> Self {
        let mut histogram = new_histogram();
        for latency_us in latencies_us {
            histogram.saturating_record(latency_us);
        }
        Self::from_histogram(&histogram)
    }
}

impl Tally {
    /// Counts samples that were due within a time range of this duration.
    pub fn from_samples<'a>(samples: impl Iterator<Item = &'a Sample>, duration_ms: u64) -> Self {
        let mut tally = Self::default();
        let mut latency = new_histogram();
        let mut other_latency = new_histogram();
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
        tally.latency = Percentiles::from_histogram(&latency);
        tally.other_latency = Percentiles::from_histogram(&other_latency);
        tally
    }

    /// Returns the share of requests with a good answer; 1 if none was due.
    pub fn good_share(&self) -> f64 {
        if self.due == 0 {
            return 1.0;
        }
        self.good as f64 / self.due as f64
    }
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_max(LATENCY_MAX_US, SIGNIFICANT_DIGITS)
        .expect("the histogram accepts 1 to 5 significant digits")
}
