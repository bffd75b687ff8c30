//! The report on a load: totals, breakdowns, the recovery time and per-second values.

use macro_rules_attribute::apply;

use super::recovery::{Recovery, due_within};
use super::sample::Sample;
use super::scenario::Scenario;
use super::tally::{Percentiles, Tally};
use super::{plot, text};
use crate::derives::message;
use crate::ids::Priority;
use crate::sorted::SortedMap;

/// The length of one entry of [`Report::seconds`].
const SECOND_MS: u64 = 1_000;

/// The report on a load.
#[apply(message!)]
pub struct Report {
    /// The scenario's name.
    pub scenario: String,
    /// The scenario's seed.
    pub seed: u64,
    /// The total duration of all phases.
    pub duration_ms: u64,
    /// The totals over all requests.
    pub total: Tally,
    /// The requests of each priority, highest first.
    pub priorities: Vec<PriorityReport>,
    /// The requests of each kind, in the order of the scenario.
    pub kinds: Vec<KindReport>,
    /// The requests of each phase.
    pub phases: Vec<PhaseReport>,
    /// The number of requests for each verdict and reason.
    pub verdicts: Vec<VerdictCount>,
    /// The recovery of all requests and of each priority; empty if no phase is marked as pressure.
    pub recovery: Vec<Recovery>,
    /// The requests that were due in each second; the last entry may cover less than a second.
    pub seconds: Vec<SecondReport>,
    /// How long after their due times the load generator started the requests, before they waited
    /// for a connection permit.
    #[serde(rename = "start_late")]
    pub start_delay: Percentiles,
}

/// The requests of one priority.
#[apply(message!)]
pub struct PriorityReport {
    /// The priority.
    pub priority: Priority,
    /// Its requests.
    pub tally: Tally,
}

/// The requests of one kind.
#[apply(message!)]
pub struct KindReport {
    /// The kind's name.
    pub name: String,
    /// Its requests.
    pub tally: Tally,
}

/// The requests that were due in one phase.
#[apply(message!)]
pub struct PhaseReport {
    /// The phase's name.
    pub name: String,
    /// Its start, relative to the start of the load.
    pub start_ms: u64,
    /// Its end, relative to the start of the load.
    pub end_ms: u64,
    /// Whether the scenario marks this phase as pressure.
    pub is_pressure: bool,
    /// All its requests.
    pub tally: Tally,
    /// Its requests of each priority, highest first.
    pub priorities: Vec<PriorityReport>,
}

/// The number of requests with one verdict and reason.
#[apply(message!)]
pub struct VerdictCount {
    /// The name of the verdict.
    pub verdict: String,
    /// The code of the reason.
    pub reason: String,
    /// The number of requests.
    pub count: u64,
}

/// The requests that were due in one second.
#[apply(message!)]
pub struct SecondReport {
    /// The start of the second, relative to the start of the load.
    pub start_ms: u64,
    /// All its requests.
    pub tally: Tally,
    /// The number of good answers of each priority, in the order of [`Report::priorities`].
    pub good_by_priority: Vec<u64>,
}

impl Report {
    /// Creates the report on samples that are sorted by due time.
    pub fn new(scenario: &Scenario, samples: &[Sample]) -> Self {
        let duration_ms = scenario.duration_ms();
        let mut report = Self {
            scenario: scenario.name.clone(),
            seed: scenario.seed,
            duration_ms,
            total: Tally::from_samples(samples.iter(), duration_ms),
            priorities: reports_by_priority(scenario, samples, duration_ms),
            kinds: reports_by_kind(scenario, samples, duration_ms),
            phases: reports_by_phase(scenario, samples),
            verdicts: count_verdicts(samples),
            recovery: Vec::new(),
            seconds: Vec::new(),
            start_delay: Percentiles::from_latencies(
                samples.iter().map(|sample| sample.start_delay_us),
            ),
        };
        report.seconds = reports_by_second(scenario, samples, &report.priorities);
        report
            .recovery
            .extend(Recovery::measure(scenario, samples, None));
        for priority_report in &report.priorities {
            let priority = Some(priority_report.priority);
            let recovery = Recovery::measure(scenario, samples, priority);
            report.recovery.extend(recovery);
        }
        report
    }

    /// Formats the report as human-readable text.
    pub fn to_text(&self) -> String {
        text::format_report(self)
    }

    /// Serializes the report as JSON.
    pub fn to_json(&self) -> String {
        serde_json::to_string_pretty(self).unwrap_or_default()
    }

    /// Plots goodput and latency over time as SVG.
    pub fn to_svg(&self) -> String {
        plot::render_svg(self)
    }
}

fn reports_by_priority(
    scenario: &Scenario,
    samples: &[Sample],
    duration_ms: u64,
) -> Vec<PriorityReport> {
    let mut reports = Vec::new();
    for priority in Priority::ALL.into_iter().rev() {
        if scenario.kinds.iter().all(|kind| kind.priority != priority) {
            continue;
        }
        let selected = samples
            .iter()
            .filter(|sample| scenario.kinds[sample.kind_index].priority == priority);
        reports.push(PriorityReport {
            priority,
            tally: Tally::from_samples(selected, duration_ms),
        });
    }
    reports
}

fn reports_by_kind(scenario: &Scenario, samples: &[Sample], duration_ms: u64) -> Vec<KindReport> {
    let mut reports = Vec::new();
    for (index, kind) in scenario.kinds.iter().enumerate() {
        let selected = samples.iter().filter(|sample| sample.kind_index == index);
        reports.push(KindReport {
            name: kind.name.clone(),
            tally: Tally::from_samples(selected, duration_ms),
        });
    }
    reports
}

fn reports_by_phase(scenario: &Scenario, samples: &[Sample]) -> Vec<PhaseReport> {
    let mut reports = Vec::new();
    let mut start_ms = 0;
    for phase in &scenario.phases {
        let end_ms = start_ms + phase.duration_ms;
        let selected = due_within(samples, start_ms, end_ms);
        reports.push(PhaseReport {
            name: phase.name.clone(),
            start_ms,
            end_ms,
            is_pressure: phase.is_pressure,
            tally: Tally::from_samples(selected.iter(), phase.duration_ms),
            priorities: reports_by_priority(scenario, selected, phase.duration_ms),
        });
        start_ms = end_ms;
    }
    reports
}

fn count_verdicts(samples: &[Sample]) -> Vec<VerdictCount> {
    let mut counts = SortedMap::default();
    for sample in samples {
        *counts.get_or_insert_with(sample.outcome, || 0) += 1;
    }
    let mut verdicts = Vec::new();
    for (outcome, count) in counts.iter() {
        verdicts.push(VerdictCount {
            verdict: outcome.verdict().to_string(),
            reason: outcome.reason().to_string(),
            count: *count,
        });
    }
    verdicts
}

fn reports_by_second(
    scenario: &Scenario,
    samples: &[Sample],
    priorities: &[PriorityReport],
) -> Vec<SecondReport> {
    let mut seconds = Vec::new();
    let mut start_ms = 0;
    while start_ms < scenario.duration_ms() {
        let length_ms = SECOND_MS.min(scenario.duration_ms() - start_ms);
        let selected = due_within(samples, start_ms, start_ms + length_ms);
        let mut good_by_priority = Vec::new();
        for priority_report in priorities {
            let mut good = 0;
            for sample in selected {
                let is_of_priority =
                    scenario.kinds[sample.kind_index].priority == priority_report.priority;
                good += u64::from(is_of_priority && sample.outcome == super::SampleOutcome::Good);
            }
            good_by_priority.push(good);
        }
        seconds.push(SecondReport {
            start_ms,
            tally: Tally::from_samples(selected.iter(), length_ms),
            good_by_priority,
        });
        start_ms += length_ms;
    }
    seconds
}
