use super::*;
use crate::engines::protocol::POLL_EXPIRY;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// The time until the first response is received from an engine that always takes `takes` to respond; `None` if no
/// response is received.
fn first_response_after(connect_timeout: Duration, takes: Duration) -> Option<Duration> {
    let began = Instant::now();
    let mut call_timeout = CallTimeout::new(connect_timeout, began);
    let mut now = began;
    while now - began <= LONG_POLL_LIMIT + POLL_EXPIRY {
        let within = call_timeout.timeout(now);
        if takes <= within {
            call_timeout.answered(now + takes, takes);
            assert!(
                call_timeout.timeout(now + takes) >= takes,
                "the first call after it waits long enough"
            );
            return Some(now + takes - began);
        }
        now += within;
        call_timeout.timed_out();
    }
    None
}

#[test]
fn an_engine_that_is_always_slow_is_received_by_a_later_call() {
    for (takes, after) in [
        (100, 100),
        (300, 300),
        (600, 900),
        (800, 1850),
        (1200, 2250),
    ] {
        assert_eq!(
            first_response_after(CONNECT_TIMEOUT, ms(takes)),
            Some(ms(after)),
            "{takes} ms"
        );
    }
    assert_eq!(first_response_after(CONNECT_TIMEOUT, ms(1300)), None);
}

/// Whatever the connect timeout, two to four timed-out calls cover the time for which an attempt runs without being
/// polled, and the last one ends at most one base timeout after it.
#[test]
fn timeouts_end_with_the_unpolled_run() {
    for connect_timeout in [ms(50), CONNECT_TIMEOUT, ms(1500)] {
        let began = Instant::now();
        let mut call_timeout = CallTimeout::new(connect_timeout, began);
        let mut now = began;
        let mut calls = 0;
        while now - began < LONG_POLL_LIMIT + POLL_EXPIRY {
            now += call_timeout.timeout(now);
            call_timeout.timed_out();
            calls += 1;
        }
        assert!(
            now - began <= LONG_POLL_LIMIT + POLL_EXPIRY + LONG_POLL_LIMIT + SOCKET_TIMEOUT_SLACK
                && (2..=4).contains(&calls),
            "{connect_timeout:?}: {calls}"
        );
    }
}

/// A response that an engine holds back for as long as the protocol allows does not count as slow.
#[test]
fn a_usual_response_does_not_lengthen_the_timeout() {
    let mut call_timeout = CallTimeout::new(CONNECT_TIMEOUT, Instant::now());
    call_timeout.answered(call_timeout.last_response_at, LONG_POLL_LIMIT + ms(20));
    assert_eq!(
        call_timeout.timeout(call_timeout.last_response_at),
        BASE_RESPONSE_TIMEOUT
    );
}

/// The timeout after the unpolled run must be long enough to ask a slow engine whether it has the attempt that is being
/// cancelled.
#[test]
fn calls_after_the_unpolled_run_get_the_second_call_timeout() {
    let mut call_timeout = CallTimeout::new(CONNECT_TIMEOUT, Instant::now());
    call_timeout.timed_out();
    assert_eq!(
        call_timeout.timeout(call_timeout.last_response_at + LONG_POLL_LIMIT + POLL_EXPIRY),
        LONG_POLL_LIMIT + CONNECT_TIMEOUT * 2
    );
}

#[test]
fn a_lost_connection_does_not_lengthen_the_timeout() {
    let mut call_timeout = CallTimeout::new(CONNECT_TIMEOUT, Instant::now());
    call_timeout.timed_out();
    call_timeout.failed();
    assert_eq!(
        call_timeout.timeout(call_timeout.last_response_at),
        LONG_POLL_LIMIT + SOCKET_TIMEOUT_SLACK
    );
}
