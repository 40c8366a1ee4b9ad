//! Tests that text and JSON decode to the same settings, that errors name the key, and that load reports are decoded.

use crate::{decode, decode_load_report, FlatSettings};
use serde_json::json;

const TEXT: &str = "allowed.dial-timeout=250.0\nallowed.max-attempts=4\nallowed.cancelling=true\n\
    categories.count=2\ncategories.0.name=lookup\ncategories.0.semantics=retryable\n\
    categories.0.give-up=5000.0\ncategories.1.name=sale_load\ncategories.1.semantics=fragile\n\
    categories.1.one-at-a-time=true\ncategories.1.allowed-on=1\ndomain.kind-cores=8,16\n\
    domain.parallelism=1,4\nkinds=small,large\nrules.fall=2000.0\nrules.fall-multiple=2.5\n\
    telemetry.fields=depth,load_share\ntelemetry.how=on_probe\ntenants.count=1\ntenants.0.name=acme\n";

#[test]
fn text_and_json_decode_to_the_same_settings() {
    let json = json!({
        "allowed": {"dial-timeout": 250.0, "max-attempts": 4, "cancelling": true},
        "categories": [
            {"name": "lookup", "semantics": "retryable", "give-up": 5000.0},
            {"name": "sale load", "semantics": "fragile", "one-at-a-time": true, "allowed-on": ["large"]},
        ],
        "domain": {"kind-cores": [8, 16], "parallelism": [1, 4]},
        "kinds": ["small", "large"],
        "rules": {"fall": 2000.0, "fall-multiple": 2.5, "extra-floor": null},
        "telemetry": {"fields": ["depth", "load_share"], "how": "on_probe"},
        "tenants": [{"name": "acme"}],
    });
    let text = decode(&FlatSettings::from_text(TEXT).unwrap()).unwrap();
    let json = decode(&FlatSettings::from_json(&json).unwrap()).unwrap();
    assert_eq!(format!("{text:?}"), format!("{json:?}"));
    assert_eq!(text.settings.classes[1].kinds, Some(vec![1]));
    assert_eq!(text.names.classes, ["lookup", "sale_load"]);
}

#[test]
fn errors_name_the_key() {
    let wrong = [
        (
            json!({"categories": [{"semantics": "odd"}]}),
            "categories.0.semantics",
        ),
        (
            json!({"categories": [{"semantics": "fragile", "give-up": "soon"}]}),
            "categories.0.give-up",
        ),
        (
            json!({"categories": [{"semantics": "fragile", "allowed-on": ["no"]}]}),
            "categories.0.allowed-on",
        ),
        (json!({"categories": [{}, 3]}), "categories.1"),
        (
            json!({"allowed": {"cancelling": "perhaps"}}),
            "allowed.cancelling",
        ),
        (json!({"kinds": [["x"]]}), "kinds"),
        (json!([]), "settings: an object"),
    ];
    for (settings, key) in wrong {
        let result = FlatSettings::from_json(&settings).and_then(|flat| decode(&flat).map(drop));
        let message = result.expect_err(key).to_string();
        assert!(message.contains(key), "{key}: {message}");
    }
}

#[test]
fn load_report_ignores_invalid_values_and_unknown_names() {
    let report = decode_load_report([("queue", 3.0), ("util", f64::NAN), ("other", 1.0)]).unwrap();
    assert_eq!(
        (
            report.waiting_for_memory,
            report.cpu_utilisation,
            report.in_flight
        ),
        (Some(3.0), None, None)
    );
    assert!(decode_load_report([]).is_none());
}
