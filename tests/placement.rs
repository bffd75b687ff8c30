//! Placement

#[path = "support/zone_simulation.rs"]
mod zone_simulation;

use zone_simulation::{Report, SECOND_US, Scenario, run};

fn print(name: &str, report: &Report) {
    let all = report.requests.len() as f64;
    println!(
        "{name}: queue p99 {} us p50 {} us, response {:.0} us, other zone {:.3} (best {:.3}), misplaced {:.3}, moved {:.2}",
        report.queue_percentile_us(990, (0, u64::MAX)),
        report.queue_percentile_us(500, (0, u64::MAX)),
        report.mean_response_us(),
        report.sent_to_other_zone / all,
        report.best_to_other_zone / all,
        report.misplaced_share,
        report.moved,
    );
}

#[test]
fn measure() {
    for slots in [24, 76] {
        for load in [0.6, 0.7, 0.8, 0.85, 0.9, 0.95] {
            let report = run(Scenario { load, slots, ..Scenario::default() });
            print(&format!("slots {slots} load {load}"), &report);
        }
    }
    let mut joined = Scenario { load: 0.8, ..Scenario::default() };
    joined.targets[1].joins_us = 5 * SECOND_US;
    joined.targets[1].slowdown = |now_us| if now_us < 8 * SECOND_US { 2.0 } else { 1.0 };
    let report = run(joined);
    print("joined", &report);
    for interval in 9..24 {
        print!(" {:.0}/{:.0}", report.rate(1, interval), report.rate(4, interval));
    }
    println!();
    let mut slower = Scenario { load: 0.7, ..Scenario::default() };
    slower.targets[7].slowdown = |now_us| if now_us > 5 * SECOND_US { 5.0 } else { 1.0 };
    let report = run(slower);
    print("slower", &report);
    for second in 4..12 {
        print!(" {}", report.queue_percentile_us(990, (second * SECOND_US, (second + 1) * SECOND_US)));
    }
    println!();
    let mut stalled = Scenario { load: 0.7, ..Scenario::default() };
    stalled.targets[7].stall_us = (5 * SECOND_US, 600_000);
    let report = run(stalled);
    print("stalled", &report);
    for second in 4..12 {
        print!(" {}", report.queue_percentile_us(990, (second * SECOND_US, (second + 1) * SECOND_US)));
    }
    println!();
}
