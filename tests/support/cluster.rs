//! Daemons with only their membership, on the fake network.

#![allow(dead_code)]

use std::cell::Cell;
use std::net::SocketAddr;

use dragonflylug::ids::MemberId;
use dragonflylug::kernel::Kernel;
use dragonflylug::membership::{self, Member, MemberState, Membership, MembershipSettings};

use crate::network::Network;

/// Says whether messages pass from one node to another.
pub type LinkFilter = Box<dyn Fn(usize, usize) -> bool>;

pub const SECOND_US: u64 = 1_000_000;

/// The members of one network, by their place in it.
pub struct Cluster {
    pub network: Network,
    pub zones: usize,
    pub settings: MembershipSettings,
}

impl Cluster {
    /// Makes a network without members.
    pub fn new(zones: usize) -> Self {
        Self {
            network: Network::new(500),
            zones,
            settings: MembershipSettings::default(),
        }
    }

    /// Makes a network of members that started one after the other within two seconds.
    pub fn with_staggered_start(count: usize, zones: usize) -> Self {
        let mut cluster = Self::new(zones);
        for _ in 0..count {
            cluster.add();
            let pause_us = 2 * SECOND_US / count as u64;
            cluster.run_for(pause_us);
        }
        cluster
    }

    /// Makes a network of members that all know each other.
    pub fn converged(count: usize, zones: usize) -> Self {
        let mut cluster = Self::with_staggered_start(count, zones);
        assert!(
            cluster.converges_within(60 * SECOND_US),
            "{}",
            cluster.summary()
        );
        cluster
    }

    /// Starts one more member at an address of its own.
    pub fn add(&mut self) -> usize {
        let at = self.network.nodes.len();
        self.add_at(address(at))
    }

    /// Starts one more member at an address.
    pub fn add_at(&mut self, address: SocketAddr) -> usize {
        let at = self.network.nodes.len();
        let own = Member {
            id: id(at),
            address,
            availability_zone: format!("zone-{}", self.zone(at)).as_str().into(),
            service: None,
            slots: 0,
            state: MemberState::Alive,
            incarnation: 0,
            schema_version: 1,
        };
        let mut kernel = Kernel::new(at as u64 + 1);
        kernel.register(Box::new(Membership::new(self.settings.clone(), own)));
        self.network.add(address, kernel)
    }

    pub fn zone(&self, node: usize) -> usize {
        node % self.zones
    }

    pub fn run_for(&mut self, for_us: u64) {
        let until_us = self.network.now_us + for_us;
        self.network.run_until(until_us);
    }

    pub fn membership(&mut self, node: usize) -> &mut Membership {
        let kernel = &mut self.network.nodes[node].kernel;
        kernel.find(membership::NAME).unwrap()
    }

    pub fn observed_state(&mut self, at: usize, of: usize) -> Option<MemberState> {
        Some(self.membership(at).get(id(of))?.state)
    }

    pub fn running_nodes(&self) -> Vec<usize> {
        let is_up = |node: &usize| self.network.nodes[*node].is_up;
        (0..self.network.nodes.len()).filter(is_up).collect()
    }

    /// Says whether each member that is up knows as alive exactly those that are up.
    pub fn has_converged(&mut self) -> bool {
        let mut ids: Vec<_> = self.running_nodes().into_iter().map(id).collect();
        ids.sort();
        for node in self.running_nodes() {
            let members = self.membership(node).members();
            let mut at = 0;
            for member in members {
                if ids.get(at) != Some(&member.id) || member.state != MemberState::Alive {
                    return false;
                }
                at += 1;
            }
            if at != ids.len() {
                return false;
            }
        }
        true
    }

    /// Runs until the members settle, in steps of a tenth of a second.
    pub fn converges_within(&mut self, within_us: u64) -> bool {
        self.wait_until(within_us, Self::has_converged)
    }

    /// Runs until a condition holds, in steps of a tenth of a second; returns whether it did.
    pub fn wait_until(&mut self, within_us: u64, mut holds: impl FnMut(&mut Self) -> bool) -> bool {
        let until_us = self.network.now_us + within_us;
        while !holds(self) {
            if self.network.now_us >= until_us {
                return false;
            }
            self.run_for(SECOND_US / 10);
        }
        true
    }

    /// Describes who knows too few, too many or not all as alive, for a failed assertion.
    pub fn summary(&mut self) -> String {
        let up = self.running_nodes();
        let mut text = format!("now_us={} up={}", self.network.now_us, up.len());
        for node in up.iter().copied() {
            let members: Vec<_> = self.membership(node).members().cloned().collect();
            let not_alive = |member: &&Member| member.state != MemberState::Alive;
            let others = members.iter().filter(not_alive).count();
            if members.len() != up.len() || others > 0 {
                text.push_str(&format!(" {node}:{}-{others}", members.len()));
            }
        }
        text
    }
}

pub fn id(node: usize) -> MemberId {
    MemberId(xxhash_rust::xxh3::xxh3_64(&(node as u64).to_le_bytes()))
}

pub fn address(node: usize) -> SocketAddr {
    let [_, _, high, low] = (node as u32).to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 7000))
}

/// Lets messages pass but for some in a hundred, the same ones in each run.
pub fn lossy(lost_percent: u64) -> LinkFilter {
    let sent = Cell::new(0u64);
    Box::new(move |_, _| {
        sent.set(sent.get() + 1);
        xxhash_rust::xxh3::xxh3_64(&sent.get().to_le_bytes()) % 100 >= lost_percent
    })
}

/// Lets no message pass between the members of a zone and all others.
pub fn isolate_zone(zone: usize, zones: usize) -> LinkFilter {
    Box::new(move |from, to| (from % zones == zone) == (to % zones == zone))
}

/// Lets messages into a zone and none out of it.
pub fn block_zone_outbound(zone: usize, zones: usize) -> LinkFilter {
    Box::new(move |from, to| from % zones != zone || to % zones == zone)
}

/// Lets all messages pass.
pub fn deliver_all() -> LinkFilter {
    Box::new(|_, _| true)
}
