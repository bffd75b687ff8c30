//! Decides which requests of one connection may run side by side, and which response closes the
//! connection.
//!
//! A caller may send further requests before the first is answered. Responses are sent in the order
//! of the requests, and a caller sends again everything behind a response that closes the
//! connection. Therefore only the response to the last started request may close it.

/// The requests of one connection that were started and not yet answered.
#[derive(Clone, Debug)]
pub struct Pipeline {
    started_max: usize,
    started: usize,
    is_idempotent_only: bool,
    is_last_read: bool,
}

impl Pipeline {
    /// Creates the state of a new connection, on which at most `started_max` requests, and at least
    /// one, run at the same time.
    pub fn new(started_max: usize) -> Self {
        Self {
            started_max: started_max.max(1),
            started: 0,
            is_idempotent_only: true,
            is_last_read: false,
        }
    }

    /// Returns whether no request is under way.
    pub fn is_empty(&self) -> bool {
        self.started == 0
    }

    /// Returns whether the next request may be read. While the connection drains, it is read only
    /// after all responses were sent, so that it can be answered with the closing response.
    pub fn may_read(&self, is_draining: bool) -> bool {
        if self.is_last_read {
            return false;
        }
        self.is_empty() || (!is_draining && self.started < self.started_max)
    }

    /// Returns whether a request may start now: only idempotent requests run side by side, because
    /// a caller may send again what was sent behind a response that it did not get.
    pub fn may_start(&self, is_idempotent: bool) -> bool {
        if self.is_empty() {
            return true;
        }
        is_idempotent && self.is_idempotent_only && self.started < self.started_max
    }

    /// Records that a request was started.
    pub fn start(&mut self, is_idempotent: bool) {
        self.is_idempotent_only = is_idempotent && (self.is_empty() || self.is_idempotent_only);
        self.started += 1;
    }

    /// Records that nothing is read after the latest request, whose response closes the connection.
    pub fn end_reading(&mut self) {
        self.is_last_read = true;
    }

    /// Records that the oldest request got its response, and returns whether that response closes
    /// the connection. `is_next_read` says that a request behind it was read and will be started.
    pub fn finish(&mut self, is_draining: bool, is_next_read: bool) -> bool {
        self.started = self.started.saturating_sub(1);
        let is_last = self.is_empty() && !is_next_read;
        is_last && (is_draining || self.is_last_read)
    }
}
