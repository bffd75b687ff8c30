//! Deserialises JSON that people write, and reports each error with the path of its field.

use macro_rules_attribute::apply;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

use crate::derives::message;

/// An error in a field.
#[apply(message!)]
pub struct FieldError {
    /// The field, as a path.
    pub field: String,
    /// The problem and the allowed values.
    pub problem: String,
}

impl FieldError {
    /// Creates an error in a field.
    pub fn new(field: impl Into<String>, problem: impl Into<String>) -> Self {
        Self {
            field: field.into(),
            problem: problem.into(),
        }
    }

    /// Prefixes the path with that of the enclosing object.
    pub fn within(self, parent: &str) -> Self {
        Self {
            field: join(parent, &self.field),
            problem: self.problem,
        }
    }
}

/// Returns the path of a field in an object.
fn join(parent: &str, name: &str) -> String {
    if parent.is_empty() {
        return name.to_string();
    }
    format!("{parent}.{name}")
}

/// Validation rules for single fields, in addition to their types.
pub trait FieldRules {
    /// Checks the value of a field that is not an object.
    fn check(&self, path: &str, given: &Value) -> Result<(), FieldError>;

    /// Describes the allowed values of a field, for the error when its type rejects the value.
    fn allowed(&self, path: &str) -> Option<String>;
}

/// Applies no rules in addition to the types.
pub struct NoFieldRules;

impl FieldRules for NoFieldRules {
    fn check(&self, _path: &str, _given: &Value) -> Result<(), FieldError> {
        Ok(())
    }

    fn allowed(&self, _path: &str) -> Option<String> {
        None
    }
}

/// Deserialises a `T` from JSON and checks its fields.
///
/// `example` must be a valid `T` that contains every field, with null for fields of an `Option`
/// type and one element in each list.
pub fn parse<T: DeserializeOwned>(
    given: Value,
    example: &Value,
    rules: &dyn FieldRules,
) -> Result<T, FieldError> {
    if !given.is_object() {
        return Err(FieldError::new("(whole text)", "must be a JSON object"));
    }
    let checker = FieldChecker {
        example,
        rules,
        type_error: |value| Some(serde_json::from_value::<T>(value).err()?.to_string()),
    };
    checker.check("", "", &given)?;
    serde_json::from_value(given)
        .map_err(|error| FieldError::new("(whole text)", error.to_string()))
}

/// Finds the first invalid field.
struct FieldChecker<'r> {
    example: &'r Value,
    rules: &'r dyn FieldRules,
    /// Returns the deserialisation error of a complete value, if any.
    type_error: fn(Value) -> Option<String>,
}

impl FieldChecker<'_> {
    /// Checks a value. `path` is its path for error messages, and `pointer` the JSON pointer of the
    /// corresponding value in the example.
    fn check(&self, path: &str, pointer: &str, given: &Value) -> Result<(), FieldError> {
        let Some(expected) = self.example.pointer(pointer) else {
            return Ok(());
        };
        match (given, expected) {
            (Value::Object(fields), Value::Object(expected)) => {
                self.check_object(path, pointer, fields, expected)
            }
            (Value::Array(elements), Value::Array(_)) => {
                for (index, element) in elements.iter().enumerate() {
                    self.check(
                        &format!("{path}[{index}]"),
                        &format!("{pointer}/0"),
                        element,
                    )?;
                }
                Ok(())
            }
            _ => self.check_leaf(path, pointer, given, expected),
        }
    }

    fn check_object(
        &self,
        path: &str,
        pointer: &str,
        fields: &Map<String, Value>,
        expected: &Map<String, Value>,
    ) -> Result<(), FieldError> {
        for (name, given) in fields {
            let path = join(path, name);
            if !expected.contains_key(name) {
                return Err(FieldError::new(path, unknown_field(expected)));
            }
            self.check(&path, &format!("{pointer}/{name}"), given)?;
        }
        for name in expected.keys() {
            if !fields.contains_key(name) && self.is_required(pointer, name) {
                return Err(FieldError::new(join(path, name), "is required"));
            }
        }
        Ok(())
    }

    fn is_required(&self, pointer: &str, name: &str) -> bool {
        let mut without_field = self.example.clone();
        if let Some(Value::Object(fields)) = without_field.pointer_mut(pointer) {
            fields.remove(name);
        }
        (self.type_error)(without_field).is_some()
    }

    fn check_leaf(
        &self,
        path: &str,
        pointer: &str,
        given: &Value,
        expected: &Value,
    ) -> Result<(), FieldError> {
        let reject = |problem| Err(FieldError::new(path, problem));
        let allowed = || self.rules.allowed(path);
        let is_optional = expected.is_null();
        if !is_optional && std::mem::discriminant(given) != std::mem::discriminant(expected) {
            let kind = allowed().unwrap_or_else(|| kind_of(expected).to_string());
            return reject(format!("must be {kind}"));
        }
        self.rules.check(path, given)?;
        let mut with_value = self.example.clone();
        if let Some(slot) = with_value.pointer_mut(pointer) {
            *slot = given.clone();
        }
        match (self.type_error)(with_value) {
            None => Ok(()),
            Some(problem) => match allowed() {
                Some(allowed) => reject(format!("must be {allowed}")),
                None => reject(problem),
            },
        }
    }
}

fn unknown_field(expected: &Map<String, Value>) -> String {
    let names: Vec<&str> = expected.keys().map(String::as_str).collect();
    format!("unknown field; allowed fields: {}", names.join(", "))
}

fn kind_of(value: &Value) -> &'static str {
    match value {
        Value::Null => "left out",
        Value::Bool(_) => "true or false",
        Value::Number(_) => "a number",
        Value::String(_) => "a string",
        Value::Array(_) => "a list",
        Value::Object(_) => "an object",
    }
}
