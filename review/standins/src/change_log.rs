//! A change log: a list of engines as event 1, and a comment each second to all who read.

use crate::engine::Engine;
use crate::http;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

/// The list of engines as the first event.
pub fn first_event(engines: &[Engine]) -> String {
    let line = |engine: &Engine| {
        format!(
            r#"{{"id":"{}","addr":"{}","zone":"east","kind":"std","cell":0,"state":"SERVING","weight":1,"started_ms":0}}"#,
            engine.name, engine.address
        )
    };
    let lines: Vec<String> = engines.iter().map(line).collect();
    format!(r#"{{"seq":1,"fleet":{{"version":1,"full":true,"servers":[{}]}}}}"#, lines.join(","))
}

/// Starts a change log that holds nothing after event 1, which the configuration has under `known`.
pub fn start() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || serve(stream));
        }
    });
    address
}

fn serve(stream: TcpStream) {
    let Ok(reading) = stream.try_clone() else { return };
    let Ok(Some(_)) = http::read(&mut BufReader::new(reading)) else { return };
    let mut bytes = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n:\n\n";
    while (&stream).write_all(bytes.as_bytes()).is_ok() {
        bytes = ":\n\n";
        thread::sleep(Duration::from_secs(1));
    }
}
