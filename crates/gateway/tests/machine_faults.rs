//! System calls that fail as Linux says they may, on a gateway that serves: short reads and writes, interrupted calls, accepts
//! and sockets that fail for a moment.

mod helper;

use helper::faults::Faults;
use helper::process::{ms, EngineProcess};
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

/// Queries one after another on kept connections and on new ones, some with long statements: all are answered with their rows.
fn all_are_answered(service: &Service, queries: usize) {
    let long = format!("SELECT '{}' FROM sales_1.orders", "x".repeat(60_000));
    let mut kept = service.open();
    for n in 0..queries {
        if n % 5 == 0 {
            kept = service.open();
        }
        kept.set_read_timeout(Some(Duration::from_secs(4))).unwrap();
        let statement = if n % 4 == 3 {
            long.as_str()
        } else {
            "SELECT 1"
        };
        let began = Instant::now();
        let answer = call(
            kept.try_clone().unwrap(),
            "POST /v1/report",
            &request_fields(&new_id(), 3000),
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
    let faults = Faults::none();
    faults.enable("short", "2");
    all_are_answered(&Service::with_launcher(|_| {}, serve_with(&faults)), 40);
}

#[test]
fn interrupted_calls_lose_no_query() {
    let faults = Faults::none();
    faults.enable("eintr", "2");
    faults.enable("waits", "3");
    all_are_answered(&Service::with_launcher(|_| {}, serve_with(&faults)), 40);
}

/// A listener's socket that the system refuses for a moment, or an address that a predecessor still holds, is no end.
#[test]
fn a_start_for_which_the_system_has_no_socket_is_tried_again() {
    // EMFILE, ENFILE, ENOBUFS, ENOMEM.
    for code in [24, 23, 105, 12] {
        let faults = Faults::none();
        faults.enable("socket", &format!("1 {code}"));
        let later = faults.clone();
        std::thread::spawn(move || {
            std::thread::sleep(ms(400));
            later.disable("socket");
        });
        all_are_answered(&Service::with_launcher(|_| {}, serve_with(&faults)), 1);
    }
    let held: std::sync::Mutex<Option<std::net::TcpListener>> = std::sync::Mutex::default();
    let takes = |config: &mut Value| {
        *held.lock().unwrap() =
            Some(std::net::TcpListener::bind(config["listen"].as_str().unwrap()).unwrap());
    };
    let serve = |config: &Value| {
        let child = serve(config);
        std::thread::sleep(ms(300));
        held.lock().unwrap().take();
        child
    };
    all_are_answered(&Service::with_launcher(takes, serve), 1);
}

/// Accepts that fail cost those who come then next to nothing.
#[test]
fn accepts_that_fail_hold_nobody_up() {
    let faults = Faults::none();
    let service = Service::with_launcher(
        |config| config["limits"]["sockets"] = json!(1024),
        serve_with(&faults),
    );
    faults.enable("accept", "2");
    let began = Instant::now();
    let open: Vec<_> = (0..200).map(|_| service.open()).collect();
    for stream in &open {
        send(
            stream,
            "POST /v1/report",
            &request_fields(&new_id(), 3000),
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

/// EADDRNOTAVAIL, ENOBUFS, ENETUNREACH at connect: this machine's own faults. Queries are answered, none as failed, and once it
/// passes the engine is used at once.
#[test]
fn what_this_machine_lacks_to_connect_is_laid_to_no_engine() {
    for code in [99, 105, 101] {
        let faults = Faults::none();
        let service = Service::with_launcher(|_| {}, serve_with(&faults));
        all_are_answered(&service, 3);
        faults.enable("connect", &format!("1 {code}"));
        let began = Instant::now();
        while began.elapsed() < ms(1000) {
            let answer = service.query("load", "INSERT 1");
            assert_eq!(answer.status, 503, "{code}: {answer:?}");
        }
        faults.disable("connect");
        let back = Instant::now();
        all_are_answered(&service, 1);
        assert!(
            back.elapsed() < ms(300),
            "{code}: used again only after {:?}",
            back.elapsed()
        );
    }
}

/// Connections that break as ETIMEDOUT or EHOSTUNREACH prove nothing: what may have run is not sent again.
#[test]
fn a_connection_that_times_out_proves_nothing() {
    for code in [110, 113] {
        let (engine, faults) = (EngineProcess::start(), Faults::none());
        let told = |config: &mut Value| {
            config["known"]["results"] = json!([list_event(
                0,
                true,
                &[endpoint("s-0", engine.address, "SERVING")]
            )]);
        };
        let service = Service::with_launcher(told, serve_with(&faults));
        faults.enable("broken", &format!("12 {code}"));
        for _ in 0..60 {
            let id = new_id();
            let call_of = format!("INSERT {id} /* runs 5 */");
            // Its own connection may break as well.
            let _ = call(
                service.open(),
                "POST /v1/load",
                &request_fields(&id, 1000),
                &call_of,
            );
        }
        let dispatches = engine.attempts();
        let mut ids: Vec<_> = dispatches.iter().map(|d| &d.id).collect();
        ids.sort();
        let sent = ids.len();
        ids.dedup();
        assert_eq!(ids.len(), sent, "{code}: run twice");
        assert!(sent > 20, "{code}: {sent} came");
    }
}

/// What happened: seed 111 of the soak, with one in ten calls interrupted and deadlines of 500 ms, met its kill 1.2 s after SIGTERM with the
/// gateway still there, in 1 of 6 plays, and in 6 of 10 of the program before. The cause: the write by which the signal's handler wakes the gateway was interrupted, and the
/// flags were looked at every 250 ms only, while the end keeps 100 ms clear of the earliest kill. The evidence: with every such write
/// interrupted the end came 1.33 s after SIGTERM. Since then the flags are looked at every 50 ms.
#[test]
fn a_signal_whose_wake_is_lost_is_heeded_in_time() {
    const DEADLINE: u64 = 500;
    for _ in 0..6 {
        let faults = Faults::none();
        let mut service = Service::with_launcher(
            |config| {
                for n in 0..2 {
                    config["settings"]["categories"][n]["give-up"] = json!(DEADLINE as f64);
                }
            },
            serve_with(&faults),
        );
        faults.enable("wake", "1");
        // A client whose every query lasts until its deadline, up to the end.
        let address = service.address;
        let client = std::thread::spawn(move || {
            while let Ok(stream) = std::net::TcpStream::connect(address) {
                let slow = "SELECT 1 /* keeps delete */";
                if call(
                    stream,
                    "POST /v1/report",
                    &request_fields(&new_id(), DEADLINE as u32),
                    slow,
                )
                .is_none()
                {
                    return;
                }
            }
        });
        std::thread::sleep(ms(20));
        service.signal("TERM");
        let told = Instant::now();
        assert!(service.child.wait().unwrap().success());
        let took = told.elapsed();
        client.join().unwrap();
        assert!(
            took < ms(700 + DEADLINE),
            "ended {took:?} after SIGTERM: a kill may have come before"
        );
    }
}
