//! The watch of the change log where its events cross others: engines or idle clients that hold the descriptors, streams that
//! are silent or nearly so, SIGHUP at each step, numbers that come late, twice or too early. The log here is played byte by byte.

mod helper;

use garnetwall_gateway::sockets::Budget;
use helper::process::ms;
use helper::*;
use serde_json::{json, Value};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Stdio;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// Far more than any test waits for a connection that comes.
const LONG: Duration = Duration::from_secs(8);
/// A line is missed for this long before the stream counts as silent, and what the machine may take besides.
const SILENT: Duration = Duration::from_millis(2500);
const SLACK: Duration = Duration::from_millis(400);
/// The longest wait with a fresh connection at the helper's dial time of 250 ms.
const PAUSES: Duration = Duration::from_millis(500);

/// A change log of which the test plays every byte.
struct Log {
    listener: TcpListener,
    address: SocketAddr,
}

impl Log {
    fn start() -> Log {
        Log::at(SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    fn at(address: SocketAddr) -> Log {
        let listener = TcpListener::bind(address).unwrap();
        listener.set_nonblocking(true).unwrap();
        Log { address: listener.local_addr().unwrap(), listener }
    }

    /// The next connection within a time, with its call read and nothing answered.
    fn next(&self, within: Duration) -> Option<Watch> {
        let until = Instant::now() + within;
        loop {
            match self.listener.accept() {
                Ok((stream, _)) => return Some(Watch::of(stream)),
                Err(_) if Instant::now() >= until => return None,
                Err(_) => sleep(ms(1)),
            }
        }
    }

    /// The next connection, its head answered and a comment sent.
    fn opens(&self) -> Watch {
        let watch = self.next(LONG).expect("a connection to the log");
        watch.says(HEAD);
        watch.says(COMMENT);
        watch
    }
}

const HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
const COMMENT: &str = ":\n\n";

/// One connection to the log.
struct Watch {
    stream: TcpStream,
    /// The number that it was opened with.
    last: u64,
    came: Instant,
}

impl Watch {
    fn of(stream: TcpStream) -> Watch {
        let came = Instant::now();
        stream.set_nonblocking(false).unwrap();
        stream.set_nodelay(true).unwrap();
        let call = read_message(&mut BufReader::new(stream.try_clone().unwrap())).expect("a call");
        assert_eq!(call.first, "GET /changes HTTP/1.1");
        Watch { stream, last: call.fields["last-event-id"].parse().unwrap(), came }
    }

    fn says(&self, text: &str) {
        (&self.stream).write_all(text.as_bytes()).expect("the connection is open");
    }

    fn tells(&self, event: &Value) {
        self.says(&format!("id: {}\ndata: {event}\n\n", event["seq"]));
    }

    /// Whether the gateway closes it within a time; nothing else may come on it.
    fn is_closed(&self, within: Duration) -> bool {
        self.stream.set_read_timeout(Some(within)).unwrap();
        match (&self.stream).read(&mut [0; 64]) {
            Ok(0) => true,
            Ok(n) => panic!("{n} bytes came"),
            Err(e) => !matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut),
        }
    }

    /// Comments come on it until what is given is dropped.
    fn lives(&self) -> Lives {
        let (stream, on) = (self.stream.try_clone().unwrap(), Arc::new(AtomicBool::new(true)));
        let lives = Lives(on.clone());
        spawn(move || {
            while on.load(Ordering::Relaxed) && (&stream).write_all(COMMENT.as_bytes()).is_ok() {
                sleep(ms(200));
            }
        });
        lives
    }
}

struct Lives(Arc<AtomicBool>);

impl Drop for Lives {
    fn drop(&mut self) {
        self.0.store(false, Ordering::Relaxed);
    }
}

fn watched(log: SocketAddr, change_more: impl Fn(&mut Value)) -> Service {
    Service::with(|config| {
        config["changelog"] = json!(log.to_string());
        config["settings"]["allowed"]["may-probe"] = json!(false);
        change_more(config);
    })
}

/// A list that names this engine alone.
fn only(number: u64, engine: &Engine) -> Value {
    change(number, true, &[line(&format!("s-{number}x"), engine.address, "SERVING")])
}

/// The next batch comes to this engine and to no other.
fn goes_to(s: &Service, engine: &Engine) -> bool {
    let before = engine.calls("POST");
    s.batch("report", "SELECT 1").returned() && engine.calls("POST") > before
}

fn is_followed(s: &Service, engine: &Engine) {
    until("the list told is the one in force", || goes_to(s, engine));
}

// Who holds the descriptors.

/// Event A: engines that hang hold all that engines may have. Event B: the log comes back and tells that they drain.
#[test]
fn engines_that_hold_all_their_descriptors_do_not_keep_the_watch_out() {
    const SOCKETS: usize = 64;
    let (log, hanging, other) = (Log::start(), Engine::start(), Engine::start());
    let lines = |state: &str| -> Vec<Value> {
        (0..40).map(|n| line(&format!("s-{n}"), hanging.address, state)).collect()
    };
    let s = watched(log.address, |config| {
        config["limits"]["sockets"] = json!(SOCKETS);
        config["known"]["results"] = json!([change(0, true, &lines("SERVING"))]);
    });
    let first = log.opens();
    let address = log.address;
    drop((log, first));
    let all = Budget::of(SOCKETS, 192).engines.available_permits();
    let began = Instant::now();
    let batch = |_| {
        let stream = s.open();
        send(&stream, "POST /v1/report", &fields(&new_id(), 3000), "SELECT 1 /* keeps delete */");
        stream
    };
    let batches: Vec<TcpStream> = (0..SOCKETS / 3).map(batch).collect();
    until("all descriptors of engines are taken", || hanging.calls("POST") >= all);
    assert!(began.elapsed() < ms(1500), "the batches are in hand still");
    let log = Log::at(address);
    let watch = log.next(PAUSES + SLACK).expect("the watch beside engines that hold their whole budget");
    watch.says(HEAD);
    let mut told = lines("DRAINING");
    told.push(line("s-other", other.address, "SERVING"));
    watch.tells(&change(1, false, &told));
    let _lives = watch.lives();
    for stream in batches {
        read_message(&mut BufReader::new(stream)).expect("an answer");
    }
    let before = hanging.calls("POST");
    is_followed(&s, &other);
    assert_eq!(hanging.calls("POST"), before, "nothing new to engines that drain");
}

/// Event A: the log is down, and idle clients take all that clients may have. Event B: it comes back.
#[test]
fn idle_clients_that_fill_the_descriptors_keep_neither_batches_nor_the_watch_out() {
    const SOCKETS: usize = 64;
    let log = Log::start();
    let (address, other) = (log.address, Engine::start());
    drop(log);
    let limited = |config: &Value| {
        let start = format!("ulimit -n {SOCKETS}; exec {} serve", env!("CARGO_BIN_EXE_garnetwall"));
        let mut command = std::process::Command::new("sh");
        command.args(["-c", &start]).env("PROXY_CONFIG", file(config)).env_remove("PROXY_LISTEN");
        command.stderr(Stdio::null()).spawn().unwrap()
    };
    let s = Service::by(
        |config| {
            config["changelog"] = json!(address.to_string());
            config["limits"]["sockets"] = json!(SOCKETS);
            config["settings"]["allowed"]["may-probe"] = json!(false);
        },
        limited,
    );
    let began = Instant::now();
    let idle = |n: usize| {
        let stream = s.open();
        // Half of them rest after an answer, half say nothing at all.
        if n < SOCKETS {
            send(&stream, "GET /healthz", "", "");
            read_message(&mut BufReader::new(stream.try_clone().unwrap())).expect("an answer");
        }
        stream
    };
    let idle: Vec<TcpStream> = (0..SOCKETS * 2).map(idle).collect();
    for _ in 0..5 {
        assert!(s.batch("report", "SELECT 1").returned(), "new clients are served without the log");
    }
    // Long before the idle would be closed for being that.
    let served = began.elapsed();
    assert!(served < ms(1900), "served after {served:?}");
    let log = Log::at(address);
    let watch = log.next(PAUSES + SLACK).expect("the watch beside idle clients");
    watch.says(HEAD);
    watch.tells(&only(1, &other));
    let _lives = watch.lives();
    is_followed(&s, &other);
    drop(idle);
}

// Streams that are silent, or nearly so.

#[test]
fn bytes_without_a_whole_line_are_no_life() {
    let (log, other) = (Log::start(), Engine::start());
    let s = watched(log.address, |_| {});
    let first = log.opens();
    let stream = first.stream.try_clone().unwrap();
    let (trickles, on) = (Instant::now(), Arc::new(AtomicBool::new(true)));
    let goes_on = on.clone();
    spawn(move || {
        while goes_on.load(Ordering::Relaxed) && (&stream).write_all(b":").is_ok() {
            sleep(ms(500));
        }
    });
    let second = log.next(SILENT + PAUSES + SLACK).expect("a connection in place of one that trickles");
    let after = second.came - trickles;
    assert!(after > ms(2000), "after {after:?}: one comment that is late is no silence");
    on.store(false, Ordering::Relaxed);
    second.says(HEAD);
    second.tells(&only(1, &other));
    let _lives = second.lives();
    is_followed(&s, &other);
}

#[test]
fn a_head_is_no_life_either() {
    let (log, other) = (Log::start(), Engine::start());
    let s = watched(log.address, |_| {});
    let first = log.next(LONG).expect("a connection");
    sleep(ms(2000));
    first.says(HEAD);
    let second = log.next(SILENT + PAUSES + SLACK - ms(2000)).expect("a connection in place of a silent one");
    assert_eq!(second.last, 0, "from the last number applied");
    second.says(HEAD);
    second.tells(&only(1, &other));
    let _lives = second.lives();
    is_followed(&s, &other);
}

/// Each step of it may take nearly as long as a silent stream does; only as a whole it counts.
#[test]
fn a_large_event_in_many_parts_comes_through_whole() {
    const MEGABYTES: usize = 3;
    let (log, other) = (Log::start(), Engine::start());
    let s = watched(log.address, |_| {});
    let watch = log.opens();
    let mut event = only(1, &other);
    event["fleet"]["note"] = json!("x".repeat(MEGABYTES << 20));
    let text = format!("id: 1\ndata: {event}\n\n");
    let began = Instant::now();
    for part in text.as_bytes().chunks(64 << 10) {
        (&watch.stream).write_all(part).unwrap();
        sleep(ms(5));
    }
    let written = began.elapsed();
    let _lives = watch.lives();
    is_followed(&s, &other);
    let took = began.elapsed();
    assert!(took < ms(2000), "written after {written:?}, applied after {took:?}");
    assert!(log.next(Duration::ZERO).is_none(), "over the first connection");
}

/// The list is told right after the last line of the first connection, the second falls silent as well, as late as it can:
/// its head still comes. The settings allow a connection so much time that it can't be the pause.
#[test]
fn over_two_silent_connections_in_a_row_a_list_is_applied_inside_its_seven_seconds() {
    let (log, other) = (Log::start(), Engine::start());
    let s = watched(log.address, |config| config["settings"]["allowed"]["dial-timeout"] = json!(1500.0));
    let first = log.opens();
    sleep(ms(300));
    first.says(COMMENT);
    let told = Instant::now();
    let second = log.next(LONG).expect("a second connection");
    sleep(ms(2000));
    second.says(HEAD);
    let third = log.opens();
    third.tells(&only(1, &other));
    is_followed(&s, &other);
    let took = told.elapsed();
    assert!(took < ms(7000), "applied {took:?} after it was told");
}

#[test]
fn silent_from_its_first_second_and_again_it_is_replaced_each_time() {
    let (log, other) = (Log::start(), Engine::start());
    let began = Instant::now();
    let s = watched(log.address, |_| {});
    // Accepted and never answered, then answered by a head alone.
    let first = log.next(LONG).expect("a connection");
    let second = log.next(SILENT + PAUSES + SLACK).expect("a second");
    second.says(HEAD);
    assert!(first.is_closed(SLACK), "what is given up is closed");
    let third = log.next(SILENT + PAUSES + SLACK).expect("a third");
    assert!(second.is_closed(SLACK), "what is given up is closed, though nothing comes on it any more");
    third.says(HEAD);
    third.tells(&only(1, &other));
    let _lives = third.lives();
    is_followed(&s, &other);
    let took = began.elapsed();
    assert!(took < ms(7000), "applied {took:?} after the start");
}

#[test]
fn a_log_that_closes_at_once_is_connected_to_once_a_pause_at_most() {
    let log = Log::start();
    let _s = watched(log.address, |_| {});
    drop(log.next(LONG).expect("a connection"));
    let began = Instant::now();
    let mut came = 0;
    while let Some(watch) = log.next(ms(3000).saturating_sub(began.elapsed())) {
        watch.says(HEAD);
        drop(watch);
        came += 1;
    }
    assert!((5..=12).contains(&came), "{came} connections in 3 s at a pause of 250 ms");
}
