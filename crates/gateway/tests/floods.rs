//! Clients and engines that send much at once, a byte at a time, or without end: each is closed in its time, others are served
//! meanwhile, and descriptors and memory stay inside what was told.

mod helper;

use helper::process::{ms, EngineProcess};
use helper::*;
use serde_json::{json, Value};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

const SOCKETS: usize = 128;
const MEMORY_MB: usize = 48;

fn service(engine: SocketAddr, change_more: impl Fn(&mut Value)) -> Service {
    Service::with(|config| {
        config["known"]["results"] =
            json!([list_event(0, true, &[endpoint("s-0", engine, "SERVING")])]);
        config["settings"]["allowed"]["may-probe"] = json!(false);
        config["limits"] = json!({"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS});
        change_more(config);
    })
}

fn descriptors(service: &Service) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", service.child.id()))
        .unwrap()
        .count()
}

fn resident_mb(service: &Service) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{}/status", service.child.id())).unwrap();
    let peak = status.lines().find(|l| l.starts_with("VmHWM:")).unwrap();
    peak.split_whitespace()
        .nth(1)
        .unwrap()
        .parse::<usize>()
        .unwrap()
        / 1024
}

fn is_inside_its_limits(service: &Service) {
    let (descriptors, memory) = (descriptors(service), resident_mb(service));
    assert!(descriptors < SOCKETS, "{descriptors} descriptors");
    assert!(memory < MEMORY_MB, "{memory} MB");
}

/// Dozens of clients write hundreds of kilobytes of calls at once, read nothing and go, again and again.
#[test]
fn a_flood_that_sends_much_at_once_and_goes_leaves_room_for_others() {
    let engine = EngineProcess::start();
    let service = service(engine.address, |_| {});
    let address = service.address;
    let floods: Vec<_> = (0..40)
        .map(|_| {
            spawn(move || {
                for _ in 0..5 {
                    let Ok(mut stream) = TcpStream::connect(address) else { continue };
                    let call = |_| {
                        let fields = request_fields(&new_id(), 2000);
                        format!("POST /v1/report HTTP/1.1\r\nHost: g\r\n{fields}Content-Length: 8\r\n\r\nSELECT 1")
                    };
                    let much: String = (0..2000).map(call).collect();
                    stream.set_write_timeout(Some(ms(100))).unwrap();
                    // What the machine takes of it is enough.
                    let _ = stream.write(much.as_bytes());
                }
            })
        })
        .collect();
    for _ in 0..20 {
        assert!(
            service.query("report", "SELECT 2").succeeded(),
            "others are served meanwhile"
        );
        is_inside_its_limits(&service);
        sleep(ms(30));
    }
    floods.into_iter().for_each(|f| f.join().unwrap());
    sleep(ms(300));
    let before = engine.attempts().len();
    sleep(ms(500));
    assert_eq!(
        engine.attempts().len(),
        before,
        "nothing is sent on for those that have gone"
    );
    is_inside_its_limits(&service);
}

/// Heads and bodies that come a byte at a time hold every seat that there is.
#[test]
fn calls_that_come_a_byte_at_a_time_are_closed_in_their_time() {
    let engine = EngineProcess::start();
    let service = service(engine.address, |_| {});
    let fields = request_fields(&new_id(), 2000);
    let body =
        format!("POST /v1/report HTTP/1.1\r\nHost: g\r\n{fields}Content-Length: 5000\r\n\r\n");
    let slow: Vec<_> = (0..60)
        .map(|n| {
            let (mut stream, begun, head) = (service.open(), Instant::now(), n % 2 == 0);
            let first = if head {
                "POST /v1/report HTTP/1.1\r\nX-Slow: "
            } else {
                &body
            };
            stream.write_all(first.as_bytes()).unwrap();
            spawn(move || {
                stream.set_read_timeout(Some(ms(50))).unwrap();
                let mut answer = [0; 512];
                loop {
                    match stream.read(&mut answer) {
                        Ok(0) => return begun.elapsed(),
                        Ok(_) => {}
                        Err(fault) if fault.kind() == std::io::ErrorKind::WouldBlock => {}
                        Err(_) => return begun.elapsed(),
                    }
                    if stream.write_all(b"x").is_err() || begun.elapsed() > Duration::from_secs(6) {
                        return begun.elapsed();
                    }
                }
            })
        })
        .collect();
    for _ in 0..5 {
        assert!(
            service.query("report", "SELECT 2").succeeded(),
            "others are served meanwhile"
        );
        is_inside_its_limits(&service);
    }
    let spans: Vec<_> = slow.into_iter().map(|s| s.join().unwrap()).collect();
    let longest = *spans.iter().max().unwrap();
    assert!(
        longest < ms(4000),
        "one was let be for {longest:?}, of {spans:?}"
    );
}

/// An answer whose bytes go on coming and never end: the batch has its answer in its time, and nobody else gets what comes.
#[test]
fn an_answer_that_never_ends_is_bounded() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    spawn(move || {
        for stream in listener.incoming().flatten() {
            spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                while let Some(call) = read_message(&mut reader) {
                    if call.start_line.starts_with("DELETE") {
                        let _ = (&stream).write_all(http("204 No Content", "", "").as_bytes());
                        continue;
                    }
                    let endless = String::from_utf8_lossy(&call.body).contains("endless");
                    if !endless && call.start_line.starts_with("POST") {
                        let _ = (&stream)
                            .write_all(http("200 OK", "Result-Pages: 1\r\n", ROWS).as_bytes());
                        continue;
                    }
                    let head = "HTTP/1.1 200 OK\r\nResult-Pages: 1\r\nContent-Length: 5900\r\n\r\n";
                    let mut out = (&stream).write_all(head.as_bytes());
                    while out.is_ok() {
                        sleep(ms(20));
                        out = (&stream).write_all(b"a\tb\tc\n");
                    }
                }
            });
        }
    });
    let service = service(address, |_| {});
    let begun = Instant::now();
    let answer = service.query_with_id(&new_id(), "report", 1200, "SELECT 1 /* endless */");
    assert!(
        !answer.succeeded() && begun.elapsed() < ms(1300),
        "{answer:?} after {:?}",
        begun.elapsed()
    );
    for _ in 0..5 {
        let answer = service.query("report", "SELECT 2");
        assert_eq!(answer.json["data"], json!(ROWS_AS_JSON));
    }
}

/// Deadlines of 20 s and an engine that hangs for 16 s: SIGTERM's own time holds.
#[test]
fn sigterm_under_long_deadlines_answers_all_before_the_kill_may_come() {
    let engine = EngineProcess::start();
    let mut service = service(engine.address, |config| {
        config["settings"]["categories"] = json!([
            query_class("report", "retryable", 20_000.0),
            query_class("load", "fragile", 20_000.0)
        ]);
    });
    let calls: Vec<TcpStream> = ["report", "load"]
        .iter()
        .map(|group| {
            let stream = service.open();
            let statement = "SELECT 1 /* runs 16000 */";
            send(
                &stream,
                &format!("POST /v1/{group}"),
                &request_fields(&new_id(), 18_000),
                statement,
            );
            stream
        })
        .collect();
    wait_until("both are out", || engine.attempts().len() == 2);
    service.signal("TERM");
    let term = Instant::now();
    for stream in calls {
        let answer = read_message(&mut BufReader::new(stream)).expect("an answer");
        assert!(!Answer::of(answer).succeeded());
    }
    assert!(
        term.elapsed() < ms(3700),
        "answered after {:?}",
        term.elapsed()
    );
    assert!(service.child.wait().unwrap().success());
    assert!(
        term.elapsed() < ms(3900),
        "ended after {:?}",
        term.elapsed()
    );
}
