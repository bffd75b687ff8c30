//! Catching up: a daemon that knows of a greater version fetches it until it has it.

use std::net::SocketAddr;

use rand::RngExt;

use super::fetch::{Fetch, Request, Source, Step};
use super::message::Message;
use super::service::{Config, Purpose, tag};
use crate::kernel::Context;
use crate::metrics::Counter;
use crate::table::{PlatformError, TableResponse};

/// The delay before the first repeat of a fetch that failed.
const RETRY_US: u64 = 50_000;

/// The greatest delay before a fetch is repeated.
const RETRY_US_MAX: u64 = 1_000_000;

impl Config {
    /// Takes in a version that a call, or its reply, carried from a peer.
    pub fn record_peer_version(
        &mut self,
        context: &mut Context<'_>,
        version: u64,
        from: SocketAddr,
    ) {
        if version <= self.state.version {
            return;
        }
        self.set_behind(context, version);
        if self.peer_fetch.is_none() {
            self.fetch_peer(context, from);
        }
    }

    /// Notes a version that somebody has; calls may wait for it for a while.
    pub(super) fn set_behind(&mut self, context: &mut Context<'_>, version: u64) {
        self.known_version = self.known_version.max(version);
        let behind_us = self.settings.behind_max_ms * 1_000;
        if context.now_us() >= self.behind_until_us {
            self.behind_until_us = context.now_us() + behind_us;
            context.set_timer(behind_us, tag::BEHIND);
        }
    }

    /// What is in force holds, since nothing newer could be had in time.
    pub(super) fn behind_due(&mut self, context: &mut Context<'_>) {
        if !self.is_behind() {
            return;
        }
        context.count(Counter::unlabelled("config_behind_too_long"));
        self.known_version = self.state.version;
        self.is_confirmed |= self.state.version > 0;
    }

    fn new_fetch(&self, source: Source) -> Fetch {
        match self.needs_whole {
            true => Fetch::whole(source),
            false => Fetch::changes(source),
        }
    }

    pub(super) fn fetch_table(&mut self, context: &mut Context<'_>) {
        if self.table_fetch.is_none() {
            self.table_fetch = Some(self.new_fetch(Source::Table));
            self.ask_table(context);
        }
    }

    pub(super) fn fetch_peer(&mut self, context: &mut Context<'_>, peer: SocketAddr) {
        self.peer_fetch = Some(self.new_fetch(Source::Peer(peer)));
        self.ask_source(context);
    }

    /// Gives up the fetches under way, whose links may be dead.
    pub(super) fn drop_fetches(&mut self, context: &mut Context<'_>) {
        self.table_fetch = None;
        self.peer_fetch = None;
        self.asks.retain(|ask, purpose| {
            let is_fetch = matches!(purpose, Purpose::TableFetch | Purpose::PeerFetch);
            if is_fetch {
                context.cancel_request(*ask);
            }
            !is_fetch
        });
    }

    fn ask_table(&mut self, context: &mut Context<'_>) {
        let Some(fetch) = &self.table_fetch else {
            return;
        };
        let bytes_max = self.settings.message_bytes_max;
        if let Request::Table(request) = fetch.request(self.state.version, bytes_max) {
            let ask = context.send_table_request(request, self.settings.table_timeout_ms * 1_000);
            self.asks.insert(ask, Purpose::TableFetch);
        }
    }

    fn ask_source(&mut self, context: &mut Context<'_>) {
        let Some(fetch) = &self.peer_fetch else {
            return;
        };
        let bytes_max = self.settings.message_bytes_max;
        if let Request::Peer(peer, message) = fetch.request(self.state.version, bytes_max) {
            self.ask_peer(context, peer, message, Purpose::PeerFetch);
        }
    }

    pub(super) fn table_fetched(
        &mut self,
        context: &mut Context<'_>,
        result: Result<TableResponse, PlatformError>,
    ) {
        let Some(mut fetch) = self.table_fetch.take() else {
            return;
        };
        let step = match result {
            Ok(TableResponse::Rows(rows)) => fetch.take_rows(&rows, self.state.version),
            _ => Step::Failed,
        };
        if step == Step::Nothing {
            self.is_confirmed = true;
        }
        if step == Step::Ask && self.spares_table(context, &fetch) {
            return;
        }
        if self.take_step(context, step, "table") {
            self.table_fetch = Some(fetch);
            self.ask_table(context);
        }
    }

    /// Takes all records from a peer, where one is known, when the table told of their version:
    /// a zone that restarts at once would take up the table's reads.
    fn spares_table(&mut self, context: &mut Context<'_>, fetch: &Fetch) -> bool {
        let Some(version) = fetch.wanted_whole() else {
            return false;
        };
        if self.failures > 0 {
            return false;
        }
        let Some(peer) = self.roster.any(context.rng()) else {
            return false;
        };
        self.set_behind(context, version);
        if self.peer_fetch.is_none() {
            self.fetch_peer(context, peer);
        }
        true
    }

    pub(super) fn peer_fetched(&mut self, context: &mut Context<'_>, message: Option<Message>) {
        let Some(mut fetch) = self.peer_fetch.take() else {
            return;
        };
        let step = match message {
            Some(message) => fetch.take_message(message, self.state.version),
            None => Step::Failed,
        };
        let has_nothing = step == Step::Nothing;
        if self.take_step(context, step, "peer") {
            self.peer_fetch = Some(fetch);
            self.ask_source(context);
            return;
        }
        if self.is_behind() {
            self.failures += u32::from(has_nothing);
            self.set_retry(context, self.retry_delay_us());
        }
    }

    /// Carries out what an answer leads to; returns whether the source is asked again.
    fn take_step(&mut self, context: &mut Context<'_>, step: Step, source: &'static str) -> bool {
        match step {
            Step::Ask => return true,
            Step::Apply { changes, is_last } => {
                let version = changes.last().map_or(0, |change| change.version);
                if self.apply(context, changes).is_ok() {
                    self.caught_up();
                    return !is_last;
                }
                self.set_behind(context, version);
                self.fetch_failed(context, source);
            }
            Step::Adopt(state) => {
                self.adopt(context, *state);
                self.caught_up();
            }
            Step::Nothing => self.needs_whole = false,
            Step::Failed => self.fetch_failed(context, source),
        }
        false
    }

    fn caught_up(&mut self) {
        self.is_confirmed = true;
        self.failures = 0;
    }

    fn fetch_failed(&mut self, context: &mut Context<'_>, source: &'static str) {
        self.failures = self.failures.saturating_add(1);
        context.count(Counter::labelled("config_fetch_failures", "source", source));
        if self.is_behind() {
            self.set_retry(context, self.retry_delay_us());
        }
    }

    fn retry_delay_us(&self) -> u64 {
        let doublings = self.failures.min(8);
        (RETRY_US << doublings).min(RETRY_US_MAX)
    }

    pub(super) fn set_retry(&mut self, context: &mut Context<'_>, delay_us: u64) {
        if self.is_retry_set {
            return;
        }
        self.is_retry_set = true;
        let jitter_us = context.rng().random_range(0..=RETRY_US);
        context.set_timer(delay_us + jitter_us, tag::RETRY);
    }

    /// Fetches from another daemon and, at each second failure, from the table.
    pub(super) fn retry_fetch(&mut self, context: &mut Context<'_>) {
        if !self.is_behind() {
            return;
        }
        let peer = self.roster.any(context.rng());
        match peer {
            Some(peer) if self.failures.is_multiple_of(2) => {
                if self.peer_fetch.is_none() {
                    self.fetch_peer(context, peer);
                }
            }
            _ => self.fetch_table(context),
        }
    }
}
