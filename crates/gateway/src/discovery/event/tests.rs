use super::*;
use serde_json::json;

fn names() -> NameIndex {
    let words = |words: &[&str]| words.iter().map(|w| w.to_string()).collect();
    let zones = words(&["east", "far_west", "east"]);
    NameIndex::new(&Names {
        zones,
        kinds: words(&["std", "large"]),
        ..Names::default()
    })
}

fn line() -> Value {
    json!({"id": "e\u{e9}\"1", "addr": "127.0.0.1:4100", "zone": "far west", "kind": "large", "cell": 7,
        "state": "SERVING", "weight": 1, "started_ms": 1500, "more": {"x": [1, null]}})
}

fn event_with(line: Value) -> Value {
    json!({"seq": 4, "more": [], "fleet": {"version": 1, "full": true, "servers": [self::line(), line]}})
}

/// Decodes both ways, which have the same end.
fn decoded(json: &Value) -> Result<Event, String> {
    let of_text = event_of_text(json.to_string().as_bytes(), &names());
    assert_eq!(of_text, event(json, &names()), "{json}");
    of_text
}

#[test]
fn a_whole_line_is_decoded() {
    let event = decoded(&event_with(line())).unwrap();
    let address = SocketAddr::from(([127, 0, 0, 1], 4100));
    let (id, came_up) = ("e\u{e9}\"1".to_string(), Some(1.5));
    let line = EngineLine {
        id,
        address,
        zone: 1,
        kind: 1,
        cell: 7,
        came_up,
        condition: EndpointState::Ready,
    };
    assert_eq!(
        event,
        Event {
            number: 4,
            whole: true,
            lines: vec![line.clone(), line]
        }
    );
    assert_eq!(
        decoded(&json!({"seq": 3})),
        Ok(Event {
            number: 3,
            whole: false,
            lines: vec![]
        })
    );
}

#[test]
fn what_is_wrong_with_a_line_is_told_with_its_place() {
    for (key, value, what) in [
        ("state", json!("ODD"), "state: 'ODD' is unknown"),
        ("state", json!(null), "state: a text expected"),
        ("id", json!(3), "id: a text expected"),
        (
            "addr",
            json!("nowhere"),
            "addr: an address with its port expected",
        ),
        ("addr", json!([]), "addr: a text expected"),
        (
            "zone",
            json!("far,north"),
            "zone: 'far,north' is not in the settings",
        ),
        ("zone", json!(1), "zone: 1 is no name"),
        (
            "kind",
            json!({"a": ["b", -1.5]}),
            "kind: {\"a\":[\"b\",-1.5]} is no name",
        ),
        ("kind", json!(true), "kind: true is no name"),
        ("cell", json!(-1), "cell: a number expected"),
        ("cell", json!(5.0), "cell: a number expected"),
        ("cell", json!(1_u64 << 32), "cell: too large"),
        ("started_ms", json!(1e308), "started_ms: a number expected"),
    ] {
        let mut line = line();
        line[key] = value;
        assert_eq!(
            decoded(&event_with(line)),
            Err(format!("fleet.servers.1.{what}"))
        );
    }
    assert_eq!(
        decoded(&event_with(json!(3))),
        Err("fleet.servers.1.state: a text expected".into())
    );
}

#[test]
fn the_first_fault_of_an_event_is_told() {
    for (event, what) in [
        (json!([1]), "seq: a number expected"),
        (json!(null), "seq: a number expected"),
        (json!({"seq": -1, "fleet": 3}), "seq: a number expected"),
        (
            json!({"seq": 1, "fleet": null}),
            "fleet.full: true or false expected",
        ),
        (
            json!({"seq": 1, "fleet": {"servers": 3}}),
            "fleet.full: true or false expected",
        ),
        (
            json!({"seq": 1, "fleet": {"full": true, "servers": {}}}),
            "fleet.servers: a list expected",
        ),
    ] {
        assert_eq!(decoded(&event), Err(what.into()), "{event}");
    }
    for text in ["", "{\"seq\": 1", "{\"seq\": 1} more", "\u{0}"] {
        let fault = Err("seq: a number expected".into());
        assert_eq!(event_of_text(text.as_bytes(), &names()), fault, "{text}");
    }
}

#[test]
fn of_keys_and_names_that_are_there_twice_the_last_key_and_the_first_name_count() {
    let text = br#"{"seq": 1, "fleet": 3, "seq": 2, "fleet": {"full": null, "full": false, "servers": 3,
        "servers": [{"id": "a", "id": "b", "addr": "127.0.0.1:1", "zone": "east", "state": "DRAINING"}]}}"#;
    let event = event_of_text(text, &names()).unwrap();
    assert_eq!(
        (event.number, event.whole, event.lines.len()),
        (2, false, 1)
    );
    let line = &event.lines[0];
    assert_eq!(
        (&*line.id, line.zone, line.condition),
        ("b", 0, EndpointState::Draining)
    );
}
