//! What a subset asks its caller to do.

use crate::engine::EngineKey;

/// What the caller is to do about an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Make a connection, and report by [`Subset::connect_ended`](super::Subset::connect_ended) whether it was made. The engine takes no work yet.
    Connect(EngineKey),
    /// The engine takes work from now on.
    Join {
        /// The new member.
        engine: EngineKey,
        /// About how many gateways hold it: its capacity is shared by so many.
        holders: f64,
    },
    /// A member's facts or number of holders changed.
    Update {
        /// The member.
        engine: EngineKey,
        /// About how many gateways hold it now.
        holders: f64,
    },
    /// Nothing new goes to the engine. It stays known until none of its attempts is in flight.
    Leave(EngineKey),
}
