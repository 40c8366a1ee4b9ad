//! Queries of a key run in the order in which their last bytes arrived, also where the gateway process had no processor
//! time meanwhile and reads them all at once. A fake engine records the order in which attempts reach it.

mod helper;

use helper::faults::Faults;
use helper::one_engine::*;
use helper::process::ms;
use helper::*;
use std::io::BufReader;
use std::net::TcpStream;
use std::thread::sleep;

/// Guards against the fault of review case 1: after a stall, a later query on a new connection ran before an earlier
/// one of its key on an open connection.
#[test]
fn earlier_query_on_an_open_connection_runs_before_a_later_one_on_a_new_connection() {
    for gap_ms in [GAP_MS, 300] {
        let gateway = OneEngine::start();
        let open = gateway.open_connection();
        gateway.test_bed.pause();
        write(&open, &load("INSERT 1"));
        sleep(ms(gap_ms));
        let new = gateway.new_connection();
        write(&new, &load("INSERT 2"));
        gateway.assert_order(&[&open, &new], &["INSERT 1", "INSERT 2"]);
    }
}

/// The wall clock is stepped between the two queries.
#[test]
fn step_of_the_wall_clock_does_not_change_the_order_of_arrival() {
    for step in ["3600", "-3600"] {
        let faults = Faults::new();
        let gateway = OneEngine::start_with_faults(&faults);
        let open = gateway.open_connection();
        gateway.test_bed.pause();
        write(&open, &load("INSERT 1"));
        sleep(ms(GAP_MS));
        faults.enable("realtime", step);
        let new = gateway.new_connection();
        write(&new, &load("INSERT 2"));
        gateway.assert_order(&[&open, &new], &["INSERT 1", "INSERT 2"]);
    }
}

/// Left open by docs/incidents/fleet-order.md.
#[test]
fn three_queries_of_a_stall_run_in_order_where_the_last_is_on_a_second_new_connection() {
    let gateway = OneEngine::start();
    let open = gateway.open_connection();
    gateway.test_bed.pause();
    let first = gateway.new_connection();
    write(&first, &load("INSERT 1"));
    sleep(ms(NEW_CONNECTION_GAP_MS));
    write(&open, &load("INSERT 2"));
    sleep(ms(GAP_MS));
    let last = gateway.new_connection();
    write(&last, &load("INSERT 3"));
    gateway.assert_order(
        &[&first, &open, &last],
        &["INSERT 1", "INSERT 2", "INSERT 3"],
    );
}

/// The connection that is accepted first carries the request that arrives last.
#[test]
fn queries_on_new_connections_run_in_the_order_of_their_requests_not_of_their_connects() {
    let gateway = OneEngine::start();
    gateway.test_bed.pause();
    let accepted_first = gateway.new_connection();
    let accepted_last = gateway.new_connection();
    write(&accepted_last, &load("INSERT 1"));
    sleep(ms(NEW_CONNECTION_GAP_MS));
    write(&accepted_first, &load("INSERT 2"));
    gateway.assert_order(
        &[&accepted_last, &accepted_first],
        &["INSERT 1", "INSERT 2"],
    );
}

/// The first bytes of the later request arrive before the whole earlier one: a part of its head, the whole head, and a
/// part of its statement.
#[test]
fn queries_in_pieces_run_in_the_order_of_their_last_bytes() {
    let later = load("INSERT 2");
    let head_length = later.len() - "INSERT 2".len();
    for split in [20, head_length, head_length + 4] {
        for state in [ConnectionState::Open, ConnectionState::New] {
            let gateway = OneEngine::start();
            let [in_pieces, whole] = gateway.pause_with_two_connections(state);
            write(&in_pieces, &later[..split]);
            sleep(ms(GAP_MS));
            write(&whole, &load("INSERT 1"));
            sleep(ms(NEW_CONNECTION_GAP_MS));
            write(&in_pieces, &later[split..]);
            gateway.assert_order(&[&whole, &in_pieces], &["INSERT 1", "INSERT 2"]);
        }
    }
}

/// A part of the later request is read before the stall.
#[test]
fn query_whose_head_was_read_before_the_stall_runs_after_one_that_is_whole_before_it() {
    let gateway = OneEngine::start();
    let (in_pieces, whole) = (gateway.open_connection(), gateway.open_connection());
    let later = load("INSERT 2");
    let split = later.len() - 3;
    write(&in_pieces, &later[..split]);
    sleep(ms(50));
    gateway.test_bed.pause();
    write(&whole, &load("INSERT 1"));
    sleep(ms(GAP_MS));
    write(&in_pieces, &later[split..]);
    gateway.assert_order(&[&whole, &in_pieces], &["INSERT 1", "INSERT 2"]);
}

/// An earlier statement with a comment of this length arrives on an open connection, a later short one on a new one.
fn assert_long_statement_runs_first(length: usize) {
    let gateway = OneEngine::start();
    let open = gateway.open_connection();
    let long = format!("INSERT 1 /* {} */", "x".repeat(length));
    gateway.test_bed.pause();
    write(&open, &load(&long));
    sleep(ms(GAP_MS));
    let new = gateway.new_connection();
    write(&new, &load("INSERT 2"));
    gateway.assert_order(&[&open, &new], &[&long, "INSERT 2"]);
}

/// The earlier statement takes many reads, the later one a single read.
#[test]
fn earlier_long_statement_runs_before_a_later_short_one() {
    for length in [40_000, 120_000] {
        assert_long_statement_runs_first(length);
    }
}

/// The earlier statement is longer than the system's receive buffer. Its client has written it whole before the later
/// one, but the gateway's system has only a part of it when the stall ends.
#[test]
fn earlier_statement_longer_than_the_receive_buffer_runs_before_a_later_short_one() {
    assert_long_statement_runs_first(250_000);
}

/// Requests of 20 clients arrive in one stall, half of them of the key, in turn on an open and on a new connection.
#[test]
fn many_queries_of_a_stall_run_in_order_beside_those_of_other_clients() {
    const PAIRS: usize = 5;
    let gateway = OneEngine::start();
    let open: Vec<TcpStream> = (0..2 * PAIRS).map(|_| gateway.open_connection()).collect();
    gateway.test_bed.pause();
    let mut streams = Vec::new();
    let mut statements = Vec::new();
    for (number, stream) in open.into_iter().rev().enumerate() {
        let other = gateway.new_connection();
        write(&other, &report("SELECT 1"));
        let is_new = number % 2 == 1;
        let stream = if is_new {
            gateway.new_connection()
        } else {
            stream
        };
        statements.push(format!("INSERT {number}"));
        write(&stream, &load(&statements[number]));
        streams.push((stream, other));
        sleep(ms(if is_new {
            NEW_CONNECTION_GAP_MS
        } else {
            GAP_MS
        }));
    }
    gateway.test_bed.signal("CONT");
    for (stream, other) in &streams {
        assert_succeeds(stream);
        assert_succeeds(other);
    }
    assert_eq!(
        gateway.received("INSERT"),
        statements,
        "order at the engine"
    );
}

/// The gateway process is stopped again and again while it catches up.
#[test]
fn queries_of_a_stall_run_in_order_where_further_stalls_follow_at_once() {
    let gateway = OneEngine::start();
    let open: Vec<TcpStream> = (0..20).map(|_| gateway.open_connection()).collect();
    gateway.test_bed.pause();
    let statements: Vec<String> = (0..4).map(|number| format!("INSERT {number}")).collect();
    let mut keyed = Vec::new();
    for statement in &statements {
        let number = keyed.len();
        let stream = match number % 2 {
            0 => open[number].try_clone().unwrap(),
            _ => gateway.new_connection(),
        };
        write(&stream, &load(statement));
        keyed.push(stream);
        sleep(ms(NEW_CONNECTION_GAP_MS));
    }
    for other in &open[10..] {
        write(other, &report("SELECT 1 /* runs 5 */"));
    }
    for _ in 0..5 {
        gateway.test_bed.signal("CONT");
        gateway.test_bed.pause();
        sleep(ms(120));
    }
    gateway.test_bed.signal("CONT");
    keyed.iter().for_each(assert_succeeds);
    assert_eq!(
        gateway.received("INSERT"),
        statements,
        "order at the engine"
    );
}

/// Clients that send queries with keys of their own, each as soon as the last one is answered. The gateway looks at their
/// connections while it grants turns, and must not keep a request that it finds there from being parsed.
#[test]
fn concurrent_queries_with_keys_are_answered_in_time() {
    const CLIENTS: usize = 2;
    const QUERIES: usize = 200;
    let test_bed = TestBed::start();
    std::thread::scope(|scope| {
        for _ in 0..CLIENTS {
            let stream = test_bed.open();
            scope.spawn(move || {
                for _ in 0..QUERIES {
                    let id = new_id();
                    let headers = format!("{}X-Item: {id}\r\n", request_headers(&id, 1000));
                    send_request(&stream, "POST /v1/load", &headers, "INSERT 1");
                    assert_succeeds(&stream);
                }
            });
        }
    });
}

/// Accepts fail for 30 ms after the stall. The connection that can't be accepted has the earlier query.
#[test]
fn query_on_a_connection_that_is_accepted_late_runs_before_a_later_one() {
    let faults = Faults::new();
    let gateway = OneEngine::start_with_faults(&faults);
    let open = gateway.open_connection();
    gateway.test_bed.pause();
    faults.enable("accept", "1");
    let new = gateway.new_connection();
    write(&new, &load("INSERT 1"));
    sleep(ms(NEW_CONNECTION_GAP_MS));
    write(&open, &load("INSERT 2"));
    let disabling = std::thread::spawn(move || {
        sleep(ms(REST_OF_STALL_MS + 30));
        faults.disable("accept");
    });
    gateway.assert_order(&[&new, &open], &["INSERT 1", "INSERT 2"]);
    disabling.join().unwrap();
}

/// The same cause on another path: the cancellation was handled before the query that it names. It arrives whole on a
/// new connection, or in pieces on an open one, the first before the query.
#[test]
fn cancellation_that_arrives_after_its_query_in_a_stall_cancels_it() {
    for cancel_state in [ConnectionState::New, ConnectionState::Open] {
        let gateway = OneEngine::start();
        let (open, other) = (gateway.open_connection(), gateway.open_connection());
        let headers = request_headers(&new_id(), 2900);
        let cancel = format!("DELETE /v1/load HTTP/1.1\r\nHost: g\r\n{headers}\r\n");
        let first_piece = match cancel_state {
            ConnectionState::New => 0,
            ConnectionState::Open => 30,
        };
        gateway.test_bed.pause();
        write(&other, &cancel[..first_piece]);
        sleep(ms(20));
        send_request(&open, "POST /v1/load", &headers, "INSERT 1 /* runs 500 */");
        sleep(ms(GAP_MS));
        let canceller = match cancel_state {
            ConnectionState::New => gateway.new_connection(),
            ConnectionState::Open => other,
        };
        write(&canceller, &cancel[first_piece..]);
        sleep(ms(150));
        gateway.test_bed.signal("CONT");
        let cancelled = read_message(&mut BufReader::new(&canceller)).expect("an answer");
        assert_eq!(cancelled.start_line, "HTTP/1.1 204 No Content");
    }
}
