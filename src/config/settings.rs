//! The settings of the configuration service.

use macro_rules_attribute::apply;

use super::schema::SCHEMA_VERSION_MAX;
use crate::derives::settings;

/// The settings of the configuration service.
#[apply(settings!)]
pub struct ConfigSettings {
    /// The interval at which a polling daemon reads the table.
    pub poll_period_ms: u64,
    /// The number of daemons in each availability zone that poll the table.
    pub pollers_per_zone: usize,
    /// The number of daemons to which a new version is announced at once.
    pub fan_out: usize,
    /// The interval between comparisons of versions with another daemon.
    pub exchange_period_ms: u64,
    /// How long changes are batched before a new version is announced.
    pub push_delay_ms: u64,
    /// The timeout of a request to another daemon.
    pub ask_timeout_ms: u64,
    /// The timeout of a request to the table.
    pub table_timeout_ms: u64,
    /// How long calls may be deferred while this daemon is behind; then its active configuration,
    /// if there is one, counts as current.
    pub behind_max_ms: u64,
    /// The maximum size of a message between daemons; only a message with a single change or record
    /// may exceed it.
    pub message_bytes_max: u32,
    /// The byte rate limit of unsolicited messages: announcements and comparisons of versions.
    pub bytes_per_s_max: u32,
    /// The number of changes that the table keeps for daemons that are behind.
    pub changes_kept: u64,
    /// The maximum size of the recent changes that this daemon keeps for others.
    pub recent_bytes_max: usize,
    /// The newest schema of records that this daemon reads and writes.
    pub schema_version_max: u16,
}

impl Default for ConfigSettings {
    fn default() -> Self {
        Self {
            poll_period_ms: 500,
            pollers_per_zone: 2,
            fan_out: 4,
            exchange_period_ms: 1_000,
            push_delay_ms: 20,
            ask_timeout_ms: 500,
            table_timeout_ms: 1_000,
            behind_max_ms: 1_000,
            message_bytes_max: 32 * 1024,
            bytes_per_s_max: 1_500,
            changes_kept: 10_000,
            recent_bytes_max: 256 * 1024,
            schema_version_max: SCHEMA_VERSION_MAX,
        }
    }
}
