use super::*;

const DIAL: Duration = Duration::from_millis(250);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// How long it takes until an answer that always takes so long is heard; none where it is not.
fn heard_after(dial: Duration, takes: Duration) -> Option<Duration> {
    let began = Instant::now();
    let mut patience = ResponseTimeout::new(dial, began);
    let mut now = began;
    while now - began <= NEWS + UNASKED {
        let within = patience.timeout(now);
        if takes <= within {
            patience.answered(now + takes, takes);
            assert!(
                patience.timeout(now + takes) >= takes,
                "the next is waited for at once"
            );
            return Some(now + takes - began);
        }
        now += within;
        patience.missed();
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
        assert_eq!(heard_after(DIAL, ms(takes)), Some(ms(after)), "{takes} ms");
    }
    assert_eq!(heard_after(DIAL, ms(1300)), None);
}

/// Nobody is waited for beyond the time for which an attempt is known to run on unheard, however long a connection may take.
#[test]
fn patience_ends_with_what_is_known() {
    for dial in [ms(50), DIAL, ms(1500)] {
        let began = Instant::now();
        let mut patience = ResponseTimeout::new(dial, began);
        let (mut now, mut calls) = (began, 0);
        while now - began < NEWS + UNASKED {
            now += patience.timeout(now);
            patience.missed();
            calls += 1;
        }
        assert!(
            now - began <= NEWS + UNASKED + NEWS + LONGER && (2..=4).contains(&calls),
            "{dial:?}: {calls}"
        );
    }
}

/// An answer that is held back for as long as the protocol allows is not a slow one.
#[test]
fn what_is_usual_makes_nobody_patient() {
    let mut patience = ResponseTimeout::new(DIAL, Instant::now());
    patience.answered(patience.heard, NEWS + ms(20));
    assert_eq!(patience.timeout(patience.heard), USUAL);
}

/// An engine that is only slow can still be asked whether it has the attempt that is given up.
#[test]
fn what_is_looked_up_after_that_is_waited_for_as_a_second_call_is() {
    let mut patience = ResponseTimeout::new(DIAL, Instant::now());
    patience.missed();
    assert_eq!(
        patience.timeout(patience.heard + NEWS + UNASKED),
        NEWS + DIAL * 2
    );
}

#[test]
fn a_broken_connection_makes_nobody_patient() {
    let mut patience = ResponseTimeout::new(DIAL, Instant::now());
    patience.missed();
    patience.failed();
    assert_eq!(patience.timeout(patience.heard), NEWS + LONGER);
}
