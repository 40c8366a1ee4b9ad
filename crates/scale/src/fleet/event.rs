//! What can happen in the simulation.

use super::identifiers::{AttemptKey, ProcessId};
use garnetwall::api::AttemptEnd;

/// An event of the simulation.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// A client's query arrives at a gateway's process.
    Arrival {
        gateway: u32,
        incarnation: u32,
    },
    /// A timer of a gateway's process is due.
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
    /// A gateway's process ends, and is started again `down_for` seconds later.
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
    /// The staged updates are published as one entry of the change log.
    PublishUpdates,
    PublishConfiguration,
    RegionReconnected {
        region: u32,
    },
    Script {
        step: u32,
    },
}

impl Event {
    /// The process that the event is for; `None` for events of no single process.
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

/// A planned change of one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineStep {
    /// The log reports it as removed.
    ReportRemoved,
    /// A new process starts, cold.
    Start,
    /// It drains, and is replaced later.
    Drain,
    /// It ends, and a new engine takes its place.
    Replace,
    /// Its process ends; a new one starts later.
    Restart,
    /// It answers again after a silence.
    Respond,
}
