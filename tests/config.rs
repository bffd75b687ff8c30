//! Propagation of configuration changes: every accepted change becomes active at all daemons within
//! a time limit, under faults too, and no daemon goes back to an older version.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;
#[path = "support/config_cluster.rs"]
mod config_cluster;
#[path = "support/network.rs"]
mod network;

use config_cluster::{
    ConfigCluster, PEER_VERSION_REPORTER, PeerVersionReporter, deliver, record, stored_change,
    submission,
};
use dragonflylug::config::{Change, Config, ConfigSettings, Message, SubmitOutcome};
use dragonflylug::kernel::{Event, StateChange};
use network::PlatformFault;

const SECOND_US: u64 = 1_000_000;

/// The time within which a change must be active at all daemons, at the system's current size.
const PROPAGATION_MAX_US: u64 = 2 * SECOND_US;

/// The number of daemons in a case, spread over four availability zones.
const DAEMONS: usize = 12;

/// Submits one change and checks that all daemons activate it in time.
fn check_change_reaches_all(daemons: usize) {
    let mut cluster = ConfigCluster::new(daemons);
    cluster.run(SECOND_US);
    cluster.submit_one(0, "c1", 0, 3);
    let all = cluster.run_until_all_have(1, PROPAGATION_MAX_US);
    assert!(all, "versions {:?}", cluster.versions());
    cluster.run(100_000);
    assert_eq!(cluster.outcomes(0), [accepted(1)]);
    for node in 0..daemons {
        assert_eq!(cluster.retries(node, "payouts"), Some(3));
    }
}

cases! { check_change_reaches_all:
    a_change_is_active_at_one_daemon => 1,
    a_change_is_active_at_three_daemons => 3,
    a_change_is_active_at_twelve_daemons => 12,
    a_change_is_active_at_a_hundred_daemons => 100,
}

// If the submitter of a change pauses right after the write, the daemons that poll the table must
// find the change and propagate it.
#[test]
fn the_first_change_propagates_from_the_daemons_that_poll_the_table() {
    let mut cluster = ConfigCluster::new(300);
    cluster.run(SECOND_US);
    cluster.submit_one(0, "c1", 0, 3);
    let is_written = cluster
        .network
        .run_while(u64::MAX, |network| network.table_writes == 0);
    assert!(is_written);
    let until_us = cluster.network.now_us + 10 * SECOND_US;
    cluster.network.pause(0, until_us);
    let all = cluster.run_until_all_have(1, PROPAGATION_MAX_US);
    assert!(all, "versions {:?}", cluster.versions());
}

fn accepted(version: u64) -> SubmitOutcome {
    SubmitOutcome::Accepted { version }
}

fn conflict(version: u64) -> SubmitOutcome {
    SubmitOutcome::Conflict { version }
}

/// Runs a function that injects a fault and returns the version that all running daemons must reach
/// in time and keep afterwards.
fn check_change_reaches_all_despite(fault: fn(&mut ConfigCluster) -> u64) {
    let mut cluster = ConfigCluster::new(DAEMONS);
    cluster.run(SECOND_US);
    cluster.submit_one(0, "base", 0, 1);
    cluster.run(PROPAGATION_MAX_US);
    assert_eq!(cluster.versions(), [1; DAEMONS]);
    let version = fault(&mut cluster);
    let all = cluster.run_until_all_have(version, PROPAGATION_MAX_US);
    assert!(all, "versions {:?}", cluster.versions());
    cluster.run(5 * SECOND_US);
    for (node, node_version) in cluster.versions().into_iter().enumerate() {
        assert!(!cluster.network.nodes[node].is_up || node_version == version);
    }
}

cases! { check_change_reaches_all_despite:
    operators_submit_concurrently_at_every_daemon => |cluster| {
        for node in 0..DAEMONS {
            cluster.submit_one(node, &format!("c{node}"), 1, 2);
        }
        cluster.run(PROPAGATION_MAX_US);
        let mut accepts = 0;
        for node in 1..DAEMONS {
            let [outcome] = &cluster.outcomes(node)[..] else { panic!("no single outcome") };
            accepts += usize::from(*outcome == accepted(2));
            assert!([accepted(2), conflict(2)].contains(outcome), "{outcome:?}");
        }
        accepts += usize::from(cluster.outcomes(0)[1] == accepted(2));
        assert_eq!(accepts, 1);
        2
    },
    the_table_responses_to_a_submission_are_lost => |cluster| {
        cluster.network.platform_fault = PlatformFault::ResponseLost;
        cluster.submit_one(3, "c2", 1, 2);
        cluster.run(1_050_000);
        cluster.network.platform_fault = PlatformFault::None;
        cluster.run(4 * SECOND_US);
        assert_eq!(cluster.outcomes(3), [accepted(2)]);
        2
    },
    only_the_table_response_to_the_write_is_lost => |cluster| {
        cluster.submit_one(3, "c2", 1, 2);
        cluster.network.platform_fault = PlatformFault::ResponseLost;
        cluster.run(SECOND_US);
        assert_eq!(cluster.outcomes(3), []);
        cluster.network.platform_fault = PlatformFault::None;
        cluster.run(SECOND_US);
        assert_eq!(cluster.outcomes(3), [accepted(2)]);
        2
    },
    all_table_responses_are_lost_until_the_submission_fails => |cluster| {
        cluster.submit_one(3, "c2", 1, 2);
        cluster.network.platform_fault = PlatformFault::ResponseLost;
        cluster.run(30 * SECOND_US);
        assert_eq!(cluster.outcomes(3), [SubmitOutcome::Unknown]);
        cluster.network.platform_fault = PlatformFault::None;
        cluster.submit_one(7, "c2", 1, 2);
        cluster.run(SECOND_US);
        assert_eq!(cluster.outcomes(7), [accepted(2)]);
        2
    },
    the_same_change_is_resubmitted_after_others => |cluster| {
        cluster.submit_one(3, "c2", 1, 2);
        cluster.run(SECOND_US);
        cluster.submit_one(4, "c3", 2, 3);
        cluster.run(SECOND_US);
        cluster.submit_one(5, "c2", 1, 2);
        cluster.run(SECOND_US);
        assert_eq!(cluster.outcomes(5), [accepted(2)]);
        assert_eq!(cluster.retries(5, "payouts"), Some(3));
        3
    },
    the_platform_goes_down_once_one_daemon_has_the_change => |cluster| {
        cluster.network.link_filter = Box::new(|from, to| from != 3 && to != 3);
        for node in (0..DAEMONS).filter(|node| *node != 3) {
            cluster.network.pause(node, cluster.network.now_us + SECOND_US);
        }
        cluster.submit_one(3, "c2", 1, 2);
        cluster.run(100_000);
        assert_eq!(cluster.outcomes(3), [accepted(2)]);
        cluster.network.platform_fault = PlatformFault::Down;
        cluster.run(5 * SECOND_US);
        assert_eq!(cluster.version(4), 1);
        cluster.network.link_filter = Box::new(|_, _| true);
        2
    },
    the_platform_stays_slow => |cluster| {
        cluster.network.platform_fault = PlatformFault::Slow(900_000);
        cluster.submit_one(3, "c2", 1, 2);
        cluster.run(1_850_000);
        assert_eq!(cluster.outcomes(3), [accepted(2)]);
        2
    },
    the_daemon_crashes_before_it_receives_the_response_to_its_write => |cluster| {
        cluster.submit_one(3, "c2", 1, 2);
        let writes = cluster.network.table_writes;
        let done = cluster.network.run_while(u64::MAX, |net| net.table_writes == writes);
        assert!(done);
        cluster.network.kill(3);
        2
    },
    availability_zones_are_partitioned => |cluster| {
        cluster.network.link_filter = Box::new(|from, to| from % 4 == to % 4);
        cluster.submit_one(3, "c2", 1, 2);
        2
    },
    all_but_one_daemon_are_replaced_while_the_platform_is_down => |cluster| {
        cluster.network.platform_fault = PlatformFault::Down;
        for node in 1..DAEMONS {
            cluster.kill(node);
            cluster.add();
        }
        1
    },
    all_daemons_are_replaced_at_once => |cluster| {
        for node in 0..DAEMONS {
            cluster.kill(node);
        }
        for _ in 0..DAEMONS {
            cluster.add();
        }
        1
    },
    a_daemon_starts_during_the_outage_after_a_change => |cluster| {
        cluster.submit_one(3, "c2", 1, 2);
        cluster.run(PROPAGATION_MAX_US);
        cluster.network.platform_fault = PlatformFault::Down;
        let new = cluster.add();
        assert!(cluster.config(new).is_behind());
        2
    },
    a_daemon_is_paused_over_a_change => |cluster| {
        cluster.network.pause(5, cluster.network.now_us + 10 * SECOND_US);
        cluster.submit_one(3, "c2", 1, 2);
        cluster.run(9 * SECOND_US);
        assert_eq!(cluster.version(5), 1);
        cluster.run(SECOND_US);
        2
    },
    a_delayed_peer_message_carries_an_older_version => |cluster| {
        let old = cluster.config(5).view();
        cluster.submit_one(3, "c2", 1, 2);
        cluster.run(PROPAGATION_MAX_US);
        deliver(cluster, 6, Message::Version(old.version));
        deliver(cluster, 6, Message::Push(vec![change(1, 99)]));
        assert_eq!(cluster.retries(6, "payouts"), Some(2));
        2
    },
    // A late response of the table must not replace a newer version from peers.
    a_slow_stale_read_completes_after_peers_pushed_a_newer_version => |cluster| {
        let stale = cluster.network.rows.clone();
        cluster.submit_one(3, "c2", 1, 2);
        cluster.run(PROPAGATION_MAX_US);
        let fresh = cluster.network.rows.clone();
        cluster.network.stale_rows = Some(stale);
        cluster.network.platform_fault = PlatformFault::Slow(400_000);
        let new = cluster.add();
        cluster.network.link_filter = Box::new(move |from, to| from != new && to != new);
        cluster.run(500_000);
        cluster.network.link_filter = Box::new(|_, _| true);
        deliver(cluster, new, Message::Push(vec![stored_change(&fresh, 1).unwrap(), stored_change(&fresh, 2).unwrap()]));
        assert_eq!(cluster.version(new), 2);
        cluster.run(3 * SECOND_US);
        cluster.network.platform_fault = PlatformFault::None;
        cluster.network.stale_rows = None;
        2
    },
    // Old records must not be activated under a new version; their digest does not match.
    a_read_mixes_a_new_version_with_old_records => |cluster| {
        let mut mixed = cluster.network.rows.clone();
        cluster.submit_one(3, "c2", 1, 2);
        cluster.run(PROPAGATION_MAX_US);
        let version = cluster.network.rows.get(&"config/version".to_string()).unwrap();
        mixed.insert("config/version".into(), version.clone());
        cluster.network.stale_rows = Some(mixed);
        let new = cluster.add();
        cluster.network.link_filter = Box::new(move |from, to| from != new && to != new);
        cluster.run(SECOND_US);
        assert_eq!(cluster.version(new), 0);
        cluster.network.link_filter = Box::new(|_, _| true);
        cluster.network.stale_rows = None;
        2
    },
    reads_are_stale_for_a_while => |cluster| {
        let stale = cluster.network.rows.clone();
        cluster.submit_one(3, "c2", 1, 2);
        cluster.run(PROPAGATION_MAX_US);
        cluster.network.stale_rows = Some(stale);
        cluster.add();
        cluster.run(3 * SECOND_US);
        cluster.network.stale_rows = None;
        2
    },
}

/// Returns a change that was never accepted.
fn change(version: u64, digest: u64) -> Change {
    Change {
        version,
        digest,
        changed: Vec::new(),
        removed: vec!["payouts".into()],
    }
}

#[test]
fn a_change_id_of_another_change_is_rejected() {
    let mut cluster = ConfigCluster::new(2);
    cluster.submit_one(0, "c1", 0, 1);
    cluster.run(SECOND_US);
    cluster.submit_one(1, "c1", 1, 2);
    cluster.run(SECOND_US);
    let [SubmitOutcome::Invalid { field, problem }] = &cluster.outcomes(1)[..] else {
        panic!("{:?}", cluster.outcomes(1));
    };
    assert_eq!(field, "change_id");
    assert_eq!(
        problem,
        "is the identifier of another change, accepted as version 1"
    );
    assert_eq!(cluster.versions(), [1, 1]);
}

#[test]
fn a_submission_while_the_platform_is_down_is_not_accepted() {
    let mut cluster = ConfigCluster::new(2);
    cluster.run(SECOND_US);
    cluster.network.platform_fault = PlatformFault::Down;
    cluster.submit_one(0, "c1", 0, 1);
    cluster.run(10 * SECOND_US);
    assert_eq!(cluster.outcomes(0), [SubmitOutcome::Unavailable]);
    cluster.network.platform_fault = PlatformFault::None;
    cluster.run(10 * SECOND_US);
    assert_eq!(cluster.versions(), [0, 0]);
}

#[test]
fn a_version_on_a_call_is_fetched_from_the_caller_at_once() {
    let mut cluster = ConfigCluster::new(2);
    cluster.run(SECOND_US);
    cluster.network.link_filter = Box::new(|_, _| false);
    cluster.submit_one(0, "c1", 0, 3);
    cluster.run(10_000);
    cluster.network.platform_fault = PlatformFault::Down;
    cluster.network.link_filter = Box::new(|_, _| true);
    assert_eq!(cluster.versions(), [1, 0]);
    let (version, from) = (1, cluster.members[0].address);
    let kernel = &mut cluster.network.nodes[1].kernel;
    kernel.register(Box::new(PeerVersionReporter { version, from }));
    cluster
        .network
        .deliver_event(1, PEER_VERSION_REPORTER, Event::Started);
    assert!(cluster.config(1).is_behind());
    cluster.run(5_000);
    assert_eq!(cluster.versions(), [1, 1]);
    assert!(!cluster.config(1).is_behind());
}

// A daemon waits at most `behind_max_ms` (1 s) for an announced version that no daemon has, so that
// calls are not deferred for longer.
#[test]
fn a_daemon_is_behind_a_missing_version_no_longer_than_behind_max_ms() {
    let mut cluster = ConfigCluster::new(3);
    cluster.submit_one(0, "c1", 0, 3);
    cluster.run(PROPAGATION_MAX_US);
    deliver(&mut cluster, 1, Message::Version(9));
    cluster.run(900_000);
    assert!(cluster.config(1).is_behind());
    cluster.run(100_000);
    assert!(!cluster.config(1).is_behind());
    assert_eq!(cluster.retries(1, "payouts"), Some(3));
}

// A daemon could not observe newer versions during a pause, so calls must not use its configuration
// right after it.
#[test]
fn a_resumed_daemon_is_behind_until_a_peer_responds() {
    let mut cluster = ConfigCluster::new(3);
    cluster.submit_one(0, "c1", 0, 3);
    cluster.run(PROPAGATION_MAX_US);
    let until_us = cluster.network.now_us + 10 * SECOND_US;
    cluster.network.pause(1, until_us);
    cluster.network.link_filter = Box::new(|from, to| from != 1 && to != 1);
    cluster.submit_one(0, "c2", 1, 4);
    cluster.run(10 * SECOND_US - 1);
    cluster.network.link_filter = Box::new(|_, _| true);
    cluster.run(1);
    assert!(cluster.config(1).is_behind());
    assert_eq!(cluster.version(1), 1);
    cluster.run(10_000);
    assert!(!cluster.config(1).is_behind());
    assert_eq!(cluster.version(1), 2);
}

/// Returns settings under which only a few changes are kept, so that a late daemon needs a
/// snapshot.
fn settings_with_little_history() -> ConfigSettings {
    ConfigSettings {
        changes_kept: 16,
        recent_bytes_max: 1_024,
        message_bytes_max: 1_024,
        ..ConfigSettings::default()
    }
}

/// Checks that a daemon which missed many changes, including removals, ends with the same records
/// as others.
fn check_late_daemon_catches_up(prepare: fn(&mut ConfigCluster)) {
    let mut cluster = ConfigCluster::with_settings(4, settings_with_little_history());
    cluster.run(SECOND_US);
    let mut version = 0;
    for index in 0..60 {
        let id = format!("c{index}");
        let service = format!("service-{:02}", index % 40);
        let mut submission = submission(&id, version, vec![record(&service, index % 10)]);
        if index % 7 == 6 {
            submission.removed = vec![format!("service-{:02}", (index - 3) % 40).as_str().into()];
        }
        cluster.submit(0, submission);
        cluster.run(100_000);
        version += 1;
    }
    assert_eq!(cluster.outcomes(0).len(), 60);
    prepare(&mut cluster);
    let late = cluster.add();
    cluster.submit(0, submission("last", version, vec![record("payouts", 1)]));
    let all = cluster.run_until_all_have(version, PROPAGATION_MAX_US);
    assert!(all, "versions {:?}", cluster.versions());
    assert!(cluster.version(late) >= version);
    cluster.run(SECOND_US);
    assert_eq!(cluster.view(late), cluster.view(1));
}

cases! { check_late_daemon_catches_up:
    a_daemon_far_behind_fetches_a_snapshot_from_the_table => |cluster| {
        cluster.network.link_filter = Box::new(|from, to| from != 4 && to != 4);
    },
    a_daemon_far_behind_fetches_a_snapshot_from_a_peer => |cluster| {
        cluster.network.platform_fault = PlatformFault::Down;
    },
}

#[test]
fn the_table_keeps_no_more_changes_than_the_setting() {
    let mut cluster = ConfigCluster::with_settings(1, settings_with_little_history());
    for index in 0..40 {
        cluster.submit_one(0, &format!("c{index}"), index, 1);
        cluster.run(100_000);
    }
    assert_eq!(cluster.version(0), 40);
    let keys: Vec<&String> = cluster.network.rows.keys().collect();
    let count = |prefix| keys.iter().filter(|key| key.starts_with(prefix)).count();
    assert_eq!(count("config/change/"), 16);
    assert_eq!(count("config/change-id/"), 16);
    assert_eq!(keys.len(), 16 + 16 + 2);
}

#[test]
fn a_change_with_a_wrong_digest_is_rejected_and_replaced_by_a_snapshot() {
    let mut cluster = ConfigCluster::new(3);
    cluster.submit_one(0, "c1", 0, 3);
    cluster.run(PROPAGATION_MAX_US);
    deliver(&mut cluster, 1, Message::Push(vec![change(2, 99)]));
    assert_eq!(cluster.version(1), 1);
    assert_eq!(cluster.counter(1, "config_digest_mismatches"), 1);
    cluster.submit_one(0, "c2", 1, 4);
    assert!(cluster.run_until_all_have(2, PROPAGATION_MAX_US));
    assert_eq!(cluster.retries(1, "payouts"), Some(4));
}

/// Returns the settings of a daemon that reads only the older schema.
fn older_schema_settings() -> ConfigSettings {
    ConfigSettings {
        schema_version_max: 1,
        ..ConfigSettings::default()
    }
}

#[test]
fn records_are_also_written_in_the_older_schema_while_a_daemon_reads_only_that() {
    let mut cluster = ConfigCluster::new(3);
    let old = cluster.add_with(older_schema_settings());
    cluster.run(SECOND_US);
    let mut hedged = record("payouts", 3);
    hedged.kinds[0].policy.hedge_after_ms = 50;
    cluster.submit(0, submission("c1", 0, vec![hedged.clone()]));
    assert!(cluster.run_until_all_have(1, PROPAGATION_MAX_US));
    assert_eq!(cluster.retries(old, "payouts"), Some(3));
    assert_eq!(cluster.view(old).records[0].schema_version, 1);
    assert_eq!(cluster.view(1).records[0], hedged);
    assert_eq!(cluster.config(old).unreadable_records(), []);
}

#[test]
fn a_daemon_that_cannot_read_a_record_keeps_the_previous_one_and_reports_it() {
    let mut cluster = ConfigCluster::new(3);
    let old = cluster.add_with(older_schema_settings());
    cluster.run(SECOND_US);
    let both = vec![record("payouts", 3), record("balances", 3)];
    cluster.submit(0, submission("c1", 0, both));
    assert!(cluster.run_until_all_have(1, PROPAGATION_MAX_US));
    // The other daemons consider it gone, so that records are no longer written in its schema.
    let id = cluster.members[old].id;
    for node in 0..3 {
        let gone = dragonflylug::kernel::Notice::MemberGone(id);
        cluster.network.deliver_notice(node, gone);
    }
    cluster.submit_one(0, "c2", 1, 5);
    cluster.run(PROPAGATION_MAX_US);
    assert_eq!(cluster.versions(), [2; 4]);
    assert_eq!(cluster.retries(old, "payouts"), Some(3));
    assert_eq!(cluster.retries(1, "payouts"), Some(5));
    let unreadable = cluster.config(old).unreadable_records();
    assert_eq!(unreadable.len(), 1);
    assert_eq!(unreadable[0].service.as_str(), "payouts");
    assert_eq!(unreadable[0].changed_in_version, 2);
    assert_eq!(cluster.counter(old, "config_unreadable_records"), 1);
    let detail = "payouts: schema_version: the record has no form in schema 1 or older, which this daemon needs";
    let line = StateChange::new("config", "record cannot be read", detail);
    assert!(cluster.network.nodes[old].log.contains(&line));
    cluster.submit_one(1, "c3", 2, 6);
    cluster.run(PROPAGATION_MAX_US);
    assert_eq!(cluster.config(old).unreadable_records().len(), 1);
    assert_eq!(cluster.version(old), 3);
}

#[test]
fn a_daemon_of_the_older_schema_rejects_a_newer_record() {
    let mut cluster = ConfigCluster::new(1);
    let old = cluster.add_with(older_schema_settings());
    cluster.submit_one(old, "c1", 0, 3);
    let [SubmitOutcome::Invalid { field, .. }] = &cluster.outcomes(old)[..] else {
        panic!("{:?}", cluster.outcomes(old));
    };
    assert_eq!(field, "records[0].schema_version");
}

// The load on the table must not grow with the number of daemons.
#[test]
fn only_the_first_daemons_of_each_zone_in_ring_order_poll() {
    let mut cluster = ConfigCluster::new(40);
    cluster.run(SECOND_US);
    let before = cluster.network.table_reads;
    cluster.run(10 * SECOND_US);
    let polls = cluster.network.table_reads - before;
    let pollers = 4 * 2;
    assert_eq!(polls, pollers * 10 * 2);
    let config: &mut Config = cluster.config(0);
    assert_eq!(config.version(), 0);
}

// Many daemons that start together must not use up the read capacity of the table: each may read
// the version there, but fetches the records from peers.
#[test]
fn daemons_that_start_together_fetch_the_records_from_peers() {
    let mut cluster = ConfigCluster::new(DAEMONS);
    cluster.run(SECOND_US);
    for version in 0..5 {
        let mut records = Vec::new();
        for index in 0..100 {
            records.push(record(&format!("service-{version}-{index}"), 3));
        }
        cluster.submit(0, submission(&format!("c{version}"), version, records));
        cluster.run(SECOND_US);
    }
    assert!(cluster.run_until_all_have(5, PROPAGATION_MAX_US));
    let before = cluster.network.table_reads;
    let started = 40;
    for _ in 0..started {
        cluster.add();
    }
    assert!(cluster.run_until_all_have(5, PROPAGATION_MAX_US));
    let reads = cluster.network.table_reads - before;
    assert!(reads <= started + 2 * 8 * 2, "{reads}");
}

// Announcements and comparisons of versions must not exceed `bytes_per_s_max`.
#[test]
fn unsolicited_messages_stay_within_the_byte_rate() {
    let settings = ConfigSettings {
        bytes_per_s_max: 100,
        exchange_period_ms: 50,
        ..ConfigSettings::default()
    };
    let mut cluster = ConfigCluster::with_settings(2, settings);
    cluster.run(60 * SECOND_US);
    let message_bytes = Message::Version(0).wire_bytes_estimate() as u64;
    let bytes_max = 100 * (60 + 20) + message_bytes;
    for node in 0..2 {
        let bytes = cluster.counter(node, "config_bytes_sent");
        assert!(bytes <= 2 * bytes_max, "{bytes} {bytes_max}");
    }
    cluster.submit_one(0, "c1", 0, 3);
    assert!(cluster.run_until_all_have(1, PROPAGATION_MAX_US));
}
