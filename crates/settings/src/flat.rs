//! Settings as a map from path to word, whichever form they came in.

use crate::error::{SettingsError, SettingsErrorCause};
use crate::shape::SETTINGS;
use serde_json::Value;
use std::collections::BTreeMap;

/// Settings by their paths: `categories.0.name`, with the length of a list of objects under `.count`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FlatSettings(BTreeMap<String, String>);

impl FlatSettings {
    /// From `path=value` lines.
    pub fn from_text(text: &str) -> Result<Self, SettingsError> {
        let mut map = BTreeMap::new();
        for (n, line) in text
            .lines()
            .enumerate()
            .filter(|(_, l)| !l.trim().is_empty())
        {
            let none = || {
                unusable(
                    &format!("settings line {}", n + 1),
                    "no '='".into(),
                    "write path=value",
                )
            };
            let (path, value) = line.split_once('=').ok_or_else(none)?;
            map.insert(path.trim().to_string(), value.trim().to_string());
        }
        Ok(FlatSettings(map))
    }

    /// From nested JSON under the same names, where what is read is of the right type and in range.
    pub fn from_json(settings: &Value) -> Result<Self, SettingsError> {
        SETTINGS.check("settings", settings)?;
        let mut flat = FlatSettings::default();
        flat.put("", settings);
        Ok(flat)
    }

    /// What has no text form is under a key that nobody reads, and is passed over.
    fn put(&mut self, path: &str, value: &Value) {
        let under = |key: &str| {
            if path.is_empty() {
                key.to_string()
            } else {
                format!("{path}.{key}")
            }
        };
        match value {
            Value::Object(fields) => fields
                .iter()
                .for_each(|(key, field)| self.put(&under(key), field)),
            Value::Array(items) if items.iter().any(Value::is_object) => {
                self.0.insert(under("count"), items.len().to_string());
                items
                    .iter()
                    .enumerate()
                    .for_each(|(i, item)| self.put(&under(&i.to_string()), item));
            }
            Value::Array(items) => {
                let words: Vec<_> = items.iter().filter_map(word).collect();
                self.0.insert(path.to_string(), words.join(","));
            }
            plain => self
                .0
                .extend(word(plain).map(|word| (path.to_string(), word))),
        }
    }

    pub(crate) fn has(&self, path: &str) -> bool {
        self.0.contains_key(path)
    }

    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }

    pub(crate) fn word(&self, path: &str) -> Option<&str> {
        self.0
            .get(path)
            .map(String::as_str)
            .filter(|v| !v.is_empty())
    }

    pub(crate) fn number(&self, path: &str) -> Result<Option<f64>, SettingsError> {
        let Some(word) = self.word(path) else {
            return Ok(None);
        };
        match word.parse::<f64>() {
            Ok(v) if v.is_finite() => Ok(Some(v)),
            _ => Err(unusable(
                &at(path),
                format!("'{word}' is not a number"),
                "write a number",
            )),
        }
    }

    pub(crate) fn number_or(&self, path: &str, absent: f64) -> Result<f64, SettingsError> {
        Ok(self.number(path)?.unwrap_or(absent))
    }

    pub(crate) fn seconds(&self, path: &str) -> Result<Option<f64>, SettingsError> {
        Ok(self.number(path)?.map(|ms| ms / 1000.0))
    }

    pub(crate) fn seconds_or(&self, path: &str, absent: f64) -> Result<f64, SettingsError> {
        Ok(self.seconds(path)?.unwrap_or(absent))
    }

    pub(crate) fn flag(&self, path: &str) -> Result<bool, SettingsError> {
        match self.word(path) {
            None | Some("false") | Some("0") => Ok(false),
            Some("true") | Some("1") => Ok(true),
            Some(other) => {
                let what = format!("'{other}' is neither true nor false");
                Err(unusable(&at(path), what, "write one of them"))
            }
        }
    }

    pub(crate) fn list(&self, path: &str) -> Vec<&str> {
        self.word(path)
            .map(|v| v.split(',').collect())
            .unwrap_or_default()
    }

    /// Positive numbers of a list; anything else in it stands as unknown.
    pub(crate) fn sizes(&self, path: &str) -> Vec<Option<f64>> {
        let size = |v: &str| v.parse::<f64>().ok().filter(|n| n.is_finite() && *n > 0.0);
        self.list(path).into_iter().map(size).collect()
    }

    /// Indices, or names of a list that they index.
    pub(crate) fn indices(
        &self,
        path: &str,
        names: &[String],
    ) -> Result<Option<Vec<u32>>, SettingsError> {
        if !self.has(path) {
            return Ok(None);
        }
        let named = |v: &str| names.iter().position(|n| n == v).map(|i| i as u32);
        let one = |v: &str| {
            v.parse()
                .ok()
                .or_else(|| named(v))
                .ok_or_else(|| wrong_index(path, v))
        };
        self.list(path)
            .into_iter()
            .map(one)
            .collect::<Result<_, _>>()
            .map(Some)
    }

    /// How many items a list of objects says it has; more than it can hold in this text is malformed.
    pub(crate) fn count(&self, path: &str) -> Result<usize, SettingsError> {
        let said = self.number_or(&format!("{path}.count"), 0.0)?;
        if said < 0.0 || said.fract() != 0.0 || said > self.len() as f64 {
            let what = format!("{said} is not a possible count");
            return Err(unusable(
                &at(&format!("{path}.count")),
                what,
                "write how many items follow",
            ));
        }
        Ok(said as usize)
    }

    /// The names of a list of objects.
    pub(crate) fn names(&self, path: &str) -> Result<Vec<String>, SettingsError> {
        let name = |i| {
            self.word(&format!("{path}.{i}.name"))
                .unwrap_or_default()
                .to_string()
        };
        Ok((0..self.count(path)?).map(name).collect())
    }
}

/// The place of a path in messages.
pub(crate) fn at(path: &str) -> String {
    format!("settings.{path}")
}

fn unusable(place: &str, what: String, remedy: &str) -> SettingsError {
    SettingsError::new(place, SettingsErrorCause::Unusable(what), remedy)
}

fn wrong_index(path: &str, word: &str) -> SettingsError {
    SettingsError::new(
        at(path),
        SettingsErrorCause::Unknown(word.into()),
        "write a name of the settings' list, or its place from 0",
    )
}

/// A plain value as the text form has it, with spaces and commas as underscores.
fn word(value: &Value) -> Option<String> {
    match value {
        Value::String(s) => Some(s.replace([' ', ','], "_")),
        Value::Number(n) => Some(n.to_string()),
        Value::Bool(b) => Some(b.to_string()),
        _ => None,
    }
}
