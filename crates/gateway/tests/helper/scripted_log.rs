//! A fake change log that serves each connection by a script. It can answer late, in pieces, at a limited rate or not
//! at all, and it can reset a connection.

use super::read_message;
use serde_json::Value;
use socket2::SockRef;
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, OnceLock, Weak};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// Response head of an event stream.
pub const HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
/// A comment of the event stream, which serves as a keep-alive.
pub const COMMENT: &str = ":\n\n";
/// Set by the protocol: the log sends a comment each second.
const COMMENT_PERIOD: Duration = Duration::from_secs(1);
/// Bytes of each write when a text is sent at a given rate.
const RATE_PIECE: usize = 4 << 10;

/// Formats an event as the stream carries it, with its number as id.
pub fn event_text(event: &Value) -> String {
    format!("id: {}\ndata: {event}\n\n", event["seq"])
}

/// Flags of `recv`: the data stays in the buffer, and the call does not block.
const MSG_PEEK: i32 = 0x02;
const MSG_DONTWAIT: i32 = 0x40;

/// Counts of the connections that readers have opened to the log.
#[derive(Default)]
pub struct ReaderStatistics {
    connections: AtomicUsize,
    /// Connections whose script has not ended.
    accepted: Mutex<Vec<Weak<TcpStream>>>,
    first_accepted_at: OnceLock<Instant>,
}

impl ReaderStatistics {
    /// Returns the number of connections accepted so far.
    pub fn accepted_connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }

    /// Returns the number of connections whose script has not ended and that the reader has not closed.
    pub fn open_connections(&self) -> usize {
        let is_open = |stream: &Weak<TcpStream>| {
            let Some(stream) = stream.upgrade() else {
                return false;
            };
            let mut byte = [std::mem::MaybeUninit::uninit(); 1];
            match SockRef::from(&*stream).recv_with_flags(&mut byte, MSG_PEEK | MSG_DONTWAIT) {
                Ok(read) => read > 0,
                Err(error) => error.kind() == ErrorKind::WouldBlock,
            }
        };
        let mut accepted = self.accepted.lock().unwrap();
        accepted.retain(is_open);
        accepted.len()
    }

    /// Returns when the first connection was accepted.
    pub fn first_accepted_at(&self) -> Option<Instant> {
        self.first_accepted_at.get().copied()
    }
}

/// A connection to the log. Its request has been read, and the script writes the response.
pub struct Connection {
    stream: Arc<TcpStream>,
    /// Number of connections that the log accepted before this one.
    pub number: usize,
}

impl Connection {
    /// Writes a text, or nothing where the reader has closed the connection.
    pub fn write(&self, text: &str) {
        let _ = (&*self.stream).write_all(text.as_bytes());
    }

    /// Writes a text in `pieces` parts with a pause before each.
    pub fn write_in_pieces(&self, text: &str, pieces: usize, pause: Duration) {
        for piece in text.as_bytes().chunks(text.len().div_ceil(pieces)) {
            sleep(pause);
            let _ = (&*self.stream).write_all(piece);
        }
    }

    /// Writes a text at `rate` bytes per second.
    pub fn write_at_rate(&self, text: &str, rate: usize) {
        let began = Instant::now();
        for (number, piece) in text.as_bytes().chunks(RATE_PIECE).enumerate() {
            let due = Duration::from_secs_f64((number * RATE_PIECE) as f64 / rate as f64);
            sleep(due.saturating_sub(began.elapsed()));
            if (&*self.stream).write_all(piece).is_err() {
                return;
            }
        }
    }

    /// Sends a comment each second until the reader closes the connection.
    pub fn send_keepalives(&self) {
        while (&*self.stream).write_all(COMMENT.as_bytes()).is_ok() {
            sleep(COMMENT_PERIOD);
        }
    }

    /// Sends nothing, and returns when the reader has closed the connection.
    pub fn wait_for_close(&self) {
        let mut rest = [0; 64];
        while matches!((&*self.stream).read(&mut rest), Ok(read) if read > 0) {}
    }

    /// Makes the end of the script reset the connection instead of closing it.
    pub fn reset_on_end(&self) {
        SockRef::from(&*self.stream)
            .set_linger(Some(Duration::ZERO))
            .unwrap();
    }
}

/// A fake change log that runs a script for each connection.
pub struct ScriptedChangeLog {
    pub address: SocketAddr,
    pub statistics: Arc<ReaderStatistics>,
}

impl ScriptedChangeLog {
    /// Starts a log that runs `script` for each connection on a thread of its own.
    pub fn start(script: impl Fn(&Connection) + Send + Sync + 'static) -> ScriptedChangeLog {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let log = ScriptedChangeLog {
            address: listener.local_addr().unwrap(),
            statistics: Arc::default(),
        };
        let (statistics, script) = (log.statistics.clone(), Arc::new(script));
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let number = statistics.connections.fetch_add(1, Ordering::Relaxed);
                let stream = Arc::new(stream);
                statistics
                    .accepted
                    .lock()
                    .unwrap()
                    .push(Arc::downgrade(&stream));
                statistics.first_accepted_at.get_or_init(Instant::now);
                let script = script.clone();
                spawn(move || {
                    stream.set_nodelay(true).unwrap();
                    if read_message(&mut BufReader::new(&*stream)).is_some() {
                        script(&Connection { stream, number });
                    }
                });
            }
        });
        log
    }
}
