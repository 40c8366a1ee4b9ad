//! The events of the change log, and the errors of decoding them.

mod decode;

pub use decode::{decode_event, decode_event_text};

use garnetwall::api::{EndpointState, ListScope};
use garnetwall_settings::Names;
use std::collections::HashMap;
use std::net::SocketAddr;
use thiserror::Error;

/// A numbered update of the engine list.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// The sequence number. Successive events of a log have consecutive numbers.
    pub number: u64,
    /// Whether `entries` is the full list or only the entries that changed.
    pub scope: ListScope,
    /// The entries, in the order of the event.
    pub entries: Vec<EngineEntry>,
}

/// The entry of an engine in an event.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineEntry {
    /// The engine's name, which is the key `id` of the entry.
    pub name: String,
    /// The address at which the engine listens.
    pub address: SocketAddr,
    /// The index of the engine's zone in the settings; 0 if the event names no zone.
    pub zone: u32,
    /// The index of the engine's kind in the settings; 0 if the event names no kind.
    pub kind: usize,
    /// The number of the engine's cell; 0 if the event has none.
    pub cell: u32,
    /// When the engine started, in Unix seconds of the change log's clock, which may differ from the clock of this
    /// machine. `None` if the event has no start time, or has 0.
    pub started_at_unix: Option<f64>,
    /// Whether the engine accepts attempts, is draining or was removed.
    pub state: EndpointState,
}

/// The error of an event that cannot be decoded, displayed as `place: cause`.
#[derive(Clone, Debug, PartialEq, Error)]
#[error("{place}: {cause}")]
pub struct EventError {
    /// The path of the faulty key in the event's JSON, such as `fleet.servers.0.state`.
    pub place: String,
    /// The fault of the value at `place`.
    pub cause: EventErrorCause,
}

/// The fault of a value in an event.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum EventErrorCause {
    /// The value is missing, has the wrong type or cannot be parsed. Contains a description of a valid value.
    #[error("{0} expected")]
    Expected(&'static str),
    /// The number does not fit into a `u32`.
    #[error("more than 4294967295")]
    TooLarge,
    /// The text is not the name of an engine state.
    #[error("'{0}' is unknown")]
    UnknownState(String),
    /// The name of a zone or kind is not a JSON string. Contains the value as JSON.
    #[error("a name expected, not {0}")]
    NotAName(String),
    /// The settings define no zone or kind of this name.
    #[error("'{0}' is not in the settings")]
    NotInSettings(String),
}

impl EventError {
    fn new(place: &str, cause: EventErrorCause) -> Self {
        EventError {
            place: place.into(),
            cause,
        }
    }

    fn expected(place: &str, expected: &'static str) -> Self {
        EventError::new(place, EventErrorCause::Expected(expected))
    }

    /// Prefixes the place with the path of the parent key.
    fn under(self, parent: &str) -> Self {
        EventError {
            place: format!("{parent}.{}", self.place),
            cause: self.cause,
        }
    }
}

/// The indices of the zones and kinds in the settings, by name.
#[derive(Clone, Debug, Default)]
pub struct NameIndex {
    zones: HashMap<String, usize>,
    kinds: HashMap<String, usize>,
}

impl NameIndex {
    /// Indexes the names in the settings. A name that occurs more than once gets its first index.
    pub fn new(names: &Names) -> Self {
        NameIndex {
            zones: index_by_name(&names.zones),
            kinds: index_by_name(&names.kinds),
        }
    }
}

fn index_by_name(names: &[String]) -> HashMap<String, usize> {
    names
        .iter()
        .enumerate()
        // In reverse, so that the first of equal names is inserted last and overwrites the others.
        .rev()
        .map(|(index, name)| (name.clone(), index))
        .collect()
}

#[cfg(test)]
mod tests;
