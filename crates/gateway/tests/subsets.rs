//! A gateway that uses a subset of its engines, over sockets. Engines are killed, drained and replaced, a zone is lost,
//! and endpoint lists are late, partial and repeated. Fake engine processes record what the gateway does.

mod helper;

use helper::process::{ms, FakeEngineProcess, ReceivedAttempt};
use helper::*;
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::fs::File;
use std::io::BufReader;
use std::net::TcpStream;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::thread::{scope, sleep};
use std::time::Instant;

const ENGINES: usize = 40;
const ZONES: usize = 4;
const SUBSET_SIZE: usize = 8;
/// Least number of members of the subset while that many engines are ready.
const MIN_MEMBERS: usize = 4;
/// Number of engines by which failed attempts may extend the subset.
const RESERVE_SIZE: usize = 4;
/// Number of members that are killed; a query may try them one after another.
const KILLED_MEMBERS: usize = 2;
/// Number of gateways that share the engines. With so many, each engine is used by some gateway at this subset size.
const GATEWAYS: usize = 240;
/// Cores of each engine, so many that a gateway's share of an engine does not limit these tests.
const CORES_PER_ENGINE: usize = 16_384;

/// A gateway with many engines, of which it uses a subset.
struct SubsetGateway {
    engines: Vec<FakeEngineProcess>,
    test_bed: TestBed,
    /// The file with the gateway's log.
    log_path: PathBuf,
    /// Number of the event published last.
    number: AtomicU64,
}

/// Returns the zone of an engine.
fn zone(engine: usize) -> String {
    format!("z{}", engine % ZONES)
}

/// Returns the endpoint list entry of an engine in its zone.
fn endpoint_in_zone(id: &str, engine: usize, process: &FakeEngineProcess, state: &str) -> Value {
    let mut entry = endpoint(id, process.address, state);
    entry["zone"] = json!(zone(engine));
    entry
}

impl SubsetGateway {
    fn start() -> SubsetGateway {
        let engines: Vec<FakeEngineProcess> =
            (0..ENGINES).map(|_| FakeEngineProcess::start()).collect();
        let lines: Vec<Value> = engines
            .iter()
            .enumerate()
            .map(|(n, e)| endpoint_in_zone(&format!("s-{n}"), n, e, "SERVING"))
            .collect();
        let log_path = Mutex::new(PathBuf::new());
        let test_bed = TestBed::start_with_launcher(
            |config| {
                config["known"]["results"][0] = full_list_event(0, &lines);
                config["settings"]["zones"] = (0..ZONES).map(zone).collect();
                config["settings"]["balancers"] = json!(GATEWAYS);
                config["settings"]["domain"]["kind-cores"] = json!([CORES_PER_ENGINE]);
                // One more than the number of engines that are killed before the list says so.
                config["settings"]["allowed"]["max-attempts"] = json!(KILLED_MEMBERS + 1);
                config["limits"]["sockets"] = json!(1024);
                config["subset"] = json!({"size": SUBSET_SIZE, "class_floor": MIN_MEMBERS, "reserve": RESERVE_SIZE,
                    "joins_per_second": 20.0});
            },
            |config| {
                let file = write_config(config);
                let path = file.with_extension("stderr");
                let child = serve_from(&file, File::create(&path).unwrap().into());
                *log_path.lock().unwrap() = path;
                child
            },
        );
        let log_path = log_path.into_inner().unwrap();
        SubsetGateway {
            engines,
            test_bed,
            log_path,
            number: AtomicU64::new(0),
        }
    }

    fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log_path).unwrap()
    }

    /// Returns the list entry of an engine of the test bed.
    fn endpoint_of(&self, engine: usize, state: &str) -> Value {
        endpoint_in_zone(&format!("s-{engine}"), engine, &self.engines[engine], state)
    }

    /// Publishes an event and waits until the gateway has applied it.
    fn publish(&self, full: bool, lines: &[Value]) {
        let number = self.number.fetch_add(1, Ordering::Relaxed) + 1;
        let event = match full {
            true => full_list_event(number, lines),
            false => list_change_event(number, lines),
        };
        self.test_bed.log.publish(event);
        wait_until("the change is applied", || {
            self.log_text()
                .contains(&format!("engine list updated event={number} "))
        });
    }

    /// Runs so many queries at once that every member gets some. Returns the number that succeeded.
    fn run_queries(&self) -> usize {
        let succeeded = AtomicU64::new(0);
        scope(|scope| {
            for n in 0..4 * SUBSET_SIZE {
                let succeeded = &succeeded;
                scope.spawn(move || {
                    let answer = self
                        .test_bed
                        .query("report", &format!("SELECT {n} /* runs 250 */"));
                    succeeded.fetch_add(u64::from(answer.succeeded()), Ordering::Relaxed);
                });
            }
        });
        succeeded.into_inner() as usize
    }

    /// Returns the engines that have received an attempt since a time.
    fn engines_used_since(&self, since: Instant) -> BTreeSet<usize> {
        let used = |n: &usize| {
            self.engines[*n]
                .attempts()
                .iter()
                .any(|attempt| attempt.received_at >= since)
        };
        (0..self.engines.len()).filter(used).collect()
    }

    /// Runs rounds of queries until one of them uses as many engines as the subset has, and returns these engines.
    /// Panics after 8 s.
    fn members(&self) -> BTreeSet<usize> {
        let started_at = Instant::now();
        loop {
            let since = Instant::now();
            let succeeded = self.run_queries();
            let used = self.engines_used_since(since);
            assert_eq!(
                succeeded,
                4 * SUBSET_SIZE,
                "number of queries that succeeded: {}",
                self.log_text()
            );
            assert!(
                used.len() <= SUBSET_SIZE + RESERVE_SIZE,
                "too many engines used: {used:?}"
            );
            if used.len() >= SUBSET_SIZE {
                return used;
            }
            assert!(
                started_at.elapsed() < ms(8000),
                "only the engines {used:?} are used after 8 s: {}",
                self.log_text()
            );
        }
    }

    /// Returns the attempts whose statement contains a text, in the order received.
    fn attempts_with(&self, text: &str) -> Vec<ReceivedAttempt> {
        let of = |e: &FakeEngineProcess| {
            e.attempts()
                .into_iter()
                .filter(|attempt| attempt.statement.contains(text))
        };
        let mut started: Vec<ReceivedAttempt> = self.engines.iter().flat_map(of).collect();
        started.sort_by_key(|attempt| attempt.received_at);
        started
    }
}

/// Sends a query whose answer is read later.
fn send_query(
    gateway: &SubsetGateway,
    class: &str,
    more_fields: &str,
    statement: &str,
) -> TcpStream {
    let stream = gateway.test_bed.open();
    send_request(
        &stream,
        &format!("POST /v1/{class}"),
        &format!("{}{more_fields}", request_headers(&new_id(), 3000)),
        statement,
    );
    stream
}

/// Reads the answer on a connection.
fn answer(stream: TcpStream) -> Answer {
    Answer::of(read_message(&mut BufReader::new(stream)).expect("an answer should arrive"))
}

#[test]
fn queries_go_to_the_subset_and_to_no_other_engine() {
    let gateway = SubsetGateway::start();
    let first = gateway.members();
    assert_eq!(first.len(), SUBSET_SIZE);
    assert_eq!(
        gateway.members(),
        first,
        "the subset should not change while the list stays the same"
    );
    assert_eq!(
        gateway.engines_used_since(Instant::now() - ms(60_000)),
        first
    );
    // Other engines get no health checks either.
    let connected = gateway
        .engines
        .iter()
        .enumerate()
        .filter(|(_, e)| !e.state().connections.is_empty());
    let connected: BTreeSet<usize> = connected.map(|(n, _)| n).collect();
    assert!(
        connected.len() <= SUBSET_SIZE + RESERVE_SIZE,
        "too many engines with connections: {connected:?}"
    );
}

#[test]
fn draining_member_gets_no_new_attempt_and_completes_running_ones() {
    let gateway = SubsetGateway::start();
    let members = gateway.members();
    let streams: Vec<TcpStream> = (0..SUBSET_SIZE)
        .map(|n| {
            send_query(
                &gateway,
                "report",
                "",
                &format!("SELECT {n} /* runs 900 */ /* out */"),
            )
        })
        .collect();
    wait_until("all attempts run", || {
        gateway.attempts_with("/* out */").len() == SUBSET_SIZE
    });
    let drained: BTreeSet<usize> = members.iter().copied().take(3).collect();
    let out = |attempt: &ReceivedAttempt| {
        drained.iter().any(|n| {
            gateway.engines[*n]
                .attempts()
                .iter()
                .any(|o| o.id == attempt.id)
        })
    };
    assert!(
        gateway.attempts_with("/* out */").iter().any(out),
        "no attempt runs on an engine that is to drain"
    );
    gateway.publish(
        false,
        &drained
            .iter()
            .map(|n| gateway.endpoint_of(*n, "DRAINING"))
            .collect::<Vec<_>>(),
    );
    let published_at = Instant::now();
    let after = gateway.members();
    assert!(
        after.is_disjoint(&drained),
        "{after:?} are used although {drained:?} drain"
    );
    assert!(gateway
        .engines_used_since(published_at)
        .is_disjoint(&drained));
    for stream in streams {
        assert!(answer(stream).succeeded());
    }
    for attempt in gateway.attempts_with("/* out */") {
        assert_eq!(
            attempt.stopped_at, None,
            "an attempt at a draining engine was ended: {attempt:?}"
        );
    }
    assert_eq!(
        gateway.attempts_with("/* out */").len(),
        SUBSET_SIZE,
        "number of attempts, one for each query"
    );
    // An engine that serves again may rejoin the subset.
    gateway.publish(
        false,
        &drained
            .iter()
            .map(|n| gateway.endpoint_of(*n, "SERVING"))
            .collect::<Vec<_>>(),
    );
    assert!(gateway.members().len() >= SUBSET_SIZE);
}

#[test]
fn killed_members_are_covered_and_replaced() {
    let gateway = SubsetGateway::start();
    let members = gateway.members();
    let killed: BTreeSet<usize> = members.iter().copied().take(KILLED_MEMBERS).collect();
    for n in &killed {
        gateway.engines[*n].kill();
    }
    let since = Instant::now();
    assert_eq!(
        gateway.run_queries(),
        4 * SUBSET_SIZE,
        "number of queries that succeeded before the list names the killed engines"
    );
    assert!(gateway.engines_used_since(since).len() >= SUBSET_SIZE - killed.len());
    // The list replaces the killed engines by new ones.
    let mut lines: Vec<Value> = killed
        .iter()
        .map(|n| gateway.endpoint_of(*n, "DELETED"))
        .collect();
    let newcomers: Vec<FakeEngineProcess> =
        killed.iter().map(|_| FakeEngineProcess::start()).collect();
    for (n, process) in killed.iter().zip(&newcomers) {
        lines.push(endpoint_in_zone(
            &format!("s-new-{n}"),
            *n,
            process,
            "SERVING",
        ));
    }
    gateway.publish(false, &lines);
    let started_at = Instant::now();
    loop {
        let since = Instant::now();
        assert_eq!(gateway.run_queries(), 4 * SUBSET_SIZE);
        let new = newcomers
            .iter()
            .filter(|e| {
                e.attempts()
                    .iter()
                    .any(|attempt| attempt.received_at >= since)
            })
            .count();
        if gateway.engines_used_since(since).len() + new >= SUBSET_SIZE {
            break;
        }
        assert!(
            started_at.elapsed() < ms(8000),
            "the subset is not refilled within 8 s: {}",
            gateway.log_text()
        );
    }
    assert!(gateway.engines_used_since(since).is_disjoint(&killed));
}

/// A zone is lost and the list does not say so. Failed attempts extend the subset by engines that can be reached.
#[test]
fn members_that_fail_unlisted_are_covered_by_the_reserve() {
    let gateway = SubsetGateway::start();
    let dead: BTreeSet<usize> = (0..ENGINES).filter(|n| n % ZONES == 1).collect();
    for n in &dead {
        gateway.engines[*n].kill();
    }
    let started_at = Instant::now();
    gateway.run_queries();
    assert!(
        gateway.engines_used_since(started_at).len() < SUBSET_SIZE,
        "some members of the subset should have been killed"
    );
    loop {
        let since = Instant::now();
        gateway.run_queries();
        let used = gateway.engines_used_since(since);
        assert!(
            used.is_disjoint(&dead) && used.len() <= SUBSET_SIZE + RESERVE_SIZE,
            "killed or too many engines are used: {used:?}"
        );
        if used.len() >= SUBSET_SIZE {
            break;
        }
        assert!(
            started_at.elapsed() < ms(12_000),
            "{used:?}: {}",
            gateway.log_text()
        );
    }
    assert_eq!(gateway.run_queries(), 4 * SUBSET_SIZE);
}

#[test]
fn lost_zone_is_replaced_by_engines_of_other_zones() {
    let gateway = SubsetGateway::start();
    gateway.members();
    let lost: BTreeSet<usize> = (0..ENGINES).filter(|n| n % ZONES == 1).collect();
    for n in &lost {
        gateway.engines[*n].kill();
    }
    gateway.publish(
        false,
        &lost
            .iter()
            .map(|n| gateway.endpoint_of(*n, "DELETED"))
            .collect::<Vec<_>>(),
    );
    let published_at = Instant::now();
    // The remaining members serve all queries while the subset is refilled.
    assert_eq!(gateway.run_queries(), 4 * SUBSET_SIZE);
    assert!(gateway.engines_used_since(published_at).len() >= MIN_MEMBERS);
    let members = gateway.members();
    assert!(
        members.is_disjoint(&lost),
        "engines of the lost zone are used: {members:?}"
    );
}

#[test]
fn full_partial_late_and_repeated_lists_leave_enough_members() {
    let gateway = SubsetGateway::start();
    gateway.members();
    let all: Vec<usize> = (0..ENGINES).collect();
    let (half, other) = all.split_at(ENGINES / 2);
    let lines = |of: &[usize]| {
        of.iter()
            .map(|n| gateway.endpoint_of(*n, "SERVING"))
            .collect::<Vec<_>>()
    };
    for (part, full) in [
        (half, true),
        (half, true),
        (other, true),
        (&all[..], true),
        (&all[..], false),
    ] {
        gateway.publish(full, &lines(part));
        let published_at = Instant::now();
        assert_eq!(gateway.run_queries(), 4 * SUBSET_SIZE);
        let used = gateway.engines_used_since(published_at);
        assert!(
            used.len() >= MIN_MEMBERS,
            "too few engines are used: {used:?}"
        );
        assert!(
            !full || used.iter().all(|n| part.contains(n)),
            "{used:?} of {part:?}"
        );
    }
    // A list without engines is followed by one with fewer engines than the subset has.
    gateway.publish(true, &[]);
    gateway.publish(true, &lines(&all[..3]));
    let published_at = Instant::now();
    assert_eq!(gateway.run_queries(), 4 * SUBSET_SIZE);
    assert_eq!(
        gateway.engines_used_since(published_at),
        all[..3].iter().copied().collect()
    );
    // The log is unavailable for a while, then sends all missed events together.
    gateway.test_bed.log.close_streams();
    gateway.publish(false, &lines(half));
    gateway.publish(true, &lines(&all));
    assert!(gateway.members().len() >= SUBSET_SIZE);
}

/// The queries of a key are started one at a time, in the order of admission, while the members of the subset change.
#[test]
fn order_per_key_is_kept_while_members_change() {
    const KEYS: usize = 4;
    const QUERIES_PER_KEY: usize = 6;
    let gateway = SubsetGateway::start();
    let mut streams = Vec::new();
    for n in 0..QUERIES_PER_KEY {
        for key in 0..KEYS {
            let item = format!("X-Item: 7f3a9c21e0b4d{key:03x}\r\n");
            streams.push(send_query(
                &gateway,
                "load",
                &item,
                &format!("INSERT key-{key} {n} /* runs 40 */"),
            ));
        }
        // Time for the gateway to admit the queries in this order.
        sleep(ms(60));
        let at = |n: usize| n * 7 % ENGINES;
        let changed = [
            (at(n), "DRAINING"),
            (at(n + 1), "DELETED"),
            (at(n.wrapping_sub(1) % ENGINES), "SERVING"),
        ];
        gateway.publish(
            false,
            &changed.map(|(n, state)| gateway.endpoint_of(n, state)),
        );
        if n == QUERIES_PER_KEY / 2 {
            gateway.test_bed.signal("HUP");
        }
    }
    let succeeded = streams
        .into_iter()
        .map(answer)
        .filter(Answer::succeeded)
        .count();
    for key in 0..KEYS {
        let started = gateway.attempts_with(&format!("INSERT key-{key} "));
        let numbers: Vec<&str> = started
            .iter()
            .map(|attempt| attempt.statement.split(' ').nth(2).unwrap())
            .collect();
        assert!(
            numbers.is_sorted() && !numbers.is_empty(),
            "key {key}: {numbers:?}"
        );
        for pair in started.windows(2) {
            let end = pair[0].ended_at().expect("the attempt has ended");
            assert!(end <= pair[1].received_at, "key {key}: {pair:?}");
        }
        let ids: BTreeSet<&String> = started.iter().map(|attempt| &attempt.id).collect();
        assert_eq!(
            ids.len(),
            started.len(),
            "key {key}: number of attempts, one for each non-idempotent query"
        );
    }
    assert!(
        succeeded >= KEYS * QUERIES_PER_KEY / 2,
        "only {succeeded} queries succeeded"
    );
}

/// A pool of engines named by id may have no member in the subset, so such a plan is refused. Zones, kinds and unions
/// of them have a minimum number of members.
#[test]
fn plan_with_a_subset_may_name_only_pools_of_zones_and_kinds() {
    let test_bed = TestBed::start_with(|config| {
        config["subset"] = json!({"size": SUBSET_SIZE});
        config["settings"]["kinds"] = json!(["std", "large"]);
    });
    let (config, plan) = (
        write_config(&test_bed.config),
        write_config(&json!({})).with_extension("plan"),
    );
    let check = |text: &str| {
        std::fs::write(&plan, text).unwrap();
        let arguments = [
            "check-config",
            "--config",
            config.to_str().unwrap(),
            "--plan",
            plan.to_str().unwrap(),
        ];
        let ended = gateway_command(&arguments).output().unwrap();
        (
            ended.status.success(),
            String::from_utf8(ended.stderr).unwrap(),
        )
    };
    let near = "pool near {\n  zone east\n  kind std\n}\n\nroute all {\n  to near\n}\n";
    assert_eq!(check(near), (true, String::new()));
    for pool in [
        "pool few {\n  id s-1*\n}\n",
        "pool few {\n  zone east\n  except near\n}\n",
    ] {
        let (good, log_text) = check(&format!(
            "{pool}\nroute more {{\n  group load\n  to few\n}}\n\n{near}"
        ));
        assert!(
            !good
                && log_text.contains(": pool few: ")
                && log_text.contains("; name zones and kinds"),
            "the plan was not refused with the pool and a remedy: {log_text}"
        );
    }
}

#[test]
fn sighup_keeps_the_subset_and_sigterm_exits_successfully() {
    let mut gateway = SubsetGateway::start();
    let members = gateway.members();
    let file = gateway.log_path.with_extension("json");
    let mut config = gateway.test_bed.config.clone();
    config["subset"]["size"] = json!(2 * SUBSET_SIZE);
    std::fs::write(&file, config.to_string()).unwrap();
    gateway.test_bed.signal("HUP");
    wait_until("the configuration is reloaded", || {
        gateway.log_text().contains("configuration reloaded")
    });
    assert!(
        gateway
            .log_text()
            .contains("configuration change needs a restart key=\"subset\""),
        "the log lacks the key that needs a restart: {}",
        gateway.log_text()
    );
    assert_eq!(gateway.members(), members);
    config["subset"]["size"] = json!(0);
    std::fs::write(&file, config.to_string()).unwrap();
    gateway.test_bed.signal("HUP");
    wait_until("the configuration is refused", || {
        gateway.log_text().contains("configuration not reloaded")
    });
    assert!(
        gateway.log_text().contains("subset.size: 0 "),
        "the log lacks the error of the configuration: {}",
        gateway.log_text()
    );
    let out: Vec<TcpStream> = (0..SUBSET_SIZE)
        .map(|n| {
            send_query(
                &gateway,
                "report",
                "",
                &format!("SELECT {n} /* runs 600 */"),
            )
        })
        .collect();
    sleep(ms(100));
    gateway.test_bed.signal("TERM");
    for stream in out {
        assert!(answer(stream).succeeded());
    }
    let status = gateway.test_bed.child.wait().unwrap();
    assert!(status.success(), "{status}: {}", gateway.log_text());
    assert!(
        !gateway.log_text().contains("panicked"),
        "the gateway panicked: {}",
        gateway.log_text()
    );
}
