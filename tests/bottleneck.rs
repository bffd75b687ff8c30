//! A deep service that cannot carry the demand, over whole nodes: the load of a busy day, where
//! each lookup needs the deep service four times and clients come back when they are refused.

#[path = "support/deep_service.rs"]
mod deep_service;
#[path = "support/network.rs"]
mod network;
#[path = "support/nodes.rs"]
mod nodes;
#[path = "support/routed.rs"]
mod routed;

use deep_service::{CAPACITY_PER_S, DeepLoad, Outcome};
use dragonflylug::pressure::PressureSettings;

const SECONDS: u64 = 10;

/// The share of the capacity that must be answered, however great the demand.
const GOODPUT_MIN: f64 = 0.9;
/// The same where the demand is several times the capacity.
const GOODPUT_LEFT_MIN: f64 = 0.5;
/// The share of requests that may run and fail.
const IN_VAIN_MAX: f64 = 0.05;
/// The share of critical requests that must be answered while others can be turned away.
const CRITICAL_SHARE_MIN: f64 = 0.95;

/// Offers requests at random times at a multiple of what the deep service carries.
fn run(pressure: PressureSettings, load: f64) -> Outcome {
    let load = DeepLoad {
        pressure,
        phases: vec![(SECONDS, load)],
        ..DeepLoad::default()
    };
    deep_service::run(&load).outcome(0, SECONDS)
}

/// Returns what was answered as a share of what the deep service carries.
fn goodput(outcome: &Outcome) -> f64 {
    let answered = outcome.payments.answered + outcome.lookups.answered;
    f64::from(answered) / (CAPACITY_PER_S * SECONDS as f64)
}

/// A gain of 1 is the least that a setting allows: such pressure never rises in the time of a test.
fn without_pressure() -> PressureSettings {
    PressureSettings {
        wait_aim_ms: 60_000,
        gain_percent: 1,
        urgency_percent: 0,
        ..PressureSettings::default()
    }
}

#[test]
fn work_that_the_deep_service_cannot_carry_is_turned_away_where_it_enters() {
    let outcome = run(PressureSettings::default(), 1.7);
    println!("with pressure: {outcome:?}");
    assert!(goodput(&outcome) > GOODPUT_MIN);
    assert!(outcome.failed_share() < IN_VAIN_MAX);
    assert!(outcome.payments.share() > CRITICAL_SHARE_MIN);
}

#[test]
fn without_pressure_work_runs_in_vain() {
    let outcome = run(without_pressure(), 1.7);
    println!("without: {outcome:?}");
    assert!(goodput(&outcome) < GOODPUT_MIN);
    assert!(outcome.failed_share() > IN_VAIN_MAX);
}

#[test]
fn a_load_that_is_carried_is_not_turned_away() {
    let outcome = run(PressureSettings::default(), 0.7);
    let asked = outcome.payments.asked + outcome.lookups.asked;
    let answered = outcome.payments.answered + outcome.lookups.answered;
    assert!(
        f64::from(answered) > 0.99 * f64::from(asked),
        "{answered} of {asked}"
    );
}

#[test]
fn a_deep_service_that_lost_most_of_its_targets_still_works_for_its_callers() {
    let outcome = run(PressureSettings::default(), 4.0);
    println!("at four times: {outcome:?}");
    assert!(goodput(&outcome) > GOODPUT_LEFT_MIN);
}

/// The time after a surge in which callers may still be turned away.
const RECOVERY_S: u64 = 3;

#[test]
fn callers_are_taken_again_soon_after_a_surge() {
    let load = DeepLoad {
        phases: vec![(SECONDS, 2.0), (SECONDS, 0.7)],
        ..DeepLoad::default()
    };
    let run = deep_service::run(&load);
    let after = run.outcome(SECONDS + RECOVERY_S, 2 * SECONDS);
    println!("after a surge: {after:?}");
    assert!(after.lookups.share() > 0.99);
    assert!(after.payments.share() > 0.99);
}
