//! Order of the queries of a key where the outcome of an attempt is unknown. Fake engines record when each attempt ran
//! while connections are reset, responses corrupted and addresses taken over. No two attempts of a key overlap, every
//! query gets one answer in time, and no key is held longer than its attempt may still run.

mod helper;

use helper::process::{ms, FakeEngineProcess, POLL_HOLD_TIME};
use helper::*;
use serde_json::{json, Value};
use std::io::{BufReader, Read};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// Header field with the ordering key of these tests.
const KEY: &str = "X-Item: 7f3a9c21e0b4d655\r\n";
/// The `order-pause` of the test bed's configuration.
const KEY_PAUSE: Duration = Duration::from_millis(200);
/// Tolerance for a busy machine.
const SLACK: Duration = Duration::from_millis(400);

/// A gateway with two engines. All queries go to `first` until `replace_first_engine` lists `second`.
struct TwoEngines {
    test_bed: TestBed,
    first: FakeEngineProcess,
    second: FakeEngineProcess,
}

/// An answer, or `None` where the connection ended without one, and the time that it took.
struct TimedAnswer {
    after: Duration,
    answer: Option<Answer>,
}

impl TwoEngines {
    fn start() -> TwoEngines {
        TwoEngines::with_deadline(3000.0)
    }

    /// Allows queries 8 s, so that one that waits behind an attempt of unknown outcome is still sent.
    fn with_long_deadline() -> TwoEngines {
        TwoEngines::with_deadline(8000.0)
    }

    /// Allows non-idempotent queries `limit` milliseconds.
    fn with_deadline(limit: f64) -> TwoEngines {
        TwoEngines::with(|settings| settings["categories"][1]["give-up"] = json!(limit))
    }

    /// Starts the gateway with settings that `change` has altered.
    fn with(change: impl Fn(&mut Value)) -> TwoEngines {
        let (first, second) = (FakeEngineProcess::start(), FakeEngineProcess::start());
        let at = first.address;
        let test_bed = TestBed::start_with(|config| {
            config["known"]["results"][0]["fleet"]["servers"][0]["addr"] = json!(at.to_string());
            change(&mut config["settings"]);
        });
        TwoEngines {
            test_bed,
            first,
            second,
        }
    }

    /// Lists the first engine as draining and the second as serving.
    fn replace_first_engine(&self) {
        let lines = [
            self.line("DRAINING"),
            endpoint("s-2", self.second.address, "SERVING"),
        ];
        self.test_bed.log.publish(list_change_event(1, &lines));
    }

    /// Returns the endpoint list entry of the first engine.
    fn line(&self, state: &str) -> Value {
        endpoint("s-1", self.first.address, state)
    }

    /// Sends a non-idempotent query with the ordering key. Returns its connection and a thread that waits for the
    /// answer.
    fn load(
        &self,
        allowed: u32,
        statement: &str,
    ) -> (TcpStream, std::thread::JoinHandle<TimedAnswer>) {
        let stream = self.test_bed.open();
        let headers = format!("{}{KEY}", request_headers(&new_id(), allowed));
        let began = Instant::now();
        send_request(&stream, "POST /v1/load", &headers, statement);
        let reading = stream.try_clone().unwrap();
        let answer = spawn(move || {
            let message = read_message(&mut BufReader::new(reading));
            TimedAnswer {
                after: began.elapsed(),
                answer: message.map(Answer::of),
            }
        });
        (stream, answer)
    }

    fn wait_until_sent(&self) {
        wait_until("the first attempt", || !self.first.attempts().is_empty());
    }

    /// Waits for the key's second attempt, asserts that the two did not overlap, and returns the time between them.
    fn assert_order_kept(&self) -> Duration {
        let all = || [self.first.attempts(), self.second.attempts()].concat();
        wait_until("the second attempt", || all().len() == 2);
        sleep(ms(20));
        let mut all = all();
        all.sort_by_key(|attempt| attempt.received_at);
        let end = all[0]
            .ended_at()
            .unwrap_or_else(|| panic!("the first attempt still runs beside the second: {all:#?}"));
        assert!(
            end <= all[1].received_at,
            "the attempts overlap by {:?}: {all:#?}",
            end - all[1].received_at
        );
        all[1].received_at - end
    }
}

/// Returns the answer to a query; panics where it took `limit` milliseconds or more.
fn answer_within(limit: u64, waiting: std::thread::JoinHandle<TimedAnswer>) -> Answer {
    let answered = waiting.join().unwrap();
    assert!(
        answered.after < ms(limit),
        "answered after {:?}",
        answered.after
    );
    answered.answer.expect("an answer should arrive")
}

/// The deadline passes while the engine drains: it refuses new connections and its attempts run on. The cancellation
/// has to use the open connection. Seen in the recorded day rc98ea0.
#[test]
fn timeout_at_a_draining_engine_is_cancelled_on_the_open_connection() {
    let engines = TwoEngines::start();
    let (_a, first) = engines.load(1000, "INSERT 1 /* runs 6000 */");
    engines.wait_until_sent();
    engines.first.refuse_connections();
    engines.replace_first_engine();
    sleep(ms(100));
    let (_b, second) = engines.load(3000, "INSERT 2 /* runs 10 */");
    assert_eq!(answer_within(1050, first).status, 500);
    assert!(
        engines.assert_order_kept() < KEY_PAUSE + SLACK,
        "the cancellation should end the attempt before its time limit"
    );
    assert!(answer_within(3050, second).succeeded());
}

/// The gateway closes the connection after a corrupted response and cannot open another. The attempt runs on until it
/// ends for lack of polls.
#[test]
fn corrupted_response_of_a_draining_engine_fails_at_once_and_the_key_waits_for_the_bound() {
    let engines = TwoEngines::with_long_deadline();
    let (_a, first) = engines.load(3000, "INSERT 1 /* runs 8000 */ /* second news spoilt */");
    engines.wait_until_sent();
    engines.first.refuse_connections();
    engines.replace_first_engine();
    let (_b, second) = engines.load(7000, "INSERT 2 /* runs 10 */");
    assert_eq!(
        answer_within(900, first).status,
        500,
        "the abandoned query should be answered at once"
    );
    let held = engines.assert_order_kept();
    assert!(
        held < POLL_HOLD_TIME + KEY_PAUSE + SLACK,
        "the key was held {held:?} after the attempt had ended"
    );
    assert!(answer_within(7050, second).succeeded());
}

/// Another listed process answers at the address of the first one. Its responses prove nothing about the first one's
/// attempts.
#[test]
fn listed_process_that_took_over_the_address_proves_nothing() {
    let engines = TwoEngines::with_long_deadline();
    let (_a, first) = engines.load(3000, "INSERT 1 /* runs 8000 */ /* second news spoilt */");
    engines.wait_until_sent();
    engines.first.refuse_connections();
    let other = FakeEngineProcess::at(engines.first.address);
    let lines = [
        engines.line("DELETED"),
        endpoint("s-2", engines.second.address, "SERVING"),
    ];
    engines.test_bed.log.publish(list_change_event(
        1,
        &[&lines[..], &[endpoint("s-3", other.address, "DRAINING")]].concat(),
    ));
    let (_b, second) = engines.load(7000, "INSERT 2 /* runs 10 */");
    assert_eq!(answer_within(900, first).status, 500);
    engines.assert_order_kept();
    assert!(other.attempts().is_empty());
    answer_within(7050, second);
}

#[test]
fn cancel_call_that_is_reset_corrupted_or_unanswered_is_retried() {
    for failure in ["reset", "spoilt", "silent"] {
        let engines = TwoEngines::with_deadline(4000.0);
        let (_a, first) = engines.load(
            700,
            &format!("INSERT 1 /* runs 6000 */ /* delete {failure} */"),
        );
        engines.wait_until_sent();
        let (_b, second) = engines.load(4000, "INSERT 2 /* runs 10 */");
        assert_eq!(
            answer_within(750, first).status,
            500,
            "first cancel call {failure}"
        );
        // The second call uses a connection on which the engine has not confirmed the attempt. It cancels the attempt,
        // but its response proves nothing.
        engines.assert_order_kept();
        assert!(
            answer_within(4050, second).succeeded(),
            "first cancel call {failure}"
        );
        assert_eq!(
            engines.first.state().cancel_requests,
            2,
            "cancel calls, the first one {failure}"
        );
    }
}

/// The client cancels its query at the moment when the deadline passes.
#[test]
fn simultaneous_timeout_and_client_cancel_cancel_the_attempt_once() {
    for early in [0, 5, 10, 20] {
        let engines = TwoEngines::start();
        let id = new_id();
        let stream = engines.test_bed.open();
        send_request(
            &stream,
            "POST /v1/load",
            &format!("{}{KEY}", request_headers(&id, 600)),
            "INSERT 1 /* runs 6000 */",
        );
        let sent = Instant::now();
        engines.wait_until_sent();
        let (_b, second) = engines.load(3000, "INSERT 2 /* runs 10 */");
        // The gateway assumes that a keyed query was sent up to 0.25 s before it was received.
        sleep((ms(350 - early)).saturating_sub(sent.elapsed()));
        let cancel_response = round_trip(
            engines.test_bed.open(),
            "DELETE /v1/load",
            &request_headers(&id, 600),
            "",
        )
        .unwrap();
        assert!(["HTTP/1.1 204 No Content", "HTTP/1.1 404 Not Found"]
            .contains(&cancel_response.start_line.as_str()));
        assert!(
            engines.assert_order_kept() < KEY_PAUSE + SLACK,
            "cancelled {early} ms early"
        );
        assert_eq!(
            engines.first.state().cancel_requests,
            1,
            "number of cancel calls"
        );
        assert!(answer_within(3050, second).succeeded());
    }
}

/// After its client has disconnected, a query holds its key for as long as its attempt may run.
#[test]
fn disconnected_client_holds_its_key_until_its_attempt_has_ended() {
    let engines = TwoEngines::with_long_deadline();
    let (stream, _first) = engines.load(3000, "INSERT 1 /* runs 8000 */ /* second news spoilt */");
    engines.wait_until_sent();
    engines.first.refuse_connections();
    engines.replace_first_engine();
    sleep(ms(150));
    stream.shutdown(Shutdown::Both).unwrap();
    let (_b, second) = engines.load(7000, "INSERT 2 /* runs 10 */");
    engines.assert_order_kept();
    answer_within(7050, second);
}

/// An engine drains before the endpoint list says so: it refuses new connections, its attempts run on, and the network
/// resets the open connection. This looks like a process that has ended, but the key's next query must wait for the
/// attempt.
#[test]
fn reset_at_an_engine_whose_draining_is_not_listed_yet_is_no_proof() {
    let engines = TwoEngines::with_long_deadline();
    let (_a, first) = engines.load(3000, "INSERT 1 /* runs 8000 */");
    engines.wait_until_sent();
    engines.test_bed.log.publish(list_change_event(
        1,
        &[endpoint("s-2", engines.second.address, "SERVING")],
    ));
    sleep(POLL_HOLD_TIME + ms(50));
    engines.first.refuse_connections();
    engines.first.break_connections();
    let (_b, second) = engines.load(7000, "INSERT 2 /* runs 10 */");
    assert_eq!(
        answer_within(900, first).status,
        500,
        "the answer should not wait until the attempt has ended"
    );
    assert!(engines.assert_order_kept() < POLL_HOLD_TIME + KEY_PAUSE + SLACK);
    answer_within(7050, second);
}

/// An unlisted process takes over the address while the first one runs on. It does not know the attempt and confirms
/// its cancellation; neither proves that the attempt has ended.
#[test]
fn unlisted_process_that_took_over_the_address_proves_nothing() {
    let mut engines = TwoEngines::with_long_deadline();
    let (_a, first) = engines.load(3000, "INSERT 1 /* runs 8000 */");
    engines.wait_until_sent();
    sleep(POLL_HOLD_TIME + ms(50));
    engines.first.refuse_connections();
    engines.second = FakeEngineProcess::at(engines.first.address);
    engines.first.break_connections();
    let (_b, second) = engines.load(7000, "INSERT 2 /* runs 10 */");
    assert_eq!(answer_within(900, first).status, 500);
    engines.assert_order_kept();
    assert!(answer_within(7050, second).succeeded());
}

/// The network resets the connection of a draining engine that runs on.
#[test]
fn reset_at_a_draining_engine_is_no_proof() {
    let engines = TwoEngines::with_long_deadline();
    let (_a, first) = engines.load(3000, "INSERT 1 /* runs 8000 */");
    engines.wait_until_sent();
    sleep(POLL_HOLD_TIME + ms(50));
    engines.first.refuse_connections();
    engines.replace_first_engine();
    sleep(ms(100));
    engines.first.break_connections();
    let (_b, second) = engines.load(7000, "INSERT 2 /* runs 10 */");
    assert_eq!(answer_within(1200, first).status, 500);
    assert!(engines.assert_order_kept() < POLL_HOLD_TIME + KEY_PAUSE + SLACK);
    answer_within(7050, second);
}

/// The engine's machine receives part of a long start and is then partitioned. When the partition ends, the machine
/// must not get the rest of the start, which has been abandoned meanwhile.
#[test]
fn abandoned_start_never_arrives_complete_later() {
    let cut_off = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    cut_off.set_recv_buffer_size(2048).unwrap();
    cut_off
        .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
        .unwrap();
    cut_off.listen(16).unwrap();
    let cut_off: TcpListener = cut_off.into();
    let at = cut_off.local_addr().unwrap().to_string();
    let test_bed = TestBed::start_with(|config| {
        config["known"]["results"][0]["fleet"]["servers"][0]["addr"] = json!(at);
    });
    let statement = format!("INSERT 1 /* {} */", "x".repeat(200_000));
    let answer = test_bed.query_with_id(&new_id(), "load", 2000, &statement);
    assert_eq!(
        answer.status, 500,
        "a start that may have run should be answered as failed"
    );
    sleep(ms(2600));
    cut_off.set_nonblocking(true).unwrap();
    while let Ok((mut stream, _)) = cut_off.accept() {
        stream.set_nonblocking(false).unwrap();
        stream.set_read_timeout(Some(ms(500))).unwrap();
        let mut received = Vec::new();
        let _ = stream.read_to_end(&mut received);
        assert!(
            received.len() < statement.len(),
            "the complete start arrived after it was abandoned: {} bytes",
            received.len()
        );
    }
}

/// At SIGTERM the outcome of an attempt is unknown. Every query is answered in time, and the gateway exits.
#[test]
fn sigterm_with_an_attempt_of_unknown_outcome_answers_all_in_time() {
    let mut engines = TwoEngines::start();
    let (_a, first) = engines.load(3000, "INSERT 1 /* runs 8000 */ /* second news spoilt */");
    engines.wait_until_sent();
    engines.first.refuse_connections();
    engines.replace_first_engine();
    let (_b, second) = engines.load(3000, "INSERT 2 /* runs 10 */");
    let began = Instant::now();
    engines.test_bed.signal("TERM");
    assert_eq!(answer_within(900, first).status, 500);
    answer_within(3050, second);
    assert!(engines.test_bed.child.wait().unwrap().success());
    assert!(
        began.elapsed() < ms(3700),
        "exited after {:?}",
        began.elapsed()
    );
}

/// Starts a gateway whose engines report progress each second, with deadlines longer than the attempts.
fn with_progress() -> TwoEngines {
    TwoEngines::with(|settings| {
        settings["domain"]["progress"] = json!(1000.0);
        settings["categories"][0]["give-up"] = json!(6000.0);
        settings["categories"][1]["give-up"] = json!(6000.0);
    })
}

/// Engines in a partitioned zone keep running attempts that cannot be polled while they have progress to report. Seen
/// in the run split+mass of pomurje-estimates.
#[test]
fn progress_keeps_an_attempt_running_that_cannot_be_polled() {
    let engines = with_progress();
    let (_first, one) = engines.load(4600, "INSERT 1 /* notes */ /* runs 4000 */");
    wait_until("it runs", || !engines.first.attempts().is_empty());
    engines.first.refuse_connections();
    engines.replace_first_engine();
    engines.first.break_connections();
    sleep(Duration::from_secs(2));
    let (_second, two) = engines.load(6000, "INSERT 2");
    assert!(two.join().unwrap().answer.is_some_and(|a| a.succeeded()));
    let end = engines.first.attempts()[0]
        .ended_at()
        .expect("the first attempt should have ended");
    assert!(
        engines.second.attempts()[0].received_at >= end + KEY_PAUSE,
        "the second query was sent before the first attempt and its key pause had ended"
    );
    assert!(one.join().unwrap().answer.is_some_and(|a| !a.succeeded()));
}

/// The gateway does not forward progress, but it must not take it for silence, after which it cancels an attempt.
#[test]
fn attempt_that_reports_progress_is_not_cancelled_as_lost() {
    let engines = with_progress();
    let statement = "SELECT 1 /* notes */ /* runs 3200 */";
    assert!(engines
        .test_bed
        .query_with_id(&new_id(), "report", 6000, statement)
        .succeeded());
    assert_eq!(engines.first.attempts().len(), 1);
    assert_eq!(
        engines.first.state().cancel_requests,
        0,
        "number of cancel calls"
    );
}

/// Engines of a class that is idempotent by key reject a start without the client's idempotency key.
#[test]
fn idempotency_key_is_forwarded_unchanged_and_estimates_are_checked() {
    let engines = TwoEngines::with(|settings| {
        settings["categories"][1]["semantics"] = json!("dedup");
        settings["categories"][1]["key-scope"] = json!("all");
        settings["categories"][1]["dedup-window"] = json!(6000.0);
    });
    let send_load_with = |more: &str| {
        let headers = format!(
            "{}{KEY}X-Unique: 00ab12ffee34cd56\r\n{more}",
            request_headers(&new_id(), 2900)
        );
        round_trip(
            engines.test_bed.open(),
            "POST /v1/load",
            &headers,
            "INSERT 1",
        )
        .map(Answer::of)
        .unwrap()
    };
    assert!(send_load_with("X-Size-Ms: 120\r\nX-Memory: 64\r\n").succeeded());
    assert_eq!(
        engines.first.attempts()[0].idempotency_key.as_deref(),
        Some("00ab12ffee34cd56")
    );
    for wrong in [
        "X-Size-Ms: -1\r\n",
        "X-Memory: much\r\n",
        "X-Unique: twice\r\n",
    ] {
        assert!(
            !send_load_with(wrong).succeeded(),
            "a malformed field was accepted: {wrong}"
        );
    }
    assert_eq!(
        engines.first.attempts().len(),
        1,
        "requests with a malformed field should not be forwarded"
    );
}
