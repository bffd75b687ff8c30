//! An operator's submission: one transaction on the table, read back where its answer was lost.

use super::rows::{self, ChangeIdRow, ChangeRow, VersionRow};
use super::schema::write_forms;
use super::state::{Change, StoredRecord};
use super::{Submission, SubmitOutcome};
use crate::ids::CallKey;
use crate::table::{Expected, PlatformError, Row, TableRequest, TableResponse, TableWrite};

/// The tries of a submission at the table.
const TRIES_MAX: u32 = 5;

/// What follows an answer of the table.
pub(super) enum SubmitStep {
    /// Ask the table now.
    Ask,
    /// Ask the table again after a while.
    AskLater,
    /// Reply to the operator.
    Reply(SubmitOutcome),
    /// The change is accepted: reply to the operator and put it in force.
    Accepted(Change),
}

/// A submission under way.
pub(super) struct Submit {
    pub(super) call: CallKey,
    submission: Submission,
    content: u64,
    changes_kept: u64,
    tries: u32,
    /// A write was sent whose answer was lost.
    may_have_written: bool,
    /// The write that is sent, and its change; none while the rows are read.
    write: Option<(TableRequest, Change)>,
}

impl Submit {
    /// Begins a submission that was checked.
    pub(super) fn new(call: CallKey, submission: Submission, changes_kept: u64) -> Self {
        let content = submission.content();
        Self {
            call,
            submission,
            content,
            changes_kept,
            tries: 0,
            may_have_written: false,
            write: None,
        }
    }

    /// Returns the submission's number of tries so far.
    pub(super) fn tries(&self) -> u32 {
        self.tries
    }

    /// Returns what to ask the table.
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
        keys.extend(self.dropped_key());
        for record in &self.submission.records {
            keys.push(rows::record_key(&record.service));
        }
        for service in &self.submission.removed {
            keys.push(rows::record_key(service));
        }
        keys
    }

    fn new_version(&self) -> u64 {
        self.submission.expected_version + 1
    }

    /// Returns the key of the change that is dropped from the table for the new one.
    fn dropped_key(&self) -> Option<String> {
        let version = self.new_version().checked_sub(self.changes_kept)?;
        Some(rows::change_key(version))
    }

    /// Takes the table's answer; `oldest_reader` is the schema that every daemon reads.
    pub(super) fn take(
        &mut self,
        result: Result<TableResponse, PlatformError>,
        oldest_reader: u16,
    ) -> SubmitStep {
        match result {
            Ok(TableResponse::Rows(rows)) => self.take_rows(&rows, oldest_reader),
            Ok(TableResponse::Written(_)) => match self.write.take() {
                Some((_, change)) => SubmitStep::Accepted(change),
                None => self.again(),
            },
            Ok(TableResponse::Conflict(_)) => {
                self.write = None;
                self.again_now()
            }
            Err(PlatformError::Lost) if self.write.is_some() => {
                self.may_have_written = true;
                self.write = None;
                self.again()
            }
            Err(_) => {
                self.write = None;
                self.again()
            }
        }
    }

    fn again_now(&mut self) -> SubmitStep {
        match self.again() {
            SubmitStep::AskLater => SubmitStep::Ask,
            step => step,
        }
    }

    fn again(&mut self) -> SubmitStep {
        self.tries += 1;
        if self.tries < TRIES_MAX {
            return SubmitStep::AskLater;
        }
        SubmitStep::Reply(match self.may_have_written {
            true => SubmitOutcome::Unknown,
            false => SubmitOutcome::Unavailable,
        })
    }

    fn take_rows(&mut self, rows: &[Row], oldest_reader: u16) -> SubmitStep {
        let id_key = rows::change_id_key(&self.submission.change_id);
        if let Some(row) = rows::content::<ChangeIdRow>(rows, &id_key) {
            return SubmitStep::Reply(self.known(&row));
        }
        let present = rows::content::<VersionRow>(rows, rows::VERSION_KEY).unwrap_or(VersionRow {
            version: 0,
            digest: 0,
        });
        if present.version < self.submission.expected_version && self.may_have_written {
            return self.again();
        }
        if present.version != self.submission.expected_version {
            let version = present.version;
            return SubmitStep::Reply(SubmitOutcome::Conflict { version });
        }
        self.prepare(rows, present.digest, oldest_reader);
        SubmitStep::Ask
    }

    /// The change was accepted before, or its name belongs to another one.
    fn known(&self, row: &ChangeIdRow) -> SubmitOutcome {
        if row.content != self.content {
            let version = row.version;
            return SubmitOutcome::Invalid {
                field: "change_id".into(),
                problem: format!("names another change, accepted under version {version}"),
            };
        }
        SubmitOutcome::Accepted {
            version: row.version,
        }
    }

    /// Makes the transaction.
    fn prepare(&mut self, rows: &[Row], digest: u64, oldest_reader: u16) {
        let change = self.change(rows, digest, oldest_reader);
        let mut writes = vec![
            self.version_write(rows, &change),
            write(
                rows::change_id_key(&self.submission.change_id),
                Expected::Absent,
                Some(rows::text(&ChangeIdRow {
                    version: change.version,
                    content: self.content,
                })),
            ),
            write(
                rows::change_key(change.version),
                Expected::Absent,
                Some(rows::text(&ChangeRow {
                    change_id: self.submission.change_id.clone(),
                    change: change.clone(),
                })),
            ),
        ];
        for record in &change.changed {
            let key = rows::record_key(&record.service);
            writes.push(write(key, Expected::Any, Some(rows::text(record))));
        }
        for service in &change.removed {
            writes.push(write(rows::record_key(service), Expected::Any, None));
        }
        self.drop_oldest(rows, &mut writes);
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
        write(
            rows::VERSION_KEY.to_string(),
            expected,
            Some(rows::text(&row)),
        )
    }

    fn drop_oldest(&self, rows: &[Row], writes: &mut Vec<TableWrite>) {
        let Some(key) = self.dropped_key() else {
            return;
        };
        let Some(oldest) = rows::content::<ChangeRow>(rows, &key) else {
            return;
        };
        let id_key = rows::change_id_key(&oldest.change_id);
        writes.push(write(key, Expected::Any, None));
        writes.push(write(id_key, Expected::Any, None));
    }

    fn change(&self, rows: &[Row], digest: u64, oldest_reader: u16) -> Change {
        let version = self.new_version();
        let mut digest = digest;
        for old in rows::records(rows) {
            digest = digest.wrapping_sub(old.hash());
        }
        let mut changed = Vec::new();
        for record in &self.submission.records {
            let record = StoredRecord {
                service: record.service.clone(),
                changed_at: version,
                forms: write_forms(record, oldest_reader),
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

fn write(key: String, expected: Expected, value: Option<String>) -> TableWrite {
    TableWrite {
        key,
        expected,
        value,
    }
}
