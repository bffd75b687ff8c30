//! The requests to the platform's table that insert and delete the rows of claims, and their
//! responses.

use super::RunOnce;
use crate::ids::OutboundKey;
use crate::kernel::Context;
use crate::metrics::Counter;
use crate::run_once::claim::{ClaimProgress, ClaimRow, RowState};
use crate::run_once::claim_queue::{ClaimBatch, RowChange};
use crate::run_once::run::{RunHandle, RunId, RunState};
use crate::table::{PlatformError, Row, TableRequest, TableResponse, TableWrite};

/// Whether an insert needs another attempt after a response of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum InsertOutcome {
    /// It took effect, conflicted or was given up.
    Decided,
    /// It is to be sent again.
    Retry,
}

impl RunOnce {
    /// Sends the queued claims to the table, within the limit on requests in flight.
    ///
    /// While the table is considered down, gives up the queued inserts, except those to retry,
    /// which are still sent.
    pub(super) fn send_table_requests(&mut self, context: &mut Context<'_>) {
        for handle in self.claim_queue.take_inserts_while_down(context.now_us()) {
            self.give_up_claim(context, handle);
        }
        while self.claim_queue.in_flight_count() < self.settings.claim_requests_max {
            let batch_max = self.settings.claim_batch_max;
            let Some(batch) = self.claim_queue.next_batch(context.now_us(), batch_max) else {
                return;
            };
            let change = batch.change;
            let mut writes = Vec::new();
            let mut handles = Vec::new();
            for handle in batch.handles {
                let write = match change {
                    RowChange::Insert => self.insert_write(handle),
                    RowChange::Release => self.release_write(handle),
                };
                if let Some(write) = write {
                    writes.push(write);
                    handles.push(handle);
                }
            }
            if writes.is_empty() {
                continue;
            }
            context.count(Counter::unlabelled("claim_requests"));
            let timeout_us = self.settings.claim_timeout_ms * 1_000;
            let outbound_key =
                context.send_table_request(TableRequest::Write { writes }, timeout_us);
            self.claim_queue
                .record_request(outbound_key, ClaimBatch { change, handles });
        }
    }

    /// Handles the table's response to a request for some claims.
    pub(super) fn handle_table_response(
        &mut self,
        context: &mut Context<'_>,
        outbound_key: OutboundKey,
        result: Result<TableResponse, PlatformError>,
    ) {
        let Some(batch) = self.claim_queue.take_in_flight(outbound_key) else {
            return;
        };
        if result == Err(PlatformError::NotExecuted) {
            self.mark_table_down(context.now_us());
        }
        let mut retried = Vec::new();
        for (index, handle) in batch.handles.into_iter().enumerate() {
            if let Some(claim) = self.claim_mut(handle) {
                claim.is_request_in_flight = false;
            }
            if batch.change == RowChange::Release {
                self.handle_release_response(context, handle, &result);
                continue;
            }
            if self.handle_insert_response(context, handle, index, &result) == InsertOutcome::Retry
            {
                retried.push(handle);
            }
        }
        self.claim_queue.push_retried(retried);
        self.send_table_requests(context);
    }

    /// Returns the insert of a claim's row, unless it is no longer wanted, in flight or done.
    fn insert_write(&mut self, handle: RunHandle) -> Option<TableWrite> {
        let holder = self.own_holder;
        let run = self.runs.get_mut(handle)?;
        let RunId::Claim(digest) = run.id else {
            return None;
        };
        let claim = run.claim.as_mut()?;
        let is_wanted = match run.state {
            RunState::Pending => true,
            RunState::Refused(_) => claim.has_lost_response,
            _ => false,
        };
        if !is_wanted || claim.is_request_in_flight || claim.row != RowState::Unknown {
            return None;
        }
        claim.is_request_in_flight = true;
        claim.attempts += 1;
        let nonce = claim.nonce;
        Some(ClaimRow { nonce, holder }.insert_write(digest))
    }

    /// Returns the delete of a claim's row, unless the request may still run under that row.
    fn release_write(&mut self, handle: RunHandle) -> Option<TableWrite> {
        let run = self.runs.get_mut(handle)?;
        let RunId::Claim(digest) = run.id else {
            return None;
        };
        let claim = run.claim.as_mut()?;
        let version = match claim.row {
            RowState::Unknown => return None,
            RowState::Held(version) => version,
            RowState::Releasing(version) => version,
        };
        let is_unused = matches!(run.state, RunState::Refused(_) | RunState::Pending);
        if !is_unused || claim.is_request_in_flight {
            return None;
        }
        claim.is_request_in_flight = true;
        claim.row = RowState::Releasing(version);
        Some(digest.delete_write(version))
    }

    fn handle_insert_response(
        &mut self,
        context: &mut Context<'_>,
        handle: RunHandle,
        index: usize,
        result: &Result<TableResponse, PlatformError>,
    ) -> InsertOutcome {
        match result {
            Ok(TableResponse::Written(versions)) => match versions.get(index) {
                Some(version) => self.confirm_claim(context, handle, *version),
                None => return self.handle_lost_insert(context, handle),
            },
            Ok(TableResponse::Conflict(rows)) => {
                return self.resolve_conflict(context, handle, rows);
            }
            Ok(TableResponse::Rows(_)) | Err(PlatformError::Lost) => {
                return self.handle_lost_insert(context, handle);
            }
            Err(PlatformError::NotExecuted) => self.give_up_claim(context, handle),
        }
        InsertOutcome::Decided
    }

    /// Handles a conflict: confirms the claim if the row is this run's own insert, otherwise
    /// rejects it.
    ///
    /// If the claim has no row, another claim of the batch conflicted and the insert is retried.
    fn resolve_conflict(
        &mut self,
        context: &mut Context<'_>,
        handle: RunHandle,
        rows: &[Row],
    ) -> InsertOutcome {
        let Some(run) = self.runs.get(handle) else {
            return InsertOutcome::Decided;
        };
        let (RunId::Claim(digest), Some(claim)) = (run.id, run.claim) else {
            return InsertOutcome::Decided;
        };
        let Some(row) = digest.find_row(rows) else {
            return InsertOutcome::Retry;
        };
        match ClaimRow::parse(row) {
            Ok(parsed) if parsed.nonce == claim.nonce && parsed.holder == self.own_holder => {
                self.confirm_claim(context, handle, row.version);
            }
            Ok(parsed) => self.reject_held_claim(context, handle, Some(parsed.holder)),
            Err(_) => self.reject_held_claim(context, handle, None),
        }
        InsertOutcome::Decided
    }

    /// Retries an insert whose response was lost, or gives the claim up if `claim_attempts_max`
    /// inserts of it were sent.
    ///
    /// The nonce stays the same, so that an earlier insert that took effect is recognized.
    fn handle_lost_insert(
        &mut self,
        context: &mut Context<'_>,
        handle: RunHandle,
    ) -> InsertOutcome {
        let attempts_max = self.settings.claim_attempts_max;
        let Some(claim) = self.claim_mut(handle) else {
            return InsertOutcome::Decided;
        };
        claim.has_lost_response = true;
        if claim.attempts < attempts_max {
            return InsertOutcome::Retry;
        }
        self.mark_table_down(context.now_us());
        self.give_up_claim(context, handle);
        InsertOutcome::Decided
    }

    fn handle_release_response(
        &mut self,
        context: &mut Context<'_>,
        handle: RunHandle,
        result: &Result<TableResponse, PlatformError>,
    ) {
        let is_deleted = match result {
            Ok(TableResponse::Written(_)) => true,
            Ok(TableResponse::Conflict(rows)) => !self.is_row_present(handle, rows),
            Ok(TableResponse::Rows(_)) | Err(_) => false,
        };
        if is_deleted {
            self.finish_release(handle);
            return;
        }
        if result.is_err() {
            self.mark_table_down(context.now_us());
            self.give_up_claim(context, handle);
        }
        self.claim_queue.push_release(handle);
    }

    /// Returns whether the row to be deleted still exists in the version that is to be deleted.
    fn is_row_present(&self, handle: RunHandle, rows: &[Row]) -> bool {
        let Some(run) = self.runs.get(handle) else {
            return false;
        };
        let (RunId::Claim(digest), Some(claim)) = (run.id, run.claim) else {
            return false;
        };
        let version = digest.find_row(rows).map(|row| row.version);
        version.is_some_and(|version| claim.row == RowState::Releasing(version))
    }

    /// Handles a deleted row: inserts it anew if a call waits for the claim, otherwise removes the
    /// run.
    fn finish_release(&mut self, handle: RunHandle) {
        let nonce = self.new_nonce();
        let Some(run) = self.runs.get_mut(handle) else {
            return;
        };
        if run.state != RunState::Pending {
            self.runs.remove(handle);
            return;
        }
        run.claim = Some(ClaimProgress::new(nonce));
        self.claim_queue.push_insert(handle);
    }
}
