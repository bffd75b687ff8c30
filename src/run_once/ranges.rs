//! Sets of sequence numbers, kept as sorted ranges.

/// A range of sequence numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Range {
    first: u64,
    last: u64,
}

/// A set of sequence numbers as sorted ranges that neither touch nor overlap.
#[derive(Clone, Debug, Default)]
pub(super) struct Ranges {
    ranges: Vec<Range>,
}

impl Ranges {
    /// Adds a number.
    pub(super) fn insert(&mut self, number: u64) {
        let at = self.ranges.partition_point(|range| range.last < number);
        let is_inside = self
            .ranges
            .get(at)
            .is_some_and(|range| range.first <= number);
        if is_inside {
            return;
        }
        let touches_next = self
            .ranges
            .get(at)
            .is_some_and(|range| range.first == number + 1);
        let touches_previous = at > 0 && self.ranges[at - 1].last + 1 == number;
        match (touches_previous, touches_next) {
            (true, true) => {
                self.ranges[at - 1].last = self.ranges[at].last;
                self.ranges.remove(at);
            }
            (true, false) => self.ranges[at - 1].last = number,
            (false, true) => self.ranges[at].first = number,
            (false, false) => {
                let range = Range {
                    first: number,
                    last: number,
                };
                self.ranges.insert(at, range);
            }
        }
    }

    /// Says whether the set holds a number.
    pub(super) fn contains(&self, number: u64) -> bool {
        let at = self.ranges.partition_point(|range| range.last < number);
        self.ranges
            .get(at)
            .is_some_and(|range| range.first <= number)
    }

    /// Removes all numbers below a bound.
    pub(super) fn remove_below(&mut self, bound: u64) {
        let gone = self.ranges.partition_point(|range| range.last < bound);
        self.ranges.drain(..gone);
        if let Some(range) = self.ranges.first_mut() {
            range.first = range.first.max(bound);
        }
    }

    /// Removes the lowest range and returns the number after it.
    pub(super) fn pop_lowest(&mut self) -> Option<u64> {
        if self.ranges.is_empty() {
            return None;
        }
        Some(self.ranges.remove(0).last + 1)
    }

    /// Returns the number of ranges.
    pub(super) fn len(&self) -> usize {
        self.ranges.len()
    }
}
