//! Parses numbers with units, and counts, which have no unit.

use super::{Value, ValueError, ValueKind};
use crate::diagnostic::{nearest, truncated};
use std::time::Duration;

/// Units of time with their length in seconds.
const TIME_UNITS: [(&str, f64); 6] = [
    ("us", 1e-6),
    ("ms", 1e-3),
    ("s", 1.0),
    ("min", 60.0),
    ("h", 3600.0),
    ("d", 86_400.0),
];
/// Units of size with their number of bytes.
const SIZE_UNITS: [(&str, f64); 4] = [
    ("B", 1.0),
    ("KiB", 1024.0),
    ("MiB", 1_048_576.0),
    ("GiB", 1_073_741_824.0),
];
/// Common spellings of units that the plan language does not accept, with the unit to suggest instead.
const UNIT_ALIASES: [(&str, &str); 17] = [
    ("sec", "s"),
    ("secs", "s"),
    ("second", "s"),
    ("seconds", "s"),
    ("msec", "ms"),
    ("m", "min"),
    ("mins", "min"),
    ("minutes", "min"),
    ("hr", "h"),
    ("hours", "h"),
    ("KB", "KiB"),
    ("kB", "KiB"),
    ("MB", "MiB"),
    ("GB", "GiB"),
    ("/sec", "/s"),
    ("rps", "/s"),
    ("percent", "%"),
];
const MICROSECONDS_PER_SECOND: f64 = 1e6;
const MAX_TIME_SECONDS: f64 = 7.0 * 86_400.0;
/// Maximum of sizes, counts and rates in base units, low enough that sums of values do not overflow.
const MAX_NUMBER: f64 = 1.0e15;

/// Parses a number with a unit of the given kind.
pub(super) fn number_with_unit(kind: ValueKind, word: &str) -> Result<Value, ValueError> {
    let is_numeric = |c: char| c.is_ascii_digit() || c == '.';
    let digits = word.find(|c| !is_numeric(c)).unwrap_or(word.len());
    let (digits, unit) = word.split_at(digits);
    let number = digits.parse::<f64>().ok().filter(|n| n.is_finite());
    let Some(number) = number else {
        return Err(ValueError::not(word, "found invalid number", kind));
    };
    match kind_of_unit(unit) {
        Some(found) if found == kind => bounded_value(kind, word, number * base_units(unit)),
        Some(ValueKind::Count) => Err(ValueError::not(word, "found a number without a unit", kind)),
        Some(found) => {
            let description = format!("found {}", found.description());
            Err(ValueError::not(word, &description, kind))
        }
        None => Err(unknown_unit(kind, digits, unit)),
    }
}

fn unknown_unit(kind: ValueKind, digits: &str, unit: &str) -> ValueError {
    let units = units(kind);
    let alias = UNIT_ALIASES
        .iter()
        .find(|(alias, plan_unit)| *alias == unit && units.contains(plan_unit))
        .map(|(_, plan_unit)| *plan_unit);
    let error = ValueError::not(unit, "found unknown unit", kind);
    match alias.or_else(|| nearest(unit, units.iter().copied())) {
        Some(near) => error.help(format!("did you mean `{digits}{near}`?")),
        None => error,
    }
}

/// Converts a number in base units to a value of a kind and checks the bounds of the kind. `word` is used in messages.
fn bounded_value(kind: ValueKind, word: &str, number: f64) -> Result<Value, ValueError> {
    let out_of_bounds =
        |problem: &str| Err(ValueError::new(format!("`{}` {problem}", truncated(word))));
    match kind {
        ValueKind::Time if number > MAX_TIME_SECONDS => out_of_bounds("is longer than 7 days"),
        ValueKind::Time if number <= 0.0 => out_of_bounds("is zero; a time must be greater than 0"),
        // Rounding to microseconds makes equal times in different units, such as 1s and 1000ms, compare equal.
        ValueKind::Time => Ok(Value::Time(Duration::from_micros(
            (number * MICROSECONDS_PER_SECOND).round().max(1.0) as u64,
        ))),
        ValueKind::Share if number > 1.0 => {
            out_of_bounds("is greater than the maximum share of 100%")
        }
        ValueKind::Share => Ok(Value::Share(number)),
        _ if number <= 0.0 => out_of_bounds("is zero; the value must be greater than 0"),
        _ if number > MAX_NUMBER => out_of_bounds("is too large"),
        ValueKind::Size | ValueKind::Count if number.fract() != 0.0 => {
            out_of_bounds("is not a whole number")
        }
        ValueKind::Size => Ok(Value::Size(number as u64)),
        ValueKind::Count => Ok(Value::Count(number as u64)),
        ValueKind::Rate => Ok(Value::Rate(number)),
        _ => Ok(Value::ByteRate(number)),
    }
}

/// Returns the units that messages suggest for a kind.
fn units(kind: ValueKind) -> Vec<&'static str> {
    match kind {
        ValueKind::Time => TIME_UNITS.iter().map(|(unit, _)| *unit).collect(),
        ValueKind::Size => SIZE_UNITS.iter().map(|(unit, _)| *unit).collect(),
        ValueKind::Rate => vec!["/s", "/min", "/h"],
        ValueKind::ByteRate => vec!["B/s", "KiB/s", "MiB/s", "GiB/s"],
        ValueKind::Share => vec!["%"],
        _ => Vec::new(),
    }
}

fn in_table(table: &[(&str, f64)], unit: &str) -> Option<f64> {
    let found = table.iter().find(|(name, _)| *name == unit);
    found.map(|(_, factor)| *factor)
}

/// Returns the kind of values that have a unit; no unit means a count, and `None` means that the unit is unknown.
fn kind_of_unit(unit: &str) -> Option<ValueKind> {
    let is_time = |unit: &str| in_table(&TIME_UNITS, unit).is_some();
    let is_size = |unit: &str| in_table(&SIZE_UNITS, unit).is_some();
    match unit.split_once('/') {
        None if unit.is_empty() => Some(ValueKind::Count),
        None if unit == "%" => Some(ValueKind::Share),
        None if is_time(unit) => Some(ValueKind::Time),
        None if is_size(unit) => Some(ValueKind::Size),
        Some(("", per)) if is_time(per) => Some(ValueKind::Rate),
        Some((size, per)) if is_size(size) && is_time(per) => Some(ValueKind::ByteRate),
        _ => None,
    }
}

/// Returns the factor that converts a known unit to base units: seconds, bytes, events or bytes per second, or
/// fractions.
fn base_units(unit: &str) -> f64 {
    let size = |unit: &str| in_table(&SIZE_UNITS, unit).unwrap_or(1.0);
    let time = |unit: &str| in_table(&TIME_UNITS, unit).unwrap_or(1.0);
    match unit.split_once('/') {
        Some((amount, per)) => size(amount) / time(per),
        None if unit == "%" => 0.01,
        None => time(unit) * size(unit),
    }
}
