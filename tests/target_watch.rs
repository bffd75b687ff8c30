//! What a daemon believes of its target, from reports that are late, old or of another start.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;

use dragonflylug::target::{ReportOutcome, TargetReport, TargetWatch};

/// A report of a start `a` or `b`, its time of birth and its number.
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

fn check_last(reports: (Vec<TargetReport>, ReportOutcome)) {
    let (reports, expected) = reports;
    let mut watch = TargetWatch::default();
    let mut heard = ReportOutcome::Stale;
    for report in reports {
        heard = watch.record_report(0, report);
    }
    assert_eq!(heard, expected);
}

cases! { check_last:
    first_report_is_news => (vec![report("a", 1, 1, false)], ReportOutcome::Changed),
    next_report_says_the_same => (vec![report("a", 1, 1, false), report("a", 1, 2, false)], ReportOutcome::Unchanged),
    late_report_is_stale => (vec![report("a", 1, 2, false), report("a", 1, 1, false)], ReportOutcome::Stale),
    leaving_is_news => (vec![report("a", 1, 1, false), report("a", 1, 2, true)], ReportOutcome::Changed),
    leaving_is_not_taken_back => (vec![report("a", 1, 1, true), report("a", 1, 2, false)], ReportOutcome::Unchanged),
    newer_start_is_news => (vec![report("a", 1, 9, false), report("b", 2, 1, false)], ReportOutcome::Changed),
    older_start_is_stale => (vec![report("b", 2, 1, false), report("a", 1, 9, false)], ReportOutcome::Stale),
    same_name_again_is_news => (vec![report("a", 1, 9, false), report("a", 2, 1, false)], ReportOutcome::Changed),
}

#[test]
fn a_start_that_left_is_never_taken_up_again() {
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
fn a_late_leave_of_an_older_start_changes_nothing() {
    let mut watch = TargetWatch::default();
    watch.record_report(0, report("a", 2, 1, false));
    assert!(!watch.record_leaving(&"a".into(), Some(1)));
    assert!(!watch.report().unwrap().is_leaving);
}

#[test]
fn a_silent_target_is_forgotten() {
    let mut watch = TargetWatch::default();
    watch.record_report(0, report("a", 1, 1, false));
    assert!(!watch.remove_if_silent(4_000, 4_500));
    assert!(watch.remove_if_silent(4_501, 4_500));
    assert!(watch.report().is_none());
}
