//! Discovery that is slow. What the change log tells counts as told 7 s later at the latest, however it brings it.
//!
//! What happened: each connection to the log was given up 2.5 s after it was begun, or after its last whole line, and the next
//! one began from the first byte again. A log that always took a little longer (its answer, its first line, a long list over
//! a slow link) was never heard, and a gateway in service went on sending to engines told draining: 193 attempts later than 7.05 s
//! after the drain was told, the last 19.3 s after, in a play of 25 s against a log that answered each connection 3.0 s late.
//!
//! The cause was `Watch::one_connection`: one connection at a time, with whole lines as the only life. The evidence: the played log saw
//! three connections in 7 s, each closed by the gateway 2.5 s after it was begun, with nothing read; and `change log lost error=silent`
//! once, then `still lost` for each. Since then a further connection is opened beside a slow one (`discovery::connection_set`).

mod helper;

use helper::process::ms;
use helper::scripted_log::{event_text, Connection, ScriptedLog, COMMENT, HEAD};
use helper::*;
use serde_json::{json, Value};
use std::net::TcpStream;
use std::sync::{Arc, OnceLock};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

/// The protocol's: what the log tells counts as told this much later.
const TOLD: Duration = Duration::from_secs(7);
/// Each time limit is so much longer on sockets.
const SOCKET_SLACK: Duration = Duration::from_millis(50);
/// A gateway has no more connections open to the log than this.
const MOST_OPEN: usize = 3;

/// A list that names this engine and so many others that nothing listens at, which drain.
fn list(engine: &Engine, others: usize) -> Value {
    let mut servers = vec![endpoint("s-1", engine.address, "SERVING")];
    let address = |n: usize| {
        format!("10.{}.{}.9:4100", n / 256, n % 256)
            .parse()
            .unwrap()
    };
    servers
        .extend((0..others).map(|n| endpoint(&format!("s-00c4{n:04x}"), address(n), "DRAINING")));
    list_event(1, true, &servers)
}

/// A gateway that knows no list, with the log played so; how long after its first connection the list is in force.
fn heard_after(
    name: &str,
    others: usize,
    script: impl Fn(&Connection, &str) + Send + Sync + 'static,
) {
    let engine = Engine::start();
    let told = event_text(&list(&engine, others));
    let log = ScriptedLog::start(move |connection| script(connection, &told));
    let mut config = config(free_address(), log.address);
    config["known"]["results"] = json!([]);
    let address = config["listen"].as_str().unwrap().parse().unwrap();
    let child = serve(&config);
    let service = Service {
        engine,
        log: ChangeLog::start(),
        config,
        address,
        child,
    };
    let healthy = || {
        let asked = TcpStream::connect(service.address)
            .ok()
            .and_then(|s| call(s, "GET /healthz", "", ""));
        asked.is_some_and(|answer| answer.start_line == "HTTP/1.1 200 OK")
    };
    let (started, mut most_open) = (Instant::now(), 0);
    while !healthy() {
        most_open = most_open.max(log.statistics.open());
        let waited = log.statistics.first().unwrap_or(started).elapsed();
        assert!(
            waited < TOLD,
            "{name}: not heard, {} connections",
            log.statistics.connections()
        );
        sleep(ms(10));
    }
    let after = log.statistics.first().expect("a connection").elapsed();
    println!(
        "{name}: {after:?}, {} connections",
        log.statistics.connections()
    );
    assert!(after < TOLD, "{name}: heard after {after:?}");
    assert!(most_open <= MOST_OPEN, "{name}: {most_open} open at once");
}

/// Plays all cases side by side.
fn side_by_side<T: Send>(cases: impl IntoIterator<Item = T>, play: impl Fn(T) + Sync) {
    thread::scope(|scope| {
        for case in cases {
            scope.spawn(|| play(case));
        }
    });
}

#[test]
fn a_first_line_that_comes_late_on_each_connection_is_heard() {
    side_by_side([2400, 2700, 4000, 5500, 6000, 6500], |late| {
        heard_after(
            &format!("first line after {late} ms"),
            0,
            move |connection, told| {
                connection.write(HEAD);
                sleep(ms(late));
                connection.write(told);
                connection.send_keepalives();
            },
        );
    });
}

#[test]
fn an_answer_that_comes_late_on_each_connection_is_heard() {
    side_by_side([2700, 4000, 6500], |late| {
        heard_after(
            &format!("answer after {late} ms"),
            0,
            move |connection, told| {
                sleep(ms(late));
                connection.write(HEAD);
                connection.write(told);
                connection.send_keepalives();
            },
        );
    });
}

#[test]
fn a_late_first_connection_is_heard_though_all_later_ones_are_reset() {
    side_by_side([3500, 5500], |late| {
        heard_after(
            &format!("first after {late} ms, others reset"),
            0,
            move |connection, told| {
                if connection.number > 0 {
                    return connection.reset_on_end();
                }
                sleep(ms(late));
                connection.write(HEAD);
                connection.write(told);
                connection.send_keepalives();
            },
        );
    });
}

#[test]
fn a_list_that_comes_in_pieces_is_heard() {
    side_by_side([200, 400, 500, 550], |apart| {
        heard_after(
            &format!("twelve pieces {apart} ms apart"),
            0,
            move |connection, told| {
                connection.write_in_pieces(&format!("{HEAD}{told}"), 12, ms(apart));
                connection.send_keepalives();
            },
        );
    });
}

#[test]
fn a_long_list_over_a_slow_link_is_heard() {
    const ENGINES: usize = 3200;
    side_by_side([400_000, 120_000, 80_000], |rate| {
        heard_after(
            &format!("{ENGINES} engines at {rate} bytes/s"),
            ENGINES,
            move |connection, told| {
                connection.write(HEAD);
                connection.write_at_rate(told, rate);
                connection.send_keepalives();
            },
        );
    });
}

#[test]
fn behind_three_silent_connections_in_a_row_a_list_is_heard() {
    side_by_side([1, 2, 3], |silent| {
        heard_after(
            &format!("{silent} silent, then a good one"),
            0,
            move |connection, told| {
                if connection.number < silent {
                    return connection.wait_for_close();
                }
                connection.write(HEAD);
                connection.write(told);
                connection.send_keepalives();
            },
        );
    });
}

/// A comment shows that a connection lives, not that it has told what is due.
#[test]
fn a_list_that_comes_long_after_the_first_comment_is_heard() {
    side_by_side([3000, 5000], |late| {
        heard_after(
            &format!("a comment at once, the list after {late} ms"),
            0,
            move |connection, told| {
                connection.write(HEAD);
                connection.write(COMMENT);
                sleep(ms(late));
                connection.write(told);
                connection.send_keepalives();
            },
        );
    });
}

#[test]
fn behind_two_silent_connections_a_late_list_is_heard() {
    heard_after("two silent, others 2 s late", 0, |connection, told| {
        if connection.number < 2 {
            return connection.wait_for_close();
        }
        sleep(ms(2000));
        connection.write(HEAD);
        connection.write(told);
        connection.send_keepalives();
    });
}

/// Bytes alone hold a connection for a time, not for ever, and keep no better one out.
#[test]
fn behind_three_connections_that_trickle_a_list_is_heard() {
    heard_after("three trickle, then a good one", 0, |connection, told| {
        connection.write(HEAD);
        if connection.number < 3 {
            connection.write_in_pieces(&"x".repeat(100), 100, ms(200));
            return;
        }
        connection.write(told);
        connection.send_keepalives();
    });
}

/// A gateway in service with two engines; its log falls silent as one of them begins to drain, and each later connection is
/// answered so late.
fn sends_nothing_to_a_drained_engine(late: Duration) {
    let (drained, other) = (Engine::start(), Engine::start());
    let lines = |state: &str| {
        [
            endpoint("s-0", drained.address, state),
            endpoint("s-1", other.address, "SERVING"),
        ]
    };
    let first = event_text(&list_event(1, true, &lines("SERVING")));
    let drain = event_text(&list_event(2, false, &lines("DRAINING")[..1]));
    let told: Arc<OnceLock<Instant>> = Arc::default();
    let when = told.clone();
    let log = ScriptedLog::start(move |connection| {
        if connection.number > 0 {
            sleep(late);
            connection.write(HEAD);
            connection.write(&drain);
            return connection.send_keepalives();
        }
        connection.write(HEAD);
        connection.write(&first);
        for _ in 0..3 {
            connection.write(COMMENT);
            sleep(ms(1000));
        }
        when.get_or_init(Instant::now);
        connection.wait_for_close();
    });
    let service = Service::with(|config| {
        config["changelog"] = json!(log.address.to_string());
        config["settings"]["allowed"]["may-probe"] = json!(false);
    });
    wait_until("both engines are sent to", || {
        service.query("report", "SELECT 1");
        drained.calls("POST") > 0 && other.calls("POST") > 0
    });
    let told = loop {
        match told.get() {
            Some(told) => break *told,
            None => assert!(service.query("report", "SELECT 1").succeeded()),
        }
    };
    while told.elapsed() < TOLD + SOCKET_SLACK {
        assert!(service.query("report", "SELECT 1").succeeded());
        sleep(ms(10));
    }
    let before = drained.calls("POST");
    while told.elapsed() < TOLD + ms(5000) {
        assert!(service.query("report", "SELECT 1").succeeded());
        sleep(ms(10));
    }
    let after = drained.calls("POST") - before;
    assert_eq!(
        after, 0,
        "attempts at the draining engine later than 7.05 s after it was told"
    );
}

#[test]
fn nothing_is_sent_to_a_drained_engine_under_a_log_that_answers_late() {
    side_by_side([500, 3000, 4000], |late| {
        sends_nothing_to_a_drained_engine(ms(late))
    });
}
