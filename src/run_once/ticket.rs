//! The tickets of one daemon incarnation: issued, used, void.

use std::collections::VecDeque;

use super::ranges::Ranges;
use super::settings::RunOnceSettings;

/// The shortest time between two marks of issue.
const MARK_INTERVAL_US: u64 = 1_000_000;

/// What is known of a ticket that no run in memory holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Standing {
    /// It was never issued.
    NotIssued,
    /// It may be used.
    Open,
    /// It was never used and never will be.
    Void,
    /// It was used, and its verdict is no longer kept.
    Spent,
}

/// All tickets up to a sequence number, and when they were issued.
#[derive(Clone, Copy, Debug)]
struct Mark {
    next_sequence: u64,
    issued_us: u64,
}

/// The tickets that a daemon issued.
///
/// Below `floor` all count as spent. Below `open_floor` those that are not spent are void.
#[derive(Debug, Default)]
pub(super) struct TicketBook {
    next_sequence: u64,
    open_floor: u64,
    floor: u64,
    spent: Ranges,
    void: Ranges,
    marks: VecDeque<Mark>,
}

impl TicketBook {
    /// Issues tickets and returns the sequence number of the first.
    pub(super) fn issue(&mut self, now_us: u64, count: u16, settings: &RunOnceSettings) -> u64 {
        let first = self.next_sequence;
        self.next_sequence += u64::from(count);
        self.mark(now_us);
        let bound = self.next_sequence.saturating_sub(settings.open_tickets_max);
        self.close_below(bound);
        first
    }

    /// Makes unused tickets void after their time.
    pub(super) fn expire(&mut self, now_us: u64, settings: &RunOnceSettings) {
        let ttl_us = settings.open_ticket_ttl_ms * 1_000;
        while let Some(mark) = self.marks.front() {
            if now_us.saturating_sub(mark.issued_us) <= ttl_us {
                break;
            }
            let bound = mark.next_sequence;
            self.marks.pop_front();
            self.close_below(bound);
        }
    }

    /// Returns what is known of a ticket that no run in memory holds.
    pub(super) fn standing(&self, sequence: u64) -> Standing {
        if sequence >= self.next_sequence {
            return Standing::NotIssued;
        }
        if sequence < self.floor || self.spent.contains(sequence) {
            return Standing::Spent;
        }
        if sequence < self.open_floor || self.void.contains(sequence) {
            return Standing::Void;
        }
        Standing::Open
    }

    /// Notes that a ticket will never be used.
    pub(super) fn set_void(&mut self, sequence: u64, settings: &RunOnceSettings) {
        if sequence >= self.open_floor {
            self.void.insert(sequence);
        }
        while self.void.len() > settings.ticket_ranges_max {
            let Some(bound) = self.void.pop_lowest() else {
                break;
            };
            self.close_below(bound);
        }
    }

    /// Notes that a ticket was used and that its verdict is no longer kept.
    pub(super) fn set_spent(&mut self, sequence: u64, settings: &RunOnceSettings) {
        if sequence >= self.floor {
            self.spent.insert(sequence);
        }
        while self.spent.len() > settings.ticket_ranges_max {
            let Some(bound) = self.spent.pop_lowest() else {
                break;
            };
            self.floor = self.floor.max(bound);
        }
    }

    /// Returns the number of ranges in memory.
    pub(super) fn ranges(&self) -> usize {
        self.spent.len() + self.void.len()
    }

    fn mark(&mut self, now_us: u64) {
        let mark = Mark {
            next_sequence: self.next_sequence,
            issued_us: now_us,
        };
        match self.marks.back_mut() {
            Some(last) if now_us.saturating_sub(last.issued_us) < MARK_INTERVAL_US => {
                last.next_sequence = mark.next_sequence;
            }
            _ => self.marks.push_back(mark),
        }
    }

    fn close_below(&mut self, bound: u64) {
        self.open_floor = self.open_floor.max(bound);
        self.void.remove_below(self.open_floor);
    }
}
