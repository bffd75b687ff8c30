//! What a target says of itself in its answers, which may overtake each other, be repeated or carry
//! values that cannot be read.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;

use dragonflylug::target::{
    Announcement, AnswerSignals, ConditionTracker, RateLimitSignal, RateLimitState, RequestRate,
    TargetCondition, TargetStart,
};

fn rate(text: &str) -> RequestRate {
    RequestRate::parse(text).unwrap()
}

fn read(values: &[&str]) -> RateLimitSignal {
    RateLimitSignal::read(values.iter().map(|value| Some(*value)), true)
}

fn signals(rate_limit: RateLimitSignal) -> AnswerSignals {
    AnswerSignals {
        rate_limit,
        is_leaving: false,
    }
}

fn announcement(instance: &str, started_at_ms: Option<u64>) -> Announcement {
    Announcement {
        service: "s".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        slots: 4,
        connections: 4,
        is_draining: false,
        instance: Some(instance.into()),
        started_at_ms,
    }
}

/// Returns the tracker of a start that named a limit at 1,000 us.
fn limited_tracker() -> ConditionTracker {
    let mut tracker = ConditionTracker::default();
    tracker.record_announcement(0, &announcement("i-1", Some(7)));
    let limited = signals(RateLimitSignal::Limited(rate("8.4")));
    assert!(
        tracker
            .record_signals(1_000, 500, limited)
            .is_rate_limit_changed
    );
    tracker
}

fn is_limited(tracker: &ConditionTracker) -> bool {
    tracker.condition().rate_limit == RateLimitState::Limited(rate("8.4"))
}

/// Fails if the values of the header are not read as expected; no value means "no limit".
fn check_values((values, expected): (&[&str], RateLimitSignal)) {
    assert_eq!(read(values), expected);
    assert_ne!(read(values), RateLimitSignal::Unlimited);
}

cases! {
    check_values:
    empty_value_lifts_a_limit => (&[""], RateLimitSignal::Invalid),
    negative_value_lifts_a_limit => (&["-1"], RateLimitSignal::Invalid),
    negative_zero_lifts_a_limit => (&["-0"], RateLimitSignal::Invalid),
    not_a_number_lifts_a_limit => (&["nan"], RateLimitSignal::Invalid),
    infinity_lifts_a_limit => (&["inf"], RateLimitSignal::Invalid),
    number_beyond_all_floats_lifts_a_limit => (&["1e400"], RateLimitSignal::Invalid),
    thousand_digits_lift_a_limit => (&[&"9".repeat(1_000)], RateLimitSignal::Invalid),
    thousand_digits_after_the_point_lift_a_limit =>
        (&[&format!("8.4{}", "0".repeat(1_000))], RateLimitSignal::Limited(rate("8.4"))),
    zero_lifts_a_limit => (&["0"], RateLimitSignal::Limited(rate("0"))),
    second_header_lifts_a_limit => (&["900", "8.4"], RateLimitSignal::Limited(rate("8.4"))),
    second_header_that_cannot_be_read_lifts_a_limit =>
        (&["8.4", "x"], RateLimitSignal::Limited(rate("8.4"))),
}

#[test]
fn answer_without_the_header_lifts_no_limit_unless_it_is_conclusive() {
    let none = || std::iter::empty();
    assert_eq!(
        RateLimitSignal::read(none(), true),
        RateLimitSignal::Unlimited
    );
    assert_eq!(
        RateLimitSignal::read(none(), false),
        RateLimitSignal::Inconclusive
    );
}

#[test]
fn answer_that_was_overtaken_lifts_the_limit() {
    let mut tracker = limited_tracker();
    tracker.record_signals(2_000, 900, signals(RateLimitSignal::Unlimited));
    assert!(is_limited(&tracker));
    tracker.record_signals(3_000, 1_001, signals(RateLimitSignal::Unlimited));
    assert_eq!(tracker.condition().rate_limit, RateLimitState::Unlimited);
}

#[test]
fn value_that_cannot_be_read_lifts_the_limit() {
    let mut tracker = limited_tracker();
    tracker.record_signals(2_000, 1_500, signals(RateLimitSignal::Invalid));
    tracker.record_signals(2_000, 1_500, signals(RateLimitSignal::Inconclusive));
    assert!(is_limited(&tracker));
}

#[test]
fn limit_of_a_former_start_applies_to_the_next_one() {
    let mut tracker = limited_tracker();
    tracker.record_announcement(2_000, &announcement("i-1", Some(8)));
    assert_eq!(tracker.condition().rate_limit, RateLimitState::Unknown);
    let late = signals(RateLimitSignal::Limited(rate("8.4")));
    tracker.record_signals(2_500, 1_500, late);
    assert_eq!(tracker.condition().rate_limit, RateLimitState::Unknown);
}

#[test]
fn report_that_gives_the_start_time_later_lifts_the_limit() {
    let mut tracker = ConditionTracker::default();
    tracker.record_announcement(0, &announcement("i-1", None));
    let limited = signals(RateLimitSignal::Limited(rate("8.4")));
    tracker.record_signals(1_000, 500, limited);
    tracker.record_announcement(2_000, &announcement("i-1", Some(7)));
    assert!(is_limited(&tracker));
}

#[test]
fn answer_that_does_not_say_that_the_target_leaves_takes_it_back() {
    let mut tracker = limited_tracker();
    let leaving = AnswerSignals {
        is_leaving: true,
        ..AnswerSignals::default()
    };
    assert!(
        tracker
            .record_signals(2_000, 1_500, leaving)
            .has_begun_to_leave
    );
    tracker.record_signals(3_000, 2_500, signals(RateLimitSignal::Unlimited));
    assert!(tracker.condition().is_leaving);
}

#[test]
fn restart_under_the_same_identifier_is_taken_for_the_start_that_said_it_leaves() {
    let mut tracker = ConditionTracker::default();
    tracker.record_announcement(0, &announcement("i-1", None));
    let leaving = AnswerSignals {
        is_leaving: true,
        ..AnswerSignals::default()
    };
    tracker.record_signals(1_000, 500, leaving);
    let draining = Announcement {
        is_draining: true,
        ..announcement("i-1", Some(7))
    };
    tracker.record_announcement(2_000, &draining);
    assert!(tracker.condition().is_leaving);
    tracker.record_announcement(3_000, &announcement("i-1", Some(8)));
    assert!(!tracker.condition().is_leaving);
}

/// Returns the condition of a start that names a limit.
fn known(started_at_ms: Option<u64>, per_s: &str) -> TargetCondition {
    TargetCondition {
        start: TargetStart {
            instance: Some("i-1".into()),
            started_at_ms,
        },
        rate_limit: RateLimitState::Limited(rate(per_s)),
        is_leaving: false,
        revision: 1,
    }
}

/// Returns the tracker of a guard that restarted beside a target.
fn restarted_tracker() -> ConditionTracker {
    let mut tracker = ConditionTracker::default();
    tracker.record_announcement(0, &announcement("i-1", Some(7)));
    tracker
}

#[test]
fn restarted_guard_takes_the_higher_of_two_limits_that_entries_were_told() {
    let mut tracker = restarted_tracker();
    tracker.inherit(1_000, &known(Some(7), "20"));
    tracker.inherit(2_000, &known(Some(7), "8.4"));
    tracker.inherit(3_000, &known(Some(7), "20"));
    assert!(is_limited(&tracker));
}

#[test]
fn restarted_guard_is_limited_by_what_a_former_start_said() {
    let mut tracker = restarted_tracker();
    tracker.inherit(1_000, &known(Some(6), "8.4"));
    let leaving = TargetCondition {
        is_leaving: true,
        ..known(Some(6), "8.4")
    };
    tracker.inherit(1_000, &leaving);
    assert!(tracker.condition().is_ordinary());
}

#[test]
fn old_knowledge_of_an_entry_limits_a_target_whose_answers_name_no_limit() {
    let mut tracker = restarted_tracker();
    tracker.inherit(1_000, &known(Some(7), "8.4"));
    assert!(is_limited(&tracker));
    tracker.record_signals(3_000, 2_000, signals(RateLimitSignal::Unlimited));
    tracker.inherit(4_000, &known(Some(7), "8.4"));
    assert!(tracker.condition().is_ordinary());
}

#[test]
fn answer_to_a_request_from_before_the_inherited_limit_lifts_it() {
    let mut tracker = restarted_tracker();
    tracker.inherit(2_000, &known(Some(7), "8.4"));
    tracker.record_signals(3_000, 1_000, signals(RateLimitSignal::Unlimited));
    assert!(is_limited(&tracker));
}

#[test]
fn target_without_an_identifier_is_never_used_again_after_its_answers_said_that_it_leaves() {
    let nameless = Announcement {
        instance: None,
        ..announcement("", None)
    };
    let mut tracker = ConditionTracker::default();
    tracker.record_announcement(0, &nameless);
    let leaving = AnswerSignals {
        is_leaving: true,
        ..AnswerSignals::default()
    };
    tracker.record_signals(1_000, 500, leaving);
    tracker.record_announcement(2_000, &nameless);
    assert!(tracker.condition().is_leaving);
    tracker.record_silence(3_000);
    tracker.record_announcement(4_000, &nameless);
    assert!(tracker.condition().is_ordinary());
}

#[test]
fn first_answer_without_a_limit_counts_as_the_end_of_one() {
    let mut tracker = restarted_tracker();
    let change = tracker.record_signals(1_000, 500, signals(RateLimitSignal::Unlimited));
    assert!(!change.is_rate_limit_changed);
    assert_eq!(tracker.condition().rate_limit, RateLimitState::Unlimited);
}
