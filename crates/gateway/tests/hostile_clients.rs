//! Clients that send at full speed what takes the gateway time or memory to read. The gateway stays within its memory
//! limit, and other clients are answered in time.

mod helper;

use helper::process::FakeEngineProcess;
use helper::*;
use serde_json::json;
use std::sync::Arc;
use std::thread::{spawn, JoinHandle};

/// The lowest memory limit of a deployment, in MiB.
const MEMORY_MB: usize = 32;
const SOCKETS: usize = 1024;
/// Length of a statement just below the longest that is read whole, in bytes.
const LONG_STATEMENT_BYTES: usize = 262_000;

fn start_test_bed(engine: &FakeEngineProcess, longest_deadline_ms: f64) -> TestBed {
    let engine = engine.address;
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
