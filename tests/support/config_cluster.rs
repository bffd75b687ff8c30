//! A simulated cluster of daemons that run only the configuration service. Membership is simulated
//! by notices.

#![allow(dead_code)]

use std::net::SocketAddr;

use dragonflylug::config::{
    Change, Config, ConfigSettings, ConfigView, Message, NAME, Policy, RequestKind, ServiceRecord,
    Submission, SubmitOutcome,
};
use dragonflylug::ids::{CallKey, InboundKey, MemberId, Priority};
use dragonflylug::kernel::{Context, Event, Kernel, Notice, Service};
use dragonflylug::membership::{Member, MemberState};
use dragonflylug::operator::{OperatorReply, OperatorRequest};
use dragonflylug::peer::PeerRequest;
use dragonflylug::sorted::SortedMap;

use crate::network::Network;

/// The availability zones, to which daemons are assigned in turn.
const ZONES: [&str; 4] = ["zone-1", "zone-2", "zone-3", "zone-4"];

/// The one-way delay of a network link.
const LINK_US: u64 = 500;

pub struct ConfigCluster {
    pub network: Network,
    pub members: Vec<Member>,
    pub settings: ConfigSettings,
    pub version_checker: VersionChecker,
    next_call: u64,
}

/// Checks the versions and contents that daemons activate.
#[derive(Default)]
pub struct VersionChecker {
    /// Daemons that read only an older schema, whose contents differ from those of others.
    pub older_schema_nodes: Vec<usize>,
    versions: Vec<u64>,
    contents: SortedMap<u64, ConfigView>,
}

impl VersionChecker {
    /// Fails if a daemon went back to an older version, or if a version has different contents at
    /// two daemons.
    fn check(&mut self, network: &mut Network) {
        self.versions.resize(network.nodes.len(), 0);
        for (index, node) in network.nodes.iter_mut().enumerate() {
            let config = node.kernel.find::<Config>(NAME).unwrap();
            let version = config.version();
            let before = self.versions[index];
            if version == before {
                continue;
            }
            assert!(
                version > before,
                "daemon {index} went from {before} to {version}"
            );
            self.versions[index] = version;
            let view = config.view();
            assert_eq!(view.version, version);
            if self.older_schema_nodes.contains(&index) {
                continue;
            }
            let content = self
                .contents
                .get_or_insert_with(version, || (*view).clone());
            assert_eq!(content, &*view, "daemon {index} at version {version}");
        }
    }
}

impl ConfigCluster {
    /// Creates a cluster in which each daemon was reported to all others.
    pub fn new(count: usize) -> Self {
        Self::with_settings(count, ConfigSettings::default())
    }

    pub fn with_settings(count: usize, settings: ConfigSettings) -> Self {
        let mut cluster = Self {
            network: Network::new(LINK_US),
            members: Vec::new(),
            settings,
            version_checker: VersionChecker::default(),
            next_call: 0,
        };
        for _ in 0..count {
            cluster.add();
        }
        cluster
    }

    /// Adds a daemon, reports it to all others and reports the running ones to it.
    pub fn add(&mut self) -> usize {
        let settings = self.settings.clone();
        self.add_with(settings)
    }

    pub fn add_with(&mut self, settings: ConfigSettings) -> usize {
        let node = self.add_unconnected(settings);
        for other in 0..node {
            if self.network.nodes[other].is_up {
                self.report_member(node, other);
            }
            self.report_member(other, node);
        }
        node
    }

    /// Creates a cluster in which no daemon was reported to another.
    pub fn unconnected(count: usize, settings: ConfigSettings) -> Self {
        let mut cluster = Self::with_settings(0, settings.clone());
        for _ in 0..count {
            cluster.add_unconnected(settings.clone());
        }
        cluster
    }

    /// Reports another daemon as alive to a daemon.
    pub fn report_member(&mut self, node: usize, other: usize) {
        let member = self.members[other].clone();
        self.network
            .deliver_notice(node, Notice::MemberChanged(member));
    }

    fn add_unconnected(&mut self, settings: ConfigSettings) -> usize {
        let node = self.members.len();
        if settings.schema_version_max < self.settings.schema_version_max {
            self.version_checker.older_schema_nodes.push(node);
        }
        let member = Member {
            id: MemberId(1_000 + node as u64),
            address: SocketAddr::from(([10, 0, (node / 250) as u8, (node % 250) as u8], 1)),
            availability_zone: ZONES[node % ZONES.len()].into(),
            service: None,
            slots: 0,
            state: MemberState::Alive,
            incarnation: 0,
            schema_version: settings.schema_version_max,
        };
        let mut kernel = Kernel::new(7 + node as u64);
        let zone = member.availability_zone.clone();
        kernel.register(Box::new(Config::new(settings, member.id, zone)));
        self.network.add(member.address, kernel);
        self.members.push(member);
        node
    }

    /// Runs for a duration of virtual time, checking versions.
    pub fn run(&mut self, for_us: u64) {
        let until_us = self.network.now_us + for_us;
        let checker = &mut self.version_checker;
        self.network.run_while(until_us, |network| {
            checker.check(network);
            true
        });
        self.network.run_until(until_us);
        self.version_checker.check(&mut self.network);
    }

    /// Runs until each daemon that is up and not paused has reached a version; returns whether
    /// that was within the given time.
    pub fn run_until_all_have(&mut self, version: u64, within_us: u64) -> bool {
        let until_us = self.network.now_us + within_us;
        let checker = &mut self.version_checker;
        self.network.run_while(until_us, |network| {
            checker.check(network);
            let mut is_waiting = false;
            for (index, node) in network.nodes.iter().enumerate() {
                let is_running = node.is_up && node.paused_until_us <= network.now_us;
                is_waiting |= is_running && checker.versions[index] < version;
            }
            is_waiting
        })
    }

    /// Kills a daemon and reports it gone to all others, as the membership service would.
    pub fn kill(&mut self, node: usize) {
        self.network.kill(node);
        let id = self.members[node].id;
        for other in 0..self.members.len() {
            if self.network.nodes[other].is_up {
                self.network.deliver_notice(other, Notice::MemberGone(id));
            }
        }
    }

    /// Submits one record of the service `payouts` at a daemon.
    pub fn submit_one(&mut self, node: usize, id: &str, expected: u64, retries: u32) {
        self.submit(
            node,
            submission(id, expected, vec![record("payouts", retries)]),
        );
    }

    /// Returns the sum of a counter of a daemon over its labels.
    pub fn counter(&self, node: usize, name: &'static str) -> u64 {
        let mut sum = 0;
        for (counter, count) in self.network.nodes[node].counters.iter() {
            if counter.name == name {
                sum += count;
            }
        }
        sum
    }

    pub fn submit(&mut self, node: usize, submission: Submission) -> CallKey {
        self.next_call += 1;
        let call = CallKey(self.next_call);
        let request = OperatorRequest::Submit(submission);
        self.network
            .deliver_event(node, NAME, Event::OperatorRequest { call, request });
        call
    }

    pub fn config(&mut self, node: usize) -> &mut Config {
        self.network.nodes[node].kernel.find(NAME).unwrap()
    }

    pub fn version(&mut self, node: usize) -> u64 {
        self.config(node).version()
    }

    pub fn versions(&mut self) -> Vec<u64> {
        (0..self.members.len())
            .map(|node| self.version(node))
            .collect()
    }

    pub fn view(&mut self, node: usize) -> ConfigView {
        (*self.config(node).view()).clone()
    }

    /// Returns the active number of retries for a service.
    pub fn retries(&mut self, node: usize, service: &str) -> Option<u32> {
        let policy = self.config(node).policy(&service.into(), "GET", "/")?;
        Some(policy.retries)
    }

    /// Returns the outcomes of the submissions at a daemon, in order of the replies.
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

/// Returns a record with one kind of request.
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

/// Returns an accepted change from the table's rows.
pub fn stored_change(rows: &SortedMap<String, (u64, String)>, version: u64) -> Option<Change> {
    let (_, text) = rows.get(&format!("config/change/{version:020}"))?;
    let row: serde_json::Value = serde_json::from_str(text).unwrap();
    Some(serde_json::from_value(row["change"].clone()).unwrap())
}

/// Delivers a configuration message to a daemon that no other daemon sent.
pub fn deliver(cluster: &mut ConfigCluster, node: usize, message: Message) {
    let event = Event::PeerRequest {
        inbound: InboundKey(0),
        request: PeerRequest::Config(message),
    };
    cluster.network.deliver_event(node, NAME, event);
}

/// The service name of [`PeerVersionReporter`].
pub const PEER_VERSION_REPORTER: &str = "caller";

/// A service that reports the version of another daemon to the configuration service when it
/// starts, as a call from that daemon would.
pub struct PeerVersionReporter {
    pub version: u64,
    pub from: SocketAddr,
}

impl Service for PeerVersionReporter {
    fn name(&self) -> &'static str {
        PEER_VERSION_REPORTER
    }

    fn handle(&mut self, context: &mut Context<'_>, event: Event) {
        if matches!(event, Event::Started) {
            context.with_service(NAME, |config: &mut Config, context| {
                config.record_peer_version(context, self.version, self.from);
            });
        }
    }
}
