//! Finds bodies in flight by their id, without keeping them alive.

use crate::capacity::BodyId;
use crate::mutex::lock;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, Weak};

/// The bodies in flight. A body removes itself when it is dropped, so the registry is generic: it does not know the type.
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

    /// The body, if it is still in flight.
    pub(crate) fn get(&self, id: BodyId) -> Option<Arc<B>> {
        lock(&self.bodies).get(&id).and_then(Weak::upgrade)
    }

    pub(crate) fn remove(&self, id: BodyId) {
        lock(&self.bodies).remove(&id);
    }
}
