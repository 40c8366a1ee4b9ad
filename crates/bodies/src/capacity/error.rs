//! Why a request body can't be admitted.

use std::fmt;

/// Why a body is rejected, when its query is admitted or while it arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionError {
    /// It is longer than any body may be.
    TooLarge {
        /// The longest body that is allowed, in bytes.
        max_bytes: u64,
    },
    /// Its length is unknown, and the limits allow only known lengths.
    UnknownLength,
    /// The budgets have no capacity for it now, and its query class requires that it is stored.
    NoCapacity,
}

impl fmt::Display for AdmissionError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            AdmissionError::TooLarge { max_bytes } => {
                write!(f, "the body is longer than {max_bytes} bytes")
            }
            AdmissionError::UnknownLength => f.write_str("the body has no known length"),
            AdmissionError::NoCapacity => f.write_str("the body store has no capacity"),
        }
    }
}

impl std::error::Error for AdmissionError {}
