//! Sizes and stalls of a whole fleet, at one gateway: lists of 1,024 gateways and engines, and batches of a key that came
//! while the gateway got no processor time.

mod helper;

use helper::*;
use serde_json::{json, Value};
use std::io::BufReader;
use std::net::{SocketAddr, TcpStream};
use std::thread::sleep;
use std::time::Duration;

const MANY: usize = 1024;

/// A whole list of many engines, all draining but the last.
fn many(number: u64, first: &str, last: SocketAddr) -> Value {
    let address =
        |n: usize| SocketAddr::from(([127, 200, (n / 250) as u8, (n % 250) as u8 + 1], 4100));
    let mut lines: Vec<Value> = (1..MANY)
        .map(|n| endpoint(&format!("s-{first}{n:07x}"), address(n), "DRAINING"))
        .collect();
    lines.push(endpoint(&format!("s-{first}last"), last, "SERVING"));
    list_event(number, true, &lines)
}

/// Kilobytes of memory that a process has in use.
fn resident(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap();
    let line = status
        .lines()
        .find_map(|l| l.strip_prefix("VmRSS:"))
        .expect("its memory");
    line.trim().trim_end_matches(" kB").parse().unwrap()
}

#[test]
fn lists_of_1024_gateways_and_1024_engines_pass_through_configuration_and_change_log() {
    let s = Service::with(|config| {
        let engine = config["known"]["results"][0]["fleet"]["servers"][0]["addr"]
            .as_str()
            .unwrap()
            .to_string();
        config["known"]["results"][0] = many(0, "a", engine.parse().unwrap());
        let peer = |n: usize| json!(format!("127.201.{}.{}:7946", n / 250, n % 250 + 1));
        config["peers"] = (0..MANY).map(peer).collect();
        config["settings"]["balancers"] = json!(MANY);
        // The least memory and few descriptors: what a list needs is within the limits told.
        config["limits"] = json!({"cores": 1.0, "memory_mb": 32, "sockets": 256});
    });
    assert!(
        s.query("report", "SELECT 1").succeeded(),
        "the last engine of the configuration's list"
    );
    let other = Engine::start();
    s.log.publish(many(1, "b", other.address));
    wait_until("the last engine of the log's list", || {
        s.query("report", "SELECT 2").succeeded() && other.calls("POST") > 0
    });
    // Whole lists under new names, one after another: an index is kept for a while, and no cap is met.
    for number in 2..6 {
        let newest = Engine::start();
        s.log
            .publish(many(number, &format!("{number}c"), newest.address));
        wait_until("the newest list", || {
            s.query("report", "SELECT 3").succeeded() && newest.calls("POST") > 0
        });
    }
    let used = resident(s.child.id());
    assert!(used < 32 << 10, "{used} kB");
}

/// Sends a keyed batch; its answer is read later.
fn load(stream: &TcpStream, statement: &str) {
    let fields = format!(
        "{}X-Item: 7f3a9c21e0b4d655\r\n",
        request_fields(&new_id(), 2900)
    );
    send(stream, "POST /v1/load", &fields, statement);
}

fn returned(stream: TcpStream) -> bool {
    read_message(&mut BufReader::new(stream))
        .map(Answer::of)
        .is_some_and(|a| a.succeeded())
}

/// Two batches of a key wait for a gateway that gets no processor time: the first on a new connection, the second, the
/// protocol's 0.25 s later, on one that was open before.
#[test]
fn order_is_as_taken_though_the_gateway_stood_still_meanwhile() {
    let s = Service::start();
    let open = s.open();
    assert!(call(open.try_clone().unwrap(), "GET /healthz", "", "").is_some());
    s.signal("STOP");
    let new = s.open();
    load(&new, "INSERT 1");
    sleep(Duration::from_millis(250));
    load(&open, "INSERT 2");
    sleep(Duration::from_millis(50));
    s.signal("CONT");
    assert!(returned(new) && returned(open));
    let calls = s.engine.calls.lock().unwrap().join("\n");
    let at = |n: usize| calls.find(&format!("POST /c INSERT {n}")).unwrap();
    assert!(at(1) < at(2), "taken first, sent last: {calls}");
}
