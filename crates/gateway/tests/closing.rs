//! What crosses the gateway's own closes: SIGTERM's end of accepting, the end of a kept connection, an idle one that gives
//! way. What the machine has accepted is answered whole, or not read and never sent on.

mod helper;

use helper::process::ms;
use helper::*;
use serde_json::json;
use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::thread::sleep;
use std::time::{Duration, Instant};

fn text(id: &str, statement: &str) -> String {
    let (fields, length) = (request_fields(id, 3000), statement.len());
    format!("POST /v1/report HTTP/1.1\r\nHost: g\r\n{fields}Content-Length: {length}\r\n\r\n{statement}")
}

fn answered(stream: &TcpStream) -> Option<Answer> {
    stream
        .set_read_timeout(Some(Duration::from_secs(5)))
        .unwrap();
    read_message(&mut BufReader::new(stream)).map(Answer::of)
}

/// A connection that is kept after one answer.
fn kept(service: &Service) -> TcpStream {
    let stream = service.open();
    (&stream)
        .write_all(text(&new_id(), "SELECT 1").as_bytes())
        .unwrap();
    assert!(answered(&stream).expect("an answer").succeeded());
    stream
}

fn at(instant: Instant) {
    sleep(instant.saturating_duration_since(Instant::now()));
}

/// Every seat is taken by a call that has begun to come, so that one connection is accepted and waits for its seat, and others
/// stand in the machine's line, when accepting ends.
#[test]
fn connections_that_wait_for_a_seat_when_accepting_ends_are_answered() {
    let service = Service::with(|config| config["limits"]["sockets"] = json!(64));
    let calls: Vec<String> = (0..26)
        .map(|_| text(&new_id(), "SELECT 1 FROM sales_1.orders"))
        .collect();
    let coming: Vec<TcpStream> = calls
        .iter()
        .map(|call| {
            let stream = service.open();
            (&stream)
                .write_all(&call.as_bytes()[..call.len() - 5])
                .unwrap();
            stream
        })
        .collect();
    // Each is read, so that none gives way.
    sleep(ms(200));
    service.signal("TERM");
    let term = Instant::now();
    let waiting: Vec<TcpStream> = (0..4)
        .map(|_| {
            let stream = service.open();
            (&stream)
                .write_all(text(&new_id(), "SELECT 2").as_bytes())
                .unwrap();
            stream
        })
        .collect();
    at(term + ms(1000));
    for (mut stream, call) in coming.iter().zip(&calls) {
        stream
            .write_all(&call.as_bytes()[call.len() - 5..])
            .unwrap();
    }
    for (n, stream) in coming.iter().chain(&waiting).enumerate() {
        assert!(
            answered(stream).is_some(),
            "call {n} was reset or closed with no answer"
        );
    }
}

/// A call that has come by the time that its kept connection is to be closed, while the gateway had no processor time.
#[test]
fn a_call_on_a_kept_connection_that_came_before_its_end_is_answered() {
    // Where this machine is so busy that the gateway could not be stopped in time, that shows nothing.
    let shown = (0..5).any(|_| {
        let mut service = Service::start();
        let kept: Vec<TcpStream> = (0..12).map(|_| kept(&service)).collect();
        service.signal("TERM");
        let term = Instant::now();
        service.pause();
        if term.elapsed() > ms(500) {
            return false;
        }
        for stream in &kept {
            let mut stream = stream;
            stream
                .write_all(text(&new_id(), "SELECT 2").as_bytes())
                .unwrap();
        }
        at(term + ms(900));
        service.signal("CONT");
        for (n, stream) in kept.iter().enumerate() {
            assert!(
                answered(stream).is_some_and(|a| a.succeeded()),
                "call {n} was not answered"
            );
        }
        assert!(service.child.wait().unwrap().success());
        true
    });
    assert!(shown, "the gateway was never stopped in time");
}

/// Half of a call has come when its kept connection is to be closed, the rest after.
#[test]
fn a_call_that_had_begun_to_come_before_its_connection_s_end_is_answered() {
    let service = Service::start();
    let stream = kept(&service);
    let call = text(&new_id(), "SELECT 2");
    let (first, rest) = call.split_at(60);
    service.signal("TERM");
    let term = Instant::now();
    at(term + ms(200));
    (&stream).write_all(first.as_bytes()).unwrap();
    at(term + ms(900));
    (&stream).write_all(rest.as_bytes()).unwrap();
    assert!(answered(&stream).expect("an answer").succeeded());
}

/// What is written after our end of the connection is never sent on, and the answer before it is not lost by a reset.
#[test]
fn a_call_written_after_the_end_of_its_connection_is_not_sent_on() {
    let service = Service::start();
    let mut stream = kept(&service);
    service.signal("TERM");
    let mut nothing = [0; 1];
    stream
        .set_read_timeout(Some(Duration::from_secs(3)))
        .unwrap();
    assert_eq!(stream.read(&mut nothing).expect("an orderly end"), 0);
    let id = new_id();
    let _ = stream.write_all(text(&id, "SELECT 2").as_bytes());
    sleep(ms(300));
    assert_eq!(
        service.engine.calls("POST"),
        1,
        "only the first was sent on"
    );
}

/// All seats are held by idle connections. On the one that has been idle longest a call has come, unread yet, when a new
/// connection needs a seat.
#[test]
fn an_idle_connection_on_which_a_call_has_come_does_not_give_way() {
    let service = Service::with(|config| config["limits"]["sockets"] = json!(64));
    let idle: Vec<TcpStream> = (0..26).map(|_| kept(&service)).collect();
    service.pause();
    let mut oldest = &idle[0];
    oldest
        .write_all(text(&new_id(), "SELECT 2").as_bytes())
        .unwrap();
    let new = service.open();
    (&new)
        .write_all(text(&new_id(), "SELECT 3").as_bytes())
        .unwrap();
    sleep(ms(150));
    service.signal("CONT");
    assert!(
        answered(oldest).is_some_and(|a| a.succeeded()),
        "its call was lost"
    );
    assert!(
        answered(&new).is_some_and(|a| a.succeeded()),
        "the new one is served"
    );
}

/// Half of a call has come on the connection that is to give way.
#[test]
fn a_call_that_had_begun_to_come_on_one_that_gives_way_is_answered() {
    let service = Service::with(|config| config["limits"]["sockets"] = json!(64));
    let idle: Vec<TcpStream> = (0..26).map(|_| kept(&service)).collect();
    let call = text(&new_id(), "SELECT 2");
    let (first, rest) = call.split_at(60);
    let mut oldest = &idle[0];
    oldest.write_all(first.as_bytes()).unwrap();
    sleep(ms(50));
    let new = service.open();
    (&new)
        .write_all(text(&new_id(), "SELECT 3").as_bytes())
        .unwrap();
    assert!(
        answered(&new).is_some_and(|a| a.succeeded()),
        "the new one is served"
    );
    oldest.write_all(rest.as_bytes()).unwrap();
    assert!(
        answered(oldest).is_some_and(|a| a.succeeded()),
        "its call was lost"
    );
}

/// A client sends much more after a call that ends its connection: it can read its answer all the same.
#[test]
fn a_flood_behind_the_last_call_does_not_reset_its_answer_away() {
    let service = Service::start();
    for _ in 0..5 {
        let stream = service.open();
        let mut flood =
            b"POST /v1/report HTTP/1.1\r\nHost: g\r\nContent-Length: 999999999\r\n\r\n".to_vec();
        flood.resize(2 << 20, b'x');
        let writer = stream.try_clone().unwrap();
        let writing = std::thread::spawn(move || {
            let _ = (&writer).write_all(&flood);
        });
        assert_eq!(answered(&stream).expect("an answer").status, 413);
        drop(stream);
        writing.join().unwrap();
    }
}

/// The platform reads files again while it ends the gateway.
#[test]
fn sighup_after_sigterm_holds_nothing_up() {
    let mut service = Service::start();
    let stream = kept(&service);
    service.signal("TERM");
    let term = Instant::now();
    for _ in 0..5 {
        service.signal("HUP");
    }
    (&stream)
        .write_all(text(&new_id(), "SELECT 2").as_bytes())
        .unwrap();
    assert!(answered(&stream).expect("an answer").succeeded());
    assert!(service.child.wait().unwrap().success());
    assert!(
        term.elapsed() < ms(3700),
        "ended after {:?}",
        term.elapsed()
    );
}

/// The earliest kill comes soon after SIGTERM where deadlines are short; clients go on using their connections until then.
#[test]
fn with_short_deadlines_it_ends_well_before_the_earliest_kill() {
    for deadline in [50, 100, 300, 1000] {
        let mut service = Service::with(|config| {
            for n in 0..2 {
                config["settings"]["categories"][n]["give-up"] = json!(f64::from(deadline));
            }
        });
        let address = service.address;
        let clients: Vec<_> = (0..8)
            .map(|_| std::thread::spawn(move || asks_until_closed(address, deadline)))
            .collect();
        sleep(ms(100));
        service.signal("TERM");
        let term = Instant::now();
        assert!(service.child.wait().unwrap().success());
        let (took, kill) = (term.elapsed(), ms(700 + u64::from(deadline)));
        assert!(
            took + ms(60) < kill,
            "deadline {deadline}: ended after {took:?}, a kill may come after {kill:?}"
        );
        for client in clients {
            let asked = client.join().unwrap();
            assert!(asked > 0, "no query was answered");
        }
    }
}

/// Asks on one connection until that ends; a query may only go unanswered where it crossed the end.
fn asks_until_closed(address: std::net::SocketAddr, deadline: u32) -> usize {
    let stream = TcpStream::connect(address).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(5)))
        .unwrap();
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    for asked in 0.. {
        let (fields, sent) = (request_fields(&new_id(), deadline), Instant::now());
        let call = format!(
            "POST /v1/report HTTP/1.1\r\nHost: g\r\n{fields}Content-Length: 8\r\n\r\nSELECT 1"
        );
        if (&stream).write_all(call.as_bytes()).is_err() {
            return asked;
        }
        if read_message(&mut reader).is_none() {
            assert!(
                sent.elapsed() < ms(50),
                "a query was read and its connection closed"
            );
            return asked;
        }
        sleep(ms(7));
    }
    0
}

/// A call that comes too slowly is told so before its connection is closed: its last byte may cross the close.
#[test]
fn a_head_that_comes_too_slowly_is_answered() {
    let service = Service::start();
    let stream = service.open();
    let call = text(&new_id(), "SELECT 1");
    (&stream).write_all(&call.as_bytes()[..40]).unwrap();
    let began = Instant::now();
    let answer = answered(&stream).expect("an answer");
    assert!(
        answer.status == 408 && began.elapsed() < ms(3000),
        "{answer:?} after {:?}",
        began.elapsed()
    );
}
