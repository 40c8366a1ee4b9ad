//! A serving gateway whose system calls fail as Linux documents it: short reads and writes, interrupted calls, and
//! temporary failures of accept, socket and connect.

mod helper;

use helper::faults::Faults;
use helper::process::{ms, FakeEngineProcess};
use helper::*;
use serde_json::{json, Value};
use std::process::{Child, Stdio};
use std::time::{Duration, Instant};

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

/// Sends queries one after another, on connections that are replaced after five queries, every fourth with a long
/// statement. Asserts that all succeed.
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
            "query {n} failed after {:?}: {answer:?}",
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

/// The gateway retries when the system has no socket for it, and when its address is still in use.
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

/// Every second accept fails, and 200 clients connect at once.
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
            "a client got no rows, after {:?}",
            began.elapsed()
        );
    }
    assert!(
        began.elapsed() < ms(1000),
        "answered after {:?}",
        began.elapsed()
    );
}

/// EADDRNOTAVAIL, ENOBUFS and ENETUNREACH at connect are faults of the local machine. Queries are rejected and none
/// counts as failed, and the engine is used again as soon as the fault has passed.
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
            assert_eq!(answer.status, 503, "connect fails with {code}: {answer:?}");
        }
        faults.disable("connect");
        let recovered_at = Instant::now();
        assert_all_succeed(&test_bed, 1);
        assert!(
            recovered_at.elapsed() < ms(300),
            "connect failed with {code}: the engine is used again only after {:?}",
            recovered_at.elapsed()
        );
    }
}

/// A connection lost with ETIMEDOUT or EHOSTUNREACH does not prove that an attempt has ended: a query that may have run
/// is not sent again.
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
            // The fault may break the client's connection as well.
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
        assert_eq!(ids.len(), sent, "calls fail with {code}: a query ran twice");
        assert!(
            sent > 20,
            "calls fail with {code}: only {sent} attempts received"
        );
    }
}

/// Guards against a shutdown that begins too late. The write by which the signal handler wakes the gateway was
/// interrupted, and the gateway polled the flags of the signals only every 250 ms, while its shutdown ends 100 ms
/// before the earliest kill. In seed 111 of the soak test, with one in ten calls interrupted and deadlines of 500 ms,
/// the gateway was still running at its kill 1.2 s after SIGTERM in 1 of 6 runs, and in 6 of 10 runs of the version
/// before. With every such write interrupted it exited 1.33 s after SIGTERM. The flags are now polled every 50 ms.
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
        // Each query of this client takes until its deadline.
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
            "the gateway exited {took:?} after SIGTERM, and a kill may come earlier"
        );
    }
}

/// EIO and ENOMEM.
const READ_ERRORS: [i32; 2] = [5, 12];

#[test]
fn start_waits_for_a_configuration_that_cannot_be_read() {
    for error in READ_ERRORS {
        let faults = Faults::new();
        faults.enable("disk-read", &format!("1 {error}"));
        let later = faults.clone();
        std::thread::spawn(move || {
            std::thread::sleep(ms(400));
            later.disable("disk-read");
        });
        assert_all_succeed(
            &TestBed::start_with_launcher(|_| {}, serve_with(&faults)),
            1,
        );
    }
}

#[test]
fn configuration_that_cannot_be_read_at_sighup_is_applied_once_it_can() {
    for error in READ_ERRORS {
        let faults = Faults::new();
        let file = std::cell::RefCell::new(std::path::PathBuf::new());
        let test_bed = TestBed::start_with_launcher(
            |_| {},
            |config| {
                *file.borrow_mut() = write_config(config);
                let mut command = gateway_command(&["serve"]);
                command
                    .env("PROXY_CONFIG", &*file.borrow())
                    .stderr(Stdio::null());
                faults.apply_to(&mut command);
                command.spawn().unwrap()
            },
        );
        let moved = FakeChangeLog::start();
        let mut config = test_bed.config.clone();
        config["changelog"] = json!(moved.address.to_string());
        std::fs::write(&*file.borrow(), config.to_string()).unwrap();
        faults.enable("disk-read", &format!("1 {error}"));
        test_bed.signal("HUP");
        std::thread::sleep(ms(400));
        faults.disable("disk-read");
        wait_until("the gateway watches the new change log", || {
            !moved.last_event_ids.lock().unwrap().is_empty()
        });
    }
}
