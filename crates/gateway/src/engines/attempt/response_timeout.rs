//! How long the answer to a call on an attempt is waited for. An engine, or the link to it, may take longer each time than any
//! fixed bound: so each call in a row that was not answered is followed by one that is waited for longer, and what an answer has
//! taken once the next may take as well. All stays inside the time for which an attempt is known to run on unheard.

use super::super::{LONG_POLL_LIMIT, POLL_EXPIRY, SOCKET_TIMEOUT_SLACK};
use std::time::{Duration, Instant};

/// An answer may take so many times as long as the slowest one before it on the same attempt.
const SLOW_RESPONSE_FACTOR: f64 = 1.5;

/// An answer takes no longer where nothing is slow.
const USUAL_RESPONSE_TIMEOUT: Duration = LONG_POLL_LIMIT.saturating_add(SOCKET_TIMEOUT_SLACK);

/// The patience of one attempt.
#[derive(Clone, Copy, Debug)]
pub(in crate::engines) struct ResponseTimeout {
    /// The platform's time for a connection to come up.
    connect_timeout: Duration,
    /// Calls in a row that were not answered in time.
    consecutive_timeouts: u32,
    /// The longest that an answer took, of those that took longer than usual.
    slowest_response: Duration,
    /// When the last answer came, or the first call began.
    last_response_at: Instant,
}

impl ResponseTimeout {
    pub(in crate::engines) fn new(connect_timeout: Duration, now: Instant) -> Self {
        ResponseTimeout {
            connect_timeout,
            consecutive_timeouts: 0,
            slowest_response: Duration::ZERO,
            last_response_at: now,
        }
    }

    /// A call was answered after this time.
    pub(in crate::engines) fn answered(&mut self, now: Instant, elapsed: Duration) {
        (self.consecutive_timeouts, self.last_response_at) = (0, now);
        if elapsed > USUAL_RESPONSE_TIMEOUT {
            self.slowest_response = self.slowest_response.max(elapsed);
        }
    }

    /// A call was not answered in time.
    pub(in crate::engines) fn timed_out(&mut self) {
        self.consecutive_timeouts += 1;
    }

    /// A call came to nothing otherwise: that says nothing of how long answers take.
    pub(in crate::engines) fn failed(&mut self) {
        self.consecutive_timeouts = 0;
    }

    /// How long the answer to the next call may take, once its connection is up.
    pub(in crate::engines) fn timeout(&self, now: Instant) -> Duration {
        // What is left of the time after which an attempt that was not heard of counts as unknown.
        let remaining = (LONG_POLL_LIMIT + POLL_EXPIRY)
            .saturating_sub(now.saturating_duration_since(self.last_response_at));
        if remaining.is_zero() && self.consecutive_timeouts > 0 {
            // Asking has stopped by then; what is looked up to give the attempt up is waited for as a second call is.
            return LONG_POLL_LIMIT + self.connect_timeout * 2;
        }
        let remaining = remaining.max(USUAL_RESPONSE_TIMEOUT);
        let scheduled = match self.consecutive_timeouts {
            0 => USUAL_RESPONSE_TIMEOUT,
            1 => LONG_POLL_LIMIT + self.connect_timeout * 2,
            _ => remaining,
        };
        scheduled
            .max(self.slowest_response.mul_f64(SLOW_RESPONSE_FACTOR))
            .min(remaining)
    }
}

#[cfg(test)]
mod tests;
