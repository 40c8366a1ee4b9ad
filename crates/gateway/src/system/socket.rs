//! A TCP connection that is read and written until the system says that it would block, whatever a single call gives: a call
//! may be cut short or interrupted at any time. (The runtime's own reads and writes take a short one as the sign that the
//! socket is drained or full, and wait for news that then may never come.)

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

/// Between two tries at a connection that this machine itself could not begin.
const LOCAL_RETRY_PAUSE: Duration = Duration::from_millis(10);

/// Calls again for as long as the system interrupts the call.
pub fn uninterrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(fault) if fault.kind() == io::ErrorKind::Interrupted => {}
            end => return end,
        }
    }
}

/// A connection, with small writes sent at once.
#[derive(Debug)]
pub struct Socket(TcpStream);

impl Socket {
    pub fn new(stream: TcpStream) -> Socket {
        if let Err(fault) = stream.set_nodelay(true) {
            tracing::debug!(%fault, "no-delay not set");
        }
        Socket(stream)
    }

    /// Connects. What this machine lacks for a moment (a descriptor, a port, a route) is waited for: the caller bounds how long,
    /// and `held_here` tells it whether that is what is waited for.
    ///
    /// # Errors
    ///
    /// What the other end, or the network on the way to it, answers.
    pub async fn connect(address: SocketAddr, held_here: &AtomicBool) -> io::Result<Socket> {
        loop {
            held_here.store(false, Ordering::Relaxed);
            match TcpStream::connect(address).await {
                Err(fault) if os_error::is_local(&fault) => {
                    held_here.store(true, Ordering::Relaxed);
                    tracing::debug!(%fault, %address, "no connection could be begun here");
                    sleep(LOCAL_RETRY_PAUSE).await;
                }
                end => return end.map(Socket::new),
            }
        }
    }

    /// Reads what is there by now, without a turn through the runtime's poll; it knows of what came a moment ago one turn later.
    ///
    /// # Errors
    ///
    /// `WouldBlock` where nothing is there.
    pub fn read_now(&self, bytes: &mut [u8]) -> io::Result<usize> {
        uninterrupted(|| (&*SockRef::from(&self.0)).read(bytes))
    }

    /// Reads once there is something, as the runtime tells it.
    pub fn poll_read_bytes(&self, cx: &mut Context, bytes: &mut [u8]) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_read_ready(cx))?;
            // It forgets that there is something only when the system says that there is not.
            match uninterrupted(|| self.0.try_read(bytes)) {
                Err(fault) if fault.kind() == io::ErrorKind::WouldBlock => {}
                end => return Poll::Ready(end),
            }
        }
    }

    fn poll_written(
        &self,
        cx: &mut Context,
        mut write: impl FnMut(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(cx))?;
            match uninterrupted(|| write(&self.0)) {
                Err(fault) if fault.kind() == io::ErrorKind::WouldBlock => {}
                end => return Poll::Ready(end),
            }
        }
    }

    /// Whether the other end has closed its side, also behind bytes that were not read.
    pub fn is_read_closed(&self) -> bool {
        let mut cx = Context::from_waker(std::task::Waker::noop());
        let ready = std::pin::pin!(self.0.ready(Interest::READABLE)).poll(&mut cx);
        matches!(ready, Poll::Ready(Ok(ready)) if ready.is_read_closed())
    }

    /// Ends our side, after all that was written.
    pub fn shut(&self) {
        // A connection that is gone already is shut.
        let _ = SockRef::from(&self.0).shutdown(Shutdown::Write);
    }

    /// Has what is not sent yet thrown away when the connection closes.
    pub fn discard_on_close(&self) {
        // Where it can't be set the connection closes as others do.
        let _ = SockRef::from(&self.0).set_linger(Some(Duration::ZERO));
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context,
        buf: &mut ReadBuf,
    ) -> Poll<io::Result<()>> {
        let read = ready!(self.poll_read_bytes(cx, buf.initialize_unfilled()))?;
        buf.advance(read);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Socket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_written(cx, |stream| stream.try_write(bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context,
        parts: &[IoSlice],
    ) -> Poll<io::Result<usize>> {
        self.poll_written(cx, |stream| stream.try_write_vectored(parts))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        self.shut();
        Poll::Ready(Ok(()))
    }
}
