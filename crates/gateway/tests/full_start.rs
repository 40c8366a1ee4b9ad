//! A restart at its largest: a full list of engines in the configuration, no change log, and all clients at once.

mod helper;

use helper::process::ms;
use helper::*;
use serde_json::{json, Value};
use std::io::BufReader;
use std::net::{TcpListener, TcpStream};
use std::time::Instant;

/// Event A: a gateway starts again with a full list and no log. Event B: all clients come at once.
#[test]
fn restarted_with_a_full_list_and_no_log_it_is_ready_and_answers_all_who_come_at_once() {
    const ENGINES: usize = 1024;
    const CLIENTS: usize = 200;
    let log = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = log.local_addr().unwrap();
    drop(log);
    let engine = Engine::start();
    let lines: Vec<Value> = (0..ENGINES)
        .map(|n| endpoint(&format!("s-{n:08x}"), engine.address, "SERVING"))
        .collect();
    let mut s = Service::with(|config| {
        config["changelog"] = json!(address.to_string());
        // So that the clients hold no more than their third.
        config["limits"]["sockets"] = json!(CLIENTS * 4);
        config["known"] = json!({"seq": 41, "results": [list_event(41, true, &lines)]});
    });
    s.signal("KILL");
    s.child.wait().unwrap();
    let began = Instant::now();
    s.child = serve(&s.config);
    wait_until("the port", || TcpStream::connect(s.address).is_ok());
    let batch = |_| {
        let stream = s.open();
        send(
            &stream,
            "POST /v1/report",
            &request_fields(&new_id(), 3000),
            "SELECT 1",
        );
        stream
    };
    let batches: Vec<TcpStream> = (0..CLIENTS).map(batch).collect();
    s.wait_until_healthy();
    let ready = began.elapsed();
    assert!(ready < ms(3000), "ready after {ready:?}");
    let answer = |stream| Answer::of(read_message(&mut BufReader::new(stream)).expect("an answer"));
    let answers: Vec<Answer> = batches.into_iter().map(answer).collect();
    let took = began.elapsed();
    let returned = answers.iter().filter(|a| a.succeeded()).count();
    assert!(
        answers.iter().all(|a| a.succeeded() || a.status == 503),
        "{answers:?}"
    );
    assert!(returned > CLIENTS / 2, "{returned} returned after {took:?}");
}
