//! The gateway program over sockets, between raw HTTP clients, a fake engine and a fake change log. Directives in the
//! comments of a statement tell the fake engine how to deviate from the protocol.

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
fn query_is_forwarded_unchanged_and_its_rows_are_returned_complete() {
    let test_bed = TestBed::start();
    let statement = "SELECT é FROM s_17.t /* pages */ WHERE a = 'x\\y'";
    let answer = test_bed.query("report", statement);
    let mut rows: Vec<Value> = ROWS_AS_JSON.iter().map(|row| json!(row)).collect();
    rows.extend([json!(["p1", "", ""]), json!(["p2", "", ""])]);
    assert_eq!((answer.status, &answer.json), (200, &json!({"data": rows})));
    assert!(test_bed
        .engine
        .requests
        .lock()
        .unwrap()
        .contains(&format!("POST /c {statement}")));
    assert_eq!(
        test_bed.query("report", "SELECT 1 /* empty */").json,
        json!({"data": []})
    );
    // Several requests are answered on one connection.
    let stream = test_bed.open();
    for _ in 0..5 {
        let answer = round_trip(
            stream.try_clone().unwrap(),
            "POST /v1/report",
            &request_headers(&new_id(), 3000),
            "SELECT 1",
        );
        assert_eq!(
            Answer::of(answer.unwrap()).json,
            json!({"data": ROWS_AS_JSON})
        );
    }
}

#[test]
fn invalid_request_gets_a_short_4xx_and_no_attempt() {
    let test_bed = TestBed::start();
    let good = request_headers(&new_id(), 3000);
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
        ("POST /v1/report", request_headers("123", 3000), 400),
        (
            "POST /v1/report",
            request_headers("9b1f03aa5c7e2dzz", 3000),
            400,
        ),
        ("POST /v1/report", request_headers(&new_id(), 0), 400),
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
    for (start, headers, status) in cases {
        let answer =
            Answer::of(round_trip(test_bed.open(), start, &headers, "SELECT 1").expect(start));
        assert_eq!(answer.status, status, "{start} {headers:.200}");
        assert!(
            status == 431 || answer.json["error"].is_string(),
            "{start} {headers:.200}"
        );
    }
    assert_eq!(test_bed.query("report", "").status, 400);
    // A client that is still sending its body can read the answer.
    assert_eq!(test_bed.query("report", &"x".repeat(3_000_000)).status, 413);
    assert_eq!(test_bed.engine.requests("POST"), 0);
}

/// An attempt can be rejected, fail, or return an incomplete or too large result. The query is retried, rejected or
/// answered as failed, and its answer has no rows.
#[test]
fn query_with_a_failed_attempt_is_retried_or_answered_without_rows() {
    let test_bed = TestBed::start();
    let retried = test_bed.query("report", "SELECT 1 /* full once */");
    assert!(
        retried.succeeded(),
        "a rejected attempt should be retried, as it never ran: {retried:?}"
    );
    for words in ["error", "lost page", "no count", "huge"] {
        let before = test_bed.engine.requests("POST");
        let answer = test_bed.query("load", &format!("INSERT /* {words} */"));
        assert_eq!(
            (answer.status, test_bed.engine.requests("POST") - before),
            (500, 1),
            "status and number of attempts of a non-idempotent query, {words}: {answer:?}"
        );
    }
    let failed = test_bed.query("report", "SELECT 1 /* error */");
    assert_eq!(
        (failed.status, &failed.json, failed.retry_after_ms),
        (503, &json!({"error": "Busy"}), Some(600))
    );
    assert_eq!(
        test_bed.engine.requests("POST /c SELECT 1 /* error */"),
        2,
        "number of attempts, of which two are allowed"
    );
}

#[test]
fn attempt_is_polled_not_restarted_after_a_connection_reset() {
    let test_bed = TestBed::start();
    assert!(test_bed.query("load", "INSERT /* reset */").succeeded());
    assert_eq!(test_bed.engine.requests("POST"), 1);
}

/// The engine repeats a result when it is polled, and the gateway polls again after a corrupted response before it
/// abandons the query.
#[test]
fn corrupted_response_is_polled_again_and_reaches_no_other_query() {
    let test_bed = TestBed::start();
    let rows = |kind: &str| {
        let pages = [json!(["p1", "", ""]), json!(["p2", "", ""])];
        let first = ROWS_AS_JSON.iter().map(|row| json!(row));
        let rows: Vec<Value> = first
            .chain(pages.into_iter().filter(|_| kind == "pages"))
            .collect();
        json!({ "data": rows })
    };
    for corruption in [
        "noise",
        "endless head",
        "length",
        "gigabytes",
        "rows",
        "1xx ahead",
        "surplus",
    ] {
        for kind in ["pages", "one"] {
            let answer = test_bed.query(
                "load",
                &format!("INSERT /* {kind} */ /* spoilt {corruption} */"),
            );
            assert_eq!(
                (answer.status, answer.json),
                (200, rows(kind)),
                "status and rows after a corruption: {corruption}, {kind}"
            );
            assert_eq!(
                test_bed.query("report", "SELECT 1").json,
                rows("one"),
                "rows of the next query after a corruption: {corruption}"
            );
        }
    }
    assert_eq!(
        test_bed.engine.requests("POST"),
        28,
        "number of attempts, one for each query"
    );
}

/// Guards against waiting 0.75 s for a response that is late or lost, by which lookups missed their latency objective.
#[test]
fn missing_response_is_polled_once_it_is_due() {
    let test_bed = TestBed::start();
    let began = Instant::now();
    assert!(test_bed.query("load", "INSERT /* late */").succeeded());
    assert!(
        began.elapsed() < Duration::from_millis(700),
        "it took {:?}",
        began.elapsed()
    );
    assert_eq!(test_bed.engine.requests("POST"), 1);
}

/// Guards against sending the next query of a key too early after a connection reset: the engine had received the
/// complete start and still ran it, although nobody polled.
#[test]
fn attempt_of_unknown_outcome_is_cancelled_before_it_counts_as_ended() {
    let test_bed = TestBed::start();
    assert_eq!(
        test_bed
            .query("load", "INSERT /* reset */ /* forgets */")
            .status,
        500
    );
    wait_until("the engine receives the DELETE", || {
        (
            test_bed.engine.requests("POST"),
            test_bed.engine.requests("DELETE"),
        ) == (1, 1)
    });
    assert_eq!(
        test_bed
            .query(
                "load",
                "INSERT /* reset */ /* forgets */ /* loses delete */"
            )
            .status,
        500
    );
    wait_until("the DELETE is retried", || {
        (
            test_bed.engine.requests("POST"),
            test_bed.engine.requests("DELETE"),
        ) == (2, 3)
    });
}

#[test]
fn refused_connection_proves_that_nothing_ran() {
    let test_bed = TestBed::start_with(|c| {
        let dead = free_address().to_string();
        c["known"]["results"][0]["fleet"]["servers"][0]["addr"] = json!(dead);
    });
    let answer = test_bed.query_with_id(&new_id(), "load", 3000, "INSERT 1");
    assert_eq!(
        (answer.status, &answer.json["error"]),
        (503, &json!("Busy"))
    );
}

#[test]
fn query_to_a_silent_engine_is_answered_in_time_and_its_attempt_cancelled() {
    let test_bed = TestBed::start();
    let (id, began) = (new_id(), Instant::now());
    let answer = test_bed.query_with_id(&id, "load", 1000, "INSERT /* silent */");
    assert_eq!(answer.status, 500);
    assert!(
        began.elapsed() < Duration::from_millis(1050),
        "it took {:?}",
        began.elapsed()
    );
    wait_until("the engine receives the DELETE", || {
        test_bed.engine.requests(&format!("DELETE /c/{id}")) == 1
    });
}

/// An attempt that is cancelled shortly before the deadline must not delay the answer past the deadline.
#[test]
fn attempt_cancelled_late_does_not_delay_the_answer() {
    let test_bed = TestBed::start();
    let (stream, began) = (test_bed.open(), Instant::now());
    send_request(
        &stream,
        "POST /v1/report",
        &request_headers(&new_id(), 1000),
        "SELECT 1 /* keeps delete */",
    );
    sleep(Duration::from_millis(800));
    // The list says that the engine has started after the attempt, so the engine has lost the attempt, and the gateway
    // cancels it.
    let since_epoch = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap();
    let mut restarted = endpoint("s-1", test_bed.engine.address, "SERVING");
    restarted["started_ms"] = json!(since_epoch.as_millis() as u64);
    test_bed.log.publish(list_change_event(1, &[restarted]));
    let answer = Answer::of(read_message(&mut BufReader::new(stream)).unwrap());
    assert_eq!(answer.status, 503);
    assert!(
        began.elapsed() < Duration::from_millis(1050),
        "it took {:?}",
        began.elapsed()
    );
}

#[test]
fn client_disconnect_or_cancel_cancels_the_attempt() {
    let test_bed = TestBed::start();
    for action in ["closes", "deletes"] {
        let id = new_id();
        let stream = test_bed.open();
        send_request(
            &stream,
            "POST /v1/report",
            &request_headers(&id, 3000),
            "SELECT 1 /* slow */",
        );
        wait_until("the engine receives the start", || {
            test_bed.engine.started.lock().unwrap().contains_key(&id)
        });
        if action == "deletes" {
            let answer = round_trip(
                test_bed.open(),
                "DELETE /v1/report",
                &request_headers(&id, 3000),
                "",
            )
            .unwrap();
            assert_eq!(answer.start_line, "HTTP/1.1 204 No Content");
        }
        drop(stream);
        wait_until(action, || {
            test_bed.engine.requests(&format!("DELETE /c/{id}")) == 1
        });
    }
}

#[test]
fn repeated_id_joins_its_query_and_never_starts_a_second() {
    let test_bed = TestBed::start();
    let id = new_id();
    let both = [(); 2].map(|()| {
        let stream = test_bed.open();
        send_request(
            &stream,
            "POST /v1/load",
            &request_headers(&id, 3000),
            "INSERT /* slow */",
        );
        stream
    });
    for stream in both {
        assert!(Answer::of(read_message(&mut BufReader::new(stream)).unwrap()).succeeded());
    }
    // A repeated request gets the same answer without a second attempt. With another statement it is refused.
    assert!(test_bed
        .query_with_id(&id, "load", 3000, "INSERT /* slow */")
        .succeeded());
    assert_eq!(
        test_bed.query_with_id(&id, "load", 3000, "INSERT").status,
        409
    );
    assert_eq!(test_bed.engine.requests("POST"), 1);
    // A disconnected client may reconnect within 50 ms. A slow machine may take longer, hence several rounds.
    let joined = (0..10).any(|_| {
        let id = new_id();
        let lost = test_bed.open();
        send_request(
            &lost,
            "POST /v1/report",
            &request_headers(&id, 3000),
            "SELECT 1 /* slow */",
        );
        wait_until("the engine receives the start", || {
            test_bed.engine.started.lock().unwrap().contains_key(&id)
        });
        drop(lost);
        test_bed
            .query_with_id(&id, "report", 3000, "SELECT 1 /* slow */")
            .succeeded()
    });
    assert!(joined);
}

/// Guards against giving the answer of an active query to a client that uses the query's id with a statement of its
/// own.
#[test]
fn active_id_with_another_request_is_refused_and_does_not_affect_the_query() {
    let test_bed = TestBed::start();
    let (id, stream) = (new_id(), test_bed.open());
    send_request(
        &stream,
        "POST /v1/report",
        &request_headers(&id, 3000),
        "SELECT 1 /* slow */",
    );
    wait_until("the start", || test_bed.engine.requests("POST") == 1);
    assert_eq!(
        test_bed
            .query_with_id(&id, "report", 3000, "SELECT 2")
            .status,
        409
    );
    assert_eq!(
        test_bed
            .query_with_id(&id, "load", 3000, "SELECT 1 /* slow */")
            .status,
        409
    );
    assert!(Answer::of(read_message(&mut BufReader::new(stream)).unwrap()).succeeded());
    assert_eq!(test_bed.engine.requests("POST"), 1);
}

/// Guards against keep-alive and silent connections that hold all slots, so that new connections wait unread and are
/// served out of order.
#[test]
fn silent_and_idle_connections_delay_no_query_and_are_closed() {
    let test_bed = TestBed::start();
    let keep_alive: Vec<TcpStream> = (0..120)
        .map(|_| {
            let stream = test_bed.open();
            let answer = round_trip(
                stream.try_clone().unwrap(),
                "POST /v1/report",
                &request_headers(&new_id(), 3000),
                "SELECT 1",
            );
            assert!(Answer::of(answer.unwrap()).succeeded());
            stream
        })
        .collect();
    let silent: Vec<TcpStream> = (0..300).map(|_| test_bed.open()).collect();
    let partial_head = test_bed.open();
    (&partial_head)
        .write_all(b"POST /v1/report HTTP/1.1\r\nHost: o")
        .unwrap();
    let partial_body = test_bed.open();
    (&partial_body)
        .write_all(b"POST /v1/report HTTP/1.1\r\nHost: o\r\nContent-Length: 9\r\n\r\nSEL")
        .unwrap();
    let began = Instant::now();
    assert!(test_bed.query("report", "SELECT 1").succeeded());
    assert!(
        began.elapsed() < Duration::from_millis(1500),
        "it took {:?}",
        began.elapsed()
    );
    let busy = test_bed.open();
    send_request(
        &busy,
        "POST /v1/report",
        &request_headers(&new_id(), 3000),
        "SELECT 1 /* very slow */",
    );
    for mut stream in silent.into_iter().chain([partial_head, partial_body]) {
        stream
            .set_read_timeout(Some(Duration::from_secs(3)))
            .unwrap();
        let end = std::io::copy(&mut stream, &mut std::io::sink());
        assert!(
            !end.is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock),
            "a silent connection is still open after 3 s"
        );
    }
    assert!(
        began.elapsed() < Duration::from_millis(3500),
        "it took {:?}",
        began.elapsed()
    );
    drop(keep_alive);
    assert!(
        Answer::of(read_message(&mut BufReader::new(busy)).expect("an answer should arrive"))
            .succeeded(),
        "the query should succeed, as its connection is not silent"
    );
}

#[test]
fn queries_of_a_key_run_one_at_a_time_in_order_of_arrival() {
    let test_bed = TestBed::start();
    let streams: Vec<TcpStream> = (0..3)
        .map(|n| {
            let stream = test_bed.open();
            let headers = format!(
                "{}X-Item: 7f3a9c21e0b4d655\r\n",
                request_headers(&new_id(), 2900)
            );
            send_request(
                &stream,
                "POST /v1/load",
                &headers,
                &format!("INSERT {n} /* {} */", ["slow", "x"][n.min(1)]),
            );
            sleep(Duration::from_millis(60));
            stream
        })
        .collect();
    assert_eq!(
        test_bed.engine.requests("POST"),
        1,
        "number of attempts while the first query runs"
    );
    for stream in streams {
        assert!(Answer::of(read_message(&mut BufReader::new(stream)).unwrap()).succeeded());
    }
    let calls = test_bed.engine.requests.lock().unwrap().join("\n");
    let position = |n: usize| calls.find(&format!("POST /c INSERT {n}")).unwrap();
    assert!(position(0) < position(1) && position(1) < position(2));
}

#[test]
fn change_log_is_followed_across_malformed_events_and_lost_connections() {
    let test_bed = TestBed::start();
    let other = FakeEngine::start();
    test_bed.log.publish(
        json!({"seq": 1, "fleet": {"full": false, "servers": [{"id": "s-2", "state": "ODD"}]}}),
    );
    test_bed.log.publish(list_change_event(
        2,
        &[
            endpoint("s-1", test_bed.engine.address, "DRAINING"),
            endpoint("s-2", other.address, "SERVING"),
        ],
    ));
    // A malformed event is requested once more, then skipped.
    wait_until("the gateway connects a second time", || {
        test_bed
            .log
            .last_event_ids
            .lock()
            .unwrap()
            .starts_with(&[0, 0])
    });
    wait_until("the new engine is used", || {
        test_bed.query("report", "SELECT 1").succeeded() && other.requests("POST") > 0
    });
    let before = test_bed.engine.requests("POST");
    assert!(test_bed.query("report", "SELECT 1").succeeded());
    assert_eq!(
        test_bed.engine.requests("POST"),
        before,
        "number of attempts at the draining engine"
    );
    test_bed.log.close_streams();
    wait_until("the gateway connects a third time", || {
        test_bed.log.last_event_ids.lock().unwrap().last() == Some(&2)
    });
    test_bed.log.publish(full_list_event(
        3,
        &[endpoint("s-3", test_bed.engine.address, "SERVING")],
    ));
    wait_until("the full list is applied", || {
        test_bed.query("report", "SELECT 1").succeeded()
            && test_bed.engine.requests("POST") > before
    });
    let requests_before = other.requests("POST");
    assert!(test_bed.query("report", "SELECT 1").succeeded());
    assert_eq!(
        other.requests("POST"),
        requests_before,
        "number of attempts at an engine that the full list does not name"
    );
    test_bed.log.paused.store(true, Ordering::Relaxed);
    wait_until("another connection is opened beside a silent one", || {
        test_bed.log.last_event_ids.lock().unwrap().last() == Some(&3)
    });
}

#[test]
fn gateway_is_healthy_only_once_it_has_an_endpoint_list() {
    let (engine, log) = (FakeEngine::start(), FakeChangeLog::start());
    let mut config = config(engine.address, log.address);
    config["known"] = json!({"seq": 0, "results": []});
    let address = config["listen"].as_str().unwrap().parse().unwrap();
    let test_bed = TestBed {
        child: serve(&config),
        engine,
        log,
        config,
        address,
    };
    wait_until("the port", || TcpStream::connect(address).is_ok());
    let health = || {
        round_trip(test_bed.open(), "GET /healthz", "", "")
            .unwrap()
            .start_line
    };
    assert_eq!(health(), "HTTP/1.1 503 Service Unavailable");
    test_bed.log.publish(full_list_event(
        1,
        &[endpoint("s-1", test_bed.engine.address, "SERVING")],
    ));
    test_bed.wait_until_healthy();
    assert!(test_bed.query("report", "SELECT 1").succeeded());
}

#[test]
fn sigterm_admits_new_queries_answers_all_and_exits() {
    let mut test_bed = TestBed::start();
    let slow = test_bed.open();
    send_request(
        &slow,
        "POST /v1/report",
        &request_headers(&new_id(), 3000),
        "SELECT 1 /* slow */",
    );
    wait_until("the start", || test_bed.engine.requests("POST") == 1);
    let began = Instant::now();
    test_bed.signal("TERM");
    sleep(Duration::from_millis(300));
    assert!(
        test_bed.query("report", "SELECT 1").succeeded(),
        "new connections should still be accepted after SIGTERM"
    );
    assert!(Answer::of(read_message(&mut BufReader::new(slow)).unwrap()).succeeded());
    assert!(test_bed.child.wait().unwrap().success());
    assert!(began.elapsed() < Duration::from_millis(3700));
}

/// SIGKILL may come 3.7 s after SIGTERM, even if queries may take longer.
#[test]
fn sigterm_leaves_no_query_unanswered_at_the_earliest_kill() {
    let mut test_bed = TestBed::start_with(|config| {
        config["settings"]["categories"][1]["give-up"] = json!(20_000.0)
    });
    let silent = test_bed.open();
    send_request(
        &silent,
        "POST /v1/load",
        &request_headers(&new_id(), 20_000),
        "INSERT /* silent */",
    );
    wait_until("the start", || test_bed.engine.requests("POST") == 1);
    let began = Instant::now();
    test_bed.signal("TERM");
    assert_eq!(
        Answer::of(read_message(&mut BufReader::new(silent)).unwrap()).status,
        500
    );
    assert!(test_bed.child.wait().unwrap().success());
    assert!(
        began.elapsed() < Duration::from_millis(3700),
        "it took {:?}",
        began.elapsed()
    );
}

/// Guards against an unhandled SIGHUP, which ended the gateway on each new configuration.
#[test]
fn sighup_follows_the_new_change_log_and_keeps_the_old_configuration_if_the_new_one_is_faulty() {
    let path = write_config(&Value::Null);
    let mut test_bed = TestBed::start_with_launcher(
        |_| {},
        |config| {
            std::fs::write(&path, config.to_string()).unwrap();
            serve_from(&path, Stdio::piped())
        },
    );
    test_bed.log.publish(list_change_event(1, &[]));
    wait_until("the gateway connects to the first log", || {
        test_bed.log.last_event_ids.lock().unwrap().as_slice() == [0]
    });
    let slow = test_bed.open();
    send_request(
        &slow,
        "POST /v1/report",
        &request_headers(&new_id(), 3000),
        "SELECT 1 /* slow */",
    );
    std::fs::write(&path, "{").unwrap();
    test_bed.signal("HUP");
    sleep(Duration::from_millis(100));
    let (other, new) = (FakeEngine::start(), FakeChangeLog::start());
    test_bed
        .log
        .events
        .lock()
        .unwrap()
        .iter()
        .for_each(|e| new.events.lock().unwrap().push(e.clone()));
    new.publish(full_list_event(
        2,
        &[endpoint("s-2", other.address, "SERVING")],
    ));
    test_bed.config["changelog"] = json!(new.address.to_string());
    test_bed.config["limits"]["sockets"] = json!(512);
    std::fs::write(&path, test_bed.config.to_string()).unwrap();
    test_bed.signal("HUP");
    wait_until("the gateway continues with the new log", || {
        new.last_event_ids.lock().unwrap().as_slice() == [1]
    });
    test_bed.log.publish(full_list_event(
        2,
        &[endpoint("s-3", free_address(), "SERVING")],
    ));
    wait_until("the new engine is used", || {
        test_bed.query("report", "SELECT 1").succeeded() && other.requests("POST") > 0
    });
    assert!(
        Answer::of(read_message(&mut BufReader::new(slow)).unwrap()).succeeded(),
        "a query that is active during the reload should succeed"
    );
    test_bed.signal("TERM");
    test_bed.signal("HUP");
    assert!(
        test_bed.child.wait().unwrap().success(),
        "SIGHUP should not end a gateway that is shutting down"
    );
    let log_text = std::io::read_to_string(test_bed.child.stderr.take().unwrap()).unwrap();
    for line in [
        "configuration not reloaded",
        "key=\"limits\"",
        "configuration reloaded",
    ] {
        assert!(log_text.contains(line), "the log lacks {line}: {log_text}");
    }
}

#[test]
fn gateway_restarts_at_its_address_after_sigkill() {
    let mut test_bed = TestBed::start();
    let open = test_bed.open();
    send_request(
        &open,
        "POST /v1/report",
        &request_headers(&new_id(), 3000),
        "SELECT 1 /* slow */",
    );
    wait_until("the start", || test_bed.engine.requests("POST") == 1);
    test_bed.signal("KILL");
    test_bed.child.wait().unwrap();
    test_bed.child = serve(&test_bed.config);
    test_bed.wait_until_healthy();
    assert!(test_bed.query("report", "SELECT 1").succeeded());
}

#[test]
fn every_query_is_answered_when_descriptors_run_out() {
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
    let test_bed =
        TestBed::start_with_launcher(|config| config["limits"]["sockets"] = json!(64), limited);
    let streams: Vec<TcpStream> = (0..60)
        .map(|_| {
            let stream = test_bed.open();
            send_request(
                &stream,
                "POST /v1/report",
                &request_headers(&new_id(), 3000),
                "SELECT 1 /* slow */",
            );
            stream
        })
        .collect();
    for stream in streams {
        // The gateway closes connections after their answers and accepts the waiting ones.
        let answer =
            Answer::of(read_message(&mut BufReader::new(stream)).expect("an answer should arrive"));
        assert!(
            answer.succeeded() || answer.status == 503,
            "expected rows or 503: {answer:?}"
        );
    }
    assert!(
        test_bed.query("report", "SELECT 1").succeeded(),
        "the gateway should still serve queries"
    );
}

/// Runs the program with these arguments, and with a configuration file if one is given, until it exits.
fn run(arguments: &[&str], file: Option<&std::path::Path>) -> Output {
    let mut command = gateway_command(arguments);
    if let Some(file) = file {
        command.env("PROXY_CONFIG", file);
    }
    command.output().unwrap()
}

#[test]
fn configuration_error_names_its_key_and_nothing_is_bound() {
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
            let log_text = String::from_utf8_lossy(&output.stderr).into_owned();
            assert!(
                !output.status.success() && log_text.contains(named),
                "{command} {key}: {log_text}"
            );
            assert_eq!(log_text.lines().count(), 1, "expected one line: {log_text}");
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
