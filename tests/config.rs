//! Configuration: accepted changes are in force everywhere within the bound and never revert.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;
#[path = "support/config.rs"]
mod config;
#[path = "support/network.rs"]
mod network;

use config::{Cluster, record, submission};
use dragonflylug::config::SubmitOutcome;

/// The bound of today's size.
const IN_FORCE_US: u64 = 2_000_000;

/// One change among some daemons.
fn in_force_everywhere(daemons: usize) {
    let mut cluster = Cluster::new(daemons);
    cluster.run(1_000_000);
    cluster.submit(0, submission("c1", 0, vec![record("payouts", 3)]));
    let since_us = cluster.network.now_us;
    let all = cluster.run_until_all_have(1, since_us + IN_FORCE_US);
    assert!(all, "versions {:?}", cluster.versions());
    cluster.run(100_000);
    assert_eq!(
        cluster.outcomes(0),
        [SubmitOutcome::Accepted { version: 1 }]
    );
    for node in 0..daemons {
        assert_eq!(cluster.retries(node, "payouts"), Some(3));
    }
}

cases! { in_force_everywhere:
    a_change_is_in_force_at_one_daemon => 1,
    a_change_is_in_force_at_three_daemons => 3,
    a_change_is_in_force_at_twelve_daemons => 12,
    a_change_is_in_force_at_a_hundred_daemons => 100,
}

#[test]
fn of_two_operators_that_race_one_gets_a_conflict() {
    let mut cluster = Cluster::new(4);
    cluster.run(1_000_000);
    cluster.submit(0, submission("c1", 0, vec![record("payouts", 3)]));
    cluster.submit(1, submission("c2", 0, vec![record("payouts", 5)]));
    cluster.run(IN_FORCE_US);
    assert_eq!(
        cluster.outcomes(0),
        [SubmitOutcome::Accepted { version: 1 }]
    );
    assert_eq!(
        cluster.outcomes(1),
        [SubmitOutcome::Conflict { version: 1 }]
    );
    for node in 0..4 {
        assert_eq!(cluster.retries(node, "payouts"), Some(3));
    }
}
