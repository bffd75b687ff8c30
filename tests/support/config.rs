//! Daemons with only the configuration service, which know each other from the start.

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

/// The availability zones; daemons are dealt out to them in turn.
const ZONES: [&str; 4] = ["zone-1", "zone-2", "zone-3", "zone-4"];

/// The delay of a link.
const LINK_US: u64 = 500;

pub struct Cluster {
    pub network: Network,
    pub members: Vec<Member>,
    pub settings: ConfigSettings,
    pub watch: Watch,
    next_call: u64,
}

/// What each daemon had in force so far.
#[derive(Default)]
pub struct Watch {
    /// Daemons that read only an older schema: their contents are others.
    pub older: Vec<usize>,
    versions: Vec<u64>,
    contents: SortedMap<u64, ConfigView>,
}

impl Watch {
    /// Fails where a version went back, or where a version has two contents.
    fn look(&mut self, network: &mut Network) {
        self.versions.resize(network.nodes.len(), 0);
        for (at, node) in network.nodes.iter_mut().enumerate() {
            let config = node.kernel.find::<Config>(NAME).unwrap();
            let version = config.version();
            let before = self.versions[at];
            if version == before {
                continue;
            }
            assert!(
                version > before,
                "daemon {at} went from {before} to {version}"
            );
            self.versions[at] = version;
            let view = config.view();
            assert_eq!(view.version, version);
            if self.older.contains(&at) {
                continue;
            }
            let content = self
                .contents
                .get_or_insert_with(version, || (*view).clone());
            assert_eq!(content, &*view, "daemon {at} at version {version}");
        }
    }
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
            watch: Watch::default(),
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
        let at = self.add_stranger(settings);
        for other in 0..at {
            if self.network.nodes[other].is_up {
                self.introduce(at, other);
            }
            self.introduce(other, at);
        }
        at
    }

    /// Makes daemons that don't know each other.
    pub fn strangers(count: usize, settings: ConfigSettings) -> Self {
        let mut cluster = Self::with_settings(0, settings.clone());
        for _ in 0..count {
            cluster.add_stranger(settings.clone());
        }
        cluster
    }

    /// Lets a daemon know of another one.
    pub fn introduce(&mut self, node: usize, other: usize) {
        let member = self.members[other].clone();
        self.network.notice(node, Notice::MemberChanged(member));
    }

    fn add_stranger(&mut self, settings: ConfigSettings) -> usize {
        let at = self.members.len();
        if settings.schema_version_max < self.settings.schema_version_max {
            self.watch.older.push(at);
        }
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
        let mut kernel = Kernel::new(7 + at as u64);
        let zone = member.availability_zone.clone();
        kernel.register(Box::new(Config::new(settings, member.id, zone)));
        self.network.add(member.address, kernel);
        self.members.push(member);
        at
    }

    /// Runs for a time.
    pub fn run(&mut self, for_us: u64) {
        let until_us = self.network.now_us + for_us;
        let watch = &mut self.watch;
        self.network.run_while(until_us, |network| {
            watch.look(network);
            true
        });
        self.network.run_until(until_us);
        self.watch.look(&mut self.network);
    }

    /// Runs until each daemon that is up and not paused has a version; returns whether that was in time.
    pub fn run_until_all_have(&mut self, version: u64, within_us: u64) -> bool {
        let until_us = self.network.now_us + within_us;
        let watch = &mut self.watch;
        self.network.run_while(until_us, |network| {
            watch.look(network);
            let mut goes_on = false;
            for (at, node) in network.nodes.iter().enumerate() {
                let runs = node.is_up && node.paused_until_us <= network.now_us;
                goes_on |= runs && watch.versions[at] < version;
            }
            goes_on
        })
    }

    /// Says that a daemon is gone to all others, as the membership service would.
    pub fn kill(&mut self, node: usize) {
        self.network.kill(node);
        let id = self.members[node].id;
        for other in 0..self.members.len() {
            if self.network.nodes[other].is_up {
                self.network.notice(other, Notice::MemberGone(id));
            }
        }
    }

    /// Submits a record at a daemon and returns what became of it.
    pub fn submit_one(&mut self, node: usize, id: &str, expected: u64, retries: u32) {
        self.submit(
            node,
            submission(id, expected, vec![record("payouts", retries)]),
        );
    }

    /// Returns a counter of a daemon.
    pub fn counted(&self, node: usize, name: &'static str) -> u64 {
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
            .event(node, NAME, Event::OperatorRequest { call, request });
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

/// Returns an accepted change from the table's rows.
pub fn stored_change(rows: &SortedMap<String, (u64, String)>, version: u64) -> Option<Change> {
    let (_, text) = rows.get(&format!("config/change/{version:020}"))?;
    let row: serde_json::Value = serde_json::from_str(text).unwrap();
    Some(serde_json::from_value(row["change"].clone()).unwrap())
}

/// Hands a daemon a message that is in nobody's name.
pub fn offer(cluster: &mut Cluster, node: usize, message: Message) {
    let event = Event::PeerRequest {
        inbound: InboundKey(0),
        request: PeerRequest::Config(message),
    };
    cluster.network.event(node, NAME, event);
}

/// The name of [`Caller`].
pub const CALLER: &str = "caller";

/// A service that takes a call with a greater version from another daemon.
pub struct Caller {
    pub version: u64,
    pub from: SocketAddr,
}

impl Service for Caller {
    fn name(&self) -> &'static str {
        CALLER
    }

    fn handle(&mut self, context: &mut Context<'_>, event: Event) {
        if matches!(event, Event::Started) {
            context.with_service(NAME, |config: &mut Config, context| {
                config.record_peer_version(context, self.version, self.from);
            });
        }
    }
}
