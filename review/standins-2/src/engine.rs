//! An engine of the protocol page. A query belongs to no connection: it runs until it ends, is deleted, or has not been
//! asked for in 2 s.
//!
//! The statement tells how long it runs (`/* ms=1500 */`). The effect of a load is applied when half of that time is
//! over, unless a node of the engine's cell has applied the same id before: the nodes of a cell share what they have
//! seen, and drop repeats.

use crate::http::{read_message, write_response, Message};
use crate::record::Record;
use crate::system::reset_on_close;
use std::collections::{HashMap, HashSet};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

const LONG_POLL: Duration = Duration::from_millis(250);
const POLL_EXPIRY: Duration = Duration::from_secs(2);
const MAX_PAGE_BYTES: usize = 6_000;
const TICK: Duration = Duration::from_millis(5);

/// The ids whose effect the nodes of a cell have applied.
pub type Cell = Arc<Mutex<HashSet<String>>>;

/// An effect that was applied, in the order of the run.
#[derive(Clone, Debug)]
pub struct Effect {
    pub id: String,
    pub engine: String,
    pub at: f64,
}

/// A start of a query that came whole to an engine.
#[derive(Clone, Debug)]
pub struct Start {
    pub id: String,
    pub statement: String,
    pub engine: String,
    pub at: f64,
}

/// What all engines of a run have seen.
#[derive(Clone, Default)]
pub struct Ledger {
    pub starts: Arc<Mutex<Vec<Start>>>,
    pub effects: Arc<Mutex<Vec<Effect>>>,
}

/// The results of an engine, and how they are spoilt on their way.
#[derive(Clone, Copy, Debug)]
pub struct Answers {
    /// Rows of each result.
    pub rows: usize,
    /// Bytes of the last column, beside the digits of the row's number.
    pub filling: usize,
    /// One in so many good answers has a `Content-Length` below its true one; 0 for none.
    pub spoilt_one_in: u64,
}

impl Default for Answers {
    fn default() -> Self {
        Answers {
            rows: 1,
            filling: 1,
            spoilt_one_in: 0,
        }
    }
}

impl Answers {
    /// The pages of a result: whole rows, 6,000 bytes at most.
    pub fn pages(&self) -> Vec<String> {
        let mut pages = vec![String::new()];
        for number in 0..self.rows {
            let row = format!("{number}\t{}\t{}\n", number % 10, "x".repeat(self.filling));
            if pages[pages.len() - 1].len() + row.len() > MAX_PAGE_BYTES {
                pages.push(String::new());
            }
            let last = pages.len() - 1;
            pages[last] += &row;
        }
        pages
    }
}

struct Job {
    started: Instant,
    run_for: Duration,
    last_asked: Instant,
    is_applied: bool,
    is_done: bool,
}

struct Shared {
    name: String,
    cell: Cell,
    ledger: Ledger,
    record: Record,
    jobs: Mutex<HashMap<String, Job>>,
    connections: Mutex<Vec<TcpStream>>,
    is_up: AtomicBool,
    answers: Answers,
    pages: Vec<String>,
    /// Good answers so far.
    answered: AtomicU64,
}

/// A running engine.
#[derive(Clone)]
pub struct Engine {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Engine {
    /// Starts an engine at `address`; port 0 means a free one.
    pub fn start(
        name: &str,
        address: SocketAddr,
        cell: &Cell,
        ledger: &Ledger,
        record: &Record,
    ) -> std::io::Result<Engine> {
        Engine::start_with(name, address, cell, ledger, record, Answers::default())
    }

    /// Starts an engine whose results are as `answers` says.
    pub fn start_with(
        name: &str,
        address: SocketAddr,
        cell: &Cell,
        ledger: &Ledger,
        record: &Record,
        answers: Answers,
    ) -> std::io::Result<Engine> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let shared = Arc::new(Shared {
            name: name.to_string(),
            cell: cell.clone(),
            ledger: ledger.clone(),
            record: record.clone(),
            jobs: Mutex::default(),
            connections: Mutex::default(),
            is_up: AtomicBool::new(true),
            answers,
            pages: answers.pages(),
            answered: AtomicU64::new(0),
        });
        record.line(format!("engine {name} listens on {address}"));
        let accepting = shared.clone();
        spawn(move || accepting.accept(listener));
        let ticking = shared.clone();
        spawn(move || {
            while ticking.is_up() {
                ticking.tick();
                sleep(TICK);
            }
        });
        Ok(Engine { address, shared })
    }

    /// The process dies: its connections are reset, its queries are over, its address refuses connections.
    pub fn crash(&self) {
        self.shared.is_up.store(false, Ordering::SeqCst);
        // The accept loop drops the listener within two ticks.
        sleep(TICK * 3);
        let mut connections = self.shared.connections.lock().unwrap();
        for stream in connections.drain(..) {
            reset_on_close(&stream);
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        let lost = self
            .shared
            .jobs
            .lock()
            .unwrap()
            .drain()
            .filter(|(_, job)| !job.is_done)
            .count();
        self.shared.record.line(format!(
            "engine {} dies with {lost} queries running",
            self.shared.name
        ));
    }

    /// The number of queries that run now.
    pub fn running(&self) -> usize {
        self.shared
            .jobs
            .lock()
            .unwrap()
            .values()
            .filter(|job| !job.is_done)
            .count()
    }
}

impl Shared {
    fn is_up(&self) -> bool {
        self.is_up.load(Ordering::SeqCst)
    }

    fn accept(self: Arc<Self>, listener: TcpListener) {
        while self.is_up() {
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    if let Ok(copy) = stream.try_clone() {
                        self.connections.lock().unwrap().push(copy);
                    }
                    let shared = self.clone();
                    spawn(move || shared.serve(stream));
                }
                Err(_) => sleep(Duration::from_millis(1)),
            }
        }
    }

    /// Ends and applies what is due.
    fn tick(&self) {
        let now = Instant::now();
        let mut jobs = self.jobs.lock().unwrap();
        jobs.retain(|id, job| {
            if !job.is_done && now.duration_since(job.last_asked) > POLL_EXPIRY {
                self.record.line(format!(
                    "engine {} drops {id}: not asked for in 2 s",
                    self.name
                ));
                return false;
            }
            if !job.is_applied && now >= job.started + job.run_for / 2 {
                job.is_applied = true;
                self.apply(id);
            }
            job.is_done |= now >= job.started + job.run_for;
            true
        });
    }

    fn apply(&self, id: &str) {
        if !self.cell.lock().unwrap().insert(id.to_string()) {
            self.record
                .line(format!("engine {} drops the repeat {id}", self.name));
            return;
        }
        self.record
            .line(format!("engine {} applies {id}", self.name));
        self.ledger.effects.lock().unwrap().push(Effect {
            id: id.to_string(),
            engine: self.name.clone(),
            at: self.record.now(),
        });
    }

    fn serve(&self, mut stream: TcpStream) {
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = BufReader::new(copy);
        while let Some(request) = read_message(&mut reader) {
            if !self.is_up() || self.answer(&mut stream, &request).is_err() || !self.is_up() {
                return;
            }
        }
    }

    fn answer(&self, stream: &mut TcpStream, request: &Message) -> std::io::Result<()> {
        let mut words = request.start_line.split(' ');
        let method = words.next().unwrap_or_default();
        let path = words.next().unwrap_or_default();
        if path == "/ping" || path == "/stats" {
            return write_response(stream, "200 OK", "X-Stats: queue:0;util:0.1\r\n", "");
        }
        let id = match method {
            "POST" => request.headers.get("x-trace").cloned().unwrap_or_default(),
            _ => path.split('/').nth(2).unwrap_or_default().to_string(),
        };
        match method {
            "POST" => self.begin(&id, request),
            "DELETE" => {
                let known = self.jobs.lock().unwrap().remove(&id).is_some();
                self.record
                    .line(format!("engine {} DELETE {id} known={known}", self.name));
                let status = if known {
                    "204 No Content"
                } else {
                    "500 Unknown"
                };
                return write_response(stream, status, "", "");
            }
            _ => {}
        }
        let page = path.split('/').nth(3).and_then(|text| text.parse().ok());
        match page {
            Some(page @ 1..) if method == "GET" => self.page(stream, &id, page),
            _ => self.news(stream, &id),
        }
    }

    fn begin(&self, id: &str, request: &Message) {
        let statement = String::from_utf8_lossy(&request.body);
        let run_ms = statement
            .split_once("/* ms=")
            .and_then(|(_, rest)| rest.split_once(" */"));
        let run_ms = run_ms
            .and_then(|(text, _)| text.parse().ok())
            .unwrap_or(100);
        let class = request
            .headers
            .get("x-profile")
            .cloned()
            .unwrap_or_default();
        self.record.line(format!(
            "engine {} starts {id} class={class} ms={run_ms}",
            self.name
        ));
        self.ledger.starts.lock().unwrap().push(Start {
            id: id.to_string(),
            statement: statement.to_string(),
            engine: self.name.clone(),
            at: self.record.now(),
        });
        let now = Instant::now();
        let job = Job {
            started: now,
            run_for: Duration::from_millis(run_ms),
            last_asked: now,
            // Only loads have an effect.
            is_applied: !class.contains("load"),
            is_done: false,
        };
        self.jobs.lock().unwrap().insert(id.to_string(), job);
    }

    fn page(&self, stream: &mut TcpStream, id: &str, page: usize) -> std::io::Result<()> {
        let is_known = {
            let mut jobs = self.jobs.lock().unwrap();
            let job = jobs.get_mut(id).filter(|job| job.is_done);
            job.map(|job| job.last_asked = Instant::now()).is_some()
        };
        if !is_known || page >= self.pages.len() {
            return write_response(stream, "500 Unknown", "", "");
        }
        let head = format!("Result-Page: {page}\r\n");
        self.write_page(stream, id, &head, page)
    }

    /// Writes a page of a good answer, which may be spoilt: its `Content-Length` is too short, and all its bytes follow.
    fn write_page(
        &self,
        stream: &mut TcpStream,
        id: &str,
        head: &str,
        page: usize,
    ) -> std::io::Result<()> {
        let body = &self.pages[page];
        let number = self.answered.fetch_add(1, Ordering::SeqCst);
        let one_in = self.answers.spoilt_one_in;
        let is_spoilt = one_in > 0 && number % one_in == one_in - 1 && body.len() > 1;
        if !is_spoilt {
            return write_response(stream, "200 OK", head, body);
        }
        let length =
            1 + (number / one_in).wrapping_mul(0x9e37_79b9_7f4a_7c15) as usize % (body.len() - 1);
        self.record.line(format!(
            "engine {} page {page} of {id}: Content-Length {length} in place of {}",
            self.name,
            body.len()
        ));
        let text = format!("HTTP/1.1 200 OK\r\n{head}Content-Length: {length}\r\n\r\n{body}");
        stream.write_all(text.as_bytes())
    }

    /// Answers with the end of the query, or after 250 ms that it is not yet over.
    fn news(&self, stream: &mut TcpStream, id: &str) -> std::io::Result<()> {
        let asked = Instant::now();
        loop {
            let is_done = {
                let mut jobs = self.jobs.lock().unwrap();
                let Some(job) = jobs.get_mut(id) else {
                    drop(jobs);
                    if !self.is_up() {
                        return Err(std::io::ErrorKind::ConnectionReset.into());
                    }
                    return write_response(stream, "500 Unknown", "", "");
                };
                job.last_asked = Instant::now();
                job.is_done
            };
            if !self.is_up() {
                return Err(std::io::ErrorKind::ConnectionReset.into());
            }
            if is_done {
                let count = self.pages.len();
                let head =
                    format!("Result-Pages: {count}\r\nQuery-Cost: 100\r\nQuery-Need: 64\r\n");
                return self.write_page(stream, id, &head, 0);
            }
            if asked.elapsed() >= LONG_POLL {
                return write_response(stream, "202 Not yet", "", "");
            }
            sleep(TICK);
        }
    }
}
