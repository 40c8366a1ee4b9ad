//! A change log that serves each connection by a script: late, in pieces, at a rate, silent or reset.

use super::read_message;
use serde_json::Value;
use socket2::SockRef;
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, OnceLock, Weak};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

pub const HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
pub const COMMENT: &str = ":\n\n";
/// Set by the protocol: a comment is sent each second.
const COMMENT_PERIOD: Duration = Duration::from_secs(1);
/// Length of the pieces in which text is written at a given rate.
const RATE_PIECE: usize = 4 << 10;

/// Formats one event of the stream.
pub fn event_text(event: &Value) -> String {
    format!("id: {}\ndata: {event}\n\n", event["seq"])
}

/// Flags of `recv`: leave the data in the buffer, and don't block.
const MSG_PEEK: i32 = 0x02;
const MSG_DONTWAIT: i32 = 0x40;

/// Connections of readers to the log.
#[derive(Default)]
pub struct ReaderStatistics {
    connections: AtomicUsize,
    /// Every connection whose script still runs.
    accepted: Mutex<Vec<Weak<TcpStream>>>,
    first_accepted_at: OnceLock<Instant>,
}

impl ReaderStatistics {
    /// Connections accepted so far.
    pub fn accepted_connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }

    /// Connections that their reader has not closed, whatever the script does.
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

    /// When the first connection was accepted.
    pub fn first_accepted_at(&self) -> Option<Instant> {
        self.first_accepted_at.get().copied()
    }
}

/// One connection to the log whose request has been read and not answered.
pub struct Connection {
    stream: Arc<TcpStream>,
    /// Number of connections accepted before it.
    pub number: usize,
}

impl Connection {
    /// Writes a text, or nothing where the reader has closed.
    pub fn write(&self, text: &str) {
        let _ = (&*self.stream).write_all(text.as_bytes());
    }

    /// Writes a text in `pieces` pieces with a pause before each.
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

    /// Writes a comment each second until the reader closes.
    pub fn send_keepalives(&self) {
        while (&*self.stream).write_all(COMMENT.as_bytes()).is_ok() {
            sleep(COMMENT_PERIOD);
        }
    }

    /// Sends nothing until the reader closes.
    pub fn wait_for_close(&self) {
        let mut rest = [0; 64];
        while matches!((&*self.stream).read(&mut rest), Ok(read) if read > 0) {}
    }

    /// Resets the connection when the script ends.
    pub fn reset_on_end(&self) {
        SockRef::from(&*self.stream)
            .set_linger(Some(Duration::ZERO))
            .unwrap();
    }
}

/// A listening change log.
pub struct ScriptedChangeLog {
    pub address: SocketAddr,
    pub statistics: Arc<ReaderStatistics>,
}

impl ScriptedChangeLog {
    /// Runs the script for each connection on its own thread.
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
