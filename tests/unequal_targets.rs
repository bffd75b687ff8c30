//! Targets that differ in speed or size, overstate their slots or fail: goodput compared with
//! random choice and with a fixed limit.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;
#[path = "support/policy_simulation.rs"]
mod policy_simulation;

use dragonflylug::ids::Priority;
use policy_simulation::{Report, RequestKind, SECOND_US, Scenario, TargetSpec, run};

/// The interval of measurement, in seconds.
const MEASURE_START_S: usize = 2;
const MEASURE_END_S: usize = 10;

/// Some targets, the demand on them and their total capacity, both in requests per second.
struct TargetsCase {
    targets: Vec<TargetSpec>,
    arrivals_per_s: f64,
    capacity: f64,
    /// The minimum share of the best possible goodput.
    share_min: f64,
}

fn scenario(case: &TargetsCase) -> Scenario {
    Scenario {
        targets: case.targets.clone(),
        kinds: vec![RequestKind {
            service: 0,
            priority: Priority::Normal,
            weight: 1,
            deadline_us: SECOND_US / 4,
        }],
        arrivals_per_s: case.arrivals_per_s,
        end_us: MEASURE_END_S as u64 * SECOND_US,
        ..Scenario::default()
    }
}

fn share_of_best(case: &TargetsCase, report: &Report) -> f64 {
    let offered = report.offered_per_s(MEASURE_START_S, MEASURE_END_S);
    report.goodput_per_s(MEASURE_START_S, MEASURE_END_S) / offered.min(case.capacity)
}

fn check_goodput(case: TargetsCase) {
    let adaptive = run(scenario(&case));
    let random_choice = run(Scenario {
        routing: None,
        ..scenario(&case)
    });
    let fixed_limit = run(Scenario {
        admission: None,
        routing: None,
        ..scenario(&case)
    });
    println!(
        "share of best: {:.3} (p99 {} us), random choice {:.3}, and with a fixed limit {:.3}; \
         started calls by target {:?}, with random choice {:?}",
        share_of_best(&case, &adaptive),
        adaptive.percentile_us(99, Priority::Background, MEASURE_START_S, MEASURE_END_S),
        share_of_best(&case, &random_choice),
        share_of_best(&case, &fixed_limit),
        adaptive.started_by_target,
        random_choice.started_by_target,
    );
    assert!(share_of_best(&case, &adaptive) >= case.share_min);
    if case.targets.len() > 1 {
        assert!(share_of_best(&case, &adaptive) > share_of_best(&case, &random_choice) - 0.02);
    }
    assert!(share_of_best(&case, &adaptive) > share_of_best(&case, &fixed_limit) - 0.02);
}

fn fast() -> TargetSpec {
    TargetSpec::default()
}

fn slow() -> TargetSpec {
    TargetSpec {
        work_us: 80_000.0,
        ..fast()
    }
}

fn small() -> TargetSpec {
    TargetSpec {
        slots: 8,
        concurrency: 8,
        ..fast()
    }
}

/// Announces many more slots than it can process requests in parallel.
fn overstating() -> TargetSpec {
    TargetSpec {
        concurrency: 12,
        ..fast()
    }
}

/// Answers half of its requests with errors immediately, and is slow with the others.
fn failing() -> TargetSpec {
    TargetSpec {
        error_share: |_| 0.5,
        ..slow()
    }
}

/// Fails all requests from 3 s to 6 s.
fn failing_temporarily() -> TargetSpec {
    TargetSpec {
        error_share: |now_us| f64::from(u8::from((3_000_000..6_000_000).contains(&now_us))),
        ..fast()
    }
}

/// Joins after four seconds and is slow for two more.
fn cold() -> TargetSpec {
    TargetSpec {
        joins_us: 4_000_000,
        slowdown: |now_us| if now_us < 6_000_000 { 8.0 } else { 1.0 },
        ..fast()
    }
}

cases! { check_goodput:
    unequal_speeds_below_capacity => TargetsCase {
        targets: vec![fast(), fast(), slow(), slow()], arrivals_per_s: 3_500.0,
        capacity: 4_375.0, share_min: 0.99,
    },
    unequal_speeds_above_capacity => TargetsCase {
        targets: vec![fast(), fast(), slow(), slow()], arrivals_per_s: 8_000.0,
        capacity: 4_375.0, share_min: 0.95,
    },
    unequal_sizes_above_capacity => TargetsCase {
        targets: vec![fast(), small(), small()], arrivals_per_s: 4_000.0,
        capacity: 2_550.0, share_min: 0.95,
    },
    more_slots_announced_than_the_target_can_use => TargetsCase {
        targets: vec![overstating()], arrivals_per_s: 1_200.0,
        capacity: 600.0, share_min: 0.85,
    },
    a_slow_target_that_fails_fast => TargetsCase {
        targets: vec![fast(), fast(), failing()], arrivals_per_s: 2_500.0,
        capacity: 3_500.0, share_min: 0.99,
    },
    a_target_that_fails_for_a_while => TargetsCase {
        targets: vec![failing_temporarily(), fast(), fast()], arrivals_per_s: 2_500.0,
        capacity: 3_500.0, share_min: 0.99,
    },
    a_cold_target_that_joins => TargetsCase {
        targets: vec![fast(), fast(), cold()], arrivals_per_s: 2_500.0,
        capacity: 3_500.0, share_min: 0.99,
    },
}
