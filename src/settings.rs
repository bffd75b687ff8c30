//! The settings of a daemon, read from a JSON file.

mod bounds;
mod check;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;

use macro_rules_attribute::apply;

use crate::admission::AdmissionSettings;
use crate::calls::entry::EntrySettings;
use crate::calls::guard::GuardSettings;
use crate::config::ConfigSettings;
use crate::derives::{settings, value};
use crate::ids::AvailabilityZone;
use crate::json_file::{self, JsonFileError};
use crate::membership::MembershipSettings;
use crate::retry::{RetrySettings, ServiceBudgetSettings};
use crate::routes::RoutesSettings;
use crate::routing::RoutingSettings;
use crate::run_once::RunOnceSettings;

pub use bounds::{Bound, bounds};

/// The settings of a daemon.
#[apply(settings!)]
pub struct Settings {
    /// The address that callers use.
    pub caller_address: SocketAddr,
    /// The address that operators use.
    pub operator_address: SocketAddr,
    /// The token that operators show.
    pub operator_token: String,
    /// The address that other daemons use.
    pub peer_address: SocketAddr,
    /// The address that other daemons are told, where it is not the one above.
    pub peer_advertised_address: Option<SocketAddr>,
    /// The loopback address at which the target beside the daemon announces itself and calls.
    pub announce_address: SocketAddr,
    /// The base address of the platform.
    pub platform_url: String,
    /// The time allowed for an answer of the platform.
    pub platform_timeout_ms: u64,
    /// The availability zone of the VM.
    pub availability_zone: AvailabilityZone,
    /// The log.
    pub log: LogSettings,
    /// The greatest body of a request or an answer.
    pub body_bytes_max: usize,
    /// The time for a whole request head, and again for its body.
    pub read_timeout_ms: u64,
    /// The time after which a caller's connection without a request is closed, where that is
    /// shorter than the time for a request head.
    pub idle_timeout_ms: u64,
    /// The connections of callers that are served at once.
    pub call_connections_max: usize,
    /// How calls are taken, tried again and ended.
    pub entry: EntrySettings,
    /// How requests run on the target beside the daemon.
    pub guard: GuardSettings,
    /// Which requests are sent to the target, wait or are refused.
    pub admission: AdmissionSettings,
    /// Which target takes a request.
    pub routing: RoutingSettings,
    /// The retry budgets of callers.
    pub retry: RetrySettings,
    /// The repeats of each service.
    pub retry_services: ServiceBudgetSettings,
    /// How route tables are watched and spread.
    pub routes: RoutesSettings,
    /// Requests that run at most once.
    pub run_once: RunOnceSettings,
    /// How daemons find and watch each other.
    pub membership: MembershipSettings,
    /// How the operators' records are read and spread.
    pub config: ConfigSettings,
}

/// The settings of the log.
#[apply(settings!)]
#[derive(Default)]
pub struct LogSettings {
    /// The form of a line.
    pub format: LogFormat,
    /// The least level that is logged.
    pub level: LogLevel,
}

/// The form of a log line.
#[apply(value!)]
#[serde(rename_all = "snake_case")]
#[derive(Default)]
pub enum LogFormat {
    /// Plain text.
    #[default]
    Text,
    /// One JSON object for each line.
    Json,
}

/// The least level that is logged.
#[apply(value!)]
#[serde(rename_all = "snake_case")]
#[derive(Default)]
pub enum LogLevel {
    /// Failures of the daemon itself.
    Error,
    /// Losses that the daemon works around.
    Warn,
    /// Changes of state.
    #[default]
    Info,
    /// Details for developers.
    Debug,
}

impl Default for Settings {
    fn default() -> Self {
        let loopback = IpAddr::V4(Ipv4Addr::LOCALHOST);
        Self {
            caller_address: SocketAddr::new(loopback, 8080),
            operator_address: SocketAddr::new(loopback, 8081),
            operator_token: String::new(),
            peer_address: SocketAddr::new(loopback, 8082),
            peer_advertised_address: None,
            announce_address: SocketAddr::new(loopback, 8083),
            platform_url: "http://127.0.0.1:8090".into(),
            platform_timeout_ms: 1_000,
            availability_zone: "zone-1".into(),
            log: LogSettings::default(),
            body_bytes_max: 8 * 1024 * 1024,
            read_timeout_ms: 10_000,
            idle_timeout_ms: 10_000,
            call_connections_max: 1_000,
            entry: EntrySettings::default(),
            guard: GuardSettings::default(),
            admission: AdmissionSettings::default(),
            routing: RoutingSettings::default(),
            retry: RetrySettings::default(),
            retry_services: ServiceBudgetSettings::default(),
            routes: RoutesSettings::default(),
            run_once: RunOnceSettings::default(),
            membership: MembershipSettings::default(),
            config: ConfigSettings::default(),
        }
    }
}

impl Settings {
    /// Reads and checks the settings in a file; fields that it leaves out keep their defaults.
    ///
    /// # Errors
    ///
    /// Names the file, the field and what is allowed.
    pub fn read(path: &Path) -> Result<Self, JsonFileError> {
        json_file::read(path, check::read)
    }
}
