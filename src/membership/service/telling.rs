//! What this daemon tells others, and the bytes that it spends for it.

use std::net::SocketAddr;

use super::{Ask, MemberState, Membership, Message, Spread, Update, news_of};
use crate::ids::{InboundKey, MemberId};
use crate::kernel::Context;
use crate::membership::message::encoded_bytes;
use crate::membership::{Gossip, Selection};
use crate::metrics::Counter;
use crate::peer::{PeerRequest, PeerResponse};

/// Bytes of membership messages that this daemon sent, answers included.
const GOSSIP_BYTES: Counter = Counter::unlabelled("gossip_bytes");

/// Membership messages that this daemon sent, answers included.
const GOSSIP_MESSAGES: Counter = Counter::unlabelled("gossip_messages");

/// Membership messages that this daemon had no bytes to send.
const MESSAGES_LEFT_OUT: Counter = Counter::unlabelled("gossip_messages_left_out");

/// The times that news is told by each daemon, for each doubling of the members.
const TELLS_PER_DOUBLING: usize = 2;

/// The times that a daemon tells news that it missed before.
const REPAIR_TELLS: usize = 2;

impl Membership {
    pub(super) fn spread(&mut self, context: &mut Context<'_>, id: MemberId, spread: Spread) {
        match spread {
            Spread::Whole => {
                self.queue.push(id);
                self.tell_after_pause(context);
            }
            Spread::Little => {
                let told = self.tell_times().saturating_sub(REPAIR_TELLS);
                self.queue.push_with_sends(id, told);
            }
            Spread::Nothing => {}
        }
    }

    /// Returns how often news is told by each daemon that nobody is known to know.
    pub(super) fn tell_times(&self) -> usize {
        let doublings = usize::BITS - self.roster.len().leading_zeros();
        TELLS_PER_DOUBLING * doublings as usize
    }

    /// Picks the news that rides on a message to a member, without what it told itself.
    pub(super) fn gossip(
        &mut self,
        context: &Context<'_>,
        to: MemberId,
        heard: &[MemberId],
    ) -> Gossip {
        let mut updates = Vec::new();
        let mut bytes = 0;
        if let Some(update) = self.contradictable(to) {
            updates.push(update);
        }
        let left_bytes = self.budget.update_bytes(context.now_us());
        let room_bytes = left_bytes.min(self.settings.updates_max_bytes as usize);
        let times = self.tell_times();
        let roster = &self.roster;
        self.queue.select(times, |id| {
            let Some(update) = news_of(roster, id) else {
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
    pub(super) fn contradictable(&self, to: MemberId) -> Option<Update> {
        if let Some(member) = self.roster.get(to)
            && member.state != MemberState::Suspect
        {
            return None;
        }
        news_of(&self.roster, to)
    }

    /// Asks another daemon; returns whether there were bytes to do so.
    pub(super) fn ask(
        &mut self,
        context: &mut Context<'_>,
        to: SocketAddr,
        message: Message,
        about: Ask,
    ) -> bool {
        if !self.spend(context, &message) {
            return false;
        }
        let timeout_ms = match about {
            Ask::Relayed(_) => 2 * self.settings.probe_timeout_ms,
            _ => self.settings.probe_timeout_ms,
        };
        let timeout_us = u64::from(timeout_ms) * 1_000;
        let ask = context.send_request(to, PeerRequest::Membership(message), timeout_us);
        self.asks.insert(ask, about);
        true
    }

    pub(super) fn answer(
        &mut self,
        context: &mut Context<'_>,
        inbound: InboundKey,
        message: Message,
    ) {
        if !self.spend(context, &message) {
            return;
        }
        context.respond(inbound, PeerResponse::Membership(message));
    }

    /// Spends the bytes of a message, or counts it as left out where there are too few.
    pub(super) fn spend(&mut self, context: &mut Context<'_>, message: &Message) -> bool {
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
