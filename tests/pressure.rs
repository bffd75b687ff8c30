//! Pressure: the controller, its propagation up the call graph, and which requests are shed.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;
#[path = "support/network.rs"]
mod network;
#[path = "support/nodes.rs"]
mod nodes;
#[path = "support/routed.rs"]
mod routed;

use std::ops::RangeInclusive;

use dragonflylug::calls::entry::jittered_retry_after_ms;
use dragonflylug::fairness::NEUTRAL_PERMILLE;
use dragonflylug::ids::{Priority, RouteName, WorkKind};
use dragonflylug::organisations::{Organisation, Organisations};
use dragonflylug::pressure::{
    ArrivingRequest, CallRateEstimator, PressureController, PressureSettings, Pressures, ShedBasis,
    missed_share, shed_priority, shed_share,
};
use dragonflylug::routes::{Route, RouteTerms};
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

/// The lowest priority in use among requests with a key, and a request that is shed at pressures from
/// `from` on, though not at it.
struct BandCase {
    lowest_in_use: Option<Priority>,
    priority: Priority,
    from: f64,
}

fn check_band(case: BandCase) {
    let request = ArrivingRequest {
        priority: shed_priority(case.priority, case.lowest_in_use),
        is_client_retry: false,
    };
    assert_eq!(shed_share(case.from, request), 0.0);
    assert!(shed_share(case.from + 0.01, request) > 0.0);
    assert!(shed_share(1.0, request) <= 0.95);
    let basis = ShedBasis {
        request,
        pressure_permille: 0,
        fair_permille: NEUTRAL_PERMILLE,
    };
    let at_guard = missed_share(case.from + 0.15, basis, NEUTRAL_PERMILLE);
    assert_eq!(at_guard, shed_share(case.from + 0.15, request));
}

cases! { check_band:
    high_is_shed_first_if_it_is_the_lowest => BandCase {
        lowest_in_use: Some(Priority::High), priority: Priority::High, from: 0.0,
    },
    critical_is_shed_last_if_high_is_the_lowest => BandCase {
        lowest_in_use: Some(Priority::High), priority: Priority::Critical, from: 0.75,
    },
    critical_is_shed_first_if_nothing_else_is_in_use => BandCase {
        lowest_in_use: Some(Priority::Critical), priority: Priority::Critical, from: 0.0,
    },
    high_is_shed_as_before_if_low_is_in_use => BandCase {
        lowest_in_use: Some(Priority::Low), priority: Priority::High, from: 0.5,
    },
    high_is_shed_as_before_without_keys => BandCase {
        lowest_in_use: None, priority: Priority::High, from: 0.5,
    },
    a_request_without_a_key_is_shed_first_if_its_priority_is_lower => BandCase {
        lowest_in_use: Some(Priority::High), priority: Priority::Low, from: 0.0,
    },
}

/// The importances of organisations whose requests are on a route of normal priority, and the lowest
/// priority in use.
fn check_lowest_priority(case: (&[Option<u32>], Option<Priority>)) {
    let mut organisations = Vec::new();
    for (index, importance) in case.0.iter().enumerate() {
        organisations.push(Organisation {
            name: format!("organisation-{index}").as_str().into(),
            keys: Vec::new(),
            importance: *importance,
            quota: None,
        });
    }
    let anonymous = Route {
        terms: RouteTerms {
            importance: 3,
            ..routed::READ
        },
        is_anonymous: true,
        ..routed::route("calls", "a", "/", &[])
    };
    let keyed = routed::route("lookups", "b", "/", &[]);
    let table = routed::route_table(1, vec![anonymous, keyed]);
    let table = table.with_organisations(Organisations::new(organisations).unwrap());
    assert_eq!(table.lowest_keyed_priority(), case.1);
}

cases! { check_lowest_priority:
    route_counts_within_the_less_important_organisation => (
        &[Some(0), Some(1)], Some(Priority::Normal),
    ),
    route_counts_where_all_organisations_are_equal => (&[Some(0)], Some(Priority::Normal)),
    all_importances => (&[Some(0), Some(1), Some(2), Some(3)], Some(Priority::Low)),
    an_organisation_without_importance_has_that_of_keyed_routes => (
        &[Some(0), None], Some(Priority::Normal),
    ),
    no_organisation => (&[], None),
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
