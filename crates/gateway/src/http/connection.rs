//! Connection stage: serves one client connection, and closes it so that the client can read its last response.

mod request_loop;

use super::{ClientAddress, REQUEST_READ_TIMEOUT};
use crate::http::client_connections::ClientConnection;
use crate::http::client_stream::StreamHandle;
use axum::Router;
use hyper_util::rt::TokioIo;
use request_loop::{CloseReason, RemainingRequests, RequestLoop};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// Time that a client has after its last response to read it and to close.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause between two reads of what a client still sends after its last response.
const LINGER_READ_PAUSE: Duration = Duration::from_millis(20);
/// Bytes of one such read.
const LINGER_READ_BYTES: usize = 4096;

/// The response to a request of which only a part of the head arrived in time.
const PARTIAL_HEAD_RESPONSE: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nContent-Type: application/json\r\nConnection: close\r\n\
    Content-Length: 36\r\n\r\n{\"error\":\"the call came too slowly\"}";

/// How a connection is closed after what was written last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CloseMode {
    /// Its client has time to read that and to close.
    Linger,
    /// At once: another connection needs its slot.
    Immediate,
}

/// One client connection while it is served.
pub(super) struct ConnectionServer {
    stream: StreamHandle,
    client: ClientAddress,
    router: Router,
    connection: Arc<ClientConnection>,
    close_connections: watch::Receiver<bool>,
}

impl ConnectionServer {
    /// Serves an accepted connection through `router`; `close_connections` asks to close it after the open request.
    pub fn new(
        stream: StreamHandle,
        client: ClientAddress,
        router: Router,
        connection: ClientConnection,
        close_connections: watch::Receiver<bool>,
    ) -> Self {
        ConnectionServer {
            stream,
            client,
            router,
            connection: Arc::new(connection),
            close_connections,
        }
    }

    /// Serves until the client closes the connection, is silent for too long, or the gateway closes it.
    pub async fn run(mut self) {
        let mut remaining_requests = RemainingRequests::Unlimited;
        let mode = loop {
            let mode = match RequestLoop::new(&mut self, remaining_requests).run().await {
                CloseReason::ClientClosed => return,
                CloseReason::Silent => return self.close_unserved(CloseMode::Linger).await,
                CloseReason::EvictedUnserved => {
                    return self.close_unserved(CloseMode::Immediate).await
                }
                CloseReason::LastResponse => break CloseMode::Linger,
                CloseReason::Shutdown => CloseMode::Linger,
                CloseReason::Evicted => CloseMode::Immediate,
            };
            let was_last = remaining_requests == RemainingRequests::One;
            if was_last || !self.stream.has_unparsed_bytes() {
                break mode;
            }
            // A request whose first bytes arrived before the close is still served, as the last.
            remaining_requests = RemainingRequests::One;
        };
        self.close(mode).await;
    }

    /// Closes the connection after its last response.
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

    /// Closes a connection that had no request. A client that writes slowly is answered that its request was not read: its
    /// remaining bytes may cross our close.
    async fn close_unserved(&self, mode: CloseMode) {
        if !self.stream.has_unparsed_bytes() {
            return;
        }
        let mut stream = TokioIo::new(self.stream.stream());
        // A client that does not read the response sees the close.
        let _ = timeout(LINGER_TIMEOUT, stream.write_all(PARTIAL_HEAD_RESPONSE)).await;
        self.stream.shut_down_write();
        if mode == CloseMode::Linger {
            linger(&self.stream).await;
        }
        self.stream.discard_received();
    }
}

/// Lets a client that is still sending read its response: closed with bytes unread, the connection would be reset and the
/// response lost. A client that goes on sending is cut off.
async fn linger(stream: &StreamHandle) {
    let mut stream = TokioIo::new(stream.stream());
    let mut discarded = [0; LINGER_READ_BYTES];
    let read_to_end = async {
        while let Ok(1..) = stream.read(&mut discarded).await {
            sleep(LINGER_READ_PAUSE).await;
        }
    };
    let _ = timeout(LINGER_TIMEOUT, read_to_end).await;
}
