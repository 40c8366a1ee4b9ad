//! The watch of the change log under concurrent events: engines or idle clients that use all descriptors, streams that are
//! silent or nearly so, SIGHUP at each step, numbers that are late, repeated or too high. The tests write the log's bytes.

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

/// Far longer than any expected connection takes.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(8);
/// Latest time without a line after which another connection is opened, and the tolerance for a busy machine.
const PROGRESS_TIMEOUT: Duration = Duration::from_millis(2500);
const TOLERANCE: Duration = Duration::from_millis(400);
/// Longest wait before a new connection at the helper's `dial-timeout` of 250 ms.
const LONGEST_BACKOFF: Duration = Duration::from_millis(500);

/// A change log whose every byte the test writes.
struct ScriptedLog {
    listener: TcpListener,
    address: SocketAddr,
}

impl ScriptedLog {
    fn start() -> ScriptedLog {
        ScriptedLog::at(SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    fn at(address: SocketAddr) -> ScriptedLog {
        let listener = TcpListener::bind(address).unwrap();
        listener.set_nonblocking(true).unwrap();
        ScriptedLog {
            address: listener.local_addr().unwrap(),
            listener,
        }
    }

    /// Accepts the next connection within a time and reads its request.
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

    /// Accepts the next connection and sends a response head and a comment.
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

/// One connection to the log.
struct WatchConnection {
    stream: TcpStream,
    /// The `Last-Event-ID` that it was opened with.
    last_event_id: u64,
    accepted_at: Instant,
}

impl WatchConnection {
    fn of(stream: TcpStream) -> WatchConnection {
        let accepted_at = Instant::now();
        stream.set_nonblocking(false).unwrap();
        stream.set_nodelay(true).unwrap();
        let call = read_message(&mut BufReader::new(stream.try_clone().unwrap())).expect("a call");
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

    /// Whether the gateway closes it within a time; the gateway may send nothing on it.
    fn is_closed(&self, within: Duration) -> bool {
        self.stream.set_read_timeout(Some(within)).unwrap();
        match (&self.stream).read(&mut [0; 64]) {
            Ok(0) => true,
            Ok(n) => panic!("{n} bytes received"),
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

struct Keepalives(Arc<AtomicBool>);

impl Drop for Keepalives {
    fn drop(&mut self) {
        self.0.store(false, Ordering::Relaxed);
    }
}

fn service_watching(log: SocketAddr, change_more: impl Fn(&mut Value)) -> Service {
    Service::start_with(|config| {
        config["changelog"] = json!(log.to_string());
        config["settings"]["allowed"]["may-probe"] = json!(false);
        change_more(config);
    })
}

/// A full endpoint list with this engine alone.
fn list_of_one(number: u64, engine: &Engine) -> Value {
    full_list_event(
        number,
        &[endpoint(&format!("s-{number}x"), engine.address, "SERVING")],
    )
}

/// Whether the next query reaches this engine.
fn next_query_reaches(service: &Service, engine: &Engine) -> bool {
    let before = engine.requests("POST");
    service.query("report", "SELECT 1").succeeded() && engine.requests("POST") > before
}

fn wait_until_in_force(service: &Service, engine: &Engine) {
    wait_until("the sent list is in force", || {
        next_query_reaches(service, engine)
    });
}

// Use of descriptors.

/// Event A: hanging engines use all descriptors of engine connections. Event B: the log is back and lists them as draining.
#[test]
fn engines_that_use_all_their_descriptors_do_not_block_the_watch() {
    const SOCKETS: usize = 64;
    let (log, hanging, other) = (ScriptedLog::start(), Engine::start(), Engine::start());
    let lines = |state: &str| -> Vec<Value> {
        (0..40)
            .map(|n| endpoint(&format!("s-{n}"), hanging.address, state))
            .collect()
    };
    let service = service_watching(log.address, |config| {
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
        let stream = service.open();
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
    assert!(began.elapsed() < ms(1500), "the queries are still active");
    let log = ScriptedLog::at(address);
    let watch = log
        .accept_within(LONGEST_BACKOFF + TOLERANCE)
        .expect("the watch connects while engine connections use their whole budget");
    watch.write(HEAD);
    let mut endpoints = lines("DRAINING");
    endpoints.push(endpoint("s-other", other.address, "SERVING"));
    watch.send_event(&list_change_event(1, &endpoints));
    let _keepalives = watch.send_keepalives();
    for stream in streams {
        read_message(&mut BufReader::new(stream)).expect("an answer");
    }
    let before = hanging.requests("POST");
    wait_until_in_force(&service, &other);
    assert_eq!(
        hanging.requests("POST"),
        before,
        "no attempt at draining engines"
    );
}

/// Event A: the log is down, and idle clients use all client descriptors. Event B: the log is back.
#[test]
fn idle_clients_that_use_all_descriptors_block_neither_queries_nor_the_watch() {
    const SOCKETS: usize = 64;
    let log = ScriptedLog::start();
    let (address, other) = (log.address, Engine::start());
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
    let service = Service::start_with_launcher(
        |config| {
            config["changelog"] = json!(address.to_string());
            config["limits"]["sockets"] = json!(SOCKETS);
            config["settings"]["allowed"]["may-probe"] = json!(false);
        },
        limited,
    );
    let began = Instant::now();
    let idle = |n: usize| {
        let stream = service.open();
        // Half of them are idle after an answer, half send nothing.
        if n < SOCKETS {
            send_request(&stream, "GET /healthz", "", "");
            read_message(&mut BufReader::new(stream.try_clone().unwrap())).expect("an answer");
        }
        stream
    };
    let idle: Vec<TcpStream> = (0..SOCKETS * 2).map(idle).collect();
    for _ in 0..5 {
        assert!(
            service.query("report", "SELECT 1").succeeded(),
            "new clients are served without the log"
        );
    }
    // Long before idle connections are closed.
    let served = began.elapsed();
    assert!(served < ms(1900), "served after {served:?}");
    let log = ScriptedLog::at(address);
    let watch = log
        .accept_within(LONGEST_BACKOFF + TOLERANCE)
        .expect("the watch connects beside idle clients");
    watch.write(HEAD);
    watch.send_event(&list_of_one(1, &other));
    let _keepalives = watch.send_keepalives();
    wait_until_in_force(&service, &other);
    drop(idle);
}

// Streams that are silent, or nearly so.

#[test]
fn bytes_without_a_complete_line_do_not_keep_a_stream_alive() {
    let (log, other) = (ScriptedLog::start(), Engine::start());
    let service = service_watching(log.address, |_| {});
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
        .expect("a connection in place of a trickling one");
    let after = second.accepted_at - started_at;
    assert!(
        after > ms(2000),
        "after {after:?}: one late comment is not silence"
    );
    on.store(false, Ordering::Relaxed);
    second.write(HEAD);
    second.send_event(&list_of_one(1, &other));
    let _keepalives = second.send_keepalives();
    wait_until_in_force(&service, &other);
}

#[test]
fn response_head_does_not_keep_a_stream_alive() {
    let (log, other) = (ScriptedLog::start(), Engine::start());
    let service = service_watching(log.address, |_| {});
    let first = log.accept_within(CONNECTION_TIMEOUT).expect("a connection");
    sleep(ms(2000));
    first.write(HEAD);
    let second = log
        .accept_within(PROGRESS_TIMEOUT + LONGEST_BACKOFF + TOLERANCE - ms(2000))
        .expect("a connection in place of a silent one");
    assert_eq!(second.last_event_id, 0, "from the last number applied");
    second.write(HEAD);
    second.send_event(&list_of_one(1, &other));
    let _keepalives = second.send_keepalives();
    wait_until_in_force(&service, &other);
}

/// Each part may take nearly as long as the progress timeout; the event counts once it is complete.
#[test]
fn large_event_in_many_parts_is_received_complete() {
    const MEGABYTES: usize = 3;
    let (log, other) = (ScriptedLog::start(), Engine::start());
    let service = service_watching(log.address, |_| {});
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
    wait_until_in_force(&service, &other);
    let took = began.elapsed();
    assert!(
        took < ms(2000),
        "written after {written:?}, applied after {took:?}"
    );
    assert!(
        log.accept_within(Duration::ZERO).is_none(),
        "over the first connection"
    );
}

/// The list is published right after the first connection's last line; the second connection falls silent as late as it can,
/// after its head. The `dial-timeout` is so long that the backoff cannot be the cause.
#[test]
fn list_is_applied_within_seven_seconds_despite_two_silent_connections() {
    let (log, other) = (ScriptedLog::start(), Engine::start());
    let service = service_watching(log.address, |config| {
        config["settings"]["allowed"]["dial-timeout"] = json!(1500.0)
    });
    let first = log.accept_and_answer();
    sleep(ms(300));
    first.write(COMMENT);
    let endpoints = Instant::now();
    let second = log
        .accept_within(CONNECTION_TIMEOUT)
        .expect("a second connection");
    sleep(ms(2000));
    second.write(HEAD);
    let third = log.accept_and_answer();
    third.send_event(&list_of_one(1, &other));
    wait_until_in_force(&service, &other);
    let took = endpoints.elapsed();
    assert!(took < ms(7000), "applied {took:?} after it was published");
}

/// Each silent connection gets another beside it, none is closed for that, and all others are closed once one brings an event.
#[test]
fn each_silent_connection_gets_another_beside_it() {
    let (log, other) = (ScriptedLog::start(), Engine::start());
    let began = Instant::now();
    let service = service_watching(log.address, |_| {});
    // Accepted and never answered, then answered by a head alone.
    let first = log.accept_within(CONNECTION_TIMEOUT).expect("a connection");
    let second = log
        .accept_within(PROGRESS_TIMEOUT + LONGEST_BACKOFF + TOLERANCE)
        .expect("a second");
    second.write(HEAD);
    let third = log
        .accept_within(PROGRESS_TIMEOUT + LONGEST_BACKOFF + TOLERANCE)
        .expect("a third");
    assert!(
        !first.is_closed(ms(50)) && !second.is_closed(ms(50)),
        "a slow connection is not closed for a newer one"
    );
    third.write(HEAD);
    third.send_event(&list_of_one(1, &other));
    let _keepalives = third.send_keepalives();
    assert!(
        first.is_closed(TOLERANCE),
        "a connection that is not needed is closed"
    );
    assert!(
        second.is_closed(TOLERANCE),
        "a connection that is not needed is closed, though it is silent"
    );
    wait_until_in_force(&service, &other);
    let took = began.elapsed();
    assert!(took < ms(7000), "applied {took:?} after the start");
    assert!(
        log.accept_within(ms(500)).is_none(),
        "no further connection is opened"
    );
}

/// No silent connection is kept longer than the time within which a published list must apply.
#[test]
fn silent_connection_is_closed_after_seven_seconds() {
    let log = ScriptedLog::start();
    let _service = service_watching(log.address, |_| {});
    let silent = log.accept_within(CONNECTION_TIMEOUT).expect("a connection");
    let second = log.accept_and_answer();
    let _keepalives = second.send_keepalives();
    // It was opened shortly before it was accepted here.
    let allowed = ms(7000) - TOLERANCE;
    assert!(
        !silent.is_closed(allowed.saturating_sub(silent.accepted_at.elapsed())),
        "it is open until its time limit"
    );
    assert!(
        silent.is_closed((allowed + TOLERANCE * 2).saturating_sub(silent.accepted_at.elapsed())),
        "it is closed at its time limit"
    );
    assert!(
        !second.is_closed(ms(100)) && log.accept_within(ms(100)).is_none(),
        "the live connection stays open"
    );
}

#[test]
fn log_that_closes_at_once_is_reconnected_to_at_most_once_per_backoff() {
    let log = ScriptedLog::start();
    let _service = service_watching(log.address, |_| {});
    drop(log.accept_within(CONNECTION_TIMEOUT).expect("a connection"));
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

/// The gateway logs each loss of the change log, also after a stream that ended in an orderly way.
#[test]
fn loss_of_the_log_is_logged_again_after_an_orderly_end() {
    let path = write_config(&Value::Null).with_extension("log");
    let losses_logged = || {
        std::fs::read_to_string(&path)
            .unwrap()
            .matches("change log lost")
            .count()
    };
    let log = ScriptedLog::start();
    let address = log.address;
    drop(log);
    let _service = Service::start_with_launcher(
        |config| config["changelog"] = json!(address.to_string()),
        |config| {
            serve_from(
                &write_config(config),
                std::fs::File::create(&path).unwrap().into(),
            )
        },
    );
    wait_until("lost at the start", || losses_logged() == 1);
    let log = ScriptedLog::at(address);
    let watch = log.accept_and_answer();
    drop(log);
    drop(watch);
    wait_until("lost again", || losses_logged() == 2);
    sleep(LONGEST_BACKOFF * 2);
    assert_eq!(losses_logged(), 2, "and logged once");
}

// SIGHUP at each step of the watch.

/// A gateway whose configuration file the test rewrites.
struct Reloading {
    service: Service,
    path: PathBuf,
}

impl Reloading {
    fn start(log: SocketAddr, change_more: impl Fn(&mut Value)) -> Reloading {
        let path = write_config(&Value::Null);
        let serve = |config: &Value| -> Child {
            std::fs::write(&path, config.to_string()).unwrap();
            serve_from(&path, Stdio::null())
        };
        let service = Service::start_with_launcher(
            |config| {
                config["changelog"] = json!(log.to_string());
                config["settings"]["allowed"]["may-probe"] = json!(false);
                change_more(config);
            },
            serve,
        );
        Reloading { service, path }
    }

    fn reload(&self, text: &str) {
        // Renamed into place: the gateway may be reading the previous file.
        let new: &Path = &self.path.with_extension("new");
        std::fs::write(new, text)
            .and_then(|()| std::fs::rename(new, &self.path))
            .unwrap();
        self.service.signal("HUP");
    }

    fn change_log_to(&self, log: &ScriptedLog) {
        let mut config = self.service.config.clone();
        config["changelog"] = json!(log.address.to_string());
        self.reload(&config.to_string());
    }

    /// Asserts that a new log is followed at once, from the last number applied, and that its list is applied.
    fn assert_follows(
        &self,
        log: &ScriptedLog,
        last_event_id: u64,
        expected: &Engine,
    ) -> WatchConnection {
        let watch = log.accept_within(TOLERANCE).expect("the new log at once");
        assert_eq!(watch.last_event_id, last_event_id, "the numbers continue");
        watch.write(HEAD);
        watch.send_event(&list_of_one(last_event_id + 1, expected));
        let keepalives = watch.send_keepalives();
        wait_until_in_force(&self.service, expected);
        drop(keepalives);
        watch
    }
}

#[test]
fn sighup_while_the_watch_connects_is_followed_at_once() {
    let (old, new, other) = (ScriptedLog::start(), ScriptedLog::start(), Engine::start());
    let reloading = Reloading::start(old.address, |_| {});
    let connecting = old
        .accept_within(CONNECTION_TIMEOUT)
        .expect("a connection that is not answered");
    reloading.change_log_to(&new);
    reloading.assert_follows(&new, 0, &other);
    assert!(
        connecting.is_closed(TOLERANCE),
        "the connection to the old log is closed"
    );
}

/// The backoff is the longest possible, and the new log is followed within a part of it.
#[test]
fn sighup_during_backoff_is_followed_at_once() {
    let (old, new, other) = (ScriptedLog::start(), ScriptedLog::start(), Engine::start());
    let reloading = Reloading::start(old.address, |config| {
        config["settings"]["allowed"]["dial-timeout"] = json!(3000.0);
    });
    let watch = old.accept_and_answer();
    watch.send_event(&list_change_event(1, &[]));
    drop(watch);
    drop(old.accept_and_answer());
    let paused = Instant::now();
    reloading.change_log_to(&new);
    let watch = reloading.assert_follows(&new, 1, &other);
    let after = watch.accepted_at - paused;
    assert!(
        after < ms(450),
        "{after:?} into a backoff of 500 ms or more"
    );
    assert!(
        old.accept_within(Duration::ZERO).is_none(),
        "the backoff was running"
    );
}

#[test]
fn sighup_on_a_silent_stream_is_followed_at_once_and_nothing_of_the_old_one_after() {
    let (old, new, other, stale) = (
        ScriptedLog::start(),
        ScriptedLog::start(),
        Engine::start(),
        Engine::start(),
    );
    let reloading = Reloading::start(old.address, |_| {});
    let watch = old.accept_and_answer();
    watch.send_event(&list_of_one(1, &other));
    wait_until_in_force(&reloading.service, &other);
    sleep(ms(1500));
    reloading.change_log_to(&new);
    let newest = new.accept_within(TOLERANCE).expect("the new log at once");
    assert_eq!(newest.last_event_id, 1);
    newest.write(HEAD);
    // The gateway may have closed the old connection by then; events on it are not applied.
    let stale_event = list_of_one(2, &stale);
    let _ = (&watch.stream).write_all(format!("id: 2\ndata: {stale_event}\n\n").as_bytes());
    let _keepalives = newest.send_keepalives();
    for _ in 0..5 {
        assert!(
            next_query_reaches(&reloading.service, &other),
            "the last list stays in force"
        );
    }
    let newer = Engine::start();
    newest.send_event(&list_of_one(2, &newer));
    wait_until_in_force(&reloading.service, &newer);
    assert_eq!(stale.requests("POST"), 0, "nothing of the old stream");
}

#[test]
fn last_of_two_sighups_applies_despite_a_faulty_file_between() {
    let (old, between, new) = (
        ScriptedLog::start(),
        ScriptedLog::start(),
        ScriptedLog::start(),
    );
    let (first, stale, other) = (Engine::start(), Engine::start(), Engine::start());
    let reloading = Reloading::start(old.address, |_| {});
    let watch = old.accept_and_answer();
    watch.send_event(&list_of_one(1, &first));
    wait_until_in_force(&reloading.service, &first);
    reloading.change_log_to(&between);
    reloading.reload("{");
    reloading.change_log_to(&new);
    let newest = reloading.assert_follows(&new, 1, &other);
    let _keepalives = newest.send_keepalives();
    assert!(
        watch.is_closed(TOLERANCE),
        "the connection to the first log is closed"
    );
    // The gateway may have connected to the log between the two, and closes that connection.
    if let Some(left) = between.accept_within(Duration::ZERO) {
        let _ = (&left.stream)
            .write_all(format!("{HEAD}id: 3\ndata: {}\n\n", list_of_one(3, &stale)).as_bytes());
    }
    reloading.reload("{");
    assert!(
        (0..5).all(|_| next_query_reaches(&reloading.service, &other)),
        "a faulty file changes nothing"
    );
    assert!(
        new.accept_within(ms(100)).is_none() && !newest.is_closed(ms(100)),
        "and opens or closes no connection"
    );
    assert_eq!(stale.requests("POST"), 0);
}

/// A reload for another reason, such as a plan, opens no new connection to the log.
#[test]
fn sighup_with_the_same_log_address_keeps_the_stream() {
    let (log, other) = (ScriptedLog::start(), Engine::start());
    let reloading = Reloading::start(log.address, |_| {});
    let watch = log.accept_and_answer();
    let _keepalives = watch.send_keepalives();
    reloading.change_log_to(&log);
    assert!(
        log.accept_within(TOLERANCE).is_none(),
        "no other connection"
    );
    watch.send_event(&list_of_one(1, &other));
    wait_until_in_force(&reloading.service, &other);
}

// Numbers.

#[test]
fn older_list_never_replaces_a_newer_one() {
    let (log, newer, older) = (ScriptedLog::start(), Engine::start(), Engine::start());
    let service = service_watching(log.address, |_| {});
    let watch = log.accept_and_answer();
    watch.send_event(&list_change_event(
        1,
        &[endpoint("s-a", older.address, "SERVING")],
    ));
    watch.send_event(&list_of_one(2, &newer));
    wait_until_in_force(&service, &newer);
    let before = older.requests("POST");
    // Late, repeated, and a full list with a lower number; then as the first events of another connection.
    let late = [
        list_change_event(1, &[endpoint("s-a", older.address, "SERVING")]),
        full_list_event(2, &[endpoint("s-a", older.address, "SERVING")]),
        full_list_event(0, &[endpoint("s-a", older.address, "SERVING")]),
        full_list_event(1, &[endpoint("s-a", older.address, "SERVING")]),
    ];
    late.iter().for_each(|event| watch.send_event(event));
    for _ in 0..10 {
        assert!(
            next_query_reaches(&service, &newer),
            "the newest list stays in force"
        );
    }
    drop(watch);
    let watch = log.accept_and_answer();
    assert_eq!(watch.last_event_id, 2, "the number never goes back");
    late.iter().for_each(|event| watch.send_event(event));
    let _keepalives = watch.send_keepalives();
    for _ in 0..10 {
        assert!(
            next_query_reaches(&service, &newer),
            "the newest list stays in force"
        );
    }
    assert_eq!(
        older.requests("POST"),
        before,
        "no attempt at an engine that the newest list does not name"
    );
    watch.send_event(&list_of_one(3, &older));
    wait_until_in_force(&service, &older);
}

/// Accepting its number would lose the events before it: the log continues from the requested number.
#[test]
fn corrupted_event_with_too_high_a_number_skips_none() {
    let (log, other) = (ScriptedLog::start(), Engine::start());
    let service = service_watching(log.address, |_| {});
    for _ in 0..3 {
        let watch = log.accept_and_answer();
        assert_eq!(watch.last_event_id, 0, "nothing was applied");
        watch.write("id: 9\ndata: {\"se\n\n");
        assert!(watch.is_closed(TOLERANCE), "and it is requested again");
    }
    let watch = log.accept_and_answer();
    assert_eq!(watch.last_event_id, 0, "nothing was applied");
    watch.send_event(&list_of_one(1, &other));
    let _keepalives = watch.send_keepalives();
    wait_until_in_force(&service, &other);
}

#[test]
fn event_without_a_list_makes_no_gateway_healthy() {
    let log = ScriptedLog::start();
    let (engine, unused) = (Engine::start(), ChangeLog::start());
    let mut config = config(engine.address, log.address);
    config["known"] = json!({"seq": 0, "results": []});
    let address = config["listen"].as_str().unwrap().parse().unwrap();
    let service = Service {
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
    // The third arrived where the second was due: the first has been applied by then.
    let watch = log.accept_and_answer();
    assert_eq!(watch.last_event_id, 1);
    let health = || {
        round_trip(service.open(), "GET /healthz", "", "")
            .unwrap()
            .start_line
    };
    assert_eq!(health(), "HTTP/1.1 503 Service Unavailable");
    watch.send_event(&list_of_one(2, &service.engine));
    let _keepalives = watch.send_keepalives();
    service.wait_until_healthy();
}

/// A slow log: each connection gets its first line only after the progress timeout.
#[test]
fn list_from_a_slow_log_is_applied_within_seven_seconds() {
    let (log, engine) = (ScriptedLog::start(), Engine::start());
    let mut endpoints = config(free_address(), log.address);
    endpoints["known"]["results"] = json!([]);
    let child = serve(&endpoints);
    let service = Service {
        engine: engine.clone(),
        log: ChangeLog::start(),
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
            // The gateway may have closed it by now.
            let _ = (&watch.stream).write_all(format!("{HEAD}id: 1\ndata: {list}\n\n").as_bytes());
            sleep(ms(9000));
        });
    });
    let healthy = || {
        let asked = TcpStream::connect(service.address)
            .ok()
            .and_then(|s| round_trip(s, "GET /healthz", "", ""));
        asked.is_some_and(|answer| answer.start_line == "HTTP/1.1 200 OK")
    };
    while !healthy() {
        assert!(
            began.elapsed() < ms(7000),
            "no list from the log at {address} is applied"
        );
        sleep(ms(20));
    }
}
