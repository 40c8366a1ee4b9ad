//! Admits bodies within the budgets of one store, and counts the bodies of each query class.

use crate::body::{Body, Retention};
use crate::capacity::{AdmissionError, Capacity, EvictionPolicy, Limits, Storage, Usage};
use crate::mutex::lock;
use crate::registry::Registry;
use crate::resources::{Counts, Resources};
use crate::spool::Spool;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Store of all bodies in flight, which share one set of budgets and one spool file.
pub struct Store {
    pub(crate) resources: Arc<Resources>,
    registry: Arc<Registry<Body>>,
}

impl Store {
    /// Creates an empty store. Without a spool, nothing is stored in a file, whatever `limits` allows.
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
            resources: Arc::new(Resources::new(Capacity::new(limits, policy), spool)),
            registry: Arc::new(Registry::new()),
        })
    }

    /// Returns the counts since the start, by query class and kind of storage.
    pub fn counts(&self) -> BTreeMap<(usize, Storage), Counts> {
        self.resources.counts()
    }

    /// Returns the bytes that are reserved for all bodies.
    pub fn usage(&self) -> Usage {
        lock(&self.resources.capacity).usage()
    }

    /// Admits a body and reserves capacity for it. `length` is the announced length in bytes, `None` if it is unknown;
    /// `tenant` and `class` are indices.
    ///
    /// # Errors
    ///
    /// The body is too large, its length is unknown but must be known, or the budgets have no capacity for it.
    pub fn admit(
        &self,
        tenant: usize,
        class: usize,
        length: Option<u64>,
        retention: Retention,
    ) -> Result<Arc<Body>, AdmissionError> {
        let id = lock(&self.resources.capacity).admit(tenant, class, length)?;
        let body = Arc::new(Body::new(
            self.resources.clone(),
            self.registry.clone(),
            id,
            class,
            length,
            retention,
        ));
        self.registry.insert(id, &body);
        Ok(body)
    }
}
