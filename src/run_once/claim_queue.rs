//! The claims that wait for the platform's table, and those that it is asked for.

use std::collections::VecDeque;

use super::run::RunSlot;
use crate::ids::AskKey;
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
pub(super) struct ClaimBatch {
    pub(super) change: RowChange,
    pub(super) slots: Vec<RunSlot>,
}

/// The claims on their way to the table.
#[derive(Debug, Default)]
pub(super) struct ClaimQueue {
    inserts: VecDeque<RunSlot>,
    /// Inserts that are sent again by themselves, so that no other claim's conflict fails them.
    retried_inserts: VecDeque<Vec<RunSlot>>,
    releases: VecDeque<RunSlot>,
    /// Refused claims whose insert may have taken effect.
    in_doubt: Vec<RunSlot>,
    in_flight: SortedMap<AskKey, ClaimBatch>,
    /// The time until which the table counts as down.
    pub(super) table_down_until_us: u64,
}

impl ClaimQueue {
    /// Adds a claim whose row is to be inserted.
    pub(super) fn push_insert(&mut self, slot: RunSlot) {
        self.inserts.push_back(slot);
    }

    /// Adds claims whose inserts are to be sent again, before the others.
    pub(super) fn push_retried(&mut self, slots: Vec<RunSlot>) {
        if !slots.is_empty() {
            self.retried_inserts.push_back(slots);
        }
    }

    /// Adds a claim whose row is to be deleted.
    pub(super) fn push_release(&mut self, slot: RunSlot) {
        self.releases.push_back(slot);
    }

    /// Adds a refused claim whose insert may have taken effect.
    pub(super) fn push_in_doubt(&mut self, slot: RunSlot) {
        self.in_doubt.push(slot);
    }

    /// Takes the claims for the next request: inserts first, the rest only while the table is up.
    ///
    /// A doubted claim is inserted once more, so that its row is known and can be released.
    pub(super) fn next_batch(&mut self, now_us: u64, batch_max: usize) -> Option<ClaimBatch> {
        if now_us >= self.table_down_until_us {
            self.inserts.extend(self.in_doubt.drain(..));
        }
        if let Some(slots) = self.retried_inserts.pop_front() {
            let change = RowChange::Insert;
            return Some(ClaimBatch { change, slots });
        }
        let (change, queue) = if !self.inserts.is_empty() {
            (RowChange::Insert, &mut self.inserts)
        } else if !self.releases.is_empty() && now_us >= self.table_down_until_us {
            (RowChange::Release, &mut self.releases)
        } else {
            return None;
        };
        let count = batch_max.min(queue.len());
        let slots = queue.drain(..count).collect();
        Some(ClaimBatch { change, slots })
    }

    /// Takes the claims that wait to be inserted while the table counts as down.
    pub(super) fn take_inserts_while_down(&mut self, now_us: u64) -> Vec<RunSlot> {
        if now_us >= self.table_down_until_us {
            return Vec::new();
        }
        self.inserts.drain(..).collect()
    }

    /// Notes that the table is asked for some claims.
    pub(super) fn record_request(&mut self, ask: AskKey, batch: ClaimBatch) {
        self.in_flight.insert(ask, batch);
    }

    /// Takes the claims of an answer.
    pub(super) fn take_in_flight(&mut self, ask: AskKey) -> Option<ClaimBatch> {
        self.in_flight.remove(&ask)
    }

    /// Returns the number of requests that the table has not answered.
    pub(super) fn in_flight_count(&self) -> usize {
        self.in_flight.len()
    }

    /// Returns the number of claims that wait to be inserted.
    pub(super) fn insert_count(&self) -> usize {
        self.inserts.len()
    }

    /// Says whether nothing waits and nothing is asked.
    pub(super) fn is_empty(&self) -> bool {
        let has_inserts = !self.inserts.is_empty() || !self.retried_inserts.is_empty();
        let has_releases = !self.releases.is_empty() || !self.in_doubt.is_empty();
        !has_inserts && !has_releases && self.in_flight.is_empty()
    }
}
