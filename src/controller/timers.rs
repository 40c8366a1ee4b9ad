//! When the module has to be woken, and for what.

use crate::api::QueryId;
use std::collections::BTreeSet;

/// What is due at a time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// The periodic look at what waits and what is in flight.
    Tick,
    /// A queue's head is placed again: its random start was not granted, or no engine may be used.
    PlacementRetry,
    /// A query's deadline.
    Deadline(QueryId),
    /// The pause of an ordering key ends.
    KeyPauseEnd(u64),
}

/// Timers in the order in which they are due; equal ones are one.
#[derive(Default)]
pub(crate) struct TimerQueue(BTreeSet<(u64, Timer)>);

impl TimerQueue {
    /// Sets a timer, in seconds on the caller's clock.
    pub(crate) fn schedule(&mut self, at: f64, timer: Timer) {
        self.0.insert((microseconds(at), timer));
    }

    /// Removes the timer that was set for this time.
    pub(crate) fn cancel(&mut self, at: f64, timer: Timer) {
        self.0.remove(&(microseconds(at), timer));
    }

    /// Takes out the first timer that is due.
    pub(crate) fn pop_due(&mut self, now: f64) -> Option<Timer> {
        let (at, _) = *self.0.first()?;
        if at > microseconds(now) {
            return None;
        }
        self.0.pop_first().map(|(_, timer)| timer)
    }

    /// When the next timer is due, in seconds.
    pub(crate) fn next_at(&self) -> Option<f64> {
        self.0.first().map(|(at, _)| *at as f64 / 1e6)
    }
}

/// The whole microsecond at or after a time in seconds, by which times are ordered.
pub(crate) fn microseconds(seconds: f64) -> u64 {
    (seconds.max(0.0) * 1e6).ceil() as u64
}
