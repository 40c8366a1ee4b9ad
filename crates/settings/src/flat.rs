//! Settings as a map from path to word, whichever form they came in.

use crate::error::{SettingsError, SettingsErrorCause};
use crate::schema::SETTINGS_SCHEMA;
use serde_json::Value;
use std::collections::BTreeMap;

const MILLISECONDS_PER_SECOND: f64 = 1000.0;

/// Settings by their paths, as `categories.0.name`. The length of a list of objects is under its path and `.count`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FlatSettings {
    /// The value of each path as the text form has it; the items of a list have commas between.
    words: BTreeMap<String, String>,
}

impl FlatSettings {
    /// Reads `path=value` lines. Empty lines are ignored. Unlike [`from_json`](Self::from_json) it does not check types and ranges.
    ///
    /// # Errors
    ///
    /// A line has no `=`.
    pub fn from_text(text: &str) -> Result<Self, SettingsError> {
        let mut words = BTreeMap::new();
        for (index, line) in text.lines().enumerate() {
            if line.trim().is_empty() {
                continue;
            }
            let Some((path, word)) = line.split_once('=') else {
                let place = format!("settings line {}", index + 1);
                return Err(unusable(&place, "no '='".into(), "write path=value"));
            };
            words.insert(path.trim().to_string(), word.trim().to_string());
        }
        Ok(FlatSettings { words })
    }

    /// Reads nested JSON under the same names. Unknown keys are ignored.
    ///
    /// # Errors
    ///
    /// The value of a known key has the wrong type or is out of range.
    pub fn from_json(settings: &Value) -> Result<Self, SettingsError> {
        SETTINGS_SCHEMA.check("settings", settings)?;
        let mut flat = FlatSettings::default();
        flat.insert("", settings);
        Ok(flat)
    }

    /// Inserts a value with all that is under it. A value without a text form is under an unknown key, and is ignored.
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

    /// The word at a path; none where it is absent or empty.
    pub(crate) fn word(&self, path: &str) -> Option<&str> {
        let word = self.words.get(path)?;
        Some(word.as_str()).filter(|word| !word.is_empty())
    }

    /// The finite number at a path.
    pub(crate) fn number(&self, path: &str) -> Result<Option<f64>, SettingsError> {
        let Some(word) = self.word(path) else {
            return Ok(None);
        };
        match word.parse::<f64>() {
            Ok(number) if number.is_finite() => Ok(Some(number)),
            _ => {
                let cause = format!("'{word}' is not a number");
                Err(unusable(&place_of(path), cause, "write a number"))
            }
        }
    }

    /// The number at a path, or `default` where it is absent.
    pub(crate) fn number_or(&self, path: &str, default: f64) -> Result<f64, SettingsError> {
        Ok(self.number(path)?.unwrap_or(default))
    }

    /// The milliseconds at a path, in seconds.
    pub(crate) fn seconds(&self, path: &str) -> Result<Option<f64>, SettingsError> {
        Ok(self
            .number(path)?
            .map(|milliseconds| milliseconds / MILLISECONDS_PER_SECOND))
    }

    /// The milliseconds at a path in seconds, or `default` seconds where they are absent.
    pub(crate) fn seconds_or(&self, path: &str, default: f64) -> Result<f64, SettingsError> {
        Ok(self.seconds(path)?.unwrap_or(default))
    }

    /// Whether the flag at a path is set.
    pub(crate) fn flag(&self, path: &str) -> Result<bool, SettingsError> {
        match self.word(path) {
            None | Some("false") | Some("0") => Ok(false),
            Some("true") | Some("1") => Ok(true),
            Some(other) => {
                let cause = format!("'{other}' is neither true nor false");
                Err(unusable(&place_of(path), cause, "write one of them"))
            }
        }
    }

    /// The words of the list at a path.
    pub(crate) fn list(&self, path: &str) -> Vec<&str> {
        self.word(path)
            .map(|words| words.split(',').collect())
            .unwrap_or_default()
    }

    /// One word of the list at a path.
    pub(crate) fn list_item(&self, path: &str, index: usize) -> Option<&str> {
        self.word(path)?.split(',').nth(index)
    }

    /// The numbers of the list at a path; `None` for each item that is not a positive number.
    pub(crate) fn positive_numbers(&self, path: &str) -> Vec<Option<f64>> {
        let positive_number = |word: &str| {
            let number = word.parse::<f64>().ok()?;
            Some(number).filter(|number| number.is_finite() && *number > 0.0)
        };
        self.list(path).into_iter().map(positive_number).collect()
    }

    /// The indices in the list at a path, which holds indices or the names that they stand for.
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

    /// The length of the list of objects at a path. A length that these settings can't hold is an error, so that it
    /// reserves no memory.
    pub(crate) fn item_count(&self, path: &str) -> Result<usize, SettingsError> {
        let path = format!("{path}.count");
        let count = self.number_or(&path, 0.0)?;
        if count < 0.0 || count.fract() != 0.0 || count > self.words.len() as f64 {
            let cause = format!("{count} is not a possible count");
            let remedy = "write how many items follow";
            return Err(unusable(&place_of(&path), cause, remedy));
        }
        Ok(count as usize)
    }

    /// The names of the list of objects at a path; empty where one has none.
    pub(crate) fn item_names(&self, path: &str) -> Result<Vec<String>, SettingsError> {
        let name = |index| {
            let word = self.word(&format!("{path}.{index}.name"));
            word.unwrap_or_default().to_string()
        };
        Ok((0..self.item_count(path)?).map(name).collect())
    }
}

/// The place of a path in messages.
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

/// The index that a word stands for. An index is taken as it is; whether the list has it is validated later.
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
        "write a name of the settings' list, or its place from 0",
    )
}

/// A plain value as the text form has it, with spaces and commas as underscores: commas separate items there, and names have no
/// spaces, so that a JSON name `a b` is known as `a_b`.
fn text_form(value: &Value) -> Option<String> {
    match value {
        Value::String(text) => Some(text.replace([' ', ','], "_")),
        Value::Number(number) => Some(number.to_string()),
        Value::Bool(flag) => Some(flag.to_string()),
        _ => None,
    }
}
