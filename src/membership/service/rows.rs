//! Maintenance of the table's rows and the snapshot, through which new daemons find contacts.
//!
//! Only the member with the smallest id and the one with the smallest id of each zone do this.

use super::{Member, Membership, RequestPurpose, Timer};
use crate::ids::MemberId;
use crate::kernel::{Context, StateChange};
use crate::membership::contacts;
use crate::sorted::SortedMap;
use crate::table::{Row, RowVersion};

/// The number of rows that one scan reads.
const ROWS_PER_SCAN: u32 = 64;

/// The number of failed probes of a row's daemon after which the row is deleted.
const FAILED_PROBES_BEFORE_DELETE: u32 = 2;

/// The number of failed probes after which a row is deleted if the roster has no members of its
/// zone, which may be partitioned rather than down.
const FAILED_PROBES_BEFORE_DELETE_IN_EMPTY_ZONE: u32 = 10;

/// The number of members in the snapshot for each contact that a new daemon needs.
const SNAPSHOT_MEMBERS_PER_CONTACT: usize = 4;

/// The progress of the passes over the rows, and the rows whose daemons are not in the roster.
#[derive(Default)]
pub(super) struct RowCheck {
    after: Option<String>,
    pass: u32,
    unconfirmed: SortedMap<MemberId, UnconfirmedRow>,
}

/// A row whose daemon is not in the roster and did not respond to a probe yet.
struct UnconfirmedRow {
    member: Member,
    version: RowVersion,
    failed_probes: u32,
    pass: u32,
}

impl Membership {
    /// Checks a batch of rows, of all zones or of the own zone, and writes the snapshot.
    ///
    /// The member with the smallest id checks the rows of all zones and writes the snapshot; the
    /// member with the smallest id of another zone checks the rows of that zone.
    pub(super) fn check_rows(&mut self, context: &mut Context<'_>) {
        let period_us = u64::from(self.settings.row_refresh_ms) * 1_000;
        self.set_timer(context, period_us, Timer::CheckRows);
        let has_min_id = self.roster.lower_bound(self.own.id) == 0;
        if has_min_id {
            self.write_snapshot(context);
        }
        if !has_min_id && !self.has_min_id_in_zone() {
            return;
        }
        let zone = (!has_min_id).then_some(&self.own.availability_zone);
        let after = self.row_check.after.clone();
        let request = contacts::scan_rows_request(zone, after, ROWS_PER_SCAN);
        let key = context.send_table_request(request, self.platform_timeout_us());
        self.pending_requests.insert(key, RequestPurpose::CheckRows);
    }

    fn has_min_id_in_zone(&self) -> bool {
        for member in self.roster.members() {
            if member.availability_zone == self.own.availability_zone {
                return member.id == self.own.id;
            }
        }
        false
    }

    fn write_snapshot(&mut self, context: &mut Context<'_>) {
        let count = self.settings.contacts_max as usize * SNAPSHOT_MEMBERS_PER_CONTACT;
        let mut members = self.sample(context.rng(), count);
        members.push(self.own.clone());
        let request = contacts::write_snapshot_request(&members);
        let key = context.send_object_request(request, self.platform_timeout_us());
        self.pending_requests
            .insert(key, RequestPurpose::WriteSnapshot);
    }

    /// Probes the daemons that have a row but are not in the roster.
    pub(super) fn probe_unknown_daemons(&mut self, context: &mut Context<'_>, rows: &[Row]) {
        let found = contacts::row_members(rows);
        self.row_check.advance(rows);
        let pass = self.row_check.pass;
        for (member, version) in found {
            if self.roster.get(member.id).is_some() {
                self.row_check.unconfirmed.remove(&member.id);
                continue;
            }
            let Member { id, address, .. } = member;
            let row = self
                .row_check
                .unconfirmed
                .get_or_insert_with(id, || UnconfirmedRow {
                    member,
                    version,
                    failed_probes: 0,
                    pass,
                });
            row.version = version;
            row.pass = pass;
            self.probe_address(context, id, address, RequestPurpose::ProbeRow(id));
        }
    }

    /// Counts a failed probe of a row's daemon. After too many, requests that the row be deleted
    /// unless it was written in the meantime; the outcome is not checked.
    pub(super) fn handle_row_unreachable(&mut self, context: &mut Context<'_>, id: MemberId) {
        let Some(row) = self.row_check.unconfirmed.get_mut(&id) else {
            return;
        };
        row.failed_probes += 1;
        let zone = &row.member.availability_zone;
        let has_members = self
            .roster
            .members()
            .any(|member| member.availability_zone == *zone);
        let needed = match has_members {
            true => FAILED_PROBES_BEFORE_DELETE,
            false => FAILED_PROBES_BEFORE_DELETE_IN_EMPTY_ZONE,
        };
        if row.failed_probes < needed {
            return;
        }
        let request = contacts::delete_stale_row_request(&row.member, row.version);
        context.log(StateChange::new(
            "row",
            "deletion requested",
            super::describe(&row.member),
        ));
        self.row_check.unconfirmed.remove(&id);
        let key = context.send_table_request(request, self.platform_timeout_us());
        self.pending_requests.insert(key, RequestPurpose::DeleteRow);
    }

    /// Handles an ack from the address of a row whose daemon was not in the roster; an ack of
    /// another daemon counts as a failed probe.
    pub(super) fn handle_row_ack(
        &mut self,
        context: &mut Context<'_>,
        id: MemberId,
        from: MemberId,
    ) {
        if from != id {
            self.handle_row_unreachable(context, id);
            return;
        }
        if let Some(row) = self.row_check.unconfirmed.remove(&id) {
            self.start_listing_from(context, row.member.address);
        }
    }
}

impl RowCheck {
    /// Records where the next scan begins; after the last row, a new pass begins at the first.
    ///
    /// At the end of a pass, forgets the unconfirmed rows that were not read since the previous one
    /// ended.
    fn advance(&mut self, rows: &[Row]) {
        if rows.len() == ROWS_PER_SCAN as usize {
            self.after = rows.last().map(|row| row.key.clone());
            return;
        }
        self.after = None;
        let pass = self.pass;
        self.unconfirmed.retain(|_, row| row.pass == pass);
        self.pass += 1;
    }
}
