//! The times of a graceful shutdown, counted back from the earliest SIGKILL.

use crate::system::clock::clamped_duration;
use std::time::{Duration, Instant};

/// Protocol: after SIGTERM clients go on connecting for this long.
const ACCEPT_PERIOD: Duration = Duration::from_millis(700);
/// Protocol: SIGKILL follows SIGTERM no sooner than after `ACCEPT_PERIOD` and the longest deadline, of which at most this
/// much counts.
const MAX_COUNTED_DEADLINE_SECONDS: f64 = 3.0;
/// All answers are due this long before the earliest SIGKILL.
const ANSWERS_DUE_BEFORE_KILL: Duration = Duration::from_millis(200);
/// Idle connections of clients are closed at the end of `ACCEPT_PERIOD`, at the latest this long before the earliest SIGKILL,
/// which counts only with short deadlines; a client sends again elsewhere what crosses the close.
const LATEST_IDLE_CLOSE_BEFORE_KILL: Duration = Duration::from_millis(150);
/// The process exits this long before it.
const EXIT_BEFORE_KILL: Duration = Duration::from_millis(100);

/// When the steps of a graceful shutdown are due.
#[derive(Clone, Copy, Debug)]
pub(super) struct ShutdownSchedule {
    /// The latest deadline of any query.
    pub(super) answers_due: Instant,
    /// Connections are accepted until then, and closed once they have no request open from then on.
    pub(super) accept_until: Instant,
    /// The process exits then, whatever is still open.
    pub(super) exit_at: Instant,
}

impl ShutdownSchedule {
    /// The schedule of a shutdown that was requested at `requested_at`.
    pub(super) fn new(requested_at: Instant, longest_deadline_seconds: f64) -> Self {
        let counted_deadline =
            clamped_duration(longest_deadline_seconds.min(MAX_COUNTED_DEADLINE_SECONDS));
        let earliest_kill = ACCEPT_PERIOD + counted_deadline;
        let accept_period = ACCEPT_PERIOD.min(earliest_kill - LATEST_IDLE_CLOSE_BEFORE_KILL);
        ShutdownSchedule {
            answers_due: requested_at + (earliest_kill - ANSWERS_DUE_BEFORE_KILL),
            accept_until: requested_at + accept_period,
            exit_at: requested_at + (earliest_kill - EXIT_BEFORE_KILL),
        }
    }
}

#[cfg(test)]
mod tests;
