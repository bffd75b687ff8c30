//! A submission as one transaction on the platform's table: it reads the current rows, then writes
//! all rows or none (compare-and-set on the version row). If the response to the write is lost, the
//! rows are read again to find out whether it took effect.

use super::rows::{self, ChangeIdRow, ChangeRow, VersionRow};
use super::schema::encode_forms;
use super::state::{Change, StoredRecord};
use super::{Submission, SubmitOutcome};
use crate::ids::CallKey;
use crate::table::{Expected, PlatformError, Row, TableRequest, TableResponse, TableWrite};

/// The number of failed attempts after which a submission is given up.
const FAILED_ATTEMPTS_MAX: u32 = 5;

/// The step that follows a response of the table.
pub(super) enum SubmitStep {
    /// Send the next request to the table now.
    Send,
    /// Send the next request to the table after a backoff.
    SendLater,
    /// Reply to the operator.
    Reply(SubmitOutcome),
    /// The change is accepted: apply it and reply to the operator.
    Accepted(Change),
}

/// A submission in progress.
pub(super) struct SubmitTransaction {
    pub(super) call: CallKey,
    submission: Submission,
    content_hash: u64,
    changes_kept: u64,
    failed_attempts: u32,
    /// Whether a write was sent whose response was lost.
    may_have_written: bool,
    /// The write to send and its change; `None` while the rows are read.
    write: Option<(TableRequest, Change)>,
}

impl SubmitTransaction {
    /// Creates the transaction for a submission that was checked.
    pub(super) fn new(call: CallKey, submission: Submission, changes_kept: u64) -> Self {
        let content_hash = submission.content_hash();
        Self {
            call,
            submission,
            content_hash,
            changes_kept,
            failed_attempts: 0,
            may_have_written: false,
            write: None,
        }
    }

    /// Returns the number of failed attempts so far.
    pub(super) fn failed_attempts(&self) -> u32 {
        self.failed_attempts
    }

    /// Returns the next request to send to the table.
    pub(super) fn request(&self) -> TableRequest {
        match &self.write {
            Some((request, _)) => request.clone(),
            None => TableRequest::Get { keys: self.keys() },
        }
    }

    fn keys(&self) -> Vec<String> {
        let mut keys = vec![
            rows::VERSION_KEY.to_string(),
            rows::change_id_key(&self.submission.change_id),
        ];
        keys.extend(self.displaced_change_key());
        for record in &self.submission.records {
            keys.push(rows::record_key(&record.service));
        }
        for service in &self.submission.removed {
            keys.push(rows::record_key(service));
        }
        keys
    }

    /// Returns the version of the change: the next one, or the first of the table's epoch if the table
    /// was restored since the last change.
    fn new_version(&self, rows: &[Row]) -> u64 {
        let next = self.submission.expected_version.saturating_add(1);
        next.max(rows::first_version(rows::epoch_of(rows, rows::VERSION_KEY)))
    }

    /// Returns the key of the change that the new one displaces from the table, the one
    /// `changes_kept` versions before it. The changes before a restoration stay.
    fn displaced_change_key(&self) -> Option<String> {
        let next = self.submission.expected_version.saturating_add(1);
        let version = next.checked_sub(self.changes_kept)?;
        Some(rows::change_key(version))
    }

    /// Handles the table's response; `common_schema_version` is the newest schema that every daemon
    /// reads.
    pub(super) fn handle_response(
        &mut self,
        result: Result<TableResponse, PlatformError>,
        common_schema_version: u16,
    ) -> SubmitStep {
        match result {
            Ok(TableResponse::Rows(rows)) => self.handle_rows(&rows, common_schema_version),
            Ok(TableResponse::Written(_)) => match self.write.take() {
                Some((_, change)) => SubmitStep::Accepted(change),
                None => self.retry(),
            },
            Ok(TableResponse::Conflict(_)) => {
                self.write = None;
                self.retry_now()
            }
            Err(PlatformError::Lost) if self.write.is_some() => {
                self.may_have_written = true;
                self.write = None;
                self.retry()
            }
            Err(_) => {
                self.write = None;
                self.retry()
            }
        }
    }

    fn retry_now(&mut self) -> SubmitStep {
        match self.retry() {
            SubmitStep::SendLater => SubmitStep::Send,
            step => step,
        }
    }

    fn retry(&mut self) -> SubmitStep {
        self.failed_attempts += 1;
        if self.failed_attempts < FAILED_ATTEMPTS_MAX {
            return SubmitStep::SendLater;
        }
        SubmitStep::Reply(match self.may_have_written {
            true => SubmitOutcome::Unknown,
            false => SubmitOutcome::Unavailable,
        })
    }

    fn handle_rows(&mut self, rows: &[Row], common_schema_version: u16) -> SubmitStep {
        let id_key = rows::change_id_key(&self.submission.change_id);
        if let Some(row) = rows::parse_row::<ChangeIdRow>(rows, &id_key) {
            return SubmitStep::Reply(self.outcome_of_change_id(&row));
        }
        let current =
            rows::parse_row::<VersionRow>(rows, rows::VERSION_KEY).unwrap_or(VersionRow {
                version: 0,
                digest: 0,
            });
        if current.version < self.submission.expected_version && self.may_have_written {
            return self.retry();
        }
        if current.version != self.submission.expected_version {
            let version = current.version;
            return SubmitStep::Reply(SubmitOutcome::Conflict { version });
        }
        self.prepare_write(rows, current.digest, common_schema_version);
        SubmitStep::Send
    }

    /// Returns the outcome for an identifier that is already in the table: the same change was
    /// accepted before, or the identifier belongs to another change.
    fn outcome_of_change_id(&self, row: &ChangeIdRow) -> SubmitOutcome {
        if row.content != self.content_hash {
            let version = row.version;
            return SubmitOutcome::Invalid {
                field: "change_id".into(),
                problem: format!(
                    "is the identifier of another change, accepted as version {version}"
                ),
            };
        }
        SubmitOutcome::Accepted {
            version: row.version,
        }
    }

    /// Prepares the write of all rows of the change.
    fn prepare_write(&mut self, rows: &[Row], digest: u64, common_schema_version: u16) {
        let change = self.build_change(rows, digest, common_schema_version);
        let mut writes = vec![
            self.version_write(rows, &change),
            table_write(
                rows::change_id_key(&self.submission.change_id),
                Expected::Absent,
                Some(rows::to_json(&ChangeIdRow {
                    version: change.version,
                    content: self.content_hash,
                })),
            ),
            table_write(
                rows::change_key(change.version),
                Expected::Absent,
                Some(rows::to_json(&ChangeRow {
                    change_id: self.submission.change_id.clone(),
                    change: change.clone(),
                })),
            ),
        ];
        for record in &change.changed {
            let key = rows::record_key(&record.service);
            writes.push(table_write(key, Expected::Any, Some(rows::to_json(record))));
        }
        for service in &change.removed {
            writes.push(table_write(rows::record_key(service), Expected::Any, None));
        }
        self.delete_displaced_change(rows, &mut writes);
        self.write = Some((TableRequest::Write { writes }, change));
    }

    fn version_write(&self, rows: &[Row], change: &Change) -> TableWrite {
        let mut expected = Expected::Absent;
        for row in rows {
            if row.key == rows::VERSION_KEY {
                expected = Expected::Version(row.version);
            }
        }
        let row = VersionRow {
            version: change.version,
            digest: change.digest,
        };
        table_write(
            rows::VERSION_KEY.to_string(),
            expected,
            Some(rows::to_json(&row)),
        )
    }

    fn delete_displaced_change(&self, rows: &[Row], writes: &mut Vec<TableWrite>) {
        let Some(key) = self.displaced_change_key() else {
            return;
        };
        let Some(displaced) = rows::parse_row::<ChangeRow>(rows, &key) else {
            return;
        };
        let id_key = rows::change_id_key(&displaced.change_id);
        writes.push(table_write(key, Expected::Any, None));
        writes.push(table_write(id_key, Expected::Any, None));
    }

    fn build_change(&self, rows: &[Row], digest: u64, common_schema_version: u16) -> Change {
        let version = self.new_version(rows);
        let mut digest = digest;
        for old in rows::parse_records(rows) {
            digest = digest.wrapping_sub(old.hash());
        }
        let mut changed = Vec::new();
        for record in &self.submission.records {
            let record = StoredRecord {
                service: record.service.clone(),
                changed_in_version: version,
                forms: encode_forms(record, common_schema_version),
            };
            digest = digest.wrapping_add(record.hash());
            changed.push(record);
        }
        Change {
            version,
            digest,
            changed,
            removed: self.submission.removed.clone(),
        }
    }
}

fn table_write(key: String, expected: Expected, value: Option<String>) -> TableWrite {
    TableWrite {
        key,
        expected,
        value,
    }
}
