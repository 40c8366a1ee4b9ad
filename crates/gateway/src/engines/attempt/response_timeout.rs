//! How long the answer to a call on an attempt is waited for. An engine, or the link to it, may take longer each time than any
//! fixed bound: so each call in a row that was not answered is followed by one that is waited for longer, and what an answer has
//! taken once the next may take as well. All stays inside the time for which an attempt is known to run on unheard.

use super::super::{LONGER, NEWS, UNASKED};
use std::time::{Duration, Instant};

/// An answer may take so many times as long as the slowest one before it on the same attempt.
const SPREAD: f64 = 1.5;

/// An answer takes no longer where nothing is slow.
const USUAL: Duration = NEWS.saturating_add(LONGER);

/// The patience of one attempt.
#[derive(Clone, Copy, Debug)]
pub(in crate::engines) struct ResponseTimeout {
    /// The platform's time for a connection to come up.
    dial: Duration,
    /// Calls in a row that were not answered in time.
    missed: u32,
    /// The longest that an answer took, of those that took longer than usual.
    slowest: Duration,
    /// When the last answer came, or the first call began.
    heard: Instant,
}

impl ResponseTimeout {
    pub(in crate::engines) fn new(dial: Duration, now: Instant) -> Self {
        ResponseTimeout {
            dial,
            missed: 0,
            slowest: Duration::ZERO,
            heard: now,
        }
    }

    /// A call was answered after this time.
    pub(in crate::engines) fn answered(&mut self, now: Instant, after: Duration) {
        (self.missed, self.heard) = (0, now);
        if after > USUAL {
            self.slowest = self.slowest.max(after);
        }
    }

    /// A call was not answered in time.
    pub(in crate::engines) fn missed(&mut self) {
        self.missed += 1;
    }

    /// A call came to nothing otherwise: that says nothing of how long answers take.
    pub(in crate::engines) fn failed(&mut self) {
        self.missed = 0;
    }

    /// How long the answer to the next call may take, once its connection is up.
    pub(in crate::engines) fn timeout(&self, now: Instant) -> Duration {
        // What is left of the time after which an attempt that was not heard of counts as unknown.
        let left = (NEWS + UNASKED).saturating_sub(now.saturating_duration_since(self.heard));
        if left.is_zero() && self.missed > 0 {
            // Asking has stopped by then; what is looked up to give the attempt up is waited for as a second call is.
            return NEWS + self.dial * 2;
        }
        let left = left.max(USUAL);
        let longer = match self.missed {
            0 => USUAL,
            1 => NEWS + self.dial * 2,
            _ => left,
        };
        longer.max(self.slowest.mul_f64(SPREAD)).min(left)
    }
}

#[cfg(test)]
mod tests;
