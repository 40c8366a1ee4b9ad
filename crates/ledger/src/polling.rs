//! Decides when an attempt, or a page of its result, is polled again, and what an engine's report of an end is worth.

use crate::Bounds;
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

/// What an engine's report that an attempt has ended counts for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportVerdict {
    /// The attempt ended as reported.
    Accepted,
    /// The attempt has ended and may have been interrupted: its ordering key pauses.
    Interrupted,
    /// Nothing: another process may have reported it, or the request may still be on its way.
    Inconclusive,
}

/// Weighs an engine's report that an attempt has ended.
///
/// `answers_start`: it answers the request that started the attempt. `failed`: it says that the attempt failed or is
/// unknown, not that it never ran. `finished`: the ledger has a proof that the attempt does not run any more.
pub fn weigh_reported_end(answers_start: bool, failed: bool, finished: bool) -> ReportVerdict {
    if answers_start {
        return ReportVerdict::Accepted;
    }
    match (finished, failed) {
        (true, false) => ReportVerdict::Accepted,
        // It failed, or was dropped while this gateway had no time to poll.
        (true, true) => ReportVerdict::Interrupted,
        (false, _) => ReportVerdict::Inconclusive,
    }
}

/// The polls of one attempt.
#[derive(Debug)]
pub struct PollSchedule {
    bounds: Bounds,
    /// The pause before a poll after two failed calls in a row, and after each further one.
    retry_pause: Duration,
    last_answer: Duration,
    last_call_failed: bool,
}

impl PollSchedule {
    /// A schedule that waits `retry_pause` after each failed call but the first in a row.
    pub fn new(now: Duration, bounds: Bounds, retry_pause: Duration) -> Self {
        PollSchedule {
            bounds,
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
        let expired = unanswered_time > self.bounds.long_poll + self.bounds.poll_expiry;
        if failure == CallFailure::Refused || expired {
            return PollStep::Stop;
        }
        let failed_before = std::mem::replace(&mut self.last_call_failed, true);
        match failed_before {
            true => PollStep::PollAgain(self.retry_pause),
            false => PollStep::PollAgain(Duration::ZERO),
        }
    }
}
