//! Defines the errors of reading a configuration or a plan. Their texts name the place, the cause and the remedy.

use garnetwall_settings::{SettingsError, SettingsErrorCause};
use garnetwall_subset::SubsetError;
use serde_json::Value;
use thiserror::Error;

/// The environment variable that names the configuration file.
pub const CONFIG_VARIABLE: &str = "PROXY_CONFIG";

/// An invalid or unreadable configuration or plan. The error text names the place, the cause and the remedy.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum ConfigError {
    /// Neither the command line nor the environment names a configuration file.
    #[error("{CONFIG_VARIABLE}: not set; name the configuration file there or with --config")]
    NoConfigFile,
    /// The file cannot be read.
    #[error("{file}: cannot be read: {cause}; name a file that can be read")]
    Unreadable {
        /// The path of the file as it was given.
        file: String,
        /// The text of the operating system's error.
        cause: String,
    },
    /// The file is not JSON.
    #[error("{file}: not JSON: {cause}; correct the file there")]
    NotJson {
        /// The path of the file as it was given.
        file: String,
        /// The parser's error text, with line and column.
        cause: String,
    },
    /// A key of the configuration is missing or has an invalid value.
    #[error("configuration {0}")]
    Key(#[from] SettingsError),
    /// The keys of the block `subset` contradict one another.
    #[error("configuration {0}")]
    Subset(#[from] SubsetError),
    /// A key of the settings that `--settings` names is missing or has an invalid value.
    #[error("{file}: {error}")]
    Settings {
        /// The path of the file as it was given.
        file: String,
        /// The error of the key.
        error: SettingsError,
    },
    /// The plan does not compile.
    #[error("invalid plan {file}\n{diagnostics}")]
    Plan {
        /// The path of the plan file as it was given.
        file: String,
        /// All errors with their places, as `plan check` prints them.
        diagnostics: String,
    },
    /// The plan gives bodies more memory than `limits.memory_mb` allows.
    #[error(
        "plan {file}: bodies have {bodies} bytes of memory, but limits.memory_mb allows at most {max_bytes}; \
         give them less"
    )]
    BodyMemoryAboveLimit {
        /// The path of the plan file as it was given.
        file: String,
        /// The memory that the plan gives bodies, in bytes.
        bodies: u64,
        /// The memory that bodies may have, in bytes.
        max_bytes: u64,
    },
    /// A pool of the plan selects engines by id, address or exception, which an engine subset does not support.
    #[error(
        "plan {file}: pool {pool}: selects engines by id, address or exception, which an engine subset does not \
         support; name zones and kinds instead, or remove subset from the configuration"
    )]
    SubsetPool {
        /// The path of the plan file as it was given.
        file: String,
        /// The name of the pool.
        pool: String,
    },
}

/// The result of reading and checking a part of the configuration.
pub(super) type ConfigResult<T> = Result<T, ConfigError>;

/// Creates the error of a key that is missing or whose value has another type than `expected`.
pub(super) fn wrong_type(
    place: &str,
    expected: &'static str,
    found: Option<&Value>,
    remedy: &str,
) -> ConfigError {
    match found {
        Some(found) => SettingsError::wrong_type(place, expected, found, remedy),
        None => SettingsError::new(place, SettingsErrorCause::Missing, remedy),
    }
    .into()
}

/// Creates the error of a key whose value has the right type but is invalid.
pub(super) fn unusable(place: &str, cause: String, remedy: impl Into<String>) -> ConfigError {
    SettingsError::new(place, SettingsErrorCause::Unusable(cause), remedy).into()
}
