use super::*;
use bytes::Bytes;
use proptest::prelude::*;

const FINGERPRINT: Fingerprint = Fingerprint(7);

fn answer(bytes: usize) -> QueryAnswer {
    QueryAnswer::Succeeded(Bytes::from(vec![b'x'; bytes]))
}

#[test]
fn repeated_request_gets_the_cached_answer_until_its_deadline() {
    let mut cache = AnswerCache::new(10_000);
    cache.insert(1.0, 1, FINGERPRINT, answer(10), 2.0);
    assert_eq!(
        cache.get(1.9, 1, FINGERPRINT),
        CachedAnswer::Answer(answer(10))
    );
    assert_eq!(
        cache.get(1.9, 1, Fingerprint(8)),
        CachedAnswer::OtherRequest
    );
    assert_eq!(cache.get(1.9, 2, FINGERPRINT), CachedAnswer::Missing);
    assert_eq!(cache.get(2.0, 1, FINGERPRINT), CachedAnswer::Missing);
}

#[test]
fn answer_larger_than_the_cache_evicts_no_others() {
    let mut cache = AnswerCache::new(1000);
    cache.insert(1.0, 1, FINGERPRINT, answer(10), 9.0);
    cache.insert(1.0, 2, FINGERPRINT, answer(1000), 9.0);
    assert_eq!(
        cache.get(1.0, 1, FINGERPRINT),
        CachedAnswer::Answer(answer(10))
    );
    assert_eq!(cache.get(1.0, 2, FINGERPRINT), CachedAnswer::Missing);
}

proptest! {
    /// For any sequence of answers, the cache stays within its bound, the newest answer is cached, and the byte count
    /// equals the sum over the entries.
    #[test]
    fn the_newest_answers_stay_cached_within_the_bound(
        answers in prop::collection::vec((0..20u64, 0..3000usize, 0..50u32), 1..60),
    ) {
        let mut cache = AnswerCache::new(10_000);
        let mut now = 0.0;
        for (query_key, bytes, lifetime) in answers {
            now += 1.0;
            cache.insert(now, query_key, FINGERPRINT, answer(bytes), now + f64::from(lifetime));
            let cached_bytes: usize = cache.entries.values().map(Entry::bytes).sum();
            prop_assert_eq!(cache.bytes, cached_bytes);
            prop_assert!(cache.bytes <= 10_000);
            prop_assert_eq!(cache.keys_by_sequence.len(), cache.entries.len());
            if lifetime > 0 {
                prop_assert_eq!(cache.get(now, query_key, FINGERPRINT), CachedAnswer::Answer(answer(bytes)));
            }
        }
        cache.evict(now + 50.0);
        prop_assert!(cache.entries.is_empty() && cache.keys_by_sequence.is_empty() && cache.bytes == 0);
    }
}
