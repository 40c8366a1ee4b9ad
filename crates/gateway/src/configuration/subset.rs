//! The block `subset`: how large a part of the engines a gateway works with.

use super::{wrong_type, Checked};
use garnetwall::api::{DeduplicationScope, Idempotency, QueryClass};
use garnetwall_plan::model::Pool;
use garnetwall_plan::Plan;
use garnetwall_settings::{shown, Cause, Decoded, Fault, Names};
use garnetwall_subset::{PlacementClass, RetryScope, Subset, SubsetSettings, MAX_NEAR_WEIGHT};
use serde_json::Value;

/// More engines than any list has.
const MOST_ENGINES: u64 = 1 << 20;
/// More than can be of use.
const MOST_JOINS_PER_SECOND: f64 = 1e6;

/// Reads the block; without one there is no subset.
pub(super) fn read(
    json: Option<&Value>,
    gateway: &str,
    decoded: &Decoded,
) -> Checked<Option<SubsetSettings>> {
    let block = match json {
        None | Some(Value::Null) => return Ok(None),
        Some(block) if block.is_object() => block,
        other => {
            return Err(wrong_type(
                "subset",
                "an object",
                other,
                "write {\"size\": ...}, or leave it out",
            ));
        }
    };
    let size = count(block, "size", 1)?.ok_or_else(|| {
        wrong_type(
            "subset.size",
            "a number",
            None,
            "write how many engines the gateway is to work with",
        )
    })?;
    let usual = SubsetSettings::with_size(size, decoded.settings.gateways);
    let settings = SubsetSettings {
        class_floor: count(block, "class_floor", 0)?.unwrap_or(usual.class_floor),
        reserve: count(block, "reserve", 0)?.unwrap_or(usual.reserve),
        joins_per_second: number(
            block,
            "joins_per_second",
            f64::MIN_POSITIVE,
            MOST_JOINS_PER_SECOND,
        )?
        .unwrap_or(usual.joins_per_second),
        zone: zone(block, &decoded.names)?,
        near_weight: number(block, "near_weight", 1.0, MAX_NEAR_WEIGHT)?
            .unwrap_or(usual.near_weight),
        classes: classes(&decoded.settings.classes),
        retry_scope: retry_scope(&decoded.settings.classes),
        ..usual
    };
    // What the settings must be to one another is the subset's to say.
    Subset::new(gateway, settings.clone())?;
    Ok(Some(settings))
}

/// A whole number from `least` on, if one is told.
fn count(block: &Value, key: &str, least: u64) -> Checked<Option<usize>> {
    let told = match block.get(key) {
        None | Some(Value::Null) => return Ok(None),
        Some(told) => told,
    };
    let remedy = format!("give a whole number from {least} to {MOST_ENGINES}");
    if !told.is_number() {
        return Err(wrong_type(&place(key), "a number", Some(told), &remedy));
    }
    let whole = told.as_u64().filter(|n| (least..=MOST_ENGINES).contains(n));
    let whole =
        whole.ok_or_else(|| out_of_range(key, told, least as f64, MOST_ENGINES as f64, remedy))?;
    Ok(Some(whole as usize))
}

/// A number, if one is told.
fn number(block: &Value, key: &str, least: f64, most: f64) -> Checked<Option<f64>> {
    let told = match block.get(key) {
        None | Some(Value::Null) => return Ok(None),
        Some(told) => told,
    };
    let bounds = if least < 1.0 {
        "more than 0".to_string()
    } else {
        format!("from {least}")
    };
    let remedy = format!("give a number {bounds}, {most} at most");
    let Some(number) = told.as_f64() else {
        return Err(wrong_type(&place(key), "a number", Some(told), &remedy));
    };
    if !(least..=most).contains(&number) {
        return Err(out_of_range(key, told, least, most, remedy));
    }
    Ok(Some(number))
}

fn out_of_range(
    key: &str,
    told: &Value,
    least: f64,
    most: f64,
    remedy: String,
) -> super::ConfigError {
    let off = if least < 1.0 && least > 0.0 {
        format!("not more than 0, or more than {most}")
    } else {
        format!("not from {least} to {most}")
    };
    Fault::new(
        place(key),
        Cause::OutOfRange {
            found: shown(told),
            off,
        },
        remedy,
    )
    .into()
}

/// The gateway's own zone, by its name in the settings.
fn zone(block: &Value, names: &Names) -> Checked<Option<u32>> {
    let name = match block.get("zone") {
        None | Some(Value::Null) => return Ok(None),
        Some(Value::String(name)) => name,
        other => {
            return Err(wrong_type(
                "subset.zone",
                "a text",
                other,
                "write a name of settings.zones",
            ))
        }
    };
    let name = name.replace([' ', ','], "_");
    match names.zones.iter().position(|zone| *zone == name) {
        Some(zone) => Ok(Some(zone as u32)),
        None => Err(Fault::new(
            "subset.zone",
            Cause::Unknown(name),
            "write a name of settings.zones",
        )
        .into()),
    }
}

fn place(key: &str) -> String {
    format!("subset.{key}")
}

/// The placement classes of the service groups that may not go everywhere.
fn classes(groups: &[QueryClass]) -> Vec<PlacementClass> {
    let class = |group: &QueryClass| PlacementClass {
        zones: group.zones.clone(),
        kinds: group.kinds.clone(),
    };
    let mut classes: Vec<PlacementClass> = groups
        .iter()
        .map(class)
        .filter(|class| *class != PlacementClass::default())
        .collect();
    classes.sort();
    classes.dedup();
    classes
}

/// The narrowest scope in which a group's queries may be tried again.
pub fn retry_scope(groups: &[QueryClass]) -> RetryScope {
    let scope = |group: &QueryClass| match group.idempotency {
        Idempotency::IdempotentByKey {
            scope: DeduplicationScope::Zone,
            ..
        } => RetryScope::Zone,
        Idempotency::IdempotentByKey {
            scope: DeduplicationScope::Cell,
            ..
        } => RetryScope::Cell,
        _ => RetryScope::Everywhere,
    };
    groups
        .iter()
        .map(scope)
        .max()
        .unwrap_or(RetryScope::Everywhere)
}

/// Adds the classes of a plan's pools; the name of a pool that is no such class.
pub(super) fn add_pools(
    settings: &mut SubsetSettings,
    plan: &Plan,
    names: &Names,
) -> Result<(), String> {
    for pool in &plan.pools {
        if !is_class(pool) {
            return Err(pool.name.clone());
        }
        let zones = places(&pool.zones, &names.zones);
        let class = PlacementClass {
            zones,
            kinds: places(&pool.kinds, &names.kinds),
        };
        // A pool that only unites others has engines where they have.
        if pool.selects() && class != PlacementClass::default() {
            settings.classes.push(class);
        }
    }
    settings.classes.sort();
    settings.classes.dedup();
    Ok(())
}

/// Whether a pool has engines by zone and kind alone.
fn is_class(pool: &Pool) -> bool {
    pool.ids.is_empty() && pool.addresses.is_empty() && pool.except.is_empty()
}

/// The places of names; none where nothing is named.
fn places(words: &[String], names: &[String]) -> Option<Vec<u32>> {
    let place = |word: &String| {
        names
            .iter()
            .position(|name| name == word)
            .map(|place| place as u32)
    };
    (!words.is_empty()).then(|| words.iter().filter_map(place).collect())
}
