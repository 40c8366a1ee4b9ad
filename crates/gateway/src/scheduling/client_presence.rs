//! Whether a client waits for a batch right now: told by who keeps its waiters, looked at before a byte is sent for it.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

#[derive(Clone, Debug)]
pub struct ClientPresence(Arc<AtomicBool>);

impl Default for ClientPresence {
    fn default() -> Self {
        ClientPresence(Arc::new(AtomicBool::new(true)))
    }
}

impl ClientPresence {
    pub fn set_waiting(&self, attended: bool) {
        self.0.store(attended, Ordering::Relaxed);
    }

    pub fn is_waiting(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}
