use super::*;
use crate::engines::protocol::POLL_EXPIRY;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// The time until the first response is received from an engine that always responds after `response_time`; `None` if
/// no response is received.
fn first_response_after(connect_timeout: Duration, response_time: Duration) -> Option<Duration> {
    let began = Instant::now();
    let mut call_timeout = CallTimeout::new(connect_timeout, began);
    let mut now = began;
    while now - began <= LONG_POLL_LIMIT + POLL_EXPIRY {
        let timeout = call_timeout.timeout(now);
        if response_time <= timeout {
            call_timeout.answered(now + response_time, response_time);
            assert!(
                call_timeout.timeout(now + response_time) >= response_time,
                "the next timeout is at least the response time"
            );
            return Some(now + response_time - began);
        }
        now += timeout;
        call_timeout.timed_out();
    }
    None
}

#[test]
fn later_call_receives_the_response_of_a_slow_engine() {
    for (response_time, expected) in [
        (100, 100),
        (300, 300),
        (600, 900),
        (800, 1850),
        (1200, 2250),
    ] {
        assert_eq!(
            first_response_after(CONNECT_TIMEOUT, ms(response_time)),
            Some(ms(expected)),
            "{response_time} ms"
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
fn response_within_the_base_timeout_does_not_lengthen_the_timeout() {
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
fn calls_after_the_unpolled_run_get_the_extended_timeout() {
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
