//! How a daemon finds its first contacts and learns the member list from them.

use std::net::SocketAddr;

use rand::{Rng, RngExt};

use super::syncing::PARTS_PER_SYNC;
use super::{Ask, InboundKey, Member, Membership, MembershipSettings, Message, Spread, Tag};
use crate::ids::{AvailabilityZone, MemberId};
use crate::kernel::{Context, LinkError, StateChange};
use crate::membership::contacts;
use crate::membership::message::member_bytes;
use crate::table::{ObjectResponse, PlatformError, Row, TableResponse};

/// The size of the members in one part of the member list.
const LIST_PART_BYTES: usize = 8_192;

/// How far a daemon has come with the member list.
#[derive(Default)]
pub(super) struct Joining {
    contacts: Vec<SocketAddr>,
    after: Option<MemberId>,
    is_listing: bool,
    is_joined: bool,
    has_row: bool,
    plans_row: bool,
    rows_seen: usize,
    rounds: u32,
    all_rows_pause_ms: u32,
    zones: Vec<AvailabilityZone>,
    last_zone: Option<AvailabilityZone>,
}

impl Joining {
    /// Returns the own zone at first, then any that has rows.
    fn zone_to_scan(&self, own: &Member, rng: &mut impl Rng) -> AvailabilityZone {
        if self.rounds == 0 || self.zones.is_empty() {
            return own.availability_zone.clone();
        }
        self.zones[rng.random_range(0..self.zones.len())].clone()
    }

    /// Says whether the table showed as many contacts as a daemon looks for.
    fn saw_enough(&self, settings: &MembershipSettings) -> bool {
        self.rows_seen >= settings.contacts_max as usize
    }

    fn saw_zone(&mut self, zone: &AvailabilityZone) {
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
        self.timer(context, phase_us, Tag::Probe);
        let gone_us = u64::from(self.settings.gone_probe_ms) * 1_000;
        let phase_us = context.rng().random_range(0..=gone_us);
        self.timer(context, phase_us, Tag::ProbeGone);
        let rows_us = u64::from(self.settings.row_refresh_ms) * 1_000;
        let phase_us = context.rng().random_range(rows_us / 2..=rows_us);
        self.timer(context, phase_us, Tag::Rows);
        let sync_us = u64::from(self.settings.sync_period_ms) * 1_000;
        let phase_us = context.rng().random_range(0..=sync_us);
        self.timer(context, phase_us, Tag::Sync);
        self.queue.push(self.own.id);
        if self.settings.all_rows_max > 0 {
            self.joining.all_rows_pause_ms = self.settings.all_rows_first_ms;
            let first_us = u64::from(self.settings.all_rows_first_ms) * 1_000;
            self.timer(context, first_us, Tag::AllRows);
        }
        self.find_contacts(context);
    }

    /// Reads some rows of the own zone and of others.
    pub(super) fn find_contacts(&mut self, context: &mut Context<'_>) {
        if self.joining.is_joined || self.is_stopping {
            return;
        }
        let again_us = self
            .backoff
            .next_us(self.settings.retry_max_ms, context.rng());
        self.timer(context, again_us, Tag::Platform);
        if self.roster.len() > 1 {
            if !self.joining.is_listing {
                self.list(context);
            }
            return;
        }
        let zone = self.joining.zone_to_scan(&self.own, context.rng());
        let limit = self.settings.contacts_max;
        let some = contacts::scan_zone(&zone, limit, context.rng());
        let ask = context.send_table_request(some, self.platform_timeout_us());
        self.asks.insert(ask, Ask::Scan);
        if self.joining.rounds > 0 {
            self.scan_next_zone(context);
            self.read_snapshot(context);
        }
        self.joining.rounds += 1;
    }

    /// Reads the rows of all daemons: groups that started apart from each other meet there.
    pub(super) fn read_all_rows(&mut self, context: &mut Context<'_>) {
        let pause_ms = self.joining.all_rows_pause_ms.saturating_mul(2);
        self.joining.all_rows_pause_ms = pause_ms.min(self.settings.all_rows_pause_max_ms);
        let pause_us = u64::from(self.joining.all_rows_pause_ms) * 1_000;
        let jitter_us = context.rng().random_range(0..=pause_us / 4);
        self.timer(context, pause_us + jitter_us, Tag::AllRows);
        if self.is_stopping {
            return;
        }
        let request = contacts::scan_rows(None, None, self.settings.all_rows_max);
        let ask = context.send_table_request(request, self.platform_timeout_us());
        self.asks.insert(ask, Ask::AllRows);
    }

    /// Meets the daemons of rows whose addresses are not known.
    fn meet(&mut self, context: &mut Context<'_>, rows: &[Row]) {
        for (member, _) in contacts::row_members(rows) {
            let address = member.address;
            let is_known = self.roster.at_address(address).is_some();
            if is_known || address == self.own.address {
                continue;
            }
            if !self.joining.contacts.contains(&address) {
                self.joining.contacts.push(address);
            }
        }
        if !self.joining.is_listing {
            self.ask_unknown_contact(context);
        }
    }

    fn scan_next_zone(&mut self, context: &mut Context<'_>) {
        let limit = self.settings.contacts_max;
        let request = contacts::scan_next_zone(self.joining.last_zone.as_ref(), limit);
        let ask = context.send_table_request(request, self.platform_timeout_us());
        self.asks.insert(ask, Ask::ScanNext);
    }

    fn read_snapshot(&mut self, context: &mut Context<'_>) {
        let ask =
            context.send_object_request(contacts::read_snapshot(), self.platform_timeout_us());
        self.asks.insert(ask, Ask::ReadSnapshot);
    }

    /// Writes the own row at once where few are there, else later: many may start together.
    fn plan_row(&mut self, context: &mut Context<'_>) {
        if self.joining.plans_row {
            return;
        }
        self.joining.plans_row = true;
        if !self.joining.saw_enough(&self.settings) || self.settings.all_rows_max > 0 {
            self.write_own_row(context);
            return;
        }
        let most_us = u64::from(self.settings.row_refresh_ms) * 1_000;
        let after_us = context.rng().random_range(0..=most_us);
        self.timer(context, after_us, Tag::Row);
    }

    pub(super) fn write_own_row(&mut self, context: &mut Context<'_>) {
        if self.joining.has_row || self.is_stopping {
            return;
        }
        let request = contacts::write_row(&self.own);
        let ask = context.send_table_request(request, self.platform_timeout_us());
        self.asks.insert(ask, Ask::WriteRow);
    }

    pub(super) fn delete_own_row(&mut self, context: &mut Context<'_>) {
        let request = contacts::delete_row(&self.own);
        let ask = context.send_table_request(request, self.platform_timeout_us());
        self.asks.insert(ask, Ask::DeleteRow);
    }

    pub(super) fn table_answered(
        &mut self,
        context: &mut Context<'_>,
        ask: Ask,
        result: Result<TableResponse, PlatformError>,
    ) {
        match (ask, result) {
            (Ask::Scan, Ok(TableResponse::Rows(rows))) => {
                self.scanned(context, &rows);
                if self.joining.rounds == 1 && !self.joining.saw_enough(&self.settings) {
                    self.joining.last_zone = None;
                    self.scan_next_zone(context);
                    return;
                }
                self.plan_row(context);
            }
            (Ask::AllRows, Ok(TableResponse::Rows(rows))) => self.meet(context, &rows),
            (Ask::ScanNext, Ok(TableResponse::Rows(rows))) => {
                self.scanned(context, &rows);
                self.plan_row(context);
            }
            (Ask::Scan | Ask::ScanNext, _) => {
                self.plan_row(context);
                self.read_snapshot(context);
            }
            (Ask::Collect, Ok(TableResponse::Rows(rows))) => self.collect(context, &rows),
            (Ask::WriteRow, Ok(_)) => self.joining.has_row = true,
            (Ask::WriteRow, Err(_)) => {
                let again_us = self
                    .row_backoff
                    .next_us(self.settings.retry_max_ms, context.rng());
                self.timer(context, again_us, Tag::Row);
            }
            _ => {}
        }
    }

    pub(super) fn object_answered(
        &mut self,
        context: &mut Context<'_>,
        ask: Ask,
        result: Result<ObjectResponse, PlatformError>,
    ) {
        if let (Ask::ReadSnapshot, Ok(ObjectResponse::Content(content))) = (ask, result) {
            self.found(context, &contacts::snapshot_members(&content));
        }
    }

    fn scanned(&mut self, context: &mut Context<'_>, rows: &[Row]) {
        self.joining.rows_seen += rows.len();
        let mut members = Vec::new();
        for (member, _) in contacts::row_members(rows) {
            self.joining.saw_zone(&member.availability_zone);
            members.push(member);
        }
        if rows.is_empty() {
            self.joining.last_zone = None;
        }
        self.found(context, &members);
    }

    /// Takes in possible contacts; an earlier daemon at this address is gone.
    fn found(&mut self, context: &mut Context<'_>, members: &[Member]) {
        for member in members {
            if member.address == self.own.address && member.id != self.own.id {
                self.outlive(context, member.clone());
            }
        }
        let found = contacts::addresses(members, self.own.address, context.rng());
        for address in found {
            if !self.joining.contacts.contains(&address) {
                self.joining.contacts.push(address);
            }
        }
        if !self.joining.is_joined && !self.joining.is_listing {
            self.list(context);
        }
    }

    /// Daemons that start at once may have met others than this one did.
    fn ask_unknown_contact(&mut self, context: &mut Context<'_>) {
        while let Some(address) = self.joining.contacts.pop() {
            if self.roster.at_address(address).is_none() {
                self.merge(context, address);
                return;
            }
        }
    }

    /// Asks a daemon that was not known for its member list: the two did not know of each other.
    pub(super) fn merge(&mut self, context: &mut Context<'_>, address: SocketAddr) {
        if self.joining.is_listing {
            return;
        }
        self.joining.is_listing = true;
        self.joining.after = None;
        self.ask_list(context, address);
    }

    /// Asks for the next part of the member list, of a contact at first, then of any member.
    pub(super) fn list(&mut self, context: &mut Context<'_>) {
        let known = self.sample(context.rng(), 1);
        let address = match known.first() {
            Some(member) => Some(member.address),
            None => self.joining.contacts.pop(),
        };
        let Some(address) = address else {
            self.joining.is_listing = false;
            return;
        };
        self.joining.is_listing = true;
        self.ask_list(context, address);
    }

    fn ask_list(&mut self, context: &mut Context<'_>, address: SocketAddr) {
        let message = Message::ListMembers {
            from: self.own.clone(),
            after: self.joining.after,
        };
        if !self.ask(context, address, message, Ask::List) {
            self.list_later(context);
        }
    }

    pub(super) fn listed(&mut self, context: &mut Context<'_>, result: Result<Message, LinkError>) {
        let Ok(Message::Members { members, has_more }) = result else {
            self.list_later(context);
            return;
        };
        if members.is_empty() && has_more {
            self.list_later(context);
            return;
        }
        self.list_backoff.reset();
        for member in members {
            self.joining.after = self.joining.after.max(Some(member.id));
            self.learn(context, member, Spread::Nothing);
        }
        if has_more {
            let period_us = u64::from(self.settings.list_period_ms) * 1_000;
            self.timer(context, period_us, Tag::List);
            return;
        }
        self.joining.is_listing = false;
        self.ask_unknown_contact(context);
        if !self.joining.is_joined {
            self.joining.is_joined = true;
            self.compare_all(context, PARTS_PER_SYNC);
            self.backoff.reset();
            let detail = format!("members={}", self.roster.len());
            context.log(StateChange::new("membership", "joined", detail));
        }
    }

    /// Asks another member after a delay that grows while none has bytes to spend.
    fn list_later(&mut self, context: &mut Context<'_>) {
        let after_us = self
            .list_backoff
            .next_us(self.settings.probe_period_ms, context.rng());
        self.timer(context, after_us, Tag::List);
    }

    pub(super) fn answer_list(
        &mut self,
        context: &mut Context<'_>,
        inbound: InboundKey,
        from: Member,
        after: Option<MemberId>,
    ) {
        self.hear(context, from);
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
        self.answer(context, inbound, Message::Members { members, has_more });
    }

    pub(super) fn platform_timeout_us(&self) -> u64 {
        u64::from(self.settings.platform_timeout_ms) * 1_000
    }
}
