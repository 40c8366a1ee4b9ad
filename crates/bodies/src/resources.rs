//! What all bodies of a store share: the budgets, the spool file and the counts.

use crate::capacity::{Capacity, Storage};
use crate::mutex::lock;
use crate::spool::Spool;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

/// What became of the bodies of one query class and kind of storage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Bodies that were received completely and stored there then.
    pub bodies: u64,
    /// Retries that read a body again.
    pub retry_reads: u64,
    /// Retries that found their body discarded.
    pub missing: u64,
}

/// The budgets, the spool file and the counts of one store.
pub(crate) struct Resources {
    pub(crate) capacity: Mutex<Capacity>,
    pub(crate) spool: Option<Arc<Spool>>,
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

    /// The counts so far, by query class and kind of storage.
    pub(crate) fn counts(&self) -> BTreeMap<(usize, Storage), Counts> {
        lock(&self.counts).clone()
    }

    /// Changes the counts of a query class and kind of storage.
    pub(crate) fn count(&self, class: usize, storage: Storage, change: impl FnOnce(&mut Counts)) {
        let mut counts = lock(&self.counts);
        change(counts.entry((class, storage)).or_default());
    }
}
