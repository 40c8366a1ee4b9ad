//! What is wrong with a configuration: the place, the cause and the remedy.

use garnetwall_settings::{SettingsError, SettingsErrorCause};
use garnetwall_subset::SubsetError;
use serde_json::Value;
use thiserror::Error;

/// The environment variable that names the configuration file.
pub const FILE_VARIABLE: &str = "PROXY_CONFIG";

/// Why a configuration or a plan cannot be used; its text names the place, the cause and the remedy.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum ConfigError {
    /// Neither the command line nor the environment names a configuration file.
    #[error(
        "{FILE_VARIABLE}: not set; name the file of the configuration there, or with --config"
    )]
    NoFile,
    /// The file cannot be read.
    #[error("{file}: {cause}; name a file that can be read")]
    Unreadable {
        /// The file as it was named.
        file: String,
        /// What the operating system answered.
        cause: String,
    },
    /// The file is not JSON.
    #[error("{file}: not JSON: {cause}; mend it there")]
    NotJson {
        /// The file as it was named.
        file: String,
        /// What the parser found, with line and column.
        cause: String,
    },
    /// A key of the configuration has an unusable value, or is missing.
    #[error("configuration {0}")]
    Key(#[from] SettingsError),
    /// The keys of the subset do not fit one another.
    #[error("configuration {0}")]
    Subset(#[from] SubsetError),
    /// A key of settings that stand alone in their file has an unusable value, or is missing.
    #[error("{file}: {fault}")]
    Settings {
        /// The file as it was named.
        file: String,
        /// What is wrong with the key.
        fault: SettingsError,
    },
    /// The plan does not compile.
    #[error("invalid plan {file}\n{what}")]
    Plan {
        /// The file as it was named.
        file: String,
        /// Every error with its place, as `plan check` prints it.
        what: String,
    },
    /// The plan gives bodies more memory than the gateway may use for them.
    #[error(
        "plan {file}: memory of bodies: {bodies} bytes, {most} at most by limits.memory_mb; give them less"
    )]
    Bodies {
        /// The file as it was named.
        file: String,
        /// What the plan asks for, in bytes.
        bodies: u64,
        /// What is allowed, in bytes.
        most: u64,
    },
    /// A pool of the plan selects engines in a way that an engine subset cannot guarantee.
    #[error(
        "plan {file}: pool {pool}: names engines by id, address or exception, which may be in no subset; name zones \
         and kinds there, or leave subset out of the configuration"
    )]
    SubsetPool {
        /// The file as it was named.
        file: String,
        /// The pool's name.
        pool: String,
    },
}

/// The result of reading a part of the configuration.
pub(super) type Checked<T> = Result<T, ConfigError>;

/// The error of a key that is missing, or holds something that is not `expected`.
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

/// The error of a key whose value has the right type but cannot be used.
pub(super) fn unusable(place: &str, cause: String, remedy: impl Into<String>) -> ConfigError {
    SettingsError::new(place, SettingsErrorCause::Unusable(cause), remedy).into()
}
