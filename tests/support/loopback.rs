//! A loopback address for the listeners of one test process.

use std::net::{IpAddr, Ipv4Addr};

/// Returns a loopback address that no other process of the tests uses. Connections to it come from
/// another address, so that none of them can take the port of a listener that starts again.
pub fn process_ip() -> IpAddr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, 64 | (high & 0x3f), middle, low))
}
