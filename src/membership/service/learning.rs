//! What this daemon takes in of other members.

use super::{Member, MemberState, Membership, Spread, Update, describe};
use crate::ids::MemberId;
use crate::kernel::{Context, Notice, StateChange};
use crate::membership::{Gossip, ReportOutcome};

/// The times that others tell news to a daemon until it tells that news no longer.
const REPEATS_UNTIL_DROPPED: usize = 3;

impl Membership {
    /// Takes in what a member said of itself on another message.
    pub fn hear(&mut self, context: &mut Context<'_>, member: Member) {
        if member.id == self.own.id {
            return;
        }
        if let Some(other) = self.roster.at_address(member.address)
            && other.id != member.id
        {
            let other = other.id;
            self.remove(context, other);
        }
        self.learn(context, member, Spread::Whole);
    }

    pub(super) fn learn(&mut self, context: &mut Context<'_>, report: Member, spread: Spread) {
        if report.id == self.own.id {
            self.refute(context, report.freshness());
            return;
        }
        if report.address == self.own.address && report.state != MemberState::Gone {
            self.outlive(context, report);
            return;
        }
        let forget_at_us = self.forget_at_us(context);
        let (id, freshness) = (report.id, report.freshness());
        match self.roster.apply_report(report, forget_at_us) {
            ReportOutcome::Unchanged => self.note_known(id, freshness),
            ReportOutcome::AddressTaken(other) => self.queue.push(other),
            ReportOutcome::Gone => {
                self.changes += 1;
                self.note_gone(context, id, spread);
            }
            ReportOutcome::Changed { replaced } => {
                self.changes += 1;
                if let Some(replaced) = replaced {
                    self.note_gone(context, replaced, spread);
                }
                self.spread(context, id, spread);
                self.note_changed(context, id);
            }
        }
    }

    pub(super) fn note_changed(&mut self, context: &mut Context<'_>, id: MemberId) {
        if let Some(member) = self.roster.get(id) {
            context.publish(Notice::MemberChanged(member.clone()));
        }
    }

    /// News that a peer knew already is known by more members than were told.
    pub(super) fn note_known(&mut self, id: MemberId, freshness: (u32, MemberState)) {
        let known = self.roster.get(id).or_else(|| self.roster.gone(id));
        if known.is_some_and(|known| known.freshness() == freshness) {
            let times = self.tell_times();
            self.queue
                .add_sends(id, times.div_ceil(REPEATS_UNTIL_DROPPED));
        }
    }

    pub(super) fn note_gone(&mut self, context: &mut Context<'_>, id: MemberId, spread: Spread) {
        self.spread(context, id, spread);
        context.publish(Notice::MemberGone(id));
    }

    pub(super) fn remove(&mut self, context: &mut Context<'_>, id: MemberId) {
        let forget_at_us = self.forget_at_us(context);
        if let Some(member) = self.roster.mark_gone(id, forget_at_us) {
            self.note_gone(context, id, Spread::Whole);
            context.log(StateChange::new("member", "gone", describe(&member)));
        }
    }

    /// Takes in what rode on a message and returns the members that it was about.
    pub(super) fn absorb(&mut self, context: &mut Context<'_>, gossip: Gossip) -> Vec<MemberId> {
        let mut heard = Vec::new();
        for update in gossip.updates {
            heard.push(update.id());
            self.absorb_one(context, update, Spread::Whole);
        }
        heard
    }

    pub(super) fn absorb_one(&mut self, context: &mut Context<'_>, update: Update, spread: Spread) {
        match update {
            Update::Full(member) => self.learn(context, member, spread),
            Update::State {
                id,
                state,
                incarnation,
            } => self.learn_state(context, id, (incarnation, state), spread),
        }
    }

    pub(super) fn learn_state(
        &mut self,
        context: &mut Context<'_>,
        id: MemberId,
        freshness: (u32, MemberState),
        spread: Spread,
    ) {
        if id == self.own.id {
            self.refute(context, freshness);
            return;
        }
        let Some(known) = self.roster.get(id).or_else(|| self.roster.gone(id)) else {
            return;
        };
        let mut report = known.clone();
        (report.incarnation, report.state) = freshness;
        self.learn(context, report, spread);
    }

    pub(super) fn forget_at_us(&self, context: &Context<'_>) -> u64 {
        context.now_us() + u64::from(self.settings.gone_memory_ms) * 1_000
    }
}
