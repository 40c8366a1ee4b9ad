use super::*;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread::sleep;

/// Longest tick of the system's clock, and time to be scheduled on a busy machine.
const TOLERANCE: Duration = Duration::from_millis(50);

#[test]
fn bytes_that_wait_unread_have_the_age_of_their_arrival() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    client.write_all(b"first").unwrap();
    sleep(Duration::from_millis(200));
    client.write_all(b"second").unwrap();
    sleep(Duration::from_millis(300));
    let (mut connection, _) = listener.accept().unwrap();
    let unread = time_since_last_arrival(&connection).unwrap();
    assert!(
        unread.abs_diff(Duration::from_millis(300)) < TOLERANCE,
        "{unread:?}"
    );
    connection.read_exact(&mut [0; 11]).unwrap();
    client.shutdown(std::net::Shutdown::Write).unwrap();
    sleep(Duration::from_millis(100));
    let read = time_since_last_arrival(&connection).unwrap();
    assert!(
        read.abs_diff(Duration::from_millis(400)) < TOLERANCE,
        "{read:?}"
    );
}
