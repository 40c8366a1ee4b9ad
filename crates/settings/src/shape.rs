//! What the keys that are read may hold, in JSON. Keys that are not named here are passed over, whatever they hold: sites bring
//! new ones. An absent key and null are the same.

use crate::error::{abbreviate, SettingsError, SettingsErrorCause};
use serde_json::Value;

pub(crate) enum Shape {
    Object(&'static [(&'static str, Shape)]),
    /// A list of objects.
    Objects(&'static [(&'static str, Shape)]),
    /// A list, or one item alone.
    List(&'static Shape),
    Text,
    Flag,
    Number(Range),
    /// An index or a name.
    Index,
}

/// Numbers from the least, or above it, to the most.
pub(crate) struct Range {
    least: f64,
    above: bool,
    most: f64,
    unit: &'static str,
}

/// More than any site's; sums and products of such numbers stay finite.
const MOST: f64 = 1e12;
/// No client waits for longer than a day, and no timer is set further.
const DAY: f64 = 86_400_000.0;
const TIME: Shape = Shape::Number(Range {
    least: 0.0,
    above: false,
    most: MOST,
    unit: " milliseconds",
});
const LIMIT: Shape = Shape::Number(Range {
    least: 0.0,
    above: true,
    most: DAY,
    unit: " milliseconds",
});
const AMOUNT: Shape = Shape::Number(Range {
    least: 0.0,
    above: false,
    most: MOST,
    unit: "",
});
const COUNT: Shape = Shape::Number(Range {
    least: 1.0,
    above: false,
    most: MOST,
    unit: "",
});

pub(crate) const SETTINGS: Shape = Shape::Object(&[
    (
        "allowed",
        Shape::Object(&[
            ("cancelling", Shape::Flag),
            ("dial-timeout", LIMIT),
            ("idle-close", TIME),
            ("max-attempts", COUNT),
            ("max-retry-after", TIME),
            ("may-probe", Shape::Flag),
            ("open-cap", COUNT),
            ("retry-after", Shape::Flag),
        ]),
    ),
    ("balancers", COUNT),
    (
        "categories",
        Shape::Objects(&[
            ("aim-stretch", AMOUNT),
            ("allowed-on", Shape::List(&Shape::Index)),
            ("dedup-window", TIME),
            ("give-up", LIMIT),
            ("goal-time", TIME),
            ("key-scope", Shape::Text),
            ("late-share", AMOUNT),
            ("name", Shape::Text),
            ("one-at-a-time", Shape::Flag),
            ("semantics", Shape::Text),
            ("worth", AMOUNT),
            ("zones-only", Shape::List(&Shape::Index)),
        ]),
    ),
    (
        "domain",
        Shape::Object(&[
            ("grants-count", Shape::Flag),
            ("kind-cores", Shape::List(&AMOUNT)),
            ("kind-memory-mb", Shape::List(&AMOUNT)),
            ("largest-share", AMOUNT),
            ("loads", Shape::List(&Shape::Flag)),
            ("parallelism", Shape::List(&AMOUNT)),
            ("progress", TIME),
            ("waits-for-loads", Shape::List(&Shape::Flag)),
        ]),
    ),
    ("kinds", Shape::List(&Shape::Text)),
    ("registry-mode", Shape::Text),
    (
        "rules",
        Shape::Object(&[
            ("cold-from", AMOUNT),
            ("extra-floor", AMOUNT),
            ("extra-per-request", AMOUNT),
            ("extra-window", TIME),
            ("fall", TIME),
            ("fall-multiple", AMOUNT),
            ("order-pause", TIME),
            ("warm-after", TIME),
        ]),
    ),
    (
        "telemetry",
        Shape::Object(&[("fields", Shape::List(&Shape::Text)), ("how", Shape::Text)]),
    ),
    (
        "tenants",
        Shape::Objects(&[
            ("name", Shape::Text),
            ("portion", AMOUNT),
            ("quota-per-s", AMOUNT),
        ]),
    ),
    ("zones", Shape::List(&Shape::Text)),
]);

impl Shape {
    /// Whether a value can be what is read at this place.
    pub(crate) fn check(&self, place: &str, value: &Value) -> Result<(), SettingsError> {
        let wrong =
            |expected, remedy| Err(SettingsError::wrong_type(place, expected, value, remedy));
        match (self, value) {
            (Shape::Object(keys), Value::Object(_)) => object(keys, place, value),
            (Shape::Object(_), _) => wrong("an object", "write {...} with its keys"),
            (Shape::Objects(keys), Value::Array(items)) => {
                let item = |(i, item): (usize, &Value)| {
                    Shape::Object(keys).check(&format!("{place}.{i}"), item)
                };
                items.iter().enumerate().try_for_each(item)
            }
            (Shape::Objects(_), _) => {
                wrong("a list of objects", "write [{...}] with one object an item")
            }
            (Shape::List(shape), Value::Array(items)) => {
                let item = |(i, item): (usize, &Value)| shape.check(&format!("{place}.{i}"), item);
                items.iter().enumerate().try_for_each(item)
            }
            (Shape::List(shape), one) => shape.check(place, one),
            (Shape::Text, Value::String(_)) => Ok(()),
            (Shape::Text, _) => wrong("a text", "write it in quotes"),
            (Shape::Flag, Value::Bool(_)) => Ok(()),
            (Shape::Flag, Value::Number(n)) if [Some(0.0), Some(1.0)].contains(&n.as_f64()) => {
                Ok(())
            }
            (Shape::Flag, Value::String(s))
                if ["true", "false", "0", "1", ""].contains(&s.as_str()) =>
            {
                Ok(())
            }
            (Shape::Flag, _) => wrong("true or false", "write one of them"),
            (Shape::Index, Value::String(_)) => Ok(()),
            (Shape::Index, Value::Number(n)) if n.as_u64().is_some() => Ok(()),
            (Shape::Index, _) => wrong(
                "a name or an index",
                "write a name of the list, or its place from 0",
            ),
            (Shape::Number(range), value) => range.check(place, value),
        }
    }
}

fn object(keys: &[(&str, Shape)], place: &str, value: &Value) -> Result<(), SettingsError> {
    let told = |(key, shape): &(&str, Shape)| match value.get(key) {
        None | Some(Value::Null) => Ok(()),
        Some(value) => shape.check(&format!("{place}.{key}"), value),
    };
    keys.iter().try_for_each(told)
}

impl Range {
    fn check(&self, place: &str, value: &Value) -> Result<(), SettingsError> {
        let number = match value {
            Value::Number(n) => n.as_f64(),
            // The text form of the settings has no other numbers.
            Value::String(s) if s.is_empty() => return Ok(()),
            Value::String(s) => s.parse().ok(),
            _ => None,
        };
        let Range {
            least,
            above,
            most,
            unit,
        } = *self;
        let from = if above { "more than" } else { "at least" };
        let remedy = format!("give a number of {from} {least} and at most {most}{unit}");
        let Some(number) = number.filter(|n| n.is_finite()) else {
            return Err(SettingsError::wrong_type(place, "a number", value, &remedy));
        };
        let off = match number {
            n if n < least => format!("less than {least}"),
            n if n > most => format!("more than {most}"),
            n if above && n <= least => format!("not more than {least}"),
            _ => return Ok(()),
        };
        Err(SettingsError::new(
            place,
            SettingsErrorCause::OutOfRange {
                found: abbreviate(value),
                off,
            },
            remedy,
        ))
    }
}
