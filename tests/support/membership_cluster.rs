//! Daemons that run only the membership service, on the simulated network.

#![allow(dead_code)]

use std::cell::Cell;
use std::net::SocketAddr;

use dragonflylug::ids::MemberId;
use dragonflylug::kernel::Kernel;
use dragonflylug::membership::{self, Member, MemberState, Membership, MembershipSettings};

use crate::network::Network;

/// Returns whether messages are delivered from one node to another.
pub type LinkFilter = Box<dyn Fn(usize, usize) -> bool>;

pub const SECOND_US: u64 = 1_000_000;

/// A simulated network whose nodes are members, in the order of their node indices.
pub struct MembershipCluster {
    pub network: Network,
    pub zones: usize,
    pub settings: MembershipSettings,
}

impl MembershipCluster {
    /// Creates a cluster without members.
    pub fn new(zones: usize) -> Self {
        Self {
            network: Network::new(500),
            zones,
            settings: MembershipSettings::default(),
        }
    }

    /// Creates a cluster whose members start one after the other within two seconds.
    pub fn with_staggered_start(count: usize, zones: usize) -> Self {
        let mut cluster = Self::new(zones);
        for _ in 0..count {
            cluster.add();
            let start_interval_us = 2 * SECOND_US / count as u64;
            cluster.run_for(start_interval_us);
        }
        cluster
    }

    /// Creates a cluster in which each member has all others as alive in its roster.
    pub fn converged(count: usize, zones: usize) -> Self {
        let mut cluster = Self::with_staggered_start(count, zones);
        assert!(
            cluster.converges_within(60 * SECOND_US),
            "{}",
            cluster.summary()
        );
        cluster
    }

    /// Starts one more member at an unused address.
    pub fn add(&mut self) -> usize {
        let node = self.network.nodes.len();
        self.add_at(address(node))
    }

    /// Starts one more member at an address.
    pub fn add_at(&mut self, address: SocketAddr) -> usize {
        let node = self.network.nodes.len();
        let own = Member {
            id: id(node),
            address,
            availability_zone: format!("zone-{}", self.zone(node)).as_str().into(),
            service: None,
            slots: 0,
            state: MemberState::Alive,
            incarnation: 0,
            schema_version: 1,
        };
        let mut kernel = Kernel::new(node as u64 + 1);
        kernel.register(Box::new(Membership::new(self.settings.clone(), own)));
        self.network.add(address, kernel)
    }

    pub fn zone(&self, node: usize) -> usize {
        node % self.zones
    }

    pub fn run_for(&mut self, duration_us: u64) {
        let until_us = self.network.now_us + duration_us;
        self.network.run_until(until_us);
    }

    pub fn membership(&mut self, node: usize) -> &mut Membership {
        let kernel = &mut self.network.nodes[node].kernel;
        kernel.find(membership::NAME).unwrap()
    }

    /// Returns the state of a subject in the roster of an observer.
    pub fn observed_state(&mut self, observer: usize, subject: usize) -> Option<MemberState> {
        Some(self.membership(observer).get(id(subject))?.state)
    }

    pub fn running_nodes(&self) -> Vec<usize> {
        let is_up = |node: &usize| self.network.nodes[*node].is_up;
        (0..self.network.nodes.len()).filter(is_up).collect()
    }

    /// Returns whether the roster of each running member consists of exactly the running members,
    /// all of them alive.
    pub fn has_converged(&mut self) -> bool {
        let mut ids: Vec<_> = self.running_nodes().into_iter().map(id).collect();
        ids.sort();
        for node in self.running_nodes() {
            let members = self.membership(node).members();
            let mut index = 0;
            for member in members {
                if ids.get(index) != Some(&member.id) || member.state != MemberState::Alive {
                    return false;
                }
                index += 1;
            }
            if index != ids.len() {
                return false;
            }
        }
        true
    }

    /// Runs until the rosters have converged, in steps of a tenth of a second; returns
    /// whether they did in time.
    pub fn converges_within(&mut self, timeout_us: u64) -> bool {
        self.wait_until(timeout_us, Self::has_converged)
    }

    /// Runs until a condition holds, in steps of a tenth of a second; returns whether it did in
    /// time.
    pub fn wait_until(
        &mut self,
        timeout_us: u64,
        mut holds: impl FnMut(&mut Self) -> bool,
    ) -> bool {
        let until_us = self.network.now_us + timeout_us;
        while !holds(self) {
            if self.network.now_us >= until_us {
                return false;
            }
            self.run_for(SECOND_US / 10);
        }
        true
    }

    /// Describes, for a failed assertion, the running members whose roster has not
    /// converged, as `<node>:<number of members>-<number of members that are not alive>`.
    pub fn summary(&mut self) -> String {
        let running = self.running_nodes();
        let mut text = format!("now_us={} up={}", self.network.now_us, running.len());
        for node in running.iter().copied() {
            let members: Vec<_> = self.membership(node).members().cloned().collect();
            let not_alive = |member: &&Member| member.state != MemberState::Alive;
            let not_alive_count = members.iter().filter(not_alive).count();
            if members.len() != running.len() || not_alive_count > 0 {
                text.push_str(&format!(" {node}:{}-{not_alive_count}", members.len()));
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

/// Drops a percentage of all messages, the same ones in each run.
pub fn lossy(lost_percent: u64) -> LinkFilter {
    let sent = Cell::new(0u64);
    Box::new(move |_, _| {
        sent.set(sent.get() + 1);
        xxhash_rust::xxh3::xxh3_64(&sent.get().to_le_bytes()) % 100 >= lost_percent
    })
}

/// Drops all messages between the members of a zone and the other members.
pub fn isolate_zone(zone: usize, zones: usize) -> LinkFilter {
    Box::new(move |from, to| (from % zones == zone) == (to % zones == zone))
}

/// Drops all messages out of a zone, and delivers those into it.
pub fn block_zone_outbound(zone: usize, zones: usize) -> LinkFilter {
    Box::new(move |from, to| from % zones != zone || to % zones == zone)
}

/// Delivers all messages.
pub fn deliver_all() -> LinkFilter {
    Box::new(|_, _| true)
}
