use super::*;
use bytes::Bytes;
use proptest::prelude::*;

const CALL: Fingerprint = Fingerprint(7);

fn answer(bytes: usize) -> QueryAnswer {
    QueryAnswer::Succeeded(Bytes::from(vec![b'x'; bytes]))
}

#[test]
fn the_same_call_gets_its_answer_until_the_deadline() {
    let mut kept = AnswerCache::new(10_000);
    kept.keep(1.0, 1, CALL, answer(10), 2.0);
    assert_eq!(kept.get(1.9, 1, CALL), Kept::Answer(answer(10)));
    assert_eq!(kept.get(1.9, 1, Fingerprint(8)), Kept::Other);
    assert_eq!(kept.get(1.9, 2, CALL), Kept::Nothing);
    assert_eq!(kept.get(2.0, 1, CALL), Kept::Nothing);
}

#[test]
fn an_answer_that_is_too_large_drives_no_others_out() {
    let mut kept = AnswerCache::new(1000);
    kept.keep(1.0, 1, CALL, answer(10), 9.0);
    kept.keep(1.0, 2, CALL, answer(1000), 9.0);
    assert_eq!(kept.get(1.0, 1, CALL), Kept::Answer(answer(10)));
    assert_eq!(kept.get(1.0, 2, CALL), Kept::Nothing);
}

proptest! {
    /// However many come: inside the bound, the newest are there, and the count of bytes is that of what is kept.
    #[test]
    fn the_newest_are_kept_inside_the_bound(
        came in prop::collection::vec((0..20u64, 0..3000usize, 0..50u32), 1..60),
    ) {
        let mut kept = AnswerCache::new(10_000);
        let mut now = 0.0;
        for (id, bytes, lasts) in came {
            now += 1.0;
            kept.keep(now, id, CALL, answer(bytes), now + f64::from(lasts));
            let bytes_kept: usize = kept.entries.values().map(Entry::bytes).sum();
            prop_assert_eq!(kept.bytes, bytes_kept);
            prop_assert!(kept.bytes <= 10_000);
            prop_assert_eq!(kept.order.len(), kept.entries.len());
            if lasts > 0 {
                prop_assert_eq!(kept.get(now, id, CALL), Kept::Answer(answer(bytes)));
            }
        }
        kept.make_room(now + 50.0);
        prop_assert!(kept.entries.is_empty() && kept.order.is_empty() && kept.bytes == 0);
    }
}
