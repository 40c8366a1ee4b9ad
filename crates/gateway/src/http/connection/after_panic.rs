//! Connection stage: answers the client of a connection whose HTTP processing has panicked.
//!
//! The parser and encoder of such a connection are not used any more, so the response is written as it is here.

use super::{linger, ConnectionServer, LINGER_TIMEOUT};
use crate::http::client_stream::ResponseProgress;
use crate::http::REQUEST_READ_TIMEOUT;
use crate::metrics::PanicAnswer;
use hyper_util::rt::TokioIo;
use tokio::io::AsyncWriteExt;
use tokio::time::timeout;

/// Response to a request that was passed to its handler: its query may have run.
const FAILED_RESPONSE: &[u8] =
    b"HTTP/1.1 500 Internal Server Error\r\nContent-Type: application/json\r\nConnection: close\r\n\
    Content-Length: 18\r\n\r\n{\"error\":\"Failed\"}";
/// Response to a request that was not passed to a handler.
const BUSY_RESPONSE: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nConnection: close\r\n\
    Content-Length: 16\r\n\r\n{\"error\":\"Busy\"}";

impl ConnectionServer {
    /// Writes the response that is due, if any, and closes the connection.
    pub(super) async fn close_after_panic(&self) {
        let answer = self.answer_due().await;
        self.metrics().answered_after_panic(answer);
        let response = match answer {
            PanicAnswer::Failed => FAILED_RESPONSE,
            PanicAnswer::Busy => BUSY_RESPONSE,
            PanicAnswer::None => &[],
        };
        let mut stream = TokioIo::new(self.stream.stream());
        // A failed or late write needs no handling: the connection is closed in any case.
        let _ = timeout(LINGER_TIMEOUT, stream.write_all(response)).await;
        self.stream.shut_down_write();
        self.connection.started_closing();
        linger(&self.stream).await;
        self.stream.discard_received();
    }

    /// Returns the answer to the open request, or to one whose first bytes have arrived. On a new connection, waits for
    /// these bytes.
    async fn answer_due(&self) -> PanicAnswer {
        match self.stream.response_progress() {
            ResponseProgress::Due => return PanicAnswer::Failed,
            // The client can tell that a response is not whole, but not where another one begins in it.
            ResponseProgress::Begun => return PanicAnswer::None,
            ResponseProgress::Written => {}
            ResponseProgress::NoRequest => self.wait_for_first_bytes().await,
        }
        match self.stream.may_have_unparsed_bytes() {
            true => PanicAnswer::Busy,
            false => PanicAnswer::None,
        }
    }

    /// Waits until the client sends or closes, the connection is evicted, or the time for its first request is over.
    async fn wait_for_first_bytes(&self) {
        tokio::select! {
            () = self.stream.received() => {}
            () = self.connection.eviction.notified() => {}
            () = tokio::time::sleep(REQUEST_READ_TIMEOUT) => {}
        }
    }
}
