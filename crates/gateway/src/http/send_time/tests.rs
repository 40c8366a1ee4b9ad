use super::*;

/// Guards against responses that come after the client's deadline: clients that had delayed a query before sending it
/// closed their connections before the gateway answered.
#[test]
fn estimate_covers_possible_client_delays() {
    let mut estimator = SendTimeEstimator::new(100, 0.25, 20.0);
    assert_eq!(estimator.estimate(None, 10.0, 0), 10.0 - MIN_DELAY_SECONDS);
    assert_eq!(
        estimator.estimate(None, 10.0, 95),
        9.75,
        "all connections are in use, so the client may have waited for one"
    );
    assert_eq!(
        estimator.estimate(Some(7), 10.0, 0),
        9.75,
        "an earlier query of the key may not have arrived"
    );
    assert_eq!(
        estimator.estimate(Some(7), 10.125, 0),
        9.75,
        "the arrival belongs to the burst"
    );
    assert_eq!(estimator.estimate(Some(8), 10.125, 0), 9.875);
    assert_eq!(
        estimator.estimate(Some(7), 11.0, 0),
        10.75,
        "the burst is over"
    );
    let last = (1..10)
        .map(|n| estimator.estimate(Some(7), 11.0 + 0.27 * f64::from(n), 0))
        .last();
    assert_eq!(
        last,
        Some(13.43 - MAX_BURST_DELAY_SECONDS),
        "arrivals close together, but not at gaps of the protocol"
    );
}

/// Clients may queue queries of a busy key for several seconds. Queued queries that expire never arrive, and faulty
/// clients may send queries of the same key in between; neither ends the backlog.
#[test]
fn backlogged_key_may_be_delayed_by_the_age_of_its_backlog() {
    let mut estimator = SendTimeEstimator::new(100, 0.25, 20.0);
    let mut arrival = 10.0;
    estimator.estimate(Some(7), arrival, 0);
    for gap in [0.25, 0.06, 0.061, 0.12, 0.249, 0.6, 2.04]
        .into_iter()
        .cycle()
        .take(30)
    {
        arrival += gap;
        assert!(estimator.estimate(Some(7), arrival, 0) <= 10.0, "{arrival}");
        if gap == 0.6 {
            assert!(
                estimator.estimate(Some(7), arrival + 0.03, 0) > arrival - MAX_BURST_DELAY_SECONDS,
                "a single arrival at another gap adds no delay for the backlog"
            );
        }
    }
    assert!(arrival > 20.0);
    arrival += 0.09;
    estimator.estimate(Some(7), arrival, 0);
    arrival += 0.05;
    assert!(
        estimator.estimate(Some(7), arrival, 0) >= arrival - MAX_BURST_DELAY_SECONDS,
        "two arrivals in a row at other gaps end the backlog"
    );
    assert_eq!(
        estimator.estimate(Some(7), arrival + 4.0, 0),
        arrival + 4.0 - NEW_CONNECTION_GAP_SECONDS,
        "a gap that counts only for a backlogged key"
    );
}

/// Guards against estimates as early as the first arrival of a key whose queries arrive steadily at random gaps.
#[test]
fn random_arrival_gaps_are_rarely_taken_for_a_backlog() {
    let mut estimator = SendTimeEstimator::new(100, 0.25, 20.0);
    let mut random = 1_u64;
    let mut arrival = 10.0;
    let early = (0..10_000).filter(|_| {
        random = random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        arrival += 0.02 + 0.6 * (random >> 11) as f64 / (1_u64 << 53) as f64;
        estimator.estimate(Some(7), arrival, 0)
            < arrival - MAX_BURST_DELAY_SECONDS - GAP_TOLERANCE_SECONDS
    });
    let early = early.count();
    assert!(
        early < 200,
        "{early} of 10000 queries are estimated to have been delayed for longer than a burst allows"
    );
}
