//! What is wrong with a key, as one line: its place, the cause, and what to do.

use serde_json::Value;
use thiserror::Error;

/// The longest text that a message repeats.
const SHOWN: usize = 60;

/// A key that can't be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{place}: {cause}; {remedy}")]
pub struct SettingsError {
    /// The path of the key, as `settings.categories.0.give-up`.
    pub place: String,
    pub cause: SettingsErrorCause,
    /// What to do.
    pub remedy: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SettingsErrorCause {
    #[error("missing")]
    Missing,
    #[error("empty")]
    Empty,
    #[error("{expected} expected, not {found}")]
    WrongType {
        expected: &'static str,
        found: String,
    },
    #[error("{found} is {off}")]
    OutOfRange { found: String, off: String },
    #[error("'{0}' is unknown")]
    Unknown(String),
    #[error("'{0}' is there twice")]
    Duplicate(String),
    /// What the reader of the value says itself.
    #[error("{0}")]
    Unusable(String),
}

impl SettingsError {
    pub fn new(
        place: impl Into<String>,
        cause: SettingsErrorCause,
        remedy: impl Into<String>,
    ) -> Self {
        SettingsError {
            place: place.into(),
            cause,
            remedy: remedy.into(),
        }
    }

    pub fn wrong_type(place: &str, expected: &'static str, found: &Value, remedy: &str) -> Self {
        SettingsError::new(
            place,
            SettingsErrorCause::WrongType {
                expected,
                found: abbreviate(found),
            },
            remedy,
        )
    }
}

/// A value as messages repeat it.
pub fn abbreviate(value: &Value) -> String {
    let text = value.to_string();
    match text.char_indices().nth(SHOWN) {
        Some((end, _)) => format!("{}...", &text[..end]),
        None => text,
    }
}
