//! Defines the errors of writing a record to the journal.

use std::io;
use std::sync::Arc;
use thiserror::Error;

/// Reason why a record was not stored. The query of the record must not be sent. Except after [`Stopped`], the journal
/// keeps trying to restore its storage.
///
/// [`Stopped`]: JournalError::Stopped
#[derive(Clone, Debug, Error)]
pub enum JournalError {
    /// The storage reported an error while this record was written or synced.
    #[error("writing to the journal failed: {0}")]
    Storage(Arc<io::Error>),
    /// The storage failed earlier, or could not be read at the start, and no complete journal has replaced the stored
    /// one since.
    #[error("the journal has not been restored since its storage failed")]
    EarlierWriteFailed,
    /// The writing thread has ended, so no record can be stored any more.
    #[error("the journal's writing thread has stopped")]
    Stopped,
}
