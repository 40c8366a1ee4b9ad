//! Test bed of the socket tests: raw HTTP clients, a fake engine, a fake change log, and the gateway program started
//! between them. A directive in a comment of a statement, such as `/* slow */`, tells the fake engine how to deviate
//! from the protocol.

#![allow(dead_code)] // Each test program uses only some of the helpers.

pub mod fault_schedule;
pub mod faults;
pub mod one_engine;
pub mod process;
pub mod scripted_log;
pub mod seeds;

use faults::Faults;
use serde_json::{json, Value};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// Result page of a fake engine: two rows of three tab-separated columns, with characters that JSON has to escape.
pub const ROWS: &str = "a\tb\"\\\t\u{1} é\nc\t\t漢\n";
/// The columns of [`ROWS`], as the gateway returns them in its JSON answer.
pub const ROWS_AS_JSON: [[&str; 3]; 2] = [["a", "b\"\\", "\u{1} é"], ["c", "", "漢"]];

/// An HTTP request or response.
pub struct Message {
    pub start_line: String,
    /// Header fields by their names in lower case.
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

/// Reads one HTTP message with the body that its `Content-Length` announces. Returns `None` where the connection ends
/// before the message is complete.
pub fn read_message(reader: &mut impl BufRead) -> Option<Message> {
    let mut line = || {
        let mut line = String::new();
        reader
            .read_line(&mut line)
            .ok()
            .filter(|n| *n > 0)
            .map(|_| line.trim_end().to_string())
    };
    let start_line = line()?;
    let mut headers = HashMap::new();
    loop {
        let text = line()?;
        let Some((name, value)) = text.split_once(':') else {
            break;
        };
        headers.insert(name.to_ascii_lowercase(), value.trim().to_string());
    }
    let length = headers
        .get("content-length")
        .and_then(|n| n.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Message {
        start_line,
        headers,
        body,
    })
}

/// An attempt that the fake engine has been asked to start.
#[derive(Clone)]
pub struct StartedAttempt {
    pub statement: String,
    /// Time of the latest start.
    pub started_at: Instant,
    /// Number of starts received with the id of this attempt.
    pub starts: u32,
}

/// An engine that follows the protocol unless a directive in the statement says otherwise.
///
/// `full once` rejects the first start. `error` fails each start and poll, `silent` answers none of them. `reset`
/// closes the connection of a start. `late` delays the response to a start by 2 s. `slow` and `very slow` run for 0.9 s
/// and 2.3 s. `forgets` answers polls as if the attempt were unknown. `keeps delete` never completes, and delays the
/// response to a cancellation by 5 s. `loses delete` closes the connection of the first cancellation. `empty`, `huge`,
/// `no count`, `pages` and `lost page` choose the result. `spoilt` and one or two more words choose a corruption of the
/// first response.
#[derive(Clone)]
pub struct FakeEngine {
    pub address: SocketAddr,
    /// Received requests in order, each as method, path and body.
    pub requests: Arc<Mutex<Vec<String>>>,
    /// Started attempts by the id in `x-trace`.
    pub started: Arc<Mutex<HashMap<String, StartedAttempt>>>,
}

impl FakeEngine {
    /// Starts an engine that listens on a free loopback port and serves each connection on its own thread.
    pub fn start() -> FakeEngine {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let engine = FakeEngine {
            address,
            requests: Arc::default(),
            started: Arc::default(),
        };
        let shared = engine.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = shared.clone();
                spawn(move || engine.serve(stream));
            }
        });
        engine
    }

    /// Answers the requests of one connection until the connection ends or a directive closes it.
    pub fn serve(&self, stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some(request) = read_message(&mut reader) {
            let mut words = request.start_line.split(' ');
            let (method, path) = (words.next().unwrap(), words.next().unwrap().to_string());
            let body = String::from_utf8_lossy(&request.body).into_owned();
            self.requests
                .lock()
                .unwrap()
                .push(format!("{method} {path} {body}").trim_end().into());
            let id = match method {
                "POST" => request.headers["x-trace"].clone(),
                _ => path.split('/').nth(2).unwrap_or_default().to_string(),
            };
            let mut started = self.started.lock().unwrap();
            if method == "POST" {
                let earlier_starts = started.get(&id).map_or(0, |attempt| attempt.starts);
                let attempt = StartedAttempt {
                    statement: body,
                    started_at: Instant::now(),
                    starts: earlier_starts + 1,
                };
                started.insert(id.clone(), attempt);
            }
            let known = started.get(&id).cloned();
            drop(started);
            let statement = known.as_ref().map(|attempt| attempt.statement.clone());
            let statement = statement.unwrap_or_default();
            let first = method == "POST"
                || !path.ends_with("/0") && self.requests(&format!("GET {path}")) == 1;
            if method == "DELETE"
                && statement.contains("loses delete")
                && self.requests(&format!("DELETE {path}")) == 1
            {
                return;
            }
            let Some(answer) = engine_response(method, &path, known) else {
                return;
            };
            let answer = if first {
                corrupted(&statement, answer)
            } else {
                answer
            };
            if (&stream).write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Returns the number of received requests that begin with `start`, such as `POST` or `DELETE /c/ID`.
    pub fn requests(&self, start: &str) -> usize {
        self.requests
            .lock()
            .unwrap()
            .iter()
            .filter(|request| request.starts_with(start))
            .count()
    }
}

/// Formats an HTTP response with a `Content-Length`; `headers` holds complete header lines with their line ends.
pub fn http_response(status: &str, headers: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Corrupts a response as the statement's `/* spoilt ... */` directive says; returns it unchanged without one.
pub fn corrupted(statement: &str, answer: String) -> String {
    let directive = statement
        .split_once("/* spoilt ")
        .and_then(|(_, rest)| rest.split_once(" */"));
    match directive.map(|(corruption, _)| corruption) {
        Some("noise") => "\u{1}\u{2} no head at all\r\n\r\n".into(),
        Some("endless head") => format!("HTTP/1.1 200 OK\r\nX-Long: {}", "x".repeat(1 << 20)),
        Some("length") => answer.replace("Content-Length: ", "Content-Length: 9"),
        Some("gigabytes") => {
            answer.replace("Content-Length: ", "Content-Length: 30000000") + &"a\t\t\n".repeat(9999)
        }
        Some("rows") => answer.replace('\t', "#"),
        Some("1xx ahead") => format!("HTTP/1.1 103 Early Hints\r\n\r\n{answer}"),
        Some("surplus") => format!(
            "{answer}{}",
            http_response("200 OK", "Result-Pages: 1\r\n", "of\tanother\t\n")
        ),
        _ => answer,
    }
}

/// Returns the fake engine's response to a request, or `None` to close the connection instead. `known` is the attempt
/// that the request names, if it was started.
pub fn engine_response(method: &str, path: &str, known: Option<StartedAttempt>) -> Option<String> {
    if path == "/stats" {
        return Some(http_response("200 OK", "X-Stats: queue:0;util:0.1\r\n", ""));
    }
    let Some(StartedAttempt {
        statement,
        started_at,
        starts,
    }) = known
    else {
        return Some(http_response("500 Oops", "", ""));
    };
    let has_directive = |word: &str| statement.contains(&format!("/* {word} */"));
    if method == "DELETE" {
        sleep(Duration::from_secs(if has_directive("keeps delete") {
            5
        } else {
            0
        }));
        return Some(http_response("204 No Content", "", ""));
    }
    let page = path
        .rsplit('/')
        .next()
        .and_then(|n| n.parse::<usize>().ok())
        .unwrap_or(0);
    if method == "POST" && has_directive("full once") && starts == 1 {
        return Some(http_response("503 Full", "X-Declined: 1\r\n", ""));
    }
    if has_directive("error") {
        return Some(http_response("500 Oops", "", ""));
    }
    if method == "POST" && has_directive("reset") {
        return None;
    }
    if method == "GET" && has_directive("forgets") {
        return Some(http_response("500 Oops", "", ""));
    }
    if method == "POST" && has_directive("late") {
        sleep(Duration::from_secs(2));
    }
    if has_directive("silent") {
        sleep(Duration::from_secs(5));
        return None;
    }
    let slow = has_directive("slow") && started_at.elapsed() < Duration::from_millis(900);
    if has_directive("keeps delete")
        || slow
        || has_directive("very slow") && started_at.elapsed() < Duration::from_millis(2300)
    {
        sleep(Duration::from_millis(250));
        return Some(http_response("202 Not yet", "", ""));
    }
    let end = "Query-Cost: 12\r\nQuery-Need: 64\r\n";
    Some(match page {
        _ if has_directive("empty") => {
            http_response("200 OK", &format!("Result-Pages: 1\r\n{end}"), "")
        }
        _ if has_directive("no count") => http_response("200 OK", end, ROWS),
        _ if has_directive("huge") => http_response(
            "200 OK",
            &format!("Result-Pages: 1\r\n{end}"),
            &"x\ty\tz\n".repeat(2000),
        ),
        0 if has_directive("pages") || has_directive("lost page") => {
            http_response("200 OK", &format!("Result-Pages: 3\r\n{end}"), ROWS)
        }
        0 => http_response("200 OK", &format!("Result-Pages: 1\r\n{end}"), ROWS),
        2 if has_directive("lost page") => http_response("500 Oops", "", ""),
        n => http_response(
            "200 OK",
            &format!("Result-Page: {n}\r\n"),
            &format!("p{n}\t\t\n"),
        ),
    })
}

/// A change log that sends its events to every reader and closes the streams on demand.
#[derive(Clone)]
pub struct FakeChangeLog {
    pub address: SocketAddr,
    /// Published events as JSON texts; the first one has the number 1.
    pub events: Arc<Mutex<Vec<String>>>,
    /// The `Last-Event-ID` of each connection, in the order in which the connections were accepted.
    pub last_event_ids: Arc<Mutex<Vec<usize>>>,
    /// Connections that [`FakeChangeLog::close_streams`] shuts down.
    pub streams: Arc<Mutex<Vec<TcpStream>>>,
    /// While set, no stream gets anything, not even keep-alive comments.
    pub paused: Arc<AtomicBool>,
}

impl FakeChangeLog {
    pub fn start() -> FakeChangeLog {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let log = FakeChangeLog {
            address,
            events: Arc::default(),
            last_event_ids: Arc::default(),
            streams: Arc::default(),
            paused: Arc::default(),
        };
        let shared = log.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let log = shared.clone();
                spawn(move || log.serve(stream));
            }
        });
        log
    }

    pub fn serve(&self, stream: TcpStream) {
        let request = read_message(&mut BufReader::new(stream.try_clone().unwrap())).unwrap();
        let mut sent_events: usize = request.headers["last-event-id"].parse().unwrap();
        self.last_event_ids.lock().unwrap().push(sent_events);
        self.streams
            .lock()
            .unwrap()
            .push(stream.try_clone().unwrap());
        let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
        let mut out = head.to_string();
        while (&stream).write_all(out.as_bytes()).is_ok() {
            out = ":\n\n".into();
            for event in self.events.lock().unwrap().iter().skip(sent_events) {
                sent_events += 1;
                out += &format!("id: {sent_events}\ndata: {event}\n\n");
            }
            sleep(Duration::from_millis(20));
            while self.paused.load(Ordering::Relaxed) {
                sleep(Duration::from_millis(20));
            }
        }
    }

    /// Sends an event to all current and future readers.
    pub fn publish(&self, event: Value) {
        self.events.lock().unwrap().push(event.to_string());
    }

    /// Shuts down the connections of all readers.
    pub fn close_streams(&self) {
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

/// Returns an endpoint list entry; `state` is `SERVING`, `DRAINING` or `DELETED`.
pub fn endpoint(id: &str, address: SocketAddr, state: &str) -> Value {
    json!({"id": id, "addr": address.to_string(), "zone": "east", "kind": "std", "cell": 0, "state": state,
        "weight": 1, "started_ms": 0})
}

/// Returns an event that replaces the whole endpoint list.
pub fn full_list_event(number: u64, servers: &[Value]) -> Value {
    json!({"seq": number, "fleet": {"version": number, "full": true, "servers": servers}})
}

/// Returns an event that adds or changes some endpoints.
pub fn list_change_event(number: u64, servers: &[Value]) -> Value {
    json!({"seq": number, "fleet": {"version": number, "full": false, "servers": servers}})
}

/// A running gateway with a fake engine and a fake change log. The gateway is killed when the test bed is dropped.
pub struct TestBed {
    pub engine: FakeEngine,
    pub log: FakeChangeLog,
    /// The configuration that the gateway was started with.
    pub config: Value,
    /// The address at which the gateway accepts clients.
    pub address: SocketAddr,
    pub child: Child,
}

/// Source of the ids, addresses and file names that are unique within this test process.
pub static NEXT_NUMBER: AtomicU64 = AtomicU64::new(1);

/// Returns a query class of the settings; `limit` is its longest allowed time in milliseconds.
pub fn query_class(name: &str, semantics: &str, limit: f64) -> Value {
    json!({"name": name, "semantics": semantics, "give-up": limit, "goal-time": limit / 2.0, "worth": 1.0,
        "late-share": 0.5, "one-at-a-time": name == "load"})
}

/// Returns a loopback address and port, outside the ephemeral port range, that no other test and no concurrent run
/// uses.
pub fn free_address() -> SocketAddr {
    let (run, number) = (
        std::process::id(),
        NEXT_NUMBER.fetch_add(1, Ordering::Relaxed),
    );
    let parts = [
        127,
        64 + run % 128,
        run / 128 % 256,
        number as u32 % 254 + 1,
    ]
    .map(|part| part as u8);
    // Every 254 addresses the port changes.
    SocketAddr::from((parts, 4100 + (number / 254 % 1000) as u16))
}

/// Returns the configuration of a gateway with one engine `s-1`, the tenant `acme`, and two query classes: `report`,
/// which is idempotent, and `load`, which is not and runs one query of a key at a time.
pub fn config(engine: SocketAddr, log: SocketAddr) -> Value {
    json!({"name": "n0", "listen": free_address().to_string(), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256}, "changelog": log.to_string(),
        "known": {"seq": 0, "results": [full_list_event(0, &[endpoint("s-1", engine, "SERVING")])]},
        "settings": {
            "allowed": {"dial-timeout": 250.0, "idle-close": 30000.0, "cancelling": true, "max-attempts": 2,
                "retry-after": true, "max-retry-after": 1000.0, "may-probe": true, "open-cap": 20000},
            "categories": [query_class("report", "retryable", 3000.0), query_class("load", "fragile", 3000.0)],
            "domain": {"kind-cores": [64], "parallelism": [1, 1], "loads": [false, false]},
            "kinds": ["std"], "zones": ["east"], "rules": {"order-pause": 200.0},
            "telemetry": {"fields": ["depth", "load_share"], "how": "on_probe"},
            "tenants": [{"name": "acme"}]}})
}

/// Writes a configuration to a new file and returns its path.
pub fn write_config(config: &Value) -> std::path::PathBuf {
    let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"))
        .join(format!("config-{}-{number}.json", std::process::id()));
    std::fs::write(&path, config.to_string()).unwrap();
    path
}

/// Returns the command that runs the gateway program, without the `PROXY_*` variables of the environment and with the
/// machine faults that `GATEWAY_TEST_FAULTS` asks for.
pub fn gateway_command(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_garnetwall"));
    command.args(arguments);
    for name in ["PROXY_CONFIG", "PROXY_NAME", "PROXY_LISTEN"] {
        command.env_remove(name);
    }
    if let Some(faults) = Faults::from_environment() {
        faults.apply_to(&mut command);
    }
    command
}

/// Starts a gateway and discards its log.
pub fn serve(config: &Value) -> Child {
    serve_from(&write_config(config), Stdio::null())
}

/// Starts a gateway with a configuration file and writes its log to `log`.
pub fn serve_from(file: &std::path::Path, log: Stdio) -> Child {
    gateway_command(&["serve"])
        .env("PROXY_CONFIG", file)
        .stderr(log)
        .spawn()
        .unwrap()
}

impl TestBed {
    pub fn start() -> TestBed {
        TestBed::start_with(|_| {})
    }

    /// Starts a test bed with a configuration that `change` has altered, and waits until the gateway is healthy.
    pub fn start_with(change: impl Fn(&mut Value)) -> TestBed {
        TestBed::start_with_launcher(change, serve)
    }

    /// Does the same as [`TestBed::start_with`], with a gateway process that `serve` starts.
    pub fn start_with_launcher(
        change: impl Fn(&mut Value),
        serve: impl Fn(&Value) -> Child,
    ) -> TestBed {
        let (engine, log) = (FakeEngine::start(), FakeChangeLog::start());
        let mut config = config(engine.address, log.address);
        change(&mut config);
        let address = config["listen"].as_str().unwrap().parse().unwrap();
        let child = serve(&config);
        let test_bed = TestBed {
            engine,
            log,
            config,
            address,
            child,
        };
        test_bed.wait_until_healthy();
        test_bed
    }

    /// Waits until `/healthz` answers 200; panics after 500 tries, 10 ms apart.
    pub fn wait_until_healthy(&self) {
        for _ in 0..500 {
            if let Some(answer) = TcpStream::connect(self.address)
                .ok()
                .and_then(|s| round_trip(s, "GET /healthz", "", ""))
            {
                if answer.start_line == "HTTP/1.1 200 OK" {
                    return;
                }
            }
            sleep(Duration::from_millis(10));
        }
        panic!("/healthz did not answer 200 in 500 tries");
    }

    /// Opens a client connection.
    pub fn open(&self) -> TcpStream {
        TcpStream::connect(self.address).unwrap()
    }

    /// Sends one query with a new id and 3 s allowed on its own connection, and returns the answer.
    pub fn query(&self, class: &str, statement: &str) -> Answer {
        let id = new_id();
        self.query_with_id(&id, class, 3000, statement)
    }

    /// Sends one query on its own connection and returns the answer.
    pub fn query_with_id(&self, id: &str, class: &str, allowed_ms: u32, statement: &str) -> Answer {
        let answer = round_trip(
            self.open(),
            &format!("POST /v1/{class}"),
            &request_headers(id, allowed_ms),
            statement,
        );
        Answer::of(answer.expect("an answer"))
    }

    /// Sends a signal such as `TERM` to the gateway.
    pub fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.child.id());
        assert!(Command::new("sh")
            .args(["-c", &kill])
            .status()
            .unwrap()
            .success());
    }
}

impl TestBed {
    /// Stops the gateway process with SIGSTOP and waits until it is stopped. SIGCONT resumes it.
    pub fn pause(&self) {
        self.signal("STOP");
        let stat = format!("/proc/{}/stat", self.child.id());
        wait_until("the gateway process is stopped", || {
            std::fs::read_to_string(&stat).is_ok_and(|s| s.contains(") T "))
        });
    }
}

impl Drop for TestBed {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The gateway's answer to a query.
#[derive(Debug, PartialEq)]
pub struct Answer {
    pub status: u16,
    /// The body, or null where it is not JSON.
    pub json: Value,
    /// Value of `x-wait-ms` in milliseconds, if the answer has this field.
    pub retry_after_ms: Option<u64>,
}

impl Answer {
    pub fn of(message: Message) -> Answer {
        let status = message
            .start_line
            .split(' ')
            .nth(1)
            .unwrap()
            .parse()
            .unwrap();
        let json = serde_json::from_slice(&message.body).unwrap_or(Value::Null);
        Answer {
            status,
            json,
            retry_after_ms: message.headers.get("x-wait-ms").map(|v| v.parse().unwrap()),
        }
    }

    /// Returns whether the answer carries rows.
    pub fn succeeded(&self) -> bool {
        self.status == 200 && self.json.get("error").is_none()
    }
}

/// Returns a query id that is unique within this test process.
pub fn new_id() -> String {
    format!(
        "{:016x}",
        0x9b1f_0000_0000_0000_u64 + NEXT_NUMBER.fetch_add(1, Ordering::Relaxed)
    )
}

/// Returns the headers of a query of the tenant `acme` with this id and allowed time.
pub fn request_headers(id: &str, allowed_ms: u32) -> String {
    format!("X-Job-Id: {id}\r\nX-Allow-Ms: {allowed_ms}\r\nX-Team: acme\r\n")
}

/// Writes a request with its `Content-Length`.
pub fn send_request(stream: &TcpStream, request_line: &str, headers: &str, body: &str) {
    let text = format!(
        "{request_line} HTTP/1.1\r\nHost: origin.svc\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut stream = stream;
    stream.write_all(text.as_bytes()).unwrap();
}

/// Sends a request and reads the response. Returns `None` where the connection ends first.
pub fn round_trip(
    stream: TcpStream,
    request_line: &str,
    headers: &str,
    body: &str,
) -> Option<Message> {
    send_request(&stream, request_line, headers, body);
    read_message(&mut BufReader::new(stream))
}

/// Waits until a condition holds; panics with the name of the condition after 400 checks, 10 ms apart.
pub fn wait_until(condition: &str, done: impl Fn() -> bool) {
    for _ in 0..400 {
        if done() {
            return;
        }
        sleep(Duration::from_millis(10));
    }
    panic!("condition not met in 400 checks: {condition}");
}
