//! The table of the operators' records is restored from an older copy: the change that is accepted
//! next must become active at all daemons, although its version was assigned before.

#[path = "support/config_cluster.rs"]
mod config_cluster;
#[path = "support/network.rs"]
mod network;

use config_cluster::ConfigCluster;
use dragonflylug::kernel::Notice;
use dragonflylug::table::Epoch;

/// The time within which a change must be active at all daemons.
const PROPAGATION_MAX_US: u64 = 2_000_000;

const DAEMONS: usize = 12;

// Guards against a version of the records that stands for two changes.
#[test]
fn change_on_a_restored_table_is_active_everywhere() {
    let mut cluster = ConfigCluster::new(DAEMONS);
    cluster.run(1_000_000);
    cluster.submit_one(0, "c1", 0, 3);
    assert!(cluster.run_until_all_have(1, PROPAGATION_MAX_US));
    let copy = cluster.network.rows.clone();
    cluster.submit_one(0, "c2", 1, 4);
    assert!(cluster.run_until_all_have(2, PROPAGATION_MAX_US));
    cluster.network.rows = copy;
    cluster.network.epoch = Epoch(1);
    for node in 0..DAEMONS {
        cluster.network.deliver_notice(node, Notice::StoreRestored);
    }
    cluster.submit_one(0, "c3", 1, 5);
    cluster.run(PROPAGATION_MAX_US);
    check_retries(&mut cluster, 5);
    let version = cluster.version(0);
    cluster.submit_one(3, "c4", version, 6);
    cluster.run(PROPAGATION_MAX_US);
    check_retries(&mut cluster, 6);
    assert_eq!(cluster.versions(), [version + 1; DAEMONS]);
}

fn check_retries(cluster: &mut ConfigCluster, retries: u32) {
    for node in 0..DAEMONS {
        assert_eq!(
            cluster.retries(node, "payouts"),
            Some(retries),
            "daemon {node}"
        );
    }
}
