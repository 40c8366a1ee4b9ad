//! Provides a TCP connection whose reads and writes wait for readiness only after the system returned `EWOULDBLOCK`.
//!
//! A system call may be interrupted or return early at any time. The runtime's own reads and writes take a short count
//! as the sign that the socket is drained or full, and would then wait for a readiness event that may never arrive.
//!
//! A read or write that fails for lack of memory, or that is interrupted again and again, says nothing about the
//! connection. It is repeated after a pause, in which other tasks run.

use crate::system::os_error;
use crate::system::tcp_info::{time_since_last_arrival, ArrivalTimeError};
use crate::system::watched_socket::{watch, UnwatchedSocket};
use nix::errno::Errno;
use socket2::{Domain, SockRef, Type};
use std::future::Future;
use std::io::{self, IoSlice, Read as _, Write as _};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{ready, Context, Poll, Waker};
use std::time::Duration;
use tokio::io::unix::{AsyncFd, AsyncFdReadyGuard};
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::time::sleep;

/// Pause before a connect that failed for a local reason is retried.
const LOCAL_RETRY_PAUSE: Duration = Duration::from_millis(10);
/// Pause before a read or write that failed for a reason which passes is repeated.
const TRANSFER_RETRY_PAUSE: Duration = Duration::from_millis(5);
/// Number of calls to set an option that a close depends on.
const MAX_LINGER_CALLS: u32 = 32;
/// Number of interruptions in a row after which a call counts as failed, so that other tasks run before it is repeated.
const MAX_INTERRUPTIONS: u32 = 32;

/// Repeats a call until it returns a result other than `Interrupted`, or was interrupted 32 times in a row.
///
/// # Errors
///
/// Any error of the call; `Interrupted` only after as many interruptions.
pub fn uninterrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let mut interruptions = 0;
    loop {
        match call() {
            Err(error)
                if error.kind() == io::ErrorKind::Interrupted
                    && interruptions < MAX_INTERRUPTIONS =>
            {
                interruptions += 1;
            }
            result => return result,
        }
    }
}

/// Wakes a task after [`TRANSFER_RETRY_PAUSE`].
fn wake_after_pause(waker: &Waker) {
    let waker = waker.clone();
    tokio::spawn(async move {
        sleep(TRANSFER_RETRY_PAUSE).await;
        waker.wake();
    });
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
pub struct Socket(AsyncFd<TcpStream>);

impl Socket {
    /// Makes an accepted connection non-blocking, registers it with the runtime, and disables Nagle's algorithm.
    ///
    /// # Errors
    ///
    /// The system does not let the runtime use the connection. It is given back, and may be registered later.
    pub fn register(stream: TcpStream) -> Result<Socket, UnwatchedSocket<TcpStream>> {
        match SockRef::from(&stream).set_nonblocking(true) {
            Ok(()) => Socket::register_nonblocking(stream),
            Err(error) => Err(UnwatchedSocket {
                socket: stream,
                error,
            }),
        }
    }

    fn register_nonblocking(stream: TcpStream) -> Result<Socket, UnwatchedSocket<TcpStream>> {
        if let Err(error) = stream.set_nodelay(true) {
            tracing::debug!(%error, "could not set TCP_NODELAY");
        }
        watch(stream, Interest::READABLE | Interest::WRITABLE).map(Socket)
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
            match Socket::connect_once(address).await {
                Err(error) if os_error::is_local(&error) => {
                    wait.set_local();
                    tracing::debug!(%error, %address, "connect failed for a local reason, retrying");
                    sleep(LOCAL_RETRY_PAUSE).await;
                }
                result => return result,
            }
        }
    }

    async fn connect_once(address: SocketAddr) -> io::Result<Socket> {
        let socket = socket2::Socket::new(
            Domain::for_address(address),
            Type::STREAM.nonblocking(),
            None,
        )?;
        match socket.connect(&address.into()) {
            Err(error) if error.raw_os_error() != Some(Errno::EINPROGRESS as i32) => {
                return Err(error);
            }
            _ => {}
        }
        let connecting = Socket::register_nonblocking(socket.into());
        let connecting = connecting.map_err(|unwatched| unwatched.error)?;
        // The system reports the end of a connect as writable; the socket stays so.
        connecting.0.writable().await?.retain_ready();
        match connecting.stream().take_error()? {
            Some(error) => Err(error),
            None => Ok(connecting),
        }
    }

    fn stream(&self) -> &TcpStream {
        self.0.get_ref()
    }

    /// Reads the bytes that have arrived so far. It calls the system directly, because the runtime learns of new bytes
    /// only at its next poll.
    ///
    /// # Errors
    ///
    /// `WouldBlock` if nothing has arrived, or the error of the call.
    pub fn read_now(&self, bytes: &mut [u8]) -> io::Result<usize> {
        uninterrupted(|| self.stream().read(bytes))
    }

    /// Returns the time since the newest bytes arrived, whether or not they were read.
    ///
    /// # Errors
    ///
    /// The system does not tell.
    pub fn time_since_last_arrival(&self) -> Result<Duration, ArrivalTimeError> {
        time_since_last_arrival(self.stream())
    }

    /// Reads the bytes that have arrived, or registers the task to be woken when some arrive.
    pub fn poll_read_bytes(
        &self,
        context: &mut Context,
        bytes: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let poll_ready = |context: &mut Context| self.0.poll_read_ready(context);
        poll_transfer(context, poll_ready, || self.stream().read(bytes))
    }

    fn poll_write_with(
        &self,
        context: &mut Context,
        mut write: impl FnMut() -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        // The runtime does not know of a connection that it has just been given whether it is writable; it usually is.
        if let Ok(written) = write() {
            return Poll::Ready(Ok(written));
        }
        let poll_ready = |context: &mut Context| self.0.poll_write_ready(context);
        poll_transfer(context, poll_ready, write)
    }

    /// Whether the peer has closed its write side, even if bytes that it sent before are still unread.
    pub fn is_read_closed(&self) -> bool {
        let mut context = Context::from_waker(std::task::Waker::noop());
        let ready = std::pin::pin!(self.0.ready(Interest::READABLE)).poll(&mut context);
        matches!(ready, Poll::Ready(Ok(guard)) if guard.ready().is_read_closed())
    }

    /// Shuts down the write side; the system still sends the data that was written before.
    pub fn shut_down_write(&self) {
        // This fails only if the connection has already ended.
        let _ = SockRef::from(self.stream()).shutdown(Shutdown::Write);
    }

    /// Makes the close of the connection discard unsent data and send a reset. Without this, the system would go on sending
    /// the data after the close, so a call that fails is repeated.
    pub fn discard_on_close(&self) {
        let set_linger = || SockRef::from(self.stream()).set_linger(Some(Duration::ZERO));
        let is_set = (0..MAX_LINGER_CALLS).any(|_| set_linger().is_ok());
        if !is_set {
            tracing::error!(
                "unsent data of an aborted connection may still arrive: SO_LINGER could not be set"
            );
        }
    }
}

/// Makes a call that reads or writes once the connection is ready for it. Before a call that failed for a reason which
/// passes is repeated, other tasks run.
fn poll_transfer<'a>(
    context: &mut Context,
    mut poll_ready: impl FnMut(&mut Context) -> Poll<io::Result<AsyncFdReadyGuard<'a, TcpStream>>>,
    mut call: impl FnMut() -> io::Result<usize>,
) -> Poll<io::Result<usize>> {
    loop {
        let mut ready = ready!(poll_ready(context))?;
        match uninterrupted(&mut call) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => ready.clear_ready(),
            Err(error) if os_error::says_nothing_of_connection(&error) => {
                tracing::debug!(%error, "a read or write is repeated");
                wake_after_pause(context.waker());
                return Poll::Pending;
            }
            result => return Poll::Ready(result),
        }
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
        self.poll_write_with(context, || self.stream().write(bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context,
        parts: &[IoSlice],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(context, || self.stream().write_vectored(parts))
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
