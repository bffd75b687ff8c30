//! Real daemon processes on loopback, with the platform and the targets inside the test process.

#![allow(dead_code)]

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use dragonflylug::host::daemon::Addresses;
use dragonflylug::host::operator::Status;
use dragonflylug::membership::MemberState;
use dragonflylug::settings::Settings;
use dragonflylug_standins::platform::PlatformStandin;
use dragonflylug_standins::relay::Relay;
use dragonflylug_standins::target::{TargetConfig, TargetStandin};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

use crate::loopback::process_ip;

/// The operator token of all daemons in a test.
pub const TOKEN: &str = "0123456789abcdef";

/// How long a test waits for a condition before it fails.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// The pause between two checks of a condition.
const POLL_PERIOD: Duration = Duration::from_millis(20);

static NEXT_FILE: AtomicU32 = AtomicU32::new(0);

/// A running daemon process, which is killed on drop.
pub struct DaemonProcess {
    child: Child,
    pub addresses: Addresses,
}

/// Returns settings with ports that the operating system chooses.
pub fn settings(platform_url: &str, zone: &str) -> Settings {
    let any = SocketAddr::new(process_ip(), 0);
    Settings {
        caller_address: any,
        operator_address: any,
        peer_address: any,
        announce_address: any,
        operator_token: TOKEN.to_string(),
        platform_url: platform_url.to_string(),
        availability_zone: zone.into(),
        ..Settings::default()
    }
}

impl DaemonProcess {
    /// Starts a daemon and reads its addresses.
    pub fn start(settings: &Settings) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_dragonflylugd"))
            .arg("--settings")
            .arg(write_settings(settings))
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let mut line = String::new();
        let stdout = child.stdout.take().unwrap();
        BufReader::new(stdout).read_line(&mut line).unwrap();
        let addresses = serde_json::from_str(&line).unwrap();
        Self { child, addresses }
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).unwrap();
        kill(Pid::from_raw(id), signal).unwrap();
    }

    /// Waits until the process has ended.
    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().unwrap()
    }

    /// Reads the daemon's status.
    pub fn status(&self) -> Status {
        let text = self.operator("GET", "/status", "");
        serde_json::from_str(&text).unwrap()
    }

    /// Returns the sum of a counter over the metric lines that contain a label text.
    pub fn counter(&self, name: &str, label: &str) -> u64 {
        let mut sum = 0;
        for line in self.operator("GET", "/metrics", "").lines() {
            if !line.starts_with(&format!("dragonflylug_{name}_total")) || !line.contains(label) {
                continue;
            }
            let value = line.rsplit(' ').next().unwrap();
            sum += value.parse::<u64>().unwrap();
        }
        sum
    }

    /// Sends an operator request and returns the body of the response.
    pub fn operator(&self, method: &str, path: &str, body: &str) -> String {
        let uri = format!("http://{}{path}", self.addresses.operator);
        let request = ureq::http::Request::builder()
            .method(method)
            .uri(uri)
            .header("authorization", format!("Bearer {TOKEN}"))
            .body(body.to_string())
            .unwrap();
        let mut response = agent().run(request).unwrap();
        response.body_mut().read_to_string().unwrap()
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn write_settings(settings: &Settings) -> PathBuf {
    let number = NEXT_FILE.fetch_add(1, Ordering::Relaxed);
    let name = format!("settings-{}-{number}.json", std::process::id());
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, serde_json::to_string(settings).unwrap()).unwrap();
    path
}

/// Returns an HTTP client that returns every status as a response, not as an error.
pub fn agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .http_status_as_error(false)
        .build()
        .into()
}

/// Waits until a condition holds.
pub fn wait_for(what: &str, mut holds: impl FnMut() -> bool) {
    let start = std::time::Instant::now();
    while !holds() {
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "timed out waiting until {what}"
        );
        std::thread::sleep(POLL_PERIOD);
    }
}

/// Waits until the roster of a daemon has at least a number of live members of a service.
pub fn wait_for_targets(daemon: &DaemonProcess, service: &str, count: usize) {
    wait_for("the targets are in the roster", || {
        let mut found = 0;
        for member in daemon.status().members {
            if member.state != MemberState::Alive {
                continue;
            }
            let serves = member
                .service
                .as_ref()
                .is_some_and(|name| name.as_str() == service);
            found += usize::from(serves);
        }
        found >= count
    });
}

/// Daemon processes with a platform and targets inside the test process.
pub struct ProcessCluster {
    pub runtime: tokio::runtime::Runtime,
    pub platform: PlatformStandin,
    pub daemons: Vec<DaemonProcess>,
    pub targets: Vec<TargetStandin>,
}

/// The HTTP response to a call.
#[derive(Clone, Debug)]
pub struct HttpReply {
    pub status: u16,
    pub verdict: String,
    pub reason: String,
    /// One empty string if the response has no tickets header.
    pub tickets: Vec<String>,
    pub body: Vec<u8>,
}

impl ProcessCluster {
    /// Starts the platform without any daemon.
    pub fn new() -> Self {
        let runtime = tokio::runtime::Runtime::new().unwrap();
        let platform = PlatformStandin::start("127.0.0.1:0".parse().unwrap()).unwrap();
        Self {
            runtime,
            platform,
            daemons: Vec::new(),
            targets: Vec::new(),
        }
    }

    /// Returns settings for a daemon of this cluster.
    pub fn settings(&self, zone: &str) -> Settings {
        settings(&format!("http://{}", self.platform.address()), zone)
    }

    /// Adds a daemon without a target and returns its index.
    pub fn add_entry(&mut self, zone: &str) -> usize {
        let settings = self.settings(zone);
        self.daemons.push(DaemonProcess::start(&settings));
        self.daemons.len() - 1
    }

    /// Adds a daemon with a target beside it and returns the index of both.
    pub fn add_guard(&mut self, settings: &Settings, config: TargetConfig) -> (usize, usize) {
        let daemon = DaemonProcess::start(settings);
        let announce_address = Some(daemon.addresses.announce);
        let config = TargetConfig {
            announce_address,
            ..config
        };
        let target = self.runtime.block_on(TargetStandin::start(config)).unwrap();
        self.daemons.push(daemon);
        self.targets.push(target);
        (self.daemons.len() - 1, self.targets.len() - 1)
    }

    /// Waits until the roster of a daemon has at least a number of live targets of a service.
    pub fn wait_for_targets(&self, daemon: usize, service: &str, count: usize) {
        wait_for_targets(&self.daemons[daemon], service, count);
    }

    /// Sends a call to a daemon.
    pub fn call(&self, daemon: usize, call: &Call<'_>) -> HttpReply {
        send(self.daemons[daemon].addresses.caller, call)
    }

    /// Returns how many times a request ran, over all targets.
    pub fn runs_of(&self, request: &str) -> usize {
        self.targets
            .iter()
            .map(|target| target.log().count_runs_of_request(request))
            .sum()
    }
}

/// Starts an entry daemon and a guard that other daemons can reach only through a relay.
pub fn start_behind_relay(config: TargetConfig) -> (ProcessCluster, Relay) {
    let mut cluster = ProcessCluster::new();
    cluster.add_entry("a");
    let relay = cluster.runtime.block_on(Relay::start()).unwrap();
    let settings = Settings {
        peer_advertised_address: Some(relay.address()),
        ..cluster.settings("a")
    };
    let service = config.service.clone();
    let (daemon, _) = cluster.add_guard(&settings, config);
    relay.set_destination(cluster.daemons[daemon].addresses.peer);
    cluster.wait_for_targets(0, &service, 1);
    (cluster, relay)
}

/// An HTTP call.
#[derive(Clone, Default)]
pub struct Call<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub headers: &'a [(&'a str, &'a str)],
    pub body: &'a [u8],
}

/// Sends a call to the caller address of a daemon.
pub fn send(address: std::net::SocketAddr, call: &Call<'_>) -> HttpReply {
    let mut request = ureq::http::Request::builder()
        .method(call.method)
        .uri(format!("http://{address}{}", call.path));
    for (name, value) in call.headers {
        request = request.header(*name, *value);
    }
    let mut response = agent().run(request.body(call.body).unwrap()).unwrap();
    let text = |name: &str| {
        let value = response
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_string()
    };
    let tickets = text("x-dragonflylug-tickets");
    HttpReply {
        status: response.status().as_u16(),
        verdict: text("x-dragonflylug-verdict"),
        reason: text("x-dragonflylug-reason"),
        tickets: tickets.split(',').map(str::to_string).collect(),
        body: response
            .body_mut()
            .with_config()
            .limit(1 << 30)
            .read_to_vec()
            .unwrap(),
    }
}
