//! Anti-entropy: compares the rosters of two daemons and delivers the updates that gossip did not
//! deliver.
//!
//! The two daemons exchange hashes of ever smaller ranges of ids, and then the members of one
//! range.

use rand::RngExt;

use super::{
    MemberState, Membership, Message, Prober, Propagation, RequestPurpose, Timer, Update,
    latest_update,
};
use crate::ids::MemberId;
use crate::kernel::Context;
use crate::membership::IdRange;
use crate::sorted::SortedMap;

/// The maximum number of members in a part that is sent as a list instead of hashes.
const MAX_LISTED_MEMBERS: u32 = 8;

/// A sync ends at the latest after this many parts of the id range that had fewer than
/// [`LARGE_DIFFERENCE_MEMBERS`] differing members.
pub(super) const SMALL_DIFFERENCES_PER_SYNC: u32 = 3;

/// The number of differing members in a part from which on the difference is not explained by
/// recent updates alone.
const LARGE_DIFFERENCE_MEMBERS: u64 = 2;

impl Membership {
    /// Compares the roster with that of one of the members that this daemon probes.
    pub(super) fn sync(&mut self, context: &mut Context<'_>) {
        let period_us = u64::from(self.settings.sync_period_ms) * 1_000;
        self.set_timer(context, period_us, Timer::Sync);
        self.start_comparison(context, SMALL_DIFFERENCES_PER_SYNC);
    }

    /// Starts a comparison of the whole roster with a random one of the members that this daemon
    /// probes, unless the sync has ended or no bytes are available.
    pub(super) fn start_comparison(
        &mut self,
        context: &mut Context<'_>,
        small_differences_left: u32,
    ) {
        if small_differences_left == 0 || self.budget.available_bytes(context.now_us()) == 0 {
            return;
        }
        let fingers = Prober::fingers(&self.roster, self.own.id);
        if fingers.is_empty() {
            return;
        }
        let index = context.rng().random_range(0..fingers.len());
        let range = IdRange::ALL;
        let message = Message::Compare {
            range,
            hashes: self.part_hashes(range),
        };
        self.send_sync(context, fingers[index], message, small_differences_left);
    }

    /// Starts another comparison after one that ended with a part of the id range.
    ///
    /// The part counts towards the end of the sync only if fewer than [`LARGE_DIFFERENCE_MEMBERS`]
    /// of its members differed: a single difference may be a recent update that is still being
    /// propagated.
    fn continue_sync(
        &mut self,
        context: &mut Context<'_>,
        small_differences_left: u32,
        differing_members: u64,
    ) {
        match differing_members >= LARGE_DIFFERENCE_MEMBERS {
            true => self.start_comparison(context, small_differences_left),
            false => self.start_comparison(context, small_differences_left.saturating_sub(1)),
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
        peer: MemberId,
        message: Message,
        small_differences_left: u32,
    ) {
        let Some(address) = self.roster.get(peer).map(|member| member.address) else {
            return;
        };
        self.send_request(
            context,
            address,
            message,
            RequestPurpose::Sync {
                peer,
                small_differences_left,
            },
        );
    }

    /// Selects a random part of the range for which the own hash differs from the peer's.
    ///
    /// Returns the hashes of that part's own parts, or its members if they are few. Returns
    /// [`Message::InSync`] if no part differs, the range cannot be divided or no bytes are
    /// available.
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
        for (index, part) in parts.iter().enumerate() {
            if hashes.get(index).is_some_and(|hash| *hash != part.hash) {
                differing.push(index);
            }
        }
        if differing.is_empty() {
            return Message::InSync;
        }
        let index = differing[context.rng().random_range(0..differing.len())];
        let part = range.part(index);
        if parts[index].members > MAX_LISTED_MEMBERS && part.has_parts() {
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

    /// Applies the peer's members of a range and returns updates that the peer is missing: all
    /// reports that a member is gone, and the records of other members up to `updates_max_bytes`.
    pub(super) fn merge_range(
        &mut self,
        context: &mut Context<'_>,
        range: IdRange,
        updates: Vec<Update>,
    ) -> Vec<Update> {
        let mut peer_freshness = SortedMap::default();
        for update in updates {
            peer_freshness.insert(update.id(), update.freshness());
            self.apply_update(context, update, Propagation::Limited);
        }
        let mut missing = Vec::new();
        for (id, freshness) in peer_freshness.iter() {
            let Some(gone) = self.roster.gone(*id) else {
                continue;
            };
            if freshness.1 != MemberState::Gone && freshness.0 <= gone.incarnation {
                missing.extend(latest_update(&self.roster, *id));
            }
        }
        let mut bytes = 0;
        for member in self.roster.in_range(range) {
            let is_up_to_date = peer_freshness
                .get(&member.id)
                .is_some_and(|freshness| *freshness >= member.freshness());
            if is_up_to_date {
                continue;
            }
            let update = Update::Full(member.clone());
            bytes += update.bytes();
            if bytes > self.settings.updates_max_bytes as usize {
                break;
            }
            missing.push(update);
        }
        missing
    }

    pub(super) fn handle_sync_response(
        &mut self,
        context: &mut Context<'_>,
        peer: MemberId,
        message: Message,
        small_differences_left: u32,
    ) {
        match message {
            Message::Compare { range, hashes } => {
                let next = self.compare_range(context, range, &hashes);
                if next != Message::InSync {
                    self.send_sync(context, peer, next, small_differences_left);
                }
            }
            Message::RangeContents { range, updates } => {
                let count_before = self.applied_report_count;
                let updates = self.merge_range(context, range, updates);
                let differing_members =
                    updates.len() as u64 + self.applied_report_count - count_before;
                if !updates.is_empty() {
                    self.send_sync(context, peer, Message::MissingUpdates { updates }, 0);
                }
                self.continue_sync(context, small_differences_left, differing_members);
            }
            Message::MissingUpdates { updates } => {
                let count_before = self.applied_report_count;
                self.apply_missing(context, updates);
                self.continue_sync(
                    context,
                    small_differences_left,
                    self.applied_report_count - count_before,
                );
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
