use super::*;

/// Found on days of overload: clients that had held batches back left before we answered.
#[test]
fn a_batch_that_may_have_been_held_back_counts_from_there() {
    let mut s = SendTimeEstimator::new(100, 0.25, 20.0);
    assert_eq!(s.estimate(None, 10.0, 0), 10.0 - WAITED);
    assert_eq!(
        s.estimate(None, 10.0, 95),
        9.75,
        "all connections were in use"
    );
    assert_eq!(
        s.estimate(Some(7), 10.0, 0),
        9.75,
        "one that we never saw may have come before it"
    );
    assert_eq!(s.estimate(Some(7), 10.125, 0), 9.75, "in a line");
    assert_eq!(s.estimate(Some(8), 10.125, 0), 9.875);
    assert_eq!(s.estimate(Some(7), 11.0, 0), 10.75, "the line is over");
    let far = (1..10)
        .map(|n| s.estimate(Some(7), 11.0 + 0.27 * f64::from(n), 0))
        .last();
    assert_eq!(far, Some(13.43 - LONGEST_LINE), "closely, but by chance");
}

/// Found on fleet days: clients stand in line for a hot key for four seconds and more, places of batches that expired there
/// are never seen, and bad clients call with the key in between.
#[test]
fn a_full_line_reaches_back_as_far_as_it_has_been_full() {
    let mut s = SendTimeEstimator::new(100, 0.25, 20.0);
    let mut came = 10.0;
    s.estimate(Some(7), came, 0);
    for gap in [0.25, 0.06, 0.061, 0.12, 0.249, 0.6, 2.04]
        .into_iter()
        .cycle()
        .take(30)
    {
        came += gap;
        assert!(s.estimate(Some(7), came, 0) <= 10.0, "{came}");
        if gap == 0.6 {
            assert!(
                s.estimate(Some(7), came + 0.03, 0) > came - LONGEST_LINE,
                "a stranger"
            );
        }
    }
    assert!(came > 20.0);
    came += 0.09;
    s.estimate(Some(7), came, 0);
    came += 0.05;
    assert!(
        s.estimate(Some(7), came, 0) >= came - LONGEST_LINE,
        "two strangers end the line"
    );
    assert_eq!(
        s.estimate(Some(7), came + 4.0, 0),
        came + 4.0 - APART,
        "a gap that only a full line may have"
    );
}

/// A key that comes steadily but by chance is not taken for a line that is as old as the day.
#[test]
fn a_steady_key_is_no_full_line() {
    let (mut s, mut dice) = (SendTimeEstimator::new(100, 0.25, 20.0), 1_u64);
    let mut came = 10.0;
    let late = (0..10_000).filter(|_| {
        dice = dice
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        came += 0.02 + 0.6 * (dice >> 11) as f64 / (1_u64 << 53) as f64;
        s.estimate(Some(7), came, 0) < came - LONGEST_LINE - EXACT
    });
    let late = late.count();
    assert!(
        late < 200,
        "{late} of 10000 are taken to have stood for longer"
    );
}
