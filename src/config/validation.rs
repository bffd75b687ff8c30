//! Validation of records: the limits of each field and the rules between fields.

use super::schema::{SCHEMA_VERSION_MAX, SCHEMA_VERSION_MIN};
use super::{Policy, RequestKind, ServiceRecord};
use crate::fields::FieldError;

/// The maximum number of kinds of request in a record.
const KINDS_MAX: usize = 64;

/// The maximum length of a service's name or a change's identifier.
const NAME_CHARS_MAX: usize = 64;

/// The maximum length of a path prefix, in bytes.
const PATH_BYTES_MAX: usize = 256;

/// The maximum number of retries of a root request.
const RETRIES_MAX: u32 = 10;

/// The maximum deadline.
const DEADLINE_MS_MAX: u32 = 3_600_000;

/// The methods that a kind may match.
const METHODS: [&str; 8] = [
    "*", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS",
];

/// Returns an error for a field unless `is_valid` is true.
fn ensure(is_valid: bool, field: &str, problem: impl Into<String>) -> Result<(), FieldError> {
    if is_valid {
        return Ok(());
    }
    Err(FieldError::new(field, problem))
}

/// Checks a name that becomes part of a row's key.
pub(super) fn check_name(field: &str, name: &str) -> Result<(), FieldError> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    ensure(
        !name.is_empty() && name.len() <= NAME_CHARS_MAX && name.bytes().all(is_allowed),
        field,
        format!("must be 1 to {NAME_CHARS_MAX} letters, digits, '.', '_' or '-'"),
    )
}

impl ServiceRecord {
    /// Checks the record.
    pub fn check(&self) -> Result<(), FieldError> {
        ensure(
            (SCHEMA_VERSION_MIN..=SCHEMA_VERSION_MAX).contains(&self.schema_version),
            "schema_version",
            format!("must be from {SCHEMA_VERSION_MIN} to {SCHEMA_VERSION_MAX}"),
        )?;
        check_name("service", self.service.as_str())?;
        ensure(
            !self.kinds.is_empty() && self.kinds.len() <= KINDS_MAX,
            "kinds",
            format!("must hold from 1 to {KINDS_MAX} kinds"),
        )?;
        for (index, kind) in self.kinds.iter().enumerate() {
            kind.check(self.schema_version)
                .map_err(|error| error.within(&format!("kinds[{index}]")))?;
        }
        Ok(())
    }
}

impl RequestKind {
    fn check(&self, schema_version: u16) -> Result<(), FieldError> {
        ensure(
            METHODS.contains(&self.method.as_str()),
            "method",
            format!("must be one of {}", METHODS.join(", ")),
        )?;
        ensure(
            self.path_prefix.starts_with('/') && self.path_prefix.len() <= PATH_BYTES_MAX,
            "path_prefix",
            format!("must start with '/' and have at most {PATH_BYTES_MAX} characters"),
        )?;
        self.policy
            .check(schema_version)
            .map_err(|error| error.within("policy"))
    }
}

impl Policy {
    fn check(&self, schema_version: u16) -> Result<(), FieldError> {
        ensure(
            self.retries <= RETRIES_MAX,
            "retries",
            format!("must be from 0 to {RETRIES_MAX}"),
        )?;
        ensure(
            (1..=DEADLINE_MS_MAX).contains(&self.deadline_ms),
            "deadline_ms",
            format!("must be from 1 to {DEADLINE_MS_MAX}"),
        )?;
        ensure(
            self.hedge_after_ms == 0 || schema_version >= 2,
            "hedge_after_ms",
            "must be left out with schema_version 1",
        )?;
        ensure(
            self.hedge_after_ms == 0 || self.is_idempotent,
            "hedge_after_ms",
            "must be 0 where is_idempotent is false",
        )?;
        ensure(
            self.hedge_after_ms < self.deadline_ms,
            "hedge_after_ms",
            "must be less than deadline_ms",
        )
    }
}
