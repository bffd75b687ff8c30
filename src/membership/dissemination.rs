//! The updates still to be sent to other members, and the byte budget for membership messages.

use std::collections::VecDeque;

use crate::ids::MemberId;
use crate::sorted::SortedMap;

/// The ids of the members about which an update is to be sent, least often sent first.
#[derive(Default)]
pub struct UpdateQueue {
    /// Ids by how often the update about that member was sent, oldest first; some entries are
    /// outdated.
    by_sends: Vec<VecDeque<MemberId>>,
    /// How often the update about each member was sent.
    sends: SortedMap<MemberId, usize>,
}

impl UpdateQueue {
    /// Adds an update about a member, in place of any older one.
    pub fn push(&mut self, id: MemberId) {
        if self.sends.insert(id, 0) != Some(0) {
            self.bucket(0).push_back(id);
        }
    }

    /// Adds an update that counts as sent `sends` times, unless an update about the member is
    /// already queued.
    pub fn push_with_sends(&mut self, id: MemberId, sends: usize) {
        if !self.sends.contains_key(&id) {
            self.sends.insert(id, sends);
            self.bucket(sends).push_back(id);
        }
    }

    /// Counts an update as sent `count` more times, because a duplicate of it was received.
    pub fn add_sends(&mut self, id: MemberId, count: usize) {
        if let Some(sends) = self.sends.get_mut(&id) {
            *sends += count;
            let sends = *sends;
            self.bucket(sends).push_back(id);
        }
    }

    /// Returns the number of queued updates.
    pub fn len(&self) -> usize {
        self.sends.len()
    }

    /// Returns whether no update is queued.
    pub fn is_empty(&self) -> bool {
        self.sends.is_empty()
    }

    /// Returns whether a queued update was sent fewer than `max_sends` times.
    pub fn has_updates_below(&mut self, max_sends: usize) -> bool {
        for sends in 0..self.by_sends.len().min(max_sends) {
            while let Some(id) = self.by_sends[sends].front() {
                if self.sends.get(id) == Some(&sends) {
                    return true;
                }
                self.by_sends[sends].pop_front();
            }
        }
        false
    }

    /// Calls `offer` for each queued update, least often sent first, to fill a message.
    ///
    /// Stops when `offer` returns [`Selection::Full`]. Updates that were already sent `max_sends`
    /// times are dropped.
    pub fn select(&mut self, max_sends: usize, mut offer: impl FnMut(MemberId) -> Selection) {
        let mut kept = Vec::new();
        let mut is_full = false;
        for sends in 0..self.by_sends.len() {
            while !is_full && let Some(id) = self.by_sends[sends].pop_front() {
                if self.sends.get(&id) != Some(&sends) {
                    continue;
                }
                if sends >= max_sends {
                    self.sends.remove(&id);
                    continue;
                }
                match offer(id) {
                    Selection::Included => kept.push((id, sends + 1)),
                    Selection::Deferred => kept.push((id, sends)),
                    Selection::Full => {
                        self.by_sends[sends].push_front(id);
                        is_full = true;
                    }
                }
            }
        }
        for (id, sends) in kept {
            self.sends.insert(id, sends);
            self.bucket(sends).push_back(id);
        }
    }

    fn bucket(&mut self, sends: usize) -> &mut VecDeque<MemberId> {
        if self.by_sends.len() <= sends {
            self.by_sends.resize_with(sends + 1, VecDeque::new);
        }
        &mut self.by_sends[sends]
    }
}

/// Whether an update offered for a message goes into it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Selection {
    /// The update is counted as sent: the message includes it, or nothing is left to send.
    Included,
    /// The update waits for another message.
    Deferred,
    /// The message has no room for the update.
    Full,
}

/// The bytes of the budget that updates may not use, so that roster comparisons can be sent.
const SYNC_RESERVE_BYTES: u32 = 4_096;

/// The bytes of the budget that [`ByteBudget::available_bytes`] leaves out, so that short
/// responses, such as those to probes, can be sent.
const RESPONSE_RESERVE_BYTES: u32 = 2_048;

/// A token bucket of bytes, which refills at a constant rate up to a burst size.
#[derive(Clone, Debug)]
pub struct ByteBudget {
    bytes_per_s: f64,
    burst_bytes: f64,
    reserve_bytes: f64,
    balance_bytes: f64,
    refilled_at_us: u64,
}

impl ByteBudget {
    /// Creates a budget that starts full.
    pub fn new(bytes_per_s: u32, burst_bytes: u32) -> Self {
        Self {
            bytes_per_s: f64::from(bytes_per_s),
            burst_bytes: f64::from(burst_bytes),
            reserve_bytes: f64::from(RESPONSE_RESERVE_BYTES.min(burst_bytes / 4)),
            balance_bytes: f64::from(burst_bytes),
            refilled_at_us: 0,
        }
    }

    /// Returns the bytes that may be spent now without using the reserve for short responses.
    pub fn available_bytes(&mut self, now_us: u64) -> usize {
        self.refill(now_us);
        (self.balance_bytes - self.reserve_bytes).max(0.0) as usize
    }

    fn refill(&mut self, now_us: u64) {
        let elapsed_s = now_us.saturating_sub(self.refilled_at_us) as f64 / 1e6;
        self.refilled_at_us = now_us.max(self.refilled_at_us);
        self.balance_bytes =
            (self.balance_bytes + elapsed_s * self.bytes_per_s).min(self.burst_bytes);
    }

    /// Returns the bytes that may be used for updates now.
    ///
    /// Some bytes are left for roster comparisons, which deliver the updates that got lost.
    pub fn available_update_bytes(&mut self, now_us: u64) -> usize {
        let available_bytes = self.available_bytes(now_us) as f64;
        let sync_reserve_bytes = f64::from(SYNC_RESERVE_BYTES).min(self.burst_bytes / 8.0);
        (available_bytes - sync_reserve_bytes).max(0.0) as usize
    }

    /// Returns the bytes above half of the burst size, for work that other members can do as well
    /// or that can wait.
    pub fn surplus_bytes(&mut self, now_us: u64) -> usize {
        self.refill(now_us);
        (self.balance_bytes - self.burst_bytes / 2.0).max(0.0) as usize
    }

    /// Spends bytes, which may include the reserve; returns false if there are too few.
    pub fn try_spend(&mut self, now_us: u64, bytes: usize) -> bool {
        self.refill(now_us);
        let is_enough = self.balance_bytes >= bytes as f64;
        if is_enough {
            self.balance_bytes -= bytes as f64;
        }
        is_enough
    }
}
