//! The time from the end of pressure until goodput and tail latency are back.

use macro_rules_attribute::apply;

use super::sample::Sample;
use super::scenario::Scenario;
use super::tally::Tally;
use crate::derives::message;
use crate::ids::Priority;

/// The length of the window that is held against the baseline.
const WINDOW_MS: u64 = 500;

/// The distance between the starts of two windows.
const STEP_MS: u64 = 100;

/// The windows in a row that must be back.
const WINDOWS_IN_A_ROW: u64 = 5;

/// The share of the baseline's goodput that counts as back.
const GOODPUT_SHARE: f64 = 0.95;

/// The factor on the baseline's 99th percentile that counts as back.
const LATENCY_FACTOR: f64 = 1.5;

/// How long it took until goodput and tail latency were back.
#[apply(message!)]
pub struct Recovery {
    /// The priority; all where there is none.
    pub priority: Option<Priority>,
    /// The share of good answers in the baseline phase.
    pub baseline_good_share: f64,
    /// The 99th percentile in the baseline phase.
    pub baseline_p99_us: u64,
    /// The time until goodput was back; `None` where it was not within the load.
    pub goodput_ms: Option<u64>,
    /// The time until the 99th percentile was back.
    pub latency_ms: Option<u64>,
    /// The time until both were back.
    pub both_ms: Option<u64>,
}

/// What is held against the baseline.
struct Baseline {
    good_share: f64,
    p99_us: u64,
}

impl Recovery {
    /// Measures the recovery after the last phase of pressure; `None` where there was none.
    pub(super) fn measure(
        scenario: &Scenario,
        samples: &[Sample],
        priority: Option<Priority>,
    ) -> Option<Self> {
        let pressure_end_ms = find_pressure_end_ms(scenario)?;
        let end_ms = scenario.duration_ms();
        let counts = |sample: &&Sample| match priority {
            None => true,
            Some(priority) => scenario.kinds[sample.kind].priority == priority,
        };
        let tally = |start_ms: u64, length_ms: u64| {
            let within = within(samples, start_ms, start_ms + length_ms);
            Tally::of(within.iter().filter(counts), length_ms)
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
            goodput_ms: first_back(&windows, |window| baseline.has_goodput(window)),
            latency_ms: first_back(&windows, |window| baseline.has_latency(window)),
            both_ms: first_back(&windows, |window| {
                baseline.has_goodput(window) && baseline.has_latency(window)
            }),
        })
    }
}

impl Baseline {
    fn has_goodput(&self, window: &Tally) -> bool {
        window.good_share() >= GOODPUT_SHARE * self.good_share
    }

    fn has_latency(&self, window: &Tally) -> bool {
        window.latency.p99_us as f64 <= LATENCY_FACTOR * self.p99_us as f64
    }
}

fn find_pressure_end_ms(scenario: &Scenario) -> Option<u64> {
    let mut end_ms = 0;
    let mut found = None;
    for phase in &scenario.phases {
        end_ms += phase.duration_ms;
        if phase.is_pressure {
            found = Some(end_ms);
        }
    }
    found
}

/// Returns the samples that were due in a time; they are in order of when they were due.
pub(super) fn within(samples: &[Sample], start_ms: u64, end_ms: u64) -> &[Sample] {
    let first = samples.partition_point(|sample| sample.due_us < start_ms * 1_000);
    let last = samples.partition_point(|sample| sample.due_us < end_ms * 1_000);
    &samples[first..last]
}

/// Returns the start of the first windows in a row that are all back.
fn first_back(windows: &[Tally], is_back: impl Fn(&Tally) -> bool) -> Option<u64> {
    let mut in_a_row = 0;
    for (at, window) in windows.iter().enumerate() {
        if !is_back(window) {
            in_a_row = 0;
            continue;
        }
        in_a_row += 1;
        if in_a_row == WINDOWS_IN_A_ROW {
            return Some((at as u64 + 1 - WINDOWS_IN_A_ROW) * STEP_MS);
        }
    }
    None
}
