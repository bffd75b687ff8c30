//! The tokens that a daemon was granted and has not used yet.

/// Tokens that were granted together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Batch {
    tokens: u16,
    expires_us: u64,
}

/// The unused tokens of one organisation, those that expire first in front.
#[derive(Clone, Debug, Default)]
pub struct Lease {
    batches: Vec<Batch>,
}

impl Lease {
    /// Adds tokens that expire at a time.
    pub fn add(&mut self, tokens: u16, expires_us: u64) {
        if tokens == 0 {
            return;
        }
        let index = self
            .batches
            .partition_point(|batch| batch.expires_us <= expires_us);
        self.batches.insert(index, Batch { tokens, expires_us });
    }

    /// Takes the token that expires first and returns when it expires; `None` if there is none.
    pub fn take(&mut self, now_us: u64) -> Option<u64> {
        self.expire(now_us);
        let batch = self.batches.first_mut()?;
        let expires_us = batch.expires_us;
        batch.tokens -= 1;
        if batch.tokens == 0 {
            self.batches.remove(0);
        }
        Some(expires_us)
    }

    /// Drops the expired tokens and returns how many.
    pub fn expire(&mut self, now_us: u64) -> u64 {
        let mut lapsed = 0;
        self.batches.retain(|batch| {
            if batch.expires_us > now_us {
                return true;
            }
            lapsed += u64::from(batch.tokens);
            false
        });
        lapsed
    }

    /// Drops all tokens and returns how many.
    pub fn clear(&mut self) -> u64 {
        self.expire(u64::MAX)
    }

    /// Returns whether there are no tokens.
    pub fn is_empty(&self) -> bool {
        self.batches.is_empty()
    }
}
