//! Long bodies over sockets. The gateway streams a body to the engine, stores it meanwhile, and sends it again complete
//! where the first attempt fails; a body that is not stored is not sent again. A fake engine counts the bytes of each
//! body and computes its checksum.

mod helper;

use helper::*;
use serde_json::json;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::Duration;

const KIB: usize = 1 << 10;
const MIB: usize = 1 << 20;

/// The body of one start as the engine received it; `sum` is its CRC-32.
#[derive(Clone, Debug, PartialEq)]
struct ReceivedBody {
    bytes: usize,
    sum: u32,
    is_complete: bool,
}

/// A fake engine that reads bodies of any length. A directive at the beginning of a body makes its first attempt fail:
/// `declines` rejects it, `fails` answers 500, `breaks` closes the connection halfway, and `early` rejects it before
/// the body is read.
#[derive(Clone)]
struct CountingEngine {
    address: SocketAddr,
    received: Arc<Mutex<Vec<ReceivedBody>>>,
    /// Ids of the attempts that were started at least once.
    started_ids: Arc<Mutex<HashMap<String, bool>>>,
}

impl CountingEngine {
    fn start() -> CountingEngine {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let engine = CountingEngine {
            address: listener.local_addr().unwrap(),
            received: Arc::default(),
            started_ids: Arc::default(),
        };
        let shared = engine.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = shared.clone();
                spawn(move || engine.serve(stream));
            }
        });
        engine
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        let mut reader = BufReader::with_capacity(256 * KIB, stream.try_clone().unwrap());
        loop {
            let (first, headers) = head(&mut reader)?;
            let answer = match first.starts_with("POST") {
                true => self.receive_start(&mut reader, &stream, &headers)?,
                false if first.contains("/stats") => {
                    http_response("200 OK", "X-Stats: queue:0;util:0.1\r\n", "")
                }
                false if first.starts_with("DELETE") => http_response("204 No Content", "", ""),
                false => http_response("500 Oops", "", ""),
            };
            (&stream).write_all(answer.as_bytes()).ok()?;
        }
    }

    /// Reads the body of a start to its end, or up to the point where its directive makes it fail. Returns the
    /// response, or `None` to end the connection.
    fn receive_start(
        &self,
        reader: &mut impl BufRead,
        stream: &TcpStream,
        headers: &HashMap<String, String>,
    ) -> Option<String> {
        let id = headers["x-trace"].clone();
        let content_length = headers
            .get("content-length")
            .and_then(|n| n.parse::<usize>().ok());
        let is_retry = self.started_ids.lock().unwrap().insert(id, true).is_some();
        let mut hasher = crc32fast::Hasher::new();
        let (mut bytes, mut beginning) = (0, String::new());
        let n = {
            let mut received = self.received.lock().unwrap();
            received.push(ReceivedBody {
                bytes: 0,
                sum: 0,
                is_complete: false,
            });
            received.len() - 1
        };
        let is_complete = read_body(reader, content_length, |piece| {
            hasher.update(piece);
            bytes += piece.len();
            if beginning.len() < 80 {
                beginning += &String::from_utf8_lossy(&piece[..piece.len().min(80)]);
            }
            let breaks = beginning.contains("/* breaks */")
                && !is_retry
                && bytes > content_length.unwrap_or(0) / 2;
            let early = beginning.contains("/* early */") && !is_retry;
            !breaks && !early
        });
        self.received.lock().unwrap()[n] = ReceivedBody {
            bytes,
            sum: hasher.finalize(),
            is_complete,
        };
        let has_directive = |word: &str| beginning.contains(&format!("/* {word} */"));
        if !is_complete && has_directive("early") {
            return Some(http_response("503 Full", "X-Declined: 1\r\n", ""));
        }
        if !is_complete {
            let _ = stream.shutdown(Shutdown::Both);
            return None;
        }
        Some(match is_retry {
            false if has_directive("declines") => {
                http_response("503 Full", "X-Declined: 1\r\n", "")
            }
            false if has_directive("fails") => http_response("500 Oops", "", ""),
            _ => http_response("200 OK", "Result-Pages: 1\r\nQuery-Cost: 12\r\n", ROWS),
        })
    }

    fn received(&self) -> Vec<ReceivedBody> {
        self.received.lock().unwrap().clone()
    }
}

/// Reads the start line and the header fields of a request.
fn head(reader: &mut impl BufRead) -> Option<(String, HashMap<String, String>)> {
    let mut line = || {
        let mut line = String::new();
        reader
            .read_line(&mut line)
            .ok()
            .filter(|n| *n > 0)
            .map(|_| line.trim_end().to_string())
    };
    let first = line()?;
    let mut headers = HashMap::new();
    while let Some((name, value)) = line()?.split_once(':') {
        headers.insert(name.to_ascii_lowercase(), value.trim().to_string());
    }
    Some((first, headers))
}

/// Reads a body of a given length, or in chunks, and passes its parts to `piece` until the body ends or `piece` returns
/// false. Returns whether the body was complete.
fn read_body(
    reader: &mut impl BufRead,
    content_length: Option<usize>,
    mut piece: impl FnMut(&[u8]) -> bool,
) -> bool {
    let mut read_piecewise = |reader: &mut dyn BufRead, mut left: usize| {
        while left > 0 {
            let Ok(bytes) = reader.fill_buf() else {
                return false;
            };
            let n = bytes.len().min(left);
            if n == 0 || !piece(&bytes[..n]) {
                return false;
            }
            reader.consume(n);
            left -= n;
        }
        true
    };
    if let Some(content_length) = content_length {
        return read_piecewise(reader, content_length);
    }
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).is_err() {
            return false;
        }
        let Ok(length) = usize::from_str_radix(line.trim(), 16) else {
            return false;
        };
        if !read_piecewise(reader, length) || reader.read_line(&mut String::new()).is_err() {
            return false;
        }
        if length == 0 {
            return true;
        }
    }
}

/// Returns a body of `size` bytes that begins with the directive `words`.
fn body(words: &str, size: usize) -> Vec<u8> {
    let begin = format!("INSERT INTO sales_17.orders /* {words} */ ");
    let mut out = begin.into_bytes();
    let from = out.len();
    out.extend((from..size).map(|n| b' ' + (n * 31 % 90) as u8));
    out
}

/// Returns the CRC-32 of a body.
fn checksum(bytes: &[u8]) -> u32 {
    crc32fast::hash(bytes)
}

/// A gateway whose plan stores bodies, a counting engine, and the file with the gateway's log.
struct BodyStorageGateway {
    test_bed: TestBed,
    engine: CountingEngine,
    log: PathBuf,
}

impl BodyStorageGateway {
    /// Starts the gateway. `bodies` holds the entries of the plan's block, in which FOLDER stands for a new directory;
    /// `before` is a shell command that runs before the gateway.
    fn start(bodies: &str, before: &str) -> BodyStorageGateway {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!(
            "bodies-{}-{}",
            std::process::id(),
            new_id()
        ));
        std::fs::create_dir_all(&folder).unwrap();
        let (plan, log) = (folder.join("a.plan"), folder.join("log"));
        let entries = bodies.replace("FOLDER", folder.to_str().unwrap());
        std::fs::write(&plan, format!("bodies store {{\n{entries}\n}}\n")).unwrap();
        let engine = CountingEngine::start();
        let at = engine.address;
        let test_bed = TestBed::start_with_launcher(
            |config| {
                config["known"]["results"][0]["fleet"]["servers"][0]["addr"] =
                    json!(at.to_string());
                config["limits"]["memory_mb"] = json!(64);
                for n in 0..2 {
                    config["settings"]["categories"][n]["give-up"] = json!(60_000.0);
                    config["settings"]["categories"][n]["goal-time"] = json!(50_000.0);
                }
            },
            |config| {
                let gateway = env!("CARGO_BIN_EXE_garnetwall");
                let run = format!("{before} exec {gateway} serve --plan {}", plan.display());
                let mut command = Command::new("sh");
                command
                    .args(["-c", &run])
                    .env("PROXY_CONFIG", write_config(config));
                command
                    .stderr(std::fs::File::create(&log).unwrap())
                    .spawn()
                    .unwrap()
            },
        );
        BodyStorageGateway {
            test_bed,
            engine,
            log,
        }
    }

    /// Sends a query with this body and returns the answer.
    fn send(&self, class: &str, body: &[u8]) -> Answer {
        let stream = self.test_bed.open();
        let headers = request_headers(&new_id(), 60_000);
        let head = format!(
            "POST /v1/{class} HTTP/1.1\r\nHost: g\r\n{headers}Content-Length: {}\r\n\r\n",
            body.len()
        );
        let mut out = stream.try_clone().unwrap();
        // The answer may arrive before the whole body is sent; the gateway does not read the rest then.
        let sent = out
            .write_all(head.as_bytes())
            .and_then(|()| out.write_all(body));
        let answer = read_message(&mut BufReader::new(stream));
        Answer::of(answer.unwrap_or_else(|| panic!("no answer; result of sending: {sent:?}")))
    }

    /// Returns the gateway's peak resident memory in MiB.
    fn peak_memory_mib(&self) -> usize {
        let status =
            std::fs::read_to_string(format!("/proc/{}/status", self.test_bed.child.id())).unwrap();
        let line = status.lines().find(|l| l.starts_with("VmHWM:")).unwrap();
        line.split_whitespace()
            .nth(1)
            .unwrap()
            .parse::<usize>()
            .unwrap()
            / KIB
    }
}

/// Body storage in memory and in files, up to 220 MiB for each body.
const FILES: &str = "  memory 8MiB\n  batch-memory 2MiB\n  files 1GiB\n  directory \"FOLDER\"\n  batch 220MiB\n  unknown-length";

/// The pieces of a streamed body are joined, so that none of them holds a read buffer of 8 kB.
#[test]
fn bodies_in_small_pieces_stay_within_the_memory_limit() {
    const CLIENTS: usize = 20;
    const PIECE_BYTES: usize = 100;
    let gateway = BodyStorageGateway::start(FILES, "");
    let body = body("", 300 * KIB);
    std::thread::scope(|scope| {
        for _ in 0..CLIENTS {
            let (stream, body) = (gateway.test_bed.open(), &body);
            scope.spawn(move || {
                stream.set_nodelay(true).unwrap();
                let headers = request_headers(&new_id(), 60_000);
                let length = body.len();
                let head = format!("POST /v1/report HTTP/1.1\r\nHost: g\r\n{headers}Content-Length: {length}\r\n\r\n");
                (&stream).write_all(head.as_bytes()).unwrap();
                for piece in body.chunks(PIECE_BYTES) {
                    (&stream).write_all(piece).unwrap();
                }
                let answer = read_message(&mut BufReader::new(&stream)).expect("an answer");
                assert!(Answer::of(answer).succeeded());
            });
        }
    });
    let peak = gateway.peak_memory_mib();
    assert!(
        peak < 64,
        "peak memory of {peak} MiB, expected less than 64"
    );
    println!("peak memory of {peak} MiB");
}

/// The first attempt of each query fails. The retry gets the same bytes, from memory or from files.
#[test]
fn bodies_of_every_size_are_retried_complete() {
    let gateway = BodyStorageGateway::start(FILES, "");
    for size in [KIB, 300 * KIB, MIB, 20 * MIB, 200 * MIB] {
        for directive in ["declines", "fails"] {
            let before = gateway.engine.received().len();
            let body = body(directive, size);
            let answer = gateway.send("report", &body);
            assert!(answer.succeeded(), "{size} {directive}: {answer:?}");
            let wanted = ReceivedBody {
                bytes: size,
                sum: checksum(&body),
                is_complete: true,
            };
            assert_eq!(
                gateway.engine.received()[before..],
                [wanted.clone(), wanted],
                "{size} {directive}"
            );
        }
    }
    let peak = gateway.peak_memory_mib();
    assert!(
        peak < 64,
        "peak memory of {peak} MiB, expected less than 64"
    );
    println!("peak memory of {peak} MiB");
    gateway.test_bed.signal("TERM");
    wait_until("the counts of stored bodies are logged", || {
        std::fs::read_to_string(&gateway.log)
            .unwrap()
            .contains("storage=File bodies=4 retry_reads=4 missing=0")
    });
    let log = std::fs::read_to_string(&gateway.log).unwrap();
    assert!(
        log.contains("class=\"report\" storage=Memory bodies=4 retry_reads=4 missing=0"),
        "the log lacks the counts of bodies in memory: {log}"
    );
}

/// The connection to the engine breaks within the body, so nothing has run. A stored body is sent again. The body of a
/// non-idempotent query is no longer stored once its first bytes have been sent, and the query is rejected.
#[test]
fn attempt_whose_connection_breaks_within_the_body_never_ran() {
    let gateway = BodyStorageGateway::start(FILES, "");
    let long = body("breaks", 100 * MIB);
    let answer = gateway.send("report", &long);
    assert!(answer.succeeded(), "expected rows: {answer:?}");
    let received = gateway.engine.received();
    assert!(
        !received[0].is_complete && received[0].bytes >= 50 * MIB,
        "expected an incomplete first body of at least 50 MiB: {received:?}"
    );
    assert_eq!(
        received[1],
        ReceivedBody {
            bytes: 100 * MIB,
            sum: checksum(&long),
            is_complete: true
        }
    );
    let answer = gateway.send("load", &long);
    assert_eq!(
        (answer.status, gateway.engine.received().len()),
        (503, 3),
        "a query that never ran and whose body is not stored should be rejected: {answer:?}"
    );
    let answer = gateway.send("load", &body("fails", MIB));
    assert_eq!(
        (answer.status, gateway.engine.received().len()),
        (500, 4),
        "a query that may have run should be answered as failed"
    );
    assert!(gateway.send("load", &body("works", MIB)).succeeded());
}

/// The engine answers before it has read the body.
#[test]
fn response_sent_before_the_body_is_read_is_accepted() {
    let gateway = BodyStorageGateway::start(FILES, "");
    let long = body("early", 30 * MIB);
    let answer = gateway.send("report", &long);
    assert!(answer.succeeded(), "expected rows: {answer:?}");
    let received = gateway.engine.received();
    assert_eq!(
        (received.len(), received[0].is_complete, received[1].sum),
        (2, false, checksum(&long))
    );
}

/// Without files, a body that is too long for memory is streamed once.
#[test]
fn body_that_is_not_stored_is_not_retried() {
    let gateway =
        BodyStorageGateway::start("  memory 1MiB\n  batch-memory 512KiB\n  batch 100MiB", "");
    let long = body("works", 50 * MIB);
    assert!(gateway.send("report", &long).succeeded());
    assert_eq!(
        gateway.engine.received(),
        [ReceivedBody {
            bytes: 50 * MIB,
            sum: checksum(&long),
            is_complete: true
        }]
    );
    let answer = gateway.send("report", &body("declines", 5 * MIB));
    assert_eq!(
        (answer.status, gateway.engine.received().len()),
        (503, 2),
        "a query that never ran should be rejected: {answer:?}"
    );
    assert_eq!(
        gateway.send("report", &body("works", 101 * MIB)).status,
        413
    );
    assert!(
        gateway.peak_memory_mib() < 40,
        "peak memory of {} MiB",
        gateway.peak_memory_mib()
    );
    let stored = gateway.send("report", &body("declines", 400 * KIB));
    assert!(
        stored.succeeded(),
        "a body that fits in memory should be sent again: {stored:?}"
    );
}

/// A limit on the size of the process's files makes the disk full within a body.
#[test]
fn full_disk_prevents_the_retry_and_never_loses_the_body() {
    let gateway = BodyStorageGateway::start(FILES, "trap '' XFSZ; ulimit -f 8192;");
    let long = body("works", 40 * MIB);
    let answer = gateway.send("report", &long);
    assert!(answer.succeeded(), "expected rows: {answer:?}");
    assert_eq!(
        gateway.engine.received(),
        [ReceivedBody {
            bytes: 40 * MIB,
            sum: checksum(&long),
            is_complete: true
        }]
    );
    let answer = gateway.send("report", &body("declines", 40 * MIB));
    assert_eq!(
        (answer.status, gateway.engine.received().len()),
        (503, 2),
        "status and number of attempts, with a full disk: {answer:?}"
    );
    assert!(
        gateway
            .send("report", &body("declines", 3 * MIB))
            .succeeded(),
        "a body that fits on the disk should be sent again"
    );
}

#[test]
fn client_that_stops_within_its_body_forwards_no_complete_body() {
    let gateway = BodyStorageGateway::start(FILES, "");
    for size in [600 * KIB, 5 * MIB] {
        let before = gateway.engine.received().len();
        let stream = gateway.test_bed.open();
        let headers = request_headers(&new_id(), 60_000);
        let head = format!(
            "POST /v1/load HTTP/1.1\r\nHost: g\r\n{headers}Content-Length: {}\r\n\r\n",
            2 * size
        );
        (&stream).write_all(head.as_bytes()).unwrap();
        (&stream).write_all(&body("works", size)).unwrap();
        wait_until("the start", || gateway.engine.received().len() > before);
        stream.shutdown(Shutdown::Write).unwrap();
        let mut rest = Vec::new();
        let _ = (&stream).read_to_end(&mut rest);
        sleep(Duration::from_millis(100));
        assert!(
            gateway.engine.received()[before..]
                .iter()
                .all(|c| !c.is_complete),
            "the engine received a complete body: {:?}",
            gateway.engine.received()
        );
    }
    assert!(
        gateway.send("load", &body("works", MIB)).succeeded(),
        "the next query should succeed"
    );
}

/// A client disconnects within its body. The connection to the engine is closed at once, not at the deadline.
#[test]
fn client_disconnect_frees_the_engine_at_once() {
    let gateway = BodyStorageGateway::start(FILES, "");
    let stream = gateway.test_bed.open();
    let headers = request_headers(&new_id(), 60_000);
    let head = format!(
        "POST /v1/report HTTP/1.1\r\nHost: g\r\n{headers}Content-Length: {}\r\n\r\n",
        9 * MIB
    );
    (&stream).write_all(head.as_bytes()).unwrap();
    (&stream).write_all(&body("works", 3 * MIB)).unwrap();
    wait_until("the start", || gateway.engine.received().len() == 1);
    sleep(Duration::from_millis(200));
    assert_eq!(
        gateway.engine.received()[0].bytes,
        0,
        "the engine should still be receiving the body"
    );
    drop(stream);
    // The fake engine records the body when its connection ends.
    wait_until("the body's end", || gateway.engine.received()[0].bytes > 0);
    assert!(!gateway.engine.received()[0].is_complete);
}

#[test]
fn body_of_unknown_length_is_accepted_where_the_plan_allows_it() {
    let gateway = BodyStorageGateway::start(FILES, "");
    let without_unknown_length = BodyStorageGateway::start("  memory 8MiB", "");
    for size in [10, 100 * KIB, 5 * MIB] {
        let body = body("declines", size);
        let text = format!(
            "POST /v1/report HTTP/1.1\r\nHost: g\r\n{}Transfer-Encoding: chunked\r\n\r\n",
            request_headers(&new_id(), 9000)
        );
        for (to, allowed) in [(&gateway, true), (&without_unknown_length, false)] {
            let before = to.engine.received().len();
            let stream = to.test_bed.open();
            let mut out = stream.try_clone().unwrap();
            let sent = out.write_all(text.as_bytes()).and_then(|()| {
                body.chunks(30_000).try_for_each(|chunk| {
                    out.write_all(format!("{:x}\r\n", chunk.len()).as_bytes())?;
                    out.write_all(chunk)?;
                    out.write_all(b"\r\n")
                })?;
                out.write_all(b"0\r\n\r\n")
            });
            let answer = read_message(&mut BufReader::new(stream)).map(Answer::of);
            let answer = answer.unwrap_or_else(|| panic!("no answer; result of sending: {sent:?}"));
            match allowed {
                true => {
                    let wanted = ReceivedBody {
                        bytes: body.len(),
                        sum: checksum(&body),
                        is_complete: true,
                    };
                    assert!(answer.succeeded(), "{size}: {answer:?}");
                    assert_eq!(to.engine.received()[before..], [wanted.clone(), wanted]);
                }
                false => assert_eq!((answer.status, to.engine.received().len()), (411, before)),
            }
        }
    }
}

/// Many bodies at once reach the limit of every budget. Each query is answered, each one that succeeds had a complete
/// body, and memory stays bounded.
#[test]
fn many_concurrent_bodies_stay_within_the_budgets() {
    let gateway = BodyStorageGateway::start(
        "  memory 8MiB\n  batch-memory 512KiB\n  files 24MiB\n  directory \"FOLDER\"\n  batch 2MiB\n  must-keep report",
        "",
    );
    let count =
        |wanted: u16, answers: &[u16]| answers.iter().filter(|status| **status == wanted).count();
    let mut answers = Vec::new();
    for round in 0..10usize {
        let statuses: Vec<u16> = std::thread::scope(|scope| {
            let send = |n: usize| {
                let class = if n.is_multiple_of(2) {
                    "report"
                } else {
                    "load"
                };
                let size = 300 * KIB + (n * 7919 + round * 104_729) % (900 * KIB);
                gateway.send(class, &body("works", size)).status
            };
            let threads: Vec<_> = (0..80).map(|n| scope.spawn(move || send(n))).collect();
            threads.into_iter().map(|t| t.join().unwrap()).collect()
        });
        answers.extend(statuses);
    }
    let (succeeded, rejected) = (count(200, &answers), count(503, &answers));
    assert_eq!(
        succeeded + rejected,
        answers.len(),
        "expected 200 or 503 for each query: {answers:?}"
    );
    let complete = gateway
        .engine
        .received()
        .iter()
        .filter(|c| c.is_complete)
        .count();
    assert!(
        succeeded > 100 && complete == succeeded,
        "{succeeded} succeeded, {complete} complete"
    );
    assert!(
        gateway.peak_memory_mib() < 64,
        "peak memory of {} MiB",
        gateway.peak_memory_mib()
    );
    println!(
        "of {} bodies {succeeded} succeeded, {rejected} were rejected, peak memory of {} MiB",
        answers.len(),
        gateway.peak_memory_mib()
    );
}
