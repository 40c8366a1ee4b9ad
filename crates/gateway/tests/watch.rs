//! The watch of the change log while other events happen: engines or idle clients use all descriptors, streams are
//! silent or nearly so, SIGHUP arrives at each step, and event numbers are late, repeated or too high. The tests write
//! every byte that the log sends.

mod helper;

use garnetwall_gateway::engines::result_rows::MAX_RESULT_BYTES;
use garnetwall_gateway::system::resource_budget::{ResourceBudget, ResourceLimits};
use helper::process::ms;
use helper::*;
use serde_json::{json, Value};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// Time limit for a connection to the log, far more than any expected one takes.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(8);
/// Time without a complete line after which the gateway opens another connection.
const PROGRESS_TIMEOUT: Duration = Duration::from_millis(2500);
/// Tolerance for a busy machine.
const TOLERANCE: Duration = Duration::from_millis(400);
/// Longest wait before a new connection, with the test bed's `dial-timeout` of 250 ms.
const LONGEST_BACKOFF: Duration = Duration::from_millis(500);

/// A fake change log of which the test writes every byte.
struct ScriptedChangeLog {
    listener: TcpListener,
    address: SocketAddr,
}

impl ScriptedChangeLog {
    fn start() -> ScriptedChangeLog {
        ScriptedChangeLog::at(SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    fn at(address: SocketAddr) -> ScriptedChangeLog {
        let listener = TcpListener::bind(address).unwrap();
        listener.set_nonblocking(true).unwrap();
        ScriptedChangeLog {
            address: listener.local_addr().unwrap(),
            listener,
        }
    }

    /// Accepts the next connection and reads its request, or returns `None` when the time has passed.
    fn accept_within(&self, within: Duration) -> Option<WatchConnection> {
        let until = Instant::now() + within;
        loop {
            match self.listener.accept() {
                Ok((stream, _)) => return Some(WatchConnection::of(stream)),
                Err(_) if Instant::now() >= until => return None,
                Err(_) => sleep(ms(1)),
            }
        }
    }

    /// Accepts the next connection and sends the response head and a comment.
    fn accept_and_answer(&self) -> WatchConnection {
        let watch = self
            .accept_within(CONNECTION_TIMEOUT)
            .expect("a connection to the log");
        watch.write(HEAD);
        watch.write(COMMENT);
        watch
    }
}

const HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
const COMMENT: &str = ":\n\n";

/// A connection to the log whose request has been read.
struct WatchConnection {
    stream: TcpStream,
    /// The `Last-Event-ID` of the request.
    last_event_id: u64,
    accepted_at: Instant,
}

impl WatchConnection {
    fn of(stream: TcpStream) -> WatchConnection {
        let accepted_at = Instant::now();
        stream.set_nonblocking(false).unwrap();
        stream.set_nodelay(true).unwrap();
        let call = read_message(&mut BufReader::new(stream.try_clone().unwrap()))
            .expect("a request should arrive");
        assert_eq!(call.start_line, "GET /changes HTTP/1.1");
        WatchConnection {
            stream,
            last_event_id: call.headers["last-event-id"].parse().unwrap(),
            accepted_at,
        }
    }

    fn write(&self, text: &str) {
        (&self.stream)
            .write_all(text.as_bytes())
            .expect("the connection is open");
    }

    fn send_event(&self, event: &Value) {
        self.write(&format!("id: {}\ndata: {event}\n\n", event["seq"]));
    }

    /// Returns whether the gateway closes the connection within a time. Panics where the gateway sends anything on it.
    fn is_closed(&self, within: Duration) -> bool {
        self.stream.set_read_timeout(Some(within)).unwrap();
        match (&self.stream).read(&mut [0; 64]) {
            Ok(0) => true,
            Ok(n) => panic!("the gateway sent {n} bytes after its request"),
            Err(e) => !matches!(
                e.kind(),
                std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
            ),
        }
    }

    /// Sends comments until the returned guard is dropped.
    fn send_keepalives(&self) -> Keepalives {
        let (stream, on) = (
            self.stream.try_clone().unwrap(),
            Arc::new(AtomicBool::new(true)),
        );
        let keepalives = Keepalives(on.clone());
        spawn(move || {
            while on.load(Ordering::Relaxed) && (&stream).write_all(COMMENT.as_bytes()).is_ok() {
                sleep(ms(200));
            }
        });
        keepalives
    }
}

/// Sends comments on a connection until it is dropped.
struct Keepalives(Arc<AtomicBool>);

impl Drop for Keepalives {
    fn drop(&mut self) {
        self.0.store(false, Ordering::Relaxed);
    }
}

/// Starts a test bed that follows this change log, without health checks.
fn start_watching(log: SocketAddr, change_more: impl Fn(&mut Value)) -> TestBed {
    TestBed::start_with(|config| {
        config["changelog"] = json!(log.to_string());
        config["settings"]["allowed"]["may-probe"] = json!(false);
        change_more(config);
    })
}

/// Returns a full endpoint list with this engine alone.
fn list_of_one(number: u64, engine: &FakeEngine) -> Value {
    full_list_event(
        number,
        &[endpoint(&format!("s-{number}x"), engine.address, "SERVING")],
    )
}

/// Returns whether the next query succeeds at this engine.
fn next_query_reaches(test_bed: &TestBed, engine: &FakeEngine) -> bool {
    let before = engine.requests("POST");
    test_bed.query("report", "SELECT 1").succeeded() && engine.requests("POST") > before
}

/// Waits until queries reach the engine of the list that was sent.
fn wait_until_in_force(test_bed: &TestBed, engine: &FakeEngine) {
    wait_until("the list sent is in force", || {
        next_query_reaches(test_bed, engine)
    });
}

// Descriptors.

/// The log is lost and hanging engines use all descriptors for engine connections. Then the log is back and lists these
/// engines as draining.
#[test]
fn engines_that_use_all_their_descriptors_do_not_block_the_watch() {
    const SOCKETS: usize = 64;
    let (log, hanging, other) = (
        ScriptedChangeLog::start(),
        FakeEngine::start(),
        FakeEngine::start(),
    );
    let lines = |state: &str| -> Vec<Value> {
        (0..40)
            .map(|n| endpoint(&format!("s-{n}"), hanging.address, state))
            .collect()
    };
    let test_bed = start_watching(log.address, |config| {
        config["limits"]["sockets"] = json!(SOCKETS);
        config["known"]["results"] = json!([full_list_event(0, &lines("SERVING"))]);
    });
    let first = log.accept_and_answer();
    let address = log.address;
    drop((log, first));
    let limits = ResourceLimits {
        descriptors: SOCKETS,
        memory_mb: 192,
        max_result_bytes: MAX_RESULT_BYTES,
    };
    let all = ResourceBudget::from_limits(limits)
        .engine_connections
        .available_permits();
    let began = Instant::now();
    let send_query = |_| {
        let stream = test_bed.open();
        send_request(
            &stream,
            "POST /v1/report",
            &request_headers(&new_id(), 3000),
            "SELECT 1 /* keeps delete */",
        );
        stream
    };
    let streams: Vec<TcpStream> = (0..SOCKETS / 3).map(send_query).collect();
    wait_until("all descriptors of engine connections are in use", || {
        hanging.requests("POST") >= all
    });
    assert!(
        began.elapsed() < ms(1500),
        "the queries should still be active"
    );
    let log = ScriptedChangeLog::at(address);
    let watch = log.accept_within(LONGEST_BACKOFF + TOLERANCE).expect(
        "the gateway should connect to the log although engine connections use their whole budget",
    );
    watch.write(HEAD);
    let mut endpoints = lines("DRAINING");
    endpoints.push(endpoint("s-other", other.address, "SERVING"));
    watch.send_event(&list_change_event(1, &endpoints));
    let _keepalives = watch.send_keepalives();
    for stream in streams {
        read_message(&mut BufReader::new(stream)).expect("an answer should arrive");
    }
    let before = hanging.requests("POST");
    wait_until_in_force(&test_bed, &other);
    assert_eq!(
        hanging.requests("POST"),
        before,
        "number of attempts at the draining engines"
    );
}

/// The log is down and idle clients use all descriptors for clients. Then the log is back.
#[test]
fn idle_clients_that_use_all_descriptors_block_neither_queries_nor_the_watch() {
    const SOCKETS: usize = 64;
    let log = ScriptedChangeLog::start();
    let (address, other) = (log.address, FakeEngine::start());
    drop(log);
    let limited = |config: &Value| {
        let start = format!(
            "ulimit -n {SOCKETS}; exec {} serve",
            env!("CARGO_BIN_EXE_garnetwall")
        );
        let mut command = std::process::Command::new("sh");
        command
            .args(["-c", &start])
            .env("PROXY_CONFIG", write_config(config))
            .env_remove("PROXY_LISTEN");
        command.stderr(Stdio::null()).spawn().unwrap()
    };
    let test_bed = TestBed::start_with_launcher(
        |config| {
            config["changelog"] = json!(address.to_string());
            config["limits"]["sockets"] = json!(SOCKETS);
            config["settings"]["allowed"]["may-probe"] = json!(false);
        },
        limited,
    );
    let began = Instant::now();
    let idle = |n: usize| {
        let stream = test_bed.open();
        // Half of the clients are idle after an answer, the others send nothing.
        if n < SOCKETS {
            send_request(&stream, "GET /healthz", "", "");
            read_message(&mut BufReader::new(stream.try_clone().unwrap()))
                .expect("an answer should arrive");
        }
        stream
    };
    let idle: Vec<TcpStream> = (0..SOCKETS * 2).map(idle).collect();
    for _ in 0..5 {
        assert!(
            test_bed.query("report", "SELECT 1").succeeded(),
            "a new client should be served while the log is down"
        );
    }
    // The queries were served long before the gateway closes idle connections.
    let served = began.elapsed();
    assert!(
        served < ms(1900),
        "the queries were served only after {served:?}"
    );
    let log = ScriptedChangeLog::at(address);
    let watch = log
        .accept_within(LONGEST_BACKOFF + TOLERANCE)
        .expect("the gateway should connect to the log beside idle clients");
    watch.write(HEAD);
    watch.send_event(&list_of_one(1, &other));
    let _keepalives = watch.send_keepalives();
    wait_until_in_force(&test_bed, &other);
    drop(idle);
}

// Streams that are silent, or nearly so.

#[test]
fn bytes_without_a_complete_line_do_not_keep_a_stream_alive() {
    let (log, other) = (ScriptedChangeLog::start(), FakeEngine::start());
    let test_bed = start_watching(log.address, |_| {});
    let first = log.accept_and_answer();
    let stream = first.stream.try_clone().unwrap();
    let (started_at, on) = (Instant::now(), Arc::new(AtomicBool::new(true)));
    let keeps_sending = on.clone();
    spawn(move || {
        while keeps_sending.load(Ordering::Relaxed) && (&stream).write_all(b":").is_ok() {
            sleep(ms(500));
        }
    });
    let second = log
        .accept_within(PROGRESS_TIMEOUT + LONGEST_BACKOFF + TOLERANCE)
        .expect("the gateway should open another connection beside a trickling one");
    let after = second.accepted_at - started_at;
    assert!(
        after > ms(2000),
        "another connection after {after:?}, although one late comment is not silence"
    );
    on.store(false, Ordering::Relaxed);
    second.write(HEAD);
    second.send_event(&list_of_one(1, &other));
    let _keepalives = second.send_keepalives();
    wait_until_in_force(&test_bed, &other);
}

#[test]
fn response_head_does_not_keep_a_stream_alive() {
    let (log, other) = (ScriptedChangeLog::start(), FakeEngine::start());
    let test_bed = start_watching(log.address, |_| {});
    let first = log
        .accept_within(CONNECTION_TIMEOUT)
        .expect("a connection should arrive");
    sleep(ms(2000));
    first.write(HEAD);
    let second = log
        .accept_within(PROGRESS_TIMEOUT + LONGEST_BACKOFF + TOLERANCE - ms(2000))
        .expect("the gateway should open another connection beside a silent one");
    assert_eq!(
        second.last_event_id, 0,
        "the number of the event applied last"
    );
    second.write(HEAD);
    second.send_event(&list_of_one(1, &other));
    let _keepalives = second.send_keepalives();
    wait_until_in_force(&test_bed, &other);
}

/// An event of 3 MiB arrives in parts of 64 KiB and is applied once it is complete.
#[test]
fn large_event_in_many_parts_is_received_complete() {
    const MEGABYTES: usize = 3;
    let (log, other) = (ScriptedChangeLog::start(), FakeEngine::start());
    let test_bed = start_watching(log.address, |_| {});
    let watch = log.accept_and_answer();
    let mut event = list_of_one(1, &other);
    event["fleet"]["note"] = json!("x".repeat(MEGABYTES << 20));
    let text = format!("id: 1\ndata: {event}\n\n");
    let began = Instant::now();
    for part in text.as_bytes().chunks(64 << 10) {
        (&watch.stream).write_all(part).unwrap();
        sleep(ms(5));
    }
    let written = began.elapsed();
    let _keepalives = watch.send_keepalives();
    wait_until_in_force(&test_bed, &other);
    let took = began.elapsed();
    assert!(
        took < ms(2000),
        "written after {written:?}, applied after {took:?}"
    );
    assert!(
        log.accept_within(Duration::ZERO).is_none(),
        "the event should need no second connection"
    );
}

/// The list is published right after the last line of the first connection. The second connection sends its head as
/// late as it can and then nothing. The `dial-timeout` is so long that the backoff cannot cause a further connection.
#[test]
fn list_is_applied_within_seven_seconds_despite_two_silent_connections() {
    let (log, other) = (ScriptedChangeLog::start(), FakeEngine::start());
    let test_bed = start_watching(log.address, |config| {
        config["settings"]["allowed"]["dial-timeout"] = json!(1500.0)
    });
    let first = log.accept_and_answer();
    sleep(ms(300));
    first.write(COMMENT);
    let published_at = Instant::now();
    let second = log
        .accept_within(CONNECTION_TIMEOUT)
        .expect("a second connection should arrive");
    sleep(ms(2000));
    second.write(HEAD);
    let third = log.accept_and_answer();
    third.send_event(&list_of_one(1, &other));
    wait_until_in_force(&test_bed, &other);
    let took = published_at.elapsed();
    assert!(took < ms(7000), "applied {took:?} after it was published");
}

/// Another connection is opened beside each silent one, and the silent one stays open. Once a connection delivers an
/// event, the others are closed.
#[test]
fn each_silent_connection_gets_another_beside_it() {
    let (log, other) = (ScriptedChangeLog::start(), FakeEngine::start());
    let began = Instant::now();
    let test_bed = start_watching(log.address, |_| {});
    // The first connection is accepted and never answered; the second one gets the response head alone.
    let first = log
        .accept_within(CONNECTION_TIMEOUT)
        .expect("a connection should arrive");
    let second = log
        .accept_within(PROGRESS_TIMEOUT + LONGEST_BACKOFF + TOLERANCE)
        .expect("a second connection should arrive");
    second.write(HEAD);
    let third = log
        .accept_within(PROGRESS_TIMEOUT + LONGEST_BACKOFF + TOLERANCE)
        .expect("a third connection should arrive");
    assert!(
        !first.is_closed(ms(50)) && !second.is_closed(ms(50)),
        "a slow connection was closed when another one was opened"
    );
    third.write(HEAD);
    third.send_event(&list_of_one(1, &other));
    let _keepalives = third.send_keepalives();
    assert!(
        first.is_closed(TOLERANCE),
        "the first connection should be closed once another one delivers an event"
    );
    assert!(
        second.is_closed(TOLERANCE),
        "the second connection should be closed once another one delivers an event"
    );
    wait_until_in_force(&test_bed, &other);
    let took = began.elapsed();
    assert!(took < ms(7000), "applied {took:?} after the start");
    assert!(
        log.accept_within(ms(500)).is_none(),
        "the gateway opened a further connection"
    );
}

/// A silent connection is kept no longer than the time within which a published list has to apply.
#[test]
fn silent_connection_is_closed_after_seven_seconds() {
    let log = ScriptedChangeLog::start();
    let _test_bed = start_watching(log.address, |_| {});
    let silent = log
        .accept_within(CONNECTION_TIMEOUT)
        .expect("a connection should arrive");
    let second = log.accept_and_answer();
    let _keepalives = second.send_keepalives();
    // The gateway opened the connection shortly before the log accepted it.
    let allowed = ms(7000) - TOLERANCE;
    assert!(
        !silent.is_closed(allowed.saturating_sub(silent.accepted_at.elapsed())),
        "the silent connection was closed before its time limit"
    );
    assert!(
        silent.is_closed((allowed + TOLERANCE * 2).saturating_sub(silent.accepted_at.elapsed())),
        "the silent connection is open after its time limit"
    );
    assert!(
        !second.is_closed(ms(100)) && log.accept_within(ms(100)).is_none(),
        "the live connection should be the only one and stay open"
    );
}

#[test]
fn log_that_closes_at_once_is_reconnected_to_at_most_once_per_backoff() {
    let log = ScriptedChangeLog::start();
    let _test_bed = start_watching(log.address, |_| {});
    drop(
        log.accept_within(CONNECTION_TIMEOUT)
            .expect("a connection should arrive"),
    );
    let began = Instant::now();
    let mut connections = 0;
    while let Some(watch) = log.accept_within(ms(3000).saturating_sub(began.elapsed())) {
        watch.write(HEAD);
        drop(watch);
        connections += 1;
    }
    assert!(
        (5..=12).contains(&connections),
        "{connections} connections in 3 s at a backoff of 250 ms"
    );
}

/// The gateway logs each loss of the change log once, also after a stream that the log ended in an orderly way.
#[test]
fn loss_of_the_log_is_logged_again_after_an_orderly_end() {
    let path = write_config(&Value::Null).with_extension("log");
    let losses_logged = || {
        std::fs::read_to_string(&path)
            .unwrap()
            .matches("change log lost")
            .count()
    };
    let log = ScriptedChangeLog::start();
    let address = log.address;
    drop(log);
    let _test_bed = TestBed::start_with_launcher(
        |config| config["changelog"] = json!(address.to_string()),
        |config| {
            serve_from(
                &write_config(config),
                std::fs::File::create(&path).unwrap().into(),
            )
        },
    );
    wait_until("the loss at the start is logged", || losses_logged() == 1);
    let log = ScriptedChangeLog::at(address);
    let watch = log.accept_and_answer();
    drop(log);
    drop(watch);
    wait_until("the second loss is logged", || losses_logged() == 2);
    sleep(LONGEST_BACKOFF * 2);
    assert_eq!(losses_logged(), 2, "number of losses logged");
}

// SIGHUP at each step of the watch.

/// A gateway whose configuration file the test rewrites.
struct ReloadableGateway {
    test_bed: TestBed,
    path: PathBuf,
}

impl ReloadableGateway {
    fn start(log: SocketAddr, change_more: impl Fn(&mut Value)) -> ReloadableGateway {
        let path = write_config(&Value::Null);
        let serve = |config: &Value| -> Child {
            std::fs::write(&path, config.to_string()).unwrap();
            serve_from(&path, Stdio::null())
        };
        let test_bed = TestBed::start_with_launcher(
            |config| {
                config["changelog"] = json!(log.to_string());
                config["settings"]["allowed"]["may-probe"] = json!(false);
                change_more(config);
            },
            serve,
        );
        ReloadableGateway { test_bed, path }
    }

    /// Replaces the configuration file and sends SIGHUP.
    fn reload(&self, text: &str) {
        // The file is renamed into place, as the gateway may be reading the previous one.
        let new: &Path = &self.path.with_extension("new");
        std::fs::write(new, text)
            .and_then(|()| std::fs::rename(new, &self.path))
            .unwrap();
        self.test_bed.signal("HUP");
    }

    /// Reloads the configuration with another change log.
    fn change_log_to(&self, log: &ScriptedChangeLog) {
        let mut config = self.test_bed.config.clone();
        config["changelog"] = json!(log.address.to_string());
        self.reload(&config.to_string());
    }

    /// Asserts that the gateway connects at once to a new log, asks for the events after `last_event_id`, and applies
    /// the list that the new log sends. Returns the connection.
    fn assert_follows(
        &self,
        log: &ScriptedChangeLog,
        last_event_id: u64,
        expected: &FakeEngine,
    ) -> WatchConnection {
        let watch = log
            .accept_within(TOLERANCE)
            .expect("the gateway should connect to the new log at once");
        assert_eq!(
            watch.last_event_id, last_event_id,
            "the number of the event applied last"
        );
        watch.write(HEAD);
        watch.send_event(&list_of_one(last_event_id + 1, expected));
        let keepalives = watch.send_keepalives();
        wait_until_in_force(&self.test_bed, expected);
        drop(keepalives);
        watch
    }
}

#[test]
fn sighup_while_the_watch_connects_is_followed_at_once() {
    let (old, new, other) = (
        ScriptedChangeLog::start(),
        ScriptedChangeLog::start(),
        FakeEngine::start(),
    );
    let gateway = ReloadableGateway::start(old.address, |_| {});
    let connecting = old
        .accept_within(CONNECTION_TIMEOUT)
        .expect("the gateway should connect to the log");
    gateway.change_log_to(&new);
    gateway.assert_follows(&new, 0, &other);
    assert!(
        connecting.is_closed(TOLERANCE),
        "the connection to the old log should be closed"
    );
}

/// The backoff is the longest possible one, and the gateway follows the new log long before the backoff ends.
#[test]
fn sighup_during_backoff_is_followed_at_once() {
    let (old, new, other) = (
        ScriptedChangeLog::start(),
        ScriptedChangeLog::start(),
        FakeEngine::start(),
    );
    let gateway = ReloadableGateway::start(old.address, |config| {
        config["settings"]["allowed"]["dial-timeout"] = json!(3000.0);
    });
    let watch = old.accept_and_answer();
    watch.send_event(&list_change_event(1, &[]));
    drop(watch);
    drop(old.accept_and_answer());
    let paused = Instant::now();
    gateway.change_log_to(&new);
    let watch = gateway.assert_follows(&new, 1, &other);
    let after = watch.accepted_at - paused;
    assert!(
        after < ms(450),
        "connected only {after:?} into a backoff of 500 ms or more"
    );
    assert!(
        old.accept_within(Duration::ZERO).is_none(),
        "the gateway connected to the old log, so no backoff was running"
    );
}

#[test]
fn sighup_on_a_silent_stream_is_followed_at_once_and_nothing_of_the_old_one_after() {
    let (old, new, other, stale) = (
        ScriptedChangeLog::start(),
        ScriptedChangeLog::start(),
        FakeEngine::start(),
        FakeEngine::start(),
    );
    let gateway = ReloadableGateway::start(old.address, |_| {});
    let watch = old.accept_and_answer();
    watch.send_event(&list_of_one(1, &other));
    wait_until_in_force(&gateway.test_bed, &other);
    sleep(ms(1500));
    gateway.change_log_to(&new);
    let newest = new
        .accept_within(TOLERANCE)
        .expect("the gateway should connect to the new log at once");
    assert_eq!(newest.last_event_id, 1);
    newest.write(HEAD);
    // The gateway may have closed the old connection. It does not apply events that arrive on it.
    let stale_event = list_of_one(2, &stale);
    let _ = (&watch.stream).write_all(format!("id: 2\ndata: {stale_event}\n\n").as_bytes());
    let _keepalives = newest.send_keepalives();
    for _ in 0..5 {
        assert!(
            next_query_reaches(&gateway.test_bed, &other),
            "the list applied last should stay in force"
        );
    }
    let newer = FakeEngine::start();
    newest.send_event(&list_of_one(2, &newer));
    wait_until_in_force(&gateway.test_bed, &newer);
    assert_eq!(
        stale.requests("POST"),
        0,
        "number of attempts at an engine that only the old log names"
    );
}

#[test]
fn last_of_two_sighups_applies_despite_a_faulty_file_between() {
    let (old, between, new) = (
        ScriptedChangeLog::start(),
        ScriptedChangeLog::start(),
        ScriptedChangeLog::start(),
    );
    let (first, stale, other) = (
        FakeEngine::start(),
        FakeEngine::start(),
        FakeEngine::start(),
    );
    let gateway = ReloadableGateway::start(old.address, |_| {});
    let watch = old.accept_and_answer();
    watch.send_event(&list_of_one(1, &first));
    wait_until_in_force(&gateway.test_bed, &first);
    gateway.change_log_to(&between);
    gateway.reload("{");
    gateway.change_log_to(&new);
    let newest = gateway.assert_follows(&new, 1, &other);
    let _keepalives = newest.send_keepalives();
    assert!(
        watch.is_closed(TOLERANCE),
        "the connection to the first log should be closed"
    );
    // The gateway may have connected to the log in the middle and closed that connection again.
    if let Some(left) = between.accept_within(Duration::ZERO) {
        let _ = (&left.stream)
            .write_all(format!("{HEAD}id: 3\ndata: {}\n\n", list_of_one(3, &stale)).as_bytes());
    }
    gateway.reload("{");
    assert!(
        (0..5).all(|_| next_query_reaches(&gateway.test_bed, &other)),
        "the list should stay in force after a faulty file"
    );
    assert!(
        new.accept_within(ms(100)).is_none() && !newest.is_closed(ms(100)),
        "a faulty file should open or close no connection"
    );
    assert_eq!(stale.requests("POST"), 0);
}

/// A reload for another reason, such as a new plan, opens no new connection to the log.
#[test]
fn sighup_with_the_same_log_address_keeps_the_stream() {
    let (log, other) = (ScriptedChangeLog::start(), FakeEngine::start());
    let gateway = ReloadableGateway::start(log.address, |_| {});
    let watch = log.accept_and_answer();
    let _keepalives = watch.send_keepalives();
    gateway.change_log_to(&log);
    assert!(
        log.accept_within(TOLERANCE).is_none(),
        "the gateway opened another connection to the same log"
    );
    watch.send_event(&list_of_one(1, &other));
    wait_until_in_force(&gateway.test_bed, &other);
}

// Event numbers.

#[test]
fn older_list_never_replaces_a_newer_one() {
    let (log, newer, older) = (
        ScriptedChangeLog::start(),
        FakeEngine::start(),
        FakeEngine::start(),
    );
    let test_bed = start_watching(log.address, |_| {});
    let watch = log.accept_and_answer();
    watch.send_event(&list_change_event(
        1,
        &[endpoint("s-a", older.address, "SERVING")],
    ));
    watch.send_event(&list_of_one(2, &newer));
    wait_until_in_force(&test_bed, &newer);
    let before = older.requests("POST");
    // These events are late, repeated, or full lists with a lower number. Another connection sends them as its first
    // events.
    let late = [
        list_change_event(1, &[endpoint("s-a", older.address, "SERVING")]),
        full_list_event(2, &[endpoint("s-a", older.address, "SERVING")]),
        full_list_event(0, &[endpoint("s-a", older.address, "SERVING")]),
        full_list_event(1, &[endpoint("s-a", older.address, "SERVING")]),
    ];
    late.iter().for_each(|event| watch.send_event(event));
    for _ in 0..10 {
        assert!(
            next_query_reaches(&test_bed, &newer),
            "the newest list should stay in force"
        );
    }
    drop(watch);
    let watch = log.accept_and_answer();
    assert_eq!(
        watch.last_event_id, 2,
        "the number of the event applied last"
    );
    late.iter().for_each(|event| watch.send_event(event));
    let _keepalives = watch.send_keepalives();
    for _ in 0..10 {
        assert!(
            next_query_reaches(&test_bed, &newer),
            "the newest list should stay in force"
        );
    }
    assert_eq!(
        older.requests("POST"),
        before,
        "number of attempts at an engine that the newest list does not name"
    );
    watch.send_event(&list_of_one(3, &older));
    wait_until_in_force(&test_bed, &older);
}

/// If the gateway accepted the number of the corrupted event, it would lose the events before it: the log continues
/// from the requested number.
#[test]
fn corrupted_event_with_too_high_a_number_skips_no_event() {
    let (log, other) = (ScriptedChangeLog::start(), FakeEngine::start());
    let test_bed = start_watching(log.address, |_| {});
    for _ in 0..3 {
        let watch = log.accept_and_answer();
        assert_eq!(watch.last_event_id, 0, "no event was applied");
        watch.write("id: 9\ndata: {\"se\n\n");
        assert!(
            watch.is_closed(TOLERANCE),
            "the gateway should close the connection and request the event again"
        );
    }
    let watch = log.accept_and_answer();
    assert_eq!(watch.last_event_id, 0, "no event was applied");
    watch.send_event(&list_of_one(1, &other));
    let _keepalives = watch.send_keepalives();
    wait_until_in_force(&test_bed, &other);
}

#[test]
fn gateway_stays_unhealthy_after_events_without_a_list() {
    let log = ScriptedChangeLog::start();
    let (engine, unused) = (FakeEngine::start(), FakeChangeLog::start());
    let mut config = config(engine.address, log.address);
    config["known"] = json!({"seq": 0, "results": []});
    let address = config["listen"].as_str().unwrap().parse().unwrap();
    let test_bed = TestBed {
        child: serve(&config),
        engine,
        log: unused,
        config,
        address,
    };
    let watch = log.accept_and_answer();
    let _keepalives = watch.send_keepalives();
    watch.send_event(&json!({"seq": 1}));
    watch.send_event(&json!({"seq": 3}));
    // The event with number 3 arrived where number 2 was due, so the gateway reconnects. It has applied the first
    // event.
    let watch = log.accept_and_answer();
    assert_eq!(watch.last_event_id, 1);
    let health = || {
        round_trip(test_bed.open(), "GET /healthz", "", "")
            .unwrap()
            .start_line
    };
    assert_eq!(health(), "HTTP/1.1 503 Service Unavailable");
    watch.send_event(&list_of_one(2, &test_bed.engine));
    let _keepalives = watch.send_keepalives();
    test_bed.wait_until_healthy();
}

/// Each connection to the log gets its first line only after the progress timeout.
#[test]
fn list_from_a_slow_log_is_applied_within_seven_seconds() {
    let (log, engine) = (ScriptedChangeLog::start(), FakeEngine::start());
    let mut endpoints = config(free_address(), log.address);
    endpoints["known"]["results"] = json!([]);
    let child = serve(&endpoints);
    let test_bed = TestBed {
        engine: engine.clone(),
        log: FakeChangeLog::start(),
        address: endpoints["listen"].as_str().unwrap().parse().unwrap(),
        config: endpoints,
        child,
    };
    let began = Instant::now();
    let address = log.address;
    let listener = log.listener;
    let list = full_list_event(1, &[endpoint("s-1", engine.address, "SERVING")]);
    spawn(move || loop {
        let Ok((stream, _)) = listener.accept() else {
            sleep(ms(2));
            continue;
        };
        let list = list.clone();
        spawn(move || {
            let watch = WatchConnection::of(stream);
            sleep(ms(3200));
            // The gateway may have closed the connection already.
            let _ = (&watch.stream).write_all(format!("{HEAD}id: 1\ndata: {list}\n\n").as_bytes());
            sleep(ms(9000));
        });
    });
    let healthy = || {
        let health_response = TcpStream::connect(test_bed.address)
            .ok()
            .and_then(|s| round_trip(s, "GET /healthz", "", ""));
        health_response.is_some_and(|answer| answer.start_line == "HTTP/1.1 200 OK")
    };
    while !healthy() {
        assert!(
            began.elapsed() < ms(7000),
            "no list from the log at {address} is applied within 7 s"
        );
        sleep(ms(20));
    }
}
