//! Finds bodies in flight by their id. Holds weak references, so that it does not keep a body alive.

use crate::capacity::BodyId;
use crate::mutex::lock;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, Weak};

/// Registry of the bodies in flight, from which a body removes itself when it is dropped. The body type refers to the
/// registry, so the registry is generic to avoid a cyclic dependency of the modules.
pub(crate) struct Registry<B> {
    bodies: Mutex<HashMap<BodyId, Weak<B>>>,
}

impl<B> Registry<B> {
    pub(crate) fn new() -> Self {
        Registry {
            bodies: Mutex::default(),
        }
    }

    pub(crate) fn insert(&self, id: BodyId, body: &Arc<B>) {
        lock(&self.bodies).insert(id, Arc::downgrade(body));
    }

    /// Returns the body if it is still in flight.
    pub(crate) fn get(&self, id: BodyId) -> Option<Arc<B>> {
        lock(&self.bodies).get(&id).and_then(Weak::upgrade)
    }

    pub(crate) fn remove(&self, id: BodyId) {
        lock(&self.bodies).remove(&id);
    }
}
