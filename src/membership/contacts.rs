//! The requests that find first contacts and maintain the data for it: rows in the platform's table
//! and a snapshot in the object store.

use std::net::SocketAddr;

use rand::{Rng, RngExt};

use super::Member;
use crate::ids::{AvailabilityZone, MemberId};
use crate::table::{Expected, ObjectRequest, Row, RowVersion, TableRequest, TableWrite};

/// The key prefix of all members' rows.
const ROW_PREFIX: &str = "member/";

/// A character that sorts after all ids in keys.
const AFTER_ALL_IDS: char = '~';

/// The name of the snapshot in the object store.
const SNAPSHOT_NAME: &str = "members";

/// Returns the key of a member's row.
pub(super) fn row_key(zone: &AvailabilityZone, id: MemberId) -> String {
    format!("{ROW_PREFIX}{zone}/{:016x}", id.0)
}

/// Returns the request that reads some rows of a zone, starting after a random key.
pub(super) fn scan_zone_request(
    zone: &AvailabilityZone,
    limit: u32,
    rng: &mut impl Rng,
) -> TableRequest {
    let after = row_key(zone, MemberId(rng.random()));
    scan_rows_request(Some(zone), Some(after), limit)
}

/// Returns the request that reads the first rows after those of a zone, or the first rows of the
/// table.
pub(super) fn scan_next_zone_request(zone: Option<&AvailabilityZone>, limit: u32) -> TableRequest {
    let after = zone.map(|zone| format!("{ROW_PREFIX}{zone}/{AFTER_ALL_IDS}"));
    scan_rows_request(None, after, limit)
}

/// Returns the request that reads the rows of a zone, or of all zones, after a key.
pub(super) fn scan_rows_request(
    zone: Option<&AvailabilityZone>,
    after: Option<String>,
    limit: u32,
) -> TableRequest {
    let prefix = match zone {
        Some(zone) => format!("{ROW_PREFIX}{zone}/"),
        None => ROW_PREFIX.to_string(),
    };
    TableRequest::Scan {
        prefix,
        after,
        limit,
    }
}

/// Returns the request that writes the row of a member.
pub(super) fn write_row_request(member: &Member) -> TableRequest {
    let value = serde_json::to_string(member).unwrap_or_default();
    row_write_request(member, Expected::Any, Some(value))
}

/// Returns the request that deletes the row of a member.
pub(super) fn delete_row_request(member: &Member) -> TableRequest {
    row_write_request(member, Expected::Any, None)
}

/// Returns the request that deletes a row unless it was written since it was read at `version`.
pub(super) fn delete_stale_row_request(member: &Member, version: RowVersion) -> TableRequest {
    row_write_request(member, Expected::Version(version), None)
}

fn row_write_request(member: &Member, expected: Expected, value: Option<String>) -> TableRequest {
    let write = TableWrite {
        key: row_key(&member.availability_zone, member.id),
        expected,
        value,
    };
    TableRequest::Write {
        writes: vec![write],
    }
}

/// Returns the request that reads the snapshot.
pub(super) fn read_snapshot_request() -> ObjectRequest {
    ObjectRequest::Get {
        name: SNAPSHOT_NAME.to_string(),
    }
}

/// Returns the request that writes the snapshot.
pub(super) fn write_snapshot_request(members: &[Member]) -> ObjectRequest {
    ObjectRequest::Put {
        name: SNAPSHOT_NAME.to_string(),
        content: serde_json::to_string(members).unwrap_or_default(),
    }
}

/// Returns the members of a snapshot, or none if it cannot be parsed.
pub(super) fn snapshot_members(content: &str) -> Vec<Member> {
    serde_json::from_str(content).unwrap_or_default()
}

/// The greatest incarnation in the row of a member. One start of a daemon stays far below it, and
/// above it a daemon could not refute what is reported about it.
const ROW_INCARNATION_MAX: u32 = u32::MAX / 2;

/// Returns the members of rows with the rows' versions, skipping rows that cannot be parsed or have an
/// incarnation that no member reaches.
pub(super) fn row_members(rows: &[Row]) -> Vec<(Member, RowVersion)> {
    let mut members = Vec::new();
    for row in rows {
        let Ok(member) = serde_json::from_str::<Member>(&row.value) else {
            continue;
        };
        if member.incarnation > ROW_INCARNATION_MAX {
            continue;
        }
        members.push((member, row.version));
    }
    members
}

/// Returns the distinct addresses of members in random order, without `own`.
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
