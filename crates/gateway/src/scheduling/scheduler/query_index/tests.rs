use super::*;

const KEY: u64 = 7;

#[test]
fn a_query_is_open_then_finished_then_forgotten() {
    let mut query_index = QueryIndex::new(100);
    assert_eq!(query_index.state(KEY), None);
    query_index.open(KEY, 3);
    assert_eq!(query_index.state(KEY), Some(QueryKeyState::Open(3)));
    query_index.finish(KEY, 10.0, KeyRetention::Required);
    query_index.discard_expired(10.0);
    assert_eq!(query_index.state(KEY), Some(QueryKeyState::Finished));
    query_index.discard_expired(10.1);
    assert_eq!(query_index.state(KEY), None);
}

#[test]
fn recovered_key_is_remembered_until_it_expires() {
    let mut query_index = QueryIndex::new(100);
    query_index.recover(KEY, 10.0);
    query_index.discard_expired(9.9);
    assert_eq!(query_index.state(KEY), Some(QueryKeyState::Recovered));
    query_index.discard_expired(10.0);
    assert_eq!(query_index.state(KEY), None);
}

/// A key can be open in this process when the journal turns out to contain it. Once this process has forgotten the key,
/// it counts as recovered.
#[test]
fn query_of_this_process_takes_precedence_over_a_recovered_one() {
    let mut query_index = QueryIndex::new(100);
    query_index.open(KEY, 3);
    query_index.recover(KEY, 20.0);
    assert_eq!(query_index.state(KEY), Some(QueryKeyState::Open(3)));
    query_index.finish(KEY, 10.0, KeyRetention::Required);
    assert_eq!(query_index.state(KEY), Some(QueryKeyState::Finished));
    query_index.discard_expired(11.0);
    assert_eq!(query_index.state(KEY), Some(QueryKeyState::Recovered));
}

#[test]
fn recovery_is_pending_only_between_its_start_and_its_end() {
    let mut query_index = QueryIndex::new(100);
    assert!(!query_index.is_recovery_pending());
    query_index.set_recovery_pending();
    assert!(query_index.is_recovery_pending());
    query_index.set_recovery_complete();
    assert!(!query_index.is_recovery_pending());
}

/// Clients that bring ever new keys take no more than the space for finished keys, and none from those that must not run
/// again.
#[test]
fn keys_that_may_run_again_are_forgotten_where_space_is_needed() {
    let mut query_index = QueryIndex::new(10);
    query_index.finish(KEY, 50.0, KeyRetention::Required);
    for key in 100..1000 {
        query_index.finish(key, 50.0, KeyRetention::WhileSpace);
    }
    assert_eq!(query_index.finished.len(), 10);
    assert_eq!(query_index.dispensable.len(), 9);
    assert_eq!(query_index.state(KEY), Some(QueryKeyState::Finished));
    assert_eq!(query_index.state(999), Some(QueryKeyState::Finished));
    assert_eq!(query_index.state(990), None);
    query_index.discard_expired(50.1);
    assert!(query_index.finished.is_empty());
}

#[test]
fn index_full_of_required_keys_tells_when_the_first_expires() {
    let mut query_index = QueryIndex::new(3);
    query_index.open(KEY, 1);
    query_index.finish(100, 40.0, KeyRetention::Required);
    assert_eq!(query_index.full_until(), None);
    query_index.finish(101, 50.0, KeyRetention::Required);
    assert_eq!(query_index.full_until(), Some(40.0));
    query_index.discard_expired(41.0);
    assert_eq!(query_index.full_until(), None);
}
