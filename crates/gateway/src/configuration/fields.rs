//! Reads single keys of the configuration's JSON as texts, addresses and numbers.

use super::error::{unusable, wrong_type, ConfigError, ConfigResult};
use garnetwall_settings::{abbreviate, SettingsError, SettingsErrorCause};
use serde_json::Value;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

/// Returns the value of an optional key. `null` counts as absent.
pub(super) fn optional<'a>(json: &'a Value, key: &str) -> Option<&'a Value> {
    json.get(key).filter(|value| !value.is_null())
}

/// Returns the text of a required key, which must not be empty.
pub(super) fn text<'a>(json: &'a Value, key: &str) -> ConfigResult<&'a str> {
    match json.get(key) {
        Some(Value::String(text)) if text.is_empty() => {
            Err(SettingsError::new(key, SettingsErrorCause::Empty, "write a non-empty text").into())
        }
        Some(Value::String(text)) => Ok(text),
        other => Err(wrong_type(key, "a text", other, "write it in quotes")),
    }
}

/// Parses an address with a port other than 0. `place` names the key or variable in errors.
pub(super) fn address(place: &str, text: &str) -> ConfigResult<SocketAddr> {
    match text.parse::<SocketAddr>() {
        Ok(address) if address.port() != 0 => Ok(address),
        _ => {
            let cause = format!("'{text}' is not an address with a port");
            Err(unusable(
                place,
                cause,
                "write an address and a port above 0, such as 10.0.0.4:4100",
            ))
        }
    }
}

/// Returns the optional whole number at `key` in the object `json`, which must be in `range`. `block` is the path of
/// the object in errors.
pub(super) fn whole_number(
    json: &Value,
    block: &str,
    key: &str,
    range: RangeInclusive<u64>,
) -> ConfigResult<Option<usize>> {
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
            let violation = format!("not from {min} to {max}");
            Err(out_of_range(place, value, violation, remedy))
        }
    }
}

/// Creates the error of a number outside its range. `range_violation` follows "is" in the error text, for example
/// `not from 1 to 5`.
pub(super) fn out_of_range(
    place: String,
    found: &Value,
    range_violation: String,
    remedy: String,
) -> ConfigError {
    let cause = SettingsErrorCause::OutOfRange {
        found: abbreviate(found),
        violation: range_violation,
    };
    SettingsError::new(place, cause, remedy).into()
}
