//! Bad clients beside usual ones, while engines die and others come up at their addresses, one drains and the change log
//! breaks off. The seed draws all of it. `GATEWAY_TEST_SEEDS=1..60` replaces the default seeds.

mod helper;

use helper::process::{ms, FakeEngineProcess};
use helper::seeds::{run_seeds, Random};
use helper::*;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn, JoinHandle};
use std::time::{Duration, Instant};

/// The lowest memory limit of a deployment, in MiB.
const MEMORY_MB: usize = 32;
const SOCKETS: usize = 1024;
const USUAL_CLIENTS: u64 = 8;
/// Time for which the clients send.
const DURATION: Duration = Duration::from_secs(3);
const CONCURRENT_SEEDS: usize = 2;
/// Set by the protocol: an answer that comes up to this long after its deadline earns nothing, a later one counts as lost;
/// each limit is 50 ms longer on sockets.
const LATE_ANSWER_LIMIT: Duration = Duration::from_millis(550);
/// Set by the protocol: a request whose connection is closed within this time has crossed the close.
const CROSSING_LIMIT: Duration = Duration::from_millis(50);

/// What the clients of one seed share.
#[derive(Clone)]
struct Run {
    seed: u64,
    gateway: SocketAddr,
    deadline_ms: u64,
    stopped: Arc<AtomicBool>,
    violations: Arc<Mutex<Vec<String>>>,
}

impl Run {
    fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }

    fn violated(&self, text: String) {
        self.violations.lock().unwrap().push(text);
    }
}

/// A running engine process with its cell.
struct Engine {
    name: String,
    cell: u64,
    process: FakeEngineProcess,
    is_alive: bool,
    /// When the log told of it; attempts before may have been meant for another engine of its address.
    listed_at: Instant,
}

impl Engine {
    fn start(name: &str, cell: u64, address: SocketAddr) -> Engine {
        Engine {
            name: name.into(),
            cell,
            process: FakeEngineProcess::at(address),
            is_alive: true,
            listed_at: Instant::now(),
        }
    }

    fn entry(&self, state: &str) -> Value {
        let mut entry = endpoint(&self.name, self.process.address, state);
        entry["cell"] = json!(self.cell);
        entry
    }
}

/// Sends queries one after the other, each on a new connection or on the open one, and judges the answers.
fn run_usual_client(run: &Run, mut random: Random) -> usize {
    let mut served = 0;
    while !run.is_stopped() {
        let Ok(stream) = TcpStream::connect(run.gateway) else {
            run.violated("a connection was refused".into());
            return served;
        };
        let limit = ms(run.deadline_ms) + LATE_ANSWER_LIMIT;
        stream.set_read_timeout(Some(limit * 2)).unwrap();
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        for _ in 0..1 + random.below(4) {
            let class = random.one_of(&["report", "report", "load", "keyed"]);
            let runs = random.one_of(&[0, 5, 50, 200]);
            let id = new_id();
            let headers = request_headers(&id, run.deadline_ms as u32);
            let statement = format!("INSERT INTO sales_17.lots {class} /* runs {runs} */");
            let sent_at = Instant::now();
            send_request(&stream, &format!("POST /v1/{class}"), &headers, &statement);
            let answer = read_message(&mut reader).map(Answer::of);
            let took = sent_at.elapsed();
            let is_crossing = answer.is_none() && took < CROSSING_LIMIT;
            if took > limit || answer.is_none() && !is_crossing {
                run.violated(format!("{class} {id}: {answer:?} after {took:?}"));
            }
            let Some(answer) = answer else {
                break;
            };
            if answer.succeeded() {
                served += 1;
                if answer.json["data"] != json!(ROWS_AS_JSON) {
                    run.violated(format!("{class} {id}: served in part: {answer:?}"));
                }
            }
            sleep(ms(random.below(30)));
        }
    }
    served
}

/// What a bad client sends on a connection.
fn bad_request(random: &mut Random, open_id: &str) -> String {
    let head = |path: &str, id: &str, fields: &str, length: usize| {
        let headers = request_headers(id, 1000);
        format!("{path} HTTP/1.1\r\nHost: g\r\n{headers}{fields}Content-Length: {length}\r\n\r\n")
    };
    let many_fields: String = (0..80).map(|n| format!("f{n}:\r\n")).collect();
    match random.below(9) {
        0 => head("POST /v1/report", open_id, "", 200_007) + "SELECT " + &"a,".repeat(100_000),
        1 => head("POST /v1/load", &new_id(), "", 11) + "DELETE FROM sales_17.lots WHERE lot = 1",
        2 => head("POST /v1/nowhere", &new_id(), "", 1) + "x",
        3 => head("POST /v1/report", &new_id(), &many_fields, 60_000_000) + &"x".repeat(50_000),
        4 => head("POST /v1/report", &new_id(), &many_fields, 20_000) + &"x".repeat(9000),
        5 => format!("POST /v1/report HTTP/1.1\r\n{many_fields}"),
        6 => "\u{1}\u{2} no request\r\n\r\n".repeat(100),
        7 => head("DELETE /v1/report", open_id, "", 0) + "WHERE lot = 1",
        _ => (head("POST /v1/report", &new_id(), "", 8) + "SELECT 1").repeat(200),
    }
}

/// Sends bad requests at full speed, and closes or reads on by chance.
fn run_bad_client(run: &Run, mut random: Random, open_id: &str) {
    while !run.is_stopped() {
        let Ok(stream) = TcpStream::connect(run.gateway) else {
            continue;
        };
        stream.set_write_timeout(Some(ms(500))).unwrap();
        stream.set_read_timeout(Some(ms(500))).unwrap();
        let request = bad_request(&mut random, open_id);
        let is_written = (&stream).write_all(request.as_bytes()).is_ok();
        if is_written && random.below(4) > 0 {
            let mut answer = [0; 4096];
            let _ = (&stream).read(&mut answer);
        }
    }
}

fn start_clients(run: &Run, random: &mut Random) -> (Vec<JoinHandle<usize>>, Vec<JoinHandle<()>>) {
    let usual = (0..USUAL_CLIENTS).map(|n| {
        let (run, random) = (run.clone(), Random(run.seed * 1000 + n));
        spawn(move || run_usual_client(&run, random))
    });
    let usual = usual.collect();
    let bad_clients = random.one_of(&[4, 20, 60]);
    let bad = (0..bad_clients).map(|n| {
        let (run, random) = (run.clone(), Random(run.seed * 1000 + 500 + n));
        spawn(move || run_bad_client(&run, random, "0be40be40be40be4"))
    });
    (usual, bad.collect())
}

/// Kills an engine, and starts one of another cell at its address. The log tells of the new one first, by chance.
fn replace_engine(test_bed: &TestBed, engines: &mut Vec<Engine>, random: &mut Random) {
    let position = loop {
        let position = random.below(engines.len() as u64) as usize;
        if engines[position].is_alive {
            break position;
        }
    };
    engines[position].is_alive = false;
    let address = engines[position].process.address;
    engines[position].process.kill();
    let name = format!("s-new-{}", engines.len());
    let mut new = Engine::start(&name, 3 - engines[position].cell, address);
    let removal = engines[position].entry("DELETED");
    sleep(ms(random.below(100)));
    let changes = match random.below(3) {
        0 => vec![removal.clone(), new.entry("SERVING")],
        _ => vec![new.entry("SERVING")],
    };
    publish(test_bed, &changes);
    new.listed_at = Instant::now();
    sleep(ms(random.below(300)));
    publish(test_bed, &[removal]);
    engines.push(new);
}

/// Publishes a change under the next number.
fn publish(test_bed: &TestBed, entries: &[Value]) {
    let number = test_bed.log.events.lock().unwrap().len() as u64 + 1;
    test_bed.log.publish(list_change_event(number, entries));
}

fn disturb(test_bed: &TestBed, engines: &mut Vec<Engine>, random: &mut Random) {
    let began = Instant::now();
    let mut is_drained = false;
    while began.elapsed() < DURATION {
        sleep(ms(200 + random.below(400)));
        match random.below(4) {
            0 => replace_engine(test_bed, engines, random),
            1 => test_bed.log.close_streams(),
            2 if !is_drained && engines[0].is_alive => {
                is_drained = true;
                publish(test_bed, &[engines[0].entry("DRAINING")]);
            }
            _ => {}
        }
    }
}

/// Queries of a class by the cells that received an attempt of theirs, once the log had told of the engine for 50 ms.
fn cells_by_query(engines: &[Engine], class: &str) -> BTreeMap<String, Vec<u64>> {
    let mut cells: BTreeMap<String, Vec<u64>> = BTreeMap::new();
    for engine in engines {
        let told_at = engine.listed_at + ms(50);
        let is_first = !engine.name.starts_with("s-new");
        for attempt in engine.process.attempts() {
            if attempt.statement.contains(&format!(" {class} /*"))
                && (is_first || attempt.received_at > told_at)
            {
                cells.entry(attempt.id).or_default().push(engine.cell);
            }
        }
    }
    cells
}

/// Lists the attempts of a query, with the time since the log told of their engine.
fn attempts_of(engines: &[Engine], id: &str) -> String {
    let mut lines = String::new();
    for engine in engines {
        let attempts = engine.process.attempts();
        for attempt in attempts.iter().filter(|attempt| attempt.id == id) {
            let since_told = attempt
                .received_at
                .saturating_duration_since(engine.listed_at);
            lines += &format!(
                "{} at {} in cell {}, {since_told:?} after it was told, {:?} ago; ",
                engine.name,
                engine.process.address,
                engine.cell,
                attempt.received_at.elapsed()
            );
        }
    }
    lines
}

fn assert_no_effect_twice(seed: u64, engines: &[Engine]) {
    for (id, cells) in cells_by_query(engines, "load") {
        assert_eq!(cells.len(), 1, "seed {seed}: {id} ran twice");
    }
    for (id, cells) in cells_by_query(engines, "keyed") {
        let distinct: BTreeSet<u64> = cells.into_iter().collect();
        assert_eq!(
            distinct.len(),
            1,
            "seed {seed}: {id} ran in two cells: {}",
            attempts_of(engines, &id)
        );
    }
    let statements = engines.iter().flat_map(|engine| engine.process.attempts());
    for attempt in statements {
        assert_ne!(
            attempt.statement, "DELETE FROM",
            "seed {seed}: a cut statement ran"
        );
    }
}

fn peak_memory_kb(test_bed: &TestBed) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{}/status", test_bed.child.id())).unwrap();
    let peak = status.lines().find(|l| l.starts_with("VmHWM:")).unwrap();
    peak.split_whitespace().nth(1).unwrap().parse().unwrap()
}

fn start_test_bed(engines: &[Engine], deadline_ms: u64) -> TestBed {
    let known: Vec<Value> = engines
        .iter()
        .map(|engine| engine.entry("SERVING"))
        .collect();
    TestBed::start_with(move |config| {
        config["known"]["results"] = json!([full_list_event(0, &known)]);
        config["limits"] = json!({"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS});
        let limit = deadline_ms as f64;
        let mut keyed = query_class("keyed", "dedup", limit);
        keyed["key-scope"] = json!("cell");
        keyed["dedup-window"] = json!(12_000.0);
        let settings = &mut config["settings"];
        settings["categories"] = json!([
            query_class("report", "retryable", limit),
            query_class("load", "fragile", limit),
            keyed
        ]);
        settings["allowed"]["max-attempts"] = json!(4);
        settings["domain"] =
            json!({"kind-cores": [64], "parallelism": [1, 1, 1], "loads": [false, false, false]});
    })
}

fn run_seed(seed: u64) {
    let mut random = Random(seed);
    let deadline_ms = random.one_of(&[500, 1000, 3000]);
    let any = || SocketAddr::new(free_address().ip(), 0);
    let mut engines: Vec<Engine> = [1, 1, 2, 2]
        .iter()
        .enumerate()
        .map(|(n, cell)| Engine::start(&format!("s-{n}"), *cell, any()))
        .collect();
    let mut test_bed = start_test_bed(&engines, deadline_ms);
    let run = Run {
        seed,
        gateway: test_bed.address,
        deadline_ms,
        stopped: Arc::default(),
        violations: Arc::default(),
    };
    let (usual, bad) = start_clients(&run, &mut random);
    disturb(&test_bed, &mut engines, &mut random);
    run.stopped.store(true, Ordering::Relaxed);
    let served: usize = usual.into_iter().map(|client| client.join().unwrap()).sum();
    bad.into_iter().for_each(|client| client.join().unwrap());
    let violations = run.violations.lock().unwrap();
    assert!(violations.is_empty(), "seed {seed}: {violations:?}");
    assert!(served > 0, "seed {seed}: nothing was served");
    assert_no_effect_twice(seed, &engines);
    let (peak, limit) = (peak_memory_kb(&test_bed), MEMORY_MB * 1024);
    assert!(peak < limit, "seed {seed}: {peak} kB of memory, of {limit}");
    assert!(
        test_bed.child.try_wait().unwrap().is_none(),
        "seed {seed}: it ended"
    );
}

#[test]
fn usual_clients_are_answered_beside_bad_ones_while_engines_are_replaced() {
    run_seeds("1..9", CONCURRENT_SEEDS, run_seed);
}
