//! Pressure: the controller, its propagation up the call graph, and which requests are shed.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;

use std::ops::RangeInclusive;

use dragonflylug::calls::entry::jittered_retry_after_ms;
use dragonflylug::ids::{Priority, RouteName, WorkKind};
use dragonflylug::pressure::{
    ArrivingRequest, CallRateEstimator, PressureController, PressureSettings, Pressures, shed_share,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const MS_US: u64 = 1_000;
const SECOND_US: u64 = 1_000 * MS_US;
const LOOKUP: WorkKind = WorkKind(1);
const VIEW: WorkKind = WorkKind(2);

/// Observes the same wait a hundred times a second, from one second until another.
fn observe_waits(controller: &mut PressureController, from_s: u64, until_s: u64, wait_ms: u64) {
    for step in from_s * 100..until_s * 100 {
        controller.observe_wait(step * 10 * MS_US, LOOKUP, wait_ms * MS_US);
    }
}

#[test]
fn long_waits_raise_the_pressure_and_short_waits_lower_it() {
    let mut controller = PressureController::new(PressureSettings::default());
    observe_waits(&mut controller, 0, 2, 0);
    assert_eq!(controller.current(2 * SECOND_US), 0.0);
    observe_waits(&mut controller, 2, 4, 200);
    let risen = controller.current(4 * SECOND_US);
    assert!(risen > 0.8);
    observe_waits(&mut controller, 4, 6, 0);
    assert!(controller.current(6 * SECOND_US) < risen / 2.0);
    observe_waits(&mut controller, 6, 20, 0);
    assert_eq!(controller.current(20 * SECOND_US), 0.0);
}

#[test]
fn long_waits_of_one_work_kind_are_not_averaged_away() {
    let mut controller = PressureController::new(PressureSettings::default());
    for step in 0..200 {
        controller.observe_wait(step * 10 * MS_US, LOOKUP, 0);
        controller.observe_wait(step * 10 * MS_US, VIEW, 200 * MS_US);
    }
    assert!(controller.current(2 * SECOND_US) > 0.5);
}

/// How long after the last wait requests may still be shed.
const RECOVERY_S: u64 = 3;

#[test]
fn pressure_is_gone_soon_after_the_waits_while_requests_go_on() {
    let mut controller = PressureController::new(PressureSettings::default());
    observe_waits(&mut controller, 0, 4, 200);
    assert!(controller.current(4 * SECOND_US) > 0.9);
    observe_waits(&mut controller, 4, 4 + RECOVERY_S, 0);
    assert_eq!(controller.current((4 + RECOVERY_S) * SECOND_US), 0.0);
}

#[test]
fn pressure_falls_to_zero_without_requests() {
    let mut controller = PressureController::new(PressureSettings::default());
    observe_waits(&mut controller, 0, 2, 200);
    assert!(controller.current(2 * SECOND_US) > 0.5);
    assert_eq!(controller.current(22 * SECOND_US), 0.0);
}

/// A request that arrives at a pressure, and the bounds of the expected shed share.
struct ShedCase {
    pressure: f64,
    priority: Priority,
    is_client_retry: bool,
    shares: RangeInclusive<f64>,
}

fn check_shed(case: ShedCase) {
    let request = ArrivingRequest {
        priority: case.priority,
        is_client_retry: case.is_client_retry,
    };
    let share = shed_share(case.pressure, request);
    assert!(case.shares.contains(&share), "{share}");
}

cases! { check_shed:
    nothing_is_shed_without_pressure => ShedCase {
        pressure: 0.0, priority: Priority::Low, is_client_retry: false, shares: 0.0..=0.0,
    },
    normal_priority_requests_are_shed_in_proportion_to_the_pressure => ShedCase {
        pressure: 0.425, priority: Priority::Normal, is_client_retry: false, shares: 0.49..=0.51,
    },
    critical_requests_are_shed_last => ShedCase {
        pressure: 0.75, priority: Priority::Critical, is_client_retry: false, shares: 0.0..=0.0,
    },
    high_priority_requests_are_shed_before_critical_ones => ShedCase {
        pressure: 0.9, priority: Priority::High, is_client_retry: false, shares: 0.6..=1.0,
    },
    no_route_is_starved => ShedCase {
        pressure: 1.0, priority: Priority::Low, is_client_retry: false, shares: 0.9..=0.95,
    },
    client_retries_are_shed_less => ShedCase {
        pressure: 0.4, priority: Priority::Normal, is_client_retry: true, shares: 0.1..=0.3,
    },
    client_retries_are_shed_too_at_full_pressure => ShedCase {
        pressure: 1.0, priority: Priority::Normal, is_client_retry: true, shares: 0.8..=0.95,
    },
}

/// The requests of three routes at one target; the first two call `callee`, the third does not.
struct Arrivals {
    per_s: [f64; 3],
    calls: [u32; 3],
}

const ROUTES: [&str; 3] = ["verify", "issue", "upload"];

/// Simulates a minute of a target that serves all routes at the same time.
fn simulate_routes(arrivals: &Arrivals, seed: u64) -> CallRateEstimator {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut events: Vec<(u64, usize, i32)> = Vec::new();
    for (route, per_s) in arrivals.per_s.iter().enumerate() {
        for _ in 0..(per_s * 60.0) as u32 {
            let start_us = rng.random_range(0..60 * SECOND_US);
            let run_us = rng.random_range(100 * MS_US..400 * MS_US);
            events.push((start_us, route, 1));
            events.push((start_us + run_us, route, -1));
            for _ in 0..arrivals.calls[route] {
                let call_us = start_us + rng.random_range(1..run_us);
                events.push((call_us, route, 0));
            }
        }
    }
    events.sort_unstable();
    let mut rates = CallRateEstimator::default();
    for (at_us, index, change) in events {
        let route = RouteName::from(ROUTES[index]);
        match change {
            1 => rates.record_start(at_us, &route),
            -1 => rates.record_end(at_us, &route),
            _ => rates.record_call(at_us, &"callee".into()),
        }
    }
    rates
}

fn check_estimated_callers(arrivals: Arrivals) {
    let mut rates = simulate_routes(&arrivals, 7);
    for (route, calls) in ROUTES.iter().zip(arrivals.calls) {
        let found =
            rates.is_estimated_caller(61 * SECOND_US, &RouteName::from(*route), &"callee".into());
        assert_eq!(found, calls > 0, "{route}");
    }
}

cases! { check_estimated_callers:
    two_routes_that_always_run_together_are_both_callers => Arrivals {
        per_s: [110.0, 35.0, 10.0], calls: [1, 1, 0],
    },
    a_route_that_runs_beside_busy_callers_is_no_caller => Arrivals {
        per_s: [30.0, 12.0, 12.0], calls: [4, 8, 0],
    },
}

#[test]
fn pressure_propagates_only_to_routes_that_call() {
    let arrivals = Arrivals {
        per_s: [60.0, 20.0, 10.0],
        calls: [1, 1, 0],
    };
    let mut pressures = Pressures::default();
    *pressures.call_rates() = simulate_routes(&arrivals, 3);
    let now_us = 61 * SECOND_US;
    for _ in 0..50 {
        pressures.record_report(now_us, &"callee".into(), 0.9);
    }
    assert!(pressures.effective_pressure(now_us, &"verify".into(), 0.1) > 0.8);
    assert_eq!(
        pressures.effective_pressure(now_us, &"upload".into(), 0.1),
        0.1
    );
    assert!(pressures.reported_pressure(now_us + 12 * SECOND_US, &"callee".into()) < 0.01);
}

#[test]
fn retry_after_times_of_shed_requests_are_soon_and_spread_out() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut retry_after_ms = Vec::new();
    for _ in 0..100 {
        retry_after_ms.push(jittered_retry_after_ms(1_500, 5_000, &mut rng));
    }
    retry_after_ms.sort_unstable();
    assert!(retry_after_ms[0] >= 300 && retry_after_ms[99] <= 750);
    assert!(retry_after_ms[75] - retry_after_ms[25] > 150);
    assert!(
        jittered_retry_after_ms(1_500, 600, &mut rng) <= 200,
        "within a third of the time left"
    );
}

#[test]
fn a_request_with_much_less_time_left_is_a_client_retry() {
    let mut pressures = Pressures::default();
    let route = RouteName::from("lookup");
    assert!(!pressures.detect_client_retry(&route, 5_000));
    assert!(!pressures.detect_client_retry(&route, 4_800));
    assert!(pressures.detect_client_retry(&route, 3_400));
    assert!(
        !pressures.detect_client_retry(&route, 4_200),
        "a request with only slightly less time left is not a retry"
    );
}
