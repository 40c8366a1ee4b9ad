//! Events of the simulation.

use super::identifiers::{AttemptKey, ProcessId};
use garnetwall::api::AttemptEnd;

/// An event of the simulation.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// A query of a client arrives at a gateway's process.
    Arrival {
        gateway: u32,
        incarnation: u32,
    },
    /// The wake-up timer of a gateway's process fires.
    Wake {
        gateway: u32,
        incarnation: u32,
    },
    /// A gateway's process reads the change log up to the entry `sequence`.
    Deliver {
        gateway: u32,
        incarnation: u32,
        sequence: u32,
    },
    /// A gateway's process ends. The next one starts `down_for` seconds later.
    GatewayEnds {
        gateway: u32,
        down_for: f32,
    },
    GatewayStarts {
        gateway: u32,
    },
    /// An engine may have finished attempts, or has to recompute its speed while it warms up.
    EngineDue {
        engine: u32,
    },
    EngineStep {
        engine: u32,
        step: EngineStep,
    },
    /// A gateway learns that an attempt failed because of its connection.
    AttemptFails {
        key: AttemptKey,
        end: AttemptEnd,
    },
    /// The change log publishes the staged endpoint updates as one entry.
    PublishUpdates,
    /// The change log publishes a new configuration version.
    PublishConfiguration,
    /// The gateways of a region are connected to the change log again.
    RegionReconnected {
        region: u32,
    },
    /// A step of the experiment's script is due.
    Script {
        step: u32,
    },
}

impl Event {
    /// Returns the gateway process that the event concerns; `None` if the event is not specific to a process.
    pub fn process(&self) -> Option<ProcessId> {
        match *self {
            Event::Arrival {
                gateway,
                incarnation,
            }
            | Event::Wake {
                gateway,
                incarnation,
            }
            | Event::Deliver {
                gateway,
                incarnation,
                ..
            } => Some(ProcessId {
                gateway,
                incarnation,
            }),
            Event::AttemptFails { key, .. } => Some(key.process()),
            _ => None,
        }
    }
}

/// A scheduled change of one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineStep {
    /// The change log reports the engine as removed.
    ReportRemoved,
    /// A new process starts, cold.
    Start,
    /// The engine drains. Its replacement is scheduled.
    Drain,
    /// The engine ends, and a new engine takes its place.
    Replace,
    /// The process ends. The start of a new one is scheduled.
    Restart,
    /// The engine answers again after it was silent.
    Respond,
}
