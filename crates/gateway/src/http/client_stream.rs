//! Connection stage: reads a client's byte stream ahead of the HTTP parser.
//!
//! The read-ahead detects that the client has closed the connection even if unparsed bytes precede the close. It also
//! shows whether unparsed bytes have arrived before the gateway closes the connection, and whether bytes stand behind an
//! open request.

mod arrival_time;
mod request_framing;
mod response_progress;
mod waiting_client;

pub use arrival_time::{AcceptDelay, ArrivalTime};
pub(super) use response_progress::ResponseProgress;

use crate::system::os_error;
use crate::system::socket::Socket;
use crate::system::write_timeout::WriteTimeout;
use bytes::{Buf, Bytes, BytesMut};
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use request_framing::{is_surplus, RequestFraming};
use std::future::{poll_fn, Future};
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{ready, Context, Poll, Waker};
use std::time::{Duration, Instant};
use tokio::time::{sleep, Sleep};
use waiting_client::WeakStreamHandle;

/// Size of the read-ahead buffer in bytes: enough for a request head and a statement of the usual length.
const READ_AHEAD_BYTES: usize = 8 << 10;
/// Interval between checks for a close by the client while the read-ahead buffer is full. The protocol requires that a
/// closed connection is detected within 100 ms.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Number of bytes after which a closing connection stops discarding; more than the kernel buffers for one connection.
const MAX_DISCARDED_BYTES: usize = 8 << 20;

/// End of the client's side of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StreamEnd {
    /// The client closed its write side.
    Closed,
    /// Reading failed with an error of this kind.
    Failed(io::ErrorKind),
}

/// Result of one read from a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadOutcome {
    /// Bytes were read.
    Received,
    /// No bytes were read: none have arrived, or the client has ended its side.
    Nothing,
    /// The read failed for a reason that says nothing of the connection.
    Unknown,
}

/// Whether the client of a connection has ended its side.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientState {
    /// The client may still send, and waits for its answers.
    Connected,
    /// The client has ended its side, and waits for no answer.
    Left,
    /// Reads from the connection fail for a reason that says nothing of it.
    Unknown,
}

struct StreamState {
    io: TokioIo<Socket>,
    /// Bytes that were read from the socket and that the parser has not taken.
    read_ahead: BytesMut,
    /// Set once the client has ended its side.
    end: Option<StreamEnd>,
    /// Whether bytes were read ahead since the connection's task was last woken to parse.
    parser_needs_wake: bool,
    last_read_at: Instant,
    /// Time at which no bytes of the client were unread.
    nothing_unread_at: Instant,
    /// Time after which the newest bytes that were read arrived.
    arrived_after: Instant,
    /// Time since which the connection may have waited in the accept queue.
    accept_delayed_since: Option<Instant>,
    /// Whether a request, or a part of one, is still to be received. False from when a request was received whole until
    /// its response is ready.
    awaits_request: bool,
    /// Number of the connection in the log; 0 until it is registered.
    connection: u64,
    response_progress: ResponseProgress,
    framing: RequestFraming,
    /// Whether the parser was polled since the last bytes were read ahead, so that it could have taken them.
    is_offered: bool,
    /// Wakes the task that serves the connection. `None` before it has waited for the client.
    task: Option<Waker>,
    /// Timer until the next check for a close by the client; set while the read-ahead buffer is full.
    close_check: Option<Pin<Box<Sleep>>>,
    write_timeout: WriteTimeout,
    /// Whether the last write is to be repeated once the connection takes more bytes.
    write_is_pending: bool,
}

/// Shared handle to a client's stream, for use outside the HTTP parser.
#[derive(Clone)]
pub struct StreamHandle(Arc<Mutex<StreamState>>);

/// Client's stream as the HTTP parser reads and writes it.
pub struct ClientStream(StreamHandle);

impl StreamHandle {
    /// Wraps an accepted connection.
    pub fn new(socket: Socket, delay: AcceptDelay) -> StreamHandle {
        StreamHandle(Arc::new(Mutex::new(StreamState {
            io: TokioIo::new(socket),
            read_ahead: BytesMut::new(),
            end: None,
            parser_needs_wake: false,
            last_read_at: Instant::now(),
            nothing_unread_at: delay.queue_empty_at,
            arrived_after: delay.queue_empty_at,
            accept_delayed_since: delay.delayed_since,
            awaits_request: true,
            connection: 0,
            response_progress: ResponseProgress::NoRequest,
            framing: RequestFraming::START,
            is_offered: true,
            task: None,
            close_check: None,
            write_timeout: WriteTimeout::default(),
            write_is_pending: false,
        })))
    }

    /// Returns a handle that asks whether the client has left, and does not keep the connection open.
    pub fn downgrade(&self) -> WeakStreamHandle {
        WeakStreamHandle::new(&self.0)
    }

    /// Returns the stream for an HTTP parser. Only one parser may use the stream at a time.
    pub fn stream(&self) -> ClientStream {
        ClientStream(self.clone())
    }

    fn state(&self) -> MutexGuard<'_, StreamState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns when bytes were last read from the connection; at first, when the handle was created.
    pub fn last_read_at(&self) -> Instant {
        self.state().last_read_at
    }

    /// Returns when bytes were last read from the connection, or, if they may have waited in the accept queue meanwhile,
    /// the time since which they may have.
    pub fn earliest_read_at(&self) -> Instant {
        let state = self.state();
        let delayed_since = state.accept_delayed_since.unwrap_or(state.last_read_at);
        state.last_read_at.min(delayed_since)
    }

    /// Returns when the newest bytes of the connection arrived. They may have waited unread, for example while this
    /// process had no processor time. If the system does not tell, the bounds are when bytes were last read, and when
    /// none were unread before.
    pub fn arrived_at(&self) -> ArrivalTime {
        let state = self.state();
        let now = Instant::now();
        let age = state.io.inner().time_since_last_arrival();
        if let Err(error) = &age {
            tracing::debug!(%error, connection = state.connection, "time of arrival unknown");
        }
        match age.ok().and_then(|age| now.checked_sub(age)) {
            Some(at) => {
                // Bytes that were read had arrived by then; the system may tell of later ones.
                let at = at.min(state.last_read_at);
                ArrivalTime {
                    earliest: at,
                    latest: at,
                }
            }
            None => ArrivalTime {
                earliest: state.arrived_after,
                latest: state.last_read_at,
            },
        }
    }

    /// Sets the number of the connection in the log.
    pub fn set_connection(&self, number: u64) {
        self.state().connection = number;
    }

    /// Returns the number of the connection in the log.
    pub fn connection(&self) -> u64 {
        self.state().connection
    }

    /// Records that a request was passed to its handler. Its body has `body_bytes` bytes; `None` if it declares no
    /// length.
    pub fn request_started(&self, body_bytes: Option<u64>) {
        let mut state = self.state();
        state.response_progress = ResponseProgress::Due;
        state.framing.record_request(body_bytes);
    }

    /// Whether bytes have arrived behind the open request that begin no further one, so that its length is too short.
    /// Reads from the socket first. Always false until the request has been read to its end.
    pub fn has_surplus(&self) -> bool {
        let mut state = self.state();
        state.read_available();
        state.has_surplus()
    }

    /// Completes once [`has_surplus`](Self::has_surplus). Must be polled by the task that serves the connection: it reads
    /// ahead while a request is open, and is woken by what arrives.
    pub async fn surplus(&self) {
        poll_fn(|_| match self.state().has_surplus() {
            true => Poll::Ready(()),
            false => Poll::Pending,
        })
        .await
    }

    /// Whether bytes wait to be written. The HTTP parser may be done all the same.
    pub(super) fn is_write_pending(&self) -> bool {
        self.state().write_is_pending
    }

    /// Returns the progress of the response to the last request.
    pub(super) fn response_progress(&self) -> ResponseProgress {
        self.state().response_progress
    }

    /// Completes when bytes have arrived that the parser has not taken, or the client has ended its side.
    pub async fn received(&self) {
        poll_fn(|cx| self.state().poll_received(cx)).await
    }

    /// Records that a request was received whole: bytes that follow are not awaited until its response is ready.
    pub fn request_received(&self) {
        self.state().awaits_request = false;
    }

    /// Records that the response to the open request is ready: the next request is awaited.
    pub fn response_ready(&self) {
        let mut state = self.state();
        state.awaits_request = true;
        state.accept_delayed_since = None;
        state.framing.record_response();
        // By the protocol, a client sends one request at a time.
        if state.read_ahead.is_empty() {
            state.nothing_unread_at = Instant::now();
        }
    }

    /// Whether bytes of an awaited request have arrived that the parser was not polled for. Reads from the socket first,
    /// and wakes the connection's task for such bytes: the system reports a socket readable only while it holds bytes.
    /// Bytes that the parser leaves, such as those of a pipelined request, do not count.
    pub fn has_unread_request(&self) -> bool {
        let mut state = self.state();
        if !state.awaits_request {
            return false;
        }
        state.read_available();
        if state.is_offered {
            return false;
        }
        state.wake_task();
        true
    }

    /// Reads the bytes that the kernel holds, as far as the read-ahead buffer has space. Reads even if the runtime has
    /// not reported the socket readable yet: for a connection just accepted, that report comes one turn of the event
    /// loop later.
    pub fn read_available(&self) {
        self.state().read_available();
    }

    /// Whether bytes have arrived that the parser has not taken, or may have since reads fail. Reads from the socket first.
    pub fn may_have_unparsed_bytes(&self) -> bool {
        let mut state = self.state();
        let outcome = state.read_available();
        !state.read_ahead.is_empty() || outcome == ReadOutcome::Unknown
    }

    /// Whether the client has ended its side of the connection. Reads from the socket first.
    pub fn client_state(&self) -> ClientState {
        self.state().client_state()
    }

    /// Completes when the client has ended its side of the connection. The stream is checked only in polls in which
    /// `is_watched` returns true. The parser must be polled before.
    pub async fn closed_by_client(&self, is_watched: impl Fn() -> bool) {
        poll_fn(|cx| {
            let is_watched = is_watched();
            let mut state = self.state();
            state.is_offered = true;
            state.set_task(cx.waker());
            if is_watched {
                state.poll_closed_by_client(cx)
            } else {
                Poll::Pending
            }
        })
        .await
    }

    /// Puts bytes that the parser took but did not parse back in front of the read-ahead buffer.
    pub fn unread(&self, bytes: &Bytes) {
        let mut state = self.state();
        let later = std::mem::take(&mut state.read_ahead);
        state.read_ahead.extend_from_slice(bytes);
        state.read_ahead.extend_from_slice(&later);
        state.framing = RequestFraming::START;
    }

    /// Shuts down the gateway's write side of the connection; bytes already written are still sent. No further request
    /// is told from what the client still sends.
    pub fn shut_down_write(&self) {
        let mut state = self.state();
        state.framing = RequestFraming::Unframed;
        state.io.inner().shut_down_write();
    }

    /// Reads and discards the bytes that have arrived, up to about 8 MiB. The kernel resets a connection that is closed
    /// while bytes are unread, and the client would lose a response that it has not read yet.
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
    /// Updates the state with the result of a read into `buffer`.
    fn record_read(&mut self, result: io::Result<usize>, buffer: &[u8]) -> ReadOutcome {
        match result {
            Ok(0) => self.end = Some(StreamEnd::Closed),
            Ok(count) => {
                self.last_read_at = Instant::now();
                self.parser_needs_wake = true;
                self.arrived_after = self.nothing_unread_at;
                self.is_offered = false;
                self.read_ahead.extend_from_slice(&buffer[..count]);
                return ReadOutcome::Received;
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) if os_error::says_nothing_of_connection(&error) => {
                return ReadOutcome::Unknown;
            }
            Err(error) => self.end = Some(StreamEnd::Failed(error.kind())),
        }
        ReadOutcome::Nothing
    }

    fn wake_task(&self) {
        if let Some(task) = &self.task {
            task.wake_by_ref();
        }
    }

    fn set_task(&mut self, task: &Waker) {
        if !self
            .task
            .as_ref()
            .is_some_and(|known| known.will_wake(task))
        {
            self.task = Some(task.clone());
        }
    }

    fn has_surplus(&self) -> bool {
        self.framing.is_request_complete() && is_surplus(&self.read_ahead)
    }

    fn is_read_ahead_full(&self) -> bool {
        self.read_ahead.len() >= READ_AHEAD_BYTES
    }

    /// Reads the bytes that the kernel holds, until a read would block or the read-ahead buffer is full. Returns the
    /// result of the last read.
    fn read_available(&mut self) -> ReadOutcome {
        let mut buffer = [0; READ_AHEAD_BYTES];
        while self.end.is_none() && !self.is_read_ahead_full() {
            let free = READ_AHEAD_BYTES - self.read_ahead.len();
            let called_at = Instant::now();
            let result = self.io.inner().read_now(&mut buffer[..free]);
            if matches!(&result, Err(error) if error.kind() == io::ErrorKind::WouldBlock) {
                self.nothing_unread_at = called_at;
            }
            match self.record_read(result, &buffer) {
                ReadOutcome::Received => {}
                outcome => return outcome,
            }
        }
        ReadOutcome::Received
    }

    fn client_state(&mut self) -> ClientState {
        let outcome = self.read_available();
        if self.is_closed_by_client() {
            return ClientState::Left;
        }
        match outcome {
            ReadOutcome::Received | ReadOutcome::Nothing => ClientState::Connected,
            ReadOutcome::Unknown => ClientState::Unknown,
        }
    }

    fn is_closed_by_client(&self) -> bool {
        // While the read-ahead buffer is full, reads cannot reach the end of the stream; only the kernel reports the
        // close.
        self.end.is_some() || self.is_read_ahead_full() && self.io.inner().is_read_closed()
    }

    fn poll_received(&mut self, cx: &mut Context) -> Poll<()> {
        while self.read_ahead.is_empty() && self.end.is_none() {
            let mut buffer = [0; READ_AHEAD_BYTES];
            let result = ready!(self.io.inner().poll_read_bytes(cx, &mut buffer));
            self.record_read(result, &buffer);
        }
        Poll::Ready(())
    }

    /// Gives the parser the bytes of the read-ahead buffer that belong to the part of the request that it reads. Pending
    /// while the buffer has only bytes behind the open request: the parser is polled again once its response is ready.
    fn read_parsable(&mut self, buffer: &mut ReadBufCursor) -> Poll<io::Result<()>> {
        let count = self.read_ahead.len().min(buffer.remaining());
        let readable = self.framing.readable(&self.read_ahead[..count]);
        if readable == 0 {
            return Poll::Pending;
        }
        let bytes = &self.read_ahead[..readable];
        self.framing.record_read(bytes);
        buffer.put_slice(bytes);
        self.read_ahead.advance(readable);
        if self.read_ahead.is_empty() {
            // An idle connection holds no buffer.
            self.read_ahead = BytesMut::new();
        }
        Poll::Ready(Ok(()))
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

    /// Becomes ready when the next check for a close by the client is due.
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
        state.is_offered = true;
        ready!(state.poll_received(cx));
        state.is_offered = true;
        state.parser_needs_wake = false;
        if !state.read_ahead.is_empty() {
            return state.read_parsable(&mut buffer);
        }
        match state.end {
            Some(StreamEnd::Failed(kind)) => Poll::Ready(Err(kind.into())),
            Some(StreamEnd::Closed) | None => Poll::Ready(Ok(())),
        }
    }
}

impl Write for ClientStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let mut state = self.0.state();
        let result = Pin::new(&mut state.io).poll_write(cx, bytes);
        state.write_is_pending = result.is_pending();
        state.response_progress.record_write(&result);
        state.write_timeout.apply(cx, result)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        let mut state = self.0.state();
        let result = Pin::new(&mut state.io).poll_flush(cx);
        if let Poll::Ready(Ok(())) = &result {
            state.response_progress.record_flush();
        }
        result
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
        state.write_is_pending = result.is_pending();
        state.response_progress.record_write(&result);
        state.write_timeout.apply(cx, result)
    }
}

#[cfg(test)]
pub mod test_streams;
#[cfg(test)]
mod tests;
