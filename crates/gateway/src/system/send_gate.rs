//! Stops sending the request that starts an attempt once the attempt is no longer wanted.
//!
//! A query may get its final answer while the connection of another attempt is being set up, or while a long request is
//! being written. An engine that received the rest of the request would run a query that is already answered. The
//! request can be stopped until its last byte is written to the socket.
//!
//! # States of the request
//!
//! | state | event | next state |
//! |---|---|---|
//! | `NotStarted` | [`record_sending_started`](SendGate::record_sending_started) | `Sending` |
//! | `Sending` | [`record_body_consumed`](SendGate::record_body_consumed) | `Buffered` |
//! | `Buffered` | `record_flush` | `Sent` |
//! | `NotStarted`, `Sending`, `Buffered` | [`record_later_call`](SendGate::record_later_call) | `Sent` |
//! | `NotStarted`, `Sending`, `Buffered` | `allow_write_or_stop`, if the write is not allowed | `Stopped` |
//! | `NotStarted`, `Sending`, `Buffered` | [`stop_unless_complete`](SendGate::stop_unless_complete) | `Stopped` |
//! | `Sent` | none: final, every later write is allowed | |
//! | `Stopped` | none: final, no later write is allowed | |

use std::fmt;
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};

/// Progress of sending the request behind a gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
enum SendState {
    /// The request is not handed to the connection yet.
    NotStarted,
    /// The request is being handed to the connection.
    Sending,
    /// The last byte was handed to the connection, whose buffer may still hold part of the request.
    Buffered,
    /// The request was written to the socket completely, or a later call of its attempt has begun. Final.
    Sent,
    /// The request was stopped before it was written completely. Final.
    Stopped,
}

/// A [`SendState`] that is shared between the task of the attempt and the task of its connection.
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

    /// Changes the state from `from` to `to`, or leaves it if it is not `from`.
    fn advance(&self, from: SendState, to: SendState) {
        // The exchange fails only if the state is already past `from`, or final.
        let _ = self
            .0
            .compare_exchange(from as u8, to as u8, Ordering::Relaxed, Ordering::Relaxed);
    }
}

/// The result of [`SendGate::stop_unless_complete`]. It is final: a repeated call returns the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopOutcome {
    /// The request was stopped by this call or before it; its engine never receives it completely.
    Stopped,
    /// The request was sent completely before it could be stopped; its engine may run it.
    AlreadySent,
}

/// Whether bytes may be written to the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteDecision {
    /// The bytes may be written.
    Allowed,
    /// The bytes must not be written; the request is stopped.
    Stopped,
}

/// Decides right before each write to the connection whether the request that starts an attempt may still be sent.
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
    /// Creates a gate for one request.
    ///
    /// `may_start` returns whether the engine takes new attempts; it is checked until the first write is allowed.
    /// `is_wanted` returns whether the attempt is still wanted; it is checked before each write.
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

    /// Records that the request is about to be handed to the connection.
    pub fn record_sending_started(&self) {
        self.state
            .advance(SendState::NotStarted, SendState::Sending);
    }

    /// Records that the last byte of the request was handed to the connection.
    pub fn record_body_consumed(&self) {
        self.state.advance(SendState::Sending, SendState::Buffered);
    }

    /// Records that all bytes handed to the connection were written to the socket.
    pub(super) fn record_flush(&self) {
        self.state.advance(SendState::Buffered, SendState::Sent);
    }

    /// Records that a later call of the attempt begins, perhaps on the same connection. The gate allows all of its
    /// writes, unless the request was stopped.
    pub fn record_later_call(&self) {
        if !self.is_stopped() {
            self.state.set(SendState::Sent);
        }
    }

    /// Decides about a write. The request is stopped for good if the write is not allowed.
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
        let has_started = self.first_write_allowed.load(Ordering::Relaxed);
        let is_allowed = (self.is_wanted)() && (has_started || (self.may_start)());
        if !is_allowed {
            self.state.set(SendState::Stopped);
            return WriteDecision::Stopped;
        }
        self.first_write_allowed.store(true, Ordering::Relaxed);
        WriteDecision::Allowed
    }

    /// Stops the request unless it was already written to the socket completely.
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

    /// Whether the request was stopped; if so, its engine never receives it completely.
    pub fn is_stopped(&self) -> bool {
        self.state.get() == SendState::Stopped
    }
}

#[cfg(test)]
mod tests;
