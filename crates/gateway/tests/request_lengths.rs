//! Clients whose requests have a `Content-Length` that does not fit. No engine runs a part of a statement, and such a client
//! is never told that it was served.

mod helper;

use helper::process::{ms, FakeEngineProcess};
use helper::*;
use serde_json::json;
use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::thread::sleep;
use std::time::Duration;

const STATEMENT: &str = "DELETE FROM sales_17.lots WHERE lot = 4711";
/// Length of the statement up to the name of its table.
const CUT_BYTES: usize = 25;

fn start_test_bed(engine: &FakeEngineProcess) -> TestBed {
    start_test_bed_with_limit(engine, 3000.0)
}

/// Starts a test bed whose queries may take `limit_ms`.
fn start_test_bed_with_limit(engine: &FakeEngineProcess, limit_ms: f64) -> TestBed {
    let engine = engine.address;
    TestBed::start_with(move |config| {
        config["known"]["results"] =
            json!([full_list_event(0, &[endpoint("s-0", engine, "SERVING")])]);
        config["settings"]["allowed"]["may-probe"] = json!(false);
        config["settings"]["categories"] = json!([
            query_class("report", "retryable", limit_ms),
            query_class("load", "fragile", limit_ms)
        ]);
    })
}

fn head(request_line: &str, id: &str, length: usize) -> String {
    let headers = request_headers(id, 2000);
    format!("{request_line} HTTP/1.1\r\nHost: g\r\n{headers}Content-Length: {length}\r\n\r\n")
}

fn read_answer(stream: &TcpStream) -> Answer {
    let message = read_message(&mut BufReader::new(stream.try_clone().unwrap()));
    Answer::of(message.expect("an answer"))
}

fn assert_closes(mut stream: &TcpStream) {
    stream
        .set_read_timeout(Some(Duration::from_secs(2)))
        .unwrap();
    let mut rest = Vec::new();
    stream.read_to_end(&mut rest).expect("a close");
}

/// Guards against the fault of review case 9: a statement cut by a length that was too short was run and answered as
/// served, though its rest had arrived with it.
#[test]
fn statement_cut_by_its_length_is_not_run() {
    let engine = FakeEngineProcess::start();
    let test_bed = start_test_bed(&engine);
    for (class, length, pieces) in [
        ("load", CUT_BYTES, 1),
        ("report", CUT_BYTES, 1),
        ("load", STATEMENT.len() - 1, 1),
        ("load", CUT_BYTES, 2),
    ] {
        let stream = test_bed.open();
        let head = head(&format!("POST /v1/{class}"), &new_id(), length);
        if pieces == 1 {
            (&stream)
                .write_all(format!("{head}{STATEMENT}").as_bytes())
                .unwrap();
        } else {
            (&stream).write_all(head.as_bytes()).unwrap();
            sleep(ms(50));
            (&stream).write_all(STATEMENT.as_bytes()).unwrap();
        }
        let answer = read_answer(&stream);
        assert_eq!(answer.status, 400, "{class} {length} {pieces}: {answer:?}");
        assert_closes(&stream);
    }
    assert!(engine.attempts().is_empty(), "{:?}", engine.attempts());
}

/// The rest of a statement may arrive while its first part is run.
#[test]
fn client_whose_statement_goes_on_behind_its_length_is_not_served() {
    let engine = FakeEngineProcess::start();
    let test_bed = start_test_bed(&engine);
    let statement = "SELECT 1 /* runs 600 */";
    let stream = test_bed.open();
    let id = new_id();
    let head = head("POST /v1/report", &id, statement.len());
    (&stream)
        .write_all(format!("{head}{statement}").as_bytes())
        .unwrap();
    wait_until("the attempt", || engine.attempts().len() == 1);
    (&stream).write_all(b" WHERE lot = 4711").unwrap();
    let answer = read_answer(&stream);
    assert_eq!(answer.status, 400, "{answer:?}");
    assert_closes(&stream);
}

/// A cancellation whose length does not fit cancels nothing.
#[test]
fn cancellation_with_a_wrong_length_is_rejected() {
    let engine = FakeEngineProcess::start();
    let test_bed = start_test_bed(&engine);
    let id = new_id();
    let open = test_bed.open();
    send_request(
        &open,
        "POST /v1/report",
        &request_headers(&id, 2000),
        "SELECT 1 /* runs 600 */",
    );
    wait_until("the attempt", || engine.attempts().len() == 1);
    for (length, body) in [(0, "WHERE lot = 4711"), (3, "WHERE lot = 4711")] {
        let stream = test_bed.open();
        let head = head("DELETE /v1/report", &id, length);
        (&stream)
            .write_all(format!("{head}{body}").as_bytes())
            .unwrap();
        assert_eq!(read_answer(&stream).status, 400, "length {length}");
    }
    assert!(read_answer(&open).succeeded());
}

/// Requests that follow one another without a pause are each served; line ends between them are allowed.
#[test]
fn requests_behind_a_request_are_served_in_turn() {
    let engine = FakeEngineProcess::start();
    let test_bed = start_test_bed(&engine);
    let stream = test_bed.open();
    let statement = "SELECT 1 /* runs 50 */";
    let requests: String = (0..20)
        .map(|_| head("POST /v1/report", &new_id(), statement.len()) + statement + "\r\n")
        .collect();
    (&stream).write_all(requests.as_bytes()).unwrap();
    (&stream)
        .write_all(b"GET /healthz HTTP/1.1\r\nHost: g\r\n\r\n")
        .unwrap();
    let mut reader = BufReader::new(stream);
    for number in 0..20 {
        let answer = Answer::of(read_message(&mut reader).expect("an answer"));
        assert!(answer.succeeded(), "request {number}: {answer:?}");
    }
    assert_eq!(
        Answer::of(read_message(&mut reader).expect("an answer")).status,
        200
    );
}

/// A body that nobody reads does not hide the request behind it.
#[test]
fn request_behind_an_unread_body_is_served_or_the_connection_closed() {
    let engine = FakeEngineProcess::start();
    let test_bed = start_test_bed(&engine);
    for body_bytes in [10, 5_000, 100_000] {
        let stream = test_bed.open();
        let text = format!(
            "POST /nowhere HTTP/1.1\r\nHost: g\r\nContent-Length: {body_bytes}\r\n\r\n{}GET /healthz HTTP/1.1\r\nHost: g\r\n\r\n",
            "x".repeat(body_bytes)
        );
        stream.set_read_timeout(Some(ms(3000))).unwrap();
        (&stream).write_all(text.as_bytes()).unwrap();
        let mut reader = BufReader::new(stream);
        let first = Answer::of(read_message(&mut reader).expect("an answer"));
        assert_eq!(first.status, 404);
        let second = read_message(&mut reader).map(|message| Answer::of(message).status);
        assert!(matches!(second, None | Some(200)), "{second:?}");
    }
}

/// A client that closes with more unread than the system buffers for it: the system tells of its close only when the rest
/// has been read. Its request, which waits for another one of its key, was sent on after that.
#[test]
fn request_of_a_client_that_closes_behind_unread_bytes_is_not_sent() {
    const KEY: &str = "X-Item: 7f3a9c21e0b4d655\r\n";
    let engine = FakeEngineProcess::start();
    let test_bed = start_test_bed_with_limit(&engine, 12_000.0);
    let first = test_bed.open();
    let headers = request_headers(&new_id(), 12_000) + KEY;
    send_request(&first, "POST /v1/load", &headers, "INSERT 1 /* runs 900 */");
    wait_until("the first attempt", || engine.attempts().len() == 1);
    let second = test_bed.open();
    let headers = request_headers(&new_id(), 12_000) + KEY;
    send_request(&second, "POST /v1/load", &headers, "INSERT 2");
    let further = head("POST /v1/report", &new_id(), 8) + "SELECT 1";
    second.set_write_timeout(Some(ms(300))).unwrap();
    // The system takes what fits into its buffers, which is more than the gateway reads ahead.
    let _ = (&second).write_all(further.repeat(20_000).as_bytes());
    drop(second);
    assert!(read_answer(&first).succeeded());
    sleep(ms(500));
    let attempts = engine.attempts();
    assert_eq!(attempts.len(), 1, "{attempts:?}");
}
