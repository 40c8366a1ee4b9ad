use super::*;
use serde_json::{json, Value};

fn names() -> NameIndex {
    let words = |words: &[&str]| words.iter().map(|w| w.to_string()).collect();
    let zones = words(&["east", "far_west", "east"]);
    NameIndex::new(&Names {
        zones,
        kinds: words(&["std", "large"]),
        ..Names::default()
    })
}

fn entry() -> Value {
    json!({"id": "e\u{e9}\"1", "addr": "127.0.0.1:4100", "zone": "far west", "kind": "large", "cell": 7,
        "state": "SERVING", "weight": 1, "started_ms": 1500, "more": {"x": [1, null]}})
}

fn event_with(entry: Value) -> Value {
    json!({"seq": 4, "more": [], "fleet": {"version": 1, "full": true, "servers": [self::entry(), entry]}})
}

/// Converts an error to its text.
fn error_text(decoded: Result<Event, EventError>) -> Result<Event, String> {
    decoded.map_err(|error| error.to_string())
}

/// Decodes an event from text and from parsed JSON, and checks that both results are equal.
fn decoded(json: &Value) -> Result<Event, EventError> {
    let of_text = decode_event_text(json.to_string().as_bytes(), &names());
    assert_eq!(of_text, decode_event(json, &names()), "{json}");
    of_text
}

#[test]
fn full_list_and_event_without_list_are_decoded() {
    let event = decoded(&event_with(entry())).unwrap();
    let address = SocketAddr::from(([127, 0, 0, 1], 4100));
    let (name, started_at_unix) = ("e\u{e9}\"1".to_string(), Some(1.5));
    let entry = EngineEntry {
        name,
        address,
        zone: 1,
        kind: 1,
        cell: 7,
        started_at_unix,
        state: EndpointState::Ready,
    };
    assert_eq!(
        event,
        Event {
            number: 4,
            scope: ListScope::Full,
            entries: vec![entry.clone(), entry]
        }
    );
    assert_eq!(
        decoded(&json!({"seq": 3})),
        Ok(Event {
            number: 3,
            scope: ListScope::Delta,
            entries: vec![]
        })
    );
}

#[test]
fn error_in_an_entry_names_the_path_of_the_key() {
    for (key, value, error) in [
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
        ("zone", json!(1), "zone: a name expected, not 1"),
        (
            "kind",
            json!({"a": ["b", -1.5]}),
            "kind: a name expected, not {\"a\":[\"b\",-1.5]}",
        ),
        ("kind", json!(true), "kind: a name expected, not true"),
        ("cell", json!(-1), "cell: a number expected"),
        ("cell", json!(5.0), "cell: a number expected"),
        ("cell", json!(1_u64 << 32), "cell: more than 4294967295"),
        ("started_ms", json!(1e308), "started_ms: a number expected"),
    ] {
        let mut entry = entry();
        entry[key] = value;
        assert_eq!(
            error_text(decoded(&event_with(entry))),
            Err(format!("fleet.servers.1.{error}"))
        );
    }
    assert_eq!(
        error_text(decoded(&event_with(json!(3)))),
        Err("fleet.servers.1.state: a text expected".into())
    );
}

#[test]
fn first_error_of_an_event_is_reported() {
    for (event, error) in [
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
        assert_eq!(error_text(decoded(&event)), Err(error.into()), "{event}");
    }
    for text in ["", "{\"seq\": 1", "{\"seq\": 1} more", "\u{0}"] {
        let error = Err("seq: a number expected".into());
        let decoded = decode_event_text(text.as_bytes(), &names());
        assert_eq!(error_text(decoded), error, "{text}");
    }
}

#[test]
fn last_of_repeated_keys_and_first_of_repeated_names_apply() {
    let text = br#"{"seq": 1, "fleet": 3, "seq": 2, "fleet": {"full": null, "full": false, "servers": 3,
        "servers": [{"id": "a", "id": "b", "addr": "127.0.0.1:1", "zone": "east", "state": "DRAINING"}]}}"#;
    let event = decode_event_text(text, &names()).unwrap();
    assert_eq!(
        (event.number, event.scope, event.entries.len()),
        (2, ListScope::Delta, 1)
    );
    let entry = &event.entries[0];
    assert_eq!(
        (&*entry.name, entry.zone, entry.state),
        ("b", 0, EndpointState::Draining)
    );
}
