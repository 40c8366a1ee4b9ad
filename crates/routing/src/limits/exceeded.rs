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
    /// When it may come back: a rate has capacity for it then; of what is in flight one is usually over.
    pub retry_after: Duration,
}
