//! The protocol at its limits: the largest result, two body lengths in one request, a simultaneous cancel and close,
//! the shortest and longest Retry-After, hundreds of closes in one loop iteration, the deadline of a retry, and the
//! largest endpoint list.

mod helper;

use helper::process::{ms, FakeEngineProcess};
use helper::*;
use serde_json::{json, Value};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::Instant;

/// Set by the protocol: largest page of a result.
const PAGE_BYTES: usize = 6_000;
/// Set by the protocol: largest result.
const RESULT_BYTES: usize = 48_000;

/// Starts an engine that answers each request by a script; returns its address.
fn scripted_engine(answer: impl Fn(&Message) -> String + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let answer = Arc::new(answer);
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                while let Some(call) = read_message(&mut reader) {
                    if (&stream).write_all(answer(&call).as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Starts a test bed with this engine and no health checks.
fn start_with_engine(engine: SocketAddr, change_more: impl Fn(&mut Value)) -> TestBed {
    TestBed::start_with(|config| {
        config["known"]["results"] =
            json!([full_list_event(0, &[endpoint("s-0", engine, "SERVING")])]);
        config["settings"]["allowed"]["may-probe"] = json!(false);
        change_more(config);
    })
}

/// Returns a page of the largest size; its rows hold all characters that have to be escaped.
fn page(number: usize) -> String {
    let row = format!("p{number}\t\"\\\u{1}é漢\u{7f}\t\n");
    let mut text = row.repeat(PAGE_BYTES / row.len() - 1);
    text += &format!(
        "p{number}\t\t{}\n",
        "x".repeat(PAGE_BYTES - text.len() - format!("p{number}\t\t\n").len())
    );
    assert_eq!(text.len(), PAGE_BYTES);
    text
}

/// Starts an engine whose every result has the largest number of pages, each of the largest size.
fn engine_of_large_results() -> SocketAddr {
    scripted_engine(|call| {
        let number = match call.start_line.strip_prefix("GET /c/") {
            None => 0,
            Some(path) => path.split([' ', '/']).nth(1).unwrap().parse().unwrap(),
        };
        match number {
            0 => http_response(
                "200 OK",
                &format!("Result-Pages: {}\r\n", RESULT_BYTES / PAGE_BYTES),
                &page(0),
            ),
            n => http_response("200 OK", &format!("Result-Page: {n}\r\n"), &page(n)),
        }
    })
}

#[test]
fn largest_result_is_returned_complete_and_in_order() {
    let test_bed = start_with_engine(engine_of_large_results(), |_| {});
    let answer = test_bed.query("report", "SELECT 1");
    assert!(answer.succeeded());
    let rows = answer.json["data"].as_array().unwrap();
    let expected: String = (0..RESULT_BYTES / PAGE_BYTES).map(page).collect();
    let columns = |row: &Value| -> String {
        let texts: Vec<&str> = row
            .as_array()
            .unwrap()
            .iter()
            .map(|c| c.as_str().unwrap())
            .collect();
        texts.join("\t") + "\n"
    };
    assert!(
        rows.iter().map(columns).collect::<String>() == expected,
        "the rows differ from those of the engine, {} rows",
        rows.len()
    );
}

/// The gateway is killed while it sends an answer. The client can tell that the answer is incomplete.
#[test]
fn answer_truncated_by_a_kill_is_recognizable() {
    let mut test_bed = start_with_engine(engine_of_large_results(), |_| {});
    let stream = test_bed.open();
    socket2::SockRef::from(&stream)
        .set_recv_buffer_size(2048)
        .unwrap();
    send_request(
        &stream,
        "POST /v1/report",
        &request_headers(&new_id(), 3000),
        "SELECT 1",
    );
    assert!(stream.peek(&mut [0; 1]).unwrap() > 0);
    test_bed.child.kill().unwrap();
    test_bed.child.wait().unwrap();
    let mut received = Vec::new();
    let _ = (&stream).read_to_end(&mut received);
    let text = String::from_utf8_lossy(&received);
    let (head, body) = text
        .split_once("\r\n\r\n")
        .expect("the head of the answer should be complete");
    let content_length = head.lines().find_map(|l| {
        l.to_ascii_lowercase()
            .strip_prefix("content-length: ")
            .map(str::to_string)
    });
    let content_length: usize = content_length
        .expect("the answer should carry a Content-Length")
        .parse()
        .unwrap();
    let complete = body.len() == content_length && serde_json::from_str::<Value>(body).is_ok();
    assert!(
        complete || body.len() < content_length,
        "the client received {} of {content_length} bytes",
        body.len()
    );
}

#[test]
fn request_with_two_body_lengths_is_never_forwarded() {
    let test_bed = TestBed::start();
    let hidden = "POST /v1/report HTTP/1.1\r\nHost: g\r\n\r\n";
    let lengths = [
        "Content-Length: 8",
        "content-length: 8",
        "CONTENT-LENGTH:8",
        "Content-Length: 8, 8",
    ];
    let codings = [
        "Transfer-Encoding: chunked",
        "transfer-encoding: CHUNKED",
        "TRANSFER-ENCODING:chunked",
        "Transfer-Encoding: identity, chunked",
        "Transfer-Encoding: gzip",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
    ];
    for length in lengths {
        for coding in codings {
            for length_fields in [
                format!("{length}\r\n{coding}"),
                format!("{coding}\r\n{length}"),
                format!("{length}\r\n{coding}\r\n{length}"),
                format!("{coding}\r\n{length}\r\n{coding}"),
            ] {
                let stream = test_bed.open();
                let head = request_headers(&new_id(), 3000);
                let text = format!(
                    "POST /v1/report HTTP/1.1\r\nHost: g\r\n{head}{length_fields}\r\n\r\n0\r\n\r\n{hidden}"
                );
                (&stream).write_all(text.as_bytes()).unwrap();
                let answer = read_message(&mut BufReader::new(&stream));
                let refused =
                    answer.is_none_or(|answer| answer.start_line.starts_with("HTTP/1.1 4"));
                assert!(refused, "the request was not refused: {length_fields}");
            }
        }
    }
    assert_eq!(test_bed.engine.requests("POST"), 0);
}

/// A client cancels its query and closes its connection at the same moment.
#[test]
fn simultaneous_cancel_and_close_cancel_the_attempt_once() {
    for close_first in [true, false] {
        let engine = FakeEngineProcess::start();
        let test_bed = start_with_engine(engine.address, |_| {});
        let id = new_id();
        let stream = test_bed.open();
        send_request(
            &stream,
            "POST /v1/report",
            &request_headers(&id, 3000),
            "SELECT 1 /* runs 60000 */",
        );
        wait_until("the start is received", || engine.attempts().len() == 1);
        let cancel = test_bed.open();
        let cancelled_at = Instant::now();
        if close_first {
            drop(stream);
            send_request(
                &cancel,
                "DELETE /v1/report",
                &request_headers(&id, 3000),
                "",
            );
        } else {
            send_request(
                &cancel,
                "DELETE /v1/report",
                &request_headers(&id, 3000),
                "",
            );
            drop(stream);
        }
        read_message(&mut BufReader::new(cancel)).expect("the cancel request should be answered");
        wait_until("cancelled", || engine.attempts()[0].stopped_at.is_some());
        assert!(
            cancelled_at.elapsed() < ms(1000),
            "cancelled after {:?}",
            cancelled_at.elapsed()
        );
        sleep(ms(300));
        assert_eq!(
            (engine.attempts().len(), engine.state().cancel_requests),
            (1, 1),
            "numbers of attempts and of cancel calls"
        );
    }
}

#[test]
fn retry_after_of_a_rejection_follows_the_settings() {
    let wait = |allowed: Value| {
        let full = scripted_engine(|_| http_response("503 Full", "X-Declined: 1\r\n", ""));
        let test_bed = start_with_engine(full, |config| {
            let settings = config["settings"]["allowed"].as_object_mut().unwrap();
            settings.extend(allowed.as_object().unwrap().clone());
        });
        let answer = test_bed.query_with_id(&new_id(), "report", 400, "SELECT 1");
        assert_eq!(answer.status, 503, "expected a rejection: {answer:?}");
        answer.retry_after_ms
    };
    assert_eq!(wait(json!({"retry-after": false})), None);
    assert_eq!(
        wait(json!({"retry-after": true, "max-retry-after": 0.0})),
        Some(0)
    );
    assert_eq!(
        wait(json!({"retry-after": true, "max-retry-after": 1.0})),
        Some(1)
    );
    let longest = wait(json!({"retry-after": true, "max-retry-after": 1000.0}))
        .expect("the rejection should carry x-wait-ms");
    assert!(
        longest > 0 && longest <= 1000,
        "Retry-After of {longest} ms"
    );
}

/// 200 clients close their connections while the gateway process is stopped, before their queries' turn in the key
/// queue.
#[test]
fn hundreds_of_closes_in_one_iteration_start_no_attempt_afterwards() {
    let engine = FakeEngineProcess::start();
    let test_bed = start_with_engine(engine.address, |config| {
        config["limits"]["sockets"] = json!(1024);
        config["settings"]["rules"]["order-pause"] = json!(0.0);
    });
    let send_keyed = |statement: &str| {
        let stream = test_bed.open();
        let head = format!(
            "{}X-Item: 7f3a9c21e0b4d655\r\n",
            request_headers(&new_id(), 3000)
        );
        send_request(&stream, "POST /v1/load", &head, statement);
        stream
    };
    let first = send_keyed("INSERT 1 /* runs 2500 */");
    wait_until("the first attempt", || engine.attempts().len() == 1);
    let disconnecting: Vec<TcpStream> = (0..200).map(|_| send_keyed("INSERT 2")).collect();
    sleep(ms(200));
    test_bed.pause();
    drop(disconnecting);
    engine.state().attempts[0].run_time = ms(0);
    sleep(ms(150));
    test_bed.signal("CONT");
    assert!(Answer::of(read_message(&mut BufReader::new(first)).unwrap()).succeeded());
    sleep(ms(400));
    assert_eq!(
        engine.attempts().len(),
        1,
        "number of attempts, none for a disconnected client"
    );
}

/// A retry forwards the time that is left when it is sent.
#[test]
fn retry_forwards_the_remaining_time() {
    const ALLOWED_MS: u64 = 2000;
    /// Tolerance that the protocol allows for a forwarded deadline.
    const DEADLINE_TOLERANCE_MS: u64 = 150;
    let deadlines: Arc<Mutex<Vec<(Instant, u64)>>> = Arc::default();
    let recorded = deadlines.clone();
    let engine = scripted_engine(move |call| {
        if call.start_line.starts_with("POST") {
            let mut recorded = recorded.lock().unwrap();
            recorded.push((Instant::now(), call.headers["x-patience"].parse().unwrap()));
            if recorded.len() == 1 {
                drop(recorded);
                sleep(ms(200));
                return http_response("503 Full", "X-Declined: 1\r\n", "");
            }
        }
        http_response("200 OK", "Result-Pages: 1\r\n", ROWS)
    });
    let test_bed = start_with_engine(engine, |_| {});
    let began = Instant::now();
    assert!(test_bed
        .query_with_id(&new_id(), "report", ALLOWED_MS as u32, "SELECT 1")
        .succeeded());
    let deadlines = deadlines.lock().unwrap();
    assert_eq!(deadlines.len(), 2);
    for (at, deadline) in deadlines.iter() {
        let remaining_ms = ALLOWED_MS.saturating_sub((*at - began).as_millis() as u64);
        assert!(
            *deadline <= remaining_ms + DEADLINE_TOLERANCE_MS,
            "{deadline} ms forwarded with {remaining_ms} ms left"
        );
    }
    assert!(
        deadlines[1].1 + 200 <= deadlines[0].1,
        "the retry should forward at least 200 ms less: {deadlines:?}"
    );
}

/// Changes of the largest endpoint list are applied, with the largest number of gateways.
#[test]
fn list_of_3200_engines_with_900_gateways_is_served() {
    const ENGINES: usize = 3200;
    let engine = FakeEngine::start();
    let lines: Vec<Value> = (0..ENGINES)
        .map(|n| endpoint(&format!("s-{n:08x}"), engine.address, "SERVING"))
        .collect();
    let test_bed = TestBed::start_with(|config| {
        config["known"] = json!({"seq": 0, "results": [full_list_event(0, &lines)]});
        config["settings"]["balancers"] = json!(900);
        config["peers"] = json!((0..900)
            .map(|n| format!("10.3.{}.{}:7946", n / 250, n % 250))
            .collect::<Vec<_>>());
    });
    for _ in 0..20 {
        assert!(test_bed.query("report", "SELECT 1").succeeded());
    }
    let drained: Vec<Value> = (0..ENGINES)
        .map(|n| endpoint(&format!("s-{n:08x}"), engine.address, "DRAINING"))
        .collect();
    for number in 1..10 {
        let state = if number % 2 == 1 { &drained } else { &lines };
        test_bed.log.publish(list_change_event(number, state));
    }
    wait_until("all engines drain", || {
        test_bed
            .query_with_id(&new_id(), "report", 300, "SELECT 1")
            .status
            == 503
    });
    let before = engine.requests("POST");
    assert_eq!(
        test_bed
            .query_with_id(&new_id(), "report", 300, "SELECT 1")
            .status,
        503
    );
    assert_eq!(
        engine.requests("POST"),
        before,
        "number of attempts after all engines began to drain"
    );
    test_bed.log.publish(list_change_event(10, &lines));
    wait_until("all engines serve again", || {
        test_bed.query("report", "SELECT 1").succeeded()
    });
}
