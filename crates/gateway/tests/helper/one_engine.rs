//! A gateway whose queries all go to one engine, which records the order in which attempts reach it, and queries of one
//! ordering key.

use super::faults::Faults;
use super::process::{ms, FakeEngineProcess};
use super::*;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::thread::sleep;

/// The least times, by the protocol, between two requests of a key, after one on an open and on a new connection.
pub const GAP_MS: u64 = 60;
pub const NEW_CONNECTION_GAP_MS: u64 = 250;
/// Time from the last request to the end of the stall.
pub const REST_OF_STALL_MS: u64 = 20;

/// State of a connection when the gateway process is stopped.
#[derive(Clone, Copy, Debug)]
pub enum ConnectionState {
    /// The gateway has served a request on it.
    Open,
    /// It is not yet connected.
    New,
}

/// A gateway whose queries all go to one engine.
pub struct OneEngine {
    pub test_bed: TestBed,
    pub engine: FakeEngineProcess,
}

impl OneEngine {
    pub fn start() -> OneEngine {
        OneEngine::start_with_launcher(serve)
    }

    pub fn start_with_faults(faults: &Faults) -> OneEngine {
        OneEngine::start_with_launcher(|config| {
            let mut command = gateway_command(&["serve"]);
            faults.apply_to(&mut command);
            command
                .env("PROXY_CONFIG", write_config(config))
                .stderr(std::process::Stdio::null())
                .spawn()
                .unwrap()
        })
    }

    pub fn start_with_launcher(serve: impl Fn(&Value) -> std::process::Child) -> OneEngine {
        let engine = FakeEngineProcess::start();
        let address = engine.address;
        let change = |config: &mut Value| {
            config["known"]["results"] =
                json!([full_list_event(0, &[endpoint("s-0", address, "SERVING")])]);
        };
        let test_bed = TestBed::start_with_launcher(change, serve);
        OneEngine { test_bed, engine }
    }

    /// Opens a connection and gets one answer on it.
    pub fn open_connection(&self) -> TcpStream {
        let stream = self.test_bed.open();
        stream.set_nodelay(true).unwrap();
        assert!(round_trip(stream.try_clone().unwrap(), "GET /healthz", "", "").is_some());
        stream
    }

    pub fn new_connection(&self) -> TcpStream {
        let stream = self.test_bed.open();
        stream.set_nodelay(true).unwrap();
        stream
    }

    /// Stops the gateway process with two connections, opened before or after it is stopped.
    pub fn pause_with_two_connections(&self, state: ConnectionState) -> [TcpStream; 2] {
        match state {
            ConnectionState::Open => {
                let connections = [(); 2].map(|()| self.open_connection());
                self.test_bed.pause();
                connections
            }
            ConnectionState::New => {
                self.test_bed.pause();
                [(); 2].map(|()| self.new_connection())
            }
        }
    }

    /// Lets the gateway go on, reads the answers on these connections, and asserts that the engine received the
    /// statements in this order.
    pub fn assert_order(&self, streams: &[&TcpStream], statements: &[&str]) {
        sleep(ms(REST_OF_STALL_MS));
        self.test_bed.signal("CONT");
        streams.iter().for_each(|stream| assert_succeeds(stream));
        let received = self.received("INSERT");
        let beginnings = |statements: &[&str]| -> Vec<String> {
            statements
                .iter()
                .map(|text| text.chars().take(20).collect())
                .collect()
        };
        let received: Vec<&str> = received.iter().map(String::as_str).collect();
        assert!(
            received == statements,
            "order at the engine: {:?}, expected {:?}",
            beginnings(&received),
            beginnings(statements)
        );
    }

    /// Returns the statements with this beginning that the engine received, in the order received.
    pub fn received(&self, beginning: &str) -> Vec<String> {
        let attempts = self.engine.attempts();
        let statements = attempts.into_iter().map(|attempt| attempt.statement);
        statements
            .filter(|statement| statement.starts_with(beginning))
            .collect()
    }
}

/// Formats a non-idempotent query with the ordering key of these tests.
pub fn load(statement: &str) -> String {
    request_text("load", "X-Item: 7f3a9c21e0b4d655\r\n", statement)
}

/// Formats an idempotent query without an ordering key.
pub fn report(statement: &str) -> String {
    request_text("report", "", statement)
}

pub fn request_text(class: &str, more_headers: &str, statement: &str) -> String {
    let headers = request_headers(&new_id(), 2900) + more_headers;
    let length = statement.len();
    format!("POST /v1/{class} HTTP/1.1\r\nHost: g\r\n{headers}Content-Length: {length}\r\n\r\n{statement}")
}

/// Reads an answer and asserts that the query succeeded.
pub fn assert_succeeds(stream: &TcpStream) {
    let message = read_message(&mut BufReader::new(stream)).expect("an answer");
    assert!(Answer::of(message).succeeded());
}

pub fn write(mut stream: &TcpStream, text: &str) {
    stream.write_all(text.as_bytes()).unwrap();
}
