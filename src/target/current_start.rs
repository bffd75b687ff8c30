//! The start of the target that is in use, and how a report relates to it.

use super::{ReportOutcome, TargetReport};

/// The current start of the target, with its latest report.
pub(super) struct CurrentStart {
    pub(super) report: TargetReport,
    pub(super) received_us: u64,
    /// Whether the start is certainly none that left before this daemon started.
    pub(super) is_confirmed: bool,
}

impl CurrentStart {
    pub(super) fn new(now_us: u64, report: TargetReport, is_confirmed: bool) -> Self {
        Self {
            report,
            received_us: now_us,
            is_confirmed,
        }
    }

    /// Returns whether the start is confirmed and not leaving.
    pub(super) fn is_ready(&self) -> bool {
        self.is_confirmed && !self.report.is_leaving
    }

    /// Returns whether the report may be announced; that the target is leaving always may.
    pub(super) fn is_usable(&self) -> bool {
        self.is_confirmed || self.report.is_leaving
    }

    /// Records another report of this start. One that cannot be ordered after the last report
    /// counts only if it says that the target is leaving.
    pub(super) fn update(
        &mut self,
        now_us: u64,
        mut report: TargetReport,
        is_confirmed: bool,
    ) -> ReportOutcome {
        let last = &self.report;
        let is_newer = match (last.started_at_ms, report.started_at_ms) {
            (Some(_), None) => false,
            (None, Some(_)) => true,
            _ => report.sequence > last.sequence,
        };
        if !is_newer {
            return self.set_leaving_if(report.is_leaving);
        }
        report.is_leaving |= last.is_leaving;
        let is_unchanged = last.started_at_ms == report.started_at_ms
            && last.is_leaving == report.is_leaving
            && last.slots == report.slots
            && last.service == report.service;
        let was_usable = self.is_usable();
        self.report = report;
        self.received_us = now_us;
        self.is_confirmed |= is_confirmed;
        match (was_usable, self.is_usable()) {
            (_, false) => ReportOutcome::Unconfirmed,
            (true, true) if is_unchanged => ReportOutcome::Unchanged,
            _ => ReportOutcome::Changed,
        }
    }

    fn set_leaving_if(&mut self, is_leaving: bool) -> ReportOutcome {
        if !is_leaving || self.report.is_leaving {
            return ReportOutcome::Stale;
        }
        self.report.is_leaving = true;
        ReportOutcome::Changed
    }
}

/// How the start that sent a report relates to the current start.
pub(super) enum Relation {
    Earlier,
    Same,
    Later,
}

/// Returns how the start that sent a report relates to the current one.
///
/// Of two instances whose start times are not both known, a report without a start time cannot
/// replace a start in use that has one: it may be late.
pub(super) fn relate(current: &TargetReport, report: &TargetReport) -> Relation {
    let is_same_instance = current.instance == report.instance;
    match (current.started_at_ms, report.started_at_ms) {
        (Some(current_ms), Some(report_ms)) if report_ms < current_ms => Relation::Earlier,
        (Some(current_ms), Some(report_ms)) if report_ms > current_ms => Relation::Later,
        (None, Some(_)) if is_same_instance && current.is_leaving => Relation::Later,
        _ if is_same_instance => Relation::Same,
        (Some(_), None) if !current.is_leaving => Relation::Earlier,
        _ => Relation::Later,
    }
}
