//! Decodes settings key by key. The documentation of the package lists the keys and their fields.

use crate::error::{SettingsError, SettingsErrorCause};
use crate::flat::{place_of, FlatSettings};
use crate::platform_settings::{Names, NetworkTimeouts, PlatformSettings};
use garnetwall::api::{
    DeduplicationScope, Idempotency, LoadReporting, QueryClass, RetryBudget, Settings, SlowStart,
};

/// Timeouts that are used if the settings have none.
const DEFAULT_TIMEOUTS: NetworkTimeouts = NetworkTimeouts {
    connect_timeout: 0.25,
    idle_timeout: 15.0,
};
/// Threads that a query uses if the settings have no valid number for its class.
const DEFAULT_THREADS: f64 = 1.0;

/// Decodes settings. Each key is decoded separately; [`PlatformSettings::validate`] checks that the values are
/// consistent.
///
/// # Errors
///
/// Returns an error if a value cannot be decoded as the type of its key, if a query class allows a zone or kind by an
/// unknown name, or if its `semantics` are missing or unknown.
pub fn decode(flat: &FlatSettings) -> Result<PlatformSettings, SettingsError> {
    let names = decode_names(flat)?;
    let classes = (0..flat.item_count("categories")?)
        .map(|index| decode_class(flat, index, &names))
        .collect::<Result<Vec<_>, _>>()?;
    let settings = decode_settings(flat, classes)?;
    Ok(PlatformSettings {
        settings,
        names,
        network: decode_timeouts(flat)?,
        report_fields: words(flat, "telemetry.fields"),
    })
}

fn decode_names(flat: &FlatSettings) -> Result<Names, SettingsError> {
    Ok(Names {
        classes: flat.item_names("categories")?,
        tenants: flat.item_names("tenants")?,
        zones: words(flat, "zones"),
        kinds: words(flat, "kinds"),
    })
}

fn decode_settings(
    flat: &FlatSettings,
    classes: Vec<QueryClass>,
) -> Result<Settings, SettingsError> {
    let tenants = flat.item_count("tenants")?;
    let retry_budget = decode_retry_budget(flat)?;
    let slow_start = decode_slow_start(flat)?;
    Ok(Settings {
        classes,
        tenants,
        gateways: flat.number_or("balancers", 1.0)?.max(1.0),
        kind_cores: flat.positive_numbers("domain.kind-cores"),
        kind_memory: flat.positive_numbers("domain.kind-memory-mb"),
        max_grant_fraction: flat.number_or("domain.largest-share", 1.0)?,
        memory_grants: flat.flag("domain.grants-count")?,
        load_reporting: decode_load_reporting(flat),
        capacity: flat.number("allowed.open-cap")?,
        health_checks_allowed: flat.flag("allowed.may-probe")?,
        cancellation_allowed: flat.flag("allowed.cancelling")?,
        retry_after_allowed: flat.flag("allowed.retry-after")?,
        max_retry_after: flat.seconds_or("allowed.max-retry-after", 0.0)?,
        max_attempts: flat.number_or("allowed.max-attempts", 1.0)?.max(1.0) as u32,
        subscription_required: flat.word("registry-mode") == Some("on_request"),
        retry_budget,
        slow_start,
        progress_interval: flat.seconds_or("domain.progress", 0.0)?,
        key_pause: flat.seconds_or("rules.order-pause", 0.0)?,
    })
}

fn decode_retry_budget(flat: &FlatSettings) -> Result<Option<RetryBudget>, SettingsError> {
    let Some(window) = flat.seconds("rules.extra-window")? else {
        return Ok(None);
    };
    Ok(Some(RetryBudget {
        floor: flat.number_or("rules.extra-floor", 0.0)?,
        per_query: flat.number_or("rules.extra-per-request", 0.0)?,
        window,
    }))
}

fn decode_slow_start(flat: &FlatSettings) -> Result<Option<SlowStart>, SettingsError> {
    let overload_multiple = flat.number("rules.fall-multiple")?;
    let window = flat.seconds("rules.fall")?;
    let (Some(overload_multiple), Some(window)) = (overload_multiple, window) else {
        return Ok(None);
    };
    Ok(Some(SlowStart {
        initial_fraction: flat.number_or("rules.cold-from", 0.0)?,
        duration: flat.seconds_or("rules.warm-after", 0.0)?,
        overload_multiple,
        window,
    }))
}

fn decode_load_reporting(flat: &FlatSettings) -> LoadReporting {
    match flat.word("telemetry.how") {
        Some("inline") => LoadReporting::WithAnswers,
        Some("on_probe") => LoadReporting::WithHealthChecks,
        _ => LoadReporting::Never,
    }
}

fn decode_timeouts(flat: &FlatSettings) -> Result<NetworkTimeouts, SettingsError> {
    let default = DEFAULT_TIMEOUTS;
    Ok(NetworkTimeouts {
        connect_timeout: flat.seconds_or("allowed.dial-timeout", default.connect_timeout)?,
        idle_timeout: flat.seconds_or("allowed.idle-close", default.idle_timeout)?,
    })
}

/// Decodes the query class with this index, including its items in the lists of `domain`.
fn decode_class(
    flat: &FlatSettings,
    index: usize,
    names: &Names,
) -> Result<QueryClass, SettingsError> {
    let path = |key: &str| format!("categories.{index}.{key}");
    // Items other than `true` count as false, including `1`.
    let is_listed_true = |list: &str| flat.list_item(list, index) == Some("true");
    let idempotency = decode_idempotency(flat, index)?;
    let deadline = flat.seconds_or(&path("give-up"), 0.0)?;
    Ok(QueryClass {
        latency_objective: flat.seconds_or(&path("goal-time"), deadline)?,
        latency_objective_stretch: flat.number_or(&path("aim-stretch"), 0.0)?,
        deadline,
        priority_weight: flat.number_or(&path("worth"), 1.0)?,
        late_value_share: flat.number_or(&path("late-share"), 0.0)?,
        idempotency,
        in_order: flat.flag(&path("one-at-a-time"))?,
        zones: flat.indices(&path("zones-only"), &names.zones)?,
        kinds: flat.indices(&path("allowed-on"), &names.kinds)?,
        threads: decode_threads(flat, index),
        loads_data: is_listed_true("domain.loads"),
        waits_for_data_loads: is_listed_true("domain.waits-for-loads"),
        retry_budget: None,
    })
}

fn decode_idempotency(flat: &FlatSettings, class: usize) -> Result<Idempotency, SettingsError> {
    let semantics = format!("categories.{class}.semantics");
    let cause = match flat.word(&semantics) {
        Some("retryable") => return Ok(Idempotency::Idempotent),
        Some("dedup") => return decode_idempotency_by_key(flat, class),
        Some("fragile") => return Ok(Idempotency::NonIdempotent),
        Some(other) => SettingsErrorCause::Unknown(other.into()),
        None => SettingsErrorCause::Missing,
    };
    let remedy = "set retryable, dedup or fragile";
    Err(SettingsError::new(place_of(&semantics), cause, remedy))
}

fn decode_idempotency_by_key(
    flat: &FlatSettings,
    class: usize,
) -> Result<Idempotency, SettingsError> {
    let scope = match flat.word(&format!("categories.{class}.key-scope")) {
        Some("all") => DeduplicationScope::Everywhere,
        Some("zone") => DeduplicationScope::Zone,
        _ => DeduplicationScope::Cell,
    };
    let window = flat.seconds_or(&format!("categories.{class}.dedup-window"), 0.0)?;
    Ok(Idempotency::IdempotentByKey { scope, window })
}

/// Returns the number of threads that a query of a class uses, or [`DEFAULT_THREADS`] if the settings have no number of
/// at least 1.
fn decode_threads(flat: &FlatSettings, class: usize) -> f64 {
    flat.list_item("domain.parallelism", class)
        .and_then(|word| word.parse::<f64>().ok())
        .filter(|threads| threads.is_finite() && *threads >= 1.0)
        .unwrap_or(DEFAULT_THREADS)
}

fn words(flat: &FlatSettings, path: &str) -> Vec<String> {
    flat.list(path).into_iter().map(String::from).collect()
}
