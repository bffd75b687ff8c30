//! The demo: the whole path in one process on loopback, with stand-ins, under a surge of load.

mod daemons;

use std::fmt::Write;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use dragonflylug_standins::platform::Platform;
use dragonflylug_standins::target::{Behaviour, Target, TargetConfig};

use crate::config::Submission;
use crate::load::{self, Report, Scenario};
use daemons::DaemonThread;

/// The error of a demo that could not run.
pub type DemoError = Box<dyn std::error::Error + Send + Sync>;

/// The records that the demo's operator submits.
const RECORDS: &str = include_str!("demo/records.json");

/// The load of the demo's callers.
const SCENARIO: &str = include_str!("demo/scenario.json");

/// The time that a target takes for a request, and the factor by which one is slowed in the surge.
const SERVICE_MS: f64 = 20.0;
const SLOW_FACTOR: f64 = 3.0;

/// The slots of each target.
const SLOTS: u32 = 8;

/// The requests that a target without a guard lets wait.
const BACKLOG: u32 = 1_000;

/// The time in which daemons find each other and take up a change.
const PATIENCE: Duration = Duration::from_secs(30);

/// The wait between two looks at a condition.
const LOOK_PERIOD: Duration = Duration::from_millis(5);

/// The zones of the daemons, and the service of the target beside each.
const DAEMONS: [(&str, &str); 3] = [
    ("zone-1", "availability"),
    ("zone-2", "availability"),
    ("zone-1", "reservations"),
];

/// The place of the target that slows down.
const SLOWED: usize = 0;

/// Platform, daemons and targets.
struct Path {
    _platform: Platform,
    daemons: Vec<DaemonThread>,
    targets: Vec<Target>,
}

/// Runs the demo with phases of some seconds and returns its report.
///
/// # Errors
///
/// Fails where a port cannot be bound or the daemons do not find each other.
pub async fn run(phase_seconds: u32) -> Result<String, DemoError> {
    let mut out = String::new();
    let scenario = read_scenario(phase_seconds)?;
    let path = Path::start().await?;
    let change = path.submit_records().await?;
    writeln!(
        out,
        "{} daemons in 2 availability zones; {change}",
        path.daemons.len()
    )?;
    let with = path.measure(&scenario, &path.caller_addresses()).await;
    write_section(&mut out, "With dragonflylug", &with)?;
    writeln!(out, "{}", path.list_refusals())?;
    path.stop();
    let targets = start_targets(&[None, None]).await?;
    let bare = Path {
        _platform: path._platform,
        daemons: Vec::new(),
        targets,
    };
    let without = bare.measure(&scenario, &bare.target_addresses()).await;
    write_section(
        &mut out,
        "The same callers straight at the targets",
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

/// Starts the availability targets, each beside the daemon of an announce address, if any.
async fn start_targets(announce: &[Option<SocketAddr>]) -> std::io::Result<Vec<Target>> {
    let mut targets = Vec::new();
    for (place, announce_address) in announce.iter().enumerate() {
        let config = TargetConfig {
            announce_address: *announce_address,
            service: DAEMONS[place].1.to_string(),
            slots: SLOTS,
            backlog: BACKLOG,
            connections: 1_000,
            behaviour: behaviour(1.0),
            ..TargetConfig::default()
        };
        targets.push(Target::start(config).await?);
    }
    Ok(targets)
}

fn behaviour(factor: f64) -> Behaviour {
    Behaviour {
        service_ms: SERVICE_MS * factor,
        ..Behaviour::default()
    }
}

impl Path {
    async fn start() -> Result<Self, DemoError> {
        let platform = Platform::start(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let mut daemons = Vec::new();
        let mut announce = Vec::new();
        for (zone, _) in DAEMONS {
            let daemon = DaemonThread::start(platform.address(), zone)?;
            announce.push(Some(daemon.addresses().announce));
            daemons.push(daemon);
        }
        let targets = start_targets(&announce).await?;
        let path = Self {
            _platform: platform,
            daemons,
            targets,
        };
        path.wait_for("the daemons to find each other", |daemon| {
            daemon.known_targets() == DAEMONS.len()
        })
        .await?;
        Ok(path)
    }

    /// Submits the records as an operator would and waits until they are in force everywhere.
    async fn submit_records(&self) -> Result<String, DemoError> {
        let submission: Submission = serde_json::from_str(RECORDS)?;
        let records = submission.records.len();
        let submitted = Instant::now();
        let version = self.daemons[0].submit(submission)?;
        self.wait_for("the records to be in force", |daemon| {
            daemon.config_version() >= version
        })
        .await?;
        let took_ms = submitted.elapsed().as_millis();
        Ok(format!(
            "an operator's change with {records} records was accepted as version {version} \
             and in force everywhere after {took_ms} ms"
        ))
    }

    async fn wait_for(
        &self,
        what: &str,
        holds: impl Fn(&DaemonThread) -> bool,
    ) -> Result<(), DemoError> {
        let start = Instant::now();
        while !self.daemons.iter().all(&holds) {
            if start.elapsed() > PATIENCE {
                return Err(format!("waited in vain for {what}").into());
            }
            tokio::time::sleep(LOOK_PERIOD).await;
        }
        Ok(())
    }

    /// Runs the load; one target is slow while the pressure lasts.
    async fn measure(&self, scenario: &Scenario, to: &[SocketAddr]) -> Report {
        let slowing = async {
            for phase in &scenario.phases {
                let factor = if phase.is_pressure { SLOW_FACTOR } else { 1.0 };
                self.targets[SLOWED].set_behaviour(behaviour(factor));
                tokio::time::sleep(Duration::from_millis(phase.duration_ms)).await;
            }
        };
        let (report, ()) = tokio::join!(load::run(scenario.clone(), to), slowing);
        report
    }

    fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.daemons
            .iter()
            .map(|daemon| daemon.addresses().caller)
            .collect()
    }

    fn target_addresses(&self) -> Vec<SocketAddr> {
        self.targets.iter().map(Target::address).collect()
    }

    /// Lists the counters of refusals and retries of all daemons.
    fn list_refusals(&self) -> String {
        let mut out = String::from("counters of the daemons\n");
        for daemon in &self.daemons {
            for line in daemon.counters() {
                out.push_str(&line);
                out.push('\n');
            }
        }
        out
    }

    fn stop(&self) {
        for daemon in &self.daemons {
            daemon.stop();
        }
    }
}
