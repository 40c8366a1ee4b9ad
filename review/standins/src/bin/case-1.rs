//! Case 1: the gateway stalls, and sale-loads of one key come meanwhile, on an open connection and on a new one.

use review_standins::client;
use review_standins::engine::{Engine, Run};
use review_standins::gateway::{free_address, signal, Gateway};
use review_standins::record::Record;
use review_standins::{change_log, http, ms, with_trouble};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::exit;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

/// Stalls, each with a key of its own.
const ROUNDS: usize = 8;
/// The pages have stalls of 300 to 2,000 ms, 2 to 4 s apart.
const STALL: Duration = Duration::from_millis(800);
const BETWEEN_STALLS: Duration = Duration::from_millis(2500);
/// When the two sale-loads are written, counted from the start of the stall. The page has requests of one key at least
/// 60 ms apart.
const FIRST_AT: Duration = Duration::from_millis(150);
const SECOND_AT: Duration = Duration::from_millis(450);
const ALLOW_MS: u64 = 18_000;
const PATIENCE: Duration = Duration::from_secs(20);

fn config(address: SocketAddr, engines: &[Engine]) -> String {
    let log = change_log::start();
    let known = change_log::first_event(engines);
    format!(
        r#"{{"name":"g0","listen":"{address}","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"changelog":"{log}",
        "known":{{"seq":1,"results":[{known}]}},
        "settings":{{"kinds":["std"],"zones":["east"],"tenants":[{{"name":"acme"}}],"balancers":1,
          "rules":{{"order-pause":500}},
          "allowed":{{"max-attempts":4,"cancelling":true,"retry-after":true,"max-retry-after":1000,"dial-timeout":250,
            "may-probe":true}},
          "domain":{{"kind-cores":[8],"parallelism":[1,2],"loads":[false,true]}},
          "telemetry":{{"how":"on_probe","fields":["depth","load_share"]}},
          "categories":[{{"name":"lookup","semantics":"retryable","give-up":5000,"goal-time":1000,"worth":1}},
            {{"name":"sale-load","semantics":"fragile","give-up":20000,"goal-time":4000,"worth":5,
              "one-at-a-time":true}}]}}}}"#
    )
}

/// Writes a request on a connection, and returns when its last byte was written.
fn write(stream: &TcpStream, request: &str) -> Instant {
    let _ = (&mut &*stream).write_all(request.as_bytes());
    Instant::now()
}

fn read_status(stream: &TcpStream) -> u16 {
    let _ = stream.set_read_timeout(Some(PATIENCE));
    let message = http::read(&mut BufReader::new(stream)).ok().flatten();
    message.map_or(0, |message| message.status())
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("the machine accepts connections");
    let _ = stream.set_nodelay(true);
    stream
}

/// Plays one round. Returns whether the rule was broken, or `None` if the loads did not both run.
fn play_round(round: usize, gateway: &Gateway, engines: &[Engine], record: &Record) -> Option<bool> {
    let key = format!("{:016x}", 0x5a1e_0000 + round);
    let resting = connect(gateway.address);
    write(&resting, &client::request("lookup", &client::new_id(), 4000, None, "SELECT 1 FROM sales_3.lots"));
    record.line(&format!("round {round}: a look-up on the first client's connection: {}", read_status(&resting)));
    sleep(ms(300));

    let begun = Instant::now();
    let until = |after: Duration| sleep((begun + after).saturating_duration_since(Instant::now()));
    if with_trouble() {
        record.line(&format!("round {round}: the gateway stalls"));
        signal(gateway.process_id(), "STOP");
    }
    let load = |price: u32| format!("UPDATE sales_17.lots SET price = {price} WHERE lot = {round} /* work 200 */");
    let (first, second) = (client::new_id(), client::new_id());
    until(FIRST_AT);
    let first_at = write(&resting, &client::request("sale-load", &first, ALLOW_MS, Some(&key), &load(100)));
    record.line(&format!("round {round}: load {first} written on the open connection, price 100"));
    until(SECOND_AT);
    let new = connect(gateway.address);
    let second_at = write(&new, &client::request("sale-load", &second, ALLOW_MS, Some(&key), &load(200)));
    record.line(&format!("round {round}: load {second} written on a new connection, price 200"));
    until(STALL);
    if with_trouble() {
        signal(gateway.process_id(), "CONT");
        record.line(&format!("round {round}: the gateway goes on"));
    }
    let answers = (read_status(&resting), read_status(&new));

    let runs: Vec<Run> = engines.iter().flat_map(Engine::runs).collect();
    let run = |id: &str| runs.iter().find(|run| run.id == id).filter(|run| run.completed).cloned();
    let (Some(first_run), Some(second_run)) = (run(&first), run(&second)) else {
        record.line(&format!("round {round}: answers {answers:?}; not both loads ran to their end"));
        return None;
    };
    let is_broken = second_run.begun < first_run.begun;
    let left = if is_broken { 100 } else { 200 };
    record.line(&format!(
        "round {round}: taken {} and {} ms after the start of the run, begun at {} and {}; answers {answers:?}; the price left \
         is {left}{}",
        record.at(first_at),
        record.at(second_at),
        record.at(first_run.begun),
        record.at(second_run.begun),
        if is_broken { ": OUT OF ORDER, the later load is overwritten" } else { "" }
    ));
    Some(is_broken)
}

fn main() {
    let record = Record::create();
    let engines: Vec<Engine> = (1..=3).map(|n| Engine::start(&format!("e{n}"), &record)).collect();
    let address = free_address();
    let mut gateway = Gateway::start(address, &config(address, &engines), &record);
    let mut broken = 0;
    let mut played = 0;
    for round in 1..=ROUNDS {
        let begun = Instant::now();
        if let Some(is_broken) = play_round(round, &gateway, &engines, &record) {
            played += 1;
            broken += usize::from(is_broken);
        }
        thread::sleep((begun + STALL + BETWEEN_STALLS).saturating_duration_since(Instant::now()));
    }
    let crashed = gateway.has_exited();
    drop(gateway);
    record.say(&format!(
        "of {played} pairs of sale-loads of one key {broken} ran in another order than they were taken; the gateway has ended \
         by itself: {crashed}"
    ));
    if played == 0 {
        exit(2);
    }
    exit(i32::from(broken > 0 || crashed));
}
