//! The demo: daemons with stand-ins for platform and targets, in one process on loopback, under a
//! surge of load. For comparison, the same load is then sent directly to two new targets without
//! daemons, which receive the requests of all services in rotation.

mod daemons;

use std::fmt::Write;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use dragonflylug_standins::platform::PlatformStandin;
use dragonflylug_standins::target::{Behaviour, TargetConfig, TargetStandin};

use crate::config::Submission;
use crate::load::{self, Report, Scenario};
use daemons::DaemonThread;

/// The error of a demo that failed to run.
pub type DemoError = Box<dyn std::error::Error + Send + Sync>;

/// The configuration records that the demo submits, as JSON.
const RECORDS: &str = include_str!("demo/records.json");

/// The load scenario of the demo, as JSON.
const SCENARIO: &str = include_str!("demo/scenario.json");

/// The service time of a request on a target.
const SERVICE_MS: f64 = 20.0;

/// The factor on the service time of one target during the surge.
const SLOW_FACTOR: f64 = 3.0;

/// The number of slots of each target.
const SLOTS: u32 = 8;

/// The number of requests that a target queues itself when no guard limits them.
const BACKLOG: u32 = 1_000;

/// The time limit for discovery among the daemons and for activating a configuration change.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(30);

/// The interval at which a condition is polled.
const POLL_PERIOD: Duration = Duration::from_millis(5);

/// The availability zone of each daemon, and the service of the target beside it.
const DAEMONS: [(&str, &str); 3] = [
    ("zone-1", "availability"),
    ("zone-2", "availability"),
    ("zone-1", "reservations"),
];

/// The index of the target that is slow during the surge.
const SLOWED_TARGET: usize = 0;

/// The platform, the daemons and the targets of one measurement.
struct Deployment {
    platform: PlatformStandin,
    daemons: Vec<DaemonThread>,
    targets: Vec<TargetStandin>,
}

/// Runs the demo with phases of this length and returns its report as text.
///
/// # Errors
///
/// Fails if a port cannot be bound, the daemons do not discover each other or do not activate the
/// records in time.
pub async fn run(phase_seconds: u32) -> Result<String, DemoError> {
    let mut out = String::new();
    let scenario = read_scenario(phase_seconds)?;
    let deployment = Deployment::start().await?;
    let change_summary = deployment.submit_records().await?;
    writeln!(
        out,
        "{} daemons in 2 availability zones; {change_summary}",
        deployment.daemons.len()
    )?;
    let with = deployment
        .measure(&scenario, &deployment.caller_addresses())
        .await;
    write_section(&mut out, "With dragonflylug", &with)?;
    writeln!(out, "{}", deployment.format_counters())?;
    deployment.stop();
    let targets = start_targets(&[None, None]).await?;
    let without_daemons = Deployment {
        platform: deployment.platform,
        daemons: Vec::new(),
        targets,
    };
    let without = without_daemons
        .measure(&scenario, &without_daemons.target_addresses())
        .await;
    write_section(
        &mut out,
        "Without dragonflylug: the same load sent directly to the targets",
        &without,
    )?;
    Ok(out)
}

fn read_scenario(phase_seconds: u32) -> Result<Scenario, DemoError> {
    let mut scenario: Scenario = serde_json::from_str(SCENARIO)?;
    for phase in &mut scenario.phases {
        phase.duration_ms = u64::from(phase_seconds) * 1_000;
    }
    Ok(scenario)
}

fn write_section(out: &mut String, title: &str, report: &Report) -> std::fmt::Result {
    writeln!(out, "\n== {title} ==\n\n{}", report.to_text())
}

/// Starts one target for each element; a target with an announce address announces itself to the
/// daemon at that address.
async fn start_targets(announce: &[Option<SocketAddr>]) -> std::io::Result<Vec<TargetStandin>> {
    let mut targets = Vec::new();
    for (index, announce_address) in announce.iter().enumerate() {
        let config = TargetConfig {
            announce_address: *announce_address,
            service: DAEMONS[index].1.to_string(),
            slots: SLOTS,
            backlog: BACKLOG,
            connections: 1_000,
            behaviour: behaviour(1.0),
            ..TargetConfig::default()
        };
        targets.push(TargetStandin::start(config).await?);
    }
    Ok(targets)
}

fn behaviour(factor: f64) -> Behaviour {
    Behaviour {
        service_ms: SERVICE_MS * factor,
        ..Behaviour::default()
    }
}

impl Deployment {
    async fn start() -> Result<Self, DemoError> {
        let platform = PlatformStandin::start(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let mut daemons = Vec::new();
        let mut announce = Vec::new();
        for (zone, _) in DAEMONS {
            let daemon = DaemonThread::start(platform.address(), zone)?;
            announce.push(Some(daemon.addresses().announce));
            daemons.push(daemon);
        }
        let targets = start_targets(&announce).await?;
        let deployment = Self {
            platform,
            daemons,
            targets,
        };
        deployment
            .wait_for("the daemons to discover each other", |daemon| {
                daemon.alive_target_count() == DAEMONS.len()
            })
            .await?;
        Ok(deployment)
    }

    /// Submits the records like an operator, waits until they are active on all daemons and returns
    /// a summary of the change as text.
    async fn submit_records(&self) -> Result<String, DemoError> {
        let submission: Submission = serde_json::from_str(RECORDS)?;
        let records = submission.records.len();
        let submitted = Instant::now();
        let version = self.daemons[0].submit(submission)?;
        self.wait_for("the records to become active", |daemon| {
            daemon.config_version() >= version
        })
        .await?;
        let took_ms = submitted.elapsed().as_millis();
        Ok(format!(
            "an operator's change with {records} records was accepted as version {version} \
             and active on all daemons after {took_ms} ms"
        ))
    }

    async fn wait_for(
        &self,
        what: &str,
        condition: impl Fn(&DaemonThread) -> bool,
    ) -> Result<(), DemoError> {
        let start = Instant::now();
        while !self.daemons.iter().all(&condition) {
            if start.elapsed() > CONVERGENCE_TIMEOUT {
                return Err(format!("timed out waiting for {what}").into());
            }
            tokio::time::sleep(POLL_PERIOD).await;
        }
        Ok(())
    }

    /// Runs the load; one target is slow in the phases marked as pressure.
    async fn measure(&self, scenario: &Scenario, to: &[SocketAddr]) -> Report {
        let slow_down = async {
            for phase in &scenario.phases {
                let factor = if phase.is_pressure { SLOW_FACTOR } else { 1.0 };
                self.targets[SLOWED_TARGET].set_behaviour(behaviour(factor));
                tokio::time::sleep(Duration::from_millis(phase.duration_ms)).await;
            }
        };
        let (report, ()) = tokio::join!(load::run(scenario.clone(), to), slow_down);
        report
    }

    fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.daemons
            .iter()
            .map(|daemon| daemon.addresses().caller)
            .collect()
    }

    fn target_addresses(&self) -> Vec<SocketAddr> {
        self.targets.iter().map(TargetStandin::address).collect()
    }

    /// Formats the counters of answers, refusals, doubts and retries of all daemons.
    fn format_counters(&self) -> String {
        let mut out = String::from("counters of the daemons\n");
        for daemon in &self.daemons {
            for line in daemon.format_counter_lines() {
                out.push_str(&line);
                out.push('\n');
            }
        }
        out
    }

    /// Requests the graceful shutdown of the daemons without waiting for it: they may still be
    /// stopping during the next measurement. The targets keep running.
    fn stop(&self) {
        for daemon in &self.daemons {
            daemon.stop();
        }
    }
}
