//! The permission to send a request to the target, which expires.

use std::time::Duration;

use super::clock::boot_time;

/// The permission of the guard to send a request. It expires, so that a request that was held up on
/// its way to the socket, for instance while the process stood still, does not reach a target that
/// has left since.
#[derive(Clone, Copy, Debug)]
pub struct SendPermit {
    expires_at: Duration,
}

impl SendPermit {
    /// Creates a permission that expires after a time, during which the VM may be suspended.
    pub fn new(valid: Duration) -> Self {
        Self {
            expires_at: boot_time() + valid,
        }
    }

    /// Returns whether the request may still be sent.
    pub fn is_valid(&self) -> bool {
        boot_time() < self.expires_at
    }
}
