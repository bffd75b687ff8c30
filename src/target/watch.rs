//! What a daemon believes of the target beside it, from reports that may be late or old.

use crate::ids::{InstanceId, ServiceName};

/// The starts of targets that are remembered as gone.
const GONE_MAX: usize = 32;

/// What a target says of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetReport {
    /// The identifier of this start.
    pub instance: InstanceId,
    /// The time of the start on the target's clock, where it is told.
    pub started_at_ms: Option<u64>,
    /// Grows with each report of a start.
    pub sequence: u64,
    /// The service that it serves.
    pub service: ServiceName,
    /// The requests that it works on at once.
    pub slots: u32,
    /// Whether it takes no new work.
    pub is_leaving: bool,
}

/// What a report changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportOutcome {
    /// It is older than what is known.
    Stale,
    /// It says what is known already.
    Unchanged,
    /// It says something new.
    Changed,
}

/// The latest start of a target that was heard of.
struct Present {
    report: TargetReport,
    heard_us: u64,
}

/// Tells new reports from old ones and remembers which starts have left.
#[derive(Default)]
pub struct TargetWatch {
    present: Option<Present>,
    gone: Vec<(InstanceId, Option<u64>)>,
}

impl TargetWatch {
    /// Takes in a report.
    pub fn record_report(&mut self, now_us: u64, mut report: TargetReport) -> ReportOutcome {
        if self.is_gone(&report.instance, report.started_at_ms) {
            return ReportOutcome::Stale;
        }
        let Some(present) = &mut self.present else {
            self.present = Some(Present {
                report,
                heard_us: now_us,
            });
            return ReportOutcome::Changed;
        };
        let known = &present.report;
        let is_same_start =
            known.instance == report.instance && known.started_at_ms == report.started_at_ms;
        if is_same_start {
            if report.sequence <= known.sequence {
                return ReportOutcome::Stale;
            }
            report.is_leaving |= known.is_leaving;
        } else if is_older(report.started_at_ms, known.started_at_ms) {
            return ReportOutcome::Stale;
        }
        let is_known = is_same_start
            && known.is_leaving == report.is_leaving
            && known.slots == report.slots
            && known.service == report.service;
        present.report = report;
        present.heard_us = now_us;
        if is_known {
            ReportOutcome::Unchanged
        } else {
            ReportOutcome::Changed
        }
    }

    /// Takes in that a start of the target leaves for good; says whether it was the present one.
    pub fn record_leaving(&mut self, instance: &InstanceId, started_at_ms: Option<u64>) -> bool {
        let present = self
            .present
            .as_mut()
            .filter(|present| present.report.instance == *instance);
        let started_at_ms = match &present {
            Some(present) if started_at_ms.is_none() => present.report.started_at_ms,
            _ => started_at_ms,
        };
        if self.gone.len() >= GONE_MAX {
            self.gone.remove(0);
        }
        self.gone.push((instance.clone(), started_at_ms));
        match present {
            Some(present) if !is_older(started_at_ms, present.report.started_at_ms) => {
                present.report.is_leaving = true;
                true
            }
            _ => false,
        }
    }

    /// Returns the latest report of the present start.
    pub fn report(&self) -> Option<&TargetReport> {
        self.present.as_ref().map(|present| &present.report)
    }

    /// Forgets a start that was not heard of for a while; says whether it did.
    pub fn remove_if_silent(&mut self, now_us: u64, silence_us: u64) -> bool {
        let is_silent = self
            .present
            .as_ref()
            .is_some_and(|present| now_us.saturating_sub(present.heard_us) > silence_us);
        if is_silent {
            self.present = None;
        }
        is_silent
    }

    fn is_gone(&self, instance: &InstanceId, started_at_ms: Option<u64>) -> bool {
        for (gone, gone_started_at_ms) in &self.gone {
            if gone == instance
                && (started_at_ms == *gone_started_at_ms
                    || is_older(started_at_ms, *gone_started_at_ms))
            {
                return true;
            }
        }
        false
    }
}

/// Says whether one start is known to be before another.
fn is_older(one_ms: Option<u64>, other_ms: Option<u64>) -> bool {
    match (one_ms, other_ms) {
        (Some(one_ms), Some(other_ms)) => one_ms < other_ms,
        _ => false,
    }
}
