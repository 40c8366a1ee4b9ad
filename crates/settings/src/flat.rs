//! Stores settings from either input form as a map from path to value.

use crate::error::{SettingsError, SettingsErrorCause};
use crate::schema::SETTINGS_SCHEMA;
use serde_json::Value;
use std::collections::BTreeMap;

const MILLISECONDS_PER_SECOND: f64 = 1000.0;

/// Settings by path, such as `categories.0.name`. The length of a list of objects is stored under its path followed by
/// `.count`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FlatSettings {
    /// The value of each path as in the text form. The items of a list are separated by commas.
    words: BTreeMap<String, String>,
}

impl FlatSettings {
    /// Parses `path=value` lines and ignores empty ones. Unlike [`from_json`](Self::from_json), this function does not
    /// check types and ranges.
    ///
    /// # Errors
    ///
    /// Returns an error if a line has no `=`.
    pub fn from_text(text: &str) -> Result<Self, SettingsError> {
        let mut words = BTreeMap::new();
        for (index, line) in text.lines().enumerate() {
            if line.trim().is_empty() {
                continue;
            }
            let Some((path, word)) = line.split_once('=') else {
                let place = format!("settings line {}", index + 1);
                return Err(unusable(&place, "missing '='".into(), "write path=value"));
            };
            words.insert(path.trim().to_string(), word.trim().to_string());
        }
        Ok(FlatSettings { words })
    }

    /// Converts nested JSON with the same keys. Unknown keys are ignored.
    ///
    /// # Errors
    ///
    /// Returns an error if the value of a known key has the wrong type or is out of range.
    pub fn from_json(settings: &Value) -> Result<Self, SettingsError> {
        SETTINGS_SCHEMA.check("settings", settings)?;
        let mut flat = FlatSettings::default();
        flat.insert("", settings);
        Ok(flat)
    }

    /// Inserts a value and all values nested in it. Null values are ignored, because they count as absent. Lists that
    /// are items of a list are ignored too; only unknown keys hold them.
    fn insert(&mut self, path: &str, value: &Value) {
        match value {
            Value::Object(fields) => {
                for (key, field) in fields {
                    self.insert(&join(path, key), field);
                }
            }
            Value::Array(items) if items.iter().any(Value::is_object) => {
                self.words
                    .insert(join(path, "count"), items.len().to_string());
                for (index, item) in items.iter().enumerate() {
                    self.insert(&join(path, &index.to_string()), item);
                }
            }
            Value::Array(items) => {
                let words: Vec<_> = items.iter().filter_map(text_form).collect();
                self.words.insert(path.to_string(), words.join(","));
            }
            plain => {
                if let Some(word) = text_form(plain) {
                    self.words.insert(path.to_string(), word);
                }
            }
        }
    }

    /// Returns the value at a path as text, or `None` if it is absent or empty.
    pub(crate) fn word(&self, path: &str) -> Option<&str> {
        let word = self.words.get(path)?;
        Some(word.as_str()).filter(|word| !word.is_empty())
    }

    /// Returns the finite number at a path, or `None` if it is absent.
    pub(crate) fn number(&self, path: &str) -> Result<Option<f64>, SettingsError> {
        let Some(word) = self.word(path) else {
            return Ok(None);
        };
        match word.parse::<f64>() {
            Ok(number) if number.is_finite() => Ok(Some(number)),
            _ => {
                let cause = format!("'{word}' is not a number");
                Err(unusable(&place_of(path), cause, "set a number"))
            }
        }
    }

    /// Returns the number at a path, or `default` if it is absent.
    pub(crate) fn number_or(&self, path: &str, default: f64) -> Result<f64, SettingsError> {
        Ok(self.number(path)?.unwrap_or(default))
    }

    /// Returns the duration at a path, converted from milliseconds to seconds, or `None` if it is absent.
    pub(crate) fn seconds(&self, path: &str) -> Result<Option<f64>, SettingsError> {
        Ok(self
            .number(path)?
            .map(|milliseconds| milliseconds / MILLISECONDS_PER_SECOND))
    }

    /// Returns the duration at a path, converted from milliseconds to seconds, or `default` seconds if it is absent.
    pub(crate) fn seconds_or(&self, path: &str, default: f64) -> Result<f64, SettingsError> {
        Ok(self.seconds(path)?.unwrap_or(default))
    }

    /// Returns the flag at a path; false if it is absent.
    pub(crate) fn flag(&self, path: &str) -> Result<bool, SettingsError> {
        match self.word(path) {
            None | Some("false") | Some("0") => Ok(false),
            Some("true") | Some("1") => Ok(true),
            Some(other) => {
                let cause = format!("'{other}' is neither true nor false");
                Err(unusable(&place_of(path), cause, "set true or false"))
            }
        }
    }

    /// Returns the items of the list at a path; empty if it is absent.
    pub(crate) fn list(&self, path: &str) -> Vec<&str> {
        self.word(path)
            .map(|words| words.split(',').collect())
            .unwrap_or_default()
    }

    /// Returns one item of the list at a path, or `None` if the list is shorter.
    pub(crate) fn list_item(&self, path: &str, index: usize) -> Option<&str> {
        self.word(path)?.split(',').nth(index)
    }

    /// Returns the numbers of the list at a path, with `None` for each item that is not a positive finite number.
    pub(crate) fn positive_numbers(&self, path: &str) -> Vec<Option<f64>> {
        let positive_number = |word: &str| {
            let number = word.parse::<f64>().ok()?;
            Some(number).filter(|number| number.is_finite() && *number > 0.0)
        };
        self.list(path).into_iter().map(positive_number).collect()
    }

    /// Returns the indices of the list at a path, or `None` if it is absent. An item is an index or a name in `names`.
    pub(crate) fn indices(
        &self,
        path: &str,
        names: &[String],
    ) -> Result<Option<Vec<u32>>, SettingsError> {
        if !self.words.contains_key(path) {
            return Ok(None);
        }
        self.list(path)
            .into_iter()
            .map(|word| index_of(word, names).ok_or_else(|| unknown_index(path, word)))
            .collect::<Result<Vec<_>, _>>()
            .map(Some)
    }

    /// Returns the length of the list of objects at a path, as stated by its count. A count greater than the total
    /// number of values is an error, so that an invalid count does not allocate memory.
    pub(crate) fn item_count(&self, path: &str) -> Result<usize, SettingsError> {
        let path = format!("{path}.count");
        let count = self.number_or(&path, 0.0)?;
        if count < 0.0 || count.fract() != 0.0 || count > self.words.len() as f64 {
            let cause = format!("{count} is not a possible count");
            let remedy = "set it to the number of items";
            return Err(unusable(&place_of(&path), cause, remedy));
        }
        Ok(count as usize)
    }

    /// Returns the names of the objects in the list at a path. The name of an object without one is empty.
    pub(crate) fn item_names(&self, path: &str) -> Result<Vec<String>, SettingsError> {
        let name = |index| {
            let word = self.word(&format!("{path}.{index}.name"));
            word.unwrap_or_default().to_string()
        };
        Ok((0..self.item_count(path)?).map(name).collect())
    }
}

/// Returns the path of a setting as error messages show it.
pub(crate) fn place_of(path: &str) -> String {
    format!("settings.{path}")
}

fn join(path: &str, key: &str) -> String {
    if path.is_empty() {
        key.to_string()
    } else {
        format!("{path}.{key}")
    }
}

/// Returns the index that a word stands for: the index itself or the index of a name. [`PlatformSettings::validate`]
/// checks later whether an index is in range.
///
/// [`PlatformSettings::validate`]: crate::PlatformSettings::validate
fn index_of(word: &str, names: &[String]) -> Option<u32> {
    if let Ok(index) = word.parse() {
        return Some(index);
    }
    let position = names.iter().position(|name| name == word)?;
    Some(position as u32)
}

fn unusable(place: &str, cause: String, remedy: &str) -> SettingsError {
    SettingsError::new(place, SettingsErrorCause::Unusable(cause), remedy)
}

fn unknown_index(path: &str, word: &str) -> SettingsError {
    SettingsError::new(
        place_of(path),
        SettingsErrorCause::Unknown(word.into()),
        "set a zone or kind listed in the settings, by its name or its index from 0",
    )
}

/// Converts a plain value to its text form. Spaces and commas become underscores, because the text form separates items
/// by commas and has no spaces in names. The JSON name `a b` thus becomes `a_b`.
fn text_form(value: &Value) -> Option<String> {
    match value {
        Value::String(text) => Some(text.replace([' ', ','], "_")),
        Value::Number(number) => Some(number.to_string()),
        Value::Bool(flag) => Some(flag.to_string()),
        _ => None,
    }
}
