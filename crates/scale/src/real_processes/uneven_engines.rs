//! Injected fault: a few engines run all work, and all other attempts are declined.

use std::sync::OnceLock;

/// One in so many engines accepts work.
const ACCEPTING_INTERVAL: usize = 8;
/// The gateway whose attempts are accepted; those of all others are declined, so that a large share of queries fails.
const ACCEPTED_GATEWAY: usize = 0;

/// Which engines accept work. The first that the accepted gateway tries is one of them: a gateway that is declined
/// everywhere stops trying further engines, and might never come to one that accepts.
#[derive(Default)]
pub struct UnevenEngines {
    first_tried: OnceLock<usize>,
}

impl UnevenEngines {
    /// Whether the engine at this slot accepts an attempt of this gateway. To be called for each attempt received.
    pub fn accepts(&self, slot: usize, gateway: usize) -> bool {
        if gateway != ACCEPTED_GATEWAY {
            return false;
        }
        let first = *self.first_tried.get_or_init(|| slot);
        slot % ACCEPTING_INTERVAL == first % ACCEPTING_INTERVAL
    }
}
