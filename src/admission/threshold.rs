//! The admission threshold: the rank below which arrivals are refused.

use super::queue::Queue;
use crate::ids::Priority;
use crate::request::Rank;

/// Returns the lowest rank that a queue with a maximum length accepts.
///
/// It depends on the queue alone: for a target without slots and with an empty queue it is the
/// lowest rank, although all arrivals are refused.
pub(super) fn threshold(queue: &Queue, len_max: u32) -> Rank {
    if queue.len() < len_max {
        return Rank::MIN;
    }
    match queue.lowest() {
        Some(lowest) => next_above(lowest.rank),
        None => Rank::MIN,
    }
}

/// Returns the next higher rank, or the rank itself if it is the highest.
fn next_above(rank: Rank) -> Rank {
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
