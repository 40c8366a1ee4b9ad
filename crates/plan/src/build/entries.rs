//! Values of checked entries as plain numbers, times and names.

use crate::check::{Given, Spanned};
use crate::model::Bucket;
use crate::quantity::Value;
use std::time::Duration;

pub(super) fn named(values: &[Spanned]) -> Vec<String> {
    let name = |s: &Spanned| match &s.value {
        Value::Name(name) | Value::Pattern(name) | Value::Text(name) => Some(name.clone()),
        _ => None,
    };
    values.iter().filter_map(name).collect()
}

pub(super) fn time(given: Option<&Spanned>) -> Option<Duration> {
    match given?.value {
        Value::Time(time) => Some(time),
        _ => None,
    }
}

pub(super) fn number(given: Option<&Spanned>) -> Option<f64> {
    match given?.value {
        Value::Size(n) | Value::Count(n) => Some(n as f64),
        Value::Rate(n) | Value::Flow(n) | Value::Share(n) => Some(n),
        _ => None,
    }
}

/// A rate with its burst; where none is told, what comes in a second, one batch at least.
pub(super) fn bucket(given: Option<&Given>) -> Option<Bucket> {
    let values = &given?.values;
    let rate = number(values.first())?;
    Some(Bucket {
        rate,
        burst: number(values.get(1)).unwrap_or(rate.max(1.0)),
    })
}
