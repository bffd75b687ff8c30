//! The table of the least and greatest value of each number in the settings.

/// The range of a number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bound {
    /// The field, as a path with dots.
    pub field: &'static str,
    /// The least value.
    pub least: u64,
    /// The greatest value.
    pub greatest: u64,
}

const fn bound(field: &'static str, least: u64, greatest: u64) -> Bound {
    Bound {
        field,
        least,
        greatest,
    }
}

const BOUNDS: &[Bound] = &[
    bound("platform_timeout_ms", 10, 60_000),
    bound("body_bytes_max", 1, 1_073_741_824),
    bound("call_threads_max", 1, 4_096),
    bound("call_connections_max", 1, 100_000),
    bound("config.poll_period_ms", 50, 60_000),
    bound("config.pollers_per_zone", 1, 16),
    bound("config.fan_out", 1, 32),
    bound("config.exchange_period_ms", 50, 60_000),
    bound("config.push_delay_ms", 0, 1_000),
    bound("config.ask_timeout_ms", 10, 10_000),
    bound("config.table_timeout_ms", 10, 60_000),
    bound("config.behind_max_ms", 0, 60_000),
    bound("config.message_bytes_max", 1_024, 1_048_576),
    bound("config.bytes_per_s_max", 100, 1_000_000),
    bound("config.changes_kept", 16, 1_000_000),
    bound("config.recent_bytes_max", 1_024, 16_777_216),
    bound("config.schema_version_max", 1, 2),
];

/// Returns the range of each number in the settings.
pub fn bounds() -> &'static [Bound] {
    BOUNDS
}
