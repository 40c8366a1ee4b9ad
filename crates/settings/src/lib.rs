//! The named settings of a gateway, as flat text (`path=value` lines) or as nested JSON under the same names,
//! decoded into the module's plain values; and the fields of an engine's report into a `Report`.
//! Every error names the key that is at fault, the cause, and what to do.

mod error;
mod flat;
mod shape;

pub use error::{abbreviate, SettingsError, SettingsErrorCause};
use flat::at as place;
pub use flat::FlatSettings;
use garnetwall::api::{
    DeduplicationScope, Idempotency, LoadReport, LoadReporting, QueryClass, RetryBudget, Settings,
    SlowStart,
};

/// What one set of settings says.
#[derive(Clone, Debug)]
pub struct DecodedSettings {
    pub settings: Settings,
    pub names: Names,
    pub network: NetworkTimeouts,
    /// Names of the report's values, in wire order.
    pub report_fields: Vec<String>,
}

/// Names that index the module's lists.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Names {
    pub classes: Vec<String>,
    pub tenants: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
}

/// What only the network code needs, in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NetworkTimeouts {
    /// A connection that is not up by then counts as never made.
    pub connect_timeout: f64,
    /// Engines close idle connections after this.
    pub idle_timeout: f64,
}

/// Where the settings name no such time.
const USUAL_DIAL: f64 = 0.25;
const USUAL_IDLE: f64 = 15.0;

/// What an engine said of itself, by the names of its report; `None` where it named nothing.
pub fn decode_load_report<'a>(
    values: impl IntoIterator<Item = (&'a str, f64)>,
) -> Option<LoadReport> {
    let mut report = None;
    for (name, value) in values {
        let report = report.get_or_insert_with(LoadReport::default);
        let value = Some(value).filter(|v| v.is_finite() && *v >= 0.0);
        match name {
            "load_share" | "util" => report.cpu_utilisation = value,
            "depth" | "queue" => report.waiting_for_memory = value,
            "concurrent" | "inflight" => report.in_flight = value,
            "x0" => report.memory_utilisation = value,
            "x1" => report.disk_utilisation = value,
            _ => {}
        }
    }
    report
}

pub fn decode(t: &FlatSettings) -> Result<DecodedSettings, SettingsError> {
    let words = |path: &str| {
        t.list(path)
            .into_iter()
            .map(String::from)
            .collect::<Vec<_>>()
    };
    let names = Names {
        classes: t.names("categories")?,
        tenants: t.names("tenants")?,
        zones: words("zones"),
        kinds: words("kinds"),
    };
    let groups = 0..t.count("categories")?;
    let groups = groups
        .map(|i| group(t, i, &names))
        .collect::<Result<Vec<_>, _>>()?;
    let tenants = t.count("tenants")?;
    let further = match t.seconds("rules.extra-window")? {
        None => None,
        Some(window) => Some(RetryBudget {
            floor: t.number_or("rules.extra-floor", 0.0)?,
            per_query: t.number_or("rules.extra-per-request", 0.0)?,
            window,
        }),
    };
    let cold = match (t.number("rules.fall-multiple")?, t.seconds("rules.fall")?) {
        (Some(multiple), Some(window)) => Some(SlowStart {
            initial_fraction: t.number_or("rules.cold-from", 0.0)?,
            duration: t.seconds_or("rules.warm-after", 0.0)?,
            overload_multiple: multiple,
            window,
        }),
        _ => None,
    };
    let reports = match t.word("telemetry.how") {
        Some("inline") => LoadReporting::WithAnswers,
        Some("on_probe") => LoadReporting::WithHealthChecks,
        _ => LoadReporting::Never,
    };
    let settings = Settings {
        classes: groups,
        tenants,
        gateways: t.number_or("balancers", 1.0)?.max(1.0),
        kind_cores: t.sizes("domain.kind-cores"),
        kind_memory: t.sizes("domain.kind-memory-mb"),
        max_grant_fraction: t.number_or("domain.largest-share", 1.0)?,
        memory_grants: t.flag("domain.grants-count")?,
        load_reporting: reports,
        capacity: t.number("allowed.open-cap")?,
        health_checks_allowed: t.flag("allowed.may-probe")?,
        cancellation_allowed: t.flag("allowed.cancelling")?,
        retry_after_allowed: t.flag("allowed.retry-after")?,
        max_retry_after: t.seconds_or("allowed.max-retry-after", 0.0)?,
        max_attempts: t.number_or("allowed.max-attempts", 1.0)?.max(1.0) as u32,
        subscription_required: t.word("registry-mode") == Some("on_request"),
        retry_budget: further,
        slow_start: cold,
        progress_interval: t.seconds_or("domain.progress", 0.0)?,
        key_pause: t.seconds_or("rules.order-pause", 0.0)?,
    };
    let network = NetworkTimeouts {
        connect_timeout: t.seconds_or("allowed.dial-timeout", USUAL_DIAL)?,
        idle_timeout: t.seconds_or("allowed.idle-close", USUAL_IDLE)?,
    };
    Ok(DecodedSettings {
        settings,
        names,
        network,
        report_fields: words("telemetry.fields"),
    })
}

fn group(t: &FlatSettings, i: usize, names: &Names) -> Result<QueryClass, SettingsError> {
    let at = |key: &str| format!("categories.{i}.{key}");
    let scope = match t.word(&at("key-scope")) {
        Some("all") => DeduplicationScope::Everywhere,
        Some("zone") => DeduplicationScope::Zone,
        _ => DeduplicationScope::Cell,
    };
    let effect = match t.word(&at("semantics")) {
        Some("retryable") => Idempotency::Idempotent,
        Some("dedup") => Idempotency::IdempotentByKey {
            scope,
            window: t.seconds_or(&at("dedup-window"), 0.0)?,
        },
        Some("fragile") => Idempotency::NonIdempotent,
        other => {
            let cause = other.map_or(SettingsErrorCause::Missing, |word| {
                SettingsErrorCause::Unknown(word.into())
            });
            return Err(SettingsError::new(
                place(&at("semantics")),
                cause,
                "write retryable, dedup or fragile",
            ));
        }
    };
    let nth = |path: &str| t.list(path).get(i).copied();
    let limit = t.seconds_or(&at("give-up"), 0.0)?;
    Ok(QueryClass {
        latency_objective: t.seconds_or(&at("goal-time"), limit)?,
        latency_objective_stretch: t.number_or(&at("aim-stretch"), 0.0)?,
        deadline: limit,
        priority_weight: t.number_or(&at("worth"), 1.0)?,
        late_value_share: t.number_or(&at("late-share"), 0.0)?,
        idempotency: effect,
        in_order: t.flag(&at("one-at-a-time"))?,
        zones: t.indices(&at("zones-only"), &names.zones)?,
        kinds: t.indices(&at("allowed-on"), &names.kinds)?,
        threads: nth("domain.parallelism")
            .and_then(|v| v.parse().ok())
            .filter(|v| is_threads(*v))
            .unwrap_or(1.0),
        is_load: nth("domain.loads") == Some("true"),
        waits_for_loads: nth("domain.waits-for-loads") == Some("true"),
        retry_budget: None,
    })
}

fn is_threads(v: f64) -> bool {
    v.is_finite() && v >= 1.0
}

impl DecodedSettings {
    /// Whether a gateway can serve under these settings: it has named groups with a time limit, no name stands for two
    /// things, and the zones and kinds that a group may go to are there.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let (groups, names) = (&self.settings.classes, &self.names);
        if groups.is_empty() {
            return Err(SettingsError::new(
                "settings.categories",
                SettingsErrorCause::Empty,
                "name at least one service group",
            ));
        }
        unlike("settings.categories", &names.classes)?;
        unlike("settings.tenants", &names.tenants)?;
        for (i, group) in groups.iter().enumerate() {
            let at = |key: &str| format!("settings.categories.{i}.{key}");
            if group.deadline <= 0.0 {
                let remedy = "write how long its clients wait, in milliseconds";
                return Err(SettingsError::new(
                    at("give-up"),
                    SettingsErrorCause::Missing,
                    remedy,
                ));
            }
            listed(
                &at("zones-only"),
                &group.zones,
                "settings.zones",
                &names.zones,
            )?;
            listed(
                &at("allowed-on"),
                &group.kinds,
                "settings.kinds",
                &names.kinds,
            )?;
        }
        Ok(())
    }
}

/// Whether every item of a list has a name of its own.
fn unlike(list: &str, names: &[String]) -> Result<(), SettingsError> {
    for (i, name) in names.iter().enumerate() {
        let fault = |cause, remedy| {
            Err(SettingsError::new(
                format!("{list}.{i}.name"),
                cause,
                remedy,
            ))
        };
        if name.is_empty() {
            return fault(SettingsErrorCause::Missing, "name it, as calls do");
        }
        if names[..i].contains(name) {
            return fault(
                SettingsErrorCause::Duplicate(name.clone()),
                "give each a name of its own",
            );
        }
    }
    Ok(())
}

/// Whether every index is that of a name. Where nothing is named all is the first.
fn listed(
    place: &str,
    indices: &Option<Vec<u32>>,
    list: &str,
    names: &[String],
) -> Result<(), SettingsError> {
    let beyond = |n: &&u32| **n as usize >= names.len().max(1);
    match indices.iter().flatten().find(beyond) {
        None => Ok(()),
        Some(n) => {
            let remedy = format!("write a name of {list}, or its place there from 0");
            Err(SettingsError::new(
                place,
                SettingsErrorCause::Unknown(n.to_string()),
                remedy,
            ))
        }
    }
}

#[cfg(test)]
mod tests;
