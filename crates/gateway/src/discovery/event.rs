//! Events of the change log.

mod decode;

pub use decode::{event, event_of_text};

use garnetwall::api::{EndpointState, ListScope};
use garnetwall_settings::Names;
use std::collections::HashMap;
use std::net::SocketAddr;
use thiserror::Error;

/// One numbered change of the engine list.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// Its number; those of successive events are successive.
    pub number: u64,
    /// Whether the entries are the full list, or only those that changed.
    pub scope: ListScope,
    /// Engines in the order in which the log has them.
    pub entries: Vec<EngineEntry>,
}

/// An engine as the change log has it.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineEntry {
    /// The engine's name in the log, which calls it its id.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// The index of its zone in the settings.
    pub zone: u32,
    /// The index of its kind in the settings.
    pub kind: usize,
    /// The number of its cell.
    pub cell: u32,
    /// When it started, in Unix seconds of another machine's clock.
    pub started_at_unix: Option<f64>,
    /// Whether it accepts attempts, drains or was removed.
    pub state: EndpointState,
}

/// Why an event cannot be decoded; the text is `place: cause`.
#[derive(Clone, Debug, PartialEq, Error)]
#[error("{place}: {cause}")]
pub struct EventError {
    /// The path of the key in the event's JSON, such as `fleet.servers.0.state`.
    pub place: String,
    /// What is wrong there.
    pub cause: EventErrorCause,
}

/// What is wrong with the value at a key of an event.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum EventErrorCause {
    /// The value is missing, has the wrong type or does not parse; says what belongs there.
    #[error("{0} expected")]
    Expected(&'static str),
    /// The number is over the limit of its type.
    #[error("too large")]
    TooLarge,
    /// No state of an engine has this name.
    #[error("'{0}' is unknown")]
    UnknownState(String),
    /// The value, here as JSON, is not a text.
    #[error("{0} is no name")]
    NotAName(String),
    /// The settings have no zone or kind of this name.
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

    /// The same error, for a value that lies under `parent`.
    fn under(self, parent: &str) -> Self {
        EventError {
            place: format!("{parent}.{}", self.place),
            cause: self.cause,
        }
    }
}

/// The indices of the zones and kinds of the settings, by their names.
#[derive(Clone, Debug, Default)]
pub struct NameIndex {
    zones: HashMap<String, usize>,
    kinds: HashMap<String, usize>,
}

impl NameIndex {
    /// Indexes the names of the settings; of a name that occurs twice the first counts.
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
        // The first of equal names is inserted last, and stays.
        .rev()
        .map(|(index, name)| (name.clone(), index))
        .collect()
}

#[cfg(test)]
mod tests;
