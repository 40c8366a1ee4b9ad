//! Stops a request that is being sent once it must not reach its engine any more.

use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};

/// Looked at right before each byte of a start leaves: nothing of it does once nobody waits for it any more. A batch may have
/// its answer while the connection for its dispatch is still coming up, or while the machine takes a long start in by parts;
/// an engine that got the rest would run what is over.
pub struct SendGate {
    may_start: Box<dyn Fn() -> bool + Send + Sync>,
    wanted: Box<dyn Fn() -> bool + Send + Sync>,
    state: AtomicU8,
    /// Its first byte was let out.
    started: AtomicBool,
}

/// Where a gate's start stands.
const NOT_STARTED: u8 = 0;
/// It is being handed to the machine.
const SENDING: u8 = 1;
/// Its last byte has been handed over to be written.
const BODY_CONSUMED: u8 = 2;
/// The machine has all of it.
const FLUSHED: u8 = 3;
/// It was stopped before that, for good.
const STOPPED: u8 = 4;

impl std::fmt::Debug for SendGate {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "a gate at {}", self.state.load(Ordering::Relaxed))
    }
}

impl SendGate {
    /// `may_start` tells whether its engine takes new dispatches; `wanted` whether somebody still waits for what is started.
    pub fn new(
        may_start: impl Fn() -> bool + Send + Sync + 'static,
        wanted: impl Fn() -> bool + Send + Sync + 'static,
    ) -> Self {
        let (may_start, wanted) = (Box::new(may_start), Box::new(wanted));
        SendGate {
            may_start,
            wanted,
            state: AtomicU8::new(NOT_STARTED),
            started: AtomicBool::new(false),
        }
    }

    fn transition(&self, from: u8, to: u8) -> bool {
        self.state
            .compare_exchange(from, to, Ordering::Relaxed, Ordering::Relaxed)
            .is_ok()
    }

    /// The start is handed over to be written, from now on.
    pub fn start_sending(&self) {
        self.transition(NOT_STARTED, SENDING);
    }

    /// The last byte of the start has been handed over to be written.
    pub fn body_consumed(&self) {
        self.transition(SENDING, BODY_CONSUMED);
    }

    /// Other calls follow the start, answered or lost: none of them is held back for it.
    pub fn release(&self) {
        if !self.is_stopped() {
            self.state.store(FLUSHED, Ordering::Relaxed);
        }
    }

    /// All that was handed over has been written.
    pub(super) fn flushed(&self) {
        self.transition(BODY_CONSUMED, FLUSHED);
    }

    /// Whether a byte may leave. Once one may not, none of the start does any more.
    pub(super) fn allows_write(&self) -> bool {
        match self.state.load(Ordering::Relaxed) {
            FLUSHED => true,
            STOPPED => false,
            _ if (self.wanted)()
                && (self.started.load(Ordering::Relaxed) || (self.may_start)()) =>
            {
                self.started.store(true, Ordering::Relaxed);
                true
            }
            _ => {
                self.state.store(STOPPED, Ordering::Relaxed);
                false
            }
        }
    }

    /// Stops the start unless the machine has all of it; whether it can't have come whole, now or ever.
    pub fn stop(&self) -> bool {
        if self.state.load(Ordering::Relaxed) != FLUSHED {
            self.state.store(STOPPED, Ordering::Relaxed);
        }
        self.is_stopped()
    }

    /// Whether it was stopped, so that it can't have come whole.
    pub fn is_stopped(&self) -> bool {
        self.state.load(Ordering::Relaxed) == STOPPED
    }
}
