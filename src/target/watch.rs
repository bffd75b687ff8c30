//! Tracks the state of the target beside a daemon from reports that may be late or out of order.
//!
//! A start is one execution of the target's process, identified by its instance identifier and its
//! start time. Two starts may have the same instance identifier.

use super::current_start::{CurrentStart, Relation, relate};
use super::{Departures, InstanceStarts};
use crate::ids::{InstanceId, ServiceName};

/// How long after the start of the daemon a report may still be one that was sent before its start
/// left, and that the daemon's former process was told of; reports may be late by seconds.
const LATE_REPORTS_US: u64 = 10_000_000;

/// The state that a target reports about itself to a daemon that is configured by a route table;
/// the daemon creates the [`Announcement`](super::Announcement) of the target from it.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetReport {
    /// The instance identifier of this start.
    pub instance: InstanceId,
    /// The time of the start on the target's clock, if reported.
    pub started_at_ms: Option<u64>,
    /// A sequence number that grows with each report of the same start.
    pub sequence: u64,
    /// The service that it serves.
    pub service: ServiceName,
    /// The number of requests that it processes concurrently.
    pub slots: u32,
    /// Whether it accepts no new work, as in [`Announcement::is_draining`](super::Announcement).
    pub is_leaving: bool,
}

/// How a report relates to the recorded state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportOutcome {
    /// The report is ignored: it is not newer than the recorded state, or its start announced that
    /// it is leaving.
    Stale,
    /// The report confirms the recorded state.
    Unchanged,
    /// The report changes the recorded state or comes from another start.
    Changed,
    /// The report is recorded, but the target does not count as ready yet: its start may have left
    /// before the daemon started.
    Unconfirmed,
}

impl ReportOutcome {
    /// Returns the name of the outcome in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Stale => "stale",
            Self::Unchanged => "unchanged",
            Self::Changed => "changed",
            Self::Unconfirmed => "unconfirmed",
        }
    }
}

/// What the starts that a former process stored mean for the current start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoredOutcome {
    /// Nothing.
    Unaffected,
    /// It is leaving.
    Leaving,
    /// It may be the start that left: it no longer counts, until that is known or the hold is over.
    Held,
}

/// Discards outdated reports and remembers which starts of the target announced that they are
/// leaving.
#[derive(Default)]
pub struct TargetWatch {
    current: Option<CurrentStart>,
    departures: Departures,
    /// Until when one report alone does not make the target ready.
    late_reports_until_us: u64,
}

impl TargetWatch {
    /// Creates the watch of a daemon that starts now. The daemon may have had a former process, and
    /// a report may have been sent before its start left and the former process was told of that.
    /// For some seconds, a start therefore becomes ready only once the target responds to a probe.
    pub fn starting_at(now_us: u64) -> Self {
        Self {
            late_reports_until_us: now_us + LATE_REPORTS_US,
            ..Self::default()
        }
    }

    /// Records a report.
    pub fn record_report(&mut self, now_us: u64, report: TargetReport) -> ReportOutcome {
        let (instance, started_at_ms) = (&report.instance, report.started_at_ms);
        let has_departed = self.departures.cover(now_us, instance, started_at_ms);
        if report.is_leaving {
            let started_at_ms = started_at_ms.or(self.current_start_of(instance));
            self.departures.record(now_us, instance, started_at_ms);
        }
        if has_departed {
            return ReportOutcome::Stale;
        }
        let is_confirmed = now_us >= self.late_reports_until_us;
        let relation = match &self.current {
            Some(current) => relate(&current.report, &report),
            None => Relation::Later,
        };
        let outcome = match (relation, &mut self.current) {
            (Relation::Earlier, _) => ReportOutcome::Stale,
            (Relation::Same, Some(current)) => current.update(now_us, report, is_confirmed),
            _ => self.set_current(CurrentStart::new(now_us, report, is_confirmed)),
        };
        self.remember_current(now_us);
        outcome
    }

    /// Remembers the current start if it is in use, so that a departure without a start time is known
    /// to be of this start, also by later processes.
    fn remember_current(&mut self, now_us: u64) {
        let Some(current) = self.current.as_ref().filter(|current| current.is_ready()) else {
            return;
        };
        if let Some(started_at_ms) = current.report.started_at_ms {
            let instance = &current.report.instance;
            self.departures
                .record_start(now_us, instance, started_at_ms);
        }
    }

    fn set_current(&mut self, current: CurrentStart) -> ReportOutcome {
        let outcome = match current.is_usable() {
            true => ReportOutcome::Changed,
            false => ReportOutcome::Unconfirmed,
        };
        self.current = Some(current);
        outcome
    }

    /// Records that the target responded to a probe, as a report without start time and sequence.
    /// The response is new: it confirms an unconfirmed start of its instance, and takes the place of
    /// one of another instance.
    pub fn record_probe(&mut self, now_us: u64, report: TargetReport) -> ReportOutcome {
        let instance = &report.instance;
        let outcome = match &mut self.current {
            Some(current) if current.is_ready() => ReportOutcome::Stale,
            Some(current) if !current.is_usable() && current.report.instance == *instance => {
                current.is_confirmed = true;
                ReportOutcome::Changed
            }
            _ if self.departures.cover(now_us, instance, None) => ReportOutcome::Stale,
            _ => self.set_current(CurrentStart::new(now_us, report, true)),
        };
        self.remember_current(now_us);
        outcome
    }

    /// Records that a start of the target announced that it is leaving, so that its later reports
    /// are ignored; returns whether this applies to the current start.
    ///
    /// Without a start time the departure is that of the current start, if the instance is the same,
    /// or else of the latest start of the instance that reported, also to a former process.
    pub fn record_departure(
        &mut self,
        now_us: u64,
        instance: &InstanceId,
        started_at_ms: Option<u64>,
    ) -> bool {
        let started_at_ms = started_at_ms.or(self.current_start_of(instance));
        self.departures.record(now_us, instance, started_at_ms);
        let current = self
            .current
            .as_mut()
            .filter(|current| current.report.instance == *instance);
        let Some(current) = current else {
            return false;
        };
        if is_older(started_at_ms, current.report.started_at_ms) {
            return false;
        }
        current.report.is_leaving = true;
        true
    }

    /// Records the starts that a former process of the daemon stored.
    pub fn record_stored(&mut self, now_us: u64, stored: &[InstanceStarts]) -> StoredOutcome {
        for starts in stored {
            self.departures.merge(now_us, starts);
        }
        let Some(current) = &mut self.current else {
            return StoredOutcome::Unaffected;
        };
        let (instance, started_at_ms) = (&current.report.instance, current.report.started_at_ms);
        let is_covered = self.departures.cover(now_us, instance, started_at_ms);
        if !is_covered || current.report.is_leaving {
            return StoredOutcome::Unaffected;
        }
        if self.departures.is_held(now_us, instance) {
            self.current = None;
            return StoredOutcome::Held;
        }
        current.report.is_leaving = true;
        StoredOutcome::Leaving
    }

    /// Returns whether an earlier start of the instance of the current start left.
    pub fn succeeds_departed_start(&self) -> bool {
        let instance = self.report().map(|report| &report.instance);
        instance.is_some_and(|instance| self.departures.cover(0, instance, None))
    }

    /// Ends the holds, because the process of the target was seen to have ended; returns whether there
    /// was one.
    pub fn end_holds(&mut self, now_us: u64) -> bool {
        self.departures.end_holds(now_us)
    }

    /// Returns whether the current start may have left before the daemon started.
    pub fn is_unconfirmed(&self) -> bool {
        let current = self.current.as_ref();
        current.is_some_and(|current| !current.is_usable())
    }

    /// Returns the starts that are known to leave.
    pub fn departures(&self) -> &Departures {
        &self.departures
    }

    /// Returns the latest report of the current start.
    pub fn report(&self) -> Option<&TargetReport> {
        self.current.as_ref().map(|current| &current.report)
    }

    /// Removes the current start if its latest report is older than `silence_us`; returns whether
    /// it was removed. A start that is leaving stays, as it may run on without reports.
    pub fn remove_if_silent(&mut self, now_us: u64, silence_us: u64) -> bool {
        let is_silent = self.current.as_ref().is_some_and(|current| {
            let silent_us = now_us.saturating_sub(current.received_us);
            !current.report.is_leaving && silent_us > silence_us
        });
        if is_silent {
            self.current = None;
        }
        is_silent
    }

    /// Returns the latest report of the current start, unless that start may have left before the
    /// daemon started.
    pub fn confirmed_report(&self) -> Option<&TargetReport> {
        let current = self.current.as_ref().filter(|current| current.is_usable());
        current.map(|current| &current.report)
    }

    /// Returns the start time of the current start if it is one of the instance and the time is
    /// known.
    fn current_start_of(&self, instance: &InstanceId) -> Option<u64> {
        let report = self.report().filter(|report| report.instance == *instance);
        report?.started_at_ms
    }
}

/// Returns whether both start times are reported and the first is earlier.
fn is_older(first_ms: Option<u64>, second_ms: Option<u64>) -> bool {
    match (first_ms, second_ms) {
        (Some(first_ms), Some(second_ms)) => first_ms < second_ms,
        _ => false,
    }
}
