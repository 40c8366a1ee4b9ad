//! Events of the change log, decoded.

use super::lenient::{Field, Parts, ReadInto};
use garnetwall::api::EndpointState;
use garnetwall_settings::Names;
use serde::de::{DeserializeSeed, IgnoredAny, MapAccess, SeqAccess};
use serde_json::Value;
use std::collections::HashMap;
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
    pub condition: EndpointState,
}

/// The zones and kinds of the settings, by their names.
#[derive(Clone, Debug, Default)]
pub struct NameIndex {
    zones: HashMap<String, usize>,
    kinds: HashMap<String, usize>,
}

impl NameIndex {
    pub fn new(names: &Names) -> Self {
        NameIndex {
            zones: by_name(&names.zones),
            kinds: by_name(&names.kinds),
        }
    }
}

/// The place of each name; of one that is there twice the first.
fn by_name(names: &[String]) -> HashMap<String, usize> {
    names
        .iter()
        .cloned()
        .enumerate()
        .rev()
        .map(|(place, name)| (name, place))
        .collect()
}

/// Decodes an event, or says what is wrong with it.
pub fn event(json: &Value, names: &NameIndex) -> Result<Event, String> {
    ReadInto(RawEvent::new(names))
        .deserialize(json)
        .unwrap_or(RawEvent::new(names))
        .check()
}

/// Decodes an event from its text; one that is no JSON has nothing that is expected.
pub fn event_of_text(text: &[u8], names: &NameIndex) -> Result<Event, String> {
    let mut json = serde_json::Deserializer::from_slice(text);
    let raw = ReadInto(RawEvent::new(names))
        .deserialize(&mut json)
        .and_then(|raw| json.end().map(|()| raw));
    raw.unwrap_or(RawEvent::new(names)).check()
}

/// An event with whatever stands at its keys.
struct RawEvent<'a, 'n> {
    names: &'n NameIndex,
    seq: Field<'a>,
    fleet: Option<RawFleet<'a, 'n>>,
}

struct RawFleet<'a, 'n> {
    full: Field<'a>,
    servers: RawLines<'n>,
}

/// Lines are checked as they come; after the first fault the others are passed over.
struct RawLines<'n> {
    names: &'n NameIndex,
    lines: Option<Result<Vec<EngineLine>, String>>,
}

#[derive(Default)]
struct RawLine<'a> {
    id: Field<'a>,
    address: Field<'a>,
    zone: Field<'a>,
    kind: Field<'a>,
    cell: Field<'a>,
    started: Field<'a>,
    state: Field<'a>,
}

impl<'n> RawEvent<'_, 'n> {
    fn new(names: &'n NameIndex) -> Self {
        RawEvent {
            names,
            seq: Field::Absent,
            fleet: None,
        }
    }

    fn check(self) -> Result<Event, String> {
        let number = self.seq.number().ok_or("seq: a number expected")?;
        let Some(fleet) = self.fleet else {
            return Ok(Event {
                number,
                whole: false,
                lines: Vec::new(),
            });
        };
        let whole = fleet
            .full
            .flag()
            .ok_or("fleet.full: true or false expected")?;
        let lines = fleet
            .servers
            .lines
            .ok_or("fleet.servers: a list expected")??;
        Ok(Event {
            number,
            whole,
            lines,
        })
    }
}

impl<'de> Parts<'de> for RawEvent<'de, '_> {
    fn key<A: MapAccess<'de>>(&mut self, key: &str, map: &mut A) -> Result<(), A::Error> {
        match key {
            "seq" => self.seq = map.next_value()?,
            "fleet" => {
                let servers = RawLines {
                    names: self.names,
                    lines: None,
                };
                let empty = RawFleet {
                    full: Field::Absent,
                    servers,
                };
                self.fleet = Some(map.next_value_seed(ReadInto(empty))?);
            }
            _ => drop(map.next_value::<IgnoredAny>()?),
        }
        Ok(())
    }
}

impl<'de> Parts<'de> for RawFleet<'de, '_> {
    fn key<A: MapAccess<'de>>(&mut self, key: &str, map: &mut A) -> Result<(), A::Error> {
        match key {
            "full" => self.full = map.next_value()?,
            "servers" => {
                let empty = RawLines {
                    names: self.servers.names,
                    lines: None,
                };
                self.servers = map.next_value_seed(ReadInto(empty))?;
            }
            _ => drop(map.next_value::<IgnoredAny>()?),
        }
        Ok(())
    }
}

impl<'de> Parts<'de> for RawLines<'_> {
    fn items<A: SeqAccess<'de>>(&mut self, mut items: A) -> Result<(), A::Error> {
        let mut lines = Vec::new();
        while let Some(line) = items.next_element_seed(ReadInto(RawLine::default()))? {
            match line.check(self.names) {
                Ok(line) => lines.push(line),
                Err(what) => {
                    self.lines = Some(Err(format!("fleet.servers.{}.{what}", lines.len())));
                    while items.next_element::<IgnoredAny>()?.is_some() {}
                    return Ok(());
                }
            }
        }
        self.lines = Some(Ok(lines));
        Ok(())
    }
}

impl<'de> Parts<'de> for RawLine<'de> {
    fn key<A: MapAccess<'de>>(&mut self, key: &str, map: &mut A) -> Result<(), A::Error> {
        let field = match key {
            "id" => &mut self.id,
            "addr" => &mut self.address,
            "zone" => &mut self.zone,
            "kind" => &mut self.kind,
            "cell" => &mut self.cell,
            "started_ms" => &mut self.started,
            "state" => &mut self.state,
            _ => return map.next_value::<IgnoredAny>().map(drop),
        };
        *field = map.next_value()?;
        Ok(())
    }
}

impl RawLine<'_> {
    fn check(&self, names: &NameIndex) -> Result<EngineLine, String> {
        let condition = match text("state", &self.state)? {
            "SERVING" => EndpointState::Ready,
            "DRAINING" => EndpointState::Draining,
            "DELETED" => EndpointState::Removed,
            other => return Err(format!("state: '{other}' is unknown")),
        };
        let id = text("id", &self.id)?.to_string();
        let address = text("addr", &self.address)?.parse();
        let address = address.map_err(|_| "addr: an address with its port expected".to_string())?;
        let zone = place("zone", &self.zone, &names.zones)? as u32;
        let kind = place("kind", &self.kind, &names.kinds)?;
        let cell = u32::try_from(number("cell", &self.cell)?)
            .map_err(|_| "cell: too large".to_string())?;
        let started = number("started_ms", &self.started)?;
        let came_up = Some(started)
            .filter(|ms| *ms != 0)
            .map(|ms| ms as f64 / 1000.0);
        Ok(EngineLine {
            id,
            address,
            zone,
            kind,
            cell,
            came_up,
            condition,
        })
    }
}

fn text<'a>(key: &str, field: &'a Field) -> Result<&'a str, String> {
    field
        .text()
        .ok_or_else(|| format!("{key}: a text expected"))
}

/// A number, 0 where none is told.
fn number(key: &str, field: &Field) -> Result<u64, String> {
    if field.is_empty() {
        return Ok(0);
    }
    field
        .number()
        .ok_or_else(|| format!("{key}: a number expected"))
}

/// The place of a name, the first where none is told. The settings write spaces and commas as `_`.
fn place(key: &str, field: &Field, names: &HashMap<String, usize>) -> Result<usize, String> {
    if field.is_empty() {
        return Ok(0);
    }
    let name = field
        .text()
        .ok_or_else(|| format!("{key}: {field} is no name"))?;
    let found = names.get(name).filter(|_| !name.contains([' ', ',']));
    let found = found.or_else(|| names.get(&name.replace([' ', ','], "_")));
    found
        .copied()
        .ok_or_else(|| format!("{key}: '{name}' is not in the settings"))
}

#[cfg(test)]
mod tests;
