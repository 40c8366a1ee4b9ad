//! Adaptive timeout of the responses to the calls of one attempt.
//!
//! An engine, or the network to it, can be slower than any fixed timeout. The timeout therefore grows with each
//! consecutive call that times out, and after a slow response later calls may take longer too. Except for the base
//! timeout and for calls that cancel the attempt, a timeout never exceeds the time for which the attempt is known to
//! run without being polled.

use crate::engines::protocol::{LONG_POLL_LIMIT, MAX_UNPOLLED_RUN, SOCKET_TIMEOUT_SLACK};
use std::time::{Duration, Instant};

/// A response may take this many times as long as the slowest response before it.
const SLOW_RESPONSE_FACTOR: f64 = 1.5;

/// The timeout while no response has been slow.
const BASE_RESPONSE_TIMEOUT: Duration = LONG_POLL_LIMIT.saturating_add(SOCKET_TIMEOUT_SLACK);

/// The response timeout of one attempt, adapted to the responses so far.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallTimeout {
    /// The platform's time limit for opening a connection.
    connect_timeout: Duration,
    /// Number of consecutive calls that timed out.
    consecutive_timeouts: u32,
    /// The longest response time so far, of responses slower than the base timeout; zero if there was none.
    slowest_response: Duration,
    /// The time of the last response; at first, the time at which the session was created.
    last_response_at: Instant,
}

impl CallTimeout {
    pub(super) fn new(connect_timeout: Duration, now: Instant) -> Self {
        CallTimeout {
            connect_timeout,
            consecutive_timeouts: 0,
            slowest_response: Duration::ZERO,
            last_response_at: now,
        }
    }

    /// Records a response that arrived at `now`, `elapsed` after its request.
    pub(super) fn answered(&mut self, now: Instant, elapsed: Duration) {
        self.consecutive_timeouts = 0;
        self.last_response_at = now;
        if elapsed > BASE_RESPONSE_TIMEOUT {
            self.slowest_response = self.slowest_response.max(elapsed);
        }
    }

    /// Records that a call timed out.
    pub(super) fn timed_out(&mut self) {
        self.consecutive_timeouts += 1;
    }

    /// Records that a call failed for another reason, which says nothing about how long responses take.
    pub(super) fn failed(&mut self) {
        self.consecutive_timeouts = 0;
    }

    /// The timeout of the response to the next call, counted from when its connection is established.
    pub(super) fn timeout(&self, now: Instant) -> Duration {
        let since_response = now.saturating_duration_since(self.last_response_at);
        let guaranteed_run_time = MAX_UNPOLLED_RUN.saturating_sub(since_response);
        if guaranteed_run_time.is_zero() && self.consecutive_timeouts > 0 {
            // Polling has stopped by this time; the timeout bounds the calls that cancel the attempt.
            return self.extended_timeout();
        }
        let max_timeout = guaranteed_run_time.max(BASE_RESPONSE_TIMEOUT);
        let after_timeouts = match self.consecutive_timeouts {
            0 => BASE_RESPONSE_TIMEOUT,
            1 => self.extended_timeout(),
            _ => max_timeout,
        };
        let after_slow_response = self.slowest_response.mul_f64(SLOW_RESPONSE_FACTOR);
        after_timeouts.max(after_slow_response).min(max_timeout)
    }

    /// The timeout of the first call after one that timed out. It also bounds the calls that cancel an attempt once the
    /// attempt is no longer known to run.
    fn extended_timeout(&self) -> Duration {
        LONG_POLL_LIMIT + self.connect_timeout * 2
    }
}

#[cfg(test)]
mod tests;
