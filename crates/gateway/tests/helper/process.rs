//! A process of an engine that records when each dispatch was really out.

use super::{http, read_message, until, ROWS};
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// The protocol's: a dispatch that nobody asks for ends after this.
const UNASKED: Duration = Duration::from_secs(2);
/// The protocol's: news is held back this long.
pub const NEWS: Duration = Duration::from_millis(250);

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// One dispatch as it really was.
#[derive(Clone, Debug)]
pub struct Dispatch {
    pub id: String,
    pub statement: String,
    /// What came with it against repeats.
    pub mark: Option<String>,
    pub came: Instant,
    pub runs: Duration,
    /// When its last call for news ended.
    pub asked: Instant,
    pub asking: bool,
    pub over: Option<Instant>,
}

impl Dispatch {
    pub fn end(&self) -> Option<Instant> {
        // A note that it tells keeps it running.
        let unasked = (!self.asking && !self.asks("notes")).then_some(self.asked + UNASKED);
        let ends = [Some(self.came + self.runs), self.over, unasked];
        ends.into_iter()
            .flatten()
            .min()
            .filter(|at| *at <= Instant::now())
    }

    pub fn asks(&self, word: &str) -> bool {
        self.statement.contains(&format!("/* {word} */"))
    }
}

#[derive(Default)]
pub struct State {
    pub dispatches: Vec<Dispatch>,
    pub connections: Vec<TcpStream>,
    pub deletes: usize,
    pub news: usize,
    pub refuses: bool,
}

/// A process of an engine: it keeps to the protocol but for what a statement's comment asks, and can be made to
/// refuse new connections while it runs on, or to die.
#[derive(Clone)]
pub struct Process {
    pub address: SocketAddr,
    pub state: Arc<Mutex<State>>,
}

impl Process {
    pub fn start() -> Process {
        Process::at(SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    pub fn at(address: SocketAddr) -> Process {
        let listener = (0..100)
            .find_map(|_| TcpListener::bind(address).map_err(|_| sleep(ms(10))).ok())
            .expect("the address is free");
        let process = Process {
            address: listener.local_addr().unwrap(),
            state: Arc::default(),
        };
        let shared = process.clone();
        listener.set_nonblocking(true).unwrap();
        spawn(move || {
            while !shared.state().refuses {
                match listener.accept() {
                    Ok((stream, _)) => {
                        stream.set_nonblocking(false).unwrap();
                        shared.state().connections.push(stream.try_clone().unwrap());
                        let process = shared.clone();
                        spawn(move || process.serve(stream));
                    }
                    Err(_) => sleep(ms(1)),
                }
            }
        });
        process
    }

    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// No new connection comes up; what is open goes on.
    pub fn refuses(&self) {
        self.state().refuses = true;
        until("nobody listens", || {
            TcpStream::connect(self.address).is_err()
        });
    }

    /// The process ends, and all that it runs.
    pub fn dies(&self) {
        self.refuses();
        let mut state = self.state();
        let now = Instant::now();
        state
            .dispatches
            .iter_mut()
            .for_each(|d| d.over = Some(d.end().unwrap_or(now)));
        state
            .connections
            .drain(..)
            .for_each(|c| drop(c.shutdown(Shutdown::Both)));
    }

    /// The network breaks every connection that is open; the process runs on.
    pub fn loses_connections(&self) {
        self.state()
            .connections
            .drain(..)
            .for_each(|c| drop(c.shutdown(Shutdown::Both)));
    }

    pub fn serve(&self, stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some(call) = read_message(&mut reader) {
            let mut words = call.first.split(' ');
            let (method, path) = (words.next().unwrap(), words.next().unwrap().to_string());
            if path == "/stats" {
                let _ = (&stream)
                    .write_all(http("200 OK", "X-Stats: queue:0;util:0.1\r\n", "").as_bytes());
                continue;
            }
            let id = match method {
                "POST" => call.fields["x-trace"].clone(),
                _ => path.split('/').nth(2).unwrap_or_default().to_string(),
            };
            let answer = match method {
                "DELETE" => self.delete(&id),
                _ => {
                    if method == "POST" {
                        let mark = call.fields.get("x-op-key").cloned();
                        self.begin(&id, &String::from_utf8_lossy(&call.body), mark);
                    }
                    self.news(&id)
                }
            };
            let Some(answer) = answer else {
                let _ = stream.shutdown(Shutdown::Both);
                return;
            };
            if (&stream).write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    pub fn begin(&self, id: &str, statement: &str, mark: Option<String>) {
        let runs = statement
            .split_once("/* runs ")
            .and_then(|(_, rest)| rest.split(' ').next());
        let runs = ms(runs.and_then(|n| n.parse().ok()).unwrap_or(0));
        let now = Instant::now();
        let (id, statement) = (id.to_string(), statement.to_string());
        let new = Dispatch {
            id,
            statement,
            mark,
            came: now,
            runs,
            asked: now,
            asking: false,
            over: None,
        };
        self.state().dispatches.push(new);
    }

    pub fn news(&self, id: &str) -> Option<String> {
        let until = Instant::now() + NEWS;
        loop {
            let mut state = self.state();
            let Some(d) = state.dispatches.iter_mut().find(|d| d.id == id) else {
                return Some(http("500 Oops", "", ""));
            };
            let (over, now) = (d.end(), Instant::now());
            // Dropped as nobody asked: asking now doesn't bring it back.
            d.over = d.over.or(over.filter(|at| *at < d.came + d.runs));
            (d.asking, d.asked) = (over.is_none() && now < until, now);
            if over.is_some() || now >= until {
                let (d, good) = (d.clone(), over.is_some() && d.over.is_none());
                state.news += 1;
                if d.asks("second news spoilt") && state.news == 2 {
                    return Some("\u{1}\u{2} no head at all\r\n\r\n".into());
                }
                return Some(match (over, good) {
                    (None, _) if d.asks("notes") => {
                        http("202 Not yet", "X-Result: frac\r\nNote-Value: 0.250\r\n", "")
                    }
                    (None, _) => http("202 Not yet", "", ""),
                    (Some(_), true) => http("200 OK", "Result-Pages: 1\r\n", ROWS),
                    (Some(_), false) => http("500 Oops", "", ""),
                });
            }
            drop(state);
            sleep(ms(2));
        }
    }

    pub fn delete(&self, id: &str) -> Option<String> {
        let mut state = self.state();
        state.deletes += 1;
        let first = state.deletes == 1;
        let d = state.dispatches.iter_mut().find(|d| d.id == id);
        if let Some(d) = d {
            if first && d.asks("delete reset") {
                return None;
            }
            if first && d.asks("delete spoilt") {
                return Some("\u{1}\u{2} no head at all\r\n\r\n".into());
            }
            if first && d.asks("delete silent") {
                drop(state);
                sleep(ms(1500));
                return None;
            }
            d.over = Some(d.end().unwrap_or_else(Instant::now));
        }
        Some(http("204 No Content", "", ""))
    }

    pub fn dispatches(&self) -> Vec<Dispatch> {
        self.state().dispatches.clone()
    }
}
