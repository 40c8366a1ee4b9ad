//! Nothing of a start leaves once its batch has its answer: not when its connection comes up late, not the rest of a body that comes slowly or of a long statement that the engine's
//! machine takes in by parts. Engines tell what came and when.

mod helper;

use helper::process::ms;
use helper::*;
use serde_json::{json, Value};
use socket2::{Domain, Socket, Type};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// An engine's machine whose queue of connections is full: a connection comes up only when the machine asks again, one
/// second after it first did, and only once the queue has room.
struct Crowded {
    listener: TcpListener,
    address: SocketAddr,
    crowd: Vec<TcpStream>,
}

impl Crowded {
    fn start() -> Crowded {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket
            .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
            .unwrap();
        socket.listen(0).unwrap();
        let listener: TcpListener = socket.into();
        let address = listener.local_addr().unwrap();
        let connect = |_| TcpStream::connect_timeout(&address, ms(100)).ok();
        let crowd = (0..8).map_while(connect).collect();
        assert!(
            TcpStream::connect_timeout(&address, ms(100)).is_err(),
            "the queue is full"
        );
        Crowded {
            listener,
            address,
            crowd,
        }
    }

    /// Makes room in the queue, and reads what comes on each connection for a while.
    fn makes_room(self) -> Vec<u8> {
        drop(self.crowd);
        let until = Instant::now() + ms(2500);
        self.listener.set_nonblocking(true).unwrap();
        let mut reading = Vec::new();
        while Instant::now() < until {
            match self.listener.accept() {
                Ok((stream, _)) => reading.push(spawn(move || read_for(stream, ms(1500)))),
                Err(_) => sleep(ms(2)),
            }
        }
        reading
            .into_iter()
            .flat_map(|r| r.join().unwrap())
            .collect()
    }
}

/// The next connection; a test that waits for one that never comes ends.
fn accepted(listener: &TcpListener) -> TcpStream {
    listener.set_nonblocking(true).unwrap();
    let accept = |_| listener.accept().map_err(|_| sleep(ms(5))).ok();
    let (stream, _) = (0..1000).find_map(accept).expect("a connection");
    stream.set_nonblocking(false).unwrap();
    stream
}

fn read_for(mut stream: TcpStream, span: Duration) -> Vec<u8> {
    stream.set_nonblocking(false).unwrap();
    stream.set_read_timeout(Some(span)).unwrap();
    let mut came = Vec::new();
    // What comes before the connection breaks or says nothing counts.
    let _ = stream.read_to_end(&mut came);
    came
}

fn service(engines: &[SocketAddr], change_more: impl Fn(&mut Value)) -> Service {
    Service::with(|config| {
        let lines: Vec<Value> = engines
            .iter()
            .enumerate()
            .map(|(n, at)| endpoint(&format!("s-{n}"), *at, "SERVING"))
            .collect();
        config["known"]["results"] = json!([list_event(0, true, &lines)]);
        config["settings"]["allowed"]["dial-timeout"] = json!(3000.0);
        config["settings"]["allowed"]["may-probe"] = json!(false);
        change_more(config);
    })
}

fn started(came: &[u8]) -> bool {
    String::from_utf8_lossy(came).contains("POST /c")
}

#[test]
fn a_connection_that_comes_up_after_the_answer_carries_no_start() {
    let crowded = Crowded::start();
    let service = service(&[crowded.address], |_| {});
    let reading = spawn(move || {
        sleep(ms(800));
        crowded.makes_room()
    });
    let began = Instant::now();
    let answer = service.query_with_id(&new_id(), "report", 930, "SELECT 1");
    let took = began.elapsed();
    assert!(
        !answer.succeeded() && took > ms(800) && took < ms(980),
        "{answer:?} after {took:?}"
    );
    assert!(
        !started(&reading.join().unwrap()),
        "sent on after its answer"
    );
}

/// The same for a client that leaves while the connection comes up, where nothing can be cancelled.
#[test]
fn a_connection_that_comes_up_after_the_client_has_gone_carries_no_start() {
    let crowded = Crowded::start();
    let service = service(&[crowded.address], |config| {
        config["settings"]["allowed"]["cancelling"] = json!(false)
    });
    let stream = service.open();
    send(
        &stream,
        "POST /v1/load",
        &request_fields(&new_id(), 3000),
        "INSERT 1",
    );
    sleep(ms(300));
    drop(stream);
    assert!(
        !started(&crowded.makes_room()),
        "sent on after its client had gone"
    );
}

/// The engine's machine takes a part of a long start in, and the rest only after the answer.
#[test]
fn the_rest_of_a_long_start_does_not_come_after_the_answer() {
    let slow = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    slow.set_recv_buffer_size(2048).unwrap();
    slow.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
        .unwrap();
    slow.listen(16).unwrap();
    let slow: TcpListener = slow.into();
    let service = service(&[slow.local_addr().unwrap()], |_| {});
    // A first batch shows that the engine is quick, so that one with little time is sent, too.
    let quick = spawn(move || {
        let stream = accepted(&slow);
        read_message(&mut std::io::BufReader::new(stream.try_clone().unwrap())).expect("a start");
        (&stream)
            .write_all(http("200 OK", "Result-Pages: 1\r\n", ROWS).as_bytes())
            .unwrap();
        slow
    });
    assert!(service.query("report", "SELECT 1").succeeded());
    let slow = quick.join().unwrap();
    let statement = format!("SELECT 1 /* {} */", "x".repeat(200_000));
    let answer = service.query_with_id(&new_id(), "report", 230, &statement);
    assert!(!answer.succeeded());
    let stream = accepted(&slow);
    let came = read_for(stream, ms(600));
    assert!(
        came.len() < statement.len(),
        "it came whole after its answer, {} bytes",
        came.len()
    );
}

/// A body that goes on as it comes: its client sends the rest just after its time.
#[test]
fn the_rest_of_a_body_that_comes_slowly_is_not_sent_after_the_answer() {
    let engine = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = engine.local_addr().unwrap();
    let plan = write_config(&json!({})).with_extension("plan");
    std::fs::write(
        &plan,
        "bodies store {\n  memory 8MiB\n  batch-memory 2MiB\n  batch 4MiB\n}\n",
    )
    .unwrap();
    let service = Service::with_launcher(
        |config| {
            config["known"]["results"] =
                json!([list_event(0, true, &[endpoint("s-0", at, "SERVING")])]);
            config["settings"]["allowed"]["may-probe"] = json!(false);
        },
        |config| {
            let plan = plan.to_str().unwrap();
            gateway_command(&["serve", "--plan", plan])
                .env("PROXY_CONFIG", write_config(config))
                .spawn()
                .unwrap()
        },
    );
    let body = vec![b'x'; 400_000];
    let mut stream = service.open();
    let head = format!(
        "POST /v1/report HTTP/1.1\r\nHost: g\r\n{}Content-Length: {}\r\n\r\n",
        request_fields(&new_id(), 800),
        body.len()
    );
    let (first, rest) = body.split_at(350_000);
    stream
        .write_all(head.as_bytes())
        .and_then(|()| stream.write_all(first))
        .unwrap();
    let arrived = accepted(&engine);
    let reading = spawn(move || read_for(arrived, ms(1500)));
    sleep(ms(830));
    // The connection may be closed by then.
    let _ = stream.write_all(rest);
    let came = reading.join().unwrap();
    assert!(started(&came), "it was begun");
    assert!(
        came.len() < body.len(),
        "it came whole after its answer, {} bytes",
        came.len()
    );
}

/// The deadline that an engine was told, in milliseconds.
fn told_deadline(came: &[u8]) -> u64 {
    let text = String::from_utf8_lossy(came).to_ascii_lowercase();
    let told = text
        .lines()
        .find_map(|line| line.strip_prefix("x-patience:"))
        .expect("a deadline");
    told.trim().parse().unwrap()
}

/// Protocol's slack of a deadline that is passed on, with what a test's own clock is off.
const SLACK: u64 = 150;

/// The deadline passed on is what is left when the start leaves, not when its connection was begun.
#[test]
fn a_start_over_a_connection_that_comes_up_late_tells_what_is_left() {
    let crowded = Crowded::start();
    let service = service(&[crowded.address], |_| {});
    let reading = spawn(move || {
        sleep(ms(300));
        crowded.makes_room()
    });
    let _ = service.query_with_id(&new_id(), "report", 2500, "SELECT 1");
    let told = told_deadline(&reading.join().unwrap());
    // The machine asks for its connection again after one second.
    assert!(told <= 2500 - 1000 + SLACK, "told {told} ms");
}

/// A query that came while the gateway had no processor time has less left than one that was read at once.
#[test]
fn a_query_that_waited_for_its_gateway_to_run_passes_on_what_is_left() {
    for waited in [300, 700] {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let service = service(&[listener.local_addr().unwrap()], |_| {});
        let stream = service.open();
        service.wait_until_healthy();
        service.pause();
        send(
            &stream,
            "POST /v1/report",
            &request_fields(&new_id(), 2000),
            "SELECT 1",
        );
        sleep(ms(waited));
        service.signal("CONT");
        let told = told_deadline(&read_for(accepted(&listener), ms(300)));
        assert!(
            told <= 2000 - waited + SLACK,
            "told {told} ms after {waited}"
        );
    }
}

/// A query with next to nothing left is answered at once, and what it passes on is no more than that.
#[test]
fn a_query_with_one_millisecond_left_is_answered_at_once() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let service = service(&[listener.local_addr().unwrap()], |_| {});
    for group in ["report", "load"] {
        let began = Instant::now();
        let answer = service.query_with_id(&new_id(), group, 1, "SELECT 1");
        assert!(
            !answer.succeeded() && began.elapsed() < ms(200),
            "{answer:?} after {:?}",
            began.elapsed()
        );
    }
    listener.set_nonblocking(true).unwrap();
    if let Ok((stream, _)) = listener.accept() {
        let came = read_for(stream, ms(200));
        assert!(!started(&came) || told_deadline(&came) <= 1 + SLACK);
    }
}
