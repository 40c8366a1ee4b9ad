//! A TCP stream that holds its part of the connection budget for as long as it is open.

use crate::system::send_gate::{SendGate, WriteDecision};
use crate::system::socket::Socket;
use crate::system::write_timeout::WriteTimeout;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::sync::OwnedSemaphorePermit;

/// The longest head of a response that is read, in bytes; hyper requires 8 KiB at least.
pub const MAX_RESPONSE_HEAD_BYTES: usize = 16 << 10;

/// Aborts a connection: nothing more is written, and what the system has not sent yet is discarded when the connection
/// closes. Otherwise the system goes on to send for minutes, and a request that was written while the engine was cut off
/// would arrive, and run, long after its attempt was cancelled.
#[derive(Clone, Debug, Default)]
pub struct AbortFlag(Arc<AtomicBool>);

impl AbortFlag {
    /// Aborts the connection, if it is still open.
    pub fn abort(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    fn is_aborted(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// A TCP stream to an engine or the change log, with its part of the connection budget.
#[derive(Debug)]
pub struct BudgetedStream {
    io: TokioIo<Socket>,
    abort_flag: AbortFlag,
    /// The gate of the request that starts an attempt on this connection.
    send_gate: Option<Arc<SendGate>>,
    write_timeout: WriteTimeout,
    /// Returned to the budget when the stream is dropped.
    _permit: Option<OwnedSemaphorePermit>,
}

impl BudgetedStream {
    /// A stream over a connected socket; `permit` is none where the connection is in no budget.
    pub fn new(socket: Socket, permit: Option<OwnedSemaphorePermit>) -> Self {
        BudgetedStream {
            io: TokioIo::new(socket),
            abort_flag: AbortFlag::default(),
            send_gate: None,
            write_timeout: WriteTimeout::default(),
            _permit: permit,
        }
    }

    /// The flag that aborts this connection.
    pub fn abort_flag(&self) -> AbortFlag {
        self.abort_flag.clone()
    }

    /// Writes only what the gate allows, from now on.
    pub fn gated(mut self, send_gate: Option<Arc<SendGate>>) -> Self {
        self.send_gate = send_gate;
        self
    }

    /// Allows a write, or stops the request that it belongs to.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::ConnectionAborted`] where nothing may be written.
    fn allow_write_or_stop(&self) -> io::Result<()> {
        if self.abort_flag.is_aborted() {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        let Some(gate) = &self.send_gate else {
            return Ok(());
        };
        match gate.allow_write_or_stop() {
            WriteDecision::Allowed => Ok(()),
            WriteDecision::Stopped => Err(io::ErrorKind::ConnectionAborted.into()),
        }
    }
}

impl Drop for BudgetedStream {
    fn drop(&mut self) {
        if self.abort_flag.is_aborted() {
            self.io.inner().discard_on_close();
        }
    }
}

impl Read for BudgetedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        buf: ReadBufCursor,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_read(cx, buf)
    }
}

impl Write for BudgetedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.allow_write_or_stop()?;
        let result = Pin::new(&mut self.io).poll_write(cx, buf);
        self.write_timeout.bounded(cx, result)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.io).poll_flush(cx);
        if let (Poll::Ready(Ok(())), Some(gate)) = (&result, &self.send_gate) {
            gate.flushed();
        }
        result
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        bufs: &[io::IoSlice],
    ) -> Poll<io::Result<usize>> {
        self.allow_write_or_stop()?;
        let result = Pin::new(&mut self.io).poll_write_vectored(cx, bufs);
        self.write_timeout.bounded(cx, result)
    }
}
