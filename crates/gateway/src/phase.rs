//! The phases of a gateway, from its start to its exit.

/// What a gateway does at the moment; its health check succeeds in [`Phase::Serving`] only.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It is not bound to its address yet, or knows no engine list.
    Starting,
    /// It admits queries and has an engine list.
    Serving,
    /// It was asked to stop: it admits what still arrives for a while, then answers everything in flight.
    Draining,
    /// Everything that could be answered in time is answered.
    Stopped,
}
