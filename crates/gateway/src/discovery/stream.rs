//! Server-sent events out of the bytes of a stream.

use thiserror::Error;

/// Bytes: more than any list in one event; what is longer is no event.
const LONGEST_EVENT: usize = 4 << 20;

/// An event that is too long to be one.
#[derive(Debug, Error, PartialEq)]
#[error("an event of over {LONGEST_EVENT} bytes")]
pub struct EventTooLong;

/// One server-sent event.
#[derive(Debug, Default, PartialEq)]
pub struct Sent {
    pub number: Option<u64>,
    pub data: Vec<u8>,
}

/// Server-sent events out of the bytes of a stream.
#[derive(Default)]
pub struct Stream {
    rest: Vec<u8>,
    /// So many bytes of the rest have no line feed.
    searched: usize,
    event: Sent,
    /// Lines that have come whole.
    pub lines: u64,
}

impl Stream {
    /// Takes bytes in and gives the events that are now whole; an error where one is too long.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Vec<Sent>, EventTooLong> {
        self.rest.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = self
            .rest
            .iter()
            .skip(self.searched)
            .position(|b| *b == b'\n')
        {
            let line: Vec<u8> = self.rest.drain(..=self.searched + end).collect();
            self.searched = 0;
            self.lines += 1;
            let line = line.strip_suffix(b"\n").unwrap_or(&line);
            events.extend(self.line(line.strip_suffix(b"\r").unwrap_or(line)));
        }
        self.searched = self.rest.len();
        if self.rest.len() + self.event.data.len() > LONGEST_EVENT {
            return Err(EventTooLong);
        }
        Ok(events)
    }

    /// Whether a line or an event has begun and is not over.
    pub fn is_unfinished(&self) -> bool {
        !self.rest.is_empty() || self.event != Sent::default()
    }

    fn line(&mut self, line: &[u8]) -> Option<Sent> {
        if line.is_empty() {
            return Some(std::mem::take(&mut self.event)).filter(|event| !event.data.is_empty());
        }
        let value = |name: &[u8]| {
            let value = line.strip_prefix(name)?.strip_prefix(b":")?;
            Some(value.strip_prefix(b" ").unwrap_or(value))
        };
        if let Some(number) = value(b"id") {
            self.event.number = std::str::from_utf8(number)
                .ok()
                .and_then(|text| text.parse().ok());
        } else if let Some(data) = value(b"data") {
            if !self.event.data.is_empty() {
                self.event.data.push(b'\n');
            }
            self.event.data.extend_from_slice(data);
        }
        None
    }
}

#[cfg(test)]
mod tests;
