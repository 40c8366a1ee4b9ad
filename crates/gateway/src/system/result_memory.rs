//! Budgets for the memory of results: of pages, until the answer is assembled from them, and of answers, until they are
//! written to their clients and have left the cache.
//!
//! The number of open queries does not limit either: queries that are sent at once are not limited by the capacity, and a
//! query counts as ended once it is answered, while its client may read slowly.

use bytes::Bytes;
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Length in bytes up to which a result needs no part of the budget. A connection has one open query at most, so the
/// number of connections limits what such results take.
const UNCOUNTED_BYTES: usize = 4 << 10;

/// Budget for results.
#[derive(Clone, Debug)]
pub struct ResultMemory {
    free: Arc<Semaphore>,
    max_bytes: usize,
}

/// A part of the budget for one result.
#[derive(Debug)]
pub struct ResultReservation {
    _permit: Option<OwnedSemaphorePermit>,
}

/// The bytes of an answer with their part of the budget.
struct CountedAnswer {
    json: Vec<u8>,
    _reservation: ResultReservation,
}

impl AsRef<[u8]> for CountedAnswer {
    fn as_ref(&self) -> &[u8] {
        &self.json
    }
}

impl ResultMemory {
    /// Creates a budget of `max_bytes` bytes.
    pub fn new(max_bytes: usize) -> Self {
        ResultMemory {
            free: Arc::new(Semaphore::new(max_bytes)),
            max_bytes,
        }
    }

    /// Waits until memory for a result of `bytes` bytes is free. A result that is longer than the whole budget waits for
    /// all of it. Returns `None` only if the semaphore is closed.
    pub async fn reserve(&self, bytes: usize) -> Option<ResultReservation> {
        if bytes <= UNCOUNTED_BYTES {
            return Some(ResultReservation { _permit: None });
        }
        let permits = u32::try_from(bytes.min(self.max_bytes)).unwrap_or(u32::MAX);
        let permit = self.free.clone().acquire_many_owned(permits).await;
        permit.ok().map(|permit| ResultReservation {
            _permit: Some(permit),
        })
    }
}

impl ResultReservation {
    /// Returns the bytes of an answer. The reservation is given back when their last clone is dropped.
    pub fn hold(self, json: Vec<u8>) -> Bytes {
        Bytes::from_owner(CountedAnswer {
            json,
            _reservation: self,
        })
    }
}

#[cfg(test)]
mod tests;
