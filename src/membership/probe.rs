//! Whom to probe next, which probes are under way, and which members are under suspicion.

use super::{Member, Roster};
use crate::ids::MemberId;
use crate::sorted::SortedMap;

/// The probes of one daemon.
///
/// A daemon probes the members at the distances 1, 2, 4, ... behind itself in the ring of ids, in
/// turn. So it needs a link to few others, and each member has as many that probe it.
#[derive(Default)]
pub(super) struct Prober {
    turn: u32,
    indirect_probes: SortedMap<MemberId, IndirectProbe>,
    suspicions: SortedMap<MemberId, Suspicion>,
    suspect_turn: usize,
}

/// A member that did not answer a direct probe while others probe it.
#[derive(Clone, Copy)]
struct IndirectProbe {
    pending_replies: u32,
}

/// A member that answered neither directly nor through others.
#[derive(Clone, Copy)]
struct Suspicion {
    incarnation: u32,
    expires_at_us: u64,
    failed_rounds: u32,
}

/// The indirect_probes, each direct and through others, that a member must fail before it is gone.
const FAILED_ROUNDS_BEFORE_GONE: u32 = 3;

impl Prober {
    /// Returns the member to probe next.
    pub(super) fn next_member(&mut self, roster: &Roster, own: MemberId) -> Option<MemberId> {
        let others = other_count(roster, own);
        if others == 0 {
            return None;
        }
        let fingers = usize::BITS - others.leading_zeros();
        self.turn = (self.turn + 1) % fingers;
        finger(roster, own, self.turn)
    }

    /// Returns the members at all distances, the nearest first.
    pub(super) fn fingers(roster: &Roster, own: MemberId) -> Vec<MemberId> {
        let others = other_count(roster, own);
        let mut members = Vec::new();
        for turn in 0..usize::BITS - others.leading_zeros() {
            members.extend(finger(roster, own, turn));
        }
        members
    }

    /// Notes that others were asked to probe a member.
    pub(super) fn begin_indirect_probe(&mut self, id: MemberId, pending_replies: u32) {
        self.indirect_probes
            .insert(id, IndirectProbe { pending_replies });
    }

    /// Says whether others are asked to probe a member.
    pub(super) fn is_probed_indirectly(&self, id: MemberId) -> bool {
        self.indirect_probes.contains_key(&id)
    }

    /// Notes that a member answered: it is neither checked nor under suspicion any longer.
    pub(super) fn record_ack(&mut self, id: MemberId) {
        self.indirect_probes.remove(&id);
        self.suspicions.remove(&id);
    }

    /// Notes that one of those asked could not reach a member; returns whether it was the last.
    pub(super) fn record_unreachable(&mut self, id: MemberId) -> bool {
        let Some(probe) = self.indirect_probes.get_mut(&id) else {
            return false;
        };
        probe.pending_replies = probe.pending_replies.saturating_sub(1);
        let is_last = probe.pending_replies == 0;
        if is_last {
            self.indirect_probes.remove(&id);
        }
        is_last
    }

    /// Begins a suspicion unless there is one; returns whether it is new.
    pub(super) fn begin_suspicion(&mut self, member: &Member, expires_at_us: u64) -> bool {
        if let Some(suspicion) = self.suspicions.get_mut(&member.id) {
            suspicion.failed_rounds += 1;
            return false;
        }
        let suspicion = Suspicion {
            incarnation: member.incarnation,
            expires_at_us,
            failed_rounds: 1,
        };
        self.suspicions.insert(member.id, suspicion);
        true
    }

    /// Ends the suspicions that were refuted, and returns the members whose time has passed.
    pub(super) fn expire_suspicions(&mut self, roster: &Roster, now_us: u64) -> Vec<MemberId> {
        let mut expired = Vec::new();
        self.suspicions.retain(|id, suspicion| {
            let Some(member) = roster.get(*id) else {
                return false;
            };
            if member.incarnation != suspicion.incarnation {
                return false;
            }
            let has_failed_enough = suspicion.failed_rounds >= FAILED_ROUNDS_BEFORE_GONE;
            if suspicion.expires_at_us > now_us || !has_failed_enough {
                return true;
            }
            expired.push(*id);
            false
        });
        expired
    }

    /// Returns the number of members under suspicion.
    pub(super) fn suspect_count(&self) -> usize {
        self.suspicions.len()
    }

    /// Returns a member under suspicion to probe again, each in turn.
    pub(super) fn next_suspect(&mut self) -> Option<MemberId> {
        if self.suspicions.is_empty() {
            return None;
        }
        self.suspect_turn = (self.suspect_turn + 1) % self.suspicions.len();
        let (id, _) = self.suspicions.entry_at(self.suspect_turn)?;
        Some(*id)
    }

    /// Gives up the probes under way and begins the suspicions anew.
    pub(super) fn reset(&mut self, expires_at_us: u64) {
        self.indirect_probes = SortedMap::default();
        for (_, suspicion) in self.suspicions.iter_mut() {
            suspicion.expires_at_us = expires_at_us;
            suspicion.failed_rounds = 0;
        }
    }
}

fn other_count(roster: &Roster, own: MemberId) -> usize {
    roster.len() - usize::from(roster.get(own).is_some())
}

/// Returns the member at the distance `2^turn` behind the own place in the ring of ids.
fn finger(roster: &Roster, own: MemberId, turn: u32) -> Option<MemberId> {
    let index = (roster.lower_bound(own) + (1 << turn)) % roster.len();
    let id = roster.member_at(index)?.id;
    (id != own).then_some(id)
}
