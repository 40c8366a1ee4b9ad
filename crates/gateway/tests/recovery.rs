//! A gateway with a journal is killed while non-idempotent queries are in flight, or its disk fails. By the engine's
//! count no query runs twice, and a key is paused for an attempt that may still run.

mod helper;

use helper::faults::Faults;
use helper::process::{ms, FakeEngineProcess};
use helper::*;
use serde_json::json;
use std::collections::HashMap;
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Header field with the ordering key of these tests.
const KEY: &str = "X-Item: 7f3a9c21e0b4d655\r\n";

/// A gateway that can be killed and restarted at the same address and with the same journal.
struct RestartableGateway {
    engine: FakeEngineProcess,
    _log: FakeChangeLog,
    config: PathBuf,
    plan: PathBuf,
    address: std::net::SocketAddr,
    faults: Faults,
    child: Child,
}

impl RestartableGateway {
    fn start() -> RestartableGateway {
        RestartableGateway::start_with(Faults::new())
    }

    fn start_with(faults: Faults) -> RestartableGateway {
        let (engine, log) = (FakeEngineProcess::start(), FakeChangeLog::start());
        let mut settings_file = config(engine.address, log.address);
        settings_file["settings"]["categories"][1]["give-up"] = json!(8000.0);
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!(
            "journal-{}-{}",
            std::process::id(),
            new_id()
        ));
        std::fs::create_dir_all(&folder).unwrap();
        let plan = folder.join("a.plan");
        std::fs::write(
            &plan,
            format!(
                "journal once-only {{\n  directory {:?}\n}}\n",
                folder.to_str().unwrap()
            ),
        )
        .unwrap();
        let config = write_config(&settings_file);
        let address = settings_file["listen"].as_str().unwrap().parse().unwrap();
        let child = RestartableGateway::serve(&config, &plan, &faults);
        let gateway = RestartableGateway {
            engine,
            _log: log,
            config,
            plan,
            address,
            faults,
            child,
        };
        gateway.wait_until_healthy();
        gateway
    }

    fn serve(config: &Path, plan: &Path, faults: &Faults) -> Child {
        let mut command = gateway_command(&["serve", "--plan", plan.to_str().unwrap()]);
        faults.apply_to(&mut command);
        command
            .env("PROXY_CONFIG", config)
            .stderr(Stdio::null())
            .spawn()
            .unwrap()
    }

    fn wait_until_healthy(&self) {
        let health_response = || {
            TcpStream::connect(self.address)
                .ok()
                .and_then(|s| round_trip(s, "GET /healthz", "", ""))
        };
        wait_until("the gateway is healthy", || {
            health_response().is_some_and(|answer| answer.start_line == "HTTP/1.1 200 OK")
        });
    }

    /// Kills the gateway, starts it again and waits until it is healthy.
    fn restart(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
        self.child = RestartableGateway::serve(&self.config, &self.plan, &self.faults);
        self.wait_until_healthy();
    }

    /// Sends a non-idempotent query with the ordering key and returns its connection.
    fn send_load(&self, id: &str, statement: &str) -> TcpStream {
        let stream = TcpStream::connect(self.address).unwrap();
        send_request(
            &stream,
            "POST /v1/load",
            &format!("{}{KEY}", request_headers(id, 7000)),
            statement,
        );
        stream
    }
}

impl Drop for RestartableGateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[test]
fn non_idempotent_query_that_may_have_run_is_not_sent_after_a_restart_and_its_key_pauses() {
    let mut gateway = RestartableGateway::start();
    let (first, second) = (new_id(), new_id());
    let _lost = gateway.send_load(&first, "INSERT 1 /* runs 60000 */");
    wait_until("the first attempt", || gateway.engine.attempts().len() == 1);
    gateway.restart();
    let again = Answer::of(
        read_message(&mut std::io::BufReader::new(
            gateway.send_load(&first, "INSERT 1"),
        ))
        .unwrap(),
    );
    assert_eq!(
        (again.status, &again.json),
        (500, &json!({"error": "Failed"})),
        "a query that may have run should be answered as failed"
    );
    let next = Answer::of(
        read_message(&mut std::io::BufReader::new(
            gateway.send_load(&second, "INSERT 2"),
        ))
        .unwrap(),
    );
    assert!(
        next.succeeded(),
        "the next query of the key should succeed: {next:?}"
    );
    let all = gateway.engine.attempts();
    assert_eq!(all.len(), 2, "expected one attempt of each query: {all:#?}");
    assert!(
        all[0].ended_at().unwrap() <= all[1].received_at,
        "the second attempt should start after the first one has ended"
    );
    // A query that was answered before the kill does not delay its key.
    gateway.restart();
    let third = Answer::of(
        read_message(&mut std::io::BufReader::new(
            gateway.send_load(&new_id(), "INSERT 3"),
        ))
        .unwrap(),
    );
    assert!(third.succeeded());
}

/// The gateway is killed repeatedly, and clients send their queries again.
#[test]
fn no_non_idempotent_query_runs_twice_when_the_gateway_is_killed_repeatedly() {
    assert_none_runs_twice_after_kills(|_, _| {});
}

/// The wall clock steps by seconds or by an hour, forward or back, between two gateway processes.
#[test]
fn no_non_idempotent_query_runs_twice_when_the_wall_clock_steps_between_kills() {
    assert_none_runs_twice_after_kills(|faults, round| {
        faults.enable("realtime", ["3600", "-3600", "7", "-7"][round as usize % 4])
    });
}

/// Returns the number of kills; `GATEWAY_TEST_KILLS` overrides the default.
fn kills() -> u64 {
    std::env::var("GATEWAY_TEST_KILLS").map_or(12, |n| n.parse().unwrap())
}

/// Kills the gateway in several rounds and asserts that no query ran twice. `before_restart` is called with the number
/// of the round before each kill.
fn assert_none_runs_twice_after_kills(before_restart: impl Fn(&Faults, u64)) {
    let mut gateway = RestartableGateway::start();
    let mut ids = Vec::new();
    for round in 0..kills() {
        let round_ids: Vec<String> = (0..6).map(|_| new_id()).collect();
        let began = Instant::now();
        let streams: Vec<TcpStream> = round_ids
            .iter()
            .map(|id| {
                let stream = TcpStream::connect(gateway.address).unwrap();
                send_request(
                    &stream,
                    "POST /v1/load",
                    &request_headers(id, 7000),
                    &format!("INSERT {id} /* runs 3 */"),
                );
                stream
            })
            .collect();
        // The kills are spread over the time from before the first record to after the last answer.
        sleep(ms(round * 7 % 30).saturating_sub(began.elapsed()));
        before_restart(&gateway.faults, round);
        gateway.restart();
        drop(streams);
        for id in &round_ids {
            let stream = TcpStream::connect(gateway.address).unwrap();
            let answer = round_trip(
                stream,
                "POST /v1/load",
                &request_headers(id, 7000),
                &format!("INSERT {id} /* runs 3 */"),
            );
            let answer = Answer::of(answer.expect("an answer should arrive"));
            assert!(
                [200, 500, 503].contains(&answer.status),
                "expected 200, 500 or 503: {answer:?}"
            );
        }
        ids.extend(round_ids);
    }
    let mut runs: HashMap<String, usize> = HashMap::new();
    gateway
        .engine
        .attempts()
        .iter()
        .for_each(|attempt| *runs.entry(attempt.id.clone()).or_default() += 1);
    let twice: Vec<_> = runs.iter().filter(|(_, n)| **n > 1).collect();
    let known = |id: &str| {
        gateway
            .engine
            .attempts()
            .iter()
            .any(|attempt| attempt.id == id)
    };
    assert!(twice.is_empty(), "queries ran twice: {twice:?}");
    assert!(
        ids.iter().filter(|id| known(id)).count() > 20,
        "more than 20 queries should have reached the engine"
    );
}

/// Returns the duration of a disk fault; `GATEWAY_TEST_DISK_MS` overrides the default.
fn disk_fault_duration() -> Duration {
    ms(std::env::var("GATEWAY_TEST_DISK_MS").map_or(500, |n| n.parse().unwrap()))
}

const ENOSPC: i32 = 28;
const EIO: i32 = 5;

/// Sets of calls that fail together: those that append a record, some with those that rewriting the file needs.
const DISK_FAULTS: [&[&str]; 5] = [
    &["disk-write"],
    &["disk-sync"],
    &["disk-write", "disk-open"],
    &["disk-sync", "disk-rename"],
    &[
        "disk-write",
        "disk-sync",
        "disk-open",
        "disk-rename",
        "disk-truncate",
    ],
];

/// Sends a non-idempotent query, which needs the journal, and returns the answer.
fn load(gateway: &RestartableGateway) -> Answer {
    let stream = TcpStream::connect(gateway.address).unwrap();
    let id = new_id();
    Answer::of(
        round_trip(
            stream,
            "POST /v1/load",
            &request_headers(&id, 3000),
            &format!("INSERT {id}"),
        )
        .expect("an answer should arrive"),
    )
}

/// Sends an idempotent query, which needs no journal, and returns the answer.
fn report(gateway: &RestartableGateway) -> Answer {
    let stream = TcpStream::connect(gateway.address).unwrap();
    Answer::of(
        round_trip(
            stream,
            "POST /v1/report",
            &request_headers(&new_id(), 3000),
            "SELECT 1",
        )
        .expect("an answer should arrive"),
    )
}

/// Asserts that while the disk fails, queries that need no journal are served and others rejected at once, and that all
/// are served again within 2 s of the end of the fault.
fn assert_recovers_from_disk_fault(gateway: &RestartableGateway, calls: &[&str]) {
    let began = Instant::now();
    while began.elapsed() < disk_fault_duration() {
        assert!(
            report(gateway).succeeded(),
            "{calls:?} fail: a query that needs no journal failed"
        );
        let sent_at = Instant::now();
        let rejected = load(gateway);
        assert!(
            !rejected.succeeded() && sent_at.elapsed() < ms(400),
            "{calls:?} fail: expected a rejection within 0.4 s, {rejected:?} after {:?}",
            sent_at.elapsed()
        );
    }
    calls.iter().for_each(|call| gateway.faults.disable(call));
    let recovered_at = Instant::now();
    while !load(gateway).succeeded() {
        assert!(
            recovered_at.elapsed() < ms(2000),
            "{calls:?} failed: no query succeeds within 2 s of the end of the fault"
        );
        sleep(ms(20));
    }
    let mut runs: HashMap<String, usize> = HashMap::new();
    gateway
        .engine
        .attempts()
        .iter()
        .for_each(|attempt| *runs.entry(attempt.id.clone()).or_default() += 1);
    assert!(
        runs.values().all(|n| *n == 1),
        "{calls:?} failed: a query ran twice"
    );
}

#[test]
fn disk_that_fails_temporarily_is_used_again() {
    for (n, calls) in DISK_FAULTS.into_iter().enumerate() {
        let gateway = RestartableGateway::start();
        assert!(load(&gateway).succeeded());
        let code = if n % 2 == 0 { ENOSPC } else { EIO };
        calls
            .iter()
            .for_each(|call| gateway.faults.enable(call, &format!("1 {code}")));
        assert_recovers_from_disk_fault(&gateway, calls);
    }
}

/// Guards against a bound on the journal write that is shorter than the query's deadline. When each sync took 0.8 s,
/// every non-idempotent query was answered as failed after 0.5 s and none was sent, although all had seven seconds
/// left. A query now waits for its record until its deadline.
#[test]
fn non_idempotent_queries_are_sent_although_syncs_are_slow() {
    let gateway = RestartableGateway::start();
    assert!(load(&gateway).succeeded());
    gateway.faults.enable("disk-slow", "800");
    for _ in 0..3 {
        let began = Instant::now();
        assert!(
            load(&gateway).succeeded(),
            "failed after {:?}",
            began.elapsed()
        );
        assert!(
            began.elapsed() >= ms(800),
            "the query should not be sent before its record is on the disk"
        );
    }
}

/// A gateway that starts while the disk fails forgets no attempt that was sent before.
#[test]
fn gateway_started_while_the_disk_fails_serves_queries_that_need_no_journal() {
    let mut gateway = RestartableGateway::start();
    let first = new_id();
    let _lost = gateway.send_load(&first, "INSERT 1 /* runs 60000 */");
    wait_until("the first attempt", || gateway.engine.attempts().len() == 1);
    let calls = [
        "disk-write",
        "disk-sync",
        "disk-open",
        "disk-rename",
        "disk-truncate",
    ];
    calls
        .iter()
        .for_each(|call| gateway.faults.enable(call, &format!("1 {EIO}")));
    gateway.restart();
    let again = Answer::of(
        read_message(&mut std::io::BufReader::new(
            gateway.send_load(&first, "INSERT 1"),
        ))
        .unwrap(),
    );
    assert_eq!(
        (again.status, &again.json),
        (500, &json!({"error": "Failed"})),
        "a query that may have run should be answered as failed"
    );
    assert_recovers_from_disk_fault(&gateway, &calls);
}

#[test]
fn journal_that_cannot_be_opened_is_reported_with_its_path() {
    let (engine, log) = (FakeEngine::start(), FakeChangeLog::start());
    let plan = Path::new(env!("CARGO_TARGET_TMPDIR"))
        .join(format!("no-journal-{}.plan", std::process::id()));
    std::fs::write(&plan, "journal j {\n  directory \"/no/such/folder\"\n}\n").unwrap();
    let config: PathBuf = write_config(&config(engine.address, log.address));
    let out = gateway_command(&["serve", "--plan", plan.to_str().unwrap()])
        .env("PROXY_CONFIG", config)
        .output()
        .unwrap();
    assert_eq!(out.status.code(), Some(1));
    let error_text = String::from_utf8_lossy(&out.stderr).into_owned();
    assert!(
        error_text.contains("/no/such/folder/n0.once-only"),
        "the error lacks the path of the journal: {error_text}"
    );
}
