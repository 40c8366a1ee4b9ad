//! Decides whether and when to poll an attempt, or a page of its result, again after each call to the engine.

use crate::attempts::ProtocolLimits;
use std::time::Duration;

/// Reason why a call to an engine returned no usable answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// The connection was refused: no process listens at the address, so polling again would return nothing.
    Refused,
    /// The connection broke or could not be made, or no answer arrived in time. The call may not have reached the
    /// engine.
    Unanswered,
    /// The answer could not be decoded: the call reached the engine, but the answer was damaged on the way.
    InvalidResponse,
}

/// Next step after a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollStep {
    /// Poll again after this time, which may be zero. After a failed call, use a new connection.
    PollAgain(Duration),
    /// Stop polling: the engine refused the connection, or has dropped the attempt by now.
    Stop,
}

/// Poll timing of one attempt.
#[derive(Debug)]
pub struct PollSchedule {
    limits: ProtocolLimits,
    /// Pause before the next poll after the second failed call in a row, and after each further one.
    retry_pause: Duration,
    /// Time of the last answer, or of the schedule's creation before the first answer.
    last_answer: Duration,
    last_call_failed: bool,
}

impl PollSchedule {
    /// Creates a schedule that retries at once after the first failed call in a row and waits `retry_pause` after each
    /// further one.
    pub fn new(now: Duration, limits: ProtocolLimits, retry_pause: Duration) -> Self {
        PollSchedule {
            limits,
            retry_pause,
            last_answer: now,
            last_call_failed: false,
        }
    }

    /// Records that a call was answered and the attempt still runs. Returns that the attempt is to be polled again at
    /// once.
    pub fn answered(&mut self, now: Duration) -> PollStep {
        self.last_answer = now;
        self.last_call_failed = false;
        PollStep::PollAgain(Duration::ZERO)
    }

    /// Records that a call failed. Returns [`PollStep::Stop`] if the connection was refused, or if no call was answered
    /// for longer than [`ProtocolLimits::long_poll`] plus [`ProtocolLimits::poll_expiry`], after which the engine has
    /// dropped the attempt.
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
