//! HTTP/1.1 messages with a `Content-Length`, read from and written to a socket.

use std::collections::HashMap;
use std::io::{self, BufRead};

/// A request or a response.
#[derive(Clone, Debug)]
pub struct Message {
    pub start_line: String,
    /// Header fields by their names in lower case.
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    /// The status of a response; 0 if the message is none.
    pub fn status(&self) -> u16 {
        let mut words = self.start_line.split(' ');
        words.nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads one message. `Ok(None)` means that the connection ended before its first byte.
pub fn read(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(start_line) = read_line(reader)? else {
        return Ok(None);
    };
    let mut headers = HashMap::new();
    loop {
        let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_string());
        }
    }
    let length = headers.get("content-length").and_then(|text| text.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    Ok(Some(Message { start_line, headers, body }))
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line)? == 0 {
        return Ok(None);
    }
    if line.pop() != Some(b'\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    if line.last() == Some(&b'\r') {
        line.pop();
    }
    Ok(Some(String::from_utf8_lossy(&line).into_owned()))
}

/// A response; `headers` holds complete lines with their ends.
pub fn response(status: &str, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}
