//! Injected fault: a few engines accept the attempts of one gateway, and all other attempts are declined.

use std::sync::OnceLock;

/// One in this many engines accepts attempts.
const ACCEPTING_INTERVAL: usize = 8;
/// Gateway whose attempts are accepted. Attempts of all other gateways are declined, so that a large share of queries
/// fails.
const ACCEPTED_GATEWAY: usize = 0;

/// Selects the engines that accept attempts. The first engine that the accepted gateway tries is one of them: a gateway
/// that is declined everywhere stops trying further engines, and might never reach one that accepts.
#[derive(Default)]
pub struct UnevenEngines {
    first_tried: OnceLock<usize>,
}

impl UnevenEngines {
    /// Whether the engine at `slot` accepts an attempt of `gateway`. Called for each attempt received.
    pub fn accepts(&self, slot: usize, gateway: usize) -> bool {
        if gateway != ACCEPTED_GATEWAY {
            return false;
        }
        let first = *self.first_tried.get_or_init(|| slot);
        slot % ACCEPTING_INTERVAL == first % ACCEPTING_INTERVAL
    }
}
