//! Soak test: injects a seeded schedule of overlapping faults into real daemon processes while
//! callers send requests, then checks the guarantees against what callers and targets observed.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;
#[path = "support/fault_schedule.rs"]
mod fault_schedule;
#[path = "support/loopback.rs"]
mod loopback;
#[path = "support/processes.rs"]
mod processes;
#[path = "../platform/tests/support/rate_rule.rs"]
mod rate_rule;
#[path = "support/soak_callers.rs"]
mod soak_callers;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use dragonflylug::settings::Settings;
use dragonflylug_standins::platform::{Fault, FaultMode, PlatformStandin};
use dragonflylug_standins::relay::Relay;
use dragonflylug_standins::target::{Behaviour, TargetConfig, TargetMode, TargetStandin};
use fault_schedule::{DaemonCounts, FaultAction, draw_limits, draw_schedule};
use nix::sys::signal::Signal;
use processes::{DaemonProcess, settings, wait_for_targets};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rate_rule::NamedLimits;
use soak_callers::{CRASHING_KEY, Callers, Observations, send};

const DAEMON_COUNTS: DaemonCounts = DaemonCounts {
    entries: 2,
    guards: 4,
};
const CALLERS: usize = 6;
const SERVICES: [&str; 2] = ["lookups", "payouts"];
const ZONES: [&str; 2] = ["a", "b"];

/// How long after the start of its drain a target may still get new work.
const DRAIN_GRACE_US: u64 = 2_000_000;

/// How long after a fault of an entry its requests do not count for a limit: until it has passed on a
/// limited answer for half a second.
const TOLD_AGAIN_AFTER: Duration = Duration::from_secs(1);

/// How long after the end of a target its next start may get more requests than the limit that it
/// names.
const RESTARTED_FOR: Duration = Duration::from_secs(2);

/// The number of targets that a request ends until daemons must know of it, how long they may take and
/// how long after a fault they may not know of it again, and how often it may reach targets after that.
const ENDS: usize = 3;
const KNOWN_AFTER: Duration = Duration::from_secs(3);
const LATE_RUNS_MAX: usize = 3;

/// The maximum time from the end of all faults until calls succeed again at every entry.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(15);

/// The number of consecutive successful calls after which an entry counts as recovered.
const CONSECUTIVE_SUCCESSES: u32 = 20;

/// The mean service time of a request at a target.
const SERVICE_MS: f64 = 5.0;

/// The delay of the responses of the platform's table and object store while they are slow.
const PLATFORM_DELAY_MS: u64 = 400;

/// A daemon; a guard also has a relay in front of it and a target beside it.
struct Daemon {
    process: Option<DaemonProcess>,
    settings: Settings,
    relay: Option<Relay>,
    target: Option<TargetStandin>,
    /// The rate limits that the target named.
    limits: NamedLimits,
}

/// The system under test.
struct SoakSystem {
    runtime: tokio::runtime::Runtime,
    platform: PlatformStandin,
    daemons: Vec<Daemon>,
    /// The drained targets that were replaced; their logs count in the checks.
    former_targets: Vec<TargetStandin>,
    /// The limits that the former targets named.
    former_limits: Vec<NamedLimits>,
    /// When each fault of a daemon or of its link began, and when it ended.
    daemon_faults: Vec<DaemonFault>,
}

/// A fault of a daemon or of its link.
struct DaemonFault {
    daemon: usize,
    begun_at: Instant,
    ended_at: Option<Instant>,
}

impl SoakSystem {
    fn start() -> Self {
        let mut system = Self {
            runtime: tokio::runtime::Runtime::new().unwrap(),
            platform: PlatformStandin::start("127.0.0.1:0".parse().unwrap()).unwrap(),
            daemons: Vec::new(),
            former_targets: Vec::new(),
            former_limits: Vec::new(),
            daemon_faults: Vec::new(),
        };
        for index in 0..DAEMON_COUNTS.entries + DAEMON_COUNTS.guards {
            let daemon = system.start_daemon(index);
            system.daemons.push(daemon);
        }
        system.wait_for_all_targets();
        system
    }

    /// Starts the daemon with an index; a guard gets a relay in front of it and a target beside it.
    fn start_daemon(&self, index: usize) -> Daemon {
        let url = format!("http://{}", self.platform.address());
        let mut settings = settings(&url, ZONES[index % ZONES.len()]);
        if index < DAEMON_COUNTS.entries {
            return Daemon::start(settings);
        }
        let relay = self.runtime.block_on(Relay::start()).unwrap();
        settings.peer_advertised_address = Some(relay.address());
        let mut daemon = Daemon::start(settings);
        relay.set_destination(daemon.settings.peer_address);
        let config = TargetConfig {
            service: SERVICES[(index - DAEMON_COUNTS.entries) / ZONES.len()].to_string(),
            announce_address: Some(daemon.settings.announce_address),
            announce_period_ms: 200,
            behaviour: normal_behaviour(),
            seed: index as u64,
            ..TargetConfig::default()
        };
        daemon.target = Some(self.runtime.block_on(TargetStandin::start(config)).unwrap());
        daemon.relay = Some(relay);
        daemon
    }

    fn entries(&self) -> Vec<SocketAddr> {
        let entries = &self.daemons[..DAEMON_COUNTS.entries];
        entries
            .iter()
            .map(|entry| entry.settings.caller_address)
            .collect()
    }

    /// Waits until each entry has both targets of each service.
    fn wait_for_all_targets(&self) {
        for entry in &self.daemons[..DAEMON_COUNTS.entries] {
            for service in SERVICES {
                wait_for_targets(entry.process.as_ref().unwrap(), service, 2);
            }
        }
    }

    /// Records when faults of daemons and of their links begin and end.
    fn record_daemon_fault(&mut self, action: FaultAction) {
        let now = Instant::now();
        match action {
            FaultAction::Pause(daemon)
            | FaultAction::Kill(daemon)
            | FaultAction::Terminate(daemon)
            | FaultAction::SilenceConnections(daemon)
            | FaultAction::CutConnections(daemon)
            | FaultAction::Replace(daemon) => self.daemon_faults.push(DaemonFault {
                daemon,
                begun_at: now,
                ended_at: matches!(action, FaultAction::Replace(_)).then_some(now),
            }),
            FaultAction::Resume(index)
            | FaultAction::Start(index)
            | FaultAction::RestoreConnections(index) => {
                for fault in &mut self.daemon_faults {
                    if fault.daemon == index && fault.ended_at.is_none() {
                        fault.ended_at = Some(now);
                    }
                }
            }
            _ => {}
        }
    }

    /// Returns whether a daemon was struck at a time or less than `settle_time` before.
    fn was_struck(&self, daemon: usize, at: Instant, settle_time: Duration) -> bool {
        self.daemon_faults.iter().any(|fault| {
            let has_ended = fault
                .ended_at
                .is_some_and(|ended_at| ended_at + settle_time < at);
            fault.daemon == daemon && fault.begun_at <= at && !has_ended
        })
    }

    fn apply(&mut self, action: FaultAction) {
        self.record_daemon_fault(action);
        match action {
            FaultAction::Pause(index) => self.daemons[index].signal(Signal::SIGSTOP),
            FaultAction::Resume(index) => self.daemons[index].signal(Signal::SIGCONT),
            FaultAction::Kill(index) => self.daemons[index].signal(Signal::SIGKILL),
            FaultAction::Terminate(index) => self.daemons[index].signal(Signal::SIGTERM),
            FaultAction::Start(index) => self.daemons[index].restart(),
            FaultAction::SilenceConnections(index) => {
                self.daemons[index].relay().stall_connections()
            }
            FaultAction::CutConnections(index) => self.daemons[index].relay().disconnect(),
            FaultAction::RestoreConnections(index) => self.daemons[index].relay().restore(),
            FaultAction::BreakTarget(index, mode) => self.daemons[index].set_mode(mode),
            FaultAction::LimitTarget(index, per_s) => {
                self.daemons[index].name_limit(Some(f64::from(per_s)));
            }
            FaultAction::LiftLimit(index) => self.daemons[index].name_limit(None),
            FaultAction::RepairTarget(index) => self.daemons[index].set_mode(TargetMode::Normal),
            FaultAction::DrainTarget(index) => self.daemons[index].target().drain(),
            FaultAction::Replace(index) => self.replace(index),
            FaultAction::BreakPlatform(mode) => self.set_platform_fault(mode),
            FaultAction::RepairPlatform => self.set_platform_fault(FaultMode::None),
        }
    }

    fn set_platform_fault(&self, mode: FaultMode) {
        self.platform.set_fault(Fault {
            mode,
            delay_ms: PLATFORM_DELAY_MS,
        });
    }

    /// Replaces a daemon and its drained target by new ones; the new daemon starts before the old
    /// one has exited.
    fn replace(&mut self, index: usize) {
        self.daemons[index].signal(Signal::SIGTERM);
        let new = self.start_daemon(index);
        let mut old = std::mem::replace(&mut self.daemons[index], new);
        old.wait_for_exit();
        self.former_targets.extend(old.target.take());
        self.former_limits.push(old.limits);
    }

    fn targets(&self) -> impl Iterator<Item = &TargetStandin> {
        let current = self
            .daemons
            .iter()
            .filter_map(|daemon| daemon.target.as_ref());
        current.chain(&self.former_targets)
    }

    fn runs_of(&self, key: &str) -> usize {
        self.targets()
            .map(|target| target.log().count_runs_with_key(key))
            .sum()
    }
}

impl Daemon {
    /// Starts a daemon and stores its addresses in the settings, so that a restart reuses them.
    fn start(settings: Settings) -> Self {
        let process = DaemonProcess::start(&settings);
        let addresses = process.addresses;
        Self {
            process: Some(process),
            settings: Settings {
                caller_address: addresses.caller,
                peer_address: addresses.peer,
                announce_address: addresses.announce,
                operator_address: addresses.operator,
                ..settings
            },
            relay: None,
            target: None,
            limits: NamedLimits::default(),
        }
    }

    /// Makes the answers of the target name a rate limit, or none.
    fn name_limit(&mut self, per_s: Option<f64>) {
        self.limits.name(per_s);
        let target = self.target();
        target.set_behaviour(Behaviour {
            rate_limit_per_s: per_s,
            ..target.behaviour()
        });
    }

    fn signal(&self, signal: Signal) {
        self.process.as_ref().unwrap().signal(signal);
    }

    /// Waits for the process to exit and starts it again with the same addresses.
    fn restart(&mut self) {
        self.wait_for_exit();
        self.process = Some(DaemonProcess::start(&self.settings));
    }

    fn wait_for_exit(&mut self) {
        if let Some(mut process) = self.process.take() {
            process.wait();
        }
    }

    fn relay(&self) -> &Relay {
        self.relay.as_ref().unwrap()
    }

    fn target(&self) -> &TargetStandin {
        self.target.as_ref().unwrap()
    }

    fn set_mode(&self, mode: TargetMode) {
        let target = self.target();
        target.set_behaviour(Behaviour {
            mode,
            ..target.behaviour()
        });
    }
}

fn normal_behaviour() -> Behaviour {
    Behaviour {
        service_ms: SERVICE_MS,
        ..Behaviour::default()
    }
}

/// Applies each action of a schedule at its time, or immediately if it is overdue.
fn run_schedule(system: &mut SoakSystem, actions: &[(u64, FaultAction)]) {
    let start = Instant::now();
    for (time_ms, action) in actions {
        let due = Duration::from_millis(*time_ms);
        std::thread::sleep(due.saturating_sub(start.elapsed()));
        println!("{:>6} ms {action:?}", start.elapsed().as_millis());
        system.apply(*action);
    }
}

/// Checks that [`CONSECUTIVE_SUCCESSES`] calls in a row succeed at each entry within
/// [`RECOVERY_TIMEOUT`].
fn check_recovery(system: &SoakSystem) {
    let start = Instant::now();
    for entry in system.entries() {
        let mut successes = 0;
        while successes < CONSECUTIVE_SUCCESSES {
            assert!(
                start.elapsed() < RECOVERY_TIMEOUT,
                "entry {entry} did not answer {CONSECUTIVE_SUCCESSES} consecutive calls within \
                 {RECOVERY_TIMEOUT:?} of the last fault"
            );
            let reply = send(entry, "PUT", "/lookups/free", "", "after");
            let is_success = reply.is_ok_and(|reply| reply.status == 200 && reply.body == b"after");
            successes = if is_success { successes + 1 } else { 0 };
        }
    }
}

/// Checks that no payment ran more than once, and that the verdicts `ran` and `not-run` are true.
fn check_payments(system: &SoakSystem, observed: &Observations) {
    for payment in &observed.payments {
        let runs = system.runs_of(&payment.key);
        assert!(
            runs <= 1,
            "{payment:?} ran {runs} times; it may run at most once"
        );
        let is_verdict_true = match payment.last_verdict.as_str() {
            "ran" => runs == 1,
            "not-run" => runs == 0,
            _ => true,
        };
        assert!(
            is_verdict_true,
            "{payment:?} ran {runs} times, which contradicts its verdict"
        );
    }
}

/// Checks that no target started a run later than [`DRAIN_GRACE_US`] after its drain started.
fn check_drains(system: &SoakSystem) {
    for target in system.targets() {
        for run in target.log().runs {
            let is_early = run
                .after_drain_us
                .is_none_or(|after_us| after_us < DRAIN_GRACE_US);
            assert!(is_early, "{run:?} started too long after the drain");
        }
    }
}

/// Checks that no target got more requests than its limits allow. Requests that began while their
/// entry was struck, or before it was told of a limit again, do not count; neither do those to a new
/// start of the target, which nobody knows to name a limit before it does.
fn check_limits(system: &SoakSystem) {
    let current = system.daemons.iter().filter_map(|daemon| {
        let target = daemon.target.as_ref()?;
        Some((target, &daemon.limits))
    });
    let former = system.former_targets.iter().zip(&system.former_limits);
    for (target, limits) in current.chain(former) {
        let mut counted = Vec::new();
        for (at, path) in target.run_starts() {
            let entry = path
                .rsplit("entry=")
                .next()
                .and_then(|text| text.parse().ok());
            let was_struck = |entry| system.was_struck(entry, at, TOLD_AGAIN_AFTER);
            let has_restarted = target
                .ends()
                .iter()
                .any(|end| *end <= at && at < *end + RESTARTED_FOR);
            if entry.is_some_and(|entry| !was_struck(entry)) && !has_restarted {
                counted.push(at);
            }
        }
        assert_eq!(limits.violations(counted), Vec::<String>::new());
    }
}

/// Checks that requests which end targets stop reaching them, unless a fault struck the daemon beside the
/// target, and that no other request is refused for them.
fn check_crashing_requests(system: &SoakSystem, observed: &Observations) {
    assert_eq!(observed.quarantined, Vec::<String>::new());
    let mut ends: Vec<Instant> = system.targets().flat_map(TargetStandin::ends).collect();
    ends.sort_unstable();
    println!("{} targets ended", ends.len());
    let Some(third) = ends.get(ENDS - 1) else {
        return;
    };
    let known_at = *third + KNOWN_AFTER;
    let mut late = 0;
    for (index, daemon) in system.daemons.iter().enumerate() {
        let Some(target) = &daemon.target else {
            continue;
        };
        for at in target.run_starts_with_key(CRASHING_KEY) {
            late += usize::from(at > known_at && !system.was_struck(index, at, KNOWN_AFTER));
        }
    }
    assert!(late <= LATE_RUNS_MAX, "{late} late runs");
}

/// Injects faults into a new system for `duration_ms`, then checks the guarantees.
fn run_soak(seed: u64, duration_ms: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut actions = draw_schedule(&mut rng, DAEMON_COUNTS, duration_ms);
    actions.extend(draw_limits(&mut rng, DAEMON_COUNTS, duration_ms));
    actions.sort_by_key(|(time_ms, _)| *time_ms);
    println!("seed {seed}, {} actions", actions.len());
    let mut system = SoakSystem::start();
    let callers = Callers::start(&system.entries(), CALLERS);
    run_schedule(&mut system, &actions);
    check_recovery(&system);
    let observed = callers.stop();
    println!(
        "{} of {} lookups answered, {} payments",
        observed.answered,
        observed.lookups,
        observed.payments.len()
    );
    assert!(observed.answered > 0);
    assert_eq!(observed.mismatched_answers, Vec::<String>::new());
    check_payments(&system, &observed);
    check_drains(&system);
    check_limits(&system);
    check_crashing_requests(&system, &observed);
}

/// The seed of a soak test and how long faults are injected.
struct SoakCase {
    seed: u64,
    duration_ms: u64,
}

fn check_seed(case: SoakCase) {
    run_soak(case.seed, case.duration_ms);
}

cases! { check_seed:
    // Regression: an entry's start took 20 s, so that calls to it were not answered within the
    // 15 s of the recovery check.
    seed_16341674661276819504 => SoakCase { seed: 16341674661276819504, duration_ms: 8_000 },
}

/// The case that runs if `SOAK_SEEDS` is not set.
const DEFAULT_CASE: SoakCase = SoakCase {
    seed: 1,
    duration_ms: 6_000,
};

/// How long faults are injected for a random seed if `SOAK_SECONDS` is not set.
const RANDOM_SEED_S_DEFAULT: u64 = 8;

/// Reads a number from an environment variable; returns `None` if it is not set.
fn env_number(name: &str) -> Option<u64> {
    let text = std::env::var(name).ok()?;
    Some(text.parse().expect(name))
}

/// Runs one short case with a fixed seed or, if `SOAK_SEEDS` is set, as many random seeds as it
/// says, each for `SOAK_SECONDS`.
#[test]
fn overlapping_faults_violate_no_guarantee() {
    let Some(seeds) = env_number("SOAK_SEEDS") else {
        check_seed(DEFAULT_CASE);
        return;
    };
    let duration_ms = env_number("SOAK_SECONDS").unwrap_or(RANDOM_SEED_S_DEFAULT) * 1_000;
    for _ in 0..seeds {
        run_soak(rand::rng().random(), duration_ms);
    }
}
