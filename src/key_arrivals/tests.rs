use super::*;
use proptest::prelude::*;

const KEY: u64 = 7;
const OTHER_KEY: u64 = 8;

fn at(time: f64) -> ArrivalBounds {
    ArrivalBounds {
        earliest: time,
        latest: time,
    }
}

#[test]
fn query_that_arrived_before_an_admitted_one_of_its_key_is_refused() {
    let mut arrivals = KeyArrivals::new(3.0);
    arrivals.record(KEY, at(100.06));
    assert!(!arrivals.may_follow(KEY, at(100.0)));
    assert!(
        arrivals.may_follow(KEY, at(100.04)),
        "within the resolution"
    );
    assert!(arrivals.may_follow(KEY, at(100.12)));
    assert!(arrivals.may_follow(OTHER_KEY, at(100.0)));
}

#[test]
fn query_whose_time_is_unknown_is_refused_if_it_may_have_arrived_before() {
    let mut arrivals = KeyArrivals::new(3.0);
    let unknown = ArrivalBounds {
        earliest: 99.9,
        latest: 100.3,
    };
    arrivals.record(KEY, unknown);
    assert!(!arrivals.may_follow(KEY, unknown));
    assert!(!arrivals.may_follow(KEY, at(100.1)));
    let later = ArrivalBounds {
        earliest: 100.3,
        latest: 100.5,
    };
    assert!(arrivals.may_follow(KEY, later));
}

#[test]
fn earlier_arrival_that_is_recorded_late_does_not_replace_a_later_one() {
    let mut arrivals = KeyArrivals::new(3.0);
    arrivals.record(KEY, at(100.3));
    arrivals.record(KEY, at(100.0));
    assert!(!arrivals.may_follow(KEY, at(100.1)));
}

#[test]
fn forgotten_arrivals_still_refuse_earlier_queries() {
    let mut arrivals = KeyArrivals::new(3.0);
    arrivals.record(KEY, at(100.0));
    arrivals.record(OTHER_KEY, at(102.0));
    arrivals.discard_expired(104.0);
    assert!(!arrivals.may_follow(KEY, at(99.0)));
    assert!(arrivals.may_follow(KEY, at(101.0)));
    assert!(!arrivals.may_follow(OTHER_KEY, at(101.0)));
}

#[test]
fn number_of_remembered_arrivals_is_limited() {
    let mut arrivals = KeyArrivals::new(3.0);
    for key in 0..2 * MAX_KEYS as u64 {
        arrivals.record(key, at(100.0 + key as f64 * 1e-5));
    }
    assert_eq!(arrivals.remembered.len(), MAX_KEYS);
    assert!(arrivals.newest.len() <= MAX_KEYS);
    assert!(!arrivals.may_follow(0, at(99.0)));
}

proptest! {
    /// Whatever is admitted in which order, and with whichever bounds: the true times of the admitted queries of a key
    /// never go back by more than the resolution.
    #[test]
    fn admitted_queries_of_a_key_never_overtake_one_another(
        queries in prop::collection::vec((0..3_u64, 0.0..10.0_f64, 0.0..1.0_f64, 0.0..1.0_f64), 1..60)
    ) {
        let mut arrivals = KeyArrivals::new(2.0);
        let mut last_admitted = [f64::NEG_INFINITY; 3];
        for (key, time, before, after) in queries {
            let bounds = ArrivalBounds { earliest: time - before, latest: time + after };
            arrivals.discard_expired(time);
            if arrivals.may_follow(key, bounds) {
                arrivals.record(key, bounds);
                let last = &mut last_admitted[key as usize];
                prop_assert!(time + RESOLUTION_SECONDS >= *last);
                *last = last.max(time);
            }
        }
    }
}
