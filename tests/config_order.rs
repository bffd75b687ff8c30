//! Versions under any order of submissions and faults: none reverts, all daemons come together.

#[path = "support/config.rs"]
mod config;
#[path = "support/network.rs"]
mod network;

use config::{Cluster, offer, record, stored_change, submission};
use dragonflylug::config::{ConfigSettings, Message, SubmitOutcome};
use network::PlatformFault;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const SECOND_US: u64 = 1_000_000;

/// The bound of today's size.
const IN_FORCE_US: u64 = 2 * SECOND_US;

/// The daemons, in four availability zones.
const DAEMONS: usize = 8;

#[derive(Clone, Debug)]
enum Step {
    /// SubmitTransaction a change; an operator may have seen an older version.
    Submit { node: usize, behind: u64 },
    /// Set the fault of the platform.
    Fault(PlatformFault),
    /// Cut the links between two sets of daemons.
    Cut { set: u16 },
    /// Heal all links.
    Heal,
    /// Pause a daemon.
    Pause { node: usize, for_ms: u64 },
    /// Kill a daemon and start another.
    Replace { node: usize },
    /// Hand a daemon changes that it may have, in the name of a late peer.
    OfferOlder { node: usize, behind: u64 },
    /// From now on reads of the table see its present rows.
    FreezeReads,
    /// Reads of the table see what is there.
    ThawReads,
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
            Just(PlatformFault::AnswerLost),
            Just(PlatformFault::Slow(300_000)),
            Just(PlatformFault::Slow(2_000_000)),
        ].prop_map(Step::Fault),
        1 => any::<u16>().prop_map(|set| Step::Cut { set }),
        1 => Just(Step::Heal),
        1 => (node.clone(), 10..8_000u64).prop_map(|(node, for_ms)| Step::Pause { node, for_ms }),
        1 => node.clone().prop_map(|node| Step::Replace { node }),
        1 => (node, 0..4u64).prop_map(|(node, behind)| Step::OfferOlder { node, behind }),
        1 => Just(Step::FreezeReads),
        1 => Just(Step::ThawReads),
        6 => (1..1_500u64).prop_map(|for_ms| Step::Run { for_ms }),
    ]
}

struct Run {
    cluster: Cluster,
    /// The place of each daemon that is up.
    places: Vec<usize>,
    submitted: u64,
    paused_until_us: u64,
}

impl Run {
    fn new() -> Self {
        let settings = ConfigSettings {
            recent_bytes_max: 2_048,
            changes_kept: 16,
            ..ConfigSettings::default()
        };
        Self {
            cluster: Cluster::with_settings(DAEMONS, settings),
            places: (0..DAEMONS).collect(),
            submitted: 0,
            paused_until_us: 0,
        }
    }

    fn carry_out(&mut self, step: Step) {
        match step {
            Step::Submit { node, behind } => self.submit(self.places[node], behind),
            Step::Fault(fault) => self.cluster.network.platform_fault = fault,
            Step::Cut { set } => {
                let side = move |node: usize| set >> (node % 16) & 1;
                self.cluster.network.passes = Box::new(move |from, to| side(from) == side(to));
            }
            Step::Heal => self.cluster.network.passes = Box::new(|_, _| true),
            Step::Pause { node, for_ms } => {
                let until_us = self.cluster.network.now_us + for_ms * 1_000;
                self.paused_until_us = self.paused_until_us.max(until_us);
                self.cluster.network.pause(self.places[node], until_us);
            }
            Step::Replace { node } => {
                self.cluster.kill(self.places[node]);
                self.places[node] = self.cluster.add();
            }
            Step::OfferOlder { node, behind } => self.offer_older(self.places[node], behind),
            Step::FreezeReads => {
                let rows = self.cluster.network.rows.clone();
                self.cluster.network.stale_rows = Some(rows);
            }
            Step::ThawReads => self.cluster.network.stale_rows = None,
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

    fn offer_older(&mut self, node: usize, behind: u64) {
        let older = self.cluster.version(node).saturating_sub(behind);
        let Some(change) = stored_change(&self.cluster.network.rows, older) else {
            return;
        };
        offer(&mut self.cluster, node, Message::Push(vec![change]));
    }

    /// Ends all faults and returns the version that the table holds.
    fn heal(&mut self) -> u64 {
        self.cluster.network.platform_fault = PlatformFault::None;
        self.cluster.network.stale_rows = None;
        self.cluster.network.passes = Box::new(|_, _| true);
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

    /// No version was accepted for two changes.
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
        let mut run = Run::new();
        run.cluster.run(100_000);
        for step in steps {
            run.carry_out(step);
        }
        let version = run.heal();
        let all = run.cluster.run_until_all_have(version, IN_FORCE_US);
        prop_assert!(all, "{version} {:?}", run.cluster.versions());
        run.cluster.run(15 * SECOND_US);
        run.check_outcomes();
        let version = run.heal();
        for node in &run.places {
            prop_assert_eq!(run.cluster.version(*node), version);
        }
    }
}
