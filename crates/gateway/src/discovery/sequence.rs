//! Orders the events of the change log: each is accepted once, whichever connection delivers it.

use super::event::{event_of_text, Event, EventError, NameIndex};
use super::stream::SseEvent;
use garnetwall::api::ListScope;
use thiserror::Error;

/// Why an event ends the connection that delivered it.
#[derive(Debug, Error, PartialEq)]
pub(super) enum SequenceError {
    /// Events are missing before it.
    #[error("event {number} came where {expected} was due: those between would be lost")]
    Gap { number: u64, expected: u64 },
    /// It cannot be decoded.
    #[error("event {number} is malformed: {error}")]
    Malformed { number: u64, error: EventError },
}

/// What follows from an event that does not end its connection.
#[derive(Debug, PartialEq)]
pub(super) enum EventOutcome {
    /// It is the next one, and is to be applied.
    Due(Event),
    /// It is the next one, but malformed for the second time in a row, and is left out.
    Skipped,
    /// It was accepted before.
    Duplicate,
}

/// How far the events have been accepted.
#[derive(Debug)]
pub(super) struct EventSequence {
    last: u64,
    names: NameIndex,
    /// The number of the last malformed event: it is skipped when it is delivered again.
    last_malformed: Option<u64>,
}

impl EventSequence {
    /// The sequence after an event that was applied already.
    pub(super) fn new(last: u64, names: NameIndex) -> Self {
        EventSequence {
            last,
            names,
            last_malformed: None,
        }
    }

    /// The number of the last event that was accepted or skipped.
    pub(super) fn last(&self) -> u64 {
        self.last
    }

    /// Decodes an event and accepts it if it is due. A full list may follow a gap.
    ///
    /// # Errors
    ///
    /// It is malformed for the first time, or others are missing before it.
    pub(super) fn accept(&mut self, sse_event: &SseEvent) -> Result<EventOutcome, SequenceError> {
        let expected = self.last.saturating_add(1);
        let event = event_of_text(&sse_event.data, &self.names);
        let number = match &event {
            Ok(event) => event.number,
            Err(_) => sse_event.number.unwrap_or(expected),
        };
        if number < expected {
            return Ok(EventOutcome::Duplicate);
        }
        match event {
            Ok(event) if number > expected && event.scope == ListScope::Delta => {
                Err(SequenceError::Gap { number, expected })
            }
            Ok(event) => {
                self.last = number;
                Ok(EventOutcome::Due(event))
            }
            // A malformed event with a higher number must not skip those that are due before it.
            Err(error) if self.last_malformed == Some(number) && number == expected => {
                tracing::warn!(event = number, %error, "malformed event skipped");
                self.last = number;
                Ok(EventOutcome::Skipped)
            }
            Err(error) => {
                self.last_malformed = Some(number);
                Err(SequenceError::Malformed { number, error })
            }
        }
    }
}

#[cfg(test)]
mod tests;
