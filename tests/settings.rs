//! Tests that settings files are parsed, and that each error names the file, the field and the
//! allowed values.

use std::path::PathBuf;

use dragonflylug::settings::{Settings, bounds};
use rstest::rstest;
use serde_json::Value;

/// Reads a test case and loads its settings from a separate file, as a daemon would.
fn read_case(path: &PathBuf) -> (Value, Result<Settings, String>) {
    let text = std::fs::read_to_string(path).unwrap();
    let case: Value = serde_json::from_str(&text).unwrap();
    let name = path.file_name().unwrap();
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&file, case["settings"].to_string()).unwrap();
    let result = Settings::read(&file).map_err(|error| error.to_string());
    let file_name = file.display().to_string();
    (
        case,
        result.map_err(|error| error.replace(&file_name, "FILE")),
    )
}

#[rstest]
fn an_error_names_the_file_the_field_and_the_allowed_values(
    #[files("tests/data/settings/refused_*.json")] path: PathBuf,
) {
    let (case, result) = read_case(&path);
    assert_eq!(result.unwrap_err(), case["error"].as_str().unwrap());
}

#[rstest]
fn settings_are_parsed(#[files("tests/data/settings/read_*.json")] path: PathBuf) {
    let (case, result) = read_case(&path);
    let read = serde_json::to_value(result.unwrap()).unwrap();
    for (name, expected) in case["read"].as_object().unwrap() {
        assert_eq!(&read[name], expected, "{name}");
    }
}

#[test]
fn an_error_names_a_file_that_is_missing_or_not_json() {
    let missing = Settings::read("no/such/file.json".as_ref()).unwrap_err();
    assert!(missing.to_string().starts_with("no/such/file.json: cannot"));
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("not_json.json");
    std::fs::write(&file, "{").unwrap();
    let error = Settings::read(&file).unwrap_err().to_string();
    assert!(error.contains("not_json.json: not JSON: EOF"), "{error}");
}

#[test]
fn each_numeric_setting_has_a_range_that_contains_its_default() {
    let defaults = serde_json::to_value(Settings::default()).unwrap();
    let mut numbers = Vec::new();
    collect_numbers("", &defaults, &mut numbers);
    for (field, default) in &numbers {
        let bound = bounds().iter().find(|bound| bound.field == field);
        let bound = bound.unwrap_or_else(|| panic!("{field} has no range"));
        let range = bound.min as f64..=bound.max as f64;
        assert!(range.contains(default), "{field} {default} {bound:?}");
    }
    assert_eq!(numbers.len(), bounds().len());
}

fn collect_numbers(parent: &str, value: &Value, numbers: &mut Vec<(String, f64)>) {
    if let Some(number) = value.as_f64() {
        numbers.push((parent.trim_start_matches('.').to_string(), number));
    }
    let Value::Object(fields) = value else {
        return;
    };
    for (name, value) in fields {
        collect_numbers(&format!("{parent}.{name}"), value, numbers);
    }
}
