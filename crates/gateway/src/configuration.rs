//! The one place where configuration is read, checked and given defaults. Every fault names its key.

pub mod plan_commands;
pub mod subset;

use crate::discovery::{self, Event, NameIndex};
use crate::scheduling::plan_routing;
use garnetwall_plan::{Faulty, Plan};
use garnetwall_settings::{decode, shown, Cause, Decoded, Fault, Flat};
use garnetwall_subset::{SubsetError, SubsetSettings};
use serde_json::Value;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use thiserror::Error;

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
/// More than any machine has of either.
const MOST: u64 = 1 << 30;

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
    /// How large a subset of the engines the gateway works with, and how it changes; the whole list where it is none.
    pub subset: Option<SubsetSettings>,
    /// The plan, checked against the settings.
    pub plan: Option<Arc<Plan>>,
    /// The file as it was read but for `known`, to tell what a later one changes.
    pub told: Value,
}

/// Keys that need no start: `changelog` takes effect at a reload, the others are of use at a start only.
const RELOADED: [&str; 3] = ["changelog", "known", "seed"];

impl Config {
    /// Keys that another file changes but that take effect at a start only.
    pub fn keys_needing_restart(&self, other: &Config) -> Vec<String> {
        let (Some(old), Some(new)) = (self.told.as_object(), other.told.as_object()) else {
            return Vec::new();
        };
        let keys: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
        let changed =
            |key: &&String| !RELOADED.contains(&key.as_str()) && old.get(*key) != new.get(*key);
        keys.into_iter().filter(changed).cloned().collect()
    }
}

/// What is wrong: where, why, and what to do.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum ConfigError {
    #[error(
        "{FILE_VARIABLE}: not set; name the file of the configuration there, or with --config"
    )]
    NoFile,
    #[error("{file}: {cause}; name a file that can be read")]
    Unreadable { file: String, cause: String },
    #[error("{file}: not JSON: {cause}; mend it there")]
    NotJson { file: String, cause: String },
    #[error("configuration {0}")]
    Key(#[from] Fault),
    #[error("configuration {0}")]
    Subset(#[from] SubsetError),
    /// Settings that stand alone in their file.
    #[error("{file}: {fault}")]
    Settings { file: String, fault: Fault },
    #[error("plan {file} is faulty\n{what}")]
    Plan { file: String, what: String },
    #[error(
        "plan {file}: memory of bodies: {bodies} bytes, {most} at most by limits.memory_mb; give them less"
    )]
    Bodies {
        file: String,
        bodies: u64,
        most: u64,
    },
    #[error(
        "plan {file}: pool {pool}: names engines by id, address or exception, which may be in no subset; name zones \
         and kinds there, or leave subset out of the configuration"
    )]
    SubsetPool { file: String, pool: String },
}

type Checked<T> = Result<T, ConfigError>;

/// A key that holds what is not `expected`, or nothing.
fn wrong_type(
    place: &str,
    expected: &'static str,
    found: Option<&Value>,
    remedy: &str,
) -> ConfigError {
    match found {
        Some(found) => Fault::wrong_type(place, expected, found, remedy),
        None => Fault::new(place, Cause::Missing, remedy),
    }
    .into()
}

fn unusable(place: &str, cause: String, remedy: impl Into<String>) -> ConfigError {
    Fault::new(place, Cause::Unusable(cause), remedy).into()
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
        let settings = plan_routing::settings(&config.decoded);
        let compiled = garnetwall_plan::compile(&plan_commands::Disk, &file, Some(&settings));
        let faulty = |faulty: Faulty| ConfigError::Plan {
            file: file.clone(),
            what: faulty.to_string(),
        };
        let compiled = compiled.map_err(faulty)?;
        let bodies = compiled.plan.bodies.as_ref().map_or(0, |b| b.memory);
        let most = (config.memory_mb as u64) << 20 >> BODIES_PART;
        if bodies > most {
            return Err(ConfigError::Bodies { file, bodies, most });
        }
        if let Some(settings) = &mut config.subset {
            let unkept = |pool| ConfigError::SubsetPool { file, pool };
            subset::add_pools(settings, &compiled.plan, &config.decoded.names).map_err(unkept)?;
        }
        config.plan = Some(Arc::new(compiled.plan));
    }
    Ok(config)
}

/// The settings of a gateway's configuration, or settings that stand alone in their file.
pub fn settings(file: &str) -> Checked<Decoded> {
    let json = json(file)?;
    let decoded =
        Flat::from_json(json.get("settings").unwrap_or(&json)).and_then(|flat| decode(&flat));
    decoded.map_err(|fault| ConfigError::Settings {
        file: file.into(),
        fault,
    })
}

fn json(file: &str) -> Checked<Value> {
    let unreadable = |e: std::io::Error| ConfigError::Unreadable {
        file: file.into(),
        cause: e.to_string(),
    };
    let text = std::fs::read(file).map_err(unreadable)?;
    serde_json::from_slice(&text).map_err(|e| ConfigError::NotJson {
        file: file.into(),
        cause: e.to_string(),
    })
}

fn read_config(file: Option<String>, variable: impl Fn(&str) -> Option<String>) -> Checked<Config> {
    let file = file
        .or_else(|| variable(FILE_VARIABLE))
        .ok_or(ConfigError::NoFile)?;
    check(json(&file)?, variable)
}

fn check(told: Value, variable: impl Fn(&str) -> Option<String>) -> Checked<Config> {
    let json = &told;
    if !json.is_object() {
        return Err(wrong_type(
            "file",
            "an object",
            Some(json),
            "write {...} with the keys of a gateway",
        ));
    }
    let listen = match variable(LISTEN_VARIABLE) {
        Some(word) => address(LISTEN_VARIABLE, &word)?,
        None => address("listen", text(json, "listen")?)?,
    };
    let seed = text(json, "seed")?;
    let seed = u64::from_str_radix(seed, 16).map_err(|_| {
        unusable(
            "seed",
            format!("'{seed}' is no seed"),
            "write up to 16 hex digits, new at each start",
        )
    })?;
    let flat = json.get("settings").ok_or_else(|| {
        wrong_type(
            "settings",
            "an object",
            None,
            "write {...} with the settings of the platform",
        )
    })?;
    let decoded = decode(&Flat::from_json(flat)?)?;
    decoded.check()?;
    let (last_known, known) = match json.get("known") {
        None | Some(Value::Null) => (0, Vec::new()),
        Some(known) => self::known(known, &decoded)?,
    };
    let limits = match json.get("limits") {
        None | Some(Value::Null) => &Value::Null,
        Some(limits) if limits.is_object() => limits,
        other => {
            return Err(wrong_type(
                "limits",
                "an object",
                other,
                "write {...} with sockets and memory_mb",
            ))
        }
    };
    let name = variable(NAME_VARIABLE).map_or_else(|| text(json, "name").map(String::from), Ok)?;
    let subset = subset::read(json.get("subset"), &name, &decoded)?;
    let mut config = Config {
        name,
        listen,
        seed,
        sockets: limit(limits, "sockets", FEWEST_SOCKETS, USUAL_SOCKETS)?,
        memory_mb: limit(limits, "memory_mb", LEAST_MEMORY_MB, USUAL_MEMORY_MB)?,
        changelog: address("changelog", text(json, "changelog")?)?,
        last_known,
        known,
        decoded,
        subset,
        plan: None,
        told,
    };
    // It grows with the fleet, and is not compared with a later one.
    if let Some(told) = config.told.as_object_mut() {
        told.remove("known");
    }
    Ok(config)
}

fn text<'a>(json: &'a Value, key: &str) -> Checked<&'a str> {
    match json.get(key) {
        Some(Value::String(word)) if word.is_empty() => {
            Err(Fault::new(key, Cause::Empty, "write a text there").into())
        }
        Some(Value::String(word)) => Ok(word),
        other => Err(wrong_type(key, "a text", other, "write it in quotes")),
    }
}

fn address(key: &str, word: &str) -> Checked<SocketAddr> {
    match word.parse::<SocketAddr>() {
        Ok(address) if address.port() != 0 => Ok(address),
        _ => {
            let what = format!("'{word}' is no address with a port");
            Err(unusable(key, what, "write one, as 10.0.0.4:4100"))
        }
    }
}

fn limit(limits: &Value, key: &str, least: u64, usual: u64) -> Checked<usize> {
    let told = match limits.get(key) {
        None | Some(Value::Null) => return Ok(usual as usize),
        Some(told) => told,
    };
    let (place, remedy) = (
        format!("limits.{key}"),
        format!("give a whole number from {least} to {MOST}"),
    );
    if !told.is_number() {
        return Err(wrong_type(&place, "a number", Some(told), &remedy));
    }
    let whole = told
        .as_u64()
        .filter(|n| (least..=MOST).contains(n))
        .and_then(|n| usize::try_from(n).ok());
    whole.ok_or_else(|| {
        let off = format!("not from {least} to {MOST}");
        Fault::new(
            place,
            Cause::OutOfRange {
                found: shown(told),
                off,
            },
            remedy,
        )
        .into()
    })
}

fn known(json: &Value, decoded: &Decoded) -> Checked<(u64, Vec<Event>)> {
    if !json.is_object() {
        return Err(wrong_type(
            "known",
            "an object",
            Some(json),
            "write {...} with seq and results, or leave it out",
        ));
    }
    let last = json.get("seq").and_then(Value::as_u64).ok_or_else(|| {
        wrong_type(
            "known.seq",
            "the number of a change",
            json.get("seq"),
            "write that of the last of the results",
        )
    })?;
    let results = json
        .get("results")
        .and_then(Value::as_array)
        .ok_or_else(|| {
            wrong_type(
                "known.results",
                "a list",
                json.get("results"),
                "write the change log's events up to known.seq",
            )
        })?;
    let names = NameIndex::new(&decoded.names);
    let mut events: Vec<Event> = Vec::with_capacity(results.len());
    for (i, one) in results.iter().enumerate() {
        let place = format!("known.results.{i}");
        let event =
            discovery::event(one, &names).map_err(|what| in_event(&place, &what.to_string()))?;
        let before = events.last().map(|event| event.number);
        if before.is_some_and(|before| event.number <= before) || event.number > last {
            let after =
                before.map_or_else(|| "up".to_string(), |before| format!("after {before}, up"));
            let what = format!(
                "{} goes back or past known.seq, which is {last}",
                event.number
            );
            return Err(unusable(
                &format!("{place}.seq"),
                what,
                format!("number the events {after} to known.seq"),
            ));
        }
        events.push(event);
    }
    Ok((last, events))
}

/// What is wrong with an event of the change log, whose reader names the place in it first.
fn in_event(event: &str, what: &str) -> ConfigError {
    let (key, cause) = what.split_once(": ").unwrap_or(("", what));
    let place = if key.is_empty() {
        event.to_string()
    } else {
        format!("{event}.{key}")
    };
    unusable(
        &place,
        cause.into(),
        "write the event as the change log tells it, with the names of the settings",
    )
}
