//! A gateway with a plan, over sockets: it routes, narrows and limits as `plan explain` says; a faulty plan at SIGHUP
//! is logged with line and cause and the old one stays, with load on. And the commands on plans with their exit codes.

mod helper;

use helper::*;
use serde_json::{json, Value};
use std::io::BufReader;
use std::path::{Path, PathBuf};
use std::process::Output;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{scope, sleep};
use std::time::{Duration, Instant};

/// A file of its own for each test.
fn written(name: &str, text: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!(
        "{}-{}-{name}",
        std::process::id(),
        new_id()
    ));
    std::fs::write(&path, text).unwrap();
    path
}

/// A gateway with a plan, two engines `s-1` (the helper's) and `s-2`, and its log.
struct Planned {
    service: Service,
    second: Engine,
    plan: PathBuf,
    log: PathBuf,
}

impl Planned {
    fn start(text: &str) -> Planned {
        let (plan, log, second) = (written("a.plan", text), written("log", ""), Engine::start());
        let at = second.address;
        let service = Service::with_launcher(
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
        Planned {
            service,
            second,
            plan,
            log,
        }
    }

    fn reload(&self, text: &str) {
        std::fs::write(&self.plan, text).unwrap();
        self.service.signal("HUP");
    }

    fn until_logged(&self, words: &str) -> String {
        wait_until(words, || {
            std::fs::read_to_string(&self.log).unwrap().contains(words)
        });
        std::fs::read_to_string(&self.log).unwrap()
    }

    fn starts(&self) -> (usize, usize) {
        (self.service.engine.calls("POST"), self.second.calls("POST"))
    }
}

fn run(arguments: &[&str]) -> Output {
    gateway_command(arguments).output().unwrap()
}

fn said(output: &Output) -> String {
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
fn batches_go_where_explain_says() {
    let p = Planned::start(ROUTES);
    let s = &p.service;
    for n in 0..10 {
        assert!(s.query("report", &format!("SELECT {n}")).succeeded());
    }
    assert_eq!(
        p.starts(),
        (0, 10),
        "reports are bound to the second engine"
    );
    for n in 0..5 {
        assert!(s.query("load", &format!("INSERT {n}")).succeeded());
    }
    assert_eq!(p.starts(), (5, 10), "loads prefer the first");
    s.log.publish(list_event(
        1,
        false,
        &[endpoint("s-1", s.engine.address, "DRAINING")],
    ));
    wait_until("the drain", || {
        s.query("load", "INSERT").succeeded() && p.starts().1 > 10
    });
    let before = p.starts().0;
    assert!(s.query("load", "INSERT").succeeded());
    assert_eq!(
        p.starts().0,
        before,
        "the second preference, as the first has none left"
    );
    s.log.publish(list_event(
        2,
        false,
        &[endpoint("s-2", p.second.address, "DELETED")],
    ));
    s.log.publish(list_event(
        3,
        false,
        &[endpoint("s-3", s.engine.address, "SERVING")],
    ));
    sleep(Duration::from_millis(200));
    let answer = s.query_with_id(&new_id(), "report", 400, "SELECT 1");
    assert_eq!(
        answer.status, 503,
        "bound to what has gone, it leaves for no other: {answer:?}"
    );
    assert_eq!(p.starts().0, before);

    let key = format!(
        "{}X-Item: 7f3a9c21e0b4d655\r\n",
        request_fields(&new_id(), 3000)
    );
    let closed = Answer::of(call(s.open(), "POST /v1/load", &key, "INSERT 1").unwrap());
    assert_eq!(closed.status, 503);
    assert_eq!(
        closed.json,
        json!({"error": "Busy", "reason": "loads with a key are closed"})
    );

    let plan = p.plan.to_str().unwrap();
    let explain = |more: &[&str]| {
        said(&run(
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
        "{load}"
    );
    assert!(
        load.contains("passed over: route `night-watch`") && load.contains("by its `key`"),
        "{load}"
    );
    assert!(explain(&["--group", "load", "--key", "1"])
        .contains("pushed back: loads with a key are closed"));
}

#[test]
fn limits_turn_away_at_once_with_a_time_to_come_back() {
    let p = Planned::start(
        "limit each {\n  per client\n  group report\n  rate 4/s burst 2\n}\n\
         limit loads {\n  group load\n  in-hand 1\n}\n\
         group load {\n  statement 100B\n}\n",
    );
    let s = &p.service;
    for _ in 0..2 {
        assert!(s.query("report", "SELECT 1").succeeded());
    }
    let began = Instant::now();
    let third = s.query("report", "SELECT 1");
    assert!(
        began.elapsed() < Duration::from_millis(200),
        "at once: {:?}",
        began.elapsed()
    );
    assert_eq!(
        (third.status, &third.json["reason"]),
        (503, &json!("over the limit each (Rate)"))
    );
    let wait = third.retry_after_ms.expect("a time to come back");
    assert!((10..=250).contains(&wait), "{wait}");
    sleep(Duration::from_millis(wait + 5));
    assert!(
        s.query("report", "SELECT 1").succeeded(),
        "then there is room"
    );

    let (slow, id) = (s.open(), new_id());
    send(
        &slow,
        "POST /v1/load",
        &request_fields(&id, 3000),
        "INSERT /* slow */",
    );
    wait_until("the start", || {
        p.starts() != (3, 0) && p.starts().0 + p.starts().1 == 4
    });
    let second = s.query("load", "INSERT");
    assert_eq!(
        (second.status, &second.json["reason"]),
        (503, &json!("over the limit loads (InHand)"))
    );
    // The same batch again is not another one.
    let again = s.query_with_id(&id, "load", 3000, "INSERT /* slow */");
    assert!(again.succeeded(), "{again:?}");
    assert!(Answer::of(read_message(&mut BufReader::new(slow)).unwrap()).succeeded());
    assert!(s.query("load", "INSERT").succeeded(), "room again");
    assert_eq!(s.query("load", &"x".repeat(101)).status, 413);
}

#[test]
fn a_plans_time_limit_is_kept_though_the_client_allows_more() {
    let p = Planned::start("group report {\n  limit 500ms\n}\n");
    let began = Instant::now();
    let answer = p.service.query("report", "SELECT 1 /* very slow */");
    assert_eq!(answer.status, 503);
    assert!(
        began.elapsed() < Duration::from_millis(600),
        "{:?}",
        began.elapsed()
    );
}

#[test]
fn a_faulty_plan_is_logged_with_line_and_cause_and_the_old_one_stays_under_load() {
    let p = Planned::start(ROUTES);
    let (s, stop) = (&p.service, AtomicBool::new(false));
    scope(|scope| {
        let load = scope.spawn(|| {
            let mut answers = 0;
            while !stop.load(Ordering::Relaxed) {
                let answer = s.query("report", "SELECT 1");
                assert!(answer.succeeded(), "{answer:?}");
                answers += 1;
            }
            answers
        });
        // A batch that is in hand while the plan changes keeps the one that it came under.
        let (slow, reader) = (s.open(), s.open());
        send(
            &slow,
            "POST /v1/load",
            &request_fields(&new_id(), 3000),
            "INSERT /* slow */",
        );
        wait_until("the start", || p.starts().0 == 1);
        p.reload(&ROUTES.replace("  to two\n", "  to two, one\n"));
        let log = p.until_logged("the old one stays");
        assert!(
            log.contains("the route `reports` may send `report` to `one`, out of `two`"),
            "{log}"
        );
        assert!(log.contains("a.plan:21:3"), "{log}");
        sleep(Duration::from_millis(100));
        assert_eq!(p.starts().0, 1, "reports stay with the second");
        p.reload(
            &ROUTES
                .replace("pools two", "pools one")
                .replace("to two", "to one"),
        );
        p.until_logged("plan updated");
        wait_until("reports at the first", || p.starts().0 > 3);
        let before = p.starts().1;
        assert!(s.query("report", "SELECT 1").succeeded());
        sleep(Duration::from_millis(100));
        assert!(p.starts().1 <= before + 1, "the second has no more of them");
        assert!(Answer::of(read_message(&mut BufReader::new(slow)).unwrap()).succeeded());
        drop(reader);
        stop.store(true, Ordering::Relaxed);
        assert!(load.join().unwrap() > 10);
    });
}

#[test]
fn a_gateway_with_a_faulty_plan_does_not_start() {
    let (engine, log) = (Engine::start(), ChangeLog::start());
    let plan = written("b.plan", "pool one {\n  id s-1\n  knid std\n}\n");
    let config = write_config(&config(engine.address, log.address));
    let output = gateway_command(&["serve", "--plan", plan.to_str().unwrap()])
        .env("PROXY_CONFIG", config)
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(1));
    let said = said(&output);
    assert!(
        said.contains("a pool has no entry `knid`") && said.contains("did you mean `kind`?"),
        "{said}"
    );
}

#[test]
fn commands_on_plans_end_with_their_codes() {
    let (good, same) = ("pool a {\n  all\n}\n", "# moved\npool a {\n  all\n}\n");
    let (good, same) = (written("good.plan", good), written("same.plan", same));
    let careless = written("careless.plan", "pool   a   {\nall\n}");
    let faulty = written("faulty.plan", "pool a {\n  al\n}\n");
    let other = written(
        "other.plan",
        "pool a {\n  all\n}\nlimit b {\n  in-hand 3\n}\n",
    );
    let word = |path: &PathBuf| path.to_str().unwrap().to_string();
    let code = |arguments: &[&str]| run(arguments).status.code().unwrap();
    assert_eq!(code(&["plan", "check", &word(&good)]), 0);
    assert_eq!(code(&["plan", "check", &word(&faulty)]), 1);
    assert_eq!(code(&["plan", "check"]), 2);
    assert_eq!(code(&["plan", "chek", &word(&good)]), 2);
    assert_eq!(code(&["plan", "check", &word(&good), "--loud"]), 2);
    assert_eq!(code(&["plan", "diff", &word(&good), &word(&same)]), 0);
    let changed = run(&["plan", "diff", &word(&good), &word(&other), "--json"]);
    assert_eq!(changed.status.code(), Some(1));
    let json: Value = serde_json::from_slice(&changed.stdout).unwrap();
    assert_eq!(
        json,
        json!([{"of": "limit", "text": "`b` is new: in-hand 3"}])
    );
    assert_eq!(code(&["plan", "fmt", "--check", &word(&careless)]), 1);
    assert_eq!(code(&["plan", "fmt", &word(&careless)]), 0);
    assert_eq!(code(&["plan", "fmt", "--check", &word(&careless)]), 0);
    assert_eq!(
        std::fs::read_to_string(&careless).unwrap(),
        "pool a {\n  all\n}\n"
    );
    let unread = written("unread.plan", "pool a {\n  all\n");
    assert_eq!(
        code(&["plan", "fmt", &word(&unread)]),
        1,
        "what can't be read is not touched"
    );
    assert_eq!(
        std::fs::read_to_string(&unread).unwrap(),
        "pool a {\n  all\n"
    );
    let show = run(&["plan", "show", &word(&good)]);
    let json: Value = serde_json::from_slice(&show.stdout).unwrap();
    assert_eq!(json["pools"][0]["name"], json!("a"));
    let example = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/example.plan");
    let checked = run(&["plan", "check", &word(&example)]);
    assert_eq!(checked.status.code(), Some(0), "{}", said(&checked));
    assert_eq!(
        code(&["plan", "fmt", "--check", &word(&example)]),
        0,
        "the example is in its one form"
    );
}
