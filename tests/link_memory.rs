//! The memory of links between daemons, of a real process.

#[path = "support/filler.rs"]
mod filler;

use dragonflylug::host::PeerLink;
use dragonflylug::host::peer::PeerLimits;
use filler::{PATIENCE, peer_links, question, start_filler};

const LINKS: u64 = 60;

/// Bodies as large as those of uploads.
const BODY_BYTES: usize = 100_000;

/// The memory that a daemon may take for control.
const DAEMON_KB_MAX: u64 = 128 * 1024;

/// Returns the resident memory of this process.
fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let digits = line.unwrap().split_whitespace().nth(1);
    digits.unwrap().parse().unwrap()
}

/// Both ends of a link are in this process.
#[tokio::test]
async fn as_many_links_as_allowed_fit_the_memory_of_a_daemon() {
    let mut addresses = Vec::new();
    for _ in 0..LINKS {
        addresses.push(start_filler().await);
    }
    let before_kb = resident_kb();
    let links = peer_links();
    for address in &addresses {
        links
            .request(*address, question(BODY_BYTES), PATIENCE)
            .await
            .unwrap();
    }
    let each_kb = (resident_kb() - before_kb) / LINKS;
    let links_max = PeerLimits::default().links_max as u64;
    println!("{each_kb} kB for both ends of a link");
    assert!(each_kb * links_max < DAEMON_KB_MAX, "{each_kb} kB a link");
}
