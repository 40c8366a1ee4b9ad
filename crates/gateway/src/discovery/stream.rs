//! Parses server-sent events from the bytes of a stream.

use thiserror::Error;

/// More than any engine list in one event needs.
const MAX_EVENT_BYTES: usize = 4 << 20;

/// An event that is longer than any valid one.
#[derive(Debug, Error, PartialEq)]
#[error("an event of over {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLong;

/// One server-sent event.
#[derive(Debug, Default, PartialEq)]
pub struct SseEvent {
    /// The number in its `id` field.
    pub number: Option<u64>,
    /// Its `data` fields, joined by line feeds.
    pub data: Vec<u8>,
}

/// A parser of server-sent events. Its input may be cut at any byte.
#[derive(Default)]
pub struct EventParser {
    /// Bytes of a field whose line feed has not arrived.
    unparsed: Vec<u8>,
    /// This many of them are known to hold no line feed.
    searched: usize,
    event: SseEvent,
    /// Fields, comments and blanks between events that have arrived up to their line feed.
    pub completed_fields: u64,
}

impl EventParser {
    /// Parses further bytes, and returns the events that they complete.
    ///
    /// # Errors
    ///
    /// The event that has begun is too long.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Vec<SseEvent>, EventTooLong> {
        self.unparsed.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = self.next_newline() {
            let field: Vec<u8> = self.unparsed.drain(..=end).collect();
            self.searched = 0;
            self.completed_fields += 1;
            let field = field.strip_suffix(b"\n").unwrap_or(&field);
            let field = field.strip_suffix(b"\r").unwrap_or(field);
            events.extend(self.parse_field(field));
        }
        self.searched = self.unparsed.len();
        if self.unparsed.len() + self.event.data.len() > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        Ok(events)
    }

    /// Whether a field or an event has begun and is not complete.
    pub fn is_unfinished(&self) -> bool {
        !self.unparsed.is_empty() || self.event != SseEvent::default()
    }

    fn next_newline(&self) -> Option<usize> {
        let unsearched = &self.unparsed[self.searched..];
        let offset = unsearched.iter().position(|byte| *byte == b'\n')?;
        Some(self.searched + offset)
    }

    /// Adds a field to the event; a blank one completes it.
    fn parse_field(&mut self, field: &[u8]) -> Option<SseEvent> {
        if field.is_empty() {
            return Some(std::mem::take(&mut self.event)).filter(|event| !event.data.is_empty());
        }
        if let Some(number) = field_value(field, b"id") {
            let number = std::str::from_utf8(number).ok();
            self.event.number = number.and_then(|text| text.parse().ok());
        } else if let Some(data) = field_value(field, b"data") {
            if !self.event.data.is_empty() {
                self.event.data.push(b'\n');
            }
            self.event.data.extend_from_slice(data);
        }
        None
    }
}

/// The value of a field of this name, without the one space that may follow its colon.
fn field_value<'a>(field: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = field.strip_prefix(name)?.strip_prefix(b":")?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}

#[cfg(test)]
mod tests;
