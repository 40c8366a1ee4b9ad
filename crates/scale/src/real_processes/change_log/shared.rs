//! What the log's handle and its connections share.

use super::history::History;
use crate::real_processes::endpoint_list::EndpointList;
use crate::real_processes::observations::Recorder;
use std::sync::atomic::AtomicU64;
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::watch;

/// Faults that the log makes on purpose.
#[derive(Clone, Copy, Debug, Default)]
pub struct LogFaults {
    /// This gateway is not notified that engines drain.
    pub withhold_drains_from: Option<usize>,
    pub slow: bool,
}

/// The log's state and counters.
pub struct Shared {
    history: Mutex<History>,
    pub last: watch::Sender<u64>,
    /// The port at which each gateway reaches the engines.
    pub engine_ports: Vec<u16>,
    pub bytes_to_gateways: Vec<AtomicU64>,
    pub bytes_to_watchers: AtomicU64,
    /// Bytes of all events appended, once each.
    pub event_bytes: AtomicU64,
    pub recorder: Recorder,
    pub faults: LogFaults,
}

impl Shared {
    /// The state of a log whose first event is the whole list.
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
