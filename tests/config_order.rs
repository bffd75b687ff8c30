//! Versions under random sequences of submissions and faults: no daemon goes back to an older
//! version, no version is accepted twice, and all daemons converge.

#[path = "support/config_cluster.rs"]
mod config_cluster;
#[path = "support/network.rs"]
mod network;

use config_cluster::{ConfigCluster, deliver, record, stored_change, submission};
use dragonflylug::config::{ConfigSettings, Message, SubmitOutcome};
use network::PlatformFault;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const SECOND_US: u64 = 1_000_000;

/// The time within which a change must be active at all daemons, at the system's current size.
const PROPAGATION_MAX_US: u64 = 2 * SECOND_US;

/// The number of daemons, spread over four availability zones.
const DAEMONS: usize = 8;

#[derive(Clone, Debug)]
enum Step {
    /// Submit a change that may be based on an older version.
    Submit { node: usize, behind: u64 },
    /// Inject a fault of the platform.
    Fault(PlatformFault),
    /// Partition the daemons into two sets.
    Partition { set: u16 },
    /// End the partition.
    EndPartition,
    /// Pause a daemon.
    Pause { node: usize, for_ms: u64 },
    /// Kill a daemon and start a new one.
    Replace { node: usize },
    /// Deliver a change that a daemon may have already, as a delayed message would.
    DeliverOlder { node: usize, behind: u64 },
    /// Make reads of the table return the current rows from now on, whatever is written.
    StartStaleReads,
    /// Make reads of the table return its current rows again.
    EndStaleReads,
    /// Let time pass.
    Run { for_ms: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    let node = 0..DAEMONS;
    prop_oneof![
        4 => (node.clone(), 0..3u64).prop_map(|(node, behind)| Step::Submit { node, behind }),
        2 => prop_oneof![
            Just(PlatformFault::None),
            Just(PlatformFault::Down),
            Just(PlatformFault::ResponseLost),
            Just(PlatformFault::Slow(300_000)),
            Just(PlatformFault::Slow(2_000_000)),
        ].prop_map(Step::Fault),
        1 => any::<u16>().prop_map(|set| Step::Partition { set }),
        1 => Just(Step::EndPartition),
        1 => (node.clone(), 10..8_000u64).prop_map(|(node, for_ms)| Step::Pause { node, for_ms }),
        1 => node.clone().prop_map(|node| Step::Replace { node }),
        1 => (node, 0..4u64).prop_map(|(node, behind)| Step::DeliverOlder { node, behind }),
        1 => Just(Step::StartStaleReads),
        1 => Just(Step::EndStaleReads),
        6 => (1..1_500u64).prop_map(|for_ms| Step::Run { for_ms }),
    ]
}

struct OrderTest {
    cluster: ConfigCluster,
    /// The node index of each daemon that is running.
    running_nodes: Vec<usize>,
    submitted: u64,
    paused_until_us: u64,
}

impl OrderTest {
    fn new() -> Self {
        let settings = ConfigSettings {
            recent_bytes_max: 2_048,
            changes_kept: 16,
            ..ConfigSettings::default()
        };
        Self {
            cluster: ConfigCluster::with_settings(DAEMONS, settings),
            running_nodes: (0..DAEMONS).collect(),
            submitted: 0,
            paused_until_us: 0,
        }
    }

    fn execute(&mut self, step: Step) {
        match step {
            Step::Submit { node, behind } => self.submit(self.running_nodes[node], behind),
            Step::Fault(fault) => self.cluster.network.platform_fault = fault,
            Step::Partition { set } => {
                let side = move |node: usize| set >> (node % 16) & 1;
                self.cluster.network.link_filter = Box::new(move |from, to| side(from) == side(to));
            }
            Step::EndPartition => self.cluster.network.link_filter = Box::new(|_, _| true),
            Step::Pause { node, for_ms } => {
                let until_us = self.cluster.network.now_us + for_ms * 1_000;
                self.paused_until_us = self.paused_until_us.max(until_us);
                self.cluster
                    .network
                    .pause(self.running_nodes[node], until_us);
            }
            Step::Replace { node } => {
                self.cluster.kill(self.running_nodes[node]);
                self.running_nodes[node] = self.cluster.add();
            }
            Step::DeliverOlder { node, behind } => {
                self.deliver_older(self.running_nodes[node], behind)
            }
            Step::StartStaleReads => {
                let rows = self.cluster.network.rows.clone();
                self.cluster.network.stale_rows = Some(rows);
            }
            Step::EndStaleReads => self.cluster.network.stale_rows = None,
            Step::Run { for_ms } => self.cluster.run(for_ms * 1_000),
        }
    }

    fn submit(&mut self, node: usize, behind: u64) {
        let expected = self.cluster.version(node).saturating_sub(behind);
        self.submitted += 1;
        let id = format!("c{}", self.submitted);
        let service = format!("service-{}", self.submitted % 5);
        let retries = (self.submitted % 10) as u32;
        let mut change = submission(&id, expected, vec![record(&service, retries)]);
        if self.submitted.is_multiple_of(3) {
            let removed = format!("service-{}", (self.submitted + 1) % 5);
            change.removed = vec![removed.as_str().into()];
        }
        self.cluster.submit(node, change);
    }

    fn deliver_older(&mut self, node: usize, behind: u64) {
        let older = self.cluster.version(node).saturating_sub(behind);
        let Some(change) = stored_change(&self.cluster.network.rows, older) else {
            return;
        };
        deliver(&mut self.cluster, node, Message::Push(vec![change]));
    }

    /// Ends all faults, waits until no daemon is paused, and returns the version in the table.
    fn end_faults(&mut self) -> u64 {
        self.cluster.network.platform_fault = PlatformFault::None;
        self.cluster.network.stale_rows = None;
        self.cluster.network.link_filter = Box::new(|_, _| true);
        let wait_us = self
            .paused_until_us
            .saturating_sub(self.cluster.network.now_us);
        self.cluster.run(wait_us);
        let key = "config/version".to_string();
        let Some((_, text)) = self.cluster.network.rows.get(&key) else {
            return 0;
        };
        let row: serde_json::Value = serde_json::from_str(text).unwrap();
        row["version"].as_u64().unwrap()
    }

    /// Checks that no version was accepted for two changes.
    fn check_outcomes(&self) {
        let mut accepted = Vec::new();
        for node in 0..self.cluster.members.len() {
            for outcome in self.cluster.outcomes(node) {
                let SubmitOutcome::Accepted { version } = outcome else {
                    continue;
                };
                assert!(!accepted.contains(&version), "version {version} twice");
                accepted.push(version);
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(20_261_203),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_version_reverts_and_all_daemons_converge(
        steps in prop::collection::vec(step(), 1..60),
    ) {
        let mut test = OrderTest::new();
        test.cluster.run(100_000);
        for step in steps {
            test.execute(step);
        }
        let version = test.end_faults();
        let all = test.cluster.run_until_all_have(version, PROPAGATION_MAX_US);
        prop_assert!(all, "{version} {:?}", test.cluster.versions());
        test.cluster.run(15 * SECOND_US);
        test.check_outcomes();
        let version = test.end_faults();
        for node in &test.running_nodes {
            prop_assert_eq!(test.cluster.version(*node), version);
        }
    }
}
