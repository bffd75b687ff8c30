//! The roster: the members that a daemon received reports about, and the rules by which the newer
//! of two reports wins.

use std::net::SocketAddr;

use slotmap::SlotMap;

use super::range::{IdRange, PartDigest};
use super::{Member, MemberState};
use crate::ids::{AvailabilityZone, MemberId, ServiceName};
use crate::sorted::SortedMap;

slotmap::new_key_type! {
    /// The key of a member in the roster's arena.
    struct RecordKey;
}

/// Members by id and by address, and those that are gone.
#[derive(Default)]
pub struct Roster {
    records: SlotMap<RecordKey, Record>,
    by_id: SortedMap<MemberId, RecordKey>,
    by_address: SortedMap<SocketAddr, RecordKey>,
    gone: SortedMap<MemberId, GoneMember>,
    zones: Vec<AvailabilityZone>,
    services: Vec<ServiceName>,
}

/// A member and its hash.
struct Record {
    member: Member,
    hash: u32,
}

/// A member that is gone, kept so that an outdated report does not add it again.
struct GoneMember {
    member: Member,
    forget_at_us: u64,
}

/// The effect of a report on the roster.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberReportOutcome {
    /// No member changed: the roster already had this report or a newer one, or the report says
    /// that a member is gone that was not in the roster.
    Unchanged,
    /// The member is new or changed; any other member at its address is marked gone.
    Changed {
        /// The other member that had the address.
        replaced: Option<MemberId>,
    },
    /// The member was in the roster and is now marked gone.
    Gone,
    /// Another member has the address and takes precedence: it has the greater incarnation or, with
    /// equal incarnations, the greater id.
    AddressTaken(MemberId),
}

impl Roster {
    /// Returns a member that is not gone.
    pub fn get(&self, id: MemberId) -> Option<&Member> {
        let key = self.by_id.get(&id)?;
        self.member(*key)
    }

    /// Returns the member at an address.
    pub fn at_address(&self, address: SocketAddr) -> Option<&Member> {
        let key = self.by_address.get(&address)?;
        self.member(*key)
    }

    /// Returns the last record of a member that is gone, until it is forgotten.
    pub fn gone(&self, id: MemberId) -> Option<&Member> {
        Some(&self.gone.get(&id)?.member)
    }

    /// Returns the member at an index among those that are gone and not yet forgotten.
    pub fn gone_at(&self, index: usize) -> Option<&Member> {
        let (_, gone) = self.gone.entry_at(index)?;
        Some(&gone.member)
    }

    /// Returns the number of members that are gone and not yet forgotten.
    pub fn gone_len(&self) -> usize {
        self.gone.len()
    }

    /// Returns the members in order of their ids.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.by_id.values().filter_map(|key| self.member(*key))
    }

    /// Returns the member at an index in the order of ids.
    pub fn member_at(&self, index: usize) -> Option<&Member> {
        let (_, key) = self.by_id.entry_at(index)?;
        self.member(*key)
    }

    /// Returns the index of the first member whose id is not less than `id`.
    pub fn lower_bound(&self, id: MemberId) -> usize {
        let (mut low, mut high) = (0, self.by_id.len());
        while low < high {
            let middle = (low + high) / 2;
            match self.by_id.entry_at(middle) {
                Some((probe, _)) if *probe < id => low = middle + 1,
                _ => high = middle,
            }
        }
        low
    }

    /// Returns the index of the first member whose id is greater than `id`.
    pub fn upper_bound(&self, id: MemberId) -> usize {
        self.lower_bound(id) + usize::from(self.by_id.contains_key(&id))
    }

    /// Returns the number of members that are not gone.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Returns whether all members are gone or there are none.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Applies a report about a member. If that member, or another one at its address, is marked
    /// gone, it is forgotten at `forget_at_us`.
    pub fn apply_report(&mut self, report: Member, forget_at_us: u64) -> MemberReportOutcome {
        if let Some(gone) = self.gone.get(&report.id)
            && report.incarnation <= gone.member.incarnation
        {
            return MemberReportOutcome::Unchanged;
        }
        if let Some(current) = self.get(report.id)
            && report.freshness() <= current.freshness()
        {
            return MemberReportOutcome::Unchanged;
        }
        if report.state == MemberState::Gone {
            return self.insert_gone(report, forget_at_us);
        }
        let mut replaced = None;
        if let Some(other) = self.at_address(report.address)
            && other.id != report.id
        {
            if (other.incarnation, other.id) > (report.incarnation, report.id) {
                return MemberReportOutcome::AddressTaken(other.id);
            }
            replaced = Some(other.id);
        }
        if let Some(id) = replaced {
            self.mark_gone(id, forget_at_us);
        }
        self.insert(report);
        MemberReportOutcome::Changed { replaced }
    }

    /// Marks a member as gone at its current incarnation and returns it.
    pub fn mark_gone(&mut self, id: MemberId, forget_at_us: u64) -> Option<Member> {
        let mut member = self.get(id)?.clone();
        member.state = MemberState::Gone;
        self.insert_gone(member.clone(), forget_at_us);
        Some(member)
    }

    /// Forgets the members that are gone and whose `forget_at_us` has passed.
    pub fn forget_expired(&mut self, now_us: u64) {
        self.gone.retain(|_, gone| gone.forget_at_us > now_us);
    }

    /// Returns the digests of the parts of a range of ids.
    pub fn part_digests(&self, range: IdRange) -> [PartDigest; IdRange::PARTS] {
        let mut digests = [PartDigest::default(); IdRange::PARTS];
        let first = self.lower_bound(range.first());
        for index in first..self.by_id.len() {
            let Some((id, key)) = self.by_id.entry_at(index) else {
                break;
            };
            if !range.contains(*id) {
                break;
            }
            let Some(record) = self.records.get(*key) else {
                continue;
            };
            let digest = &mut digests[range.part_index(*id)];
            digest.hash ^= record.hash;
            digest.members += 1;
        }
        digests
    }

    /// Returns the members in a range of ids.
    pub fn in_range(&self, range: IdRange) -> impl Iterator<Item = &Member> {
        let first = self.lower_bound(range.first());
        (first..self.by_id.len())
            .filter_map(|index| self.member_at(index))
            .take_while(move |member| range.contains(member.id))
    }

    fn member(&self, key: RecordKey) -> Option<&Member> {
        Some(&self.records.get(key)?.member)
    }

    fn insert_gone(&mut self, member: Member, forget_at_us: u64) -> MemberReportOutcome {
        let key = self.by_id.remove(&member.id);
        if let Some(key) = key
            && let Some(current) = self.records.remove(key)
            && self.by_address.get(&current.member.address) == Some(&key)
        {
            self.by_address.remove(&current.member.address);
        }
        let gone = GoneMember {
            member,
            forget_at_us,
        };
        self.gone.insert(gone.member.id, gone);
        match key {
            Some(_) => MemberReportOutcome::Gone,
            None => MemberReportOutcome::Unchanged,
        }
    }

    fn insert(&mut self, mut member: Member) {
        self.intern_names(&mut member);
        self.gone.remove(&member.id);
        let (id, address) = (member.id, member.address);
        let record = Record {
            hash: member.hash(),
            member,
        };
        if let Some(key) = self.by_id.get(&id).copied() {
            let current = &mut self.records[key];
            let old_address = current.member.address;
            *current = record;
            if old_address != address {
                self.by_address.remove(&old_address);
            }
            self.by_address.insert(address, key);
            return;
        }
        let key = self.records.insert(record);
        self.by_id.insert(id, key);
        self.by_address.insert(address, key);
    }

    /// Replaces the member's names by shared copies, so that equal names use one allocation.
    fn intern_names(&mut self, member: &mut Member) {
        member.availability_zone = interned(&mut self.zones, member.availability_zone.clone());
        if let Some(service) = member.service.take() {
            member.service = Some(interned(&mut self.services, service));
        }
    }
}

fn interned<T: Ord + Clone>(names: &mut Vec<T>, name: T) -> T {
    match names.binary_search(&name) {
        Ok(index) => names[index].clone(),
        Err(index) => {
            names.insert(index, name.clone());
            name
        }
    }
}
