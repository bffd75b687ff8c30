//! The rules of a submission, and reading one that an operator wrote.

use serde_json::{Value, json};
use xxhash_rust::xxh3::xxh3_64;

use super::record::check_name;
use super::{Submission, rows};
use crate::fields::{self, FieldError, NoFieldRules};
use crate::ids::ServiceName;

/// The most bytes of the records of one submission.
const SUBMISSION_BYTES_MAX: usize = 256 * 1024;

impl Submission {
    /// Reads a submission that an operator wrote; a fault is told with the path of its field.
    pub fn read(text: &str) -> Result<Self, FieldError> {
        let given = serde_json::from_str(text)
            .map_err(|error| FieldError::new("(whole text)", format!("not JSON: {error}")))?;
        fields::read(given, &example(), &NoFieldRules)
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
    pub(super) fn content(&self) -> u64 {
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
