//! Keys of the configuration's JSON, read as texts, addresses and numbers.

use super::error::{unusable, wrong_type, Checked, ConfigError};
use garnetwall_settings::{abbreviate, SettingsError, SettingsErrorCause};
use serde_json::Value;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

/// The value of an optional key; `null` counts as absent.
pub(super) fn optional<'a>(json: &'a Value, key: &str) -> Option<&'a Value> {
    json.get(key).filter(|value| !value.is_null())
}

/// A text that is not empty.
pub(super) fn text<'a>(json: &'a Value, key: &str) -> Checked<&'a str> {
    match json.get(key) {
        Some(Value::String(text)) if text.is_empty() => {
            Err(SettingsError::new(key, SettingsErrorCause::Empty, "write a text there").into())
        }
        Some(Value::String(text)) => Ok(text),
        other => Err(wrong_type(key, "a text", other, "write it in quotes")),
    }
}

/// Parses an address with a port other than 0; `place` is the key or variable that holds it.
pub(super) fn address(place: &str, text: &str) -> Checked<SocketAddr> {
    match text.parse::<SocketAddr>() {
        Ok(address) if address.port() != 0 => Ok(address),
        _ => {
            let cause = format!("'{text}' is no address with a port");
            Err(unusable(place, cause, "write one, as 10.0.0.4:4100"))
        }
    }
}

/// An optional whole number in `range`, the key `key` of the object that stands at `block`.
pub(super) fn whole_number(
    json: &Value,
    block: &str,
    key: &str,
    range: RangeInclusive<u64>,
) -> Checked<Option<usize>> {
    let Some(value) = optional(json, key) else {
        return Ok(None);
    };
    let place = format!("{block}.{key}");
    let (min, max) = (range.start(), range.end());
    let remedy = format!("give a whole number from {min} to {max}");
    if !value.is_number() {
        return Err(wrong_type(&place, "a number", Some(value), &remedy));
    }
    let number = value
        .as_u64()
        .filter(|number| range.contains(number))
        .and_then(|number| usize::try_from(number).ok());
    match number {
        Some(number) => Ok(Some(number)),
        None => {
            let expected = format!("not from {min} to {max}");
            Err(out_of_range(place, value, expected, remedy))
        }
    }
}

/// The error of a number that is out of its range; `expected` says which range that is.
pub(super) fn out_of_range(
    place: String,
    found: &Value,
    expected: String,
    remedy: String,
) -> ConfigError {
    let cause = SettingsErrorCause::OutOfRange {
        found: abbreviate(found),
        violation: expected,
    };
    SettingsError::new(place, cause, remedy).into()
}
