//! What the configuration service knows of other daemons.

use std::net::SocketAddr;

use rand::RngExt;

use crate::ids::{AvailabilityZone, MemberId};
use crate::membership::{Member, MemberState};
use crate::sorted::SortedMap;

/// The seed of the rendezvous hash.
const HASH_SEED: u64 = 0x636f_6e66_6967;

/// The share of random daemons that are of the own availability zone.
const NEAR_SHARE: f64 = 0.5;

/// The random picks for each daemon that is wanted, since some come up twice.
const PICKS: usize = 4;

/// The other daemons, and the order of the rendezvous hash.
pub(super) struct Roster {
    own_id: MemberId,
    own_zone: AvailabilityZone,
    /// The greatest schema that each daemon reads.
    schemas: SortedMap<MemberId, u16>,
    /// The daemons that are alive.
    alive: Ring,
    /// The daemons of the own availability zone that are alive.
    zone: Ring,
}

/// Addresses in the order of the rendezvous hash.
type Ring = SortedMap<(u64, MemberId), SocketAddr>;

/// Returns the hash by which daemons are ordered: the lowest of an availability zone poll the
/// table, and each tells the next ones of its zone about a new version.
pub fn rendezvous_hash(id: MemberId) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(&id.0.to_le_bytes(), HASH_SEED)
}

fn place(id: MemberId) -> (u64, MemberId) {
    (rendezvous_hash(id), id)
}

impl Roster {
    pub(super) fn new(own_id: MemberId, own_zone: AvailabilityZone) -> Self {
        Self {
            own_id,
            own_zone,
            schemas: SortedMap::default(),
            alive: SortedMap::default(),
            zone: SortedMap::default(),
        }
    }

    /// Takes in what is known of a daemon.
    pub(super) fn note(&mut self, member: &Member) {
        if member.id == self.own_id {
            return;
        }
        if member.state == MemberState::Gone {
            self.forget(member.id);
            return;
        }
        self.schemas.insert(member.id, member.schema_version);
        let place = place(member.id);
        if member.state != MemberState::Alive {
            self.alive.remove(&place);
            self.zone.remove(&place);
            return;
        }
        self.alive.insert(place, member.address);
        if member.availability_zone == self.own_zone {
            self.zone.insert(place, member.address);
        }
    }

    /// Forgets a daemon.
    pub(super) fn forget(&mut self, id: MemberId) {
        let place = place(id);
        self.schemas.remove(&id);
        self.alive.remove(&place);
        self.zone.remove(&place);
    }

    /// Says whether this daemon is among the lowest of its availability zone.
    pub(super) fn is_poller(&self, pollers: usize) -> bool {
        let own = place(self.own_id);
        match self.zone.entry_at(pollers.saturating_sub(1)) {
            Some((other, _)) => own < *other,
            None => true,
        }
    }

    /// Returns the greatest schema that all daemons read.
    pub(super) fn schema_version(&self, own: u16) -> u16 {
        let mut least = own;
        for schema_version in self.schemas.values() {
            least = least.min(*schema_version);
        }
        least
    }

    /// Returns a daemon at random, half of the time one of the own availability zone.
    pub(super) fn any(&self, rng: &mut impl RngExt) -> Option<SocketAddr> {
        let is_near = rng.random_bool(NEAR_SHARE);
        match is_near && !self.zone.is_empty() {
            true => pick(&self.zone, rng),
            false => pick(&self.alive, rng),
        }
    }

    /// Returns the daemons that are told of a new version: the next one in the availability zone,
    /// so that each daemon is next to one, and some at random.
    pub(super) fn told(&self, count: usize, rng: &mut impl RngExt) -> Vec<SocketAddr> {
        let mut told = next(&self.zone, place(self.own_id), count / 2);
        for _ in 0..count * PICKS {
            if told.len() >= count {
                break;
            }
            let Some(address) = self.any(rng) else {
                break;
            };
            if !told.contains(&address) {
                told.push(address);
            }
        }
        told
    }
}

fn pick(ring: &Ring, rng: &mut impl RngExt) -> Option<SocketAddr> {
    if ring.is_empty() {
        return None;
    }
    let at = rng.random_range(0..ring.len());
    ring.entry_at(at).map(|(_, address)| *address)
}

fn next(ring: &Ring, own: (u64, MemberId), count: usize) -> Vec<SocketAddr> {
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
