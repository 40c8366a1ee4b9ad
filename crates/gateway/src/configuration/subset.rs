//! Reads the block `subset` of the configuration: the size and the rules of the gateway's engine subset.

use super::error::{wrong_type, ConfigResult};
use super::fields;
use garnetwall::api::{DeduplicationScope, Idempotency, QueryClass};
use garnetwall_plan::model::Pool;
use garnetwall_plan::Plan;
use garnetwall_settings::{Names, PlatformSettings, SettingsError, SettingsErrorCause};
use garnetwall_subset::{PlacementClass, RetryScope, Subset, SubsetSettings, MAX_NEAR_WEIGHT};
use serde_json::Value;

const BLOCK: &str = "subset";
/// Maximum of `subset.size`, `subset.class_floor` and `subset.reserve`: more engines than any list has.
const MAX_ENGINES: u64 = 1 << 20;
/// Maximum of `subset.joins_per_second`: more than any gateway can make use of.
const MAX_JOINS_PER_SECOND: f64 = 1e6;

/// The name of a pool that selects engines by id, address or exception, which an engine subset does not support.
#[derive(Debug)]
pub(super) struct UnsupportedPool(pub(super) String);

/// Reads and checks the block `subset`. Returns `None` if it is absent, so that the gateway uses the whole engine list.
pub(super) fn read(
    json: Option<&Value>,
    gateway: &str,
    platform: &PlatformSettings,
) -> ConfigResult<Option<SubsetSettings>> {
    let block = match json {
        None | Some(Value::Null) => return Ok(None),
        Some(block) => block,
    };
    if !block.is_object() {
        let remedy = "write {\"size\": ...}, or remove the key";
        return Err(wrong_type(BLOCK, "an object", json, remedy));
    }
    let size = size(block)?;
    let defaults = SubsetSettings::with_size(size, platform.settings.gateways);
    let class_floor = engine_count(block, "class_floor", 0)?;
    let reserve = engine_count(block, "reserve", 0)?;
    let joins_per_second = joins_per_second(block)?;
    let zone = zone(block, &platform.names)?;
    let near_weight = near_weight(block)?;
    let settings = SubsetSettings {
        class_floor: class_floor.unwrap_or(defaults.class_floor),
        reserve: reserve.unwrap_or(defaults.reserve),
        joins_per_second: joins_per_second.unwrap_or(defaults.joins_per_second),
        zone,
        near_weight: near_weight.unwrap_or(defaults.near_weight),
        classes: placement_classes(&platform.settings.classes),
        retry_scope: retry_scope(&platform.settings.classes),
        ..defaults
    };
    // The constructor checks that the settings are consistent with one another.
    Subset::new(gateway, settings.clone())?;
    Ok(Some(settings))
}

fn size(block: &Value) -> ConfigResult<usize> {
    let remedy = "write the number of engines that the gateway works with";
    let size = engine_count(block, "size", 1)?;
    size.ok_or_else(|| wrong_type("subset.size", "a number", None, remedy))
}

/// Returns the optional number of engines at `key`, which must be at least `min`.
fn engine_count(block: &Value, key: &str, min: u64) -> ConfigResult<Option<usize>> {
    fields::whole_number(block, BLOCK, key, min..=MAX_ENGINES)
}

fn joins_per_second(block: &Value) -> ConfigResult<Option<f64>> {
    number(
        block,
        "joins_per_second",
        |number| (f64::MIN_POSITIVE..=MAX_JOINS_PER_SECOND).contains(&number),
        &format!("give a number above 0 and at most {MAX_JOINS_PER_SECOND}"),
        &format!("not more than 0, or more than {MAX_JOINS_PER_SECOND}"),
    )
}

fn near_weight(block: &Value) -> ConfigResult<Option<f64>> {
    number(
        block,
        "near_weight",
        |number| (1.0..=MAX_NEAR_WEIGHT).contains(&number),
        &format!("give a number from 1 to {MAX_NEAR_WEIGHT}"),
        &format!("not from 1 to {MAX_NEAR_WEIGHT}"),
    )
}

/// Returns the optional number at `key`. `violation` follows "is" in the error text of a number that is not allowed.
fn number(
    block: &Value,
    key: &str,
    is_allowed: impl Fn(f64) -> bool,
    remedy: &str,
    violation: &str,
) -> ConfigResult<Option<f64>> {
    let Some(value) = fields::optional(block, key) else {
        return Ok(None);
    };
    let place = format!("{BLOCK}.{key}");
    let Some(number) = value.as_f64() else {
        return Err(wrong_type(&place, "a number", Some(value), remedy));
    };
    if !is_allowed(number) {
        return Err(fields::out_of_range(
            place,
            value,
            violation.into(),
            remedy.into(),
        ));
    }
    Ok(Some(number))
}

/// Returns the index in the settings of the gateway's own zone, which the block names.
fn zone(block: &Value, names: &Names) -> ConfigResult<Option<u32>> {
    const REMEDY: &str = "write a name from settings.zones";
    let name = match fields::optional(block, "zone") {
        None => return Ok(None),
        Some(Value::String(name)) => name,
        other => return Err(wrong_type("subset.zone", "a text", other, REMEDY)),
    };
    // The names in the settings have `_` in place of spaces and commas.
    let name = name.replace([' ', ','], "_");
    match names.zones.iter().position(|zone| *zone == name) {
        Some(zone) => Ok(Some(zone as u32)),
        None => {
            Err(SettingsError::new("subset.zone", SettingsErrorCause::Unknown(name), REMEDY).into())
        }
    }
}

/// Returns the placement classes of those query classes that are restricted to zones or kinds, sorted and deduplicated.
fn placement_classes(classes: &[QueryClass]) -> Vec<PlacementClass> {
    let placement = |class: &QueryClass| PlacementClass {
        zones: class.zones.clone(),
        kinds: class.kinds.clone(),
    };
    let mut placements: Vec<PlacementClass> = classes
        .iter()
        .map(placement)
        .filter(|placement| *placement != PlacementClass::default())
        .collect();
    placements.sort();
    placements.dedup();
    placements
}

/// Returns the narrowest retry scope of these query classes, or [`RetryScope::Everywhere`] without classes.
pub fn retry_scope(classes: &[QueryClass]) -> RetryScope {
    let scope = |class: &QueryClass| match class.idempotency {
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
    classes
        .iter()
        .map(scope)
        .max()
        .unwrap_or(RetryScope::Everywhere)
}

/// Adds the placement classes of a plan's pools to the settings of the subset.
///
/// # Errors
///
/// A pool selects engines by id, address or exception.
pub(super) fn add_pools(
    settings: &mut SubsetSettings,
    plan: &Plan,
    names: &Names,
) -> Result<(), UnsupportedPool> {
    for pool in &plan.pools {
        if !selects_by_placement(pool) {
            return Err(UnsupportedPool(pool.name.clone()));
        }
        let class = PlacementClass {
            zones: indices(&pool.zones, &names.zones),
            kinds: indices(&pool.kinds, &names.kinds),
        };
        // A pool that is only a union of other pools needs no placement class, since those pools add theirs.
        if pool.has_selectors() && class != PlacementClass::default() {
            settings.classes.push(class);
        }
    }
    settings.classes.sort();
    settings.classes.dedup();
    Ok(())
}

/// Whether a pool selects engines only by zone and kind.
fn selects_by_placement(pool: &Pool) -> bool {
    pool.ids.is_empty() && pool.addresses.is_empty() && pool.except.is_empty()
}

/// Returns the indices of the selected names in `names`, or `None` if no name is selected.
fn indices(selected: &[String], names: &[String]) -> Option<Vec<u32>> {
    let index = |selected: &String| names.iter().position(|name| name == selected);
    let indices = selected.iter().filter_map(index).map(|index| index as u32);
    (!selected.is_empty()).then(|| indices.collect())
}
