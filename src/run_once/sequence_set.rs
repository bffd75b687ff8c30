//! Sets of sequence numbers, stored as sorted ranges so that a block of consecutive numbers takes
//! constant memory.

/// A range of sequence numbers; both ends are inclusive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct SequenceRange {
    first: u64,
    last: u64,
}

/// A set of sequence numbers, stored as sorted ranges that are neither adjacent nor overlapping.
#[derive(Clone, Debug, Default)]
pub(super) struct SequenceSet {
    ranges: Vec<SequenceRange>,
}

impl SequenceSet {
    /// Adds a number, merging the ranges that it joins.
    pub(super) fn insert(&mut self, number: u64) {
        let index = self.ranges.partition_point(|range| range.last < number);
        let is_contained = self
            .ranges
            .get(index)
            .is_some_and(|range| range.first <= number);
        if is_contained {
            return;
        }
        let is_next_adjacent = self
            .ranges
            .get(index)
            .is_some_and(|range| range.first == number + 1);
        let is_previous_adjacent = index > 0 && self.ranges[index - 1].last + 1 == number;
        match (is_previous_adjacent, is_next_adjacent) {
            (true, true) => {
                self.ranges[index - 1].last = self.ranges[index].last;
                self.ranges.remove(index);
            }
            (true, false) => self.ranges[index - 1].last = number,
            (false, true) => self.ranges[index].first = number,
            (false, false) => {
                let range = SequenceRange {
                    first: number,
                    last: number,
                };
                self.ranges.insert(index, range);
            }
        }
    }

    /// Returns whether the set contains a number.
    pub(super) fn contains(&self, number: u64) -> bool {
        let index = self.ranges.partition_point(|range| range.last < number);
        self.ranges
            .get(index)
            .is_some_and(|range| range.first <= number)
    }

    /// Removes all numbers below a bound.
    pub(super) fn remove_below(&mut self, bound: u64) {
        let removed_len = self.ranges.partition_point(|range| range.last < bound);
        self.ranges.drain(..removed_len);
        if let Some(range) = self.ranges.first_mut() {
            range.first = range.first.max(bound);
        }
    }

    /// Removes the lowest range and returns the number that follows it.
    pub(super) fn pop_lowest_range(&mut self) -> Option<u64> {
        if self.ranges.is_empty() {
            return None;
        }
        Some(self.ranges.remove(0).last + 1)
    }

    /// Returns the number of ranges, which determines the memory use of the set.
    pub(super) fn range_count(&self) -> usize {
        self.ranges.len()
    }
}
