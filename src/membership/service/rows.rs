//! The table's rows and the snapshot, kept by a few members for daemons that start.

use super::{Ask, Member, Membership, Tag};
use crate::ids::MemberId;
use crate::kernel::{Context, StateChange};
use crate::membership::contacts;
use crate::sorted::SortedMap;
use crate::table::Row;

/// The rows that are read in one look.
const ROWS_PER_LOOK: u32 = 64;

/// The looks in which a row's daemon does not answer before the row is deleted.
const LOOKS_BEFORE_DELETE: u32 = 2;

/// The same for a zone of which no member is known: it may only be cut off.
const LOOKS_BEFORE_DELETE_OF_ZONE: u32 = 10;

/// The members in the snapshot, for each contact that a new daemon looks for.
const SNAPSHOT_MEMBERS_PER_CONTACT: usize = 4;

/// The look at the rows of one zone after the other.
#[derive(Default)]
pub(super) struct Collecting {
    after: Option<String>,
    walk: u32,
    doubts: SortedMap<MemberId, Doubt>,
}

/// A row whose daemon did not answer.
struct Doubt {
    member: Member,
    version: u64,
    looks: u32,
    walk: u32,
}

impl Membership {
    /// The members with the least id, of all and of each zone, look after rows and snapshot.
    pub(super) fn refresh_rows(&mut self, context: &mut Context<'_>) {
        let period_us = u64::from(self.settings.row_refresh_ms) * 1_000;
        self.timer(context, period_us, Tag::Rows);
        let is_least = self.roster.lower_bound(self.own.id) == 0;
        if is_least {
            self.put_snapshot(context);
        }
        if !is_least && !self.is_least_of_zone() {
            return;
        }
        let zone = (!is_least).then_some(&self.own.availability_zone);
        let after = self.collecting.after.clone();
        let request = contacts::scan_rows(zone, after, ROWS_PER_LOOK);
        let ask = context.send_table_request(request, self.platform_timeout_us());
        self.asks.insert(ask, Ask::Collect);
    }

    fn is_least_of_zone(&self) -> bool {
        for member in self.roster.members() {
            if member.availability_zone == self.own.availability_zone {
                return member.id == self.own.id;
            }
        }
        false
    }

    fn put_snapshot(&mut self, context: &mut Context<'_>) {
        let count = self.settings.contacts_max as usize * SNAPSHOT_MEMBERS_PER_CONTACT;
        let mut members = self.sample(context.rng(), count);
        members.push(self.own.clone());
        let request = contacts::write_snapshot(&members);
        let ask = context.send_object_request(request, self.platform_timeout_us());
        self.asks.insert(ask, Ask::WriteSnapshot);
    }

    /// Probes the daemons of rows that are not known.
    pub(super) fn collect(&mut self, context: &mut Context<'_>, rows: &[Row]) {
        let found = contacts::row_members(rows);
        self.collecting.go_on(rows);
        let walk = self.collecting.walk;
        for (member, version) in found {
            if self.roster.get(member.id).is_some() {
                self.collecting.doubts.remove(&member.id);
                continue;
            }
            let Member { id, address, .. } = member;
            let doubt = self.collecting.doubts.get_or_insert_with(id, || Doubt {
                member,
                version,
                looks: 0,
                walk,
            });
            doubt.version = version;
            doubt.walk = walk;
            self.probe_address(context, id, address, Ask::ProbeRow(id));
        }
    }

    /// A row of a daemon that never answers is deleted.
    pub(super) fn row_unreached(&mut self, context: &mut Context<'_>, id: MemberId) {
        let Some(doubt) = self.collecting.doubts.get_mut(&id) else {
            return;
        };
        doubt.looks += 1;
        let zone = &doubt.member.availability_zone;
        let has_members = self
            .roster
            .members()
            .any(|member| member.availability_zone == *zone);
        let needed = match has_members {
            true => LOOKS_BEFORE_DELETE,
            false => LOOKS_BEFORE_DELETE_OF_ZONE,
        };
        if doubt.looks < needed {
            return;
        }
        let request = contacts::delete_stale(&doubt.member, doubt.version);
        context.log(StateChange::new(
            "row",
            "deleted",
            super::describe(&doubt.member),
        ));
        self.collecting.doubts.remove(&id);
        let ask = context.send_table_request(request, self.platform_timeout_us());
        self.asks.insert(ask, Ask::DeleteRow);
    }

    /// A daemon answered at the address of a row that was not known.
    pub(super) fn row_answered(&mut self, context: &mut Context<'_>, id: MemberId, from: MemberId) {
        if from != id {
            self.row_unreached(context, id);
            return;
        }
        if let Some(doubt) = self.collecting.doubts.remove(&id) {
            self.merge(context, doubt.member.address);
        }
    }
}

impl Collecting {
    /// Notes where the next look begins; after the last row it is at the first again.
    fn go_on(&mut self, rows: &[Row]) {
        if rows.len() == ROWS_PER_LOOK as usize {
            self.after = rows.last().map(|row| row.key.clone());
            return;
        }
        self.after = None;
        let walk = self.walk;
        self.doubts.retain(|_, doubt| doubt.walk == walk);
        self.walk += 1;
    }
}
