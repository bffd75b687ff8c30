//! The concurrency limit: how many calls are sent to the target at once.

/// A limit under the slots that the target announced.
pub(super) struct Limit {
    min: u32,
    slots: u32,
}

impl Limit {
    pub(super) fn new(min: u32) -> Self {
        Self { min, slots: 0 }
    }

    pub(super) fn set_slots(&mut self, _now_us: u64, slots: u32) {
        self.slots = slots;
    }

    pub(super) fn current(&self) -> u32 {
        self.slots.max(self.min.min(self.slots))
    }
}
