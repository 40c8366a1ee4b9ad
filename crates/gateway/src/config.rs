//! The one place where configuration is read, checked and given defaults. Every fault names its key.

use crate::changes::{self, Event};
use crate::{plan_cli, planning};
use garnetwall_plan::Plan;
use garnetwall_settings::{decode, Decoded, Flat};
use serde_json::Value;
use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

/// Names the file that holds the configuration.
pub const FILE_VARIABLE: &str = "PROXY_CONFIG";
/// Names the file of the plan; without it there is none.
pub const PLAN_VARIABLE: &str = "GARNETWALL_PLAN";
const NAME_VARIABLE: &str = "PROXY_NAME";
const LISTEN_VARIABLE: &str = "PROXY_LISTEN";

/// Where no limit is told, the usual one of a process.
const USUAL_SOCKETS: u64 = 1024;
/// A gateway with fewer descriptors could not hold one batch.
const FEWEST_SOCKETS: u64 = 64;
/// Where no limit is told, and the least that the program itself needs.
const USUAL_MEMORY_MB: u64 = 512;
const LEAST_MEMORY_MB: u64 = 16;

/// Bodies may have a quarter of the memory: statements have an eighth and results a quarter.
const BODIES_PART: u32 = 2;

#[derive(Clone, Debug)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub seed: u64,
    pub sockets: usize,
    pub memory_mb: usize,
    pub changelog: SocketAddr,
    /// The number of the last change known at the start, and the changes up to it.
    pub last_known: u64,
    pub known: Vec<Event>,
    pub decoded: Decoded,
    /// The plan, checked against the settings.
    pub plan: Option<Arc<Plan>>,
    /// The file as it was read, to tell what a later one changes.
    pub told: Value,
}

/// Keys that need no start: `changelog` takes effect at a reload, the others are of use at a start only.
const RELOADED: [&str; 3] = ["changelog", "known", "seed"];

impl Config {
    /// Keys that another file changes but that take effect at a start only.
    pub fn start_only(&self, other: &Config) -> Vec<String> {
        let (Some(old), Some(new)) = (self.told.as_object(), other.told.as_object()) else {
            return Vec::new();
        };
        let keys: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
        let changed = |key: &&String| !RELOADED.contains(&key.as_str()) && old.get(*key) != new.get(*key);
        keys.into_iter().filter(changed).cloned().collect()
    }
}

/// What is wrong, with the key it is under and what was expected.
#[derive(Debug, PartialEq, Eq)]
pub struct ConfigError(pub String);

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for ConfigError {}

type Checked<T> = Result<T, ConfigError>;

fn fault<T>(key: &str, expected: &str) -> Checked<T> {
    Err(ConfigError(format!("configuration {key}: {expected}")))
}

/// The files that a gateway is configured by, as the command line names them.
#[derive(Clone, Debug, Default)]
pub struct Files {
    pub config: Option<String>,
    pub plan: Option<String>,
}

/// Reads the files that are named on the command line or in the environment.
pub fn read(files: Files, variable: impl Fn(&str) -> Option<String>) -> Checked<Config> {
    let plan = files.plan.or_else(|| variable(PLAN_VARIABLE));
    let mut config = read_config(files.config, variable)?;
    if let Some(file) = plan {
        let settings = planning::settings(&config.decoded);
        let compiled = garnetwall_plan::compile(&plan_cli::Disk, &file, Some(&settings));
        let compiled = compiled.map_err(|faulty| ConfigError(format!("plan {file} is faulty\n{faulty}")))?;
        let bodies = compiled.plan.bodies.as_ref().map_or(0, |b| b.memory);
        let most = (config.memory_mb as u64) << 20 >> BODIES_PART;
        if bodies > most {
            let what =
                format!("plan {file}: memory of bodies: {bodies} bytes, {most} at most by limits.memory_mb");
            return Err(ConfigError(what));
        }
        config.plan = Some(Arc::new(compiled.plan));
    }
    Ok(config)
}

/// The settings of a gateway's configuration, or settings that stand alone in their file.
pub fn settings(file: &str) -> Checked<Decoded> {
    let text = std::fs::read(file).map_err(|e| ConfigError(format!("{file}: {e}")))?;
    let json: Value =
        serde_json::from_slice(&text).map_err(|e| ConfigError(format!("{file}: not JSON: {e}")))?;
    let named = |what: String| ConfigError(format!("{file}: {what}"));
    decode(&Flat::from_json(json.get("settings").unwrap_or(&json)).map_err(named)?).map_err(named)
}

fn read_config(file: Option<String>, variable: impl Fn(&str) -> Option<String>) -> Checked<Config> {
    let Some(file) = file.or_else(|| variable(FILE_VARIABLE)) else {
        return Err(ConfigError(format!("{FILE_VARIABLE}: not set, the path of the configuration expected")));
    };
    let text = std::fs::read(&file).map_err(|e| ConfigError(format!("{FILE_VARIABLE}: {file}: {e}")))?;
    let json: Value = match serde_json::from_slice(&text) {
        Ok(json) => json,
        Err(e) => return Err(ConfigError(format!("{FILE_VARIABLE}: {file}: not JSON: {e}"))),
    };
    check(json, variable)
}

fn check(told: Value, variable: impl Fn(&str) -> Option<String>) -> Checked<Config> {
    let json = &told;
    if !json.is_object() {
        return fault("file", "an object expected");
    }
    let listen = match variable(LISTEN_VARIABLE) {
        Some(word) => address(LISTEN_VARIABLE, &word)?,
        None => address("listen", text(json, "listen")?)?,
    };
    let seed = text(json, "seed")?;
    let Ok(seed) = u64::from_str_radix(seed, 16) else {
        return fault("seed", &format!("'{seed}': up to 16 hex digits expected"));
    };
    let flat = json.get("settings").map_or_else(|| fault("settings", "missing, an object expected"), Ok)?;
    let named = |what: String| ConfigError(format!("configuration {what}"));
    let decoded = decode(&Flat::from_json(flat).map_err(named)?).map_err(named)?;
    if decoded.settings.groups.is_empty() {
        return fault("settings.categories", "at least one service group expected");
    }
    let (last_known, known) = known(json.get("known").unwrap_or(&Value::Null), &decoded)?;
    Ok(Config {
        name: variable(NAME_VARIABLE).map_or_else(|| text(json, "name").map(String::from), Ok)?,
        listen,
        seed,
        sockets: limit(json, "sockets", FEWEST_SOCKETS, USUAL_SOCKETS)?,
        memory_mb: limit(json, "memory_mb", LEAST_MEMORY_MB, USUAL_MEMORY_MB)?,
        changelog: address("changelog", text(json, "changelog")?)?,
        last_known,
        known,
        decoded,
        plan: None,
        told,
    })
}

fn text<'a>(json: &'a Value, key: &str) -> Checked<&'a str> {
    match json.get(key) {
        Some(Value::String(word)) if !word.is_empty() => Ok(word),
        Some(other) => fault(key, &format!("{other}: a text expected")),
        None => fault(key, "missing, a text expected"),
    }
}

fn address(key: &str, word: &str) -> Checked<SocketAddr> {
    match word.parse::<SocketAddr>() {
        Ok(address) if address.port() != 0 => Ok(address),
        _ => fault(key, &format!("'{word}': an address with its port expected")),
    }
}

fn limit(json: &Value, key: &str, least: u64, usual: u64) -> Checked<usize> {
    let told = json.get("limits").and_then(|limits| limits.get(key));
    let told = told.map_or(Some(usual), Value::as_u64).filter(|n| *n >= least);
    let told = told.and_then(|n| usize::try_from(n).ok());
    told.map_or_else(|| fault(&format!("limits.{key}"), &format!("a number from {least} up expected")), Ok)
}

fn known(json: &Value, decoded: &Decoded) -> Checked<(u64, Vec<Event>)> {
    if json.is_null() {
        return Ok((0, Vec::new()));
    }
    let Some(last) = json.get("seq").and_then(Value::as_u64) else {
        return fault("known.seq", "the number of a change expected");
    };
    let Some(results) = json.get("results").and_then(Value::as_array) else {
        return fault("known.results", "a list of changes expected");
    };
    let event = |(i, one): (usize, &Value)| {
        changes::event(one, &decoded.names).or_else(|what| fault(&format!("known.results.{i}"), &what))
    };
    Ok((last, results.iter().enumerate().map(event).collect::<Checked<_>>()?))
}
