//! Case 3: hundreds of requests with a wrong length at once, and some usual clients beside them.

use review_standins::client::{self, Outcome};
use review_standins::engine::Engine;
use review_standins::gateway::{free_address, Gateway};
use review_standins::record::Record;
use review_standins::{change_log, http, ms, with_trouble};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::exit;
use std::thread::{self, sleep, JoinHandle};
use std::time::{Duration, Instant};

/// Bad clients, all at once; the page says "hundreds".
const BAD_CLIENTS: usize = 300;
/// Descriptors of the gateway; the pages allow 256 to 1,024.
const SOCKETS: usize = 256;
/// Usual clients, each with one request on a connection of its own. Far below a third of the descriptors.
const USUAL_CLIENTS: usize = 20;
/// What usual clients allow, as in the protocol page's example.
const ALLOW_MS: u64 = 1500;
/// A time limit is 50 ms longer on sockets; up to half a second after it an answer only earns nothing.
const GRACE_MS: u64 = 50 + 500;
/// How long the clients look for an answer.
const PATIENCE: Duration = Duration::from_secs(15);

fn config(address: SocketAddr, engines: &[Engine]) -> String {
    let log = change_log::start();
    let known = change_log::first_event(engines);
    format!(
        r#"{{"name":"g0","listen":"{address}","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":{SOCKETS}}},"changelog":"{log}",
        "known":{{"seq":1,"results":[{known}]}},
        "settings":{{"kinds":["std"],"zones":["east"],"tenants":[{{"name":"acme"}}],"balancers":1,
          "allowed":{{"max-attempts":4,"cancelling":true,"retry-after":true,"max-retry-after":1000,"dial-timeout":250,
            "may-probe":true}},
          "domain":{{"kind-cores":[8],"parallelism":[1]}},"telemetry":{{"how":"on_probe","fields":["depth","load_share"]}},
          "categories":[{{"name":"lookup","semantics":"retryable","give-up":5000,"goal-time":1000,"worth":1}}]}}}}"#
    )
}

/// A bad client: its length is wrong. It sends at full speed and reads what it is sent. Returns when it was answered or
/// its connection was closed, counted from its connect.
fn bad_client(address: SocketAddr) -> Option<Duration> {
    let begun = Instant::now();
    let stream = TcpStream::connect(address).ok()?;
    let statement = "SELECT name FROM sales_17.lots";
    let id = client::new_id();
    let right = client::request("lookup", &id, ALLOW_MS, None, statement);
    let wrong = right.replace(&format!("Content-Length: {}", statement.len()), "Content-Length: 3000");
    (&stream).write_all(wrong.as_bytes()).ok()?;
    let _ = stream.set_read_timeout(Some(PATIENCE));
    let _ = http::read(&mut BufReader::new(&stream));
    Some(begun.elapsed())
}

fn usual_client(address: SocketAddr, number: usize) -> JoinHandle<Outcome> {
    thread::spawn(move || {
        let id = client::new_id();
        let statement = format!("SELECT price FROM sales_{number}.lots /* work 50 */");
        let request = client::request("lookup", &id, ALLOW_MS, None, &statement);
        client::call(address, &id, &request, PATIENCE)
    })
}

/// Plays the usual clients and returns the number of requests whose final answer did not come in time.
fn play_usual_clients(address: SocketAddr, record: &Record) -> usize {
    let calls: Vec<_> = (0..USUAL_CLIENTS)
        .map(|number| {
            sleep(ms(10));
            usual_client(address, number)
        })
        .collect();
    let mut late = 0;
    for outcome in calls.into_iter().filter_map(|call| call.join().ok()) {
        let Outcome { id, sent, answer, ended_connections } = outcome;
        let (took, text) = match &answer {
            Some((at, message)) => (Some((*at - sent).as_millis()), message.start_line.clone()),
            None => (None, "no answer".into()),
        };
        let in_time = took.is_some_and(|took| took <= u128::from(ALLOW_MS + GRACE_MS));
        late += usize::from(!in_time);
        record.line(&format!(
            "request {id} sent at {}, answered after {took:?} ms: {text}; connections ended without answer: \
             {ended_connections}{}",
            record.at(sent),
            if in_time { "" } else { " TOO LATE" }
        ));
    }
    late
}

fn main() {
    let record = Record::create();
    let engines: Vec<Engine> = (1..=3).map(|n| Engine::start(&format!("e{n}"), &record)).collect();
    let address = free_address();
    let mut gateway = Gateway::start(address, &config(address, &engines), &record);

    record.line("usual clients before the disruption");
    let late_before = play_usual_clients(address, &record);
    let mut bad = Vec::new();
    if with_trouble() {
        record.line(&format!("{BAD_CLIENTS} requests with a wrong length at once"));
        bad.extend((0..BAD_CLIENTS).map(|_| thread::spawn(move || bad_client(address))));
    }
    sleep(ms(300));
    record.line("usual clients beside the disruption");
    let late = play_usual_clients(address, &record);
    for (number, client) in bad.into_iter().enumerate() {
        let ended = client.join().ok().flatten();
        record.line(&format!("bad client {number} was answered or closed after {ended:?}"));
    }
    let crashed = gateway.has_exited();
    drop(gateway);
    record.say(&format!(
        "before: {late_before} of {USUAL_CLIENTS} without a final answer in time; beside: {late} of {USUAL_CLIENTS}; \
         the gateway has ended by itself: {crashed}"
    ));
    if late_before > 0 {
        exit(2);
    }
    exit(i32::from(late > 0 || crashed));
}
