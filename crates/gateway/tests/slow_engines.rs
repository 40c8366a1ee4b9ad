//! Engines whose every response is later than the response timeout.
//!
//! Guards against a response timeout that does not adapt to an engine. The timeout was 0.3 s, and 0.75 s after a call
//! without a response; both began anew with each call, however late every response was, and 2.25 s without a response
//! end the attempt. Over a link that delays each response by 0.8 s, a query with 9 s allowed failed after 7.6 s and two
//! attempts, though its engine had run it each time, and a non-idempotent query was answered as failed after it had
//! run. The engine had written each response to a connection that was already closed. At a delay of 0.6 s each page was
//! requested twice, and the query took 2.7 s.

mod helper;

use helper::process::ms;
use helper::*;
use serde_json::json;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::{self, sleep, spawn};
use std::time::{Duration, Instant};

/// Starts a link to an engine that delays each response; connections and requests are not delayed. Returns its address.
fn slow_link(engine: SocketAddr, delay: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    spawn(move || {
        for gateway_side in listener.incoming().flatten() {
            let engine_side = TcpStream::connect(engine).unwrap();
            let (gateway_write, engine_read) = (
                gateway_side.try_clone().unwrap(),
                engine_side.try_clone().unwrap(),
            );
            spawn(move || forward_with_delay(gateway_side, engine_side, Duration::ZERO));
            spawn(move || forward_with_delay(engine_read, gateway_write, delay));
        }
    });
    address
}

/// Forwards bytes after a delay until one side ends, then closes both sides.
fn forward_with_delay(mut from: TcpStream, mut to: TcpStream, delay: Duration) {
    let mut bytes = [0; 16 << 10];
    while let Some(read) = from.read(&mut bytes).ok().filter(|read| *read > 0) {
        sleep(delay);
        if to.write_all(&bytes[..read]).is_err() {
            break;
        }
    }
    let _ = (
        from.shutdown(std::net::Shutdown::Both),
        to.shutdown(std::net::Shutdown::Both),
    );
}

/// Sends one query of three pages over a link with a delay in milliseconds. Returns the answer, the time that it took
/// and the number of attempts.
fn query_over_slow_link(delay: u64) -> (Answer, Duration, usize) {
    let engine = FakeEngine::start();
    let link = slow_link(engine.address, ms(delay));
    let test_bed = TestBed::start_with(|config| {
        config["settings"]["allowed"]["may-probe"] = json!(false);
        config["settings"]["categories"][0]["give-up"] = json!(10_000.0);
        config["known"]["results"] =
            json!([full_list_event(0, &[endpoint("s-1", link, "SERVING")])]);
    });
    let began = Instant::now();
    let answer = test_bed.query_with_id(&new_id(), "report", 9000, "SELECT 1 /* pages */");
    (answer, began.elapsed(), engine.requests("POST"))
}

#[test]
fn responses_that_are_always_late_are_received() {
    thread::scope(|scope| {
        for delay in [100, 400, 600, 800, 1000] {
            scope.spawn(move || {
                let (answer, took, attempts) = query_over_slow_link(delay);
                println!("{delay} ms late: {answer:?} after {took:?}, {attempts} attempts");
                assert!(
                    answer.succeeded(),
                    "responses {delay} ms late: {answer:?} after {took:?}"
                );
                assert_eq!(attempts, 1, "responses {delay} ms late: number of attempts");
            });
        }
    });
}
