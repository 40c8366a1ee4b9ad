//! Clients that send at full speed what takes the gateway time or memory to read. The gateway stays within its memory
//! limit, and other clients are answered in time.

mod helper;

use helper::process::{ms, FakeEngineProcess};
use helper::*;
use serde_json::json;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{sleep, spawn, JoinHandle};
use std::time::{Duration, Instant};

/// The lowest memory limit of a deployment, in MiB.
const MEMORY_MB: usize = 32;
const SOCKETS: usize = 1024;
/// Length of a statement just below the longest that is read whole, in bytes.
const LONG_STATEMENT_BYTES: usize = 262_000;

fn start_test_bed(engine: &FakeEngineProcess, longest_deadline_ms: f64) -> TestBed {
    start_test_bed_at(engine.address, longest_deadline_ms)
}

fn start_test_bed_at(engine: SocketAddr, longest_deadline_ms: f64) -> TestBed {
    TestBed::start_with(move |config| {
        config["known"]["results"] =
            json!([full_list_event(0, &[endpoint("s-0", engine, "SERVING")])]);
        config["settings"]["allowed"]["may-probe"] = json!(false);
        config["settings"]["categories"] =
            json!([query_class("report", "retryable", longest_deadline_ms)]);
        config["limits"] = json!({"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS});
    })
}

/// Returns the gateway's peak resident memory in KiB.
fn peak_memory_kb(test_bed: &TestBed) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{}/status", test_bed.child.id())).unwrap();
    let peak = status.lines().find(|l| l.starts_with("VmHWM:")).unwrap();
    peak.split_whitespace().nth(1).unwrap().parse().unwrap()
}

fn assert_within_memory_limit(test_bed: &TestBed) {
    let (peak, limit) = (peak_memory_kb(test_bed), MEMORY_MB * 1024);
    assert!(peak < limit, "{peak} kB of memory used, of {limit}");
}

/// Returns a statement of about [`LONG_STATEMENT_BYTES`] that repeats `piece`.
fn long_statement(piece: &str) -> String {
    let pieces = piece.repeat(LONG_STATEMENT_BYTES / piece.len());
    format!("SELECT {pieces}")
}

/// Opens a query that the engine runs for `run_time_ms`.
fn open_query(test_bed: &TestBed, id: &str, run_time_ms: u32) -> JoinHandle<Option<Message>> {
    let stream = test_bed.open();
    let headers = request_headers(id, run_time_ms + 2000);
    let statement = format!("SELECT 1 /* runs {run_time_ms} */");
    spawn(move || round_trip(stream, "POST /v1/report", &headers, &statement))
}

/// Guards against the fault of review case 10: the tokens of a statement took a hundred times its length in memory,
/// beside the budget for statements.
#[test]
fn statements_of_many_tokens_stay_within_the_memory_limit() {
    const CLIENTS: usize = 100;
    let engine = FakeEngineProcess::start();
    for piece in ["a,", "(", "a.b ", "\"\" ", "é,"] {
        let test_bed = start_test_bed(&engine, 8000.0);
        let id = new_id();
        let open = open_query(&test_bed, &id, 2000);
        wait_until("the query is open", || {
            engine.attempts().iter().any(|attempt| attempt.id == id)
        });
        let statement = Arc::new(long_statement(piece));
        let clients: Vec<_> = (0..CLIENTS)
            .map(|_| {
                let (stream, statement) = (test_bed.open(), statement.clone());
                let headers = request_headers(&id, 4000);
                spawn(move || round_trip(stream, "POST /v1/report", &headers, &statement))
            })
            .collect();
        for client in clients {
            let answer = Answer::of(client.join().unwrap().expect("an answer"));
            assert!(!answer.succeeded(), "{answer:?}");
        }
        assert_within_memory_limit(&test_bed);
        let answer = Answer::of(open.join().unwrap().expect("an answer"));
        assert!(answer.succeeded(), "the open query: {answer:?}");
    }
}

/// Clients that send the same request again and again, each on a new connection, until dropped.
struct Flood {
    stopped: Arc<AtomicBool>,
    clients: Vec<JoinHandle<()>>,
}

impl Flood {
    /// Starts clients that each send what `request` returns.
    fn start(
        test_bed: &TestBed,
        clients: usize,
        request: impl Fn() -> (String, String) + Clone + Send + 'static,
    ) -> Flood {
        let stopped = Arc::new(AtomicBool::new(false));
        let address = test_bed.address;
        let client = |_| {
            let (stopped, request) = (stopped.clone(), request.clone());
            spawn(move || {
                while !stopped.load(Ordering::Relaxed) {
                    let (headers, statement) = request();
                    if let Ok(stream) = TcpStream::connect(address) {
                        round_trip(stream, "POST /v1/report", &headers, &statement);
                    }
                }
            })
        };
        Flood {
            clients: (0..clients).map(client).collect(),
            stopped,
        }
    }

    fn stop(self) {
        self.stopped.store(true, Ordering::Relaxed);
        for client in self.clients {
            client.join().unwrap();
        }
    }
}

/// Sends `count` queries, one each 50 ms, and asserts that each is served within `limit`.
fn assert_queries_are_served(test_bed: &TestBed, count: usize, limit: Duration) {
    let queries: Vec<_> = (0..count)
        .map(|_| {
            sleep(ms(50));
            let address = test_bed.address;
            spawn(move || {
                let started_at = Instant::now();
                let stream = TcpStream::connect(address).unwrap();
                let headers = request_headers(&new_id(), 1500);
                let statement = "SELECT price FROM sales_3.lots /* runs 100 */";
                let answer = round_trip(stream, "POST /v1/report", &headers, statement);
                (answer.map(Answer::of), started_at.elapsed())
            })
        })
        .collect();
    let answers = queries.into_iter().map(|query| query.join().unwrap());
    for (number, (answer, duration)) in answers.enumerate() {
        let is_served = answer.as_ref().is_some_and(Answer::succeeded);
        assert!(
            is_served && duration < limit,
            "query {number}: {answer:?} after {duration:?}"
        );
    }
}

/// Guards against the fault of review case 6: each statement under the id of an open query was searched for its data set
/// in the thread that serves all requests, 40 ms for one, and usual queries got no answer in time.
#[test]
fn long_statements_under_the_id_of_an_open_query_delay_no_other_client() {
    let engine = FakeEngineProcess::start();
    let test_bed = start_test_bed(&engine, 8000.0);
    let id = new_id();
    let open = open_query(&test_bed, &id, 4000);
    wait_until("the query is open", || engine.attempts().len() == 1);
    let statement = long_statement("a,");
    let flood = Flood::start(&test_bed, 60, move || {
        (request_headers(&id, 4000), statement.clone())
    });
    assert_queries_are_served(&test_bed, 30, ms(1000));
    flood.stop();
    assert!(Answer::of(open.join().unwrap().expect("an answer")).succeeded());
}

/// The same with a new id for each statement, so that each is searched.
#[test]
fn long_statements_under_new_ids_delay_no_other_client() {
    let engine = FakeEngineProcess::start();
    let test_bed = start_test_bed(&engine, 8000.0);
    let statement = long_statement("a,") + " /* runs 1000 */";
    let flood = Flood::start(&test_bed, 10, move || {
        (request_headers(&new_id(), 2000), statement.clone())
    });
    assert_queries_are_served(&test_bed, 30, ms(1000));
    flood.stop();
}

/// Opens connections that each write `request`, a part of one, until the gateway closes them.
fn hold_connections(test_bed: &TestBed, connections: usize, request: &str) -> Vec<TcpStream> {
    (0..connections)
        .filter_map(|_| {
            let stream = TcpStream::connect(test_bed.address).ok()?;
            // The gateway may have closed the connection already.
            let _ = (&stream).write_all(request.as_bytes());
            Some(stream)
        })
        .collect()
}

/// Returns a request head of `fields` fields beside those of a query, for a body of `length` bytes.
fn head_of_fields(fields: usize, value: &str, length: usize) -> String {
    let headers = request_headers(&new_id(), 4000);
    let fields: String = (0..fields).map(|n| format!("f{n}:{value}\r\n")).collect();
    format!(
        "POST /v1/report HTTP/1.1\r\nHost: g\r\n{headers}{fields}Content-Length: {length}\r\n\r\n"
    )
}

/// Hundreds of clients write slowly, stop half way or send many fields. Each held two read buffers of 16 kB, a copy of its
/// header map, and its task four times over.
#[test]
fn hundreds_of_partial_requests_stay_within_the_memory_limit() {
    const CONNECTIONS: usize = 380;
    let engine = FakeEngineProcess::start();
    let many_fields = head_of_fields(90, "", 262_000);
    let requests = [
        many_fields.trim_end().to_string(),
        head_of_fields(90, &"x".repeat(70), 9000) + &"x".repeat(8000),
        head_of_fields(90, &"x".repeat(150), 9000) + &"x".repeat(8000),
        many_fields + &"x".repeat(131_000),
    ];
    for request in requests {
        let test_bed = start_test_bed(&engine, 8000.0);
        let connections = hold_connections(&test_bed, CONNECTIONS, &request);
        assert_queries_are_served(&test_bed, 20, ms(1500));
        assert_within_memory_limit(&test_bed);
        drop(connections);
    }
}

/// Starts an engine whose results have 8 pages of short rows, which take nearly four times their length as JSON. Each
/// attempt takes 300 ms.
fn start_engine_of_large_results() -> SocketAddr {
    const PAGES: usize = 8;
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let page = "\t\t\n".repeat(2000);
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let page = page.clone();
            spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                while let Some(call) = read_message(&mut reader) {
                    let path = call.start_line.split(' ').nth(1).unwrap();
                    let number = path.rsplit('/').next().unwrap();
                    let headers = match (path, number) {
                        ("/c", _) | (_, "0") => format!("Result-Pages: {PAGES}\r\n"),
                        _ => format!("Result-Page: {number}\r\n"),
                    };
                    if path == "/c" {
                        sleep(ms(300));
                    }
                    let response = http_response("200 OK", &headers, &page);
                    if (&stream).write_all(response.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Large results end together, and their clients read late. An answer was several times as long as its pages, and nothing
/// counted it.
#[test]
fn large_results_that_end_together_stay_within_the_memory_limit() {
    const CLIENTS: usize = 200;
    let test_bed = start_test_bed_at(start_engine_of_large_results(), 8000.0);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let stream = test_bed.open();
            spawn(move || {
                let headers = request_headers(&new_id(), 6000);
                send_request(&stream, "POST /v1/report", &headers, "SELECT 1");
                sleep(ms(1500));
                read_message(&mut BufReader::new(stream)).map(Answer::of)
            })
        })
        .collect();
    let answers = clients
        .into_iter()
        .map(|client| client.join().unwrap().expect("an answer"));
    let served: Vec<_> = answers.filter(Answer::succeeded).collect();
    assert!(!served.is_empty());
    for answer in served {
        assert_eq!(answer.json["data"].as_array().map(Vec::len), Some(16_000));
    }
    assert_within_memory_limit(&test_bed);
}

/// A client that writes requests without waiting for their responses, on one connection, and reads what it is sent.
fn pipeline(
    test_bed: &TestBed,
    stopped: &Arc<AtomicBool>,
    request: impl Fn() -> String + Send + 'static,
) -> JoinHandle<()> {
    let (address, stopped) = (test_bed.address, stopped.clone());
    spawn(move || {
        while !stopped.load(Ordering::Relaxed) {
            let Ok(stream) = TcpStream::connect(address) else {
                continue;
            };
            let mut reader = stream.try_clone().unwrap();
            let reading = spawn(move || std::io::copy(&mut reader, &mut std::io::sink()));
            while !stopped.load(Ordering::Relaxed) {
                let requests: String = (0..50).map(|_| request()).collect();
                if (&stream).write_all(requests.as_bytes()).is_err() {
                    break;
                }
            }
            let _ = stream.shutdown(std::net::Shutdown::Both);
            let _ = reading.join().unwrap();
        }
    })
}

/// Small or unsound requests at full speed on a few connections, also under ever new ids, get no more than their turn of
/// the gateway's time.
#[test]
fn small_requests_at_full_speed_delay_no_other_client() {
    let engine = FakeEngineProcess::start();
    let requests: [fn() -> String; 5] = [
        || "GET /healthz HTTP/1.1\r\nHost: g\r\n\r\n".into(),
        || head_of_fields(0, "", 8).replace("report", "nowhere") + "SELECT 1",
        || head_of_fields(60, "", 0).replace("POST", "DELETE"),
        || head_of_fields(0, "", 8).replace("4000", "1") + "SELECT 1",
        || "\r\n".repeat(200) + &head_of_fields(0, "", 0).replace("X-Job-Id", "X-Job"),
    ];
    for request in requests {
        let test_bed = start_test_bed(&engine, 8000.0);
        let stopped = Arc::new(AtomicBool::new(false));
        let clients: Vec<_> = (0..4)
            .map(|_| pipeline(&test_bed, &stopped, request))
            .collect();
        sleep(ms(200));
        assert_queries_are_served(&test_bed, 20, ms(700));
        stopped.store(true, Ordering::Relaxed);
        clients
            .into_iter()
            .for_each(|client| client.join().unwrap());
        assert_within_memory_limit(&test_bed);
    }
}
