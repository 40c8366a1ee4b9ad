//! Requests that cross a close by the gateway: the end of accepting after SIGTERM, the close of a keep-alive
//! connection, and the eviction of an idle one. A request that the kernel accepted is either answered completely or
//! neither read nor forwarded.

mod helper;

use helper::process::ms;
use helper::*;
use serde_json::json;
use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::thread::sleep;
use std::time::{Duration, Instant};

fn request_text(id: &str, statement: &str) -> String {
    let (headers, length) = (request_headers(id, 3000), statement.len());
    format!("POST /v1/report HTTP/1.1\r\nHost: g\r\n{headers}Content-Length: {length}\r\n\r\n{statement}")
}

/// Reads an answer within 5 s, or returns `None` where the connection ends or the time passes.
fn read_answer(stream: &TcpStream) -> Option<Answer> {
    stream
        .set_read_timeout(Some(Duration::from_secs(5)))
        .unwrap();
    read_message(&mut BufReader::new(stream)).map(Answer::of)
}

/// Opens a connection and gets one answer on it.
fn keep_alive_connection(test_bed: &TestBed) -> TcpStream {
    let stream = test_bed.open();
    (&stream)
        .write_all(request_text(&new_id(), "SELECT 1").as_bytes())
        .unwrap();
    assert!(read_answer(&stream)
        .expect("an answer should arrive")
        .succeeded());
    stream
}

fn sleep_until(instant: Instant) {
    sleep(instant.saturating_duration_since(Instant::now()));
}

/// When accepting ends, partly sent requests hold every slot. One more connection has been accepted and waits for a
/// slot, and others are in the kernel's accept queue.
#[test]
fn connections_that_wait_for_a_slot_when_accepting_ends_are_answered() {
    let test_bed = TestBed::start_with(|config| config["limits"]["sockets"] = json!(64));
    let calls: Vec<String> = (0..26)
        .map(|_| request_text(&new_id(), "SELECT 1 FROM sales_1.orders"))
        .collect();
    let partly_sent: Vec<TcpStream> = calls
        .iter()
        .map(|request| {
            let stream = test_bed.open();
            (&stream)
                .write_all(&request.as_bytes()[..request.len() - 5])
                .unwrap();
            stream
        })
        .collect();
    // Time for the gateway to read each request, so that it evicts none of the connections.
    sleep(ms(200));
    test_bed.signal("TERM");
    let signalled_at = Instant::now();
    let waiting: Vec<TcpStream> = (0..4)
        .map(|_| {
            let stream = test_bed.open();
            (&stream)
                .write_all(request_text(&new_id(), "SELECT 2").as_bytes())
                .unwrap();
            stream
        })
        .collect();
    sleep_until(signalled_at + ms(1000));
    for (mut stream, request) in partly_sent.iter().zip(&calls) {
        stream
            .write_all(&request.as_bytes()[request.len() - 5..])
            .unwrap();
    }
    for (n, stream) in partly_sent.iter().chain(&waiting).enumerate() {
        assert!(
            read_answer(stream).is_some(),
            "request {n} was reset or closed without an answer"
        );
    }
}

/// A request arrives while the gateway process is stopped, before the gateway is to close the keep-alive connection.
#[test]
fn request_received_on_a_keep_alive_connection_before_its_close_is_answered() {
    // A round proves nothing if a busy machine stopped the gateway too late.
    let stopped_in_time = (0..5).any(|_| {
        let mut test_bed = TestBed::start();
        let keep_alive_connections: Vec<TcpStream> =
            (0..12).map(|_| keep_alive_connection(&test_bed)).collect();
        test_bed.signal("TERM");
        let signalled_at = Instant::now();
        test_bed.pause();
        if signalled_at.elapsed() > ms(500) {
            return false;
        }
        for stream in &keep_alive_connections {
            let mut stream = stream;
            stream
                .write_all(request_text(&new_id(), "SELECT 2").as_bytes())
                .unwrap();
        }
        sleep_until(signalled_at + ms(900));
        test_bed.signal("CONT");
        for (n, stream) in keep_alive_connections.iter().enumerate() {
            assert!(
                read_answer(stream).is_some_and(|a| a.succeeded()),
                "request {n} was not answered"
            );
        }
        assert!(test_bed.child.wait().unwrap().success());
        true
    });
    assert!(
        stopped_in_time,
        "the gateway process was not stopped in time in any round"
    );
}

/// Part of a request arrives before the gateway is to close the keep-alive connection, the rest after.
#[test]
fn request_partly_received_before_its_connection_closes_is_answered() {
    let test_bed = TestBed::start();
    let stream = keep_alive_connection(&test_bed);
    let request = request_text(&new_id(), "SELECT 2");
    let (first, rest) = request.split_at(60);
    test_bed.signal("TERM");
    let signalled_at = Instant::now();
    sleep_until(signalled_at + ms(200));
    (&stream).write_all(first.as_bytes()).unwrap();
    sleep_until(signalled_at + ms(900));
    (&stream).write_all(rest.as_bytes()).unwrap();
    assert!(read_answer(&stream)
        .expect("an answer should arrive")
        .succeeded());
}

/// The gateway never forwards a request that was written after it closed the connection, and the end of the connection
/// is no reset, by which the answer before could be lost.
#[test]
fn request_written_after_its_connection_closed_is_not_forwarded() {
    let test_bed = TestBed::start();
    let mut stream = keep_alive_connection(&test_bed);
    test_bed.signal("TERM");
    let mut nothing = [0; 1];
    stream
        .set_read_timeout(Some(Duration::from_secs(3)))
        .unwrap();
    assert_eq!(
        stream
            .read(&mut nothing)
            .expect("the connection should end without a reset"),
        0
    );
    let id = new_id();
    let _ = stream.write_all(request_text(&id, "SELECT 2").as_bytes());
    sleep(ms(300));
    assert_eq!(
        test_bed.engine.requests("POST"),
        1,
        "number of queries forwarded, the first one alone"
    );
}

/// Idle connections hold all slots. The one that has been idle longest has an unread request when a new connection
/// needs a slot.
#[test]
fn idle_connection_with_an_unread_request_is_not_evicted() {
    let test_bed = TestBed::start_with(|config| config["limits"]["sockets"] = json!(64));
    let idle: Vec<TcpStream> = (0..26).map(|_| keep_alive_connection(&test_bed)).collect();
    test_bed.pause();
    let mut oldest = &idle[0];
    oldest
        .write_all(request_text(&new_id(), "SELECT 2").as_bytes())
        .unwrap();
    let new = test_bed.open();
    (&new)
        .write_all(request_text(&new_id(), "SELECT 3").as_bytes())
        .unwrap();
    sleep(ms(150));
    test_bed.signal("CONT");
    assert!(
        read_answer(oldest).is_some_and(|a| a.succeeded()),
        "the request on the oldest connection was lost"
    );
    assert!(
        read_answer(&new).is_some_and(|a| a.succeeded()),
        "the request on the new connection should succeed"
    );
}

/// Part of a request has arrived on the connection that would be evicted.
#[test]
fn request_partly_received_on_a_connection_to_be_evicted_is_answered() {
    let test_bed = TestBed::start_with(|config| config["limits"]["sockets"] = json!(64));
    let idle: Vec<TcpStream> = (0..26).map(|_| keep_alive_connection(&test_bed)).collect();
    let request = request_text(&new_id(), "SELECT 2");
    let (first, rest) = request.split_at(60);
    let mut oldest = &idle[0];
    oldest.write_all(first.as_bytes()).unwrap();
    sleep(ms(50));
    let new = test_bed.open();
    (&new)
        .write_all(request_text(&new_id(), "SELECT 3").as_bytes())
        .unwrap();
    assert!(
        read_answer(&new).is_some_and(|a| a.succeeded()),
        "the request on the new connection should succeed"
    );
    oldest.write_all(rest.as_bytes()).unwrap();
    assert!(
        read_answer(oldest).is_some_and(|a| a.succeeded()),
        "the request on the oldest connection was lost"
    );
}

/// A client can still read the answer to the last request of a connection although it sends more bytes after the
/// request.
#[test]
fn surplus_bytes_behind_the_last_request_do_not_reset_its_response() {
    let test_bed = TestBed::start();
    for _ in 0..5 {
        let stream = test_bed.open();
        let mut request =
            b"POST /v1/report HTTP/1.1\r\nHost: g\r\nContent-Length: 999999999\r\n\r\n".to_vec();
        request.resize(2 << 20, b'x');
        let writer = stream.try_clone().unwrap();
        let writer_thread = std::thread::spawn(move || {
            let _ = (&writer).write_all(&request);
        });
        assert_eq!(
            read_answer(&stream)
                .expect("an answer should arrive")
                .status,
            413
        );
        drop(stream);
        writer_thread.join().unwrap();
    }
}

/// The platform may send SIGHUP while it shuts a gateway down.
#[test]
fn sighup_after_sigterm_delays_nothing() {
    let mut test_bed = TestBed::start();
    let stream = keep_alive_connection(&test_bed);
    test_bed.signal("TERM");
    let signalled_at = Instant::now();
    for _ in 0..5 {
        test_bed.signal("HUP");
    }
    (&stream)
        .write_all(request_text(&new_id(), "SELECT 2").as_bytes())
        .unwrap();
    assert!(read_answer(&stream)
        .expect("an answer should arrive")
        .succeeded());
    assert!(test_bed.child.wait().unwrap().success());
    assert!(
        signalled_at.elapsed() < ms(3700),
        "ended after {:?}",
        signalled_at.elapsed()
    );
}

/// With short deadlines the earliest SIGKILL comes soon after SIGTERM, and clients use their connections until then.
#[test]
fn shutdown_with_short_deadlines_ends_before_the_earliest_kill() {
    for deadline in [50, 100, 300, 1000] {
        let mut test_bed = TestBed::start_with(|config| {
            for n in 0..2 {
                config["settings"]["categories"][n]["give-up"] = json!(f64::from(deadline));
            }
        });
        let address = test_bed.address;
        let clients: Vec<_> = (0..8)
            .map(|_| std::thread::spawn(move || query_until_closed(address, deadline)))
            .collect();
        sleep(ms(100));
        test_bed.signal("TERM");
        let signalled_at = Instant::now();
        assert!(test_bed.child.wait().unwrap().success());
        let (took, earliest_kill) = (signalled_at.elapsed(), ms(700 + u64::from(deadline)));
        assert!(
            took + ms(60) < earliest_kill,
            "deadline {deadline} ms: exited after {took:?}, and a kill may come after {earliest_kill:?}"
        );
        for client in clients {
            let queries = client.join().unwrap();
            assert!(queries > 0, "no query was answered");
        }
    }
}

/// Sends queries on one connection until the gateway closes it and returns the number of answers. A query may stay
/// unanswered only where it crossed the close.
fn query_until_closed(address: std::net::SocketAddr, deadline: u32) -> usize {
    let stream = TcpStream::connect(address).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(5)))
        .unwrap();
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    for queries in 0.. {
        let (headers, sent) = (request_headers(&new_id(), deadline), Instant::now());
        let request = format!(
            "POST /v1/report HTTP/1.1\r\nHost: g\r\n{headers}Content-Length: 8\r\n\r\nSELECT 1"
        );
        if (&stream).write_all(request.as_bytes()).is_err() {
            return queries;
        }
        if read_message(&mut reader).is_none() {
            assert!(
                sent.elapsed() < ms(50),
                "the connection was closed without an answer to a query that did not cross the close"
            );
            return queries;
        }
        sleep(ms(7));
    }
    0
}

/// A request that arrives too slowly is answered before its connection is closed, because its last byte may cross the
/// close.
#[test]
fn request_head_that_arrives_too_slowly_is_answered() {
    let test_bed = TestBed::start();
    let stream = test_bed.open();
    let request = request_text(&new_id(), "SELECT 1");
    (&stream).write_all(&request.as_bytes()[..40]).unwrap();
    let began = Instant::now();
    let answer = read_answer(&stream).expect("an answer should arrive");
    assert!(
        answer.status == 408 && began.elapsed() < ms(3000),
        "expected 408 within 3 s: {answer:?} after {:?}",
        began.elapsed()
    );
}
