use super::*;

const DIAL: Duration = Duration::from_millis(250);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// How long it takes until an answer that always takes so long is heard; none where it is not.
fn first_response_after(dial: Duration, takes: Duration) -> Option<Duration> {
    let began = Instant::now();
    let mut response_timeout = ResponseTimeout::new(dial, began);
    let mut now = began;
    while now - began <= LONG_POLL_LIMIT + POLL_EXPIRY {
        let within = response_timeout.timeout(now);
        if takes <= within {
            response_timeout.answered(now + takes, takes);
            assert!(
                response_timeout.timeout(now + takes) >= takes,
                "the next is waited for at once"
            );
            return Some(now + takes - began);
        }
        now += within;
        response_timeout.timed_out();
    }
    None
}

#[test]
fn an_engine_that_is_always_late_is_heard_on_a_later_call() {
    for (takes, after) in [
        (100, 100),
        (300, 300),
        (600, 900),
        (800, 1850),
        (1200, 2250),
    ] {
        assert_eq!(
            first_response_after(DIAL, ms(takes)),
            Some(ms(after)),
            "{takes} ms"
        );
    }
    assert_eq!(first_response_after(DIAL, ms(1300)), None);
}

/// Nobody is waited for beyond the time for which an attempt is known to run on unheard, however long a connection may take.
#[test]
fn patience_ends_with_what_is_known() {
    for dial in [ms(50), DIAL, ms(1500)] {
        let began = Instant::now();
        let mut response_timeout = ResponseTimeout::new(dial, began);
        let (mut now, mut calls) = (began, 0);
        while now - began < LONG_POLL_LIMIT + POLL_EXPIRY {
            now += response_timeout.timeout(now);
            response_timeout.timed_out();
            calls += 1;
        }
        assert!(
            now - began <= LONG_POLL_LIMIT + POLL_EXPIRY + LONG_POLL_LIMIT + SOCKET_TIMEOUT_SLACK
                && (2..=4).contains(&calls),
            "{dial:?}: {calls}"
        );
    }
}

/// An answer that is held back for as long as the protocol allows is not a slow one.
#[test]
fn what_is_usual_makes_nobody_patient() {
    let mut response_timeout = ResponseTimeout::new(DIAL, Instant::now());
    response_timeout.answered(response_timeout.last_response_at, LONG_POLL_LIMIT + ms(20));
    assert_eq!(
        response_timeout.timeout(response_timeout.last_response_at),
        USUAL_RESPONSE_TIMEOUT
    );
}

/// An engine that is only slow can still be asked whether it has the attempt that is given up.
#[test]
fn what_is_looked_up_after_that_is_waited_for_as_a_second_call_is() {
    let mut response_timeout = ResponseTimeout::new(DIAL, Instant::now());
    response_timeout.timed_out();
    assert_eq!(
        response_timeout.timeout(response_timeout.last_response_at + LONG_POLL_LIMIT + POLL_EXPIRY),
        LONG_POLL_LIMIT + DIAL * 2
    );
}

#[test]
fn a_broken_connection_makes_nobody_patient() {
    let mut response_timeout = ResponseTimeout::new(DIAL, Instant::now());
    response_timeout.timed_out();
    response_timeout.failed();
    assert_eq!(
        response_timeout.timeout(response_timeout.last_response_at),
        LONG_POLL_LIMIT + SOCKET_TIMEOUT_SLACK
    );
}
