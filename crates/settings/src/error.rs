//! Defines the errors of settings. Each is shown as one line with the path of the key, the cause, and how to correct
//! it.

use serde_json::Value;
use thiserror::Error;

/// Maximum number of characters of a value that an error message repeats.
const MAX_VALUE_CHARACTERS: usize = 60;

/// An error in the value of a key.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{place}: {cause}; {remedy}")]
pub struct SettingsError {
    /// Path of the key, such as `settings.categories.0.give-up`.
    pub place: String,
    /// The problem with the value of the key.
    pub cause: SettingsErrorCause,
    /// Instruction how to correct the value.
    pub remedy: String,
}

/// The problem with the value of a key.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SettingsErrorCause {
    /// The key is absent.
    #[error("missing")]
    Missing,
    /// The value has no items or characters.
    #[error("empty")]
    Empty,
    /// The type of the value is not the type of the key.
    #[error("{expected} expected, not {found}")]
    WrongType {
        /// Type of the key as a noun with its article, such as `a number`.
        expected: &'static str,
        /// The value as JSON, abbreviated.
        found: String,
    },
    /// The number is out of the range of the key.
    #[error("{found} is {violation}")]
    OutOfRange {
        /// The value as JSON, abbreviated.
        found: String,
        /// The bound that the number violates, such as `more than 5`.
        violation: String,
    },
    /// The word or index does not refer to any known item.
    #[error("'{0}' is unknown")]
    Unknown(String),
    /// The name is used for more than one item.
    #[error("'{0}' is used more than once")]
    Duplicate(String),
    /// Any other cause, described by its text.
    #[error("{0}")]
    Unusable(String),
}

impl SettingsError {
    /// Creates an error for the key at the path `place`. `remedy` tells the reader how to correct the value.
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

    /// Creates an error for a value of the wrong type. `expected` is a noun with its article, such as `a number`.
    pub fn wrong_type(place: &str, expected: &'static str, found: &Value, remedy: &str) -> Self {
        let cause = SettingsErrorCause::WrongType {
            expected,
            found: abbreviate(found),
        };
        SettingsError::new(place, cause, remedy)
    }
}

/// Returns a value as JSON, truncated to the length that error messages repeat.
pub fn abbreviate(value: &Value) -> String {
    let text = value.to_string();
    match text.char_indices().nth(MAX_VALUE_CHARACTERS) {
        Some((end, _)) => format!("{}...", &text[..end]),
        None => text,
    }
}
