//! A deep service some of whose targets name a rate limit, simulated with complete nodes: the others
//! are used, what does not fit is refused where it enters, and urgent requests last.

#[path = "support/deep_service.rs"]
mod deep_service;
#[path = "support/network.rs"]
mod network;
#[path = "support/nodes.rs"]
mod nodes;
#[path = "support/routed.rs"]
mod routed;

use deep_service::{
    CAPACITY_PER_S, CHILDREN, DEEP_CALLS_PER_S, DEEP_TARGETS, DeepLoad, DeepRun, Outcome,
};

const SECONDS: u64 = 14;

/// The time in which the daemons learn of the limits.
const WARM_UP_S: u64 = 4;

/// The minimum goodput as a share of what the limits and the other targets allow together.
const GOODPUT_MIN: f64 = 0.95;
/// The minimum goodput as a share of what the limits allow if all targets name one.
const ALL_LIMITED_GOODPUT_MIN: f64 = 0.9;
/// The minimum share of critical requests that are answered while others can be refused.
const CRITICAL_SHARE_MIN: f64 = 0.95;
/// The maximum share of requests that may run and fail.
const FAILED_SHARE_MAX: f64 = 0.05;

/// Returns the requests to the front service that the deep service allows per second.
fn allowed_per_s(limits_per_s: &[&str]) -> f64 {
    let others = usize::from(DEEP_TARGETS) - limits_per_s.len();
    let mut calls_per_s = others as f64 * DEEP_CALLS_PER_S;
    for limit in limits_per_s {
        calls_per_s += limit.parse::<f64>().unwrap();
    }
    calls_per_s / CHILDREN as f64
}

/// Offers a multiple of what the deep service allows.
fn run(limits_per_s: Vec<&'static str>, demand: f64) -> DeepRun {
    let load = demand * allowed_per_s(&limits_per_s) / CAPACITY_PER_S;
    deep_service::run(&DeepLoad {
        phases: vec![(SECONDS, load)],
        limits_per_s,
        ..DeepLoad::default()
    })
}

/// Returns the answered requests as a share of those that the deep service allows.
fn goodput(outcome: &Outcome, limits_per_s: &[&str]) -> f64 {
    let answered = outcome.payments.answered + outcome.lookups.answered;
    let seconds = (SECONDS - WARM_UP_S) as f64;
    f64::from(answered) / (allowed_per_s(limits_per_s) * seconds)
}

/// Half of the targets are limited, and demand is twice of what all allow.
#[test]
fn limits_of_half_of_the_targets_waste_the_room_of_the_others() {
    let limits = vec!["100", "100"];
    let outcome = run(limits.clone(), 2.0).outcome(WARM_UP_S, SECONDS);
    println!(
        "{} of what is allowed: {outcome:?}",
        goodput(&outcome, &limits)
    );
    assert!(goodput(&outcome, &limits) > GOODPUT_MIN);
    assert!(outcome.payments.answered_share() > CRITICAL_SHARE_MIN);
    assert!(outcome.failed_share() < FAILED_SHARE_MAX);
}

#[test]
fn limits_of_all_targets_make_running_requests_fail() {
    let limits = vec!["100", "100", "100", "100"];
    let outcome = run(limits.clone(), 2.0).outcome(WARM_UP_S, SECONDS);
    println!(
        "{} of what is allowed: {outcome:?}",
        goodput(&outcome, &limits)
    );
    assert!(goodput(&outcome, &limits) > ALL_LIMITED_GOODPUT_MIN);
    assert!(outcome.failed_share() < FAILED_SHARE_MAX);
}

#[test]
fn limits_of_all_targets_make_urgent_requests_be_refused() {
    let outcome = run(vec!["100"; 4], 2.0).outcome(WARM_UP_S, SECONDS);
    println!("{outcome:?}");
    assert!(outcome.payments.answered_share() > CRITICAL_SHARE_MIN);
}

#[test]
fn limit_of_one_target_sheds_requests_that_the_others_have_room_for() {
    let limits = vec!["40"];
    let outcome = run(limits, 0.8).outcome(WARM_UP_S, SECONDS);
    println!("{outcome:?}");
    let replied = outcome.payments.replied + outcome.lookups.replied;
    let answered = outcome.payments.answered + outcome.lookups.answered;
    assert!(f64::from(answered) > 0.99 * f64::from(replied));
}
