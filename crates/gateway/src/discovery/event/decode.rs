//! Decodes events of the change log from JSON.

use super::{EngineEntry, Event, EventError, EventErrorCause, NameIndex};
use crate::discovery::lenient::{Field, LenientTarget, ReadInto};
use crate::system::clock::MILLIS_PER_SECOND;
use garnetwall::api::{EndpointState, ListScope};
use serde::de::{DeserializeSeed, IgnoredAny, MapAccess, SeqAccess};
use serde_json::Value;
use std::collections::HashMap;

/// Decodes an event from parsed JSON, as the block `known` of the configuration has it. `names` resolves the names of
/// zones and kinds.
///
/// # Errors
///
/// Returns the error of the first value that is missing or invalid.
pub fn decode_event(json: &Value, names: &NameIndex) -> Result<Event, EventError> {
    ReadInto(RawEvent::new(names))
        .deserialize(json)
        .unwrap_or(RawEvent::new(names))
        .check()
}

/// Decodes an event from JSON text, as the change log sends it. `names` resolves the names of zones and kinds.
///
/// # Errors
///
/// Returns the error of the first value that is missing or invalid. Text that is not valid JSON is treated as an event
/// without any keys, and gives the error of the missing sequence number.
pub fn decode_event_text(text: &[u8], names: &NameIndex) -> Result<Event, EventError> {
    let mut json = serde_json::Deserializer::from_slice(text);
    let raw = ReadInto(RawEvent::new(names))
        .deserialize(&mut json)
        .and_then(|raw| json.end().map(|()| raw));
    raw.unwrap_or(RawEvent::new(names)).check()
}

/// An event whose values are not validated yet and may have any type.
struct RawEvent<'a, 'n> {
    names: &'n NameIndex,
    seq: Field<'a>,
    fleet: Option<RawFleet<'a, 'n>>,
}

struct RawFleet<'a, 'n> {
    full: Field<'a>,
    servers: RawEntries<'n>,
}

/// The entries of an event. They are validated as they are read; after the first error the rest is skipped.
struct RawEntries<'n> {
    names: &'n NameIndex,
    /// `None` until a JSON list was read.
    entries: Option<Result<Vec<EngineEntry>, EventError>>,
}

#[derive(Default)]
struct RawEntry<'a> {
    id: Field<'a>,
    addr: Field<'a>,
    zone: Field<'a>,
    kind: Field<'a>,
    cell: Field<'a>,
    started_ms: Field<'a>,
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

    fn check(self) -> Result<Event, EventError> {
        let number = self.seq.number();
        let number = number.ok_or_else(|| EventError::expected("seq", "a number"))?;
        let Some(fleet) = self.fleet else {
            return Ok(Event {
                number,
                scope: ListScope::Delta,
                entries: Vec::new(),
            });
        };
        let is_full = fleet.full.flag();
        let is_full = is_full.ok_or_else(|| EventError::expected("fleet.full", "true or false"))?;
        let scope = match is_full {
            true => ListScope::Full,
            false => ListScope::Delta,
        };
        let entries = fleet.servers.entries;
        let entries = entries.ok_or_else(|| EventError::expected("fleet.servers", "a list"))??;
        Ok(Event {
            number,
            scope,
            entries,
        })
    }
}

impl<'n> RawFleet<'_, 'n> {
    fn new(names: &'n NameIndex) -> Self {
        RawFleet {
            full: Field::Absent,
            servers: RawEntries::new(names),
        }
    }
}

impl<'n> RawEntries<'n> {
    fn new(names: &'n NameIndex) -> Self {
        RawEntries {
            names,
            entries: None,
        }
    }
}

impl<'de> LenientTarget<'de> for RawEvent<'de, '_> {
    fn read_value<A: MapAccess<'de>>(&mut self, key: &str, map: &mut A) -> Result<(), A::Error> {
        match key {
            "seq" => self.seq = map.next_value()?,
            "fleet" => {
                let fleet = ReadInto(RawFleet::new(self.names));
                self.fleet = Some(map.next_value_seed(fleet)?);
            }
            _ => {
                map.next_value::<IgnoredAny>()?;
            }
        }
        Ok(())
    }
}

impl<'de> LenientTarget<'de> for RawFleet<'de, '_> {
    fn read_value<A: MapAccess<'de>>(&mut self, key: &str, map: &mut A) -> Result<(), A::Error> {
        match key {
            "full" => self.full = map.next_value()?,
            "servers" => {
                let servers = ReadInto(RawEntries::new(self.servers.names));
                self.servers = map.next_value_seed(servers)?;
            }
            _ => {
                map.next_value::<IgnoredAny>()?;
            }
        }
        Ok(())
    }
}

impl<'de> LenientTarget<'de> for RawEntries<'_> {
    fn read_items<A: SeqAccess<'de>>(&mut self, mut items: A) -> Result<(), A::Error> {
        let mut entries = Vec::new();
        while let Some(raw) = items.next_element_seed(ReadInto(RawEntry::default()))? {
            match raw.check(self.names) {
                Ok(entry) => entries.push(entry),
                Err(error) => {
                    let place = format!("fleet.servers.{}", entries.len());
                    self.entries = Some(Err(error.under(&place)));
                    while items.next_element::<IgnoredAny>()?.is_some() {}
                    return Ok(());
                }
            }
        }
        self.entries = Some(Ok(entries));
        Ok(())
    }
}

impl<'de> LenientTarget<'de> for RawEntry<'de> {
    fn read_value<A: MapAccess<'de>>(&mut self, key: &str, map: &mut A) -> Result<(), A::Error> {
        let field = match key {
            "id" => &mut self.id,
            "addr" => &mut self.addr,
            "zone" => &mut self.zone,
            "kind" => &mut self.kind,
            "cell" => &mut self.cell,
            "started_ms" => &mut self.started_ms,
            "state" => &mut self.state,
            _ => {
                map.next_value::<IgnoredAny>()?;
                return Ok(());
            }
        };
        *field = map.next_value()?;
        Ok(())
    }
}

impl RawEntry<'_> {
    fn check(&self, names: &NameIndex) -> Result<EngineEntry, EventError> {
        let state = parse_state(&self.state)?;
        let name = required_text("id", &self.id)?.to_string();
        let address = required_text("addr", &self.addr)?
            .parse()
            .map_err(|_| EventError::expected("addr", "an address with its port"))?;
        let zone = index_or_zero("zone", &self.zone, &names.zones)? as u32;
        let kind = index_or_zero("kind", &self.kind, &names.kinds)?;
        let cell = u32::try_from(number_or_zero("cell", &self.cell)?)
            .map_err(|_| EventError::new("cell", EventErrorCause::TooLarge))?;
        let started_at_unix = match number_or_zero("started_ms", &self.started_ms)? {
            0 => None,
            millis => Some(millis as f64 / MILLIS_PER_SECOND),
        };
        Ok(EngineEntry {
            name,
            address,
            zone,
            kind,
            cell,
            started_at_unix,
            state,
        })
    }
}

fn parse_state(field: &Field) -> Result<EndpointState, EventError> {
    match required_text("state", field)? {
        "SERVING" => Ok(EndpointState::Ready),
        "DRAINING" => Ok(EndpointState::Draining),
        "DELETED" => Ok(EndpointState::Removed),
        other => {
            let cause = EventErrorCause::UnknownState(other.into());
            Err(EventError::new("state", cause))
        }
    }
}

fn required_text<'a>(place: &str, field: &'a Field) -> Result<&'a str, EventError> {
    field
        .text()
        .ok_or_else(|| EventError::expected(place, "a text"))
}

/// Returns the number in `field`, or 0 if the key is absent or null.
fn number_or_zero(place: &str, field: &Field) -> Result<u64, EventError> {
    if field.is_empty() {
        return Ok(0);
    }
    field
        .number()
        .ok_or_else(|| EventError::expected(place, "a number"))
}

/// Returns the index of the name in `field`, or 0 if the key is absent or null. The name is looked up with spaces and
/// commas replaced by `_`, which is how the settings write them.
fn index_or_zero(
    place: &str,
    field: &Field,
    names: &HashMap<String, usize>,
) -> Result<usize, EventError> {
    if field.is_empty() {
        return Ok(0);
    }
    let Some(name) = field.text() else {
        let cause = EventErrorCause::NotAName(field.to_string());
        return Err(EventError::new(place, cause));
    };
    let found = match name.contains([' ', ',']) {
        true => names.get(&name.replace([' ', ','], "_")),
        false => names.get(name),
    };
    match found {
        Some(index) => Ok(*index),
        None => {
            let cause = EventErrorCause::NotInSettings(name.into());
            Err(EventError::new(place, cause))
        }
    }
}
