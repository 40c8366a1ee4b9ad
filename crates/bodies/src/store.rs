//! All bodies in flight, and what became of those of each query class.

use crate::body::Body;
use crate::capacity::{AdmissionError, BodyId, Capacity, EvictionPolicy, Limits, Storage, Usage};
use crate::lock;
use crate::spool::Spool;
use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, Weak};

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

/// All bodies in flight, within one capacity.
pub struct Store {
    pub(crate) capacity: Mutex<Capacity>,
    pub(crate) spool: Option<Arc<Spool>>,
    bodies: Mutex<HashMap<BodyId, Weak<Body>>>,
    counts: Mutex<BTreeMap<(usize, Storage), Counts>>,
}

impl Store {
    /// An empty store. Without a spool nothing is stored in files, whatever the limits allow.
    pub fn new(limits: Limits, policy: EvictionPolicy, spool: Option<Spool>) -> Arc<Self> {
        let file_bytes = if spool.is_some() {
            limits.file_bytes
        } else {
            0
        };
        let limits = Limits {
            file_bytes,
            ..limits
        };
        Arc::new(Store {
            capacity: Mutex::new(Capacity::new(limits, policy)),
            spool: spool.map(Arc::new),
            bodies: Mutex::default(),
            counts: Mutex::default(),
        })
    }

    /// The counts so far, by query class and kind of storage.
    pub fn counts(&self) -> BTreeMap<(usize, Storage), Counts> {
        lock(&self.counts).clone()
    }

    /// What is reserved for all bodies.
    pub fn usage(&self) -> Usage {
        lock(&self.capacity).usage()
    }

    /// Admits a body of `length` bytes, where that is known, and reserves capacity for it.
    ///
    /// # Errors
    ///
    /// The body is too large, its length must be known, or there is no capacity for it.
    pub fn admit(
        self: &Arc<Self>,
        tenant: usize,
        class: usize,
        length: Option<u64>,
    ) -> Result<Arc<Body>, AdmissionError> {
        self.admit_as(tenant, class, length, false)
    }

    /// Admits a body as [`Store::admit`] does. That of a non-idempotent query is discarded while it is read, since it
    /// must not be sent twice.
    ///
    /// # Errors
    ///
    /// The same as of [`Store::admit`].
    pub fn admit_as(
        self: &Arc<Self>,
        tenant: usize,
        class: usize,
        length: Option<u64>,
        non_idempotent: bool,
    ) -> Result<Arc<Body>, AdmissionError> {
        let id = lock(&self.capacity).admit(tenant, class, length)?;
        let body = Arc::new(Body::new(self.clone(), id, class, length, non_idempotent));
        lock(&self.bodies).insert(id, Arc::downgrade(&body));
        Ok(body)
    }

    /// Changes the counts of a query class and kind of storage.
    pub(crate) fn count(&self, class: usize, storage: Storage, change: impl FnOnce(&mut Counts)) {
        let mut counts = lock(&self.counts);
        change(counts.entry((class, storage)).or_default());
    }

    /// Evicts bodies from memory to the spool file until memory is not short any more, or a write fails.
    pub(crate) async fn evict(&self) {
        let Some(spool) = &self.spool else { return };
        while let Some(id) = self.start_eviction() {
            let body = lock(&self.bodies).get(&id).and_then(Weak::upgrade);
            let written = match body {
                Some(body) => body.write_to_spool(spool).await,
                None => false,
            };
            lock(&self.capacity).finish_eviction(id, written);
            if !written {
                return;
            }
        }
    }

    fn start_eviction(&self) -> Option<BodyId> {
        lock(&self.capacity).start_eviction()
    }

    /// Forgets a body whose query has ended.
    pub(crate) fn remove(&self, id: BodyId) {
        lock(&self.bodies).remove(&id);
        lock(&self.capacity).remove(id);
    }
}
