//! Accepts each event of the change log once and in order, regardless of which connection delivers it.

use super::event::{decode_event_text, Event, EventError, NameIndex};
use super::stream::SseEvent;
use garnetwall::api::ListScope;
use thiserror::Error;

/// An error that ends the connection that delivered the event.
#[derive(Debug, Error, PartialEq)]
pub(super) enum SequenceError {
    /// Events before this one are missing, and it is not a full list.
    #[error("received event {number} before event {expected}: accepting it would lose the missing events")]
    Gap { number: u64, expected: u64 },
    /// The event cannot be decoded.
    #[error("event {number} is malformed: {error}")]
    Malformed { number: u64, error: EventError },
}

/// The outcome of an event that does not end its connection.
#[derive(Debug, PartialEq)]
pub(super) enum EventOutcome {
    /// The event is accepted and has to be applied.
    Due(Event),
    /// The next event was malformed twice in a row and is skipped.
    Skipped,
    /// The event was accepted or skipped before.
    Duplicate,
}

/// The position in the sequence of events up to which all are accepted or skipped.
#[derive(Debug)]
pub(super) struct EventSequence {
    /// The number of the last event that was accepted or skipped.
    last: u64,
    names: NameIndex,
    /// The number of the last malformed event, which is skipped if it is malformed again.
    last_malformed: Option<u64>,
}

impl EventSequence {
    /// Creates a sequence whose last applied event has the number `last`.
    pub(super) fn new(last: u64, names: NameIndex) -> Self {
        EventSequence {
            last,
            names,
            last_malformed: None,
        }
    }

    /// Returns the number of the last event that was accepted or skipped.
    pub(super) fn last(&self) -> u64 {
        self.last
    }

    /// Decodes an event and accepts it if it is the next one, or a full list with a higher number. A full list needs no
    /// events before it.
    ///
    /// # Errors
    ///
    /// Returns an error if events before this one are missing, or if it is malformed. If the next event is malformed
    /// twice in a row, it is skipped instead the second time.
    pub(super) fn accept(&mut self, sse_event: &SseEvent) -> Result<EventOutcome, SequenceError> {
        let expected = self.last.saturating_add(1);
        let event = decode_event_text(&sse_event.data, &self.names);
        let number = match &event {
            Ok(event) => event.number,
            // A malformed event without a number counts as the next one.
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
            // Only the next event may be skipped: skipping a later one would also skip the events before it.
            Err(error) if self.last_malformed == Some(number) && number == expected => {
                tracing::warn!(event = number, %error, "change log event skipped because it was malformed twice in a row");
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
