//! Prints how membership scales with the number of members, in virtual time on a fake network.
//!
//! `cargo run --release --example membership_scale -- 10 30 100 300 1000`

#[allow(missing_docs)]
#[path = "../tests/support/membership_cluster.rs"]
mod membership_cluster;
#[allow(missing_docs)]
#[path = "../tests/support/network.rs"]
mod network;

use std::time::Instant;

use dragonflylug::kernel::Notice;
use dragonflylug::metrics::Counter;
use dragonflylug::target::Announcement;
use membership_cluster::{MembershipCluster, SECOND_US, address};

const ZONES: usize = 12;

fn main() {
    let sizes: Vec<usize> = std::env::args()
        .skip(1)
        .filter_map(|size| size.parse().ok())
        .collect();
    println!(
        "| members | join s | idle B/s | idle messages/s | idle us/s | announced s | B per change | \
         suspected s | gone on all s | suspicions since start | partition healed s | \
         zone loss detected s | tenth replaced s | replacement B/s | \
         after last replacement s | table reads to join | table writes to join |"
    );
    println!("|{}", " ---: |".repeat(17));
    for size in sizes {
        println!("{}", measure_row(size));
    }
}

/// Measures one number of members; each figure is from one run with a fixed seed.
fn measure_row(size: usize) -> String {
    let mut cluster = MembershipCluster::with_staggered_start(size, ZONES.min(size));
    let start_us = cluster.network.now_us;
    let has_joined = cluster.converges_within(300 * SECOND_US);
    let join_s = format_elapsed(&cluster, start_us, has_joined);
    let (reads, writes) = (cluster.network.table_reads, cluster.network.table_writes);
    cluster.run_for(60 * SECOND_US);
    let idle = Usage::measure(&mut cluster, 60);
    let (announced_s, change_bytes) = announce(&mut cluster, &idle);
    let (suspected_s, gone_s) = kill_some(&mut cluster);
    let suspicions = cluster
        .network
        .counter_total(Counter::unlabelled("members_suspected"));
    let healed_s = partition_and_heal(&mut cluster);
    let lost_s = lose_zone(&mut cluster);
    let (replaced_s, replaced_bytes_per_s, after_last_replacement_s) = replace_tenth(&mut cluster);
    format!(
        "| {size} | {join_s} | {:.0} | {:.2} | {:.0} | {announced_s} | {change_bytes:.0} | \
         {suspected_s:.1} | {gone_s} | {suspicions} | {healed_s} | {lost_s} | {replaced_s} | \
         {replaced_bytes_per_s:.0} | {after_last_replacement_s} | {reads} | {writes} |",
        idle.bytes_per_s, idle.messages_per_s, idle.work_us_per_s
    )
}

/// The mean resource usage of a member.
struct Usage {
    bytes_per_s: f64,
    messages_per_s: f64,
    /// Wall-clock us per member and second of virtual time, including the cost of the fake network.
    work_us_per_s: f64,
}

impl Usage {
    fn measure(cluster: &mut MembershipCluster, seconds: u64) -> Self {
        let bytes = cluster
            .network
            .counter_total(Counter::unlabelled("gossip_bytes"));
        let messages = cluster
            .network
            .counter_total(Counter::unlabelled("gossip_messages"));
        let start = Instant::now();
        cluster.run_for(seconds * SECOND_US);
        let work_us = start.elapsed().as_micros() as f64;
        let bytes = cluster
            .network
            .counter_total(Counter::unlabelled("gossip_bytes"))
            - bytes;
        let messages = cluster
            .network
            .counter_total(Counter::unlabelled("gossip_messages"))
            - messages;
        let member_seconds = cluster.running_nodes().len() as f64 * seconds as f64;
        Self {
            bytes_per_s: bytes as f64 / member_seconds,
            messages_per_s: messages as f64 / member_seconds,
            work_us_per_s: work_us / member_seconds,
        }
    }
}

/// Announces a target of one service on up to 10 members.
///
/// Returns how long until all members have received the announcements, and the mean gossip bytes
/// that a member sent for each announcement, above its idle traffic.
fn announce(cluster: &mut MembershipCluster, idle: &Usage) -> (String, f64) {
    const CHANGES: usize = 10;
    let start_us = cluster.network.now_us;
    for node in 0..CHANGES.min(cluster.running_nodes().len()) {
        cluster
            .network
            .deliver_notice(node, announcement("availability"));
    }
    let changed = CHANGES.min(cluster.running_nodes().len());
    let all_updated = |cluster: &mut MembershipCluster| {
        cluster.running_nodes().into_iter().all(|node| {
            let membership = cluster.membership(node);
            (0..changed).all(|announcing| {
                membership
                    .get(membership_cluster::id(announcing))
                    .is_some_and(|member| member.service.is_some())
            })
        })
    };
    let bytes = cluster
        .network
        .counter_total(Counter::unlabelled("gossip_bytes"));
    let is_reached = cluster.wait_until(120 * SECOND_US, all_updated);
    let announced_s = format_elapsed(cluster, start_us, is_reached);
    cluster.run_for(60 * SECOND_US);
    let bytes = cluster
        .network
        .counter_total(Counter::unlabelled("gossip_bytes"))
        - bytes;
    let elapsed_s = (cluster.network.now_us - start_us) as f64 / 1e6;
    let member_bytes =
        bytes as f64 / cluster.running_nodes().len() as f64 - idle.bytes_per_s * elapsed_s;
    (announced_s, member_bytes / changed as f64)
}

/// Kills some members one by one; returns the mean times until one suspects and all mark it gone.
///
/// A kill that no member suspects within 60 s counts as about 60 s. If a kill does not converge,
/// the first value is the sum of the times so far instead of the mean.
fn kill_some(cluster: &mut MembershipCluster) -> (f64, String) {
    const KILLS: usize = 5;
    let (mut suspected_s, mut gone_s) = (0.0, 0.0);
    for _ in 0..KILLS {
        let victim = cluster.running_nodes()[cluster.running_nodes().len() / 2];
        let start_us = cluster.network.now_us;
        let before = cluster
            .network
            .counter_total(Counter::unlabelled("members_suspected"));
        cluster.network.kill(victim);
        cluster.wait_until(60 * SECOND_US, |cluster| {
            cluster
                .network
                .counter_total(Counter::unlabelled("members_suspected"))
                > before
        });
        suspected_s += (cluster.network.now_us - start_us) as f64 / 1e6;
        if !cluster.converges_within(120 * SECOND_US) {
            return (suspected_s, "not converged".to_string());
        }
        gone_s += (cluster.network.now_us - start_us) as f64 / 1e6;
    }
    let mean = |sum_s: f64| sum_s / KILLS as f64;
    (mean(suspected_s), format!("{:.1}", mean(gone_s)))
}

/// Partitions a zone for a minute; returns the time from its end until all rosters are complete.
fn partition_and_heal(cluster: &mut MembershipCluster) -> String {
    cluster.network.link_filter = membership_cluster::isolate_zone(1, cluster.zones);
    cluster.run_for(60 * SECOND_US);
    cluster.network.link_filter = membership_cluster::deliver_all();
    let start_us = cluster.network.now_us;
    let is_reached = cluster.converges_within(600 * SECOND_US);
    format_elapsed(cluster, start_us, is_reached)
}

/// Kills all members of a zone at once; returns the time until all others mark them gone.
fn lose_zone(cluster: &mut MembershipCluster) -> String {
    let start_us = cluster.network.now_us;
    for node in cluster.running_nodes() {
        if cluster.zone(node) == 0 {
            cluster.network.kill(node);
        }
    }
    let is_reached = cluster.converges_within(600 * SECOND_US);
    format_elapsed(cluster, start_us, is_reached)
}

/// Replaces a tenth of the members within a minute.
///
/// Returns the time until all rosters are complete, the mean bytes per second and member over that
/// time, and the time from the last replacement until all rosters are complete.
fn replace_tenth(cluster: &mut MembershipCluster) -> (String, f64, String) {
    cluster.run_for(60 * SECOND_US);
    let running = cluster.running_nodes();
    let count = running.len().div_ceil(10);
    let start_us = cluster.network.now_us;
    let bytes = cluster
        .network
        .counter_total(Counter::unlabelled("gossip_bytes"));
    for node in running.into_iter().take(count) {
        cluster.network.deliver_notice(node, Notice::StopRequested);
        cluster.run_for(SECOND_US / 10);
        cluster.network.kill(node);
        let new = cluster.add_at(address(cluster.network.nodes.len()));
        cluster.network.deliver_notice(new, announcement("permits"));
        cluster.run_for((60 * SECOND_US / count as u64).saturating_sub(SECOND_US / 10));
    }
    let last_us = cluster.network.now_us;
    let is_reached = cluster.converges_within(900 * SECOND_US);
    if !is_reached {
        eprintln!("rosters did not converge: {}", cluster.summary());
    }
    let elapsed_s = (cluster.network.now_us - start_us) as f64 / 1e6;
    let bytes = cluster
        .network
        .counter_total(Counter::unlabelled("gossip_bytes"))
        - bytes;
    let bytes_per_s = bytes as f64 / elapsed_s / cluster.running_nodes().len() as f64;
    (
        format_elapsed(cluster, start_us, is_reached),
        bytes_per_s,
        format_elapsed(cluster, last_us, is_reached),
    )
}

fn announcement(service: &str) -> Notice {
    Notice::TargetAnnounced(Announcement {
        service: service.into(),
        address: "127.0.0.1:9000".parse().unwrap(),
        slots: 35,
        connections: 300,
        is_draining: false,
        instance: None,
        started_at_ms: None,
    })
}

/// Formats the time since `since_us`, as "over" that time if the awaited state was not reached.
fn format_elapsed(cluster: &MembershipCluster, since_us: u64, is_reached: bool) -> String {
    let elapsed_s = (cluster.network.now_us - since_us) as f64 / 1e6;
    match is_reached {
        true => format!("{elapsed_s:.1}"),
        false => format!("over {elapsed_s:.0}"),
    }
}
