//! The schema versions of a record. A record is written in its own schema and, for daemons that
//! cannot read that one, also in an older one. The record as encoded in one schema is called a
//! form; each daemon reads the newest form that it supports.

use macro_rules_attribute::apply;
use serde_json::{Value, json};

use super::ServiceRecord;
use crate::derives::message;
use crate::fields::FieldError;

/// The oldest schema that is read and written.
pub const SCHEMA_VERSION_MIN: u16 = 1;

/// The newest schema; it added `hedge_after_ms` to the policy of a kind.
pub const SCHEMA_VERSION_MAX: u16 = 2;

/// A record as encoded in one schema. It stays text, so that a daemon can forward it even if it
/// cannot read it.
#[apply(message!)]
pub struct RecordForm {
    /// The schema of the form.
    pub schema_version: u16,
    /// The record as JSON.
    pub body: String,
}

/// Encodes a record in its own schema, and also in `common_schema_version` if that is older,
/// because some daemon cannot read the record's own schema.
pub(super) fn encode_forms(record: &ServiceRecord, common_schema_version: u16) -> Vec<RecordForm> {
    let mut forms = vec![encode_form(record, record.schema_version)];
    if common_schema_version < record.schema_version {
        forms.push(encode_form(
            record,
            common_schema_version.max(SCHEMA_VERSION_MIN),
        ));
    }
    forms
}

fn encode_form(record: &ServiceRecord, schema_version: u16) -> RecordForm {
    let mut value = json!(record);
    value["schema_version"] = json!(schema_version);
    if schema_version < 2 {
        remove_schema_2_fields(&mut value);
    }
    RecordForm {
        schema_version,
        body: value.to_string(),
    }
}

fn remove_schema_2_fields(record: &mut Value) {
    let Some(kinds) = record["kinds"].as_array_mut() else {
        return;
    };
    for kind in kinds {
        if let Some(policy) = kind["policy"].as_object_mut() {
            policy.remove("hedge_after_ms");
        }
    }
}

/// Parses and checks the newest form whose schema this daemon supports.
pub(super) fn parse_newest_form(
    forms: &[RecordForm],
    schema_version_max: u16,
) -> Result<ServiceRecord, FieldError> {
    let mut newest: Option<&RecordForm> = None;
    for form in forms {
        if form.schema_version > schema_version_max {
            continue;
        }
        if newest.is_none_or(|other| other.schema_version < form.schema_version) {
            newest = Some(form);
        }
    }
    let Some(form) = newest else {
        let problem = format!(
            "the record has no form in schema {schema_version_max} or older, which this daemon needs"
        );
        return Err(FieldError::new("schema_version", problem));
    };
    let record: ServiceRecord = serde_json::from_str(&form.body)
        .map_err(|error| FieldError::new("record", error.to_string()))?;
    record.check()?;
    Ok(record)
}
