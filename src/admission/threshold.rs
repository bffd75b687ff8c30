//! The rank below which arrivals are refused.

use super::queue::Queue;
use crate::ids::Priority;
use crate::request::Rank;

/// Returns the least rank that is admitted to a queue with a bound.
pub(super) fn threshold(queue: &Queue, len_bound: u32) -> Rank {
    if queue.len() < len_bound {
        return Rank::MIN;
    }
    match queue.least() {
        Some(least) => above(least.rank),
        None => Rank::MIN,
    }
}

/// Returns the least rank that is greater, or the rank itself where it is the greatest.
fn above(rank: Rank) -> Rank {
    if let Some(root_rank) = rank.root_rank.checked_add(1) {
        return Rank { root_rank, ..rank };
    }
    for priority in Priority::ALL {
        if priority > rank.priority {
            return Rank {
                priority,
                root_rank: 0,
            };
        }
    }
    rank
}
