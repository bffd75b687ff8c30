//! The queue of calls that wait for a slot, served by descending rank and, within a rank, in order
//! of arrival.

use std::cmp::Reverse;

use crate::ids::{CallKey, WorkKind};
use crate::request::Rank;

/// A call that waits for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct QueuedCall {
    pub(super) rank: Rank,
    pub(super) sequence: u64,
    pub(super) call: CallKey,
    pub(super) deadline_us: u64,
    pub(super) queued_us: u64,
    pub(super) kind: WorkKind,
}

impl QueuedCall {
    fn order_key(&self) -> (Rank, Reverse<u64>) {
        (self.rank, Reverse(self.sequence))
    }
}

/// Queued calls in ascending order of rank and, within a rank, from the newest to the oldest; the
/// last one is served first.
#[derive(Default)]
pub(super) struct Queue {
    calls: Vec<QueuedCall>,
}

impl Queue {
    pub(super) fn len(&self) -> u32 {
        u32::try_from(self.calls.len()).unwrap_or(u32::MAX)
    }

    pub(super) fn push(&mut self, call: QueuedCall) {
        let index = self
            .calls
            .partition_point(|other| other.order_key() < call.order_key());
        self.calls.insert(index, call);
    }

    /// Returns the call that is served first.
    pub(super) fn first(&self) -> Option<&QueuedCall> {
        self.calls.last()
    }

    pub(super) fn pop_first(&mut self) -> Option<QueuedCall> {
        self.calls.pop()
    }

    /// Returns the call that is evicted first.
    pub(super) fn lowest(&self) -> Option<&QueuedCall> {
        self.calls.first()
    }

    /// Removes calls until at most `len` are left: the lowest ranks first and, within a rank, the
    /// newest calls first.
    pub(super) fn shrink_to(&mut self, len: u32) -> Vec<QueuedCall> {
        let surplus = self.calls.len().saturating_sub(len as usize);
        self.calls.drain(..surplus).collect()
    }

    /// Returns the number of queued calls that are served before a new call of the given rank.
    pub(super) fn count_ahead_of(&self, rank: Rank) -> u32 {
        let behind = self.calls.partition_point(|other| other.rank < rank);
        u32::try_from(self.calls.len() - behind).unwrap_or(u32::MAX)
    }

    /// Returns whether a queued call is served before a new call of the given rank, because its
    /// rank is equal or higher.
    pub(super) fn has_call_ahead_of(&self, rank: Rank) -> bool {
        self.first().is_some_and(|first| first.rank >= rank)
    }

    /// Removes a call; returns whether it was queued.
    pub(super) fn remove(&mut self, call: CallKey) -> bool {
        let Some(index) = self.calls.iter().position(|other| other.call == call) else {
            return false;
        };
        self.calls.remove(index);
        true
    }

    /// Removes the calls whose latest start time has been reached.
    pub(super) fn remove_late(
        &mut self,
        now_us: u64,
        latest_start_us: impl Fn(&QueuedCall) -> u64,
    ) -> Vec<QueuedCall> {
        let mut late = Vec::new();
        self.calls.retain(|call| {
            let is_late = latest_start_us(call) <= now_us;
            if is_late {
                late.push(*call);
            }
            !is_late
        });
        late
    }

    /// Returns the earliest of the latest start times of all queued calls.
    pub(super) fn min_latest_start_us(
        &self,
        latest_start_us: impl Fn(&QueuedCall) -> u64,
    ) -> Option<u64> {
        self.calls.iter().map(latest_start_us).min()
    }
}
