//! Bad input at the start: whatever a configuration holds, the program serves under it, or refuses it at once with the place,
//! the cause and what to do. It never panics and never hangs. `check-config` and `serve` say the same.

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

/// An answer comes within this.
const LONGEST: Duration = Duration::from_secs(5);

/// The helper's addresses come again after 254 numbers, and these tests use more: each has a port of its own.
fn own_address() -> SocketAddr {
    static NEXT_PORT: AtomicU16 = AtomicU16::new(10_000);
    SocketAddr::new(
        free_address().ip(),
        NEXT_PORT.fetch_add(1, Ordering::Relaxed),
    )
}

/// A valid configuration that names every key that is read.
fn whole(engine: SocketAddr, log: SocketAddr) -> Value {
    let mut c = config(engine, log);
    c["listen"] = json!(own_address().to_string());
    c["peers"] = json!(["127.0.0.1:7946"]);
    c["settings"]["allowed"]["max-retry-after"] = json!(1000.0);
    c["settings"]["balancers"] = json!(2);
    c["settings"]["registry-mode"] = json!("pushed");
    c["settings"]["rules"] = json!({"cold-from": 0.36, "warm-after": 15000.0, "fall": 3000.0, "fall-multiple": 2.5,
        "extra-window": 10000.0, "extra-floor": 3.0, "extra-per-request": 0.2, "order-pause": 200.0});
    c["settings"]["tenants"] = json!([{"name": "acme", "portion": 0.7, "quota-per-s": 119.0},
        {"name": "other", "portion": 0.3, "quota-per-s": 28.0}]);
    let mut referenced = query_class("lookup", "dedup", 3000.0);
    referenced["key-scope"] = json!("zone");
    referenced["dedup-window"] = json!(5000.0);
    referenced["aim-stretch"] = json!(2.0);
    referenced["zones-only"] = json!(["east"]);
    referenced["allowed-on"] = json!([0]);
    c["settings"]["categories"]
        .as_array_mut()
        .unwrap()
        .push(referenced);
    let domain = &mut c["settings"]["domain"];
    domain["kind-memory-mb"] = json!([32768.0]);
    domain["largest-share"] = json!(0.4);
    domain["grants-count"] = json!(true);
    domain["progress"] = json!(500.0);
    domain["waits-for-loads"] = json!([false, false, false]);
    c
}

fn pointer(path: &str) -> String {
    format!("/{}", path.replace('.', "/"))
}

/// Puts a value at a path, also where there is no key yet.
fn put(config: &mut Value, path: &str, value: Value) {
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

fn remove(config: &mut Value, path: &str) {
    let (parent, key) = path.rsplit_once('.').unwrap_or(("", path));
    let parent = if parent.is_empty() {
        config
    } else {
        config.pointer_mut(&pointer(parent)).unwrap()
    };
    parent.as_object_mut().unwrap().remove(key).unwrap();
}

/// The paths of all values under one, its own first.
fn paths(value: &Value, at: &str, into: &mut Vec<String>) {
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
            .for_each(|(key, value)| paths(value, &under(key), into)),
        Value::Array(items) => {
            items
                .iter()
                .enumerate()
                .for_each(|(i, value)| paths(value, &under(&i.to_string()), into));
        }
        _ => {}
    }
}

fn ended(child: &mut Child, what: &str) -> ExitStatus {
    let begun = Instant::now();
    while begun.elapsed() < LONGEST {
        if let Some(status) = child.try_wait().unwrap() {
            return status;
        }
        sleep(Duration::from_millis(1));
    }
    child.kill().unwrap();
    child.wait().unwrap();
    panic!("{what}: no answer in {LONGEST:?}");
}

/// Runs a command on a file until it ends: whether it went well, and what it said on standard error.
fn run(command: &str, file: &Path, what: &str) -> (bool, String) {
    let said = file.with_extension("said");
    let mut child = gateway_command(&[command, "--config", file.to_str().unwrap()])
        .stdout(Stdio::null())
        .stderr(File::create(&said).unwrap())
        .spawn()
        .unwrap();
    let status = ended(&mut child, what);
    let said = std::fs::read_to_string(said).unwrap();
    assert_eq!(status.signal(), None, "{what}: {said}");
    assert!(!said.contains("panicked"), "{what}: {said}");
    assert!(
        matches!(status.code(), Some(0 | 1)),
        "{what}: {status}: {said}"
    );
    (status.success(), said)
}

/// Refused by both commands, in one line: the place, the cause, and what to do.
fn assert_refused(config: &Value, place: &str, cause: &str, what: &str) {
    let file = write_config(config);
    for command in ["check-config", "serve"] {
        let (good, said) = run(command, &file, what);
        assert!(!good, "{what}: {command} takes it");
        assert_line(&said, place, cause, &format!("{what}: {command}"));
    }
}

fn assert_line(said: &str, place: &str, cause: &str, what: &str) {
    let lines: Vec<&str> = said.lines().collect();
    assert_eq!(lines.len(), 1, "{what}: {said}");
    let rest = lines[0].strip_prefix(&format!("garnetwall: configuration {place}: "));
    let rest = rest.unwrap_or_else(|| panic!("{what}: names another place than {place}: {said}"));
    let (told, remedy) = rest
        .rsplit_once("; ")
        .unwrap_or_else(|| panic!("{what}: no remedy: {said}"));
    assert!(told.contains(cause), "{what}: not '{cause}': {said}");
    assert!(remedy.len() > 3, "{what}: {said}");
}

/// A gateway that was started, with what it says.
struct Started {
    child: Child,
    said: std::path::PathBuf,
    address: SocketAddr,
}

impl Started {
    fn by(config: &Value) -> Started {
        let file = write_config(config);
        let said = file.with_extension("said");
        let child = serve_from(&file, File::create(&said).unwrap().into());
        Started {
            child,
            said,
            address: config["listen"].as_str().unwrap().parse().unwrap(),
        }
    }

    /// Until it answers on its health as expected.
    fn healthy(&mut self, status: u16, what: &str) {
        let begun = Instant::now();
        while begun.elapsed() < LONGEST {
            if let Some(ended) = self.child.try_wait().unwrap() {
                panic!("{what}: {ended}: {}", self.said());
            }
            let answer = TcpStream::connect(self.address)
                .ok()
                .and_then(|s| call(s, "GET /healthz", "", ""));
            if answer.is_some_and(|m| m.start_line.starts_with(&format!("HTTP/1.1 {status} "))) {
                return;
            }
            sleep(Duration::from_millis(5));
        }
        panic!(
            "{what}: never answered {status} on its health: {}",
            self.said()
        );
    }

    /// Sends a batch; the status of its answer, which comes in time.
    fn query(&mut self, fields: &str, what: &str) -> u16 {
        let stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(LONGEST)).unwrap();
        let answer = call(stream, "POST /v1/report", fields, "SELECT 1");
        let answer = answer.unwrap_or_else(|| panic!("{what}: no answer: {}", self.said()));
        assert!(
            self.child.try_wait().unwrap().is_none(),
            "{what}: {}",
            self.said()
        );
        Answer::of(answer).status
    }

    fn said(&self) -> String {
        std::fs::read_to_string(&self.said).unwrap()
    }

    /// Stops it as the platform does; it ends well and has not panicked anywhere.
    fn stop(mut self, what: &str) {
        let kill = format!("kill -TERM {}", self.child.id());
        assert!(Command::new("sh")
            .args(["-c", &kill])
            .status()
            .unwrap()
            .success());
        let status = ended(&mut self.child, what);
        assert!(status.success(), "{what}: {status}: {}", self.said());
        assert!(!self.said().contains("panicked"), "{what}: {}", self.said());
    }
}

impl Drop for Started {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

struct World {
    engine: Engine,
    log: ChangeLog,
}

impl World {
    fn new() -> World {
        World {
            engine: Engine::start(),
            log: ChangeLog::start(),
        }
    }

    fn config(&self) -> Value {
        whole(self.engine.address, self.log.address)
    }

    fn with(&self, path: &str, value: Value) -> Value {
        let mut config = self.config();
        put(&mut config, path, value);
        config
    }

    fn line(&self, id: &str) -> Value {
        endpoint(id, self.engine.address, "SERVING")
    }

    fn with_engines(&self, lines: &[Value]) -> Value {
        self.with("known.results", json!([list_event(0, true, lines)]))
    }
}

#[test]
fn the_base_is_served() {
    let world = World::new();
    let mut gateway = Started::by(&world.config());
    gateway.healthy(200, "the base");
    assert_eq!(
        gateway.query(&request_fields(&new_id(), 3000), "the base"),
        200
    );
    gateway.stop("the base");
}

#[test]
fn what_can_not_be_served_is_refused_with_place_cause_and_remedy() {
    let world = World::new();
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
            "'report' is there twice",
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
            "'acme' is there twice",
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
        ("listen", json!("here"), "no address with a port"),
        ("listen", json!("127.0.0.1:0"), "no address with a port"),
        ("listen", json!(""), "empty"),
        ("changelog", json!(4222), "a text expected"),
        ("seed", json!("8c1f30d27a5be964f"), "no seed"),
        ("name", json!(null), "a text expected, not null"),
        ("known", json!("all"), "an object expected"),
        ("known.seq", json!(-1), "the number of a change expected"),
        ("known.results", json!({}), "a list expected"),
        (
            "known.results.0.seq",
            json!(9),
            "goes back or past known.seq",
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
        let what = format!("{path}={value}");
        // The item of a list that is at fault is part of its place.
        let place = match *path {
            "settings.domain.parallelism" | "settings.domain.kind-cores" | "settings.kinds" => {
                format!("{path}.0")
            }
            "settings.tenants" if value.is_array() => format!("{path}.0"),
            "settings.categories.2.allowed-on" if value[0].is_object() => format!("{path}.0"),
            _ => path.to_string(),
        };
        assert_refused(&world.with(path, value.clone()), &place, cause, &what);
    }
}

#[test]
fn a_subset_that_can_not_be_kept_is_refused() {
    let world = World::new();
    assert_refused(
        &world.with("subset", json!([])),
        "subset",
        "an object expected",
        "subset=[]",
    );
    assert_refused(
        &world.with("subset", json!({})),
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
            &world.with("subset", subset),
            &place,
            cause,
            &format!("{place}={value}"),
        );
    }
}

#[test]
fn missing_keys_are_refused() {
    let world = World::new();
    for key in [
        "name",
        "listen",
        "seed",
        "changelog",
        "settings",
        "known.seq",
        "known.results",
    ] {
        let mut config = world.config();
        remove(&mut config, key);
        assert_refused(&config, key, "missing", key);
    }
    let mut config = world.config();
    remove(&mut config, "settings.categories");
    assert_refused(&config, "settings.categories", "empty", "no categories");
}

#[test]
fn numbers_of_the_known_changes_go_up() {
    let world = World::new();
    let events = |numbers: &[u64]| {
        numbers
            .iter()
            .map(|n| list_event(*n, *n == numbers[0], &[world.line("s-1")]))
            .collect::<Vec<_>>()
    };
    for (numbers, last, fault) in [
        (&[3, 2][..], 3, Some("known.results.1.seq")),
        (&[3, 3], 3, Some("known.results.1.seq")),
        (&[1, 2, 4], 3, Some("known.results.2.seq")),
        (&[1, 3], 3, None),
    ] {
        let config = world.with("known", json!({"seq": last, "results": events(numbers)}));
        let what = format!("{numbers:?} up to {last}");
        match fault {
            Some(place) => assert_refused(&config, place, "goes back or past known.seq", &what),
            None => assert!(
                run("check-config", &write_config(&config), &what).0,
                "{what}"
            ),
        }
    }
}

#[test]
fn a_file_that_is_no_configuration_is_refused() {
    let deep = "[".repeat(10_000);
    let files: &[(&str, &[u8], &str)] = &[
        ("empty", b"", "not JSON"),
        ("cut off", b"{\"name\": \"n0\", ", "not JSON"),
        (
            "not a number",
            b"{\"settings\": {\"categories\": [{\"give-up\": NaN}]}}",
            "not JSON",
        ),
        (
            "past all numbers",
            b"{\"settings\": {\"balancers\": 1e999}}",
            "not JSON",
        ),
        ("no UTF-8", b"{\"name\": \"\xff\xfe\"}", "not JSON"),
        ("deep", deep.as_bytes(), "not JSON"),
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
    for (what, bytes, cause) in files {
        let path = write_config(&json!({}));
        std::fs::write(&path, bytes).unwrap();
        for command in ["check-config", "serve"] {
            let (good, said) = run(command, &path, what);
            assert!(
                !good && said.contains(cause) && said.contains("; "),
                "{what}: {said}"
            );
            let place = cause.starts_with("configuration") || said.contains(path.to_str().unwrap());
            assert!(place, "{what}: {said}");
        }
    }
    for path in [
        std::env::temp_dir(),
        write_config(&json!({})).with_extension("gone"),
    ] {
        let child = gateway_command(&["check-config", "--config", path.to_str().unwrap()])
            .output()
            .unwrap();
        let said = String::from_utf8(child.stderr).unwrap();
        assert_eq!(child.status.code(), Some(1), "{said}");
        assert!(
            said.contains(path.to_str().unwrap()) && said.contains("; name a file"),
            "{said}"
        );
    }
}

#[test]
fn what_is_odd_but_clear_is_served() {
    let world = World::new();
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
    let cold = json!({"id": "s-1", "addr": world.engine.address.to_string(), "state": "SERVING"});
    // Whether a batch comes back with its rows; where not, it has another answer.
    let served: &[(&str, Value, bool)] = &[
        ("hours", world.with("settings.categories.0.give-up", json!(86_400_000)), true),
        ("goal of 0", world.with("settings.categories.0.goal-time", json!(0)), true),
        ("no worth", world.with("settings.categories.0.worth", json!(0)), false),
        ("no late share", world.with("settings.categories.0.late-share", json!(0)), true),
        ("portion of 0", world.with("settings.tenants.0.portion", json!(0)), true),
        ("quota of 0", world.with("settings.tenants.0.quota-per-s", json!(0)), true),
        ("no tenants named", world.with("settings.tenants", json!(null)), true),
        ("empty tenants", world.with("settings.tenants", json!([])), true),
        ("unknown way of reports", world.with("settings.telemetry.how", json!("by post")), true),
        ("unknown way of lists", world.with("settings.registry-mode", json!("shouted")), true),
        (
            "unknown scope, taken for the narrowest",
            world.with("settings.categories.2.key-scope", json!("house")),
            true,
        ),
        ("cores of 0 are not known", world.with("settings.domain.kind-cores", json!([0])), true),
        ("no room for a kind's memory", world.with("settings.domain.kind-memory-mb", json!([])), true),
        ("threads without a number", world.with("settings.domain.parallelism", json!([])), true),
        ("a budget of no time", world.with("settings.rules.extra-window", json!(0)), true),
        ("no rules", world.with("settings.rules", json!(null)), true),
        ("unknown key", world.with("weather", json!({"x": [[null, {}], 1e308]})), true),
        (
            "unknown keys in settings",
            world.with("settings.more", json!({"x": [[1], null, {"y": [[]]}]})),
            true,
        ),
        ("unknown key in a group", world.with("settings.categories.0.more", json!([[1], [{}]])), true),
        ("odd unread keys", world.with("settings.prices", json!([null, {"a": 1}, 3])), true),
        ("no limits", world.with("limits", json!(null)), true),
        ("subset of null", world.with("subset", json!(null)), true),
        ("subset of one", world.with("subset", json!({"size": 1})), true),
        ("subset over the list", world.with("subset", json!({"size": 1 << 20})), true),
        (
            "subset with all that is read, and more",
            world.with(
                "subset",
                json!({"size": 80, "class_floor": 0, "reserve": 0, "joins_per_second": 1e-3, "zone": "east",
                    "near_weight": 1, "weather": [null]}),
            ),
            true,
        ),
        ("least limits", world.with("limits", json!({"sockets": 64, "memory_mb": 16})), true),
        ("most limits", world.with("limits", json!({"sockets": 1 << 30, "memory_mb": 1 << 30})), true),
        ("no peers", world.with("peers", json!([])), true),
        ("peers of null", world.with("peers", json!(null)), true),
        ("1024 peers", world.with("peers", json!(peers)), true),
        ("no engines", world.with_engines(&[]), false),
        ("an engine twice", world.with_engines(&[world.line("s-1"), world.line("s-1")]), true),
        ("an address of two engines", world.with_engines(&[world.line("s-1"), world.line("s-2")]), true),
        (
            "an engine that has gone",
            world.with_engines(&[endpoint("s-1", world.engine.address, "DELETED")]),
            false,
        ),
        ("an engine with little told", world.with_engines(&[cold]), true),
        ("1024 engines that nobody runs", world.with_engines(&many(1024)), false),
    ];
    // Stopping takes each 0.7 s.
    std::thread::scope(|scope| {
        for part in served.chunks(served.len().div_ceil(4)) {
            scope.spawn(|| {
                part.iter()
                    .for_each(|(what, config, returned)| assert_served(what, config, *returned))
            });
        }
    });
}

fn assert_served(what: &str, config: &Value, returned: bool) {
    assert!(run("check-config", &write_config(config), what).0, "{what}");
    let mut config = config.clone();
    config["listen"] = json!(own_address().to_string());
    let mut gateway = Started::by(&config);
    gateway.healthy(200, what);
    // Its client waits for all the time that its group allows.
    let allowed = config["settings"]["categories"][0]["give-up"]
        .as_f64()
        .unwrap();
    let team = config["settings"]["tenants"][0].is_object();
    let mut batch = || {
        let fields = request_fields(&new_id(), allowed as u32);
        let fields = if team {
            fields
        } else {
            fields.replace("X-Team: acme\r\n", "")
        };
        gateway.query(&fields, what)
    };
    let begun = Instant::now();
    let mut status = batch();
    // On a busy machine a connection may come up too late; a client that is pushed back comes again.
    while returned && status == 503 && begun.elapsed() < LONGEST {
        status = batch();
    }
    let good = if returned {
        status == 200
    } else {
        status == 503 || status == 500
    };
    assert!(good, "{what}: {status}: {}", gateway.said());
    gateway.stop(what);
}

/// Without a list it starts, takes calls, and says that it does not serve yet.
#[test]
fn without_a_list_of_engines_it_waits_for_one() {
    let world = World::new();
    for known in [
        json!(null),
        json!({"seq": 0, "results": []}),
        json!({"seq": 1, "results": [{"seq": 1}]}),
    ] {
        let what = format!("known {known}");
        let mut config = world.with("known", known);
        config["listen"] = json!(own_address().to_string());
        assert!(
            run("check-config", &write_config(&config), &what).0,
            "{what}"
        );
        let mut gateway = Started::by(&config);
        gateway.healthy(503, &what);
        gateway.stop(&what);
    }
}

/// Puts what does not belong there in every place of the base. What is refused names a place and what to do; what is not is
/// really started, answers on its health, and takes a batch.
#[test]
fn in_every_place_what_does_not_belong_there_is_served_or_refused() {
    let world = World::new();
    let base = world.config();
    let mut all = Vec::new();
    paths(&base, "", &mut all);
    assert!(all.len() > 100, "{}", all.len());
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
            let what = format!("{path}={value}");
            let mut config = base.clone();
            put(&mut config, path, value.clone());
            let (good, said) = run("check-config", &write_config(&config), &what);
            if !good {
                refused += 1;
                let rest = said.strip_prefix("garnetwall: configuration ");
                let rest = rest.unwrap_or_else(|| panic!("{what}: {said}"));
                let (place, rest) = rest.split_once(": ").unwrap();
                let root = place.split('.').next().unwrap();
                assert!(base.get(root).is_some(), "{what}: no such place: {said}");
                assert!(
                    rest.contains("; ") && said.lines().count() == 1,
                    "{what}: {said}"
                );
                continue;
            }
            served += 1;
            assert!(said.is_empty(), "{what}: {said}");
            config["listen"] = json!(own_address().to_string());
            let mut gateway = Started::by(&config);
            let starting = config["known"]["results"]
                .as_array()
                .is_none_or(Vec::is_empty);
            gateway.healthy(if starting { 503 } else { 200 }, &what);
            gateway.query(&request_fields(&new_id(), 200), &what);
            assert!(
                !gateway.said().contains("panicked"),
                "{what}: {}",
                gateway.said()
            );
        }
    }
    println!("{refused} refused, {served} served");
    assert!(
        refused > 200 && served > 50,
        "{refused} refused, {served} served"
    );
}
