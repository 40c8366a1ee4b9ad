//! A new engine comes up at the address of one that has died, while the change log still lists the old one. Work of the old
//! engine goes to the new one only where a repeat does no harm, and the new one gets only work that may run on it.

mod helper;

use helper::process::{ms, FakeEngineProcess};
use helper::*;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::thread::{sleep, spawn};

/// Time that a query may take, in milliseconds.
const ALLOWED_MS: u32 = 3000;
/// Query classes, each with the effect of a repeat.
const CLASSES: [&str; 5] = ["by-cell", "by-zone", "by-all", "once", "placed"];

fn keyed_class(name: &str, scope: &str) -> Value {
    let mut class = query_class(name, "dedup", f64::from(ALLOWED_MS));
    class["key-scope"] = json!(scope);
    class["dedup-window"] = json!(12_000.0);
    class
}

fn classes() -> Value {
    let longest = f64::from(ALLOWED_MS);
    let mut placed = query_class("placed", "retryable", longest);
    placed["allowed-on"] = json!(["std"]);
    json!([
        keyed_class("by-cell", "cell"),
        keyed_class("by-zone", "zone"),
        keyed_class("by-all", "all"),
        query_class("once", "fragile", longest),
        placed,
        query_class("report", "retryable", longest),
    ])
}

/// Entry of an engine of the first zone, kind and cell.
fn old_engine(address: SocketAddr) -> Value {
    let mut entry = endpoint("s-old", address, "SERVING");
    entry["cell"] = json!(1);
    entry
}

/// Entry of an engine of another zone, kind and cell.
fn new_engine(address: SocketAddr) -> Value {
    let mut entry = endpoint("s-new", address, "SERVING");
    entry["cell"] = json!(2);
    entry["zone"] = json!("west");
    entry["kind"] = json!("big");
    entry
}

fn start_test_bed(known: Vec<Value>) -> TestBed {
    TestBed::start_with(move |config| {
        config["known"]["results"] = json!([full_list_event(0, &known)]);
        let settings = &mut config["settings"];
        settings["categories"] = classes();
        settings["kinds"] = json!(["std", "big"]);
        settings["zones"] = json!(["east", "west"]);
        settings["allowed"]["max-attempts"] = json!(5);
        settings["domain"] = json!({"kind-cores": [64, 64], "parallelism": [1, 1, 1, 1, 1, 1],
            "loads": [false, false, false, false, false, false]});
    })
}

/// Returns the classes of the attempts that an engine has received, by the class name in their statements.
fn received_classes(engine: &FakeEngineProcess) -> Vec<String> {
    let attempts = engine.attempts();
    let words = attempts
        .iter()
        .filter_map(|attempt| attempt.statement.split(' ').nth(1));
    words.map(str::to_string).collect()
}

/// Guards against the fault of review case 7: the list kept the old engine although another one had its address, so that
/// attempts at the old engine's entry reached the new one.
#[test]
fn work_of_a_dead_engine_does_not_reach_the_new_one_at_its_address() {
    let old = FakeEngineProcess::start();
    let address = old.address;
    let test_bed = start_test_bed(vec![old_engine(address)]);
    let queries: Vec<_> = CLASSES
        .iter()
        .map(|class| {
            let stream = test_bed.open();
            let headers = request_headers(&new_id(), ALLOWED_MS);
            let statement = format!("SELECT {class} /* runs 800 */");
            spawn(move || round_trip(stream, &format!("POST /v1/{class}"), &headers, &statement))
        })
        .collect();
    wait_until("all attempts", || old.attempts().len() == CLASSES.len());
    old.kill();
    // The log tells of the new engine before the old one is removed.
    test_bed
        .log
        .publish(list_change_event(1, &[new_engine(address)]));
    sleep(ms(200));
    let new = FakeEngineProcess::at(address);
    wait_until("the new engine serves", || {
        test_bed.query("report", "SELECT report").succeeded()
    });
    for query in queries {
        assert!(query.join().unwrap().is_some(), "each query is answered");
    }
    let received = received_classes(&new);
    for class in ["by-cell", "by-zone", "once", "placed"] {
        assert!(
            !received.iter().any(|other| other == class),
            "the new engine got work of {class}: {received:?}"
        );
    }
}

/// The list that a gateway starts with may hold both engines.
#[test]
fn initial_list_with_two_engines_of_one_address_uses_the_later_one() {
    let engine = FakeEngineProcess::start();
    let mut new = new_engine(engine.address);
    new["started_ms"] = json!(1_700_000_000_000_u64);
    let test_bed = start_test_bed(vec![new, old_engine(engine.address)]);
    let answer = test_bed.query_with_id(&new_id(), "placed", 500, "SELECT placed");
    assert!(!answer.succeeded(), "{answer:?}");
    assert!(test_bed.query("report", "SELECT report").succeeded());
    assert_eq!(received_classes(&engine), ["report"]);
}
