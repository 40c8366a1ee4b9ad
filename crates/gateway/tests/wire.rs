//! The gateway's external interface, written out literally, so that an accidental change of a name or a format fails
//! here.
//!
//! Other tests cover the rest: every key of the configuration file with its refusal (bad_input.rs), of the settings
//! (crates/settings/tests/keys.rs), and of an event of the change log (src/discovery/event/tests.rs and bad_input.rs);
//! the refusal of plans, the rejections by plans, and the exit codes of the plan commands (plan.rs); the statuses of
//! failed queries and invalid requests (sockets.rs), of long bodies (bodies.rs) and of repeated requests
//! (repeated_calls.rs); the records of the journal and the slots of the spool (crates/ledger/tests/stored_records.rs,
//! crates/bodies/tests/stored_spool.rs); the frames of the benchmark (crates/bench-adapter).

mod helper;

use helper::*;
use serde_json::json;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::Duration;

/// Reads one message byte for byte, with the body that its `Content-Length` announces.
fn raw_message(reader: &mut impl BufRead) -> Option<String> {
    let (mut text, mut length) = (String::new(), 0);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        text += &line;
        let lower = line.to_ascii_lowercase();
        if let Some(value) = lower.strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
        if line == "\r\n" {
            break;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(text + &String::from_utf8(body).ok()?)
}

/// Sends these bytes on a new connection and returns the response without the field `date`.
fn answer_to(address: SocketAddr, text: &str) -> String {
    let stream = TcpStream::connect(address).unwrap();
    (&stream).write_all(text.as_bytes()).unwrap();
    answer_on(&stream)
}

/// Reads a response and returns it without the field `date`.
fn answer_on(stream: &TcpStream) -> String {
    stream
        .set_read_timeout(Some(Duration::from_secs(8)))
        .unwrap();
    let answer = raw_message(&mut BufReader::new(stream)).expect("an answer should arrive");
    let lines = answer.split_inclusive('\n');
    lines.filter(|line| !line.starts_with("date: ")).collect()
}

/// Formats a request for a query, with more header lines.
fn post(id: &str, class: &str, more: &str, statement: &str) -> String {
    format!(
        "POST /v1/{class} HTTP/1.1\r\nHost: x\r\nX-Job-Id: {id}\r\nX-Allow-Ms: 2500\r\nX-Team: acme\r\n{more}\
         Content-Length: {}\r\n\r\n{statement}",
        statement.len()
    )
}

/// Formats the expected answer with a JSON body.
fn short_answer(status: &str, headers: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\ncontent-type: application/json\r\n{headers}content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

#[test]
fn responses_to_requests_without_a_query_match_byte_for_byte() {
    let test_bed = TestBed::start();
    let good = || post(&new_id(), "report", "", "SELECT 1");
    let with = |more: &str| post(&new_id(), "report", more, "SELECT 1");
    let without = |line: &str| good().replace(line, "");
    let error =
        |what: &str| short_answer("400 Bad Request", "", &format!("{{\"error\":\"{what}\"}}"));
    let cases = [
        (
            "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n".to_string(),
            "HTTP/1.1 200 OK\r\ncontent-type: text/plain; charset=utf-8\r\ncontent-length: 8\r\n\r\nserving\n".into(),
        ),
        (
            good().replace("/v1/", "/v2/"),
            short_answer("404 Not Found", "", r#"{"error":"no such path"}"#),
        ),
        (
            good().replace("POST", "PUT"),
            short_answer("405 Method Not Allowed", "allow: POST,DELETE\r\n", r#"{"error":"method not served"}"#),
        ),
        (good().replace("/report", "/other"), error("unknown service group 'other'")),
        (without("X-Allow-Ms: 2500\r\n"), error("x-allow-ms: missing")),
        (good().replace("2500", "0"), error("x-allow-ms: more than 0 and 3000 at most expected")),
        (good().replace("2500", "soon"), error("x-allow-ms: no number")),
        (without("X-Team: acme\r\n"), error("x-team: missing")),
        (good().replace("acme", "nobody"), error("x-team: unknown")),
        (with("X-Item: none\r\n"), error("x-item: 16 hex digits expected")),
        (with("X-Size-Ms: -1\r\n"), error("x-size-ms: a number of 0 or more expected")),
        (with("X-Memory: much\r\n"), error("x-memory: a number of 0 or more expected")),
        (with("X-Unique: a\r\nX-Unique: a\r\n"), error("x-unique: repeated")),
        (post("123", "report", "", "SELECT 1"), error("x-job-id: 16 hex digits expected")),
        (post(&new_id(), "report", "", ""), error("no statement")),
        (
            good().replace("Content-Length: 8", "Transfer-Encoding: chunked"),
            short_answer(
                "411 Length Required",
                "connection: close\r\n",
                r#"{"error":"a statement comes with its Content-Length"}"#,
            ),
        ),
        (
            good().replace("Content-Length: 8", "Content-Length: 262145"),
            short_answer("413 Payload Too Large", "connection: close\r\n", r#"{"error":"statement too long"}"#),
        ),
        (
            good().replace("Content-Length: 8", "Content-Length: 9"),
            short_answer("408 Request Timeout", "connection: close\r\n", r#"{"error":"statement came too slowly"}"#),
        ),
        (
            with(&format!("X-Long: {}\r\n", "x".repeat(40_000))),
            "HTTP/1.1 431 Request Header Fields Too Large\r\nconnection: close\r\ncontent-length: 0\r\n\r\n".into(),
        ),
        (
            good().replace("POST", "DELETE"),
            short_answer("404 Not Found", "", r#"{"error":"no batch of this id is in hand"}"#),
        ),
        (
            post("123", "report", "", "").replace("POST", "DELETE"),
            error("x-job-id: 16 hex digits expected"),
        ),
    ];
    for (call, expected) in cases {
        assert_eq!(answer_to(test_bed.address, &call), expected, "{call:.300}");
    }
    assert_eq!(test_bed.engine.requests("POST"), 0);
}

#[test]
fn responses_to_queries_match_byte_for_byte() {
    let test_bed = TestBed::start();
    let id = new_id();
    let rows = r#"{"data":[["a","b\"\\","\u0001 é"],["c","","漢"]]}"#;
    let cases = [
        (
            post(&id, "report", "", "SELECT 1"),
            short_answer("200 OK", "", rows),
        ),
        (
            post(&id, "report", "", "SELECT 1"),
            short_answer("200 OK", "", rows),
        ),
        (
            post(&id, "report", "", "SELECT 2"),
            short_answer(
                "409 Conflict",
                "",
                r#"{"error":"this id is that of another batch"}"#,
            ),
        ),
        (
            post(&new_id(), "report", "", "SELECT 1 /* empty */"),
            short_answer("200 OK", "", r#"{"data":[]}"#),
        ),
        (
            post(&new_id(), "report", "", "SELECT 1 /* error */"),
            short_answer(
                "503 Service Unavailable",
                "x-wait-ms: 600\r\n",
                r#"{"error":"Busy"}"#,
            ),
        ),
        (
            post(&new_id(), "load", "", "INSERT /* error */"),
            short_answer("500 Internal Server Error", "", r#"{"error":"Failed"}"#),
        ),
    ];
    for (call, expected) in cases {
        assert_eq!(answer_to(test_bed.address, &call), expected, "{call}");
    }
    let late = post(&new_id(), "report", "", "SELECT 1").replace("2500", "900");
    assert_eq!(
        answer_to(test_bed.address, &late),
        short_answer("200 OK", "", rows)
    );
    sleep(Duration::from_millis(1000));
    assert_eq!(
        answer_to(test_bed.address, &late),
        short_answer(
            "409 Conflict",
            "",
            r#"{"error":"this id has had its answer"}"#
        )
    );
    let (id, stream) = (new_id(), test_bed.open());
    (&stream)
        .write_all(post(&id, "report", "", "SELECT 1 /* slow */").as_bytes())
        .unwrap();
    wait_until("the engine receives the start", || {
        test_bed.engine.started.lock().unwrap().contains_key(&id)
    });
    let cancel_request = post(&id, "report", "", "").replace("POST", "DELETE");
    assert_eq!(
        answer_to(test_bed.address, &cancel_request),
        "HTTP/1.1 204 No Content\r\n\r\n"
    );
}

const PLAN: &str = "\
bodies store {
  memory 128KiB
  batch 1MiB
  batch-memory 128KiB
}

limit each {
  per client
  group report
  rate 4/s burst 2
}

limit loads {
  group load
  in-hand 1
}

group load {
  statement 100B
}
";

/// Starts a test bed with a plan. Returns it with the directory of the plan, which the caller removes.
fn gateway_with_plan(folder: &str, text: &str) -> (TestBed, PathBuf) {
    let name = format!("{folder}-{}", std::process::id());
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&folder).unwrap();
    let plan = folder.join("a.plan");
    std::fs::write(&plan, text).unwrap();
    let test_bed = TestBed::start_with_launcher(
        |_| {},
        |config| {
            let mut command = gateway_command(&["serve", "--plan", plan.to_str().unwrap()]);
            let command = command.env("PROXY_CONFIG", write_config(config));
            command.stderr(Stdio::null()).spawn().unwrap()
        },
    );
    (test_bed, folder)
}

#[test]
fn responses_under_a_plan_match_byte_for_byte() {
    let (test_bed, folder) = gateway_with_plan("answers-plan", PLAN);
    let too_long = "x".repeat(101);
    assert_eq!(
        answer_to(test_bed.address, &post(&new_id(), "load", "", &too_long)),
        short_answer(
            "413 Payload Too Large",
            "connection: close\r\n",
            r#"{"error":"the plan allows statements of 100 bytes"}"#,
        )
    );
    let huge =
        post(&new_id(), "report", "", "").replace("Content-Length: 0", "Content-Length: 1048577");
    let answer = answer_to(test_bed.address, &huge);
    assert_eq!(
        answer,
        short_answer(
            "413 Payload Too Large",
            "connection: close\r\n",
            r#"{"error":"a body has 1048576 bytes at most"}"#,
        )
    );
    for _ in 0..2 {
        test_bed.query("report", "SELECT 1");
    }
    let limited = answer_to(test_bed.address, &post(&new_id(), "report", "", "SELECT 1"));
    let (before, rest) = limited.split_once("x-wait-ms: ").expect("x-wait-ms");
    let (wait, after) = rest.split_once("\r\n").unwrap();
    assert!(
        (1..=250).contains(&wait.parse::<u64>().unwrap()),
        "x-wait-ms is not from 1 to 250: {limited}"
    );
    assert_eq!(
        format!("{before}{after}"),
        short_answer(
            "503 Service Unavailable",
            "",
            r#"{"error":"Busy","reason":"over the limit each (Rate)"}"#,
        )
    );
    let (slow, id) = (test_bed.open(), new_id());
    (&slow)
        .write_all(post(&id, "load", "", "INSERT /* slow */").as_bytes())
        .unwrap();
    wait_until("the start", || test_bed.engine.requests("POST") == 3);
    assert_eq!(
        answer_to(test_bed.address, &post(&new_id(), "load", "", "INSERT")),
        short_answer(
            "503 Service Unavailable",
            "x-wait-ms: 10\r\n",
            r#"{"error":"Busy","reason":"over the limit loads (InHand)"}"#,
        )
    );
    assert!(answer_on(&slow).starts_with("HTTP/1.1 200 OK"));
    drop(test_bed);
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn gateway_without_engines_reports_that_it_does_not_serve() {
    let (engine, log) = (FakeEngine::start(), FakeChangeLog::start());
    let mut config = config(engine.address, log.address);
    config["known"] = json!(null);
    let address = config["listen"].as_str().unwrap().parse().unwrap();
    let _gateway = KillOnDrop(serve(&config));
    wait_until("it listens", || TcpStream::connect(address).is_ok());
    assert_eq!(
        answer_to(address, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"),
        "HTTP/1.1 503 Service Unavailable\r\ncontent-type: text/plain; charset=utf-8\r\ncontent-length: 12\r\n\r\n\
         not serving\n"
    );
}

/// A process that is killed when dropped.
struct KillOnDrop(Child);

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A server that records every request and answers it by a function; `None` closes the connection.
#[derive(Clone)]
struct Recorder {
    address: SocketAddr,
    requests: Arc<Mutex<Vec<String>>>,
}

impl Recorder {
    fn start(answer: impl Fn(&str) -> Option<String> + Send + Sync + 'static) -> Recorder {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let (address, requests) = (listener.local_addr().unwrap(), Arc::default());
        let recorder = Recorder { address, requests };
        let (shared, answer) = (recorder.clone(), Arc::new(answer));
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let (recorder, answer) = (shared.clone(), answer.clone());
                spawn(move || {
                    let mut reader = BufReader::new(stream.try_clone().unwrap());
                    while let Some(call) = raw_message(&mut reader) {
                        recorder.requests.lock().unwrap().push(call.clone());
                        let Some(answer) = answer(&call) else { return };
                        if (&stream).write_all(answer.as_bytes()).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        recorder
    }

    /// Waits for a request with this prefix and returns the first one.
    fn wait_for_first(&self, start: &str) -> String {
        let found = || {
            let calls = self.requests.lock().unwrap();
            calls.iter().find(|call| call.starts_with(start)).cloned()
        };
        wait_until(start, || found().is_some());
        found().unwrap()
    }

    /// Returns the number of requests with this prefix.
    fn count(&self, start: &str) -> usize {
        let calls = self.requests.lock().unwrap();
        calls.iter().filter(|call| call.starts_with(start)).count()
    }
}

/// Starts an engine that answers health checks with a load report and other requests by a script.
fn scripted_engine(
    stats: &'static str,
    script: impl Fn(&str) -> String + Send + Sync + 'static,
) -> Recorder {
    Recorder::start(move |call| match call.starts_with("GET /stats ") {
        true => Some(http_response(
            "200 OK",
            &format!("X-Stats: {stats}\r\n"),
            "",
        )),
        false => Some(script(call)),
    })
}

/// Starts a test bed with these engines and a query class of each idempotency.
fn gateway_with_engines(engines: &[&Recorder]) -> TestBed {
    let addresses: Vec<SocketAddr> = engines.iter().map(|engine| engine.address).collect();
    TestBed::start_with(|config| {
        let lines: Vec<_> = addresses
            .iter()
            .enumerate()
            .map(|(i, address)| endpoint(&format!("s-{i}"), *address, "SERVING"))
            .collect();
        config["known"]["results"] = json!([full_list_event(0, &lines)]);
        let mut keyed = query_class("keyed", "dedup", 3000.0);
        keyed["key-scope"] = json!("all");
        keyed["dedup-window"] = json!(5000.0);
        let categories = config["settings"]["categories"].as_array_mut().unwrap();
        categories.push(keyed);
    })
}

/// Replaces the response timeout that a start forwards, which varies, by N.
fn mask_response_timeout(call: &str) -> String {
    let (before, rest) = call.split_once("x-patience: ").expect("x-patience");
    let (value, after) = rest.split_once("\r\n").unwrap();
    let value: u64 = value.parse().unwrap();
    assert!(
        (1..=2500).contains(&value),
        "x-patience is not from 1 to 2500: {call}"
    );
    format!("{before}x-patience: N\r\n{after}")
}

#[test]
fn requests_to_engines_match_byte_for_byte() {
    let engine = scripted_engine("queue:0;util:0.1", |call| {
        let method = call.split(' ').next().unwrap();
        let first_poll = call.starts_with("GET /c/") && call.contains("/0 HTTP");
        match method {
            "POST" => {
                sleep(Duration::from_millis(100));
                http_response("202 Not yet", "", "")
            }
            "DELETE" => http_response("204 No Content", "", ""),
            _ if first_poll && call.contains("9b1f03aa5c7e2d02") => {
                sleep(Duration::from_millis(250));
                http_response("202 Not yet", "", "")
            }
            _ if first_poll => http_response("200 OK", "Result-Pages: 2\r\n", "a\tb\tc\n"),
            _ => http_response("200 OK", "Result-Page: 1\r\n", "d\te\tf\n"),
        }
    });
    let test_bed = gateway_with_engines(&[&engine]);
    let host = format!("host: {}\r\n", engine.address);
    let more = "X-Item: 7f3a9c21e0b4d655\r\nX-Unique: 00ab12ffee34cd56\r\nX-Size-Ms: 120\r\nX-Memory: 64\r\n";
    assert_eq!(
        answer_to(
            test_bed.address,
            &post("9b1f03aa5c7e2d01", "keyed", more, "INSERT 1")
        ),
        short_answer("200 OK", "", r#"{"data":[["a","b","c"],["d","e","f"]]}"#)
    );
    assert_eq!(
        mask_response_timeout(&engine.wait_for_first("POST")),
        format!(
            "POST /c HTTP/1.1\r\n{host}x-trace: 9b1f03aa5c7e2d01\r\nx-profile: keyed\r\n\
             x-op-key: 00ab12ffee34cd56\r\nx-patience: N\r\ncontent-length: 8\r\n\r\nINSERT 1"
        )
    );
    for path in ["/c/9b1f03aa5c7e2d01/0", "/c/9b1f03aa5c7e2d01/1"] {
        let start = format!("GET {path} HTTP");
        assert_eq!(
            engine.wait_for_first(&start),
            format!("GET {path} HTTP/1.1\r\n{host}\r\n")
        );
    }
    let stream = test_bed.open();
    let call = post("9b1f03aa5c7e2d02", "report", "", "SELECT 1");
    (&stream).write_all(call.as_bytes()).unwrap();
    engine.wait_for_first("GET /c/9b1f03aa5c7e2d02/0 HTTP");
    drop(stream);
    let delete = "DELETE /c/9b1f03aa5c7e2d02 HTTP/1.1\r\n";
    assert_eq!(
        engine.wait_for_first("DELETE"),
        format!("{delete}{host}\r\n")
    );
    let start = engine
        .requests
        .lock()
        .unwrap()
        .iter()
        .rfind(|call| call.starts_with("POST"))
        .cloned();
    assert_eq!(
        mask_response_timeout(&start.unwrap()),
        format!(
            "POST /c HTTP/1.1\r\n{host}x-trace: 9b1f03aa5c7e2d02\r\nx-profile: report\r\nx-patience: N\r\n\
             content-length: 8\r\n\r\nSELECT 1"
        )
    );
}

#[test]
fn health_check_request_matches_byte_for_byte() {
    let newcomer = scripted_engine("queue:0;util:0.1", |_| http_response("500 Oops", "", ""));
    let test_bed = TestBed::start_with(|config| {
        config["subset"] = json!({"size": 4, "class_floor": 0, "reserve": 0});
    });
    // The gateway checks an engine before the engine joins the subset.
    let listed = endpoint("s-2", newcomer.address, "SERVING");
    test_bed.log.publish(list_change_event(1, &[listed]));
    let host = format!("host: {}\r\n", newcomer.address);
    assert_eq!(
        newcomer.wait_for_first("GET"),
        format!("GET /stats HTTP/1.1\r\n{host}\r\n")
    );
}

/// For each response of an engine to a start: the number of starts and the client's answer.
#[test]
fn engine_responses_lead_to_the_expected_starts_and_answers() {
    let engine = scripted_engine("queue:0;util:0.1", |call| {
        let (_, statement) = call.split_once("\r\n\r\n").unwrap();
        match (call.split(' ').next().unwrap(), statement) {
            ("DELETE", _) => http_response("204 No Content", "", ""),
            ("POST", "full") => http_response("503 Full", "X-Declined: 1\r\n", ""),
            ("POST", "late") => http_response("504 Late", "X-Declined: 1\r\n", ""),
            ("POST", "failed") => http_response("500 Oops", "", ""),
            ("POST", "done") => http_response("200 OK", "Result-Pages: 1\r\n", "a\tb\tc\n"),
            _ => http_response("500 Oops", "", ""),
        }
    });
    let test_bed = gateway_with_engines(&[&engine]);
    let failed = short_answer("500 Internal Server Error", "", r#"{"error":"Failed"}"#);
    let rows = short_answer("200 OK", "", r#"{"data":[["a","b","c"]]}"#);
    for (statement, starts, expected) in [
        ("done", 1, Some(rows)),
        ("failed", 1, Some(failed)),
        ("late", 1, None),
        ("full", 2, None),
    ] {
        let before = engine.count("POST");
        let answer = answer_to(test_bed.address, &post(&new_id(), "load", "", statement));
        match expected {
            Some(expected) => assert_eq!(answer, expected, "answer to the statement {statement}"),
            None => assert!(
                answer.starts_with("HTTP/1.1 503 Service Unavailable\r\n")
                    && answer.ends_with(r#"{"error":"Busy"}"#),
                "{statement}: {answer}"
            ),
        }
        assert_eq!(
            engine.count("POST") - before,
            starts,
            "number of starts of the statement {statement}"
        );
    }
}

/// The load report is a header field of the engine's responses.
#[test]
fn engine_that_reports_full_load_gets_the_smaller_share() {
    let with = |stats: &'static str| {
        Recorder::start(move |call| match call.starts_with("DELETE") {
            true => Some(http_response("204 No Content", "", "")),
            false => {
                let headers = format!("Result-Pages: 1\r\nX-Stats: {stats}\r\n");
                Some(http_response("200 OK", &headers, "a\tb\tc\n"))
            }
        })
    };
    let (full, idle) = (with("queue:900;util:1.0"), with("queue:0;util:0.0"));
    let lines = [
        endpoint("s-1", full.address, "SERVING"),
        endpoint("s-2", idle.address, "SERVING"),
    ];
    let test_bed = TestBed::start_with(|config| {
        config["known"]["results"] = json!([full_list_event(0, &lines)]);
        config["settings"]["telemetry"]["how"] = json!("inline");
    });
    for _ in 0..40 {
        answer_to(test_bed.address, &post(&new_id(), "report", "", "SELECT 1"));
    }
    let (at_full, at_idle) = (full.count("POST"), idle.count("POST"));
    assert!(
        at_full + at_idle >= 40 && at_idle >= 3 * at_full,
        "{at_full} attempts at the engine with full load, {at_idle} at the idle one"
    );
}

#[test]
fn change_log_request_matches_byte_for_byte() {
    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
    let log = Recorder::start(move |_| Some(format!("{head}id: 8\ndata: {{\"seq\":8}}\n\n")));
    let test_bed =
        TestBed::start_with(|config| config["changelog"] = json!(log.address.to_string()));
    let host = format!("host: {}\r\n", log.address);
    assert_eq!(
        log.wait_for_first("GET"),
        format!("GET /changes HTTP/1.1\r\n{host}last-event-id: 0\r\n\r\n")
    );
    drop(test_bed);
}

#[test]
fn commands_print_their_output_and_exit_with_their_codes() {
    let address = free_address();
    let good = write_config(&config(address, address));
    let good = good.to_str().unwrap();
    let unset =
        "garnetwall: PROXY_CONFIG: not set; name the configuration file there or with --config\n";
    let cases: [(&[&str], i32, &str, &str); 10] = [
        (
            &[],
            1,
            "",
            "garnetwall: no command given; see garnetwall help\n",
        ),
        (
            &["dance"],
            1,
            "",
            "garnetwall: unknown command 'dance'; see garnetwall help\n",
        ),
        (&["serve"], 1, "", unset),
        (&["check-config"], 1, "", unset),
        (
            &["serve", "--loud"],
            1,
            "",
            "garnetwall: unknown argument \"--loud\"; see garnetwall help\n",
        ),
        (&["version"], 0, "garnetwall 0.1.0\n", ""),
        (&["help"], 0, HELP, ""),
        (&["--help"], 0, HELP, ""),
        (&["-h"], 0, HELP, ""),
        (
            &["check-config", "--config", good],
            0,
            "configuration of n0 is valid: n0 listens on ADDR?\n",
            "",
        ),
    ];
    for (arguments, code, out, err) in cases {
        let ended = gateway_command(arguments)
            .env_remove("GARNETWALL_PLAN")
            .output()
            .unwrap();
        let text = |bytes: &[u8]| String::from_utf8(bytes.to_vec()).unwrap();
        let listen = config_address(good);
        assert_eq!(
            ended.status.code(),
            Some(code),
            "exit code of {arguments:?}"
        );
        assert_eq!(
            text(&ended.stdout),
            out.replace("ADDR?", &listen),
            "standard output of {arguments:?}"
        );
        assert_eq!(text(&ended.stderr), err, "standard error of {arguments:?}");
    }
}

/// Returns the address at which a configuration file makes the gateway listen.
fn config_address(file: &str) -> String {
    let text = std::fs::read_to_string(file).unwrap();
    let json: serde_json::Value = serde_json::from_str(&text).unwrap();
    json["listen"].as_str().unwrap().to_string()
}

const HELP: &str = "\
garnetwall: admission control for queries on a pool of engines

Usage: garnetwall COMMAND [--config FILE] [--plan FILE]

Commands:
  serve         run a gateway until SIGTERM or SIGINT; SIGHUP reloads the configuration
  check-config  check the configuration and report errors
  version       print the version
  help          print this text

Commands on plans (docs/plan.md):
plan check FILE [--settings JSON]   check a plan, with --settings also against a gateway's configuration
  plan fmt [--check] FILE             format a plan file; with --check only report whether it is formatted
  plan diff OLD NEW [--json]          print how the new plan behaves differently
  plan explain FILE --group G [--tenant T] [--client ADDRESS] [--key K] [--data-set N] [--at HH:MM] [--settings JSON]
                                      print which route, pools and limits apply to a query, and why
  plan show FILE [--settings JSON]    print the compiled plan as JSON

Options:
  --config FILE  the configuration file; PROXY_CONFIG names it if this option is absent
  --plan FILE    the plan file; GARNETWALL_PLAN names it if this option is absent; without both there is no plan

Environment: PROXY_NAME and PROXY_LISTEN override name and listen in the configuration file;
GARNETWALL_LOG sets the level of the log on standard error (default: info).
";

#[test]
fn environment_variables_are_read_under_their_names() {
    let address = free_address();
    let good = write_config(&config(address, address));
    let ended = |command: &mut Command| {
        let ended = command.output().unwrap();
        let output = [ended.stdout, ended.stderr].concat();
        (ended.status.code(), String::from_utf8(output).unwrap())
    };
    let check = || {
        let mut command = gateway_command(&["check-config"]);
        command
            .env("PROXY_CONFIG", &good)
            .env_remove("GARNETWALL_PLAN");
        command
    };
    let named = ended(
        check()
            .env("PROXY_NAME", "n7")
            .env("PROXY_LISTEN", "127.0.0.1:4999"),
    );
    let output = "configuration of n7 is valid: n7 listens on 127.0.0.1:4999\n";
    assert_eq!(named, (Some(0), output.to_string()));
    let (code, output) = ended(check().env("GARNETWALL_PLAN", "/nowhere/a.plan"));
    assert_eq!(code, Some(1));
    assert!(
        output.starts_with("garnetwall: invalid plan /nowhere/a.plan\n"),
        "the error lacks the path of the plan: {output}"
    );
    let log = |level: &str| {
        let mut command = gateway_command(&["serve"]);
        command
            .env("PROXY_CONFIG", &good)
            .env("GARNETWALL_LOG", level);
        let mut child = KillOnDrop(command.stderr(Stdio::piped()).spawn().unwrap());
        sleep(Duration::from_millis(400));
        child.0.kill().unwrap();
        let mut output = String::new();
        child
            .0
            .stderr
            .take()
            .unwrap()
            .read_to_string(&mut output)
            .unwrap();
        output
    };
    assert!(log("info").contains(" INFO "));
    assert!(!log("error").contains(" INFO "));
}

/// The journal was written by an earlier version of the program (see crates/ledger/tests/stored_records.rs). Queries
/// that it records as finished or as sent are not sent again.
#[test]
fn gateway_continues_with_a_stored_journal() {
    const STORED: &[u8] = include_bytes!("../../ledger/tests/fixtures/interrupted.once-only");
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"))
        .join(format!("stored-journal-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    std::fs::write(folder.join("n0.once-only"), STORED).unwrap();
    let plan = folder.join("a.plan");
    let text = format!(
        "journal once-only {{\n  directory {:?}\n}}\n",
        folder.to_str().unwrap()
    );
    std::fs::write(&plan, text).unwrap();
    let test_bed = TestBed::start_with_launcher(
        |_| {},
        |config| {
            let mut command = gateway_command(&["serve", "--plan", plan.to_str().unwrap()]);
            let command = command.env("PROXY_CONFIG", write_config(config));
            command.stderr(Stdio::null()).spawn().unwrap()
        },
    );
    let failed = short_answer("500 Internal Server Error", "", r#"{"error":"Failed"}"#);
    for id in ["9b1f03aa5c7e2d01", "9b1f03aa5c7e2d02", "9b1f03aa5c7e2d03"] {
        let answer = answer_to(test_bed.address, &post(id, "load", "", "INSERT 1"));
        assert_eq!(answer, failed, "answer to the recorded query {id}");
    }
    assert_eq!(test_bed.engine.requests("POST"), 0);
    // The write of the last record was interrupted, so the query of that record was never sent.
    assert!(test_bed
        .query_with_id("9b1f03aa5c7e2d04", "load", 2500, "INSERT 1")
        .succeeded());
    let stored = std::fs::read(folder.join("n0.once-only")).unwrap();
    assert_eq!((stored.len() % 32, stored[0], stored[1]), (0, b'G', 3));
    drop(test_bed);
    std::fs::remove_dir_all(folder).unwrap();
}
