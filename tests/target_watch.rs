//! Tests that the tracked state of a target stays correct when reports are late, outdated or from
//! another process.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;

use dragonflylug::target::{ReportOutcome, TargetReport, TargetWatch};

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
    later_report_does_not_revoke_leaving => (vec![report("a", 1, 1, true), report("a", 1, 2, false)], ReportOutcome::Unchanged),
    newer_process_replaces_the_current_one => (vec![report("a", 1, 9, false), report("b", 2, 1, false)], ReportOutcome::Changed),
    older_process_is_stale => (vec![report("b", 2, 1, false), report("a", 1, 9, false)], ReportOutcome::Stale),
    newer_process_with_the_same_identifier_replaces_the_current_one => (vec![report("a", 1, 9, false), report("a", 2, 1, false)], ReportOutcome::Changed),
}

#[test]
fn a_process_that_left_is_never_accepted_again() {
    let mut watch = TargetWatch::default();
    watch.record_report(0, report("a", 1, 1, false));
    assert!(watch.record_leaving(&"a".into(), None));
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
    assert!(!watch.record_leaving(&"a".into(), Some(1)));
    assert!(!watch.report().unwrap().is_leaving);
}

#[test]
fn a_target_that_stops_reporting_is_removed() {
    let mut watch = TargetWatch::default();
    watch.record_report(0, report("a", 1, 1, false));
    assert!(!watch.remove_if_silent(4_000, 4_500));
    assert!(watch.remove_if_silent(4_501, 4_500));
    assert!(watch.report().is_none());
}
