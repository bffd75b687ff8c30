//! Targets that differ, deceive or fail: goodput against random choice and a fixed limit.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;
#[path = "support/overload.rs"]
mod overload;

use dragonflylug::ids::Priority;
use overload::{Kind, Report, SECOND_US, Scenario, TargetSpec, run};

const FROM: usize = 2;
const UNTIL: usize = 10;

/// Some targets, the demand, and what the targets get done together.
struct Case {
    targets: Vec<TargetSpec>,
    rate: f64,
    capacity: f64,
    /// The share of the best that is to be reached.
    share_min: f64,
}

fn scenario(case: &Case) -> Scenario {
    Scenario {
        targets: case.targets.clone(),
        kinds: vec![Kind {
            service: 0,
            priority: Priority::Normal,
            parts: 1,
            deadline_us: SECOND_US / 4,
        }],
        rate: case.rate,
        until_us: UNTIL as u64 * SECOND_US,
        ..Scenario::default()
    }
}

fn share(case: &Case, report: &Report) -> f64 {
    let offered = report.offered(FROM, UNTIL);
    report.goodput(FROM, UNTIL) / offered.min(case.capacity)
}

fn check_goodput(case: Case) {
    let ours = run(scenario(&case));
    let at_random = run(Scenario {
        routing: None,
        ..scenario(&case)
    });
    let fixed = run(Scenario {
        admission: None,
        routing: None,
        ..scenario(&case)
    });
    println!(
        "share of best: {:.3} (p99 {} us), random choice {:.3}, and fixed limit {:.3}; {:?}, {:?}",
        share(&case, &ours),
        ours.percentile_us(99, Priority::Background, FROM, UNTIL),
        share(&case, &at_random),
        share(&case, &fixed),
        ours.by_target,
        at_random.by_target,
    );
    assert!(share(&case, &ours) >= case.share_min);
    if case.targets.len() > 1 {
        assert!(share(&case, &ours) > share(&case, &at_random) - 0.02);
    }
    assert!(share(&case, &ours) > share(&case, &fixed) - 0.02);
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
        parallel: 8,
        ..fast()
    }
}

/// Says it has many more slots than it can work on.
fn boastful() -> TargetSpec {
    TargetSpec {
        parallel: 12,
        ..fast()
    }
}

/// Answers half of its requests with errors, at once, and is slow with the others.
fn failing() -> TargetSpec {
    TargetSpec {
        error_share: |_| 0.5,
        ..slow()
    }
}

fn sick_for_a_while() -> TargetSpec {
    TargetSpec {
        error_share: |now_us| f64::from(u8::from((3_000_000..6_000_000).contains(&now_us))),
        ..fast()
    }
}

/// Appears after four seconds and is slow for two more.
fn cold() -> TargetSpec {
    TargetSpec {
        appears_us: 4_000_000,
        slowdown: |now_us| if now_us < 6_000_000 { 8.0 } else { 1.0 },
        ..fast()
    }
}

cases! { check_goodput:
    unequal_speeds_below_capacity => Case {
        targets: vec![fast(), fast(), slow(), slow()], rate: 3_500.0, capacity: 4_375.0, share_min: 0.99,
    },
    unequal_speeds_above_capacity => Case {
        targets: vec![fast(), fast(), slow(), slow()], rate: 8_000.0, capacity: 4_375.0, share_min: 0.95,
    },
    unequal_sizes_above_capacity => Case {
        targets: vec![fast(), small(), small()], rate: 4_000.0, capacity: 2_550.0, share_min: 0.95,
    },
    more_slots_announced_than_there_are => Case {
        targets: vec![boastful()], rate: 1_200.0, capacity: 600.0, share_min: 0.85,
    },
    a_slow_target_that_fails_fast => Case {
        targets: vec![fast(), fast(), failing()], rate: 2_500.0, capacity: 3_500.0, share_min: 0.99,
    },
    a_target_that_fails_for_a_while => Case {
        targets: vec![sick_for_a_while(), fast(), fast()], rate: 2_500.0, capacity: 3_500.0, share_min: 0.99,
    },
    a_cold_target_that_joins => Case {
        targets: vec![fast(), fast(), cold()], rate: 2_500.0, capacity: 3_500.0, share_min: 0.99,
    },
}
