//! Clauses of the protocol at their extremes: the largest result, a length told in two ways in every order and case, a cancel and a
//! close at once, waits at their least and most, hundreds of closes in one turn, the deadline of a retry, the largest list.

mod helper;

use helper::process::{ms, EngineProcess};
use helper::*;
use serde_json::{json, Value};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::Instant;

/// The protocol's: bytes of a page, and of a whole result.
const PAGE: usize = 6_000;
const RESULT: usize = 48_000;

/// An engine that answers each call by a script.
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

/// A gateway before one engine.
fn before(engine: SocketAddr, change_more: impl Fn(&mut Value)) -> Service {
    Service::with(|config| {
        config["known"]["results"] =
            json!([list_event(0, true, &[endpoint("s-0", engine, "SERVING")])]);
        config["settings"]["allowed"]["may-probe"] = json!(false);
        change_more(config);
    })
}

/// Rows of one page, as long as a page may be, with all that has to be escaped.
fn page(number: usize) -> String {
    let row = format!("p{number}\t\"\\\u{1}é漢\u{7f}\t\n");
    let mut text = row.repeat(PAGE / row.len() - 1);
    text += &format!(
        "p{number}\t\t{}\n",
        "x".repeat(PAGE - text.len() - format!("p{number}\t\t\n").len())
    );
    assert_eq!(text.len(), PAGE);
    text
}

/// An engine whose every result has as many pages, and each as many bytes, as there may be.
fn engine_of_large_results() -> SocketAddr {
    scripted_engine(|call| {
        let number = match call.start_line.strip_prefix("GET /c/") {
            None => 0,
            Some(path) => path.split([' ', '/']).nth(1).unwrap().parse().unwrap(),
        };
        match number {
            0 => http(
                "200 OK",
                &format!("Result-Pages: {}\r\n", RESULT / PAGE),
                &page(0),
            ),
            n => http("200 OK", &format!("Result-Page: {n}\r\n"), &page(n)),
        }
    })
}

#[test]
fn the_largest_result_comes_whole_and_in_order() {
    let s = before(engine_of_large_results(), |_| {});
    let answer = s.query("report", "SELECT 1");
    assert!(answer.succeeded());
    let rows = answer.json["data"].as_array().unwrap();
    let expected: String = (0..RESULT / PAGE).map(page).collect();
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
        "{} rows",
        rows.len()
    );
}

/// An answer that the gateway has begun and can't finish shows that it is not whole.
#[test]
fn an_answer_that_a_kill_cuts_short_shows_it() {
    let mut s = before(engine_of_large_results(), |_| {});
    let stream = s.open();
    socket2::SockRef::from(&stream)
        .set_recv_buffer_size(2048)
        .unwrap();
    send(
        &stream,
        "POST /v1/report",
        &request_fields(&new_id(), 3000),
        "SELECT 1",
    );
    assert!(stream.peek(&mut [0; 1]).unwrap() > 0);
    s.child.kill().unwrap();
    s.child.wait().unwrap();
    let mut all = Vec::new();
    let _ = (&stream).read_to_end(&mut all);
    let text = String::from_utf8_lossy(&all);
    let (head, body) = text.split_once("\r\n\r\n").expect("a head");
    let told = head.lines().find_map(|l| {
        l.to_ascii_lowercase()
            .strip_prefix("content-length: ")
            .map(str::to_string)
    });
    let told: usize = told.expect("its length is told").parse().unwrap();
    let whole = body.len() == told && serde_json::from_str::<Value>(body).is_ok();
    assert!(whole || body.len() < told, "{} of {told} bytes", body.len());
}

#[test]
fn a_length_told_in_two_ways_is_never_passed_on() {
    let s = Service::start();
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
            for told in [
                format!("{length}\r\n{coding}"),
                format!("{coding}\r\n{length}"),
                format!("{length}\r\n{coding}\r\n{length}"),
                format!("{coding}\r\n{length}\r\n{coding}"),
            ] {
                let stream = s.open();
                let head = request_fields(&new_id(), 3000);
                let text = format!(
                    "POST /v1/report HTTP/1.1\r\nHost: g\r\n{head}{told}\r\n\r\n0\r\n\r\n{hidden}"
                );
                (&stream).write_all(text.as_bytes()).unwrap();
                let answer = read_message(&mut BufReader::new(&stream));
                let refused =
                    answer.is_none_or(|answer| answer.start_line.starts_with("HTTP/1.1 4"));
                assert!(refused, "{told}");
            }
        }
    }
    assert_eq!(s.engine.calls("POST"), 0);
}

/// Both ways in which a client stops waiting, in one moment.
#[test]
fn a_cancel_and_a_close_at_once_give_one_end() {
    for closes_first in [true, false] {
        let engine = EngineProcess::start();
        let s = before(engine.address, |_| {});
        let id = new_id();
        let stream = s.open();
        send(
            &stream,
            "POST /v1/report",
            &request_fields(&id, 3000),
            "SELECT 1 /* runs 60000 */",
        );
        wait_until("the start", || engine.attempts().len() == 1);
        let cancel = s.open();
        let left = Instant::now();
        if closes_first {
            drop(stream);
            send(&cancel, "DELETE /v1/report", &request_fields(&id, 3000), "");
        } else {
            send(&cancel, "DELETE /v1/report", &request_fields(&id, 3000), "");
            drop(stream);
        }
        read_message(&mut BufReader::new(cancel)).expect("an answer to the cancel");
        wait_until("given up", || engine.attempts()[0].stopped_at.is_some());
        assert!(
            left.elapsed() < ms(1000),
            "given up after {:?}",
            left.elapsed()
        );
        sleep(ms(300));
        assert_eq!(
            (engine.attempts().len(), engine.state().cancel_calls),
            (1, 1),
            "one attempt, given up once"
        );
    }
}

#[test]
fn the_wait_of_a_rejection_keeps_to_the_settings() {
    let wait = |allowed: Value| {
        let full = scripted_engine(|_| http("503 Full", "X-Declined: 1\r\n", ""));
        let s = before(full, |config| {
            let told = config["settings"]["allowed"].as_object_mut().unwrap();
            told.extend(allowed.as_object().unwrap().clone());
        });
        let answer = s.query_with_id(&new_id(), "report", 400, "SELECT 1");
        assert_eq!(answer.status, 503, "{answer:?}");
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
    let most = wait(json!({"retry-after": true, "max-retry-after": 1000.0})).expect("a wait");
    assert!(most > 0 && most <= 1000, "{most}");
}

/// Two hundred clients close while the gateway has no processor time, and then the turn of their key comes.
#[test]
fn hundreds_of_closes_in_one_turn_have_nothing_begun_after() {
    let engine = EngineProcess::start();
    let s = before(engine.address, |config| {
        config["limits"]["sockets"] = json!(1024);
        config["settings"]["rules"]["order-pause"] = json!(0.0);
    });
    let keyed = |statement: &str| {
        let stream = s.open();
        let head = format!(
            "{}X-Item: 7f3a9c21e0b4d655\r\n",
            request_fields(&new_id(), 3000)
        );
        send(&stream, "POST /v1/load", &head, statement);
        stream
    };
    let first = keyed("INSERT 1 /* runs 2500 */");
    wait_until("the first is out", || engine.attempts().len() == 1);
    let leavers: Vec<TcpStream> = (0..200).map(|_| keyed("INSERT 2")).collect();
    sleep(ms(200));
    s.pause();
    drop(leavers);
    engine.state().attempts[0].run_time = ms(0);
    sleep(ms(150));
    s.signal("CONT");
    assert!(Answer::of(read_message(&mut BufReader::new(first)).unwrap()).succeeded());
    sleep(ms(400));
    assert_eq!(
        engine.attempts().len(),
        1,
        "begun for clients that had left"
    );
}

/// The deadline that is passed on with a retry is what is left then.
#[test]
fn the_deadline_of_a_retry_is_what_is_left() {
    const ALLOWED: u64 = 2000;
    /// Protocol's slack of a deadline that is passed on.
    const SLACK: u64 = 150;
    let told: Arc<Mutex<Vec<(Instant, u64)>>> = Arc::default();
    let seen = told.clone();
    let engine = scripted_engine(move |call| {
        if call.start_line.starts_with("POST") {
            let mut seen = seen.lock().unwrap();
            seen.push((Instant::now(), call.fields["x-patience"].parse().unwrap()));
            if seen.len() == 1 {
                drop(seen);
                sleep(ms(200));
                return http("503 Full", "X-Declined: 1\r\n", "");
            }
        }
        http("200 OK", "Result-Pages: 1\r\n", ROWS)
    });
    let s = before(engine, |_| {});
    let began = Instant::now();
    assert!(s
        .query_with_id(&new_id(), "report", ALLOWED as u32, "SELECT 1")
        .succeeded());
    let told = told.lock().unwrap();
    assert_eq!(told.len(), 2);
    for (at, deadline) in told.iter() {
        let left = ALLOWED.saturating_sub((*at - began).as_millis() as u64);
        assert!(
            *deadline <= left + SLACK,
            "{deadline} ms told with {left} left"
        );
    }
    assert!(told[1].1 + 200 <= told[0].1, "{told:?}");
}

/// The largest list that there is, and as many gateways.
#[test]
fn a_list_of_3200_engines_beside_900_gateways_is_served() {
    const ENGINES: usize = 3200;
    let engine = Engine::start();
    let lines: Vec<Value> = (0..ENGINES)
        .map(|n| endpoint(&format!("s-{n:08x}"), engine.address, "SERVING"))
        .collect();
    let s = Service::with(|config| {
        config["known"] = json!({"seq": 0, "results": [list_event(0, true, &lines)]});
        config["settings"]["balancers"] = json!(900);
        config["peers"] = json!((0..900)
            .map(|n| format!("10.3.{}.{}:7946", n / 250, n % 250))
            .collect::<Vec<_>>());
    });
    for _ in 0..20 {
        assert!(s.query("report", "SELECT 1").succeeded());
    }
    let drained: Vec<Value> = (0..ENGINES)
        .map(|n| endpoint(&format!("s-{n:08x}"), engine.address, "DRAINING"))
        .collect();
    for number in 1..10 {
        let state = if number % 2 == 1 { &drained } else { &lines };
        s.log.publish(list_event(number, false, state));
    }
    wait_until("all drain", || {
        s.query_with_id(&new_id(), "report", 300, "SELECT 1").status == 503
    });
    let before = engine.calls("POST");
    assert_eq!(
        s.query_with_id(&new_id(), "report", 300, "SELECT 1").status,
        503
    );
    assert_eq!(
        engine.calls("POST"),
        before,
        "nothing to engines that drain"
    );
    s.log.publish(list_event(10, false, &lines));
    wait_until("all serve again", || {
        s.query("report", "SELECT 1").succeeded()
    });
}
