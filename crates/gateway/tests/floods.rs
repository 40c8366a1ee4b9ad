//! Clients and engines that send in bulk, byte by byte or without end. Their connections are closed in time, other
//! clients are served meanwhile, and the gateway stays within its limits of descriptors and memory.

mod helper;

use helper::process::{ms, FakeEngineProcess};
use helper::*;
use serde_json::{json, Value};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

const SOCKETS: usize = 128;
const MEMORY_MB: usize = 48;

/// Starts a test bed with this engine, without health checks and with small limits.
fn start_test_bed(engine: SocketAddr, change_more: impl Fn(&mut Value)) -> TestBed {
    TestBed::start_with(|config| {
        config["known"]["results"] =
            json!([full_list_event(0, &[endpoint("s-0", engine, "SERVING")])]);
        config["settings"]["allowed"]["may-probe"] = json!(false);
        config["limits"] = json!({"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS});
        change_more(config);
    })
}

/// Returns the number of descriptors that the gateway has open.
fn descriptors(test_bed: &TestBed) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", test_bed.child.id()))
        .unwrap()
        .count()
}

/// Returns the gateway's peak resident memory in MiB.
fn peak_memory_mb(test_bed: &TestBed) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{}/status", test_bed.child.id())).unwrap();
    let peak = status.lines().find(|l| l.starts_with("VmHWM:")).unwrap();
    peak.split_whitespace()
        .nth(1)
        .unwrap()
        .parse::<usize>()
        .unwrap()
        / 1024
}

/// Asserts that the gateway is within its configured limits.
fn assert_within_limits(test_bed: &TestBed) {
    let (descriptors, memory) = (descriptors(test_bed), peak_memory_mb(test_bed));
    assert!(
        descriptors < SOCKETS,
        "{descriptors} descriptors open, of {SOCKETS}"
    );
    assert!(
        memory < MEMORY_MB,
        "{memory} MB of memory used, of {MEMORY_MB}"
    );
}

/// Dozens of clients repeatedly write hundreds of kilobytes of requests at once, read nothing and disconnect.
#[test]
fn clients_that_send_in_bulk_and_disconnect_leave_capacity_for_others() {
    let engine = FakeEngineProcess::start();
    let test_bed = start_test_bed(engine.address, |_| {});
    let address = test_bed.address;
    let senders: Vec<_> = (0..40)
        .map(|_| {
            spawn(move || {
                for _ in 0..5 {
                    let Ok(mut stream) = TcpStream::connect(address) else { continue };
                    let call = |_| {
                        let headers = request_headers(&new_id(), 2000);
                        format!("POST /v1/report HTTP/1.1\r\nHost: g\r\n{headers}Content-Length: 8\r\n\r\nSELECT 1")
                    };
                    let requests: String = (0..2000).map(call).collect();
                    stream.set_write_timeout(Some(ms(100))).unwrap();
                    // It is enough if the kernel accepts part of it.
                    let _ = stream.write(requests.as_bytes());
                }
            })
        })
        .collect();
    for _ in 0..20 {
        assert!(
            test_bed.query("report", "SELECT 2").succeeded(),
            "another client should be served meanwhile"
        );
        assert_within_limits(&test_bed);
        sleep(ms(30));
    }
    senders.into_iter().for_each(|f| f.join().unwrap());
    sleep(ms(300));
    let before = engine.attempts().len();
    sleep(ms(500));
    assert_eq!(
        engine.attempts().len(),
        before,
        "attempts after the clients had disconnected"
    );
    assert_within_limits(&test_bed);
}

/// Clients that send their request head or body byte by byte take all slots for connections.
#[test]
fn requests_sent_byte_by_byte_are_closed_in_time() {
    let engine = FakeEngineProcess::start();
    let test_bed = start_test_bed(engine.address, |_| {});
    let headers = request_headers(&new_id(), 2000);
    let body =
        format!("POST /v1/report HTTP/1.1\r\nHost: g\r\n{headers}Content-Length: 5000\r\n\r\n");
    let slow: Vec<_> = (0..60)
        .map(|n| {
            let (mut stream, started_at, head) = (test_bed.open(), Instant::now(), n % 2 == 0);
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
                        Ok(0) => return started_at.elapsed(),
                        Ok(_) => {}
                        Err(fault) if fault.kind() == std::io::ErrorKind::WouldBlock => {}
                        Err(_) => return started_at.elapsed(),
                    }
                    if stream.write_all(b"x").is_err()
                        || started_at.elapsed() > Duration::from_secs(6)
                    {
                        return started_at.elapsed();
                    }
                }
            })
        })
        .collect();
    for _ in 0..5 {
        assert!(
            test_bed.query("report", "SELECT 2").succeeded(),
            "another client should be served meanwhile"
        );
        assert_within_limits(&test_bed);
    }
    let durations: Vec<_> = slow.into_iter().map(|s| s.join().unwrap()).collect();
    let longest = *durations.iter().max().unwrap();
    assert!(
        longest < ms(4000),
        "a slow connection stayed open for {longest:?}, all: {durations:?}"
    );
}

/// The query of an endless response is answered in time, and its bytes reach no other query.
#[test]
fn endless_response_is_bounded() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    spawn(move || {
        for stream in listener.incoming().flatten() {
            spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                while let Some(call) = read_message(&mut reader) {
                    if call.start_line.starts_with("DELETE") {
                        let _ =
                            (&stream).write_all(http_response("204 No Content", "", "").as_bytes());
                        continue;
                    }
                    let endless = String::from_utf8_lossy(&call.body).contains("endless");
                    if !endless && call.start_line.starts_with("POST") {
                        let _ = (&stream).write_all(
                            http_response("200 OK", "Result-Pages: 1\r\n", ROWS).as_bytes(),
                        );
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
    let test_bed = start_test_bed(address, |_| {});
    let started_at = Instant::now();
    let answer = test_bed.query_with_id(&new_id(), "report", 1200, "SELECT 1 /* endless */");
    assert!(
        !answer.succeeded() && started_at.elapsed() < ms(1300),
        "expected a failure within 1.3 s: {answer:?} after {:?}",
        started_at.elapsed()
    );
    for _ in 0..5 {
        let answer = test_bed.query("report", "SELECT 2");
        assert_eq!(answer.json["data"], json!(ROWS_AS_JSON));
    }
}

/// With deadlines of 20 s and an engine that hangs for 16 s, the shutdown limit decides.
#[test]
fn sigterm_under_long_deadlines_answers_all_before_the_earliest_kill() {
    let engine = FakeEngineProcess::start();
    let mut test_bed = start_test_bed(engine.address, |config| {
        config["settings"]["categories"] = json!([
            query_class("report", "retryable", 20_000.0),
            query_class("load", "fragile", 20_000.0)
        ]);
    });
    let calls: Vec<TcpStream> = ["report", "load"]
        .iter()
        .map(|class| {
            let stream = test_bed.open();
            let statement = "SELECT 1 /* runs 16000 */";
            send_request(
                &stream,
                &format!("POST /v1/{class}"),
                &request_headers(&new_id(), 18_000),
                statement,
            );
            stream
        })
        .collect();
    wait_until("both attempts", || engine.attempts().len() == 2);
    test_bed.signal("TERM");
    let signalled_at = Instant::now();
    for stream in calls {
        let answer = read_message(&mut BufReader::new(stream)).expect("an answer should arrive");
        assert!(!Answer::of(answer).succeeded());
    }
    assert!(
        signalled_at.elapsed() < ms(3700),
        "answered after {:?}",
        signalled_at.elapsed()
    );
    assert!(test_bed.child.wait().unwrap().success());
    assert!(
        signalled_at.elapsed() < ms(3900),
        "ended after {:?}",
        signalled_at.elapsed()
    );
}

/// Writes `bytes` in pieces of `piece_bytes`, evenly within `duration`. Returns false if the peer closes before.
fn write_in_pieces(
    mut stream: &TcpStream,
    bytes: &[u8],
    piece_bytes: usize,
    duration: Duration,
) -> bool {
    let gap = duration / bytes.len().div_ceil(piece_bytes) as u32;
    let began = Instant::now();
    bytes
        .chunks(piece_bytes)
        .enumerate()
        .all(|(number, piece)| {
            sleep((began + gap * number as u32).saturating_duration_since(Instant::now()));
            stream.write_all(piece).is_ok()
        })
}

/// Guards against the fault of review case 2: each piece of a statement held a read buffer of 8 kB until the statement
/// was whole, beside the budget for statements.
#[test]
fn statements_in_small_pieces_stay_within_the_memory_limit() {
    const CLIENTS: usize = SOCKETS / 3;
    const STATEMENT_BYTES: usize = 4800;
    let engine = FakeEngineProcess::start();
    for piece_bytes in [1, 16, 1000] {
        let test_bed = start_test_bed(engine.address, |_| {});
        // A piece takes the sender a fraction of a millisecond, so shorter pieces allow for a shorter statement.
        let length = STATEMENT_BYTES.min(450 * piece_bytes);
        let statement = format!("SELECT 1 /* {} */", "7".repeat(length));
        let clients: Vec<_> = (0..CLIENTS)
            .map(|_| {
                let (stream, statement) = (test_bed.open(), statement.clone());
                spawn(move || {
                    stream.set_nodelay(true).unwrap();
                    let headers = request_headers(&new_id(), 3000);
                    let length = statement.len();
                    let head = format!(
                        "POST /v1/report HTTP/1.1\r\nHost: g\r\n{headers}Content-Length: {length}\r\n\r\n"
                    );
                    (&stream).write_all(head.as_bytes()).unwrap();
                    write_in_pieces(&stream, statement.as_bytes(), piece_bytes, ms(1500));
                    read_message(&mut BufReader::new(stream)).map(Answer::of)
                })
            })
            .collect();
        for client in clients {
            let answer = client.join().unwrap().expect("an answer");
            assert!(answer.succeeded(), "{answer:?}");
        }
        assert_within_limits(&test_bed);
    }
}

/// The same cause in the other direction: each piece of an engine's response held a read buffer until the page was
/// whole.
#[test]
fn pages_in_small_pieces_stay_within_the_memory_limit() {
    const QUERIES: usize = SOCKETS / 4;
    const PAGES: usize = 3;
    let page = "a\tb\tc\n".repeat(950);
    for piece_bytes in [4, 16, 1000] {
        let page = page.clone();
        let engine = engine_in_pieces(piece_bytes, move |path| {
            let is_first = path.ends_with("/0") || path == "/c";
            let headers = match is_first {
                true => format!("Result-Pages: {PAGES}\r\n"),
                false => format!("Result-Page: {}\r\n", path.rsplit('/').next().unwrap()),
            };
            http_response("200 OK", &headers, &page)
        });
        let test_bed = start_test_bed(engine, |_| {});
        let queries: Vec<_> = (0..QUERIES)
            .map(|_| {
                let stream = test_bed.open();
                let headers = request_headers(&new_id(), 3000);
                spawn(move || round_trip(stream, "POST /v1/report", &headers, "SELECT 1"))
            })
            .collect();
        for query in queries {
            let answer = Answer::of(query.join().unwrap().expect("an answer"));
            assert!(answer.succeeded(), "{answer:?}");
            let rows = answer.json["data"].as_array().map(Vec::len);
            assert_eq!(rows, Some(950 * PAGES), "number of rows");
        }
        assert_within_limits(&test_bed);
    }
}

/// Starts an engine whose responses, by path, are written in pieces within 0.2 s; returns its address.
fn engine_in_pieces(
    piece_bytes: usize,
    response: impl Fn(&str) -> String + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let response = Arc::new(response);
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let response = response.clone();
            spawn(move || {
                stream.set_nodelay(true).unwrap();
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                while let Some(request) = read_message(&mut reader) {
                    let path = request.start_line.split(' ').nth(1).unwrap();
                    let bytes = response(path).into_bytes();
                    if !write_in_pieces(&stream, &bytes, piece_bytes, ms(200)) {
                        return;
                    }
                }
            });
        }
    });
    address
}
