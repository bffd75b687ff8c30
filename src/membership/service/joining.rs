//! How a daemon finds its first contacts and learns the member list from them.

use std::net::SocketAddr;

use rand::{Rng, RngExt};

use super::syncing::PARTS_PER_SYNC;
use super::{
    InboundKey, Member, Membership, MembershipSettings, Message, OutboundRequest, Propagation,
    Timer,
};
use crate::ids::{AvailabilityZone, MemberId};
use crate::kernel::{Context, LinkError, StateChange};
use crate::membership::contacts;
use crate::membership::message::member_bytes;
use crate::table::{ObjectResponse, PlatformError, Row, TableResponse};

/// The size of the members in one part of the member list.
const LIST_PART_BYTES: usize = 8_192;

/// How far a daemon has come with the member list.
#[derive(Default)]
pub(super) struct JoinProgress {
    contacts: Vec<SocketAddr>,
    after: Option<MemberId>,
    is_listing: bool,
    is_joined: bool,
    has_row: bool,
    is_row_planned: bool,
    rows_read: usize,
    rounds: u32,
    all_rows_pause_ms: u32,
    zones: Vec<AvailabilityZone>,
    last_zone: Option<AvailabilityZone>,
}

impl JoinProgress {
    /// Returns the own zone at first, then any that has rows.
    fn zone_to_scan(&self, own: &Member, rng: &mut impl Rng) -> AvailabilityZone {
        if self.rounds == 0 || self.zones.is_empty() {
            return own.availability_zone.clone();
        }
        self.zones[rng.random_range(0..self.zones.len())].clone()
    }

    /// Says whether the table showed as many contacts as a daemon failed_probes for.
    fn has_read_enough_rows(&self, settings: &MembershipSettings) -> bool {
        self.rows_read >= settings.contacts_max as usize
    }

    fn record_zone(&mut self, zone: &AvailabilityZone) {
        if let Err(at) = self.zones.binary_search(zone) {
            self.zones.insert(at, zone.clone());
        }
        self.last_zone = Some(zone.clone());
    }
}

impl Membership {
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

    /// Reads some rows of the own zone and of others.
    pub(super) fn find_contacts(&mut self, context: &mut Context<'_>) {
        if self.join.is_joined || self.is_stopping {
            return;
        }
        let retry_after_us = self
            .contact_backoff
            .next_us(self.settings.retry_max_ms, context.rng());
        self.set_timer(context, retry_after_us, Timer::FindContacts);
        if self.roster.len() > 1 {
            if !self.join.is_listing {
                self.list_members(context);
            }
            return;
        }
        let zone = self.join.zone_to_scan(&self.own, context.rng());
        let limit = self.settings.contacts_max;
        let some = contacts::scan_zone(&zone, limit, context.rng());
        let ask = context.table(some, self.platform_timeout_us());
        self.pending_requests.insert(ask, OutboundRequest::ScanZone);
        if self.join.rounds > 0 {
            self.scan_next_zone(context);
            self.read_snapshot(context);
        }
        self.join.rounds += 1;
    }

    /// Reads the rows of all daemons: groups that started apart from each other meet there.
    pub(super) fn read_all_rows(&mut self, context: &mut Context<'_>) {
        let pause_ms = self.join.all_rows_pause_ms.saturating_mul(2);
        self.join.all_rows_pause_ms = pause_ms.min(self.settings.all_rows_pause_max_ms);
        let pause_us = u64::from(self.join.all_rows_pause_ms) * 1_000;
        let jitter_us = context.rng().random_range(0..=pause_us / 4);
        self.set_timer(context, pause_us + jitter_us, Timer::ReadAllRows);
        if self.is_stopping {
            return;
        }
        let request = contacts::scan_rows(None, None, self.settings.all_rows_max);
        let ask = context.table(request, self.platform_timeout_us());
        self.pending_requests
            .insert(ask, OutboundRequest::ScanAllRows);
    }

    /// Meets the daemons of rows whose addresses are not known.
    fn contact_unknown_rows(&mut self, context: &mut Context<'_>, rows: &[Row]) {
        for (member, _) in contacts::row_members(rows) {
            let address = member.address;
            let is_known = self.roster.at_address(address).is_some();
            if is_known || address == self.own.address {
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
        let request = contacts::scan_next_zone(self.join.last_zone.as_ref(), limit);
        let ask = context.table(request, self.platform_timeout_us());
        self.pending_requests
            .insert(ask, OutboundRequest::ScanNextZone);
    }

    fn read_snapshot(&mut self, context: &mut Context<'_>) {
        let ask = context.object(contacts::read_snapshot(), self.platform_timeout_us());
        self.pending_requests
            .insert(ask, OutboundRequest::ReadSnapshot);
    }

    /// Writes the own row at once where few are there, else later: many may start together.
    fn schedule_own_row(&mut self, context: &mut Context<'_>) {
        if self.join.is_row_planned {
            return;
        }
        self.join.is_row_planned = true;
        if !self.join.has_read_enough_rows(&self.settings) || self.settings.all_rows_max > 0 {
            self.write_own_row(context);
            return;
        }
        let max_us = u64::from(self.settings.row_refresh_ms) * 1_000;
        let after_us = context.rng().random_range(0..=max_us);
        self.set_timer(context, after_us, Timer::WriteRow);
    }

    pub(super) fn write_own_row(&mut self, context: &mut Context<'_>) {
        if self.join.has_row || self.is_stopping {
            return;
        }
        let request = contacts::write_row(&self.own);
        let ask = context.table(request, self.platform_timeout_us());
        self.pending_requests.insert(ask, OutboundRequest::WriteRow);
    }

    pub(super) fn delete_own_row(&mut self, context: &mut Context<'_>) {
        let request = contacts::delete_row(&self.own);
        let ask = context.table(request, self.platform_timeout_us());
        self.pending_requests
            .insert(ask, OutboundRequest::DeleteRow);
    }

    pub(super) fn handle_table_response(
        &mut self,
        context: &mut Context<'_>,
        ask: OutboundRequest,
        result: Result<TableResponse, PlatformError>,
    ) {
        match (ask, result) {
            (OutboundRequest::ScanZone, Ok(TableResponse::Rows(rows))) => {
                self.handle_scanned_rows(context, &rows);
                if self.join.rounds == 1 && !self.join.has_read_enough_rows(&self.settings) {
                    self.join.last_zone = None;
                    self.scan_next_zone(context);
                    return;
                }
                self.schedule_own_row(context);
            }
            (OutboundRequest::ScanAllRows, Ok(TableResponse::Rows(rows))) => {
                self.contact_unknown_rows(context, &rows)
            }
            (OutboundRequest::ScanNextZone, Ok(TableResponse::Rows(rows))) => {
                self.handle_scanned_rows(context, &rows);
                self.schedule_own_row(context);
            }
            (OutboundRequest::ScanZone | OutboundRequest::ScanNextZone, _) => {
                self.schedule_own_row(context);
                self.read_snapshot(context);
            }
            (OutboundRequest::CheckRows, Ok(TableResponse::Rows(rows))) => {
                self.probe_unknown_rows(context, &rows)
            }
            (OutboundRequest::WriteRow, Ok(_)) => self.join.has_row = true,
            (OutboundRequest::WriteRow, Err(_)) => {
                let retry_after_us = self
                    .row_backoff
                    .next_us(self.settings.retry_max_ms, context.rng());
                self.set_timer(context, retry_after_us, Timer::WriteRow);
            }
            _ => {}
        }
    }

    pub(super) fn handle_object_response(
        &mut self,
        context: &mut Context<'_>,
        ask: OutboundRequest,
        result: Result<ObjectResponse, PlatformError>,
    ) {
        if let (OutboundRequest::ReadSnapshot, Ok(ObjectResponse::Content(content))) = (ask, result)
        {
            self.add_contacts(context, &contacts::snapshot_members(&content));
        }
    }

    fn handle_scanned_rows(&mut self, context: &mut Context<'_>, rows: &[Row]) {
        self.join.rows_read += rows.len();
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

    /// Takes in possible contacts; an earlier daemon at this address is gone.
    fn add_contacts(&mut self, context: &mut Context<'_>, members: &[Member]) {
        for member in members {
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
            self.list_members(context);
        }
    }

    /// Daemons that start at once may have met others than this one did.
    fn list_from_unknown_contact(&mut self, context: &mut Context<'_>) {
        while let Some(address) = self.join.contacts.pop() {
            if self.roster.at_address(address).is_none() {
                self.list_from(context, address);
                return;
            }
        }
    }

    /// Asks a daemon that was not known for its member list: the two did not know of each other.
    pub(super) fn list_from(&mut self, context: &mut Context<'_>, address: SocketAddr) {
        if self.join.is_listing {
            return;
        }
        self.join.is_listing = true;
        self.join.after = None;
        self.send_list_request(context, address);
    }

    /// Asks for the next part of the member list, of a contact at first, then of any member.
    pub(super) fn list_members(&mut self, context: &mut Context<'_>) {
        let known = self.sample(context.rng(), 1);
        let address = match known.first() {
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
            after: self.join.after,
        };
        if !self.send_request(context, address, message, OutboundRequest::ListMembers) {
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
            self.join.after = self.join.after.max(Some(member.id));
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
            self.compare_all(context, PARTS_PER_SYNC);
            self.contact_backoff.reset();
            let detail = format!("members={}", self.roster.len());
            context.log(StateChange::new("membership", "joined", detail));
        }
    }

    /// Asks another member after a delay that grows while none has bytes to spend.
    fn retry_list(&mut self, context: &mut Context<'_>) {
        let after_us = self
            .list_backoff
            .next_us(self.settings.probe_period_ms, context.rng());
        self.set_timer(context, after_us, Timer::ListMembers);
    }

    pub(super) fn respond_with_list(
        &mut self,
        context: &mut Context<'_>,
        inbound: InboundKey,
        from: Member,
        after: Option<MemberId>,
    ) {
        self.handle_self_report(context, from);
        let left_bytes = self
            .budget
            .surplus_bytes(context.now_us())
            .min(LIST_PART_BYTES);
        let mut members = Vec::new();
        let mut bytes = 0;
        let mut at = after.map_or(0, |after| self.roster.upper_bound(after));
        while let Some(member) = self.roster.member_at(at) {
            bytes += member_bytes(member);
            if bytes > left_bytes {
                break;
            }
            members.push(member.clone());
            at += 1;
        }
        let has_more = at < self.roster.len();
        self.send_response(context, inbound, Message::Members { members, has_more });
    }

    pub(super) fn platform_timeout_us(&self) -> u64 {
        u64::from(self.settings.platform_timeout_ms) * 1_000
    }
}
