//! Times of arrival of connections and their bytes, as far as they are known.

use std::time::Instant;

/// Bounds of the time for which a connection can have waited in the accept queue.
#[derive(Clone, Copy, Debug)]
pub struct AcceptDelay {
    /// Time at which the queue was last empty. The connection came later.
    pub queue_empty_at: Instant,
    /// Time since which connections were not accepted as they came; `None` if this one was.
    pub delayed_since: Option<Instant>,
}

/// Time of arrival of the newest bytes of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ArrivalTime {
    /// The earliest possible time.
    pub earliest: Instant,
    /// The latest possible time. Equal to `earliest` if the system tells the time.
    pub latest: Instant,
}

impl ArrivalTime {
    /// Whether the system tells the time.
    pub fn is_known(&self) -> bool {
        self.earliest == self.latest
    }
}
