//! Joining: how a daemon finds its first contacts and reads the member list from them.

use std::net::SocketAddr;

use rand::{Rng, RngExt};

use super::syncing::SMALL_DIFFERENCES_PER_SYNC;
use super::{
    InboundKey, Member, Membership, MembershipSettings, Message, Propagation, RequestPurpose, Timer,
};
use crate::ids::{AvailabilityZone, MemberId};
use crate::kernel::{Context, LinkError, StateChange};
use crate::membership::contacts;
use crate::membership::message::member_bytes;
use crate::table::{ObjectResponse, PlatformError, REWRITE_SPREAD_US, Row, TableResponse};

/// The maximum size of the members in one part of the member list.
const LIST_PART_BYTES: usize = 8_192;

/// The progress of finding contacts, reading the member list and writing the own row.
#[derive(Default)]
pub(super) struct JoinProgress {
    /// The addresses of possible contacts that got no list request yet.
    contacts: Vec<SocketAddr>,
    /// The greatest id received in the current listing.
    list_after: Option<MemberId>,
    is_listing: bool,
    is_joined: bool,
    /// Whether rows of the table were read.
    has_read_rows: bool,
    /// The addresses of other daemons in the rows and the snapshot that were read, sorted.
    row_addresses: Vec<SocketAddr>,
    has_row: bool,
    is_row_write_scheduled: bool,
    rows_read: usize,
    scan_rounds: u32,
    all_rows_pause_ms: u32,
    zones: Vec<AvailabilityZone>,
    last_zone: Option<AvailabilityZone>,
}

impl JoinProgress {
    /// Returns the own zone in the first round, then a random zone among those whose rows were
    /// read.
    fn zone_to_scan(&self, own: &Member, rng: &mut impl Rng) -> AvailabilityZone {
        if self.scan_rounds == 0 || self.zones.is_empty() {
            return own.availability_zone.clone();
        }
        self.zones[rng.random_range(0..self.zones.len())].clone()
    }

    /// Returns whether the scans returned as many rows as a daemon needs for its first contacts.
    fn has_read_enough_rows(&self, settings: &MembershipSettings) -> bool {
        self.rows_read >= settings.contacts_max as usize
    }

    fn record_zone(&mut self, zone: &AvailabilityZone) {
        if let Err(index) = self.zones.binary_search(zone) {
            self.zones.insert(index, zone.clone());
        }
        self.last_zone = Some(zone.clone());
    }
}

impl Membership {
    /// Returns whether this daemon has read the member list from a peer, or found in the platform's
    /// table that there is no other daemon.
    pub fn has_read_members(&self) -> bool {
        let is_alone = self.join.has_read_rows && self.join.row_addresses.is_empty();
        self.join.is_joined || is_alone
    }

    /// Returns the addresses of other daemons in the rows of the platform's table that this daemon
    /// read, sorted; those daemons may be gone.
    pub fn row_addresses(&self) -> &[SocketAddr] {
        &self.join.row_addresses
    }

    fn record_row_address(&mut self, address: SocketAddr) {
        if address == self.own.address {
            return;
        }
        if let Err(index) = self.join.row_addresses.binary_search(&address) {
            self.join.row_addresses.insert(index, address);
        }
    }

    pub(super) fn start(&mut self, context: &mut Context<'_>) {
        let period_us = u64::from(self.settings.probe_period_ms) * 1_000;
        let phase_us = context.rng().random_range(0..=period_us);
        self.set_timer(context, phase_us, Timer::Probe);
        let gone_us = u64::from(self.settings.gone_probe_ms) * 1_000;
        let phase_us = context.rng().random_range(0..=gone_us);
        self.set_timer(context, phase_us, Timer::ProbeGone);
        let rows_us = u64::from(self.settings.row_refresh_ms) * 1_000;
        let phase_us = context.rng().random_range(rows_us / 2..=rows_us);
        self.set_timer(context, phase_us, Timer::CheckRows);
        let sync_us = u64::from(self.settings.sync_period_ms) * 1_000;
        let phase_us = context.rng().random_range(0..=sync_us);
        self.set_timer(context, phase_us, Timer::Sync);
        self.queue.push(self.own.id);
        if self.settings.all_rows_max > 0 {
            self.join.all_rows_pause_ms = self.settings.all_rows_first_ms;
            let first_us = u64::from(self.settings.all_rows_first_ms) * 1_000;
            self.set_timer(context, first_us, Timer::ReadAllRows);
        }
        self.find_contacts(context);
    }

    /// Searches for contacts until this daemon has joined.
    ///
    /// Each round reads some rows of one zone; rounds after the first also read rows of the next
    /// zone and the snapshot. The first round reads the first rows of the table only if its own
    /// zone has too few, and the snapshot only if a read of rows fails. Once the roster contains
    /// another member, a round reads no rows, but requests the member list unless a listing is in
    /// progress.
    pub(super) fn find_contacts(&mut self, context: &mut Context<'_>) {
        if self.join.is_joined || self.is_stopping {
            return;
        }
        let delay_us = self
            .contact_backoff
            .next_us(self.settings.retry_max_ms, context.rng());
        self.set_timer(context, delay_us, Timer::FindContacts);
        if self.roster.len() > 1 {
            if !self.join.is_listing {
                self.request_next_list_part(context);
            }
            return;
        }
        let zone = self.join.zone_to_scan(&self.own, context.rng());
        let limit = self.settings.contacts_max;
        let request = contacts::scan_zone_request(&zone, limit, context.rng());
        let key = context.send_table_request(request, self.platform_timeout_us());
        self.pending_requests.insert(key, RequestPurpose::ScanZone);
        if self.join.scan_rounds > 0 {
            self.scan_next_zone(context);
            self.read_snapshot(context);
        }
        self.join.scan_rounds += 1;
    }

    /// Reads the rows of all daemons, so that groups that started separately find each other.
    pub(super) fn read_all_rows(&mut self, context: &mut Context<'_>) {
        let pause_ms = self.join.all_rows_pause_ms.saturating_mul(2);
        self.join.all_rows_pause_ms = pause_ms.min(self.settings.all_rows_pause_max_ms);
        let pause_us = u64::from(self.join.all_rows_pause_ms) * 1_000;
        let jitter_us = context.rng().random_range(0..=pause_us / 4);
        self.set_timer(context, pause_us + jitter_us, Timer::ReadAllRows);
        if self.is_stopping {
            return;
        }
        let request = contacts::scan_rows_request(None, None, self.settings.all_rows_max);
        let key = context.send_table_request(request, self.platform_timeout_us());
        self.pending_requests
            .insert(key, RequestPurpose::ScanAllRows);
    }

    /// Adds the addresses of rows that are not in the roster to the contacts, and requests the
    /// member list of one of them, unless a listing is in progress.
    fn add_unknown_contacts(&mut self, context: &mut Context<'_>, rows: &[Row]) {
        for (member, _) in contacts::row_members(rows) {
            let address = member.address;
            self.record_row_address(address);
            let is_in_roster = self.roster.at_address(address).is_some();
            if is_in_roster || address == self.own.address {
                continue;
            }
            if !self.join.contacts.contains(&address) {
                self.join.contacts.push(address);
            }
        }
        if !self.join.is_listing {
            self.list_from_unknown_contact(context);
        }
    }

    fn scan_next_zone(&mut self, context: &mut Context<'_>) {
        let limit = self.settings.contacts_max;
        let request = contacts::scan_next_zone_request(self.join.last_zone.as_ref(), limit);
        let key = context.send_table_request(request, self.platform_timeout_us());
        self.pending_requests
            .insert(key, RequestPurpose::ScanNextZone);
    }

    fn read_snapshot(&mut self, context: &mut Context<'_>) {
        let key = context.send_object_request(
            contacts::read_snapshot_request(),
            self.platform_timeout_us(),
        );
        self.pending_requests
            .insert(key, RequestPurpose::ReadSnapshot);
    }

    /// Writes the own row immediately if the scans returned fewer than `contacts_max` rows, or if
    /// daemons read all rows.
    ///
    /// Otherwise it writes the row after a random delay, because many daemons may start together.
    fn schedule_own_row_write(&mut self, context: &mut Context<'_>) {
        if self.join.is_row_write_scheduled {
            return;
        }
        self.join.is_row_write_scheduled = true;
        if !self.join.has_read_enough_rows(&self.settings) || self.settings.all_rows_max > 0 {
            self.write_own_row(context);
            return;
        }
        let max_us = u64::from(self.settings.row_refresh_ms) * 1_000;
        let delay_us = context.rng().random_range(0..=max_us);
        self.set_timer(context, delay_us, Timer::WriteRow);
    }

    /// Schedules another write of the own row, which a restored store may have lost.
    pub(super) fn schedule_row_rewrite(&mut self, context: &mut Context<'_>) {
        if !self.join.has_row {
            return;
        }
        self.join.has_row = false;
        let delay_us = context.rng().random_range(0..=REWRITE_SPREAD_US);
        self.set_timer(context, delay_us, Timer::WriteRow);
    }

    pub(super) fn write_own_row(&mut self, context: &mut Context<'_>) {
        if self.join.has_row || self.is_stopping {
            return;
        }
        let request = contacts::write_row_request(&self.own);
        let key = context.send_table_request(request, self.platform_timeout_us());
        self.pending_requests.insert(key, RequestPurpose::WriteRow);
    }

    pub(super) fn delete_own_row(&mut self, context: &mut Context<'_>) {
        let request = contacts::delete_row_request(&self.own);
        let key = context.send_table_request(request, self.platform_timeout_us());
        self.pending_requests.insert(key, RequestPurpose::DeleteRow);
    }

    pub(super) fn handle_table_response(
        &mut self,
        context: &mut Context<'_>,
        purpose: RequestPurpose,
        result: Result<TableResponse, PlatformError>,
    ) {
        match (purpose, result) {
            (RequestPurpose::ScanZone, Ok(TableResponse::Rows(rows))) => {
                self.handle_scanned_rows(context, &rows);
                if self.join.scan_rounds == 1 && !self.join.has_read_enough_rows(&self.settings) {
                    self.join.last_zone = None;
                    self.scan_next_zone(context);
                    return;
                }
                self.schedule_own_row_write(context);
            }
            (RequestPurpose::ScanAllRows, Ok(TableResponse::Rows(rows))) => {
                self.add_unknown_contacts(context, &rows)
            }
            (RequestPurpose::ScanNextZone, Ok(TableResponse::Rows(rows))) => {
                self.handle_scanned_rows(context, &rows);
                self.schedule_own_row_write(context);
            }
            (RequestPurpose::ScanZone | RequestPurpose::ScanNextZone, _) => {
                self.schedule_own_row_write(context);
                self.read_snapshot(context);
            }
            (RequestPurpose::CheckRows, Ok(TableResponse::Rows(rows))) => {
                self.probe_unknown_daemons(context, &rows)
            }
            (RequestPurpose::WriteRow, Ok(_)) => self.join.has_row = true,
            (RequestPurpose::WriteRow, Err(_)) => {
                let delay_us = self
                    .row_backoff
                    .next_us(self.settings.retry_max_ms, context.rng());
                self.set_timer(context, delay_us, Timer::WriteRow);
            }
            _ => {}
        }
    }

    pub(super) fn handle_object_response(
        &mut self,
        context: &mut Context<'_>,
        purpose: RequestPurpose,
        result: Result<ObjectResponse, PlatformError>,
    ) {
        if let (RequestPurpose::ReadSnapshot, Ok(ObjectResponse::Content(content))) =
            (purpose, result)
        {
            self.add_contacts(context, &contacts::snapshot_members(&content));
        }
    }

    fn handle_scanned_rows(&mut self, context: &mut Context<'_>, rows: &[Row]) {
        self.join.rows_read += rows.len();
        self.join.has_read_rows = true;
        let mut members = Vec::new();
        for (member, _) in contacts::row_members(rows) {
            self.join.record_zone(&member.availability_zone);
            members.push(member);
        }
        if rows.is_empty() {
            self.join.last_zone = None;
        }
        self.add_contacts(context, &members);
    }

    /// Adds possible contacts; a member at this daemon's own address is a predecessor and gone.
    fn add_contacts(&mut self, context: &mut Context<'_>, members: &[Member]) {
        for member in members {
            self.record_row_address(member.address);
            if member.address == self.own.address && member.id != self.own.id {
                self.mark_predecessor_gone(context, member.clone());
            }
        }
        let found = contacts::addresses(members, self.own.address, context.rng());
        for address in found {
            if !self.join.contacts.contains(&address) {
                self.join.contacts.push(address);
            }
        }
        if !self.join.is_joined && !self.join.is_listing {
            self.request_next_list_part(context);
        }
    }

    /// Starts a listing with a contact that is not in the roster.
    ///
    /// Daemons that started at the same time may have found different contacts and formed separate
    /// groups.
    fn list_from_unknown_contact(&mut self, context: &mut Context<'_>) {
        while let Some(address) = self.join.contacts.pop() {
            if self.roster.at_address(address).is_none() {
                self.start_listing_from(context, address);
                return;
            }
        }
    }

    /// Starts a listing of all members with a request to a daemon that was not in the roster; does
    /// nothing if a listing is in progress.
    ///
    /// The groups of the two daemons may not have discovered each other yet. Further parts of the
    /// list are requested from random members.
    pub(super) fn start_listing_from(&mut self, context: &mut Context<'_>, address: SocketAddr) {
        if self.join.is_listing {
            return;
        }
        self.join.is_listing = true;
        self.join.list_after = None;
        self.send_list_request(context, address);
    }

    /// Requests the next part of the member list from a random member, or from a contact if there
    /// are none yet.
    pub(super) fn request_next_list_part(&mut self, context: &mut Context<'_>) {
        let sampled = self.sample(context.rng(), 1);
        let address = match sampled.first() {
            Some(member) => Some(member.address),
            None => self.join.contacts.pop(),
        };
        let Some(address) = address else {
            self.join.is_listing = false;
            return;
        };
        self.join.is_listing = true;
        self.send_list_request(context, address);
    }

    fn send_list_request(&mut self, context: &mut Context<'_>, address: SocketAddr) {
        let message = Message::ListMembers {
            from: self.own.clone(),
            after: self.join.list_after,
        };
        if !self.send_request(context, address, message, RequestPurpose::ListMembers) {
            self.retry_list(context);
        }
    }

    pub(super) fn handle_member_list(
        &mut self,
        context: &mut Context<'_>,
        result: Result<Message, LinkError>,
    ) {
        let Ok(Message::Members { members, has_more }) = result else {
            self.retry_list(context);
            return;
        };
        if members.is_empty() && has_more {
            self.retry_list(context);
            return;
        }
        self.list_backoff.reset();
        for member in members {
            self.join.list_after = self.join.list_after.max(Some(member.id));
            self.apply_report(context, member, Propagation::None);
        }
        if has_more {
            let period_us = u64::from(self.settings.list_period_ms) * 1_000;
            self.set_timer(context, period_us, Timer::ListMembers);
            return;
        }
        self.join.is_listing = false;
        self.list_from_unknown_contact(context);
        if !self.join.is_joined {
            self.join.is_joined = true;
            self.start_comparison(context, SMALL_DIFFERENCES_PER_SYNC);
            self.contact_backoff.reset();
            let detail = format!("members={}", self.roster.len());
            context.log(StateChange::new("membership", "joined", detail));
        }
    }

    /// Schedules a retry of the member list after a backoff, which grows while requests fail or the
    /// members that respond have no surplus in their byte budgets.
    fn retry_list(&mut self, context: &mut Context<'_>) {
        let delay_us = self
            .list_backoff
            .next_us(self.settings.probe_period_ms, context.rng());
        self.set_timer(context, delay_us, Timer::ListMembers);
    }

    /// Responds with the next part of the member list, as far as the surplus of the byte budget
    /// allows.
    pub(super) fn respond_with_list(
        &mut self,
        context: &mut Context<'_>,
        inbound: InboundKey,
        from: Member,
        after: Option<MemberId>,
    ) {
        self.handle_self_report(context, from);
        let max_bytes = self
            .budget
            .surplus_bytes(context.now_us())
            .min(LIST_PART_BYTES);
        let mut members = Vec::new();
        let mut bytes = 0;
        let mut index = after.map_or(0, |after| self.roster.upper_bound(after));
        while let Some(member) = self.roster.member_at(index) {
            bytes += member_bytes(member);
            if bytes > max_bytes {
                break;
            }
            members.push(member.clone());
            index += 1;
        }
        let has_more = index < self.roster.len();
        self.send_response(context, inbound, Message::Members { members, has_more });
    }

    pub(super) fn platform_timeout_us(&self) -> u64 {
        u64::from(self.settings.platform_timeout_ms) * 1_000
    }
}
