//! A deep service that can't handle the offered load, simulated with complete nodes and modelled on
//! the load of a busy day.
//!
//! Each request to the front service calls the deep service four times, so that a call refused
//! there wastes the work of the whole request.

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

/// The minimum goodput as a share of the capacity, under moderate overload.
const GOODPUT_MIN: f64 = 0.9;
/// The minimum goodput as a share of the capacity, at a load of four times the capacity.
const HIGH_LOAD_GOODPUT_MIN: f64 = 0.5;
/// The maximum share of requests that may run and fail.
const FAILED_SHARE_MAX: f64 = 0.05;
/// The minimum share of critical requests that are answered while others can be shed.
const CRITICAL_SHARE_MIN: f64 = 0.95;

/// Offers requests at random times, at a multiple of the deep service's capacity.
fn run(pressure: PressureSettings, load: f64) -> Outcome {
    let load = DeepLoad {
        pressure,
        phases: vec![(SECONDS, load)],
        ..DeepLoad::default()
    };
    deep_service::run(&load).outcome(0, SECONDS)
}

/// Returns the answered requests as a share of the deep service's capacity.
fn goodput(outcome: &Outcome) -> f64 {
    let answered = outcome.payments.answered + outcome.lookups.answered;
    f64::from(answered) / (CAPACITY_PER_S * SECONDS as f64)
}

/// Returns settings under which the pressure does not rise noticeably during a test. The gain is at
/// its minimum of 1, since the setting can't be 0.
fn without_pressure() -> PressureSettings {
    PressureSettings {
        wait_aim_ms: 60_000,
        gain_percent: 1,
        urgency_percent: 0,
        ..PressureSettings::default()
    }
}

#[test]
fn excess_load_of_a_deep_service_is_shed_at_the_entry() {
    let outcome = run(PressureSettings::default(), 1.7);
    println!("with pressure: {outcome:?}");
    assert!(goodput(&outcome) > GOODPUT_MIN);
    assert!(outcome.failed_share() < FAILED_SHARE_MAX);
    assert!(outcome.payments.answered_share() > CRITICAL_SHARE_MIN);
}

#[test]
fn without_pressure_work_is_wasted() {
    let outcome = run(without_pressure(), 1.7);
    println!("without pressure: {outcome:?}");
    assert!(goodput(&outcome) < GOODPUT_MIN);
    assert!(outcome.failed_share() > FAILED_SHARE_MAX);
}

#[test]
fn load_within_capacity_is_not_shed() {
    let outcome = run(PressureSettings::default(), 0.7);
    let replied = outcome.payments.replied + outcome.lookups.replied;
    let answered = outcome.payments.answered + outcome.lookups.answered;
    assert!(
        f64::from(answered) > 0.99 * f64::from(replied),
        "{answered} of {replied}"
    );
}

#[test]
fn more_than_half_of_the_capacity_is_used_at_a_load_of_four_times_the_capacity() {
    let outcome = run(PressureSettings::default(), 4.0);
    println!("at four times the capacity: {outcome:?}");
    assert!(goodput(&outcome) > HIGH_LOAD_GOODPUT_MIN);
}

/// The time after a surge during which requests may still be shed.
const RECOVERY_S: u64 = 3;

#[test]
fn shedding_stops_soon_after_a_surge() {
    let load = DeepLoad {
        phases: vec![(SECONDS, 2.0), (SECONDS, 0.7)],
        ..DeepLoad::default()
    };
    let run = deep_service::run(&load);
    let after = run.outcome(SECONDS + RECOVERY_S, 2 * SECONDS);
    println!("after a surge: {after:?}");
    assert!(after.lookups.answered_share() > 0.99);
    assert!(after.payments.answered_share() > 0.99);
}
