//! Overload at one guard: which requests are shed, in which order, and the goodput that remains.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;
#[path = "support/policy_simulation.rs"]
mod policy_simulation;

use dragonflylug::ids::Priority;
use policy_simulation::{Report, RequestKind, SECOND_US, Scenario, TargetSpec, run};

const WORK_US: f64 = 20_000.0;
/// The interval of measurement in seconds; the first second is left out.
const MEASURE_START_S: usize = 1;
const MEASURE_END_S: usize = 4;

/// The slots of one guard, as of the example service in the name of the case, and the demand as a
/// multiple of its capacity.
struct OverloadCase {
    slots: u32,
    load_factor: f64,
}

fn kinds(deadline_us: u64) -> Vec<RequestKind> {
    let kind = |priority, weight| RequestKind {
        service: 0,
        priority,
        weight,
        deadline_us,
    };
    vec![
        kind(Priority::Critical, 15),
        kind(Priority::High, 15),
        kind(Priority::Normal, 40),
        kind(Priority::Low, 20),
        kind(Priority::Background, 10),
    ]
}

fn print_report(name: &str, report: &Report, capacity: f64) {
    print!("{name}: ");
    for priority in Priority::ALL {
        let share = report.good_share(priority, MEASURE_START_S, MEASURE_END_S);
        print!("{} {share:.3} ", priority.name());
    }
    println!(
        "goodput {:.3}, p99 {} us, of critical {} us, inversions {} of {}, late {}",
        report.goodput_per_s(MEASURE_START_S, MEASURE_END_S) / capacity,
        report.percentile_us(99, Priority::Background, MEASURE_START_S, MEASURE_END_S),
        report.percentile_us(99, Priority::Critical, MEASURE_START_S, MEASURE_END_S),
        report.inversions,
        report.started,
        report.late,
    );
}

fn scenario(case: &OverloadCase, deadline_us: u64) -> Scenario {
    Scenario {
        targets: vec![TargetSpec {
            slots: case.slots,
            concurrency: case.slots,
            work_us: WORK_US,
            ..TargetSpec::default()
        }],
        kinds: kinds(deadline_us),
        arrivals_per_s: case.load_factor * capacity(case.slots),
        end_us: 5 * SECOND_US,
        ..Scenario::default()
    }
}

fn capacity(slots: u32) -> f64 {
    f64::from(slots) * SECOND_US as f64 / WORK_US
}

/// Checks that goodput stays near the capacity, that no call starts although one of higher rank was
/// refused since the previous start, that at most 0.1 % of the calls end late, that background
/// calls use at most a quarter of the slots, and that a priority loses requests only if nearly all
/// of each lower priority are shed.
fn check_priority_order(case: OverloadCase) {
    let capacity = capacity(case.slots);
    let report = run(scenario(&case, SECOND_US));
    let name = format!(
        "{} slots, {} times the capacity",
        case.slots, case.load_factor
    );
    print_report(&name, &report, capacity);
    assert!(report.goodput_per_s(MEASURE_START_S, MEASURE_END_S) > 0.95 * capacity);
    assert_eq!(report.inversions, 0);
    assert!(report.late * 1_000 <= report.started);
    assert!(report.background_running_max * 4 <= case.slots);
    for lower in Priority::ALL {
        for higher in Priority::ALL {
            let is_shed_first = report.good_share(lower, MEASURE_START_S, MEASURE_END_S) < 0.01;
            let is_spared = report.good_share(higher, MEASURE_START_S, MEASURE_END_S) > 0.99;
            assert!(lower >= higher || is_shed_first || is_spared);
        }
    }
}

cases! { check_priority_order:
    availability_at_twice_its_capacity => OverloadCase { slots: 35, load_factor: 2.0 },
    availability_at_five_times_its_capacity => OverloadCase { slots: 35, load_factor: 5.0 },
    reservations_at_twice_their_capacity => OverloadCase { slots: 45, load_factor: 2.0 },
    bookings_at_twice_their_capacity => OverloadCase { slots: 15, load_factor: 2.0 },
    bookings_at_five_times_their_capacity => OverloadCase { slots: 15, load_factor: 5.0 },
    payouts_at_twice_their_capacity => OverloadCase { slots: 90, load_factor: 2.0 },
    payouts_at_five_times_their_capacity => OverloadCase { slots: 90, load_factor: 5.0 },
    legacy_ledger_at_five_times_its_capacity => OverloadCase { slots: 30, load_factor: 5.0 },
}

/// With a deadline of three service times, less than 5 % of the started calls may end too late,
/// because the work on such calls is wasted.
#[test]
fn few_calls_are_started_that_cannot_finish_in_time() {
    let case = OverloadCase {
        slots: 35,
        load_factor: 3.0,
    };
    let report = run(scenario(&case, 3 * WORK_US as u64));
    print_report("deadline of three service times", &report, capacity(35));
    assert!(report.late * 20 < report.started);
    assert!(report.goodput_per_s(MEASURE_START_S, MEASURE_END_S) > 0.95 * capacity(35));
}
