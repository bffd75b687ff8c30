//! Membership under faults: discovery, failure detection, partitions and platform outages.
//!
//! The members run on a fake network in virtual time.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;
#[path = "support/membership_cluster.rs"]
mod membership_cluster;
#[path = "support/network.rs"]
mod network;

use dragonflylug::kernel::Notice;
use dragonflylug::membership::MemberState;
use dragonflylug::metrics::Counter;
use dragonflylug::target::Announcement;
use membership_cluster::{
    LinkFilter, MembershipCluster, SECOND_US, address, block_zone_outbound, deliver_all,
    isolate_zone, lossy,
};
use network::PlatformFault;

fn announcement() -> Announcement {
    Announcement {
        service: "availability".into(),
        address: "127.0.0.1:9000".parse().unwrap(),
        slots: 35,
        connections: 300,
        is_draining: false,
        instance: None,
        started_at_ms: None,
    }
}

/// Members that start within two seconds must all discover each other through the table.
fn check_all_members_discover_each_other(count: usize) {
    let mut cluster = MembershipCluster::with_staggered_start(count, 4);
    assert!(
        cluster.converges_within(10 * SECOND_US),
        "{}",
        cluster.summary()
    );
}

cases! {
    check_all_members_discover_each_other:
    two_members_discover_each_other => 2,
    ten_members_discover_each_other => 10,
    a_hundred_members_discover_each_other => 100,
}

#[test]
fn all_members_mark_a_killed_member_gone() {
    let mut cluster = MembershipCluster::converged(30, 4);
    cluster.network.kill(7);
    assert!(
        cluster.converges_within(20 * SECOND_US),
        "{}",
        cluster.summary()
    );
}

/// Members must learn of a planned stop soon, so that they send the member no more requests, and
/// its row must not be left in the table.
#[test]
fn all_members_learn_of_a_stop_within_two_seconds() {
    let mut cluster = MembershipCluster::converged(30, 4);
    cluster.run_for(60 * SECOND_US);
    assert_eq!(cluster.network.rows.len(), 30);
    cluster.network.deliver_notice(7, Notice::StopRequested);
    let all_updated = |cluster: &mut MembershipCluster| {
        (0..30).all(|node| cluster.observed_state(node, 7) == Some(MemberState::Leaving))
    };
    assert!(
        cluster.wait_until(2 * SECOND_US, all_updated),
        "{}",
        cluster.summary()
    );
    assert_eq!(cluster.network.rows.len(), 29);
}

/// A killed member must leave the rosters once a new process has taken its address.
#[test]
fn a_restart_at_the_same_address_replaces_the_old_member() {
    let mut cluster = MembershipCluster::converged(10, 2);
    cluster.network.kill(3);
    cluster.add_at(address(3));
    assert!(
        cluster.converges_within(10 * SECOND_US),
        "{}",
        cluster.summary()
    );
}

#[test]
fn all_members_learn_of_an_announced_service() {
    let mut cluster = MembershipCluster::converged(30, 4);
    let notice = Notice::TargetAnnounced(announcement());
    cluster.network.deliver_notice(4, notice);
    let all_updated = |cluster: &mut MembershipCluster| {
        (0..30).all(|node| {
            let member = cluster
                .membership(node)
                .get(membership_cluster::id(4))
                .cloned();
            member.is_some_and(|member| member.service == Some("availability".into()))
        })
    };
    assert!(cluster.wait_until(10 * SECOND_US, all_updated));
}

/// No update may be lost in the many changes of a rolling replacement.
#[test]
fn rosters_converge_after_a_tenth_is_replaced_within_a_minute() {
    let mut cluster = MembershipCluster::converged(100, 4);
    for node in 0..10 {
        cluster.network.deliver_notice(node, Notice::StopRequested);
        cluster.run_for(SECOND_US / 10);
        cluster.network.kill(node);
        cluster.add();
        cluster.run_for(6 * SECOND_US);
    }
    assert!(
        cluster.converges_within(30 * SECOND_US),
        "{}",
        cluster.summary()
    );
}

/// A new member must not try only the rows of its own zone, whose members are all dead here.
#[test]
fn a_member_joins_while_its_zone_has_only_stale_rows() {
    let mut cluster = MembershipCluster::converged(48, 4);
    for node in 0..48 {
        if cluster.zone(node) == 0 {
            cluster.network.kill(node);
        }
    }
    let new = cluster.add();
    assert_eq!(cluster.zone(new), 0);
    let has_joined = |cluster: &mut MembershipCluster| cluster.membership(new).len() >= 37;
    assert!(
        cluster.wait_until(20 * SECOND_US, has_joined),
        "{}",
        cluster.summary()
    );
}

/// The rows of killed members are deleted, and the rows of running members stay.
#[test]
fn rows_of_killed_members_are_deleted() {
    let mut cluster = MembershipCluster::converged(30, 3);
    cluster.network.kill(4);
    cluster.network.kill(5);
    let are_deleted = |cluster: &mut MembershipCluster| cluster.network.rows.len() == 28;
    assert!(cluster.wait_until(400 * SECOND_US, are_deleted));
    cluster.run_for(400 * SECOND_US);
    assert_eq!(cluster.network.rows.len(), 28);
}

/// A fault during which no running member may be marked gone.
///
/// In each round another `1 / paused_every` of the members is paused for `paused_ms`.
struct HarmlessFault {
    lost_percent: u64,
    paused_every: usize,
    paused_ms: u64,
}

impl Default for HarmlessFault {
    fn default() -> Self {
        Self {
            lost_percent: 0,
            paused_every: usize::MAX,
            paused_ms: 0,
        }
    }
}

fn check_no_running_member_is_marked_gone(fault: HarmlessFault) {
    let mut cluster = MembershipCluster::converged(60, 4);
    cluster.network.link_filter = lossy(fault.lost_percent);
    for round in 0..30 {
        for node in 0..60 {
            if (node + round + 1) % fault.paused_every == 0 {
                let until_us = cluster.network.now_us + fault.paused_ms * 1_000;
                cluster.network.pause(node, until_us);
            }
        }
        cluster.run_for(4 * SECOND_US);
    }
    let failed = cluster
        .network
        .counter_total(Counter::unlabelled("members_failed"));
    assert_eq!(failed, 0, "{}", cluster.summary());
    cluster.network.link_filter = deliver_all();
    assert!(
        cluster.converges_within(20 * SECOND_US),
        "{}",
        cluster.summary()
    );
}

cases! {
    check_no_running_member_is_marked_gone:
    no_running_member_is_marked_gone_without_a_fault => HarmlessFault::default(),
    no_running_member_is_marked_gone_at_five_percent_message_loss => HarmlessFault {
        lost_percent: 5,
        ..HarmlessFault::default()
    },
    no_running_member_is_marked_gone_at_twenty_percent_message_loss => HarmlessFault {
        lost_percent: 20,
        ..HarmlessFault::default()
    },
    no_running_member_is_marked_gone_while_a_tenth_is_paused_for_700_ms => HarmlessFault {
        paused_every: 10,
        paused_ms: 700,
        ..HarmlessFault::default()
    },
    no_running_member_is_marked_gone_while_a_tenth_is_paused_for_three_seconds => HarmlessFault {
        paused_every: 10,
        paused_ms: 3_000,
        ..HarmlessFault::default()
    },
    no_running_member_is_marked_gone_while_half_are_paused_for_two_seconds => HarmlessFault {
        paused_every: 2,
        paused_ms: 2_000,
        ..HarmlessFault::default()
    },
    no_running_member_is_marked_gone_during_pauses_and_message_loss => HarmlessFault {
        lost_percent: 5,
        paused_every: 10,
        paused_ms: 2_000,
    },
}

/// A member must not mark others as suspect because its own pause delayed their responses.
///
/// The pause is long enough for the others to mark it gone.
#[test]
fn a_member_returns_after_a_long_pause_and_suspects_no_member() {
    let mut cluster = MembershipCluster::converged(30, 3);
    let until_us = cluster.network.now_us + 60 * SECOND_US;
    cluster.network.pause(3, until_us);
    let is_gone = |cluster: &mut MembershipCluster| cluster.observed_state(0, 3).is_none();
    assert!(cluster.wait_until(20 * SECOND_US, is_gone));
    cluster.network.run_until(until_us);
    assert!(
        cluster.converges_within(20 * SECOND_US),
        "{}",
        cluster.summary()
    );
    let suspected = &cluster.network.nodes[3].counters;
    assert_eq!(
        suspected.get(&Counter::unlabelled("members_suspected")),
        None
    );
}

/// A network partition of one zone.
struct Partition {
    create_filter: fn(usize, usize) -> LinkFilter,
    duration_s: u64,
}

fn check_a_partition_heals(partition: Partition) {
    let mut cluster = MembershipCluster::converged(60, 4);
    cluster.network.link_filter = (partition.create_filter)(1, 4);
    cluster.run_for(partition.duration_s * SECOND_US);
    cluster.network.link_filter = deliver_all();
    assert!(
        cluster.converges_within(60 * SECOND_US),
        "{}",
        cluster.summary()
    );
}

cases! {
    check_a_partition_heals:
    a_partition_of_five_seconds_heals => Partition { create_filter: isolate_zone, duration_s: 5 },
    a_partition_of_a_minute_heals => Partition { create_filter: isolate_zone, duration_s: 60 },
    a_partition_of_fifty_minutes_heals => Partition {
        create_filter: isolate_zone, duration_s: 3_000,
    },
    a_one_way_partition_of_a_minute_heals => Partition {
        create_filter: block_zone_outbound, duration_s: 60,
    },
}

/// A platform fault while a member starts; a restarted node is killed and starts at its address.
struct JoinCase {
    fault: PlatformFault,
    has_snapshot: bool,
    restarted_node: Option<usize>,
}

fn check_a_member_joins_despite_a_platform_fault(case: JoinCase) {
    let mut cluster = MembershipCluster::converged(20, 4);
    cluster.run_for(120 * SECOND_US);
    if !case.has_snapshot {
        cluster.network.objects.remove(&"members".to_string());
    }
    cluster.network.platform_fault = case.fault;
    if let Some(old) = case.restarted_node {
        cluster.network.kill(old);
        cluster.add_at(address(old));
    } else {
        cluster.add();
    }
    assert!(
        cluster.converges_within(20 * SECOND_US),
        "{}",
        cluster.summary()
    );
    cluster.network.platform_fault = PlatformFault::None;
    let up = cluster.running_nodes().len();
    let has_rows = |cluster: &mut MembershipCluster| cluster.network.rows.len() >= up;
    assert!(cluster.wait_until(60 * SECOND_US, has_rows));
}

cases! {
    check_a_member_joins_despite_a_platform_fault:
    a_member_joins_while_the_table_is_down => JoinCase {
        fault: PlatformFault::TableDown,
        has_snapshot: true,
        restarted_node: None,
    },
    a_member_restarts_at_its_address_while_platform_responses_are_lost => JoinCase {
        fault: PlatformFault::ResponseLost,
        has_snapshot: true,
        restarted_node: Some(5),
    },
    a_member_restarts_at_its_address_while_the_platform_is_down => JoinCase {
        fault: PlatformFault::Down,
        has_snapshot: false,
        restarted_node: Some(5),
    },
    a_member_joins_while_the_platform_is_slow => JoinCase {
        fault: PlatformFault::Slow(1_500_000),
        has_snapshot: false,
        restarted_node: None,
    },
}

/// A member that starts while the table and the object store are down finds no contact.
///
/// It must retry until they are available again, and then join.
#[test]
fn an_isolated_member_joins_after_a_platform_outage() {
    let mut cluster = MembershipCluster::converged(20, 4);
    cluster.network.platform_fault = PlatformFault::Down;
    let new = cluster.add();
    cluster.run_for(300 * SECOND_US);
    assert_eq!(cluster.membership(new).len(), 1);
    cluster.network.platform_fault = PlatformFault::None;
    assert!(
        cluster.converges_within(60 * SECOND_US),
        "{}",
        cluster.summary()
    );
}

/// No earlier process at the address may stay in a roster or replace the last one.
#[test]
fn after_three_restarts_at_one_address_only_the_last_member_remains() {
    let mut cluster = MembershipCluster::converged(20, 4);
    let mut old = 3;
    for _ in 0..3 {
        cluster.network.kill(old);
        old = cluster.add_at(address(3));
        cluster.run_for(SECOND_US / 2);
    }
    assert!(
        cluster.converges_within(20 * SECOND_US),
        "{}",
        cluster.summary()
    );
}

/// Two groups that started during a partition have no members of each other in their rosters.
///
/// Gossip cannot join them; only the regular check of the table's rows can.
#[test]
fn separate_groups_discover_each_other_through_the_table() {
    let mut cluster = MembershipCluster::new(2);
    cluster.network.link_filter = isolate_zone(0, 2);
    for _ in 0..20 {
        cluster.add();
    }
    cluster.run_for(30 * SECOND_US);
    assert_eq!(cluster.membership(0).len(), 10);
    cluster.network.link_filter = deliver_all();
    assert!(
        cluster.converges_within(150 * SECOND_US),
        "{}",
        cluster.summary()
    );
}

/// The replacement of a fifth of the members must not cause bursts of membership messages.
#[test]
fn sent_bytes_stay_within_the_budget() {
    let mut cluster = MembershipCluster::new(4);
    cluster.settings.gossip_bytes_per_s = 600;
    cluster.settings.gossip_burst_bytes = 8_192;
    for _ in 0..100 {
        cluster.add();
    }
    cluster.run_for(5 * SECOND_US);
    for node in 0..20 {
        cluster.network.kill(node);
        cluster.add();
    }
    cluster.run_for(55 * SECOND_US);
    let max_bytes = 8_192 + 60 * 600;
    for node in &cluster.network.nodes {
        let sent_bytes = node.counters.get(&Counter::unlabelled("gossip_bytes"));
        assert!(*sent_bytes.unwrap() <= max_bytes, "{sent_bytes:?}");
    }
}

/// Many members that start at the same time must not cause a burst of table writes.
#[test]
fn rows_of_members_that_start_together_are_written_over_a_minute() {
    let mut cluster = MembershipCluster::converged(60, 4);
    cluster.run_for(60 * SECOND_US);
    assert_eq!(cluster.network.rows.len(), 60);
    let mut rows = cluster.network.rows.len();
    for _ in 0..120 {
        cluster.add();
    }
    for _ in 0..61 {
        cluster.run_for(SECOND_US);
        let written = cluster.network.rows.len() - rows;
        assert!(written <= 12, "{written} rows in one second");
        rows += written;
    }
    assert_eq!(rows, 180);
}
