//! The log's reader stops reading, or goes away: nothing that serves waits for it, and nothing ends by it.

mod helper;

use helper::process::ms;
use helper::*;
use std::process::{Child, Stdio};
use std::time::{Duration, Instant};

/// Each writes some lines at the debug level: together more than a pipe holds.
const QUERIES: usize = 400;

/// A gateway that logs every outcome into a pipe.
fn logging(config: &serde_json::Value) -> Child {
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

/// All queries are answered, and SIGTERM ends it with 0 in its time.
fn serves_and_ends(mut service: Service) {
    for n in 0..QUERIES {
        let began = Instant::now();
        let stream = service.open();
        stream
            .set_read_timeout(Some(Duration::from_secs(3)))
            .unwrap();
        let answer = call(
            stream,
            "POST /v1/report",
            &request_fields(&new_id(), 3000),
            "SELECT 1",
        );
        assert!(
            answer.map(Answer::of).is_some_and(|a| a.succeeded()),
            "query {n} after {:?}",
            began.elapsed()
        );
    }
    service.signal("TERM");
    let told = Instant::now();
    let ended = std::iter::repeat_with(|| {
        std::thread::sleep(ms(20));
        service.child.try_wait().unwrap()
    });
    let status = ended
        .take_while(|_| told.elapsed() < Duration::from_secs(5))
        .flatten()
        .next();
    assert_eq!(status.expect("it ends").code(), Some(0));
}

#[test]
fn a_reader_of_the_log_that_stops_reading_stops_nothing() {
    let service = Service::with_launcher(|_| {}, logging);
    serves_and_ends(service);
}

#[test]
fn a_reader_of_the_log_that_goes_away_ends_nothing() {
    let mut service = Service::with_launcher(|_| {}, logging);
    drop(service.child.stderr.take());
    serves_and_ends(service);
}
