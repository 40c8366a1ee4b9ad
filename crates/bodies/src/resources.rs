//! Holds the resources that all bodies of a store share: the budgets, the spool file and the counts.

use crate::capacity::{Capacity, Storage};
use crate::mutex::lock;
use crate::spool::Spool;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

/// Counts of bodies and reads for one query class and kind of storage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Bodies that had this kind of storage when they were received completely.
    pub bodies: u64,
    /// Retries that opened a reader for a body.
    pub retry_reads: u64,
    /// Readers that could not be opened because the start of the body was discarded.
    pub discarded: u64,
}

/// Budgets, spool file and counts of one store.
pub(crate) struct Resources {
    pub(crate) capacity: Mutex<Capacity>,
    /// `None` if no bodies are stored in a file.
    pub(crate) spool: Option<Arc<Spool>>,
    /// Counts by query class and kind of storage.
    counts: Mutex<BTreeMap<(usize, Storage), Counts>>,
}

impl Resources {
    pub(crate) fn new(capacity: Capacity, spool: Option<Spool>) -> Self {
        Resources {
            capacity: Mutex::new(capacity),
            spool: spool.map(Arc::new),
            counts: Mutex::default(),
        }
    }

    /// Returns the counts since the start, by query class and kind of storage.
    pub(crate) fn counts(&self) -> BTreeMap<(usize, Storage), Counts> {
        lock(&self.counts).clone()
    }

    /// Applies `change` to the counts of a query class and kind of storage.
    pub(crate) fn count(&self, class: usize, storage: Storage, change: impl FnOnce(&mut Counts)) {
        let mut counts = lock(&self.counts);
        change(counts.entry((class, storage)).or_default());
    }
}
