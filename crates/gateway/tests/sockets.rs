//! The program over sockets: started as in service, between raw clients, a stand-in engine and a stand-in
//! change log. A comment in the statement tells the engine how to behave.

mod helper;

use helper::*;
use serde_json::{json, Value};
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::process::{Command, Output, Stdio};
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::{Duration, Instant};

#[test]
fn a_batch_goes_through_unchanged_and_its_rows_come_back_whole() {
    let s = Service::start();
    let statement = "SELECT é FROM s_17.t /* pages */ WHERE a = 'x\\y'";
    let answer = s.query("report", statement);
    let mut rows: Vec<Value> = ROWS_AS_JSON.iter().map(|row| json!(row)).collect();
    rows.extend([json!(["p1", "", ""]), json!(["p2", "", ""])]);
    assert_eq!((answer.status, &answer.json), (200, &json!({"data": rows})));
    assert!(s
        .engine
        .calls
        .lock()
        .unwrap()
        .contains(&format!("POST /c {statement}")));
    assert_eq!(
        s.query("report", "SELECT 1 /* empty */").json,
        json!({"data": []})
    );
    // Many calls on one connection.
    let stream = s.open();
    for _ in 0..5 {
        let answer = call(
            stream.try_clone().unwrap(),
            "POST /v1/report",
            &request_fields(&new_id(), 3000),
            "SELECT 1",
        );
        assert_eq!(
            Answer::of(answer.unwrap()).json,
            json!({"data": ROWS_AS_JSON})
        );
    }
}

#[test]
fn what_is_no_batch_gets_a_short_4xx_and_no_dispatch() {
    let s = Service::start();
    let good = request_fields(&new_id(), 3000);
    let cases = [
        ("POST /v1/other", good.clone(), 400),
        ("POST /v2/report", good.clone(), 404),
        ("PUT /v1/report", good.clone(), 405),
        (
            "POST /v1/report",
            good.replace("X-Team: acme", "X-Team: nobody"),
            400,
        ),
        ("POST /v1/report", good.replace("X-Team: acme\r\n", ""), 400),
        ("POST /v1/report", format!("{good}{good}"), 400),
        ("POST /v1/report", request_fields("123", 3000), 400),
        (
            "POST /v1/report",
            request_fields("9b1f03aa5c7e2dzz", 3000),
            400,
        ),
        ("POST /v1/report", request_fields(&new_id(), 0), 400),
        ("POST /v1/report", good.replace("3000", "soon"), 400),
        ("POST /v1/report", good.replace("3000", "NaN"), 400),
        ("POST /v1/report", good.replace("3000", "3001"), 400),
        (
            "POST /v1/report",
            format!("{good}Transfer-Encoding: chunked\r\n"),
            411,
        ),
        (
            "POST /v1/report",
            format!("Transfer-Encoding: chunked\r\n{good}"),
            411,
        ),
        ("POST /v1/report", format!("{good}X-Item: none\r\n"), 400),
        ("DELETE /v1/report", good.clone(), 404),
        (
            "POST /v1/report",
            format!("{good}X-Long: {}\r\n", "x".repeat(40_000)),
            431,
        ),
    ];
    for (start, fields, status) in cases {
        let answer = Answer::of(call(s.open(), start, &fields, "SELECT 1").expect(start));
        assert_eq!(answer.status, status, "{start} {fields:.200}");
        assert!(
            status == 431 || answer.json["error"].is_string(),
            "{start} {fields:.200}"
        );
    }
    assert_eq!(s.query("report", "").status, 400);
    // Read by one that is still sending, too.
    assert_eq!(s.query("report", &"x".repeat(3_000_000)).status, 413);
    assert_eq!(s.engine.calls("POST"), 0);
}

/// Each way a dispatch can fail, and what the batch's answer is then.
#[test]
fn every_failure_is_an_outcome_and_never_rows() {
    let s = Service::start();
    let sent_again = s.query("report", "SELECT 1 /* full once */");
    assert!(sent_again.succeeded(), "full never ran: {sent_again:?}");
    for words in ["error", "lost page", "no count", "huge"] {
        let before = s.engine.calls("POST");
        let answer = s.query("load", &format!("INSERT /* {words} */"));
        assert_eq!(
            (answer.status, s.engine.calls("POST") - before),
            (500, 1),
            "once-only, {words}: {answer:?}"
        );
    }
    let twice = s.query("report", "SELECT 1 /* error */");
    assert_eq!(
        (twice.status, &twice.json, twice.retry_after_ms),
        (503, &json!({"error": "Busy"}), Some(600))
    );
    assert_eq!(
        s.engine.calls("POST /c SELECT 1 /* error */"),
        2,
        "two dispatches are allowed"
    );
}

#[test]
fn a_connection_reset_after_the_start_is_asked_about_not_started_again() {
    let s = Service::start();
    assert!(s.query("load", "INSERT /* reset */").succeeded());
    assert_eq!(s.engine.calls("POST"), 1);
}

/// Days of spoilt answers: a good end is given again when asked, and is asked for before the batch is given up.
#[test]
fn a_spoilt_answer_is_asked_for_again_and_reaches_no_other_batch() {
    let s = Service::start();
    let rows = |kind: &str| {
        let pages = [json!(["p1", "", ""]), json!(["p2", "", ""])];
        let first = ROWS_AS_JSON.iter().map(|row| json!(row));
        let rows: Vec<Value> = first
            .chain(pages.into_iter().filter(|_| kind == "pages"))
            .collect();
        json!({ "data": rows })
    };
    for spoil in [
        "noise",
        "endless head",
        "length",
        "gigabytes",
        "rows",
        "1xx ahead",
        "surplus",
    ] {
        for kind in ["pages", "one"] {
            let answer = s.query("load", &format!("INSERT /* {kind} */ /* spoilt {spoil} */"));
            assert_eq!(
                (answer.status, answer.json),
                (200, rows(kind)),
                "{spoil}, {kind}"
            );
            assert_eq!(
                s.query("report", "SELECT 1").json,
                rows("one"),
                "after {spoil}"
            );
        }
    }
    assert_eq!(s.engine.calls("POST"), 28, "no batch was sent twice");
}

/// Days of answers that come late or never: lookups waited 0.75 s for them and missed their goal.
#[test]
fn an_answer_that_does_not_come_is_asked_for_once_news_is_due() {
    let s = Service::start();
    let began = Instant::now();
    assert!(s.query("load", "INSERT /* late */").succeeded());
    assert!(
        began.elapsed() < Duration::from_millis(700),
        "{:?}",
        began.elapsed()
    );
    assert_eq!(s.engine.calls("POST"), 1);
}

/// Days of resets: an engine that had a start whole ran it on, unasked, while the next batch of its key was sent.
#[test]
fn a_dispatch_whose_end_is_not_known_is_given_up_before_it_counts_as_over() {
    let s = Service::start();
    assert_eq!(
        s.query("load", "INSERT /* reset */ /* forgets */").status,
        500
    );
    wait_until("the DELETE", || {
        (s.engine.calls("POST"), s.engine.calls("DELETE")) == (1, 1)
    });
    assert_eq!(
        s.query(
            "load",
            "INSERT /* reset */ /* forgets */ /* loses delete */"
        )
        .status,
        500
    );
    wait_until("the DELETE asked again", || {
        (s.engine.calls("POST"), s.engine.calls("DELETE")) == (2, 3)
    });
}

#[test]
fn nobody_listening_at_an_engine_proves_that_nothing_ran() {
    let s = Service::with(|c| {
        let dead = free_address().to_string();
        c["known"]["results"][0]["fleet"]["servers"][0]["addr"] = json!(dead);
    });
    let answer = s.query_with_id(&new_id(), "load", 3000, "INSERT 1");
    assert_eq!(
        (answer.status, &answer.json["error"]),
        (503, &json!("Busy"))
    );
}

#[test]
fn a_silent_engine_is_answered_for_in_time_and_given_up() {
    let s = Service::start();
    let (id, began) = (new_id(), Instant::now());
    let answer = s.query_with_id(&id, "load", 1000, "INSERT /* silent */");
    assert_eq!(answer.status, 500);
    assert!(
        began.elapsed() < Duration::from_millis(1050),
        "{:?}",
        began.elapsed()
    );
    wait_until("the DELETE", || {
        s.engine.calls(&format!("DELETE /c/{id}")) == 1
    });
}

/// Found by reading: a dispatch taken back shortly before the limit was waited for past it.
#[test]
fn a_dispatch_taken_back_late_does_not_hold_up_the_answer() {
    let s = Service::start();
    let (stream, began) = (s.open(), Instant::now());
    send(
        &stream,
        "POST /v1/report",
        &request_fields(&new_id(), 1000),
        "SELECT 1 /* keeps delete */",
    );
    sleep(Duration::from_millis(800));
    // An engine told to have started after the dispatch has lost it: the module takes it back.
    let unix = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap();
    let mut restarted = endpoint("s-1", s.engine.address, "SERVING");
    restarted["started_ms"] = json!(unix.as_millis() as u64);
    s.log.publish(list_event(1, false, &[restarted]));
    let answer = Answer::of(read_message(&mut BufReader::new(stream)).unwrap());
    assert_eq!(answer.status, 503);
    assert!(
        began.elapsed() < Duration::from_millis(1050),
        "{:?}",
        began.elapsed()
    );
}

#[test]
fn a_client_that_leaves_takes_its_dispatch_along() {
    let s = Service::start();
    for how in ["closes", "deletes"] {
        let id = new_id();
        let stream = s.open();
        send(
            &stream,
            "POST /v1/report",
            &request_fields(&id, 3000),
            "SELECT 1 /* slow */",
        );
        wait_until("the start", || {
            s.engine.started.lock().unwrap().contains_key(&id)
        });
        if how == "deletes" {
            let answer = call(
                s.open(),
                "DELETE /v1/report",
                &request_fields(&id, 3000),
                "",
            )
            .unwrap();
            assert_eq!(answer.start_line, "HTTP/1.1 204 No Content");
        }
        drop(stream);
        wait_until(how, || s.engine.calls(&format!("DELETE /c/{id}")) == 1);
    }
}

#[test]
fn a_repeated_id_joins_its_batch_and_never_makes_a_second() {
    let s = Service::start();
    let id = new_id();
    let both = [(); 2].map(|()| {
        let stream = s.open();
        send(
            &stream,
            "POST /v1/load",
            &request_fields(&id, 3000),
            "INSERT /* slow */",
        );
        stream
    });
    for stream in both {
        assert!(Answer::of(read_message(&mut BufReader::new(stream)).unwrap()).succeeded());
    }
    // Made again it gets the same answer, and no second attempt is made; with another statement it gets neither.
    assert!(s
        .query_with_id(&id, "load", 3000, "INSERT /* slow */")
        .succeeded());
    assert_eq!(s.query_with_id(&id, "load", 3000, "INSERT").status, 409);
    assert_eq!(s.engine.calls("POST"), 1);
    // A client whose connection is lost has 50 ms to come again; a slow machine may take longer, so some tries.
    let joined = (0..10).any(|_| {
        let id = new_id();
        let lost = s.open();
        send(
            &lost,
            "POST /v1/report",
            &request_fields(&id, 3000),
            "SELECT 1 /* slow */",
        );
        wait_until("the start", || {
            s.engine.started.lock().unwrap().contains_key(&id)
        });
        drop(lost);
        s.query_with_id(&id, "report", 3000, "SELECT 1 /* slow */")
            .succeeded()
    });
    assert!(joined);
}

/// Days of bad clients: some had 'returned' for the id of a batch in hand and a statement of their own.
#[test]
fn an_id_in_hand_with_anything_else_is_refused_and_does_not_touch_the_batch() {
    let s = Service::start();
    let (id, stream) = (new_id(), s.open());
    send(
        &stream,
        "POST /v1/report",
        &request_fields(&id, 3000),
        "SELECT 1 /* slow */",
    );
    wait_until("the start", || s.engine.calls("POST") == 1);
    assert_eq!(s.query_with_id(&id, "report", 3000, "SELECT 2").status, 409);
    assert_eq!(
        s.query_with_id(&id, "load", 3000, "SELECT 1 /* slow */")
            .status,
        409
    );
    assert!(Answer::of(read_message(&mut BufReader::new(stream)).unwrap()).succeeded());
    assert_eq!(s.engine.calls("POST"), 1);
}

/// Days of new engines and of bad clients: connections kept for good and silent ones held all seats, and those
/// that came waited unread, out of their order.
#[test]
fn silent_and_idle_connections_cost_those_that_ask_no_time_and_are_closed() {
    let s = Service::start();
    let kept: Vec<TcpStream> = (0..120)
        .map(|_| {
            let stream = s.open();
            let answer = call(
                stream.try_clone().unwrap(),
                "POST /v1/report",
                &request_fields(&new_id(), 3000),
                "SELECT 1",
            );
            assert!(Answer::of(answer.unwrap()).succeeded());
            stream
        })
        .collect();
    let silent: Vec<TcpStream> = (0..300).map(|_| s.open()).collect();
    let half = s.open();
    (&half)
        .write_all(b"POST /v1/report HTTP/1.1\r\nHost: o")
        .unwrap();
    let body = s.open();
    (&body)
        .write_all(b"POST /v1/report HTTP/1.1\r\nHost: o\r\nContent-Length: 9\r\n\r\nSEL")
        .unwrap();
    let began = Instant::now();
    assert!(s.query("report", "SELECT 1").succeeded());
    assert!(
        began.elapsed() < Duration::from_millis(1500),
        "{:?}",
        began.elapsed()
    );
    let asking = s.open();
    send(
        &asking,
        "POST /v1/report",
        &request_fields(&new_id(), 3000),
        "SELECT 1 /* very slow */",
    );
    for mut stream in silent.into_iter().chain([half, body]) {
        stream
            .set_read_timeout(Some(Duration::from_secs(3)))
            .unwrap();
        let end = std::io::copy(&mut stream, &mut std::io::sink());
        assert!(
            !end.is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock),
            "left open"
        );
    }
    assert!(
        began.elapsed() < Duration::from_millis(3500),
        "{:?}",
        began.elapsed()
    );
    drop(kept);
    assert!(
        Answer::of(read_message(&mut BufReader::new(asking)).expect("an answer")).succeeded(),
        "it asked"
    );
}

#[test]
fn batches_of_a_key_run_one_at_a_time_in_the_order_they_came() {
    let s = Service::start();
    let streams: Vec<TcpStream> = (0..3)
        .map(|n| {
            let stream = s.open();
            let fields = format!(
                "{}X-Item: 7f3a9c21e0b4d655\r\n",
                request_fields(&new_id(), 2900)
            );
            send(
                &stream,
                "POST /v1/load",
                &fields,
                &format!("INSERT {n} /* {} */", ["slow", "x"][n.min(1)]),
            );
            sleep(Duration::from_millis(60));
            stream
        })
        .collect();
    assert_eq!(s.engine.calls("POST"), 1, "the others wait for the first");
    for stream in streams {
        assert!(Answer::of(read_message(&mut BufReader::new(stream)).unwrap()).succeeded());
    }
    let calls = s.engine.calls.lock().unwrap().join("\n");
    let at = |n: usize| calls.find(&format!("POST /c INSERT {n}")).unwrap();
    assert!(at(0) < at(1) && at(1) < at(2));
}

#[test]
fn the_change_log_is_followed_over_faults_and_lost_connections() {
    let s = Service::start();
    let other = Engine::start();
    s.log.publish(
        json!({"seq": 1, "fleet": {"full": false, "servers": [{"id": "s-2", "state": "ODD"}]}}),
    );
    s.log.publish(list_event(
        2,
        false,
        &[
            endpoint("s-1", s.engine.address, "DRAINING"),
            endpoint("s-2", other.address, "SERVING"),
        ],
    ));
    // The malformed event is asked for again once, then passed over.
    wait_until("the second connection", || {
        s.log.last_event_ids.lock().unwrap().starts_with(&[0, 0])
    });
    wait_until("the new engine", || {
        s.query("report", "SELECT 1").succeeded() && other.calls("POST") > 0
    });
    let before = s.engine.calls("POST");
    assert!(s.query("report", "SELECT 1").succeeded());
    assert_eq!(
        s.engine.calls("POST"),
        before,
        "nothing new to an engine that drains"
    );
    s.log.close_streams();
    wait_until("the third connection", || {
        s.log.last_event_ids.lock().unwrap().last() == Some(&2)
    });
    s.log.publish(list_event(
        3,
        true,
        &[endpoint("s-3", s.engine.address, "SERVING")],
    ));
    wait_until("the whole list", || {
        s.query("report", "SELECT 1").succeeded() && s.engine.calls("POST") > before
    });
    let left = other.calls("POST");
    assert!(s.query("report", "SELECT 1").succeeded());
    assert_eq!(
        other.calls("POST"),
        left,
        "what a whole list does not name is gone"
    );
    s.log.paused.store(true, Ordering::Relaxed);
    wait_until("a fresh connection in place of a silent one", || {
        s.log.last_event_ids.lock().unwrap().last() == Some(&3)
    });
}

#[test]
fn it_is_healthy_only_once_it_knows_a_list_of_engines() {
    let (engine, log) = (Engine::start(), ChangeLog::start());
    let mut config = config(engine.address, log.address);
    config["known"] = json!({"seq": 0, "results": []});
    let address = config["listen"].as_str().unwrap().parse().unwrap();
    let s = Service {
        child: serve(&config),
        engine,
        log,
        config,
        address,
    };
    wait_until("the port", || TcpStream::connect(address).is_ok());
    let health = || call(s.open(), "GET /healthz", "", "").unwrap().start_line;
    assert_eq!(health(), "HTTP/1.1 503 Service Unavailable");
    s.log.publish(list_event(
        1,
        true,
        &[endpoint("s-1", s.engine.address, "SERVING")],
    ));
    s.wait_until_healthy();
    assert!(s.query("report", "SELECT 1").succeeded());
}

#[test]
fn sigterm_takes_on_what_still_comes_answers_all_and_exits() {
    let mut s = Service::start();
    let slow = s.open();
    send(
        &slow,
        "POST /v1/report",
        &request_fields(&new_id(), 3000),
        "SELECT 1 /* slow */",
    );
    wait_until("the start", || s.engine.calls("POST") == 1);
    let began = Instant::now();
    s.signal("TERM");
    sleep(Duration::from_millis(300));
    assert!(
        s.query("report", "SELECT 1").succeeded(),
        "connections still come"
    );
    assert!(Answer::of(read_message(&mut BufReader::new(slow)).unwrap()).succeeded());
    assert!(s.child.wait().unwrap().success());
    assert!(began.elapsed() < Duration::from_millis(3700));
}

/// SIGKILL may come 3.7 s after SIGTERM, however long batches may take.
#[test]
fn sigterm_leaves_no_batch_unanswered_when_the_kill_may_come() {
    let mut s = Service::with(|c| c["settings"]["categories"][1]["give-up"] = json!(20_000.0));
    let silent = s.open();
    send(
        &silent,
        "POST /v1/load",
        &request_fields(&new_id(), 20_000),
        "INSERT /* silent */",
    );
    wait_until("the start", || s.engine.calls("POST") == 1);
    let began = Instant::now();
    s.signal("TERM");
    assert_eq!(
        Answer::of(read_message(&mut BufReader::new(silent)).unwrap()).status,
        500
    );
    assert!(s.child.wait().unwrap().success());
    assert!(
        began.elapsed() < Duration::from_millis(3700),
        "{:?}",
        began.elapsed()
    );
}

/// Days of new configurations crashed the gateway: SIGHUP was not handled.
#[test]
fn sighup_follows_the_new_change_log_and_keeps_the_old_file_where_the_new_one_is_faulty() {
    let path = write_config(&Value::Null);
    let mut s = Service::with_launcher(
        |_| {},
        |config| {
            std::fs::write(&path, config.to_string()).unwrap();
            serve_from(&path, Stdio::piped())
        },
    );
    s.log.publish(list_event(1, false, &[]));
    wait_until("the first log", || {
        s.log.last_event_ids.lock().unwrap().as_slice() == [0]
    });
    let slow = s.open();
    send(
        &slow,
        "POST /v1/report",
        &request_fields(&new_id(), 3000),
        "SELECT 1 /* slow */",
    );
    std::fs::write(&path, "{").unwrap();
    s.signal("HUP");
    sleep(Duration::from_millis(100));
    let (other, new) = (Engine::start(), ChangeLog::start());
    s.log
        .events
        .lock()
        .unwrap()
        .iter()
        .for_each(|e| new.events.lock().unwrap().push(e.clone()));
    new.publish(list_event(
        2,
        true,
        &[endpoint("s-2", other.address, "SERVING")],
    ));
    s.config["changelog"] = json!(new.address.to_string());
    s.config["limits"]["sockets"] = json!(512);
    std::fs::write(&path, s.config.to_string()).unwrap();
    s.signal("HUP");
    wait_until("the new log from the last number", || {
        new.last_event_ids.lock().unwrap().as_slice() == [1]
    });
    s.log.publish(list_event(
        2,
        true,
        &[endpoint("s-3", free_address(), "SERVING")],
    ));
    wait_until("the new engine", || {
        s.query("report", "SELECT 1").succeeded() && other.calls("POST") > 0
    });
    assert!(
        Answer::of(read_message(&mut BufReader::new(slow)).unwrap()).succeeded(),
        "no batch notices"
    );
    s.signal("TERM");
    s.signal("HUP");
    assert!(
        s.child.wait().unwrap().success(),
        "nor does SIGHUP end one that drains"
    );
    let said = std::io::read_to_string(s.child.stderr.take().unwrap()).unwrap();
    for line in [
        "configuration not reloaded",
        "key=\"limits\"",
        "configuration reloaded",
    ] {
        assert!(said.contains(line), "{line}: {said}");
    }
}

#[test]
fn killed_outright_it_starts_again_under_its_address() {
    let mut s = Service::start();
    let open = s.open();
    send(
        &open,
        "POST /v1/report",
        &request_fields(&new_id(), 3000),
        "SELECT 1 /* slow */",
    );
    wait_until("the start", || s.engine.calls("POST") == 1);
    s.signal("KILL");
    s.child.wait().unwrap();
    s.child = serve(&s.config);
    s.wait_until_healthy();
    assert!(s.query("report", "SELECT 1").succeeded());
}

#[test]
fn short_of_descriptors_every_batch_still_has_its_answer() {
    let limited = |config: &Value| {
        let start = format!(
            "ulimit -n 64; exec {} serve",
            env!("CARGO_BIN_EXE_garnetwall")
        );
        let mut command = Command::new("sh");
        command
            .args(["-c", &start])
            .env("PROXY_CONFIG", write_config(config))
            .env_remove("PROXY_LISTEN");
        command.stderr(Stdio::null()).spawn().unwrap()
    };
    let s = Service::with_launcher(|c| c["limits"]["sockets"] = json!(64), limited);
    let streams: Vec<TcpStream> = (0..60)
        .map(|_| {
            let stream = s.open();
            send(
                &stream,
                "POST /v1/report",
                &request_fields(&new_id(), 3000),
                "SELECT 1 /* slow */",
            );
            stream
        })
        .collect();
    for stream in streams {
        // Connections are closed as they are answered, so that waiting ones are accepted.
        let answer = Answer::of(read_message(&mut BufReader::new(stream)).expect("an answer"));
        assert!(answer.succeeded() || answer.status == 503, "{answer:?}");
    }
    assert!(
        s.query("report", "SELECT 1").succeeded(),
        "and it serves on"
    );
}

fn run(arguments: &[&str], file: Option<&std::path::Path>) -> Output {
    let mut command = gateway_command(arguments);
    if let Some(file) = file {
        command.env("PROXY_CONFIG", file);
    }
    command.output().unwrap()
}

#[test]
fn a_faulty_configuration_is_named_by_its_key_and_nothing_is_bound() {
    let address = free_address();
    let faults: [(&str, Value, &str); 10] = [
        ("/listen", json!("nowhere"), "listen"),
        ("/seed", json!("xyz"), "seed"),
        ("/changelog", json!(null), "changelog"),
        ("/limits/sockets", json!(3), "limits.sockets"),
        ("/limits/memory_mb", json!("much"), "limits.memory_mb"),
        (
            "/known/results/0/fleet/servers/0/state",
            json!("ODD"),
            "known.results.0",
        ),
        ("/settings", json!([]), "settings"),
        ("/settings/categories", json!([]), "settings.categories"),
        (
            "/settings/categories/0/give-up",
            json!("soon"),
            "categories.0.give-up",
        ),
        ("/name", json!(7), "name"),
    ];
    for (key, value, named) in faults {
        let mut config = config(address, address);
        *config.pointer_mut(key).unwrap() = value;
        for command in ["check-config", "serve"] {
            let output = run(&[command], Some(&write_config(&config)));
            let said = String::from_utf8_lossy(&output.stderr).into_owned();
            assert!(
                !output.status.success() && said.contains(named),
                "{command} {key}: {said}"
            );
            assert_eq!(said.lines().count(), 1, "{said}");
        }
    }
    assert!(!run(&["serve"], None).status.success());
    assert!(run(
        &["check-config"],
        Some(&write_config(&config(address, address)))
    )
    .status
    .success());
    assert!(String::from_utf8_lossy(&run(&["version"], None).stdout).starts_with("garnetwall "));
    assert!(!run(&["dance"], None).status.success());
}
