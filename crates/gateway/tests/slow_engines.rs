//! Engines whose every response is later than the response timeout.
//!
//! What happened: a query over a link that delays each response by 0.8 s, with 9 s allowed, failed after 7.6 s and two attempts, though
//! its engine had run it each time; a non-idempotent one was answered as failed after it had run. At 0.6 s it took 2.7 s, as
//! each page was requested twice. The cause: the response timeout was 0.3 s, and 0.75 s after a silent call, and both began
//! anew with each call, however late every response was; 2.25 s without a response end the attempt. The evidence: the engine's
//! responses, each written to a connection closed before.

mod helper;

use helper::process::ms;
use helper::*;
use serde_json::json;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::{self, sleep, spawn};
use std::time::{Duration, Instant};

/// A link to an engine that delays each response; connections are established without delay.
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

/// Sends one query of three pages over such a link; returns its answer, its duration and the number of attempts.
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
                    "{delay} ms late: {answer:?} after {took:?}"
                );
                assert_eq!(attempts, 1, "{delay} ms late: no retry");
            });
        }
    });
}
