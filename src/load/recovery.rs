//! Measures the time from the end of pressure until goodput and tail latency recover.

use macro_rules_attribute::apply;

use super::sample::Sample;
use super::scenario::Scenario;
use super::tally::Tally;
use crate::derives::message;
use crate::ids::Priority;

/// The length of a window that is compared with the baseline.
const WINDOW_MS: u64 = 500;

/// The interval between the starts of two successive windows.
const STEP_MS: u64 = 100;

/// The number of consecutive windows that must be close enough to the baseline to count as
/// recovered.
const CONSECUTIVE_WINDOWS: u64 = 5;

/// The minimum ratio of a window's share of good answers to that of the baseline.
const GOODPUT_RATIO_MIN: f64 = 0.95;

/// The maximum ratio of a window's 99th percentile of the latency to that of the baseline.
const LATENCY_RATIO_MAX: f64 = 1.5;

/// How long goodput and tail latency took to recover after the last phase marked as pressure.
///
/// The times are relative to the end of that phase. The latencies are those of good answers.
#[apply(message!)]
pub struct Recovery {
    /// The priority that was measured; `None` for all requests.
    pub priority: Option<Priority>,
    /// The share of requests with a good answer in the baseline phase.
    pub baseline_good_share: f64,
    /// The 99th percentile of the latency in the baseline phase.
    pub baseline_p99_us: u64,
    /// The time until goodput recovered; `None` if it did not before the load ended.
    pub goodput_ms: Option<u64>,
    /// The time until the 99th percentile of the latency recovered; `None` if it did not
    /// before the load ended.
    pub latency_ms: Option<u64>,
    /// The time until both had recovered in the same windows; `None` if they did not before the
    /// load ended.
    pub both_ms: Option<u64>,
}

/// The values of the baseline phase with which the windows are compared.
struct Baseline {
    good_share: f64,
    p99_us: u64,
}

impl Recovery {
    /// Measures the recovery after the last phase marked as pressure; `None` if there is no such
    /// phase.
    pub(super) fn measure(
        scenario: &Scenario,
        samples: &[Sample],
        priority: Option<Priority>,
    ) -> Option<Self> {
        let pressure_end_ms = last_pressure_end_ms(scenario)?;
        let end_ms = scenario.duration_ms();
        let is_included = |sample: &&Sample| match priority {
            None => true,
            Some(priority) => scenario.kinds[sample.kind_index].priority == priority,
        };
        let tally = |start_ms: u64, length_ms: u64| {
            let due = due_within(samples, start_ms, start_ms + length_ms);
            Tally::from_samples(due.iter().filter(is_included), length_ms)
        };
        let baseline = tally(0, scenario.phases[0].duration_ms);
        let baseline = Baseline {
            good_share: baseline.good_share(),
            p99_us: baseline.latency.p99_us,
        };
        let mut windows = Vec::new();
        let mut start_ms = pressure_end_ms;
        while start_ms + WINDOW_MS <= end_ms {
            windows.push(tally(start_ms, WINDOW_MS));
            start_ms += STEP_MS;
        }
        Some(Self {
            priority,
            baseline_good_share: baseline.good_share,
            baseline_p99_us: baseline.p99_us,
            goodput_ms: first_recovery_ms(&windows, |window| baseline.is_goodput_recovered(window)),
            latency_ms: first_recovery_ms(&windows, |window| baseline.is_latency_recovered(window)),
            both_ms: first_recovery_ms(&windows, |window| {
                baseline.is_goodput_recovered(window) && baseline.is_latency_recovered(window)
            }),
        })
    }
}

impl Baseline {
    /// Returns whether the share of good answers is close enough to the baseline, which it is if no
    /// request was due in the window.
    fn is_goodput_recovered(&self, window: &Tally) -> bool {
        window.good_share() >= GOODPUT_RATIO_MIN * self.good_share
    }

    /// Returns whether the latency of good answers is close enough to the baseline, which it is if
    /// the window has no good answer.
    fn is_latency_recovered(&self, window: &Tally) -> bool {
        window.latency.p99_us as f64 <= LATENCY_RATIO_MAX * self.p99_us as f64
    }
}

fn last_pressure_end_ms(scenario: &Scenario) -> Option<u64> {
    let mut end_ms = 0;
    let mut last_ms = None;
    for phase in &scenario.phases {
        end_ms += phase.duration_ms;
        if phase.is_pressure {
            last_ms = Some(end_ms);
        }
    }
    last_ms
}

/// Returns the samples that were due in a time range. The samples must be sorted by due time.
pub(super) fn due_within(samples: &[Sample], start_ms: u64, end_ms: u64) -> &[Sample] {
    let first = samples.partition_point(|sample| sample.due_us < start_ms * 1_000);
    let last = samples.partition_point(|sample| sample.due_us < end_ms * 1_000);
    &samples[first..last]
}

/// Returns the start of the first sequence of [`CONSECUTIVE_WINDOWS`] recovered windows, relative
/// to the end of pressure.
fn first_recovery_ms(windows: &[Tally], is_recovered: impl Fn(&Tally) -> bool) -> Option<u64> {
    let mut consecutive = 0;
    for (index, window) in windows.iter().enumerate() {
        if !is_recovered(window) {
            consecutive = 0;
            continue;
        }
        consecutive += 1;
        if consecutive == CONSECUTIVE_WINDOWS {
            return Some((index as u64 + 1 - CONSECUTIVE_WINDOWS) * STEP_MS);
        }
    }
    None
}
