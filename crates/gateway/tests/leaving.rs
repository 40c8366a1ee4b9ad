//! No attempt is started for a client that has disconnected. The gateway may notice the disconnect late: unread
//! requests precede the close, the query waits in the queue of its key, the gateway process is stopped meanwhile, or
//! hundreds of clients disconnect at once. A fake engine records which attempts it receives and when.

mod helper;

use helper::process::{ms, FakeEngineProcess, ReceivedAttempt};
use helper::*;
use serde_json::{json, Value};
use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::thread::sleep;
use std::time::Instant;

/// Starts a test bed with this engine and no health checks.
fn start_test_bed(engine: &FakeEngineProcess, change_more: impl Fn(&mut Value)) -> TestBed {
    TestBed::start_with(|config| {
        config["known"]["results"] = json!([full_list_event(
            0,
            &[endpoint("s-0", engine.address, "SERVING")]
        )]);
        config["settings"]["allowed"]["may-probe"] = json!(false);
        change_more(config);
    })
}

/// Formats a request of the query class `group` as its client writes it.
fn request_text(id: &str, group: &str, more: &str, statement: &str) -> String {
    let headers = request_headers(id, 3000) + more;
    let length = statement.len();
    format!("POST /v1/{group} HTTP/1.1\r\nHost: g\r\n{headers}Content-Length: {length}\r\n\r\n{statement}")
}

/// Sends a non-idempotent query with an ordering key and returns its connection.
fn send_keyed(test_bed: &TestBed, id: &str, statement: &str) -> TcpStream {
    let mut stream = test_bed.open();
    stream
        .write_all(request_text(id, "load", "X-Item: 7f3a9c21e0b4d655\r\n", statement).as_bytes())
        .unwrap();
    stream
}

/// Returns the attempt that the engine received for a query, if any.
fn attempt_of(engine: &FakeEngineProcess, id: &str) -> Option<ReceivedAttempt> {
    engine
        .attempts()
        .into_iter()
        .find(|attempt| attempt.id == id)
}

/// Makes a running attempt succeed now.
fn finish_attempt(engine: &FakeEngineProcess, id: &str) {
    let mut state = engine.state();
    state
        .attempts
        .iter_mut()
        .filter(|attempt| attempt.id == id)
        .for_each(|attempt| attempt.run_time = ms(0));
}

/// Sends two requests on one connection, the second with `filling` bytes of comment, and disconnects by `disconnect`.
/// Asserts that the first attempt is cancelled at once and that the second never starts.
fn assert_disconnect_behind_pipelined_request(filling: usize, disconnect: impl Fn(TcpStream)) {
    let engine = FakeEngineProcess::start();
    let test_bed = start_test_bed(&engine, |_| {});
    let (first, second) = (new_id(), new_id());
    let mut stream = test_bed.open();
    let calls = request_text(&first, "report", "", "SELECT 1 /* runs 700 */")
        + &request_text(
            &second,
            "report",
            "",
            &format!("SELECT 2 /* {} */", "x".repeat(filling)),
        );
    stream.write_all(calls.as_bytes()).unwrap();
    wait_until("the engine receives the first attempt", || {
        attempt_of(&engine, &first).is_some()
    });
    disconnect(stream);
    wait_until("the first attempt is cancelled", || {
        attempt_of(&engine, &first).unwrap().stopped_at.is_some()
    });
    let out = attempt_of(&engine, &first).unwrap();
    assert!(
        out.stopped_at.unwrap() < out.received_at + ms(500),
        "the attempt should be cancelled within 0.5 s"
    );
    sleep(ms(600));
    assert!(
        attempt_of(&engine, &second).is_none(),
        "the query of a disconnected client was forwarded"
    );
}

#[test]
fn close_behind_a_pipelined_request_cancels_both_queries() {
    assert_disconnect_behind_pipelined_request(10, drop);
}

/// The gateway sees the close only as a reset.
#[test]
fn reset_behind_a_pipelined_request_counts_as_disconnect() {
    assert_disconnect_behind_pipelined_request(10, |stream| {
        socket2::SockRef::from(&stream)
            .set_linger(Some(std::time::Duration::ZERO))
            .unwrap();
    });
}

#[test]
fn half_close_behind_a_pipelined_request_counts_as_disconnect() {
    assert_disconnect_behind_pipelined_request(10, |stream| {
        stream.shutdown(Shutdown::Write).unwrap();
        // The client can still read for a while.
        std::thread::spawn(move || {
            sleep(ms(2000));
            drop(stream);
        });
    });
}

/// The second request exceeds what the gateway reads ahead, so that only the state of the socket shows the close.
#[test]
fn close_behind_more_than_is_read_ahead_cancels_both_queries() {
    assert_disconnect_behind_pipelined_request(60_000, drop);
}

/// The preceding query of the key ends while the disconnected client may still reconnect.
#[test]
fn key_turn_just_after_the_client_disconnected_starts_no_attempt() {
    let engine = FakeEngineProcess::start();
    let test_bed = start_test_bed(&engine, |config| {
        config["settings"]["rules"]["order-pause"] = json!(0.0)
    });
    let (first, second, third) = (new_id(), new_id(), new_id());
    let _first = send_keyed(&test_bed, &first, "INSERT 1 /* runs 2500 */");
    wait_until("the engine receives the first attempt", || {
        attempt_of(&engine, &first).is_some()
    });
    let disconnecting = send_keyed(&test_bed, &second, "INSERT 2");
    sleep(ms(50));
    drop(disconnecting);
    let _third = send_keyed(&test_bed, &third, "INSERT 3");
    sleep(ms(10));
    finish_attempt(&engine, &first);
    wait_until("the engine receives the third attempt", || {
        attempt_of(&engine, &third).is_some()
    });
    assert!(
        attempt_of(&engine, &second).is_none(),
        "the query of a disconnected client was forwarded"
    );
}

/// A query whose client has lost its connection is kept for a short time, in which the client may reconnect.
#[test]
fn client_that_reconnects_at_once_is_served() {
    let engine = FakeEngineProcess::start();
    let test_bed = start_test_bed(&engine, |config| {
        config["settings"]["rules"]["order-pause"] = json!(0.0)
    });
    let (first, second) = (new_id(), new_id());
    let _first = send_keyed(&test_bed, &first, "INSERT 1 /* runs 300 */");
    wait_until("the engine receives the first attempt", || {
        attempt_of(&engine, &first).is_some()
    });
    drop(send_keyed(&test_bed, &second, "INSERT 2"));
    let again = send_keyed(&test_bed, &second, "INSERT 2");
    let answer =
        read_message(&mut std::io::BufReader::new(again)).expect("an answer should arrive");
    assert!(Answer::of(answer).succeeded());
    assert_eq!(
        engine
            .attempts()
            .iter()
            .filter(|attempt| attempt.id == second)
            .count(),
        1
    );
}

/// A request and the close of its connection both arrive while the gateway process is stopped.
#[test]
fn request_whose_client_disconnected_before_it_was_read_is_not_forwarded() {
    let engine = FakeEngineProcess::start();
    let test_bed = start_test_bed(&engine, |_| {});
    let kept = test_bed.open();
    test_bed.pause();
    let ids: Vec<String> = (0..20).map(|_| new_id()).collect();
    for (n, id) in ids.iter().enumerate() {
        // The first request uses an open connection, the others new ones.
        let mut stream = if n == 0 {
            kept.try_clone().unwrap()
        } else {
            test_bed.open()
        };
        stream
            .write_all(request_text(id, "report", "", "SELECT 1").as_bytes())
            .unwrap();
        stream.shutdown(Shutdown::Both).unwrap();
    }
    drop(kept);
    sleep(ms(150));
    test_bed.signal("CONT");
    assert!(test_bed.query("report", "SELECT 9").succeeded());
    sleep(ms(300));
    let sent = ids
        .iter()
        .filter(|id| attempt_of(&engine, id).is_some())
        .count();
    assert_eq!(
        sent, 0,
        "number of queries forwarded for disconnected clients"
    );
}

/// While the gateway process is stopped, the preceding query of the key ends and the next query's client disconnects.
#[test]
fn simultaneous_key_turn_and_disconnect_start_no_attempt() {
    let engine = FakeEngineProcess::start();
    let test_bed = start_test_bed(&engine, |config| {
        config["settings"]["rules"]["order-pause"] = json!(0.0)
    });
    for _ in 0..5 {
        let (first, second) = (new_id(), new_id());
        let first_call = send_keyed(&test_bed, &first, "INSERT 1 /* runs 2500 */");
        wait_until("the engine receives the first attempt", || {
            attempt_of(&engine, &first).is_some()
        });
        let disconnecting = send_keyed(&test_bed, &second, "INSERT 2");
        sleep(ms(50));
        test_bed.pause();
        drop(disconnecting);
        finish_attempt(&engine, &first);
        sleep(ms(100));
        test_bed.signal("CONT");
        assert!(
            Answer::of(read_message(&mut std::io::BufReader::new(first_call)).unwrap()).succeeded()
        );
        sleep(ms(200));
        assert!(
            attempt_of(&engine, &second).is_none(),
            "the query of a disconnected client was forwarded"
        );
    }
}

/// 250 queries wait in the queue of one key when all their clients disconnect at once.
#[test]
fn hundreds_of_simultaneous_disconnects_start_no_attempt_afterwards() {
    let engine = FakeEngineProcess::start();
    let test_bed = start_test_bed(&engine, |config| {
        config["limits"]["sockets"] = json!(1024);
        config["settings"]["rules"]["order-pause"] = json!(0.0);
    });
    let ids: Vec<String> = (0..250).map(|_| new_id()).collect();
    let calls: Vec<TcpStream> = ids
        .iter()
        .map(|id| send_keyed(&test_bed, id, "INSERT 1 /* runs 20 */"))
        .collect();
    wait_until("some attempts", || engine.attempts().len() > 3);
    let disconnected_at = Instant::now();
    drop(calls);
    sleep(ms(800));
    let late: Vec<_> = engine
        .attempts()
        .iter()
        .map(|attempt| attempt.received_at)
        .filter(|received_at| *received_at > disconnected_at + ms(100))
        .collect();
    assert!(
        late.is_empty(),
        "{} attempts started more than 0.1 s after the disconnects",
        late.len()
    );
    assert!(
        test_bed.query("report", "SELECT 1").succeeded(),
        "another client should be served"
    );
}
