//! Reads and writes HTTP/1.1 messages with a `Content-Length`.

use std::collections::HashMap;
use std::io::{BufRead, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

pub struct Message {
    pub start_line: String,
    /// By name in lower case.
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

/// Reads one message; `None` if the connection ends before it is complete.
pub fn read_message(reader: &mut impl BufRead) -> Option<Message> {
    let mut line = || {
        let mut text = String::new();
        let read = reader.read_line(&mut text).ok()?;
        (read > 0 && text.ends_with('\n')).then(|| text.trim_end().to_string())
    };
    let start_line = line()?;
    let mut headers = HashMap::new();
    loop {
        let text = line()?;
        if text.is_empty() {
            break;
        }
        let (name, value) = text.split_once(':')?;
        headers.insert(name.to_ascii_lowercase(), value.trim().to_string());
    }
    let length = headers
        .get("content-length")
        .map_or(Some(0), |text| text.parse().ok())?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Message {
        start_line,
        headers,
        body,
    })
}

pub fn write_response(
    stream: &mut TcpStream,
    status: &str,
    headers: &str,
    body: &str,
) -> std::io::Result<()> {
    let length = body.len();
    let text = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}");
    stream.write_all(text.as_bytes())
}

/// A statement that a client sends.
#[derive(Clone)]
pub struct Call {
    pub class: &'static str,
    pub id: u64,
    pub tenant: &'static str,
    pub allow_ms: u64,
    pub key: Option<u64>,
    pub statement: String,
}

/// What a client saw of its call.
pub struct Seen {
    /// When the last byte of the call was written; `None` if it could not be.
    pub sent: Option<Instant>,
    /// When the last byte of the answer was read.
    pub answered: Option<Instant>,
    /// The status, or 0 without a whole answer.
    pub status: u16,
    pub body: String,
}

impl Seen {
    /// Seconds from the last byte of the call to the last of the answer.
    pub fn seconds(&self) -> Option<f64> {
        Some(self.answered?.duration_since(self.sent?).as_secs_f64())
    }

    pub fn is_served(&self) -> bool {
        self.status == 200 && !self.body.contains("\"error\"")
    }
}

/// Makes a call on a connection of its own and waits for the answer for up to `patience`.
pub fn call(gateway: SocketAddr, call: &Call, patience: Duration) -> Seen {
    let mut seen = Seen {
        sent: None,
        answered: None,
        status: 0,
        body: String::new(),
    };
    let Ok(mut stream) = TcpStream::connect_timeout(&gateway, Duration::from_secs(3)) else {
        return seen;
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(patience));
    let _ = stream.set_write_timeout(Some(patience));
    let key = call
        .key
        .map_or(String::new(), |key| format!("X-Item: {key:016x}\r\n"));
    let head = format!(
        "POST /v1/{} HTTP/1.1\r\nHost: origin.svc\r\nX-Job-Id: {:016x}\r\nX-Allow-Ms: {}\r\nX-Team: {}\r\n{key}Content-Length: {}\r\n\r\n",
        call.class, call.id, call.allow_ms, call.tenant, call.statement.len()
    );
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(call.statement.as_bytes());
    if stream.write_all(&bytes).is_err() {
        return seen;
    }
    seen.sent = Some(Instant::now());
    let mut reader = std::io::BufReader::new(stream);
    if let Some(message) = read_message(&mut reader) {
        seen.answered = Some(Instant::now());
        seen.status = message
            .start_line
            .split(' ')
            .nth(1)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        seen.body = String::from_utf8_lossy(&message.body).into_owned();
    }
    seen
}

/// Whether the gateway answers its health check with 200.
pub fn is_healthy(gateway: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&gateway, Duration::from_secs(1)) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    if stream
        .write_all(b"GET /healthz HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n\r\n")
        .is_err()
    {
        return false;
    }
    let mut text = String::new();
    let _ = stream.read_to_string(&mut text);
    text.starts_with("HTTP/1.1 200")
}
