//! Overload at one guard: what is shed, in which order, and what the target still gets done.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;
#[path = "support/overload.rs"]
mod overload;

use dragonflylug::ids::Priority;
use overload::{Kind, Report, SECOND_US, Scenario, TargetSpec, run};

const WORK_US: f64 = 20_000.0;
/// The seconds that are measured, after the first.
const FROM: usize = 1;
const UNTIL: usize = 4;

/// One guard of a service of the brief, with the demand as a multiple of its capacity.
struct Demand {
    slots: u32,
    times: f64,
}

fn kinds(deadline_us: u64) -> Vec<Kind> {
    let kind = |priority, parts| Kind {
        service: 0,
        priority,
        parts,
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

fn show(name: &str, report: &Report, capacity: f64) {
    print!("{name}: ");
    for priority in Priority::ALL {
        let share = report.good(priority, FROM, UNTIL);
        print!("{} {share:.3} ", priority.name());
    }
    println!(
        "goodput {:.3}, p99 {} us, of critical {} us, inversions {} of {}, late {}",
        report.goodput(FROM, UNTIL) / capacity,
        report.percentile_us(99, Priority::Background, FROM, UNTIL),
        report.percentile_us(99, Priority::Critical, FROM, UNTIL),
        report.inversions,
        report.started,
        report.late,
    );
}

fn overload(case: &Demand, deadline_us: u64) -> Scenario {
    Scenario {
        targets: vec![TargetSpec {
            slots: case.slots,
            parallel: case.slots,
            work_us: WORK_US,
            ..TargetSpec::default()
        }],
        kinds: kinds(deadline_us),
        rate: case.times * capacity(case.slots),
        until_us: 5 * SECOND_US,
        ..Scenario::default()
    }
}

fn capacity(slots: u32) -> f64 {
    f64::from(slots) * SECOND_US as f64 / WORK_US
}

fn check_priority_order(case: Demand) {
    let capacity = capacity(case.slots);
    let report = run(overload(&case, SECOND_US));
    let name = format!("{} slots, {} times", case.slots, case.times);
    show(&name, &report, capacity);
    assert!(report.goodput(FROM, UNTIL) > 0.95 * capacity);
    assert_eq!(report.inversions, 0);
    assert!(report.late * 1_000 <= report.started);
    assert!(report.background_max * 4 <= case.slots);
    for lesser in Priority::ALL {
        for greater in Priority::ALL {
            let is_shed_first = report.good(lesser, FROM, UNTIL) < 0.01;
            let is_spared = report.good(greater, FROM, UNTIL) > 0.99;
            assert!(lesser >= greater || is_shed_first || is_spared);
        }
    }
}

cases! { check_priority_order:
    availability_at_twice_its_capacity => Demand { slots: 35, times: 2.0 },
    availability_at_five_times_its_capacity => Demand { slots: 35, times: 5.0 },
    reservations_at_twice_their_capacity => Demand { slots: 45, times: 2.0 },
    bookings_at_twice_their_capacity => Demand { slots: 15, times: 2.0 },
    bookings_at_five_times_their_capacity => Demand { slots: 15, times: 5.0 },
    payouts_at_twice_their_capacity => Demand { slots: 90, times: 2.0 },
    payouts_at_five_times_their_capacity => Demand { slots: 90, times: 5.0 },
    legacy_ledger_at_five_times_its_capacity => Demand { slots: 30, times: 5.0 },
}

#[test]
fn little_is_started_that_cannot_finish_in_time() {
    let case = Demand {
        slots: 35,
        times: 3.0,
    };
    let report = run(overload(&case, 3 * WORK_US as u64));
    show("deadline of three service times", &report, capacity(35));
    assert!(report.late * 20 < report.started);
    assert!(report.goodput(FROM, UNTIL) > 0.95 * capacity(35));
}
