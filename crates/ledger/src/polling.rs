//! How an engine is asked on for the news of a dispatch, or a page of its result, after what came of a call.

use crate::Bounds;
use std::time::Duration;

/// How a call came to nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// Nobody listens there: asking can't tell any more.
    Refused,
    /// Broken off, not answered in time, or no connection came up: it may not have come.
    Unanswered,
    /// Answered by what can't be read: it came, and its answer was spoilt on its way.
    Garbled,
}

/// What follows a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollStep {
    /// Ask again after this span; after a call that was lost, on a fresh connection.
    PollAgain(Duration),
    /// Asking can't tell any more.
    Stop,
}

/// What an engine's word that a dispatch is over counts for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportVerdict {
    /// What it says.
    Accepted,
    /// It is over, and may have been cut short: its key rests.
    Interrupted,
    /// Nothing: who says so may be another process, or have the start still on its way.
    Inconclusive,
}

/// Weighs such a word: whether it answers the start itself, whether it says that the dispatch failed or is not known
/// (rather than that it never ran), and whether the ledger holds the dispatch to be over now.
pub fn weigh_reported_end(answers_start: bool, failed: bool, over: bool) -> ReportVerdict {
    match (answers_start, over, failed) {
        (true, _, _) | (false, true, false) => ReportVerdict::Accepted,
        // It failed, or was dropped while this gateway had no time to ask.
        (false, true, true) => ReportVerdict::Interrupted,
        (false, false, _) => ReportVerdict::Inconclusive,
    }
}

/// What asking has come to so far.
#[derive(Debug)]
pub struct PollSchedule {
    bounds: Bounds,
    /// Before the second try in a row, and each further one.
    pause: Duration,
    /// When something sound came last.
    heard: Duration,
    /// The last call came to nothing.
    again: bool,
}

impl PollSchedule {
    /// `pause` is waited for before the second try in a row that follows a loss.
    pub fn new(now: Duration, bounds: Bounds, pause: Duration) -> Self {
        PollSchedule {
            bounds,
            pause,
            heard: now,
            again: false,
        }
    }

    /// A sound answer that is no end.
    pub fn answered(&mut self, now: Duration) -> PollStep {
        (self.heard, self.again) = (now, false);
        PollStep::PollAgain(Duration::ZERO)
    }

    /// A call that came to nothing.
    pub fn failed(&mut self, now: Duration, how: CallFailure) -> PollStep {
        let too_long =
            now.saturating_sub(self.heard) > self.bounds.long_poll + self.bounds.poll_expiry;
        if how == CallFailure::Refused || too_long {
            return PollStep::Stop;
        }
        match std::mem::replace(&mut self.again, true) {
            true => PollStep::PollAgain(self.pause),
            false => PollStep::PollAgain(Duration::ZERO),
        }
    }
}
