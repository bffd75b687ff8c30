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
    bound("read_timeout_ms", 100, 600_000),
    bound("entry.retry_after_ms", 1, 60_000),
    bound("entry.deadline_ms", 1, 3_600_000),
    bound("entry.retries", 0, 100),
    bound("entry.tickets_per_block", 1, 64),
    bound("entry.config_wait_ms", 1, 60_000),
    bound("entry.depth_max", 1, 255),
    bound("entry.placements_max", 0, 16),
    bound("guard.retry_after_ms", 1, 60_000),
    bound("guard.late_answer_ms", 0, 3_600_000),
    bound("guard.stop_linger_ms", 0, 600_000),
    bound("call_connections_max", 1, 100_000),
    bound("admission.queue_len_max", 1, 1_000_000),
    bound("admission.queue_wait_max_ms", 1, 60_000),
    bound("admission.limit_min", 1, 1_000),
    bound("admission.background_share_max_percent", 1, 100),
    bound("routing.ejected_share_max_percent", 0, 100),
    bound("routing.ejection_ms", 1, 3_600_000),
    bound("routing.ejection_max_ms", 1, 3_600_000),
    bound("routing.slow_start_ms", 0, 600_000),
    bound("routing.zone_spill_percent", 1, 100),
    bound("routing.threshold_fresh_ms", 1, 60_000),
    bound("routing.threshold_probe_percent", 1, 100),
    bound("retry.budget_percent", 0, 100),
    bound("retry.budget_floor", 0, 10_000),
    bound("retry.window_ms", 100, 600_000),
    bound("retry.callers_max", 1, 1_000_000),
    bound("retry.requests_per_caller_max", 1, 100_000),
    bound("retry_services.window_ms", 100, 600_000),
    bound("retry_services.repeats_percent", 0, 100),
    bound("retry_services.repeats_floor", 0, 10_000),
    bound("routes.watch_ms", 100, 60_000),
    bound("routes.watch_slack_ms", 100, 60_000),
    bound("routes.retry_ms", 1, 60_000),
    bound("routes.retry_max_ms", 2, 60_000),
    bound("routes.compare_period_ms", 50, 60_000),
    bound("routes.fan_out", 0, 32),
    bound("routes.ask_timeout_ms", 10, 10_000),
    bound("run_once.kept_answers_bytes_max", 65_536, 1_073_741_824),
    bound("run_once.kept_answer_bytes_max", 1_024, 1_073_741_824),
    bound("run_once.kept_answer_ttl_ms", 1_000, 86_400_000),
    bound("run_once.open_tickets_max", 1, 16_777_216),
    bound("run_once.open_ticket_ttl_ms", 1_000, 86_400_000),
    bound("run_once.ticket_block_max", 1, 65_535),
    bound("run_once.ticket_ranges_max", 1, 1_000_000),
    bound("run_once.joined_calls_max", 1, 100_000),
    bound("run_once.children_max", 1, 100_000),
    bound("run_once.claim_timeout_ms", 10, 60_000),
    bound("run_once.claim_attempts_max", 1, 10),
    bound("run_once.claim_batch_max", 1, 1_000),
    bound("run_once.claim_requests_max", 1, 32),
    bound("run_once.pending_claims_max", 1, 100_000),
    bound("run_once.table_retry_after_ms", 1, 60_000),
    bound("membership.probe_period_ms", 50, 60_000),
    bound("membership.probe_timeout_ms", 10, 60_000),
    bound("membership.relays", 0, 16),
    bound("membership.suspicion_ms", 100, 600_000),
    bound("membership.gossip_bytes_per_s", 100, 1_000_000),
    bound("membership.gossip_burst_bytes", 1_024, 16_777_216),
    bound("membership.updates_max_bytes", 256, 65_536),
    bound("membership.contacts_max", 1, 1_000),
    bound("membership.row_refresh_ms", 1_000, 86_400_000),
    bound("membership.platform_timeout_ms", 10, 60_000),
    bound("membership.retry_max_ms", 100, 600_000),
    bound("membership.list_period_ms", 1, 60_000),
    bound("membership.tell_period_ms", 10, 60_000),
    bound("membership.sync_period_ms", 100, 3_600_000),
    bound("membership.gone_memory_ms", 1_000, 86_400_000),
    bound("membership.gone_probe_ms", 100, 3_600_000),
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
