//! The gateway's own list of engines, in the one place where this tool touches it.

use super::measurement::RoleError;
use super::pool::{kind_name, subset_settings, zone_name, KIND_CORES, ZONES};
use super::settings::Fixed;
use garnetwall_gateway::discovery::{event_of_text, EngineList, Event, NameIndex, Selection};
use garnetwall_gateway::system::clock::Clock;
use garnetwall_settings::Names;
use std::time::Duration;

/// Queries know of an engine that has gone for so long at most; usual limits.
const KEPT: Duration = Duration::from_secs(22);

/// A gateway's list of engines, with the names that its lines use.
pub struct GatewayList {
    names: NameIndex,
    list: EngineList,
}

impl GatewayList {
    /// The list of a gateway that works with all engines, or with a subset where a size is told.
    ///
    /// # Errors
    ///
    /// Where the settings of the subset can't be used.
    pub fn new(quantities: &Fixed) -> Result<Self, RoleError> {
        let names = Names {
            zones: (0..ZONES).map(zone_name).collect(),
            kinds: (0..KIND_CORES.len()).map(kind_name).collect(),
            ..Names::default()
        };
        let select = |size| {
            let settings = subset_settings(size, quantities.gateways);
            Selection::new(
                "gateway-0",
                settings,
                KIND_CORES.iter().copied().map(Some).collect(),
            )
        };
        let selection = Some(quantities.subset_size)
            .filter(|size| *size > 0)
            .map(select)
            .transpose()?;
        let list = EngineList::new(KEPT, Clock::start(), selection);
        Ok(GatewayList {
            names: NameIndex::new(&names),
            list,
        })
    }

    /// Decodes an event of the change log.
    ///
    /// # Errors
    ///
    /// Where it is no event.
    pub fn decode(&self, text: &str) -> Result<Event, RoleError> {
        event_of_text(text.as_bytes(), &self.names)
            .map_err(|error| RoleError::Data(error.to_string()))
    }

    /// Takes an event in; how many lines the module would be told.
    pub fn apply(&self, event: Event) -> usize {
        self.list.apply(event).updates.len()
    }
}
