//! Computes when the steps of a graceful shutdown are due, counted back from the earliest SIGKILL.

use crate::system::clock::clamped_duration;
use std::time::{Duration, Instant};

/// Protocol: clients may open new connections for this long after SIGTERM.
const ACCEPT_PERIOD: Duration = Duration::from_millis(700);
/// Protocol: SIGKILL follows SIGTERM no sooner than after `ACCEPT_PERIOD` plus the longest deadline, of which at most
/// this many seconds count.
const MAX_COUNTED_DEADLINE_SECONDS: f64 = 3.0;
/// Time from the latest deadline of any query to the earliest SIGKILL.
const ANSWERS_DUE_BEFORE_KILL: Duration = Duration::from_millis(200);
/// Minimum time from the close of idle client connections to the earliest SIGKILL. Idle connections close at the end of
/// `ACCEPT_PERIOD`, or earlier to keep this time, which happens only if the longest deadline is shorter than 150 ms. A
/// client whose request was still on its way when the connection closed resends it to another gateway.
const LATEST_IDLE_CLOSE_BEFORE_KILL: Duration = Duration::from_millis(150);
/// Time from the exit of the process to the earliest SIGKILL.
const EXIT_BEFORE_KILL: Duration = Duration::from_millis(100);

/// The due times of the steps of a graceful shutdown.
#[derive(Clone, Copy, Debug)]
pub(super) struct ShutdownSchedule {
    /// The latest deadline of any query; later deadlines are cut to it.
    pub(super) answers_due: Instant,
    /// The end of accepting connections. From then on, a connection is closed as soon as it has no open request.
    pub(super) accept_until: Instant,
    /// The time at which the process exits even if requests are still open.
    pub(super) exit_at: Instant,
}

impl ShutdownSchedule {
    /// Computes the schedule of a shutdown that is requested at `requested_at`, usually by SIGTERM.
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
