//! Bad clients send the id of an open request with another, long statement, hundreds at once, and again as soon as they
//! are turned away. The usual clients' lookups still have to be answered in time.

use crate::case::{loopback, Case, Verdict};
use crate::change_log::{ChangeLog, Server};
use crate::engine::{Answers, Cell, Engine, Ledger};
use crate::gateway::{Gateway, Told};
use crate::http::{call, Call};
use crate::settings::{lookup, sale_load, trend_report, Site};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn, JoinHandle};
use std::time::{Duration, Instant};

/// "Hundreds".
const BAD_CLIENTS: usize = 250;
/// Under the longest statement that the gateway reads whole.
const STATEMENT_BYTES: usize = 262_000;
const LOOKUP_ALLOW_MS: u64 = 1500;
const LOOKUPS: u64 = 160;
const LOOKUP_INTERVAL: Duration = Duration::from_millis(50);
/// An answer counts as given up to half a second after its time, and each limit is 50 ms longer on sockets.
const SLACK_SECONDS: f64 = 0.55;
const OPEN_ID: u64 = 0x0be4_0be4_0be4_0be4;

pub fn start_engines(
    case: &Case,
    ledger: &Ledger,
    count: usize,
) -> Result<(Vec<Engine>, Vec<Server>), String> {
    start_engines_with(case, ledger, count, Answers::default())
}

pub fn start_engines_with(
    case: &Case,
    ledger: &Ledger,
    count: usize,
    answers: Answers,
) -> Result<(Vec<Engine>, Vec<Server>), String> {
    let cell = Cell::default();
    let mut engines = Vec::new();
    let mut servers = Vec::new();
    for number in 0..count {
        let id = format!("s-{number}");
        let engine = Engine::start_with(&id, loopback(), &cell, ledger, &case.record, answers)
            .map_err(|error| error.to_string())?;
        servers.push(Server {
            id,
            address: engine.address,
            kind: if number % 2 == 0 {
                "engine-8"
            } else {
                "engine-16"
            },
            cell: 0,
            state: "SERVING",
            started_ms: 0,
        });
        engines.push(engine);
    }
    Ok((engines, servers))
}

pub fn site() -> Site {
    Site {
        classes: [
            lookup(LOOKUP_ALLOW_MS as u32),
            trend_report(),
            sale_load(r#""semantics":"fragile""#),
        ]
        .join(","),
        threads: "[1,4,2]",
        loads: "[false,false,true]",
        max_attempts: 4,
    }
}

/// A statement of single-letter names.
pub fn long_statement() -> String {
    let mut text = "SELECT ".to_string();
    while text.len() + 2 < STATEMENT_BYTES {
        text.push_str("a,");
    }
    text.push('a');
    text
}

/// Sends the same call again and again, as soon as it is answered; counts the answers by status.
pub fn bad_client(
    gateway: SocketAddr,
    bad: Arc<Call>,
    stop: Arc<AtomicBool>,
    answers: Arc<Mutex<BTreeMap<u16, u32>>>,
) -> JoinHandle<()> {
    spawn(move || {
        while !stop.load(Ordering::SeqCst) {
            let seen = call(gateway, &bad, Duration::from_secs(8));
            *answers.lock().unwrap().entry(seen.status).or_default() += 1;
        }
    })
}

/// The time from the last byte of a lookup after which it is lost, in seconds.
fn limit_seconds() -> f64 {
    LOOKUP_ALLOW_MS as f64 / 1000.0 + SLACK_SECONDS
}

pub fn play(case: &Case) -> Result<Verdict, String> {
    let ledger = Ledger::default();
    let (_engines, servers) = start_engines(case, &ledger, 6)?;
    let log = ChangeLog::start(&servers, &case.record).map_err(|error| error.to_string())?;
    let settings = site().json();
    let told = Told {
        change_log: log.address,
        known: &log.known(),
        memory_mb: 192,
        settings: &settings,
    };
    let mut gateway = Gateway::start(&case.run, &case.scratch, &told, &case.record)?;
    let address = gateway.address;

    // A usual request stays open all the time.
    let open = spawn(move || {
        let open = Call {
            class: "trend-report",
            id: OPEN_ID,
            tenant: "drava-agro",
            allow_ms: 15_000,
            key: None,
            statement: "SELECT day, count(*) FROM sales_17.orders GROUP BY day /* ms=13000 */"
                .into(),
        };
        call(address, &open, Duration::from_secs(20))
    });
    sleep(Duration::from_millis(300));

    let stop = Arc::new(AtomicBool::new(false));
    let answers = Arc::new(Mutex::new(BTreeMap::new()));
    let mut bad_clients = Vec::new();
    if case.trouble {
        let bad = Arc::new(Call {
            class: "trend-report",
            id: OPEN_ID,
            tenant: "drava-agro",
            allow_ms: 15_000,
            key: None,
            statement: long_statement(),
        });
        for _ in 0..BAD_CLIENTS {
            bad_clients.push(bad_client(
                address,
                bad.clone(),
                stop.clone(),
                answers.clone(),
            ));
        }
        case.record.line(format!("{BAD_CLIENTS} bad clients begin"));
    }
    sleep(Duration::from_secs(1));

    let began = Instant::now();
    let mut lookups = Vec::new();
    for number in 0..LOOKUPS {
        let due = began + LOOKUP_INTERVAL * number as u32;
        sleep(due.saturating_duration_since(Instant::now()));
        let record = case.record.clone();
        lookups.push(spawn(move || {
            let lookup = Call {
                class: "lookup",
                id: 0x1000_0000_0000_0000 + number,
                tenant: "mura-drazbe",
                allow_ms: LOOKUP_ALLOW_MS,
                key: None,
                statement: "SELECT price FROM sales_3.lots WHERE serial = '3f9c' /* ms=150 */"
                    .into(),
            };
            let sent = record.now();
            // A client stops waiting when its answer can't count any more.
            let seen = call(
                address,
                &lookup,
                Duration::from_secs_f64(limit_seconds() + 0.05),
            );
            let (status, seconds) = (seen.status, seen.seconds());
            record.line(format!(
                "lookup {number} sent at {sent:.3}: status {status} after {seconds:?} s"
            ));
            seen
        }));
    }
    let seen: Vec<_> = lookups
        .into_iter()
        .filter_map(|lookup| lookup.join().ok())
        .collect();
    stop.store(true, Ordering::SeqCst);
    case.record.line("bad clients stop");
    for client in bad_clients {
        let _ = client.join();
    }
    case.record.say(format!(
        "answers to bad clients by status: {:?}",
        answers.lock().unwrap()
    ));
    if let Ok(open) = open.join() {
        case.record.say(format!(
            "the open request: status {} after {:?} s",
            open.status,
            open.seconds()
        ));
    }
    if !gateway.is_running() {
        case.record.say("the gateway has ended");
        return Ok(Verdict::Broken);
    }

    let limit = limit_seconds();
    let is_lost = |seconds: Option<f64>| seconds.is_none_or(|seconds| seconds > limit);
    let taken: Vec<_> = seen.iter().filter(|seen| seen.sent.is_some()).collect();
    let lost = taken.iter().filter(|seen| is_lost(seen.seconds())).count();
    let served = taken.iter().filter(|seen| seen.is_served()).count();
    let slowest = taken
        .iter()
        .filter_map(|seen| seen.seconds())
        .fold(0.0, f64::max);
    case.record.say(format!(
        "{} lookups taken, {served} served, {lost} with no answer within {limit:.2} s; the slowest answer came after {slowest:.2} s",
        taken.len()
    ));
    Ok(if lost > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
