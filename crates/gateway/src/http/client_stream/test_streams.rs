//! Streams for unit tests.

use super::StreamHandle;
use crate::system::socket::Socket;

/// Wraps a connection that was accepted at once.
pub fn accepted_stream(stream: tokio::net::TcpStream) -> StreamHandle {
    StreamHandle::new(Socket::register(stream.into_std().unwrap()).unwrap())
}
