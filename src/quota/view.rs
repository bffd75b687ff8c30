//! The daemons that a daemon knows, and which of them own and lend an organisation's rate.

use std::cmp::Reverse;
use std::net::{IpAddr, SocketAddr};

use super::settings::to_us;
use super::{OrganisationHash, QuotaSettings};
use crate::ids::MemberId;
use crate::sorted::SortedMap;

/// While a daemon starts, its wait begins again when the known addresses have grown by more than
/// one in this many.
const GROWTH_DIVISOR: usize = 16;

/// The maximum number of daemons that are asked for the absent ones at once.
const ASKED_MAX: usize = 8;

/// What is known of the daemon at an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// It may own organisations.
    Live,
    /// It is leaving in a planned way.
    Leaving,
    /// It is gone, or only a row of the platform's table or another daemon names it. It keeps its
    /// share until `until_us`.
    Absent { until_us: u64 },
}

#[derive(Clone, Copy, Debug)]
struct Daemon {
    id: MemberId,
    state: State,
    /// Whether it was asked for the absent daemons.
    is_asked: bool,
}

/// The addresses of all daemons that a daemon knows of.
#[derive(Clone, Debug)]
pub struct View {
    settings: QuotaSettings,
    own: SocketAddr,
    started_us: u64,
    daemons: SortedMap<SocketAddr, Daemon>,
    /// The addresses in rows that were recorded, sorted; each counts once only, since the row of a
    /// daemon that left may have been read before.
    row_addresses: Vec<SocketAddr>,
    /// The number of known addresses when the wait of a starting daemon last began.
    settled_len: usize,
    /// When that wait ends and this daemon may lend.
    ready_us: u64,
    /// When an address was last added.
    grown_us: u64,
    has_read_members: bool,
    has_read_absent: bool,
    is_stopping: bool,
    version: u64,
    /// The owners found since `version` was `owners_version`.
    owners: SortedMap<OrganisationHash, Option<SocketAddr>>,
    owners_version: u64,
}

impl View {
    /// Creates the view of a daemon that starts and knows only itself.
    pub fn new(settings: QuotaSettings, now_us: u64, id: MemberId, own: SocketAddr) -> Self {
        let mut daemons = SortedMap::default();
        let state = State::Live;
        let daemon = Daemon {
            id,
            state,
            is_asked: true,
        };
        daemons.insert(own, daemon);
        Self {
            started_us: now_us,
            ready_us: now_us + to_us(settings.settle_ms),
            settings,
            own,
            daemons,
            row_addresses: Vec::new(),
            settled_len: 1,
            grown_us: now_us,
            has_read_members: false,
            has_read_absent: false,
            is_stopping: false,
            version: 1,
            owners: SortedMap::default(),
            owners_version: 1,
        }
    }

    /// Returns the address of this daemon.
    pub fn own(&self) -> SocketAddr {
        self.own
    }

    /// Returns the version of the view, which increases whenever an owner or a lender may have
    /// changed.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Records a member that is not gone.
    pub fn record_member(
        &mut self,
        now_us: u64,
        address: SocketAddr,
        id: MemberId,
        is_leaving: bool,
    ) {
        if address == self.own {
            return;
        }
        let state = match is_leaving {
            true => State::Leaving,
            false => State::Live,
        };
        self.insert(now_us, address, id, state);
    }

    /// Records that a member is gone. It keeps its share for a time: until its loans have ended if
    /// it left in a planned way, longer if it failed, since it may only be cut off.
    pub fn record_gone(&mut self, now_us: u64, id: MemberId) {
        let mut found = None;
        for (address, daemon) in self.daemons.iter() {
            if daemon.id == id && *address != self.own {
                found = Some((*address, *daemon));
            }
        }
        let Some((address, daemon)) = found else {
            return;
        };
        let kept_ms = match daemon.state {
            State::Live => self.settings.failed_share_ms,
            State::Leaving => self.settings.loan_ms.saturating_mul(2),
            State::Absent { .. } => return,
        };
        let until_us = now_us + to_us(kept_ms);
        let state = State::Absent { until_us };
        self.insert(now_us, address, id, state);
    }

    /// Records an address that a row of the platform's table names.
    pub fn record_row(&mut self, now_us: u64, address: SocketAddr) {
        let Err(index) = self.row_addresses.binary_search(&address) else {
            return;
        };
        self.row_addresses.insert(index, address);
        self.record_absent(now_us, address, self.settings.failed_share_ms);
    }

    /// Records a daemon that is absent by the view of another, and keeps its share for a time; one
    /// that this daemon knows is not changed.
    pub fn record_absent(&mut self, now_us: u64, address: SocketAddr, left_ms: u32) {
        if self.daemons.contains_key(&address) {
            return;
        }
        let until_us = now_us + to_us(left_ms);
        self.insert(now_us, address, MemberId(0), State::Absent { until_us });
    }

    /// Records that another daemon told which daemons are absent.
    pub fn record_absent_read(&mut self) {
        self.has_read_absent = true;
    }

    /// Records that a daemon did not tell which daemons are absent, so that it is asked again.
    pub fn record_no_answer(&mut self, address: SocketAddr) {
        if let Some(daemon) = self.daemons.get_mut(&address) {
            daemon.is_asked = false;
        }
    }

    /// Returns the daemons that are absent, and for how long each keeps its share, in milliseconds.
    pub fn absent(&self, now_us: u64) -> Vec<(SocketAddr, u32)> {
        let mut absent = Vec::new();
        for (address, daemon) in self.daemons.iter() {
            let State::Absent { until_us } = daemon.state else {
                continue;
            };
            let left_ms = until_us.saturating_sub(now_us) / 1_000;
            absent.push((*address, left_ms as u32));
        }
        absent
    }

    /// Returns up to `ASKED_MAX` daemons to ask for the absent ones while this daemon starts.
    /// Each is asked once, and all again if none has answered.
    pub fn next_to_ask(&mut self, now_us: u64) -> Vec<SocketAddr> {
        let mut addresses = Vec::new();
        if now_us >= self.ready_us && self.has_read_absent {
            return addresses;
        }
        for (address, daemon) in self.daemons.iter_mut() {
            if daemon.state != State::Live || daemon.is_asked || addresses.len() == ASKED_MAX {
                continue;
            }
            daemon.is_asked = true;
            addresses.push(*address);
        }
        if addresses.is_empty() && !self.has_read_absent {
            for (address, daemon) in self.daemons.iter_mut() {
                daemon.is_asked = *address == self.own;
            }
        }
        addresses
    }

    /// Records that the member list was read from a peer, or that the platform's table names no other
    /// daemon.
    pub fn record_members_read(&mut self) {
        self.has_read_members = true;
    }

    /// Records that this daemon is stopping: it neither owns nor lends any more.
    pub fn record_stop(&mut self) {
        self.is_stopping = true;
        self.version += 1;
    }

    /// Drops the addresses of daemons that no longer keep a share.
    pub fn forget(&mut self, now_us: u64) {
        let before = self.daemons.len();
        let is_kept = |state: State| match state {
            State::Absent { until_us } => until_us > now_us,
            State::Live | State::Leaving => true,
        };
        self.daemons.retain(|_, daemon| is_kept(daemon.state));
        self.version += u64::from(self.daemons.len() < before);
    }

    /// Returns the time in microseconds since which this daemon may lend its shares; `None` if it
    /// may not.
    pub fn ready_us(&self, now_us: u64) -> Option<u64> {
        let alone_us = self.started_us + to_us(self.settings.alone_ms);
        let ready_us = match self.daemons.len() {
            1 => self.ready_us.max(alone_us),
            _ => self.ready_us,
        };
        let has_read = self.has_read_members && (self.has_read_absent || self.daemons.len() == 1);
        let is_ready = has_read && !self.is_stopping && now_us >= ready_us;
        is_ready.then_some(ready_us)
    }

    /// Returns the time in microseconds since which this daemon may lend its share of an
    /// organisation to an owner; `None` if it may not.
    pub fn may_lend_since(
        &self,
        now_us: u64,
        organisation: OrganisationHash,
        to: SocketAddr,
    ) -> Option<u64> {
        let ready_us = self.ready_us(now_us);
        let has_rows = self.has_read_members && !self.row_addresses.is_empty();
        let first_us = self.grown_us + to_us(self.settings.settle_first_ms);
        if ready_us.is_some() || !has_rows || self.is_stopping || now_us < first_us {
            return ready_us;
        }
        (self.first_choice(organisation) == Some(to)).then_some(first_us)
    }

    /// Returns the daemon with the highest rendezvous hash among all known ones.
    fn first_choice(&self, organisation: OrganisationHash) -> Option<SocketAddr> {
        let addresses = self.daemons.keys();
        addresses
            .copied()
            .max_by_key(|address| (rendezvous_hash(organisation, *address), *address))
    }

    /// Returns the owner of an organisation: the live daemon with the highest rendezvous hash.
    pub fn owner(&mut self, organisation: OrganisationHash) -> Option<SocketAddr> {
        if self.owners_version != self.version {
            self.owners_version = self.version;
            self.owners = SortedMap::default();
        }
        if let Some(owner) = self.owners.get(&organisation) {
            return *owner;
        }
        let owner = self.find_owner(organisation);
        self.owners.insert(organisation, owner);
        owner
    }

    fn find_owner(&self, organisation: OrganisationHash) -> Option<SocketAddr> {
        let mut highest = None;
        for (address, daemon) in self.daemons.iter() {
            let is_own_stop = self.is_stopping && *address == self.own;
            if daemon.state != State::Live || is_own_stop {
                continue;
            }
            highest = highest.max(Some((rendezvous_hash(organisation, *address), *address)));
        }
        highest.map(|(_, address)| address)
    }

    /// Returns the number of daemons among which a rate is shared out.
    pub fn lenders_len(&self) -> usize {
        let lenders_max = usize::from(self.settings.lenders_max);
        self.daemons.len().min(lenders_max)
    }

    /// Returns the daemons among which an organisation's rate is shared out: those with the highest
    /// rendezvous hashes among all that are known.
    pub fn lenders(&self, organisation: OrganisationHash) -> Vec<SocketAddr> {
        let mut by_hash = Vec::new();
        for address in self.daemons.keys() {
            by_hash.push(Reverse((rendezvous_hash(organisation, *address), *address)));
        }
        by_hash.sort_unstable();
        by_hash.truncate(self.lenders_len());
        let mut lenders = Vec::new();
        for Reverse((_, address)) in by_hash {
            lenders.push(address);
        }
        lenders
    }

    /// Returns whether this daemon has a share of an organisation's rate.
    pub fn is_lender(&self, organisation: OrganisationHash) -> bool {
        if self.daemons.len() <= self.lenders_len() {
            return true;
        }
        let own_hash = (rendezvous_hash(organisation, self.own), self.own);
        let is_higher = |address: &&SocketAddr| {
            (rendezvous_hash(organisation, **address), **address) > own_hash
        };
        self.daemons.keys().filter(is_higher).count() < self.lenders_len()
    }

    /// Records the state of a daemon. A starting daemon waits again after many additions.
    fn insert(&mut self, now_us: u64, address: SocketAddr, id: MemberId, state: State) {
        let daemon = Daemon {
            id,
            state,
            is_asked: false,
        };
        let old = self.daemons.insert(address, daemon);
        if old.is_none_or(|old| old.state != state) {
            self.version += 1;
        }
        if old.is_none() {
            self.grown_us = now_us;
        }
        let settle_us = to_us(self.settings.settle_ms);
        let is_starting = now_us < self.ready_us;
        if is_starting && self.daemons.len() > self.settled_len + self.settled_len / GROWTH_DIVISOR
        {
            self.settled_len = self.daemons.len();
            self.ready_us = now_us + settle_us;
        }
    }
}

/// Returns the rendezvous hash of an organisation and an address.
fn rendezvous_hash(organisation: OrganisationHash, address: SocketAddr) -> u64 {
    let mut bytes = [0; 26];
    match address.ip() {
        IpAddr::V4(ip) => bytes[..4].copy_from_slice(&ip.octets()),
        IpAddr::V6(ip) => bytes[..16].copy_from_slice(&ip.octets()),
    }
    bytes[16..18].copy_from_slice(&address.port().to_le_bytes());
    bytes[18..].copy_from_slice(&organisation.0.to_le_bytes());
    xxhash_rust::xxh3::xxh3_64(&bytes)
}
