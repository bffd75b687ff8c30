//! The service that keeps the route table: it watches the source and compares with others.

use std::net::SocketAddr;
use std::sync::Arc;

use macro_rules_attribute::apply;
use rand::RngExt;

use super::split::Splits;
use super::{Message, NAME, Resolution, RouteTable, RouteUpdate};
use crate::derives::settings;
use crate::ids::{InboundKey, MemberId, OutboundKey};
use crate::kernel::{Context, Effect, Event, LinkError, Notice, Service, StateChange};
use crate::membership::{self, Membership};
use crate::metrics::Counter;
use crate::peer::{PeerRequest, PeerResponse};
use crate::sorted::SortedMap;
use crate::table::PlatformError;

/// Settings of the route table's spread.
#[apply(settings!)]
pub struct RoutesSettings {
    /// The time for which the source may hold a question for news.
    pub watch_ms: u32,
    /// The time beyond it after which the question counts as lost.
    pub watch_slack_ms: u32,
    /// The first delay before the source is asked again after a failure.
    pub retry_ms: u32,
    /// The greatest such delay.
    pub retry_max_ms: u32,
    /// The time between two comparisons of versions with another daemon.
    pub compare_period_ms: u32,
    /// The daemons that are told of a new version.
    pub fan_out: usize,
    /// The time allowed for a daemon's answer.
    pub ask_timeout_ms: u32,
}

impl Default for RoutesSettings {
    fn default() -> Self {
        Self {
            watch_ms: 25_000,
            watch_slack_ms: 3_000,
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
enum Tag {
    Watch = 1,
    Compare = 2,
}

/// What an answer is for.
#[derive(Clone, Copy)]
enum Purpose {
    Watch,
    Compare(SocketAddr),
    Fetch,
}

/// The route table of a daemon.
pub struct Routes {
    settings: RoutesSettings,
    own_id: MemberId,
    table: Option<Arc<RouteTable>>,
    splits: Splits,
    position: Option<u64>,
    failures: u32,
    asks: SortedMap<OutboundKey, Purpose>,
    is_fetching: bool,
}

impl Routes {
    /// Makes the service of a daemon that has no table yet.
    pub fn new(settings: RoutesSettings, own_id: MemberId) -> Self {
        Self {
            settings,
            own_id,
            table: None,
            splits: Splits::default(),
            position: None,
            failures: 0,
            asks: SortedMap::default(),
            is_fetching: false,
        }
    }

    /// Returns the version in force; 0 for none.
    pub fn version(&self) -> u64 {
        self.table.as_ref().map_or(0, |table| table.version)
    }

    /// Returns the table in force.
    pub fn table(&self) -> Option<&Arc<RouteTable>> {
        self.table.as_ref()
    }

    /// Finds the service and the terms of a request; the host is in lower case.
    pub fn resolve(&mut self, host: &str, path: &str, rng: &mut impl RngExt) -> Resolution {
        let Some(table) = &self.table else {
            return Resolution::NoTable;
        };
        let Some(route) = table.find(host, path) else {
            return Resolution::NoRoute;
        };
        match self.splits.pick(route, rng) {
            Some(service) => Resolution::Matched {
                route: route.name.clone(),
                service,
                terms: route.terms,
            },
            None => Resolution::NoRoute,
        }
    }

    /// Takes in a version that a call, or its reply, carried from a peer.
    pub fn record_version(&mut self, context: &mut Context<'_>, version: u64, from: SocketAddr) {
        if version > self.version() && !self.is_fetching {
            self.is_fetching = true;
            self.ask_peer(context, from, Message::Fetch, Purpose::Fetch);
        }
    }

    fn watch(&mut self, context: &mut Context<'_>) {
        let ask = OutboundKey(context.new_key());
        let wait_ms = if self.position.is_some() {
            self.settings.watch_ms
        } else {
            0
        };
        let timeout_ms = wait_ms + self.settings.watch_slack_ms;
        self.asks.insert(ask, Purpose::Watch);
        context.emit(Effect::ReadRoutes {
            key: ask,
            after: self.position,
            wait_ms,
            timeout_us: u64::from(timeout_ms) * 1_000,
        });
    }

    fn watched(&mut self, context: &mut Context<'_>, result: Result<RouteUpdate, PlatformError>) {
        match result {
            Ok(news) => {
                if self.failures > 0 {
                    context.log(StateChange::new("routes", "the source answers again", ""));
                }
                self.failures = 0;
                self.position = news.position;
                if let Some(table) = news.table {
                    self.adopt(context, table, "source");
                }
                self.watch(context);
            }
            Err(error) => {
                if self.failures == 0 {
                    let detail = format!("{error:?}");
                    context.log(StateChange::new("routes", "the source is lost", detail));
                }
                self.failures = self.failures.saturating_add(1);
                let doubled_ms = self.settings.retry_ms << self.failures.min(8);
                let delay_ms = doubled_ms.min(self.settings.retry_max_ms).max(2);
                let delay_ms = context.rng().random_range(delay_ms / 2..=delay_ms);
                context.set_timer(u64::from(delay_ms) * 1_000, Tag::Watch as u64);
            }
        }
    }

    /// Puts a table in force where its version is greater.
    fn adopt(&mut self, context: &mut Context<'_>, table: RouteTable, from: &str) {
        if table.version <= self.version() {
            return;
        }
        let detail = format!("version {} from {from}", table.version);
        context.log(StateChange::new("routes", "in force", detail));
        context.count(Counter::unlabelled("route_tables_applied"));
        let table = Arc::new(table);
        self.table = Some(Arc::clone(&table));
        context.publish(Notice::RoutesChanged(table));
        self.compare(context, self.settings.fan_out);
    }

    /// Compares versions with some daemons at random.
    fn compare(&mut self, context: &mut Context<'_>, count: usize) {
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
                version: self.version(),
            };
            self.ask_peer(context, address, message, Purpose::Compare(address));
        }
    }

    fn ask_peer(
        &mut self,
        context: &mut Context<'_>,
        to: SocketAddr,
        message: Message,
        purpose: Purpose,
    ) {
        let timeout_us = u64::from(self.settings.ask_timeout_ms) * 1_000;
        let ask = context.send_request(to, PeerRequest::Routes(message), timeout_us);
        self.asks.insert(ask, purpose);
    }

    fn asked(&mut self, context: &mut Context<'_>, inbound: InboundKey, message: Message) {
        let answer = match message {
            Message::Compare { from, version } => {
                let membership = context.find::<Membership>(membership::NAME);
                let member = membership.and_then(|membership| membership.get(from));
                if let Some(address) = member.map(|member| member.address) {
                    self.record_version(context, version, address);
                }
                Message::Version(self.version())
            }
            Message::Fetch => {
                let table = self.table.as_ref().map(|table| Box::new((**table).clone()));
                Message::Table(table)
            }
            Message::Version(_) | Message::Table(_) => Message::Version(self.version()),
        };
        context.respond(inbound, PeerResponse::Routes(answer));
    }

    fn answered(
        &mut self,
        context: &mut Context<'_>,
        ask: OutboundKey,
        result: Result<PeerResponse, LinkError>,
    ) {
        let Some(purpose) = self.asks.remove(&ask) else {
            return;
        };
        if matches!(purpose, Purpose::Fetch) {
            self.is_fetching = false;
        }
        match (purpose, result) {
            (Purpose::Compare(from), Ok(PeerResponse::Routes(Message::Version(version)))) => {
                self.record_version(context, version, from);
            }
            (Purpose::Fetch, Ok(PeerResponse::Routes(Message::Table(Some(table))))) => {
                self.adopt(context, *table, "peer");
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
                self.watch(context);
                let first_us = context.rng().random_range(0..=period_us);
                context.set_timer(first_us, Tag::Compare as u64);
            }
            Event::Timer(tag) if tag == Tag::Watch as u64 => self.watch(context),
            Event::Timer(tag) if tag == Tag::Compare as u64 => {
                context.set_timer(period_us, Tag::Compare as u64);
                self.compare(context, 1);
            }
            Event::RoutesRead { key, result } => {
                self.asks.remove(&key);
                self.watched(context, result);
            }
            Event::PeerRequest {
                inbound,
                request: PeerRequest::Routes(message),
            } => self.asked(context, inbound, message),
            Event::PeerResponse { key, result } => self.answered(context, key, result),
            _ => {}
        }
    }
}
