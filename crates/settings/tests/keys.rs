//! Guards the names and types of all settings: the keys are written out literally, so that renaming a key by accident
//! fails a test.
//!
//! The tests show that every key of `ALL` is decoded from JSON and from text, since another value gives another result,
//! and that a value of the wrong type is rejected with the full path of its key. crates/gateway/tests/bad_input.rs
//! checks the keys of the gateway's own configuration file and of `subset`. That file and src/tests.rs check the
//! consistency of settings.

use garnetwall_settings::{decode, decode_load_report, FlatSettings};
use serde_json::{json, Value};

/// Settings with every known key. Each value differs from the default of its key.
const ALL: &str = r#"{
    "allowed": {
        "cancelling": true, "dial-timeout": 300, "idle-close": 9000, "max-attempts": 3,
        "max-retry-after": 1500, "may-probe": true, "open-cap": 77, "retry-after": true
    },
    "balancers": 5,
    "categories": [
        {
            "name": "lookup", "semantics": "dedup", "key-scope": "zone", "dedup-window": 6000, "give-up": 4000,
            "goal-time": 800, "aim-stretch": 2.5, "worth": 3, "late-share": 0.4, "one-at-a-time": true,
            "zones-only": ["west"], "allowed-on": ["large"]
        },
        {"name": "load", "semantics": "fragile", "give-up": 9000}
    ],
    "domain": {
        "grants-count": true, "kind-cores": [8, 16], "kind-memory-mb": [1024, 2048], "largest-share": 0.3,
        "loads": [false, true], "parallelism": [2, 4], "progress": 500, "waits-for-loads": [true, false]
    },
    "kinds": ["small", "large"],
    "registry-mode": "on_request",
    "rules": {
        "cold-from": 0.25, "warm-after": 15000, "fall": 3000, "fall-multiple": 2.5,
        "extra-floor": 4, "extra-per-request": 0.2, "extra-window": 10000, "order-pause": 200
    },
    "telemetry": {"fields": ["depth", "load_share"], "how": "inline"},
    "tenants": [{"name": "acme", "portion": 0.5, "quota-per-s": 90}],
    "zones": ["east", "west"]
}"#;

/// Test case for a key whose value is used.
struct KeyCase {
    /// A valid value other than that in `ALL`.
    other_value: &'static str,
    wrong_type: WrongTypeCase,
}

/// Test case for a key with a value of the wrong type, and the expected error.
struct WrongTypeCase {
    path: &'static str,
    wrong_value: &'static str,
    expected_error: &'static str,
}

const fn key(
    path: &'static str,
    other_value: &'static str,
    wrong_value: &'static str,
    expected_error: &'static str,
) -> KeyCase {
    KeyCase {
        other_value,
        wrong_type: wrong_type(path, wrong_value, expected_error),
    }
}

const fn wrong_type(
    path: &'static str,
    wrong_value: &'static str,
    expected_error: &'static str,
) -> WrongTypeCase {
    WrongTypeCase {
        path,
        wrong_value,
        expected_error,
    }
}

/// Every key of `ALL` whose value is used.
const KEYS: &[KeyCase] = &[
    key("allowed.cancelling", "false", "\"perhaps\"", FLAG),
    key("allowed.dial-timeout", "301", "true", DAY),
    key("allowed.idle-close", "9001", "true", TIME),
    key("allowed.max-attempts", "4", "true", COUNT),
    key("allowed.max-retry-after", "1501", "true", TIME),
    key("allowed.may-probe", "false", "\"perhaps\"", FLAG),
    key("allowed.open-cap", "78", "true", COUNT),
    key("allowed.retry-after", "false", "\"perhaps\"", FLAG),
    key("balancers", "6", "true", COUNT),
    key("categories.0.name", "\"other\"", "7", TEXT),
    key("categories.0.semantics", "\"retryable\"", "7", TEXT),
    key("categories.0.key-scope", "\"all\"", "7", TEXT),
    key("categories.0.dedup-window", "6001", "true", TIME),
    key("categories.0.give-up", "4001", "true", DAY),
    key("categories.0.goal-time", "801", "true", TIME),
    key("categories.0.aim-stretch", "2.6", "true", AMOUNT),
    key("categories.0.worth", "4", "true", AMOUNT),
    key("categories.0.late-share", "0.5", "true", AMOUNT),
    key("categories.0.one-at-a-time", "false", "\"perhaps\"", FLAG),
    key("categories.0.zones-only", "[\"east\"]", "true", INDEX),
    key("categories.0.allowed-on", "[\"small\"]", "true", INDEX),
    key("domain.grants-count", "false", "\"perhaps\"", FLAG),
    key("domain.kind-cores", "[8, 17]", "true", AMOUNT),
    key("domain.kind-memory-mb", "[1024, 2049]", "true", AMOUNT),
    key("domain.largest-share", "0.31", "true", AMOUNT),
    key("domain.loads", "[true, true]", "\"perhaps\"", FLAG),
    key("domain.parallelism", "[3, 4]", "true", AMOUNT),
    key("domain.progress", "501", "true", TIME),
    key(
        "domain.waits-for-loads",
        "[true, true]",
        "\"perhaps\"",
        FLAG,
    ),
    key("kinds", "[\"tiny\", \"large\"]", "7", TEXT),
    key("registry-mode", "\"pushed\"", "7", TEXT),
    key("rules.cold-from", "0.26", "true", AMOUNT),
    key("rules.warm-after", "15001", "true", TIME),
    key("rules.fall", "3001", "true", TIME),
    key("rules.fall-multiple", "2.6", "true", AMOUNT),
    key("rules.extra-floor", "5", "true", AMOUNT),
    key("rules.extra-per-request", "0.21", "true", AMOUNT),
    key("rules.extra-window", "10001", "true", TIME),
    key("rules.order-pause", "201", "true", TIME),
    key("telemetry.fields", "[\"depth\"]", "7", TEXT),
    key("telemetry.how", "\"on_probe\"", "7", TEXT),
    key("tenants.0.name", "\"other\"", "7", TEXT),
    key("zones", "[\"east\", \"west\", \"north\"]", "7", TEXT),
];

/// Keys whose values are checked but not used.
const UNUSED_KEYS: &[WrongTypeCase] = &[
    wrong_type("tenants.0.portion", "true", AMOUNT),
    wrong_type("tenants.0.quota-per-s", "true", AMOUNT),
];

const FLAG: &str = "true or false expected, not \"perhaps\"; set true or false";
const TEXT: &str = "a text expected, not 7; write it in quotes";
const INDEX: &str =
    "a name or an index expected, not true; set a zone or kind listed in the settings, by its name or its index from 0";
const DAY: &str =
    "a number expected, not true; give a number of more than 0 and at most 86400000 milliseconds";
const TIME: &str =
    "a number expected, not true; give a number of at least 0 and at most 1000000000000 milliseconds";
const AMOUNT: &str =
    "a number expected, not true; give a number of at least 0 and at most 1000000000000";
const COUNT: &str =
    "a number expected, not true; give a number of at least 1 and at most 1000000000000";

fn parsed(json: &str) -> Value {
    serde_json::from_str(json).unwrap()
}

/// Returns the settings of `ALL` with another value at a path.
fn with(path: &str, value: &str) -> Value {
    let mut settings = parsed(ALL);
    let place = settings
        .pointer_mut(&format!("/{}", path.replace('.', "/")))
        .unwrap_or_else(|| panic!("ALL has no {path}"));
    *place = parsed(value);
    settings
}

fn decoded(settings: &Value) -> String {
    let flat = FlatSettings::from_json(settings).unwrap_or_else(|error| panic!("{error}"));
    format!(
        "{:?}",
        decode(&flat).unwrap_or_else(|error| panic!("{error}"))
    )
}

/// Appends the paths of all values to `into`. A list of plain values counts as one value.
fn paths(value: &Value, at: &str, into: &mut Vec<String>) {
    let under = |key: &str| match at {
        "" => key.to_string(),
        at => format!("{at}.{key}"),
    };
    match value {
        Value::Object(keys) => keys.iter().for_each(|(key, v)| paths(v, &under(key), into)),
        Value::Array(items) if items[0].is_object() => paths(&items[0], &under("0"), into),
        _ => into.push(at.to_string()),
    }
}

/// Returns the text form of the same settings.
fn text(settings: &Value) -> String {
    let mut lines = vec![
        "categories.count=2".to_string(),
        "tenants.count=1".to_string(),
    ];
    let mut all = Vec::new();
    paths(settings, "", &mut all);
    all.extend(["name", "semantics", "give-up"].map(|key| format!("categories.1.{key}")));
    let word = |value: &Value| {
        value
            .as_str()
            .map_or_else(|| value.to_string(), String::from)
    };
    for path in all {
        let value = settings
            .pointer(&format!("/{}", path.replace('.', "/")))
            .unwrap();
        let value = match value {
            Value::Array(items) => items.iter().map(word).collect::<Vec<_>>().join(","),
            one => word(one),
        };
        lines.push(format!("{path}={value}"));
    }
    lines.join("\n")
}

fn decoded_text(text: &str) -> String {
    let flat = FlatSettings::from_text(text).unwrap_or_else(|error| panic!("{error}"));
    format!(
        "{:?}",
        decode(&flat).unwrap_or_else(|error| panic!("{error}"))
    )
}

#[test]
fn test_cases_cover_every_key() {
    let mut all = Vec::new();
    paths(&parsed(ALL), "", &mut all);
    let mut named: Vec<String> = KEYS
        .iter()
        .map(|key| key.wrong_type.path.to_string())
        .collect();
    named.extend(
        UNUSED_KEYS
            .iter()
            .map(|wrong_type| wrong_type.path.to_string()),
    );
    all.sort();
    named.sort();
    assert_eq!(all, named);
}

#[test]
fn every_key_is_decoded_from_json_and_from_text() {
    let base = decoded(&parsed(ALL));
    assert_eq!(
        decoded_text(&text(&parsed(ALL))),
        base,
        "both forms decode to the same settings"
    );
    for key in KEYS {
        let (path, other) = (key.wrong_type.path, key.other_value);
        let changed = with(path, other);
        assert_ne!(decoded(&changed), base, "{path}={other}");
        assert_ne!(
            decoded_text(&text(&changed)),
            base,
            "{path}={other}, as text"
        );
    }
}

#[test]
fn value_of_the_wrong_type_is_rejected_with_the_path_of_its_key() {
    let cases = KEYS.iter().map(|key| &key.wrong_type);
    for wrong_type in cases.chain(UNUSED_KEYS) {
        let WrongTypeCase {
            path,
            wrong_value,
            expected_error,
        } = wrong_type;
        let error = FlatSettings::from_json(&with(path, wrong_value)).expect_err(path);
        assert_eq!(
            error.to_string(),
            format!("settings.{path}: {expected_error}")
        );
    }
    for block in ["allowed", "domain", "rules", "telemetry"] {
        let error = FlatSettings::from_json(&with(block, "[]")).expect_err(block);
        let expected = "an object expected, not []; write {...} with its keys";
        assert_eq!(error.to_string(), format!("settings.{block}: {expected}"));
    }
    for list in ["categories", "tenants"] {
        let error = FlatSettings::from_json(&with(list, "{}")).expect_err(list);
        let expected = "a list of objects expected, not {}; write [{...}] with one object per item";
        assert_eq!(error.to_string(), format!("settings.{list}: {expected}"));
    }
}

/// Keys with a fixed set of words: each word must be decoded to a different value.
#[test]
fn every_word_of_a_choice_is_decoded_differently() {
    let choices: [(&str, &[&str]); 4] = [
        (
            "categories.0.semantics",
            &["\"retryable\"", "\"dedup\"", "\"fragile\""],
        ),
        (
            "categories.0.key-scope",
            &["\"all\"", "\"zone\"", "\"cell\""],
        ),
        (
            "telemetry.how",
            &["\"inline\"", "\"on_probe\"", "\"never\""],
        ),
        ("registry-mode", &["\"on_request\"", "\"pushed\""]),
    ];
    for (path, words) in choices {
        let mut all: Vec<String> = words
            .iter()
            .map(|word| decoded(&with(path, word)))
            .collect();
        all.sort();
        all.dedup();
        assert_eq!(all.len(), words.len(), "{path}");
    }
    let flat = FlatSettings::from_json(&with("categories.0.semantics", "\"odd\"")).unwrap();
    assert_eq!(
        decode(&flat).unwrap_err().to_string(),
        "settings.categories.0.semantics: 'odd' is unknown; set retryable, dedup or fragile"
    );
}

/// Every name of a value in a load report is decoded. Three of the values have two names.
#[test]
fn every_name_of_a_load_report_is_decoded() {
    let of = |name: &str| format!("{:?}", decode_load_report([(name, 0.5)]).unwrap());
    let unread = of("other");
    let five = ["load_share", "depth", "concurrent", "x0", "x1"].map(of);
    let mut all = five.to_vec();
    all.push(unread);
    all.sort();
    all.dedup();
    assert_eq!(
        all.len(),
        6,
        "each name must be decoded into a separate field"
    );
    assert_eq!(["util", "queue", "inflight"].map(of), five[..3]);
}

#[test]
fn unknown_keys_are_ignored() {
    let base = decoded(&parsed(ALL));
    let mut more = parsed(ALL);
    more["prices"] = json!([null, {"a": 1}]);
    more["allowed"]["give-up"] = json!({"b": [[]]});
    assert_eq!(decoded(&more), base);
}

/// Inconsistent settings are rejected with the full path of the key.
#[test]
fn inconsistent_settings_are_rejected_with_the_path_of_their_key() {
    let cases = [
        ("categories", "[]", "categories: empty; define at least one service group"),
        (
            "categories.0.name",
            "\"load\"",
            "categories.1.name: 'load' is used more than once; give each item a unique name",
        ),
        (
            "tenants.0.name",
            "\"\"",
            "tenants.0.name: missing; set the name that clients use",
        ),
        (
            "categories.0.give-up",
            "null",
            "categories.0.give-up: missing; set how long its clients wait, in milliseconds",
        ),
        (
            "categories.0.zones-only",
            "[7]",
            "categories.0.zones-only: '7' is unknown; set a name of settings.zones, or its index there from 0",
        ),
        (
            "categories.0.allowed-on",
            "[7]",
            "categories.0.allowed-on: '7' is unknown; set a name of settings.kinds, or its index there from 0",
        ),
    ];
    for (path, value, expected) in cases {
        let flat = FlatSettings::from_json(&with(path, value)).unwrap();
        let error = decode(&flat).unwrap().validate().expect_err(path);
        assert_eq!(error.to_string(), format!("settings.{expected}"));
    }
}
