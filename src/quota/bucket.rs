//! The token bucket of an owner, filled by the shares that it has borrowed.

use std::net::SocketAddr;

use super::settings::to_us;
use crate::organisations::Quota;
use crate::sorted::SortedMap;

/// Tokens that a bucket holds beyond the burst, so that a small quota without a burst admits what
/// arrives unevenly. Part of the slack of 20 requests that the invariant allows.
const EXTRA_TOKENS: f64 = 12.0;

/// The time whose rate a bucket holds beyond the burst. Tokens of 300 ms of leases and these 50 ms
/// stay below the overage of 0.1 of a window of 5 s.
const EXTRA_S: f64 = 0.05;

const US_PER_S: f64 = 1_000_000.0;

/// A share of the rate that a daemon has lent.
#[derive(Clone, Copy, Debug)]
struct Share {
    expires_us: u64,
    /// The number of daemons among which its lender counts the rate as shared out.
    lenders: usize,
}

/// The token bucket of one organisation.
///
/// Each share fills it by an equal part of the rate until it expires, and extends its capacity by an
/// equal part of the burst. Since a share is lent to one owner at a time, all buckets of an
/// organisation together hold and receive no more than one bucket would.
#[derive(Clone, Debug)]
pub struct Bucket {
    quota: Quota,
    level: f64,
    filled_us: u64,
    shares: SortedMap<SocketAddr, Share>,
}

impl Bucket {
    /// Creates an empty bucket without shares.
    pub fn new(now_us: u64, quota: Quota) -> Self {
        Self {
            quota,
            level: 0.0,
            filled_us: now_us,
            shares: SortedMap::default(),
        }
    }

    /// Applies a changed quota; the level never exceeds the new capacity.
    pub fn set_quota(&mut self, now_us: u64, quota: Quota) {
        self.fill(now_us);
        self.quota = quota;
        self.limit_level();
    }

    /// Records that a share is lent until `expires_us`. A share that was not lent to anyone for
    /// `free_ms` brings the tokens with which it would have filled its part of the bucket
    /// meanwhile.
    pub fn add_share(
        &mut self,
        now_us: u64,
        lender: SocketAddr,
        expires_us: u64,
        lenders: usize,
        free_ms: u32,
    ) {
        self.fill(now_us);
        if expires_us <= now_us {
            return;
        }
        let share = Share {
            expires_us,
            lenders,
        };
        let is_new = self.shares.insert(lender, share).is_none();
        if is_new {
            let free_s = to_us(free_ms) as f64 / US_PER_S;
            let filled = self.quota.rate_per_s * free_s;
            self.level += self.part_of_share() * filled.min(self.whole_capacity());
        }
        self.limit_level();
    }

    /// Returns whether the share of a lender is held.
    pub fn has_share(&mut self, now_us: u64, lender: SocketAddr) -> bool {
        self.fill(now_us);
        self.shares.contains_key(&lender)
    }

    /// Returns the part of the rate that is lent to this bucket.
    pub fn held_part(&mut self, now_us: u64) -> f64 {
        self.fill(now_us);
        self.part()
    }

    /// Takes up to `wanted` tokens, and up to `ahead` more while the bucket stays half full;
    /// returns how many.
    pub fn take(&mut self, now_us: u64, wanted: u16, ahead: u16) -> u16 {
        self.fill(now_us);
        let tokens = (self.level as u16).min(wanted);
        self.level -= f64::from(tokens);
        let spare = (self.level - self.capacity() / 2.0).max(0.0) as u16;
        let ahead = if tokens < wanted { 0 } else { spare.min(ahead) };
        self.level -= f64::from(ahead);
        tokens + ahead
    }

    /// Returns the time until the next token; `None` if the shares that are held never hold a whole
    /// token.
    pub fn next_token_us(&mut self, now_us: u64) -> Option<u64> {
        let part = self.held_part(now_us);
        if self.capacity() < 1.0 {
            return None;
        }
        let missing = (1.0 - self.level).max(0.0);
        Some((missing / (self.quota.rate_per_s * part) * US_PER_S).ceil() as u64)
    }

    /// Adds what the shares brought since the last call, each until it expired.
    fn fill(&mut self, now_us: u64) {
        let mut filled_s = 0.0;
        for share in self.shares.values() {
            let until_us = share.expires_us.min(now_us);
            filled_s += until_us.saturating_sub(self.filled_us) as f64 / US_PER_S;
        }
        self.level += self.quota.rate_per_s * filled_s * self.part_of_share();
        self.filled_us = self.filled_us.max(now_us);
        self.shares.retain(|_, share| share.expires_us > now_us);
        self.limit_level();
    }

    fn limit_level(&mut self) {
        self.level = self.level.min(self.capacity());
    }

    fn capacity(&self) -> f64 {
        self.whole_capacity() * self.part()
    }

    /// Returns the part of the rate and of the burst that all shares held are.
    fn part(&self) -> f64 {
        self.part_of_share() * self.shares.len() as f64
    }

    /// Returns the part of the rate and of the burst that one share is. A lender that started in a
    /// partition may count too few daemons, so the greatest count of all lenders applies.
    fn part_of_share(&self) -> f64 {
        let counts = self.shares.values().map(|share| share.lenders);
        1.0 / counts.max().unwrap_or(1).max(1) as f64
    }

    /// Returns the capacity of a bucket that holds all shares.
    fn whole_capacity(&self) -> f64 {
        self.quota.burst + self.quota.rate_per_s * EXTRA_S + EXTRA_TOKENS
    }
}
