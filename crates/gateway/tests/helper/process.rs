//! A fake engine process that records when it received each attempt, when it was last polled for it, and when the
//! attempt ended.

use super::{http_response, read_message, wait_until, ROWS};
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// Set by the protocol: an engine ends an attempt that has not been polled for this long.
const UNPOLLED_LIFETIME: Duration = Duration::from_secs(2);
/// Set by the protocol: an engine answers a poll of an attempt that still runs after this time.
pub const POLL_HOLD_TIME: Duration = Duration::from_millis(250);

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// One attempt as the engine received and ran it.
#[derive(Clone, Debug)]
pub struct ReceivedAttempt {
    pub id: String,
    pub statement: String,
    /// The `X-Op-Key` field of the start, if there was one.
    pub idempotency_key: Option<String>,
    pub received_at: Instant,
    /// Run time that the `/* runs MS */` directive asks for, or 0.
    pub run_time: Duration,
    /// Latest time at which a poll was in flight; before the first poll, the time of the start.
    pub last_polled_at: Instant,
    pub poll_in_flight: bool,
    /// When a cancellation, a kill or a lack of polls ended the attempt.
    pub stopped_at: Option<Instant>,
}

impl ReceivedAttempt {
    /// Returns when the attempt ended, or `None` while it runs.
    pub fn ended_at(&self) -> Option<Instant> {
        // An attempt that reports progress keeps running without polls.
        let unpolled_end = (!self.poll_in_flight && !self.has_directive("notes"))
            .then_some(self.last_polled_at + UNPOLLED_LIFETIME);
        let ends = [
            Some(self.received_at + self.run_time),
            self.stopped_at,
            unpolled_end,
        ];
        ends.into_iter()
            .flatten()
            .min()
            .filter(|at| *at <= Instant::now())
    }

    pub fn has_directive(&self, word: &str) -> bool {
        self.statement.contains(&format!("/* {word} */"))
    }
}

/// State shared by all connections of a fake engine process.
#[derive(Default)]
pub struct ProcessState {
    pub attempts: Vec<ReceivedAttempt>,
    pub connections: Vec<TcpStream>,
    pub cancel_requests: usize,
    pub poll_responses: usize,
    pub refuses_connections: bool,
}

/// A fake engine process that follows the protocol unless a directive in the statement says otherwise. It can be told
/// to refuse new connections while its attempts run on, and it can be killed.
///
/// `runs MS` sets the run time. `notes` makes the attempt report progress when polled. `second news spoilt` corrupts
/// the second response that the process gives to a poll. `delete reset`, `delete spoilt` and `delete silent` make the
/// first cancellation fail.
#[derive(Clone)]
pub struct FakeEngineProcess {
    pub address: SocketAddr,
    pub state: Arc<Mutex<ProcessState>>,
}

impl FakeEngineProcess {
    pub fn start() -> FakeEngineProcess {
        FakeEngineProcess::at(SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    /// Starts a process at this address; panics where the address is still in use after 100 tries, 10 ms apart.
    pub fn at(address: SocketAddr) -> FakeEngineProcess {
        let listener = (0..100)
            .find_map(|_| TcpListener::bind(address).map_err(|_| sleep(ms(10))).ok())
            .expect("the engine's address should become free");
        let process = FakeEngineProcess {
            address: listener.local_addr().unwrap(),
            state: Arc::default(),
        };
        let shared = process.clone();
        listener.set_nonblocking(true).unwrap();
        spawn(move || {
            while !shared.state().refuses_connections {
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

    pub fn state(&self) -> MutexGuard<'_, ProcessState> {
        self.state.lock().unwrap()
    }

    /// Makes the process refuse new connections. Open connections and attempts continue.
    pub fn refuse_connections(&self) {
        self.state().refuses_connections = true;
        wait_until("the engine process refuses connections", || {
            TcpStream::connect(self.address).is_err()
        });
    }

    /// Ends the process with all its attempts and connections.
    pub fn kill(&self) {
        self.refuse_connections();
        let mut state = self.state();
        let now = Instant::now();
        state
            .attempts
            .iter_mut()
            .for_each(|attempt| attempt.stopped_at = Some(attempt.ended_at().unwrap_or(now)));
        state
            .connections
            .drain(..)
            .for_each(|c| drop(c.shutdown(Shutdown::Both)));
    }

    /// Shuts down every open connection, while the process and its attempts run on.
    pub fn break_connections(&self) {
        self.state()
            .connections
            .drain(..)
            .for_each(|c| drop(c.shutdown(Shutdown::Both)));
    }

    /// Answers the requests of one connection until the connection ends or a directive closes it.
    pub fn serve(&self, stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some(request) = read_message(&mut reader) {
            let mut words = request.start_line.split(' ');
            let (method, path) = (words.next().unwrap(), words.next().unwrap().to_string());
            if path == "/stats" {
                let _ = (&stream).write_all(
                    http_response("200 OK", "X-Stats: queue:0;util:0.1\r\n", "").as_bytes(),
                );
                continue;
            }
            let id = match method {
                "POST" => request.headers["x-trace"].clone(),
                _ => path.split('/').nth(2).unwrap_or_default().to_string(),
            };
            let answer = match method {
                "DELETE" => self.cancel(&id),
                _ => {
                    if method == "POST" {
                        let idempotency_key = request.headers.get("x-op-key").cloned();
                        self.start_attempt(
                            &id,
                            &String::from_utf8_lossy(&request.body),
                            idempotency_key,
                        );
                    }
                    self.poll(&id)
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

    /// Records an attempt, which runs from now on.
    pub fn start_attempt(&self, id: &str, statement: &str, idempotency_key: Option<String>) {
        let run_time = statement
            .split_once("/* runs ")
            .and_then(|(_, rest)| rest.split(' ').next());
        let run_time = ms(run_time.and_then(|n| n.parse().ok()).unwrap_or(0));
        let now = Instant::now();
        let (id, statement) = (id.to_string(), statement.to_string());
        let new = ReceivedAttempt {
            id,
            statement,
            idempotency_key,
            received_at: now,
            run_time,
            last_polled_at: now,
            poll_in_flight: false,
            stopped_at: None,
        };
        self.state().attempts.push(new);
    }

    /// Holds a poll until the attempt ends or [`POLL_HOLD_TIME`] has passed, and returns the response.
    pub fn poll(&self, id: &str) -> Option<String> {
        let poll_deadline = Instant::now() + POLL_HOLD_TIME;
        loop {
            let mut state = self.state();
            let Some(attempt) = state.attempts.iter_mut().find(|attempt| attempt.id == id) else {
                return Some(http_response("500 Oops", "", ""));
            };
            let (ended_at, now) = (attempt.ended_at(), Instant::now());
            // A poll does not revive an attempt that ended for lack of polls.
            attempt.stopped_at = attempt
                .stopped_at
                .or(ended_at.filter(|at| *at < attempt.received_at + attempt.run_time));
            (attempt.poll_in_flight, attempt.last_polled_at) =
                (ended_at.is_none() && now < poll_deadline, now);
            if ended_at.is_some() || now >= poll_deadline {
                let (attempt, succeeded) = (
                    attempt.clone(),
                    ended_at.is_some() && attempt.stopped_at.is_none(),
                );
                state.poll_responses += 1;
                if attempt.has_directive("second news spoilt") && state.poll_responses == 2 {
                    return Some("\u{1}\u{2} no head at all\r\n\r\n".into());
                }
                return Some(match (ended_at, succeeded) {
                    (None, _) if attempt.has_directive("notes") => {
                        http_response("202 Not yet", "X-Result: frac\r\nNote-Value: 0.250\r\n", "")
                    }
                    (None, _) => http_response("202 Not yet", "", ""),
                    (Some(_), true) => http_response("200 OK", "Result-Pages: 1\r\n", ROWS),
                    (Some(_), false) => http_response("500 Oops", "", ""),
                });
            }
            drop(state);
            sleep(ms(2));
        }
    }

    /// Cancels an attempt and returns the response. A `delete` directive makes the first cancel call of the process
    /// fail; `None` closes the connection.
    pub fn cancel(&self, id: &str) -> Option<String> {
        let mut state = self.state();
        state.cancel_requests += 1;
        let first = state.cancel_requests == 1;
        let attempt = state.attempts.iter_mut().find(|attempt| attempt.id == id);
        if let Some(attempt) = attempt {
            if first && attempt.has_directive("delete reset") {
                return None;
            }
            if first && attempt.has_directive("delete spoilt") {
                return Some("\u{1}\u{2} no head at all\r\n\r\n".into());
            }
            if first && attempt.has_directive("delete silent") {
                drop(state);
                sleep(ms(1500));
                return None;
            }
            attempt.stopped_at = Some(attempt.ended_at().unwrap_or_else(Instant::now));
        }
        Some(http_response("204 No Content", "", ""))
    }

    /// Returns all attempts in the order received.
    pub fn attempts(&self) -> Vec<ReceivedAttempt> {
        self.state().attempts.clone()
    }
}
