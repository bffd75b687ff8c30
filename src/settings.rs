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
use crate::quarantine::QuarantineSettings;
use crate::quota::QuotaSettings;
use crate::retry::{CallerBudgetSettings, ServiceBudgetSettings};
use crate::routes::RoutesSettings;
use crate::routing::RoutingSettings;
use crate::run_once::RunOnceSettings;

pub use bounds::{Bound, bounds};

/// The settings of a daemon.
#[apply(settings!)]
pub struct Settings {
    /// The listen address for callers.
    pub caller_address: SocketAddr,
    /// The listen address for operators.
    pub operator_address: SocketAddr,
    /// The token that operators authenticate with.
    pub operator_token: String,
    /// The listen address for other daemons.
    pub peer_address: SocketAddr,
    /// The address advertised to other daemons, if it differs from `peer_address`.
    pub peer_advertised_address: Option<SocketAddr>,
    /// The loopback listen address for announcements and calls of the target beside the daemon.
    pub announce_address: SocketAddr,
    /// The base URL of the platform.
    pub platform_url: String,
    /// The timeout of a request to the platform.
    pub platform_timeout_ms: u64,
    /// The availability zone of the VM.
    pub availability_zone: AvailabilityZone,
    /// The log settings.
    pub log: LogSettings,
    /// The maximum body size of a request or an answer.
    pub body_bytes_max: usize,
    /// The timeout for reading a complete request head, and the separate timeout for its body.
    pub read_timeout_ms: u64,
    /// The time after which an idle caller connection is closed. The shorter of this and
    /// `read_timeout_ms` bounds both the idle time and the reading of a request head.
    pub idle_timeout_ms: u64,
    /// The maximum number of concurrent caller connections.
    pub call_connections_max: usize,
    /// The maximum number of requests of one connection that run at the same time, if its caller
    /// sends them without waiting for responses.
    pub pipelined_per_connection_max: usize,
    /// The maximum number of requests, over all connections, that run while an earlier request of
    /// the same connection is not answered.
    pub pipelined_max: usize,
    /// How the entry accepts, retries and completes calls.
    pub entry: EntrySettings,
    /// How requests run on the target beside the daemon.
    pub guard: GuardSettings,
    /// Which requests are sent to the target, wait or are refused.
    pub admission: AdmissionSettings,
    /// How the target of a request is chosen.
    pub routing: RoutingSettings,
    /// When requests that end their targets are refused.
    pub quarantine: QuarantineSettings,
    /// How the requests of organisations with quotas are counted over all daemons.
    pub quota: QuotaSettings,
    /// The retry budgets of callers, at a daemon that is configured by operators' records.
    pub retry: CallerBudgetSettings,
    /// The budgets for repeated requests by service, used instead of `retry` at a daemon that is
    /// configured by a route table.
    pub retry_services: ServiceBudgetSettings,
    /// How route tables are watched and propagated.
    pub routes: RoutesSettings,
    /// Requests that run at most once.
    pub run_once: RunOnceSettings,
    /// How daemons discover and monitor each other.
    pub membership: MembershipSettings,
    /// How the operators' configuration records are read and propagated.
    pub config: ConfigSettings,
}

/// The settings of the log.
#[apply(settings!)]
#[derive(Default)]
pub struct LogSettings {
    /// The format of a line.
    pub format: LogFormat,
    /// The minimum severity that is logged.
    pub level: LogLevel,
}

/// The format of a log line.
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

/// The minimum severity that is logged.
#[apply(value!)]
#[serde(rename_all = "snake_case")]
#[derive(Default)]
pub enum LogLevel {
    /// Failures of the daemon itself.
    Error,
    /// Failures that the daemon works around.
    Warn,
    /// State changes.
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
            pipelined_per_connection_max: 16,
            pipelined_max: 1_000,
            entry: EntrySettings::default(),
            guard: GuardSettings::default(),
            admission: AdmissionSettings::default(),
            routing: RoutingSettings::default(),
            quarantine: QuarantineSettings::default(),
            quota: QuotaSettings::default(),
            retry: CallerBudgetSettings::default(),
            retry_services: ServiceBudgetSettings::default(),
            routes: RoutesSettings::default(),
            run_once: RunOnceSettings::default(),
            membership: MembershipSettings::default(),
            config: ConfigSettings::default(),
        }
    }
}

impl Settings {
    /// Reads and checks the settings in a file. Fields that it leaves out keep their defaults; only
    /// `operator_token` is required, because its default is too short to be valid.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file, the field and the allowed values.
    pub fn read(path: &Path) -> Result<Self, JsonFileError> {
        json_file::read(path, check::parse)
    }
}
