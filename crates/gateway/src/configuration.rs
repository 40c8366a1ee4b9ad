//! The one place where configuration is read, checked and given defaults.
//!
//! Every error names the key that it is about. A configuration is read in whole or not at all: a faulty one changes
//! nothing of a running gateway.

mod error;
mod fields;
pub mod files;
mod initial_list;
pub mod plan_commands;
pub mod subset;

pub use error::ConfigError;
pub use error::FILE_VARIABLE;
pub use files::{Files, PLAN_VARIABLE};

use crate::discovery::Event;
use crate::scheduling::plan_routing;
use error::{unusable, wrong_type, Checked};
use garnetwall_plan::{InvalidPlan, Plan};
use garnetwall_settings::{decode, FlatSettings, PlatformSettings};
use garnetwall_subset::SubsetSettings;
use initial_list::InitialList;
use serde_json::Value;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

const NAME_VARIABLE: &str = "PROXY_NAME";
const LISTEN_VARIABLE: &str = "PROXY_LISTEN";

/// The usual limit of a process.
const DEFAULT_DESCRIPTORS: usize = 1024;
/// A gateway with fewer descriptors could not serve one query.
const MIN_DESCRIPTORS: u64 = 64;
const DEFAULT_MEMORY_MB: usize = 512;
/// What the program itself needs.
const MIN_MEMORY_MB: u64 = 16;
/// More descriptors, and more megabytes, than any machine has.
const MAX_LIMIT: u64 = 1 << 30;

/// Bodies may have this part of the memory: statements have an eighth and results a quarter.
const BODIES_MEMORY_DIVISOR: u64 = 4;
const BYTES_PER_MB: u64 = 1 << 20;

/// Keys whose change is not logged as needing a restart: `changelog` takes effect at a reload, the others matter at a start only.
const KEYS_WITHOUT_RESTART_WARNING: [&str; 3] = ["changelog", "known", "seed"];

/// A gateway's configuration, checked and with defaults filled in.
#[derive(Clone, Debug)]
pub struct Config {
    /// The gateway's name, unique in its fleet.
    pub name: String,
    /// Where it listens for clients.
    pub listen: SocketAddr,
    /// The seed of its random numbers.
    pub seed: u64,
    /// File descriptors that it may use.
    pub descriptors: usize,
    /// Memory that it may use, in megabytes.
    pub memory_mb: usize,
    /// Where the change log is.
    pub change_log: SocketAddr,
    /// The number of the last event known at the start.
    pub last_initial_event: u64,
    /// The events known at the start, in ascending order.
    pub initial_events: Vec<Event>,
    /// The settings of the platform.
    pub platform: PlatformSettings,
    /// The engine subset that the gateway works with; the whole list where it is none.
    pub subset: Option<SubsetSettings>,
    /// The plan, checked against the settings.
    pub plan: Option<Arc<Plan>>,
    /// The file as it was read, without `known`, to find what a later one changes.
    pub source: Value,
}

impl Config {
    /// Keys that differ in a later configuration and need a restart to take effect.
    pub fn keys_needing_restart(&self, later: &Config) -> Vec<String> {
        let (Some(old), Some(new)) = (self.source.as_object(), later.source.as_object()) else {
            return Vec::new();
        };
        let keys: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
        keys.into_iter()
            .filter(|key| !KEYS_WITHOUT_RESTART_WARNING.contains(&key.as_str()))
            .filter(|key| old.get(*key) != new.get(*key))
            .cloned()
            .collect()
    }
}

/// Reads the files that the command line or the environment names; `variable` looks up an environment variable.
///
/// # Errors
///
/// No file is named, a file cannot be read, or what it holds cannot be used.
pub fn read(
    files: Files,
    variable: impl Fn(&str) -> Option<String>,
) -> Result<Config, ConfigError> {
    let plan_file = files.plan.or_else(|| variable(PLAN_VARIABLE));
    let config_file = files.config.or_else(|| variable(FILE_VARIABLE));
    let source = files::read_json(&config_file.ok_or(ConfigError::NoFile)?)?;
    let mut config = check(source, variable)?;
    if let Some(file) = plan_file {
        add_plan(&mut config, file)?;
    }
    Ok(config)
}

/// Compiles the plan, and checks it against the rest of the configuration.
fn add_plan(config: &mut Config, file: String) -> Checked<()> {
    let settings = plan_routing::plan_settings(&config.platform);
    let compiled = garnetwall_plan::compile(&files::Disk, &file, Some(&settings));
    let compiled = compiled.map_err(|invalid: InvalidPlan| ConfigError::Plan {
        file: file.clone(),
        what: invalid.to_string(),
    })?;
    let plan = compiled.plan;
    let bodies = plan.bodies.as_ref().map_or(0, |bodies| bodies.memory_bytes);
    let most = config.memory_mb as u64 * BYTES_PER_MB / BODIES_MEMORY_DIVISOR;
    if bodies > most {
        return Err(ConfigError::Bodies { file, bodies, most });
    }
    if let Some(settings) = &mut config.subset {
        let added = subset::add_pools(settings, &plan, &config.platform.names);
        added.map_err(|pool| ConfigError::SubsetPool { file, pool: pool.0 })?;
    }
    config.plan = Some(Arc::new(plan));
    Ok(())
}

/// Checks the configuration file; environment variables override the name and the address.
fn check(mut source: Value, variable: impl Fn(&str) -> Option<String>) -> Checked<Config> {
    check_is_object(&source)?;
    let listen = listen(&source, variable(LISTEN_VARIABLE))?;
    let seed = seed(&source)?;
    let platform = settings(&source)?;
    let initial_list = match fields::optional(&source, "known") {
        Some(known) => InitialList::read(known, &platform.names)?,
        None => InitialList::default(),
    };
    let limits = limits(&source)?;
    let name = match variable(NAME_VARIABLE) {
        Some(name) => name,
        None => fields::text(&source, "name")?.to_string(),
    };
    let subset = subset::read(source.get("subset"), &name, &platform)?;
    let descriptors =
        fields::whole_number(limits, "limits", "sockets", MIN_DESCRIPTORS..=MAX_LIMIT)?;
    let memory_mb = fields::whole_number(limits, "limits", "memory_mb", MIN_MEMORY_MB..=MAX_LIMIT)?;
    let change_log = fields::address("changelog", fields::text(&source, "changelog")?)?;
    // It grows with the fleet, and is not compared with a later one.
    if let Some(keys) = source.as_object_mut() {
        keys.remove("known");
    }
    Ok(Config {
        name,
        listen,
        seed,
        descriptors: descriptors.unwrap_or(DEFAULT_DESCRIPTORS),
        memory_mb: memory_mb.unwrap_or(DEFAULT_MEMORY_MB),
        change_log,
        last_initial_event: initial_list.last_event,
        initial_events: initial_list.events,
        platform,
        subset,
        plan: None,
        source,
    })
}

fn check_is_object(source: &Value) -> Checked<()> {
    if source.is_object() {
        return Ok(());
    }
    Err(wrong_type(
        "file",
        "an object",
        Some(source),
        "write {...} with the keys of a gateway",
    ))
}

fn listen(source: &Value, variable: Option<String>) -> Checked<SocketAddr> {
    match variable {
        Some(text) => fields::address(LISTEN_VARIABLE, &text),
        None => fields::address("listen", fields::text(source, "listen")?),
    }
}

fn seed(source: &Value) -> Checked<u64> {
    let text = fields::text(source, "seed")?;
    u64::from_str_radix(text, 16).map_err(|_| {
        unusable(
            "seed",
            format!("'{text}' is no seed"),
            "write up to 16 hex digits, new at each start",
        )
    })
}

fn settings(source: &Value) -> Checked<PlatformSettings> {
    let settings = source.get("settings").ok_or_else(|| {
        wrong_type(
            "settings",
            "an object",
            None,
            "write {...} with the settings of the platform",
        )
    })?;
    let platform = decode(&FlatSettings::from_json(settings)?)?;
    platform.validate()?;
    Ok(platform)
}

/// The block `limits`, `null` where there is none.
fn limits(source: &Value) -> Checked<&Value> {
    match fields::optional(source, "limits") {
        None => Ok(&Value::Null),
        Some(limits) if limits.is_object() => Ok(limits),
        other => Err(wrong_type(
            "limits",
            "an object",
            other,
            "write {...} with sockets and memory_mb",
        )),
    }
}
