//! Shared flag that tells whether a client currently waits for a query. The scheduler sets it; the send gate reads it
//! before any byte of the query is sent to an engine.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// Flag that the scheduler and the attempts of one query share. At first, a client is waiting.
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
    /// Records that a client waits.
    pub fn client_joined(&self) {
        self.is_waiting.store(true, Ordering::Relaxed);
    }

    /// Records that the last waiting client has disconnected. Another client may still join.
    pub fn client_disconnected(&self) {
        self.is_waiting.store(false, Ordering::Relaxed);
    }

    /// Whether a client waits for the query.
    pub fn is_waiting(&self) -> bool {
        self.is_waiting.load(Ordering::Relaxed)
    }
}
