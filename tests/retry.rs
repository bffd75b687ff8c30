//! Retry allowances and callers' retry budgets.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;

use dragonflylug::ids::{Caller, RequestId};
use dragonflylug::retry::{Allowance, CallerBudgetSettings, CallerBudgets};
use dragonflylug::verdict::RefusalReason;

#[test]
fn tokens_are_spent_granted_and_refunded_but_never_created() {
    let mut allowance = Allowance::new(3);
    assert!(allowance.spend());
    assert_eq!(allowance.grant(5), 2);
    assert!(!allowance.spend());
    allowance.refund(1);
    allowance.refund(9);
    assert_eq!(allowance.left(), 2);
    allowance.refund(9);
    assert_eq!(allowance.left(), 2);
}

/// An attempt of a request: its identifier, the tokens that the caller offers, whether it is marked
/// as a repeat, and the tokens that it must get.
struct Attempt {
    request: Option<u64>,
    offered: Option<u32>,
    is_repeat: bool,
    expected_tokens: u32,
}

/// Opens the attempts in turn and closes each with one token less than it got.
fn check_attempts(attempts: &[Attempt]) {
    let mut budgets = CallerBudgets::new(CallerBudgetSettings::default());
    let caller = Caller::from("kiosk");
    for (index, attempt) in attempts.iter().enumerate() {
        let request = attempt.request.map(RequestId);
        let opened = budgets.open_root(0, &caller, request, 3, attempt.offered, attempt.is_repeat);
        let tokens = opened.unwrap().left();
        assert_eq!(tokens, attempt.expected_tokens, "attempt {index}");
        budgets.close_root(0, &caller, request, tokens.saturating_sub(1), false);
    }
}

fn first(request: u64) -> Attempt {
    Attempt {
        request: Some(request),
        offered: None,
        is_repeat: false,
        expected_tokens: 3,
    }
}

fn repeat(request: u64, offered: u32, expected_tokens: u32) -> Attempt {
    Attempt {
        request: Some(request),
        offered: Some(offered),
        is_repeat: true,
        expected_tokens,
    }
}

fn without_id(expected_tokens: u32) -> Attempt {
    Attempt {
        request: None,
        expected_tokens,
        ..first(0)
    }
}

cases! { check_attempts:
    each_new_request_gets_full_tokens => &[first(1), first(2)],
    a_repeat_spends_a_token_and_gets_the_rest => &[first(1), repeat(1, 1, 1), repeat(1, 9, 0)],
    a_repeat_that_offers_too_much_gets_what_is_left => &[first(1), repeat(1, 9, 1)],
    an_unmarked_repeat_is_recognized => &[
        first(1),
        Attempt { expected_tokens: 0, ..first(1) },
        Attempt { expected_tokens: 0, ..first(1) },
    ],
    a_marked_repeat_from_another_daemon_gets_no_new_tokens => &[
        Attempt { is_repeat: true, expected_tokens: 0, ..first(1) },
        repeat(1, 9, 0),
    ],
    a_marked_repeat_from_another_daemon_gets_what_it_offers => &[repeat(1, 1, 1)],
    a_marked_repeat_from_another_daemon_never_gets_full_tokens => &[repeat(1, 9, 2)],
    a_request_without_an_id_is_granted_tokens_within_the_budget => &[
        without_id(3), without_id(3), without_id(3), without_id(3),
        without_id(3), without_id(3), without_id(3), without_id(3),
        without_id(2), without_id(1), without_id(0),
    ],
}

#[test]
fn a_caller_without_budget_is_refused_until_its_window_passes() {
    let mut budgets = CallerBudgets::new(CallerBudgetSettings::default());
    let caller = Caller::from("kiosk");
    let mut refusals = 0;
    for _ in 0..100 {
        let opened = budgets.open_root(0, &caller, Some(RequestId(1)), 3, None, true);
        if let Err(refusal) = opened {
            assert_eq!(refusal.reason, RefusalReason::RetryBudget);
            assert_eq!(refusal.retry_after_ms, 10_000);
            refusals += 1;
        }
    }
    assert_eq!(refusals, 90);
    let later_us = 20_000_000;
    let opened = budgets.open_root(later_us, &caller, Some(RequestId(1)), 3, None, true);
    assert!(opened.is_ok());
}

#[test]
fn successes_raise_the_budget_of_a_caller() {
    let mut budgets = CallerBudgets::new(CallerBudgetSettings::default());
    let caller = Caller::from("kiosk");
    for request in 0..100 {
        let request = Some(RequestId(request));
        budgets
            .open_root(0, &caller, request, 3, None, false)
            .unwrap();
        budgets.close_root(0, &caller, request, 0, true);
    }
    let mut repeats = 0;
    while budgets
        .open_root(0, &caller, Some(RequestId(1)), 3, None, true)
        .is_ok()
    {
        repeats += 1;
    }
    assert_eq!(repeats, 30);
}

#[test]
fn the_number_of_tracked_callers_is_bounded() {
    let settings = CallerBudgetSettings {
        callers_max: 10,
        ..CallerBudgetSettings::default()
    };
    let mut budgets = CallerBudgets::new(settings);
    for index in 0..100_u64 {
        let caller = Caller::from(format!("caller {index}").as_str());
        budgets
            .open_root(index, &caller, Some(RequestId(index)), 3, None, false)
            .unwrap();
    }
    assert_eq!(budgets.caller_count(), 10);
}
