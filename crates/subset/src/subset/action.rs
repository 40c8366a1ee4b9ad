//! Defines the actions that a subset requests from its caller.

use crate::engine::EngineKey;

/// An action that the caller must perform for an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Connect to the engine and report the outcome with [`Subset::connect_ended`](super::Subset::connect_ended). Do
    /// not send queries to the engine yet.
    Connect(EngineKey),
    /// Start to send queries to the engine.
    Join {
        /// The new member.
        engine: EngineKey,
        /// Estimated number of gateways that hold the engine and share its capacity, including this one; 1 or more.
        holders: f64,
    },
    /// Update the number of holders of a member, and take its facts from the catalog again.
    Update {
        /// The member.
        engine: EngineKey,
        /// Estimated number of gateways that hold the engine, including this one; 1 or more.
        holders: f64,
    },
    /// Send no new queries to the engine. Its attempts in flight continue.
    Leave(EngineKey),
}
