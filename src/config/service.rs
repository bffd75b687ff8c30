//! The configuration service of a daemon: its state, the activation of new versions, and the
//! dispatch of events to their handlers.

use std::net::SocketAddr;
use std::sync::Arc;

use super::fetch::Fetch;
use super::peer_set::PeerSet;
use super::state::{ApplyError, Change, ParsedRecords, RecentChanges, State, UnreadableRecord};
use super::submit_transaction::SubmitTransaction;
use super::{ConfigSettings, ConfigView, NAME, Policy};
use crate::ids::{AvailabilityZone, MemberId, OutboundKey, ServiceName};
use crate::kernel::{Context, Event, Notice, Service, StateChange};
use crate::membership::ByteBudget;
use crate::metrics::Counter;
use crate::sorted::SortedMap;
use crate::table::{PlatformError, TableResponse};

/// The burst of the byte budget for unsolicited messages: the bytes that accrue in this many
/// seconds.
const BURST_S: u32 = 20;

/// Timer tags. A tag from `SUBMIT_BASE` on belongs to one submission: the submission's key is added
/// to `SUBMIT_BASE`.
pub(super) mod tag {
    pub(in crate::config) const POLL: u64 = 1;
    pub(in crate::config) const EXCHANGE: u64 = 2;
    pub(in crate::config) const ANNOUNCE: u64 = 3;
    pub(in crate::config) const FETCH: u64 = 4;
    pub(in crate::config) const BEHIND_TIMEOUT: u64 = 5;
    pub(in crate::config) const SUBMIT_BASE: u64 = 16;
}

/// The purpose of a request to a peer or the table, which determines how its response is handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestPurpose {
    /// A fetch from the table.
    TableFetch,
    /// A fetch from another daemon.
    PeerFetch,
    /// A report of this daemon's version to another daemon, to announce it or to compare versions.
    Version(SocketAddr),
    /// A push of the changes after a version to another daemon.
    Push { to: SocketAddr, after: u64 },
    /// A submission to the table, by its key.
    Submit(u64),
}

/// The configuration service of a daemon.
pub struct Config {
    pub(super) settings: ConfigSettings,
    pub(super) peers: PeerSet,
    pub(super) state: State,
    pub(super) recent: RecentChanges,
    pub(super) byte_budget: ByteBudget,
    pub(super) pending_requests: SortedMap<OutboundKey, RequestPurpose>,
    pub(super) table_fetch: Option<Fetch>,
    pub(super) peer_fetch: Option<Fetch>,
    /// Whether the next fetch needs all records: at the start, and after a digest mismatch.
    pub(super) needs_snapshot: bool,
    /// The fetches that failed, and those from peers that found nothing newer while this daemon was
    /// behind, since the last success.
    pub(super) fetch_failures: u32,
    /// The newest version that a peer or the table reported, or the active one if that is newer.
    /// Reset to the active version once this daemon has been behind for `behind_max_ms`.
    pub(super) observed_version: u64,
    /// Whether, since the start or the last pause, a fetch succeeded, the table had nothing newer,
    /// a peer that has a configuration responded with its version, or the wait for that timed out
    /// while a configuration was active.
    pub(super) is_version_confirmed: bool,
    /// The time from which the active configuration counts as current even if a newer version was
    /// observed.
    pub(super) behind_deadline_us: u64,
    /// The time until which a push is expected from a peer that announced a newer version.
    pub(super) push_expected_until_us: u64,
    pub(super) is_announcement_scheduled: bool,
    pub(super) is_fetch_scheduled: bool,
    pub(super) is_stopping: bool,
    parsed: ParsedRecords,
    view: Arc<ConfigView>,
    pub(super) submissions: SortedMap<u64, SubmitTransaction>,
}

impl Config {
    /// Creates the service of a daemon that has no configuration yet.
    pub fn new(settings: ConfigSettings, own_id: MemberId, own_zone: AvailabilityZone) -> Self {
        Self {
            peers: PeerSet::new(own_id, own_zone),
            state: State::default(),
            recent: RecentChanges::default(),
            byte_budget: ByteBudget::new(
                settings.bytes_per_s_max,
                settings.bytes_per_s_max * BURST_S,
            ),
            pending_requests: SortedMap::default(),
            table_fetch: None,
            peer_fetch: None,
            needs_snapshot: false,
            fetch_failures: 0,
            observed_version: 0,
            is_version_confirmed: false,
            behind_deadline_us: 0,
            push_expected_until_us: 0,
            is_announcement_scheduled: false,
            is_fetch_scheduled: false,
            is_stopping: false,
            parsed: ParsedRecords::new(settings.schema_version_max),
            view: Arc::default(),
            submissions: SortedMap::default(),
            settings,
        }
    }

    /// Returns the active configuration.
    pub fn view(&self) -> Arc<ConfigView> {
        self.view.clone()
    }

    /// Returns the global version of the active configuration.
    pub fn version(&self) -> u64 {
        self.state.version
    }

    /// Returns the policy for a request, or `None` if no record of its service has a matching kind.
    pub fn policy(&self, service: &ServiceName, method: &str, path: &str) -> Option<Policy> {
        self.view.policy(service, method, path)
    }

    /// Returns the records that this daemon cannot read.
    pub fn unreadable_records(&self) -> Vec<UnreadableRecord> {
        self.parsed.unreadable_records()
    }

    /// Returns whether a newer version than the active one was observed, or no version has been
    /// confirmed by a peer or the table since the start or the last pause.
    /// [`Notice::ConfigChanged`] follows once the newer version is applied; after `behind_max_ms`
    /// the active configuration, if there is one, counts as current.
    pub fn is_behind(&self) -> bool {
        !self.is_version_confirmed || self.observed_version > self.state.version
    }

    /// Applies changes in order, skips those that are not newer than the active version, and stops
    /// at the first that does not fit.
    pub(super) fn apply(
        &mut self,
        context: &mut Context<'_>,
        changes: Vec<Change>,
    ) -> Result<(), ApplyError> {
        let before = self.state.version;
        let mut result = Ok(());
        for change in changes {
            if change.version <= self.state.version {
                continue;
            }
            result = self.state.apply(&change);
            if result.is_err() {
                break;
            }
            self.parse_change(context, &change);
            self.recent.push(change, self.settings.recent_bytes_max);
        }
        if result == Err(ApplyError::DigestMismatch) {
            self.needs_snapshot = true;
            context.count(Counter::unlabelled("config_digest_mismatches"));
        }
        if self.state.version > before {
            self.needs_snapshot &= result == Err(ApplyError::DigestMismatch);
            self.activate(context);
        }
        result
    }

    /// Replaces all stored records by those of a snapshot, if its version is newer. If a new record
    /// cannot be read, the last one of the service that could be read stays active.
    pub(super) fn install_snapshot(&mut self, context: &mut Context<'_>, state: State) {
        if state.version <= self.state.version {
            return;
        }
        let before = std::mem::replace(&mut self.state, state);
        self.recent.clear();
        self.needs_snapshot = false;
        self.parsed.retain_services_of(&self.state);
        let mut unreadable = Vec::new();
        for (service, record) in self.state.records.iter() {
            if before.records.get(service) == Some(record) {
                continue;
            }
            unreadable.extend(self.parsed.parse(record).err());
        }
        for unreadable in unreadable {
            log_unreadable_record(context, &unreadable);
        }
        self.activate(context);
    }

    fn parse_change(&mut self, context: &mut Context<'_>, change: &Change) {
        for service in &change.removed {
            self.parsed.remove(service);
        }
        for record in &change.changed {
            if let Err(unreadable) = self.parsed.parse(record) {
                log_unreadable_record(context, &unreadable);
            }
        }
    }

    fn activate(&mut self, context: &mut Context<'_>) {
        let version = self.state.version;
        self.view = self.parsed.view(version);
        self.observed_version = self.observed_version.max(version);
        context.count(Counter::unlabelled("config_versions_applied"));
        let detail = format!("version {version}");
        context.log(StateChange::new("config", "activated", detail));
        context.publish(Notice::ConfigChanged(self.view.clone()));
        self.schedule_announcement(context);
    }

    fn handle_table_response(
        &mut self,
        context: &mut Context<'_>,
        outbound: OutboundKey,
        result: Result<TableResponse, PlatformError>,
    ) {
        match self.pending_requests.remove(&outbound) {
            Some(RequestPurpose::Submit(key)) => {
                self.handle_submission_response(context, key, result)
            }
            Some(RequestPurpose::TableFetch) => self.handle_table_fetch_response(context, result),
            _ => {}
        }
    }
}

fn log_unreadable_record(context: &mut Context<'_>, unreadable: &UnreadableRecord) {
    context.count(Counter::unlabelled("config_unreadable_records"));
    let detail = format!("{}: {}", unreadable.service, unreadable.problem);
    context.log(StateChange::new("config", "record cannot be read", detail));
}

impl Service for Config {
    fn name(&self) -> &'static str {
        NAME
    }

    fn handle(&mut self, context: &mut Context<'_>, event: Event) {
        match event {
            Event::Started => self.handle_start(context),
            Event::Notice(notice) => self.handle_notice(context, notice),
            Event::Timer(tag) if tag >= tag::SUBMIT_BASE => {
                self.send_submission(context, tag - tag::SUBMIT_BASE)
            }
            Event::Timer(tag) => self.handle_timer(context, tag),
            Event::PeerRequest { inbound, request } => {
                self.handle_peer_request(context, inbound, request)
            }
            Event::PeerResponse { key, result } => self.handle_peer_response(context, key, result),
            Event::TableResponse { key, result } => {
                self.handle_table_response(context, key, result)
            }
            Event::OperatorRequest { call, request } => {
                self.handle_operator_request(context, call, request)
            }
            _ => {}
        }
    }
}
