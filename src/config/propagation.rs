//! Propagation of versions: a few daemons of each availability zone poll the table; all daemons
//! announce new versions to each other and compare versions periodically (anti-entropy).

use std::net::SocketAddr;

use rand::RngExt;

use super::message::Message;
use super::service::{Config, RequestPurpose, tag};
use super::state::StoredRecord;
use crate::ids::{InboundKey, OutboundKey, ServiceName};
use crate::kernel::{Context, LinkError, Notice};
use crate::metrics::Counter;
use crate::peer::{PeerRequest, PeerResponse};

/// How long a push is expected from a daemon that announced a newer version, before the changes are
/// fetched.
const PUSH_EXPECTED_US: u64 = 200_000;

/// How long an announcement is postponed when the byte budget is exhausted.
const BUDGET_WAIT_US: u64 = 1_000_000;

/// The maximum random delay of a daemon's first comparison of versions.
const FIRST_EXCHANGE_DELAY_MAX_US: u64 = 100_000;

impl Config {
    pub(super) fn handle_start(&mut self, context: &mut Context<'_>) {
        let poll_us = context.rng().random_range(0..self.poll_period_us());
        context.set_timer(poll_us, tag::POLL);
        let exchange_us = context.rng().random_range(0..FIRST_EXCHANGE_DELAY_MAX_US);
        context.set_timer(exchange_us, tag::EXCHANGE);
        self.needs_snapshot = true;
        self.start_table_fetch(context);
    }

    fn poll_period_us(&self) -> u64 {
        self.settings.poll_period_ms * 1_000
    }

    pub(super) fn handle_notice(&mut self, context: &mut Context<'_>, notice: Notice) {
        match notice {
            Notice::MemberChanged(member) => self.peers.update(&member),
            Notice::MemberGone(id) => self.peers.remove(id),
            Notice::StopRequested => self.is_stopping = true,
            Notice::Resumed { .. } => self.handle_resumed(context),
            Notice::ConfigChanged(_)
            | Notice::RoutesChanged(_)
            | Notice::TargetAnnounced(_)
            | Notice::TargetSilent
            | Notice::StoreRestored
            | Notice::StopAnnounced { .. } => {}
        }
    }

    /// Handles the end of a pause of the process, during which newer versions may have been
    /// announced that this daemon did not observe.
    fn handle_resumed(&mut self, context: &mut Context<'_>) {
        self.is_version_confirmed = false;
        self.cancel_fetches(context);
        self.observe_version(context, self.observed_version);
        self.announce_version(context);
        if self.is_poller() {
            self.start_table_fetch(context);
        }
    }

    fn is_poller(&self) -> bool {
        !self.is_stopping && self.peers.is_poller(self.settings.pollers_per_zone)
    }

    pub(super) fn handle_timer(&mut self, context: &mut Context<'_>, tag: u64) {
        match tag {
            tag::POLL => {
                context.set_timer(self.poll_period_us(), tag::POLL);
                if self.is_poller() {
                    context.count(Counter::unlabelled("config_polls"));
                    self.start_table_fetch(context);
                }
            }
            tag::EXCHANGE => {
                let period_us = self.settings.exchange_period_ms * 1_000;
                let jitter_us = context.rng().random_range(0..=period_us / 4);
                context.set_timer(period_us - period_us / 8 + jitter_us, tag::EXCHANGE);
                self.exchange_versions(context);
            }
            tag::ANNOUNCE => {
                self.is_announcement_scheduled = false;
                self.announce_version(context);
            }
            tag::FETCH => {
                self.is_fetch_scheduled = false;
                self.start_scheduled_fetch(context);
            }
            tag::BEHIND_TIMEOUT => self.handle_behind_timeout(context),
            _ => {}
        }
    }

    /// Returns whether the byte budget of unsolicited messages has room.
    fn has_byte_budget(&mut self, context: &Context<'_>) -> bool {
        self.byte_budget.available_bytes(context.now_us()) > 0
    }

    /// Compares versions with a random peer.
    fn exchange_versions(&mut self, context: &mut Context<'_>) {
        if !self.has_byte_budget(context) {
            return;
        }
        if let Some(peer) = self.peers.random_peer(context.rng()) {
            self.send_version(context, peer);
        }
    }

    /// Schedules the announcement of a new version to some peers.
    pub(super) fn schedule_announcement(&mut self, context: &mut Context<'_>) {
        if !self.is_announcement_scheduled {
            self.is_announcement_scheduled = true;
            context.set_timer(self.settings.push_delay_ms * 1_000, tag::ANNOUNCE);
        }
    }

    fn announce_version(&mut self, context: &mut Context<'_>) {
        if !self.has_byte_budget(context) {
            self.is_announcement_scheduled = true;
            context.set_timer(BUDGET_WAIT_US, tag::ANNOUNCE);
            return;
        }
        for peer in self
            .peers
            .announcement_peers(self.settings.fan_out, context.rng())
        {
            self.send_version(context, peer);
        }
    }

    fn send_version(&mut self, context: &mut Context<'_>, peer: SocketAddr) {
        let message = Message::Version(self.state.version);
        if !self
            .byte_budget
            .try_spend(context.now_us(), message.wire_bytes_estimate())
        {
            return;
        }
        self.send_peer_request(context, peer, message, RequestPurpose::Version(peer));
    }

    pub(super) fn send_peer_request(
        &mut self,
        context: &mut Context<'_>,
        peer: SocketAddr,
        message: Message,
        purpose: RequestPurpose,
    ) {
        count_sent(context, &message);
        let timeout_us = self.settings.ask_timeout_ms * 1_000;
        let outbound = context.send_request(peer, PeerRequest::Config(message), timeout_us);
        self.pending_requests.insert(outbound, purpose);
    }

    pub(super) fn handle_peer_response(
        &mut self,
        context: &mut Context<'_>,
        outbound: OutboundKey,
        result: Result<PeerResponse, LinkError>,
    ) {
        let Some(purpose) = self.pending_requests.remove(&outbound) else {
            return;
        };
        let message = match result {
            Ok(PeerResponse::Config(message)) => Some(message),
            _ => None,
        };
        match (purpose, message) {
            (RequestPurpose::PeerFetch, message) => {
                self.handle_peer_fetch_response(context, message)
            }
            (RequestPurpose::Version(peer), Some(Message::Version(version))) => {
                self.handle_peer_version(context, peer, version);
            }
            (RequestPurpose::Push { to, after }, Some(Message::Version(version)))
                if version > after =>
            {
                self.handle_peer_version(context, to, version);
            }
            _ => {}
        }
    }

    /// Handles the version that a peer reported: fetches it if it is newer, or pushes the changes
    /// that the peer lacks.
    fn handle_peer_version(&mut self, context: &mut Context<'_>, peer: SocketAddr, version: u64) {
        if version > 0 {
            self.is_version_confirmed = true;
        }
        if version >= self.state.version {
            self.record_peer_version(context, version, peer);
            return;
        }
        let bytes_max = self.settings.message_bytes_max as usize;
        let changes = self.recent.changes_after(version, bytes_max);
        if changes.is_empty() {
            return;
        }
        let purpose = RequestPurpose::Push {
            to: peer,
            after: version,
        };
        self.send_peer_request(context, peer, Message::Push(changes), purpose);
    }

    pub(super) fn handle_peer_request(
        &mut self,
        context: &mut Context<'_>,
        inbound: InboundKey,
        request: PeerRequest,
    ) {
        let PeerRequest::Config(message) = request else {
            return;
        };
        let response = match message {
            Message::Version(version) => self.handle_announced_version(context, version),
            Message::ChangesAfter { version, bytes_max } => Message::Changes {
                latest: self.state.version,
                changes: self
                    .recent
                    .changes_after(version, self.response_bytes_max(bytes_max)),
            },
            Message::RecordsAfter { service, bytes_max } => {
                self.records_after(service.as_ref(), self.response_bytes_max(bytes_max))
            }
            Message::Push(changes) => {
                let latest = changes.last().map_or(0, |change| change.version);
                let applied = self.apply(context, changes);
                if applied.is_err() {
                    self.observe_version(context, latest);
                    self.schedule_fetch(context, 0);
                }
                Message::Version(self.state.version)
            }
            Message::Changes { .. } | Message::Records { .. } | Message::PushPending => {
                Message::Version(self.state.version)
            }
        };
        count_sent(context, &response);
        context.respond(inbound, PeerResponse::Config(response));
    }

    fn response_bytes_max(&self, bytes_max: u32) -> usize {
        bytes_max.min(self.settings.message_bytes_max) as usize
    }

    /// Responds to a daemon that reported its version. If that is newer and no push is expected,
    /// the response is this daemon's own version, upon which the other daemon pushes the changes.
    /// For [`PUSH_EXPECTED_US`] from then on, further daemons with a newer version receive
    /// [`Message::PushPending`].
    fn handle_announced_version(&mut self, context: &mut Context<'_>, version: u64) -> Message {
        if version <= self.state.version {
            return Message::Version(self.state.version);
        }
        self.observe_version(context, version);
        if context.now_us() < self.push_expected_until_us {
            return Message::PushPending;
        }
        self.push_expected_until_us = context.now_us() + PUSH_EXPECTED_US;
        self.schedule_fetch(context, PUSH_EXPECTED_US);
        Message::Version(self.state.version)
    }

    fn records_after(&self, after: Option<&ServiceName>, bytes_max: usize) -> Message {
        let mut records: Vec<StoredRecord> = Vec::new();
        let mut bytes = 0;
        let mut is_last = true;
        for (service, record) in self.state.records.iter() {
            if after.is_some_and(|after| service <= after) {
                continue;
            }
            bytes += record.wire_bytes_estimate();
            if bytes > bytes_max && !records.is_empty() {
                is_last = false;
                break;
            }
            records.push(record.clone());
        }
        Message::Records {
            version: self.state.version,
            digest: self.state.digest,
            records,
            is_last,
        }
    }
}

fn count_sent(context: &mut Context<'_>, message: &Message) {
    let bytes = message.wire_bytes_estimate() as u64;
    context.count(Counter::unlabelled("config_messages_sent"));
    context.count_by(Counter::unlabelled("config_bytes_sent"), bytes);
}
