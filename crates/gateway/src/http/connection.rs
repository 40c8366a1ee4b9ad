//! Connection stage: serves one client connection, and closes it in a way that lets the client read its last response.

mod after_panic;
mod request_loop;

use super::{ClientAddress, REQUEST_READ_TIMEOUT};
use crate::http::client_connections::ClientConnection;
use crate::http::client_stream::{ClientState, StreamHandle};
use crate::metrics::{ConnectionEnd, Metrics};
use crate::supervision::Supervisor;
use axum::Router;
use hyper_util::rt::TokioIo;
use request_loop::{RemainingRequests, RequestLoop};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// Time after the last response for the client to read it and to close the connection.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause between reads of the bytes that a client sends after its last response.
const LINGER_READ_PAUSE: Duration = Duration::from_millis(20);
/// Buffer size of one such read, in bytes.
const LINGER_READ_BYTES: usize = 4096;

/// Response to a request whose head did not arrive completely in time.
const PARTIAL_HEAD_RESPONSE: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nContent-Type: application/json\r\nConnection: close\r\n\
    Content-Length: 36\r\n\r\n{\"error\":\"the call came too slowly\"}";

/// Way to close a connection after the last bytes were written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CloseMode {
    /// Waits up to [`LINGER_TIMEOUT`] for the client to read them and to close.
    Linger,
    /// Closes at once, since another connection needs the slot.
    Immediate,
}

/// Serves one client connection.
pub(super) struct ConnectionServer {
    stream: StreamHandle,
    client: ClientAddress,
    router: Router,
    connection: Arc<ClientConnection>,
    close_connections: watch::Receiver<bool>,
    supervisor: Supervisor,
}

impl ConnectionServer {
    /// Returns a server that passes the requests of an accepted connection to `router`. When `close_connections` is
    /// set, the server closes the connection after any open request.
    pub fn new(
        stream: StreamHandle,
        client: ClientAddress,
        router: Router,
        connection: ClientConnection,
        close_connections: watch::Receiver<bool>,
        supervisor: Supervisor,
    ) -> Self {
        ConnectionServer {
            stream,
            client,
            router,
            connection: Arc::new(connection),
            close_connections,
            supervisor,
        }
    }

    /// Serves the connection until the client closes it, no request arrives in time, it is evicted, or the gateway
    /// shuts down.
    pub async fn run(mut self) {
        let end = self.serve_requests().await;
        self.record_end(end);
        match end {
            ConnectionEnd::ClientClosed => {}
            ConnectionEnd::Silent => self.close_unserved(CloseMode::Linger).await,
            ConnectionEnd::EvictedUnserved => self.close_unserved(CloseMode::Immediate).await,
            ConnectionEnd::LastResponse | ConnectionEnd::Shutdown => {
                self.close(CloseMode::Linger).await
            }
            ConnectionEnd::Evicted => self.close(CloseMode::Immediate).await,
            ConnectionEnd::Panicked => self.close_after_panic().await,
        }
    }

    /// Serves requests until no further one is to be read, and returns the reason.
    async fn serve_requests(&mut self) -> ConnectionEnd {
        let end = RequestLoop::new(self, RemainingRequests::Unlimited)
            .run()
            .await;
        match end {
            // A request whose first bytes arrived before the close is still served, as the last one.
            ConnectionEnd::Shutdown | ConnectionEnd::Evicted
                if self.stream.may_have_unparsed_bytes() =>
            {
                RequestLoop::new(self, RemainingRequests::One).run().await
            }
            end => end,
        }
    }

    fn metrics(&self) -> &Metrics {
        self.supervisor.metrics()
    }

    fn record_end(&self, reason: ConnectionEnd) {
        self.metrics().connection_ended(reason);
        let connection = self.connection.number();
        tracing::debug!(connection, client = %self.client.0, ?reason, "client connection ended");
        if self.owes_answer(reason) {
            self.metrics().closed_unanswered();
            tracing::error!(connection, client = %self.client.0, ?reason, "client connection ended with its request unanswered");
        }
    }

    /// Whether a request is open whose client waits for its answer. After a panic the answer is still to come.
    fn owes_answer(&self, end: ConnectionEnd) -> bool {
        let has_answer_to_come =
            matches!(end, ConnectionEnd::ClientClosed | ConnectionEnd::Panicked);
        !has_answer_to_come
            && self.connection.has_request()
            && self.stream.client_state() == ClientState::Connected
    }

    /// Closes the connection after its last response. An eviction ends the wait for the client.
    async fn close(&self, mode: CloseMode) {
        self.stream.shut_down_write();
        if mode == CloseMode::Linger {
            self.connection.started_closing();
            tokio::select! {
                () = linger(&self.stream) => {}
                () = self.connection.eviction.notified() => {}
            }
        }
        self.stream.discard_received();
    }

    /// Closes a connection on which no request was served. If a part of a request head has arrived, first responds with
    /// status 408, since the client may be sending the rest while the gateway closes.
    async fn close_unserved(&self, mode: CloseMode) {
        if !self.stream.may_have_unparsed_bytes() {
            return;
        }
        let mut stream = TokioIo::new(self.stream.stream());
        // A failed or late write needs no handling: the connection is closed in any case.
        let _ = timeout(LINGER_TIMEOUT, stream.write_all(PARTIAL_HEAD_RESPONSE)).await;
        self.stream.shut_down_write();
        if mode == CloseMode::Linger {
            self.connection.started_closing();
            linger(&self.stream).await;
        }
        self.stream.discard_received();
    }
}

/// Reads and discards what the client sends until it closes, or until [`LINGER_TIMEOUT`]. The kernel resets a
/// connection that is closed while bytes are unread, and a client that is still sending would lose its response. A
/// client that sends for longer is disconnected.
async fn linger(stream: &StreamHandle) {
    let mut stream = TokioIo::new(stream.stream());
    let mut discarded = vec![0; LINGER_READ_BYTES];
    let read_to_end = async {
        while let Ok(1..) = stream.read(&mut discarded).await {
            sleep(LINGER_READ_PAUSE).await;
        }
    };
    let _ = timeout(LINGER_TIMEOUT, read_to_end).await;
}

#[cfg(test)]
mod tests;
