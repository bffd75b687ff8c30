//! First contacts: the platform's rows and the snapshot in the object store.

use std::net::SocketAddr;

use rand::{Rng, RngExt};

use super::Member;
use crate::ids::{AvailabilityZone, MemberId};
use crate::table::{Expected, ObjectRequest, Row, TableRequest, TableWrite};

/// The start of the keys of all members' rows.
const ROW_PREFIX: &str = "member/";

/// The name of the snapshot in the object store.
const SNAPSHOT_NAME: &str = "members";

/// The delay before a failed request to the platform is tried again, at first.
const RETRY_FIRST_MS: u64 = 200;

/// A delay that doubles with each failure, with jitter.
#[derive(Default)]
pub(super) struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Returns the next delay.
    pub(super) fn next_us(&mut self, most_ms: u32, rng: &mut impl Rng) -> u64 {
        let most_us = u64::from(most_ms) * 1_000;
        let doubled_us = (RETRY_FIRST_MS * 1_000) << self.failures.min(16);
        self.failures += 1;
        let delay_us = doubled_us.min(most_us).max(1);
        delay_us / 2 + rng.random_range(0..=delay_us / 2)
    }

    /// Begins anew after a success.
    pub(super) fn reset(&mut self) {
        self.failures = 0;
    }
}

/// Returns the key of a member's row.
pub(super) fn row_key(zone: &AvailabilityZone, id: MemberId) -> String {
    format!("{ROW_PREFIX}{zone}/{:016x}", id.0)
}

/// Reads some rows of a zone, after a random one.
pub(super) fn scan_zone(zone: &AvailabilityZone, limit: u32, rng: &mut impl Rng) -> TableRequest {
    TableRequest::Scan {
        prefix: format!("{ROW_PREFIX}{zone}/"),
        after: Some(row_key(zone, MemberId(rng.random()))),
        limit,
    }
}

/// Reads the first rows of any zone.
pub(super) fn scan_all(limit: u32) -> TableRequest {
    TableRequest::Scan {
        prefix: ROW_PREFIX.to_string(),
        after: None,
        limit,
    }
}

/// Writes the row of a member.
pub(super) fn write_row(member: &Member) -> TableRequest {
    let value = serde_json::to_string(member).unwrap_or_default();
    write(member, Some(value))
}

/// Deletes the row of a member.
pub(super) fn delete_row(member: &Member) -> TableRequest {
    write(member, None)
}

fn write(member: &Member, value: Option<String>) -> TableRequest {
    let write = TableWrite {
        key: row_key(&member.availability_zone, member.id),
        expected: Expected::Any,
        value,
    };
    TableRequest::Write {
        writes: vec![write],
    }
}

/// Reads the snapshot.
pub(super) fn read_snapshot() -> ObjectRequest {
    ObjectRequest::Get {
        name: SNAPSHOT_NAME.to_string(),
    }
}

/// Writes the snapshot.
pub(super) fn write_snapshot(members: &[Member]) -> ObjectRequest {
    ObjectRequest::Put {
        name: SNAPSHOT_NAME.to_string(),
        content: serde_json::to_string(members).unwrap_or_default(),
    }
}

/// Returns the members of a snapshot, none where it cannot be read.
pub(super) fn snapshot_members(content: &str) -> Vec<Member> {
    serde_json::from_str(content).unwrap_or_default()
}

/// Returns the members of rows, without those that cannot be read.
pub(super) fn row_members(rows: &[Row]) -> Vec<Member> {
    let mut members = Vec::new();
    for row in rows {
        let Ok(member) = serde_json::from_str(&row.value) else {
            continue;
        };
        members.push(member);
    }
    members
}

/// Returns the addresses of members other than the own, in random order.
pub(super) fn addresses(
    members: &[Member],
    own: SocketAddr,
    rng: &mut impl Rng,
) -> Vec<SocketAddr> {
    use rand::seq::SliceRandom;
    let mut addresses = Vec::new();
    for member in members {
        if member.address != own && !addresses.contains(&member.address) {
            addresses.push(member.address);
        }
    }
    addresses.shuffle(rng);
    addresses
}
