//! A priority queue of the timers of all services.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// A timer of a service. The field order defines the order in which timers fire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Timer {
    pub(super) due_us: u64,
    sequence: u64,
    pub(super) owner: &'static str,
    pub(super) tag: u64,
}

/// Timers ordered by due time, and by the order in which they were set if due at the same time.
#[derive(Default)]
pub(super) struct Timers {
    heap: BinaryHeap<Reverse<Timer>>,
    next_sequence: u64,
}

impl Timers {
    pub(super) fn push(&mut self, due_us: u64, owner: &'static str, tag: u64) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.heap.push(Reverse(Timer {
            due_us,
            sequence,
            owner,
            tag,
        }));
    }

    pub(super) fn next_us(&self) -> Option<u64> {
        self.heap.peek().map(|Reverse(timer)| timer.due_us)
    }

    pub(super) fn pop_due(&mut self, now_us: u64) -> Option<Timer> {
        if self.next_us()? > now_us {
            return None;
        }
        self.heap.pop().map(|Reverse(timer)| timer)
    }
}
