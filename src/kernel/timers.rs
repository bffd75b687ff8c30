//! The timers of all services, in order of time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// A timer of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Timer {
    pub(super) at_us: u64,
    sequence: u64,
    pub(super) owner: &'static str,
    pub(super) tag: u64,
}

/// Timers in order of time, then of their setting.
#[derive(Default)]
pub(super) struct Timers {
    heap: BinaryHeap<Reverse<Timer>>,
    next_sequence: u64,
}

impl Timers {
    pub(super) fn push(&mut self, at_us: u64, owner: &'static str, tag: u64) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.heap.push(Reverse(Timer {
            at_us,
            sequence,
            owner,
            tag,
        }));
    }

    pub(super) fn next_us(&self) -> Option<u64> {
        self.heap.peek().map(|Reverse(timer)| timer.at_us)
    }

    pub(super) fn pop_due(&mut self, now_us: u64) -> Option<Timer> {
        if self.next_us()? > now_us {
            return None;
        }
        self.heap.pop().map(|Reverse(timer)| timer)
    }
}
