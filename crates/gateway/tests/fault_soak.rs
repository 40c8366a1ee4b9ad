//! Several gateway processes whose calls of the system fail at random, several at a time, beside times without processor
//! time, series of signals, restarts and crowds of idle clients. Judged by the rules: one answer in time for each query,
//! order in each key, one attempt of a key at a time, no effect twice, nothing begun for a client that has left.
//!
//! The seed draws all of it. `GATEWAY_TEST_SEEDS=1..60` replaces the default seeds. `GATEWAY_TEST_LOGS` names a folder in
//! which each process writes its log, in full.

mod helper;

use helper::fault_schedule::{signal, FaultKind, FaultSchedule, SharedFaults};
use helper::one_engine::{GAP_MS, NEW_CONNECTION_GAP_MS};
use helper::process::{ms, FakeEngineProcess, ReceivedAttempt};
use helper::seeds::{run_seeds, Random};
use helper::*;
use serde_json::json;
use std::collections::{HashMap, HashSet};
use std::fs::File;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::process::{Child, Stdio};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn, JoinHandle, Scope};
use std::time::{Duration, Instant};

const GATEWAYS: u64 = 6;
/// Number of seeds that run at the same time.
const CONCURRENT_SEEDS: usize = 4;
/// Number of clients of each gateway that send queries with a key of their own, or without one.
const KEYED_CLIENTS: u64 = 2;
const OTHER_CLIENTS: u64 = 2;
/// Number of idle connections to each gateway in the runs that have a crowd.
const CROWD: usize = 80;
/// Time from the start of a gateway to its SIGTERM.
const RUN_TIME: Duration = Duration::from_millis(3500);
/// Set by the protocol: an answer that comes up to this long after its deadline earns nothing, a later one counts as lost;
/// each limit is 50 ms longer on sockets.
const LATE_ANSWER_LIMIT: Duration = Duration::from_millis(550);
/// Set by the protocol: a request whose connection is closed within this time has crossed the close.
const CROSSING_LIMIT: Duration = Duration::from_millis(50);
/// Set by the protocol: no attempt begins later than this after its client has left; 50 ms longer on sockets.
const LEAVE_LIMIT: Duration = Duration::from_millis(150);
/// Set by the protocol: new connections are made for this long after SIGTERM.
const CONNECTS_AFTER_SIGTERM: Duration = Duration::from_millis(200);
/// Set by the protocol: SIGKILL follows no sooner than this and the longest deadline, of which 3 s count at most.
const KILL_AFTER_SIGTERM: Duration = Duration::from_millis(700);
/// Share of the queries that have to be served.
const MIN_SERVED_SHARE: f64 = 0.5;

/// What happened to the queries of one seed.
#[derive(Default)]
struct Record {
    violations: Vec<String>,
    sent: usize,
    served: usize,
    /// Ids of the queries that were rejected as not run.
    rejected: HashSet<String>,
    /// When the clients of queries left, by id.
    left_at: HashMap<String, Instant>,
}

/// One gateway process as its clients see it.
#[derive(Clone)]
struct Gateway {
    name: String,
    address: SocketAddr,
    allowed: Duration,
    /// Time of SIGTERM, once it was sent.
    stopped_at: Arc<Mutex<Option<Instant>>>,
    record: Arc<Mutex<Record>>,
}

/// A query that was sent, whose answer is to be read.
struct SentQuery<'a> {
    connection: &'a mut Connection,
    id: String,
    sent_at: Instant,
}

/// A client's connection; `None` until it is opened, or after it was closed.
#[derive(Default)]
struct Connection(Option<BufReader<TcpStream>>);

impl Connection {
    /// Opens the connection if it is closed. Returns false once clients connect no more.
    fn open(&mut self, gateway: &Gateway) -> bool {
        if self.0.is_none() && gateway.accepts_connections() {
            self.0 = TcpStream::connect(gateway.address).ok().map(|stream| {
                stream.set_nodelay(true).unwrap();
                let limit = (gateway.allowed + LATE_ANSWER_LIMIT) * 2;
                stream.set_read_timeout(Some(limit)).unwrap();
                BufReader::new(stream)
            });
        }
        self.0.is_some()
    }

    /// Opens the connection and gets an answer on it, so that the gateway has accepted it.
    fn open_and_use(&mut self, gateway: &Gateway) -> bool {
        if self.0.is_some() {
            return true;
        }
        if !self.open(gateway) {
            return false;
        }
        let reader = self.0.as_mut().unwrap();
        send_request(reader.get_ref(), "GET /healthz", "", "");
        if read_message(reader).is_none() {
            self.0 = None;
        }
        self.0.is_some()
    }

    /// Sends a query; `None` if the connection is closed.
    fn send(
        &mut self,
        gateway: &Gateway,
        class: &str,
        key: &str,
        statement: &str,
    ) -> Option<SentQuery<'_>> {
        let id = new_id();
        let headers = request_headers(&id, gateway.allowed.as_millis() as u32) + key;
        let length = statement.len();
        let request = format!(
            "POST /v1/{class} HTTP/1.1\r\nHost: g\r\n{headers}Content-Length: {length}\r\n\r\n{statement}"
        );
        let stream = self.0.as_mut()?;
        if stream.get_mut().write_all(request.as_bytes()).is_err() {
            self.0 = None;
            return None;
        }
        gateway.record.lock().unwrap().sent += 1;
        Some(SentQuery {
            connection: self,
            id,
            sent_at: Instant::now(),
        })
    }
}

impl SentQuery<'_> {
    /// Reads the answer and judges it.
    fn finish(self, gateway: &Gateway) {
        let answer = self
            .connection
            .0
            .as_mut()
            .and_then(read_message)
            .map(Answer::of);
        let took = self.sent_at.elapsed();
        let mut record = gateway.record.lock().unwrap();
        let place = format!("{} query {}", gateway.name, self.id);
        let Some(answer) = answer else {
            self.connection.0 = None;
            if took > CROSSING_LIMIT {
                let text =
                    format!("{place}: the connection ended without an answer after {took:?}");
                record.violations.push(text);
            }
            return;
        };
        if took > gateway.allowed + LATE_ANSWER_LIMIT {
            let text = format!("{place}: {} after {took:?}", answer.status);
            record.violations.push(text);
        }
        if answer.succeeded() {
            record.served += 1;
            if answer.json["data"] != json!(ROWS_AS_JSON) {
                record
                    .violations
                    .push(format!("{place}: served in part: {answer:?}"));
            }
        }
        if answer.status == 503 {
            record.rejected.insert(self.id);
        }
    }

    /// Closes the connection without waiting for the answer.
    fn leave(self, gateway: &Gateway) {
        if let Some(stream) = self.connection.0.take() {
            let _ = stream.get_ref().shutdown(Shutdown::Both);
        }
        let mut record = gateway.record.lock().unwrap();
        record.sent -= 1;
        record.left_at.insert(self.id, Instant::now());
    }
}

/// Reads the answer to a query as it comes, beside what the client does meanwhile.
fn finish_beside<'scope>(
    scope: &'scope Scope<'scope, '_>,
    gateway: &'scope Gateway,
    query: Option<SentQuery<'scope>>,
) {
    if let Some(query) = query {
        scope.spawn(move || query.finish(gateway));
    }
}

impl Gateway {
    fn accepts_connections(&self) -> bool {
        let stopped_at = *self.stopped_at.lock().unwrap();
        stopped_at.is_none_or(|at| at.elapsed() < CONNECTS_AFTER_SIGTERM)
    }

    /// Sends queries of one key in threes: one on a new connection and one each on two open connections, as far apart as
    /// the protocol has it.
    fn run_keyed_client(&self, number: u64, mut random: Random) {
        let key = new_id();
        let header = format!("X-Item: {key}\r\n");
        let (mut first_open, mut second_open) = (Connection::default(), Connection::default());
        let mut sequence = 0;
        let mut statement = |random: &mut Random| {
            sequence += 1;
            let runs = random.one_of(&[0, 0, 5, 30, 200]);
            format!("INSERT {key} {sequence} /* runs {runs} */")
        };
        loop {
            let mut new = Connection::default();
            let is_new_open = new.open(self);
            let is_first_open = first_open.open_and_use(self);
            let is_second_open = second_open.open_and_use(self);
            if !is_first_open && !is_second_open && !self.accepts_connections() {
                return;
            }
            sleep(ms(GAP_MS));
            let leaves = number == 0 && random.below(3) == 0;
            std::thread::scope(|scope| {
                if is_new_open {
                    finish_beside(
                        scope,
                        self,
                        new.send(self, "load", &header, &statement(&mut random)),
                    );
                    sleep(ms(NEW_CONNECTION_GAP_MS));
                }
                finish_beside(
                    scope,
                    self,
                    first_open.send(self, "load", &header, &statement(&mut random)),
                );
                sleep(ms(GAP_MS));
                let last = second_open.send(self, "load", &header, &statement(&mut random));
                match last {
                    Some(last) if leaves => {
                        sleep(ms(random.below(80)));
                        last.leave(self);
                    }
                    last => finish_beside(scope, self, last),
                }
            });
            sleep(ms(NEW_CONNECTION_GAP_MS));
        }
    }

    /// Sends queries without a key, and leaves some of them.
    fn run_other_client(&self, mut random: Random) {
        let mut connection = Connection::default();
        while connection.open(self) {
            for _ in 0..1 + random.below(5) {
                let (class, word) = random.one_of(&[("report", "SELECT"), ("load", "INSERT")]);
                let runs = random.one_of(&[0, 5, 50, 300]);
                let statement = format!("{word} 1 /* runs {runs} */");
                let Some(query) = connection.send(self, class, "", &statement) else {
                    break;
                };
                if random.below(8) == 0 {
                    sleep(ms(random.below(200)));
                    query.leave(self);
                } else {
                    query.finish(self);
                }
                sleep(ms(random.below(30)));
            }
            if random.below(2) == 0 {
                connection = Connection::default();
            }
        }
    }

    fn start_clients(&self, mut random: Random) -> Vec<JoinHandle<()>> {
        let mut clients = Vec::new();
        for number in 0..KEYED_CLIENTS {
            let (gateway, random) = (self.clone(), Random(random.below(u64::MAX)));
            clients.push(spawn(move || gateway.run_keyed_client(number, random)));
        }
        for _ in 0..OTHER_CLIENTS {
            let (gateway, random) = (self.clone(), Random(random.below(u64::MAX)));
            clients.push(spawn(move || gateway.run_other_client(random)));
        }
        clients
    }

    /// Records a violation for each counter of the gateway that counts some.
    fn judge_counters(&self) {
        let page = TcpStream::connect(self.address)
            .ok()
            .and_then(|stream| round_trip(stream, "GET /metrics", "", ""));
        let Some(page) = page else {
            return;
        };
        let page = String::from_utf8_lossy(&page.body).into_owned();
        let violations = page.lines().filter(|line| {
            let name_counts = [
                "garnetwall_rule_violations_total",
                "garnetwall_requests_closed_unanswered_total",
                "garnetwall_task_panics_total",
            ];
            name_counts.iter().any(|name| line.starts_with(name)) && !line.ends_with(" 0")
        });
        let mut record = self.record.lock().unwrap();
        for line in violations {
            record.violations.push(format!("{}: {line}", self.name));
        }
    }

    fn violated(&self, text: String) {
        self.record.lock().unwrap().violations.push(text);
    }
}

/// Settings of all gateways of a seed.
#[derive(Clone)]
struct Deployment {
    seed: u64,
    engines: Vec<FakeEngineProcess>,
    log: FakeChangeLog,
    allowed: Duration,
    has_crowd: bool,
    record: Arc<Mutex<Record>>,
}

impl Deployment {
    fn start_gateway(&self, name: &str, address: SocketAddr, faults: &SharedFaults) -> Child {
        let mut settings = config(self.engines[0].address, self.log.address);
        settings["listen"] = json!(address.to_string());
        let entries: Vec<_> = self
            .engines
            .iter()
            .enumerate()
            .map(|(n, engine)| endpoint(&format!("s-{n}"), engine.address, "SERVING"))
            .collect();
        settings["known"]["results"] = json!([full_list_event(0, &entries)]);
        for n in 0..2 {
            settings["settings"]["categories"][n]["give-up"] =
                json!(self.allowed.as_millis() as f64);
        }
        let mut command = gateway_command(&["serve"]);
        faults.faults.apply_to(&mut command);
        let child = command
            .env("PROXY_CONFIG", write_config(&settings))
            .env("GARNETWALL_LOG", "debug")
            .stderr(log_file(name))
            .spawn()
            .unwrap();
        wait_until(&format!("{name} is healthy"), || {
            let connected = TcpStream::connect(address).ok();
            let answer = connected.and_then(|stream| round_trip(stream, "GET /healthz", "", ""));
            answer.is_some_and(|answer| answer.start_line == "HTTP/1.1 200 OK")
        });
        child
    }

    /// Runs a gateway at one address, and a second one after it.
    fn run_gateway(&self, number: u64) {
        let address = free_address();
        for generation in 0..2 {
            let random = Random(self.seed * 1000 + number * 10 + generation);
            let name = format!("seed {}, gateway {number}.{generation}", self.seed);
            self.run_process(name, address, random);
        }
    }

    fn run_process(&self, name: String, address: SocketAddr, mut random: Random) {
        let faults = SharedFaults::new();
        let mut child = self.start_gateway(&name, address, &faults);
        let gateway = Gateway {
            name,
            address,
            allowed: self.allowed,
            stopped_at: Arc::default(),
            record: self.record.clone(),
        };
        let crowd: Vec<TcpStream> = (0..if self.has_crowd { CROWD } else { 0 })
            .filter_map(|_| TcpStream::connect(address).ok())
            .collect();
        let clients = gateway.start_clients(Random(random.below(u64::MAX)));
        let mut start = |kind| {
            let random = Random(random.below(u64::MAX));
            FaultSchedule::start(kind, faults.clone(), child.id(), random)
        };
        let before_stop = [start(FaultKind::Accept), start(FaultKind::Stall)];
        let until_exit = start(FaultKind::Other);
        let stops_at = Instant::now() + RUN_TIME;
        while Instant::now() < stops_at {
            sleep(ms(100 + random.below(900)));
            (0..random.below(3)).for_each(|_| signal(child.id(), "HUP"));
        }
        before_stop.into_iter().for_each(FaultSchedule::stop);
        gateway.judge_counters();
        if let Some(status) = child.try_wait().unwrap() {
            gateway.violated(format!("{}: ended by itself: {status}", gateway.name));
        }
        self.stop_process(&gateway, &mut child, &mut random);
        until_exit.stop();
        for client in clients {
            client.join().unwrap();
        }
        drop(crowd);
    }

    /// Ends a gateway with a series of signals, and kills it at the earliest time.
    fn stop_process(&self, gateway: &Gateway, child: &mut Child, random: &mut Random) {
        let stopped_at = Instant::now();
        *gateway.stopped_at.lock().unwrap() = Some(stopped_at);
        signal(child.id(), "TERM");
        for _ in 0..random.below(4) {
            sleep(ms(10 + random.below(50)));
            signal(child.id(), random.one_of(&["TERM", "HUP", "INT"]));
        }
        let earliest_kill =
            stopped_at + KILL_AFTER_SIGTERM + self.allowed.min(Duration::from_secs(3));
        let mut status = None;
        while status.is_none() && Instant::now() < earliest_kill {
            sleep(ms(2));
            status = child.try_wait().unwrap();
        }
        if !status.is_some_and(|status| status.success()) {
            gateway.violated(format!("{}: exit status {status:?}", gateway.name));
        }
        let _ = child.kill();
        let _ = child.wait();
    }

    /// Judges what the engines received.
    fn judge_attempts(&self) {
        let mut attempts: Vec<ReceivedAttempt> = self
            .engines
            .iter()
            .flat_map(FakeEngineProcess::attempts)
            .collect();
        attempts.sort_by_key(|attempt| attempt.received_at);
        let mut record = self.record.lock().unwrap();
        let mut found = Vec::new();
        let mut non_idempotent = HashSet::new();
        let mut last_of_key: HashMap<String, (u64, ReceivedAttempt)> = HashMap::new();
        for attempt in attempts {
            let (id, statement) = (&attempt.id, &attempt.statement);
            if statement.starts_with("INSERT") {
                if !non_idempotent.insert(id.clone()) {
                    found.push(format!("{id} ran twice: {statement}"));
                }
                if record.rejected.contains(id) {
                    found.push(format!("{id} ran and was rejected: {statement}"));
                }
            }
            let left_at = record.left_at.get(id);
            if left_at.is_some_and(|at| attempt.received_at > *at + LEAVE_LIMIT) {
                found.push(format!("{id} began after its client had left: {statement}"));
            }
            let words: Vec<&str> = statement.split(' ').collect();
            let Ok(sequence) = words[2].parse::<u64>() else {
                continue;
            };
            let last = last_of_key.insert(words[1].into(), (sequence, attempt.clone()));
            let Some((last_sequence, last)) = last else {
                continue;
            };
            if last_sequence >= sequence {
                found.push(format!(
                    "{statement} came after {} of its key",
                    last.statement
                ));
            }
            let may_run_until = last.ended_at().unwrap_or_else(Instant::now);
            if may_run_until > attempt.received_at {
                found.push(format!("{statement} began beside {}", last.statement));
            }
        }
        record.violations.extend(found);
    }
}

/// The file for the log of a gateway, if logs are kept.
fn log_file(gateway: &str) -> Stdio {
    match std::env::var("GATEWAY_TEST_LOGS") {
        Ok(folder) => Stdio::from(File::create(format!("{folder}/{gateway}.log")).unwrap()),
        Err(_) => Stdio::null(),
    }
}

fn run_seed(seed: u64) {
    let mut random = Random(seed);
    let deployment = Deployment {
        seed,
        engines: (0..2).map(|_| FakeEngineProcess::start()).collect(),
        log: FakeChangeLog::start(),
        allowed: ms(random.one_of(&[800, 1500, 3000])),
        has_crowd: random.below(3) == 0,
        record: Arc::default(),
    };
    let gateways: Vec<_> = (0..GATEWAYS)
        .map(|number| {
            let deployment = deployment.clone();
            spawn(move || deployment.run_gateway(number))
        })
        .collect();
    for gateway in gateways {
        gateway.join().unwrap();
    }
    deployment.judge_attempts();
    // The descriptors of one seed must not be missing to the next.
    deployment.engines.iter().for_each(FakeEngineProcess::kill);
    deployment.log.close_streams();
    let record = deployment.record.lock().unwrap();
    let share = record.served as f64 / record.sent as f64;
    println!(
        "seed {seed}: {} sent, {} served, {} rejected, {} left",
        record.sent,
        record.served,
        record.rejected.len(),
        record.left_at.len()
    );
    assert!(
        record.violations.is_empty(),
        "seed {seed}, {:?} allowed: {:#?}",
        deployment.allowed,
        record.violations
    );
    assert!(
        share >= MIN_SERVED_SHARE,
        "seed {seed}: a share of {share} was served"
    );
}

#[test]
fn rules_hold_while_calls_fail_and_processes_stall_and_restart() {
    run_seeds("1..5", CONCURRENT_SEEDS, run_seed);
}
