//! Events of the change log, decoded.

use garnetwall::api::Condition;
use garnetwall_settings::Names;
use serde_json::Value;
use std::net::SocketAddr;

/// One numbered change.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    pub number: u64,
    /// The whole list, or only what has changed.
    pub whole: bool,
    pub lines: Vec<EngineLine>,
}

/// An engine as the log has it; `came_up` is in Unix seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineLine {
    pub id: String,
    pub address: SocketAddr,
    pub zone: u32,
    pub kind: usize,
    pub cell: u32,
    pub came_up: Option<f64>,
    pub condition: Condition,
}

/// Decodes an event, or says what is wrong with it.
pub fn event(json: &Value, names: &Names) -> Result<Event, String> {
    let number = json.get("seq").and_then(Value::as_u64).ok_or("seq: a number expected")?;
    let Some(fleet) = json.get("fleet") else {
        return Ok(Event { number, whole: false, lines: Vec::new() });
    };
    let whole = fleet.get("full").and_then(Value::as_bool).ok_or("fleet.full: true or false expected")?;
    let lines = fleet.get("servers").and_then(Value::as_array).ok_or("fleet.servers: a list expected")?;
    let line = |(i, one): (usize, &Value)| {
        engine_line(one, names).map_err(|what| format!("fleet.servers.{i}.{what}"))
    };
    Ok(Event { number, whole, lines: lines.iter().enumerate().map(line).collect::<Result<_, _>>()? })
}

fn engine_line(json: &Value, names: &Names) -> Result<EngineLine, String> {
    let text =
        |key: &str| json.get(key).and_then(Value::as_str).ok_or_else(|| format!("{key}: a text expected"));
    let number = |key: &str| match json.get(key) {
        None | Some(Value::Null) => Ok(0),
        Some(value) => value.as_u64().ok_or_else(|| format!("{key}: a number expected")),
    };
    let index = |key: &str, names: &[String]| match json.get(key) {
        None | Some(Value::Null) => Ok(0),
        Some(Value::String(name)) => names
            .iter()
            .position(|n| *n == name.replace([' ', ','], "_"))
            .ok_or_else(|| format!("{key}: '{name}' is not in the settings")),
        Some(other) => Err(format!("{key}: {other} is no name")),
    };
    let condition = match text("state")? {
        "SERVING" => Condition::Ready,
        "DRAINING" => Condition::Draining,
        "DELETED" => Condition::Gone,
        other => return Err(format!("state: '{other}' is unknown")),
    };
    Ok(EngineLine {
        id: text("id")?.to_string(),
        address: text("addr")?.parse().map_err(|_| "addr: an address with its port expected".to_string())?,
        zone: index("zone", &names.zones)? as u32,
        kind: index("kind", &names.kinds)?,
        cell: u32::try_from(number("cell")?).map_err(|_| "cell: too large".to_string())?,
        came_up: Some(number("started_ms")?).filter(|ms| *ms != 0).map(|ms| ms as f64 / 1000.0),
        condition,
    })
}
