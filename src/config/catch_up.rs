//! Catching up: a daemon that has observed a newer version than its own fetches it, with retries,
//! until it has applied it.

use std::net::SocketAddr;

use rand::RngExt;

use super::fetch::{Fetch, FetchRequest, FetchSource, FetchStep};
use super::message::Message;
use super::service::{Config, RequestPurpose, tag};
use crate::kernel::Context;
use crate::metrics::Counter;
use crate::table::{PlatformError, TableResponse};

/// The backoff before the next fetch while none has failed; each failure doubles it. Also the bound
/// of its jitter.
const RETRY_DELAY_US: u64 = 50_000;

/// The maximum backoff before the next fetch, without jitter.
const RETRY_DELAY_MAX_US: u64 = 1_000_000;

impl Config {
    /// Records the version that a peer reported, for example in a call or its reply. If it is newer
    /// and no fetch from a peer is in progress, fetches it from that peer.
    pub fn record_peer_version(
        &mut self,
        context: &mut Context<'_>,
        version: u64,
        from: SocketAddr,
    ) {
        if version <= self.state.version {
            return;
        }
        self.observe_version(context, version);
        if self.peer_fetch.is_none() {
            self.start_peer_fetch(context, from);
        }
    }

    /// Raises the observed version to one that a peer or the table reported, and starts the timeout
    /// for being behind unless it is running. After a pause, the version is the one already
    /// observed, and only the timeout is started. Calls may be deferred until the version is
    /// applied, but no longer than `behind_max_ms`.
    pub(super) fn observe_version(&mut self, context: &mut Context<'_>, version: u64) {
        self.observed_version = self.observed_version.max(version);
        let behind_us = self.settings.behind_max_ms * 1_000;
        if context.now_us() >= self.behind_deadline_us {
            self.behind_deadline_us = context.now_us() + behind_us;
            context.set_timer(behind_us, tag::BEHIND_TIMEOUT);
        }
    }

    /// Stops waiting for a newer version that could not be fetched within `behind_max_ms`; the
    /// active configuration, if there is one, then counts as current.
    pub(super) fn handle_behind_timeout(&mut self, context: &mut Context<'_>) {
        if !self.is_behind() {
            return;
        }
        context.count(Counter::unlabelled("config_behind_too_long"));
        self.observed_version = self.state.version;
        self.is_version_confirmed |= self.state.version > 0;
    }

    fn new_fetch(&self, source: FetchSource) -> Fetch {
        match self.needs_snapshot {
            true => Fetch::of_snapshot(source),
            false => Fetch::of_changes(source),
        }
    }

    pub(super) fn start_table_fetch(&mut self, context: &mut Context<'_>) {
        if self.table_fetch.is_none() {
            self.table_fetch = Some(self.new_fetch(FetchSource::Table));
            self.send_next_table_request(context);
        }
    }

    pub(super) fn start_peer_fetch(&mut self, context: &mut Context<'_>, peer: SocketAddr) {
        self.peer_fetch = Some(self.new_fetch(FetchSource::Peer(peer)));
        self.send_next_peer_request(context);
    }

    /// Cancels the fetches in progress, whose connections may be dead after a pause of the process.
    pub(super) fn cancel_fetches(&mut self, context: &mut Context<'_>) {
        self.table_fetch = None;
        self.peer_fetch = None;
        self.pending_requests.retain(|outbound, purpose| {
            let is_fetch = matches!(
                purpose,
                RequestPurpose::TableFetch | RequestPurpose::PeerFetch
            );
            if is_fetch {
                context.cancel_request(*outbound);
            }
            !is_fetch
        });
    }

    fn send_next_table_request(&mut self, context: &mut Context<'_>) {
        let Some(fetch) = &self.table_fetch else {
            return;
        };
        let bytes_max = self.settings.message_bytes_max;
        if let FetchRequest::Table(request) = fetch.next_request(self.state.version, bytes_max) {
            let outbound =
                context.send_table_request(request, self.settings.table_timeout_ms * 1_000);
            self.pending_requests
                .insert(outbound, RequestPurpose::TableFetch);
        }
    }

    fn send_next_peer_request(&mut self, context: &mut Context<'_>) {
        let Some(fetch) = &self.peer_fetch else {
            return;
        };
        let bytes_max = self.settings.message_bytes_max;
        if let FetchRequest::Peer(peer, message) = fetch.next_request(self.state.version, bytes_max)
        {
            self.send_peer_request(context, peer, message, RequestPurpose::PeerFetch);
        }
    }

    pub(super) fn handle_table_fetch_response(
        &mut self,
        context: &mut Context<'_>,
        result: Result<TableResponse, PlatformError>,
    ) {
        let Some(mut fetch) = self.table_fetch.take() else {
            return;
        };
        let step = match result {
            Ok(TableResponse::Rows(rows)) => fetch.handle_rows(&rows, self.state.version),
            _ => FetchStep::Failed,
        };
        if step == FetchStep::UpToDate {
            self.is_version_confirmed = true;
        }
        if step == FetchStep::Continue && self.redirect_to_peer(context, &fetch) {
            return;
        }
        if self.apply_step(context, step, "table") {
            self.table_fetch = Some(fetch);
            self.send_next_table_request(context);
        }
    }

    /// Fetches the snapshot from a peer instead, if the table reported a newer version, there is a
    /// peer and no fetch has failed since the last success. Otherwise a simultaneous restart of all
    /// daemons in an availability zone would use up the read capacity of the table. Returns whether
    /// the fetch from the table is dropped.
    fn redirect_to_peer(&mut self, context: &mut Context<'_>, fetch: &Fetch) -> bool {
        let Some(version) = fetch.pending_snapshot_version() else {
            return false;
        };
        if self.fetch_failures > 0 {
            return false;
        }
        let Some(peer) = self.peers.random_peer(context.rng()) else {
            return false;
        };
        self.observe_version(context, version);
        if self.peer_fetch.is_none() {
            self.start_peer_fetch(context, peer);
        }
        true
    }

    pub(super) fn handle_peer_fetch_response(
        &mut self,
        context: &mut Context<'_>,
        message: Option<Message>,
    ) {
        let Some(mut fetch) = self.peer_fetch.take() else {
            return;
        };
        let step = match message {
            Some(message) => fetch.handle_message(message, self.state.version),
            None => FetchStep::Failed,
        };
        let is_up_to_date = step == FetchStep::UpToDate;
        if self.apply_step(context, step, "peer") {
            self.peer_fetch = Some(fetch);
            self.send_next_peer_request(context);
            return;
        }
        if self.is_behind() {
            self.fetch_failures += u32::from(is_up_to_date);
            self.schedule_fetch(context, self.retry_delay_us());
        }
    }

    /// Carries out the step that follows a response; returns whether to send the source another
    /// request.
    fn apply_step(
        &mut self,
        context: &mut Context<'_>,
        step: FetchStep,
        source: &'static str,
    ) -> bool {
        match step {
            FetchStep::Continue => return true,
            FetchStep::Apply { changes, is_last } => {
                let version = changes.last().map_or(0, |change| change.version);
                if self.apply(context, changes).is_ok() {
                    self.record_fetch_success();
                    return !is_last;
                }
                self.observe_version(context, version);
                self.record_fetch_failure(context, source);
            }
            FetchStep::Install(state) => {
                self.install_snapshot(context, *state);
                self.record_fetch_success();
            }
            FetchStep::UpToDate => self.needs_snapshot = false,
            FetchStep::Failed => self.record_fetch_failure(context, source),
        }
        false
    }

    fn record_fetch_success(&mut self) {
        self.is_version_confirmed = true;
        self.fetch_failures = 0;
    }

    fn record_fetch_failure(&mut self, context: &mut Context<'_>, source: &'static str) {
        self.fetch_failures = self.fetch_failures.saturating_add(1);
        context.count(Counter::labelled("config_fetch_failures", "source", source));
        if self.is_behind() {
            self.schedule_fetch(context, self.retry_delay_us());
        }
    }

    fn retry_delay_us(&self) -> u64 {
        let doublings = self.fetch_failures.min(8);
        (RETRY_DELAY_US << doublings).min(RETRY_DELAY_MAX_US)
    }

    /// Schedules a fetch after a delay with jitter, unless one is already scheduled.
    pub(super) fn schedule_fetch(&mut self, context: &mut Context<'_>, delay_us: u64) {
        if self.is_fetch_scheduled {
            return;
        }
        self.is_fetch_scheduled = true;
        let jitter_us = context.rng().random_range(0..=RETRY_DELAY_US);
        context.set_timer(delay_us + jitter_us, tag::FETCH);
    }

    /// Starts the scheduled fetch if this daemon is still behind: from the table if the number of
    /// failures is odd or there is no peer, otherwise from a random peer.
    pub(super) fn start_scheduled_fetch(&mut self, context: &mut Context<'_>) {
        if !self.is_behind() {
            return;
        }
        let peer = self.peers.random_peer(context.rng());
        match peer {
            Some(peer) if self.fetch_failures.is_multiple_of(2) => {
                if self.peer_fetch.is_none() {
                    self.start_peer_fetch(context, peer);
                }
            }
            _ => self.start_table_fetch(context),
        }
    }
}
