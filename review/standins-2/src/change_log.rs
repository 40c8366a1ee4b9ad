//! The change log: numbered events as server-sent events, and a comment each second.

use crate::http::read_message;
use crate::record::Record;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

const TICK: Duration = Duration::from_millis(10);
const COMMENT_INTERVAL: Duration = Duration::from_secs(1);

/// A server of the list.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    pub kind: &'static str,
    pub cell: u32,
    pub state: &'static str,
    /// Unix milliseconds of a late start, or 0.
    pub started_ms: u64,
}

impl Server {
    fn json(&self) -> String {
        format!(
            r#"{{"id":"{}","addr":"{}","zone":"tezno","kind":"{}","cell":{},"state":"{}","weight":1,"started_ms":{}}}"#,
            self.id, self.address, self.kind, self.cell, self.state, self.started_ms
        )
    }
}

/// Returns the event with this number.
pub fn event(number: usize, is_full: bool, servers: &[Server]) -> String {
    let servers: Vec<String> = servers.iter().map(Server::json).collect();
    let servers = servers.join(",");
    format!(
        r#"{{"seq":{number},"fleet":{{"version":{number},"full":{is_full},"servers":[{servers}]}}}}"#
    )
}

/// The log. Clones share its events.
#[derive(Clone)]
pub struct ChangeLog {
    pub address: SocketAddr,
    events: Arc<Mutex<Vec<String>>>,
    record: Record,
}

impl ChangeLog {
    /// Starts a log whose first event lists these servers.
    pub fn start(servers: &[Server], record: &Record) -> std::io::Result<ChangeLog> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let log = ChangeLog {
            address: listener.local_addr()?,
            events: Arc::new(Mutex::new(vec![event(1, true, servers)])),
            record: record.clone(),
        };
        log.listen(listener)?;
        Ok(log)
    }

    /// The block `known` of a configuration that is written now.
    pub fn known(&self) -> String {
        let events = self.events.lock().unwrap();
        format!(
            r#"{{"seq":{},"results":[{}]}}"#,
            events.len(),
            events.join(",")
        )
    }

    pub fn publish(&self, servers: &[Server]) {
        let mut events = self.events.lock().unwrap();
        let number = events.len() + 1;
        events.push(event(number, false, servers));
        for server in servers {
            let Server {
                id, address, state, ..
            } = server;
            self.record.line(format!(
                "change log event {number}: {id} at {address} {state}"
            ));
        }
    }

    fn listen(&self, listener: TcpListener) -> std::io::Result<()> {
        listener.set_nonblocking(true)?;
        let log = self.clone();
        spawn(move || loop {
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let log = log.clone();
                    spawn(move || log.serve(stream));
                }
                Err(_) => sleep(Duration::from_millis(1)),
            }
        });
        Ok(())
    }

    fn serve(&self, mut stream: TcpStream) {
        let Ok(copy) = stream.try_clone() else { return };
        let Some(request) = read_message(&mut BufReader::new(copy)) else {
            return;
        };
        let last = request
            .headers
            .get("last-event-id")
            .and_then(|text| text.parse().ok());
        let mut sent: usize = last.unwrap_or(0);
        self.record
            .line(format!("change log: a reader from event {sent}"));
        let mut out = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n:\n\n".to_string();
        let mut commented = Instant::now();
        loop {
            if !out.is_empty() && stream.write_all(out.as_bytes()).is_err() {
                return;
            }
            out.clear();
            sleep(TICK);
            for event in self.events.lock().unwrap().iter().skip(sent) {
                sent += 1;
                out += &format!("id: {sent}\ndata: {event}\n\n");
            }
            if commented.elapsed() >= COMMENT_INTERVAL {
                commented = Instant::now();
                out += ":\n\n";
            }
        }
    }
}
