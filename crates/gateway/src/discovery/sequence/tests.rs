use super::*;
use garnetwall_settings::Names;

fn sequence(last: u64) -> EventSequence {
    EventSequence::new(last, NameIndex::new(&Names::default()))
}

fn event(number: u64, whole: bool) -> Sent {
    let data = format!(r#"{{"seq":{number},"fleet":{{"version":1,"full":{whole},"servers":[]}}}}"#);
    Sent {
        number: Some(number),
        data: data.into_bytes(),
    }
}

fn malformed(number: u64) -> Sent {
    Sent {
        number: Some(number),
        data: b"{\"se".to_vec(),
    }
}

fn is_due(taken: Result<Admission, SequenceError>) -> bool {
    matches!(taken, Ok(Admission::Due(_)))
}

/// Two connections bring the same events, in any order and with another text the second time: each is taken in once.
#[test]
fn an_event_that_comes_on_two_connections_is_taken_in_once() {
    let mut sequence = sequence(4);
    assert!(is_due(sequence.take(&event(5, false))));
    assert_eq!(sequence.take(&event(5, false)), Ok(Admission::Known));
    assert_eq!(sequence.take(&event(5, true)), Ok(Admission::Known));
    assert_eq!(sequence.take(&malformed(5)), Ok(Admission::Known));
    assert!(is_due(sequence.take(&event(6, false))));
    assert_eq!(sequence.take(&event(4, true)), Ok(Admission::Known));
    assert_eq!(sequence.last(), 6);
}

#[test]
fn a_gap_is_refused_but_for_a_whole_list() {
    let mut sequence = sequence(4);
    assert_eq!(
        sequence.take(&event(7, false)),
        Err(SequenceError::Gap {
            number: 7,
            expected: 5
        })
    );
    assert_eq!(sequence.last(), 4);
    assert!(is_due(sequence.take(&event(7, true))));
    assert_eq!(sequence.last(), 7);
}

#[test]
fn a_malformed_event_is_passed_over_the_second_time() {
    let mut sequence = sequence(4);
    assert!(matches!(
        sequence.take(&malformed(5)),
        Err(SequenceError::Malformed { number: 5, .. })
    ));
    assert_eq!(sequence.take(&malformed(5)), Ok(Admission::PassedOver));
    assert!(is_due(sequence.take(&event(6, false))));
}

#[test]
fn a_malformed_event_with_too_high_a_number_is_never_passed_over() {
    let mut sequence = sequence(4);
    for _ in 0..3 {
        assert!(matches!(
            sequence.take(&malformed(9)),
            Err(SequenceError::Malformed { number: 9, .. })
        ));
    }
    assert!(is_due(sequence.take(&event(5, false))));
}
