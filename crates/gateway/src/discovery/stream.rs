//! Parses server-sent events from a byte stream.

use thiserror::Error;

/// The maximum size of one event, in bytes. It is larger than an event with any engine list needs.
const MAX_EVENT_BYTES: usize = 4 << 20;

/// The error of an event that exceeds the maximum size.
#[derive(Debug, Error, PartialEq)]
#[error("change log event exceeds the limit of {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLong;

/// One server-sent event.
#[derive(Debug, Default, PartialEq)]
pub struct SseEvent {
    /// The number in the `id` field; `None` if the field is missing or not a number.
    pub number: Option<u64>,
    /// The values of the `data` fields, joined by line feeds.
    pub data: Vec<u8>,
}

/// An incremental parser of server-sent events. The input may be split at any byte.
#[derive(Default)]
pub struct EventParser {
    /// The bytes of a field whose line feed has not arrived yet.
    unparsed: Vec<u8>,
    /// The number of leading bytes of `unparsed` that are known to contain no line feed.
    searched: usize,
    /// The event that has begun.
    event: SseEvent,
    /// The number of lines that have arrived up to their line feed: fields, comments and blank lines.
    pub completed_fields: u64,
}

impl EventParser {
    /// Parses further bytes and returns the events that they complete. An event without data is dropped.
    ///
    /// # Errors
    ///
    /// Returns an error if the event that has begun exceeds the maximum size.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Vec<SseEvent>, EventTooLong> {
        let mut unparsed = std::mem::take(&mut self.unparsed);
        unparsed.extend_from_slice(bytes);
        let mut events = Vec::new();
        let mut parsed = 0;
        let mut searched = self.searched;
        while let Some(offset) = newline_offset(&unparsed[searched..]) {
            let end = searched + offset;
            let field = &unparsed[parsed..end];
            let field = field.strip_suffix(b"\r").unwrap_or(field);
            events.extend(self.parse_field(field));
            self.completed_fields += 1;
            parsed = end + 1;
            searched = parsed;
        }
        // Once for all lines, since it moves what is left.
        unparsed.drain(..parsed);
        self.searched = unparsed.len();
        self.unparsed = unparsed;
        if self.unparsed.len() + self.event.data.len() > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        Ok(events)
    }

    /// Whether an event or a line of one has begun and is not complete.
    pub fn is_unfinished(&self) -> bool {
        !self.unparsed.is_empty() || self.event != SseEvent::default()
    }

    /// Adds a field to the event that has begun. A blank line completes the event, which is returned unless it has no
    /// data.
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

/// Returns the offset of the first line feed.
fn newline_offset(bytes: &[u8]) -> Option<usize> {
    bytes.iter().position(|byte| *byte == b'\n')
}

/// Returns the value of a field if it has this name, without the single space that may follow the colon.
fn field_value<'a>(field: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = field.strip_prefix(name)?.strip_prefix(b":")?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}

#[cfg(test)]
mod tests;
