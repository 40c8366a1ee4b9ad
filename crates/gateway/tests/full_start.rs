//! A restart under the largest load: a full endpoint list in the configuration, no change log, and all clients at once.

mod helper;

use helper::process::ms;
use helper::*;
use serde_json::{json, Value};
use std::io::BufReader;
use std::net::{TcpListener, TcpStream};
use std::time::Instant;

/// The gateway is killed and restarted while its change log is down, and 200 clients connect as soon as it listens.
#[test]
fn restart_with_a_full_list_and_no_log_is_ready_and_answers_all_clients() {
    const ENGINES: usize = 1024;
    const CLIENTS: usize = 200;
    let log = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = log.local_addr().unwrap();
    drop(log);
    let engine = FakeEngine::start();
    let endpoints: Vec<Value> = (0..ENGINES)
        .map(|n| endpoint(&format!("s-{n:08x}"), engine.address, "SERVING"))
        .collect();
    let mut test_bed = TestBed::start_with(|config| {
        config["changelog"] = json!(address.to_string());
        // Clients may use a third of the sockets.
        config["limits"]["sockets"] = json!(CLIENTS * 4);
        config["known"] = json!({"seq": 41, "results": [full_list_event(41, &endpoints)]});
    });
    test_bed.signal("KILL");
    test_bed.child.wait().unwrap();
    let began = Instant::now();
    test_bed.child = serve(&test_bed.config);
    wait_until("the port", || TcpStream::connect(test_bed.address).is_ok());
    let send_query = |_| {
        let stream = test_bed.open();
        send_request(
            &stream,
            "POST /v1/report",
            &request_headers(&new_id(), 3000),
            "SELECT 1",
        );
        stream
    };
    let streams: Vec<TcpStream> = (0..CLIENTS).map(send_query).collect();
    test_bed.wait_until_healthy();
    let ready = began.elapsed();
    assert!(
        ready < ms(3000),
        "healthy only after {ready:?}, expected within 3 s"
    );
    let answer = |stream| Answer::of(read_message(&mut BufReader::new(stream)).expect("an answer"));
    let answers: Vec<Answer> = streams.into_iter().map(answer).collect();
    let took = began.elapsed();
    let succeeded = answers.iter().filter(|a| a.succeeded()).count();
    assert!(
        answers.iter().all(|a| a.succeeded() || a.status == 503),
        "expected rows or 503 for each query: {answers:?}"
    );
    assert!(
        succeeded > CLIENTS / 2,
        "only {succeeded} of {CLIENTS} queries succeeded, after {took:?}"
    );
}
