//! Provides the TCP stream of connections to engines and to the change log.
//!
//! A stream to an engine holds a permit of the connection budget while it is open. Writes of a request that starts an
//! attempt go through the [`SendGate`] of the attempt. Any write fails if the peer stops reading.

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

/// Maximum size of a response head and size of the parser's buffer, in bytes; hyper requires at least 8 KiB.
pub const MAX_RESPONSE_HEAD_BYTES: usize = 8 << 10;

/// Aborts a connection: later writes fail, and the system discards unsent data when the connection closes.
///
/// Without the discard, the system would retransmit for minutes. A request written while the engine was unreachable
/// would then arrive and run long after its attempt was cancelled.
#[derive(Clone, Debug, Default)]
pub struct AbortFlag(Arc<AtomicBool>);

impl AbortFlag {
    /// Aborts the connection. This has no effect on a closed one.
    pub fn abort(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    fn is_aborted(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// A TCP stream to an engine or to the change log, with its permit of the connection budget if it needs one.
#[derive(Debug)]
pub struct BudgetedStream {
    io: TokioIo<Socket>,
    abort_flag: AbortFlag,
    /// The gate of the request that starts an attempt on this connection; `None` if writes are not gated.
    send_gate: Option<Arc<SendGate>>,
    write_timeout: WriteTimeout,
    /// Goes back to the budget when the stream is dropped.
    _permit: Option<OwnedSemaphorePermit>,
}

impl BudgetedStream {
    /// Wraps a connected socket. `permit` is `None` for connections outside the budget, such as that to the change log.
    pub fn new(socket: Socket, permit: Option<OwnedSemaphorePermit>) -> Self {
        BudgetedStream {
            io: TokioIo::new(socket),
            abort_flag: AbortFlag::default(),
            send_gate: None,
            write_timeout: WriteTimeout::default(),
            _permit: permit,
        }
    }

    /// Returns a handle that aborts this connection.
    pub fn abort_flag(&self) -> AbortFlag {
        self.abort_flag.clone()
    }

    /// Makes each later write subject to the gate; with `None`, writes are not gated.
    pub fn gated(mut self, send_gate: Option<Arc<SendGate>>) -> Self {
        self.send_gate = send_gate;
        self
    }

    /// Checks before a write that the connection is not aborted and that the gate allows the write. A gate that does
    /// not allow the write stops its request.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::ConnectionAborted`] if the connection is aborted or the request is stopped.
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
        self.write_timeout.apply(cx, result)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.io).poll_flush(cx);
        if let (Poll::Ready(Ok(())), Some(gate)) = (&result, &self.send_gate) {
            gate.record_flush();
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
        self.write_timeout.apply(cx, result)
    }
}
