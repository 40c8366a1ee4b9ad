//! Whether a client waits for a query right now: set by the scheduler, read before a byte of the query is sent to an engine.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// A flag that the scheduler and the attempts of one query share. It starts with a client waiting.
#[derive(Clone, Debug)]
pub struct ClientPresence {
    is_waiting: Arc<AtomicBool>,
}

impl Default for ClientPresence {
    fn default() -> Self {
        ClientPresence {
            is_waiting: Arc::new(AtomicBool::new(true)),
        }
    }
}

impl ClientPresence {
    /// A client waits from now on.
    pub fn client_joined(&self) {
        self.is_waiting.store(true, Ordering::Relaxed);
    }

    /// The last client that waited has disconnected; one may still join.
    pub fn client_disconnected(&self) {
        self.is_waiting.store(false, Ordering::Relaxed);
    }

    /// Whether a client waits.
    pub fn is_waiting(&self) -> bool {
        self.is_waiting.load(Ordering::Relaxed)
    }
}
