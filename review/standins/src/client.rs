//! A usual client: one call at a time on a connection, with the fields of the protocol page.

use crate::http::{self, Message};
use crate::ms;
use std::io::{BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// How often a call is made again on a new connection if its connection ended with no answer.
const REPEATS: usize = 3;

/// What became of a request.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub id: String,
    /// When the last byte of the first call was written.
    pub sent: Instant,
    /// When the final answer had come whole, and the answer; `None` if none came while the client looked.
    pub answer: Option<(Instant, Message)>,
    /// Number of connections that ended with no answer.
    pub ended_connections: usize,
}

/// A new id: 16 hex digits.
pub fn new_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    format!("{:08x}{:08x}", std::process::id(), number)
}

/// A request that submits a statement. `key` is the key of classes that keep order.
pub fn request(class: &str, id: &str, allow_ms: u64, key: Option<&str>, statement: &str) -> String {
    let key = key.map_or(String::new(), |key| format!("X-Item: {key}\r\n"));
    format!(
        "POST /v1/{class} HTTP/1.1\r\nHost: origin.svc\r\nX-Job-Id: {id}\r\nX-Allow-Ms: {allow_ms}\r\n\
         X-Team: acme\r\n{key}Content-Length: {}\r\n\r\n{statement}",
        statement.len()
    )
}

/// Makes a `GET` call and returns its status.
pub fn get(address: SocketAddr, path: &str) -> Option<u16> {
    let stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(ms(1000))).ok()?;
    (&stream).write_all(format!("GET {path} HTTP/1.1\r\nHost: g\r\n\r\n").as_bytes()).ok()?;
    http::read(&mut BufReader::new(stream)).ok()?.map(|message| message.status())
}

/// Sends a request on a new connection and looks for its final answer for `patience`. A call whose connection ends with
/// no answer is made again.
pub fn call(address: SocketAddr, id: &str, request: &str, patience: Duration) -> Outcome {
    let mut sent = None;
    let mut ended_connections = 0;
    let until = Instant::now() + patience;
    loop {
        let result = TcpStream::connect(address).and_then(|mut stream| {
            stream.set_nodelay(true)?;
            stream.write_all(request.as_bytes())?;
            sent.get_or_insert_with(Instant::now);
            let left = until.saturating_duration_since(Instant::now()).max(ms(1));
            stream.set_read_timeout(Some(left))?;
            http::read(&mut BufReader::new(stream))
        });
        let answer = match result {
            Ok(Some(message)) => Some((Instant::now(), message)),
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => None,
            Ok(None) | Err(_) => {
                ended_connections += 1;
                if ended_connections <= REPEATS && Instant::now() < until {
                    continue;
                }
                None
            }
        };
        let sent = sent.unwrap_or_else(Instant::now);
        return Outcome { id: id.into(), sent, answer, ended_connections };
    }
}
