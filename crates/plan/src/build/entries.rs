//! Values of checked entries as plain numbers, times and names.

use crate::check::{CheckedEntry, Spanned};
use crate::model::Bucket;
use crate::quantity::{MinuteRange, NumberRange, Value};
use std::time::Duration;

/// The values that are names, patterns or texts.
pub(super) fn texts(values: &[Spanned]) -> Vec<String> {
    let name = |value: &Spanned| match &value.value {
        Value::Name(name) | Value::Pattern(name) | Value::Text(name) => Some(name.clone()),
        _ => None,
    };
    values.iter().filter_map(name).collect()
}

/// The first value that is a name, pattern or text.
pub(super) fn first_text(values: &[Spanned]) -> Option<String> {
    texts(values).into_iter().next()
}

pub(super) fn time(value: Option<&Spanned>) -> Option<Duration> {
    match value?.value {
        Value::Time(time) => Some(time),
        _ => None,
    }
}

/// A size, count, rate or share in base units.
pub(super) fn number(value: Option<&Spanned>) -> Option<f64> {
    match value?.value {
        Value::Size(whole) | Value::Count(whole) => Some(whole as f64),
        Value::Rate(number) | Value::ByteRate(number) | Value::Share(number) => Some(number),
        _ => None,
    }
}

/// A size in bytes, or a count.
pub(super) fn count(value: Option<&Spanned>) -> Option<u64> {
    match value?.value {
        Value::Size(whole) | Value::Count(whole) => Some(whole),
        _ => None,
    }
}

/// The values that are ranges of whole numbers.
pub(super) fn number_ranges(values: &[Spanned]) -> Vec<NumberRange> {
    let range = |value: &Spanned| match value.value {
        Value::Numbers(range) => Some(range),
        _ => None,
    };
    values.iter().filter_map(range).collect()
}

/// The values that are ranges of times of day.
pub(super) fn minute_ranges(values: &[Spanned]) -> Vec<MinuteRange> {
    let range = |value: &Spanned| match value.value {
        Value::TimesOfDay(range) => Some(range),
        _ => None,
    };
    values.iter().filter_map(range).collect()
}

/// A rate with its burst; where none is given, the burst is what the rate adds in a second, at least 1.
pub(super) fn bucket(entry: Option<&CheckedEntry>) -> Option<Bucket> {
    let values = &entry?.values;
    let rate = number(values.first())?;
    Some(Bucket {
        tokens_per_second: rate,
        max_tokens: number(values.get(1)).unwrap_or(rate.max(1.0)),
    })
}
