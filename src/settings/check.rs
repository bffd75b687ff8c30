//! Validation of settings: each error names the path of the field and the allowed values.

use serde_json::Value;

use super::{Bound, Settings, bounds};
use crate::fields::{self, FieldError, FieldRules};

/// The minimum length of the operator token, in characters.
const TOKEN_CHARS_MIN: usize = 16;

const ADDRESS_FORMAT: &str = "an IP address with a port, such as \"127.0.0.1:8080\"";

/// The allowed values of text fields, by the path of the field.
const ALLOWED_TEXTS: &[(&str, &str)] = &[
    ("caller_address", ADDRESS_FORMAT),
    ("operator_address", ADDRESS_FORMAT),
    ("peer_address", ADDRESS_FORMAT),
    ("peer_advertised_address", ADDRESS_FORMAT),
    ("announce_address", ADDRESS_FORMAT),
    ("routing.placement", "\"zone_spill\" or \"expected_time\""),
    ("log.format", "\"text\" or \"json\""),
    ("log.level", "\"error\", \"warn\", \"info\" or \"debug\""),
];

/// The rules of the settings: the numeric ranges and the allowed texts.
struct SettingsRules;

impl FieldRules for SettingsRules {
    fn check(&self, path: &str, given: &Value) -> Result<(), FieldError> {
        let (Some(number), Some(bound)) = (given.as_f64(), bound_of(path)) else {
            return Ok(());
        };
        let is_within = number >= bound.min as f64 && number <= bound.max as f64;
        if is_within && !given.is_f64() {
            return Ok(());
        }
        let problem = format!("must be {}", describe_range(bound));
        Err(FieldError::new(path, problem))
    }

    fn allowed(&self, path: &str) -> Option<String> {
        if let Some(bound) = bound_of(path) {
            return Some(describe_range(bound));
        }
        for (field, allowed) in ALLOWED_TEXTS {
            if *field == path {
                return Some(allowed.to_string());
            }
        }
        None
    }
}

fn bound_of(path: &str) -> Option<&'static Bound> {
    bounds().iter().find(|bound| bound.field == path)
}

fn describe_range(bound: &Bound) -> String {
    format!("a whole number from {} to {}", bound.min, bound.max)
}

/// Parses and validates settings from JSON.
pub(super) fn parse(given: Value) -> Result<Settings, FieldError> {
    let example = serde_json::to_value(Settings::default()).unwrap_or_default();
    let settings: Settings = fields::parse(given, &example, &SettingsRules)?;
    check_other_fields(&settings)?;
    Ok(settings)
}

/// Checks the token, the URL, the availability zone and the loopback address.
fn check_other_fields(settings: &Settings) -> Result<(), FieldError> {
    if settings.operator_token.chars().count() < TOKEN_CHARS_MIN {
        let problem = format!("must have at least {TOKEN_CHARS_MIN} characters");
        return Err(FieldError::new("operator_token", problem));
    }
    if !settings.platform_url.starts_with("http://") {
        let problem = "must be an HTTP address, such as \"http://127.0.0.1:8090\"";
        return Err(FieldError::new("platform_url", problem));
    }
    if settings.availability_zone.as_str().is_empty() {
        return Err(FieldError::new("availability_zone", "must not be empty"));
    }
    if !settings.announce_address.ip().is_loopback() {
        let problem = "must be a loopback address, such as \"127.0.0.1:8083\"";
        return Err(FieldError::new("announce_address", problem));
    }
    Ok(())
}
