use super::*;

const KEY: u64 = 7;

#[test]
fn a_query_is_open_then_finished_then_forgotten() {
    let mut queries = QueryIndex::default();
    assert_eq!(queries.state(KEY), None);
    queries.open(KEY, 3);
    assert_eq!(queries.state(KEY), Some(QueryKeyState::Open(3)));
    queries.finish(KEY, 10.0);
    queries.discard_expired(10.0);
    assert_eq!(queries.state(KEY), Some(QueryKeyState::Finished));
    queries.discard_expired(10.1);
    assert_eq!(queries.state(KEY), None);
}

#[test]
fn a_recovered_query_counts_until_it_expires() {
    let mut queries = QueryIndex::default();
    queries.recover(KEY, 10.0);
    queries.discard_expired(9.9);
    assert_eq!(queries.state(KEY), Some(QueryKeyState::Recovered));
    queries.discard_expired(10.0);
    assert_eq!(queries.state(KEY), None);
}

/// A key can be open in this process when the journal turns out to contain it. Once this process has forgotten the key,
/// it counts as recovered.
#[test]
fn a_query_of_this_process_goes_before_a_recovered_one() {
    let mut queries = QueryIndex::default();
    queries.open(KEY, 3);
    queries.recover(KEY, 20.0);
    assert_eq!(queries.state(KEY), Some(QueryKeyState::Open(3)));
    queries.finish(KEY, 10.0);
    assert_eq!(queries.state(KEY), Some(QueryKeyState::Finished));
    queries.discard_expired(11.0);
    assert_eq!(queries.state(KEY), Some(QueryKeyState::Recovered));
}

#[test]
fn recovery_is_pending_only_between_its_begin_and_its_end() {
    let mut queries = QueryIndex::default();
    assert!(!queries.is_recovery_pending());
    queries.set_recovery_pending();
    assert!(queries.is_recovery_pending());
    queries.recovery_complete();
    assert!(!queries.is_recovery_pending());
}
