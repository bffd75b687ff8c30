//! Measures how the propagation of configuration changes scales with the number of daemons and the
//! rate of changes, in virtual time. Before that, prints what a peer set of 17,000 members costs,
//! how long a daemon takes to start with three numbers of records, and what these records cost. The
//! costs are in wall-clock time and resident memory.
//!
//! `cargo run --release --example config_scale -- 3 12 30 100 300 1000`
//!
//! Above 1,000 daemons, each one knows only a sample of the others and none polls the table: full
//! peer sets of that many daemons do not fit in the memory of one machine.

#[allow(missing_docs)]
#[path = "../tests/support/config_cluster.rs"]
mod config_cluster;
#[allow(missing_docs)]
#[path = "../tests/support/network.rs"]
mod network;

use std::cell::Cell;
use std::time::Instant;

use config_cluster::{ConfigCluster, deliver, record, stored_change, submission};
use dragonflylug::config::{ConfigSettings, Message, RequestKind, ServiceRecord, ring_position};
use dragonflylug::ids::AvailabilityZone;
use dragonflylug::kernel::Notice;
use dragonflylug::sorted::SortedMap;

const SECOND_US: u64 = 1_000_000;

/// The number of changes in one measurement.
const CHANGES: u64 = 40;

/// The delay of a network link between distant regions.
const LONG_LINK_DELAY_US: u64 = 50_000;

/// The maximum number of daemons at which each one knows all others.
const FULL_MEMBERSHIP_MAX: usize = 1_000;

/// The number of random daemons that each one knows above [`FULL_MEMBERSHIP_MAX`].
const SAMPLED_PEERS: usize = 150;

/// The number of daemons of its availability zone that each daemon knows above
/// [`FULL_MEMBERSHIP_MAX`], namely those that follow it in the order of [`ring_position`].
const SUCCESSORS: usize = 2;

/// The number of changes measured above [`FULL_MEMBERSHIP_MAX`].
const CHANGES_WITH_SAMPLED_PEERS: u64 = 5;

/// The step of virtual time between two checks, and so the resolution of the measured times, above
/// [`FULL_MEMBERSHIP_MAX`].
const SAMPLED_RUN_STEP_US: u64 = 10_000;

/// The number of daemons that are started together, over which memory and start time are averaged.
const STARTED_DAEMONS: usize = 64;

/// The bytes of a page of memory.
const PAGE_BYTES: usize = 4_096;

/// How long a daemon is paused.
const PAUSE_US: u64 = 10 * SECOND_US;

/// The number of kinds of request in a record.
const KINDS_PER_RECORD: usize = 4;

/// The limit on the propagation time of a change, beyond which the program panics.
const PROPAGATION_LIMIT_US: u64 = 30 * SECOND_US;

/// The conditions of a measurement; by default without faults.
#[derive(Clone, Copy, Default)]
struct Conditions {
    /// The daemon at which a change is submitted is paused before it announces the change.
    submitter_pauses: bool,
    /// The mean number of messages for each lost message; 0 if none is lost.
    lost_one_in: u64,
    /// Every daemon polls the table.
    all_poll: bool,
    /// Links have the delay of distant regions.
    links_are_long: bool,
}

/// The results of a measurement. The times are those until a change is active on all daemons that
/// are up and not paused, over the changes; the rates of reads are totals, those of bytes and
/// messages are per daemon.
struct Measured {
    median_ms: f64,
    max_ms: f64,
    reads_per_s: f64,
    bytes_per_s: f64,
    messages_per_s: f64,
}

fn main() {
    print_peer_set_cost(17_000);
    for records in [1_100, 300, 100] {
        print_start(records);
    }
    let mut sizes = Vec::new();
    for size in std::env::args().skip(1) {
        sizes.extend(size.parse::<usize>());
    }
    println!(
        "| case | daemons | changes/s | median ms | max ms | total reads/s | B/s per daemon | \
         messages/s per daemon |"
    );
    println!("| --- |{}", " ---: |".repeat(7));
    for size in &sizes {
        if *size > FULL_MEMBERSHIP_MAX {
            print_sampled_row(*size);
            continue;
        }
        let quiet = Conditions::default();
        print_row("typical rate", *size, 0.38, quiet);
        print_row("many changes", *size, 10.0, quiet);
        let lost_one_in = 20;
        let lossy = Conditions {
            lost_one_in,
            ..quiet
        };
        print_row("1 message in 20 lost", *size, 0.38, lossy);
        let submitter_pauses = true;
        let paused = Conditions {
            submitter_pauses,
            ..quiet
        };
        print_row("submitter paused", *size, 0.38, paused);
        let links_are_long = true;
        let far = Conditions {
            links_are_long,
            ..quiet
        };
        print_row("links of 50 ms", *size, 0.38, far);
        let all_poll = true;
        print_row(
            "every daemon polls",
            *size,
            0.38,
            Conditions { all_poll, ..quiet },
        );
    }
}

fn print_row(name: &str, size: usize, changes_per_s: f64, conditions: Conditions) {
    let measured = measure(size, changes_per_s, conditions);
    println!(
        "| {name} | {size} | {changes_per_s} | {:.0} | {:.0} | {:.1} | {:.0} | {:.2} |",
        measured.median_ms,
        measured.max_ms,
        measured.reads_per_s,
        measured.bytes_per_s,
        measured.messages_per_s,
    );
}

/// Returns a record of the size that operators typically write.
fn typical_record(service: &str, retries: u32) -> ServiceRecord {
    let mut typical = record(service, retries);
    let kind: RequestKind = typical.kinds[0].clone();
    typical.kinds.clear();
    for index in 0..KINDS_PER_RECORD {
        let path_prefix = format!("/kind-of-request-{index}");
        typical.kinds.push(RequestKind {
            path_prefix,
            ..kind.clone()
        });
    }
    typical
}

fn new_cluster(size: usize, conditions: Conditions) -> ConfigCluster {
    let mut settings = ConfigSettings::default();
    if conditions.all_poll {
        settings.pollers_per_zone = usize::MAX;
    }
    let mut cluster = ConfigCluster::with_settings(size, settings);
    if conditions.links_are_long {
        cluster.network.delay_us = LONG_LINK_DELAY_US;
    }
    if conditions.lost_one_in > 0 {
        let random_state = Cell::new(0_u64);
        cluster.network.link_filter = Box::new(move |_, _| {
            let next = random_state
                .get()
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1);
            random_state.set(next);
            !(next >> 33).is_multiple_of(conditions.lost_one_in)
        });
    }
    cluster
}

/// Returns the sum of a counter over all daemons.
fn sum(cluster: &ConfigCluster, name: &'static str) -> f64 {
    let mut sum = 0;
    for node in 0..cluster.members.len() {
        sum += cluster.counter(node, name);
    }
    sum as f64
}

/// Submits changes one after the other at different daemons and measures their propagation.
fn measure(size: usize, changes_per_s: f64, conditions: Conditions) -> Measured {
    let mut cluster = new_cluster(size, conditions);
    cluster.run(5 * SECOND_US);
    let start_us = cluster.network.now_us;
    let reads = cluster.network.table_reads;
    let (bytes, messages) = (
        sum(&cluster, "config_bytes_sent"),
        sum(&cluster, "config_messages_sent"),
    );
    let mut times_ms = Vec::new();
    for change in 0..CHANGES {
        let submitted_us = cluster.network.now_us;
        let node = (change as usize * 7) % size;
        let service = format!("service-{:04}", change % 1_100);
        let id = format!("c{change}");
        let records = vec![typical_record(&service, change as u32 % 10)];
        cluster.submit(node, submission(&id, change, records));
        if conditions.submitter_pauses && size > 1 {
            pause_after_write(&mut cluster, node);
        }
        let is_active_on_all = cluster.run_until_all_have(change + 1, PROPAGATION_LIMIT_US);
        assert!(
            is_active_on_all,
            "not active on all daemons in time; versions: {:?}",
            cluster.versions()
        );
        times_ms.push((cluster.network.now_us - submitted_us) as f64 / 1_000.0);
        if conditions.submitter_pauses && size > 1 {
            cluster.run(PAUSE_US);
        }
        let next_us = submitted_us + (SECOND_US as f64 / changes_per_s) as u64;
        cluster.run(next_us.saturating_sub(cluster.network.now_us));
    }
    times_ms.sort_by(f64::total_cmp);
    let seconds = (cluster.network.now_us - start_us) as f64 / SECOND_US as f64;
    let daemon_seconds = seconds * size as f64;
    Measured {
        median_ms: times_ms[times_ms.len() / 2],
        max_ms: times_ms[times_ms.len() - 1],
        reads_per_s: (cluster.network.table_reads - reads) as f64 / seconds,
        bytes_per_s: (sum(&cluster, "config_bytes_sent") - bytes) / daemon_seconds,
        messages_per_s: (sum(&cluster, "config_messages_sent") - messages) / daemon_seconds,
    }
}

/// Runs until the write takes effect and pauses the daemon that sent it.
fn pause_after_write(cluster: &mut ConfigCluster, node: usize) {
    let writes = cluster.network.table_writes;
    cluster
        .network
        .run_while(u64::MAX, |network| network.table_writes == writes);
    let until_us = cluster.network.now_us + PAUSE_US;
    cluster.network.pause(node, until_us);
}

/// Measures and prints the start of a daemon among others that have many records.
fn print_start(records: usize) {
    let mut cluster = ConfigCluster::new(12);
    cluster.run(SECOND_US);
    let mut version = 0;
    for first in (0..records).step_by(50) {
        let mut batch = Vec::new();
        for index in first..(first + 50).min(records) {
            batch.push(typical_record(&format!("service-{index:04}"), 3));
        }
        cluster.submit(0, submission(&format!("c{first}"), version, batch));
        cluster.run(SECOND_US);
        version += 1;
    }
    for (source, fault) in [
        ("the table", network::PlatformFault::None),
        ("a peer", network::PlatformFault::Down),
    ] {
        cluster.network.platform_fault = fault;
        let bytes = sum(&cluster, "config_bytes_sent");
        let reads = cluster.network.table_reads;
        let started_us = cluster.network.now_us;
        let new = cluster.add();
        if fault == network::PlatformFault::None {
            cluster.network.link_filter = Box::new(move |from, to| from != new && to != new);
        }
        let is_active_on_all = cluster.run_until_all_have(version, PROPAGATION_LIMIT_US);
        assert!(
            is_active_on_all,
            "not active on all daemons in time; versions: {:?}",
            cluster.versions()
        );
        let took_ms = (cluster.network.now_us - started_us) as f64 / 1_000.0;
        let bytes = sum(&cluster, "config_bytes_sent") - bytes;
        let reads = cluster.network.table_reads - reads;
        println!(
            "start with {records} records from {source}: {took_ms:.0} ms of virtual time, \
             {bytes:.0} B among daemons, {reads} reads"
        );
        cluster.network.link_filter = Box::new(|_, _| true);
    }
    print_cost(&mut cluster, records, version);
}

/// Measures and prints the cost of records for a daemon: memory, start time, and the time to apply
/// one more change.
///
/// The start time is the wall-clock time of the whole simulation while [`STARTED_DAEMONS`] daemons
/// start, divided by their number, and so includes the work of the other daemons. The memory can
/// come out too low, because what earlier measurements freed is reused.
fn print_cost(cluster: &mut ConfigCluster, records: usize, version: u64) {
    cluster.run(SECOND_US);
    cluster.network.platform_fault = network::PlatformFault::None;
    cluster.network.link_filter = Box::new(|_, _| false);
    let before = resident_bytes();
    let started = Instant::now();
    for _ in 0..STARTED_DAEMONS {
        cluster.add();
    }
    let is_active_on_all = cluster.run_until_all_have(version, PROPAGATION_LIMIT_US);
    assert!(
        is_active_on_all,
        "not active on all daemons in time; versions: {:?}",
        cluster.versions()
    );
    let start_us = started.elapsed().as_micros() as usize / STARTED_DAEMONS;
    let bytes = resident_bytes().saturating_sub(before) / STARTED_DAEMONS;
    let change = vec![typical_record("service-0000", 5)];
    cluster.submit(0, submission("one-more", version, change));
    cluster.run(100_000);
    let Some(change) = stored_change(&cluster.network.rows, version + 1) else {
        return;
    };
    let mut changes_us = Vec::new();
    for node in 1..12 {
        let started = Instant::now();
        deliver(cluster, node, Message::Push(vec![change.clone()]));
        changes_us.push(started.elapsed().as_micros());
    }
    changes_us.sort_unstable();
    let change_us = changes_us[changes_us.len() / 2];
    println!(
        "cost of {records} records: {bytes} B resident per daemon; in wall-clock time, \
         {start_us} us per start and {change_us} us per change"
    );
}

/// Measures and prints propagation among daemons that know only a sample of the others.
fn print_sampled_row(size: usize) {
    let settings = ConfigSettings {
        poll_period_ms: 3_600_000,
        ..ConfigSettings::default()
    };
    let mut cluster = ConfigCluster::unconnected(size, settings);
    let mut random_state = 1_u64;
    for node in 0..size {
        for _ in 0..SAMPLED_PEERS {
            random_state = random_state
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1);
            cluster.report_member(node, (random_state >> 33) as usize % size);
        }
    }
    report_successors(&mut cluster);
    cluster.network.run_until(3 * SECOND_US);
    let start_us = cluster.network.now_us;
    let bytes = sum(&cluster, "config_bytes_sent");
    let messages = sum(&cluster, "config_messages_sent");
    let mut times_ms = Vec::new();
    for change in 0..CHANGES_WITH_SAMPLED_PEERS {
        let submitted_us = cluster.network.now_us;
        let records = vec![typical_record(&format!("service-{change:04}"), 3)];
        let node = (change as usize * 3_517) % size;
        cluster.submit(node, submission(&format!("c{change}"), change, records));
        while cluster
            .versions()
            .into_iter()
            .any(|version| version <= change)
        {
            let now_us = cluster.network.now_us;
            assert!(
                now_us < submitted_us + PROPAGATION_LIMIT_US,
                "not active on all daemons in time"
            );
            cluster.network.run_until(now_us + SAMPLED_RUN_STEP_US);
        }
        times_ms.push((cluster.network.now_us - submitted_us) as f64 / 1_000.0);
        // About 0.38 changes per second.
        cluster.network.run_until(submitted_us + 2_600_000);
    }
    times_ms.sort_by(f64::total_cmp);
    let seconds = (cluster.network.now_us - start_us) as f64 / SECOND_US as f64;
    let daemon_seconds = seconds * size as f64;
    println!(
        "| sampled, no polls | {size} | 0.38 | {:.0} | {:.0} | - | {:.0} | {:.2} |",
        times_ms[times_ms.len() / 2],
        times_ms[times_ms.len() - 1],
        (sum(&cluster, "config_bytes_sent") - bytes) / daemon_seconds,
        (sum(&cluster, "config_messages_sent") - messages) / daemon_seconds,
    );
}

/// Reports to each daemon its successors in its availability zone, in the order of
/// [`ring_position`], which a full peer set would include.
fn report_successors(cluster: &mut ConfigCluster) {
    let mut order: Vec<usize> = (0..cluster.members.len()).collect();
    order.sort_by_key(|node| ring_position(cluster.members[*node].id));
    let mut zones: SortedMap<AvailabilityZone, Vec<usize>> = SortedMap::default();
    for node in order {
        let zone = cluster.members[node].availability_zone.clone();
        zones.get_or_insert_with(zone, Vec::new).push(node);
    }
    for zone in zones.values() {
        for (index, node) in zone.iter().enumerate() {
            for next in 1..=SUCCESSORS {
                cluster.report_member(*node, zone[(index + next) % zone.len()]);
            }
        }
    }
}

/// Measures and prints the cost of a large peer set at one daemon.
fn print_peer_set_cost(members: usize) {
    let mut cluster = ConfigCluster::unconnected(1, ConfigSettings::default());
    let mut others = Vec::new();
    for index in 0..members {
        let mut other = cluster.members[0].clone();
        other.id.0 = index as u64 * 7_919;
        others.push(other);
    }
    let before = resident_bytes();
    let started = Instant::now();
    for other in others.drain(..) {
        cluster
            .network
            .deliver_notice(0, Notice::MemberChanged(other));
    }
    let took_us = started.elapsed().as_micros() as f64 / members as f64;
    let grown = resident_bytes().saturating_sub(before);
    println!(
        "peer set of {members}: {grown} B more resident, \
         {took_us:.2} us of wall-clock time for each member"
    );
}

/// Returns the resident memory of this process.
fn resident_bytes() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<usize>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}
