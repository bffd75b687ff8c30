//! The claims that wait for the platform's table, and those that it is asked for.

use std::collections::VecDeque;

use super::run::RunSlot;
use crate::ids::OutboundKey;
use crate::sorted::SortedMap;

/// What the table is asked to do with the rows of claims.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RowChange {
    /// Insert them.
    Insert,
    /// Delete them.
    Release,
}

/// Claims that go to the table in one request.
#[derive(Clone, Debug)]
pub(super) struct Batch {
    pub(super) change: RowChange,
    pub(super) slots: Vec<RunSlot>,
}

/// The claims on their way to the table.
#[derive(Debug, Default)]
pub(super) struct ClaimQueue {
    inserts: VecDeque<RunSlot>,
    /// Inserts that are sent again by themselves, so that no other claim's conflict fails them.
    again: VecDeque<Vec<RunSlot>>,
    releases: VecDeque<RunSlot>,
    /// Refused claims whose insert may have taken effect.
    doubted: Vec<RunSlot>,
    asked: SortedMap<OutboundKey, Batch>,
    /// The time until which the table counts as down.
    pub(super) down_until_us: u64,
}

impl ClaimQueue {
    /// Adds a claim whose row is to be inserted.
    pub(super) fn push_insert(&mut self, slot: RunSlot) {
        self.inserts.push_back(slot);
    }

    /// Adds claims whose inserts are to be sent again, before the others.
    pub(super) fn push_again(&mut self, slots: Vec<RunSlot>) {
        if !slots.is_empty() {
            self.again.push_back(slots);
        }
    }

    /// Adds a claim whose row is to be deleted.
    pub(super) fn push_release(&mut self, slot: RunSlot) {
        self.releases.push_back(slot);
    }

    /// Adds a refused claim whose insert may have taken effect.
    pub(super) fn push_doubted(&mut self, slot: RunSlot) {
        self.doubted.push(slot);
    }

    /// Takes the claims for the next request: inserts first, the rest only while the table is up.
    ///
    /// A doubted claim is inserted once more, so that its row is known and can be released.
    pub(super) fn next_batch(&mut self, now_us: u64, batch_max: usize) -> Option<Batch> {
        if now_us >= self.down_until_us {
            self.inserts.extend(self.doubted.drain(..));
        }
        if let Some(slots) = self.again.pop_front() {
            let change = RowChange::Insert;
            return Some(Batch { change, slots });
        }
        let (change, queue) = if !self.inserts.is_empty() {
            (RowChange::Insert, &mut self.inserts)
        } else if !self.releases.is_empty() && now_us >= self.down_until_us {
            (RowChange::Release, &mut self.releases)
        } else {
            return None;
        };
        let count = batch_max.min(queue.len());
        let slots = queue.drain(..count).collect();
        Some(Batch { change, slots })
    }

    /// Takes the claims that wait to be inserted while the table counts as down.
    pub(super) fn take_refused(&mut self, now_us: u64) -> Vec<RunSlot> {
        if now_us >= self.down_until_us {
            return Vec::new();
        }
        self.inserts.drain(..).collect()
    }

    /// Notes that the table is asked for some claims.
    pub(super) fn note_asked(&mut self, ask: OutboundKey, batch: Batch) {
        self.asked.insert(ask, batch);
    }

    /// Takes the claims of an answer.
    pub(super) fn take_asked(&mut self, ask: OutboundKey) -> Option<Batch> {
        self.asked.remove(&ask)
    }

    /// Returns the number of requests that the table has not answered.
    pub(super) fn requests(&self) -> usize {
        self.asked.len()
    }

    /// Returns the number of claims that wait to be inserted.
    pub(super) fn inserts(&self) -> usize {
        self.inserts.len()
    }

    /// Says whether nothing waits and nothing is asked.
    pub(super) fn is_empty(&self) -> bool {
        let has_inserts = !self.inserts.is_empty() || !self.again.is_empty();
        let has_releases = !self.releases.is_empty() || !self.doubted.is_empty();
        !has_inserts && !has_releases && self.asked.is_empty()
    }
}
