//! Membership under faults, in virtual time.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;
#[path = "support/cluster.rs"]
mod cluster;
#[path = "support/network.rs"]
mod network;

use cluster::{Cluster, Passes, SECOND_US, address, cut_zone, lossy, mute_zone, whole};
use dragonflylug::kernel::Notice;
use dragonflylug::membership::MemberState;
use dragonflylug::metrics::Counter;
use dragonflylug::target::Announcement;
use network::PlatformFault;

fn announcement() -> Announcement {
    Announcement {
        service: "availability".into(),
        address: "127.0.0.1:9000".parse().unwrap(),
        slots: 35,
        connections: 300,
        is_draining: false,
        instance: None,
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
    cluster.run_for(60 * SECOND_US);
    assert_eq!(cluster.network.rows.len(), 30);
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

/// A fault under which no member may be taken for gone.
struct Harmless {
    lost_percent: u64,
    paused_every: usize,
    paused_ms: u64,
}

impl Default for Harmless {
    fn default() -> Self {
        Self {
            lost_percent: 0,
            paused_every: usize::MAX,
            paused_ms: 0,
        }
    }
}

fn check_no_member_fails(fault: Harmless) {
    let mut cluster = Cluster::settled(60, 4);
    cluster.network.passes = lossy(fault.lost_percent);
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
        .counted(Counter::unlabelled("members_failed"));
    assert_eq!(failed, 0, "{}", cluster.summary());
    cluster.network.passes = whole();
    assert!(
        cluster.settles_within(20 * SECOND_US),
        "{}",
        cluster.summary()
    );
}

cases! {
    check_no_member_fails:
    none_fails_without_a_fault => Harmless::default(),
    none_fails_while_a_twentieth_of_messages_is_lost => Harmless {
        lost_percent: 5,
        ..Harmless::default()
    },
    none_fails_while_a_fifth_of_messages_is_lost => Harmless {
        lost_percent: 20,
        ..Harmless::default()
    },
    none_fails_while_a_tenth_is_busy => Harmless {
        paused_every: 10,
        paused_ms: 700,
        ..Harmless::default()
    },
    none_fails_while_a_tenth_is_paused_for_three_seconds => Harmless {
        paused_every: 10,
        paused_ms: 3_000,
        ..Harmless::default()
    },
    none_fails_while_half_are_paused_for_two_seconds => Harmless {
        paused_every: 2,
        paused_ms: 2_000,
        ..Harmless::default()
    },
    none_fails_while_paused_and_messages_are_lost => Harmless {
        lost_percent: 5,
        paused_every: 10,
        paused_ms: 2_000,
    },
}

#[test]
fn a_member_that_was_paused_for_long_comes_back_and_suspects_none() {
    let mut cluster = Cluster::settled(30, 3);
    let until_us = cluster.network.now_us + 60 * SECOND_US;
    cluster.network.pause(3, until_us);
    let is_gone = |cluster: &mut Cluster| cluster.state(0, 3).is_none();
    assert!(cluster.runs_until(20 * SECOND_US, is_gone));
    cluster.network.run_until(until_us);
    assert!(
        cluster.settles_within(20 * SECOND_US),
        "{}",
        cluster.summary()
    );
    let suspected = &cluster.network.nodes[3].counters;
    assert_eq!(
        suspected.get(&Counter::unlabelled("members_suspected")),
        None
    );
}

/// A cut of one zone for some time.
struct Cut {
    passes: fn(usize, usize) -> Passes,
    lasts_s: u64,
}

fn check_a_cut_heals(cut: Cut) {
    let mut cluster = Cluster::settled(60, 4);
    cluster.network.passes = (cut.passes)(1, 4);
    cluster.run_for(cut.lasts_s * SECOND_US);
    cluster.network.passes = whole();
    assert!(
        cluster.settles_within(60 * SECOND_US),
        "{}",
        cluster.summary()
    );
}

cases! {
    check_a_cut_heals:
    a_cut_of_five_seconds_heals => Cut { passes: cut_zone, lasts_s: 5 },
    a_cut_of_a_minute_heals => Cut { passes: cut_zone, lasts_s: 60 },
    a_cut_of_fifty_minutes_heals => Cut { passes: cut_zone, lasts_s: 3_000 },
    a_zone_that_is_not_heard_for_a_minute_heals => Cut { passes: mute_zone, lasts_s: 60 },
}

/// A platform fault while a member starts.
struct Outage {
    fault: PlatformFault,
    has_snapshot: bool,
    starts_at: Option<usize>,
}

fn check_a_member_starts_in_an_outage(outage: Outage) {
    let mut cluster = Cluster::settled(20, 4);
    cluster.run_for(120 * SECOND_US);
    if !outage.has_snapshot {
        cluster.network.objects.remove(&"members".to_string());
    }
    cluster.network.platform_fault = outage.fault;
    if let Some(old) = outage.starts_at {
        cluster.network.kill(old);
        cluster.add_at(address(old));
    } else {
        cluster.add();
    }
    assert!(
        cluster.settles_within(20 * SECOND_US),
        "{}",
        cluster.summary()
    );
    cluster.network.platform_fault = PlatformFault::None;
    let up = cluster.up().len();
    let has_rows = |cluster: &mut Cluster| cluster.network.rows.len() >= up;
    assert!(cluster.runs_until(60 * SECOND_US, has_rows));
}

cases! {
    check_a_member_starts_in_an_outage:
    a_member_starts_while_the_table_is_down => Outage {
        fault: PlatformFault::TableDown,
        has_snapshot: true,
        starts_at: None,
    },
    a_member_starts_while_answers_are_lost_at_an_address_known_to_others => Outage {
        fault: PlatformFault::AnswerLost,
        has_snapshot: true,
        starts_at: Some(5),
    },
    a_member_starts_while_the_platform_is_down_at_an_address_known_to_others => Outage {
        fault: PlatformFault::Down,
        has_snapshot: false,
        starts_at: Some(5),
    },
    a_member_starts_while_the_table_is_slow => Outage {
        fault: PlatformFault::Slow(1_500_000),
        has_snapshot: false,
        starts_at: None,
    },
}

#[test]
fn a_member_alone_in_an_outage_of_the_whole_platform_joins_after_it() {
    let mut cluster = Cluster::settled(20, 4);
    cluster.network.platform_fault = PlatformFault::Down;
    let new = cluster.add();
    cluster.run_for(300 * SECOND_US);
    assert_eq!(cluster.membership(new).len(), 1);
    cluster.network.platform_fault = PlatformFault::None;
    assert!(
        cluster.settles_within(60 * SECOND_US),
        "{}",
        cluster.summary()
    );
}

#[test]
fn three_runs_at_one_address_in_turn_leave_the_last() {
    let mut cluster = Cluster::settled(20, 4);
    let mut old = 3;
    for _ in 0..3 {
        cluster.network.kill(old);
        old = cluster.add_at(address(3));
        cluster.run_for(SECOND_US / 2);
    }
    assert!(
        cluster.settles_within(20 * SECOND_US),
        "{}",
        cluster.summary()
    );
}

#[test]
fn two_groups_that_never_met_find_each_other_by_the_rows() {
    let mut cluster = Cluster::new(2);
    cluster.network.passes = cut_zone(0, 2);
    for _ in 0..20 {
        cluster.add();
    }
    cluster.run_for(30 * SECOND_US);
    assert_eq!(cluster.membership(0).len(), 10);
    cluster.network.passes = whole();
    assert!(
        cluster.settles_within(150 * SECOND_US),
        "{}",
        cluster.summary()
    );
}

#[test]
fn what_a_member_sends_stays_within_its_budget() {
    let mut cluster = Cluster::new(4);
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
    let most_bytes = 8_192 + 60 * 600;
    for node in &cluster.network.nodes {
        let sent_bytes = node.counters.get(&Counter::unlabelled("gossip_bytes"));
        assert!(*sent_bytes.unwrap() <= most_bytes, "{sent_bytes:?}");
    }
}

#[test]
fn rows_of_members_that_start_together_are_written_over_a_minute() {
    let mut cluster = Cluster::settled(60, 4);
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
