//! What this daemon tells others, and the bytes that it spends for it.

use std::net::SocketAddr;

use super::{
    MemberState, Membership, Message, OutboundRequest, Propagation, Update, latest_update,
};
use crate::ids::{InboundKey, MemberId};
use crate::kernel::Context;
use crate::membership::message::encoded_bytes;
use crate::membership::{Gossip, Selection};
use crate::metrics::Counter;
use crate::peer::{PeerAnswer, PeerQuestion};

/// Bytes of membership messages that this daemon sent, answers included.
const GOSSIP_BYTES: Counter = Counter::plain("gossip_bytes");

/// Membership messages that this daemon sent, answers included.
const GOSSIP_MESSAGES: Counter = Counter::plain("gossip_messages");

/// Membership messages that this daemon had no bytes to send.
const MESSAGES_LEFT_OUT: Counter = Counter::plain("gossip_messages_left_out");

/// The times that news is told by each daemon, for each doubling of the members.
const SENDS_PER_DOUBLING: usize = 2;

/// The times that a daemon tells news that it missed before.
const REPAIR_SENDS: usize = 2;

impl Membership {
    pub(super) fn propagate(
        &mut self,
        context: &mut Context<'_>,
        id: MemberId,
        propagation: Propagation,
    ) {
        match propagation {
            Propagation::Full => {
                self.queue.push(id);
                self.schedule_updates(context);
            }
            Propagation::Limited => {
                let told = self.max_sends().saturating_sub(REPAIR_SENDS);
                self.queue.push_with_sends(id, told);
            }
            Propagation::None => {}
        }
    }

    /// Returns how often news is told by each daemon that nobody is known to know.
    pub(super) fn max_sends(&self) -> usize {
        let doublings = usize::BITS - self.roster.len().leading_zeros();
        SENDS_PER_DOUBLING * doublings as usize
    }

    /// Picks the news that rides on a message to a member, without what it told itself.
    pub(super) fn build_gossip(
        &mut self,
        context: &Context<'_>,
        to: MemberId,
        heard: &[MemberId],
    ) -> Gossip {
        let mut updates = Vec::new();
        let mut bytes = 0;
        if let Some(update) = self.refutable_update(to) {
            updates.push(update);
        }
        let left_bytes = self.budget.update_bytes(context.now_us());
        let room_bytes = left_bytes.min(self.settings.updates_max_bytes as usize);
        let times = self.max_sends();
        let roster = &self.roster;
        self.queue.select(times, |id| {
            let Some(update) = latest_update(roster, id) else {
                return Selection::Included;
            };
            if heard.contains(&id) {
                return Selection::Deferred;
            }
            bytes += update.bytes();
            if bytes > room_bytes {
                return Selection::Full;
            }
            updates.push(update);
            Selection::Included
        });
        Gossip {
            from: self.own.id,
            incarnation: self.own.incarnation,
            updates,
        }
    }

    /// Returns what a member must hear so that it can refute it.
    pub(super) fn refutable_update(&self, to: MemberId) -> Option<Update> {
        if let Some(member) = self.roster.get(to)
            && member.state != MemberState::Suspect
        {
            return None;
        }
        latest_update(&self.roster, to)
    }

    /// Asks another daemon; returns whether there were bytes to do so.
    pub(super) fn send_request(
        &mut self,
        context: &mut Context<'_>,
        to: SocketAddr,
        message: Message,
        about: OutboundRequest,
    ) -> bool {
        if !self.try_spend(context, &message) {
            return false;
        }
        let timeout_ms = match about {
            OutboundRequest::IndirectProbe(_) => 2 * self.settings.probe_timeout_ms,
            _ => self.settings.probe_timeout_ms,
        };
        let timeout_us = u64::from(timeout_ms) * 1_000;
        let ask = context.ask(to, PeerQuestion::Membership(message), timeout_us);
        self.pending_requests.insert(ask, about);
        true
    }

    pub(super) fn send_response(
        &mut self,
        context: &mut Context<'_>,
        inbound: InboundKey,
        message: Message,
    ) {
        if !self.try_spend(context, &message) {
            return;
        }
        context.answer(inbound, PeerAnswer::Membership(message));
    }

    /// Spends the bytes of a message, or counts it as left out where there are too few.
    pub(super) fn try_spend(&mut self, context: &mut Context<'_>, message: &Message) -> bool {
        let bytes = encoded_bytes(message);
        if !self.budget.try_spend(context.now_us(), bytes) {
            context.count(MESSAGES_LEFT_OUT);
            return false;
        }
        context.count_by(GOSSIP_BYTES, bytes as u64);
        context.count(GOSSIP_MESSAGES);
        true
    }
}
