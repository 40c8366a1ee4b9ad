//! The events of the change log in order: each is taken in once, whichever connection brings it.

use super::event::{event_of_text, Event, NameIndex};
use super::stream::Sent;
use thiserror::Error;

/// An event that ends the connection that brought it.
#[derive(Debug, Error, PartialEq)]
pub(super) enum SequenceError {
    #[error("event {number} came where {expected} was due: those between would be lost")]
    Gap { number: u64, expected: u64 },
    #[error("event {number} is malformed: {what}")]
    Malformed { number: u64, what: String },
}

/// What became of an event.
#[derive(Debug, PartialEq)]
pub(super) enum Admission {
    /// It was due, and is to be applied.
    Due(Event),
    /// It was due and malformed twice in a row, and is left out.
    PassedOver,
    /// It came before.
    Known,
}

/// How far the events have been taken in.
#[derive(Debug)]
pub(super) struct EventSequence {
    last: u64,
    names: NameIndex,
    /// The number of the event that was malformed last: it is passed over when it comes again.
    malformed: Option<u64>,
}

impl EventSequence {
    /// The events after one that was applied already.
    pub(super) fn new(last: u64, names: NameIndex) -> Self {
        EventSequence {
            last,
            names,
            malformed: None,
        }
    }

    /// The number of the event that was taken in last.
    pub(super) fn last(&self) -> u64 {
        self.last
    }

    /// Takes in an event as it was sent.
    ///
    /// # Errors
    ///
    /// It is malformed for the first time, or others are due before it.
    pub(super) fn take(&mut self, sent: &Sent) -> Result<Admission, SequenceError> {
        let expected = self.last.saturating_add(1);
        let event = event_of_text(&sent.data, &self.names);
        let number = event
            .as_ref()
            .map_or(sent.number.unwrap_or(expected), |event| event.number);
        match event {
            _ if number < expected => Ok(Admission::Known),
            Ok(event) if number > expected && !event.whole => {
                Err(SequenceError::Gap { number, expected })
            }
            Ok(event) => {
                self.last = number;
                Ok(Admission::Due(event))
            }
            // One that can't be read does not speak for those that were due before it.
            Err(what) if self.malformed == Some(number) && number == expected => {
                tracing::warn!(event = number, what, "event passed over");
                self.last = number;
                Ok(Admission::PassedOver)
            }
            Err(what) => {
                self.malformed = Some(number);
                Err(SequenceError::Malformed { number, what })
            }
        }
    }
}

#[cfg(test)]
mod tests;
