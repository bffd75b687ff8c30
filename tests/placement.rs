//! Placement by expected response time, compared with that by a fixed load of the own zone.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;
#[path = "support/zone_simulation.rs"]
mod zone_simulation;

use dragonflylug::request::LoadReport;
use dragonflylug::routing::{Placement, RoutingSettings};
use zone_simulation::{Report, SECOND_US, Scenario, WORK_US, burst_after, run};

/// The maximum time in the queue, and what share of the requests may wait longer.
const QUEUE_MAX_US: f64 = 0.1 * WORK_US;
const QUEUE_PERMILLE: usize = 990;
/// The maximum ratio of requests sent to other zones to those that the best split needs.
const OTHER_ZONE_MAX: f64 = 1.2;
/// The maximum share of requests that are in another zone than in the best split.
const MISPLACED_MAX: f64 = 0.05;
/// When a target joins, how long it is slow, and how long it may take to get its share.
const JOIN_US: u64 = 5 * SECOND_US;
const SLOW_US: u64 = 3 * SECOND_US;
const SHARE_TIME_US: u64 = 2 * SECOND_US;
const FAIR_SHARE_MIN: f64 = 0.8;
/// When a target becomes slow or stalls, and how long it takes until others are used instead.
const FAULT_US: u64 = 5 * SECOND_US;
const REACTION_US: u64 = SECOND_US;

fn with(placement: Placement, scenario: Scenario) -> Scenario {
    let settings = RoutingSettings {
        placement,
        ..RoutingSettings::default()
    };
    Scenario {
        settings,
        ..scenario
    }
}

fn run_both(scenario: impl Fn() -> Scenario) -> (Report, Report) {
    let before = run(with(Placement::ZoneSpill, scenario()));
    let after = run(with(Placement::ExpectedTime, scenario()));
    for (name, report) in [("zone spill", &before), ("expected time", &after)] {
        let all = report.requests.len() as f64;
        println!(
            "{name}: queue p99 {} us, mean response {:.0} us, other zone {:.3} (best {:.3}), \
             misplaced {:.3}, moved {:.2}",
            report.queue_percentile_us(QUEUE_PERMILLE, (0, u64::MAX)),
            report.mean_response_us(),
            report.sent_to_other_zone / all,
            report.best_to_other_zone / all,
            report.misplaced_share,
            report.moved,
        );
    }
    (before, after)
}

/// Guards against queues while other zones have room, and against requests that are sent to other
/// zones and back.
fn check_load(load: f64) {
    let (_, report) = run_both(|| Scenario {
        load,
        ..Scenario::default()
    });
    let queue_us = report.queue_percentile_us(QUEUE_PERMILLE, (0, u64::MAX));
    assert!(report.sent_to_other_zone <= OTHER_ZONE_MAX * report.best_to_other_zone);
    assert!(report.misplaced_share <= MISPLACED_MAX);
    assert!(queue_us as f64 <= QUEUE_MAX_US);
}

cases! { check_load:
    at_0_6_of_the_capacity => 0.6,
    at_0_7_of_the_capacity => 0.7,
    at_0_8_of_the_capacity => 0.8,
    at_0_85_of_the_capacity => 0.85,
    close_to_0_9_of_the_capacity => 0.89,
}

/// Guards against a new target that is avoided after it was slow, or flooded while it is.
#[test]
fn a_joined_target_gets_its_share() {
    let (joined, peer) = (1, 4);
    let (before, report) = run_both(|| {
        let mut scenario = Scenario::default();
        scenario.targets[joined].joins_us = JOIN_US;
        scenario.targets[joined].slowdown = |now_us| match now_us < JOIN_US + SLOW_US {
            true => 2.0,
            false => 1.0,
        };
        scenario
    });
    let share = |report: &Report, at_us: u64| {
        let interval = Report::interval_of(at_us);
        let rate = |target| report.rate(target, interval) + report.rate(target, interval + 1);
        rate(joined) / rate(peer)
    };
    for at_us in (JOIN_US..JOIN_US + 2 * SLOW_US).step_by(SECOND_US as usize) {
        println!(
            "share from {at_us} us: {:.2}, with zone spill {:.2}",
            share(&report, at_us),
            share(&before, at_us)
        );
    }
    assert!(share(&report, JOIN_US + SHARE_TIME_US) >= FAIR_SHARE_MIN / 2.0);
    assert!(share(&report, JOIN_US + SLOW_US + SHARE_TIME_US) >= FAIR_SHARE_MIN);
    let queue_us = report.queue_percentile_us(QUEUE_PERMILLE, (JOIN_US, JOIN_US + SLOW_US));
    assert!(queue_us as f64 <= QUEUE_MAX_US);
}

/// Guards against requests that queue at a target that is suddenly five times slower.
#[test]
fn a_target_that_becomes_slow_is_relieved() {
    let (before, report) = run_both(|| {
        let mut scenario = Scenario {
            load: 0.7,
            ..Scenario::default()
        };
        scenario.targets[7].slowdown = |now_us| match now_us < FAULT_US {
            true => 1.0,
            false => 5.0,
        };
        scenario
    });
    let from_us = FAULT_US + REACTION_US;
    let queue_us =
        |report: &Report| report.queue_percentile_us(QUEUE_PERMILLE, (from_us, u64::MAX));
    println!(
        "queue p99 afterwards {} us, with zone spill {} us",
        queue_us(&report),
        queue_us(&before)
    );
    assert!(queue_us(&report) as f64 <= QUEUE_MAX_US);
}

/// Guards against requests that are sent to a target which answers nothing, and against a queue
/// there afterwards.
#[test]
fn a_target_that_stalls_is_avoided() {
    let (before, report) = run_both(|| {
        let mut scenario = Scenario {
            load: 0.7,
            ..Scenario::default()
        };
        scenario.targets[7].stall_us = (FAULT_US, 600_000);
        scenario
    });
    let queued = |report: &Report| {
        let requests = report.requests.iter();
        requests
            .filter(|request| request.1 as f64 > WORK_US)
            .count()
    };
    println!(
        "waited for more than a service time: {}, with zone spill {}",
        queued(&report),
        queued(&before)
    );
    assert!(queued(&report) < queued(&before));
    let after_us = (FAULT_US + REACTION_US, u64::MAX);
    let queue_us = report.queue_percentile_us(QUEUE_PERMILLE, after_us);
    assert!(queue_us as f64 <= QUEUE_MAX_US);
}

/// Guards against a burst of one daemon that goes to the target with the best old report.
#[test]
fn a_burst_does_not_follow_one_report() {
    let report = |in_flight: u32| LoadReport {
        in_flight,
        limit: 20,
        service_us: WORK_US as u32,
        ..LoadReport::default()
    };
    let sent = burst_after(
        &with(Placement::ExpectedTime, Scenario::default()),
        12,
        &[report(8), report(12)],
    );
    println!("sent to the targets: {sent:?}");
    assert!(sent[0] <= 9);
}
