//! Why a record is not stored.

use std::io;
use std::sync::Arc;
use thiserror::Error;

/// Why a record is not stored. Its query must not be sent; the journal goes on trying to reach its storage.
#[derive(Clone, Debug, Error)]
pub enum JournalError {
    /// The storage failed on this record.
    #[error("{0}")]
    Storage(Arc<io::Error>),
    /// The storage failed before, and no complete journal has replaced the stored one since.
    #[error("an earlier write of the journal failed")]
    EarlierWriteFailed,
    /// The writing thread has ended.
    #[error("the journal has stopped")]
    Stopped,
}
