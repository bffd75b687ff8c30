//! What is still to be told to others, and the bytes that this may take.

use std::collections::VecDeque;

use crate::ids::MemberId;
use crate::sorted::SortedMap;

/// Members with news, those told least often first.
#[derive(Default)]
pub struct UpdateQueue {
    /// The members told so many times, in the order of their news; some entries are outdated.
    rounds: Vec<VecDeque<MemberId>>,
    told: SortedMap<MemberId, usize>,
}

impl UpdateQueue {
    /// Adds news of a member, in place of older news of it.
    pub fn push(&mut self, id: MemberId) {
        if self.told.insert(id, 0) != Some(0) {
            self.round(0).push_back(id);
        }
    }

    /// Adds news of a member that was told so many times already; newer news stays.
    pub fn push_with_sends(&mut self, id: MemberId, told: usize) {
        if !self.told.contains_key(&id) {
            self.told.insert(id, told);
            self.round(told).push_back(id);
        }
    }

    /// Notes that another member knew the news already: it counts as told so many times more.
    pub fn add_sends(&mut self, id: MemberId, by: usize) {
        if let Some(told) = self.told.get_mut(&id) {
            *told += by;
            let told = *told;
            self.round(told).push_back(id);
        }
    }

    /// Returns the number of members with news.
    pub fn len(&self) -> usize {
        self.told.len()
    }

    /// Says whether there is no news.
    pub fn is_empty(&self) -> bool {
        self.told.is_empty()
    }

    /// Says whether there is news that was told less often than so many times.
    pub fn has_updates_below(&mut self, times: usize) -> bool {
        for at in 0..self.rounds.len().min(times) {
            while let Some(id) = self.rounds[at].front() {
                if self.told.get(id) == Some(&at) {
                    return true;
                }
                self.rounds[at].pop_front();
            }
        }
        false
    }

    /// Offers members with news to `take`, those told least often first, until there is no room.
    ///
    /// News that was told so many `times` is dropped.
    pub fn select(&mut self, times: usize, mut take: impl FnMut(MemberId) -> Selection) {
        let mut kept = Vec::new();
        let mut is_full = false;
        for at in 0..self.rounds.len() {
            while !is_full && let Some(id) = self.rounds[at].pop_front() {
                if self.told.get(&id) != Some(&at) {
                    continue;
                }
                if at >= times {
                    self.told.remove(&id);
                    continue;
                }
                match take(id) {
                    Selection::Included => kept.push((id, at + 1)),
                    Selection::Deferred => kept.push((id, at)),
                    Selection::Full => {
                        self.rounds[at].push_front(id);
                        is_full = true;
                    }
                }
            }
        }
        for (id, told) in kept {
            self.told.insert(id, told);
            self.round(told).push_back(id);
        }
    }

    fn round(&mut self, at: usize) -> &mut VecDeque<MemberId> {
        if self.rounds.len() <= at {
            self.rounds.resize_with(at + 1, VecDeque::new);
        }
        &mut self.rounds[at]
    }
}

/// What became of news that was offered for a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Selection {
    /// It is told.
    Included,
    /// It waits for another message.
    Deferred,
    /// The message has no room for it.
    Full,
}

/// The bytes that news leaves for comparisons of rosters.
const COMPARISON_BYTES: u32 = 4_096;

/// The bytes that are kept for short answers, such as those to probes.
const KEPT_BYTES: u32 = 2_048;

/// The bytes that may be sent: saved up at a steady rate to a greatest amount.
#[derive(Clone, Debug)]
pub struct ByteBudget {
    bytes_per_s: f64,
    most_bytes: f64,
    kept_bytes: f64,
    left_bytes: f64,
    at_us: u64,
}

impl ByteBudget {
    /// Makes a budget that starts full.
    pub fn new(bytes_per_s: u32, most_bytes: u32) -> Self {
        Self {
            bytes_per_s: f64::from(bytes_per_s),
            most_bytes: f64::from(most_bytes),
            kept_bytes: f64::from(KEPT_BYTES.min(most_bytes / 4)),
            left_bytes: f64::from(most_bytes),
            at_us: 0,
        }
    }

    /// Returns the bytes that may be sent now beside short answers, for which some are kept.
    pub fn available_bytes(&mut self, now_us: u64) -> usize {
        self.save(now_us);
        (self.left_bytes - self.kept_bytes).max(0.0) as usize
    }

    fn save(&mut self, now_us: u64) {
        let passed_s = now_us.saturating_sub(self.at_us) as f64 / 1e6;
        self.at_us = now_us.max(self.at_us);
        self.left_bytes = (self.left_bytes + passed_s * self.bytes_per_s).min(self.most_bytes);
    }

    /// Returns the bytes that news may take: it leaves some for comparisons, which repair it.
    pub fn update_bytes(&mut self, now_us: u64) -> usize {
        let left_bytes = self.available_bytes(now_us) as f64;
        let comparison_bytes = f64::from(COMPARISON_BYTES).min(self.most_bytes / 8.0);
        (left_bytes - comparison_bytes).max(0.0) as usize
    }

    /// Returns the bytes beyond half of what can be saved up, for what others can do as well.
    pub fn surplus_bytes(&mut self, now_us: u64) -> usize {
        self.save(now_us);
        (self.left_bytes - self.most_bytes / 2.0).max(0.0) as usize
    }

    /// Spends bytes, those that are kept included; returns false where there are too few.
    pub fn try_spend(&mut self, now_us: u64, bytes: usize) -> bool {
        self.save(now_us);
        let is_enough = self.left_bytes >= bytes as f64;
        if is_enough {
            self.left_bytes -= bytes as f64;
        }
        is_enough
    }
}
