//! Guards against a gateway that waits for the reader of its log, or ends with it. The reader stalls until the pipe is
//! full, or closes the pipe; queries are still answered, and SIGTERM still ends the gateway in time.

mod helper;

use helper::process::ms;
use helper::*;
use std::process::{Child, Stdio};
use std::time::{Duration, Instant};

/// Number of queries. Their log lines at the debug level exceed the buffer of a pipe.
const QUERIES: usize = 400;

/// Starts a gateway that logs at the debug level into a pipe that nobody reads.
fn serve_with_debug_log(config: &serde_json::Value) -> Child {
    let mut command = gateway_command(&["serve"]);
    command
        .env("PROXY_CONFIG", write_config(config))
        .env("GARNETWALL_LOG", "debug");
    command
        .stderr(Stdio::piped())
        .stdout(Stdio::null())
        .spawn()
        .unwrap()
}

/// Asserts that all queries succeed and that the gateway exits with code 0 within 5 s of SIGTERM.
fn assert_serves_and_exits(mut test_bed: TestBed) {
    for n in 0..QUERIES {
        let began = Instant::now();
        let stream = test_bed.open();
        stream
            .set_read_timeout(Some(Duration::from_secs(3)))
            .unwrap();
        let answer = round_trip(
            stream,
            "POST /v1/report",
            &request_headers(&new_id(), 3000),
            "SELECT 1",
        );
        assert!(
            answer.map(Answer::of).is_some_and(|a| a.succeeded()),
            "query {n} was not answered with rows, after {:?}",
            began.elapsed()
        );
    }
    test_bed.signal("TERM");
    let signalled_at = Instant::now();
    let ended = std::iter::repeat_with(|| {
        std::thread::sleep(ms(20));
        test_bed.child.try_wait().unwrap()
    });
    let status = ended
        .take_while(|_| signalled_at.elapsed() < Duration::from_secs(5))
        .flatten()
        .next();
    assert_eq!(
        status
            .expect("the gateway should exit within 5 s of SIGTERM")
            .code(),
        Some(0)
    );
}

#[test]
fn stalled_log_reader_does_not_stop_the_gateway() {
    let test_bed = TestBed::start_with_launcher(|_| {}, serve_with_debug_log);
    assert_serves_and_exits(test_bed);
}

#[test]
fn closed_log_reader_does_not_end_the_gateway() {
    let mut test_bed = TestBed::start_with_launcher(|_| {}, serve_with_debug_log);
    drop(test_bed.child.stderr.take());
    assert_serves_and_exits(test_bed);
}
