//! Stops a request that is being sent once it must not reach its engine any more.

use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};

/// Looked at right before each byte of a start leaves: nothing of it does once nobody waits for it any more. A batch may have
/// its answer while the connection for its dispatch is still coming up, or while the machine takes a long start in by parts;
/// an engine that got the rest would run what is over.
pub struct SendGate {
    may_begin: Box<dyn Fn() -> bool + Send + Sync>,
    wanted: Box<dyn Fn() -> bool + Send + Sync>,
    at: AtomicU8,
    /// Its first byte was let out.
    begun: AtomicBool,
}

/// Where a gate's start stands.
const NOT_BEGUN: u8 = 0;
/// It is being handed to the machine.
const LEAVING: u8 = 1;
/// Its last byte has been handed over to be written.
const READ_OUT: u8 = 2;
/// The machine has all of it.
const WHOLE: u8 = 3;
/// It was stopped before that, for good.
const STOPPED: u8 = 4;

impl std::fmt::Debug for SendGate {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "a gate at {}", self.at.load(Ordering::Relaxed))
    }
}

impl SendGate {
    /// `may_begin` tells whether its engine takes new dispatches; `wanted` whether somebody still waits for what is started.
    pub fn new(
        may_begin: impl Fn() -> bool + Send + Sync + 'static,
        wanted: impl Fn() -> bool + Send + Sync + 'static,
    ) -> Self {
        let (may_begin, wanted) = (Box::new(may_begin), Box::new(wanted));
        SendGate {
            may_begin,
            wanted,
            at: AtomicU8::new(NOT_BEGUN),
            begun: AtomicBool::new(false),
        }
    }

    fn moves(&self, from: u8, to: u8) -> bool {
        self.at
            .compare_exchange(from, to, Ordering::Relaxed, Ordering::Relaxed)
            .is_ok()
    }

    /// The start is handed over to be written, from now on.
    pub fn begins(&self) {
        self.moves(NOT_BEGUN, LEAVING);
    }

    /// The last byte of the start has been handed over to be written.
    pub fn read_out(&self) {
        self.moves(LEAVING, READ_OUT);
    }

    /// Other calls follow the start, answered or lost: none of them is held back for it.
    pub fn passed(&self) {
        if !self.is_stopped() {
            self.at.store(WHOLE, Ordering::Relaxed);
        }
    }

    /// All that was handed over has been written.
    pub(super) fn flushed(&self) {
        self.moves(READ_OUT, WHOLE);
    }

    /// Whether a byte may leave. Once one may not, none of the start does any more.
    pub(super) fn lets_out(&self) -> bool {
        match self.at.load(Ordering::Relaxed) {
            WHOLE => true,
            STOPPED => false,
            _ if (self.wanted)() && (self.begun.load(Ordering::Relaxed) || (self.may_begin)()) => {
                self.begun.store(true, Ordering::Relaxed);
                true
            }
            _ => {
                self.at.store(STOPPED, Ordering::Relaxed);
                false
            }
        }
    }

    /// Stops the start unless the machine has all of it; whether it can't have come whole, now or ever.
    pub fn stop(&self) -> bool {
        if self.at.load(Ordering::Relaxed) != WHOLE {
            self.at.store(STOPPED, Ordering::Relaxed);
        }
        self.is_stopped()
    }

    /// Whether it was stopped, so that it can't have come whole.
    pub fn is_stopped(&self) -> bool {
        self.at.load(Ordering::Relaxed) == STOPPED
    }
}
