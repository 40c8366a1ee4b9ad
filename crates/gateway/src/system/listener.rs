//! Provides a listening socket whose accept queue can be asked whether it is empty.

use crate::system::socket::uninterrupted;
use crate::system::watched_socket::watch;
use nix::poll::{poll, PollFd, PollFlags, PollTimeout};
use socket2::SockRef;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsFd;
use tokio::io::unix::{AsyncFd, AsyncFdReadyGuard};
use tokio::io::Interest;
use tokio::net::TcpSocket;

/// Maximum number of connections that the system queues until they are accepted.
pub const BACKLOG: u32 = 1024;

/// An accepted connection and the address of its client.
pub type AcceptedStream = (TcpStream, SocketAddr);

/// A listening socket.
#[derive(Debug)]
pub struct Listener(AsyncFd<TcpListener>);

impl Listener {
    /// Listens on an address. Must be called within the runtime.
    ///
    /// # Errors
    ///
    /// The system has no socket, the address is in use, or the system does not let the runtime watch the socket.
    pub fn bind(address: SocketAddr) -> io::Result<Listener> {
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4(),
            SocketAddr::V6(_) => TcpSocket::new_v6(),
        }?;
        // Lets a gateway that was killed bind its address again at once, while old connections are in TIME_WAIT.
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        let listener = socket.listen(BACKLOG)?.into_std()?;
        let watched = watch(listener, Interest::READABLE);
        watched.map(Listener).map_err(|unwatched| unwatched.error)
    }

    /// The address that the socket listens on.
    ///
    /// # Errors
    ///
    /// The error of the system.
    pub fn local_address(&self) -> io::Result<SocketAddr> {
        self.0.get_ref().local_addr()
    }

    /// Waits until a connection may be in the accept queue. The caller clears the readiness once the queue is empty.
    ///
    /// # Errors
    ///
    /// The runtime stops.
    pub async fn readable(&self) -> io::Result<AsyncFdReadyGuard<'_, TcpListener>> {
        self.0.readable().await
    }

    /// Accepts a connection; `None` if the accept queue is empty. It calls the system directly, because the runtime
    /// learns of a new connection only at its next poll.
    ///
    /// # Errors
    ///
    /// The error of the system, which may pass. Whether a connection waits is not known then.
    pub fn accept_now(&self) -> io::Result<Option<AcceptedStream>> {
        // The accept of the standard library repeats interrupted calls without end.
        let (socket, address) = match uninterrupted(|| SockRef::from(self.0.get_ref()).accept()) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(None),
            accepted => accepted?,
        };
        let address = address.as_socket().ok_or(io::ErrorKind::InvalidData)?;
        Ok(Some((socket.into(), address)))
    }

    /// Whether a connection is in the accept queue. True if the system does not tell.
    pub fn has_waiting_connection(&self) -> bool {
        let mut watched = [PollFd::new(self.0.get_ref().as_fd(), PollFlags::POLLIN)];
        match uninterrupted(|| Ok(poll(&mut watched, PollTimeout::ZERO)?)) {
            Ok(ready) => ready > 0,
            Err(_) => true,
        }
    }
}

#[cfg(test)]
mod tests;
