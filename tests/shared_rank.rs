//! Two overloaded services; a request needs one of them or both. Compares the work wasted on
//! requests that fail at a later hop when a root request keeps its rank at all hops with that when
//! it has a separate rank at each hop.

#[path = "support/policy_simulation.rs"]
mod policy_simulation;

use dragonflylug::ids::Priority;
use policy_simulation::{Report, RequestKind, SECOND_US, Scenario, TargetSpec, run};

const DURATION_S: u64 = 6;
const WORK_US: f64 = 20_000.0;
/// The capacity of each of the two overloaded services, in requests per second: two targets of 15
/// slots.
const CAPACITY: f64 = 2.0 * 15.0 * 1e6 / WORK_US;

/// Returns a load in which a third of the requests needs both overloaded services, a third needs
/// one and a third the other; each of the two gets twice its capacity.
fn scenario(keeps_root_rank: bool) -> Scenario {
    let front = TargetSpec {
        slots: 300,
        concurrency: 300,
        work_us: 2_000.0,
        ..TargetSpec::default()
    };
    let below = |service| TargetSpec {
        service,
        slots: 15,
        concurrency: 15,
        work_us: WORK_US,
        ..TargetSpec::default()
    };
    let kind = |service| RequestKind {
        service,
        priority: Priority::Normal,
        weight: 1,
        deadline_us: SECOND_US,
    };
    Scenario {
        targets: vec![front, front, below(1), below(1), below(2), below(2)],
        children: vec![vec![1, 2], Vec::new(), Vec::new()],
        kinds: vec![kind(0), kind(1), kind(2)],
        arrivals_per_s: 3.0 * CAPACITY,
        end_us: DURATION_S * SECOND_US,
        keeps_root_rank,
        ..Scenario::default()
    }
}

fn wasted(report: &Report) -> f64 {
    report.wasted_us / (report.wasted_us + report.useful_us)
}

#[test]
fn a_shared_rank_wastes_less_work() {
    let shared = run(scenario(true));
    let per_hop = run(scenario(false));
    for (name, report) in [
        ("shared rank", &shared),
        ("separate rank at each hop", &per_hop),
    ] {
        println!(
            "{name}: wasted {:.3}, useful work {:.1} s",
            wasted(report),
            report.useful_us / SECOND_US as f64,
        );
    }
    assert!(wasted(&shared) < wasted(&per_hop) / 2.0);
    assert!(shared.useful_us > per_hop.useful_us);
}
