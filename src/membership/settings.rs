//! The settings of the membership service.

use macro_rules_attribute::apply;

use crate::derives::settings;

/// How a daemon probes other daemons, propagates updates and finds its first contacts.
#[apply(settings!)]
pub struct MembershipSettings {
    /// The interval between probes.
    pub probe_period_ms: u32,
    /// The timeout of a request to a peer, such as a direct probe; an indirect probe has twice
    /// that.
    pub probe_timeout_ms: u32,
    /// The maximum delay before a new update is sent, while the byte budget has a surplus.
    pub tell_period_ms: u32,
    /// The number of relays that probe a member that did not respond to a direct probe.
    pub relays: u32,
    /// The minimum time between the suspicion of a member and marking it gone.
    pub suspicion_ms: u32,
    /// The bytes per second that this daemon may send in membership messages, including responses.
    pub gossip_bytes_per_s: u32,
    /// The capacity of the byte budget, for bursts of changes.
    pub gossip_burst_bytes: u32,
    /// The maximum size of the queued updates in one message, and of the member records that a
    /// comparison returns because the peer lacks them or has older ones; not of other updates, such
    /// as the own record or reports of gone members.
    pub updates_max_bytes: u32,
    /// The maximum number of rows that one read for first contacts returns; the snapshot holds up
    /// to 4 times as many members, and the one that writes it.
    pub contacts_max: u32,
    /// The maximum number of rows that a daemon reads to find all others; with 0 it reads only the
    /// few rows for first contacts.
    pub all_rows_max: u32,
    /// The delay between the start and the first read of all rows; the pause doubles with each
    /// read.
    pub all_rows_first_ms: u32,
    /// The maximum pause between reads of all rows, before jitter.
    pub all_rows_pause_max_ms: u32,
    /// The interval at which a member that maintains the table's rows checks them, and the maximum
    /// random delay before a new daemon writes its own row.
    pub row_refresh_ms: u32,
    /// The timeout of a request to the platform.
    pub platform_timeout_ms: u32,
    /// The maximum delay before a failed request to the platform is retried, and between the rounds
    /// in which a new daemon searches for contacts.
    pub retry_max_ms: u32,
    /// The interval between requests of a new daemon for the parts of the member list.
    pub list_period_ms: u32,
    /// The interval between comparisons of the roster with another member.
    pub sync_period_ms: u32,
    /// How long the record of a gone member is kept.
    pub gone_memory_ms: u32,
    /// The interval between probes of gone members.
    pub gone_probe_ms: u32,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            probe_period_ms: 1_000,
            probe_timeout_ms: 500,
            tell_period_ms: 200,
            relays: 3,
            suspicion_ms: 4_000,
            gossip_bytes_per_s: 1_200,
            gossip_burst_bytes: 262_144,
            updates_max_bytes: 1_024,
            contacts_max: 8,
            all_rows_max: 0,
            all_rows_first_ms: 300,
            all_rows_pause_max_ms: 20_000,
            row_refresh_ms: 60_000,
            platform_timeout_ms: 2_000,
            retry_max_ms: 30_000,
            list_period_ms: 50,
            sync_period_ms: 5_000,
            gone_memory_ms: 3_600_000,
            gone_probe_ms: 10_000,
        }
    }
}
