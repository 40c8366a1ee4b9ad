//! Case 2: usual clients write their statements slowly, in small pieces. The platform kills a gateway that is over its
//! memory limit.

use review_standins::client::{self, Outcome};
use review_standins::engine::Engine;
use review_standins::gateway::{free_address, Gateway};
use review_standins::record::Record;
use review_standins::{change_log, http, ms, with_trouble};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::exit;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::{self, sleep, JoinHandle};
use std::time::{Duration, Instant};

/// Limits of the gateway. The pages allow 32 to 192 MB and 256 to 1,024 descriptors.
const MEMORY_MB: u64 = 64;
const SOCKETS: usize = 256;
/// Clients that write slowly. All clients together hold a third of the descriptors at most, 85.
const SLOW_CLIENTS: usize = 60;
/// Clients whose queries run meanwhile.
const OTHER_CLIENTS: usize = 10;
/// A statement of theirs has 4,800 bytes and is written within 1.5 s: 16 bytes each 5 ms.
const STATEMENT_BYTES: usize = 4800;
const PIECE_BYTES: usize = 16;
const PIECE_GAP: Duration = Duration::from_millis(5);
const ALLOW_MS: u64 = 5000;
const PATIENCE: Duration = Duration::from_secs(8);

fn config(address: SocketAddr, engines: &[Engine]) -> String {
    let log = change_log::start();
    let known = change_log::first_event(engines);
    format!(
        r#"{{"name":"g0","listen":"{address}","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,"memory_mb":{MEMORY_MB},"sockets":{SOCKETS}}},"changelog":"{log}",
        "known":{{"seq":1,"results":[{known}]}},
        "settings":{{"kinds":["std"],"zones":["east"],"tenants":[{{"name":"acme"}}],"balancers":1,
          "allowed":{{"max-attempts":4,"cancelling":true,"retry-after":true,"max-retry-after":1000,"dial-timeout":250,
            "may-probe":true}},
          "domain":{{"kind-cores":[64],"parallelism":[1]}},"telemetry":{{"how":"on_probe","fields":["depth","load_share"]}},
          "categories":[{{"name":"lookup","semantics":"retryable","give-up":5000,"goal-time":4000,"worth":1}}]}}}}"#
    )
}

/// The platform: kills the gateway once its memory is over the limit. Counts private memory only, without the pages of
/// the program's file. Returns the highest figure in kB, when told to stop, and whether it killed.
struct Platform {
    stop: Arc<AtomicBool>,
    peak_kb: Arc<AtomicU64>,
    watch: JoinHandle<bool>,
}

impl Platform {
    fn watch(process: u32, record: &Record) -> Platform {
        let (stop, peak_kb) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
        let (stopped, peak, record) = (stop.clone(), peak_kb.clone(), record.clone());
        let watch = thread::spawn(move || {
            let mut ticks = 0;
            while !stopped.load(Ordering::Relaxed) {
                let kb = private_memory_kb(process);
                peak.fetch_max(kb, Ordering::Relaxed);
                if ticks % 10 == 0 {
                    record.line(&format!("platform: the gateway uses {kb} kB"));
                }
                if kb > MEMORY_MB * 1024 {
                    record.line(&format!("platform: {kb} kB are over the limit of {MEMORY_MB} MB; SIGKILL"));
                    review_standins::gateway::signal(process, "KILL");
                    return true;
                }
                ticks += 1;
                sleep(ms(10));
            }
            false
        });
        Platform { stop, peak_kb, watch }
    }

    fn stop(self) -> (u64, bool) {
        self.stop.store(true, Ordering::Relaxed);
        let has_killed = self.watch.join().unwrap_or(false);
        (self.peak_kb.load(Ordering::Relaxed), has_killed)
    }
}

fn private_memory_kb(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

/// A usual client whose statement is written in pieces, or whole without the disruption. One call, no repeat.
fn slow_client(address: SocketAddr) -> JoinHandle<Option<Outcome>> {
    thread::spawn(move || {
        let id = client::new_id();
        let text = "SELECT price FROM sales_17.lots WHERE serial IN (";
        let statement = format!("{text}{})", "7".repeat(STATEMENT_BYTES - text.len() - 1));
        let request = client::request("lookup", &id, ALLOW_MS, None, &statement);
        let (head, body) = request.as_bytes().split_at(request.len() - statement.len());
        let stream = TcpStream::connect(address).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(PATIENCE)).ok()?;
        let mut is_whole = (&stream).write_all(head).is_ok();
        if with_trouble() {
            let begun = Instant::now();
            for (number, piece) in body.chunks(PIECE_BYTES).enumerate() {
                sleep((begun + PIECE_GAP * number as u32).saturating_duration_since(Instant::now()));
                is_whole &= (&stream).write_all(piece).is_ok();
            }
        } else {
            is_whole &= (&stream).write_all(body).is_ok();
        }
        let sent = Instant::now();
        let answer = http::read(&mut BufReader::new(&stream)).ok().flatten().filter(|_| is_whole);
        let ended_connections = usize::from(answer.is_none());
        Some(Outcome { id, sent, answer: answer.map(|answer| (Instant::now(), answer)), ended_connections })
    })
}

fn other_client(address: SocketAddr) -> JoinHandle<Option<Outcome>> {
    thread::spawn(move || {
        let id = client::new_id();
        let request = client::request("lookup", &id, ALLOW_MS, None, "SELECT 1 FROM sales_3.lots /* work 2500 */");
        let stream = TcpStream::connect(address).ok()?;
        stream.set_read_timeout(Some(PATIENCE)).ok()?;
        (&stream).write_all(request.as_bytes()).ok()?;
        let sent = Instant::now();
        let answer = http::read(&mut BufReader::new(&stream)).ok().flatten();
        let ended_connections = usize::from(answer.is_none());
        Some(Outcome { id, sent, answer: answer.map(|answer| (Instant::now(), answer)), ended_connections })
    })
}

/// Writes down what became of the requests, and returns how many got no answer.
fn unanswered(kind: &str, calls: Vec<JoinHandle<Option<Outcome>>>, record: &Record) -> usize {
    let mut count = 0;
    for outcome in calls.into_iter().filter_map(|call| call.join().ok().flatten()) {
        let Outcome { id, sent, answer, .. } = outcome;
        let text = match &answer {
            Some((at, message)) => format!("{} after {} ms", message.start_line, (*at - sent).as_millis()),
            None => "no answer, its connection ended".into(),
        };
        count += usize::from(answer.is_none());
        record.line(&format!("{kind} request {id}, last byte written at {}: {text}", record.at(sent)));
    }
    count
}

fn main() {
    let record = Record::create();
    let engines: Vec<Engine> = (1..=3).map(|n| Engine::start(&format!("e{n}"), &record)).collect();
    let address = free_address();
    let mut gateway = Gateway::start(address, &config(address, &engines), &record);
    let platform = Platform::watch(gateway.process_id(), &record);

    let others: Vec<_> = (0..OTHER_CLIENTS).map(|_| other_client(address)).collect();
    sleep(ms(100));
    let way = if with_trouble() { "in pieces of 16 bytes, one each 5 ms" } else { "whole" };
    record.line(&format!("{SLOW_CLIENTS} clients write statements of {STATEMENT_BYTES} bytes {way}"));
    let slow: Vec<_> = (0..SLOW_CLIENTS).map(|_| slow_client(address)).collect();
    let unanswered_slow = unanswered("slow", slow, &record);
    let unanswered_others = unanswered("other", others, &record);
    let (peak_kb, was_killed) = platform.stop();
    let has_ended = gateway.has_exited();
    drop(gateway);
    record.say(&format!(
        "peak of private memory {peak_kb} kB, limit {} kB; killed for memory: {was_killed}; requests without an answer: \
         {unanswered_others} of {OTHER_CLIENTS} whose queries ran, {unanswered_slow} of {SLOW_CLIENTS} written slowly",
        MEMORY_MB * 1024
    ));
    exit(i32::from(was_killed || has_ended));
}
