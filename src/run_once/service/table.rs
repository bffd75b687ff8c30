//! The requests to the platform's table that insert and delete the rows of claims.

use super::RunOnce;
use crate::ids::OutboundKey;
use crate::kernel::Context;
use crate::metrics::Counter;
use crate::run_once::claim::{ClaimProgress, ClaimRow, RowState};
use crate::run_once::queue::{Batch, RowChange};
use crate::run_once::run::{RunName, RunSlot, RunState};
use crate::table::{PlatformError, Row, TableRequest, TableResponse, TableWrite};

/// Whether the table's answer decides on an insert.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Insert {
    Decided,
    /// It is to be sent again.
    Undecided,
}

impl RunOnce {
    /// Asks the table for the claims that wait, within the bound on requests at once.
    pub(super) fn ask_table(&mut self, context: &mut Context<'_>) {
        for slot in self.queue.take_refused(context.now_us()) {
            self.give_up(context, slot);
        }
        while self.queue.requests() < self.settings.claim_requests_max {
            let batch_max = self.settings.claim_batch_max;
            let Some(batch) = self.queue.next_batch(context.now_us(), batch_max) else {
                return;
            };
            let change = batch.change;
            let mut writes = Vec::new();
            let mut slots = Vec::new();
            for slot in batch.slots {
                let write = match change {
                    RowChange::Insert => self.insert_of(slot),
                    RowChange::Release => self.release_of(slot),
                };
                if let Some(write) = write {
                    writes.push(write);
                    slots.push(slot);
                }
            }
            if writes.is_empty() {
                continue;
            }
            context.count(Counter::unlabelled("claim_requests"));
            let timeout_us = self.settings.claim_timeout_ms * 1_000;
            let ask = context.send_table_request(TableRequest::Write { writes }, timeout_us);
            self.queue.note_asked(ask, Batch { change, slots });
        }
    }

    /// Takes the table's answer about some claims.
    pub(super) fn table_answered(
        &mut self,
        context: &mut Context<'_>,
        ask: OutboundKey,
        result: Result<TableResponse, PlatformError>,
    ) {
        let Some(batch) = self.queue.take_asked(ask) else {
            return;
        };
        if result == Err(PlatformError::NotExecuted) {
            self.note_table_down(context.now_us());
        }
        let mut again = Vec::new();
        for (at, slot) in batch.slots.into_iter().enumerate() {
            if let Some(claim) = self.claim_mut(slot) {
                claim.is_asked = false;
            }
            if batch.change == RowChange::Release {
                self.release_answered(context, slot, &result);
                continue;
            }
            if self.insert_answered(context, slot, at, &result) == Insert::Undecided {
                again.push(slot);
            }
        }
        self.queue.push_again(again);
        self.ask_table(context);
    }

    /// Returns the insert of a claim that still waits for it.
    fn insert_of(&mut self, slot: RunSlot) -> Option<TableWrite> {
        let holder = self.own;
        let run = self.runs.get_mut(slot)?;
        let RunName::Claim(name) = run.name else {
            return None;
        };
        let claim = run.claim.as_mut()?;
        let is_wanted = match run.state {
            RunState::Pending => true,
            RunState::Refused(_) => claim.is_in_doubt,
            _ => false,
        };
        if !is_wanted || claim.is_asked || claim.row != RowState::Unknown {
            return None;
        }
        claim.is_asked = true;
        claim.attempts += 1;
        let nonce = claim.nonce;
        Some(ClaimRow { nonce, holder }.insert(name))
    }

    /// Returns the delete of a claim that was refused and not begun again.
    fn release_of(&mut self, slot: RunSlot) -> Option<TableWrite> {
        let run = self.runs.get_mut(slot)?;
        let RunName::Claim(name) = run.name else {
            return None;
        };
        let claim = run.claim.as_mut()?;
        let version = match claim.row {
            RowState::Unknown => return None,
            RowState::Held(version) => version,
            RowState::Releasing(version) => version,
        };
        let is_unused = matches!(run.state, RunState::Refused(_) | RunState::Pending);
        if !is_unused || claim.is_asked {
            return None;
        }
        claim.is_asked = true;
        claim.row = RowState::Releasing(version);
        Some(name.delete(version))
    }

    fn insert_answered(
        &mut self,
        context: &mut Context<'_>,
        slot: RunSlot,
        at: usize,
        result: &Result<TableResponse, PlatformError>,
    ) -> Insert {
        match result {
            Ok(TableResponse::Written(versions)) => match versions.get(at) {
                Some(version) => self.hold(context, slot, *version),
                None => return self.lost_insert(context, slot),
            },
            Ok(TableResponse::Conflict(rows)) => return self.compare(context, slot, rows),
            Ok(TableResponse::Rows(_)) | Err(PlatformError::Lost) => {
                return self.lost_insert(context, slot);
            }
            Err(PlatformError::NotExecuted) => self.give_up(context, slot),
        }
        Insert::Decided
    }

    /// Reads whose row stands in the way of an insert.
    fn compare(&mut self, context: &mut Context<'_>, slot: RunSlot, rows: &[Row]) -> Insert {
        let Some(run) = self.runs.get(slot) else {
            return Insert::Decided;
        };
        let (RunName::Claim(name), Some(claim)) = (run.name, run.claim) else {
            return Insert::Decided;
        };
        let Some(row) = name.find(rows) else {
            return Insert::Undecided;
        };
        match ClaimRow::read(row) {
            Ok(read) if read.nonce == claim.nonce && read.holder == self.own => {
                self.hold(context, slot, row.version);
            }
            Ok(read) => self.held_by(context, slot, Some(read.holder)),
            Err(_) => self.held_by(context, slot, None),
        }
        Insert::Decided
    }

    /// An insert whose answer was lost goes out again under the same nonce, so that one that took
    /// effect is recognized.
    fn lost_insert(&mut self, context: &mut Context<'_>, slot: RunSlot) -> Insert {
        let attempts_max = self.settings.claim_attempts_max;
        let Some(claim) = self.claim_mut(slot) else {
            return Insert::Decided;
        };
        claim.is_in_doubt = true;
        if claim.attempts < attempts_max {
            return Insert::Undecided;
        }
        self.note_table_down(context.now_us());
        self.give_up(context, slot);
        Insert::Decided
    }

    fn release_answered(
        &mut self,
        context: &mut Context<'_>,
        slot: RunSlot,
        result: &Result<TableResponse, PlatformError>,
    ) {
        let is_gone = match result {
            Ok(TableResponse::Written(_)) => true,
            Ok(TableResponse::Conflict(rows)) => !self.is_own_row(slot, rows),
            Ok(TableResponse::Rows(_)) | Err(_) => false,
        };
        if is_gone {
            self.released(slot);
            return;
        }
        if result.is_err() {
            self.note_table_down(context.now_us());
            self.give_up(context, slot);
        }
        self.queue.push_release(slot);
    }

    /// Says whether the row that is to be deleted still stands.
    fn is_own_row(&self, slot: RunSlot, rows: &[Row]) -> bool {
        let Some(run) = self.runs.get(slot) else {
            return false;
        };
        let (RunName::Claim(name), Some(claim)) = (run.name, run.claim) else {
            return false;
        };
        let version = name.find(rows).map(|row| row.version);
        version.is_some_and(|version| claim.row == RowState::Releasing(version))
    }

    /// The row is gone: a call that waits for it claims anew, otherwise the claim is forgotten.
    fn released(&mut self, slot: RunSlot) {
        let nonce = self.new_nonce();
        let Some(run) = self.runs.get_mut(slot) else {
            return;
        };
        if run.state != RunState::Pending {
            self.runs.remove(slot);
            return;
        }
        run.claim = Some(ClaimProgress::new(nonce));
        self.queue.push_insert(slot);
    }
}
