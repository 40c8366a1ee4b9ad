//! A gateway on a system that returns values which libraries do not expect: a short `TCP_INFO`, a wall clock outside
//! the range of HTTP dates, and no thread for the asking.

mod helper;

use helper::faults::Faults;
use helper::process::ms;
use helper::*;
use serde_json::{json, Value};
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::process::{Child, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Seconds by which the wall clock is ahead so that its year has five digits.
const PAST_YEAR_9999: &str = "253402300800";
/// Seconds by which the wall clock is set back so that it is before 1970.
const BEFORE_1970: &str = "-4000000000";
/// The error number EAGAIN, with which pthread_create fails for lack of a thread.
const NO_THREAD: &str = "1 11";
/// Time in which a client of these tests gets each answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);

/// Returns a launcher of gateways with these faults.
fn serve_with(faults: &Faults) -> impl Fn(&Value) -> Child + '_ {
    move |config| {
        let mut command = gateway_command(&["serve"]);
        command
            .env("PROXY_CONFIG", write_config(config))
            .stderr(Stdio::null());
        faults.apply_to(&mut command);
        command.spawn().unwrap()
    }
}

fn start_with(faults: &Faults) -> TestBed {
    TestBed::start_with_launcher(|_| {}, serve_with(faults))
}

/// Sends a request and returns the answer, or `None` where the connection ends or stays silent before a whole answer.
fn answer_on(stream: &TcpStream, request_line: &str, headers: &str) -> Option<Answer> {
    stream.set_read_timeout(Some(ANSWER_TIMEOUT)).unwrap();
    let stream = stream.try_clone().unwrap();
    round_trip(stream, request_line, headers, "SELECT 1").map(Answer::of)
}

fn answer_to_query(stream: &TcpStream) -> Option<Answer> {
    answer_on(stream, "POST /v1/report", &request_headers(&new_id(), 3000))
}

fn health(test_bed: &TestBed) -> Option<u16> {
    answer_on(&test_bed.open(), "GET /healthz", "").map(|answer| answer.status)
}

/// Returns the sum of the samples of a metric whose labels contain `label`.
fn metric(test_bed: &TestBed, name: &str, label: &str) -> f64 {
    let page = round_trip(test_bed.open(), "GET /metrics", "", "").expect("a page of metrics");
    let text = String::from_utf8(page.body).unwrap();
    text.lines()
        .filter(|line| line.starts_with(name) && line.contains(label))
        .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
        .sum()
}

#[test]
fn queries_are_served_where_the_system_fills_in_a_short_tcp_info() {
    for length in [0, 4, 55, 104, 192] {
        let faults = Faults::new();
        faults.enable("tcp-info", &format!("1 {length}"));
        let test_bed = start_with(&faults);
        let keep_alive = test_bed.open();
        for n in 0..3 {
            let new = answer_to_query(&test_bed.open());
            assert!(
                new.as_ref().is_some_and(Answer::succeeded),
                "{length} bytes, new connection {n}: {new:?}"
            );
            let open = answer_to_query(&keep_alive);
            assert!(
                open.as_ref().is_some_and(Answer::succeeded),
                "{length} bytes, open connection, query {n}: {open:?}"
            );
        }
        let keyed = format!(
            "{}X-Item: 7f3a9c21e0b4d655\r\n",
            request_headers(&new_id(), 3000)
        );
        let keyed = answer_on(&test_bed.open(), "POST /v1/load", &keyed);
        assert!(
            keyed.as_ref().is_some_and(Answer::succeeded),
            "{length} bytes: {keyed:?}"
        );
        let unknown = format!("X-Job-Id: {}\r\n", new_id());
        let cancelled = answer_on(&test_bed.open(), "DELETE /v1/report", &unknown);
        assert!(cancelled.is_some(), "{length} bytes: DELETE got no answer");
        assert_eq!(health(&test_bed), Some(200), "{length} bytes");
    }
}

#[test]
fn tcp_info_that_becomes_short_while_serving_loses_no_query() {
    let faults = Faults::new();
    let test_bed = start_with(&faults);
    assert!(test_bed.query("report", "SELECT 1").succeeded());
    faults.enable("tcp-info", "2 4");
    for n in 0..20 {
        let answer = answer_to_query(&test_bed.open());
        assert!(
            answer.as_ref().is_some_and(Answer::succeeded),
            "query {n}: {answer:?}"
        );
    }
    assert_eq!(health(&test_bed), Some(200));
}

#[test]
fn requests_are_answered_while_the_wall_clock_is_past_year_9999() {
    let faults = Faults::new();
    let test_bed = start_with(&faults);
    let resting = test_bed.open();
    assert!(answer_to_query(&resting).is_some_and(|answer| answer.succeeded()));
    let open = test_bed.open();
    let slow = std::thread::spawn(move || {
        open.set_read_timeout(Some(ANSWER_TIMEOUT)).unwrap();
        let headers = request_headers(&new_id(), 3000);
        round_trip(open, "POST /v1/report", &headers, "SELECT 1 /* slow */").map(Answer::of)
    });
    std::thread::sleep(ms(200));

    faults.enable("realtime", PAST_YEAR_9999);
    // hyper renders its date once a second.
    std::thread::sleep(ms(1100));
    let in_flight = slow.join().unwrap();
    assert!(in_flight.is_some(), "the query in flight got no answer");
    let began = Instant::now();
    let on_resting = answer_to_query(&resting);
    assert!(
        on_resting.is_some(),
        "no answer on the connection that rested"
    );
    for n in 0..3 {
        let answer = answer_to_query(&test_bed.open());
        assert!(
            answer.is_some(),
            "no answer to query {n} on a new connection"
        );
    }
    assert!(
        began.elapsed() < ms(1000),
        "answered after {:?}",
        began.elapsed()
    );
    assert_eq!(
        health(&test_bed),
        Some(503),
        "the gateway calls itself ready"
    );

    faults.disable("realtime");
    test_bed.wait_until_healthy();
    assert!(test_bed.query("report", "SELECT 1").succeeded());
    assert!(
        metric(
            &test_bed,
            "garnetwall_task_panics_total",
            "ClientConnection"
        ) >= 4.0
    );
}

#[test]
fn gateway_started_before_1970_answers_each_request_and_is_not_ready() {
    let faults = Faults::new();
    faults.enable("realtime", BEFORE_1970);
    let (engine, log) = (FakeEngine::start(), FakeChangeLog::start());
    let config = config(engine.address, log.address);
    let address = config["listen"].as_str().unwrap().parse().unwrap();
    let child = serve_with(&faults)(&config);
    let test_bed = TestBed {
        engine,
        log,
        config,
        address,
        child,
    };
    wait_until("the gateway listens", || {
        TcpStream::connect(test_bed.address).is_ok()
    });
    for n in 0..3 {
        let answer = answer_to_query(&test_bed.open());
        assert!(answer.is_some(), "no answer to query {n}");
    }
    assert_eq!(health(&test_bed), Some(503));
    faults.disable("realtime");
    test_bed.wait_until_healthy();
    assert!(test_bed.query("report", "SELECT 1").succeeded());
}

#[test]
fn sighup_takes_effect_although_the_system_had_no_thread() {
    let faults = Faults::new();
    let next_log = FakeChangeLog::start();
    let test_bed = {
        let file = std::sync::Mutex::new(std::path::PathBuf::new());
        let serve = |config: &Value| {
            *file.lock().unwrap() = write_config(config);
            let mut command = gateway_command(&["serve"]);
            command
                .env("PROXY_CONFIG", &*file.lock().unwrap())
                .stderr(Stdio::null());
            faults.apply_to(&mut command);
            command.spawn().unwrap()
        };
        let test_bed = TestBed::start_with_launcher(|_| {}, serve);
        let mut moved = test_bed.config.clone();
        moved["changelog"] = json!(next_log.address.to_string());
        std::fs::write(&*file.lock().unwrap(), moved.to_string()).unwrap();
        test_bed
    };
    // A thread of the runtime's pool that read the configuration ends after 10 s without work.
    std::thread::sleep(ms(11_000));
    faults.enable("threads", NO_THREAD);
    test_bed.signal("HUP");
    std::thread::sleep(ms(300));
    faults.disable("threads");
    wait_until("the new change log is read", || {
        !next_log.last_event_ids.lock().unwrap().is_empty()
    });
    assert!(test_bed.query("report", "SELECT 1").succeeded());
}

#[test]
fn start_is_retried_while_the_system_has_no_thread() {
    let faults = Faults::new();
    faults.enable("threads", NO_THREAD);
    let later = faults.clone();
    std::thread::spawn(move || {
        std::thread::sleep(ms(400));
        later.disable("threads");
    });
    let test_bed = start_with(&faults);
    assert!(test_bed.query("report", "SELECT 1").succeeded());
}

/// Long bodies are written to a spool file by a pool of threads, whose idle ones end after 10 s by default.
#[test]
fn long_bodies_and_recorded_queries_are_served_although_the_system_has_no_thread() {
    let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!(
        "threads-{}-{}",
        std::process::id(),
        new_id()
    ));
    std::fs::create_dir_all(&folder).unwrap();
    let plan = folder.join("a.plan");
    let directory = format!("directory {:?}", folder.to_str().unwrap());
    let bodies = format!("bodies store {{\n  memory 512KiB\n  batch-memory 256KiB\n  files 64MiB\n  {directory}\n  batch 32MiB\n}}\n");
    let journal = format!("journal once-only {{\n  {directory}\n}}\n");
    std::fs::write(&plan, bodies + &journal).unwrap();

    let faults = Faults::new();
    faults.enable("threads", NO_THREAD);
    let later = faults.clone();
    std::thread::spawn(move || {
        std::thread::sleep(ms(400));
        later.disable("threads");
    });
    let test_bed = TestBed::start_with_launcher(
        |_| {},
        |config| {
            let mut command = gateway_command(&["serve", "--plan"]);
            command
                .arg(&plan)
                .env("PROXY_CONFIG", write_config(config))
                .stderr(Stdio::null());
            faults.apply_to(&mut command);
            command.spawn().unwrap()
        },
    );
    assert!(test_bed.query("load", "INSERT 1").succeeded());
    std::thread::sleep(ms(11_000));
    faults.enable("threads", NO_THREAD);
    let long = format!("SELECT '{}' FROM sales_1.orders", "x".repeat(400_000));
    for n in 0..3 {
        let answer = test_bed.query("report", &long);
        assert!(answer.succeeded(), "query {n}: {answer:?}");
    }
    assert!(test_bed.query("load", "INSERT 2").succeeded());
    assert_eq!(health(&test_bed), Some(200));
}

/// Set by the protocol: new connections come for up to this long after SIGTERM.
const NEW_CONNECTIONS_AFTER_TERM: Duration = Duration::from_millis(400);
/// Number of clients of the crowd.
const CROWD: usize = 60;
/// Set by the protocol: a request whose connection is closed within this time has crossed the close.
const CROSSING_LIMIT: Duration = Duration::from_millis(50);

/// Sends queries, on open connections where the gateway leaves them open, until no more connections are to be opened.
/// Returns the number of answers, or the query that got none.
fn query_while_open(
    address: std::net::SocketAddr,
    client: usize,
    opens_connections: &AtomicBool,
) -> Result<usize, String> {
    let mut answers = 0;
    let mut resting: Option<TcpStream> = None;
    loop {
        let is_new = resting.is_none();
        let stream = match resting.take() {
            Some(stream) => stream,
            None if !opens_connections.load(Ordering::Relaxed) => return Ok(answers),
            None => TcpStream::connect(address).map_err(|error| error.to_string())?,
        };
        stream.set_read_timeout(Some(ANSWER_TIMEOUT)).unwrap();
        let statement = ["SELECT 1", "SELECT 1 /* slow */"][(client + answers) % 2];
        let request = format!(
            "POST /v1/report HTTP/1.1\r\nHost: a\r\n{}Content-Length: {}\r\n\r\n{statement}",
            request_headers(&new_id(), 3000),
            statement.len()
        );
        let sent_at = Instant::now();
        // A failed write shows in the read.
        let _ = (&stream).write_all(request.as_bytes());
        match read_message(&mut BufReader::new(stream.try_clone().unwrap())) {
            Some(message) => {
                answers += 1;
                let connection = message.headers.get("connection");
                resting = (connection.is_none_or(|value| value != "close")).then_some(stream);
            }
            None if !is_new && sent_at.elapsed() < CROSSING_LIMIT => {}
            None => {
                let kind = if is_new { "new" } else { "open" };
                return Err(format!(
                    "client {client}, answer {answers}: none on a {kind} connection after {:?}",
                    sent_at.elapsed()
                ));
            }
        }
    }
}

#[test]
fn crowd_is_answered_while_http_panics_and_the_gateway_is_stopped() {
    let faults = Faults::new();
    let mut test_bed = TestBed::start_with_launcher(
        |config| config["limits"]["sockets"] = json!(1024),
        serve_with(&faults),
    );
    let address = test_bed.address;
    let opens_connections = Arc::new(AtomicBool::new(true));
    let crowd: Vec<_> = (0..CROWD)
        .map(|client| {
            let opens_connections = opens_connections.clone();
            std::thread::spawn(move || query_while_open(address, client, &opens_connections))
        })
        .collect();
    std::thread::sleep(ms(400));
    faults.enable("realtime", PAST_YEAR_9999);
    std::thread::sleep(ms(1500));
    let signalled_at = Instant::now();
    for signal in ["TERM", "HUP", "TERM", "INT"] {
        test_bed.signal(signal);
        std::thread::sleep(ms(20));
    }
    std::thread::sleep(NEW_CONNECTIONS_AFTER_TERM.saturating_sub(signalled_at.elapsed()));
    opens_connections.store(false, Ordering::Relaxed);
    let answers: Vec<_> = crowd
        .into_iter()
        .map(|client| client.join().unwrap())
        .collect();
    let faulty: Vec<_> = answers.iter().filter(|answers| answers.is_err()).collect();
    assert!(faulty.is_empty(), "{faulty:?}");
    let answered: usize = answers.iter().flatten().sum();
    assert!(answered > 10 * CROWD, "{answered} answers");
    let status = test_bed.child.wait().unwrap();
    assert!(status.success(), "{status:?}");
    let earliest_kill = ms(3700);
    assert!(
        signalled_at.elapsed() < earliest_kill,
        "{:?}",
        signalled_at.elapsed()
    );
}
