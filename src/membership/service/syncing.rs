//! Comparison of rosters between two daemons, which repairs what news did not reach.

use rand::RngExt;

use super::{
    MemberState, Membership, Message, OutboundRequest, Prober, Propagation, Timer, Update,
    latest_update,
};
use crate::ids::MemberId;
use crate::kernel::Context;
use crate::membership::IdRange;
use crate::sorted::SortedMap;

/// The greatest number of members in a part whose members are told one by one.
const MAX_LISTED_MEMBERS: u32 = 8;

/// The parts that are repaired in one comparison.
pub(super) const PARTS_PER_SYNC: u32 = 3;

/// The members of a part that show that two daemons differ in more than the latest news.
const MIN_DIFFERENCES_TO_CONTINUE: u64 = 2;

impl Membership {
    /// Compares what is known with one of the members that this daemon probes.
    pub(super) fn sync(&mut self, context: &mut Context<'_>) {
        let period_us = u64::from(self.settings.sync_period_ms) * 1_000;
        self.set_timer(context, period_us, Timer::Sync);
        self.compare_all(context, PARTS_PER_SYNC);
    }

    pub(super) fn compare_all(&mut self, context: &mut Context<'_>, parts_left: u32) {
        if parts_left == 0 || self.budget.available_bytes(context.now_us()) == 0 {
            return;
        }
        let fingers = Prober::fingers(&self.roster, self.own.id);
        if fingers.is_empty() {
            return;
        }
        let at = context.rng().random_range(0..fingers.len());
        let range = IdRange::ALL;
        let message = Message::Compare {
            range,
            hashes: self.part_hashes(range),
        };
        self.send_sync(context, fingers[at], message, parts_left);
    }

    /// Goes on while much differs: one member of a part may only be news on its way.
    fn continue_compare(&mut self, context: &mut Context<'_>, parts_left: u32, differing: u64) {
        match differing >= MIN_DIFFERENCES_TO_CONTINUE {
            true => self.compare_all(context, parts_left),
            false => self.compare_all(context, parts_left.saturating_sub(1)),
        }
    }

    fn part_hashes(&self, range: IdRange) -> Vec<u32> {
        self.roster
            .part_digests(range)
            .map(|part| part.hash)
            .to_vec()
    }

    fn send_sync(
        &mut self,
        context: &mut Context<'_>,
        to: MemberId,
        message: Message,
        parts_left: u32,
    ) {
        let Some(address) = self.roster.get(to).map(|member| member.address) else {
            return;
        };
        self.send_request(
            context,
            address,
            message,
            OutboundRequest::Sync { to, parts_left },
        );
    }

    /// Goes one step further into a part of the range that the other side knows otherwise.
    pub(super) fn compare_range(
        &mut self,
        context: &mut Context<'_>,
        range: IdRange,
        hashes: &[u32],
    ) -> Message {
        if !range.has_parts() || self.budget.available_bytes(context.now_us()) == 0 {
            return Message::InSync;
        }
        let parts = self.roster.part_digests(range);
        let mut differing = Vec::new();
        for (at, part) in parts.iter().enumerate() {
            if hashes.get(at).is_some_and(|hash| *hash != part.hash) {
                differing.push(at);
            }
        }
        if differing.is_empty() {
            return Message::InSync;
        }
        let at = differing[context.rng().random_range(0..differing.len())];
        let part = range.part(at);
        if parts[at].members > MAX_LISTED_MEMBERS && part.has_parts() {
            return Message::Compare {
                range: part,
                hashes: self.part_hashes(part),
            };
        }
        let mut updates = Vec::new();
        for member in self.roster.in_range(part) {
            updates.push(Update::Full(member.clone()));
        }
        Message::RangeContents {
            range: part,
            updates,
        }
    }

    /// Takes in what the other side knows of a range and returns what it does not know.
    pub(super) fn merge_range(
        &mut self,
        context: &mut Context<'_>,
        range: IdRange,
        updates: Vec<Update>,
    ) -> Vec<Update> {
        let mut theirs = SortedMap::default();
        for update in updates {
            theirs.insert(update.id(), update.freshness());
            self.apply_update(context, update, Propagation::Limited);
        }
        let mut missed = Vec::new();
        for (id, freshness) in theirs.iter() {
            let Some(gone) = self.roster.gone(*id) else {
                continue;
            };
            if freshness.1 != MemberState::Gone && freshness.0 <= gone.incarnation {
                missed.extend(latest_update(&self.roster, *id));
            }
        }
        let mut bytes = 0;
        for member in self.roster.in_range(range) {
            let is_known = theirs
                .get(&member.id)
                .is_some_and(|freshness| *freshness >= member.freshness());
            if is_known {
                continue;
            }
            let update = Update::Full(member.clone());
            bytes += update.bytes();
            if bytes > self.settings.updates_max_bytes as usize {
                break;
            }
            missed.push(update);
        }
        missed
    }

    pub(super) fn handle_sync_response(
        &mut self,
        context: &mut Context<'_>,
        to: MemberId,
        message: Message,
        parts_left: u32,
    ) {
        match message {
            Message::Compare { range, hashes } => {
                let next = self.compare_range(context, range, &hashes);
                if next != Message::InSync {
                    self.send_sync(context, to, next, parts_left);
                }
            }
            Message::RangeContents { range, updates } => {
                let before = self.change_count;
                let updates = self.merge_range(context, range, updates);
                let differing = updates.len() as u64 + self.change_count - before;
                if !updates.is_empty() {
                    self.send_sync(context, to, Message::MissingUpdates { updates }, 0);
                }
                self.continue_compare(context, parts_left, differing);
            }
            Message::MissingUpdates { updates } => {
                let before = self.change_count;
                self.apply_missing(context, updates);
                self.continue_compare(context, parts_left, self.change_count - before);
            }
            _ => {}
        }
    }

    pub(super) fn apply_missing(&mut self, context: &mut Context<'_>, updates: Vec<Update>) {
        for update in updates {
            self.apply_update(context, update, Propagation::Limited);
        }
    }
}
