//! The kernel service that keeps the route table: it watches the source, and compares versions with
//! peers so that a newer table also reaches daemons that are cut off from the source.

use std::net::SocketAddr;
use std::sync::Arc;

use macro_rules_attribute::apply;
use rand::RngExt;

use super::message::SourceState;
use super::split::TrafficSplits;
use super::watch::SourceWatch;
use super::{Message, NAME, Resolution, RouteTable};
use crate::derives::settings;
use crate::ids::{InboundKey, MemberId, OutboundKey, Priority};
use crate::kernel::{Context, Event, LinkError, Notice, Service, StateChange};
use crate::membership::{self, Membership};
use crate::metrics::Counter;
use crate::organisations::{KeyDigest, Organisations, Principal};
use crate::peer::{PeerRequest, PeerResponse};
use crate::sorted::SortedMap;

/// Settings of the propagation of route tables.
#[apply(settings!)]
pub struct RoutesSettings {
    /// How long the source may hold a read of a daemon that is no poller open while there is no
    /// update (long polling).
    pub watch_ms: u32,
    /// The time beyond `watch_ms` after which such a read counts as lost, and the timeout of a read of
    /// the whole table.
    pub watch_slack_ms: u32,
    /// How long the source may hold a read of a poller open while there is no update.
    pub poll_ms: u32,
    /// The time beyond `poll_ms` after which such a read counts as lost.
    pub poll_slack_ms: u32,
    /// The number of daemons in each availability zone that poll the source.
    pub pollers_per_zone: usize,
    /// The rate at which daemons, all together, begin to read the source again after a failure or a
    /// restoration; each may send two reads then.
    pub reads_per_s_max: u32,
    /// The minimum delay before the source is read again after a first failure, and the maximum one
    /// after its history was lost.
    pub retry_ms: u32,
    /// The maximum delay before the source is read again after a failure.
    pub retry_max_ms: u32,
    /// The time between two comparisons of versions with a peer.
    pub compare_period_ms: u32,
    /// The number of peers that are notified of a new version at once.
    pub fan_out: usize,
    /// The timeout of a peer request.
    pub ask_timeout_ms: u32,
}

impl Default for RoutesSettings {
    fn default() -> Self {
        Self {
            watch_ms: 25_000,
            watch_slack_ms: 3_000,
            poll_ms: 1_000,
            poll_slack_ms: 1_000,
            pollers_per_zone: 1,
            reads_per_s_max: 500,
            retry_ms: 200,
            retry_max_ms: 1_000,
            compare_period_ms: 1_000,
            fan_out: 2,
            ask_timeout_ms: 500,
        }
    }
}

/// The timers of the service.
#[derive(Clone, Copy)]
pub(super) enum TimerTag {
    Read = 1,
    Compare = 2,
}

/// The kind of a request to a peer whose response is awaited.
#[derive(Clone, Copy)]
pub(super) enum RequestKind {
    Compare(SocketAddr),
    Fetch,
}

/// Keeps the route table of a daemon up to date and matches requests against it.
pub struct Routes {
    pub(super) settings: RoutesSettings,
    own_id: MemberId,
    table: Option<Arc<RouteTable>>,
    /// The lowest priority of the requests that carry a key, by the current table.
    lowest_keyed_priority: Option<Priority>,
    splits: TrafficSplits,
    pub(super) source: SourceWatch,
    pending: SortedMap<OutboundKey, RequestKind>,
    is_fetching: bool,
}

impl Routes {
    /// Creates the service of a daemon that has no table yet.
    pub fn new(settings: RoutesSettings, own_id: MemberId) -> Self {
        Self {
            settings,
            own_id,
            table: None,
            lowest_keyed_priority: None,
            splits: TrafficSplits::default(),
            source: SourceWatch::default(),
            pending: SortedMap::default(),
            is_fetching: false,
        }
    }

    /// Returns the version of the current table; 0 if there is none.
    pub fn version(&self) -> u64 {
        self.table.as_ref().map_or(0, |table| table.version)
    }

    /// Returns the current table.
    pub fn table(&self) -> Option<&Arc<RouteTable>> {
        self.table.as_ref()
    }

    /// Returns the organisations of the current table; `None` if requests need no key.
    pub fn organisations(&self) -> Option<&Organisations> {
        self.table.as_ref()?.organisations.as_ref()
    }

    /// Returns the lowest priority of the requests that carry a key; `None` if requests need no key.
    pub fn lowest_keyed_priority(&self) -> Option<Priority> {
        self.lowest_keyed_priority
    }

    /// Finds the route, the service and the terms of a request, and the organisation that sent it;
    /// the host must be in lower case.
    pub fn resolve(
        &mut self,
        host: &str,
        path: &str,
        key: Option<KeyDigest>,
        rng: &mut impl RngExt,
    ) -> Resolution {
        let Some(table) = &self.table else {
            return Resolution::NoTable;
        };
        let Some(route) = table.find(host, path) else {
            return Resolution::NoRoute;
        };
        let mut terms = route.terms;
        let mut principal = None;
        if let Some(organisations) = &table.organisations {
            let holder = key.and_then(|key| Some((key, organisations.holder(key)?)));
            if let Some((key, organisation)) = holder {
                terms.importance = organisations.importance(organisation, terms.importance);
                principal = Some(Principal {
                    organisation: organisation.name.clone(),
                    key,
                });
            } else if !route.is_anonymous {
                return Resolution::Unauthorized;
            }
        }
        match self.splits.pick(route, rng) {
            Some(service) => Resolution::Matched {
                route: route.name.clone(),
                service,
                terms,
                principal,
            },
            None => Resolution::NoRoute,
        }
    }

    /// Returns what this daemon knows of the source.
    fn state(&self, now_us: u64) -> SourceState {
        SourceState {
            version: self.version(),
            position: self.source.position.map(Into::into),
            response_age_ms: self.source.response_age_ms(now_us),
        }
    }

    /// Fetches the table of a peer if the version in a message from it is higher, unless a fetch is
    /// pending.
    pub fn fetch_if_newer(&mut self, context: &mut Context<'_>, version: u64, from: SocketAddr) {
        if version > self.version() && !self.is_fetching {
            self.is_fetching = true;
            self.send_request(context, from, Message::Fetch, RequestKind::Fetch);
        }
    }

    /// Replaces the current table by one with a higher version, and notifies some peers of the new
    /// version so that they fetch the table.
    pub(super) fn apply(&mut self, context: &mut Context<'_>, table: RouteTable, from: &str) {
        if table.version <= self.version() {
            return;
        }
        let detail = format!("version {} from {from}", table.version);
        context.log(StateChange::new("routes", "route table applied", detail));
        context.count(Counter::unlabelled("route_tables_applied"));
        self.lowest_keyed_priority = table.lowest_keyed_priority();
        let table = Arc::new(table);
        self.table = Some(Arc::clone(&table));
        context.publish(Notice::RoutesChanged(table));
        self.compare_states(context, self.settings.fan_out);
    }

    /// Compares the state of the source with some peers, chosen at random.
    fn compare_states(&mut self, context: &mut Context<'_>, count: usize) {
        let membership = context.find::<Membership>(membership::NAME);
        let mut addresses = Vec::new();
        if let Some(membership) = membership {
            let mut rng = rand::rng();
            for member in membership.sample(&mut rng, count) {
                addresses.push(member.address);
            }
        }
        for address in addresses {
            let message = Message::Compare {
                from: self.own_id,
                state: self.state(context.now_us()),
            };
            self.send_request(context, address, message, RequestKind::Compare(address));
        }
    }

    /// Takes over what a peer knows of the source and this daemon doesn't: a newer table, that the
    /// source was restored, or that it responded.
    fn learn_state(&mut self, context: &mut Context<'_>, state: SourceState, from: SocketAddr) {
        self.fetch_if_newer(context, state.version, from);
        if state.version <= self.version() {
            self.follow_state(context, state);
        }
    }

    fn send_request(
        &mut self,
        context: &mut Context<'_>,
        to: SocketAddr,
        message: Message,
        kind: RequestKind,
    ) {
        let timeout_us = u64::from(self.settings.ask_timeout_ms) * 1_000;
        let key = context.send_request(to, PeerRequest::Routes(message), timeout_us);
        self.pending.insert(key, kind);
    }

    fn handle_request(&mut self, context: &mut Context<'_>, inbound: InboundKey, message: Message) {
        let response = match message {
            Message::Compare { from, state } => {
                let membership = context.find::<Membership>(membership::NAME);
                let member = membership.and_then(|membership| membership.get(from));
                if let Some(address) = member.map(|member| member.address) {
                    self.learn_state(context, state, address);
                }
                Message::State(self.state(context.now_us()))
            }
            Message::Fetch => {
                let table = self.table.as_ref().map(|table| Box::new((**table).clone()));
                Message::Table(table)
            }
            Message::State(_) | Message::Table(_) => Message::State(self.state(context.now_us())),
        };
        context.respond(inbound, PeerResponse::Routes(response));
    }

    fn handle_response(
        &mut self,
        context: &mut Context<'_>,
        key: OutboundKey,
        result: Result<PeerResponse, LinkError>,
    ) {
        let Some(kind) = self.pending.remove(&key) else {
            return;
        };
        if matches!(kind, RequestKind::Fetch) {
            self.is_fetching = false;
        }
        match (kind, result) {
            (RequestKind::Compare(from), Ok(PeerResponse::Routes(Message::State(state)))) => {
                self.learn_state(context, state, from);
            }
            (RequestKind::Fetch, Ok(PeerResponse::Routes(Message::Table(Some(table))))) => {
                self.apply(context, *table, "peer");
            }
            _ => {}
        }
    }
}

impl Service for Routes {
    fn name(&self) -> &'static str {
        NAME
    }

    fn handle(&mut self, context: &mut Context<'_>, event: Event) {
        let period_us = u64::from(self.settings.compare_period_ms) * 1_000;
        match event {
            Event::Started => {
                self.read_source(context);
                let first_us = context.rng().random_range(0..=period_us);
                context.set_timer(first_us, TimerTag::Compare as u64);
            }
            Event::Notice(Notice::Resumed { .. }) => self.check_position(context),
            Event::Timer(tag) if tag == TimerTag::Read as u64 => self.handle_read_timer(context),
            Event::Timer(tag) if tag == TimerTag::Compare as u64 => {
                context.set_timer(period_us, TimerTag::Compare as u64);
                self.compare_states(context, 1);
                self.end_long_read_if_due(context);
            }
            Event::RoutesRead { key, result } => self.handle_read(context, key, result),
            Event::PeerRequest {
                inbound,
                request: PeerRequest::Routes(message),
            } => self.handle_request(context, inbound, message),
            Event::PeerResponse { key, result } => self.handle_response(context, key, result),
            _ => {}
        }
    }
}
