//! What can happen in the simulation.

use super::engine::AttemptKey;
use garnetwall::api::AttemptEnd;

#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// A client's query comes to a gateway's process.
    Arrival {
        gateway: u32,
        incarnation: u32,
    },
    /// A gateway's process has something to look after.
    Wake {
        gateway: u32,
        incarnation: u32,
    },
    /// An entry of the change log reaches a gateway's process.
    Deliver {
        gateway: u32,
        incarnation: u32,
        sequence: u32,
    },
    GatewayEnds {
        gateway: u32,
        down_for: f32,
    },
    GatewayStarts {
        gateway: u32,
    },
    /// An engine may have finished attempts.
    EngineDue {
        engine: u32,
    },
    EngineStep {
        engine: u32,
        step: EngineStep,
    },
    /// A gateway learns that an attempt has failed.
    AttemptFails {
        key: AttemptKey,
        end: AttemptEnd,
    },
    /// What is staged goes out as one entry of the change log.
    PublishUpdates,
    PublishConfiguration,
    RegionHeals {
        region: u32,
    },
    Script {
        step: u32,
    },
}

/// A planned change of one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineStep {
    /// The log tells that it is gone.
    ReportRemoved,
    /// Its process starts anew, cold.
    Start,
    /// It is told to drain, and is replaced later.
    Drain,
    /// It ends, and a new engine takes its place.
    Replace,
    /// Its process ends, and starts anew after a while.
    Restart,
    Respond,
}
