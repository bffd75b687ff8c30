//! Reads JSON files that people write, such as settings and scenarios.

use std::path::{Path, PathBuf};

use quick_error::quick_error;
use serde_json::Value;

use crate::fields::FieldError;

quick_error! {
    /// Why a JSON file cannot be read or is invalid.
    #[derive(Debug)]
    pub enum JsonFileError {
        /// The file cannot be read.
        Unreadable(file: PathBuf, error: std::io::Error) {
            display("{}: cannot be read: {error}", file.display())
            source(error)
        }
        /// The file is not JSON.
        NotJson(file: PathBuf, error: serde_json::Error) {
            display("{}: not JSON: {error}", file.display())
            source(error)
        }
        /// A field is invalid.
        Field(file: PathBuf, field: String, problem: String) {
            display("{}: {field}: {problem}", file.display())
        }
    }
}

/// Reads a file and converts its JSON into a value.
///
/// # Errors
///
/// Returns an error that names the file and, if a field is invalid, that field.
pub fn read<T>(
    path: &Path,
    from_value: impl FnOnce(Value) -> Result<T, FieldError>,
) -> Result<T, JsonFileError> {
    let file = || path.to_path_buf();
    let text =
        std::fs::read_to_string(path).map_err(|error| JsonFileError::Unreadable(file(), error))?;
    let given =
        serde_json::from_str(&text).map_err(|error| JsonFileError::NotJson(file(), error))?;
    from_value(given).map_err(|error| JsonFileError::Field(file(), error.field, error.problem))
}
