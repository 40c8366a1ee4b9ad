//! No part of a start is sent after its query has been answered. The gateway may hold an unsent part when the deadline
//! passes: its connection to the engine is established late, the client sends a body slowly, or the engine's machine
//! receives a long statement in parts. Fake engines record what they receive and when.

mod helper;

use helper::process::ms;
use helper::*;
use serde_json::{json, Value};
use socket2::{Domain, Socket, Type};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// An engine's machine whose accept queue is full. The SYN of a new connection is dropped and sent again after one
/// second, so that the connection is established only then, if the queue has room.
struct FullAcceptQueue {
    listener: TcpListener,
    address: SocketAddr,
    blocking_connections: Vec<TcpStream>,
}

impl FullAcceptQueue {
    fn start() -> FullAcceptQueue {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket
            .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
            .unwrap();
        socket.listen(0).unwrap();
        let listener: TcpListener = socket.into();
        let address = listener.local_addr().unwrap();
        let connect = |_| TcpStream::connect_timeout(&address, ms(100)).ok();
        let blocking_connections = (0..8).map_while(connect).collect();
        assert!(
            TcpStream::connect_timeout(&address, ms(100)).is_err(),
            "the accept queue should be full"
        );
        FullAcceptQueue {
            listener,
            address,
            blocking_connections,
        }
    }

    /// Empties the queue, accepts connections for 2.5 s, and returns all bytes that each of them brings within 1.5 s.
    fn drain_and_read(self) -> Vec<u8> {
        drop(self.blocking_connections);
        let until = Instant::now() + ms(2500);
        self.listener.set_nonblocking(true).unwrap();
        let mut reading = Vec::new();
        while Instant::now() < until {
            match self.listener.accept() {
                Ok((stream, _)) => reading.push(spawn(move || read_for(stream, ms(1500)))),
                Err(_) => sleep(ms(2)),
            }
        }
        reading
            .into_iter()
            .flat_map(|r| r.join().unwrap())
            .collect()
    }
}

/// Accepts the next connection; panics after 1000 tries, 5 ms apart.
fn accept(listener: &TcpListener) -> TcpStream {
    listener.set_nonblocking(true).unwrap();
    let try_accept = |_| listener.accept().map_err(|_| sleep(ms(5))).ok();
    let (stream, _) = (0..1000)
        .find_map(try_accept)
        .expect("a connection should arrive");
    stream.set_nonblocking(false).unwrap();
    stream
}

/// Returns the bytes that arrive within a time, or until the connection ends.
fn read_for(mut stream: TcpStream, span: Duration) -> Vec<u8> {
    stream.set_nonblocking(false).unwrap();
    stream.set_read_timeout(Some(span)).unwrap();
    let mut received = Vec::new();
    // Bytes received before an error or a time-out count.
    let _ = stream.read_to_end(&mut received);
    received
}

/// Starts a test bed with these engines, a connect timeout of 3 s and no health checks.
fn start_test_bed(engines: &[SocketAddr], change_more: impl Fn(&mut Value)) -> TestBed {
    TestBed::start_with(|config| {
        let lines: Vec<Value> = engines
            .iter()
            .enumerate()
            .map(|(n, at)| endpoint(&format!("s-{n}"), *at, "SERVING"))
            .collect();
        config["known"]["results"] = json!([full_list_event(0, &lines)]);
        config["settings"]["allowed"]["dial-timeout"] = json!(3000.0);
        config["settings"]["allowed"]["may-probe"] = json!(false);
        change_more(config);
    })
}

/// Returns whether the head of a start has been received.
fn contains_start(received: &[u8]) -> bool {
    String::from_utf8_lossy(received).contains("POST /c")
}

#[test]
fn connection_established_after_the_answer_carries_no_start() {
    let full_queue = FullAcceptQueue::start();
    let test_bed = start_test_bed(&[full_queue.address], |_| {});
    let reading = spawn(move || {
        sleep(ms(800));
        full_queue.drain_and_read()
    });
    let began = Instant::now();
    let answer = test_bed.query_with_id(&new_id(), "report", 930, "SELECT 1");
    let took = began.elapsed();
    assert!(
        !answer.succeeded() && took > ms(800) && took < ms(980),
        "expected a failure after 0.8 to 0.98 s: {answer:?} after {took:?}"
    );
    assert!(
        !contains_start(&reading.join().unwrap()),
        "the start was sent after the query's answer"
    );
}

/// Attempts cannot be cancelled under these settings, so only the late connection can stop the start.
#[test]
fn connection_established_after_the_client_disconnected_carries_no_start() {
    let full_queue = FullAcceptQueue::start();
    let test_bed = start_test_bed(&[full_queue.address], |config| {
        config["settings"]["allowed"]["cancelling"] = json!(false)
    });
    let stream = test_bed.open();
    send_request(
        &stream,
        "POST /v1/load",
        &request_headers(&new_id(), 3000),
        "INSERT 1",
    );
    sleep(ms(300));
    drop(stream);
    assert!(
        !contains_start(&full_queue.drain_and_read()),
        "the start was sent after the client had disconnected"
    );
}

/// The engine's machine receives part of a long start and has room for the rest only after the answer.
#[test]
fn rest_of_a_long_start_is_not_sent_after_the_answer() {
    let slow = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    slow.set_recv_buffer_size(2048).unwrap();
    slow.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
        .unwrap();
    slow.listen(16).unwrap();
    let slow: TcpListener = slow.into();
    let test_bed = start_test_bed(&[slow.local_addr().unwrap()], |_| {});
    // The first query shows the gateway that the engine is fast. Otherwise it would not send a query with little time
    // left.
    let first_query = spawn(move || {
        let stream = accept(&slow);
        read_message(&mut std::io::BufReader::new(stream.try_clone().unwrap()))
            .expect("a start should arrive");
        (&stream)
            .write_all(http_response("200 OK", "Result-Pages: 1\r\n", ROWS).as_bytes())
            .unwrap();
        slow
    });
    assert!(test_bed.query("report", "SELECT 1").succeeded());
    let slow = first_query.join().unwrap();
    let statement = format!("SELECT 1 /* {} */", "x".repeat(200_000));
    let answer = test_bed.query_with_id(&new_id(), "report", 230, &statement);
    assert!(!answer.succeeded());
    let stream = accept(&slow);
    let received = read_for(stream, ms(600));
    assert!(
        received.len() < statement.len(),
        "the engine received the complete start after the answer, {} bytes",
        received.len()
    );
}

/// The client sends the rest of a streamed body 30 ms after the deadline.
#[test]
fn rest_of_a_slow_body_is_not_sent_after_the_answer() {
    let engine = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = engine.local_addr().unwrap();
    let plan = write_config(&json!({})).with_extension("plan");
    std::fs::write(
        &plan,
        "bodies store {\n  memory 8MiB\n  batch-memory 2MiB\n  batch 4MiB\n}\n",
    )
    .unwrap();
    let test_bed = TestBed::start_with_launcher(
        |config| {
            config["known"]["results"] =
                json!([full_list_event(0, &[endpoint("s-0", at, "SERVING")])]);
            config["settings"]["allowed"]["may-probe"] = json!(false);
        },
        |config| {
            let plan = plan.to_str().unwrap();
            gateway_command(&["serve", "--plan", plan])
                .env("PROXY_CONFIG", write_config(config))
                .spawn()
                .unwrap()
        },
    );
    let body = vec![b'x'; 400_000];
    let mut stream = test_bed.open();
    let head = format!(
        "POST /v1/report HTTP/1.1\r\nHost: g\r\n{}Content-Length: {}\r\n\r\n",
        request_headers(&new_id(), 800),
        body.len()
    );
    let (first, rest) = body.split_at(350_000);
    stream
        .write_all(head.as_bytes())
        .and_then(|()| stream.write_all(first))
        .unwrap();
    let arrived = accept(&engine);
    let reading = spawn(move || read_for(arrived, ms(1500)));
    sleep(ms(830));
    // The gateway may have closed the connection already.
    let _ = stream.write_all(rest);
    let received = reading.join().unwrap();
    assert!(
        contains_start(&received),
        "the beginning of the start should arrive before the answer"
    );
    assert!(
        received.len() < body.len(),
        "the engine received the complete start after the answer, {} bytes",
        received.len()
    );
}

/// Returns the deadline that the start forwards to the engine, in milliseconds.
fn forwarded_deadline_ms(received: &[u8]) -> u64 {
    let text = String::from_utf8_lossy(received).to_ascii_lowercase();
    let deadline_ms = text
        .lines()
        .find_map(|line| line.strip_prefix("x-patience:"))
        .expect("the start should carry x-patience");
    deadline_ms.trim().parse().unwrap()
}

/// Tolerance that the protocol allows for a forwarded deadline, plus the inaccuracy of the test's clock.
const DEADLINE_TOLERANCE_MS: u64 = 150;

/// The forwarded deadline is the time left when the start is sent, not when its connection was begun.
#[test]
fn start_over_a_late_connection_forwards_the_remaining_time() {
    let full_queue = FullAcceptQueue::start();
    let test_bed = start_test_bed(&[full_queue.address], |_| {});
    let reading = spawn(move || {
        sleep(ms(300));
        full_queue.drain_and_read()
    });
    let _ = test_bed.query_with_id(&new_id(), "report", 2500, "SELECT 1");
    let deadline_ms = forwarded_deadline_ms(&reading.join().unwrap());
    // The SYN is retransmitted after one second.
    assert!(
        deadline_ms <= 2500 - 1000 + DEADLINE_TOLERANCE_MS,
        "forwarded {deadline_ms} ms, more than was left after one second"
    );
}

/// The time that a query waits in the socket of a stopped gateway process counts towards its deadline.
#[test]
fn query_received_by_a_stopped_gateway_forwards_the_remaining_time() {
    for waited in [300, 700] {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let test_bed = start_test_bed(&[listener.local_addr().unwrap()], |_| {});
        let stream = test_bed.open();
        test_bed.wait_until_healthy();
        test_bed.pause();
        send_request(
            &stream,
            "POST /v1/report",
            &request_headers(&new_id(), 2000),
            "SELECT 1",
        );
        sleep(ms(waited));
        test_bed.signal("CONT");
        let deadline_ms = forwarded_deadline_ms(&read_for(accept(&listener), ms(300)));
        assert!(
            deadline_ms <= 2000 - waited + DEADLINE_TOLERANCE_MS,
            "forwarded {deadline_ms} ms after a wait of {waited} ms"
        );
    }
}

/// If the start is sent at all, it forwards no more than the time left.
#[test]
fn query_with_one_millisecond_left_is_answered_at_once() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let test_bed = start_test_bed(&[listener.local_addr().unwrap()], |_| {});
    for class in ["report", "load"] {
        let began = Instant::now();
        let answer = test_bed.query_with_id(&new_id(), class, 1, "SELECT 1");
        assert!(
            !answer.succeeded() && began.elapsed() < ms(200),
            "expected a failure within 0.2 s: {answer:?} after {:?}",
            began.elapsed()
        );
    }
    listener.set_nonblocking(true).unwrap();
    if let Ok((stream, _)) = listener.accept() {
        let received = read_for(stream, ms(200));
        assert!(
            !contains_start(&received)
                || forwarded_deadline_ms(&received) <= 1 + DEADLINE_TOLERANCE_MS
        );
    }
}
