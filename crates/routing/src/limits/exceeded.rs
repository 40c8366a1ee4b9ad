//! Which limit a query exceeds.

use std::time::Duration;

/// Which quantity of a limit is exceeded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitKind {
    /// Queries in flight.
    InFlight,
    /// Queries over time.
    Rate,
    /// Bytes of statements over time.
    Bytes,
}

/// A query is over a limit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitExceeded {
    /// The limit's name.
    pub limit: String,
    /// Which of its quantities is exceeded.
    pub kind: LimitKind,
    /// The time after which to retry: a rate admits the query then; of queries in flight, one has usually ended.
    pub retry_after: Duration,
}
