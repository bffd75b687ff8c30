//! Failure detection: direct and indirect probes and suspicions; also the dispatch of the requests
//! and responses of other daemons.

use std::net::SocketAddr;

use rand::RngExt;

use super::{
    Gossip, InboundKey, MEMBERS_FAILED, MEMBERS_SUSPECTED, Member, MemberState, Membership,
    Message, Prober, Propagation, RequestPurpose, Timer, Update, describe,
};
use crate::ids::MemberId;
use crate::kernel::{Context, LinkError, StateChange};

/// The maximum number of suspected members that are probed in each probe period, in addition to the
/// next member in turn.
const SUSPECTS_PER_PERIOD: usize = 3;

/// Early probes continue until each update was sent this many times; after that, updates wait for
/// the periodic probes.
const EARLY_SENDS: usize = 2;

impl Membership {
    pub(super) fn probe(&mut self, context: &mut Context<'_>) {
        let period_us = u64::from(self.settings.probe_period_ms) * 1_000;
        self.set_timer(context, period_us, Timer::Probe);
        self.roster.forget_expired(context.now_us());
        for id in self
            .prober
            .expire_suspicions(&self.roster, context.now_us())
        {
            context.count(MEMBERS_FAILED);
            self.mark_gone(context, id);
        }
        if self.budget.available_bytes(context.now_us()) == 0 {
            return;
        }
        if let Some(id) = self.prober.next_member(&self.roster, self.own.id) {
            self.probe_member(context, id);
        }
        for _ in 0..self.prober.suspect_count().min(SUSPECTS_PER_PERIOD) {
            if let Some(id) = self.prober.next_suspect() {
                self.probe_member(context, id);
            }
        }
    }

    fn probe_member(&mut self, context: &mut Context<'_>, id: MemberId) {
        let Some(member) = self.roster.get(id) else {
            return;
        };
        let address = member.address;
        self.probe_address(context, id, address, RequestPurpose::Probe(id));
    }

    /// Probes a member at an address; returns false if the byte budget does not allow it.
    pub(super) fn probe_address(
        &mut self,
        context: &mut Context<'_>,
        to: MemberId,
        address: SocketAddr,
        purpose: RequestPurpose,
    ) -> bool {
        let gossip = self.build_gossip(context, to, &[]);
        self.send_request(context, address, Message::Probe { to, gossip }, purpose)
    }

    /// Probes a random gone member, because it may still be running and have been unreachable only
    /// during a partition.
    pub(super) fn probe_gone(&mut self, context: &mut Context<'_>) {
        let period_us = u64::from(self.settings.gone_probe_ms) * 1_000;
        self.set_timer(context, period_us, Timer::ProbeGone);
        if self.roster.gone_len() == 0 || self.budget.available_bytes(context.now_us()) == 0 {
            return;
        }
        let index = context.rng().random_range(0..self.roster.gone_len());
        let Some(member) = self.roster.gone_at(index) else {
            return;
        };
        let (id, address) = (member.id, member.address);
        if self.roster.at_address(address).is_some() {
            return;
        }
        self.probe_address(context, id, address, RequestPurpose::ProbeGone);
    }

    /// Probes all fingers immediately, so that they receive this daemon's latest updates.
    pub(super) fn probe_fingers(&mut self, context: &mut Context<'_>) {
        for id in Prober::fingers(&self.roster, self.own.id) {
            self.probe_member(context, id);
        }
    }

    /// Schedules an early probe, which carries the new updates of this daemon and those that arrive
    /// until then, unless one is already scheduled.
    pub(super) fn schedule_early_probe(&mut self, context: &mut Context<'_>) {
        if self.is_early_probe_scheduled {
            return;
        }
        self.is_early_probe_scheduled = true;
        let max_us = u64::from(self.settings.tell_period_ms) * 1_000;
        let delay_us = context.rng().random_range(max_us / 2..=max_us);
        self.set_timer(context, delay_us, Timer::EarlyProbe);
    }

    /// Sends new updates in a probe of one more member, and schedules the next early probe.
    ///
    /// Stops when all updates were sent [`EARLY_SENDS`] times or the byte budget has no surplus.
    pub(super) fn send_early_probe(&mut self, context: &mut Context<'_>) {
        self.is_early_probe_scheduled = false;
        if !self.queue.has_updates_below(EARLY_SENDS)
            || self.budget.surplus_bytes(context.now_us()) == 0
        {
            return;
        }
        if let Some(id) = self.prober.next_member(&self.roster, self.own.id) {
            self.probe_member(context, id);
        }
        self.schedule_early_probe(context);
    }

    /// Cancels this daemon's pending probes of members after a pause of its process, restarts all
    /// suspicions, and propagates the own record with a new incarnation.
    ///
    /// A missing response may be due to this daemon's own pause, so it is not evidence of a failed
    /// member. Probes of rows and probes on behalf of peers are not cancelled.
    pub(super) fn handle_resume(&mut self, context: &mut Context<'_>) {
        let mut outdated = Vec::new();
        for (key, purpose) in self.pending_requests.iter() {
            if matches!(
                purpose,
                RequestPurpose::Probe(_)
                    | RequestPurpose::IndirectProbe(_)
                    | RequestPurpose::ProbeGone
            ) {
                outdated.push(*key);
            }
        }
        for key in outdated {
            self.pending_requests.remove(&key);
            context.cancel_request(key);
        }
        let suspicion_us = u64::from(self.settings.suspicion_ms) * 1_000;
        self.prober.reset(context.now_us() + suspicion_us);
        self.update_own(context);
    }

    pub(super) fn handle_request(
        &mut self,
        context: &mut Context<'_>,
        inbound: InboundKey,
        message: Message,
    ) {
        match message {
            Message::Probe { to, gossip } => {
                let from = gossip.from;
                let received = self.apply_gossip(context, gossip);
                let mut gossip = self.build_gossip(context, from, &received);
                if to != self.own.id || received.contains(&self.own.id) {
                    self.add_own_update(&mut gossip);
                }
                self.send_response(context, inbound, Message::Ack { gossip });
            }
            Message::IndirectProbe {
                to,
                address,
                gossip,
            } => {
                self.apply_gossip(context, gossip);
                if !self.probe_address(context, to, address, RequestPurpose::ProbeForPeer(inbound))
                {
                    self.send_response(context, inbound, Message::Unreachable);
                }
            }
            Message::ListMembers { from, after } => {
                self.respond_with_list(context, inbound, from, after)
            }
            Message::Compare { range, hashes } => {
                let response = self.compare_range(context, range, &hashes);
                self.send_response(context, inbound, response);
            }
            Message::RangeContents { range, updates } => {
                let updates = self.merge_range(context, range, updates);
                self.send_response(context, inbound, Message::MissingUpdates { updates });
            }
            Message::MissingUpdates { updates } => {
                self.apply_missing(context, updates);
                self.send_response(context, inbound, Message::InSync);
            }
            Message::Ack { .. }
            | Message::Unreachable
            | Message::Members { .. }
            | Message::InSync => self.send_response(context, inbound, Message::Unreachable),
        }
    }

    /// Adds this daemon's own record to the response to a peer that addressed another member or
    /// sent an update about this daemon.
    fn add_own_update(&self, gossip: &mut Gossip) {
        let is_included = |update: &Update| update.id() == self.own.id;
        if !gossip.updates.iter().any(is_included) {
            gossip.updates.push(Update::Full(self.own.clone()));
        }
    }

    pub(super) fn handle_response(
        &mut self,
        context: &mut Context<'_>,
        purpose: RequestPurpose,
        result: Result<Message, LinkError>,
    ) {
        match (purpose, result) {
            (
                RequestPurpose::Probe(id) | RequestPurpose::IndirectProbe(id),
                Ok(Message::Ack { gossip }),
            ) => {
                self.prober.record_ack(id);
                let from = gossip.from;
                self.apply_gossip(context, gossip);
                if from != id && matches!(purpose, RequestPurpose::Probe(_)) {
                    self.mark_gone(context, id);
                }
            }
            (RequestPurpose::Probe(id), Err(error)) => {
                self.handle_probe_failure(context, id, error)
            }
            (RequestPurpose::IndirectProbe(id), _) if self.prober.record_relay_failure(id) => {
                self.suspect(context, id)
            }
            (RequestPurpose::ProbeForPeer(inbound), Ok(Message::Ack { gossip })) => {
                self.send_response(context, inbound, Message::Ack { gossip });
            }
            (RequestPurpose::ProbeForPeer(inbound), _) => {
                self.send_response(context, inbound, Message::Unreachable)
            }
            (RequestPurpose::ProbeGone, Ok(Message::Ack { gossip })) => {
                self.apply_gossip(context, gossip);
            }
            (RequestPurpose::ProbeRow(id), Ok(Message::Ack { gossip })) => {
                let from = gossip.from;
                self.apply_gossip(context, gossip);
                self.handle_row_ack(context, id, from);
            }
            (RequestPurpose::ProbeRow(id), _) => self.handle_row_unreachable(context, id),
            (
                RequestPurpose::Sync {
                    peer,
                    small_differences_left,
                },
                Ok(message),
            ) => {
                self.handle_sync_response(context, peer, message, small_differences_left);
            }
            (RequestPurpose::ListMembers, result) => self.handle_member_list(context, result),
            _ => {}
        }
    }

    fn handle_probe_failure(&mut self, context: &mut Context<'_>, id: MemberId, error: LinkError) {
        let Some(member) = self.roster.get(id) else {
            return;
        };
        if member.state == MemberState::Leaving && error == LinkError::NotSent {
            self.mark_gone(context, id);
            return;
        }
        if self.prober.is_probed_indirectly(id) {
            return;
        }
        let address = member.address;
        let relays = self.relays(context, id);
        if relays.is_empty() {
            self.suspect(context, id);
            return;
        }
        let mut pending_responses = 0;
        for relay in relays {
            let gossip = self.build_gossip(context, relay.id, &[]);
            let message = Message::IndirectProbe {
                to: id,
                address,
                gossip,
            };
            pending_responses += u32::from(self.send_request(
                context,
                relay.address,
                message,
                RequestPurpose::IndirectProbe(id),
            ));
        }
        if pending_responses > 0 {
            self.prober.begin_indirect_probe(id, pending_responses);
        }
    }

    fn relays(&self, context: &mut Context<'_>, id: MemberId) -> Vec<Member> {
        let mut relays = self.sample(context.rng(), self.settings.relays as usize + 1);
        relays.retain(|relay| relay.id != id);
        relays.truncate(self.settings.relays as usize);
        relays
    }

    fn suspect(&mut self, context: &mut Context<'_>, id: MemberId) {
        let Some(member) = self.roster.get(id) else {
            return;
        };
        let mut report = member.clone();
        let expires_at_us = context.now_us() + u64::from(self.settings.suspicion_ms) * 1_000;
        if !self.prober.record_failed_round(&report, expires_at_us) {
            return;
        }
        context.count(MEMBERS_SUSPECTED);
        context.log(StateChange::new("member", "suspected", describe(&report)));
        if report.state == MemberState::Alive {
            report.state = MemberState::Suspect;
            self.apply_report(context, report, Propagation::Full);
        }
    }
}
