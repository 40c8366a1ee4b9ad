//! The watch of the change log where its events cross others: engines or idle clients that hold the descriptors, streams that
//! are silent or nearly so, SIGHUP at each step, numbers that come late, twice or too early. The log here is played byte by byte.

mod helper;

use garnetwall_gateway::system::resource_budget::ResourceBudget;
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

/// Far more than any test waits for a connection that comes.
const LONG: Duration = Duration::from_secs(8);
/// A line is missed for this long before the stream counts as silent at the latest, and what the machine may take besides.
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
        Log {
            address: listener.local_addr().unwrap(),
            listener,
        }
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
        assert_eq!(call.start_line, "GET /changes HTTP/1.1");
        Watch {
            stream,
            last: call.fields["last-event-id"].parse().unwrap(),
            came,
        }
    }

    fn says(&self, text: &str) {
        (&self.stream)
            .write_all(text.as_bytes())
            .expect("the connection is open");
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
            Err(e) => !matches!(
                e.kind(),
                std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
            ),
        }
    }

    /// Comments come on it until what is given is dropped.
    fn lives(&self) -> Lives {
        let (stream, on) = (
            self.stream.try_clone().unwrap(),
            Arc::new(AtomicBool::new(true)),
        );
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
    list_event(
        number,
        true,
        &[endpoint(&format!("s-{number}x"), engine.address, "SERVING")],
    )
}

/// The next batch comes to this engine and to no other.
fn goes_to(s: &Service, engine: &Engine) -> bool {
    let before = engine.calls("POST");
    s.query("report", "SELECT 1").succeeded() && engine.calls("POST") > before
}

fn is_followed(s: &Service, engine: &Engine) {
    wait_until("the list told is the one in force", || goes_to(s, engine));
}

// Who holds the descriptors.

/// Event A: engines that hang hold all that engines may have. Event B: the log comes back and tells that they drain.
#[test]
fn engines_that_hold_all_their_descriptors_do_not_keep_the_watch_out() {
    const SOCKETS: usize = 64;
    let (log, hanging, other) = (Log::start(), Engine::start(), Engine::start());
    let lines = |state: &str| -> Vec<Value> {
        (0..40)
            .map(|n| endpoint(&format!("s-{n}"), hanging.address, state))
            .collect()
    };
    let s = watched(log.address, |config| {
        config["limits"]["sockets"] = json!(SOCKETS);
        config["known"]["results"] = json!([list_event(0, true, &lines("SERVING"))]);
    });
    let first = log.opens();
    let address = log.address;
    drop((log, first));
    let all = ResourceBudget::of(SOCKETS, 192)
        .engine_connections
        .available_permits();
    let began = Instant::now();
    let batch = |_| {
        let stream = s.open();
        send(
            &stream,
            "POST /v1/report",
            &request_fields(&new_id(), 3000),
            "SELECT 1 /* keeps delete */",
        );
        stream
    };
    let batches: Vec<TcpStream> = (0..SOCKETS / 3).map(batch).collect();
    wait_until("all descriptors of engines are taken", || {
        hanging.calls("POST") >= all
    });
    assert!(began.elapsed() < ms(1500), "the batches are in hand still");
    let log = Log::at(address);
    let watch = log
        .next(PAUSES + SLACK)
        .expect("the watch beside engines that hold their whole budget");
    watch.says(HEAD);
    let mut told = lines("DRAINING");
    told.push(endpoint("s-other", other.address, "SERVING"));
    watch.tells(&list_event(1, false, &told));
    let _lives = watch.lives();
    for stream in batches {
        read_message(&mut BufReader::new(stream)).expect("an answer");
    }
    let before = hanging.calls("POST");
    is_followed(&s, &other);
    assert_eq!(
        hanging.calls("POST"),
        before,
        "nothing new to engines that drain"
    );
}

/// Event A: the log is down, and idle clients take all that clients may have. Event B: it comes back.
#[test]
fn idle_clients_that_fill_the_descriptors_keep_neither_batches_nor_the_watch_out() {
    const SOCKETS: usize = 64;
    let log = Log::start();
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
    let s = Service::with_launcher(
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
        assert!(
            s.query("report", "SELECT 1").succeeded(),
            "new clients are served without the log"
        );
    }
    // Long before the idle would be closed for being that.
    let served = began.elapsed();
    assert!(served < ms(1900), "served after {served:?}");
    let log = Log::at(address);
    let watch = log
        .next(PAUSES + SLACK)
        .expect("the watch beside idle clients");
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
    let second = log
        .next(SILENT + PAUSES + SLACK)
        .expect("a connection in place of one that trickles");
    let after = second.came - trickles;
    assert!(
        after > ms(2000),
        "after {after:?}: one comment that is late is no silence"
    );
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
    let second = log
        .next(SILENT + PAUSES + SLACK - ms(2000))
        .expect("a connection in place of a silent one");
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
    assert!(
        took < ms(2000),
        "written after {written:?}, applied after {took:?}"
    );
    assert!(
        log.next(Duration::ZERO).is_none(),
        "over the first connection"
    );
}

/// The list is told right after the last line of the first connection, the second falls silent as well, as late as it can:
/// its head still comes. The settings allow a connection so much time that it can't be the pause.
#[test]
fn over_two_silent_connections_in_a_row_a_list_is_applied_inside_its_seven_seconds() {
    let (log, other) = (Log::start(), Engine::start());
    let s = watched(log.address, |config| {
        config["settings"]["allowed"]["dial-timeout"] = json!(1500.0)
    });
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

/// Each silent one has another beside it in time, none is given up for that, and all are closed once one brings an event.
#[test]
fn silent_from_its_first_second_and_again_each_has_another_beside_it() {
    let (log, other) = (Log::start(), Engine::start());
    let began = Instant::now();
    let s = watched(log.address, |_| {});
    // Accepted and never answered, then answered by a head alone.
    let first = log.next(LONG).expect("a connection");
    let second = log.next(SILENT + PAUSES + SLACK).expect("a second");
    second.says(HEAD);
    let third = log.next(SILENT + PAUSES + SLACK).expect("a third");
    assert!(
        !first.is_closed(ms(50)) && !second.is_closed(ms(50)),
        "what is slow is not given up for a newer one"
    );
    third.says(HEAD);
    third.tells(&only(1, &other));
    let _lives = third.lives();
    assert!(first.is_closed(SLACK), "what is not needed is closed");
    assert!(
        second.is_closed(SLACK),
        "what is not needed is closed, though nothing comes on it any more"
    );
    is_followed(&s, &other);
    let took = began.elapsed();
    assert!(took < ms(7000), "applied {took:?} after the start");
    assert!(log.next(ms(500)).is_none(), "one connection is enough then");
}

/// Nothing silent is kept for longer than what the log tells takes to count as told.
#[test]
fn a_connection_that_stays_silent_is_closed_after_its_seven_seconds() {
    let log = Log::start();
    let _s = watched(log.address, |_| {});
    let silent = log.next(LONG).expect("a connection");
    let second = log.opens();
    let _lives = second.lives();
    // It was begun a little before it was seen here.
    let has = ms(7000) - SLACK;
    assert!(
        !silent.is_closed(has.saturating_sub(silent.came.elapsed())),
        "it has its time"
    );
    assert!(
        silent.is_closed((has + SLACK * 2).saturating_sub(silent.came.elapsed())),
        "and no more"
    );
    assert!(
        !second.is_closed(ms(100)) && log.next(ms(100)).is_none(),
        "the one that lives stays"
    );
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
    assert!(
        (5..=12).contains(&came),
        "{came} connections in 3 s at a pause of 250 ms"
    );
}

/// Who reads the gateway's log sees each time that it is lost, also where the stream was ended in good order before.
#[test]
fn a_log_that_ends_its_stream_and_is_gone_then_is_warned_of_again() {
    let path = write_config(&Value::Null).with_extension("log");
    let said = || {
        std::fs::read_to_string(&path)
            .unwrap()
            .matches("change log lost")
            .count()
    };
    let log = Log::start();
    let address = log.address;
    drop(log);
    let _s = Service::with_launcher(
        |config| config["changelog"] = json!(address.to_string()),
        |config| {
            serve_from(
                &write_config(config),
                std::fs::File::create(&path).unwrap().into(),
            )
        },
    );
    wait_until("lost at the start", || said() == 1);
    let log = Log::at(address);
    let watch = log.opens();
    drop(log);
    drop(watch);
    wait_until("lost again", || said() == 2);
    sleep(PAUSES * 2);
    assert_eq!(said(), 2, "and told once");
}

// SIGHUP at each step of the watch.

/// A gateway with a file that a test writes anew.
struct Reloading {
    s: Service,
    path: PathBuf,
}

impl Reloading {
    fn start(log: SocketAddr, change_more: impl Fn(&mut Value)) -> Reloading {
        let path = write_config(&Value::Null);
        let serve = |config: &Value| -> Child {
            std::fs::write(&path, config.to_string()).unwrap();
            serve_from(&path, Stdio::null())
        };
        let s = Service::with_launcher(
            |config| {
                config["changelog"] = json!(log.to_string());
                config["settings"]["allowed"]["may-probe"] = json!(false);
                change_more(config);
            },
            serve,
        );
        Reloading { s, path }
    }

    fn reads(&self, text: &str) {
        // Never half a file: the gateway may be reading the one before.
        let new: &Path = &self.path.with_extension("new");
        std::fs::write(new, text)
            .and_then(|()| std::fs::rename(new, &self.path))
            .unwrap();
        self.s.signal("HUP");
    }

    fn moves_to(&self, log: &Log) {
        let mut config = self.s.config.clone();
        config["changelog"] = json!(log.address.to_string());
        self.reads(&config.to_string());
    }

    /// What a new place is followed with: at once, from the last number applied, and to what it tells.
    fn follows(&self, log: &Log, last: u64, tells: &Engine) -> Watch {
        let watch = log.next(SLACK).expect("the new place at once");
        assert_eq!(watch.last, last, "the numbers go on");
        watch.says(HEAD);
        watch.tells(&only(last + 1, tells));
        let lives = watch.lives();
        is_followed(&self.s, tells);
        drop(lives);
        watch
    }
}

#[test]
fn sighup_while_the_watch_connects_is_followed_at_once() {
    let (old, new, other) = (Log::start(), Log::start(), Engine::start());
    let r = Reloading::start(old.address, |_| {});
    let connecting = old.next(LONG).expect("a connection that is not answered");
    r.moves_to(&new);
    r.follows(&new, 0, &other);
    assert!(connecting.is_closed(SLACK), "the old place is left");
}

/// The pause is the longest that there is, and the new place comes within a part of it.
#[test]
fn sighup_in_the_pause_is_followed_at_once() {
    let (old, new, other) = (Log::start(), Log::start(), Engine::start());
    let r = Reloading::start(old.address, |config| {
        config["settings"]["allowed"]["dial-timeout"] = json!(3000.0);
    });
    let watch = old.opens();
    watch.tells(&list_event(1, false, &[]));
    drop(watch);
    drop(old.opens());
    let paused = Instant::now();
    r.moves_to(&new);
    let watch = r.follows(&new, 1, &other);
    let after = watch.came - paused;
    assert!(after < ms(450), "{after:?} into a pause of 500 ms or more");
    assert!(old.next(Duration::ZERO).is_none(), "it was the pause");
}

#[test]
fn sighup_on_a_silent_stream_is_followed_at_once_and_nothing_of_the_old_one_after() {
    let (old, new, other, stale) = (Log::start(), Log::start(), Engine::start(), Engine::start());
    let r = Reloading::start(old.address, |_| {});
    let watch = old.opens();
    watch.tells(&only(1, &other));
    is_followed(&r.s, &other);
    sleep(ms(1500));
    r.moves_to(&new);
    let newest = new.next(SLACK).expect("the new place at once");
    assert_eq!(newest.last, 1);
    newest.says(HEAD);
    // The gateway may have closed the old one by then; whatever comes there is not applied.
    let stale_event = only(2, &stale);
    let _ = (&watch.stream).write_all(format!("id: 2\ndata: {stale_event}\n\n").as_bytes());
    let _lives = newest.lives();
    for _ in 0..5 {
        assert!(goes_to(&r.s, &other), "the last list stays");
    }
    let newer = Engine::start();
    newest.tells(&only(2, &newer));
    is_followed(&r.s, &newer);
    assert_eq!(stale.calls("POST"), 0, "nothing of the old stream");
}

#[test]
fn of_two_sighups_the_last_counts_also_with_a_faulty_file_between() {
    let (old, between, new) = (Log::start(), Log::start(), Log::start());
    let (first, stale, other) = (Engine::start(), Engine::start(), Engine::start());
    let r = Reloading::start(old.address, |_| {});
    let watch = old.opens();
    watch.tells(&only(1, &first));
    is_followed(&r.s, &first);
    r.moves_to(&between);
    r.reads("{");
    r.moves_to(&new);
    let newest = r.follows(&new, 1, &other);
    let _lives = newest.lives();
    assert!(watch.is_closed(SLACK), "the first place is left");
    // It may have been connected to between the two, and is left.
    if let Some(left) = between.next(Duration::ZERO) {
        let _ = (&left.stream)
            .write_all(format!("{HEAD}id: 3\ndata: {}\n\n", only(3, &stale)).as_bytes());
    }
    r.reads("{");
    assert!(
        (0..5).all(|_| goes_to(&r.s, &other)),
        "a faulty file changes nothing"
    );
    assert!(
        new.next(ms(100)).is_none() && !newest.is_closed(ms(100)),
        "nor does it cost a connection"
    );
    assert_eq!(stale.calls("POST"), 0);
}

/// A reload for another reason, such as a plan, costs no call for the list.
#[test]
fn sighup_with_the_same_place_keeps_the_stream() {
    let (log, other) = (Log::start(), Engine::start());
    let r = Reloading::start(log.address, |_| {});
    let watch = log.opens();
    let _lives = watch.lives();
    r.moves_to(&log);
    assert!(log.next(SLACK).is_none(), "no other connection");
    watch.tells(&only(1, &other));
    is_followed(&r.s, &other);
}

// Numbers.

#[test]
fn no_older_list_takes_the_place_of_a_newer_one() {
    let (log, newer, older) = (Log::start(), Engine::start(), Engine::start());
    let s = watched(log.address, |_| {});
    let watch = log.opens();
    watch.tells(&list_event(
        1,
        false,
        &[endpoint("s-a", older.address, "SERVING")],
    ));
    watch.tells(&only(2, &newer));
    is_followed(&s, &newer);
    let before = older.calls("POST");
    // Late, twice, and a whole list whose number goes back; then as another connection's first events.
    let late = [
        list_event(1, false, &[endpoint("s-a", older.address, "SERVING")]),
        list_event(2, true, &[endpoint("s-a", older.address, "SERVING")]),
        list_event(0, true, &[endpoint("s-a", older.address, "SERVING")]),
        list_event(1, true, &[endpoint("s-a", older.address, "SERVING")]),
    ];
    late.iter().for_each(|event| watch.tells(event));
    for _ in 0..10 {
        assert!(goes_to(&s, &newer), "the newest list stays");
    }
    drop(watch);
    let watch = log.opens();
    assert_eq!(watch.last, 2, "the number never goes back");
    late.iter().for_each(|event| watch.tells(event));
    let _lives = watch.lives();
    for _ in 0..10 {
        assert!(goes_to(&s, &newer), "the newest list stays");
    }
    assert_eq!(
        older.calls("POST"),
        before,
        "nothing to an engine that the newest list does not name"
    );
    watch.tells(&only(3, &older));
    is_followed(&s, &older);
}

/// What was due before it would never come: the log goes on from the number that it is asked with.
#[test]
fn a_spoilt_event_with_too_high_a_number_skips_none() {
    let (log, other) = (Log::start(), Engine::start());
    let s = watched(log.address, |_| {});
    for _ in 0..3 {
        let watch = log.opens();
        assert_eq!(watch.last, 0, "nothing was applied");
        watch.says("id: 9\ndata: {\"se\n\n");
        assert!(watch.is_closed(SLACK), "and it is asked for again");
    }
    let watch = log.opens();
    assert_eq!(watch.last, 0, "nothing was applied");
    watch.tells(&only(1, &other));
    let _lives = watch.lives();
    is_followed(&s, &other);
}

#[test]
fn an_event_without_a_list_makes_no_gateway_healthy() {
    let log = Log::start();
    let (engine, unused) = (Engine::start(), ChangeLog::start());
    let mut config = config(engine.address, log.address);
    config["known"] = json!({"seq": 0, "results": []});
    let address = config["listen"].as_str().unwrap().parse().unwrap();
    let s = Service {
        child: serve(&config),
        engine,
        log: unused,
        config,
        address,
    };
    let watch = log.opens();
    let _lives = watch.lives();
    watch.tells(&json!({"seq": 1}));
    watch.tells(&json!({"seq": 3}));
    // The third came where the second was due: the first has been applied by then.
    let watch = log.opens();
    assert_eq!(watch.last, 1);
    let health = || call(s.open(), "GET /healthz", "", "").unwrap().start_line;
    assert_eq!(health(), "HTTP/1.1 503 Service Unavailable");
    watch.tells(&only(2, &s.engine));
    let _lives = watch.lives();
    s.wait_until_healthy();
}

/// A log that is slow or crowded: each connection brings its first line only after longer than a silent one is waited for.
#[test]
fn a_log_whose_first_line_comes_late_is_heard_inside_its_seven_seconds() {
    let (log, engine) = (Log::start(), Engine::start());
    let mut told = config(free_address(), log.address);
    told["known"]["results"] = json!([]);
    let child = serve(&told);
    let service = Service {
        engine: engine.clone(),
        log: ChangeLog::start(),
        address: told["listen"].as_str().unwrap().parse().unwrap(),
        config: told,
        child,
    };
    let began = Instant::now();
    let address = log.address;
    let listener = log.listener;
    let list = list_event(1, true, &[endpoint("s-1", engine.address, "SERVING")]);
    spawn(move || loop {
        let Ok((stream, _)) = listener.accept() else {
            sleep(ms(2));
            continue;
        };
        let list = list.clone();
        spawn(move || {
            let watch = Watch::of(stream);
            sleep(ms(3200));
            // It may have been given up by now.
            let _ = (&watch.stream).write_all(format!("{HEAD}id: 1\ndata: {list}\n\n").as_bytes());
            sleep(ms(9000));
        });
    });
    let healthy = || {
        let asked = TcpStream::connect(service.address)
            .ok()
            .and_then(|s| call(s, "GET /healthz", "", ""));
        asked.is_some_and(|answer| answer.start_line == "HTTP/1.1 200 OK")
    };
    while !healthy() {
        assert!(
            began.elapsed() < ms(7000),
            "the log at {address} is never heard"
        );
        sleep(ms(20));
    }
}
