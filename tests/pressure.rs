//! Pressure: what a deep service can carry, learned up the call tree, and who is turned away.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;

use dragonflylug::calls::entry::jittered_retry_after_ms;
use dragonflylug::ids::{Priority, RouteName, WorkKind};
use dragonflylug::pressure::{
    ArrivingRequest, CallRateEstimator, PressureController, PressureSettings, Pressures, shed_share,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const MS: u64 = 1_000;
const SECOND: u64 = 1_000 * MS;
const LOOKUP: WorkKind = WorkKind(1);
const VIEW: WorkKind = WorkKind(2);

/// Lets work wait for a time in each of some seconds, a hundred times a second.
fn wait_for(level: &mut PressureController, from_s: u64, until_s: u64, wait_ms: u64) {
    for step in from_s * 100..until_s * 100 {
        level.observe_wait(step * 10 * MS, LOOKUP, wait_ms * MS);
    }
}

#[test]
fn long_waits_raise_the_level_and_short_ones_lower_it() {
    let mut level = PressureController::new(PressureSettings::default());
    wait_for(&mut level, 0, 2, 0);
    assert_eq!(level.current(2 * SECOND), 0.0);
    wait_for(&mut level, 2, 4, 200);
    let risen = level.current(4 * SECOND);
    assert!(risen > 0.8);
    wait_for(&mut level, 4, 6, 0);
    assert!(level.current(6 * SECOND) < risen / 2.0);
    wait_for(&mut level, 6, 20, 0);
    assert_eq!(level.current(20 * SECOND), 0.0);
}

#[test]
fn one_kind_that_waits_is_not_hidden_by_others_that_do_not() {
    let mut level = PressureController::new(PressureSettings::default());
    for step in 0..200 {
        level.observe_wait(step * 10 * MS, LOOKUP, 0);
        level.observe_wait(step * 10 * MS, VIEW, 200 * MS);
    }
    assert!(level.current(2 * SECOND) > 0.5);
}

#[test]
fn a_level_without_work_falls_by_itself() {
    let mut level = PressureController::new(PressureSettings::default());
    wait_for(&mut level, 0, 2, 200);
    assert!(level.current(2 * SECOND) > 0.5);
    assert_eq!(level.current(22 * SECOND), 0.0);
}

/// A request and the share of such requests that is turned away.
struct Shed {
    level: f64,
    priority: Priority,
    is_client_retry: bool,
    least: f64,
    most: f64,
}

fn check_shed(case: Shed) {
    let newcomer = ArrivingRequest {
        priority: case.priority,
        is_client_retry: case.is_client_retry,
    };
    let share = shed_share(case.level, newcomer);
    assert!((case.least..=case.most).contains(&share), "{share}");
}

cases! { check_shed:
    nobody_is_turned_away_without_pressure => Shed {
        level: 0.0, priority: Priority::Low, is_client_retry: false, least: 0.0, most: 0.0,
    },
    ordinary_work_goes_by_the_level => Shed {
        level: 0.425, priority: Priority::Normal, is_client_retry: false, least: 0.49, most: 0.51,
    },
    critical_work_is_the_last => Shed {
        level: 0.75, priority: Priority::Critical, is_client_retry: false, least: 0.0, most: 0.0,
    },
    critical_work_outlasts_high => Shed {
        level: 0.9, priority: Priority::High, is_client_retry: false, least: 0.6, most: 1.0,
    },
    no_route_is_starved => Shed {
        level: 1.0, priority: Priority::Low, is_client_retry: false, least: 0.9, most: 0.95,
    },
    who_comes_back_as_told_goes_first => Shed {
        level: 0.4, priority: Priority::Normal, is_client_retry: true, least: 0.1, most: 0.3,
    },
    without_room_who_comes_back_is_turned_away_too => Shed {
        level: 1.0, priority: Priority::Normal, is_client_retry: true, least: 0.8, most: 0.95,
    },
}

/// The requests of three routes at one target; the first two call `below`, the third does not.
struct Arrivals {
    per_s: [f64; 3],
    calls: [u32; 3],
}

const PARENTS: [&str; 3] = ["verify", "issue", "upload"];

/// Replays a minute at a target where all routes run at the same time.
fn replay(arrivals: &Arrivals, seed: u64) -> CallRateEstimator {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut events: Vec<(u64, usize, i32)> = Vec::new();
    for (parent, per_s) in arrivals.per_s.iter().enumerate() {
        for _ in 0..(per_s * 60.0) as u32 {
            let start_us = rng.random_range(0..60 * SECOND);
            let run_us = rng.random_range(100 * MS..400 * MS);
            events.push((start_us, parent, 1));
            events.push((start_us + run_us, parent, -1));
            for _ in 0..arrivals.calls[parent] {
                let call_us = start_us + rng.random_range(1..run_us);
                events.push((call_us, parent, 0));
            }
        }
    }
    events.sort_unstable();
    let mut rates = CallRateEstimator::default();
    for (at_us, parent, change) in events {
        let route = RouteName::from(PARENTS[parent]);
        match change {
            1 => rates.record_start(at_us, &route),
            -1 => rates.record_end(at_us, &route),
            _ => rates.record_call(at_us, &"below".into()),
        }
    }
    rates
}

fn check_callers(arrivals: Arrivals) {
    let mut rates = replay(&arrivals, 7);
    for (parent, calls) in PARENTS.iter().zip(arrivals.calls) {
        let found = rates.has_calls(61 * SECOND, &RouteName::from(*parent), &"below".into());
        assert_eq!(found, calls > 0, "{parent}");
    }
}

cases! { check_callers:
    two_routes_that_always_run_together_both_call => Arrivals {
        per_s: [110.0, 35.0, 10.0], calls: [1, 1, 0],
    },
    a_route_beside_a_busy_caller_does_not => Arrivals {
        per_s: [30.0, 12.0, 12.0], calls: [4, 8, 0],
    },
}

#[test]
fn pressure_passes_up_only_along_routes_that_call() {
    let arrivals = Arrivals {
        per_s: [60.0, 20.0, 10.0],
        calls: [1, 1, 0],
    };
    let mut pressures = Pressures::default();
    *pressures.call_rates() = replay(&arrivals, 3);
    let now_us = 61 * SECOND;
    for _ in 0..50 {
        pressures.record_report(now_us, &"below".into(), 0.9);
    }
    assert!(pressures.effective_level(now_us, &"verify".into(), 0.1) > 0.8);
    assert_eq!(
        pressures.effective_level(now_us, &"upload".into(), 0.1),
        0.1
    );
    assert!(pressures.observed_level(now_us + 12 * SECOND, &"below".into()) < 0.01);
}

#[test]
fn who_is_turned_away_comes_back_in_time_and_not_all_at_once() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut returns = Vec::new();
    for _ in 0..100 {
        returns.push(jittered_retry_after_ms(1_500, 5_000, &mut rng));
    }
    returns.sort_unstable();
    assert!(returns[0] >= 300 && returns[99] <= 750);
    assert!(returns[75] - returns[25] > 150);
    assert!(
        jittered_retry_after_ms(1_500, 600, &mut rng) <= 200,
        "within a third of the time left"
    );
}

#[test]
fn a_request_with_much_less_time_than_its_route_gives_is_a_returned_one() {
    let mut pressures = Pressures::default();
    let route = RouteName::from("lookup");
    assert!(!pressures.is_client_retry(&route, 5_000));
    assert!(!pressures.is_client_retry(&route, 4_800));
    assert!(pressures.is_client_retry(&route, 3_400));
    assert!(
        !pressures.is_client_retry(&route, 4_200),
        "clients differ in their patience"
    );
}
