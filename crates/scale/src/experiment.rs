//! Experiments: TOML files that describe a run. Every error names the file, the place in it and what to do.

use serde::de::DeserializeOwned;
use std::fmt::Display;
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
    #[error("{file}: {key}: {found} is not {expected}; {remedy}", file = file.display())]
    Unusable {
        file: PathBuf,
        key: String,
        found: String,
        expected: String,
        remedy: String,
    },
}

impl ExperimentError {
    /// A key whose value is of the right type and can't be used.
    pub fn unusable(
        file: &Path,
        key: &str,
        found: impl Display,
        expected: &str,
        remedy: &str,
    ) -> Self {
        ExperimentError::Unusable {
            file: file.into(),
            key: key.into(),
            found: found.to_string(),
            expected: expected.into(),
            remedy: remedy.into(),
        }
    }
}

/// A key whose value can't be used, and why.
pub struct Fault {
    pub key: &'static str,
    pub found: String,
    pub expected: &'static str,
    pub remedy: &'static str,
}

impl Fault {
    pub fn new(
        key: &'static str,
        found: impl ToString,
        expected: &'static str,
        remedy: &'static str,
    ) -> Self {
        Fault {
            key,
            found: found.to_string(),
            expected,
            remedy,
        }
    }
}

/// Reads an experiment.
///
/// # Errors
///
/// Where the file can't be read, or is no experiment of this kind.
pub fn read<T: DeserializeOwned>(file: &Path) -> Result<T, ExperimentError> {
    let unreadable = |cause| ExperimentError::Unreadable {
        file: file.into(),
        cause,
    };
    let text = std::fs::read_to_string(file).map_err(unreadable)?;
    let malformed = |cause| ExperimentError::Malformed {
        file: file.into(),
        cause: Box::new(cause),
    };
    toml::from_str(&text).map_err(malformed)
}
