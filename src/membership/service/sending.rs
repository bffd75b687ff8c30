//! Sending membership messages within the byte budget, and selecting their updates.

use std::net::SocketAddr;

use super::{MemberState, Membership, Message, Propagation, RequestPurpose, Update, latest_update};
use crate::ids::{InboundKey, MemberId};
use crate::kernel::Context;
use crate::membership::message::encoded_bytes;
use crate::membership::{Gossip, Selection};
use crate::metrics::Counter;
use crate::peer::{PeerRequest, PeerResponse};

/// Bytes of membership messages that this daemon sent, including responses.
const GOSSIP_BYTES: Counter = Counter::unlabelled("gossip_bytes");

/// Membership messages that this daemon sent, including responses.
const GOSSIP_MESSAGES: Counter = Counter::unlabelled("gossip_messages");

/// Membership messages that were not sent because the byte budget was exhausted.
const MESSAGES_LEFT_OUT: Counter = Counter::unlabelled("gossip_messages_left_out");

/// How many times each daemon sends an update at most, for each doubling of the number of members.
const SENDS_PER_DOUBLING: usize = 2;

/// How many times a daemon sends an update that it received late, in a roster comparison.
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
                self.schedule_early_probe(context);
            }
            Propagation::Limited => {
                let sends = self.max_sends().saturating_sub(REPAIR_SENDS);
                self.queue.push_with_sends(id, sends);
            }
            Propagation::None => {}
        }
    }

    /// Returns how many times a daemon sends an update at most; duplicates that it receives count
    /// as sends.
    pub(super) fn max_sends(&self) -> usize {
        let doublings = usize::BITS - self.roster.len().leading_zeros();
        SENDS_PER_DOUBLING * doublings as usize
    }

    /// Selects the updates for a message to a member, without those just `received` from it.
    ///
    /// A suspect or gone report about that member is always included, so that it can refute it.
    pub(super) fn build_gossip(
        &mut self,
        context: &Context<'_>,
        to: MemberId,
        received: &[MemberId],
    ) -> Gossip {
        let mut updates = Vec::new();
        let mut bytes = 0;
        if let Some(update) = self.refutable_update(to) {
            updates.push(update);
        }
        let update_bytes = self.budget.available_update_bytes(context.now_us());
        let max_bytes = update_bytes.min(self.settings.updates_max_bytes as usize);
        let max_sends = self.max_sends();
        let roster = &self.roster;
        self.queue.select(max_sends, |id| {
            let Some(update) = latest_update(roster, id) else {
                return Selection::Included;
            };
            if received.contains(&id) {
                return Selection::Deferred;
            }
            bytes += update.bytes();
            if bytes > max_bytes {
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

    /// Returns the suspect or gone report about a member, which the member must receive to refute
    /// it; `None` if there is none.
    pub(super) fn refutable_update(&self, to: MemberId) -> Option<Update> {
        if let Some(member) = self.roster.get(to)
            && member.state != MemberState::Suspect
        {
            return None;
        }
        latest_update(&self.roster, to)
    }

    /// Sends a request to a peer; returns false if the byte budget does not allow it.
    ///
    /// The timeout of an indirect probe is doubled, because the relay's own probe may take a whole
    /// one.
    pub(super) fn send_request(
        &mut self,
        context: &mut Context<'_>,
        to: SocketAddr,
        message: Message,
        purpose: RequestPurpose,
    ) -> bool {
        if !self.try_spend(context, &message) {
            return false;
        }
        let timeout_ms = match purpose {
            RequestPurpose::IndirectProbe(_) => 2 * self.settings.probe_timeout_ms,
            _ => self.settings.probe_timeout_ms,
        };
        let timeout_us = u64::from(timeout_ms) * 1_000;
        let key = context.send_request(to, PeerRequest::Membership(message), timeout_us);
        self.pending_requests.insert(key, purpose);
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
        context.respond(inbound, PeerResponse::Membership(message));
    }

    /// Spends the bytes of a message; if there are too few, counts the message as left out.
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
