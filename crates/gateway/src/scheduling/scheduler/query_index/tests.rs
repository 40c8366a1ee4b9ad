use super::*;

const KEY: u64 = 7;

#[test]
fn a_query_is_open_then_finished_then_forgotten() {
    let mut query_index = QueryIndex::default();
    assert_eq!(query_index.state(KEY), None);
    query_index.open(KEY, 3);
    assert_eq!(query_index.state(KEY), Some(QueryKeyState::Open(3)));
    query_index.finish(KEY, 10.0);
    query_index.discard_expired(10.0);
    assert_eq!(query_index.state(KEY), Some(QueryKeyState::Finished));
    query_index.discard_expired(10.1);
    assert_eq!(query_index.state(KEY), None);
}

#[test]
fn recovered_key_is_remembered_until_it_expires() {
    let mut query_index = QueryIndex::default();
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
    let mut query_index = QueryIndex::default();
    query_index.open(KEY, 3);
    query_index.recover(KEY, 20.0);
    assert_eq!(query_index.state(KEY), Some(QueryKeyState::Open(3)));
    query_index.finish(KEY, 10.0);
    assert_eq!(query_index.state(KEY), Some(QueryKeyState::Finished));
    query_index.discard_expired(11.0);
    assert_eq!(query_index.state(KEY), Some(QueryKeyState::Recovered));
}

#[test]
fn recovery_is_pending_only_between_its_start_and_its_end() {
    let mut query_index = QueryIndex::default();
    assert!(!query_index.is_recovery_pending());
    query_index.set_recovery_pending();
    assert!(query_index.is_recovery_pending());
    query_index.set_recovery_complete();
    assert!(!query_index.is_recovery_pending());
}
