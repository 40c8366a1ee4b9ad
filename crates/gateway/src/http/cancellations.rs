//! Admission stage: cancellations that arrive before the queries that they name are admitted.
//!
//! A query may still wait for its turn, or to be read, when its cancellation has been read. It must not begin then.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Cancellations that wait for their queries, by query key.
#[derive(Debug, Default)]
pub struct PendingCancellations {
    pending: Mutex<HashMap<u64, Pending>>,
}

/// The cancellations of one query key.
#[derive(Clone, Copy, Debug, Default)]
struct Pending {
    /// Number of requests that wait.
    requests: usize,
    /// Whether a query of the key was cancelled.
    has_cancelled: bool,
}

impl PendingCancellations {
    fn pending(&self) -> MutexGuard<'_, HashMap<u64, Pending>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Cancels the next query of the key, until the returned value is dropped.
    pub(super) fn add(&self, query_key: u64) -> PendingCancellation<'_> {
        self.pending().entry(query_key).or_default().requests += 1;
        PendingCancellation {
            cancellations: self,
            query_key,
        }
    }

    /// Whether a query that is about to be admitted is cancelled. It must not be admitted then.
    pub(super) fn cancel(&self, query_key: u64) -> bool {
        match self.pending().get_mut(&query_key) {
            Some(pending) => {
                pending.has_cancelled = true;
                true
            }
            None => false,
        }
    }
}

/// A cancellation that waits for its query.
#[derive(Debug)]
pub(super) struct PendingCancellation<'a> {
    cancellations: &'a PendingCancellations,
    query_key: u64,
}

impl PendingCancellation<'_> {
    /// Whether the query was about to be admitted since, and was not.
    pub fn has_cancelled(&self) -> bool {
        let pending = self.cancellations.pending();
        pending
            .get(&self.query_key)
            .is_some_and(|pending| pending.has_cancelled)
    }
}

impl Drop for PendingCancellation<'_> {
    fn drop(&mut self) {
        let mut pending = self.cancellations.pending();
        let Some(entry) = pending.get_mut(&self.query_key) else {
            return;
        };
        entry.requests -= 1;
        if entry.requests == 0 {
            pending.remove(&self.query_key);
        }
    }
}

#[cfg(test)]
mod tests;
