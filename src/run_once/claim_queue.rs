//! The queue of claim rows to insert into or delete from the platform's table, and the requests in
//! flight to it.

use std::collections::VecDeque;

use super::run::RunHandle;
use crate::ids::OutboundKey;
use crate::sorted::SortedMap;

/// The change that a table request makes to claim rows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RowChange {
    /// Inserts the rows.
    Insert,
    /// Deletes the rows, so that the requests may run on any daemon.
    Release,
}

/// The claims of one table request.
#[derive(Clone, Debug)]
pub(super) struct ClaimBatch {
    pub(super) change: RowChange,
    pub(super) handles: Vec<RunHandle>,
}

/// The claims whose rows are to be changed or are being changed in the table.
#[derive(Debug, Default)]
pub(super) struct ClaimQueue {
    inserts: VecDeque<RunHandle>,
    /// Inserts to retry, in batches apart from new claims, so that the conflict of another claim
    /// doesn't fail them again.
    retried_inserts: VecDeque<Vec<RunHandle>>,
    releases: VecDeque<RunHandle>,
    /// Refused claims whose insert may have taken effect nevertheless.
    possibly_inserted: Vec<RunHandle>,
    in_flight: SortedMap<OutboundKey, ClaimBatch>,
    /// The time until which the table is considered down.
    pub(super) table_down_until_us: u64,
}

impl ClaimQueue {
    /// Adds a claim whose row is to be inserted.
    pub(super) fn push_insert(&mut self, handle: RunHandle) {
        self.inserts.push_back(handle);
    }

    /// Adds a batch of inserts to retry, ahead of new inserts.
    pub(super) fn push_retried(&mut self, handles: Vec<RunHandle>) {
        if !handles.is_empty() {
            self.retried_inserts.push_back(handles);
        }
    }

    /// Adds a claim whose row is to be deleted.
    pub(super) fn push_release(&mut self, handle: RunHandle) {
        self.releases.push_back(handle);
    }

    /// Adds a refused claim whose insert may have taken effect nevertheless.
    pub(super) fn push_possibly_inserted(&mut self, handle: RunHandle) {
        self.possibly_inserted.push(handle);
    }

    /// Removes and returns the claims for the next table request.
    ///
    /// Inserts go first, and retried ones are sent even while the table is considered down.
    /// Releases and refused claims whose insert may have taken effect wait until it is not. Such a
    /// claim is inserted once more, to learn the version of its row, which the release needs.
    pub(super) fn next_batch(&mut self, now_us: u64, batch_max: usize) -> Option<ClaimBatch> {
        if now_us >= self.table_down_until_us {
            self.inserts.extend(self.possibly_inserted.drain(..));
        }
        if let Some(handles) = self.retried_inserts.pop_front() {
            let change = RowChange::Insert;
            return Some(ClaimBatch { change, handles });
        }
        let (change, queue) = if !self.inserts.is_empty() {
            (RowChange::Insert, &mut self.inserts)
        } else if !self.releases.is_empty() && now_us >= self.table_down_until_us {
            (RowChange::Release, &mut self.releases)
        } else {
            return None;
        };
        let count = batch_max.min(queue.len());
        let handles = queue.drain(..count).collect();
        Some(ClaimBatch { change, handles })
    }

    /// Removes and returns the queued inserts, except those to retry, if the table is considered
    /// down.
    pub(super) fn take_inserts_while_down(&mut self, now_us: u64) -> Vec<RunHandle> {
        if now_us >= self.table_down_until_us {
            return Vec::new();
        }
        self.inserts.drain(..).collect()
    }

    /// Records a request in flight to the table.
    pub(super) fn record_request(&mut self, outbound_key: OutboundKey, batch: ClaimBatch) {
        self.in_flight.insert(outbound_key, batch);
    }

    /// Removes and returns the claims of a request in flight.
    pub(super) fn take_in_flight(&mut self, outbound_key: OutboundKey) -> Option<ClaimBatch> {
        self.in_flight.remove(&outbound_key)
    }

    /// Returns the number of requests in flight to the table.
    pub(super) fn in_flight_count(&self) -> usize {
        self.in_flight.len()
    }

    /// Returns the number of queued inserts, without those to retry.
    pub(super) fn insert_count(&self) -> usize {
        self.inserts.len()
    }

    /// Returns whether no claim is queued and no request is in flight.
    pub(super) fn is_empty(&self) -> bool {
        let has_inserts = !self.inserts.is_empty() || !self.retried_inserts.is_empty();
        let has_releases = !self.releases.is_empty() || !self.possibly_inserted.is_empty();
        !has_inserts && !has_releases && self.in_flight.is_empty()
    }
}
