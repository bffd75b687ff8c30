//! The spread of versions: a few daemons poll the table, the others tell each other.

use std::net::SocketAddr;

use rand::RngExt;

use super::message::Message;
use super::service::{Config, Purpose, tag};
use super::state::StoredRecord;
use crate::ids::{InboundKey, OutboundKey, ServiceName};
use crate::kernel::{Context, LinkError, Notice};
use crate::metrics::Counter;
use crate::peer::{PeerRequest, PeerResponse};

/// The time for which changes that another daemon offered are expected.
const EXPECTED_US: u64 = 200_000;

/// The wait for room in the byte budget.
const BUDGET_WAIT_US: u64 = 1_000_000;

/// The greatest delay of a daemon's first comparison of versions.
const FIRST_EXCHANGE_US: u64 = 100_000;

impl Config {
    pub(super) fn started(&mut self, context: &mut Context<'_>) {
        let poll_us = context.rng().random_range(0..self.poll_period_us());
        context.set_timer(poll_us, tag::POLL);
        let exchange_us = context.rng().random_range(0..FIRST_EXCHANGE_US);
        context.set_timer(exchange_us, tag::EXCHANGE);
        self.needs_whole = true;
        self.fetch_table(context);
    }

    fn poll_period_us(&self) -> u64 {
        self.settings.poll_period_ms * 1_000
    }

    pub(super) fn noticed(&mut self, context: &mut Context<'_>, notice: Notice) {
        match notice {
            Notice::MemberChanged(member) => self.roster.note(&member),
            Notice::MemberGone(id) => self.roster.forget(id),
            Notice::StopRequested => self.is_stopping = true,
            Notice::Resumed { .. } => self.woke(context),
            Notice::ConfigChanged(_)
            | Notice::RoutesChanged(_)
            | Notice::TargetAnnounced(_)
            | Notice::TargetSilent => {}
        }
    }

    /// After a pause it is not known whether this daemon is behind.
    fn woke(&mut self, context: &mut Context<'_>) {
        self.is_confirmed = false;
        self.drop_fetches(context);
        self.set_behind(context, self.known_version);
        self.tell_version(context);
        if self.is_poller() {
            self.fetch_table(context);
        }
    }

    fn is_poller(&self) -> bool {
        !self.is_stopping && self.roster.is_poller(self.settings.pollers_per_zone)
    }

    pub(super) fn timer_due(&mut self, context: &mut Context<'_>, tag: u64) {
        match tag {
            tag::POLL => {
                context.set_timer(self.poll_period_us(), tag::POLL);
                if self.is_poller() {
                    context.count(Counter::unlabelled("config_polls"));
                    self.fetch_table(context);
                }
            }
            tag::EXCHANGE => {
                let period_us = self.settings.exchange_period_ms * 1_000;
                let jitter_us = context.rng().random_range(0..=period_us / 4);
                context.set_timer(period_us - period_us / 8 + jitter_us, tag::EXCHANGE);
                self.exchange(context);
            }
            tag::PUSH => {
                self.is_push_set = false;
                self.tell_version(context);
            }
            tag::RETRY => {
                self.is_retry_set = false;
                self.retry_fetch(context);
            }
            tag::BEHIND => self.behind_due(context),
            _ => {}
        }
    }

    /// Says whether the rate of unasked bytes has room.
    fn may_tell(&mut self, context: &Context<'_>) -> bool {
        self.budget.available_bytes(context.now_us()) > 0
    }

    /// Compares versions with a daemon at random.
    fn exchange(&mut self, context: &mut Context<'_>) {
        if !self.may_tell(context) {
            return;
        }
        if let Some(peer) = self.roster.any(context.rng()) {
            self.ask_version(context, peer);
        }
    }

    /// Tells some daemons soon that there is a new version.
    pub(super) fn set_push(&mut self, context: &mut Context<'_>) {
        if !self.is_push_set {
            self.is_push_set = true;
            context.set_timer(self.settings.push_delay_ms * 1_000, tag::PUSH);
        }
    }

    fn tell_version(&mut self, context: &mut Context<'_>) {
        if !self.may_tell(context) {
            self.is_push_set = true;
            context.set_timer(BUDGET_WAIT_US, tag::PUSH);
            return;
        }
        for peer in self.roster.told(self.settings.fan_out, context.rng()) {
            self.ask_version(context, peer);
        }
    }

    fn ask_version(&mut self, context: &mut Context<'_>, peer: SocketAddr) {
        let message = Message::Version(self.state.version);
        if !self
            .budget
            .try_spend(context.now_us(), message.link_bytes())
        {
            return;
        }
        self.ask_peer(context, peer, message, Purpose::Exchange(peer));
    }

    pub(super) fn ask_peer(
        &mut self,
        context: &mut Context<'_>,
        peer: SocketAddr,
        message: Message,
        purpose: Purpose,
    ) {
        count_sent(context, &message);
        let timeout_us = self.settings.ask_timeout_ms * 1_000;
        let ask = context.send_request(peer, PeerRequest::Config(message), timeout_us);
        self.asks.insert(ask, purpose);
    }

    pub(super) fn answered(
        &mut self,
        context: &mut Context<'_>,
        ask: OutboundKey,
        result: Result<PeerResponse, LinkError>,
    ) {
        let Some(purpose) = self.asks.remove(&ask) else {
            return;
        };
        let message = match result {
            Ok(PeerResponse::Config(message)) => Some(message),
            _ => None,
        };
        match (purpose, message) {
            (Purpose::PeerFetch, message) => self.peer_fetched(context, message),
            (Purpose::Exchange(peer), Some(Message::Version(version))) => {
                self.compared(context, peer, version);
            }
            (Purpose::Push { to, after }, Some(Message::Version(version))) if version > after => {
                self.compared(context, to, version);
            }
            _ => {}
        }
    }

    /// Another daemon told its version.
    fn compared(&mut self, context: &mut Context<'_>, peer: SocketAddr, version: u64) {
        if version > 0 {
            self.is_confirmed = true;
        }
        if version >= self.state.version {
            self.record_peer_version(context, version, peer);
            return;
        }
        let bytes_max = self.settings.message_bytes_max as usize;
        let changes = self.recent.after(version, bytes_max);
        if changes.is_empty() {
            return;
        }
        let purpose = Purpose::Push {
            to: peer,
            after: version,
        };
        self.ask_peer(context, peer, Message::Push(changes), purpose);
    }

    pub(super) fn asked(
        &mut self,
        context: &mut Context<'_>,
        inbound: InboundKey,
        question: PeerRequest,
    ) {
        let PeerRequest::Config(message) = question else {
            return;
        };
        let answer = match message {
            Message::Version(version) => self.version_told(context, version),
            Message::After { version, bytes_max } => Message::Changes {
                latest: self.state.version,
                changes: self.recent.after(version, self.bytes_of(bytes_max)),
            },
            Message::RecordsAfter { service, bytes_max } => {
                self.records_after(service.as_ref(), self.bytes_of(bytes_max))
            }
            Message::Push(changes) => {
                let latest = changes.last().map_or(0, |change| change.version);
                let applied = self.apply(context, changes);
                if applied.is_err() {
                    self.set_behind(context, latest);
                    self.set_retry(context, 0);
                }
                Message::Version(self.state.version)
            }
            Message::Changes { .. } | Message::Records { .. } | Message::Expected => {
                Message::Version(self.state.version)
            }
        };
        count_sent(context, &answer);
        context.respond(inbound, PeerResponse::Config(answer));
    }

    fn bytes_of(&self, bytes_max: u32) -> usize {
        bytes_max.min(self.settings.message_bytes_max) as usize
    }

    /// Answers a daemon that told its version; the first with a greater one hands over changes.
    fn version_told(&mut self, context: &mut Context<'_>, version: u64) -> Message {
        if version <= self.state.version {
            return Message::Version(self.state.version);
        }
        self.set_behind(context, version);
        if context.now_us() < self.expected_until_us {
            return Message::Expected;
        }
        self.expected_until_us = context.now_us() + EXPECTED_US;
        self.set_retry(context, EXPECTED_US);
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
            bytes += record.link_bytes();
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
    let bytes = message.link_bytes() as u64;
    context.count(Counter::unlabelled("config_messages_sent"));
    context.count_by(Counter::unlabelled("config_bytes_sent"), bytes);
}
