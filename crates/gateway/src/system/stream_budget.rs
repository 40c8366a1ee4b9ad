//! The budget of descriptors and memory, and the stream that holds a part of it for as long as it is open.

use crate::engines::result_rows;
use crate::system::socket::Socket;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{sleep, Sleep};

/// Descriptors kept back: standard streams, the listener, the runtime's own, the change log.
const OWN: usize = 24;
/// One in so many descriptors is kept for clients' connections over their third.
const SPARE: usize = 16;

/// More than any head of an answer; hyper asks for 8 KB at least.
pub const LONGEST_HEAD: usize = 16 << 10;

/// One in so many bytes of the told memory is for statements, and one in so many for results in hand; the rest is
/// for the program, the buffers of connections and what an allocator can't give back.
const STATEMENTS: usize = 8;
const RESULTS: usize = 4;
/// One in so many bytes of the told memory is for answers that clients may ask for again.
const KEPT_ANSWERS: usize = 64;
/// A result in hand: its pages, and the answer made of them.
const RESULT: usize = 2 * result_rows::RESULT;

/// A write that nothing is read of for this long ends the connection: far above any client's patience with
/// its own network.
const STALLED: Duration = Duration::from_secs(10);

/// How long a connection's write has waited; it lets none wait for ever.
#[derive(Debug, Default)]
pub struct Stalled(Option<Pin<Box<Sleep>>>);

impl Stalled {
    /// The end of a write as it is, or that of one that has waited too long.
    pub fn bounded(
        &mut self,
        cx: &mut Context,
        end: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if end.is_ready() {
            self.0 = None;
            return end;
        }
        let stalled = self.0.get_or_insert_with(|| Box::pin(sleep(STALLED)));
        stalled
            .as_mut()
            .poll(cx)
            .map(|()| Err(io::ErrorKind::TimedOut.into()))
    }
}

/// Parts of the told limit that may be open at once.
#[derive(Clone, Debug)]
pub struct ResourceBudget {
    pub clients: Arc<Semaphore>,
    pub engines: Arc<Semaphore>,
    /// Batches that clients' connections and the memory can hold at once.
    pub room: usize,
    /// Bytes of statements that may be in hand at once.
    pub statements: Arc<Semaphore>,
    /// Bytes of answers that are kept for clients whose connection ended before they had theirs.
    pub kept_answers: usize,
}

impl ResourceBudget {
    /// A third for clients, as the protocol has it, and some for those that close as others come: the machine
    /// accepts a connection whether or not we do, and what comes on it is owed an answer. The rest, less our
    /// own, for engines.
    pub fn of(limit: usize, memory_mb: usize) -> Self {
        let memory = memory_mb << 20;
        let clients = limit / 3 + limit / SPARE + 1;
        let engines = limit.saturating_sub(clients + OWN).max(1);
        ResourceBudget {
            clients: Arc::new(Semaphore::new(clients)),
            engines: Arc::new(Semaphore::new(engines)),
            room: (limit / 3).min(memory / RESULTS / RESULT).max(1),
            statements: Arc::new(Semaphore::new(memory / STATEMENTS)),
            kept_answers: memory / KEPT_ANSWERS,
        }
    }
}

/// Whether what a connection has not sent yet is to be thrown away when it closes. The machine goes on sending for
/// minutes otherwise: a start written while the engine was cut off would come, and run, long after it was given up.
#[derive(Clone, Debug, Default)]
pub struct Abandoned(Arc<AtomicBool>);

impl Abandoned {
    pub fn set(&self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Looked at right before each byte of a start leaves: nothing of it does once nobody waits for it any more. A batch may have
/// its answer while the connection for its dispatch is still coming up, or while the machine takes a long start in by parts;
/// an engine that got the rest would run what is over.
pub struct SendGate {
    may_begin: Box<dyn Fn() -> bool + Send + Sync>,
    wanted: Box<dyn Fn() -> bool + Send + Sync>,
    at: AtomicU8,
    /// Its first byte was let out.
    begun: AtomicBool,
}

/// Where a gate's start stands.
const NOT_BEGUN: u8 = 0;
/// It is being handed to the machine.
const LEAVING: u8 = 1;
/// Its last byte has been handed over to be written.
const READ_OUT: u8 = 2;
/// The machine has all of it.
const WHOLE: u8 = 3;
/// It was stopped before that, for good.
const STOPPED: u8 = 4;

impl std::fmt::Debug for SendGate {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "a gate at {}", self.at.load(Ordering::Relaxed))
    }
}

impl SendGate {
    /// `may_begin` tells whether its engine takes new dispatches; `wanted` whether somebody still waits for what is started.
    pub fn new(
        may_begin: impl Fn() -> bool + Send + Sync + 'static,
        wanted: impl Fn() -> bool + Send + Sync + 'static,
    ) -> Self {
        let (may_begin, wanted) = (Box::new(may_begin), Box::new(wanted));
        SendGate {
            may_begin,
            wanted,
            at: AtomicU8::new(NOT_BEGUN),
            begun: AtomicBool::new(false),
        }
    }

    fn moves(&self, from: u8, to: u8) -> bool {
        self.at
            .compare_exchange(from, to, Ordering::Relaxed, Ordering::Relaxed)
            .is_ok()
    }

    /// The start is handed over to be written, from now on.
    pub fn begins(&self) {
        self.moves(NOT_BEGUN, LEAVING);
    }

    /// The last byte of the start has been handed over to be written.
    pub fn read_out(&self) {
        self.moves(LEAVING, READ_OUT);
    }

    /// Other calls follow the start, answered or lost: none of them is held back for it.
    pub fn passed(&self) {
        if !self.is_stopped() {
            self.at.store(WHOLE, Ordering::Relaxed);
        }
    }

    /// All that was handed over has been written.
    fn flushed(&self) {
        self.moves(READ_OUT, WHOLE);
    }

    /// Whether a byte may leave. Once one may not, none of the start does any more.
    fn lets_out(&self) -> bool {
        match self.at.load(Ordering::Relaxed) {
            WHOLE => true,
            STOPPED => false,
            _ if (self.wanted)() && (self.begun.load(Ordering::Relaxed) || (self.may_begin)()) => {
                self.begun.store(true, Ordering::Relaxed);
                true
            }
            _ => {
                self.at.store(STOPPED, Ordering::Relaxed);
                false
            }
        }
    }

    /// Stops the start unless the machine has all of it; whether it can't have come whole, now or ever.
    pub fn stop(&self) -> bool {
        if self.at.load(Ordering::Relaxed) != WHOLE {
            self.at.store(STOPPED, Ordering::Relaxed);
        }
        self.is_stopped()
    }

    /// Whether it was stopped, so that it can't have come whole.
    pub fn is_stopped(&self) -> bool {
        self.at.load(Ordering::Relaxed) == STOPPED
    }
}

/// A TCP stream to an engine or the change log, with its part of the budget.
#[derive(Debug)]
pub struct BudgetedStream {
    io: TokioIo<Socket>,
    abandoned: Abandoned,
    /// Of the start that goes out on it.
    gate: Option<Arc<SendGate>>,
    stalled: Stalled,
    /// Its part of the budget, where no one else holds that.
    _permit: Option<OwnedSemaphorePermit>,
}

impl BudgetedStream {
    pub fn new(socket: Socket, permit: Option<OwnedSemaphorePermit>) -> Self {
        BudgetedStream {
            io: TokioIo::new(socket),
            abandoned: Abandoned::default(),
            gate: None,
            stalled: Stalled::default(),
            _permit: permit,
        }
    }

    /// For who gives the connection up while bytes may still be on their way.
    pub fn abandoned(&self) -> Abandoned {
        self.abandoned.clone()
    }

    /// Lets a start out only through this gate.
    pub fn gated(mut self, gate: Option<Arc<SendGate>>) -> Self {
        self.gate = gate;
        self
    }

    fn lets_out(&self) -> io::Result<()> {
        let given_up = self.abandoned.0.load(Ordering::Relaxed);
        match given_up || self.gate.as_ref().is_some_and(|gate| !gate.lets_out()) {
            true => Err(io::ErrorKind::ConnectionAborted.into()),
            false => Ok(()),
        }
    }
}

impl Drop for BudgetedStream {
    fn drop(&mut self) {
        if self.abandoned.0.load(Ordering::Relaxed) {
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
        self.lets_out()?;
        let end = Pin::new(&mut self.io).poll_write(cx, buf);
        self.stalled.bounded(cx, end)
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
        self.lets_out()?;
        let end = Pin::new(&mut self.io).poll_write_vectored(cx, bufs);
        self.stalled.bounded(cx, end)
    }
}

#[cfg(test)]
mod tests;
