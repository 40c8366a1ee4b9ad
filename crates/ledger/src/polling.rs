//! Decides when an attempt, or a page of its result, is polled again.

use crate::attempts::ProtocolLimits;
use std::time::Duration;

/// Why a call brought no usable answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// The connection was refused: no process listens there, and polling can't find out more.
    Refused,
    /// The connection broke, was not made, or brought no answer in time: the call may not have reached the engine.
    Unanswered,
    /// The answer can't be read: the call reached the engine, and its answer was damaged on the way.
    InvalidResponse,
}

/// What follows a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollStep {
    /// Poll again after this time; after a failed call on a new connection.
    PollAgain(Duration),
    /// Polling can't find out more.
    Stop,
}

/// The polls of one attempt.
#[derive(Debug)]
pub struct PollSchedule {
    limits: ProtocolLimits,
    /// The pause before a poll after two failed calls in a row, and after each further one.
    retry_pause: Duration,
    last_answer: Duration,
    last_call_failed: bool,
}

impl PollSchedule {
    /// A schedule that waits `retry_pause` after each failed call but the first in a row.
    pub fn new(now: Duration, limits: ProtocolLimits, retry_pause: Duration) -> Self {
        PollSchedule {
            limits,
            retry_pause,
            last_answer: now,
            last_call_failed: false,
        }
    }

    /// A call was answered, and the attempt has not ended.
    pub fn answered(&mut self, now: Duration) -> PollStep {
        self.last_answer = now;
        self.last_call_failed = false;
        PollStep::PollAgain(Duration::ZERO)
    }

    /// A call failed.
    pub fn failed(&mut self, now: Duration, failure: CallFailure) -> PollStep {
        let unanswered_time = now.saturating_sub(self.last_answer);
        let expired = unanswered_time > self.limits.long_poll + self.limits.poll_expiry;
        if failure == CallFailure::Refused || expired {
            return PollStep::Stop;
        }
        let failed_before = std::mem::replace(&mut self.last_call_failed, true);
        if failed_before {
            PollStep::PollAgain(self.retry_pause)
        } else {
            PollStep::PollAgain(Duration::ZERO)
        }
    }
}
