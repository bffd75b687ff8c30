//! An operator's submission: one transaction on the table, read back where its answer was lost.

use serde_json::{Value, json};
use xxhash_rust::xxh3::xxh3_64;

use super::record::check_name;
use super::rows::{self, ChangeIdRow, ChangeRow, VersionRow};
use super::schema::write_forms;
use super::state::{Change, StoredRecord};
use super::{Submission, SubmitOutcome};
use crate::fields::{self, FieldError, TypesOnly};
use crate::ids::{CallKey, ServiceName};
use crate::table::{Expected, PlatformError, Row, TableRequest, TableResponse, TableWrite};

/// The tries of a submission at the table.
const TRIES_MAX: u32 = 5;

/// The most bytes of the records of one submission.
const SUBMISSION_BYTES_MAX: usize = 256 * 1024;

impl Submission {
    /// Reads a submission that an operator wrote; a fault is told with the path of its field.
    pub fn read(text: &str) -> Result<Self, FieldError> {
        let given = serde_json::from_str(text)
            .map_err(|error| FieldError::new("(whole text)", format!("not JSON: {error}")))?;
        fields::read(given, &example(), &TypesOnly)
    }

    /// Checks all records, of schemas up to `newest_schema`.
    pub fn check(&self, newest_schema: u16) -> Result<(), FieldError> {
        check_name("change_id", &self.change_id)?;
        if self.records.is_empty() && self.removed.is_empty() {
            return Err(FieldError::new("records", "must not be empty"));
        }
        let mut services: Vec<&ServiceName> = Vec::new();
        for (at, record) in self.records.iter().enumerate() {
            let path = format!("records[{at}]");
            record.check().map_err(|error| error.within(&path))?;
            if record.schema_version > newest_schema {
                let problem = format!("must be at most {newest_schema} at this daemon");
                return Err(FieldError::new(format!("{path}.schema_version"), problem));
            }
            note_service(&mut services, &record.service, &format!("{path}.service"))?;
        }
        for (at, service) in self.removed.iter().enumerate() {
            let path = format!("removed[{at}]");
            check_name(&path, service.as_str())?;
            note_service(&mut services, service, &path)?;
        }
        if rows::text(self).len() > SUBMISSION_BYTES_MAX {
            let problem = format!("must have at most {SUBMISSION_BYTES_MAX} bytes together");
            return Err(FieldError::new("records", problem));
        }
        Ok(())
    }

    /// Returns a hash of what is submitted, without the version that the operator saw.
    fn content(&self) -> u64 {
        let records = rows::text(&self.records);
        let removed = rows::text(&self.removed);
        xxh3_64(format!("{records}\n{removed}").as_bytes())
    }
}

/// Returns a submission that holds each field.
fn example() -> Value {
    json!({
        "change_id": "2026-01-05-payouts",
        "expected_version": 41,
        "records": [{
            "schema_version": 2,
            "service": "payouts",
            "kinds": [{
                "method": "POST",
                "path_prefix": "/payouts",
                "policy": {
                    "priority": "critical",
                    "is_idempotent": false,
                    "retries": 3,
                    "deadline_ms": 2000,
                    "hedge_after_ms": 0
                }
            }]
        }],
        "removed": ["receipts"]
    })
}

fn note_service<'s>(
    services: &mut Vec<&'s ServiceName>,
    service: &'s ServiceName,
    path: &str,
) -> Result<(), FieldError> {
    match services.binary_search(&service) {
        Ok(_) => Err(FieldError::new(path, "must not be named twice")),
        Err(at) => {
            services.insert(at, service);
            Ok(())
        }
    }
}

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
