//! Connection stage: finds the ends of heads and bodies in a client's bytes, so that the HTTP parser gets no byte of what
//! follows an open request.
//!
//! Bytes behind a request show that its length is too short, unless they begin the next request. The parser keeps what
//! it has read to itself, so these bytes have to stay in the read-ahead buffer to be seen.

/// Methods with which a request can begin.
const METHODS: [&str; 9] = [
    "GET", "POST", "DELETE", "HEAD", "PUT", "OPTIONS", "PATCH", "CONNECT", "TRACE",
];

/// Part of a request that the HTTP parser is to read next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestFraming {
    /// The head. Ends with an empty line after the request line.
    Head {
        /// Whether a line with text has been read.
        has_text: bool,
        /// Whether the current line has text.
        line_has_text: bool,
    },
    /// A body of which this number of bytes is still to be read; at 0, what follows is held back.
    Body { remaining: u64 },
    /// The rest of a body whose request has its response, so that a head follows.
    AnsweredBody { remaining: u64 },
    /// Bytes whose parts only the parser knows, since a body declared no length.
    Unframed,
}

impl RequestFraming {
    /// The start of a request head.
    pub(super) const START: RequestFraming = RequestFraming::Head {
        has_text: false,
        line_has_text: false,
    };

    /// Records that the parser has found a request whose body has `length` bytes; `None` if the length is not declared.
    /// The parser may then have read beyond the body, so that no later part can be told either.
    pub(super) fn record_request(&mut self, length: Option<u64>) {
        *self = match (*self, length) {
            (RequestFraming::Unframed, _) | (_, None) => RequestFraming::Unframed,
            (_, Some(remaining)) => RequestFraming::Body { remaining },
        };
    }

    /// Records that the response to the open request is ready, so that what follows the request may be read.
    pub(super) fn record_response(&mut self) {
        *self = match *self {
            RequestFraming::Body { remaining: 0 } => RequestFraming::START,
            RequestFraming::Body { remaining } => RequestFraming::AnsweredBody { remaining },
            other => other,
        };
    }

    /// Whether the request has been read to its end, so that the bytes that follow are held back.
    pub(super) fn is_request_complete(self) -> bool {
        self == RequestFraming::Body { remaining: 0 }
    }

    /// Returns how many of `available` bytes may be read at once, without recording that they are read.
    pub(super) fn readable(self, available: &[u8]) -> usize {
        match self {
            RequestFraming::Head { .. } => {
                let mut framing = self;
                let end = available
                    .iter()
                    .position(|byte| framing.record_head_byte(*byte));
                end.map_or(available.len(), |position| position + 1)
            }
            RequestFraming::Body { remaining } | RequestFraming::AnsweredBody { remaining } => {
                usize::try_from(remaining)
                    .map_or(available.len(), |bytes| bytes.min(available.len()))
            }
            RequestFraming::Unframed => available.len(),
        }
    }

    /// Records that the parser has read `bytes`. At the end of a head the framing begins anew, unless the parser finds a
    /// request in it.
    pub(super) fn record_read(&mut self, bytes: &[u8]) {
        match self {
            RequestFraming::Head { .. } => {
                for byte in bytes {
                    if self.record_head_byte(*byte) {
                        *self = RequestFraming::START;
                    }
                }
            }
            RequestFraming::Body { remaining } => {
                *remaining = remaining.saturating_sub(bytes.len() as u64);
            }
            RequestFraming::AnsweredBody { remaining } => {
                *remaining = remaining.saturating_sub(bytes.len() as u64);
                if *remaining == 0 {
                    *self = RequestFraming::START;
                }
            }
            RequestFraming::Unframed => {}
        }
    }

    /// Records one byte of a head, and returns whether it ends the head.
    fn record_head_byte(&mut self, byte: u8) -> bool {
        let RequestFraming::Head {
            has_text,
            line_has_text,
        } = self
        else {
            return false;
        };
        match byte {
            b'\n' => !std::mem::take(line_has_text) && *has_text,
            b'\r' => false,
            _ => {
                *has_text = true;
                *line_has_text = true;
                false
            }
        }
    }
}

/// Whether bytes behind a request can't belong to a further one, so that the length of the request is too short. Line
/// ends before a request are ignored.
pub(super) fn is_surplus(bytes: &[u8]) -> bool {
    let line_ends = bytes
        .iter()
        .take_while(|byte| matches!(byte, b'\r' | b'\n'));
    let text = &bytes[line_ends.count()..];
    !text.is_empty() && !begins_request(text)
}

/// Whether a request line begins here: a method, a space and the path.
fn begins_request(text: &[u8]) -> bool {
    METHODS.iter().any(|method| {
        text.strip_prefix(method.as_bytes())
            .is_some_and(|after| after.starts_with(b" /") || after.starts_with(b" *"))
    })
}

#[cfg(test)]
mod tests;
