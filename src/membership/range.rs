//! Ranges of member ids, which two daemons compare by hash to find where their rosters differ.

use macro_rules_attribute::apply;

use crate::derives::value;
use crate::ids::MemberId;

/// The number of leading id bits that each level of subdivision fixes.
const BITS_PER_LEVEL: u32 = 4;

/// The ids with the same leading bits.
#[apply(value!)]
pub struct IdRange {
    first: u64,
    depth: u8,
}

/// A digest of the members in one part of a range.
#[apply(value!)]
#[derive(Default)]
pub struct PartDigest {
    /// The combined hashes of the part's members.
    pub hash: u32,
    /// The number of the part's members.
    pub members: u32,
}

impl IdRange {
    /// The number of parts of a range.
    pub const PARTS: usize = 1 << BITS_PER_LEVEL;

    /// The maximum depth of a range that has parts.
    const MAX_DEPTH: u8 = (u64::BITS / BITS_PER_LEVEL) as u8 - 1;

    /// The range of all ids.
    pub const ALL: Self = Self { first: 0, depth: 0 };

    /// Returns the smallest id of the range.
    pub fn first(self) -> MemberId {
        MemberId(self.first)
    }

    /// Returns whether the range can be divided into parts; also false for a range received from a
    /// peer whose depth is too large.
    pub fn has_parts(self) -> bool {
        self.depth <= Self::MAX_DEPTH
    }

    /// Returns whether an id is in the range.
    pub fn contains(self, id: MemberId) -> bool {
        let fixed_bits = (u32::from(self.depth) * BITS_PER_LEVEL).min(u64::BITS);
        let free_bits = u64::BITS - fixed_bits;
        let prefix = |id: u64| id.checked_shr(free_bits).unwrap_or(0);
        prefix(id.0) == prefix(self.first)
    }

    /// Returns the index of the part that an id is in.
    pub fn part_index(self, id: MemberId) -> usize {
        (id.0 >> self.part_shift()) as usize % Self::PARTS
    }

    /// Returns the part of the range at an index.
    pub fn part(self, index: usize) -> Self {
        Self {
            first: self.first | (index as u64) << self.part_shift(),
            depth: self.depth + 1,
        }
    }

    fn part_shift(self) -> u32 {
        let depth = u32::from(self.depth.min(Self::MAX_DEPTH));
        u64::BITS - (depth + 1) * BITS_PER_LEVEL
    }
}
