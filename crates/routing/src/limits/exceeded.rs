//! Describes the limit that a rejected query exceeds.

use std::time::Duration;

/// The quantity that a limit bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitKind {
    /// The number of queries in flight.
    InFlight,
    /// The number of queries per second.
    Rate,
    /// The number of statement bytes per second.
    Bytes,
}

/// The limit that a query exceeds, and when to retry the query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitExceeded {
    /// Name of the limit in the plan, or of the tenant if its share or limits are exceeded.
    pub limit: String,
    /// The quantity of the limit that is exceeded.
    pub kind: LimitKind,
    /// The time after which to retry. For a rate, the query conforms then unless others are counted first; for queries
    /// in flight, it is an estimate of when the next of them ends. At least 10 ms.
    pub retry_after: Duration,
}
