//! Case 3: some good answers of engines arrive spoilt, with a length that does not fit.

use review_standins::client;
use review_standins::engine::{rows, Engine, Spoil};
use review_standins::gateway::{free_address, Gateway};
use review_standins::record::Record;
use review_standins::{change_log, with_trouble};
use std::net::SocketAddr;
use std::process::exit;
use std::thread;
use std::time::Duration;

/// Usual clients, each with its queries one after another.
const CLIENTS: usize = 8;
const QUERIES_OF_A_CLIENT: usize = 50;
/// One in so many good answers is spoilt; the pages say "some" and "many".
const SPOILT_ONE_IN: u64 = 4;
const SEED: u64 = 54;
const ALLOW_MS: u64 = 5000;
const PATIENCE: Duration = Duration::from_secs(8);

fn config(address: SocketAddr, engines: &[Engine]) -> String {
    let log = change_log::start();
    let known = change_log::first_event(engines);
    format!(
        r#"{{"name":"g0","listen":"{address}","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"changelog":"{log}",
        "known":{{"seq":1,"results":[{known}]}},
        "settings":{{"kinds":["std"],"zones":["east"],"tenants":[{{"name":"acme"}}],"balancers":1,
          "allowed":{{"max-attempts":4,"cancelling":true,"retry-after":true,"max-retry-after":1000,"dial-timeout":250,
            "may-probe":true}},
          "domain":{{"kind-cores":[8],"parallelism":[1]}},"telemetry":{{"how":"on_probe","fields":["depth","load_share"]}},
          "categories":[{{"name":"lookup","semantics":"retryable","give-up":5000,"goal-time":1000,"worth":1}}]}}}}"#
    )
}

/// The answer that holds all rows of the statement, in order and unchanged.
fn whole_answer(statement: &str) -> String {
    let row = |row: &[String; 3]| format!(r#"["{}"]"#, row.join(r#"",""#));
    let all: Vec<String> = rows(statement).iter().map(row).collect();
    format!(r#"{{"data":[{}]}}"#, all.join(","))
}

/// What became of one client's queries.
#[derive(Default)]
struct Counts {
    served: usize,
    wrong: usize,
    not_served: usize,
}

fn play_client(address: SocketAddr, number: usize, record: &Record) -> Counts {
    let mut counts = Counts::default();
    for query in 0..QUERIES_OF_A_CLIENT {
        let id = client::new_id();
        let count = 20 + (number * QUERIES_OF_A_CLIENT + query) % 30;
        let statement = format!("SELECT lot, price, state FROM sales_{number}.lots /* work 20 */ /* rows {count} */");
        let request = client::request("lookup", &id, ALLOW_MS, None, &statement);
        let outcome = client::call(address, &id, &request, PATIENCE);
        let Some((_, message)) = outcome.answer.filter(|(_, message)| message.status() == 200) else {
            counts.not_served += 1;
            record.line(&format!("query {id}: not served"));
            continue;
        };
        counts.served += 1;
        let text: String = message.text().split_whitespace().collect();
        let got = text.matches("sold").count();
        if text == whole_answer(&statement) {
            record.line(&format!("query {id}: served, {got} of {count} rows"));
        } else {
            counts.wrong += 1;
            record.line(&format!("query {id}: WRONG, served with {got} of {count} rows and no error: {text}"));
        }
    }
    counts
}

fn main() {
    let record = Record::create();
    let engines: Vec<Engine> = (1..=3).map(|n| Engine::start(&format!("e{n}"), &record)).collect();
    let address = free_address();
    let mut gateway = Gateway::start(address, &config(address, &engines), &record);
    if with_trouble() {
        for (number, engine) in (1..).zip(&engines) {
            engine.spoil_answers(Spoil { one_in: SPOILT_ONE_IN, random: SEED * number });
        }
    }
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || play_client(address, number, &record))
        })
        .collect();
    let mut total = Counts::default();
    for counts in clients.into_iter().filter_map(|client| client.join().ok()) {
        total.served += counts.served;
        total.wrong += counts.wrong;
        total.not_served += counts.not_served;
    }
    let crashed = gateway.has_exited();
    drop(gateway);
    record.say(&format!(
        "of {} queries {} were served, {} of these without all their rows; {} were not served; the gateway has ended by \
         itself: {crashed}",
        CLIENTS * QUERIES_OF_A_CLIENT,
        total.served,
        total.wrong,
        total.not_served
    ));
    exit(i32::from(total.wrong > 0 || crashed));
}
