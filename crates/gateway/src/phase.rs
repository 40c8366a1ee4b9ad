//! Defines the phases of a gateway from its start to its exit.

/// The phase of a gateway. `GET /healthz` succeeds only in [`Phase::Serving`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The gateway does not listen on its address yet, or has no engine list yet.
    Starting,
    /// The gateway admits queries and has an engine list.
    Serving,
    /// The gateway was asked to stop. It admits queries that still arrive for a while, then answers all open queries.
    Draining,
    /// The gateway has answered all queries that it could in time, and is about to exit.
    Stopped,
}
