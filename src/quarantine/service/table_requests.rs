//! Reads the stored quarantines at the start, and stores those that this daemon found.

use super::{Pending, Quarantine, Timer};
use crate::ids::OutboundKey;
use crate::kernel::{Context, StateChange};
use crate::quarantine::{QuarantineRecord, Records, rows};
use crate::table::{PlatformError, Row, TableRequest, TableResponse};

/// The maximum pause before a request to the table is repeated.
const TABLE_RETRY_MAX_MS: u32 = 5_000;

/// How long a quarantine is kept that was over when its row was read.
const OVER_ROW_KEPT_MS: u64 = 10_000;

impl Quarantine {
    pub(super) fn read_rows(&mut self, context: &mut Context<'_>) {
        let request = rows::read_request();
        self.send_table_request(context, request, Pending::ReadRows);
    }

    pub(super) fn change_row(&mut self, context: &mut Context<'_>, request: TableRequest) {
        let pending = Pending::ChangeRow(request.clone());
        self.send_table_request(context, request, pending);
    }

    pub(super) fn write_row(&mut self, context: &mut Context<'_>, record: &QuarantineRecord) {
        let request = rows::write_request(record, context.table_now_ms());
        self.change_row(context, request);
    }

    fn send_table_request(
        &mut self,
        context: &mut Context<'_>,
        request: TableRequest,
        purpose: Pending,
    ) {
        let timeout_us = u64::from(self.settings.table_timeout_ms) * 1_000;
        let key = context.send_table_request(request, timeout_us);
        self.pending.insert(key, purpose);
    }

    /// Handles a response of the table; a request that failed is repeated after a while.
    pub(super) fn handle_table_response(
        &mut self,
        context: &mut Context<'_>,
        key: OutboundKey,
        result: Result<TableResponse, PlatformError>,
    ) {
        let Some(purpose) = self.pending.remove(&key) else {
            return;
        };
        match (purpose, result) {
            (Pending::ReadRows, Ok(TableResponse::Rows(rows))) => self.handle_rows(context, &rows),
            (Pending::ChangeRow(request), Err(error)) => {
                self.repeat_later(context, request, error);
            }
            (Pending::ReadRows, Err(error)) => {
                self.repeat_later(context, rows::read_request(), error);
            }
            _ => self.table_backoff.reset(),
        }
    }

    fn handle_rows(&mut self, context: &mut Context<'_>, rows: &[Row]) {
        self.table_backoff.reset();
        let mut records = Records::default();
        for row in rows {
            match rows::decode(row, context.table_now_ms()) {
                Ok(record) => records.quarantines.push(self.keep_until_deleted(record)),
                Err(error) => {
                    let detail = format!("{}: {error}", row.key);
                    context.log(StateChange::new("quarantine", "ignored a row", detail));
                }
            }
        }
        if !records.is_empty() {
            let detail = format!("{} requests", records.quarantines.len());
            context.log(StateChange::new(
                "quarantine",
                "read the stored rows",
                detail,
            ));
        }
        self.merge(context, records);
    }

    /// Returns a record that was read, but as one that is over soon if it was over before: the member
    /// with the smallest identifier deletes its row then, when this daemon knows the members.
    fn keep_until_deleted(&self, record: QuarantineRecord) -> QuarantineRecord {
        let over_ms = 2 * u64::from(self.settings.refuse_ms);
        let age_max_ms = over_ms.saturating_sub(OVER_ROW_KEPT_MS);
        QuarantineRecord {
            age_ms: record.age_ms.min(age_max_ms),
            ..record
        }
    }

    fn repeat_later(
        &mut self,
        context: &mut Context<'_>,
        request: TableRequest,
        error: PlatformError,
    ) {
        if self.failed_requests.is_empty() {
            let delay_us = self
                .table_backoff
                .next_us(TABLE_RETRY_MAX_MS, &mut self.rng);
            context.set_timer(delay_us, Timer::Table as u64);
            let detail = format!("{error:?}");
            let change = "a request to the table failed; it is repeated";
            context.log(StateChange::new("quarantine", change, detail));
        }
        self.failed_requests.push(request);
    }

    pub(super) fn repeat_table_requests(&mut self, context: &mut Context<'_>) {
        for request in std::mem::take(&mut self.failed_requests) {
            match request {
                TableRequest::Scan { .. } => self.read_rows(context),
                request => self.change_row(context, request),
            }
        }
    }
}
