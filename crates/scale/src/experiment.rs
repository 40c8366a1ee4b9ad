//! Reads experiments, the TOML files that describe a run, and checks their values.
//!
//! Every error names the file, the key or line at fault and the remedy.

use serde::de::DeserializeOwned;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// An experiment that could not be read, parsed or accepted.
#[derive(Debug, Error)]
pub enum ExperimentError {
    #[error("{file}: cannot read the experiment: {cause}; name a file that can be read", file = file.display())]
    Unreadable {
        file: PathBuf,
        cause: std::io::Error,
    },
    /// The text is not TOML or does not match the experiment's structure. The cause names the line, the column and
    /// the keys that are expected there.
    #[error("{file}: cannot parse the experiment: {cause}; docs/scale.md lists the keys", file = file.display())]
    Malformed {
        file: PathBuf,
        cause: Box<toml::de::Error>,
    },
    #[error("{file}: invalid value: {value}", file = file.display())]
    Invalid { file: PathBuf, value: InvalidValue },
}

/// A value that has the right type but is out of range or inconsistent with other values.
#[derive(Debug, Error)]
#[error("{key}: {found} is not {expected}; {remedy}")]
pub struct InvalidValue {
    key: String,
    found: String,
    expected: String,
    remedy: &'static str,
}

impl InvalidValue {
    pub fn new(
        key: impl Into<String>,
        found: impl ToString,
        expected: impl Into<String>,
        remedy: &'static str,
    ) -> Self {
        InvalidValue {
            key: key.into(),
            found: found.to_string(),
            expected: expected.into(),
            remedy,
        }
    }
}

/// Checks that the number of a key lies between two bounds, both included.
///
/// # Errors
///
/// Returns an error if the number is out of range or NaN.
pub fn check_range(
    key: &str,
    found: f64,
    min: f64,
    max: f64,
    remedy: &'static str,
) -> Result<(), InvalidValue> {
    if found >= min && found <= max {
        return Ok(());
    }
    let expected = format!("from {min} to {max}");
    Err(InvalidValue::new(key, found, expected, remedy))
}

/// Reads an experiment and checks its values with `check`.
///
/// # Errors
///
/// Returns an error if the file cannot be read, does not parse as `T`, or has a value that `check` rejects.
pub fn read<T: DeserializeOwned>(
    file: &Path,
    check: impl FnOnce(&T) -> Result<(), InvalidValue>,
) -> Result<T, ExperimentError> {
    let unreadable = |cause| ExperimentError::Unreadable {
        file: file.into(),
        cause,
    };
    let text = std::fs::read_to_string(file).map_err(unreadable)?;
    let malformed = |cause| ExperimentError::Malformed {
        file: file.into(),
        cause: Box::new(cause),
    };
    let experiment = toml::from_str(&text).map_err(malformed)?;
    let invalid = |value| ExperimentError::Invalid {
        file: file.into(),
        value,
    };
    check(&experiment).map_err(invalid)?;
    Ok(experiment)
}
