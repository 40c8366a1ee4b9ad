//! The condition of an engine as observed by attempts, health checks and connection attempts.

/// Whether an engine could be reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reachability {
    /// The engine accepted a connection, and answered if a request was sent on it.
    Reachable,
    /// The engine accepted no connection, or did not answer.
    Unreachable,
}

/// Whether recording the reachability of an engine changed the recorded value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReachabilityChange {
    /// The recorded value was different before.
    Changed,
    /// The recorded value was the same, or the engine is not in the list at this address.
    Unchanged,
}

/// The health of an engine, as inferred from how an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineHealth {
    /// The engine processed the query, or rejected it for lack of capacity.
    Healthy,
    /// The attempt failed or timed out, or its connection could not be established or was lost.
    Failing,
}
