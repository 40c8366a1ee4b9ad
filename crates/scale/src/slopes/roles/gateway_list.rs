//! Adapter to the gateway's implementation of the endpoint list.

use super::pool::{kind_name, subset_settings, zone_name, KIND_CORES, ZONES};
use crate::slopes::quantities::Quantities;
use crate::slopes::role::RoleError;
use garnetwall_gateway::discovery::{
    decode_event_text, EngineList, Event, NameIndex, SubsetSelection,
};
use garnetwall_gateway::system::clock::Clock;
use garnetwall_settings::Names;
use std::time::Duration;

/// Time for which a removed engine is kept, for queries that still use it.
const REMOVED_ENGINE_RETENTION: Duration = Duration::from_secs(22);

/// A gateway's endpoint list, with the index of the names that its entries use.
pub struct GatewayList {
    names: NameIndex,
    list: EngineList,
}

impl GatewayList {
    /// Creates the list of a gateway that uses all engines, or a subset if `subset_size` is not 0.
    ///
    /// # Errors
    ///
    /// The settings of the subset can't be used.
    pub fn new(quantities: &Quantities) -> Result<Self, RoleError> {
        let names = Names {
            zones: (0..ZONES).map(zone_name).collect(),
            kinds: (0..KIND_CORES.len()).map(kind_name).collect(),
            ..Names::default()
        };
        let select = |size| {
            let settings = subset_settings(size, quantities.gateways);
            SubsetSelection::new(
                "gateway-0",
                settings,
                KIND_CORES.iter().copied().map(Some).collect(),
            )
        };
        let selection = Some(quantities.subset_size)
            .filter(|size| *size > 0)
            .map(select)
            .transpose()?;
        let list = EngineList::new(REMOVED_ENGINE_RETENTION, Clock::start(), selection);
        Ok(GatewayList {
            names: NameIndex::new(&names),
            list,
        })
    }

    /// Decodes an event of the change log.
    ///
    /// # Errors
    ///
    /// The text is not an event.
    pub fn decode(&self, text: &str) -> Result<Event, RoleError> {
        decode_event_text(text.as_bytes(), &self.names)
            .map_err(|error| RoleError::Data(error.to_string()))
    }

    /// Applies an event and returns the number of endpoint updates for the module.
    pub fn apply(&self, event: Event) -> usize {
        self.list.apply(event).updates.len()
    }
}
