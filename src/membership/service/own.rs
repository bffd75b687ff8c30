//! This daemon's own member record and the changes that it reports.

use super::{Member, MemberState, Membership, Propagation};
use crate::kernel::Context;
use crate::target::Announcement;

impl Membership {
    /// Increments the own incarnation and propagates the own record.
    pub(super) fn update_own(&mut self, context: &mut Context<'_>) {
        self.own.incarnation = self.own.incarnation.saturating_add(1);
        self.roster.apply_report(self.own.clone(), 0);
        self.propagate(context, self.own.id, Propagation::Full);
        self.publish_change(context, self.own.id);
    }

    /// Refutes a report about this daemon that is newer than its own record.
    pub(super) fn refute(&mut self, context: &mut Context<'_>, reported: (u32, MemberState)) {
        if reported <= self.own.freshness() {
            return;
        }
        self.own.incarnation = reported.0;
        self.update_own(context);
    }

    /// Marks another daemon at this daemon's address as gone; it ran there earlier.
    ///
    /// Of two members at one address, the one with the greater incarnation takes precedence, or
    /// with equal incarnations the one with the greater id. If that is the predecessor, the own
    /// incarnation is raised above its incarnation.
    pub(super) fn mark_predecessor_gone(
        &mut self,
        context: &mut Context<'_>,
        mut predecessor: Member,
    ) {
        let has_precedence =
            (predecessor.incarnation, predecessor.id) > (self.own.incarnation, self.own.id);
        predecessor.state = MemberState::Gone;
        let (id, incarnation) = (predecessor.id, predecessor.incarnation);
        let was_gone = self.roster.gone(id).is_some();
        self.roster
            .apply_report(predecessor, self.forget_at_us(context));
        if !was_gone {
            self.queue.push(id);
        }
        if has_precedence {
            self.own.incarnation = incarnation;
            self.update_own(context);
        }
    }

    pub(super) fn handle_target_announcement(
        &mut self,
        context: &mut Context<'_>,
        target: Announcement,
    ) {
        let mut own = self.own.clone();
        own.service = Some(target.service);
        own.slots = target.slots;
        own.state = match self.is_stopping || target.is_draining {
            true => MemberState::Leaving,
            false => MemberState::Alive,
        };
        if own == self.own {
            return;
        }
        let is_leaving = own.state == MemberState::Leaving;
        self.own = own;
        self.update_own(context);
        if is_leaving {
            self.probe_fingers(context);
        }
    }

    /// Removes the service and the slots from the own record, because the target beside this daemon
    /// stopped announcing itself, and propagates the record.
    pub(super) fn handle_target_silence(&mut self, context: &mut Context<'_>) {
        if self.own.service.take().is_none() {
            return;
        }
        self.own.slots = 0;
        self.update_own(context);
    }

    pub(super) fn stop(&mut self, context: &mut Context<'_>) {
        if self.is_stopping {
            return;
        }
        self.is_stopping = true;
        self.own.state = MemberState::Leaving;
        self.update_own(context);
        self.probe_fingers(context);
        self.delete_own_row(context);
    }
}
