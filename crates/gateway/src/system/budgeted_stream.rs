//! A TCP stream that holds its part of the connection budget for as long as it is open.

use crate::system::send_gate::SendGate;
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

/// More than any head of an answer; hyper asks for 8 KB at least.
pub const MAX_RESPONSE_HEAD_BYTES: usize = 16 << 10;

/// Whether what a connection has not sent yet is to be thrown away when it closes. The machine goes on sending for
/// minutes otherwise: a start written while the engine was cut off would come, and run, long after it was given up.
#[derive(Clone, Debug, Default)]
pub struct AbortFlag(Arc<AtomicBool>);

impl AbortFlag {
    pub fn abort(&self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// A TCP stream to an engine or the change log, with its part of the budget.
#[derive(Debug)]
pub struct BudgetedStream {
    io: TokioIo<Socket>,
    abort_flag: AbortFlag,
    /// Of the start that goes out on it.
    gate: Option<Arc<SendGate>>,
    write_timeout: WriteTimeout,
    /// Its part of the budget, where no one else holds that.
    _permit: Option<OwnedSemaphorePermit>,
}

impl BudgetedStream {
    pub fn new(socket: Socket, permit: Option<OwnedSemaphorePermit>) -> Self {
        BudgetedStream {
            io: TokioIo::new(socket),
            abort_flag: AbortFlag::default(),
            gate: None,
            write_timeout: WriteTimeout::default(),
            _permit: permit,
        }
    }

    /// For who gives the connection up while bytes may still be on their way.
    pub fn abort_flag(&self) -> AbortFlag {
        self.abort_flag.clone()
    }

    /// Lets a start out only through this gate.
    pub fn gated(mut self, gate: Option<Arc<SendGate>>) -> Self {
        self.gate = gate;
        self
    }

    fn check_write_allowed(&self) -> io::Result<()> {
        let is_aborted = self.abort_flag.0.load(Ordering::Relaxed);
        match is_aborted || self.gate.as_ref().is_some_and(|gate| !gate.allows_write()) {
            true => Err(io::ErrorKind::ConnectionAborted.into()),
            false => Ok(()),
        }
    }
}

impl Drop for BudgetedStream {
    fn drop(&mut self) {
        if self.abort_flag.0.load(Ordering::Relaxed) {
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
        self.check_write_allowed()?;
        let end = Pin::new(&mut self.io).poll_write(cx, buf);
        self.write_timeout.bounded(cx, end)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        let end = Pin::new(&mut self.io).poll_flush(cx);
        if let (Poll::Ready(Ok(())), Some(gate)) = (&end, &self.gate) {
            gate.flushed();
        }
        end
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
        self.check_write_allowed()?;
        let end = Pin::new(&mut self.io).poll_write_vectored(cx, bufs);
        self.write_timeout.bounded(cx, end)
    }
}
