//! The gateway's own list of engines, in the one place where this tool touches it.

use super::measurement::RoleError;
use super::pool::{kind_name, zone_name, KIND_CORES, ZONES};
use garnetwall_gateway::changes::{event, Event};
use garnetwall_gateway::engines::Engines;
use garnetwall_gateway::sockets::Budget;
use garnetwall_settings::{Names, Network};

/// Sockets and memory of a gateway as usual, and the longest limit of a query; the list does not depend on them.
const SOCKETS: usize = 1024;
const MEMORY_MB: usize = 512;
const LONGEST_QUERY: f64 = 20.0;
const DIAL: f64 = 0.25;
const IDLE: f64 = 15.0;

/// A gateway's list of engines, with the names that its lines use.
pub struct GatewayList {
    names: Names,
    engines: Engines,
}

impl GatewayList {
    pub fn new() -> Self {
        let names = Names {
            zones: (0..ZONES).map(zone_name).collect(),
            kinds: (0..KIND_CORES.len()).map(kind_name).collect(),
            ..Names::default()
        };
        let budget = Budget::of(SOCKETS, MEMORY_MB);
        let network = Network { dial: DIAL, idle: IDLE };
        GatewayList { names, engines: Engines::new(network, 0.0, &budget, LONGEST_QUERY) }
    }

    /// Decodes an event of the change log.
    ///
    /// # Errors
    ///
    /// Where it is no event.
    pub fn decode(&self, text: &str) -> Result<Event, RoleError> {
        let json = serde_json::from_str(text).map_err(|cause| RoleError::Data(cause.to_string()))?;
        event(&json, &self.names).map_err(RoleError::Data)
    }

    /// Takes an event in; how many lines the module would be told.
    pub fn apply(&self, event: &Event) -> usize {
        self.engines.listed(event).len()
    }
}
