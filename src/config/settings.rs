//! The settings of the configuration service.

use macro_rules_attribute::apply;

use super::schema::SCHEMA_VERSION_MAX;
use crate::derives::settings;

/// The settings of the configuration service.
#[apply(settings!)]
pub struct ConfigSettings {
    /// The time between two reads of the table by a daemon that polls it.
    pub poll_period_ms: u64,
    /// The daemons of an availability zone that poll the table.
    pub pollers_per_zone: usize,
    /// The daemons that are told of a new version at once.
    pub fan_out: usize,
    /// The time between two comparisons of versions with another daemon.
    pub exchange_period_ms: u64,
    /// The time in which changes are gathered before others are told.
    pub push_delay_ms: u64,
    /// The time allowed for an answer of another daemon.
    pub ask_timeout_ms: u64,
    /// The time allowed for an answer of the table.
    pub table_timeout_ms: u64,
    /// The time for which calls may wait while this daemon is behind.
    pub behind_max_ms: u64,
    /// The greatest message between daemons, where it holds more than one change or record.
    pub message_bytes_max: u32,
    /// The rate of bytes at which this daemon tells and compares versions unasked.
    pub bytes_per_s_max: u32,
    /// The changes that the table keeps for daemons that are behind.
    pub changes_kept: u64,
    /// The bytes of recent changes that this daemon keeps for others.
    pub recent_bytes_max: usize,
    /// The greatest schema of records that this daemon reads and writes.
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
