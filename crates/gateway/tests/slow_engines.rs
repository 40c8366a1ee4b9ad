//! Engines whose every answer comes later than a call is waited for.
//!
//! What happened: a query through a link that delays each answer by 0.8 s, with 9 s allowed, failed after 7.6 s and two attempts, though
//! its engine had run it each time; a non-idempotent one was told failed after it had run. At 0.6 s it took 2.7 s, as each page was asked for
//! twice. The cause: a call was waited for 0.3 s, the next one after a silent one 0.75 s, and both bounds began anew with each call, however
//! late every answer was; 2.25 s unheard end the attempt. The evidence: the engine's answers, each written to a connection given up before.

mod helper;

use helper::process::ms;
use helper::*;
use serde_json::json;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::{self, sleep, spawn};
use std::time::{Duration, Instant};

/// A link to an engine on which each answer takes so much longer; connections come up at once.
fn slow_link(engine: SocketAddr, delay: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    spawn(move || {
        for near in listener.incoming().flatten() {
            let far = TcpStream::connect(engine).unwrap();
            let (near_write, far_read) = (near.try_clone().unwrap(), far.try_clone().unwrap());
            spawn(move || passes_on(near, far, Duration::ZERO));
            spawn(move || passes_on(far_read, near_write, delay));
        }
    });
    address
}

fn passes_on(mut from: TcpStream, mut to: TcpStream, delay: Duration) {
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

/// One query of three pages through such a link, and how long it took.
fn play(delay: u64) -> (Answer, Duration, usize) {
    let engine = Engine::start();
    let link = slow_link(engine.address, ms(delay));
    let s = Service::with(|config| {
        config["settings"]["allowed"]["may-probe"] = json!(false);
        config["settings"]["categories"][0]["give-up"] = json!(10_000.0);
        config["known"]["results"] =
            json!([list_event(0, true, &[endpoint("s-1", link, "SERVING")])]);
    });
    let began = Instant::now();
    let answer = s.query_with_id(&new_id(), "report", 9000, "SELECT 1 /* pages */");
    (answer, began.elapsed(), engine.calls("POST"))
}

#[test]
fn answers_that_always_come_late_are_heard() {
    thread::scope(|scope| {
        for delay in [100, 400, 600, 800, 1000] {
            scope.spawn(move || {
                let (answer, took, attempts) = play(delay);
                println!("{delay} ms late: {answer:?} after {took:?}, {attempts} attempts");
                assert!(
                    answer.succeeded(),
                    "{delay} ms late: {answer:?} after {took:?}"
                );
                assert_eq!(attempts, 1, "{delay} ms late: none is begun anew");
            });
        }
    });
}
