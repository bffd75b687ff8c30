//! The other daemons, as reported by the membership service: which are alive, which schema they
//! read, and which of them this daemon exchanges configuration with.

use std::net::SocketAddr;

use rand::RngExt;

use crate::ids::{AvailabilityZone, MemberId};
use crate::membership::{Member, MemberState};
use crate::sorted::SortedMap;

/// The seed of [`ring_position`], "config" in ASCII.
const HASH_SEED: u64 = 0x636f_6e66_6967;

/// The probability that a random peer is chosen from the daemon's own availability zone only.
const OWN_ZONE_PROBABILITY: f64 = 0.5;

/// The random picks allowed for each peer that is needed, since some picks are duplicates.
const PICKS_PER_PEER: usize = 4;

/// The other daemons, with those that are alive in the order of their ring positions.
pub(super) struct PeerSet {
    own_id: MemberId,
    own_zone: AvailabilityZone,
    /// The newest schema that each daemon reads.
    schema_versions: SortedMap<MemberId, u16>,
    /// The daemons that are alive.
    alive: Ring,
    /// The daemons of this daemon's availability zone that are alive.
    alive_in_zone: Ring,
}

/// Addresses in ascending order of their ring positions.
type Ring = SortedMap<(u64, MemberId), SocketAddr>;

/// Returns the position of a daemon on the ring, a hash of its identifier. In each availability
/// zone, the daemons with the lowest positions poll the table, and each daemon announces a new
/// version to its successors.
pub fn ring_position(id: MemberId) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(&id.0.to_le_bytes(), HASH_SEED)
}

fn ring_key(id: MemberId) -> (u64, MemberId) {
    (ring_position(id), id)
}

impl PeerSet {
    pub(super) fn new(own_id: MemberId, own_zone: AvailabilityZone) -> Self {
        Self {
            own_id,
            own_zone,
            schema_versions: SortedMap::default(),
            alive: SortedMap::default(),
            alive_in_zone: SortedMap::default(),
        }
    }

    /// Updates the entry of a daemon from its membership state.
    pub(super) fn update(&mut self, member: &Member) {
        if member.id == self.own_id {
            return;
        }
        if member.state == MemberState::Gone {
            self.remove(member.id);
            return;
        }
        self.schema_versions
            .insert(member.id, member.schema_version);
        let ring_key = ring_key(member.id);
        if member.state != MemberState::Alive {
            self.alive.remove(&ring_key);
            self.alive_in_zone.remove(&ring_key);
            return;
        }
        self.alive.insert(ring_key, member.address);
        if member.availability_zone == self.own_zone {
            self.alive_in_zone.insert(ring_key, member.address);
        }
    }

    /// Removes a daemon that is gone.
    pub(super) fn remove(&mut self, id: MemberId) {
        let ring_key = ring_key(id);
        self.schema_versions.remove(&id);
        self.alive.remove(&ring_key);
        self.alive_in_zone.remove(&ring_key);
    }

    /// Returns whether this daemon is among the first `pollers` of its availability zone on the
    /// ring.
    pub(super) fn is_poller(&self, pollers: usize) -> bool {
        let own = ring_key(self.own_id);
        match self.alive_in_zone.entry_at(pollers.saturating_sub(1)) {
            Some((other, _)) => own < *other,
            None => true,
        }
    }

    /// Returns the newest schema that all daemons read.
    pub(super) fn common_schema_version(&self, own: u16) -> u16 {
        let mut version = own;
        for schema_version in self.schema_versions.values() {
            version = version.min(*schema_version);
        }
        version
    }

    /// Returns a random daemon: with [`OWN_ZONE_PROBABILITY`] one of this daemon's availability
    /// zone, otherwise one of any zone.
    pub(super) fn random_peer(&self, rng: &mut impl RngExt) -> Option<SocketAddr> {
        let is_own_zone = rng.random_bool(OWN_ZONE_PROBABILITY);
        match is_own_zone && !self.alive_in_zone.is_empty() {
            true => random_address(&self.alive_in_zone, rng),
            false => random_address(&self.alive, rng),
        }
    }

    /// Returns the peers to which a new version is announced. Half of `count`, rounded down, are
    /// the successors in the availability zone, so that every daemon is a successor of another one
    /// if `count` is at least 2; the rest are random.
    pub(super) fn announcement_peers(
        &self,
        count: usize,
        rng: &mut impl RngExt,
    ) -> Vec<SocketAddr> {
        let mut peers = successor_addresses(&self.alive_in_zone, ring_key(self.own_id), count / 2);
        for _ in 0..count * PICKS_PER_PEER {
            if peers.len() >= count {
                break;
            }
            let Some(address) = self.random_peer(rng) else {
                break;
            };
            if !peers.contains(&address) {
                peers.push(address);
            }
        }
        peers
    }
}

fn random_address(ring: &Ring, rng: &mut impl RngExt) -> Option<SocketAddr> {
    if ring.is_empty() {
        return None;
    }
    let index = rng.random_range(0..ring.len());
    ring.entry_at(index).map(|(_, address)| *address)
}

fn successor_addresses(ring: &Ring, own: (u64, MemberId), count: usize) -> Vec<SocketAddr> {
    let mut later = Vec::new();
    let mut earlier = Vec::new();
    for (other, address) in ring.iter() {
        let found = if *other > own {
            &mut later
        } else {
            &mut earlier
        };
        if found.len() < count {
            found.push(*address);
        }
    }
    later.extend(earlier);
    later.truncate(count);
    later
}
