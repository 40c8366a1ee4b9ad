//! The largest lists that a gateway gets, 1,024 gateways and 1,024 engines, and the order of a key's queries that
//! arrive while the gateway process is stopped.

mod helper;

use helper::*;
use serde_json::{json, Value};
use std::io::BufReader;
use std::net::{SocketAddr, TcpStream};
use std::thread::sleep;
use std::time::Duration;

/// Number of engines in each list, and of gateways.
const LIST_LENGTH: usize = 1024;

/// Returns a full endpoint list in which all engines but the last one are draining. `first` makes the engine names
/// differ from those of other lists.
fn full_list(number: u64, first: &str, last_address: SocketAddr) -> Value {
    let address =
        |n: usize| SocketAddr::from(([127, 200, (n / 250) as u8, (n % 250) as u8 + 1], 4100));
    let mut lines: Vec<Value> = (1..LIST_LENGTH)
        .map(|n| endpoint(&format!("s-{first}{n:07x}"), address(n), "DRAINING"))
        .collect();
    lines.push(endpoint(&format!("s-{first}last"), last_address, "SERVING"));
    full_list_event(number, &lines)
}

/// Returns the resident memory of a process in KiB.
fn resident_kb(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap();
    let line = status
        .lines()
        .find_map(|l| l.strip_prefix("VmRSS:"))
        .expect("VmRSS should be listed");
    line.trim().trim_end_matches(" kB").parse().unwrap()
}

#[test]
fn lists_of_1024_gateways_and_1024_engines_are_applied_from_configuration_and_change_log() {
    let test_bed = TestBed::start_with(|config| {
        let engine = config["known"]["results"][0]["fleet"]["servers"][0]["addr"]
            .as_str()
            .unwrap()
            .to_string();
        config["known"]["results"][0] = full_list(0, "a", engine.parse().unwrap());
        let peer = |n: usize| json!(format!("127.201.{}.{}:7946", n / 250, n % 250 + 1));
        config["peers"] = (0..LIST_LENGTH).map(peer).collect();
        config["settings"]["balancers"] = json!(LIST_LENGTH);
        // A list of this length fits within the least memory and few descriptors.
        config["limits"] = json!({"cores": 1.0, "memory_mb": 32, "sockets": 256});
    });
    assert!(
        test_bed.query("report", "SELECT 1").succeeded(),
        "the only ready engine of the configuration's list should answer"
    );
    let other = FakeEngine::start();
    test_bed.log.publish(full_list(1, "b", other.address));
    wait_until("the only ready engine of the log's list is used", || {
        test_bed.query("report", "SELECT 2").succeeded() && other.requests("POST") > 0
    });
    // Each full list has new names. The indexes of engines that have gone are kept for a while, and no limit is
    // reached.
    for number in 2..6 {
        let newest = FakeEngine::start();
        test_bed
            .log
            .publish(full_list(number, &format!("{number}c"), newest.address));
        wait_until("the newest list is applied", || {
            test_bed.query("report", "SELECT 3").succeeded() && newest.requests("POST") > 0
        });
    }
    let used = resident_kb(test_bed.child.id());
    assert!(
        used < 32 << 10,
        "{used} kB of resident memory, expected less than 32 MiB"
    );
}

/// Sends a query with an ordering key; its answer is read later.
fn send_load(stream: &TcpStream, statement: &str) {
    let headers = format!(
        "{}X-Item: 7f3a9c21e0b4d655\r\n",
        request_headers(&new_id(), 2900)
    );
    send_request(stream, "POST /v1/load", &headers, statement);
}

/// Reads an answer and returns whether the query succeeded.
fn succeeded(stream: TcpStream) -> bool {
    read_message(&mut BufReader::new(stream))
        .map(Answer::of)
        .is_some_and(|a| a.succeeded())
}

/// Two queries of a key wait for a stopped gateway process. The first one is on a new connection, the second, 0.25 s
/// later as the protocol requires, on one that was open before.
#[test]
fn order_of_a_key_is_kept_while_the_gateway_is_stopped() {
    let test_bed = TestBed::start();
    let open = test_bed.open();
    assert!(round_trip(open.try_clone().unwrap(), "GET /healthz", "", "").is_some());
    test_bed.signal("STOP");
    let new = test_bed.open();
    send_load(&new, "INSERT 1");
    sleep(Duration::from_millis(250));
    send_load(&open, "INSERT 2");
    sleep(Duration::from_millis(50));
    test_bed.signal("CONT");
    assert!(succeeded(new) && succeeded(open));
    let calls = test_bed.engine.requests.lock().unwrap().join("\n");
    let position = |n: usize| calls.find(&format!("POST /c INSERT {n}")).unwrap();
    assert!(
        position(1) < position(2),
        "the query that arrived first was sent last: {calls}"
    );
}
