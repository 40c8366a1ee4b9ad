//! An engine. It runs all that it is sent at once, and holds a query until it ends, is deleted, or has not been asked
//! for in 2 s. The comment `/* work N */` in a statement tells how many milliseconds the query runs; 50 otherwise.

use crate::http::{self, Message};
use crate::ms;
use crate::record::Record;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time for which an engine holds a call back while the query runs.
const HOLD: Duration = Duration::from_millis(250);
/// Time after which a query that is not asked for ends.
const UNASKED: Duration = Duration::from_secs(2);

/// One run of a statement, as the engine saw it.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub class: String,
    pub statement: String,
    pub engine: String,
    pub begun: Instant,
    /// When it ended, if it has.
    pub ended: Option<Instant>,
    /// Whether it ran to its good end.
    pub completed: bool,
    work: Duration,
    last_asked: Instant,
}

#[derive(Default)]
struct Shared {
    runs: Mutex<Vec<Run>>,
    changed: Condvar,
}

/// The value of a directive `/* NAME N */` in a statement.
fn directive(statement: &str, name: &str) -> Option<u64> {
    let (_, rest) = statement.split_once(&format!("/* {name} "))?;
    rest.split(' ').next()?.parse().ok()
}

/// A started engine.
#[derive(Clone)]
pub struct Engine {
    pub name: String,
    pub address: SocketAddr,
    shared: Arc<Shared>,
    record: Record,
}

impl Engine {
    pub fn start(name: &str, record: &Record) -> Engine {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let engine = Engine {
            name: name.into(),
            address: listener.local_addr().expect("an address"),
            shared: Arc::default(),
            record: record.clone(),
        };
        let server = engine.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = server.clone();
                thread::spawn(move || engine.serve(stream));
            }
        });
        let keeper = engine.clone();
        thread::spawn(move || keeper.end_runs());
        engine
    }

    /// All runs so far, in the order in which they began.
    pub fn runs(&self) -> Vec<Run> {
        self.shared.runs.lock().unwrap().clone()
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(reading) = stream.try_clone() else { return };
        let mut reader = BufReader::new(reading);
        while let Ok(Some(request)) = http::read(&mut reader) {
            let answer = self.answer(&request);
            if (&stream).write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> String {
        let mut words = request.start_line.split(' ');
        let (method, path) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
        let parts: Vec<&str> = path.split('/').collect();
        match (method, parts.as_slice()) {
            ("GET", ["", "ping"]) => http::response("200 OK", "", ""),
            ("GET", ["", "stats"]) => http::response("200 OK", &format!("X-Stats: {}\r\n", self.load()), ""),
            ("POST", ["", "c"]) => {
                let id = self.begin(request);
                self.news(&id)
            }
            ("GET", ["", "c", id, "0"]) => self.news(id),
            ("DELETE", ["", "c", id]) => self.delete(id),
            _ => http::response("500 Error", "", ""),
        }
    }

    /// Eight cores, and each query uses one.
    fn load(&self) -> String {
        let runs = self.shared.runs.lock().unwrap();
        let running = runs.iter().filter(|run| run.ended.is_none()).count();
        format!("queue:0;util:{:.2}", (running as f64 / 8.0).min(1.0))
    }

    fn begin(&self, request: &Message) -> String {
        let id = request.header("x-trace").to_string();
        let statement = request.text();
        let work = directive(&statement, "work");
        let now = Instant::now();
        self.record.line(&format!("engine {} begins {id}: {statement}", self.name));
        self.shared.runs.lock().unwrap().push(Run {
            id: id.clone(),
            class: request.header("x-profile").into(),
            statement,
            engine: self.name.clone(),
            begun: now,
            ended: None,
            completed: false,
            work: ms(work.unwrap_or(50)),
            last_asked: now,
        });
        id
    }

    /// The news of a query: its end, or after [`HOLD`] that it is not yet over.
    fn news(&self, id: &str) -> String {
        let until = Instant::now() + HOLD;
        let mut runs = self.shared.runs.lock().unwrap();
        loop {
            let now = Instant::now();
            let Some(run) = runs.iter_mut().rev().find(|run| run.id == id) else {
                return http::response("500 Error", "", "");
            };
            run.last_asked = now;
            if run.ended.is_some() {
                return match run.completed {
                    true => http::response(
                        "200 OK",
                        &format!("Result-Pages: 1\r\nQuery-Cost: {}\r\n", run.work.as_millis()),
                        &format!("{id}\t{}\tdone\n", self.name),
                    ),
                    false => http::response("500 Error", "", ""),
                };
            }
            if now >= until {
                return http::response("202 Accepted", "", "");
            }
            runs = self.shared.changed.wait_timeout(runs, until - now).unwrap().0;
        }
    }

    fn delete(&self, id: &str) -> String {
        let mut runs = self.shared.runs.lock().unwrap();
        if let Some(run) = runs.iter_mut().rev().find(|run| run.id == id && run.ended.is_none()) {
            run.ended = Some(Instant::now());
            self.record.line(&format!("engine {} stops {id}: deleted", self.name));
        }
        self.shared.changed.notify_all();
        http::response("204 No Content", "", "")
    }

    /// Ends the queries whose work is done, and those that were not asked for.
    fn end_runs(&self) {
        loop {
            thread::sleep(ms(1));
            let now = Instant::now();
            let mut has_ended = false;
            for run in self.shared.runs.lock().unwrap().iter_mut().filter(|run| run.ended.is_none()) {
                if now >= run.begun + run.work {
                    run.completed = true;
                    self.record.line(&format!("engine {} completes {}", self.name, run.id));
                } else if now >= run.last_asked + UNASKED {
                    self.record.line(&format!("engine {} stops {}: not asked for", self.name, run.id));
                } else {
                    continue;
                }
                run.ended = Some(now);
                has_ended = true;
            }
            if has_ended {
                self.shared.changed.notify_all();
            }
        }
    }
}
