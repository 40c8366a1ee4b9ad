//! Reads the block `known` of the configuration: the change log's events that the gateway applies at its start.

use super::error::{unusable, wrong_type, ConfigError, ConfigResult};
use crate::discovery::{self, Event, EventError, NameIndex};
use garnetwall_settings::Names;
use serde_json::Value;

/// The events of the change log that a gateway knows before it connects to the log.
#[derive(Debug, Default)]
pub(super) struct InitialList {
    /// The number of the last known event; the watch of the change log continues after it.
    pub(super) last_event: u64,
    /// The events up to `last_event`, in ascending order of their numbers.
    pub(super) events: Vec<Event>,
}

impl InitialList {
    /// Reads and checks the block.
    pub(super) fn read(json: &Value, names: &Names) -> ConfigResult<InitialList> {
        if !json.is_object() {
            return Err(wrong_type(
                "known",
                "an object",
                Some(json),
                "write {...} with seq and results, or leave it out",
            ));
        }
        let last_event = last_event(json)?;
        let results = results(json)?;
        let names = NameIndex::new(names);
        let mut events: Vec<Event> = Vec::with_capacity(results.len());
        for (index, result) in results.iter().enumerate() {
            let place = format!("known.results.{index}");
            let event = discovery::decode_event(result, &names)
                .map_err(|error| malformed_event(&place, &error))?;
            let previous = events.last().map(|event| event.number);
            check_order(&place, event.number, previous, last_event)?;
            events.push(event);
        }
        Ok(InitialList { last_event, events })
    }
}

fn last_event(json: &Value) -> ConfigResult<u64> {
    let number = json.get("seq").and_then(Value::as_u64);
    number.ok_or_else(|| {
        wrong_type(
            "known.seq",
            "the number of an event",
            json.get("seq"),
            "write the seq of the last event in known.results",
        )
    })
}

fn results(json: &Value) -> ConfigResult<&Vec<Value>> {
    let results = json.get("results").and_then(Value::as_array);
    results.ok_or_else(|| {
        wrong_type(
            "known.results",
            "a list",
            json.get("results"),
            "write the change log's events up to known.seq",
        )
    })
}

/// Checks that the number of an event is greater than the previous one and not greater than `last_event`.
fn check_order(
    place: &str,
    number: u64,
    previous: Option<u64>,
    last_event: u64,
) -> ConfigResult<()> {
    let ascends = previous.is_none_or(|previous| number > previous);
    if ascends && number <= last_event {
        return Ok(());
    }
    let after = match previous {
        Some(previous) => format!("after {previous}, up"),
        None => "up".to_string(),
    };
    Err(unusable(
        &format!("{place}.seq"),
        format!("{number} does not ascend or is above known.seq, which is {last_event}"),
        format!("number the events in ascending order {after} to known.seq"),
    ))
}

fn malformed_event(event: &str, error: &EventError) -> ConfigError {
    unusable(
        &format!("{event}.{}", error.place),
        error.cause.to_string(),
        "write the event as the change log sends it, with names of zones and kinds from the settings",
    )
}
