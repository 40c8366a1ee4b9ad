//! Invalid input at startup. The program either serves with a configuration or refuses it at once, naming the place,
//! the cause and a remedy; it never panics and never hangs. `check-config` and `serve` agree.

mod helper;

use helper::*;
use serde_json::{json, Value};
use std::fs::File;
use std::net::{SocketAddr, TcpStream};
use std::os::unix::process::ExitStatusExt;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Time limit of each answer and each exit.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Returns an address with a port of its own. The IP addresses of `free_address` repeat after 254 calls, and these
/// tests make more.
fn own_address() -> SocketAddr {
    static NEXT_PORT: AtomicU16 = AtomicU16::new(10_000);
    SocketAddr::new(
        free_address().ip(),
        NEXT_PORT.fetch_add(1, Ordering::Relaxed),
    )
}

/// Returns a valid configuration that has every key that the gateway reads.
fn full_config(engine: SocketAddr, log: SocketAddr) -> Value {
    let mut config = config(engine, log);
    config["listen"] = json!(own_address().to_string());
    config["peers"] = json!(["127.0.0.1:7946"]);
    config["settings"]["allowed"]["max-retry-after"] = json!(1000.0);
    config["settings"]["balancers"] = json!(2);
    config["settings"]["registry-mode"] = json!("pushed");
    config["settings"]["rules"] = json!({"cold-from": 0.36, "warm-after": 15000.0, "fall": 3000.0, "fall-multiple": 2.5,
        "extra-window": 10000.0, "extra-floor": 3.0, "extra-per-request": 0.2, "order-pause": 200.0});
    config["settings"]["tenants"] = json!([{"name": "acme", "portion": 0.7, "quota-per-s": 119.0},
        {"name": "other", "portion": 0.3, "quota-per-s": 28.0}]);
    let mut referenced = query_class("lookup", "dedup", 3000.0);
    referenced["key-scope"] = json!("zone");
    referenced["dedup-window"] = json!(5000.0);
    referenced["aim-stretch"] = json!(2.0);
    referenced["zones-only"] = json!(["east"]);
    referenced["allowed-on"] = json!([0]);
    config["settings"]["categories"]
        .as_array_mut()
        .unwrap()
        .push(referenced);
    let domain = &mut config["settings"]["domain"];
    domain["kind-memory-mb"] = json!([32768.0]);
    domain["largest-share"] = json!(0.4);
    domain["grants-count"] = json!(true);
    domain["progress"] = json!(500.0);
    domain["waits-for-loads"] = json!([false, false, false]);
    config
}

/// Returns the JSON pointer of a path whose keys are separated by dots.
fn pointer(path: &str) -> String {
    format!("/{}", path.replace('.', "/"))
}

/// Sets the value at a path; the last key need not exist yet.
fn set_value(config: &mut Value, path: &str, value: Value) {
    let (parent, key) = path.rsplit_once('.').unwrap_or(("", path));
    let parent = if parent.is_empty() {
        config
    } else {
        config.pointer_mut(&pointer(parent)).unwrap()
    };
    match parent {
        Value::Array(items) => items[key.parse::<usize>().unwrap()] = value,
        object => object[key] = value,
    }
}

/// Removes the key at a path.
fn remove(config: &mut Value, path: &str) {
    let (parent, key) = path.rsplit_once('.').unwrap_or(("", path));
    let parent = if parent.is_empty() {
        config
    } else {
        config.pointer_mut(&pointer(parent)).unwrap()
    };
    parent.as_object_mut().unwrap().remove(key).unwrap();
}

/// Collects the paths of a value and of all values in it, beginning with its own.
fn collect_paths(value: &Value, at: &str, into: &mut Vec<String>) {
    let under = |key: &str| {
        if at.is_empty() {
            key.to_string()
        } else {
            format!("{at}.{key}")
        }
    };
    if !at.is_empty() {
        into.push(at.into());
    }
    match value {
        Value::Object(keys) => keys
            .iter()
            .for_each(|(key, value)| collect_paths(value, &under(key), into)),
        Value::Array(items) => {
            items
                .iter()
                .enumerate()
                .for_each(|(i, value)| collect_paths(value, &under(&i.to_string()), into));
        }
        _ => {}
    }
}

/// Returns the exit status of a process; kills it and panics after [`RESPONSE_TIMEOUT`].
fn wait_for_exit(child: &mut Child, case: &str) -> ExitStatus {
    let started_at = Instant::now();
    while started_at.elapsed() < RESPONSE_TIMEOUT {
        if let Some(status) = child.try_wait().unwrap() {
            return status;
        }
        sleep(Duration::from_millis(1));
    }
    child.kill().unwrap();
    child.wait().unwrap();
    panic!("{case}: the process did not exit within {RESPONSE_TIMEOUT:?}");
}

/// Runs a command on a configuration file until it exits. Returns whether it succeeded, and its standard error.
fn run(command: &str, file: &Path, case: &str) -> (bool, String) {
    let stderr_path = file.with_extension("stderr");
    let mut child = gateway_command(&[command, "--config", file.to_str().unwrap()])
        .stdout(Stdio::null())
        .stderr(File::create(&stderr_path).unwrap())
        .spawn()
        .unwrap();
    let status = wait_for_exit(&mut child, case);
    let stderr_text = std::fs::read_to_string(stderr_path).unwrap();
    assert_eq!(status.signal(), None, "{case}: {stderr_text}");
    assert!(!stderr_text.contains("panicked"), "{case}: {stderr_text}");
    assert!(
        matches!(status.code(), Some(0 | 1)),
        "{case}: {status}: {stderr_text}"
    );
    (status.success(), stderr_text)
}

/// Asserts that `check-config` and `serve` refuse a configuration with one line that names the place, the cause and a
/// remedy.
fn assert_refused(config: &Value, place: &str, cause: &str, case: &str) {
    let file = write_config(config);
    for command in ["check-config", "serve"] {
        let (accepted, stderr_text) = run(command, &file, case);
        assert!(!accepted, "{case}: {command} accepts the configuration");
        assert_error_line(&stderr_text, place, cause, &format!("{case}: {command}"));
    }
}

/// Asserts that standard error is one line with this place, this cause and a remedy.
fn assert_error_line(stderr_text: &str, place: &str, cause: &str, case: &str) {
    let lines: Vec<&str> = stderr_text.lines().collect();
    assert_eq!(lines.len(), 1, "{case}: {stderr_text}");
    let rest = lines[0].strip_prefix(&format!("garnetwall: configuration {place}: "));
    let rest =
        rest.unwrap_or_else(|| panic!("{case}: the error does not name {place}: {stderr_text}"));
    let (message, remedy) = rest
        .rsplit_once("; ")
        .unwrap_or_else(|| panic!("{case}: the error names no remedy: {stderr_text}"));
    assert!(
        message.contains(cause),
        "{case}: the error does not name the cause '{cause}': {stderr_text}"
    );
    assert!(remedy.len() > 3, "{case}: {stderr_text}");
}

/// A running gateway and the file with its standard error. The gateway is killed when this is dropped.
struct StartedGateway {
    child: Child,
    stderr_path: std::path::PathBuf,
    address: SocketAddr,
}

impl StartedGateway {
    fn with_config(config: &Value) -> StartedGateway {
        let file = write_config(config);
        let stderr_path = file.with_extension("stderr");
        let child = serve_from(&file, File::create(&stderr_path).unwrap().into());
        StartedGateway {
            child,
            stderr_path,
            address: config["listen"].as_str().unwrap().parse().unwrap(),
        }
    }

    /// Waits until `/healthz` answers with this status; panics where the gateway exits or the time limit passes.
    fn wait_until_health_is(&mut self, status: u16, case: &str) {
        let started_at = Instant::now();
        while started_at.elapsed() < RESPONSE_TIMEOUT {
            if let Some(exit_status) = self.child.try_wait().unwrap() {
                panic!("{case}: {exit_status}: {}", self.stderr_text());
            }
            let answer = TcpStream::connect(self.address)
                .ok()
                .and_then(|s| round_trip(s, "GET /healthz", "", ""));
            if answer.is_some_and(|m| m.start_line.starts_with(&format!("HTTP/1.1 {status} "))) {
                return;
            }
            sleep(Duration::from_millis(5));
        }
        panic!(
            "{case}: /healthz did not answer {status}: {}",
            self.stderr_text()
        );
    }

    /// Sends a query and returns the status of the answer; panics where the gateway has exited.
    fn query(&mut self, headers: &str, case: &str) -> u16 {
        let stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(RESPONSE_TIMEOUT)).unwrap();
        let answer = round_trip(stream, "POST /v1/report", headers, "SELECT 1");
        let answer = answer.unwrap_or_else(|| panic!("{case}: no answer: {}", self.stderr_text()));
        assert!(
            self.child.try_wait().unwrap().is_none(),
            "{case}: {}",
            self.stderr_text()
        );
        Answer::of(answer).status
    }

    fn stderr_text(&self) -> String {
        std::fs::read_to_string(&self.stderr_path).unwrap()
    }

    /// Stops the gateway with SIGTERM. Asserts that it exits successfully and has not panicked.
    fn stop(mut self, case: &str) {
        let kill = format!("kill -TERM {}", self.child.id());
        assert!(Command::new("sh")
            .args(["-c", &kill])
            .status()
            .unwrap()
            .success());
        let status = wait_for_exit(&mut self.child, case);
        assert!(status.success(), "{case}: {status}: {}", self.stderr_text());
        assert!(
            !self.stderr_text().contains("panicked"),
            "{case}: {}",
            self.stderr_text()
        );
    }
}

impl Drop for StartedGateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A fake engine and a fake change log, which the tested configurations name.
struct Fixture {
    engine: FakeEngine,
    log: FakeChangeLog,
}

impl Fixture {
    fn new() -> Fixture {
        Fixture {
            engine: FakeEngine::start(),
            log: FakeChangeLog::start(),
        }
    }

    fn config(&self) -> Value {
        full_config(self.engine.address, self.log.address)
    }

    /// Returns the base configuration with another value at a path.
    fn with(&self, path: &str, value: Value) -> Value {
        let mut config = self.config();
        set_value(&mut config, path, value);
        config
    }

    fn endpoint(&self, id: &str) -> Value {
        endpoint(id, self.engine.address, "SERVING")
    }

    /// Returns the base configuration with these endpoint list entries.
    fn with_engines(&self, lines: &[Value]) -> Value {
        self.with("known.results", json!([full_list_event(0, lines)]))
    }
}

#[test]
fn base_configuration_is_served() {
    let fixture = Fixture::new();
    let mut gateway = StartedGateway::with_config(&fixture.config());
    gateway.wait_until_health_is(200, "the base");
    assert_eq!(
        gateway.query(&request_headers(&new_id(), 3000), "the base"),
        200
    );
    gateway.stop("the base");
}

#[test]
fn invalid_configuration_is_refused_with_place_cause_and_remedy() {
    let fixture = Fixture::new();
    let day = 86_400_000.0;
    let engine = "known.results.0.fleet.servers.0";
    let at = |key: &str| format!("{engine}.{key}");
    let refused: &[(&str, Value, &str)] = &[
        ("settings", json!(null), "an object expected, not null"),
        ("settings", json!([]), "an object expected, not []"),
        ("settings.categories", json!([]), "empty"),
        (
            "settings.categories",
            json!({}),
            "a list of objects expected",
        ),
        (
            "settings.categories",
            json!("report"),
            "a list of objects expected",
        ),
        ("settings.categories.0", json!(3), "an object expected"),
        (
            "settings.categories.0.semantics",
            json!("odd"),
            "'odd' is unknown",
        ),
        ("settings.categories.0.semantics", json!(null), "missing"),
        ("settings.categories.0.name", json!(null), "missing"),
        (
            "settings.categories.1.name",
            json!("report"),
            "'report' is used more than once",
        ),
        ("settings.categories.0.give-up", json!(0), "not more than 0"),
        ("settings.categories.0.give-up", json!(-1), "less than 0"),
        (
            "settings.categories.0.give-up",
            json!("NaN"),
            "a number expected, not \"NaN\"",
        ),
        ("settings.categories.0.give-up", json!(null), "missing"),
        (
            "settings.categories.0.give-up",
            json!(day + 1.0),
            "more than 86400000",
        ),
        ("settings.categories.0.goal-time", json!(-1), "less than 0"),
        ("settings.categories.0.worth", json!(-1), "less than 0"),
        (
            "settings.categories.0.late-share",
            json!(-0.1),
            "less than 0",
        ),
        (
            "settings.categories.2.zones-only",
            json!([7]),
            "'7' is unknown",
        ),
        (
            "settings.categories.2.zones-only",
            json!(["mars"]),
            "'mars' is unknown",
        ),
        (
            "settings.categories.2.allowed-on",
            json!([1]),
            "'1' is unknown",
        ),
        (
            "settings.categories.2.allowed-on",
            json!([{}]),
            "a name or an index expected",
        ),
        ("settings.tenants", json!({}), "a list of objects expected"),
        ("settings.tenants", json!(["acme"]), "an object expected"),
        ("settings.tenants.0.portion", json!(-0.7), "less than 0"),
        ("settings.tenants.0.quota-per-s", json!(-1), "less than 0"),
        ("settings.tenants.0.name", json!(null), "missing"),
        (
            "settings.tenants.1.name",
            json!("acme"),
            "'acme' is used more than once",
        ),
        ("settings.allowed", json!("all"), "an object expected"),
        ("settings.allowed.dial-timeout", json!(0), "not more than 0"),
        ("settings.allowed.max-attempts", json!(0), "less than 1"),
        ("settings.allowed.open-cap", json!(0), "less than 1"),
        (
            "settings.allowed.cancelling",
            json!("perhaps"),
            "true or false expected",
        ),
        (
            "settings.domain.parallelism",
            json!([-1, 1, 1]),
            "less than 0",
        ),
        (
            "settings.domain.kind-cores",
            json!(["many"]),
            "a number expected",
        ),
        ("settings.rules.fall", json!(-1), "less than 0"),
        (
            "settings.rules.extra-window",
            json!("long"),
            "a number expected",
        ),
        ("settings.kinds", json!([null]), "a text expected, not null"),
        ("limits", json!([]), "an object expected"),
        ("limits.sockets", json!(0), "not from 64"),
        ("limits.sockets", json!(-1), "not from 64"),
        ("limits.sockets", json!(u64::MAX), "not from 64"),
        ("limits.sockets", json!(64.5), "not from 64"),
        ("limits.sockets", json!("many"), "a number expected"),
        ("limits.memory_mb", json!(0), "not from 16"),
        ("limits.memory_mb", json!(u64::MAX), "not from 16"),
        ("listen", json!("here"), "not an address with a port"),
        ("listen", json!("127.0.0.1:0"), "not an address with a port"),
        ("listen", json!(""), "empty"),
        ("changelog", json!(4222), "a text expected"),
        ("seed", json!("8c1f30d27a5be964f"), "not a seed"),
        ("name", json!(null), "a text expected, not null"),
        ("known", json!("all"), "an object expected"),
        ("known.seq", json!(-1), "the number of an event expected"),
        ("known.results", json!({}), "a list expected"),
        (
            "known.results.0.seq",
            json!(9),
            "does not ascend or is above known.seq",
        ),
        (
            "known.results.0.fleet.servers",
            json!({}),
            "a list expected",
        ),
        (&at("zone"), json!("mars"), "'mars' is not in the settings"),
        (&at("kind"), json!("huge"), "'huge' is not in the settings"),
        (&at("state"), json!("ASLEEP"), "'ASLEEP' is unknown"),
        (
            &at("addr"),
            json!("nowhere"),
            "an address with its port expected",
        ),
        (&at("cell"), json!(-1), "a number expected"),
        (&at("started_ms"), json!(1e308), "a number expected"),
    ];
    for (path, value, cause) in refused {
        let case = format!("{path}={value}");
        // The place of a faulty list item includes its index.
        let place = match *path {
            "settings.domain.parallelism" | "settings.domain.kind-cores" | "settings.kinds" => {
                format!("{path}.0")
            }
            "settings.tenants" if value.is_array() => format!("{path}.0"),
            "settings.categories.2.allowed-on" if value[0].is_object() => format!("{path}.0"),
            _ => path.to_string(),
        };
        assert_refused(&fixture.with(path, value.clone()), &place, cause, &case);
    }
}

#[test]
fn invalid_subset_is_refused_with_place_and_cause() {
    let fixture = Fixture::new();
    assert_refused(
        &fixture.with("subset", json!([])),
        "subset",
        "an object expected",
        "subset=[]",
    );
    assert_refused(
        &fixture.with("subset", json!({})),
        "subset.size",
        "missing",
        "subset={}",
    );
    for (key, value, cause) in [
        ("size", json!(0), "0 is not from 1"),
        ("size", json!(-1), "-1 is not from 1"),
        ("size", json!(2.5), "2.5 is not from 1"),
        ("size", json!(u64::MAX), "is not from 1"),
        ("size", json!("all"), "a number expected, not \"all\""),
        ("class_floor", json!(-1), "-1 is not from 0"),
        (
            "class_floor",
            json!(81),
            "81 engines of each class are more than the subset.size of 80",
        ),
        ("class_floor", json!([]), "a number expected, not []"),
        ("reserve", json!(1e308), "is not from 0"),
        ("reserve", json!("some"), "a number expected"),
        ("joins_per_second", json!(0), "0 is not more than 0"),
        ("joins_per_second", json!(-0.5), "-0.5 is not more than 0"),
        ("joins_per_second", json!(1e308), "more than 1000000"),
        ("joins_per_second", json!({}), "a number expected, not {}"),
        ("zone", json!("mars"), "'mars' is unknown"),
        ("zone", json!(0), "a text expected, not 0"),
        ("near_weight", json!(0.5), "0.5 is not from 1"),
        ("near_weight", json!(1e308), "is not from 1"),
        ("near_weight", json!("much"), "a number expected"),
    ] {
        let mut subset = json!({"size": 80});
        subset[key] = value.clone();
        let place = format!("subset.{key}");
        assert_refused(
            &fixture.with("subset", subset),
            &place,
            cause,
            &format!("{place}={value}"),
        );
    }
}

#[test]
fn missing_keys_are_refused() {
    let fixture = Fixture::new();
    for key in [
        "name",
        "listen",
        "seed",
        "changelog",
        "settings",
        "known.seq",
        "known.results",
    ] {
        let mut config = fixture.config();
        remove(&mut config, key);
        assert_refused(&config, key, "missing", key);
    }
    let mut config = fixture.config();
    remove(&mut config, "settings.categories");
    assert_refused(&config, "settings.categories", "empty", "no categories");
}

#[test]
fn event_numbers_of_the_initial_list_increase() {
    let fixture = Fixture::new();
    let events = |numbers: &[u64]| {
        numbers
            .iter()
            .map(|n| {
                let endpoints = [fixture.endpoint("s-1")];
                match *n == numbers[0] {
                    true => full_list_event(*n, &endpoints),
                    false => list_change_event(*n, &endpoints),
                }
            })
            .collect::<Vec<_>>()
    };
    for (numbers, last, fault) in [
        (&[3, 2][..], 3, Some("known.results.1.seq")),
        (&[3, 3], 3, Some("known.results.1.seq")),
        (&[1, 2, 4], 3, Some("known.results.2.seq")),
        (&[1, 3], 3, None),
    ] {
        let config = fixture.with("known", json!({"seq": last, "results": events(numbers)}));
        let case = format!("{numbers:?} up to {last}");
        match fault {
            Some(place) => assert_refused(
                &config,
                place,
                "does not ascend or is above known.seq",
                &case,
            ),
            None => assert!(
                run("check-config", &write_config(&config), &case).0,
                "{case}"
            ),
        }
    }
}

#[test]
fn file_that_is_no_configuration_is_refused() {
    let deep = "[".repeat(10_000);
    let files: &[(&str, &[u8], &str)] = &[
        ("empty", b"", "not JSON"),
        ("truncated", b"{\"name\": \"n0\", ", "not JSON"),
        (
            "NaN",
            b"{\"settings\": {\"categories\": [{\"give-up\": NaN}]}}",
            "not JSON",
        ),
        (
            "number out of range",
            b"{\"settings\": {\"balancers\": 1e999}}",
            "not JSON",
        ),
        ("no UTF-8", b"{\"name\": \"\xff\xfe\"}", "not JSON"),
        ("deeply nested", deep.as_bytes(), "not JSON"),
        (
            "a list",
            b"[]",
            "configuration file: an object expected, not []",
        ),
        (
            "null",
            b"null",
            "configuration file: an object expected, not null",
        ),
    ];
    for (case, bytes, cause) in files {
        let path = write_config(&json!({}));
        std::fs::write(&path, bytes).unwrap();
        for command in ["check-config", "serve"] {
            let (accepted, stderr_text) = run(command, &path, case);
            assert!(
                !accepted && stderr_text.contains(cause) && stderr_text.contains("; "),
                "{case}: {stderr_text}"
            );
            let place =
                cause.starts_with("configuration") || stderr_text.contains(path.to_str().unwrap());
            assert!(place, "{case}: {stderr_text}");
        }
    }
    for path in [
        std::env::temp_dir(),
        write_config(&json!({})).with_extension("gone"),
    ] {
        let child = gateway_command(&["check-config", "--config", path.to_str().unwrap()])
            .output()
            .unwrap();
        let stderr_text = String::from_utf8(child.stderr).unwrap();
        assert_eq!(
            child.status.code(),
            Some(1),
            "an unreadable file was not refused: {stderr_text}"
        );
        assert!(
            stderr_text.contains(path.to_str().unwrap()) && stderr_text.contains("; name a file"),
            "the error lacks the path or the remedy: {stderr_text}"
        );
    }
}

#[test]
fn unusual_but_valid_configuration_is_served() {
    let fixture = Fixture::new();
    let many = |n: usize| {
        let address =
            |i: usize| SocketAddr::from(([127, 9, (i / 250) as u8, (i % 250) as u8 + 1], 4100));
        (0..n)
            .map(|i| endpoint(&format!("s-{i}"), address(i), "SERVING"))
            .collect::<Vec<_>>()
    };
    let peers: Vec<String> = (0..1024)
        .map(|i| format!("10.3.{}.{}:7946", i / 250, i % 250 + 1))
        .collect();
    let cold = json!({"id": "s-1", "addr": fixture.engine.address.to_string(), "state": "SERVING"});
    // The third field says whether a query succeeds; otherwise it is rejected or fails.
    let served: &[(&str, Value, bool)] = &[
        ("a deadline of 24 hours", fixture.with("settings.categories.0.give-up", json!(86_400_000)), true),
        ("latency objective of 0", fixture.with("settings.categories.0.goal-time", json!(0)), true),
        ("priority weight of 0", fixture.with("settings.categories.0.worth", json!(0)), false),
        ("late value share of 0", fixture.with("settings.categories.0.late-share", json!(0)), true),
        ("tenant share of 0", fixture.with("settings.tenants.0.portion", json!(0)), true),
        ("tenant quota of 0", fixture.with("settings.tenants.0.quota-per-s", json!(0)), true),
        ("tenants of null", fixture.with("settings.tenants", json!(null)), true),
        ("empty tenants", fixture.with("settings.tenants", json!([])), true),
        ("unknown mode of load reports", fixture.with("settings.telemetry.how", json!("by post")), true),
        ("unknown mode of endpoint lists", fixture.with("settings.registry-mode", json!("shouted")), true),
        (
            "unknown key scope, taken for the narrowest",
            fixture.with("settings.categories.2.key-scope", json!("house")),
            true,
        ),
        ("0 cores, taken for unknown", fixture.with("settings.domain.kind-cores", json!([0])), true),
        ("no memory given for a kind", fixture.with("settings.domain.kind-memory-mb", json!([])), true),
        ("no number of threads", fixture.with("settings.domain.parallelism", json!([])), true),
        ("retry budget over a window of 0", fixture.with("settings.rules.extra-window", json!(0)), true),
        ("rules of null", fixture.with("settings.rules", json!(null)), true),
        ("unknown key", fixture.with("weather", json!({"x": [[null, {}], 1e308]})), true),
        (
            "unknown keys in settings",
            fixture.with("settings.more", json!({"x": [[1], null, {"y": [[]]}]})),
            true,
        ),
        ("unknown key in a group", fixture.with("settings.categories.0.more", json!([[1], [{}]])), true),
        ("unread key with an odd value", fixture.with("settings.prices", json!([null, {"a": 1}, 3])), true),
        ("limits of null", fixture.with("limits", json!(null)), true),
        ("subset of null", fixture.with("subset", json!(null)), true),
        ("subset of one", fixture.with("subset", json!({"size": 1})), true),
        ("subset larger than the list", fixture.with("subset", json!({"size": 1 << 20})), true),
        (
            "subset with every key, and an unknown one",
            fixture.with(
                "subset",
                json!({"size": 80, "class_floor": 0, "reserve": 0, "joins_per_second": 1e-3, "zone": "east",
                    "near_weight": 1, "weather": [null]}),
            ),
            true,
        ),
        ("least limits", fixture.with("limits", json!({"sockets": 64, "memory_mb": 16})), true),
        ("most limits", fixture.with("limits", json!({"sockets": 1 << 30, "memory_mb": 1 << 30})), true),
        ("no peers", fixture.with("peers", json!([])), true),
        ("peers of null", fixture.with("peers", json!(null)), true),
        ("1024 peers", fixture.with("peers", json!(peers)), true),
        ("no engines", fixture.with_engines(&[]), false),
        ("an engine listed twice", fixture.with_engines(&[fixture.endpoint("s-1"), fixture.endpoint("s-1")]), true),
        ("two engines at one address", fixture.with_engines(&[fixture.endpoint("s-1"), fixture.endpoint("s-2")]), true),
        (
            "a deleted engine",
            fixture.with_engines(&[endpoint("s-1", fixture.engine.address, "DELETED")]),
            false,
        ),
        ("an engine with few fields", fixture.with_engines(&[cold]), true),
        ("1024 engines at which nothing listens", fixture.with_engines(&many(1024)), false),
    ];
    // Each stop takes 0.7 s, so four threads share the cases.
    std::thread::scope(|scope| {
        for part in served.chunks(served.len().div_ceil(4)) {
            scope.spawn(|| {
                part.iter()
                    .for_each(|(case, config, succeeds)| assert_served(case, config, *succeeds))
            });
        }
    });
}

/// Asserts that a configuration is valid, that a gateway serves with it, and whether its queries succeed.
fn assert_served(case: &str, config: &Value, succeeds: bool) {
    assert!(run("check-config", &write_config(config), case).0, "{case}");
    let mut config = config.clone();
    config["listen"] = json!(own_address().to_string());
    let mut gateway = StartedGateway::with_config(&config);
    gateway.wait_until_health_is(200, case);
    // The client allows the longest time that its query class permits.
    let allowed = config["settings"]["categories"][0]["give-up"]
        .as_f64()
        .unwrap();
    let names_tenant = config["settings"]["tenants"][0].is_object();
    let mut send_query = || {
        let headers = request_headers(&new_id(), allowed as u32);
        let headers = if names_tenant {
            headers
        } else {
            headers.replace("X-Team: acme\r\n", "")
        };
        gateway.query(&headers, case)
    };
    let started_at = Instant::now();
    let mut status = send_query();
    // On a busy machine a connection may be established too late. The query is then rejected, and the client retries.
    while succeeds && status == 503 && started_at.elapsed() < RESPONSE_TIMEOUT {
        status = send_query();
    }
    let accepted = if succeeds {
        status == 200
    } else {
        status == 503 || status == 500
    };
    assert!(
        accepted,
        "{case}: the query got status {status}: {}",
        gateway.stderr_text()
    );
    gateway.stop(case);
}

/// A gateway without an endpoint list starts, accepts requests, and reports that it does not serve yet.
#[test]
fn gateway_without_an_endpoint_list_waits_for_one() {
    let fixture = Fixture::new();
    for known in [
        json!(null),
        json!({"seq": 0, "results": []}),
        json!({"seq": 1, "results": [{"seq": 1}]}),
    ] {
        let case = format!("known {known}");
        let mut config = fixture.with("known", known);
        config["listen"] = json!(own_address().to_string());
        assert!(
            run("check-config", &write_config(&config), &case).0,
            "{case}"
        );
        let mut gateway = StartedGateway::with_config(&config);
        gateway.wait_until_health_is(503, &case);
        gateway.stop(&case);
    }
}

/// Sets unexpected values at every path of the base configuration. Either the refusal names a place and a remedy, or
/// the gateway starts, answers `/healthz` and accepts a query.
#[test]
fn unexpected_value_at_every_path_is_served_or_refused() {
    let fixture = Fixture::new();
    let base = fixture.config();
    let mut all = Vec::new();
    collect_paths(&base, "", &mut all);
    assert!(
        all.len() > 100,
        "only {} paths in the base configuration",
        all.len()
    );
    let wrong = [
        json!(null),
        json!("odd"),
        json!(-1),
        json!(1e308),
        json!([]),
        json!({}),
    ];
    let (mut refused, mut served) = (0, 0);
    for path in &all {
        for value in &wrong {
            let case = format!("{path}={value}");
            let mut config = base.clone();
            set_value(&mut config, path, value.clone());
            let (accepted, stderr_text) = run("check-config", &write_config(&config), &case);
            if !accepted {
                refused += 1;
                let rest = stderr_text.strip_prefix("garnetwall: configuration ");
                let rest = rest.unwrap_or_else(|| panic!("{case}: {stderr_text}"));
                let (place, rest) = rest.split_once(": ").unwrap();
                let root = place.split('.').next().unwrap();
                assert!(
                    base.get(root).is_some(),
                    "{case}: the error names an unknown place: {stderr_text}"
                );
                assert!(
                    rest.contains("; ") && stderr_text.lines().count() == 1,
                    "{case}: {stderr_text}"
                );
                continue;
            }
            served += 1;
            assert!(stderr_text.is_empty(), "{case}: {stderr_text}");
            config["listen"] = json!(own_address().to_string());
            let mut gateway = StartedGateway::with_config(&config);
            let without_list = config["known"]["results"]
                .as_array()
                .is_none_or(Vec::is_empty);
            gateway.wait_until_health_is(if without_list { 503 } else { 200 }, &case);
            gateway.query(&request_headers(&new_id(), 200), &case);
            assert!(
                !gateway.stderr_text().contains("panicked"),
                "{case}: {}",
                gateway.stderr_text()
            );
        }
    }
    println!("{refused} refused, {served} served");
    assert!(
        refused > 200 && served > 50,
        "expected more than 200 refused and 50 served: {refused} refused, {served} served"
    );
}
