//! The tickets that one daemon process issued, and whether each may still be used.
//!
//! Memory is bounded: tickets below `spent_floor` count as spent, other tickets below `open_floor`
//! as void, and individual numbers are stored only above these bounds. A bound rises when its set
//! has too many ranges; `open_floor` also rises when tickets expire or more than `open_tickets_max`
//! were issued after them.

use std::collections::VecDeque;

use super::sequence_set::SequenceSet;
use super::settings::RunOnceSettings;

/// The minimum time between two issue marks. Tickets issued within it expire together with the
/// first of them, so up to this much early.
const ISSUE_MARK_INTERVAL_US: u64 = 1_000_000;

/// The status of a ticket that has no run in memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TicketStatus {
    /// This daemon process never issued it.
    NotIssued,
    /// It may be used.
    Open,
    /// Its request was never sent and never will be.
    Void,
    /// It was used, or counts as used, and its verdict is no longer kept.
    Spent,
}

/// The issue time of the tickets below `next_sequence` and from the previous mark's on.
#[derive(Clone, Copy, Debug)]
struct IssueMark {
    next_sequence: u64,
    issued_us: u64,
}

/// The tickets that a daemon issued.
#[derive(Debug, Default)]
pub(super) struct IssuedTickets {
    next_sequence: u64,
    /// Tickets below this number that are not spent are void.
    open_floor: u64,
    /// All tickets below this number count as spent.
    spent_floor: u64,
    spent: SequenceSet,
    void: SequenceSet,
    issue_marks: VecDeque<IssueMark>,
}

impl IssuedTickets {
    /// Issues tickets and returns the sequence number of the first.
    ///
    /// Only the latest `open_tickets_max` tickets stay usable; older unused ones become void.
    pub(super) fn issue(&mut self, now_us: u64, count: u16, settings: &RunOnceSettings) -> u64 {
        let first = self.next_sequence;
        self.next_sequence += u64::from(count);
        self.record_issue_time(now_us);
        let bound = self.next_sequence.saturating_sub(settings.open_tickets_max);
        self.raise_open_floor(bound);
        first
    }

    /// Makes unused tickets void once they are older than `open_ticket_ttl_ms`.
    pub(super) fn expire(&mut self, now_us: u64, settings: &RunOnceSettings) {
        let ttl_us = settings.open_ticket_ttl_ms * 1_000;
        while let Some(mark) = self.issue_marks.front() {
            if now_us.saturating_sub(mark.issued_us) <= ttl_us {
                break;
            }
            let bound = mark.next_sequence;
            self.issue_marks.pop_front();
            self.raise_open_floor(bound);
        }
    }

    /// Returns the status of a ticket that has no run in memory.
    pub(super) fn status(&self, sequence: u64) -> TicketStatus {
        if sequence >= self.next_sequence {
            return TicketStatus::NotIssued;
        }
        if sequence < self.spent_floor || self.spent.contains(sequence) {
            return TicketStatus::Spent;
        }
        if sequence < self.open_floor || self.void.contains(sequence) {
            return TicketStatus::Void;
        }
        TicketStatus::Open
    }

    /// Records that a ticket will never be used.
    ///
    /// Beyond `ticket_ranges_max` ranges, all unused tickets up to the lowest void range become
    /// void.
    pub(super) fn mark_void(&mut self, sequence: u64, settings: &RunOnceSettings) {
        if sequence >= self.open_floor {
            self.void.insert(sequence);
        }
        while self.void.range_count() > settings.ticket_ranges_max {
            let Some(bound) = self.void.pop_lowest_range() else {
                break;
            };
            self.raise_open_floor(bound);
        }
    }

    /// Records that a ticket was used and that its verdict is no longer kept.
    ///
    /// Beyond `ticket_ranges_max` ranges, all tickets up to the lowest spent range count as spent,
    /// so that none of them can run again.
    pub(super) fn mark_spent(&mut self, sequence: u64, settings: &RunOnceSettings) {
        if sequence >= self.spent_floor {
            self.spent.insert(sequence);
        }
        while self.spent.range_count() > settings.ticket_ranges_max {
            let Some(bound) = self.spent.pop_lowest_range() else {
                break;
            };
            self.spent_floor = self.spent_floor.max(bound);
        }
    }

    /// Returns the number of ticket ranges in memory.
    pub(super) fn range_count(&self) -> usize {
        self.spent.range_count() + self.void.range_count()
    }

    fn record_issue_time(&mut self, now_us: u64) {
        let mark = IssueMark {
            next_sequence: self.next_sequence,
            issued_us: now_us,
        };
        match self.issue_marks.back_mut() {
            Some(last) if now_us.saturating_sub(last.issued_us) < ISSUE_MARK_INTERVAL_US => {
                last.next_sequence = mark.next_sequence;
            }
            _ => self.issue_marks.push_back(mark),
        }
    }

    /// Makes all unused tickets below a sequence number void.
    fn raise_open_floor(&mut self, bound: u64) {
        self.open_floor = self.open_floor.max(bound);
        self.void.remove_below(self.open_floor);
    }
}
