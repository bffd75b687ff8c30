//! A soak: real daemons as processes of their own, struck from outside by a seeded series of faults
//! that overlap, while callers go on. The promises are checked from what callers and targets saw.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;
#[path = "support/processes.rs"]
mod processes;
#[path = "support/soak.rs"]
mod soak;
#[path = "support/soak_callers.rs"]
mod soak_callers;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use dragonflylug::settings::Settings;
use dragonflylug_standins::platform::{Fault, FaultMode, Platform};
use dragonflylug_standins::relay::Relay;
use dragonflylug_standins::target::{Behaviour, Target, TargetConfig, TargetMode};
use nix::sys::signal::Signal;
use processes::{DaemonProcess, settings, wait_for_targets};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use soak::{Action, Places, schedule};
use soak_callers::{Callers, Seen, send};

const PLACES: Places = Places {
    entries: 2,
    guards: 4,
};
const CALLERS: usize = 6;
const SERVICES: [&str; 2] = ["lookups", "payouts"];
const ZONES: [&str; 2] = ["a", "b"];

/// The time after which a leaving target gets no new work.
const LEAVING_US: u64 = 2_000_000;

/// The time from the end of all faults until calls are answered again.
const RECOVERY: Duration = Duration::from_secs(15);

/// The calls in a row by which an entry counts as recovered.
const GOOD_IN_ROW: u32 = 20;

/// The mean work of a request.
const WORK_MS: f64 = 5.0;

/// The delay of a slow store.
const STORE_DELAY_MS: u64 = 400;

/// A daemon, with the target beside it where it is a guard.
struct Daemon {
    process: Option<DaemonProcess>,
    settings: Settings,
    relay: Option<Relay>,
    target: Option<Target>,
}

/// The system under soak.
struct World {
    runtime: tokio::runtime::Runtime,
    platform: Platform,
    daemons: Vec<Daemon>,
    /// The targets that left.
    former: Vec<Target>,
}

impl World {
    fn start() -> Self {
        let mut world = Self {
            runtime: tokio::runtime::Runtime::new().unwrap(),
            platform: Platform::start("127.0.0.1:0".parse().unwrap()).unwrap(),
            daemons: Vec::new(),
            former: Vec::new(),
        };
        for at in 0..PLACES.entries + PLACES.guards {
            let daemon = world.make(at);
            world.daemons.push(daemon);
        }
        world.wait_until_whole();
        world
    }

    /// Starts the daemon of a place; a guard gets a relay in front and a target beside it.
    fn make(&self, at: usize) -> Daemon {
        let url = format!("http://{}", self.platform.address());
        let mut settings = settings(&url, ZONES[at % ZONES.len()]);
        if at < PLACES.entries {
            return Daemon::start(settings);
        }
        let relay = self.runtime.block_on(Relay::start()).unwrap();
        settings.peer_advertised_address = Some(relay.address());
        let mut daemon = Daemon::start(settings);
        relay.set_destination(daemon.settings.peer_address);
        let config = TargetConfig {
            service: SERVICES[(at - PLACES.entries) / ZONES.len()].to_string(),
            announce_address: Some(daemon.settings.announce_address),
            announce_period_ms: 200,
            behaviour: normal(),
            seed: at as u64,
            ..TargetConfig::default()
        };
        daemon.target = Some(self.runtime.block_on(Target::start(config)).unwrap());
        daemon.relay = Some(relay);
        daemon
    }

    fn entries(&self) -> Vec<SocketAddr> {
        let entries = &self.daemons[..PLACES.entries];
        entries
            .iter()
            .map(|entry| entry.settings.caller_address)
            .collect()
    }

    fn wait_until_whole(&self) {
        for entry in &self.daemons[..PLACES.entries] {
            for service in SERVICES {
                wait_for_targets(entry.process.as_ref().unwrap(), service, 2);
            }
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Pause(at) => self.daemons[at].signal(Signal::SIGSTOP),
            Action::Resume(at) => self.daemons[at].signal(Signal::SIGCONT),
            Action::Kill(at) => self.daemons[at].signal(Signal::SIGKILL),
            Action::Terminate(at) => self.daemons[at].signal(Signal::SIGTERM),
            Action::Start(at) => self.daemons[at].start_again(),
            Action::Silence(at) => self.daemons[at].relay().stall_connections(),
            Action::Cut(at) => self.daemons[at].relay().disconnect(),
            Action::Restore(at) => self.daemons[at].relay().restore(),
            Action::Spoil(at, mode) => self.daemons[at].behave(mode),
            Action::Mend(at) => self.daemons[at].behave(TargetMode::Normal),
            Action::Drain(at) => self.daemons[at].target().drain(),
            Action::Replace(at) => self.replace(at),
            Action::SpoilStore(mode) => self.set_store(mode),
            Action::MendStore => self.set_store(FaultMode::None),
        }
    }

    fn set_store(&self, mode: FaultMode) {
        self.platform.set_fault(Fault {
            mode,
            delay_ms: STORE_DELAY_MS,
        });
    }

    /// Ends a daemon whose target left, and starts both anew.
    fn replace(&mut self, at: usize) {
        self.daemons[at].signal(Signal::SIGTERM);
        let fresh = self.make(at);
        let mut former = std::mem::replace(&mut self.daemons[at], fresh);
        former.end();
        self.former.extend(former.target.take());
    }

    fn targets(&self) -> impl Iterator<Item = &Target> {
        let present = self
            .daemons
            .iter()
            .filter_map(|daemon| daemon.target.as_ref());
        present.chain(&self.former)
    }

    fn runs_of(&self, key: &str) -> usize {
        self.targets()
            .map(|target| target.log().runs_of_key(key))
            .sum()
    }
}

impl Daemon {
    /// Starts a daemon and keeps its addresses for later starts.
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
        }
    }

    fn signal(&self, signal: Signal) {
        self.process.as_ref().unwrap().signal(signal);
    }

    /// Waits for the end of the process and starts it again at the same addresses.
    fn start_again(&mut self) {
        self.end();
        self.process = Some(DaemonProcess::start(&self.settings));
    }

    fn end(&mut self) {
        if let Some(mut process) = self.process.take() {
            process.wait();
        }
    }

    fn relay(&self) -> &Relay {
        self.relay.as_ref().unwrap()
    }

    fn target(&self) -> &Target {
        self.target.as_ref().unwrap()
    }

    fn behave(&self, mode: TargetMode) {
        self.target().set_behaviour(Behaviour { mode, ..normal() });
    }
}

fn normal() -> Behaviour {
    Behaviour {
        service_ms: WORK_MS,
        ..Behaviour::default()
    }
}

/// Plays a schedule to its end; what is late is done at once.
fn play(world: &mut World, actions: &[(u64, Action)]) {
    let start = Instant::now();
    for (at_ms, action) in actions {
        let due = Duration::from_millis(*at_ms);
        std::thread::sleep(due.saturating_sub(start.elapsed()));
        println!("{:>6} ms {action:?}", start.elapsed().as_millis());
        world.act(*action);
    }
}

/// Waits until calls at each entry are answered in a row.
fn check_recovery(world: &World) {
    let start = Instant::now();
    for entry in world.entries() {
        let mut good = 0;
        while good < GOOD_IN_ROW {
            assert!(start.elapsed() < RECOVERY, "{entry} has not recovered");
            let reply = send(entry, "PUT", "/lookups/free", "", "after");
            let is_good = reply.is_ok_and(|reply| reply.status == 200 && reply.body == b"after");
            good = if is_good { good + 1 } else { 0 };
        }
    }
}

fn check_payments(world: &World, seen: &Seen) {
    for payment in &seen.payments {
        let runs = world.runs_of(&payment.key);
        assert!(runs <= 1, "{payment:?} ran {runs} times");
        let is_true = match payment.last_verdict.as_str() {
            "ran" => runs == 1,
            "not-run" => runs == 0,
            _ => true,
        };
        assert!(is_true, "{payment:?} ran {runs} times");
    }
}

fn check_drains(world: &World) {
    for target in world.targets() {
        for run in target.log().runs {
            let is_early = run
                .after_drain_us
                .is_none_or(|after_us| after_us < LEAVING_US);
            assert!(is_early, "{run:?}");
        }
    }
}

/// Soaks one system for a time and checks what the promises say.
fn run_soak(seed: u64, for_ms: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let actions = schedule(&mut rng, PLACES, for_ms);
    println!("seed {seed}, {} actions", actions.len());
    let mut world = World::start();
    let callers = Callers::start(&world.entries(), CALLERS);
    play(&mut world, &actions);
    check_recovery(&world);
    let seen = callers.end();
    println!(
        "{} of {} lookups answered, {} payments",
        seen.answered,
        seen.lookups,
        seen.payments.len()
    );
    assert!(seen.answered > 0);
    assert_eq!(seen.mixed, Vec::<String>::new());
    check_payments(&world, &seen);
    check_drains(&world);
}

/// A seed and the time for which faults strike.
struct Seeded {
    seed: u64,
    for_ms: u64,
}

fn check_seed(case: Seeded) {
    run_soak(case.seed, case.for_ms);
}

cases! { check_seed:
    // Once an entry was not answered within 15 s of a start that itself took 20 s.
    seed_16341674661276819504 => Seeded { seed: 16341674661276819504, for_ms: 8_000 },
}

/// The seed and the time of the soak where the environment names none.
const SHORT: Seeded = Seeded {
    seed: 1,
    for_ms: 6_000,
};

/// The time of a fresh seed where `SOAK_SECONDS` is not set.
const FRESH_S_DEFAULT: u64 = 8;

/// Reads a number from the environment.
fn number(name: &str) -> Option<u64> {
    let text = std::env::var(name).ok()?;
    Some(text.parse().expect(name))
}

/// Plays one short seed, or `SOAK_SEEDS` fresh ones, each for `SOAK_SECONDS`.
#[test]
fn overlapping_faults_break_no_promise() {
    let Some(seeds) = number("SOAK_SEEDS") else {
        check_seed(SHORT);
        return;
    };
    let for_ms = number("SOAK_SECONDS").unwrap_or(FRESH_S_DEFAULT) * 1_000;
    for _ in 0..seeds {
        run_soak(rand::rng().random(), for_ms);
    }
}
