use super::{EventParser, SseEvent};
use std::time::{Duration, Instant};

#[test]
fn events_are_parsed_wherever_their_bytes_are_split() {
    let text =
        ": hello\r\n\nid: 4\ndata: {\"a\":\ndata:1}\n\n:\n\ndata: x\r\n\r\ndata: unfinished\n";
    for size in 1..text.len() {
        let mut parser = EventParser::default();
        let fed = text
            .as_bytes()
            .chunks(size)
            .flat_map(|part| parser.feed(part).unwrap());
        let first = SseEvent {
            number: Some(4),
            data: b"{\"a\":\n1}".to_vec(),
        };
        let second = SseEvent {
            number: None,
            data: b"x".to_vec(),
        };
        assert_eq!(
            fed.collect::<Vec<_>>(),
            [first, second],
            "in chunks of {size} bytes"
        );
    }
}

/// Each line moved all bytes behind it.
#[test]
fn lines_that_arrive_together_are_parsed_in_linear_time() {
    let lines = ":\n".repeat(400_000) + "id: 1\ndata: x\n\n";
    let mut parser = EventParser::default();
    let began = Instant::now();
    let events = parser.feed(lines.as_bytes()).unwrap();
    assert_eq!((events.len(), parser.completed_fields), (1, 400_003));
    let took = began.elapsed();
    assert!(took < Duration::from_secs(2), "{took:?}");
}
