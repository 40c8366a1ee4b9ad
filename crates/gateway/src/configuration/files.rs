//! Reads the files of a gateway from disk: the configuration, the settings and the plan.

use super::error::{ConfigError, ConfigResult};
use crate::system::os_error::retry_blocking;
use garnetwall_plan::source::{resolve_relative, LoadError, Loader};
use garnetwall_settings::{decode, FlatSettings, PlatformSettings};
use serde_json::Value;
use std::io;
use std::path::Path;

/// The environment variable that names the plan file. A gateway runs without a plan if none is named.
pub const PLAN_VARIABLE: &str = "GARNETWALL_PLAN";

/// The paths of the files that the command line names. [`read`](super::read) falls back to the environment for absent
/// ones.
#[derive(Clone, Debug, Default)]
pub struct Files {
    /// The configuration file; if `None`, [`CONFIG_VARIABLE`](super::CONFIG_VARIABLE) names it.
    pub config: Option<String>,
    /// The plan file; if `None`, [`PLAN_VARIABLE`] names it.
    pub plan: Option<String>,
}

/// Loads plan files, and the files that they include, from the disk.
pub struct DiskLoader;

impl Loader for DiskLoader {
    fn load(&self, name: &str) -> Result<Vec<u8>, LoadError> {
        if Path::new(name).is_dir() {
            return Err(LoadError::IsDirectory);
        }
        Ok(read_file(name)?)
    }

    fn resolve(&self, from: &str, included: &str) -> String {
        resolve_relative(from, included)
    }
}

/// Reads a file. Blocks the thread, for up to [`START_TIMEOUT`](crate::system::os_error::START_TIMEOUT) while the disk or
/// the machine does not let it be read.
fn read_file(name: &str) -> io::Result<Vec<u8>> {
    retry_blocking(|| std::fs::read(name))
}

/// Reads and parses a JSON file.
pub(super) fn read_json(file: &str) -> ConfigResult<Value> {
    let text = read_file(file).map_err(|error| ConfigError::Unreadable {
        file: file.into(),
        cause: error.to_string(),
    })?;
    serde_json::from_slice(&text).map_err(|error| ConfigError::NotJson {
        file: file.into(),
        cause: error.to_string(),
    })
}

/// Reads the platform settings from the block `settings` of a configuration file, or from a file that contains only the
/// settings.
pub(super) fn read_settings(file: &str) -> ConfigResult<PlatformSettings> {
    let json = read_json(file)?;
    let settings = json.get("settings").unwrap_or(&json);
    let decoded = FlatSettings::from_json(settings).and_then(|flat| decode(&flat));
    decoded.map_err(|error| ConfigError::Settings {
        file: file.into(),
        error,
    })
}
