//! System calls that fail as documented for Linux, on a serving gateway: short reads and writes, interrupted calls,
//! temporary failures of accept and socket.

mod helper;

use helper::faults::Faults;
use helper::process::{ms, FakeEngineProcess};
use helper::*;
use serde_json::{json, Value};
use std::process::{Child, Stdio};
use std::time::{Duration, Instant};

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

/// Sends queries one after another on keep-alive and new connections, some with long statements, and asserts that all succeed.
fn assert_all_succeed(test_bed: &TestBed, queries: usize) {
    let long = format!("SELECT '{}' FROM sales_1.orders", "x".repeat(60_000));
    let mut keep_alive = test_bed.open();
    for n in 0..queries {
        if n % 5 == 0 {
            keep_alive = test_bed.open();
        }
        keep_alive
            .set_read_timeout(Some(Duration::from_secs(4)))
            .unwrap();
        let statement = if n % 4 == 3 {
            long.as_str()
        } else {
            "SELECT 1"
        };
        let began = Instant::now();
        let answer = round_trip(
            keep_alive.try_clone().unwrap(),
            "POST /v1/report",
            &request_headers(&new_id(), 3000),
            statement,
        );
        let answer = answer.map(Answer::of);
        assert!(
            answer.as_ref().is_some_and(Answer::succeeded),
            "query {n} after {:?}: {answer:?}",
            began.elapsed()
        );
    }
}

#[test]
fn short_reads_and_writes_lose_no_query() {
    let faults = Faults::new();
    faults.enable("short", "2");
    assert_all_succeed(
        &TestBed::start_with_launcher(|_| {}, serve_with(&faults)),
        40,
    );
}

#[test]
fn interrupted_calls_lose_no_query() {
    let faults = Faults::new();
    faults.enable("eintr", "2");
    faults.enable("waits", "3");
    assert_all_succeed(
        &TestBed::start_with_launcher(|_| {}, serve_with(&faults)),
        40,
    );
}

/// A temporary failure to create the listening socket, or an address still in use, does not end the gateway.
#[test]
fn bind_is_retried_when_the_system_has_no_socket() {
    // EMFILE, ENFILE, ENOBUFS, ENOMEM.
    for code in [24, 23, 105, 12] {
        let faults = Faults::new();
        faults.enable("socket", &format!("1 {code}"));
        let later = faults.clone();
        std::thread::spawn(move || {
            std::thread::sleep(ms(400));
            later.disable("socket");
        });
        assert_all_succeed(
            &TestBed::start_with_launcher(|_| {}, serve_with(&faults)),
            1,
        );
    }
    let occupied: std::sync::Mutex<Option<std::net::TcpListener>> = std::sync::Mutex::default();
    let occupy_address = |config: &mut Value| {
        *occupied.lock().unwrap() =
            Some(std::net::TcpListener::bind(config["listen"].as_str().unwrap()).unwrap());
    };
    let serve = |config: &Value| {
        let child = serve(config);
        std::thread::sleep(ms(300));
        occupied.lock().unwrap().take();
        child
    };
    assert_all_succeed(&TestBed::start_with_launcher(occupy_address, serve), 1);
}

/// Failed accepts delay new clients only slightly.
#[test]
fn failed_accepts_delay_no_client() {
    let faults = Faults::new();
    let test_bed = TestBed::start_with_launcher(
        |config| config["limits"]["sockets"] = json!(1024),
        serve_with(&faults),
    );
    faults.enable("accept", "2");
    let began = Instant::now();
    let open: Vec<_> = (0..200).map(|_| test_bed.open()).collect();
    for stream in &open {
        send_request(
            stream,
            "POST /v1/report",
            &request_headers(&new_id(), 3000),
            "SELECT 1",
        );
    }
    for stream in open {
        stream
            .set_read_timeout(Some(Duration::from_secs(4)))
            .unwrap();
        let answer = read_message(&mut std::io::BufReader::new(stream)).map(Answer::of);
        assert!(
            answer.is_some_and(|a| a.succeeded()),
            "after {:?}",
            began.elapsed()
        );
    }
    assert!(began.elapsed() < ms(1000), "{:?}", began.elapsed());
}

/// EADDRNOTAVAIL, ENOBUFS and ENETUNREACH at connect are faults of the local machine. Queries are rejected, none fails, and
/// once the fault has passed the engine is used at once.
#[test]
fn local_connect_faults_are_not_attributed_to_an_engine() {
    for code in [99, 105, 101] {
        let faults = Faults::new();
        let test_bed = TestBed::start_with_launcher(|_| {}, serve_with(&faults));
        assert_all_succeed(&test_bed, 3);
        faults.enable("connect", &format!("1 {code}"));
        let began = Instant::now();
        while began.elapsed() < ms(1000) {
            let answer = test_bed.query("load", "INSERT 1");
            assert_eq!(answer.status, 503, "{code}: {answer:?}");
        }
        faults.disable("connect");
        let recovered_at = Instant::now();
        assert_all_succeed(&test_bed, 1);
        assert!(
            recovered_at.elapsed() < ms(300),
            "{code}: used again only after {:?}",
            recovered_at.elapsed()
        );
    }
}

/// Connections lost with ETIMEDOUT or EHOSTUNREACH prove nothing: a query that may have run is not sent again.
#[test]
fn connection_timeout_proves_nothing() {
    for code in [110, 113] {
        let (engine, faults) = (FakeEngineProcess::start(), Faults::new());
        let one_engine = |config: &mut Value| {
            config["known"]["results"] = json!([full_list_event(
                0,
                &[endpoint("s-0", engine.address, "SERVING")]
            )]);
        };
        let test_bed = TestBed::start_with_launcher(one_engine, serve_with(&faults));
        faults.enable("broken", &format!("12 {code}"));
        for _ in 0..60 {
            let id = new_id();
            let statement = format!("INSERT {id} /* runs 5 */");
            // The client's connection may break as well.
            let _ = round_trip(
                test_bed.open(),
                "POST /v1/load",
                &request_headers(&id, 1000),
                &statement,
            );
        }
        let attempts = engine.attempts();
        let mut ids: Vec<_> = attempts.iter().map(|attempt| &attempt.id).collect();
        ids.sort();
        let sent = ids.len();
        ids.dedup();
        assert_eq!(ids.len(), sent, "{code}: run twice");
        assert!(sent > 20, "{code}: {sent} received");
    }
}

/// What happened: in seed 111 of the soak, with one in ten calls interrupted and deadlines of 500 ms, the gateway was still
/// running at its kill 1.2 s after SIGTERM, in 1 of 6 runs, and in 6 of 10 of the program before. The cause: the write by
/// which the signal handler wakes the gateway was interrupted, and the flags were polled every 250 ms only, while the shutdown
/// ends 100 ms before the earliest kill. The evidence: with every such write interrupted the gateway exited 1.33 s after
/// SIGTERM. The flags are now polled every 50 ms.
#[test]
fn signal_with_a_lost_wakeup_is_handled_in_time() {
    const DEADLINE: u64 = 500;
    for _ in 0..6 {
        let faults = Faults::new();
        let mut test_bed = TestBed::start_with_launcher(
            |config| {
                for n in 0..2 {
                    config["settings"]["categories"][n]["give-up"] = json!(DEADLINE as f64);
                }
            },
            serve_with(&faults),
        );
        faults.enable("wake", "1");
        // Each query of this client lasts until its deadline.
        let address = test_bed.address;
        let client = std::thread::spawn(move || {
            while let Ok(stream) = std::net::TcpStream::connect(address) {
                let slow = "SELECT 1 /* keeps delete */";
                if round_trip(
                    stream,
                    "POST /v1/report",
                    &request_headers(&new_id(), DEADLINE as u32),
                    slow,
                )
                .is_none()
                {
                    return;
                }
            }
        });
        std::thread::sleep(ms(20));
        test_bed.signal("TERM");
        let signalled_at = Instant::now();
        assert!(test_bed.child.wait().unwrap().success());
        let took = signalled_at.elapsed();
        client.join().unwrap();
        assert!(
            took < ms(700 + DEADLINE),
            "ended {took:?} after SIGTERM: a kill may have come before"
        );
    }
}
