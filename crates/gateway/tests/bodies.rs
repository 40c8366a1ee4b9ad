//! Long bodies over sockets: they go on while they come in, are kept as they pass, and go again whole where the first
//! dispatch fails; what is not kept is not sent again. A stand-in engine counts bytes and sums each body up.

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

/// One start as it came to the engine.
#[derive(Clone, Debug, PartialEq)]
struct Came {
    bytes: usize,
    sum: u32,
    whole: bool,
}

/// An engine that reads bodies of any length. The first words of a body say how its first start fails.
#[derive(Clone)]
struct Sink {
    address: SocketAddr,
    came: Arc<Mutex<Vec<Came>>>,
    over: Arc<Mutex<HashMap<String, bool>>>,
}

impl Sink {
    fn start() -> Sink {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let sink = Sink {
            address: listener.local_addr().unwrap(),
            came: Arc::default(),
            over: Arc::default(),
        };
        let shared = sink.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let sink = shared.clone();
                spawn(move || sink.serve(stream));
            }
        });
        sink
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        let mut reader = BufReader::with_capacity(256 * KIB, stream.try_clone().unwrap());
        loop {
            let (first, fields) = head(&mut reader)?;
            let answer = match first.starts_with("POST") {
                true => self.post(&mut reader, &stream, &fields)?,
                false if first.contains("/stats") => {
                    http("200 OK", "X-Stats: queue:0;util:0.1\r\n", "")
                }
                false if first.starts_with("DELETE") => http("204 No Content", "", ""),
                false => http("500 Oops", "", ""),
            };
            (&stream).write_all(answer.as_bytes()).ok()?;
        }
    }

    /// Reads a body to its end, or as far as the way it fails lets it come.
    fn post(
        &self,
        reader: &mut impl BufRead,
        stream: &TcpStream,
        fields: &HashMap<String, String>,
    ) -> Option<String> {
        let id = fields["x-trace"].clone();
        let told = fields
            .get("content-length")
            .and_then(|n| n.parse::<usize>().ok());
        let again = self.over.lock().unwrap().insert(id, true).is_some();
        let mut sum = crc32fast::Hasher::new();
        let (mut bytes, mut how) = (0, String::new());
        let n = {
            let mut came = self.came.lock().unwrap();
            came.push(Came {
                bytes: 0,
                sum: 0,
                whole: false,
            });
            came.len() - 1
        };
        let whole = read_body(reader, told, |part| {
            sum.update(part);
            bytes += part.len();
            if how.len() < 80 {
                how += &String::from_utf8_lossy(&part[..part.len().min(80)]);
            }
            let breaks = how.contains("/* breaks */") && !again && bytes > told.unwrap_or(0) / 2;
            let early = how.contains("/* early */") && !again;
            !breaks && !early
        });
        self.came.lock().unwrap()[n] = Came {
            bytes,
            sum: sum.finalize(),
            whole,
        };
        let asks = |word: &str| how.contains(&format!("/* {word} */"));
        if !whole && asks("early") {
            return Some(http("503 Full", "X-Declined: 1\r\n", ""));
        }
        if !whole {
            let _ = stream.shutdown(Shutdown::Both);
            return None;
        }
        Some(match again {
            false if asks("declines") => http("503 Full", "X-Declined: 1\r\n", ""),
            false if asks("fails") => http("500 Oops", "", ""),
            _ => http("200 OK", "Result-Pages: 1\r\nQuery-Cost: 12\r\n", ROWS),
        })
    }

    fn came(&self) -> Vec<Came> {
        self.came.lock().unwrap().clone()
    }
}

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
    let mut fields = HashMap::new();
    while let Some((name, value)) = line()?.split_once(':') {
        fields.insert(name.to_ascii_lowercase(), value.trim().to_string());
    }
    Some((first, fields))
}

/// Reads a body of a told length, or in chunks, until it ends or `part` wants no more; whether it came whole.
fn read_body(
    reader: &mut impl BufRead,
    told: Option<usize>,
    mut part: impl FnMut(&[u8]) -> bool,
) -> bool {
    let mut some = |reader: &mut dyn BufRead, mut left: usize| {
        while left > 0 {
            let Ok(bytes) = reader.fill_buf() else {
                return false;
            };
            let n = bytes.len().min(left);
            if n == 0 || !part(&bytes[..n]) {
                return false;
            }
            reader.consume(n);
            left -= n;
        }
        true
    };
    if let Some(told) = told {
        return some(reader, told);
    }
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).is_err() {
            return false;
        }
        let Ok(length) = usize::from_str_radix(line.trim(), 16) else {
            return false;
        };
        if !some(reader, length) || reader.read_line(&mut String::new()).is_err() {
            return false;
        }
        if length == 0 {
            return true;
        }
    }
}

/// A body of a size that begins with words.
fn body(words: &str, size: usize) -> Vec<u8> {
    let begin = format!("INSERT INTO sales_17.orders /* {words} */ ");
    let mut out = begin.into_bytes();
    let from = out.len();
    out.extend((from..size).map(|n| b' ' + (n * 31 % 90) as u8));
    out
}

fn sum(bytes: &[u8]) -> u32 {
    crc32fast::hash(bytes)
}

/// A gateway with a store of bodies.
struct Storing {
    service: Service,
    sink: Sink,
    log: PathBuf,
}

impl Storing {
    /// `bodies` are the entries of the block; `before` is what a shell does before it starts the gateway.
    fn start(bodies: &str, before: &str) -> Storing {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!(
            "bodies-{}-{}",
            std::process::id(),
            new_id()
        ));
        std::fs::create_dir_all(&folder).unwrap();
        let (plan, log) = (folder.join("a.plan"), folder.join("log"));
        let entries = bodies.replace("FOLDER", folder.to_str().unwrap());
        std::fs::write(&plan, format!("bodies store {{\n{entries}\n}}\n")).unwrap();
        let sink = Sink::start();
        let at = sink.address;
        let service = Service::with_launcher(
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
        Storing { service, sink, log }
    }

    fn sends(&self, group: &str, body: &[u8]) -> Answer {
        let stream = self.service.open();
        let fields = request_fields(&new_id(), 60_000);
        let head = format!(
            "POST /v1/{group} HTTP/1.1\r\nHost: g\r\n{fields}Content-Length: {}\r\n\r\n",
            body.len()
        );
        let mut out = stream.try_clone().unwrap();
        // An answer may come before all is sent; then nobody reads on.
        let sent = out
            .write_all(head.as_bytes())
            .and_then(|()| out.write_all(body));
        let answer = read_message(&mut BufReader::new(stream));
        Answer::of(answer.unwrap_or_else(|| panic!("an answer; sent: {sent:?}")))
    }

    /// The most memory that the gateway has had, in MiB.
    fn peak(&self) -> usize {
        let status =
            std::fs::read_to_string(format!("/proc/{}/status", self.service.child.id())).unwrap();
        let line = status.lines().find(|l| l.starts_with("VmHWM:")).unwrap();
        line.split_whitespace()
            .nth(1)
            .unwrap()
            .parse::<usize>()
            .unwrap()
            / KIB
    }
}

const FILES: &str = "  memory 8MiB\n  batch-memory 2MiB\n  files 1GiB\n  directory \"FOLDER\"\n  batch 220MiB\n  unknown-length";

/// The first dispatch of each is declined: the second gets the same bytes, from memory and from files.
#[test]
fn bodies_of_every_size_go_again_whole() {
    let s = Storing::start(FILES, "");
    for size in [KIB, 300 * KIB, MIB, 20 * MIB, 200 * MIB] {
        for how in ["declines", "fails"] {
            let before = s.sink.came().len();
            let body = body(how, size);
            let answer = s.sends("report", &body);
            assert!(answer.succeeded(), "{size} {how}: {answer:?}");
            let wanted = Came {
                bytes: size,
                sum: sum(&body),
                whole: true,
            };
            assert_eq!(
                s.sink.came()[before..],
                [wanted.clone(), wanted],
                "{size} {how}"
            );
        }
    }
    let peak = s.peak();
    assert!(peak < 64, "{peak} MiB at the most, of 64");
    println!("{peak} MiB at the most");
    s.service.signal("TERM");
    wait_until("the counts", || {
        std::fs::read_to_string(&s.log)
            .unwrap()
            .contains("storage=File bodies=4 retry_reads=4 missing=0")
    });
    let log = std::fs::read_to_string(&s.log).unwrap();
    assert!(
        log.contains("class=\"report\" storage=Memory bodies=4 retry_reads=4 missing=0"),
        "{log}"
    );
}

/// The connection breaks in the middle of the body: nothing ran. What is kept goes again; a once-only body was let go
/// with its first bytes and is pushed back.
#[test]
fn a_dispatch_that_breaks_in_the_middle_of_its_body_never_ran() {
    let s = Storing::start(FILES, "");
    let long = body("breaks", 100 * MIB);
    let answer = s.sends("report", &long);
    assert!(answer.succeeded(), "{answer:?}");
    let came = s.sink.came();
    assert!(!came[0].whole && came[0].bytes >= 50 * MIB, "{came:?}");
    assert_eq!(
        came[1],
        Came {
            bytes: 100 * MIB,
            sum: sum(&long),
            whole: true
        }
    );
    let answer = s.sends("load", &long);
    assert_eq!(
        (answer.status, s.sink.came().len()),
        (503, 3),
        "it never ran, and is not there any more: {answer:?}"
    );
    let answer = s.sends("load", &body("fails", MIB));
    assert_eq!(
        (answer.status, s.sink.came().len()),
        (500, 4),
        "it may have run"
    );
    assert!(s.sends("load", &body("works", MIB)).succeeded());
}

/// An engine that answers before it has read the body.
#[test]
fn an_answer_before_the_body_is_read_counts() {
    let s = Storing::start(FILES, "");
    let long = body("early", 30 * MIB);
    let answer = s.sends("report", &long);
    assert!(answer.succeeded(), "{answer:?}");
    let came = s.sink.came();
    assert_eq!(
        (came.len(), came[0].whole, came[1].sum),
        (2, false, sum(&long))
    );
}

/// Without files, and too long for memory: it passes through once.
#[test]
fn what_is_not_kept_is_not_sent_again() {
    let s = Storing::start("  memory 1MiB\n  batch-memory 512KiB\n  batch 100MiB", "");
    let long = body("works", 50 * MIB);
    assert!(s.sends("report", &long).succeeded());
    assert_eq!(
        s.sink.came(),
        [Came {
            bytes: 50 * MIB,
            sum: sum(&long),
            whole: true
        }]
    );
    let answer = s.sends("report", &body("declines", 5 * MIB));
    assert_eq!(
        (answer.status, s.sink.came().len()),
        (503, 2),
        "pushed back, as nothing ran: {answer:?}"
    );
    assert_eq!(s.sends("report", &body("works", 101 * MIB)).status, 413);
    assert!(s.peak() < 40, "{} MiB", s.peak());
    let kept = s.sends("report", &body("declines", 400 * KIB));
    assert!(kept.succeeded(), "this one is kept: {kept:?}");
}

/// The disk fills in truth, in the middle of a body: by a limit on the size of the process's files.
#[test]
fn a_disk_that_fills_costs_the_further_dispatch_and_never_the_body() {
    let s = Storing::start(FILES, "trap '' XFSZ; ulimit -f 8192;");
    let long = body("works", 40 * MIB);
    let answer = s.sends("report", &long);
    assert!(answer.succeeded(), "{answer:?}");
    assert_eq!(
        s.sink.came(),
        [Came {
            bytes: 40 * MIB,
            sum: sum(&long),
            whole: true
        }]
    );
    let answer = s.sends("report", &body("declines", 40 * MIB));
    assert_eq!((answer.status, s.sink.came().len()), (503, 2), "{answer:?}");
    assert!(
        s.sends("report", &body("declines", 3 * MIB)).succeeded(),
        "what fits is kept"
    );
}

#[test]
fn a_client_that_stops_halfway_sends_nothing_to_its_end() {
    let s = Storing::start(FILES, "");
    for size in [600 * KIB, 5 * MIB] {
        let before = s.sink.came().len();
        let stream = s.service.open();
        let fields = request_fields(&new_id(), 60_000);
        let head = format!(
            "POST /v1/load HTTP/1.1\r\nHost: g\r\n{fields}Content-Length: {}\r\n\r\n",
            2 * size
        );
        (&stream).write_all(head.as_bytes()).unwrap();
        (&stream).write_all(&body("works", size)).unwrap();
        wait_until("the start", || s.sink.came().len() > before);
        stream.shutdown(Shutdown::Write).unwrap();
        let mut rest = Vec::new();
        let _ = (&stream).read_to_end(&mut rest);
        sleep(Duration::from_millis(100));
        assert!(
            s.sink.came()[before..].iter().all(|c| !c.whole),
            "{:?}",
            s.sink.came()
        );
    }
    assert!(
        s.sends("load", &body("works", MIB)).succeeded(),
        "the next is not troubled"
    );
}

/// A client that is gone in the middle of its body: the engine's connection is broken off at once, not at the limit.
#[test]
fn a_client_that_is_gone_frees_the_engine_at_once() {
    let s = Storing::start(FILES, "");
    let stream = s.service.open();
    let fields = request_fields(&new_id(), 60_000);
    let head = format!(
        "POST /v1/report HTTP/1.1\r\nHost: g\r\n{fields}Content-Length: {}\r\n\r\n",
        9 * MIB
    );
    (&stream).write_all(head.as_bytes()).unwrap();
    (&stream).write_all(&body("works", 3 * MIB)).unwrap();
    wait_until("the start", || s.sink.came().len() == 1);
    sleep(Duration::from_millis(200));
    assert_eq!(s.sink.came()[0].bytes, 0, "it still comes");
    drop(stream);
    // The stand-in notes what came once its connection ends.
    wait_until("the end", || s.sink.came()[0].bytes > 0);
    assert!(!s.sink.came()[0].whole);
}

#[test]
fn a_body_of_unknown_length_is_taken_where_the_plan_allows_it() {
    let s = Storing::start(FILES, "");
    let closed = Storing::start("  memory 8MiB", "");
    for size in [10, 100 * KIB, 5 * MIB] {
        let body = body("declines", size);
        let text = format!(
            "POST /v1/report HTTP/1.1\r\nHost: g\r\n{}Transfer-Encoding: chunked\r\n\r\n",
            request_fields(&new_id(), 9000)
        );
        for (to, allowed) in [(&s, true), (&closed, false)] {
            let before = to.sink.came().len();
            let stream = to.service.open();
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
            let answer = answer.unwrap_or_else(|| panic!("an answer: {sent:?}"));
            match allowed {
                true => {
                    let wanted = Came {
                        bytes: body.len(),
                        sum: sum(&body),
                        whole: true,
                    };
                    assert!(answer.succeeded(), "{size}: {answer:?}");
                    assert_eq!(to.sink.came()[before..], [wanted.clone(), wanted]);
                }
                false => assert_eq!((answer.status, to.sink.came().len()), (411, before)),
            }
        }
    }
}

/// Many at once, at the edge of every budget: each is answered, what is returned came whole, and memory stays flat.
#[test]
fn many_bodies_at_once_stay_within_the_budgets() {
    let s = Storing::start(
        "  memory 8MiB\n  batch-memory 512KiB\n  files 24MiB\n  directory \"FOLDER\"\n  batch 2MiB\n  must-keep report",
        "",
    );
    let count =
        |wanted: u16, answers: &[u16]| answers.iter().filter(|status| **status == wanted).count();
    let mut answers = Vec::new();
    for round in 0..10usize {
        let statuses: Vec<u16> = std::thread::scope(|scope| {
            let send = |n: usize| {
                let group = if n.is_multiple_of(2) {
                    "report"
                } else {
                    "load"
                };
                let size = 300 * KIB + (n * 7919 + round * 104_729) % (900 * KIB);
                s.sends(group, &body("works", size)).status
            };
            let threads: Vec<_> = (0..80).map(|n| scope.spawn(move || send(n))).collect();
            threads.into_iter().map(|t| t.join().unwrap()).collect()
        });
        answers.extend(statuses);
    }
    let (returned, pushed_back) = (count(200, &answers), count(503, &answers));
    assert_eq!(returned + pushed_back, answers.len(), "{answers:?}");
    let whole = s.sink.came().iter().filter(|c| c.whole).count();
    assert!(
        returned > 100 && whole == returned,
        "{returned} returned, {whole} came whole"
    );
    assert!(s.peak() < 64, "{} MiB", s.peak());
    println!(
        "of {} bodies {returned} returned, {pushed_back} pushed back, {} MiB at most",
        answers.len(),
        s.peak()
    );
}
