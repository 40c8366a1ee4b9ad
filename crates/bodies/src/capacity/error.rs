//! Defines the reasons for which a request body is rejected.

use std::fmt;

/// Reason why a body is rejected, either when its query is admitted or while the body arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionError {
    /// The body is longer than the maximum for any body.
    TooLarge {
        /// Maximum length of a body, in bytes.
        max_bytes: u64,
    },
    /// The length of the body is unknown, but the limits require a known length.
    UnknownLength,
    /// The budgets have no capacity now. The body cannot be stored as its query class requires, or the memory does not
    /// even suffice for the window of an unstored body.
    NoCapacity,
}

impl fmt::Display for AdmissionError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            AdmissionError::TooLarge { max_bytes } => {
                write!(
                    f,
                    "the body is longer than the maximum of {max_bytes} bytes"
                )
            }
            AdmissionError::UnknownLength => f.write_str("the length of the body must be known"),
            AdmissionError::NoCapacity => f.write_str("the body store has no capacity"),
        }
    }
}

impl std::error::Error for AdmissionError {}
