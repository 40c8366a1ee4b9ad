//! Registers sockets with the runtime, and gives a socket back that the system does not let it watch.

use std::io;
use std::net::{TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use tokio::io::unix::AsyncFd;
use tokio::io::Interest;

/// Socket of the standard library, which keeps its descriptor for as long as it lives.
pub trait StandardSocket: AsRawFd {}

impl StandardSocket for TcpListener {}
impl StandardSocket for TcpStream {}

/// Socket that the runtime can't watch, for example since the system has no memory for that.
#[derive(Debug)]
pub struct UnwatchedSocket<S> {
    /// The socket, which is still open and may be registered later.
    pub socket: S,
    /// The error of the system.
    pub error: io::Error,
}

/// Registers a non-blocking socket with the runtime. Must be called within the runtime.
///
/// # Errors
///
/// The system does not let the runtime watch the socket.
#[expect(
    deprecated,
    reason = "the replacement is unsafe, to exclude descriptors that change, which `StandardSocket` excludes as well"
)]
pub fn watch<S: StandardSocket>(
    socket: S,
    interest: Interest,
) -> Result<AsyncFd<S>, UnwatchedSocket<S>> {
    AsyncFd::try_with_interest(socket, interest).map_err(|refused| {
        let (socket, error) = refused.into_parts();
        UnwatchedSocket { socket, error }
    })
}
