//! A client that has left has nothing sent for it any more: also where its leaving hides behind what it sent before, where
//! its batch waits for its key's turn, where it left while the gateway had no processor time, and where hundreds leave
//! at once. The engine tells what came and when.

mod helper;

use helper::process::{ms, EngineProcess, ReceivedAttempt};
use helper::*;
use serde_json::{json, Value};
use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::thread::sleep;
use std::time::Instant;

fn service(engine: &EngineProcess, change_more: impl Fn(&mut Value)) -> Service {
    Service::with(|config| {
        config["known"]["results"] = json!([list_event(
            0,
            true,
            &[endpoint("s-0", engine.address, "SERVING")]
        )]);
        config["settings"]["allowed"]["may-probe"] = json!(false);
        change_more(config);
    })
}

/// A call as the bytes that its client writes.
fn text(id: &str, group: &str, more: &str, statement: &str) -> String {
    let fields = request_fields(id, 3000) + more;
    let length = statement.len();
    format!("POST /v1/{group} HTTP/1.1\r\nHost: g\r\n{fields}Content-Length: {length}\r\n\r\n{statement}")
}

fn keyed(service: &Service, id: &str, statement: &str) -> TcpStream {
    let mut stream = service.open();
    stream
        .write_all(text(id, "load", "X-Item: 7f3a9c21e0b4d655\r\n", statement).as_bytes())
        .unwrap();
    stream
}

fn of(engine: &EngineProcess, id: &str) -> Option<ReceivedAttempt> {
    engine.attempts().into_iter().find(|d| d.id == id)
}

/// A dispatch comes to a good end now.
fn ends(engine: &EngineProcess, id: &str) {
    let mut state = engine.state();
    state
        .attempts
        .iter_mut()
        .filter(|d| d.id == id)
        .for_each(|d| d.run_time = ms(0));
}

/// Two calls on one connection, the second behind more or less of what is read ahead, then the client leaves in one of the
/// ways there are.
fn leaves_behind(filling: usize, leave: impl Fn(TcpStream)) {
    let engine = EngineProcess::start();
    let service = service(&engine, |_| {});
    let (first, second) = (new_id(), new_id());
    let mut stream = service.open();
    let calls = text(&first, "report", "", "SELECT 1 /* runs 700 */")
        + &text(
            &second,
            "report",
            "",
            &format!("SELECT 2 /* {} */", "x".repeat(filling)),
        );
    stream.write_all(calls.as_bytes()).unwrap();
    wait_until("the first is out", || of(&engine, &first).is_some());
    leave(stream);
    wait_until("the first is given up", || {
        of(&engine, &first).unwrap().stopped_at.is_some()
    });
    let out = of(&engine, &first).unwrap();
    assert!(
        out.stopped_at.unwrap() < out.received_at + ms(500),
        "given up only once it had ended"
    );
    sleep(ms(600));
    assert!(
        of(&engine, &second).is_none(),
        "sent on for a client that had left"
    );
}

#[test]
fn a_client_that_leaves_behind_a_second_call_has_neither_sent_on() {
    leaves_behind(10, drop);
}

/// A close that is only seen as a reset.
#[test]
fn a_reset_behind_a_second_call_counts_as_leaving() {
    leaves_behind(10, |stream| {
        socket2::SockRef::from(&stream)
            .set_linger(Some(std::time::Duration::ZERO))
            .unwrap();
    });
}

#[test]
fn a_half_close_behind_a_second_call_counts_as_leaving() {
    leaves_behind(10, |stream| {
        stream.shutdown(Shutdown::Write).unwrap();
        // It goes on listening for a while, as one that closes for good does not.
        std::thread::spawn(move || {
            sleep(ms(2000));
            drop(stream);
        });
    });
}

/// More than is read ahead: only the machine's own word tells of the close behind it.
#[test]
fn a_client_that_leaves_behind_much_that_it_sent_has_nothing_sent_on() {
    leaves_behind(60_000, drop);
}

/// The batch before it on its key ends within the time in which a lost connection's client may come again.
#[test]
fn a_key_s_turn_that_comes_just_after_the_client_left_sends_nothing() {
    let engine = EngineProcess::start();
    let service = service(&engine, |config| {
        config["settings"]["rules"]["order-pause"] = json!(0.0)
    });
    let (first, second, third) = (new_id(), new_id(), new_id());
    let _first = keyed(&service, &first, "INSERT 1 /* runs 2500 */");
    wait_until("the first is out", || of(&engine, &first).is_some());
    let leaver = keyed(&service, &second, "INSERT 2");
    sleep(ms(50));
    drop(leaver);
    let _third = keyed(&service, &third, "INSERT 3");
    sleep(ms(10));
    ends(&engine, &first);
    wait_until("the third is out", || of(&engine, &third).is_some());
    assert!(
        of(&engine, &second).is_none(),
        "sent on for a client that had left"
    );
}

/// A client whose connection was lost, and which comes again at once, is served: its batch is held, not over.
#[test]
fn a_client_that_comes_again_at_once_is_served() {
    let engine = EngineProcess::start();
    let service = service(&engine, |config| {
        config["settings"]["rules"]["order-pause"] = json!(0.0)
    });
    let (first, second) = (new_id(), new_id());
    let _first = keyed(&service, &first, "INSERT 1 /* runs 300 */");
    wait_until("the first is out", || of(&engine, &first).is_some());
    drop(keyed(&service, &second, "INSERT 2"));
    let again = keyed(&service, &second, "INSERT 2");
    let answer = read_message(&mut std::io::BufReader::new(again)).expect("an answer");
    assert!(Answer::of(answer).succeeded());
    assert_eq!(
        engine.attempts().iter().filter(|d| d.id == second).count(),
        1
    );
}

/// A call and its client's close that both came while the gateway had no processor time.
#[test]
fn a_call_whose_client_left_before_it_was_read_is_not_sent_on() {
    let engine = EngineProcess::start();
    let service = service(&engine, |_| {});
    let kept = service.open();
    service.pause();
    let ids: Vec<String> = (0..20).map(|_| new_id()).collect();
    for (n, id) in ids.iter().enumerate() {
        // On new connections, and one on a connection that is known already.
        let mut stream = if n == 0 {
            kept.try_clone().unwrap()
        } else {
            service.open()
        };
        stream
            .write_all(text(id, "report", "", "SELECT 1").as_bytes())
            .unwrap();
        stream.shutdown(Shutdown::Both).unwrap();
    }
    drop(kept);
    sleep(ms(150));
    service.signal("CONT");
    assert!(service.query("report", "SELECT 9").succeeded());
    sleep(ms(300));
    let sent = ids.iter().filter(|id| of(&engine, id).is_some()).count();
    assert_eq!(sent, 0, "calls sent on for clients that had left");
}

/// The turn of a batch comes, and its client leaves, while the gateway has no processor time.
#[test]
fn a_turn_and_a_close_that_come_together_send_nothing() {
    let engine = EngineProcess::start();
    let service = service(&engine, |config| {
        config["settings"]["rules"]["order-pause"] = json!(0.0)
    });
    for _ in 0..5 {
        let (first, second) = (new_id(), new_id());
        let first_call = keyed(&service, &first, "INSERT 1 /* runs 2500 */");
        wait_until("the first is out", || of(&engine, &first).is_some());
        let leaver = keyed(&service, &second, "INSERT 2");
        sleep(ms(50));
        service.pause();
        drop(leaver);
        ends(&engine, &first);
        sleep(ms(100));
        service.signal("CONT");
        assert!(
            Answer::of(read_message(&mut std::io::BufReader::new(first_call)).unwrap()).succeeded()
        );
        sleep(ms(200));
        assert!(
            of(&engine, &second).is_none(),
            "sent on for a client that had left"
        );
    }
}

/// Some hundred batches wait behind one another; all their clients leave in one burst.
#[test]
fn hundreds_that_leave_at_once_have_nothing_begun_after() {
    let engine = EngineProcess::start();
    let service = service(&engine, |config| {
        config["limits"]["sockets"] = json!(1024);
        config["settings"]["rules"]["order-pause"] = json!(0.0);
    });
    let ids: Vec<String> = (0..250).map(|_| new_id()).collect();
    let calls: Vec<TcpStream> = ids
        .iter()
        .map(|id| keyed(&service, id, "INSERT 1 /* runs 20 */"))
        .collect();
    wait_until("some have had their turn", || engine.attempts().len() > 3);
    let left = Instant::now();
    drop(calls);
    sleep(ms(800));
    let late: Vec<_> = engine
        .attempts()
        .iter()
        .map(|d| d.received_at)
        .filter(|came| *came > left + ms(100))
        .collect();
    assert!(
        late.is_empty(),
        "{} begun later than 0.1 s after",
        late.len()
    );
    assert!(
        service.query("report", "SELECT 1").succeeded(),
        "others are served"
    );
}
