//! Streams for unit tests.

use super::{AcceptDelay, StreamHandle};
use crate::system::socket::Socket;
use std::time::Instant;

/// Wraps a connection that was accepted at once.
pub fn accepted_stream(stream: tokio::net::TcpStream) -> StreamHandle {
    let socket = Socket::register(stream.into_std().unwrap()).unwrap();
    let delay = AcceptDelay {
        queue_empty_at: Instant::now(),
        delayed_since: None,
    };
    StreamHandle::new(socket, delay)
}
