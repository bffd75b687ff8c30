//! Applies reports about members to the roster, and propagates and publishes the changes.

use super::{Member, MemberState, Membership, Propagation, Update, describe};
use crate::ids::MemberId;
use crate::kernel::{Context, Notice, StateChange};
use crate::membership::{Gossip, MemberReportOutcome};

/// How many duplicates of an update a daemon receives before it stops sending the update, at the
/// latest.
const DUPLICATES_UNTIL_DROPPED: usize = 3;

impl Membership {
    /// Applies a report that a member sent about itself; any other member at its address is marked
    /// gone.
    pub fn handle_self_report(&mut self, context: &mut Context<'_>, member: Member) {
        if member.id == self.own.id {
            return;
        }
        if let Some(other) = self.roster.at_address(member.address)
            && other.id != member.id
        {
            let other = other.id;
            self.mark_gone(context, other);
        }
        self.apply_report(context, member, Propagation::Full);
    }

    pub(super) fn apply_report(
        &mut self,
        context: &mut Context<'_>,
        report: Member,
        propagation: Propagation,
    ) {
        if report.id == self.own.id {
            self.refute(context, report.freshness());
            return;
        }
        if report.address == self.own.address && report.state != MemberState::Gone {
            self.mark_predecessor_gone(context, report);
            return;
        }
        let forget_at_us = self.forget_at_us(context);
        let (id, freshness) = (report.id, report.freshness());
        match self.roster.apply_report(report, forget_at_us) {
            MemberReportOutcome::Unchanged => self.record_duplicate(id, freshness),
            MemberReportOutcome::AddressTaken(other) => self.queue.push(other),
            MemberReportOutcome::Gone => {
                self.applied_report_count += 1;
                self.propagate_and_publish_gone(context, id, propagation);
            }
            MemberReportOutcome::Changed { replaced } => {
                self.applied_report_count += 1;
                if let Some(replaced) = replaced {
                    self.propagate_and_publish_gone(context, replaced, propagation);
                }
                self.propagate(context, id, propagation);
                self.publish_change(context, id);
            }
        }
    }

    pub(super) fn publish_change(&mut self, context: &mut Context<'_>, id: MemberId) {
        if let Some(member) = self.roster.get(id) {
            context.publish(Notice::MemberChanged(member.clone()));
        }
    }

    /// Counts a received duplicate of an update as several sends of it.
    ///
    /// A duplicate shows that other members also propagate the update, so more members have it than
    /// this daemon sent it to.
    pub(super) fn record_duplicate(&mut self, id: MemberId, freshness: (u32, MemberState)) {
        let current = self.roster.get(id).or_else(|| self.roster.gone(id));
        if current.is_some_and(|current| current.freshness() == freshness) {
            let max_sends = self.max_sends();
            self.queue
                .add_sends(id, max_sends.div_ceil(DUPLICATES_UNTIL_DROPPED));
        }
    }

    pub(super) fn propagate_and_publish_gone(
        &mut self,
        context: &mut Context<'_>,
        id: MemberId,
        propagation: Propagation,
    ) {
        self.propagate(context, id, propagation);
        context.publish(Notice::MemberGone(id));
    }

    pub(super) fn mark_gone(&mut self, context: &mut Context<'_>, id: MemberId) {
        let forget_at_us = self.forget_at_us(context);
        if let Some(member) = self.roster.mark_gone(id, forget_at_us) {
            self.propagate_and_publish_gone(context, id, Propagation::Full);
            context.log(StateChange::new("member", "gone", describe(&member)));
        }
    }

    /// Applies the updates piggybacked on a message and returns the members they are about.
    pub(super) fn apply_gossip(
        &mut self,
        context: &mut Context<'_>,
        gossip: Gossip,
    ) -> Vec<MemberId> {
        let mut received = Vec::new();
        for update in gossip.updates {
            received.push(update.id());
            self.apply_update(context, update, Propagation::Full);
        }
        received
    }

    pub(super) fn apply_update(
        &mut self,
        context: &mut Context<'_>,
        update: Update,
        propagation: Propagation,
    ) {
        match update {
            Update::Full(member) => self.apply_report(context, member, propagation),
            Update::State {
                id,
                state,
                incarnation,
            } => self.apply_state(context, id, (incarnation, state), propagation),
        }
    }

    pub(super) fn apply_state(
        &mut self,
        context: &mut Context<'_>,
        id: MemberId,
        freshness: (u32, MemberState),
        propagation: Propagation,
    ) {
        if id == self.own.id {
            self.refute(context, freshness);
            return;
        }
        let Some(current) = self.roster.get(id).or_else(|| self.roster.gone(id)) else {
            return;
        };
        let mut report = current.clone();
        (report.incarnation, report.state) = freshness;
        self.apply_report(context, report, propagation);
    }

    pub(super) fn forget_at_us(&self, context: &Context<'_>) -> u64 {
        context.now_us() + u64::from(self.settings.gone_memory_ms) * 1_000
    }
}
