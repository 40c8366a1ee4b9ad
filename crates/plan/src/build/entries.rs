//! Converts the values of checked entries to numbers, durations and strings.
//!
//! Values of an unexpected kind are skipped: the checker has already reported them.

use crate::check::{CheckedEntry, Spanned};
use crate::model::Bucket;
use crate::quantity::{MinuteRange, NumberRange, Value};
use std::time::Duration;

/// Returns the text of all values that are names, patterns or quoted texts.
pub(super) fn texts(values: &[Spanned]) -> Vec<String> {
    let name = |value: &Spanned| match &value.value {
        Value::Name(name) | Value::Pattern(name) | Value::Text(name) => Some(name.clone()),
        _ => None,
    };
    values.iter().filter_map(name).collect()
}

/// Returns the first text that [`texts`] would return.
pub(super) fn first_text(values: &[Spanned]) -> Option<String> {
    texts(values).into_iter().next()
}

pub(super) fn time(value: Option<&Spanned>) -> Option<Duration> {
    match value?.value {
        Value::Time(time) => Some(time),
        _ => None,
    }
}

/// Returns a size, count, rate or share in base units: bytes, queries or bytes per second, fractions of 1.
pub(super) fn number(value: Option<&Spanned>) -> Option<f64> {
    match value?.value {
        Value::Size(whole) | Value::Count(whole) => Some(whole as f64),
        Value::Rate(number) | Value::ByteRate(number) | Value::Share(number) => Some(number),
        _ => None,
    }
}

/// Returns a count, or a size in bytes.
pub(super) fn count(value: Option<&Spanned>) -> Option<u64> {
    match value?.value {
        Value::Size(whole) | Value::Count(whole) => Some(whole),
        _ => None,
    }
}

/// Returns the values that are ranges of whole numbers.
pub(super) fn number_ranges(values: &[Spanned]) -> Vec<NumberRange> {
    let range = |value: &Spanned| match value.value {
        Value::Numbers(range) => Some(range),
        _ => None,
    };
    values.iter().filter_map(range).collect()
}

/// Returns the values that are ranges of times of day.
pub(super) fn minute_ranges(values: &[Spanned]) -> Vec<MinuteRange> {
    let range = |value: &Spanned| match value.value {
        Value::TimesOfDay(range) => Some(range),
        _ => None,
    };
    values.iter().filter_map(range).collect()
}

/// Returns the token bucket of an entry. Without an explicit burst, the capacity is the number of tokens that the rate
/// adds in one second, but at least 1.
pub(super) fn bucket(entry: Option<&CheckedEntry>) -> Option<Bucket> {
    let values = &entry?.values;
    let rate = number(values.first())?;
    Some(Bucket {
        tokens_per_second: rate,
        max_tokens: number(values.get(1)).unwrap_or(rate.max(1.0)),
    })
}
