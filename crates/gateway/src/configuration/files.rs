//! The files that a gateway is configured by, and how they are read from the disk.

use super::error::{Checked, ConfigError};
use garnetwall_plan::source::{resolve_relative, LoadError, Loader};
use garnetwall_settings::{decode, FlatSettings, PlatformSettings};
use serde_json::Value;
use std::path::Path;

/// The environment variable that names the plan file; a gateway may run without a plan.
pub const PLAN_VARIABLE: &str = "GARNETWALL_PLAN";

/// The files that the command line names; where it names none, the environment does.
#[derive(Clone, Debug, Default)]
pub struct Files {
    /// The configuration file, otherwise that of [`FILE_VARIABLE`](super::FILE_VARIABLE).
    pub config: Option<String>,
    /// The plan file, otherwise that of [`PLAN_VARIABLE`].
    pub plan: Option<String>,
}

/// Loads the files of a plan from the disk.
pub struct Disk;

impl Loader for Disk {
    fn load(&self, name: &str) -> Result<Vec<u8>, LoadError> {
        if Path::new(name).is_dir() {
            return Err(LoadError::IsDirectory);
        }
        Ok(std::fs::read(name)?)
    }

    fn resolve(&self, from: &str, included: &str) -> String {
        resolve_relative(from, included)
    }
}

/// Reads a JSON file.
pub(super) fn read_json(file: &str) -> Checked<Value> {
    let text = std::fs::read(file).map_err(|error| ConfigError::Unreadable {
        file: file.into(),
        cause: error.to_string(),
    })?;
    serde_json::from_slice(&text).map_err(|error| ConfigError::NotJson {
        file: file.into(),
        cause: error.to_string(),
    })
}

/// Reads the settings out of a gateway's configuration file, or out of a file that holds nothing else.
pub(super) fn read_settings(file: &str) -> Checked<PlatformSettings> {
    let json = read_json(file)?;
    let settings = json.get("settings").unwrap_or(&json);
    let decoded = FlatSettings::from_json(settings).and_then(|flat| decode(&flat));
    decoded.map_err(|fault| ConfigError::Settings {
        file: file.into(),
        fault,
    })
}
