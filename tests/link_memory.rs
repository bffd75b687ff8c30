//! The memory that links between daemons take, measured in this process.

#[path = "support/sized_answers.rs"]
mod sized_answers;

use dragonflylug::host::PeerTransport;
use dragonflylug::host::peer::PeerLimits;
use sized_answers::{REQUEST_TIMEOUT, peer_links, sized_request, start_sized_answer_node};

const LINKS: u64 = 60;

/// The size of the response bodies, as large as that of uploads.
const BODY_BYTES: usize = 100_000;

/// The memory that a daemon may use for its own work.
const DAEMON_KB_MAX: u64 = 128 * 1024;

/// Returns the resident set size of this process.
fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let digits = line.unwrap().split_whitespace().nth(1);
    digits.unwrap().parse().unwrap()
}

/// Buffers that are too large per link would exceed the memory of a daemon at the maximum number of
/// links. Both ends of each link are in this process.
#[tokio::test]
async fn the_maximum_number_of_links_fits_the_memory_of_a_daemon() {
    let mut addresses = Vec::new();
    for _ in 0..LINKS {
        addresses.push(start_sized_answer_node().await);
    }
    let before_kb = resident_kb();
    let links = peer_links();
    for address in &addresses {
        links
            .request(*address, sized_request(BODY_BYTES), REQUEST_TIMEOUT)
            .await
            .unwrap();
    }
    let each_kb = (resident_kb() - before_kb) / LINKS;
    let links_max = PeerLimits::default().links_max as u64;
    println!("{each_kb} kB for both ends of a link");
    assert!(each_kb * links_max < DAEMON_KB_MAX, "{each_kb} kB a link");
}
