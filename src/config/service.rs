//! The configuration service: what is in force, what is asked, and what follows from it.

use std::net::SocketAddr;
use std::sync::Arc;

use super::fetch::Fetch;
use super::roster::Roster;
use super::state::{Change, Misfit, Readings, RecentChanges, State, UnreadableRecord};
use super::submit::Submit;
use super::{ConfigSettings, ConfigView, NAME, Policy};
use crate::ids::{AvailabilityZone, MemberId, OutboundKey, ServiceName};
use crate::kernel::{Context, Event, Notice, Service, StateChange};
use crate::membership::ByteBudget;
use crate::metrics::Counter;
use crate::sorted::SortedMap;
use crate::table::{PlatformError, TableResponse};

/// The seconds of the rate of unasked bytes that may be sent at once.
const BURST_S: u32 = 20;

/// Timer tags; a tag from `SUBMIT` on belongs to one submission.
pub(super) mod tag {
    pub(in crate::config) const POLL: u64 = 1;
    pub(in crate::config) const EXCHANGE: u64 = 2;
    pub(in crate::config) const PUSH: u64 = 3;
    pub(in crate::config) const RETRY: u64 = 4;
    pub(in crate::config) const BEHIND: u64 = 5;
    pub(in crate::config) const SUBMIT: u64 = 16;
}

/// What an answer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Purpose {
    /// The fetch from the table.
    TableFetch,
    /// The fetch from another daemon.
    PeerFetch,
    /// Comparing versions with another daemon.
    Exchange(SocketAddr),
    /// Handing changes after a version to another daemon.
    Push { to: SocketAddr, after: u64 },
    /// A submission.
    Submit(u64),
}

/// The configuration service of a daemon.
pub struct Config {
    pub(super) settings: ConfigSettings,
    pub(super) roster: Roster,
    pub(super) state: State,
    pub(super) recent: RecentChanges,
    pub(super) budget: ByteBudget,
    pub(super) asks: SortedMap<OutboundKey, Purpose>,
    pub(super) table_fetch: Option<Fetch>,
    pub(super) peer_fetch: Option<Fetch>,
    pub(super) needs_whole: bool,
    pub(super) failures: u32,
    pub(super) known_version: u64,
    pub(super) is_confirmed: bool,
    pub(super) behind_until_us: u64,
    pub(super) expected_until_us: u64,
    pub(super) is_push_set: bool,
    pub(super) is_retry_set: bool,
    pub(super) is_stopping: bool,
    readings: Readings,
    view: Arc<ConfigView>,
    pub(super) submits: SortedMap<u64, Submit>,
}

impl Config {
    /// Makes the service of a daemon that has no configuration yet.
    pub fn new(settings: ConfigSettings, own_id: MemberId, own_zone: AvailabilityZone) -> Self {
        Self {
            roster: Roster::new(own_id, own_zone),
            state: State::default(),
            recent: RecentChanges::default(),
            budget: ByteBudget::new(settings.bytes_per_s_max, settings.bytes_per_s_max * BURST_S),
            asks: SortedMap::default(),
            table_fetch: None,
            peer_fetch: None,
            needs_whole: false,
            failures: 0,
            known_version: 0,
            is_confirmed: false,
            behind_until_us: 0,
            expected_until_us: 0,
            is_push_set: false,
            is_retry_set: false,
            is_stopping: false,
            readings: Readings::new(settings.schema_version_max),
            view: Arc::default(),
            submits: SortedMap::default(),
            settings,
        }
    }

    /// Returns the configuration in force.
    pub fn view(&self) -> Arc<ConfigView> {
        self.view.clone()
    }

    /// Returns the global version in force.
    pub fn version(&self) -> u64 {
        self.state.version
    }

    /// Returns what holds for a request, or `None` where no record names its service.
    pub fn policy(&self, service: &ServiceName, method: &str, path: &str) -> Option<Policy> {
        self.view.policy(service, method, path)
    }

    /// Returns the records that this daemon cannot read.
    pub fn unreadable_records(&self) -> Vec<UnreadableRecord> {
        self.readings.unreadable()
    }

    /// Says whether a greater version is known, or none was heard of since a start or a pause.
    /// [`Notice::ConfigChanged`] follows; but after `behind_max_ms` what is in force holds.
    pub fn is_behind(&self) -> bool {
        !self.is_confirmed || self.known_version > self.state.version
    }

    /// Applies changes in order; older ones are passed over.
    pub(super) fn apply(
        &mut self,
        context: &mut Context<'_>,
        changes: Vec<Change>,
    ) -> Result<(), Misfit> {
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
            self.read_change(context, &change);
            self.recent.push(change, self.settings.recent_bytes_max);
        }
        if result == Err(Misfit::Digest) {
            self.needs_whole = true;
            context.count(Counter::unlabelled("config_digest_mismatches"));
        }
        if self.state.version > before {
            self.needs_whole &= result == Err(Misfit::Digest);
            self.put_in_force(context);
        }
        result
    }

    /// Puts gathered records in force where their version is greater.
    pub(super) fn adopt(&mut self, context: &mut Context<'_>, state: State) {
        if state.version <= self.state.version {
            return;
        }
        let before = std::mem::replace(&mut self.state, state);
        self.recent.clear();
        self.needs_whole = false;
        self.readings.keep_only(&self.state);
        let mut unreadable = Vec::new();
        for (service, record) in self.state.records.iter() {
            if before.records.get(service) == Some(record) {
                continue;
            }
            unreadable.extend(self.readings.read(record).err());
        }
        for unreadable in unreadable {
            tell_unreadable(context, &unreadable);
        }
        self.put_in_force(context);
    }

    fn read_change(&mut self, context: &mut Context<'_>, change: &Change) {
        for service in &change.removed {
            self.readings.remove(service);
        }
        for record in &change.changed {
            if let Err(unreadable) = self.readings.read(record) {
                tell_unreadable(context, &unreadable);
            }
        }
    }

    fn put_in_force(&mut self, context: &mut Context<'_>) {
        let version = self.state.version;
        self.view = self.readings.view(version);
        self.known_version = self.known_version.max(version);
        context.count(Counter::unlabelled("config_versions_applied"));
        let detail = format!("version {version}");
        context.log(StateChange::new("config", "in force", detail));
        context.publish(Notice::ConfigChanged(self.view.clone()));
        self.set_push(context);
    }

    fn table_answered(
        &mut self,
        context: &mut Context<'_>,
        ask: OutboundKey,
        result: Result<TableResponse, PlatformError>,
    ) {
        match self.asks.remove(&ask) {
            Some(Purpose::Submit(key)) => self.submit_answered(context, key, result),
            Some(Purpose::TableFetch) => self.table_fetched(context, result),
            _ => {}
        }
    }
}

fn tell_unreadable(context: &mut Context<'_>, unreadable: &UnreadableRecord) {
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
            Event::Started => self.started(context),
            Event::Notice(notice) => self.noticed(context, notice),
            Event::Timer(tag) if tag >= tag::SUBMIT => self.ask_submit(context, tag - tag::SUBMIT),
            Event::Timer(tag) => self.timer_due(context, tag),
            Event::PeerRequest { inbound, request } => self.asked(context, inbound, request),
            Event::PeerResponse { key, result } => self.answered(context, key, result),
            Event::TableResponse { key, result } => self.table_answered(context, key, result),
            Event::OperatorRequest { call, request } => self.operator_asked(context, call, request),
            _ => {}
        }
    }
}
