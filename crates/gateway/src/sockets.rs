//! The budget of descriptors and memory, and the stream that holds a part of it for as long as it is open.

use crate::rows;
use bytes::Bytes;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::future::Future;
use std::io::{self, Read as _};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{sleep, Sleep};

/// Descriptors kept back: standard streams, the listener, the runtime's own, the change log.
const OWN: usize = 24;
/// One in so many descriptors is kept for clients' connections over their third.
const SPARE: usize = 16;

/// One in so many bytes of the told memory is for statements, and one in so many for results in hand; the rest is
/// for the program, the buffers of connections and what an allocator can't give back.
const STATEMENTS: usize = 8;
const RESULTS: usize = 4;
/// A result in hand: its pages, and the answer made of them.
const RESULT: usize = 2 * rows::RESULT;

/// A write that nothing is read of for this long ends the connection: far above any client's patience with
/// its own network.
const STALLED: Duration = Duration::from_secs(10);

/// Parts of the told limit that may be open at once.
#[derive(Clone, Debug)]
pub struct Budget {
    pub clients: Arc<Semaphore>,
    pub engines: Arc<Semaphore>,
    /// Batches that clients' connections and the memory can hold at once.
    pub room: usize,
    /// Bytes of statements that may be in hand at once.
    pub statements: Arc<Semaphore>,
}

impl Budget {
    /// A third for clients, as the protocol has it, and some for those that close as others come: the machine
    /// accepts a connection whether or not we do, and what comes on it is owed an answer. The rest, less our
    /// own, for engines.
    pub fn of(limit: usize, memory_mb: usize) -> Self {
        let memory = memory_mb << 20;
        let clients = limit / 3 + limit / SPARE + 1;
        let engines = limit.saturating_sub(clients + OWN).max(1);
        Budget {
            clients: Arc::new(Semaphore::new(clients)),
            engines: Arc::new(Semaphore::new(engines)),
            room: (limit / 3).min(memory / RESULTS / RESULT).max(1),
            statements: Arc::new(Semaphore::new(memory / STATEMENTS)),
        }
    }
}

/// Read of a new connection at once: a head and a statement of the usual length.
const FIRST: usize = 8 << 10;

/// When something was last read from a connection.
#[derive(Clone, Debug)]
pub struct LastRead(Arc<Mutex<Instant>>);

impl LastRead {
    pub fn at(&self) -> Instant {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set(&self) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = Instant::now();
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

/// A TCP stream with its part of the budget; it stamps what it reads before anything parses it.
#[derive(Debug)]
pub struct Line {
    io: TokioIo<TcpStream>,
    /// What had come before the runtime could tell so.
    first: Bytes,
    read: LastRead,
    abandoned: Abandoned,
    stalled: Option<Pin<Box<Sleep>>>,
    /// Its part of the budget, where no one else holds that.
    _permit: Option<OwnedSemaphorePermit>,
}

impl Line {
    pub fn new(stream: TcpStream, permit: Option<OwnedSemaphorePermit>) -> Self {
        if let Err(fault) = stream.set_nodelay(true) {
            tracing::debug!(%fault, "no-delay not set");
        }
        let read = LastRead(Arc::new(Mutex::new(Instant::now())));
        Line {
            io: TokioIo::new(stream),
            first: Bytes::new(),
            read,
            abandoned: Abandoned::default(),
            stalled: None,
            _permit: permit,
        }
    }

    /// Reads what has come already, without a turn through the runtime's poll: a connection that has just been accepted
    /// is known there as readable one turn later, when what came after it on other connections has been read.
    pub fn read_at_once(&mut self) {
        let mut first = vec![0; FIRST];
        // What fails here fails again when it is polled.
        let read = (&*SockRef::from(self.io.inner())).read(&mut first).unwrap_or_default();
        first.truncate(read);
        self.first = first.into();
    }

    /// For who gives the connection up while bytes may still be on their way.
    pub fn abandoned(&self) -> Abandoned {
        self.abandoned.clone()
    }

    pub fn last_read(&self) -> LastRead {
        self.read.clone()
    }

    /// Lets no write wait for ever.
    fn bounded(&mut self, cx: &mut Context, end: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if end.is_ready() {
            self.stalled = None;
            return end;
        }
        let stalled = self.stalled.get_or_insert_with(|| Box::pin(sleep(STALLED)));
        stalled.as_mut().poll(cx).map(|()| Err(io::ErrorKind::TimedOut.into()))
    }
}

impl Drop for Line {
    fn drop(&mut self) {
        if self.abandoned.0.load(Ordering::Relaxed) {
            // Where it can't be set the connection closes as others do.
            let _ = SockRef::from(self.io.inner()).set_linger(Some(Duration::ZERO));
        }
    }
}

impl Read for Line {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, mut buf: ReadBufCursor) -> Poll<io::Result<()>> {
        let end = match self.first.is_empty() {
            true => Pin::new(&mut self.io).poll_read(cx, buf),
            false => {
                let now = self.first.len().min(buf.remaining());
                buf.put_slice(&self.first.split_to(now));
                Poll::Ready(Ok(()))
            }
        };
        if matches!(end, Poll::Ready(Ok(()))) {
            self.read.set();
        }
        end
    }
}

impl Write for Line {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        let end = Pin::new(&mut self.io).poll_write(cx, buf);
        self.bounded(cx, end)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
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
        let end = Pin::new(&mut self.io).poll_write_vectored(cx, bufs);
        self.bounded(cx, end)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_room_for_batches_is_what_both_descriptors_and_memory_can_hold() {
        assert_eq!(Budget::of(256, 192).room, 85);
        let little = Budget::of(1024, 32);
        assert_eq!(little.room, 87, "of 341 that the descriptors could hold");
        let held = little.room * RESULT + little.statements.available_permits();
        assert!(held < 20 << 20, "{held} bytes of 32 MB");
    }
}
