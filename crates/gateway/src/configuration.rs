//! Reads and checks the configuration of a gateway and fills in the defaults.
//!
//! Each error names the key or file that is at fault. A configuration is accepted as a whole or rejected: an invalid
//! one does not change a running gateway.

mod error;
mod fields;
pub mod files;
mod initial_list;
pub mod plan_commands;
pub mod subset;

pub use error::ConfigError;
pub use error::CONFIG_VARIABLE;
pub use files::{Files, PLAN_VARIABLE};

use crate::discovery::Event;
use crate::scheduling::plan_routing;
use error::{unusable, wrong_type, ConfigResult};
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

/// Default of `limits.sockets`: the usual limit on file descriptors of a process.
const DEFAULT_DESCRIPTORS: usize = 1024;
/// Minimum of `limits.sockets`: with fewer file descriptors, a gateway could not serve a single query.
const MIN_DESCRIPTORS: u64 = 64;
const DEFAULT_MEMORY_MB: usize = 512;
/// Minimum of `limits.memory_mb`: the memory that the program itself needs.
const MIN_MEMORY_MB: u64 = 16;
/// Maximum of both limits: more descriptors, and more megabytes, than any machine has.
const MAX_LIMIT: u64 = 1 << 30;

/// The plan may give bodies at most one in this many bytes of `limits.memory_mb`. Statements have an eighth of the
/// memory and results a quarter.
const BODIES_MEMORY_DIVISOR: u64 = 4;
const BYTES_PER_MB: u64 = 1 << 20;

/// Keys whose change is not logged as needing a restart. `changelog` takes effect at a reload; `known` and `seed` are
/// used only at a start.
const KEYS_WITHOUT_RESTART_WARNING: [&str; 3] = ["changelog", "known", "seed"];

/// The checked configuration of a gateway, with defaults filled in.
#[derive(Clone, Debug)]
pub struct Config {
    /// The gateway's name, unique in its fleet.
    pub name: String,
    /// The address on which the gateway listens for clients.
    pub listen: SocketAddr,
    /// The seed of the gateway's random numbers.
    pub seed: u64,
    /// Maximum number of file descriptors that the gateway may use.
    pub descriptors: usize,
    /// Maximum memory that the gateway may use, in MiB.
    pub memory_mb: usize,
    /// The address of the change log.
    pub change_log: SocketAddr,
    /// The number `known.seq` of the last change log event that the block `known` covers; 0 without the block. The
    /// watch of the change log continues after it.
    pub last_initial_event: u64,
    /// The change log events of the block `known`, in ascending order of their numbers.
    pub initial_events: Vec<Event>,
    /// The settings of the platform, from the block `settings`.
    pub platform: PlatformSettings,
    /// The settings of the engine subset; `None` if the gateway works with the whole engine list.
    pub subset: Option<SubsetSettings>,
    /// The plan, checked against the settings; `None` if no plan file is named.
    pub plan: Option<Arc<Plan>>,
    /// The JSON of the configuration file without `known`. [`Config::keys_needing_restart`] compares it with a later
    /// one.
    pub source: Value,
}

impl Config {
    /// Returns the top-level keys whose values differ in a later configuration and take effect only after a restart.
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

/// Reads and checks the configuration file and the plan file that the command line or the environment names.
///
/// `variable` looks up an environment variable.
///
/// # Errors
///
/// No configuration file is named, a file cannot be read, or its content is invalid.
pub fn read(
    files: Files,
    variable: impl Fn(&str) -> Option<String>,
) -> Result<Config, ConfigError> {
    let plan_file = files.plan.or_else(|| variable(PLAN_VARIABLE));
    let config_file = files.config.or_else(|| variable(CONFIG_VARIABLE));
    let source = files::read_json(&config_file.ok_or(ConfigError::NoConfigFile)?)?;
    let mut config = check(source, variable)?;
    if let Some(file) = plan_file {
        add_plan(&mut config, file)?;
    }
    Ok(config)
}

/// Compiles the plan file and adds the plan to the configuration, after checking it against the settings, the memory
/// limit and the engine subset.
fn add_plan(config: &mut Config, file: String) -> ConfigResult<()> {
    let settings = plan_routing::plan_settings(&config.platform);
    let compiled = garnetwall_plan::compile(&files::DiskLoader, &file, Some(&settings));
    let compiled = compiled.map_err(|invalid: InvalidPlan| ConfigError::Plan {
        file: file.clone(),
        diagnostics: invalid.to_string(),
    })?;
    let plan = compiled.plan;
    let bodies = plan.bodies.as_ref().map_or(0, |bodies| bodies.memory_bytes);
    let max_bytes = config.memory_mb as u64 * BYTES_PER_MB / BODIES_MEMORY_DIVISOR;
    if bodies > max_bytes {
        return Err(ConfigError::BodyMemoryAboveLimit {
            file,
            bodies,
            max_bytes,
        });
    }
    if let Some(settings) = &mut config.subset {
        let added = subset::add_pools(settings, &plan, &config.platform.names);
        added.map_err(|pool| ConfigError::SubsetPool { file, pool: pool.0 })?;
    }
    config.plan = Some(Arc::new(plan));
    Ok(())
}

/// Checks the JSON of the configuration file. The environment variables `PROXY_NAME` and `PROXY_LISTEN` override `name`
/// and `listen`.
fn check(mut source: Value, variable: impl Fn(&str) -> Option<String>) -> ConfigResult<Config> {
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
    // `known` grows with the fleet and is not compared at a reload, so it is not kept.
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

fn check_is_object(source: &Value) -> ConfigResult<()> {
    if source.is_object() {
        return Ok(());
    }
    Err(wrong_type(
        "file",
        "an object",
        Some(source),
        "write {...} with the keys of a gateway's configuration",
    ))
}

fn listen(source: &Value, variable: Option<String>) -> ConfigResult<SocketAddr> {
    match variable {
        Some(text) => fields::address(LISTEN_VARIABLE, &text),
        None => fields::address("listen", fields::text(source, "listen")?),
    }
}

fn seed(source: &Value) -> ConfigResult<u64> {
    let text = fields::text(source, "seed")?;
    u64::from_str_radix(text, 16).map_err(|_| {
        unusable(
            "seed",
            format!("'{text}' is not a seed"),
            "write up to 16 hex digits, chosen anew for each start",
        )
    })
}

fn settings(source: &Value) -> ConfigResult<PlatformSettings> {
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

/// Returns the block `limits`, or `null` if it is absent.
fn limits(source: &Value) -> ConfigResult<&Value> {
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
