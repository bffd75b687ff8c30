//! Reading JSON that people write: a fault is told with the path of its field.

use macro_rules_attribute::apply;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

use crate::derives::message;

/// A field that is not allowed.
#[apply(message!)]
pub struct FieldError {
    /// The field, as a path.
    pub field: String,
    /// What is wrong and what is allowed.
    pub problem: String,
}

impl FieldError {
    /// Makes an error of a field.
    pub fn new(field: impl Into<String>, problem: impl Into<String>) -> Self {
        Self {
            field: field.into(),
            problem: problem.into(),
        }
    }

    /// Puts the path of the object that holds the field before it.
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

/// The rules of single fields, beside what their types allow.
pub trait FieldRules {
    /// Checks a field that is no object.
    fn check(&self, path: &str, given: &Value) -> Result<(), FieldError>;

    /// Returns what a field allows, for one that its type refuses.
    fn allowed(&self, path: &str) -> Option<String>;
}

/// No rules beside the types.
pub struct NoFieldRules;

impl FieldRules for NoFieldRules {
    fn check(&self, _path: &str, _given: &Value) -> Result<(), FieldError> {
        Ok(())
    }

    fn allowed(&self, _path: &str) -> Option<String> {
        None
    }
}

/// Reads a `T`. The example is a valid one that holds each field, null where it is optional, and
/// one element in each list.
pub fn read<T: DeserializeOwned>(
    given: Value,
    example: &Value,
    rules: &dyn FieldRules,
) -> Result<T, FieldError> {
    if !given.is_object() {
        return Err(FieldError::new("(whole text)", "must be a JSON object"));
    }
    let reader = Reader {
        example,
        rules,
        refusal: |value| Some(serde_json::from_value::<T>(value).err()?.to_string()),
    };
    reader.check("", "", &given)?;
    serde_json::from_value(given)
        .map_err(|error| FieldError::new("(whole text)", error.to_string()))
}

/// Looks for the first field at fault.
struct Reader<'r> {
    example: &'r Value,
    rules: &'r dyn FieldRules,
    /// Returns why a whole text is refused.
    refusal: fn(Value) -> Option<String>,
}

impl Reader<'_> {
    /// Checks a value at a path for people and at its pointer in the example.
    fn check(&self, path: &str, pointer: &str, given: &Value) -> Result<(), FieldError> {
        let Some(known) = self.example.pointer(pointer) else {
            return Ok(());
        };
        match (given, known) {
            (Value::Object(fields), Value::Object(known)) => {
                self.check_object(path, pointer, fields, known)
            }
            (Value::Array(elements), Value::Array(_)) => {
                for (at, element) in elements.iter().enumerate() {
                    self.check(&format!("{path}[{at}]"), &format!("{pointer}/0"), element)?;
                }
                Ok(())
            }
            _ => self.check_leaf(path, pointer, given, known),
        }
    }

    fn check_object(
        &self,
        path: &str,
        pointer: &str,
        fields: &Map<String, Value>,
        known: &Map<String, Value>,
    ) -> Result<(), FieldError> {
        for (name, given) in fields {
            let path = join(path, name);
            if !known.contains_key(name) {
                return Err(FieldError::new(path, unknown(known)));
            }
            self.check(&path, &format!("{pointer}/{name}"), given)?;
        }
        for name in known.keys() {
            if !fields.contains_key(name) && self.is_required(pointer, name) {
                return Err(FieldError::new(join(path, name), "must be there"));
            }
        }
        Ok(())
    }

    fn is_required(&self, pointer: &str, name: &str) -> bool {
        let mut without = self.example.clone();
        if let Some(Value::Object(fields)) = without.pointer_mut(pointer) {
            fields.remove(name);
        }
        (self.refusal)(without).is_some()
    }

    fn check_leaf(
        &self,
        path: &str,
        pointer: &str,
        given: &Value,
        known: &Value,
    ) -> Result<(), FieldError> {
        let refuse = |problem| Err(FieldError::new(path, problem));
        let allowed = || self.rules.allowed(path);
        let is_optional = known.is_null();
        if !is_optional && std::mem::discriminant(given) != std::mem::discriminant(known) {
            let kind = allowed().unwrap_or_else(|| kind_of(known).to_string());
            return refuse(format!("must be {kind}"));
        }
        self.rules.check(path, given)?;
        let mut alone = self.example.clone();
        if let Some(place) = alone.pointer_mut(pointer) {
            *place = given.clone();
        }
        match (self.refusal)(alone) {
            None => Ok(()),
            Some(problem) => match allowed() {
                Some(allowed) => refuse(format!("must be {allowed}")),
                None => refuse(problem),
            },
        }
    }
}

fn unknown(known: &Map<String, Value>) -> String {
    let names: Vec<&str> = known.keys().map(String::as_str).collect();
    format!("unknown field; allowed are {}", names.join(", "))
}

fn kind_of(value: &Value) -> &'static str {
    match value {
        Value::Null => "left out",
        Value::Bool(_) => "true or false",
        Value::Number(_) => "a number",
        Value::String(_) => "a text",
        Value::Array(_) => "a list",
        Value::Object(_) => "an object",
    }
}
