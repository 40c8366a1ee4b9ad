//! Refuses a client whose connection the runtime can't watch.

use socket2::SockRef;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};

/// Response to a client that is refused before its request is parsed.
const BUSY_RESPONSE: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\n\
    Connection: close\r\nContent-Length: 16\r\n\r\n{\"error\":\"Busy\"}";
/// Size of a read of what the client has sent, and the number of such reads.
const READ_BYTES: usize = 8 << 10;
const MAX_READS: usize = 64;

/// Answers that the client may send its request again, and closes the connection.
pub(super) fn refuse(mut stream: TcpStream) {
    // A blocking call could hold up all other clients.
    if SockRef::from(&stream).set_nonblocking(true).is_err() {
        return;
    }
    // The client would lose the response if the connection were closed with bytes unread.
    discard_received(&mut stream);
    // Nothing else can be done for the client if these calls fail.
    let _ = stream.write_all(BUSY_RESPONSE);
    let _ = stream.shutdown(Shutdown::Write);
    tracing::debug!("client refused: its connection can't be watched");
}

fn discard_received(stream: &mut TcpStream) {
    let mut bytes = [0; READ_BYTES];
    for _ in 0..MAX_READS {
        match stream.read(&mut bytes) {
            Ok(1..) => {}
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            _ => return,
        }
    }
}
