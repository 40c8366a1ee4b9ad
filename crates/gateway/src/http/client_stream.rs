//! Connection stage: a client's byte stream, read ahead of the HTTP parser. So a closed connection is noticed behind bytes
//! that nobody has parsed yet, and what has arrived is known before the connection is closed.

use crate::system::socket::Socket;
use crate::system::write_timeout::WriteTimeout;
use bytes::{Buf, Bytes, BytesMut};
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use std::future::{poll_fn, Future};
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{ready, Context, Poll};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::time::{sleep, Sleep};

/// Read ahead at most: a head and a statement of the usual length.
const READ_AHEAD_BYTES: usize = 8 << 10;
/// Between two checks for a close behind more bytes than are read ahead. Protocol: a closed connection is noticed within
/// 100 ms.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Discarded at most when a connection closes; more than a kernel buffers unread for one connection.
const MAX_DISCARDED_BYTES: usize = 8 << 20;

/// How a client ended its side of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StreamEnd {
    /// In order.
    Closed,
    /// By an error of this kind.
    Failed(io::ErrorKind),
}

/// What a read from a connection brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadOutcome {
    /// Bytes.
    Received,
    /// None: nothing has arrived, or the client has ended its side.
    Nothing,
}

struct StreamState {
    io: TokioIo<Socket>,
    /// Read, but not yet taken by the parser.
    read_ahead: BytesMut,
    /// How the client ended its side, once it has.
    end: Option<StreamEnd>,
    /// Bytes were read ahead since the connection's task was last woken to parse.
    parser_needs_wake: bool,
    last_read_at: Instant,
    /// Until the next check of a connection that can't be read further ahead.
    close_check: Option<Pin<Box<Sleep>>>,
    write_timeout: WriteTimeout,
}

/// A shared handle to a client's stream, to look at it from outside the HTTP parser.
#[derive(Clone)]
pub struct StreamHandle(Arc<Mutex<StreamState>>);

/// A client's stream as the HTTP parser reads and writes it.
pub struct ClientStream(StreamHandle);

impl StreamHandle {
    /// Takes over an accepted connection.
    pub fn new(stream: TcpStream) -> StreamHandle {
        StreamHandle(Arc::new(Mutex::new(StreamState {
            io: TokioIo::new(Socket::new(stream)),
            read_ahead: BytesMut::new(),
            end: None,
            parser_needs_wake: false,
            last_read_at: Instant::now(),
            close_check: None,
            write_timeout: WriteTimeout::default(),
        })))
    }

    /// The stream for a parser; one parser at a time may use it.
    pub fn stream(&self) -> ClientStream {
        ClientStream(self.clone())
    }

    fn state(&self) -> MutexGuard<'_, StreamState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// When bytes were last read from the connection.
    pub fn last_read_at(&self) -> Instant {
        self.state().last_read_at
    }

    /// Reads what the kernel has, as far as the read-ahead buffer has space. It does not wait for the runtime to report
    /// readiness: for a connection that was just accepted that report is one turn late, after later bytes on other
    /// connections were read.
    pub fn read_available(&self) {
        self.state().read_available();
    }

    /// Whether bytes have arrived that nobody has parsed.
    pub fn has_unparsed_bytes(&self) -> bool {
        let mut state = self.state();
        state.read_available();
        !state.read_ahead.is_empty()
    }

    /// Whether the client has closed its side by now.
    pub fn is_closed_by_client(&self) -> bool {
        let mut state = self.state();
        state.read_available();
        state.is_closed_by_client()
    }

    /// Completes when the client has closed its side; checked only while `is_watched` holds.
    pub async fn closed_by_client(&self, is_watched: impl Fn() -> bool) {
        poll_fn(|cx| {
            if is_watched() {
                self.state().poll_closed_by_client(cx)
            } else {
                Poll::Pending
            }
        })
        .await
    }

    /// Puts bytes that the parser took but did not parse back before those read ahead.
    pub fn unread(&self, bytes: &Bytes) {
        let mut state = self.state();
        let later = std::mem::take(&mut state.read_ahead);
        state.read_ahead.extend_from_slice(bytes);
        state.read_ahead.extend_from_slice(&later);
    }

    /// Closes our side, after all that was written.
    pub fn shut_down_write(&self) {
        self.state().io.inner().shut_down_write();
    }

    /// Discards what has arrived: the kernel resets a connection that is closed over unread bytes, and the client loses the
    /// response that it has not read yet.
    pub fn discard_received(&self) {
        let mut state = self.state();
        let mut remaining = MAX_DISCARDED_BYTES;
        while remaining > 0 && state.end.is_none() {
            state.read_ahead.clear();
            state.read_available();
            if state.read_ahead.is_empty() {
                break;
            }
            remaining = remaining.saturating_sub(state.read_ahead.len());
        }
        state.read_ahead.clear();
    }
}

impl StreamState {
    /// Takes in the result of a read into `buffer`.
    fn record_read(&mut self, result: io::Result<usize>, buffer: &[u8]) -> ReadOutcome {
        match result {
            Ok(0) => self.end = Some(StreamEnd::Closed),
            Ok(count) => {
                self.last_read_at = Instant::now();
                self.parser_needs_wake = true;
                self.read_ahead.extend_from_slice(&buffer[..count]);
                return ReadOutcome::Received;
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => self.end = Some(StreamEnd::Failed(error.kind())),
        }
        ReadOutcome::Nothing
    }

    fn is_read_ahead_full(&self) -> bool {
        self.read_ahead.len() >= READ_AHEAD_BYTES
    }

    /// Reads what the kernel has, until it would block or the read-ahead buffer is full.
    fn read_available(&mut self) {
        let mut buffer = [0; READ_AHEAD_BYTES];
        while self.end.is_none() && !self.is_read_ahead_full() {
            let free = READ_AHEAD_BYTES - self.read_ahead.len();
            let result = self.io.inner().read_now(&mut buffer[..free]);
            if self.record_read(result, &buffer) == ReadOutcome::Nothing {
                return;
            }
        }
    }

    fn is_closed_by_client(&self) -> bool {
        // Behind more bytes than are read ahead only the kernel's readiness shows a close.
        self.end.is_some() || self.is_read_ahead_full() && self.io.inner().is_read_closed()
    }

    fn poll_closed_by_client(&mut self, cx: &mut Context) -> Poll<()> {
        loop {
            if self.is_closed_by_client() {
                return Poll::Ready(());
            }
            if std::mem::take(&mut self.parser_needs_wake) {
                cx.waker().wake_by_ref();
            }
            if self.is_read_ahead_full() {
                ready!(self.poll_close_check(cx));
                continue;
            }
            let mut buffer = [0; READ_AHEAD_BYTES];
            let free = READ_AHEAD_BYTES - self.read_ahead.len();
            let result = ready!(self.io.inner().poll_read_bytes(cx, &mut buffer[..free]));
            self.record_read(result, &buffer);
        }
    }

    /// Ready when the next check for a close is due.
    fn poll_close_check(&mut self, cx: &mut Context) -> Poll<()> {
        let close_check = self
            .close_check
            .get_or_insert_with(|| Box::pin(sleep(CLOSE_CHECK_INTERVAL)));
        ready!(close_check.as_mut().poll(cx));
        self.close_check = None;
        Poll::Ready(())
    }
}

impl Read for ClientStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context,
        mut buffer: ReadBufCursor,
    ) -> Poll<io::Result<()>> {
        let mut state = self.0.state();
        if !state.read_ahead.is_empty() {
            let count = state.read_ahead.len().min(buffer.remaining());
            buffer.put_slice(&state.read_ahead[..count]);
            state.read_ahead.advance(count);
            return Poll::Ready(Ok(()));
        }
        match state.end {
            Some(StreamEnd::Closed) => return Poll::Ready(Ok(())),
            Some(StreamEnd::Failed(kind)) => return Poll::Ready(Err(kind.into())),
            None => {}
        }
        let result = ready!(Pin::new(&mut state.io).poll_read(cx, buffer));
        state.last_read_at = Instant::now();
        Poll::Ready(result)
    }
}

impl Write for ClientStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let mut state = self.0.state();
        let result = Pin::new(&mut state.io).poll_write(cx, bytes);
        state.write_timeout.bounded(cx, result)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0.state().io).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0.state().io).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.0.state().io.is_write_vectored()
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context,
        buffers: &[io::IoSlice],
    ) -> Poll<io::Result<usize>> {
        let mut state = self.0.state();
        let result = Pin::new(&mut state.io).poll_write_vectored(cx, buffers);
        state.write_timeout.bounded(cx, result)
    }
}
