//! Backoff between connections to the change log, computed without a clock or a socket.

use garnetwall_gateway::discovery::reconnect::{ReconnectBackoff, MAX_RECONNECT_PAUSE};
use std::time::Duration;

const PAUSE: Duration = Duration::from_millis(250);

#[test]
fn log_that_closes_at_once_is_reconnected_to_at_most_once_per_backoff() {
    let mut reconnect = ReconnectBackoff::new(PAUSE, 7);
    for lasted in [0, 1, 100, 249].map(Duration::from_millis) {
        for _ in 0..1000 {
            let apart = lasted + reconnect.next_pause(lasted);
            assert!(
                apart >= PAUSE && apart < PAUSE * 2,
                "connections {apart:?} apart after one that lasted {lasted:?}"
            );
        }
    }
}

#[test]
fn gateways_that_lose_the_log_together_reconnect_spread_over_a_backoff() {
    for lasted in [Duration::ZERO, Duration::from_secs(60)] {
        let mut fleet: Vec<ReconnectBackoff> = (0..300)
            .map(|seed| ReconnectBackoff::new(PAUSE, seed))
            .collect();
        for round in 0..10 {
            let mut tenths = [0; 10];
            for reconnect in &mut fleet {
                let wait = reconnect.next_pause(lasted) - PAUSE.saturating_sub(lasted);
                tenths[(wait.as_secs_f64() / PAUSE.as_secs_f64() * 10.0) as usize] += 1;
            }
            // Each tenth gets 30 of the 300 gateways on average; 10 is four standard deviations less.
            assert!(
                tenths.iter().all(|n| *n >= 10),
                "gateways in each tenth of the backoff, round {round}: {tenths:?}"
            );
        }
    }
}

#[test]
fn backoff_after_two_silent_connections_is_bounded_for_any_dial_timeout() {
    let mut reconnect = ReconnectBackoff::new(Duration::from_secs(3), 7);
    assert!(
        (0..1000).all(|_| reconnect.next_pause(Duration::from_millis(2500)) < MAX_RECONNECT_PAUSE)
    );
}
