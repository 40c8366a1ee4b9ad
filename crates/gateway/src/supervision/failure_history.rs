//! Decides from the recent panics of a kind of task whether its panics repeat.

use std::time::{Duration, Instant};

/// Number of panics without a success in between from which the panics of a kind of task repeat.
const MIN_REPEATED_PANICS: u32 = 3;
/// Time after its last panic for which its panics are remembered.
const FAILURE_MEMORY: Duration = Duration::from_secs(10);

/// Recent panics of one kind of task.
#[derive(Clone, Copy, Debug)]
pub(super) struct FailureHistory {
    /// Number of panics since the last success, or since a time of [`FAILURE_MEMORY`] without a panic.
    pub(super) consecutive_panics: u32,
    last_panic_at: Instant,
}

impl FailureHistory {
    /// Returns the history after a first panic.
    pub(super) fn first_panic(now: Instant) -> Self {
        FailureHistory {
            consecutive_panics: 1,
            last_panic_at: now,
        }
    }

    /// Returns the history after a further panic.
    pub(super) fn next_panic(self, now: Instant) -> Self {
        if self.is_forgotten(now) {
            return FailureHistory::first_panic(now);
        }
        FailureHistory {
            consecutive_panics: self.consecutive_panics.saturating_add(1),
            last_panic_at: now,
        }
    }

    /// Whether the panics repeat, so that the work of these tasks is not done.
    pub(super) fn repeats(self, now: Instant) -> bool {
        self.consecutive_panics >= MIN_REPEATED_PANICS && !self.is_forgotten(now)
    }

    fn is_forgotten(self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_panic_at) >= FAILURE_MEMORY
    }
}
