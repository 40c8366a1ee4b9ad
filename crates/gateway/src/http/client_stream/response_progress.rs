//! Tracks how far the response to a request is written, so that after a panic no second response is begun.

use std::io;
use std::task::Poll;

/// Progress of the response to the last request that was passed to its handler.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::http) enum ResponseProgress {
    /// No request was passed to a handler yet.
    NoRequest,
    /// No byte of the response is written.
    Due,
    /// A part of the response may be written.
    Begun,
    /// The response is written.
    Written,
}

impl ResponseProgress {
    /// Records the result of a write to the client.
    pub(super) fn record_write(&mut self, result: &Poll<io::Result<usize>>) {
        let is_written = matches!(result, Poll::Ready(Ok(1..)));
        if is_written && *self == ResponseProgress::Due {
            *self = ResponseProgress::Begun;
        }
    }

    /// Records that all bytes handed to the connection are written.
    pub(super) fn record_flush(&mut self) {
        if *self == ResponseProgress::Begun {
            *self = ResponseProgress::Written;
        }
    }
}
