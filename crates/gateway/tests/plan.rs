//! A gateway with a plan, over sockets. It routes, restricts and limits queries as `plan explain` says. A faulty plan
//! at SIGHUP is logged with its line and cause, and the old plan stays in force under load. The plan commands exit with
//! their codes.

mod helper;

use helper::*;
use serde_json::{json, Value};
use std::io::BufReader;
use std::path::{Path, PathBuf};
use std::process::Output;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{scope, sleep};
use std::time::{Duration, Instant};

/// Writes a new file whose name ends with `name` and returns its path.
fn write_file(name: &str, text: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!(
        "{}-{}-{name}",
        std::process::id(),
        new_id()
    ));
    std::fs::write(&path, text).unwrap();
    path
}

/// A gateway with a plan and two engines: `s-1` of the test bed and `s-2`. Its log is written to a file.
struct PlannedGateway {
    test_bed: TestBed,
    second: FakeEngine,
    plan: PathBuf,
    log: PathBuf,
}

impl PlannedGateway {
    fn start(text: &str) -> PlannedGateway {
        let (plan, log, second) = (
            write_file("a.plan", text),
            write_file("log", ""),
            FakeEngine::start(),
        );
        let at = second.address;
        let test_bed = TestBed::start_with_launcher(
            |config| {
                let servers = config["known"]["results"][0]["fleet"]["servers"]
                    .as_array_mut()
                    .unwrap();
                servers.push(endpoint("s-2", at, "SERVING"));
            },
            |config| {
                let mut command = gateway_command(&["serve", "--plan", plan.to_str().unwrap()]);
                command
                    .env("PROXY_CONFIG", write_config(config))
                    .stderr(std::fs::File::create(&log).unwrap());
                command.spawn().unwrap()
            },
        );
        PlannedGateway {
            test_bed,
            second,
            plan,
            log,
        }
    }

    /// Replaces the plan file and sends SIGHUP.
    fn reload(&self, text: &str) {
        std::fs::write(&self.plan, text).unwrap();
        self.test_bed.signal("HUP");
    }

    /// Waits until the log contains these words and returns the log.
    fn wait_until_logged(&self, words: &str) -> String {
        wait_until(words, || {
            std::fs::read_to_string(&self.log).unwrap().contains(words)
        });
        std::fs::read_to_string(&self.log).unwrap()
    }

    /// Returns the numbers of attempts at `s-1` and at `s-2`.
    fn attempts_per_engine(&self) -> (usize, usize) {
        (
            self.test_bed.engine.requests("POST"),
            self.second.requests("POST"),
        )
    }
}

/// Runs the program with these arguments until it exits.
fn run(arguments: &[&str]) -> Output {
    gateway_command(arguments).output().unwrap()
}

/// Returns standard output followed by standard error.
fn output_text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr)
}

const ROUTES: &str = "\
pool one {
  id s-1
}

pool two {
  id s-2
}

group report {
  pools two
}

route night-watch {
  group load
  key given
  refuse \"loads with a key are closed\"
}

route reports {
  group report
  to two
}

route loads {
  to one, two
}
";

#[test]
fn queries_are_routed_as_explain_says() {
    let gateway = PlannedGateway::start(ROUTES);
    let test_bed = &gateway.test_bed;
    for n in 0..10 {
        assert!(test_bed.query("report", &format!("SELECT {n}")).succeeded());
    }
    assert_eq!(
        gateway.attempts_per_engine(),
        (0, 10),
        "reports should go to the second engine alone"
    );
    for n in 0..5 {
        assert!(test_bed.query("load", &format!("INSERT {n}")).succeeded());
    }
    assert_eq!(
        gateway.attempts_per_engine(),
        (5, 10),
        "loads should prefer the first engine"
    );
    test_bed.log.publish(list_change_event(
        1,
        &[endpoint("s-1", test_bed.engine.address, "DRAINING")],
    ));
    wait_until("the drain is applied", || {
        test_bed.query("load", "INSERT").succeeded() && gateway.attempts_per_engine().1 > 10
    });
    let before = gateway.attempts_per_engine().0;
    assert!(test_bed.query("load", "INSERT").succeeded());
    assert_eq!(
        gateway.attempts_per_engine().0,
        before,
        "loads should go to the second pool, as the first has no engine left"
    );
    test_bed.log.publish(list_change_event(
        2,
        &[endpoint("s-2", gateway.second.address, "DELETED")],
    ));
    test_bed.log.publish(list_change_event(
        3,
        &[endpoint("s-3", test_bed.engine.address, "SERVING")],
    ));
    sleep(Duration::from_millis(200));
    let answer = test_bed.query_with_id(&new_id(), "report", 400, "SELECT 1");
    assert_eq!(
        answer.status, 503,
        "a query bound to a removed engine should be rejected: {answer:?}"
    );
    assert_eq!(gateway.attempts_per_engine().0, before);

    let key = format!(
        "{}X-Item: 7f3a9c21e0b4d655\r\n",
        request_headers(&new_id(), 3000)
    );
    let refused =
        Answer::of(round_trip(test_bed.open(), "POST /v1/load", &key, "INSERT 1").unwrap());
    assert_eq!(refused.status, 503);
    assert_eq!(
        refused.json,
        json!({"error": "Busy", "reason": "loads with a key are closed"})
    );

    let plan = gateway.plan.to_str().unwrap();
    let explain = |more: &[&str]| {
        output_text(&run(
            &[&["plan", "explain", plan, "--at", "12:00"], more].concat()
        ))
    };
    let report = explain(&["--group", "report"]);
    assert!(
        report.contains("route `reports`")
            && report.contains("1. pool `two`")
            && report.contains("pools two")
    );
    let load = explain(&["--group", "load"]);
    assert!(
        load.contains("1. pool `one`") && load.contains("2. pool `two`"),
        "`plan explain` lacks the pools: {load}"
    );
    assert!(
        load.contains("does not match: route `night-watch`")
            && load.contains("because of its entry `key`"),
        "`plan explain` lacks the route that does not match: {load}"
    );
    assert!(explain(&["--group", "load", "--key", "1"])
        .contains("rejected: loads with a key are closed"));
}

#[test]
fn limits_reject_at_once_with_retry_after() {
    let gateway = PlannedGateway::start(
        "limit each {\n  per client\n  group report\n  rate 4/s burst 2\n}\n\
         limit loads {\n  group load\n  in-hand 1\n}\n\
         group load {\n  statement 100B\n}\n",
    );
    let test_bed = &gateway.test_bed;
    for _ in 0..2 {
        assert!(test_bed.query("report", "SELECT 1").succeeded());
    }
    let began = Instant::now();
    let third = test_bed.query("report", "SELECT 1");
    assert!(
        began.elapsed() < Duration::from_millis(200),
        "the rejection took {:?}",
        began.elapsed()
    );
    assert_eq!(
        (third.status, &third.json["reason"]),
        (503, &json!("over the limit each (Rate)"))
    );
    let wait = third
        .retry_after_ms
        .expect("the rejection should carry x-wait-ms");
    assert!((10..=250).contains(&wait), "Retry-After of {wait} ms");
    sleep(Duration::from_millis(wait + 5));
    assert!(
        test_bed.query("report", "SELECT 1").succeeded(),
        "the limit should admit a query after the Retry-After"
    );

    let (slow, id) = (test_bed.open(), new_id());
    send_request(
        &slow,
        "POST /v1/load",
        &request_headers(&id, 3000),
        "INSERT /* slow */",
    );
    wait_until("the engine receives the start", || {
        gateway.attempts_per_engine() != (3, 0)
            && gateway.attempts_per_engine().0 + gateway.attempts_per_engine().1 == 4
    });
    let second = test_bed.query("load", "INSERT");
    assert_eq!(
        (second.status, &second.json["reason"]),
        (503, &json!("over the limit loads (InHand)"))
    );
    // A repeated request does not count as another query.
    let repeated = test_bed.query_with_id(&id, "load", 3000, "INSERT /* slow */");
    assert!(
        repeated.succeeded(),
        "the repeated request should join its query: {repeated:?}"
    );
    assert!(Answer::of(read_message(&mut BufReader::new(slow)).unwrap()).succeeded());
    assert!(
        test_bed.query("load", "INSERT").succeeded(),
        "the limit should admit a query again"
    );
    assert_eq!(test_bed.query("load", &"x".repeat(101)).status, 413);
}

#[test]
fn time_limit_of_the_plan_applies_though_the_client_allows_more() {
    let gateway = PlannedGateway::start("group report {\n  limit 500ms\n}\n");
    let began = Instant::now();
    let answer = gateway.test_bed.query("report", "SELECT 1 /* very slow */");
    assert_eq!(answer.status, 503);
    assert!(
        began.elapsed() < Duration::from_millis(600),
        "it took {:?}",
        began.elapsed()
    );
}

#[test]
fn plan_error_is_logged_with_line_and_cause_and_the_old_plan_stays_under_load() {
    let gateway = PlannedGateway::start(ROUTES);
    let (test_bed, stop) = (&gateway.test_bed, AtomicBool::new(false));
    scope(|scope| {
        let load = scope.spawn(|| {
            let mut answers = 0;
            while !stop.load(Ordering::Relaxed) {
                let answer = test_bed.query("report", "SELECT 1");
                assert!(answer.succeeded(), "expected rows: {answer:?}");
                answers += 1;
            }
            answers
        });
        // A query that is active during the reload keeps the plan under which it was admitted.
        let (slow, reader) = (test_bed.open(), test_bed.open());
        send_request(
            &slow,
            "POST /v1/load",
            &request_headers(&new_id(), 3000),
            "INSERT /* slow */",
        );
        wait_until("the start", || gateway.attempts_per_engine().0 == 1);
        gateway.reload(&ROUTES.replace("  to two\n", "  to two, one\n"));
        let log = gateway.wait_until_logged("the previous one stays in force");
        assert!(
            log.contains("route `reports` may send queries of `report` to pool `one`, but their class is bound to `two`"),
            "the log lacks the cause: {log}"
        );
        assert!(log.contains("a.plan:21:3"), "the log lacks the line: {log}");
        sleep(Duration::from_millis(100));
        assert_eq!(
            gateway.attempts_per_engine().0,
            1,
            "number of attempts at the first engine under the old plan"
        );
        gateway.reload(
            &ROUTES
                .replace("pools two", "pools one")
                .replace("to two", "to one"),
        );
        gateway.wait_until_logged("plan updated");
        wait_until("reports go to the first engine", || {
            gateway.attempts_per_engine().0 > 3
        });
        let before = gateway.attempts_per_engine().1;
        assert!(test_bed.query("report", "SELECT 1").succeeded());
        sleep(Duration::from_millis(100));
        assert!(
            gateway.attempts_per_engine().1 <= before + 1,
            "the second engine should get no more reports under the new plan"
        );
        assert!(Answer::of(read_message(&mut BufReader::new(slow)).unwrap()).succeeded());
        drop(reader);
        stop.store(true, Ordering::Relaxed);
        assert!(load.join().unwrap() > 10);
    });
}

#[test]
fn gateway_with_a_faulty_plan_does_not_start() {
    let (engine, log) = (FakeEngine::start(), FakeChangeLog::start());
    let plan = write_file("b.plan", "pool one {\n  id s-1\n  knid std\n}\n");
    let config = write_config(&config(engine.address, log.address));
    let output = gateway_command(&["serve", "--plan", plan.to_str().unwrap()])
        .env("PROXY_CONFIG", config)
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(1));
    let error_text = output_text(&output);
    assert!(
        error_text.contains("unknown entry `knid` in block `pool`")
            && error_text.contains("did you mean `kind`?"),
        "the error lacks the cause or the suggestion: {error_text}"
    );
}

#[test]
fn plan_commands_exit_with_their_codes() {
    let (good, same) = ("pool a {\n  all\n}\n", "# moved\npool a {\n  all\n}\n");
    let (good, same) = (write_file("good.plan", good), write_file("same.plan", same));
    let unformatted = write_file("careless.plan", "pool   a   {\nall\n}");
    let faulty = write_file("faulty.plan", "pool a {\n  al\n}\n");
    let other = write_file(
        "other.plan",
        "pool a {\n  all\n}\nlimit b {\n  in-hand 3\n}\n",
    );
    let path_text = |path: &PathBuf| path.to_str().unwrap().to_string();
    let code = |arguments: &[&str]| run(arguments).status.code().unwrap();
    assert_eq!(code(&["plan", "check", &path_text(&good)]), 0);
    assert_eq!(code(&["plan", "check", &path_text(&faulty)]), 1);
    assert_eq!(code(&["plan", "check"]), 2);
    assert_eq!(code(&["plan", "chek", &path_text(&good)]), 2);
    assert_eq!(code(&["plan", "check", &path_text(&good), "--loud"]), 2);
    assert_eq!(
        code(&["plan", "diff", &path_text(&good), &path_text(&same)]),
        0
    );
    let changed = run(&[
        "plan",
        "diff",
        &path_text(&good),
        &path_text(&other),
        "--json",
    ]);
    assert_eq!(changed.status.code(), Some(1));
    let json: Value = serde_json::from_slice(&changed.stdout).unwrap();
    assert_eq!(
        json,
        json!([{"of": "limit", "text": "`b` is new: in-hand 3"}])
    );
    assert_eq!(
        code(&["plan", "fmt", "--check", &path_text(&unformatted)]),
        1
    );
    assert_eq!(code(&["plan", "fmt", &path_text(&unformatted)]), 0);
    assert_eq!(
        code(&["plan", "fmt", "--check", &path_text(&unformatted)]),
        0
    );
    assert_eq!(
        std::fs::read_to_string(&unformatted).unwrap(),
        "pool a {\n  all\n}\n"
    );
    let unreadable = write_file("unread.plan", "pool a {\n  all\n");
    assert_eq!(
        code(&["plan", "fmt", &path_text(&unreadable)]),
        1,
        "a file that cannot be parsed should not be changed"
    );
    assert_eq!(
        std::fs::read_to_string(&unreadable).unwrap(),
        "pool a {\n  all\n"
    );
    let show = run(&["plan", "show", &path_text(&good)]);
    let json: Value = serde_json::from_slice(&show.stdout).unwrap();
    assert_eq!(json["pools"][0]["name"], json!("a"));
    let example = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/example.plan");
    let checked = run(&["plan", "check", &path_text(&example)]);
    assert_eq!(
        checked.status.code(),
        Some(0),
        "the example plan is not valid: {}",
        output_text(&checked)
    );
    assert_eq!(
        code(&["plan", "fmt", "--check", &path_text(&example)]),
        0,
        "the example plan should be formatted"
    );
}
