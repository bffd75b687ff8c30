//! Tests that the tracked state of a target stays correct when reports are late, outdated or from
//! another process.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;

use dragonflylug::target::{
    InstanceStarts, ReportOutcome, StoredOutcome, TargetReport, TargetWatch,
};

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
    let stored = InstanceStarts::departed("a".into(), Some(1));
    assert_eq!(watch.record_stored(0, &[stored]), StoredOutcome::Leaving);
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

/// Returns the watch of a process that starts after another one, which stored all that it knew.
fn restart(watch: &TargetWatch, now_us: u64) -> TargetWatch {
    let stored = watch.departures().latest(now_us, 16);
    let mut next = TargetWatch::starting_at(now_us);
    next.record_stored(now_us, &stored);
    next
}

/// Returns whether a start becomes ready when it reports and answers a probe.
fn is_used(watch: &mut TargetWatch, now_us: u64, report: TargetReport) -> bool {
    let (instance, started_at_ms) = (report.instance.clone(), report.started_at_ms);
    watch.record_report(now_us, report);
    watch.record_probe(now_us, unversioned(instance.as_str(), 0));
    let current = watch.confirmed_report();
    current.is_some_and(|report| !report.is_leaving && report.started_at_ms == started_at_ms)
}

/// What the processes of a daemon learn, one after the other, before the start "a" of 1 left.
enum Life {
    /// A report that this start is ready, which the process stores.
    Ready,
    /// A report that it drains, which the process stores.
    Drains,
    /// The process ends, and the next one reads what it stored.
    Restarts,
    /// The notice that the instance leaves, without start time.
    Leaves,
}

fn live(steps: Vec<Life>) -> TargetWatch {
    let mut watch = TargetWatch::default();
    for step in steps {
        match step {
            Life::Ready => {
                watch.record_report(0, report("a", 1, 1, false));
            }
            Life::Drains => {
                watch.record_report(0, report("a", 1, 2, true));
            }
            Life::Restarts => watch = restart(&watch, 0),
            Life::Leaves => {
                watch.record_departure(0, &"a".into(), None);
            }
        }
    }
    watch
}

/// The times after a departure at which a report arrives, and between restarts of the daemon.
const LATE_US: [u64; 4] = [1_000_000, 29_000_000, 40_000_000, 3_600_000_000];

// Guards against a departure without start time that keeps the next start of the instance out of use, as
// long as the daemon restarts again and again, or that the left start outlives.
fn check_departed_start(steps: Vec<Life>) {
    let mut watch = live(steps);
    for now_us in LATE_US {
        watch = restart(&watch, now_us);
        assert!(
            !is_used(&mut watch, now_us, report("a", 1, 99, false)),
            "{now_us}"
        );
        assert!(
            is_used(&mut watch, now_us, report("a", 2, 1, false)),
            "{now_us}"
        );
        assert!(
            !is_used(&mut watch, now_us, report("a", 1, 99, false)),
            "{now_us}"
        );
        let mut without_row = TargetWatch::starting_at(now_us);
        without_row.record_report(now_us, report("a", 2, 2, false));
        without_row.record_probe(now_us, unversioned("a", 0));
        without_row.record_stored(now_us, &watch.departures().latest(now_us, 16));
        assert!(
            !without_row.confirmed_report().unwrap().is_leaving,
            "{now_us}"
        );
    }
}

cases! { check_departed_start:
    departure_of_a_start_that_drains_beside_a_restarted_daemon => vec![Life::Ready, Life::Drains, Life::Restarts, Life::Leaves],
    departure_of_a_start_that_drains_beside_a_daemon_that_restarts_twice => vec![Life::Ready, Life::Drains, Life::Restarts, Life::Restarts, Life::Leaves],
    departure_of_a_ready_start_beside_a_restarted_daemon => vec![Life::Ready, Life::Restarts, Life::Leaves],
    departure_of_a_ready_start_at_a_daemon_without_restart => vec![Life::Ready, Life::Leaves],
    departure_that_is_repeated_after_a_restart => vec![Life::Ready, Life::Leaves, Life::Restarts, Life::Leaves],
}

// Guards against a departure that arrives before the row is read and is not matched with it.
#[test]
fn a_departure_before_the_row_is_read_is_that_of_the_stored_start() {
    let former = live(vec![Life::Ready]);
    let mut watch = TargetWatch::starting_at(0);
    watch.record_departure(0, &"a".into(), None);
    assert!(!is_used(&mut watch, 0, report("a", 1, 9, false)));
    watch.record_stored(0, &former.departures().latest(0, 16));
    assert!(!is_used(&mut watch, 0, report("a", 1, 9, false)));
    assert!(is_used(&mut watch, 0, report("a", 2, 1, false)));
}

// Guards against a departure of the second start that is taken for that of the first, which left before.
#[test]
fn a_departure_after_a_restart_is_that_of_the_latest_start() {
    let mut watch = live(vec![Life::Ready, Life::Leaves]);
    watch.record_report(0, report("a", 2, 1, false));
    watch = restart(&watch, 0);
    watch.record_departure(0, &"a".into(), None);
    assert!(!is_used(&mut watch, 60_000_000, report("a", 2, 9, false)));
    assert!(is_used(&mut watch, 60_000_000, report("a", 3, 1, false)));
}

// Guards against a hold that begins anew each time that it is read back.
#[test]
fn a_hold_of_an_unknown_start_ends_though_the_daemon_restarts() {
    let mut watch = TargetWatch::default();
    watch.record_departure(0, &"a".into(), None);
    for now_us in [10_000_000, 20_000_000, 29_000_000] {
        watch = restart(&watch, now_us);
        assert!(!is_used(&mut watch, now_us, report("a", 1, 9, false)));
    }
    watch = restart(&watch, 30_000_000);
    assert!(is_used(&mut watch, 30_000_000, report("a", 2, 1, false)));
}

/// A start that left can't be reached once its process has ended.
#[test]
fn a_hold_of_an_unknown_start_ends_with_the_process_of_the_target() {
    let mut watch = TargetWatch::starting_at(0);
    watch.record_departure(0, &"a".into(), None);
    assert!(!is_used(&mut watch, 0, report("a", 1, 9, false)));
    assert!(watch.end_holds(1_000_000));
    assert!(is_used(&mut watch, 1_000_000, report("a", 2, 1, false)));
}

/// The hold may be that of the start that has reported before the row was read.
#[test]
fn a_stored_hold_stops_a_start_that_reported_before_the_row_was_read() {
    let mut former = TargetWatch::default();
    former.record_departure(0, &"a".into(), None);
    let mut watch = TargetWatch::starting_at(1_000_000);
    assert!(is_used(&mut watch, 1_000_000, report("a", 1, 9, false)));
    let stored = former.departures().latest(1_000_000, 16);
    assert_eq!(watch.record_stored(1_000_000, &stored), StoredOutcome::Held);
    assert!(!is_used(&mut watch, 2_000_000, report("a", 1, 10, false)));
    assert!(is_used(&mut watch, 31_000_000, report("a", 2, 1, false)));
}
