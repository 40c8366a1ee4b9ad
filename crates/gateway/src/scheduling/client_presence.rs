//! Whether a client waits for a batch right now: told by who keeps its waiters, looked at before a byte is sent for it.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

#[derive(Clone, Debug)]
pub struct Attended(Arc<AtomicBool>);

impl Default for Attended {
    fn default() -> Self {
        Attended(Arc::new(AtomicBool::new(true)))
    }
}

impl Attended {
    pub fn set(&self, attended: bool) {
        self.0.store(attended, Ordering::Relaxed);
    }

    pub fn is(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}
