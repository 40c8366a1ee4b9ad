use super::*;

const KEY: u64 = 7;

/// The first attempt of a query of [`KEY`] that must not run twice.
fn first_attempt(query: QueryId, arrived_at: f64) -> AttemptFacts {
    AttemptFacts {
        query,
        key_place: Some(KeyPlace {
            key: KEY,
            arrival: ArrivalBounds {
                earliest: arrived_at,
                latest: arrived_at,
            },
        }),
        is_retry: false,
        may_have_run: false,
        is_non_idempotent: true,
        is_answered: false,
        has_client: true,
    }
}

#[test]
fn queries_of_a_key_begin_one_after_the_other_in_the_order_of_arrival() {
    let mut guard = AttemptGuard::new(3.0);
    assert_eq!(guard.begin(&first_attempt(1, 100.0)), Ok(()));
    let second = first_attempt(2, 100.06);
    assert_eq!(guard.begin(&second), Err(ViolatedRule::KeyOneAtATime));
    guard.end(1, Some(KEY));
    assert_eq!(guard.begin(&second), Ok(()));
    guard.end(2, Some(KEY));
    assert_eq!(
        guard.begin(&first_attempt(3, 100.0)),
        Err(ViolatedRule::KeyOrder)
    );
}

#[test]
fn end_of_another_query_of_the_key_does_not_release_the_key() {
    let mut guard = AttemptGuard::new(3.0);
    assert_eq!(guard.begin(&first_attempt(1, 100.0)), Ok(()));
    guard.end(2, Some(KEY));
    assert_eq!(
        guard.begin(&first_attempt(3, 101.0)),
        Err(ViolatedRule::KeyOneAtATime)
    );
}

#[test]
fn retry_begins_only_after_the_last_attempt_and_if_that_never_ran() {
    let mut guard = AttemptGuard::new(3.0);
    let first = first_attempt(1, 100.0);
    assert_eq!(guard.begin(&first), Ok(()));
    let retry = AttemptFacts {
        is_retry: true,
        ..first
    };
    assert_eq!(guard.begin(&retry), Err(ViolatedRule::OneAttemptAtATime));
    guard.end(1, Some(KEY));
    assert_eq!(guard.begin(&retry), Ok(()));
    guard.end(1, Some(KEY));
    let after_unknown_outcome = AttemptFacts {
        may_have_run: true,
        ..retry
    };
    assert_eq!(
        guard.begin(&after_unknown_outcome),
        Err(ViolatedRule::NoEffectTwice)
    );
    let idempotent = AttemptFacts {
        is_non_idempotent: false,
        ..after_unknown_outcome
    };
    assert_eq!(guard.begin(&idempotent), Ok(()));
}

#[test]
fn nothing_begins_for_a_query_that_is_answered_or_that_no_client_waits_for() {
    let mut guard = AttemptGuard::new(3.0);
    let facts = first_attempt(1, 100.0);
    let answered = AttemptFacts {
        is_answered: true,
        ..facts
    };
    assert_eq!(guard.begin(&answered), Err(ViolatedRule::FinalAnswer));
    let left = AttemptFacts {
        has_client: false,
        ..facts
    };
    assert_eq!(guard.begin(&left), Err(ViolatedRule::ClientLeft));
    assert_eq!(guard.begin(&facts), Ok(()));
}
