//! A client's connection. It can be read ahead of who parses it: so a client that has left is noticed also behind bytes
//! that nobody has asked for yet, and what has come already is known before the connection is closed.

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
const AHEAD: usize = 8 << 10;
/// Looked at this often while more than that stands before a client's close; the protocol's 0.1 s for a client that has left
/// holds with it.
const LOOKS: Duration = Duration::from_millis(25);
/// Thrown away of what a client still sends, when its connection closes; more than any machine keeps unread for one.
const DISCARDED: usize = 8 << 20;

struct Held {
    io: TokioIo<Socket>,
    /// Read, but not asked for yet.
    ahead: BytesMut,
    /// How the client ended its side.
    end: Option<Result<(), io::ErrorKind>>,
    /// Something was read ahead that who parses has not been woken for.
    unheard: bool,
    /// When something was last read.
    read: Instant,
    /// Until the next look at a connection that can't be read further ahead.
    looks: Option<Pin<Box<Sleep>>>,
    stalled: WriteTimeout,
}

/// One client's connection, to be looked at from beside who parses it.
#[derive(Clone)]
pub struct Peer(Arc<Mutex<Held>>);

/// The same connection, as a stream of bytes to parse.
pub struct ClientStream(Peer);

impl Peer {
    pub fn new(stream: TcpStream) -> Peer {
        let held = Held {
            io: TokioIo::new(Socket::new(stream)),
            ahead: BytesMut::new(),
            end: None,
            unheard: false,
            read: Instant::now(),
            looks: None,
            stalled: WriteTimeout::default(),
        };
        Peer(Arc::new(Mutex::new(held)))
    }

    pub fn stream(&self) -> ClientStream {
        ClientStream(self.clone())
    }

    fn held(&self) -> MutexGuard<'_, Held> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// When something was last read of it.
    pub fn read_at(&self) -> Instant {
        self.held().read
    }

    /// Whether something has come that nobody has parsed. It reads what is there already, without a turn through the
    /// runtime's poll: that knows of a connection that has just been accepted one turn later, when what came after it on
    /// other connections has been read.
    pub fn has_unread(&self) -> bool {
        let mut held = self.held();
        held.read_now();
        !held.ahead.is_empty()
    }

    /// Whether the client has closed its side by now.
    pub fn has_left(&self) -> bool {
        let mut held = self.held();
        held.read_now();
        held.has_left()
    }

    /// Until the client has closed its side, while `waits` tells that it is waited for.
    pub async fn left(&self, waits: impl Fn() -> bool) {
        poll_fn(|cx| {
            if waits() {
                self.held().poll_left(cx)
            } else {
                Poll::Pending
            }
        })
        .await
    }

    /// Gives back what was read but not parsed.
    pub fn unread(&self, bytes: &Bytes) {
        let mut held = self.held();
        let after = std::mem::take(&mut held.ahead);
        held.ahead.extend_from_slice(bytes);
        held.ahead.extend_from_slice(&after);
    }

    /// Ends our side, after all that was written.
    pub fn shut(&self) {
        self.held().io.inner().shut();
    }

    /// Throws away what has come: closed over unread bytes, a connection is reset, which takes along what its client has not
    /// read yet.
    pub fn discard(&self) {
        let mut held = self.held();
        let mut left = DISCARDED;
        while left > 0 && held.end.is_none() {
            held.ahead.clear();
            held.read_now();
            if held.ahead.is_empty() {
                break;
            }
            left = left.saturating_sub(held.ahead.len());
        }
        held.ahead.clear();
    }
}

impl Held {
    fn took(&mut self, read: io::Result<usize>, bytes: &[u8]) -> bool {
        match read {
            Ok(0) => self.end = Some(Ok(())),
            Ok(n) => {
                (self.read, self.unheard) = (Instant::now(), true);
                self.ahead.extend_from_slice(&bytes[..n]);
                return true;
            }
            Err(fault) if fault.kind() == io::ErrorKind::WouldBlock => {}
            Err(fault) => self.end = Some(Err(fault.kind())),
        }
        false
    }

    /// Reads ahead what the machine has, as far as there is room.
    fn read_now(&mut self) {
        let mut bytes = [0; AHEAD];
        while self.end.is_none() && self.ahead.len() < AHEAD {
            let room = AHEAD - self.ahead.len();
            let read = self.io.inner().read_now(&mut bytes[..room]);
            if !self.took(read, &bytes) {
                return;
            }
        }
    }

    fn has_left(&self) -> bool {
        // Behind more than is read ahead only the machine's own word tells.
        self.end.is_some() || self.ahead.len() >= AHEAD && self.io.inner().is_read_closed()
    }

    fn poll_left(&mut self, cx: &mut Context) -> Poll<()> {
        loop {
            if self.has_left() {
                return Poll::Ready(());
            }
            if std::mem::take(&mut self.unheard) {
                cx.waker().wake_by_ref();
            }
            if self.ahead.len() >= AHEAD {
                let looks = self.looks.get_or_insert_with(|| Box::pin(sleep(LOOKS)));
                ready!(looks.as_mut().poll(cx));
                self.looks = None;
                continue;
            }
            let mut bytes = [0; AHEAD];
            let room = AHEAD - self.ahead.len();
            let read = ready!(self.io.inner().poll_read_bytes(cx, &mut bytes[..room]));
            self.took(read, &bytes);
        }
    }
}

impl Read for ClientStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context,
        mut buf: ReadBufCursor,
    ) -> Poll<io::Result<()>> {
        let mut held = self.0.held();
        if !held.ahead.is_empty() {
            let now = held.ahead.len().min(buf.remaining());
            buf.put_slice(&held.ahead[..now]);
            held.ahead.advance(now);
            return Poll::Ready(Ok(()));
        }
        if let Some(end) = held.end {
            return Poll::Ready(end.map_err(io::Error::from));
        }
        let end = ready!(Pin::new(&mut held.io).poll_read(cx, buf));
        held.read = Instant::now();
        Poll::Ready(end)
    }
}

impl Write for ClientStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        let mut held = self.0.held();
        let end = Pin::new(&mut held.io).poll_write(cx, buf);
        held.stalled.bounded(cx, end)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0.held().io).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0.held().io).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.0.held().io.is_write_vectored()
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context,
        bufs: &[io::IoSlice],
    ) -> Poll<io::Result<usize>> {
        let mut held = self.0.held();
        let end = Pin::new(&mut held.io).poll_write_vectored(cx, bufs);
        held.stalled.bounded(cx, end)
    }
}
