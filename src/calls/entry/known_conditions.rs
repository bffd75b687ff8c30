//! What this daemon was told of the targets that it calls, so that a guard that restarts beside a
//! target learns it again with the next call.

use std::net::SocketAddr;

use crate::ids::MemberId;
use crate::sorted::SortedMap;
use crate::target::TargetCondition;

/// The maximum number of targets whose condition is kept; further ones are not recorded.
const TARGETS_MAX: usize = 4_096;

/// A condition with the run of the guard that reported it.
struct KnownCondition {
    reported_by: MemberId,
    condition: TargetCondition,
}

/// The conditions of targets that name a rate limit or said that they leave, by the peer address of
/// the daemon beside the target. The address is the same after a restart of that daemon.
#[derive(Default)]
pub(super) struct KnownConditions {
    by_address: SortedMap<SocketAddr, KnownCondition>,
}

impl KnownConditions {
    /// Returns what is known of the target beside the daemon at an address.
    pub(super) fn get(&self, address: SocketAddr) -> Option<&TargetCondition> {
        self.by_address.get(&address).map(|known| &known.condition)
    }

    /// Records a condition that a guard reported. Replies may overtake each other, and a guard that
    /// restarted does not know yet what the former one reported.
    pub(super) fn record(
        &mut self,
        address: SocketAddr,
        reported_by: MemberId,
        condition: &TargetCondition,
    ) {
        let mut condition = condition.clone();
        if let Some(known) = self.by_address.get(&address) {
            if known.reported_by == reported_by && condition.revision < known.condition.revision {
                return;
            }
            if known.reported_by != reported_by && known.condition.start.may_be(&condition.start) {
                condition.add_unknown_from(&known.condition);
            }
        }
        if condition.is_ordinary() {
            self.by_address.remove(&address);
            return;
        }
        let is_recorded = self.by_address.contains_key(&address);
        if !is_recorded && self.by_address.len() >= TARGETS_MAX {
            return;
        }
        let known = KnownCondition {
            reported_by,
            condition,
        };
        self.by_address.insert(address, known);
    }
}
