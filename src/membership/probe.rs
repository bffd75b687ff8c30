//! The failure detector's state: the probe order, pending indirect probes and suspected members.

use super::{Member, Roster};
use crate::ids::MemberId;
use crate::sorted::SortedMap;

/// Selects the members that a daemon probes, and records failed probes and suspicions.
///
/// A daemon probes the members at the distances 1, 2, 4, ... after itself in the ring of ids, in
/// turn, as in Chord's finger table. So it needs links to only a few others, and each member is
/// probed by an equal number of others.
#[derive(Default)]
pub(super) struct Prober {
    turn: u32,
    indirect_probes: SortedMap<MemberId, IndirectProbe>,
    suspicions: SortedMap<MemberId, Suspicion>,
    suspect_turn: usize,
}

/// A member that did not respond to a direct probe and is being probed through relays.
#[derive(Clone, Copy)]
struct IndirectProbe {
    pending_responses: u32,
}

/// A member that responded neither to a direct probe nor through relays, if there are any.
#[derive(Clone, Copy)]
struct Suspicion {
    incarnation: u32,
    expires_at_us: u64,
    failed_rounds: u32,
}

/// The number of failed rounds before a member is marked gone; a round is a direct probe and, if
/// there are relays, indirect probes.
const FAILED_ROUNDS_BEFORE_GONE: u32 = 3;

impl Prober {
    /// Returns the member to probe next.
    pub(super) fn next_member(&mut self, roster: &Roster, own: MemberId) -> Option<MemberId> {
        let others = other_count(roster, own);
        if others == 0 {
            return None;
        }
        let finger_count = usize::BITS - others.leading_zeros();
        self.turn = (self.turn + 1) % finger_count;
        finger(roster, own, self.turn)
    }

    /// Returns the members at all probed distances, the nearest first.
    pub(super) fn fingers(roster: &Roster, own: MemberId) -> Vec<MemberId> {
        let others = other_count(roster, own);
        let mut members = Vec::new();
        for distance_exponent in 0..usize::BITS - others.leading_zeros() {
            members.extend(finger(roster, own, distance_exponent));
        }
        members
    }

    /// Records that relays were requested to probe a member.
    pub(super) fn begin_indirect_probe(&mut self, id: MemberId, pending_responses: u32) {
        self.indirect_probes
            .insert(id, IndirectProbe { pending_responses });
    }

    /// Returns whether relays are currently probing a member.
    pub(super) fn is_probed_indirectly(&self, id: MemberId) -> bool {
        self.indirect_probes.contains_key(&id)
    }

    /// Records that a probe of a member was acknowledged, which ends its indirect probes and its
    /// suspicion; the ack may be from another daemon at the member's address.
    pub(super) fn record_ack(&mut self, id: MemberId) {
        self.indirect_probes.remove(&id);
        self.suspicions.remove(&id);
    }

    /// Records that a relay did not get an ack from a member, or did not respond itself; returns
    /// whether it was the last relay.
    pub(super) fn record_relay_failure(&mut self, id: MemberId) -> bool {
        let Some(probe) = self.indirect_probes.get_mut(&id) else {
            return false;
        };
        probe.pending_responses = probe.pending_responses.saturating_sub(1);
        let is_last = probe.pending_responses == 0;
        if is_last {
            self.indirect_probes.remove(&id);
        }
        is_last
    }

    /// Records a failed round of a member, which begins a suspicion if there is none; returns
    /// whether it did.
    pub(super) fn record_failed_round(&mut self, member: &Member, expires_at_us: u64) -> bool {
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

    /// Removes the suspicions of members that have another incarnation now or are not in the
    /// roster. Also removes those that expired after enough failed rounds, and returns their
    /// members.
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

    /// Returns the number of suspected members.
    pub(super) fn suspect_count(&self) -> usize {
        self.suspicions.len()
    }

    /// Returns the next suspected member to probe, in round-robin order.
    pub(super) fn next_suspect(&mut self) -> Option<MemberId> {
        if self.suspicions.is_empty() {
            return None;
        }
        self.suspect_turn = (self.suspect_turn + 1) % self.suspicions.len();
        let (id, _) = self.suspicions.entry_at(self.suspect_turn)?;
        Some(*id)
    }

    /// Drops the pending indirect probes and restarts all suspicions.
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

/// Returns the member at the distance `2^distance_exponent` after this daemon in the ring of ids.
fn finger(roster: &Roster, own: MemberId, distance_exponent: u32) -> Option<MemberId> {
    let index = (roster.lower_bound(own) + (1 << distance_exponent)) % roster.len();
    let id = roster.member_at(index)?.id;
    (id != own).then_some(id)
}
