//! Membership under faults, in virtual time.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;
#[path = "support/cluster.rs"]
mod cluster;
#[path = "support/network.rs"]
mod network;

use cluster::{Cluster, SECOND_US, address};
use dragonflylug::kernel::Notice;
use dragonflylug::membership::MemberState;
use dragonflylug::target::Announcement;

fn announcement() -> Announcement {
    Announcement {
        service: "availability".into(),
        address: "127.0.0.1:9000".parse().unwrap(),
        slots: 35,
        connections: 300,
        is_draining: false,
    }
}

fn check_all_find_each_other(count: usize) {
    let mut cluster = Cluster::started(count, 4);
    assert!(
        cluster.settles_within(10 * SECOND_US),
        "{}",
        cluster.summary()
    );
}

cases! {
    check_all_find_each_other:
    two_find_each_other => 2,
    ten_find_each_other => 10,
    a_hundred_find_each_other => 100,
}

#[test]
fn a_killed_member_is_gone_for_all() {
    let mut cluster = Cluster::settled(30, 4);
    cluster.network.kill(7);
    assert!(
        cluster.settles_within(20 * SECOND_US),
        "{}",
        cluster.summary()
    );
}

#[test]
fn a_stop_is_known_to_all_within_two_seconds() {
    let mut cluster = Cluster::settled(30, 4);
    cluster.network.notice(7, Notice::StopRequested);
    let all_know = |cluster: &mut Cluster| {
        (0..30).all(|node| cluster.state(node, 7) == Some(MemberState::Leaving))
    };
    assert!(
        cluster.runs_until(2 * SECOND_US, all_know),
        "{}",
        cluster.summary()
    );
    assert_eq!(cluster.network.rows.len(), 29);
}

#[test]
fn a_new_run_at_the_same_address_replaces_the_old_one() {
    let mut cluster = Cluster::settled(10, 2);
    cluster.network.kill(3);
    cluster.add_at(address(3));
    assert!(
        cluster.settles_within(10 * SECOND_US),
        "{}",
        cluster.summary()
    );
}

#[test]
fn the_announced_service_is_known_to_all() {
    let mut cluster = Cluster::settled(30, 4);
    let notice = Notice::TargetAnnounced(announcement());
    cluster.network.notice(4, notice);
    let all_know = |cluster: &mut Cluster| {
        (0..30).all(|node| {
            let member = cluster.membership(node).get(cluster::id(4)).cloned();
            member.is_some_and(|member| member.service == Some("availability".into()))
        })
    };
    assert!(cluster.runs_until(10 * SECOND_US, all_know));
}

#[test]
fn a_tenth_replaced_within_a_minute_is_known_to_all() {
    let mut cluster = Cluster::settled(100, 4);
    for node in 0..10 {
        cluster.network.notice(node, Notice::StopRequested);
        cluster.run_for(SECOND_US / 10);
        cluster.network.kill(node);
        cluster.add();
        cluster.run_for(6 * SECOND_US);
    }
    assert!(
        cluster.settles_within(30 * SECOND_US),
        "{}",
        cluster.summary()
    );
}

#[test]
fn a_member_starts_beside_the_rows_of_a_lost_zone() {
    let mut cluster = Cluster::settled(48, 4);
    for node in 0..48 {
        if cluster.zone(node) == 0 {
            cluster.network.kill(node);
        }
    }
    let new = cluster.add();
    assert_eq!(cluster.zone(new), 0);
    let finds_others = |cluster: &mut Cluster| cluster.membership(new).len() >= 37;
    assert!(
        cluster.runs_until(20 * SECOND_US, finds_others),
        "{}",
        cluster.summary()
    );
}

#[test]
fn rows_of_dead_members_are_deleted() {
    let mut cluster = Cluster::settled(30, 3);
    cluster.network.kill(4);
    cluster.network.kill(5);
    let are_deleted = |cluster: &mut Cluster| cluster.network.rows.len() == 28;
    assert!(cluster.runs_until(400 * SECOND_US, are_deleted));
    cluster.run_for(400 * SECOND_US);
    assert_eq!(cluster.network.rows.len(), 28);
}
