//! Stops the request that starts an attempt, up to its last byte, once nobody waits for the attempt any more.
//!
//! A query may be answered while the connection of an attempt is still coming up, or while a long request is being
//! written. An engine that received the rest would run a query that is over.
//!
//! # States of the request
//!
//! | state | left by | next state |
//! |---|---|---|
//! | `NotStarted` | [`sending_started`](SendGate::sending_started) | `Sending` |
//! | `Sending` | [`body_consumed`](SendGate::body_consumed) | `Buffered` |
//! | `Buffered` | `flushed` | `Sent` |
//! | `NotStarted`, `Sending`, `Buffered` | [`later_call_begins`](SendGate::later_call_begins) | `Sent` |
//! | `NotStarted`, `Sending`, `Buffered` | `allow_write_or_stop`, where a write is not allowed | `Stopped` |
//! | `NotStarted`, `Sending`, `Buffered` | [`stop_unless_complete`](SendGate::stop_unless_complete) | `Stopped` |
//! | `Sent` | nothing: every write is allowed from then on | |
//! | `Stopped` | nothing: no write is allowed any more | |

use std::fmt;
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};

/// How far the request behind a gate has been sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
enum SendState {
    /// Not handed to the connection yet.
    NotStarted,
    /// Being written to the connection.
    Sending,
    /// Handed to the connection up to its last byte, which may still be in its buffer.
    Buffered,
    /// Written to the socket completely, or followed by a later call of its attempt. Final.
    Sent,
    /// Stopped before it was written completely. Final.
    Stopped,
}

/// A [`SendState`] that the tasks of the attempt and of its connection share.
struct SharedState(AtomicU8);

impl SharedState {
    fn new(state: SendState) -> Self {
        SharedState(AtomicU8::new(state as u8))
    }

    fn get(&self) -> SendState {
        const ALL: [SendState; 5] = [
            SendState::NotStarted,
            SendState::Sending,
            SendState::Buffered,
            SendState::Sent,
            SendState::Stopped,
        ];
        ALL[usize::from(self.0.load(Ordering::Relaxed))]
    }

    fn set(&self, state: SendState) {
        self.0.store(state as u8, Ordering::Relaxed);
    }

    /// Moves on to `to`; nothing happens where the state is not `from`.
    fn advance(&self, from: SendState, to: SendState) {
        // Any other state is further on already, or final.
        let _ = self
            .0
            .compare_exchange(from as u8, to as u8, Ordering::Relaxed, Ordering::Relaxed);
    }
}

/// What a request to stop has achieved. Final: asking again gives the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopOutcome {
    /// The request is stopped, by now or before: its engine never receives it completely.
    Stopped,
    /// The request had been sent before it could be stopped: its engine may run it.
    AlreadySent,
}

/// Whether bytes may be written to the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteDecision {
    /// They may be written.
    Allowed,
    /// They may not, and the request is stopped.
    Stopped,
}

/// Decides right before each write whether the request that starts an attempt may still be sent.
pub struct SendGate {
    may_start: Box<dyn Fn() -> bool + Send + Sync>,
    is_wanted: Box<dyn Fn() -> bool + Send + Sync>,
    state: SharedState,
    first_write_allowed: AtomicBool,
}

impl fmt::Debug for SendGate {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.debug_struct("SendGate")
            .field("state", &self.state.get())
            .finish_non_exhaustive()
    }
}

impl SendGate {
    /// A gate for one request. `may_start` says whether the engine takes new attempts and counts for the first write only;
    /// `is_wanted` says whether somebody waits for the attempt and counts for each write.
    pub fn new(
        may_start: impl Fn() -> bool + Send + Sync + 'static,
        is_wanted: impl Fn() -> bool + Send + Sync + 'static,
    ) -> Self {
        SendGate {
            may_start: Box::new(may_start),
            is_wanted: Box::new(is_wanted),
            state: SharedState::new(SendState::NotStarted),
            first_write_allowed: AtomicBool::new(false),
        }
    }

    /// The request is handed to the connection from now on.
    pub fn sending_started(&self) {
        self.state
            .advance(SendState::NotStarted, SendState::Sending);
    }

    /// The last byte of the request was handed to the connection.
    pub fn body_consumed(&self) {
        self.state.advance(SendState::Sending, SendState::Buffered);
    }

    /// All that was handed to the connection was written to the socket.
    pub(super) fn flushed(&self) {
        self.state.advance(SendState::Buffered, SendState::Sent);
    }

    /// A later call of the attempt begins, perhaps on the same connection. It is let through, whatever became of the
    /// request, unless that was stopped.
    pub fn later_call_begins(&self) {
        if !self.is_stopped() {
            self.state.set(SendState::Sent);
        }
    }

    /// Allows a write, or stops the request for good.
    pub(super) fn allow_write_or_stop(&self) -> WriteDecision {
        match self.state.get() {
            SendState::Sent => WriteDecision::Allowed,
            SendState::Stopped => WriteDecision::Stopped,
            SendState::NotStarted | SendState::Sending | SendState::Buffered => {
                self.stop_unless_wanted()
            }
        }
    }

    fn stop_unless_wanted(&self) -> WriteDecision {
        let is_begun = self.first_write_allowed.load(Ordering::Relaxed);
        let is_allowed = (self.is_wanted)() && (is_begun || (self.may_start)());
        if !is_allowed {
            self.state.set(SendState::Stopped);
            return WriteDecision::Stopped;
        }
        self.first_write_allowed.store(true, Ordering::Relaxed);
        WriteDecision::Allowed
    }

    /// Stops the request unless it was written to the socket completely.
    pub fn stop_unless_complete(&self) -> StopOutcome {
        if self.state.get() != SendState::Sent {
            self.state.set(SendState::Stopped);
        }
        if self.is_stopped() {
            StopOutcome::Stopped
        } else {
            StopOutcome::AlreadySent
        }
    }

    /// Whether the request was stopped, so that its engine never receives it completely.
    pub fn is_stopped(&self) -> bool {
        self.state.get() == SendState::Stopped
    }
}

#[cfg(test)]
mod tests;
