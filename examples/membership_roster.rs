//! Prints the memory and time that one daemon uses for a roster of many members.
//!
//! It runs without a network:
//!
//! `cargo run --release --example membership_roster -- 1000 4000 17000`

use std::hint::black_box;
use std::net::SocketAddr;
use std::time::Instant;

use dragonflylug::ids::{InboundKey, MemberId};
use dragonflylug::kernel::{Input, Kernel};
use dragonflylug::membership::{
    Gossip, IdRange, Member, MemberState, Membership, MembershipSettings, Message, NAME, Roster,
    Update, encoded_bytes,
};
use dragonflylug::peer::PeerRequest;

/// The number of updates in one message.
const UPDATES_PER_MESSAGE: usize = 20;

/// The virtual time that an idle daemon runs for.
const IDLE_S: u64 = 100;

fn main() {
    let sizes: Vec<usize> = std::env::args()
        .skip(1)
        .filter_map(|size| size.parse().ok())
        .collect();
    println!(
        "| members | resident bytes per member | us per new member | us per changed member | \
         us per duplicate report | us to digest the roster | us to sample 3 members | idle us/s | \
         encoded bytes of the member list |"
    );
    println!("|{}", " ---: |".repeat(9));
    for size in sizes {
        println!("{}", measure_row(size));
    }
}

/// Measures one number of members.
///
/// The resident bytes include those of the kernel and of the report messages. With several sizes in
/// one process, memory that earlier sizes freed is reused and lowers the figure.
fn measure_row(size: usize) -> String {
    let members: Vec<_> = (0..size).map(member).collect();
    let list_bytes = encoded_bytes(&Message::Members {
        members: members.clone(),
        has_more: false,
    });
    let before_bytes = resident_bytes();
    let mut kernel = Kernel::new(1);
    let own = member(size + 1);
    kernel.register(Box::new(Membership::new(
        MembershipSettings::default(),
        own.clone(),
    )));
    kernel.start(0);
    let mut now_us = 1;
    let new_us = send_reports(&mut kernel, &mut now_us, &own, &members, 0);
    let member_bytes = resident_bytes().saturating_sub(before_bytes) / size;
    let idle_us = run_idle(&mut kernel, &mut now_us);
    let changed_us = send_reports(&mut kernel, &mut now_us, &own, &members, 1);
    let duplicate_us = send_reports(&mut kernel, &mut now_us, &own, &members, 1);
    let membership = kernel.find::<Membership>(NAME).unwrap();
    assert_eq!(membership.len(), size + 1);
    let mut rng: rand_chacha::ChaCha8Rng = rand::SeedableRng::seed_from_u64(1);
    let sample_us = mean_us(10_000, || {
        black_box(membership.sample(&mut rng, 3));
    });
    let mut roster = Roster::default();
    for member in members {
        roster.apply_report(member, 0);
    }
    let digest_us = mean_us(100, || {
        black_box(roster.part_digests(IdRange::ALL));
    });
    format!(
        "| {size} | {member_bytes} | {new_us:.2} | {changed_us:.2} | {duplicate_us:.2} | \
         {digest_us:.1} | {sample_us:.2} | {idle_us:.1} | {list_bytes} |"
    )
}

/// Sends a daemon one report for each member, with this incarnation number; returns the mean
/// wall-clock time per report in us.
fn send_reports(
    kernel: &mut Kernel,
    now_us: &mut u64,
    own: &Member,
    members: &[Member],
    incarnation: u32,
) -> f64 {
    let mut messages = Vec::new();
    for chunk in members.chunks(UPDATES_PER_MESSAGE) {
        let mut updates = Vec::new();
        for member in chunk {
            let mut member = member.clone();
            member.incarnation = incarnation;
            updates.push(Update::Full(member));
        }
        let gossip = Gossip {
            from: chunk[0].id,
            incarnation,
            updates,
        };
        messages.push(Message::Probe { to: own.id, gossip });
    }
    let start = Instant::now();
    for (index, message) in messages.into_iter().enumerate() {
        *now_us += 1;
        let input = Input::PeerRequest {
            inbound: InboundKey(index as u64),
            request: PeerRequest::Membership(message),
        };
        black_box(kernel.handle(*now_us, input));
    }
    start.elapsed().as_secs_f64() * 1e6 / members.len() as f64
}

/// Runs a daemon's timers; returns the wall-clock us for each second of virtual time.
fn run_idle(kernel: &mut Kernel, now_us: &mut u64) -> f64 {
    let until_us = *now_us + IDLE_S * 1_000_000;
    let start = Instant::now();
    while let Some(at_us) = kernel.next_timer_us().filter(|at_us| *at_us < until_us) {
        *now_us = at_us.max(*now_us);
        black_box(kernel.advance(*now_us));
    }
    start.elapsed().as_secs_f64() * 1e6 / IDLE_S as f64
}

/// Returns the mean wall-clock time of a run in us.
fn mean_us(times: u32, mut run: impl FnMut()) -> f64 {
    let start = Instant::now();
    for _ in 0..times {
        run();
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(times)
}

fn member(index: usize) -> Member {
    let [_, high, middle, low] = (index as u32).to_be_bytes();
    Member {
        id: MemberId(xxhash_rust::xxh3::xxh3_64(&index.to_le_bytes())),
        address: SocketAddr::from(([10, high, middle, low], 7000)),
        availability_zone: format!("zone-{}", index % 12).as_str().into(),
        service: Some(format!("service-{}", index % 1_100).as_str().into()),
        slots: 35,
        state: MemberState::Alive,
        incarnation: 0,
        schema_version: 1,
    }
}

/// Returns the resident memory of this process.
fn resident_bytes() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    for line in status.lines() {
        let Some(text) = line.strip_prefix("VmRSS:") else {
            continue;
        };
        let kilobytes = text.trim().trim_end_matches(" kB").parse::<usize>();
        return kilobytes.unwrap_or(0) * 1024;
    }
    0
}
