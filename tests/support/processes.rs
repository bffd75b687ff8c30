//! Real daemon processes on loopback, with stand-ins inside the test.

#![allow(dead_code)]

use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use dragonflylug::host::daemon::Addresses;
use dragonflylug::host::operator::Status;
use dragonflylug::settings::Settings;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// The operator token of each daemon in a test.
pub const TOKEN: &str = "0123456789abcdef";

/// The time after which a condition that is waited for counts as never to come.
const PATIENCE: Duration = Duration::from_secs(60);

/// The wait between two looks at a condition.
const LOOK_PERIOD: Duration = Duration::from_millis(20);

static NEXT_FILE: AtomicU32 = AtomicU32::new(0);

/// A running daemon process; ended when dropped.
pub struct DaemonProcess {
    child: Child,
    pub addresses: Addresses,
}

/// Returns settings with ports of the system's choice.
pub fn settings(platform_url: &str, zone: &str) -> Settings {
    let any = "127.0.0.1:0".parse().unwrap();
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

    /// Waits for the end of the process.
    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().unwrap()
    }

    /// Reads the daemon's status.
    pub fn status(&self) -> Status {
        let text = self.operator("GET", "/status", "");
        serde_json::from_str(&text).unwrap()
    }

    /// Returns the value of a counter, over all its labels that contain a text.
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

    /// Sends an operator's request and returns the body of the answer.
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

/// Returns an HTTP client that hands back each status.
pub fn agent() -> ureq::Agent {
    ureq::Agent::config_builder().http_status_as_error(false).build().into()
}

/// Waits until a condition holds.
pub fn wait_for(what: &str, mut holds: impl FnMut() -> bool) {
    let start = std::time::Instant::now();
    while !holds() {
        assert!(start.elapsed() < PATIENCE, "never came: {what}");
        std::thread::sleep(LOOK_PERIOD);
    }
}

/// Waits until a daemon sees a number of targets of a service that take work.
pub fn wait_for_targets(daemon: &DaemonProcess, service: &str, count: usize) {
    wait_for("the targets are known", || {
        let mut found = 0;
        for member in daemon.status().members {
            let serves = member.service.as_ref().is_some_and(|name| name.as_str() == service);
            found += usize::from(serves);
        }
        found >= count
    });
}
