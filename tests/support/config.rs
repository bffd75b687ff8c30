//! Daemons with only the configuration service, which know each other from the start.

#![allow(dead_code)]

use std::net::SocketAddr;

use dragonflylug::config::{
    Config, ConfigSettings, ConfigView, NAME, Policy, RequestKind, ServiceRecord, Submission,
    SubmitOutcome,
};
use dragonflylug::ids::{CallKey, MemberId, Priority};
use dragonflylug::kernel::{Event, Kernel, Notice};
use dragonflylug::membership::{Member, MemberState};
use dragonflylug::operator::{OperatorReply, OperatorRequest};

use crate::network::Network;

/// The availability zones; daemons are dealt out to them in turn.
const ZONES: [&str; 4] = ["zone-1", "zone-2", "zone-3", "zone-4"];

/// The delay of a link.
const LINK_US: u64 = 500;

pub struct Cluster {
    pub network: Network,
    pub members: Vec<Member>,
    pub settings: ConfigSettings,
    seed: u64,
    next_call: u64,
}

impl Cluster {
    /// Makes daemons that know each other.
    pub fn new(count: usize) -> Self {
        Self::with_settings(count, ConfigSettings::default())
    }

    pub fn with_settings(count: usize, settings: ConfigSettings) -> Self {
        let mut cluster = Self {
            network: Network::new(LINK_US),
            members: Vec::new(),
            settings,
            seed: 7,
            next_call: 0,
        };
        for _ in 0..count {
            cluster.add();
        }
        cluster
    }

    /// Adds a daemon that all others learn of, and it of them.
    pub fn add(&mut self) -> usize {
        let settings = self.settings.clone();
        self.add_with(settings)
    }

    pub fn add_with(&mut self, settings: ConfigSettings) -> usize {
        let at = self.members.len();
        let member = Member {
            id: MemberId(1_000 + at as u64),
            address: SocketAddr::from(([10, 0, (at / 250) as u8, (at % 250) as u8], 1)),
            availability_zone: ZONES[at % ZONES.len()].into(),
            service: None,
            slots: 0,
            state: MemberState::Alive,
            incarnation: 0,
            schema_version: settings.schema_version_max,
        };
        let mut kernel = Kernel::new(self.seed + at as u64);
        let zone = member.availability_zone.clone();
        kernel.register(Box::new(Config::new(settings, member.id, zone)));
        self.network.add(member.address, kernel);
        for (other, known) in self.members.iter().enumerate() {
            if self.network.nodes[other].is_up {
                let notice = Notice::MemberChanged(known.clone());
                self.network.notice(at, notice);
            }
            self.network
                .notice(other, Notice::MemberChanged(member.clone()));
        }
        self.members.push(member);
        at
    }

    /// Runs for a time.
    pub fn run(&mut self, for_us: u64) {
        let until_us = self.network.now_us + for_us;
        self.network.run_until(until_us);
    }

    /// Runs until each daemon that is up has a version; returns whether that was in time.
    pub fn run_until_all_have(&mut self, version: u64, until_us: u64) -> bool {
        self.network.run_while(until_us, |network| {
            for node in &mut network.nodes {
                if !node.is_up {
                    continue;
                }
                let config = node.kernel.find::<Config>(NAME).unwrap();
                if config.version() < version {
                    return true;
                }
            }
            false
        })
    }

    pub fn submit(&mut self, node: usize, submission: Submission) -> CallKey {
        self.next_call += 1;
        let call = CallKey(self.next_call);
        let request = OperatorRequest::Submit(submission);
        self.network
            .event(node, NAME, Event::OperatorAsked { call, request });
        call
    }

    pub fn config(&mut self, node: usize) -> &mut Config {
        self.network.nodes[node].kernel.find(NAME).unwrap()
    }

    pub fn version(&mut self, node: usize) -> u64 {
        self.config(node).version()
    }

    pub fn versions(&mut self) -> Vec<u64> {
        (0..self.members.len()).map(|at| self.version(at)).collect()
    }

    pub fn view(&mut self, node: usize) -> ConfigView {
        (*self.config(node).view()).clone()
    }

    /// Returns the retries in force for a service.
    pub fn retries(&mut self, node: usize, service: &str) -> Option<u32> {
        let policy = self.config(node).policy(&service.into(), "GET", "/")?;
        Some(policy.retries)
    }

    /// Returns what became of the submissions at a daemon, in order of the replies.
    pub fn outcomes(&self, node: usize) -> Vec<SubmitOutcome> {
        let mut outcomes = Vec::new();
        for (_, reply) in &self.network.nodes[node].operator_replies {
            if let OperatorReply::Submitted(outcome) = reply {
                outcomes.push(outcome.clone());
            }
        }
        outcomes
    }
}

/// Makes a record of one kind of request.
pub fn record(service: &str, retries: u32) -> ServiceRecord {
    let policy = Policy {
        priority: Priority::High,
        is_idempotent: true,
        retries,
        deadline_ms: 1_000,
        hedge_after_ms: 0,
    };
    ServiceRecord {
        schema_version: 2,
        service: service.into(),
        kinds: vec![RequestKind {
            method: "*".into(),
            path_prefix: "/".into(),
            policy,
        }],
    }
}

pub fn submission(
    change_id: &str,
    expected_version: u64,
    records: Vec<ServiceRecord>,
) -> Submission {
    Submission {
        change_id: change_id.into(),
        expected_version,
        records,
        removed: Vec::new(),
    }
}
