//! Checks of settings: each fault is told with the field's path and what is allowed.

use serde_json::{Map, Value};

use super::{Settings, bounds};
use crate::config::FieldError;

/// The fewest characters of an operator's token.
const TOKEN_CHARS_MIN: usize = 16;

/// What a text field allows, by the field's path.
const ALLOWED: &[(&str, &str)] = &[
    ("caller_address", ADDRESS),
    ("operator_address", ADDRESS),
    ("peer_address", ADDRESS),
    ("peer_advertised_address", ADDRESS),
    ("announce_address", ADDRESS),
    ("log.format", "\"text\" or \"json\""),
    ("log.level", "\"error\", \"warn\", \"info\" or \"debug\""),
];

const ADDRESS: &str = "an IP address with a port, such as \"127.0.0.1:8080\"";

/// Makes settings from the JSON of a file.
pub(super) fn read(given: Value) -> Result<Settings, FieldError> {
    let defaults = defaults();
    let Value::Object(fields) = given else {
        return Err(FieldError::new("(whole file)", "must be a JSON object"));
    };
    check_fields("", &fields, &defaults, &defaults)?;
    let settings: Settings = serde_json::from_value(Value::Object(fields))
        .map_err(|error| FieldError::new("(whole file)", error.to_string()))?;
    check_text(&settings)?;
    Ok(settings)
}

fn defaults() -> Value {
    serde_json::to_value(Settings::default()).unwrap_or_default()
}

/// Checks the given fields of one object against the defaults of the same object.
fn check_fields(
    parent: &str,
    fields: &Map<String, Value>,
    known: &Value,
    defaults: &Value,
) -> Result<(), FieldError> {
    for (name, given) in fields {
        let path = join(parent, name);
        let Some(default) = known.get(name) else {
            return Err(FieldError::new(path, unknown(known)));
        };
        if let (Value::Object(fields), Value::Object(_)) = (given, default) {
            check_fields(&path, fields, default, defaults)?;
            continue;
        }
        check_kind(&path, given, default)?;
        check_bound(&path, given)?;
        check_alone(&path, given, defaults)?;
    }
    Ok(())
}

fn join(parent: &str, name: &str) -> String {
    if parent.is_empty() {
        return name.to_string();
    }
    format!("{parent}.{name}")
}

fn unknown(known: &Value) -> String {
    let mut names = Vec::new();
    if let Value::Object(fields) = known {
        names.extend(fields.keys().cloned());
    }
    format!("unknown field; allowed are {}", names.join(", "))
}

fn check_kind(path: &str, given: &Value, default: &Value) -> Result<(), FieldError> {
    let is_optional = default.is_null();
    if is_optional || std::mem::discriminant(given) == std::mem::discriminant(default) {
        return Ok(());
    }
    let kind = match default {
        Value::Null => "left out",
        Value::Bool(_) => "true or false",
        Value::Number(_) => return Err(out_of_bound(path, "number")),
        Value::String(_) => "a text",
        Value::Array(_) => "a list",
        Value::Object(_) => "an object",
    };
    Err(FieldError::new(path, format!("must be {kind}")))
}

fn check_bound(path: &str, given: &Value) -> Result<(), FieldError> {
    if !given.is_number() {
        return Ok(());
    }
    for bound in bounds() {
        if bound.field != path {
            continue;
        }
        let is_allowed = given
            .as_f64()
            .is_some_and(|number| number >= bound.least as f64 && number <= bound.greatest as f64);
        if !is_allowed {
            return Err(out_of_bound(path, "number"));
        }
    }
    Ok(())
}

fn out_of_bound(path: &str, kind: &str) -> FieldError {
    for bound in bounds() {
        if bound.field == path {
            let (least, greatest) = (bound.least, bound.greatest);
            let problem = format!("must be a {kind} from {least} to {greatest}");
            return FieldError::new(path, problem);
        }
    }
    FieldError::new(path, format!("must be a {kind}"))
}

/// Reads one field among defaults, so that a fault is known to be its own.
fn check_alone(path: &str, given: &Value, defaults: &Value) -> Result<(), FieldError> {
    let mut alone = defaults.clone();
    let mut place = &mut alone;
    for name in path.split('.') {
        place = &mut place[name];
    }
    *place = given.clone();
    let Err(error) = serde_json::from_value::<Settings>(alone) else {
        return Ok(());
    };
    if given.is_f64() {
        return Err(out_of_bound(path, "whole number"));
    }
    for (field, allowed) in ALLOWED {
        if *field == path {
            return Err(FieldError::new(path, format!("must be {allowed}")));
        }
    }
    Err(FieldError::new(path, error.to_string()))
}

fn check_text(settings: &Settings) -> Result<(), FieldError> {
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
