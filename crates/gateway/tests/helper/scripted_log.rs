//! A change log of which each connection is played by a script: late, in pieces, at a rate, silent or reset.

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
/// The protocol's: a comment comes each second.
const COMMENT_PERIOD: Duration = Duration::from_secs(1);
/// Bytes that are written at the given rate go out in pieces of this length.
const RATE_PIECE: usize = 4 << 10;

/// One event as it goes over the stream.
pub fn event_text(event: &Value) -> String {
    format!("id: {}\ndata: {event}\n\n", event["seq"])
}

/// Flags of `recv`: look without taking, and don't wait.
const MSG_PEEK: i32 = 0x02;
const MSG_DONTWAIT: i32 = 0x40;

/// What the log has seen of its readers.
#[derive(Default)]
pub struct Seen {
    connections: AtomicUsize,
    /// Every connection whose script still runs, for a look at whether its reader has it open.
    accepted: Mutex<Vec<Weak<TcpStream>>>,
    first: OnceLock<Instant>,
}

impl Seen {
    /// Connections accepted so far.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }

    /// Connections that their reader has open now, whatever the script does meanwhile.
    pub fn open(&self) -> usize {
        let is_open = |stream: &Weak<TcpStream>| {
            let Some(stream) = stream.upgrade() else {
                return false;
            };
            let mut byte = [std::mem::MaybeUninit::uninit(); 1];
            match SockRef::from(&*stream).recv_with_flags(&mut byte, MSG_PEEK | MSG_DONTWAIT) {
                Ok(read) => read > 0,
                Err(fault) => fault.kind() == ErrorKind::WouldBlock,
            }
        };
        let mut accepted = self.accepted.lock().unwrap();
        accepted.retain(is_open);
        accepted.len()
    }

    /// When the first connection came.
    pub fn first(&self) -> Option<Instant> {
        self.first.get().copied()
    }
}

/// One connection to the log, its call read and nothing answered yet.
pub struct Connection {
    stream: Arc<TcpStream>,
    /// How many connections came before it.
    pub number: usize,
}

impl Connection {
    /// Writes a text, or nothing where the reader has closed.
    pub fn write(&self, text: &str) {
        let _ = (&*self.stream).write_all(text.as_bytes());
    }

    /// Writes a text in so many pieces with a pause before each.
    pub fn write_in_pieces(&self, text: &str, pieces: usize, pause: Duration) {
        for piece in text.as_bytes().chunks(text.len().div_ceil(pieces)) {
            sleep(pause);
            let _ = (&*self.stream).write_all(piece);
        }
    }

    /// Writes a text at so many bytes a second.
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
    pub fn lives_on(&self) {
        while (&*self.stream).write_all(COMMENT.as_bytes()).is_ok() {
            sleep(COMMENT_PERIOD);
        }
    }

    /// Says nothing more until the reader closes.
    pub fn falls_silent(&self) {
        let mut rest = [0; 64];
        while matches!((&*self.stream).read(&mut rest), Ok(read) if read > 0) {}
    }

    /// Resets the connection once the script ends.
    pub fn resets(&self) {
        SockRef::from(&*self.stream)
            .set_linger(Some(Duration::ZERO))
            .unwrap();
    }
}

/// The log itself.
pub struct ScriptedLog {
    pub address: SocketAddr,
    pub seen: Arc<Seen>,
}

impl ScriptedLog {
    /// Plays each connection by the script, on a thread of its own.
    pub fn start(script: impl Fn(&Connection) + Send + Sync + 'static) -> ScriptedLog {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let log = ScriptedLog {
            address: listener.local_addr().unwrap(),
            seen: Arc::default(),
        };
        let (seen, script) = (log.seen.clone(), Arc::new(script));
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let number = seen.connections.fetch_add(1, Ordering::Relaxed);
                let stream = Arc::new(stream);
                seen.accepted.lock().unwrap().push(Arc::downgrade(&stream));
                seen.first.get_or_init(Instant::now);
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
