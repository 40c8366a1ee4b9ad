//! What attempts, health checks and connecting say of an engine.

/// Whether an engine could be reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reachability {
    /// It accepted a connection.
    Reachable,
    /// It did not.
    Unreachable,
}

/// Whether the reachability of an engine differs from what was recorded before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReachabilityChange {
    /// It differs.
    Changed,
    /// It is the same, or the engine is not in the list at this address.
    Unchanged,
}

/// What the end of an attempt says of its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineHealth {
    /// It did its work, or said that it has no capacity.
    Healthy,
    /// It failed.
    Failing,
}
