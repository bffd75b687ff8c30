//! Tests that the tracked state of a target stays correct when reports are late, outdated or from
//! another process.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;

use dragonflylug::target::{Departure, ReportOutcome, TargetReport, TargetWatch};

/// Creates a report of a process of the target, with its start time and sequence number.
fn report(instance: &str, started_at_ms: u64, sequence: u64, is_leaving: bool) -> TargetReport {
    TargetReport {
        instance: instance.into(),
        started_at_ms: Some(started_at_ms),
        sequence,
        service: "bookings".into(),
        slots: 17,
        is_leaving,
    }
}

fn check_last_outcome(case: (Vec<TargetReport>, ReportOutcome)) {
    let (reports, expected) = case;
    let mut watch = TargetWatch::default();
    let mut outcome = ReportOutcome::Stale;
    for report in reports {
        outcome = watch.record_report(0, report);
    }
    assert_eq!(outcome, expected);
}

cases! { check_last_outcome:
    first_report_changes_the_state => (vec![report("a", 1, 1, false)], ReportOutcome::Changed),
    report_with_equal_content_changes_nothing => (vec![report("a", 1, 1, false), report("a", 1, 2, false)], ReportOutcome::Unchanged),
    late_report_is_stale => (vec![report("a", 1, 2, false), report("a", 1, 1, false)], ReportOutcome::Stale),
    report_of_leaving_changes_the_state => (vec![report("a", 1, 1, false), report("a", 1, 2, true)], ReportOutcome::Changed),
    later_report_does_not_revoke_leaving => (vec![report("a", 1, 1, true), report("a", 1, 2, false)], ReportOutcome::Stale),
    newer_process_replaces_the_current_one => (vec![report("a", 1, 9, false), report("b", 2, 1, false)], ReportOutcome::Changed),
    older_process_is_stale => (vec![report("b", 2, 1, false), report("a", 1, 9, false)], ReportOutcome::Stale),
    newer_process_with_the_same_identifier_replaces_the_current_one => (vec![report("a", 1, 9, false), report("a", 2, 1, false)], ReportOutcome::Changed),
}

#[test]
fn a_process_that_left_is_never_accepted_again() {
    let mut watch = TargetWatch::default();
    watch.record_report(0, report("a", 1, 1, false));
    assert!(watch.record_departure(0, &"a".into(), None));
    assert!(watch.report().unwrap().is_leaving);
    assert_eq!(
        watch.record_report(0, report("a", 1, 5, false)),
        ReportOutcome::Stale
    );
    assert_eq!(
        watch.record_report(0, report("a", 2, 1, false)),
        ReportOutcome::Changed
    );
    assert!(!watch.report().unwrap().is_leaving);
}

#[test]
fn a_late_leave_notification_of_an_older_process_is_ignored() {
    let mut watch = TargetWatch::default();
    watch.record_report(0, report("a", 2, 1, false));
    assert!(!watch.record_departure(0, &"a".into(), Some(1)));
    assert!(!watch.report().unwrap().is_leaving);
}

/// A target that left may serve longer than it reports; the daemon must not forget that it left.
#[test]
fn a_leaving_target_that_stops_reporting_still_counts_as_leaving() {
    let mut watch = TargetWatch::default();
    watch.record_report(0, report("a", 1, 1, false));
    watch.record_departure(0, &"a".into(), None);
    assert!(!watch.remove_if_silent(SILENCE_US + 1, SILENCE_US));
    assert!(watch.report().unwrap().is_leaving);
}

#[test]
fn a_target_that_stops_reporting_is_removed() {
    let mut watch = TargetWatch::default();
    watch.record_report(0, report("a", 1, 1, false));
    assert!(!watch.remove_if_silent(4_000, 4_500));
    assert!(watch.remove_if_silent(4_501, 4_500));
    assert!(watch.report().is_none());
}

/// What a daemon records about the target beside it.
#[derive(Clone)]
enum Step {
    /// A report.
    Report(TargetReport),
    /// A departure of an instance, with its start time if it gives one.
    Departure(&'static str, Option<u64>),
    /// Time passes until a target without a new report counts as lost.
    Silence,
}

/// Longer than reports are late.
const LATE_REPORTS_US: u64 = 10_000_000;

/// How long a target may send no report.
const SILENCE_US: u64 = 4_500_000;

/// Records steps, then a report that is late, repeated or without a start time; fails if the target
/// counts as ready after it.
fn check_target_is_not_ready(case: (Vec<Step>, TargetReport)) {
    let (steps, last) = case;
    let mut watch = TargetWatch::default();
    let mut now_us = 0;
    for step in steps {
        match step {
            Step::Report(report) => {
                watch.record_report(now_us, report);
            }
            Step::Departure(instance, started_at_ms) => {
                watch.record_departure(now_us, &instance.into(), started_at_ms);
            }
            Step::Silence => {
                now_us += SILENCE_US + 1;
                watch.remove_if_silent(now_us, SILENCE_US);
            }
        }
    }
    watch.record_report(now_us, last);
    let is_ready = watch.report().is_some_and(|report| !report.is_leaving);
    assert!(!is_ready, "{:?}", watch.report());
}

/// Creates a report without a start time, as a probe gives it.
fn unversioned(instance: &str, sequence: u64) -> TargetReport {
    TargetReport {
        started_at_ms: None,
        ..report(instance, 0, sequence, false)
    }
}

cases! { check_target_is_not_ready:
    late_report_after_a_departure_without_start_time_at_a_daemon_without_reports => (
        vec![Step::Departure("a", None)],
        report("a", 1, 10, false),
    ),
    late_report_after_a_departure_without_start_time_and_silence => (
        vec![Step::Report(report("a", 1, 9, false)), Step::Silence, Step::Departure("a", None)],
        report("a", 1, 10, false),
    ),
    probe_after_a_departure_at_a_daemon_without_reports => (
        vec![Step::Departure("a", Some(1))],
        unversioned("a", 0),
    ),
    late_report_after_a_drain_and_silence => (
        vec![Step::Report(report("a", 1, 4, false)), Step::Report(report("a", 1, 6, true)), Step::Silence],
        report("a", 1, 5, false),
    ),
    later_report_after_a_drain => (vec![Step::Report(report("a", 1, 1, true))], report("a", 1, 2, false)),
    report_without_start_time_after_a_drain_with_one => (
        vec![Step::Report(unversioned("a", 0)), Step::Report(report("a", 1, 6, true))],
        unversioned("a", 7),
    ),
    probe_that_ends_after_a_drain => (
        vec![Step::Report(report("a", 1, 6, true))],
        unversioned("a", 0),
    ),
    late_report_after_a_drain_and_a_newer_start => (
        vec![Step::Report(report("a", 1, 6, true)), Step::Report(report("b", 2, 1, false)), Step::Departure("b", None)],
        report("a", 1, 5, false),
    ),
    drain_whose_report_is_overtaken_by_the_next_one => (
        vec![Step::Report(report("a", 1, 7, false)), Step::Report(report("a", 1, 6, true))],
        report("a", 1, 8, false),
    ),
    late_report_of_an_earlier_start_after_a_departure => (
        vec![Step::Departure("a", Some(5))],
        report("a", 4, 10, false),
    ),
}

/// A restart under the same identifier must not be mistaken for the start that left forever.
#[test]
fn a_start_that_begins_long_after_a_departure_of_an_unknown_start_is_accepted() {
    let mut watch = TargetWatch::default();
    watch.record_departure(0, &"a".into(), None);
    let outcome = watch.record_report(60_000_000, report("a", 2, 1, false));
    assert_eq!(outcome, ReportOutcome::Changed);
}
#[test]
fn a_report_without_start_time_does_not_replace_a_known_start() {
    let mut watch = TargetWatch::default();
    watch.record_report(0, report("a", 1, 6, false));
    let outcome = watch.record_report(0, unversioned("b", 9));
    assert_eq!(outcome, ReportOutcome::Stale);
    assert_eq!(watch.report().unwrap().instance, "a".into());
}

#[test]
fn a_report_with_a_start_time_completes_a_start_known_from_a_probe() {
    let mut watch = TargetWatch::default();
    watch.record_report(0, unversioned("a", 0));
    let outcome = watch.record_report(0, report("a", 1, 6, false));
    assert_eq!(outcome, ReportOutcome::Changed);
    assert_eq!(watch.report().unwrap().started_at_ms, Some(1));
}

/// A daemon that has just started may get a report that was sent before its start left, and that
/// its former process acknowledged.
#[test]
fn a_report_alone_does_not_make_the_target_ready_when_the_daemon_has_just_started() {
    let mut watch = TargetWatch::starting_at(0);
    for sequence in [9, 10] {
        let outcome = watch.record_report(0, report("a", 1, sequence, false));
        assert_eq!(outcome, ReportOutcome::Unconfirmed);
    }
    assert_eq!(watch.confirmed_report(), None);
    let stored = Departure {
        instance: "a".into(),
        started_at_ms: Some(1),
    };
    assert!(watch.record_stored_departures(0, &[stored]));
    assert!(watch.confirmed_report().unwrap().is_leaving);
    watch.record_probe(0, unversioned("a", 0));
    assert!(watch.confirmed_report().unwrap().is_leaving);
}

#[test]
fn a_probe_confirms_a_report_of_its_instance() {
    let mut watch = TargetWatch::starting_at(0);
    watch.record_report(0, report("a", 1, 1, false));
    let outcome = watch.record_probe(0, unversioned("a", 0));
    assert_eq!(outcome, ReportOutcome::Changed);
    assert!(!watch.confirmed_report().unwrap().is_leaving);
}

/// The late report of a start that has ended must not keep its successor out of use.
#[test]
fn a_probe_takes_the_place_of_an_unconfirmed_report_of_another_instance() {
    let mut watch = TargetWatch::starting_at(0);
    watch.record_report(0, report("ended", 1, 9, false));
    let outcome = watch.record_probe(0, unversioned("a", 0));
    assert_eq!(outcome, ReportOutcome::Changed);
    assert_eq!(watch.confirmed_report().unwrap().instance, "a".into());
}

/// A drain that gives the start time tells which start a departure without one was of.
#[test]
fn a_drain_that_follows_a_departure_of_an_unknown_start_is_not_forgotten_with_it() {
    let mut watch = TargetWatch::default();
    watch.record_departure(0, &"a".into(), None);
    watch.record_report(0, report("a", 1, 6, true));
    let outcome = watch.record_report(60_000_000, report("a", 1, 5, false));
    assert_eq!(outcome, ReportOutcome::Stale);
}

/// A target whose probes fail, though it is well, must be used in the end.
#[test]
fn a_report_counts_without_a_probe_once_late_reports_are_over() {
    let mut watch = TargetWatch::starting_at(0);
    watch.record_report(0, report("a", 1, 1, false));
    let outcome = watch.record_report(LATE_REPORTS_US, report("a", 1, 2, false));
    assert_eq!(outcome, ReportOutcome::Changed);
    let outcome = watch.record_report(LATE_REPORTS_US, report("b", 2, 1, false));
    assert_eq!(outcome, ReportOutcome::Changed);
}

#[test]
fn a_departure_counts_at_once_when_the_daemon_has_just_started() {
    let mut watch = TargetWatch::starting_at(0);
    let outcome = watch.record_report(0, report("a", 1, 1, true));
    assert_eq!(outcome, ReportOutcome::Changed);
    assert!(watch.confirmed_report().unwrap().is_leaving);
}

/// The number of instances that leave at one daemon in a row.
const DEPARTURES: u32 = 100;

#[test]
fn many_departures_do_not_push_out_an_earlier_one() {
    let mut watch = TargetWatch::default();
    watch.record_departure(0, &"a".into(), Some(1));
    for number in 0..DEPARTURES {
        let instance = format!("other-{number}");
        watch.record_departure(0, &instance.as_str().into(), Some(1));
    }
    let outcome = watch.record_report(0, report("a", 1, 10, false));
    assert_eq!(outcome, ReportOutcome::Stale);
}
