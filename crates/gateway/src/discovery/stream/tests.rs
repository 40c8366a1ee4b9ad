use super::{EventParser, SseEvent};

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
