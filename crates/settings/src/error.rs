//! Why a key can't be used, as one line: its place, the cause, and what to do.

use serde_json::Value;
use thiserror::Error;

/// The longest text of a value that a message repeats, in characters.
const MAX_VALUE_CHARACTERS: usize = 60;

/// A key whose value can't be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{place}: {cause}; {remedy}")]
pub struct SettingsError {
    /// The path of the key, as `settings.categories.0.give-up`.
    pub place: String,
    /// What is wrong with its value.
    pub cause: SettingsErrorCause,
    /// What to do.
    pub remedy: String,
}

/// What is wrong with the value of a key.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SettingsErrorCause {
    /// The key is absent.
    #[error("missing")]
    Missing,
    /// The value has no items or characters.
    #[error("empty")]
    Empty,
    /// The value has another type than the key.
    #[error("{expected} expected, not {found}")]
    WrongType {
        /// The type of the key, with its article.
        expected: &'static str,
        /// The value, abbreviated.
        found: String,
    },
    /// The number is beyond the range of the key.
    #[error("{found} is {violation}")]
    OutOfRange {
        /// The value, abbreviated.
        found: String,
        /// The bound that it passes, as `more than 5`.
        violation: String,
    },
    /// The word or index names nothing.
    #[error("'{0}' is unknown")]
    Unknown(String),
    /// The name stands for two things.
    #[error("'{0}' is there twice")]
    Duplicate(String),
    /// Any other cause, in its own words.
    #[error("{0}")]
    Unusable(String),
}

impl SettingsError {
    /// An error at `place`; `remedy` says what to do.
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

    /// An error for a value that has another type than `expected`, which is a noun with its article.
    pub fn wrong_type(place: &str, expected: &'static str, found: &Value, remedy: &str) -> Self {
        let cause = SettingsErrorCause::WrongType {
            expected,
            found: abbreviate(found),
        };
        SettingsError::new(place, cause, remedy)
    }
}

/// A value as JSON, cut to the length that messages repeat.
pub fn abbreviate(value: &Value) -> String {
    let text = value.to_string();
    match text.char_indices().nth(MAX_VALUE_CHARACTERS) {
        Some((end, _)) => format!("{}...", &text[..end]),
        None => text,
    }
}
