//! Parsing and validation of a submission that an operator wrote.

use serde_json::{Value, json};
use xxhash_rust::xxh3::xxh3_64;

use super::validation::check_name;
use super::{Submission, rows};
use crate::fields::{self, FieldError, NoFieldRules};
use crate::ids::ServiceName;

/// The maximum size of one submission as JSON.
const SUBMISSION_BYTES_MAX: usize = 256 * 1024;

impl Submission {
    /// Parses a submission that an operator wrote; an error names the path of the invalid field.
    pub fn read(text: &str) -> Result<Self, FieldError> {
        let given = serde_json::from_str(text)
            .map_err(|error| FieldError::new("(whole text)", format!("not JSON: {error}")))?;
        fields::parse(given, &example(), &NoFieldRules)
    }

    /// Checks the change's identifier, the records, the removed services and the total size. No
    /// record may have a newer schema than `schema_version_max`, and each service may occur only
    /// once.
    pub fn check(&self, schema_version_max: u16) -> Result<(), FieldError> {
        check_name("change_id", &self.change_id)?;
        if self.records.is_empty() && self.removed.is_empty() {
            return Err(FieldError::new("records", "must not be empty"));
        }
        let mut services: Vec<&ServiceName> = Vec::new();
        for (index, record) in self.records.iter().enumerate() {
            let path = format!("records[{index}]");
            record.check().map_err(|error| error.within(&path))?;
            if record.schema_version > schema_version_max {
                let problem = format!("must be at most {schema_version_max} at this daemon");
                return Err(FieldError::new(format!("{path}.schema_version"), problem));
            }
            insert_unique(&mut services, &record.service, &format!("{path}.service"))?;
        }
        for (index, service) in self.removed.iter().enumerate() {
            let path = format!("removed[{index}]");
            check_name(&path, service.as_str())?;
            insert_unique(&mut services, service, &path)?;
        }
        if rows::to_json(self).len() > SUBMISSION_BYTES_MAX {
            let problem = format!("must have at most {SUBMISSION_BYTES_MAX} bytes together");
            return Err(FieldError::new("records", problem));
        }
        Ok(())
    }

    /// Returns a hash of the records and removals, by which the same change is recognised when it
    /// is submitted again; the expected version is not part of it.
    pub(super) fn content_hash(&self) -> u64 {
        let records = rows::to_json(&self.records);
        let removed = rows::to_json(&self.removed);
        xxh3_64(format!("{records}\n{removed}").as_bytes())
    }
}

/// Returns a submission in which every field is present.
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

fn insert_unique<'s>(
    services: &mut Vec<&'s ServiceName>,
    service: &'s ServiceName,
    path: &str,
) -> Result<(), FieldError> {
    match services.binary_search(&service) {
        Ok(_) => Err(FieldError::new(path, "must not be named twice")),
        Err(index) => {
            services.insert(index, service);
            Ok(())
        }
    }
}
