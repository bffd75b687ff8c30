//! Comparison of rosters between two daemons, which repairs what news did not reach.

use rand::RngExt;

use super::{Ask, MemberState, Membership, Message, Prober, Spread, Tag, Update, news_of};
use crate::ids::MemberId;
use crate::kernel::Context;
use crate::membership::IdRange;
use crate::sorted::SortedMap;

/// The greatest number of members in a part whose members are told one by one.
const WHOLE_PART_MEMBERS: u32 = 8;

/// The parts that are repaired in one comparison.
pub(super) const PARTS_PER_SYNC: u32 = 3;

/// The members of a part that show that two daemons differ in more than the latest news.
const MUCH_OF_A_PART: u64 = 2;

impl Membership {
    /// Compares what is known with one of the members that this daemon probes.
    pub(super) fn sync(&mut self, context: &mut Context<'_>) {
        let period_us = u64::from(self.settings.sync_period_ms) * 1_000;
        self.timer(context, period_us, Tag::Sync);
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
            hashes: self.hashes(range),
        };
        self.ask_sync(context, fingers[at], message, parts_left);
    }

    /// Goes on while much differs: one member of a part may only be news on its way.
    fn compare_more(&mut self, context: &mut Context<'_>, parts_left: u32, differing: u64) {
        match differing >= MUCH_OF_A_PART {
            true => self.compare_all(context, parts_left),
            false => self.compare_all(context, parts_left.saturating_sub(1)),
        }
    }

    fn hashes(&self, range: IdRange) -> Vec<u32> {
        self.roster
            .part_digests(range)
            .map(|part| part.hash)
            .to_vec()
    }

    fn ask_sync(
        &mut self,
        context: &mut Context<'_>,
        to: MemberId,
        message: Message,
        parts_left: u32,
    ) {
        let Some(address) = self.roster.get(to).map(|member| member.address) else {
            return;
        };
        self.ask(context, address, message, Ask::Sync { to, parts_left });
    }

    /// Goes one step further into a part of the range that the other side knows otherwise.
    pub(super) fn compare(
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
        if parts[at].members > WHOLE_PART_MEMBERS && part.has_parts() {
            return Message::Compare {
                range: part,
                hashes: self.hashes(part),
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
    pub(super) fn repair(
        &mut self,
        context: &mut Context<'_>,
        range: IdRange,
        updates: Vec<Update>,
    ) -> Vec<Update> {
        let mut theirs = SortedMap::default();
        for update in updates {
            theirs.insert(update.id(), update.freshness());
            self.absorb_one(context, update, Spread::Little);
        }
        let mut missed = Vec::new();
        for (id, freshness) in theirs.iter() {
            let Some(gone) = self.roster.gone(*id) else {
                continue;
            };
            if freshness.1 != MemberState::Gone && freshness.0 <= gone.incarnation {
                missed.extend(news_of(&self.roster, *id));
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

    pub(super) fn synced(
        &mut self,
        context: &mut Context<'_>,
        to: MemberId,
        message: Message,
        parts_left: u32,
    ) {
        match message {
            Message::Compare { range, hashes } => {
                let next = self.compare(context, range, &hashes);
                if next != Message::InSync {
                    self.ask_sync(context, to, next, parts_left);
                }
            }
            Message::RangeContents { range, updates } => {
                let before = self.changes;
                let updates = self.repair(context, range, updates);
                let differing = updates.len() as u64 + self.changes - before;
                if !updates.is_empty() {
                    self.ask_sync(context, to, Message::MissingUpdates { updates }, 0);
                }
                self.compare_more(context, parts_left, differing);
            }
            Message::MissingUpdates { updates } => {
                let before = self.changes;
                self.learn_missed(context, updates);
                self.compare_more(context, parts_left, self.changes - before);
            }
            _ => {}
        }
    }

    pub(super) fn learn_missed(&mut self, context: &mut Context<'_>, updates: Vec<Update>) {
        for update in updates {
            self.absorb_one(context, update, Spread::Little);
        }
    }
}
