//! State of the change log that its handle and its connections share.

use super::history::History;
use crate::real_processes::endpoint_list::EndpointList;
use crate::real_processes::observations::Recorder;
use std::sync::atomic::AtomicU64;
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::watch;

/// Faults that the change log injects.
#[derive(Clone, Copy, Debug, Default)]
pub struct LogFaults {
    /// The gateway that does not receive events with draining engines.
    pub withhold_drains_from: Option<usize>,
    /// Delays each write to a reader.
    pub slow: bool,
}

/// State and counters of a change log.
pub struct Shared {
    history: Mutex<History>,
    /// Number of the last event.
    pub last: watch::Sender<u64>,
    /// For each gateway, the port at which it reaches the engines.
    pub engine_ports: Vec<u16>,
    pub bytes_to_gateways: Vec<AtomicU64>,
    pub bytes_to_watchers: AtomicU64,
    /// Bytes of all events appended, each counted once, as sent to watchers.
    pub event_bytes: AtomicU64,
    pub recorder: Recorder,
    pub faults: LogFaults,
}

impl Shared {
    /// Creates the state of a log whose first event, number 1, is the whole list.
    pub fn new(
        endpoint_list: EndpointList,
        engine_ports: Vec<u16>,
        recorder: Recorder,
        faults: LogFaults,
    ) -> Shared {
        Shared {
            history: Mutex::new(History::new(endpoint_list)),
            last: watch::Sender::new(1),
            bytes_to_gateways: engine_ports.iter().map(|_| AtomicU64::new(0)).collect(),
            bytes_to_watchers: AtomicU64::new(0),
            event_bytes: AtomicU64::new(0),
            engine_ports,
            recorder,
            faults,
        }
    }

    pub fn history(&self) -> MutexGuard<'_, History> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
