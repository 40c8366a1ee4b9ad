use super::*;
use garnetwall_settings::Names;

fn sequence(last: u64) -> EventSequence {
    EventSequence::new(last, NameIndex::new(&Names::default()))
}

fn event(number: u64, is_full: bool) -> SseEvent {
    let data =
        format!(r#"{{"seq":{number},"fleet":{{"version":1,"full":{is_full},"servers":[]}}}}"#);
    SseEvent {
        number: Some(number),
        data: data.into_bytes(),
    }
}

fn malformed(number: u64) -> SseEvent {
    SseEvent {
        number: Some(number),
        data: b"{\"se".to_vec(),
    }
}

fn is_due(outcome: Result<EventOutcome, SequenceError>) -> bool {
    matches!(outcome, Ok(EventOutcome::Due(_)))
}

/// Two connections deliver the same events, out of order and with a different text the second time. Each is accepted
/// once.
#[test]
fn event_on_two_connections_is_accepted_once() {
    let mut sequence = sequence(4);
    assert!(is_due(sequence.accept(&event(5, false))));
    assert_eq!(
        sequence.accept(&event(5, false)),
        Ok(EventOutcome::Duplicate)
    );
    assert_eq!(
        sequence.accept(&event(5, true)),
        Ok(EventOutcome::Duplicate)
    );
    assert_eq!(sequence.accept(&malformed(5)), Ok(EventOutcome::Duplicate));
    assert!(is_due(sequence.accept(&event(6, false))));
    assert_eq!(
        sequence.accept(&event(4, true)),
        Ok(EventOutcome::Duplicate)
    );
    assert_eq!(sequence.last(), 6);
}

#[test]
fn gap_is_an_error_unless_a_full_list_follows() {
    let mut sequence = sequence(4);
    assert_eq!(
        sequence.accept(&event(7, false)),
        Err(SequenceError::Gap {
            number: 7,
            expected: 5
        })
    );
    assert_eq!(sequence.last(), 4);
    assert!(is_due(sequence.accept(&event(7, true))));
    assert_eq!(sequence.last(), 7);
}

#[test]
fn malformed_event_is_skipped_the_second_time() {
    let mut sequence = sequence(4);
    assert!(matches!(
        sequence.accept(&malformed(5)),
        Err(SequenceError::Malformed { number: 5, .. })
    ));
    assert_eq!(sequence.accept(&malformed(5)), Ok(EventOutcome::Skipped));
    assert!(is_due(sequence.accept(&event(6, false))));
}

#[test]
fn malformed_event_after_a_gap_is_never_skipped() {
    let mut sequence = sequence(4);
    for _ in 0..3 {
        assert!(matches!(
            sequence.accept(&malformed(9)),
            Err(SequenceError::Malformed { number: 9, .. })
        ));
    }
    assert!(is_due(sequence.accept(&event(5, false))));
}
