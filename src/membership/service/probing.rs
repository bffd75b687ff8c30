//! Probes, relayed probes and suspicions.

use std::net::SocketAddr;

use rand::RngExt;

use super::{
    Ask, Gossip, InboundKey, MEMBERS_FAILED, MEMBERS_SUSPECTED, Member, MemberState, Membership,
    Message, Prober, Spread, Tag, Update, describe,
};
use crate::ids::MemberId;
use crate::kernel::{Context, LinkError, StateChange};

/// The members under suspicion that are probed again in one period.
const SUSPECTS_PER_PERIOD: usize = 3;

/// The times that news is told without waiting for the next probe.
const TELLS_SOON: usize = 2;

impl Membership {
    pub(super) fn probe(&mut self, context: &mut Context<'_>) {
        let period_us = u64::from(self.settings.probe_period_ms) * 1_000;
        self.timer(context, period_us, Tag::Probe);
        self.roster.forget_expired(context.now_us());
        for id in self.prober.expire(&self.roster, context.now_us()) {
            context.count(MEMBERS_FAILED);
            self.remove(context, id);
        }
        if self.budget.available_bytes(context.now_us()) == 0 {
            return;
        }
        if let Some(id) = self.prober.next(&self.roster, self.own.id) {
            self.probe_member(context, id);
        }
        for _ in 0..self.prober.suspects().min(SUSPECTS_PER_PERIOD) {
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
        self.probe_address(context, id, address, Ask::Probe(id));
    }

    /// Probes a member at an address; returns whether there were bytes to do so.
    pub(super) fn probe_address(
        &mut self,
        context: &mut Context<'_>,
        to: MemberId,
        address: SocketAddr,
        about: Ask,
    ) -> bool {
        let gossip = self.gossip(context, to, &[]);
        self.ask(context, address, Message::Probe { to, gossip }, about)
    }

    /// Tries a member that is gone, which a cut between them may have made so.
    pub(super) fn probe_gone(&mut self, context: &mut Context<'_>) {
        let period_us = u64::from(self.settings.gone_probe_ms) * 1_000;
        self.timer(context, period_us, Tag::ProbeGone);
        if self.roster.gone_len() == 0 || self.budget.available_bytes(context.now_us()) == 0 {
            return;
        }
        let at = context.rng().random_range(0..self.roster.gone_len());
        let Some(member) = self.roster.gone_at(at) else {
            return;
        };
        let (id, address) = (member.id, member.address);
        if self.roster.at_address(address).is_some() {
            return;
        }
        self.probe_address(context, id, address, Ask::ProbeGone);
    }

    /// Tells the members that this daemon probes at once.
    pub(super) fn tell_fingers(&mut self, context: &mut Context<'_>) {
        for id in Prober::fingers(&self.roster, self.own.id) {
            self.probe_member(context, id);
        }
    }

    /// Makes sure that fresh news is told soon, with what else comes until then.
    pub(super) fn tell_after_pause(&mut self, context: &mut Context<'_>) {
        if self.tells_soon {
            return;
        }
        self.tells_soon = true;
        let most_us = u64::from(self.settings.tell_period_ms) * 1_000;
        let after_us = context.rng().random_range(most_us / 2..=most_us);
        self.timer(context, after_us, Tag::Tell);
    }

    /// Tells fresh news to one more member, while bytes are saved up.
    pub(super) fn tell_soon(&mut self, context: &mut Context<'_>) {
        self.tells_soon = false;
        if !self.queue.has_updates_below(TELLS_SOON)
            || self.budget.surplus_bytes(context.now_us()) == 0
        {
            return;
        }
        if let Some(id) = self.prober.next(&self.roster, self.own.id) {
            self.probe_member(context, id);
        }
        self.tell_after_pause(context);
    }

    /// After a pause an answer may be late because this daemon was: nothing follows from it.
    pub(super) fn wake(&mut self, context: &mut Context<'_>) {
        let mut outdated = Vec::new();
        for (key, ask) in self.asks.iter() {
            if matches!(ask, Ask::Probe(_) | Ask::Relayed(_) | Ask::ProbeGone) {
                outdated.push(*key);
            }
        }
        for key in outdated {
            self.asks.remove(&key);
            context.cancel_request(key);
        }
        let suspicion_us = u64::from(self.settings.suspicion_ms) * 1_000;
        self.prober.restart(context.now_us() + suspicion_us);
        self.announce(context);
    }

    pub(super) fn asked(
        &mut self,
        context: &mut Context<'_>,
        inbound: InboundKey,
        message: Message,
    ) {
        match message {
            Message::Probe { to, gossip } => {
                let from = gossip.from;
                let heard = self.absorb(context, gossip);
                let mut gossip = self.gossip(context, from, &heard);
                if to != self.own.id || heard.contains(&self.own.id) {
                    self.add_own(&mut gossip);
                }
                self.answer(context, inbound, Message::Ack { gossip });
            }
            Message::IndirectProbe {
                to,
                address,
                gossip,
            } => {
                self.absorb(context, gossip);
                if !self.probe_address(context, to, address, Ask::ForPeer(inbound)) {
                    self.answer(context, inbound, Message::Unreachable);
                }
            }
            Message::ListMembers { from, after } => self.answer_list(context, inbound, from, after),
            Message::Compare { range, hashes } => {
                let answer = self.compare(context, range, &hashes);
                self.answer(context, inbound, answer);
            }
            Message::RangeContents { range, updates } => {
                let updates = self.repair(context, range, updates);
                self.answer(context, inbound, Message::MissingUpdates { updates });
            }
            Message::MissingUpdates { updates } => {
                self.learn_missed(context, updates);
                self.answer(context, inbound, Message::InSync);
            }
            Message::Ack { .. }
            | Message::Unreachable
            | Message::Members { .. }
            | Message::InSync => self.answer(context, inbound, Message::Unreachable),
        }
    }

    /// Tells what this daemon says of itself to one that knew otherwise.
    fn add_own(&self, gossip: &mut Gossip) {
        let is_told = |update: &Update| update.id() == self.own.id;
        if !gossip.updates.iter().any(is_told) {
            gossip.updates.push(Update::Full(self.own.clone()));
        }
    }

    pub(super) fn answered(
        &mut self,
        context: &mut Context<'_>,
        ask: Ask,
        result: Result<Message, LinkError>,
    ) {
        match (ask, result) {
            (Ask::Probe(id) | Ask::Relayed(id), Ok(Message::Ack { gossip })) => {
                self.prober.answered(id);
                let from = gossip.from;
                self.absorb(context, gossip);
                if from != id && matches!(ask, Ask::Probe(_)) {
                    self.remove(context, id);
                }
            }
            (Ask::Probe(id), Err(error)) => self.probe_failed(context, id, error),
            (Ask::Relayed(id), _) if self.prober.unreached(id) => self.suspect(context, id),
            (Ask::ForPeer(inbound), Ok(Message::Ack { gossip })) => {
                self.answer(context, inbound, Message::Ack { gossip });
            }
            (Ask::ForPeer(inbound), _) => self.answer(context, inbound, Message::Unreachable),
            (Ask::ProbeGone, Ok(Message::Ack { gossip })) => {
                self.absorb(context, gossip);
            }
            (Ask::ProbeRow(id), Ok(Message::Ack { gossip })) => {
                let from = gossip.from;
                self.absorb(context, gossip);
                self.row_answered(context, id, from);
            }
            (Ask::ProbeRow(id), _) => self.row_unreached(context, id),
            (Ask::Sync { to, parts_left }, Ok(message)) => {
                self.synced(context, to, message, parts_left);
            }
            (Ask::List, result) => self.listed(context, result),
            _ => {}
        }
    }

    fn probe_failed(&mut self, context: &mut Context<'_>, id: MemberId, error: LinkError) {
        let Some(member) = self.roster.get(id) else {
            return;
        };
        if member.state == MemberState::Leaving && error == LinkError::NotSent {
            self.remove(context, id);
            return;
        }
        if self.prober.is_checked(id) {
            return;
        }
        let address = member.address;
        let relays = self.relays(context, id);
        if relays.is_empty() {
            self.suspect(context, id);
            return;
        }
        let mut awaited = 0;
        for relay in relays {
            let gossip = self.gossip(context, relay.id, &[]);
            let message = Message::IndirectProbe {
                to: id,
                address,
                gossip,
            };
            awaited += u32::from(self.ask(context, relay.address, message, Ask::Relayed(id)));
        }
        if awaited > 0 {
            self.prober.begin_check(id, awaited);
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
        let gone_at_us = context.now_us() + u64::from(self.settings.suspicion_ms) * 1_000;
        if !self.prober.suspect(&report, gone_at_us) {
            return;
        }
        context.count(MEMBERS_SUSPECTED);
        context.log(StateChange::new("member", "suspected", describe(&report)));
        if report.state == MemberState::Alive {
            report.state = MemberState::Suspect;
            self.learn(context, report, Spread::Whole);
        }
    }
}
