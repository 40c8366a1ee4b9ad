//! How an engine is asked on for the news of a dispatch, or a page of its result, after what came of a call.

use crate::Bounds;
use std::time::Duration;

/// How a call came to nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lost {
    /// Nobody listens there: asking can't tell any more.
    Refused,
    /// Broken off, not answered in time, or no connection came up: it may not have come.
    OnItsWay,
    /// Answered by what can't be read: it came, and its answer was spoilt on its way.
    Spoilt,
}

/// What follows a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Ask again after this span; after a call that was lost, on a fresh connection.
    Ask(Duration),
    /// Asking can't tell any more.
    Stop,
}

/// What an engine's word that a dispatch is over counts for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// What it says.
    AsTold,
    /// It is over, and may have been cut short: its key rests.
    CutShort,
    /// Nothing: who says so may be another process, or have the start still on its way.
    InDoubt,
}

/// Weighs such a word: whether it answers the start itself, whether it says that the dispatch failed or is not known
/// (rather than that it never ran), and whether the ledger holds the dispatch to be over now.
pub fn weigh(answers_start: bool, failed: bool, over: bool) -> Verdict {
    match (answers_start, over, failed) {
        (true, _, _) | (false, true, false) => Verdict::AsTold,
        // It failed, or was dropped while this gateway had no time to ask.
        (false, true, true) => Verdict::CutShort,
        (false, false, _) => Verdict::InDoubt,
    }
}

/// What asking has come to so far.
#[derive(Debug)]
pub struct Asking {
    bounds: Bounds,
    /// Before the second try in a row, and each further one.
    pause: Duration,
    /// When something sound came last.
    heard: Duration,
    /// The last call came to nothing.
    again: bool,
}

impl Asking {
    /// `pause` is waited for before the second try in a row that follows a loss.
    pub fn new(now: Duration, bounds: Bounds, pause: Duration) -> Self {
        Asking {
            bounds,
            pause,
            heard: now,
            again: false,
        }
    }

    /// A sound answer that is no end.
    pub fn heard(&mut self, now: Duration) -> Step {
        (self.heard, self.again) = (now, false);
        Step::Ask(Duration::ZERO)
    }

    /// A call that came to nothing.
    pub fn lost(&mut self, now: Duration, how: Lost) -> Step {
        let too_long = now.saturating_sub(self.heard) > self.bounds.news + self.bounds.unasked;
        if how == Lost::Refused || too_long {
            return Step::Stop;
        }
        match std::mem::replace(&mut self.again, true) {
            true => Step::Ask(self.pause),
            false => Step::Ask(Duration::ZERO),
        }
    }
}
