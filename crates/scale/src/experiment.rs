//! Experiments: TOML files that describe a run. Every error names the file, the place in it and what to do.

use serde::de::DeserializeOwned;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// What is wrong with an experiment.
#[derive(Debug, Error)]
pub enum ExperimentError {
    #[error("{file}: {cause}; name an experiment that can be read", file = file.display())]
    Unreadable {
        file: PathBuf,
        cause: std::io::Error,
    },
    /// The cause shows line, column and the keys that are expected there.
    #[error("{file}: {cause}; docs/scale.md lists the keys", file = file.display())]
    Malformed {
        file: PathBuf,
        cause: Box<toml::de::Error>,
    },
    #[error("{file}: {value}", file = file.display())]
    Invalid { file: PathBuf, value: InvalidValue },
}

/// A key whose value is of the right type and can't be used, and why.
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

/// Checks that a number lies in a range, both ends included.
///
/// # Errors
///
/// Where it does not, or is not a number.
pub fn check_range(
    key: &str,
    found: f64,
    least: f64,
    most: f64,
    remedy: &'static str,
) -> Result<(), InvalidValue> {
    if found >= least && found <= most {
        return Ok(());
    }
    let expected = format!("from {least} to {most}");
    Err(InvalidValue::new(key, found, expected, remedy))
}

/// Reads an experiment and checks its values.
///
/// # Errors
///
/// Where the file can't be read, is no experiment of this kind, or has a value that can't be used.
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
