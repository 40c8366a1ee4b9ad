//! A TCP connection that is read and written until the system says that the call would block.
//!
//! A call may be cut short or interrupted at any time. The runtime's own reads and writes take a short one as the sign that
//! the socket is drained or full, and then wait for a readiness event that may never arrive.

use crate::system::os_error;
use socket2::SockRef;
use std::future::Future;
use std::io::{self, IoSlice, Read as _};
use std::net::{Shutdown, SocketAddr};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Pause between attempts at a connection that this machine could not begin.
const LOCAL_RETRY_PAUSE: Duration = Duration::from_millis(10);

/// Repeats a call for as long as the system interrupts it.
///
/// # Errors
///
/// Any error of the call but `Interrupted`.
pub fn uninterrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

/// What a connection that is coming up waits for. Its caller reads it when it stops waiting.
#[derive(Debug)]
pub struct ConnectWait {
    is_local: AtomicBool,
}

impl ConnectWait {
    /// A wait that begins with something that this machine lacks.
    pub fn for_this_machine() -> Self {
        ConnectWait {
            is_local: AtomicBool::new(true),
        }
    }

    /// A wait that begins with the other end.
    pub fn for_other_end() -> Self {
        ConnectWait {
            is_local: AtomicBool::new(false),
        }
    }

    /// Whether it waits for something that this machine lacks, which is not the other end's fault.
    pub fn is_local(&self) -> bool {
        self.is_local.load(Ordering::Relaxed)
    }

    fn other_end_is_tried(&self) {
        self.is_local.store(false, Ordering::Relaxed);
    }

    fn this_machine_lacks_something(&self) {
        self.is_local.store(true, Ordering::Relaxed);
    }
}

/// A TCP connection with Nagle's algorithm off.
#[derive(Debug)]
pub struct Socket(TcpStream);

impl Socket {
    /// Wraps a stream, and switches Nagle's algorithm off.
    pub fn new(stream: TcpStream) -> Socket {
        if let Err(error) = stream.set_nodelay(true) {
            tracing::debug!(%error, "TCP_NODELAY not set");
        }
        Socket(stream)
    }

    /// Connects. Where this machine lacks something for the moment (a descriptor, a port, a route), it retries: the caller
    /// bounds how long, and `wait` says whether this is the reason for the wait.
    ///
    /// # Errors
    ///
    /// The error of the other end, or of the network on the way to it.
    pub async fn connect(address: SocketAddr, wait: &ConnectWait) -> io::Result<Socket> {
        loop {
            wait.other_end_is_tried();
            match TcpStream::connect(address).await {
                Err(error) if os_error::is_local(&error) => {
                    wait.this_machine_lacks_something();
                    tracing::debug!(%error, %address, "local failure to connect, retrying");
                    sleep(LOCAL_RETRY_PAUSE).await;
                }
                result => return result.map(Socket::new),
            }
        }
    }

    /// Reads what has arrived by now. It asks the system, since the runtime learns of new bytes only when it polls next.
    ///
    /// # Errors
    ///
    /// `WouldBlock` where nothing has arrived, or the error of the connection.
    pub fn read_now(&self, bytes: &mut [u8]) -> io::Result<usize> {
        uninterrupted(|| (&*SockRef::from(&self.0)).read(bytes))
    }

    /// Reads what has arrived, or registers the task to be woken once something does.
    pub fn poll_read_bytes(
        &self,
        context: &mut Context,
        bytes: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_read_ready(context))?;
            // Only `WouldBlock` clears the readiness that the runtime keeps.
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

    /// Whether the other end has closed its side, even if bytes before that are still unread.
    pub fn is_read_closed(&self) -> bool {
        let mut context = Context::from_waker(std::task::Waker::noop());
        let ready = std::pin::pin!(self.0.ready(Interest::READABLE)).poll(&mut context);
        matches!(ready, Poll::Ready(Ok(ready)) if ready.is_read_closed())
    }

    /// Shuts down the write side, after everything that was written.
    pub fn shut_down_write(&self) {
        // It fails only where the connection has ended already.
        let _ = SockRef::from(&self.0).shutdown(Shutdown::Write);
    }

    /// Makes the close discard what is not sent yet, and reset the connection.
    pub fn discard_on_close(&self) {
        // Where the option cannot be set, the connection closes in the usual way.
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
