//! A token bucket for the bytes that a daemon sends unasked.

/// The seconds of the rate that may be sent at once.
const BURST_S: u64 = 20;

/// A rate of bytes with room for a burst.
pub(super) struct ByteBudget {
    bytes_per_s: u64,
    left_bytes: u64,
    filled_us: u64,
}

impl ByteBudget {
    pub(super) fn new(bytes_per_s: u64) -> Self {
        Self {
            bytes_per_s,
            left_bytes: bytes_per_s * BURST_S,
            filled_us: 0,
        }
    }

    /// Spends bytes that were sent; the next ones wait while more were sent than the rate allows.
    pub(super) fn spend(&mut self, bytes: usize) {
        self.left_bytes = self.left_bytes.saturating_sub(bytes as u64);
    }

    /// Says whether something may be sent.
    pub(super) fn has_room(&mut self, now_us: u64) -> bool {
        let gained = (now_us - self.filled_us) * self.bytes_per_s / 1_000_000;
        if gained > 0 {
            self.filled_us = now_us;
            let full = self.bytes_per_s * BURST_S;
            self.left_bytes = (self.left_bytes + gained).min(full);
        }
        self.left_bytes > 0
    }
}
