//! Provides a TCP connection whose reads and writes wait for readiness only after the system returned `EWOULDBLOCK`.
//!
//! A system call may be interrupted or return early at any time. The runtime's own reads and writes take a short count
//! as the sign that the socket is drained or full, and would then wait for a readiness event that may never arrive.

use crate::system::os_error;
use crate::system::tcp_info::{time_since_last_arrival, ArrivalTimeError};
use socket2::{SockAddr, SockRef};
use std::future::Future;
use std::io::{self, IoSlice, Read as _};
use std::net::{Shutdown, SocketAddr};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Pause before a connect that failed for a local reason is retried.
const LOCAL_RETRY_PAUSE: Duration = Duration::from_millis(10);

/// Repeats a call until it returns a result other than `Interrupted`.
///
/// # Errors
///
/// Any error of the call except `Interrupted`.
pub fn uninterrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

/// Accepts a connection that waits. It calls the system directly, because the runtime learns of a new connection only at
/// its next poll. Returns `None` if no connection waits.
pub fn accept_now(listener: &TcpListener) -> Option<io::Result<(TcpStream, SocketAddr)>> {
    match uninterrupted(|| SockRef::from(listener).accept()) {
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => None,
        accepted => Some(accepted.and_then(|(socket, address)| into_stream(socket, &address))),
    }
}

/// Hands an accepted socket to the runtime.
fn into_stream(socket: socket2::Socket, address: &SockAddr) -> io::Result<(TcpStream, SocketAddr)> {
    let address = address.as_socket().ok_or(io::ErrorKind::InvalidData)?;
    socket.set_nonblocking(true)?;
    let stream = TcpStream::from_std(socket.into())?;
    Ok((stream, address))
}

/// Whether a pending connect waits for a local resource or for the peer. The caller reads it when the connect fails or
/// times out, to attribute the failure.
#[derive(Debug)]
pub struct ConnectWait {
    is_local: AtomicBool,
}

impl ConnectWait {
    /// A wait that starts with a local resource, such as a permit of the connection budget.
    pub fn local() -> Self {
        ConnectWait {
            is_local: AtomicBool::new(true),
        }
    }

    /// A wait that starts with the peer.
    pub fn remote() -> Self {
        ConnectWait {
            is_local: AtomicBool::new(false),
        }
    }

    /// Whether the connect waits for a local resource, which is not the peer's fault.
    pub fn is_local(&self) -> bool {
        self.is_local.load(Ordering::Relaxed)
    }

    fn set_remote(&self) {
        self.is_local.store(false, Ordering::Relaxed);
    }

    fn set_local(&self) {
        self.is_local.store(true, Ordering::Relaxed);
    }
}

/// A TCP connection with Nagle's algorithm disabled.
#[derive(Debug)]
pub struct Socket(TcpStream);

impl Socket {
    /// Wraps a stream and disables Nagle's algorithm.
    pub fn new(stream: TcpStream) -> Socket {
        if let Err(error) = stream.set_nodelay(true) {
            tracing::debug!(%error, "could not set TCP_NODELAY");
        }
        Socket(stream)
    }

    /// Connects to an address. A local failure, such as a lack of descriptors, ports or routes, is retried without
    /// limit: the caller sets a timeout, and `wait` tells it whether the connect was waiting for a local resource.
    ///
    /// # Errors
    ///
    /// An error of the peer, or of the network between this machine and the peer.
    pub async fn connect(address: SocketAddr, wait: &ConnectWait) -> io::Result<Socket> {
        loop {
            wait.set_remote();
            match TcpStream::connect(address).await {
                Err(error) if os_error::is_local(&error) => {
                    wait.set_local();
                    tracing::debug!(%error, %address, "connect failed for a local reason, retrying");
                    sleep(LOCAL_RETRY_PAUSE).await;
                }
                result => return result.map(Socket::new),
            }
        }
    }

    /// Reads the bytes that have arrived so far. It calls the system directly, because the runtime learns of new bytes
    /// only at its next poll.
    ///
    /// # Errors
    ///
    /// `WouldBlock` if nothing has arrived, or the error of the connection.
    pub fn read_now(&self, bytes: &mut [u8]) -> io::Result<usize> {
        uninterrupted(|| (&*SockRef::from(&self.0)).read(bytes))
    }

    /// Returns the time since the newest bytes arrived, whether or not they were read.
    ///
    /// # Errors
    ///
    /// The system does not tell.
    pub fn time_since_last_arrival(&self) -> Result<Duration, ArrivalTimeError> {
        time_since_last_arrival(&self.0)
    }

    /// Reads the bytes that have arrived, or registers the task to be woken when some arrive.
    pub fn poll_read_bytes(
        &self,
        context: &mut Context,
        bytes: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_read_ready(context))?;
            // `try_read` clears the runtime's readiness state on `WouldBlock` only, not after a short read.
            match uninterrupted(|| self.0.try_read(bytes)) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }

    fn poll_write_with(
        &self,
        context: &mut Context,
        mut write: impl FnMut(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(context))?;
            match uninterrupted(|| write(&self.0)) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }

    /// Whether the peer has closed its write side, even if bytes that it sent before are still unread.
    pub fn is_read_closed(&self) -> bool {
        let mut context = Context::from_waker(std::task::Waker::noop());
        let ready = std::pin::pin!(self.0.ready(Interest::READABLE)).poll(&mut context);
        matches!(ready, Poll::Ready(Ok(ready)) if ready.is_read_closed())
    }

    /// Shuts down the write side; the system still sends the data that was written before.
    pub fn shut_down_write(&self) {
        // This fails only if the connection has already ended.
        let _ = SockRef::from(&self.0).shutdown(Shutdown::Write);
    }

    /// Makes the close of the connection discard unsent data and send a reset.
    pub fn discard_on_close(&self) {
        // If the option cannot be set, the connection closes normally.
        let _ = SockRef::from(&self.0).set_linger(Some(Duration::ZERO));
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context,
        buffer: &mut ReadBuf,
    ) -> Poll<io::Result<()>> {
        let read = ready!(self.poll_read_bytes(context, buffer.initialize_unfilled()))?;
        buffer.advance(read);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(context, |stream| stream.try_write(bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context,
        parts: &[IoSlice],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(context, |stream| stream.try_write_vectored(parts))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        self.shut_down_write();
        Poll::Ready(Ok(()))
    }
}
