//! Checks the types and ranges of settings in JSON. Unknown keys are ignored, because sites may add keys of their own.
//! A null value is treated like an absent key.

mod keys;

pub(crate) use keys::SETTINGS_SCHEMA;

use crate::error::{abbreviate, SettingsError, SettingsErrorCause};
use serde_json::Value;

/// The known keys of an object, with the schema of each value.
type Keys = &'static [(&'static str, Schema)];

/// The type and range of a value.
pub(crate) enum Schema {
    Object(Keys),
    ListOfObjects(Keys),
    /// A list of items, or a single item without a list.
    List(&'static Schema),
    Text,
    Flag,
    Number(Range),
    /// The index of an item in a list of the settings, or its name.
    Index,
}

/// The numbers from `min` to `max`.
pub(crate) struct Range {
    min: f64,
    /// Whether `min` itself is out of range.
    excludes_min: bool,
    max: f64,
    /// Text that follows the bounds in error messages.
    unit: &'static str,
}

impl Schema {
    /// Checks a value and all values nested in it. `place` is the path of the value, for errors.
    pub(crate) fn check(&self, place: &str, value: &Value) -> Result<(), SettingsError> {
        match self {
            Schema::Object(keys) => check_object(keys, place, value),
            Schema::ListOfObjects(keys) => check_objects(keys, place, value),
            Schema::List(item) => check_list(item, place, value),
            Schema::Text if value.is_string() => Ok(()),
            Schema::Text => wrong_type(place, "a text", value, "write it in quotes"),
            Schema::Flag if is_flag(value) => Ok(()),
            Schema::Flag => wrong_type(place, "true or false", value, "set true or false"),
            Schema::Index if value.is_string() || value.is_u64() => Ok(()),
            Schema::Index => {
                let remedy =
                    "set a zone or kind listed in the settings, by its name or its index from 0";
                wrong_type(place, "a name or an index", value, remedy)
            }
            Schema::Number(range) => range.check(place, value),
        }
    }
}

fn check_object(keys: Keys, place: &str, value: &Value) -> Result<(), SettingsError> {
    let Value::Object(fields) = value else {
        return wrong_type(place, "an object", value, "write {...} with its keys");
    };
    for (key, schema) in keys {
        match fields.get(*key) {
            None | Some(Value::Null) => {}
            Some(field) => schema.check(&format!("{place}.{key}"), field)?,
        }
    }
    Ok(())
}

fn check_objects(keys: Keys, place: &str, value: &Value) -> Result<(), SettingsError> {
    let Value::Array(items) = value else {
        let remedy = "write [{...}] with one object per item";
        return wrong_type(place, "a list of objects", value, remedy);
    };
    for (index, item) in items.iter().enumerate() {
        check_object(keys, &format!("{place}.{index}"), item)?;
    }
    Ok(())
}

fn check_list(schema: &Schema, place: &str, value: &Value) -> Result<(), SettingsError> {
    let Value::Array(items) = value else {
        return schema.check(place, value);
    };
    for (index, item) in items.iter().enumerate() {
        schema.check(&format!("{place}.{index}"), item)?;
    }
    Ok(())
}

/// Returns whether a value is a flag: a boolean, 0 or 1, or one of their text forms. An empty text counts as absent.
fn is_flag(value: &Value) -> bool {
    match value {
        Value::Bool(_) => true,
        Value::Number(number) => [Some(0.0), Some(1.0)].contains(&number.as_f64()),
        Value::String(text) => ["true", "false", "0", "1", ""].contains(&text.as_str()),
        _ => false,
    }
}

fn wrong_type(
    place: &str,
    expected: &'static str,
    found: &Value,
    remedy: &str,
) -> Result<(), SettingsError> {
    Err(SettingsError::wrong_type(place, expected, found, remedy))
}

impl Range {
    fn check(&self, place: &str, value: &Value) -> Result<(), SettingsError> {
        let number = match value {
            Value::Number(number) => number.as_f64(),
            // Numbers may be given as text; an empty text counts as absent.
            Value::String(text) if text.is_empty() => return Ok(()),
            Value::String(text) => text.parse().ok(),
            _ => None,
        };
        let Some(number) = number.filter(|number| number.is_finite()) else {
            let remedy = self.remedy();
            return wrong_type(place, "a number", value, &remedy);
        };
        let Some(violation) = self.violation(number) else {
            return Ok(());
        };
        let cause = SettingsErrorCause::OutOfRange {
            found: abbreviate(value),
            violation,
        };
        Err(SettingsError::new(place, cause, self.remedy()))
    }

    /// Returns a description of the bound that a number violates, or `None` if the number is in range.
    fn violation(&self, number: f64) -> Option<String> {
        let Range { min, max, .. } = self;
        if number < *min {
            Some(format!("less than {min}"))
        } else if number > *max {
            Some(format!("more than {max}"))
        } else if self.excludes_min && number <= *min {
            Some(format!("not more than {min}"))
        } else {
            None
        }
    }

    fn remedy(&self) -> String {
        let Range { min, max, unit, .. } = self;
        let from = if self.excludes_min {
            "more than"
        } else {
            "at least"
        };
        format!("give a number of {from} {min} and at most {max}{unit}")
    }
}
