//! Keeps the timers of the controller, ordered by due time.

use crate::api::QueryId;
use std::collections::BTreeSet;

/// Reason for a timer.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// Periodic check of waiting queries and of attempts in flight.
    Tick,
    /// Retry of the placement of a query that was refused a start above the load limit or had no usable engine.
    PlacementRetry,
    /// Last time at which a query can be answered before its deadline.
    Deadline(QueryId),
    /// End of the pause of an ordering key.
    KeyPauseEnd(u64),
}

/// Pending timers by due time in microseconds. Timers with the same time and reason are stored once.
#[derive(Default)]
pub(crate) struct TimerQueue(BTreeSet<(u64, Timer)>);

impl TimerQueue {
    /// Adds a timer that is due at `at`, in seconds on the caller's clock.
    pub(crate) fn schedule(&mut self, at: f64, timer: Timer) {
        self.0.insert((microseconds(at), timer));
    }

    /// Removes the timer that was scheduled for exactly this time, if it is pending.
    pub(crate) fn cancel(&mut self, at: f64, timer: Timer) {
        self.0.remove(&(microseconds(at), timer));
    }

    /// Removes and returns the earliest timer that is due; `None` if none is due.
    pub(crate) fn pop_due(&mut self, now: f64) -> Option<Timer> {
        let (at, _) = *self.0.first()?;
        if at > microseconds(now) {
            return None;
        }
        self.0.pop_first().map(|(_, timer)| timer)
    }

    /// Returns the due time of the earliest timer, in seconds.
    pub(crate) fn next_at(&self) -> Option<f64> {
        self.0.first().map(|(at, _)| *at as f64 / 1e6)
    }
}

/// Converts a time in seconds to microseconds, rounded up; negative times become 0.
pub(crate) fn microseconds(seconds: f64) -> u64 {
    (seconds.max(0.0) * 1e6).ceil() as u64
}
